package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeDelay is how long the store takes for an answer.
	storeDelay = 4 * time.Millisecond
	// maxPage is how many items a page has.
	maxPage = 500
)

// item is an item of the store, or an event of a watch.
type item struct {
	Key       string
	Value     []byte `json:",omitempty"`
	Revision  int64
	CreatedAt int64 `json:",omitempty"`
	Lease     int64 `json:",omitempty"`
	Deleted   bool  `json:",omitempty"`
}

// lease is a lease of the store.
type lease struct {
	ttl   time.Duration
	until time.Time
}

// store is the platform's metadata store.
type store struct {
	rec *record

	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision int64
	leases   map[int64]*lease
	// changed is closed and replaced at each change.
	changed chan struct{}
	// lastWriter is the node that last wrote under a condition.
	lastWriter string
}

// newStore returns an empty store.
func newStore(rec *record) *store {
	s := &store{rec: rec, items: map[string]item{}, revision: 100, leases: map[int64]*lease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

// serve serves the store for one node, which it knows by the listener.
func (s *store) serve(l net.Listener, node string) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.get)
	mux.HandleFunc("GET /-/kv-range", s.list)
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	mux.HandleFunc("POST /-/kv-txn", func(w http.ResponseWriter, r *http.Request) { s.txn(w, r, node) })
	mux.HandleFunc("POST /-/kv-lease", s.grant)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.endLease)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	// Serve returns when the rig ends.
	_ = server.Serve(l)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may have gone.
	_ = json.NewEncoder(w).Encode(body)
}

// apply records a change under the present revision. The caller holds mu.
func (s *store) apply(i item) {
	i.Revision = s.revision
	if i.Deleted {
		delete(s.items, i.Key)
	} else {
		i.CreatedAt = s.revision
		if before, ok := s.items[i.Key]; ok {
			i.CreatedAt = before.CreatedAt
		}
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
}

// announce wakes the watches. The caller holds mu.
func (s *store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator or a worker does.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.apply(item{Key: key, Value: value})
	s.announce()
}

// remove deletes a key as the platform does.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	s.apply(item{Key: key, Deleted: true})
	s.announce()
}

// writer returns the node that last wrote under a condition.
func (s *store) writer() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastWriter
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.until) {
			s.dropLease(id)
		}
	}
}

// dropLease ends a lease and removes its keys. The caller holds mu.
func (s *store) dropLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.revision++
			s.apply(item{Key: key, Deleted: true})
		}
	}
	s.announce()
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("Key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"StoreRevision": revision})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		StoreRevision int64
	}{i, revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	query := r.URL.Query()
	s.mu.Lock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, query.Get("Prefix")) && key > query.Get("After") {
			found = append(found, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	more := len(found) > maxPage
	reply(w, http.StatusOK, map[string]any{"items": found[:min(maxPage, len(found))], "HasMore": more, "StoreRevision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("After"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("WaitMs"), 10, 64)
	over := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("Prefix")) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		done := len(events) > 0
		if !done {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-over:
			}
		}
		reply(w, http.StatusOK, map[string]any{"events": events, "StoreRevision": revision})
		return
	}
}

// txnBody is the body of a transaction.
type txnBody struct {
	ExpectedRev []struct {
		Key      string
		Revision int64
	}
	Writes []struct {
		Key   string
		Value []byte
		Lease int64
	}
	Deletes []string
}

// forbidden reports whether the system may not write the key.
func forbidden(key string) bool {
	return strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/")
}

func (s *store) txn(w http.ResponseWriter, r *http.Request, node string) {
	time.Sleep(storeDelay)
	var body txnBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || len(body.ExpectedRev)+len(body.Writes)+len(body.Deletes) > 32 {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, conflict := []item{}, false
	for _, e := range body.ExpectedRev {
		i := s.items[e.Key]
		i.Key = e.Key
		current, conflict = append(current, i), conflict || i.Revision != e.Revision
	}
	if conflict {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, i := range body.Writes {
		if forbidden(i.Key) {
			reply(w, http.StatusForbidden, map[string]any{})
			return
		}
		if _, ok := s.leases[i.Lease]; i.Lease != 0 && !ok {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	s.revision++
	for _, i := range body.Writes {
		s.apply(item{Key: i.Key, Value: i.Value, Lease: i.Lease})
	}
	for _, key := range body.Deletes {
		s.apply(item{Key: key, Deleted: true})
	}
	s.announce()
	if len(body.ExpectedRev) > 0 {
		s.lastWriter = node
	}
	reply(w, http.StatusOK, map[string]any{"Revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	var body struct{ TtlMs int64 } //nolint:revive // the name on the wire
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.TtlMs < 1000 {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(body.TtlMs) * time.Millisecond
	s.leases[s.revision] = &lease{ttl: ttl, until: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"Lease": s.revision, "TtlMs": body.TtlMs})
}

// leaseOf returns the lease that a call names, or nil. The caller holds mu.
func (s *store) leaseOf(r *http.Request) (int64, *lease) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	return id, s.leases[id]
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	_, l := s.leaseOf(r)
	if l == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.until = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"TtlMs": l.ttl.Milliseconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	id, l := s.leaseOf(r)
	if l == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.dropLease(id)
	reply(w, http.StatusOK, map[string]any{})
}
