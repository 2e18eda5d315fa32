// Package site simulates the store and the workers of the users' platform in one process. Tests inject faults, and an oracle
// checks every start. All timing goes through the time package, so that the simulation also runs in virtual time.
package site

import (
	"context"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"clementinepier/engine"
)

const (
	// storeLatency is the duration of a call to the store.
	storeLatency = 4 * time.Millisecond
	// watchPoll is the interval at which a waiting watch checks for changes.
	watchPoll = 20 * time.Millisecond
)

var errNoAnswer = errors.New("silent")

// Store simulates a key-value store with revisions, leases and watches.
type Store struct {
	// RenewalDelay is the extra duration of a lease renewal compared with other calls. Set it before the first one.
	RenewalDelay time.Duration
	// CommitDelay is the extra duration of a commit compared with other calls. Set it before the first one.
	CommitDelay time.Duration
	// PauseLeases keeps leases from running out while the store is silent; otherwise they run out as usual. Set it before the
	// store is silent.
	PauseLeases bool

	mu         sync.Mutex
	items      map[string]engine.Item
	leases     map[int64]time.Time
	ttl        map[int64]time.Duration
	leaseByKey map[string]int64
	history    []engine.Item
	revision   int64
	// silent makes every call time out without effect. silentSince is when that began.
	silent      bool
	silentSince time.Time
	// loseWrites makes commits take effect and return ErrUnanswered.
	loseWrites bool
	// refusing makes commits fail without effect.
	refusing bool
	// loseEvery makes every n-th commit take effect and time out; 0 turns this off. commits counts the commits since it was set.
	loseEvery, commits int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		items: map[string]engine.Item{}, leases: map[int64]time.Time{}, ttl: map[int64]time.Duration{}, leaseByKey: map[string]int64{}, revision: 1,
	}
}

// Engine returns the store's calls as an engine.Store.
func (s *Store) Engine() engine.Store {
	return engine.Store{Commit: s.commit, Get: s.get, List: s.list, Scan: s.scan, Watch: s.watch, GrantLease: s.grantLease, RenewLease: s.renewLease, RevokeLease: s.revokeLease}
}

// enter waits for the latency of a call and returns with s.mu held and expired leases removed. If the store is silent, it waits
// until ctx is done and returns an error without holding s.mu.
func (s *Store) enter(ctx context.Context) error {
	time.Sleep(storeLatency)
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return &engine.ErrUnanswered{Cause: ctx.Err()}
	}
	s.mu.Lock()
	s.expire()
	return nil
}

func (s *Store) expire() {
	for id, end := range s.leases {
		if time.Now().Before(end) {
			continue
		}
		s.removeLease(id)
	}
}

func (s *Store) removeLease(id int64) {
	delete(s.leases, id)
	for key, lease := range s.leaseByKey {
		if lease == id {
			s.put(engine.Item{Key: key, Deleted: true})
		}
	}
}

// Write sets a key directly, as the platform or an operator would.
func (s *Store) Write(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(engine.Item{Key: key, Value: value})
}

// Remove deletes a key directly, as the platform or an operator would.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(engine.Item{Key: key, Deleted: true})
}

// Revision returns the revision of a key, 0 if it does not exist.
func (s *Store) Revision(key string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Revision
}

