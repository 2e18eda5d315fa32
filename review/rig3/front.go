package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// entry is one entry VM: a process with the command of the deploy file.
type entry struct {
	name, settings string
	front, ready   string
	log            *os.File
	command        *exec.Cmd
	exited         chan struct{}
}

// installation is a small deployment.
type installation struct {
	rec     *record
	store   *store
	fleet   *fleet
	entries []*entry
	dir     string
	client  *http.Client
}

// newInstallation starts the store. Workers and entry VMs have to be added.
func newInstallation(rec *record) (*installation, error) {
	dir, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		return nil, err
	}
	s := newStore(rec)
	return &installation{
		rec: rec, store: s, fleet: &fleet{rec: rec, store: s}, dir: dir,
		client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}, nil
}

// placeholder matches a placeholder of the settings template.
var placeholder = regexp.MustCompile(`\{\{([A-Za-z_.0-9]+)(\|json)?\}\}`)

// renderSettings fills in the template of the deploy file as the platform does.
func renderSettings(values map[string]any) (string, error) {
	template, err := os.ReadFile("deploy/settings.template.toml")
	if err != nil {
		return "", err
	}
	missing := ""
	text := placeholder.ReplaceAllStringFunc(string(template), func(m string) string {
		parts := placeholder.FindStringSubmatch(m)
		value, ok := values[parts[1]]
		if !ok {
			missing = parts[1]
		}
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		// Texts and numbers can always be encoded.
		data, _ := json.Marshal(value)
		return string(data)
	})
	if missing != "" {
		return "", fmt.Errorf("no value for the placeholder %s", missing)
	}
	return text, nil
}

// freeHost returns a loopback address on which the ports of an entry VM are free.
func freeHost() (string, error) {
	for range 100 {
		ip := fmt.Sprintf("127.%d.%d.%d", 20+rand.IntN(200), rand.IntN(250), 1+rand.IntN(250))
		free := true
		for _, port := range []string{"8521", "8523", "7000", "7001"} {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, port))
			if err != nil {
				free = false
				continue
			}
			_ = l.Close()
		}
		if free {
			return ip, nil
		}
	}
	return "", fmt.Errorf("no loopback address with free ports")
}

