// Package site is a stand-in, in one process, for the store and the workers of the users' platform, with faults that tests
// set and an oracle that watches every start. It uses the time package, so that it also runs in virtual time.
package site

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"clementinepier/engine"
)

const (
	// storeLatency is how long the store takes for a call.
	storeLatency = 4 * time.Millisecond
	// watchPoll is how often a watch that waits looks for changes.
	watchPoll = 20 * time.Millisecond
)

var errSilent = errors.New("silent")

// Store is a store with revisions, leases and watches.
type Store struct {
	// KeepDelay is how much longer a renewal takes than other calls. Set it before the first one.
	KeepDelay time.Duration
	// CommitDelay is how much longer a commit takes than other calls. Set it before the first one.
	CommitDelay time.Duration

	mu       sync.Mutex
	items    map[string]engine.Item
	leases   map[int64]time.Time
	ttl      map[int64]time.Duration
	bound    map[string]int64
	history  []engine.Item
	revision int64
	// silent makes every call time out without effect.
	silent bool
	// loseWrites makes writes take effect and time out.
	loseWrites bool
	// refusing makes writes fail without effect.
	refusing bool
	// loseEvery makes each so many-th commit take effect and time out; 0 loses none. commits counts them.
	loseEvery, commits int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		items: map[string]engine.Item{}, leases: map[int64]time.Time{}, ttl: map[int64]time.Duration{}, bound: map[string]int64{}, revision: 1,
	}
}

// Engine returns the calls of the store.
func (s *Store) Engine() engine.Store {
	return engine.Store{Commit: s.commit, Get: s.get, List: s.list, Watch: s.watch, GrantLease: s.grant, RenewLease: s.keep, RevokeLease: s.end}
}

// enter waits for the latency and reports whether the store answers.
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
		s.endLease(id)
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for key, lease := range s.bound {
		if lease == id {
			s.put(engine.Item{Key: key, Deleted: true})
		}
	}
}

// Write changes a key as the platform or an operator does.
func (s *Store) Write(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(engine.Item{Key: key, Value: value})
}

// Remove deletes a key as the platform or an operator does.
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

func (s *Store) put(i engine.Item) {
	s.revision++
	s.record(i)
}

// record takes in a change that belongs to the current revision.
func (s *Store) record(i engine.Item) {
	i.Revision = s.revision
	if i.Deleted {
		delete(s.items, i.Key)
		delete(s.bound, i.Key)
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
		return 0, &engine.ErrNotDone{Cause: errSilent}
	}
	var conflict []engine.Item
	check := func(key string, expected int64) {
		current := s.items[key]
		current.Key = key
		if expected != engine.AnyRevision && current.Revision != expected {
			conflict = append(conflict, current)
		}
	}
	entries := len(t.Preconditions)
	for _, h := range t.Preconditions {
		check(h.Key, h.Revision)
	}
	for _, w := range t.Writes {
		check(w.Key, w.Expected)
		entries++
		if w.Expected != engine.AnyRevision {
			entries++
		}
	}
	if entries > engine.MaxTxnEntries {
		return 0, &engine.ErrNotDone{Cause: errors.Errorf("%d entries", entries)}
	}
	if len(conflict) > 0 {
		for _, h := range t.Preconditions {
			conflict = append(conflict, s.items[h.Key])
		}
		return 0, &engine.ErrConflict{Items: conflict}
	}
	s.revision++
	for _, w := range t.Writes {
		s.record(engine.Item{Key: w.Key, Value: w.Value, Deleted: w.Delete})
		if w.Lease != 0 {
			s.bound[w.Key] = w.Lease
		}
	}
	if s.loseWrites {
		return 0, &engine.ErrUnanswered{Cause: errSilent}
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

func (s *Store) watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]engine.Item, int64, error) {
	end := time.Now().Add(wait)
	for {
		if err := s.enter(ctx); err != nil {
			return nil, 0, err
		}
		var events []engine.Item
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
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

func (s *Store) grant(ctx context.Context, ttl time.Duration) (int64, error) {
	if err := s.enter(ctx); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	s.revision++
	s.leases[s.revision], s.ttl[s.revision] = time.Now().Add(ttl), ttl
	return s.revision, nil
}

func (s *Store) keep(ctx context.Context, lease int64) error {
	time.Sleep(s.KeepDelay)
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

func (s *Store) end(ctx context.Context, lease int64) error {
	if err := s.enter(ctx); err != nil {
		return err
	}
	defer s.mu.Unlock()
	s.endLease(lease)
	return nil
}

// SetLosing makes the store lose the answers to writes, or answer again.
func (s *Store) SetLosing(losing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseWrites = losing
}

// SetLoseEvery makes the store lose the answer to each n-th commit; 0 loses none.
func (s *Store) SetLoseEvery(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseEvery, s.commits = n, 0
}

// SetRefusing makes the store refuse writes, or accept them again.
func (s *Store) SetRefusing(refusing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing = refusing
}

// SetSilent makes the store stop or start answering.
func (s *Store) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}
