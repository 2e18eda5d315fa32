package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	host   = "jobs.example"
	prefix = "/jobs/"
	key    = "key-of-tenant-one"
	// urgent is the prefix of the queue of priority 0. otherPrefix is that of the other tenant, whose key is otherKey.
	urgent      = "/urgent/"
	otherPrefix = "/other/"
	otherKey    = "key-of-tenant-two"
	// guaranteed is the number of accelerators that belong to each tenant.
	guaranteed = 16
)

// site is a small deployment: the store, the workers and the entry VMs.
type site struct {
	store   *store
	storeAt string
	record  *record
	workers []*worker
	fronts  []*front
	dir     string
}

// front is a process of the project.
type front struct {
	name, settings string
	callers, ready string
	cmd            *exec.Cmd
	log            *os.File
}

// newSite starts the store and the workers, and writes the first configuration.
func newSite(r *record, workers int) (*site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{store: newStore(), record: r, dir: dir}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.storeAt = listener.Addr().String()
	go func() { _ = http.Serve(listener, s.store) }()
	s.store.write("op/config", s.config(1))
	for i := range workers {
		w, err := newWorker(fmt.Sprintf("i-%04d", i), fmt.Sprintf("zone-%d", i%3), fmt.Sprintf("r%d-1", i%3), s.store, r)
		if err != nil {
			return nil, err
		}
		s.workers = append(s.workers, w)
		w.start()
	}
	return s, nil
}

