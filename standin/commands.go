package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"clementinepier/jsonhttp"
	"clementinepier/kvstore"
	standinplatform "clementinepier/standin/platform"
	standinworker "clementinepier/standin/worker"
	"clementinepier/worker"
)

const adminTimeout = 5 * time.Second

type platformCommand struct {
	Address string        `arg:"--address,required" help:"loopback address and port to serve on"`
	Lag     time.Duration `arg:"--lag" default:"1s" help:"time that a change of the VM list stays invisible"`
}

func (c *platformCommand) run() error {
	listener, err := listen(c.Address, 0)
	if err != nil {
		return err
	}
	return serve(listener, standinplatform.New(standinplatform.Options{Lag: c.Lag}).Handler())
}

type workerCommand struct {
	Address        string        `arg:"--address,required" help:"loopback address and port to serve on"`
	Platform       string        `arg:"--platform,required" help:"address of the platform stand-in to register with"`
	Name           string        `arg:"--name,required" help:"name of the worker"`
	FailureDomain  string        `arg:"--failure-domain,required" help:"failure domain of the worker"`
	Rack           string        `arg:"--rack,required" help:"rack of the worker"`
	Slots          int           `arg:"--slots" default:"8" help:"task slots"`
	Accelerators   int           `arg:"--accelerators" default:"8" help:"accelerators"`
	Processors     int           `arg:"--processors" default:"32" help:"processors"`
	MemoryMB       int           `arg:"--memory-mb" default:"64000" help:"memory in megabytes"`
	RunLog         string        `arg:"--run-log" help:"file that gets a JSON line per start and end of a task"`
	UsageLag       time.Duration `arg:"--usage-lag" default:"3s" help:"age of the usage measurements"`
	CheckpointTime time.Duration `arg:"--checkpoint-time" default:"100ms" help:"time that a checkpoint takes"`
}

func (c *workerCommand) run() error {
	if c.Slots < 1 || c.Accelerators < 0 {
		return errors.Errorf("%d slots and %d accelerators are not valid", c.Slots, c.Accelerators)
	}
	options := standinworker.Options{
		Info: worker.Info{
			Name: c.Name, FailureDomain: c.FailureDomain, Rack: c.Rack, Slots: c.Slots, Accelerators: c.Accelerators,
			Processors: c.Processors, MemoryMB: c.MemoryMB, BootID: uuid.NewString(),
		},
		UsageLag: c.UsageLag, CheckpointTime: c.CheckpointTime,
	}
	if c.RunLog != "" {
		file, err := os.OpenFile(c.RunLog, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return errors.Wrap(err, "open run log")
		}
		defer func() { _ = file.Close() }()
		options.RunLog = file
	}
	// The port is open before the platform lists the worker.
	listener, err := listen(c.Address, worker.MaxConnections)
	if err != nil {
		return err
	}
	if err := c.register(listener.Addr().String()); err != nil {
		return err
	}
	stand := standinworker.New(options)
	if err := serve(listener, stand.Handler()); err != nil {
		return err
	}
	return errors.Wrap(stand.LogError(), "write run log")
}

func (c *workerCommand) register(address string) error {
	vm := kvstore.VM{Name: c.Name, Kind: kvstore.KindWorker, FailureDomain: c.FailureDomain, Rack: c.Rack, Address: address}
	_, err := call(c.Platform, "/admin/vms/add", vm)
	return errors.Wrap(err, "register with the platform")
}

type callCommand struct {
	Address string `arg:"positional,required" help:"address of the stand-in"`
	Path    string `arg:"positional,required" help:"path of the call, such as /admin/faults"`
	Body    string `arg:"positional" default:"{}" help:"body in JSON"`
}

func (c *callCommand) run() error {
	if !json.Valid([]byte(c.Body)) {
		return errors.Errorf("body is not JSON: %s", c.Body)
	}
	reply, err := call(c.Address, c.Path, json.RawMessage(c.Body))
	if err != nil {
		return err
	}
	fmt.Println(string(reply))
	return nil
}

// call sends one call and returns the reply as JSON.
func call(address, path string, body any) (json.RawMessage, error) {
	caller := jsonhttp.NewCaller(jsonhttp.Options{Address: address, MaxConnections: 1, Clock: clockwork.NewRealClock()})
	var reply json.RawMessage
	_, err := caller.Post(context.Background(), path, adminTimeout, body, &reply)
	return reply, err
}
