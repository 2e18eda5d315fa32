package main

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"time"
)

const (
	// lateBy is how long after its sending the order that is held up is carried out: 2 to 12 s are allowed.
	lateBy = 6 * time.Second
	// startPath is the path of start orders.
	startPath = "/-/run-start"
)

// detour is the network before the workers. It holds up the first start order of a job, whose sender gets no answer, and delivers it
// lateBy after it was sent.
type detour struct {
	site *site

	mu sync.Mutex
	// job is the job whose first start is held up; empty for none.
	job string
	// held receives the worker of the order that is held up.
	held chan *worker
	// cut is the worker that the entry VMs cannot reach; nil for none.
	cut *worker
}

// cutOff cuts a worker off from the entry VMs without a sign, or ends the cut if the worker is nil.
func (d *detour) cutOff(w *worker) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut = w
	if w == nil {
		d.site.rec.event("cut-ends")
		return
	}
	d.site.rec.event("cut-begins", "worker", w.id)
}

func (d *detour) isCutOff(w *worker) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cut == w
}

// lay puts the detour before a worker.
func (d *detour) lay(w *worker) error {
	target := &url.URL{Scheme: "http", Host: w.address}
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.ErrorHandler = func(_ http.ResponseWriter, r *http.Request, _ error) {
		if d.isCutOff(w) {
			<-r.Context().Done()
		}
		panic(http.ErrAbortHandler)
	}
	address, err := d.site.serve(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if d.isCutOff(w) || r.URL.Path == startPath && d.holdUp(w, r) {
			<-r.Context().Done()
			return
		}
		proxy.ServeHTTP(rw, r)
	}))
	w.public = address
	return err
}

// holdUp reports whether a start order is held up, and delivers it later if so.
func (d *detour) holdUp(w *worker, r *http.Request) bool {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	d.mu.Lock()
	hold := d.job != "" && strings.Contains(string(body), `"Task":"`+d.job+`.`)
	if hold {
		d.job = ""
	}
	d.mu.Unlock()
	if !hold {
		return false
	}
	d.site.rec.event("order-held-up", "worker", w.id, "order", string(body))
	go d.deliver(w, r.Header.Clone(), body)
	d.held <- w
	return true
}

// deliver delivers an order that was held up.
func (d *detour) deliver(w *worker, header http.Header, body []byte) {
	time.Sleep(lateBy)
	request, err := http.NewRequest(http.MethodPost, "http://"+w.address+startPath, bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header = header
	response, err := d.site.client.Do(request)
	if err != nil {
		d.site.rec.event("order-not-delivered", "worker", w.id, "error", err)
		return
	}
	_ = response.Body.Close()
	d.site.rec.event("order-delivered", "worker", w.id, "status", response.StatusCode)
}

// playLateStart holds up the first of two start orders of a run. The second one is answered, and the run fails soon, so that the task goes
// on as the next run on another worker. The first worker is cut off, crashes behind the cut and starts again, and the order reaches it.
func playLateStart(s *site, trouble bool) error {
	const workers = 8
	q := queue{name: "recon", priority: 2, maxAttempts: 3}
	d := &detour{site: s, held: make(chan *worker, 1)}
	s.detour = d
	if err := s.startSite(workers, q); err != nil {
		return err
	}
	// Orders that are answered, and time for the workers' clocks.
	if err := s.submit(q, jobID(0), 60, task{WorkMs: 500, Need: amount{CPU: 2000, MemMb: 2048, Gpu: 1}}); err != nil {
		return err
	}
	time.Sleep(15 * time.Second)
	id := jobID(1)
	if trouble {
		d.mu.Lock()
		d.job = id
		d.mu.Unlock()
	}
	if err := s.submit(q, id, 1, task{WorkMs: 15000, Need: amount{CPU: 4000, MemMb: 4096, Gpu: 8}, FailsOnceMs: 600}); err != nil {
		return err
	}
	if trouble {
		if err := s.restartBehindCut(d); err != nil {
			return err
		}
	}
	time.Sleep(8 * time.Second)
	return nil
}

// restartBehindCut waits for an order to be held up, and cuts its worker off for 5.5 s. The worker crashes meanwhile and starts again.
func (s *site) restartBehindCut(d *detour) error {
	var w *worker
	select {
	case w = <-d.held:
	case <-time.After(5 * time.Second):
		return errors.New("no order was held up")
	}
	time.Sleep(2 * time.Second)
	d.cutOff(w)
	time.AfterFunc(5500*time.Millisecond, func() { d.cutOff(nil) })
	w.crash()
	time.Sleep(time.Second)
	return w.startLife(kindA)
}