// value returns the value of a key, nil if it does not exist.
func (s *Store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func (s *Store) put(i engine.Item) {
	s.revision++
	s.record(i)
}

// record applies a change under the current revision and adds it to the history.
func (s *Store) record(i engine.Item) {
	i.Revision = s.revision
	if i.Deleted {
		delete(s.items, i.Key)
		delete(s.leaseByKey, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
}

func (s *Store) commit(ctx context.Context, t engine.Txn) (int64, error) {
	time.Sleep(s.CommitDelay)
	if err := s.enter(ctx); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	if s.refusing {
		return 0, &engine.ErrNotDone{Cause: errNoAnswer}
	}
	var current []engine.Item
	conflict := false
	check := func(key string, expected int64) {
		if expected == engine.AnyRevision {
			return
		}
		item := s.items[key]
		item.Key = key
		current, conflict = append(current, item), conflict || item.Revision != expected
	}
	entries := len(t.Preconditions)
	for _, p := range t.Preconditions {
		check(p.Key, p.Revision)
	}
	for _, w := range t.Writes {
		check(w.Key, w.Expected)
		entries++
		if w.Expected != engine.AnyRevision {
			entries++
		}
	}
	if entries > engine.MaxTxnEntries {
		return 0, &engine.ErrNotDone{Cause: errors.Errorf("transaction has %d entries; the limit is %d", entries, engine.MaxTxnEntries)}
	}
	if conflict {
		return 0, &engine.ErrConflict{Items: current}
	}
	s.revision++
	for _, w := range t.Writes {
		s.record(engine.Item{Key: w.Key, Value: w.Value, Deleted: w.Delete})
		if w.Lease != 0 {
			s.leaseByKey[w.Key] = w.Lease
		}
	}
	if s.loseWrites {
		return 0, &engine.ErrUnanswered{Cause: errNoAnswer}
	}
	revision := s.revision
	if s.commits++; s.loseEvery > 0 && s.commits%s.loseEvery == 0 {
		s.mu.Unlock()
		<-ctx.Done()
		s.mu.Lock()
		return 0, &engine.ErrUnanswered{Cause: ctx.Err()}
	}
	return revision, nil
}

func (s *Store) get(ctx context.Context, key string) (engine.Item, error) {
	if err := s.enter(ctx); err != nil {
		return engine.Item{}, err
	}
	defer s.mu.Unlock()
	i, ok := s.items[key]
	if !ok {
		return engine.Item{}, &engine.ErrNotExist{Name: key}
	}
	return i, nil
}

func (s *Store) list(ctx context.Context, prefix string) ([]engine.Item, int64, error) {
	if err := s.enter(ctx); err != nil {
		return nil, 0, err
	}
	defer s.mu.Unlock()
	var found []engine.Item
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, prefix) {
			found = append(found, s.items[key])
		}
	}
	return found, s.revision, nil
}

const (
	// maxPageItems and maxPageSize, in bytes of values, bound a page of a listing.
	maxPageItems = 500
	maxPageSize  = 1 << 20
)

// Page returns the first page of the items, which are in the order of their keys, after the given key, and whether there are more.
func Page(items []engine.Item, after string) (page []engine.Item, more bool) {
	begin := sort.Search(len(items), func(i int) bool { return items[i].Key > after })
	size := 0
	for i, item := range items[begin:] {
		if i == maxPageItems || size >= maxPageSize {
			return items[begin : begin+i], true
		}
		size += len(item.Value)
	}
	return items[begin:], false
}

func (s *Store) scan(ctx context.Context, prefix, after string, each func(engine.Item)) (bool, error) {
	items, _, err := s.list(ctx, prefix)
	if err != nil {
		return false, err
	}
	page, more := Page(items, after)
	for _, i := range page {
		each(i)
	}
	return more, nil
}

func (s *Store) watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]engine.Item, int64, error) {
	end := time.Now().Add(wait)
	for {
		if err := s.enter(ctx); err != nil {
			return nil, 0, err
		}
		var events []engine.Item
		// The history is in the order of revisions, of which several entries may have the same.
		next := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, i := range s.history[next:] {
			if strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		at := s.revision
		s.mu.Unlock()
		if len(events) > 0 || !time.Now().Before(end) {
			return events, at, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, &engine.ErrUnanswered{Cause: ctx.Err()}
		case <-time.After(watchPoll):
		}
	}
}

func (s *Store) grantLease(ctx context.Context, ttl time.Duration) (int64, error) {
	if err := s.enter(ctx); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	s.revision++
	s.leases[s.revision], s.ttl[s.revision] = time.Now().Add(ttl), ttl
	return s.revision, nil
}

func (s *Store) renewLease(ctx context.Context, lease int64) error {
	time.Sleep(s.RenewalDelay)
	if err := s.enter(ctx); err != nil {
		return err
	}
	defer s.mu.Unlock()
	if _, ok := s.leases[lease]; !ok {
		return &engine.ErrNotExist{Name: "lease"}
	}
	s.leases[lease] = time.Now().Add(s.ttl[lease])
	return nil
}

func (s *Store) revokeLease(ctx context.Context, lease int64) error {
	if err := s.enter(ctx); err != nil {
		return err
	}
	defer s.mu.Unlock()
	s.removeLease(lease)
	return nil
}

// SetLoseWrites makes writes take effect without an answer, or turns that off.
func (s *Store) SetLoseWrites(lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseWrites = lose
}

// SetLoseEvery makes every n-th commit take effect without an answer; 0 turns this off.
func (s *Store) SetLoseEvery(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseEvery, s.commits = n, 0
}

// SetRefusing makes the store refuse commits, or accept them again.
func (s *Store) SetRefusing(refusing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing = refusing
}

// SetSilent makes the store stop or start answering.
func (s *Store) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case silent && !s.silent:
		s.silentSince = time.Now()
	case !silent && s.silent && s.PauseLeases:
		for id, end := range s.leases {
			if end.After(s.silentSince) {
				s.leases[id] = end.Add(time.Since(s.silentSince))
			}
		}
	}
	s.silent = silent
}
