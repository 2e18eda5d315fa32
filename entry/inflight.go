package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"clementinepier/job"
)

const (
	// outcomeRetention is how long a receiver keeps outcomes for callers that ask again.
	outcomeRetention = 5 * time.Minute
	// maxRequests bounds the requests that one receiver has in flight or keeps the outcome of.
	maxRequests = 20_000
	// maxKeptAnswers bounds the bytes of the answers kept for callers that ask again; the rack owners and the workers
	// have them, too.
	maxKeptAnswers = 64 << 20
)

// inFlight is one request that this VM received.
type inFlight struct {
	request  job.Request
	digest   string
	deadline time.Time
	// keptUntil is the latest deadline of the records that the journal may have of the request, zero if none; it is guarded
	// by the directory.
	keptUntil time.Time
	// durable is true once the journal certainly has the request; it is guarded by the directory.
	durable bool
	ended   chan struct{}
	// outcome is set before ended is closed.
	outcome job.Outcome
	endedAt time.Time
}

func (h *inFlight) isEnded() bool {
	select {
	case <-h.ended:
		return true
	default:
		return false
	}
}

// requestDirectory has the requests that this VM received.
type requestDirectory struct {
	clock clockwork.Clock
	mu    sync.Mutex
	byKey map[job.Key]*inFlight
	// open counts the requests without an outcome.
	open int
}

func newRequestDirectory(clock clockwork.Clock) *requestDirectory {
	return &requestDirectory{clock: clock, byKey: map[job.Key]*inFlight{}}
}

// take returns the request in flight, creating it if there is none; created tells which. It returns nil when the id is
// in use for another request.
func (d *requestDirectory) take(req job.Request, digest string, deadline time.Time) (h *inFlight, created bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h, ok := d.byKey[req.Key()]
	if ok && h.digest != digest {
		return nil, false
	}
	if ok && (!h.isEnded() || !h.outcome.MayRunAgain(req.Idempotent)) {
		return h, false
	}
	h = &inFlight{request: req, digest: digest, deadline: deadline, ended: make(chan struct{})}
	d.byKey[req.Key()] = h
	d.open++
	return h, true
}

func (d *requestDirectory) end(h *inFlight, outcome job.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h.outcome, h.endedAt = outcome, d.clock.Now()
	d.open--
	close(h.ended)
}

func (d *requestDirectory) find(key job.Key) (*inFlight, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h, ok := d.byKey[key]
	return h, ok
}

func (d *requestDirectory) openCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.open
}

// volatileCount returns the number of requests without an outcome that would be lost with this process.
func (d *requestDirectory) volatileCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, h := range d.byKey {
		if !h.durable && !h.isEnded() {
			n++
		}
	}
	return n
}

// setDurable records that the journal has the request.
func (d *requestDirectory) setDurable(h *inFlight) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h.durable = true
}

// full reports whether the directory has as many requests as it may have.
func (d *requestDirectory) full() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.byKey) >= maxRequests
}

// setKept records that the journal may have the request.
func (d *requestDirectory) setKept(h *inFlight, deadline time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if deadline.After(h.keptUntil) {
		h.keptUntil = deadline
	}
}

// keptRecord names the journal record of a request that has ended.
type keptRecord struct {
	key      job.Key
	deadline time.Time
}

// prune drops outcomes that were kept long enough, and the oldest of those with too many answers in all. It returns the
// records that the journal may have of them.
func (d *requestDirectory) prune() []keptRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ended []*inFlight
	for _, h := range d.byKey {
		if h.isEnded() {
			ended = append(ended, h)
		}
	}
	// The latest come first and are kept as far as their answers fit.
	slices.SortFunc(ended, func(a, b *inFlight) int { return b.endedAt.Compare(a.endedAt) })
	var dropped []keptRecord
	now, size := d.clock.Now(), 0
	for _, h := range ended {
		size += len(h.outcome.Answer)
		if now.Sub(h.endedAt) <= outcomeRetention && size <= maxKeptAnswers {
			continue
		}
		delete(d.byKey, h.request.Key())
		if !h.keptUntil.IsZero() {
			dropped = append(dropped, keptRecord{key: h.request.Key(), deadline: h.keptUntil})
		}
	}
	return dropped
}
