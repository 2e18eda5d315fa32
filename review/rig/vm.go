package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// exitTimeout bounds the wait for a process that was killed.
const exitTimeout = 8 * time.Second

// firstVMNumber is the last part of the loopback address of the first entry VM.
const firstVMNumber = 11

// vm is an entry VM: one process of the deploy file, on a loopback address of its own.
type vm struct {
	name, settings             string
	frontAddress, readyAddress string
	site                       *site
	command                    *exec.Cmd
	exited                     chan struct{}
}

// freeAddress returns an address with a free port.
func freeAddress(ip string) (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// newVM writes the settings file of an entry VM, as the platform renders the template, and starts its process.
func (s *site) newVM(number int, storeAddress, template string) (*vm, error) {
	v := &vm{name: fmt.Sprintf("front-%d", number), site: s}
	v.settings = filepath.Join(s.dir, v.name+".toml")
	ip := fmt.Sprintf("%s%d", s.prefix, firstVMNumber+number)
	var peersAddress string
	for _, into := range []*string{&v.frontAddress, &v.readyAddress, &peersAddress} {
		address, err := freeAddress(ip)
		if err != nil {
			return nil, err
		}
		*into = address
	}
	_, peersPort, err := net.SplitHostPort(peersAddress)
	if err != nil {
		return nil, err
	}
	values := map[string]string{
		"Node|json": `"` + v.name + `"`, "Zone|json": `"zone-a"`, "Listen.Front|json": `"` + v.frontAddress + `"`,
		"Listen.Ready|json": `"` + v.readyAddress + `"`, "Ip": ip, "PortRange.0": peersPort, "platform.Address|json": `"` + storeAddress + `"`,
	}
	for name, value := range bounds {
		values[name] = value
	}
	for name, value := range values {
		template = strings.ReplaceAll(template, "{{"+name+"}}", value)
	}
	if strings.Contains(template, "{{") {
		return nil, fmt.Errorf("the settings template has a placeholder that the rig does not know:\n%s", template)
	}
	if err := os.WriteFile(v.settings, []byte(template), 0o600); err != nil {
		return nil, err
	}
	return v, v.start()
}

// start starts the process with the command of the deploy file. Its log goes beside the record.
func (v *vm) start() error {
	out, err := os.OpenFile(filepath.Join(v.site.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	v.command = exec.Command("target/clementinepier", "front")
	v.command.Dir = v.site.root
	v.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CLEMENTINEPIER_NODE_FILE=" + v.settings}
	v.command.Stdout, v.command.Stderr = out, out
	if err := v.command.Start(); err != nil {
		return err
	}
	v.site.rec.event("vm-start", "vm", v.name)
	command, exited := v.command, make(chan struct{})
	v.exited = exited
	go func() {
		defer close(exited)
		// Wait returns an error for a process that was killed.
		_ = command.Wait()
		_ = out.Close()
		v.site.rec.event("vm-exit", "vm", v.name)
	}()
	return nil
}

// signal sends a signal to the process.
func (v *vm) signal(sig syscall.Signal) {
	v.site.rec.event("vm-signal", "vm", v.name, "signal", sig)
	// The process may have exited already.
	_ = v.command.Process.Signal(sig)
}

// kill ends the process at once and prints its log if REVIEW_LOGS names a folder for it.
func (v *vm) kill() {
	_ = v.command.Process.Kill()
	select {
	case <-v.exited:
	case <-time.After(exitTimeout):
	}
	if dir := os.Getenv("REVIEW_LOGS"); dir != "" {
		if data, err := os.ReadFile(filepath.Join(v.site.dir, v.name+".log")); err == nil {
			_ = os.WriteFile(filepath.Join(dir, v.name+".log"), data, 0o600)
		}
	}
}

// ready reports whether the entry VM says that it is ready.
func (v *vm) ready() bool {
	response, err := v.site.client.Get("http://" + v.readyAddress + "/-/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
