package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"clementinepier/job"
)

const (
	// outcomeRetention is how long a receiver keeps outcomes for callers that retry.
	outcomeRetention = 5 * time.Minute
	// maxRequests limits the requests of one receiver that are in flight or whose outcome is kept.
	maxRequests = 20_000
	// maxRetainedAnswerBytes limits the total size of the answers kept for callers that retry. The rack owners and the
	// workers keep them as well.
	maxRetainedAnswerBytes = 64 << 20
)

// trackedRequest is a request that this VM received or adopted. It is in flight until it has an outcome.
type trackedRequest struct {
	request  job.Request
	digest   string
	deadline time.Time
	// journalDeadline is the latest deadline of the journal records that may exist for the request, or zero if there are
	// none. It is guarded by requestTable.mu.
	journalDeadline time.Time
	// durable is true once the request is known to be in the journal. It is guarded by requestTable.mu.
	durable bool
	ended   chan struct{}
	// outcome is set before ended is closed.
	outcome job.Outcome
	endedAt time.Time
}

func (h *trackedRequest) isEnded() bool {
	select {
	case <-h.ended:
		return true
	default:
		return false
	}
}

// requestTable contains the requests that this VM received or adopted.
type requestTable struct {
	clock clockwork.Clock
	mu    sync.Mutex
	byKey map[job.Key]*trackedRequest
	// open is the number of requests without an outcome.
	open int
}

func newRequestTable(clock clockwork.Clock) *requestTable {
	return &requestTable{clock: clock, byKey: map[job.Key]*trackedRequest{}}
}

// getOrAdd returns the tracked request with the same key, or adds a new one if there is none or if the earlier one has ended
// and may run again. It returns nil if the id is in use for another request.
func (t *requestTable) getOrAdd(req job.Request, digest string, deadline time.Time) (h *trackedRequest, created bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.byKey[req.Key()]
	if ok && h.digest != digest {
		return nil, false
	}
	if ok && (!h.isEnded() || !h.outcome.MayRunAgain(req.Idempotent)) {
		return h, false
	}
	h = &trackedRequest{request: req, digest: digest, deadline: deadline, ended: make(chan struct{})}
	t.byKey[req.Key()] = h
	t.open++
	return h, true
}

func (t *requestTable) end(h *trackedRequest, outcome job.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h.outcome, h.endedAt = outcome, t.clock.Now()
	t.open--
	close(h.ended)
}

func (t *requestTable) find(key job.Key) (*trackedRequest, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.byKey[key]
	return h, ok
}

func (t *requestTable) openCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open
}

// volatileCount returns the number of requests without an outcome that would be lost with this process.
func (t *requestTable) volatileCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, h := range t.byKey {
		if !h.durable && !h.isEnded() {
			n++
		}
	}
	return n
}

// setDurable records that the request is known to be in the journal.
func (t *requestTable) setDurable(h *trackedRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h.durable = true
}

// isFull reports whether the table has reached maxRequests.
func (t *requestTable) isFull() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byKey) >= maxRequests
}

// setJournalDeadline records that the journal may have a record of the request with this deadline.
func (t *requestTable) setJournalDeadline(h *trackedRequest, deadline time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if deadline.After(h.journalDeadline) {
		h.journalDeadline = deadline
	}
}

// journalRecordKey identifies the journal record of a request that has ended.
type journalRecordKey struct {
	key      job.Key
	deadline time.Time
}

// prune removes the outcomes that are older than outcomeRetention, and the oldest ones beyond maxRetainedAnswerBytes. It
// returns the keys of the journal records that may exist for them.
func (t *requestTable) prune() []journalRecordKey {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ended []*trackedRequest
	for _, h := range t.byKey {
		if h.isEnded() {
			ended = append(ended, h)
		}
	}
	// The most recent outcomes come first and are kept as long as the total size of the answers is within the limit.
	slices.SortFunc(ended, func(a, b *trackedRequest) int { return b.endedAt.Compare(a.endedAt) })
	var dropped []journalRecordKey
	now, size := t.clock.Now(), 0
	for _, h := range ended {
		size += len(h.outcome.Answer)
		if now.Sub(h.endedAt) <= outcomeRetention && size <= maxRetainedAnswerBytes {
			continue
		}
		delete(t.byKey, h.request.Key())
		if !h.journalDeadline.IsZero() {
			dropped = append(dropped, journalRecordKey{key: h.request.Key(), deadline: h.journalDeadline})
		}
	}
	return dropped
}