// addEntry starts an entry VM in a zone.
func (i *installation) addEntry(zone string) error {
	name := fmt.Sprintf("front-%s-%d", zone, len(i.entries)+1)
	storeListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go i.store.serve(storeListener, name)
	ip, err := freeHost()
	if err != nil {
		return err
	}
	e := &entry{name: name, settings: filepath.Join(i.dir, name+".toml"), front: ip + ":8521", ready: ip + ":8523"}
	text, err := renderSettings(map[string]any{
		"Node": name, "Zone": zone, "Ip": ip, "PortRange.0": 7000, "Listen.Front": e.front, "Listen.Ready": e.ready,
		"platform.Address": storeListener.Addr().String(), "platform.MinTtlMs": 1000, "Limits.MaxFds": 4100, "Limits.CpuShare": 0.4,
		"Bounds.GraceS": 6, "Bounds.MaxHoldMs": maxHold.Milliseconds(), "Bounds.StopGraceMs": 400, "Bounds.GangTimeoutMs": 3000,
		"Bounds.status_s": 120, "Bounds.ConfigApplyMs": 2000,
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		return err
	}
	if e.log, err = os.Create(filepath.Join(i.dir, name+".log")); err != nil {
		return err
	}
	i.entries = append(i.entries, e)
	return i.start(e)
}

// start starts the process of an entry VM with the command of the deploy file.
func (i *installation) start(e *entry) error {
	e.command = exec.Command("target/clementinepier", "front", "--max-memory-mb", "284")
	e.command.Env = append(os.Environ(), "CLEMENTINEPIER_NODE_FILE="+e.settings)
	e.command.Stdout, e.command.Stderr = e.log, e.log
	if err := e.command.Start(); err != nil {
		return err
	}
	i.rec.add("%s starts", e.name)
	command, exited := e.command, make(chan struct{})
	e.exited = exited
	go func() {
		// A process that was killed ends with an error.
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// kill kills the process of an entry VM.
func (i *installation) kill(e *entry) {
	i.rec.add("%s is killed", e.name)
	_ = e.command.Process.Signal(syscall.SIGKILL)
	<-e.exited
}

// close ends all processes and removes the folder, but for the logs if they are wanted.
func (i *installation) close() {
	for _, e := range i.entries {
		if e.command != nil && e.command.Process != nil {
			_ = e.command.Process.Kill()
			<-e.exited
		}
		_ = e.log.Close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(i.dir)
	} else {
		i.rec.add("logs are in %s", i.dir)
	}
}

// awaitReady waits until all entry VMs are ready.
func (i *installation) awaitReady() error {
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, e := range i.entries {
			if response, err := i.client.Get("http://" + e.ready + "/-/ready"); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(i.entries) {
			i.rec.add("all entry VMs are ready")
			return nil
		}
	}
	return fmt.Errorf("the entry VMs are not ready after 15 s")
}

// queue is a route of the configuration.
type queue struct {
	name, prefix string
	priority     int
	targetMs     int
	stretch      float64
}

// tenant is a tenant of the configuration.
type tenant struct {
	name, key string
	gpu       int
}

const (
	host    = "nony24.example"
	service = "registre"
)

// writeConfig writes the operator's configuration.
func (i *installation) writeConfig(version int, queues []queue, tenants []tenant) {
	var routes, owners []map[string]any
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"Name": q.name, "Host": host, "Prefix": q.prefix, "Kind": "unsafe", "TimeoutMs": 3000, "TargetCompletionMs": q.targetMs,
			"Priority": q.priority, "Service": service, "MaxAttempts": 4, "Stretch": q.stretch, "AllowAnonymous": false,
		})
	}
	for _, t := range tenants {
		owners = append(owners, map[string]any{"Name": t.name, "ApiKeys": []string{t.key}, "Priority": 1, "Guaranteed": map[string]int{"Gpu": t.gpu}})
	}
	// Texts and numbers can always be encoded.
	value, _ := json.Marshal(map[string]any{
		"Version": version, "Routes": routes, "Tenants": owners,
		"Services": []map[string]any{{"Name": service, "HealthPath": "/health", "MaxConnections": 64, "Protocol": "h1", "AdmissionCheck": false}},
		"Limits":   map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	i.store.put("op/config", value)
	i.rec.add("the operator writes config %d", version)
}

// call sends a call of a caller and returns the status. It is 0 if there was no answer.
func (i *installation) call(e *entry, method, path, key string, body any) int {
	var data []byte
	if body != nil {
		// Bodies of the cases can always be encoded.
		data, _ = json.Marshal(body)
	}
	request, err := http.NewRequest(method, "http://"+e.front+path, bytes.NewReader(data))
	if err != nil {
		i.rec.add("%s %s: %v", method, path, err)
		return 0
	}
	request.Host = host
	request.Header.Set("Key", key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", "3000")
	response, err := i.client.Do(request)
	if err != nil {
		i.rec.add("%s %s to %s: no answer", method, path, e.name)
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	var answer bytes.Buffer
	// A body that breaks off shows in the text.
	_, _ = answer.ReadFrom(response.Body)
	text := strings.TrimSpace(answer.String())
	i.rec.add("%s %s to %s: %d %s", method, path, e.name, response.StatusCode, text)
	return response.StatusCode
}

// submit hands a job in until it is accepted, at one entry VM after the other, for 5 s at most.
func (i *installation) submit(path, key string, job any) error {
	for n, until := 0, time.Now().Add(5*time.Second); time.Now().Before(until); n++ {
		if i.call(i.entries[n%len(i.entries)], http.MethodPost, path, key, job) == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("the job %s is not accepted", path)
}
