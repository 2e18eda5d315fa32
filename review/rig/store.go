package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeLatency is the duration of a call to the store.
	storeLatency = 4 * time.Millisecond
	// maxTxnEntries bounds the rows of a transaction.
	maxTxnEntries = 32
	// maxValueBytes bounds one value.
	maxValueBytes = 1 << 20
	// minLease is the shortest lease.
	minLease = time.Second
	// rangePage bounds the items of one page of a range.
	rangePage = 500
	// maxWatchWait bounds the wait of a watch.
	maxWatchWait = 30 * time.Second
	// expiryInterval is how often leases are checked.
	expiryInterval = 5 * time.Millisecond
)

// item is an item of the store, or an event of a watch, on the wire.
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
	ttl time.Duration
	end time.Time
}

// store is a sound key-value store with revisions, leases and watches.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	revision int64
	// changed is closed and replaced with each change.
	changed chan struct{}
	stop    chan struct{}
	// busySince is when the store began to refuse all calls; zero while it serves them.
	busySince time.Time
}

func newStore() *store {
	s := &store{items: map[string]item{}, leases: map[int64]*lease{}, revision: 1, changed: make(chan struct{}), stop: make(chan struct{})}
	go s.expireLeases()
	return s
}

func (s *store) close() { close(s.stop) }

// expireLeases removes the keys of leases that have ended.
func (s *store) expireLeases() {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		for id, l := range s.leases {
			if s.busySince.IsZero() && time.Now().After(l.end) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease removes a lease and its keys. The caller holds mu.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.revision++
			s.apply(item{Key: key, Deleted: true})
		}
	}
}

// apply records one change under the present revision. The caller holds mu.
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
	close(s.changed)
	s.changed = make(chan struct{})
}

// write sets a key, as the operator, a worker or another writer does.
func (s *store) write(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.apply(item{Key: key, Value: data})
}

// remove deletes a key, as the platform does.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.apply(item{Key: key, Deleted: true})
}

// value returns the value of a key, or nil.
func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// handler serves the store's calls.
func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.serveKey)
	mux.HandleFunc("GET /-/kv-range", s.serveRange)
	mux.HandleFunc("GET /-/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /-/kv-txn", s.serveTxn)
	mux.HandleFunc("POST /-/kv-lease", s.serveGrant)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.serveLeaseEnd)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeLatency)
		if s.isBusy() {
			reply(w, http.StatusServiceUnavailable, map[string]any{})
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// setBusy makes the store refuse all calls with 503, or serve them again. Leases pause meanwhile.
func (s *store) setBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if busy {
		s.busySince = time.Now()
		return
	}
	for _, l := range s.leases {
		l.end = l.end.Add(time.Since(s.busySince))
	}
	s.busySince = time.Time{}
}

func (s *store) isBusy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.busySince.IsZero()
}

// reply writes a JSON reply. An error means that the client has gone.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
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

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("Prefix"), r.URL.Query().Get("After")
	s.mu.Lock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(found) > rangePage
	reply(w, http.StatusOK, map[string]any{"items": found[:min(len(found), rangePage)], "HasMore": more, "StoreRevision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("After"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("WaitMs"))
	timeout := time.After(min(maxWatchWait, time.Duration(ms)*time.Millisecond))
	for {
		events, revision, changed := s.since(q.Get("Prefix"), after)
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "StoreRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-s.stop:
			return
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": []item{}, "StoreRevision": revision})
			return
		}
	}
}

// since returns the changes under a prefix after a revision, the present revision, and a channel that is closed with the next
// change.
func (s *store) since(prefix string, after int64) ([]item, int64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := len(s.history)
	for first > 0 && s.history[first-1].Revision > after {
		first--
	}
	var events []item
	for _, i := range s.history[first:] {
		if strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events, s.revision, s.changed
}

// txn is a transaction on the wire.
type txn struct {
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

// status returns the status with which a transaction is refused whatever the store contains, or 0.
func (t *txn) status() int {
	if len(t.ExpectedRev)+len(t.Writes)+len(t.Deletes) > maxTxnEntries {
		return http.StatusBadRequest
	}
	keys := slices.Clone(t.Deletes)
	for _, x := range t.Writes {
		if len(x.Value) > maxValueBytes {
			return http.StatusBadRequest
		}
		keys = append(keys, x.Key)
	}
	for _, key := range keys {
		if strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/") {
			return http.StatusForbidden
		}
	}
	return 0
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	if status := t.status(); status != 0 {
		reply(w, status, map[string]any{})
		return
	}
	status, body := s.commit(&t)
	reply(w, status, body)
}

// commit applies a transaction if its conditions hold and returns the reply.
func (s *store) commit(t *txn) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []item{}
	conflict := false
	for _, e := range t.ExpectedRev {
		i := s.items[e.Key]
		i.Key = e.Key
		current = append(current, i)
		conflict = conflict || i.Revision != e.Revision
	}
	if conflict {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, x := range t.Writes {
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			return http.StatusNotFound, map[string]any{}
		}
	}
	s.revision++
	for _, x := range t.Writes {
		s.apply(item{Key: x.Key, Value: x.Value, Lease: x.Lease})
	}
	for _, key := range t.Deletes {
		if _, ok := s.items[key]; ok {
			s.apply(item{Key: key, Deleted: true})
		}
	}
	return http.StatusOK, map[string]any{"Revision": s.revision}
}

func (s *store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"TtlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	ttl := max(minLease, time.Duration(in.TTL)*time.Millisecond)
	s.mu.Lock()
	s.revision++
	id := s.revision
	s.leases[id] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]int64{"Lease": id, "TtlMs": ttl.Milliseconds()})
}

// leaseID returns the lease that a path names; 0 means none.
func leaseID(r *http.Request) int64 {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	return id
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	l, ok := s.leases[leaseID(r)]
	if ok {
		l.end = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	reply(w, http.StatusOK, map[string]any{})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	_, ok := s.leases[leaseID(r)]
	if ok {
		s.endLease(leaseID(r))
	}
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	reply(w, http.StatusOK, map[string]any{})
}