// config returns a configuration with three queues and two tenants.
func (s *site) config(version int) map[string]any {
	route := func(name, prefix string, priority int) map[string]any {
		return map[string]any{
			"Name": name, "Host": host, "Prefix": prefix, "Kind": "unsafe", "TimeoutMs": 3000, "TargetCompletionMs": 1000, "Priority": priority,
			"Service": "svc", "MaxAttempts": 3, "Stretch": 3.0, "AllowAnonymous": false,
		}
	}
	tenant := func(name, key string, gpus int) map[string]any {
		return map[string]any{"Name": name, "ApiKeys": []string{key}, "Priority": 1, "Guaranteed": map[string]any{"Gpu": gpus}}
	}
	return map[string]any{
		"Version":  version,
		"Routes":   []any{route("r-work", prefix, 1), route("r-urgent", urgent, 0), route("r-other", otherPrefix, 1)},
		"Services": []any{map[string]any{"Name": "svc", "HealthPath": "/health", "MaxConnections": 64, "Protocol": "h1", "AdmissionCheck": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  []any{tenant("one", key, guaranteed), tenant("two", otherKey, guaranteed)},
	}
}

// freeAddress returns a free port on a loopback address.
func freeAddress(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// addFront writes the settings of a new entry VM and starts it.
func (s *site) addFront(name, zone string) (*front, error) {
	addresses := make([]string, 4)
	for i := range addresses {
		var err error
		if addresses[i], err = freeAddress("127.0.0.1"); err != nil {
			return nil, err
		}
	}
	f := &front{name: name, callers: addresses[0], ready: addresses[1], settings: filepath.Join(s.dir, name+".toml")}
	text := fmt.Sprintf(`name = %q
failure-domain = %q
callers-address = %q
ready-address = %q
peers-address = %q
metrics-address = %q
store-address = %q
max-files = 4100
cores = 0.4

[bounds]
shutdown-grace = "6s"
max-lease = "6000ms"
stop-grace = "900ms"
gang-timeout = "3000ms"
retention = "120s"
apply-time = "2000ms"
min-store-lease = "1000ms"
`, name, zone, addresses[0], addresses[1], addresses[2], addresses[3], s.storeAt)
	if err := os.WriteFile(f.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	if f.log, err = os.Create(filepath.Join(s.dir, name+".log")); err != nil {
		return nil, err
	}
	s.fronts = append(s.fronts, f)
	return f, f.start()
}

// start starts the process with the command of the deploy file.
func (f *front) start() error {
	f.cmd = exec.Command("target/clementinepier", "front")
	f.cmd.Env = append(os.Environ(), "CLEMENTINEPIER_NODE_FILE="+f.settings)
	f.cmd.Stdout, f.cmd.Stderr = f.log, f.log
	return f.cmd.Start()
}

// kill ends the process with a signal and waits for its end.
func (f *front) kill(signal syscall.Signal) {
	if f.cmd != nil && f.cmd.Process != nil {
		_ = f.cmd.Process.Signal(signal)
		_ = f.cmd.Wait()
		f.cmd = nil
	}
}

// close ends all processes. It keeps the logs of the entry VMs if REVIEW_LOGS names a folder.
func (s *site) close() {
	for _, f := range s.fronts {
		f.kill(syscall.SIGKILL)
		_ = f.log.Close()
		if to := os.Getenv("REVIEW_LOGS"); to != "" {
			if data, err := os.ReadFile(f.log.Name()); err == nil {
				_ = os.WriteFile(filepath.Join(to, f.name+".log"), data, 0o600)
			}
		}
	}
	_ = os.RemoveAll(s.dir)
}

// call sends a caller's request to an entry VM. The status is 0 if there was no answer.
func (s *site) call(f *front, method, path string, in any) (status int, out map[string]any) {
	var body io.Reader
	if in != nil {
		data, _ := json.Marshal(in)
		body = bytes.NewReader(data)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+f.callers+path, body)
	if err != nil {
		return 0, nil
	}
	request.Host = host
	request.Header.Set("Key", key)
	if strings.HasPrefix(path, otherPrefix) {
		request.Header.Set("Key", otherKey)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", "3000")
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		s.record.add("%s %s at %s: no answer (%v)", method, path, f.name, err)
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	_ = json.NewDecoder(response.Body).Decode(&out)
	s.record.add("%s %s at %s: %d %v", method, path, f.name, response.StatusCode, out)
	return response.StatusCode, out
}

// errNotUp means that the deployment did not come up.
var errNotUp = errors.New("the deployment did not come up")

// submit submits a job to the first queue.
func (s *site) submit(id string, job map[string]any) error { return s.submitTo(prefix+id, job) }

// submitTo submits a job, again at the next entry VM while it is not accepted.
func (s *site) submitTo(path string, job map[string]any) error {
	for i := range 20 {
		if status, _ := s.call(s.fronts[i%len(s.fronts)], http.MethodPost, path, job); status == http.StatusOK {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", path)
}

// state returns the state of a job, or the status of the answer.
func (s *site) state(id string) string {
	for _, f := range s.fronts {
		if f.cmd == nil {
			continue
		}
		status, out := s.call(f, http.MethodGet, prefix+id, nil)
		if text, ok := out["State"].(string); ok && status == http.StatusOK {
			return text
		}
		if status == http.StatusGone {
			return "gone"
		}
	}
	return ""
}

// await waits until a job has a state.
func (s *site) await(id, state string, limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(250 * time.Millisecond) {
		if s.state(id) == state {
			return true
		}
	}
	return false
}

// up starts the entry VMs, and runs a job on each worker so that all of them are known.
func (s *site) up(fronts int) error {
	for i := range fronts {
		if _, err := s.addFront(fmt.Sprintf("front-%d", i), fmt.Sprintf("zone-%d", i%3)); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	job := map[string]any{"TaskSpec": "warm-up", "Steps": []any{map[string]any{"Count": 8 * len(s.workers), "Cpu": 1000, "MemMb": 100, "Gpu": 1, "EstimateMs": 1000}}}
	if err := s.submit("00000000000000aa", job); err != nil {
		return err
	}
	if !s.await("00000000000000aa", "completed", 15*time.Second) {
		return errNotUp
	}
	return nil
}

// oneTask returns a job of one task.
func oneTask(more map[string]any) map[string]any {
	step := map[string]any{"Count": 1, "Cpu": 1000, "MemMb": 100, "Gpu": 1, "EstimateMs": 1000}
	for name, value := range more {
		step[name] = value
	}
	return map[string]any{"TaskSpec": "task", "Steps": []any{step}}
}
