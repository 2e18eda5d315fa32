package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	standinworker "clementinepier/standin/worker"
	"clementinepier/worker"
)

type fleetCommand struct {
	Host          string `arg:"--host" default:"127.0.0.1" help:"loopback address"`
	Port          int    `arg:"--port,required" help:"port of the first worker; the others follow"`
	Platform      string `arg:"--platform,required" help:"address of the platform stand-in to register with"`
	Count         int    `arg:"--count,required" help:"number of workers"`
	RackSize      int    `arg:"--rack-size" default:"8" help:"workers in a rack"`
	FailureDomain string `arg:"--failure-domain,required" help:"failure domain of the workers"`
	Slots         int    `arg:"--slots" default:"32" help:"task slots of each worker"`
	Accelerators  int    `arg:"--accelerators" default:"32" help:"accelerators of each worker"`
	Traffic       string `arg:"--traffic,required" help:"file that gets the bytes received and sent, every 100 ms"`
}

// run serves many workers in one process.
func (c *fleetCommand) run() error {
	if c.Count < 1 || c.RackSize < 1 {
		return errors.Errorf("%d workers in racks of %d are not valid", c.Count, c.RackSize)
	}
	var traffic atomic.Int64
	for i := range c.Count {
		listener, err := listen(fmt.Sprintf("%s:%d", c.Host, c.Port+i), worker.MaxConnections)
		if err != nil {
			return err
		}
		w := workerCommand{
			Platform: c.Platform, Name: fmt.Sprintf("worker-%03d", i), FailureDomain: c.FailureDomain,
			Rack: fmt.Sprintf("%s-r%d", c.FailureDomain, i/c.RackSize+1),
		}
		stand := standinworker.New(standinworker.Options{Info: worker.Info{
			Name: w.Name, FailureDomain: w.FailureDomain, Rack: w.Rack, Slots: c.Slots, Accelerators: c.Accelerators,
			Processors: 32, MemoryMB: 64_000, BootID: uuid.NewString(),
		}})
		server := &http.Server{Handler: stand.Handler(), ReadHeaderTimeout: readHeaderTimeout}
		go func() { klog.ErrorS(server.Serve(&countListener{listener, &traffic}), "Worker stand-in has ended") }()
		if err := w.register(listener.Addr().String()); err != nil {
			return err
		}
	}
	for {
		if err := os.WriteFile(c.Traffic, []byte(fmt.Sprintln(traffic.Load())), 0o600); err != nil {
			return errors.WithStack(err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// countListener adds the bytes of its connections to a total.
type countListener struct {
	net.Listener
	total *atomic.Int64
}

func (l *countListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countConn{conn, l.total}, nil
}

type countConn struct {
	net.Conn
	total *atomic.Int64
}

func (c *countConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.total.Add(int64(n))
	return n, err
}

func (c *countConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.total.Add(int64(n))
	return n, err
}
