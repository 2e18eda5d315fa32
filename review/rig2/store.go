package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is an item of the store, or an event of a watch, on the wire.
type storeItem struct {
	Key       string
	Value     []byte `json:",omitempty"`
	Revision  int64
	CreatedAt int64 `json:",omitempty"`
	Lease     int64 `json:",omitempty"`
	Deleted   bool  `json:",omitempty"`
}

// store is a stand-in for the platform's store. It keeps its whole history.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]storeItem
	history  []storeItem
	leases   map[int64]lease
	changed  chan struct{}
}

// lease is a lease of the store.
type lease struct {
	length time.Duration
	until  time.Time
}

func newStore() *store {
	s := &store{revision: 1, items: map[string]storeItem{}, leases: map[int64]lease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			s.endLeases()
			s.mu.Unlock()
		}
	}()
	return s
}

// endLeases deletes the keys of the leases that have ended. The caller holds mu.
func (s *store) endLeases() {
	for id, l := range s.leases {
		if time.Now().After(l.until) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease. The caller holds mu.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.revision++
			s.remove(key)
		}
	}
}

// put writes an item at the present revision. The caller holds mu.
func (s *store) put(key string, value []byte, id int64) {
	item := storeItem{Key: key, Value: value, Revision: s.revision, CreatedAt: s.revision, Lease: id}
	if before, ok := s.items[key]; ok {
		item.CreatedAt = before.CreatedAt
	}
	s.items[key] = item
	s.record(item)
}

// remove deletes an item at the present revision. The caller holds mu.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.record(storeItem{Key: key, Revision: s.revision, Deleted: true})
	}
}

func (s *store) record(event storeItem) {
	s.history = append(s.history, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

// write writes a key for the operator or a worker.
func (s *store) write(key string, value any) {
	data, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, data, 0)
}

// writeIfChanged writes a key unless it has the value.
func (s *store) writeIfChanged(key string, value any) {
	data, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	if item, ok := s.items[key]; !ok || !bytes.Equal(item.Value, data) {
		s.revision++
		s.put(key, data, 0)
	}
}

// deleteKey deletes a key for the operator or a worker.
func (s *store) deleteKey(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch path := r.URL.Path; {
	case path == "/-/kv-key":
		s.serveKey(w, r)
	case path == "/-/kv-range":
		s.serveRange(w, r)
	case path == "/-/kv-watch":
		s.serveWatch(w, r)
	case path == "/-/kv-txn":
		s.serveTxn(w, r)
	case path == "/-/kv-lease":
		s.serveLease(w, r)
	case strings.HasPrefix(path, "/-/kv-keep/"):
		s.serveKeep(w, strings.TrimPrefix(path, "/-/kv-keep/"))
	case strings.HasPrefix(path, "/-/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/-/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		s.endLease(id)
		s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{})
	default:
		reply(w, http.StatusNotFound, map[string]any{})
	}
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	item, ok := s.items[r.URL.Query().Get("Key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"StoreRevision": revision})
		return
	}
	reply(w, http.StatusOK, struct {
		storeItem
		StoreRevision int64
	}{item, revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	const page = 500
	query := r.URL.Query()
	s.mu.Lock()
	found := []storeItem{}
	for key, item := range s.items {
		if strings.HasPrefix(key, query.Get("Prefix")) && key > query.Get("After") {
			found = append(found, item)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > page
	if more {
		found = found[:page]
	}
	reply(w, http.StatusOK, map[string]any{"items": found, "HasMore": more, "StoreRevision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []storeItem{}
		for _, event := range s.history {
			if event.Revision > after && strings.HasPrefix(event.Key, query.Get("Prefix")) {
				events = append(events, event)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		over := len(events) > 0
		if !over {
			select {
			case <-changed:
				continue
			case <-timeout:
			case <-r.Context().Done():
				return
			}
		}
		reply(w, http.StatusOK, map[string]any{"events": events, "StoreRevision": revision})
		return
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var in struct {
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
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLeases()
	holds := true
	current := []storeItem{}
	for _, e := range in.ExpectedRev {
		holds = holds && s.items[e.Key].Revision == e.Revision
		if item, ok := s.items[e.Key]; ok {
			current = append(current, item)
		}
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, write := range in.Writes {
		if _, ok := s.leases[write.Lease]; write.Lease != 0 && !ok {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	s.revision++
	for _, write := range in.Writes {
		s.put(write.Key, write.Value, write.Lease)
	}
	for _, key := range in.Deletes {
		s.remove(key)
	}
	reply(w, http.StatusOK, map[string]any{"Revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"TtlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	length := max(time.Second, time.Duration(in.TTL)*time.Millisecond)
	s.mu.Lock()
	s.revision++
	id := s.revision
	s.leases[id] = lease{length: length, until: time.Now().Add(length)}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"Lease": id, "TtlMs": length.Milliseconds()})
}

func (s *store) serveKeep(w http.ResponseWriter, path string) {
	id, _ := strconv.ParseInt(path, 10, 64)
	s.mu.Lock()
	s.endLeases()
	l, ok := s.leases[id]
	if ok {
		l.until = time.Now().Add(l.length)
		s.leases[id] = l
	}
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	reply(w, http.StatusOK, map[string]any{"TtlMs": l.length.Milliseconds()})
}

// reply sends a status and a JSON body.
func reply(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
