// Package queue orders the requests that wait for capacity. It does no I/O; callers serialise access and pass the time in.
package queue

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"clementinepier/job"
)

// Item is a request that waits.
type Item struct {
	Request job.Request
	// Deadline is when the answer is due.
	Deadline time.Time
	// Enqueued is when the request first began to wait; a requeued request keeps it.
	Enqueued time.Time
	// Attempt counts from 1.
	Attempt int
	// Avoid names workers on which the request has failed.
	Avoid []string
}

// Usage is what an organisation has of the accelerators.
type Usage struct {
	// Running and Guaranteed count accelerators.
	Running    int
	Guaranteed int
	// Weight is the organisation's part of what is not guaranteed; below 1 counts as 1.
	Weight int
}

// Options sets the bounds of a Queue. Zero values mean the defaults.
type Options struct {
	// MaxLength is the number of requests that one organisation may have waiting.
	MaxLength int
	// AgingThreshold is the wait after which a request also takes part in the picks by age.
	AgingThreshold time.Duration
	// AgedPickInterval makes one pick in that many go to the request that has waited longest.
	AgedPickInterval int
	// MaxDeferred is the number of requests that one organisation may have returned in a pass; then the others get
	// their turn.
	MaxDeferred int
	// CompareOrganisations orders organisations; the default puts those below their guaranteed share first, then the smaller
	// weighted share of running accelerators.
	CompareOrganisations func(a, b Usage) int
	// CompareItems orders the requests of one organisation; the default is urgent first, then the earliest deadline.
	CompareItems func(a, b *Item) int
}

const (
	// At one request a second per organisation this is more than any deadline seen so far allows to wait.
	defaultMaxLength = 10_000
	// Urgent work has to start within 6.5 s, so other work starts to age well after that.
	defaultAging = 30 * time.Second
	// A quarter of the picks bounds the wait of an aged request and leaves guaranteed shares three quarters.
	defaultAgeEvery = 4
	// Without a bound, a pass that stops after 100 requests sees only those of the organisation with the longest
	// queue; with 25, four organisations get a turn in it.
	defaultMaxReturned = 25
)

// Queue holds the waiting requests of one VM.
type Queue struct {
	options       Options
	entries       map[job.Key]*entry
	organisations map[string]*waiting
	// names are those of the organisations in order, so that picks are deterministic.
	names    []string
	age      entryHeap
	deadline entryHeap
	returned []*entry
	sequence uint64
	picks    int
	services map[string]*service
}

// entry is an item with its place in the heaps.
type entry struct {
	item     Item
	sequence uint64
	at       [heaps]int
	class    int
}

// waiting is the requests of one organisation.
type waiting struct {
	ready  entryHeap
	length int
	// returned counts the requests returned in this pass.
	returned int
	// backlog counts accelerators by urgency and size class.
	backlog [2][classes]int
}

// New returns an empty queue.
func New(o Options) *Queue {
	o.MaxLength = cmp.Or(o.MaxLength, defaultMaxLength)
	o.AgingThreshold = cmp.Or(o.AgingThreshold, defaultAging)
	o.AgedPickInterval = cmp.Or(o.AgedPickInterval, defaultAgeEvery)
	o.MaxDeferred = cmp.Or(o.MaxDeferred, defaultMaxReturned)
	if o.CompareOrganisations == nil {
		o.CompareOrganisations = FairShare
	}
	if o.CompareItems == nil {
		o.CompareItems = UrgentThenDeadline
	}
	return &Queue{
		options:       o,
		entries:       map[job.Key]*entry{},
		organisations: map[string]*waiting{},
		services:      map[string]*service{},
		age: entryHeap{kind: inAge, less: func(a, b *entry) bool {
			return cmp.Or(a.item.Enqueued.Compare(b.item.Enqueued), cmp.Compare(a.sequence, b.sequence)) < 0
		}},
		deadline: entryHeap{kind: inDeadline, less: func(a, b *entry) bool {
			return cmp.Or(a.item.Deadline.Compare(b.item.Deadline), cmp.Compare(a.sequence, b.sequence)) < 0
		}},
	}
}

// FairShare puts organisations below their guaranteed share first, then the smaller weighted share.
func FairShare(a, b Usage) int {
	if x, y := a.Running < a.Guaranteed, b.Running < b.Guaranteed; x != y {
		if x {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.Running*max(1, b.Weight), b.Running*max(1, a.Weight))
}

// UrgentThenDeadline puts urgent requests first, then the earliest deadline.
func UrgentThenDeadline(a, b *Item) int {
	return cmp.Or(compareUrgent(a, b), a.Deadline.Compare(b.Deadline))
}

func compareUrgent(a, b *Item) int {
	switch {
	case a.Request.Urgent == b.Request.Urgent:
		return 0
	case a.Request.Urgent:
		return -1
	}
	return 1
}

// Push adds a request. It returns *ErrQueueFull or *ErrAlreadyQueued when it does not.
func (q *Queue) Push(i Item) error {
	key := i.Request.Key()
	if _, ok := q.entries[key]; ok {
		return &ErrAlreadyQueued{Key: key}
	}
	w := q.organisation(key.Organisation)
	if w.length >= q.options.MaxLength {
		return &ErrQueueFull{Organisation: key.Organisation, Length: w.length}
	}
	q.makeReady(q.add(w, i))
	return nil
}

// Defer puts back a request that Next handed out and that could not be placed. It is not handed out again before
// NewPass, and is admitted even when the queue is full.
func (q *Queue) Defer(i Item) {
	if _, ok := q.entries[i.Request.Key()]; !ok {
		w := q.organisation(i.Request.Organisation)
		w.returned++
		q.returned = append(q.returned, q.add(w, i))
	}
}

// NewPass makes the returned requests available again. Callers begin a pass whenever capacity may have become free.
func (q *Queue) NewPass() {
	for _, w := range q.organisations {
		w.returned = 0
	}
	for i, e := range q.returned {
		if q.entries[e.item.Request.Key()] == e {
			q.makeReady(e)
		}
		q.returned[i] = nil
	}
	q.returned = q.returned[:0]
}

func (q *Queue) organisation(name string) *waiting {
	w := q.organisations[name]
	if w == nil {
		w = &waiting{ready: entryHeap{kind: inOrganisation, less: func(a, b *entry) bool {
			return cmp.Or(q.options.CompareItems(&a.item, &b.item), cmp.Compare(a.sequence, b.sequence)) < 0
		}}}
		q.organisations[name] = w
		at, _ := slices.BinarySearch(q.names, name)
		q.names = slices.Insert(q.names, at, name)
	}
	return w
}

func (q *Queue) add(w *waiting, i Item) *entry {
	q.sequence++
	e := &entry{item: i, sequence: q.sequence, at: [heaps]int{absent, absent, absent}, class: classOf(i.Request.Shape)}
	q.entries[i.Request.Key()] = e
	q.deadline.add(e)
	w.length++
	w.backlog[urgency(i.Request.Urgent)][e.class] += accelerators(i.Request.Shape)
	return e
}

func (q *Queue) makeReady(e *entry) {
	q.organisations[e.item.Request.Organisation].ready.add(e)
	q.age.add(e)
}

// Remove takes a request out, for example because it was cancelled. It costs O(log n).
func (q *Queue) Remove(key job.Key) bool {
	e, ok := q.entries[key]
	if ok {
		q.drop(e)
	}
	return ok
}

// RemoveAll takes the requests out and returns those that were waiting.
func (q *Queue) RemoveAll(keys []job.Key) []job.Key {
	var removed []job.Key
	for _, key := range keys {
		if q.Remove(key) {
			removed = append(removed, key)
		}
	}
	return removed
}

func (q *Queue) drop(e *entry) {
	key := e.item.Request.Key()
	w := q.organisations[key.Organisation]
	delete(q.entries, key)
	w.ready.remove(e)
	q.age.remove(e)
	q.deadline.remove(e)
	w.backlog[urgency(e.item.Request.Urgent)][e.class] -= accelerators(e.item.Request.Shape)
	if w.length--; w.length == 0 {
		delete(q.organisations, key.Organisation)
		at, _ := slices.BinarySearch(q.names, key.Organisation)
		q.names = slices.Delete(q.names, at, at+1)
	}
}

// Next takes out the request to try next. Urgent requests go first, then organisations in the order of CompareOrganisations, then
// the order of CompareItems. One pick in AgedPickInterval goes to the request that has waited longest, if beyond AgingThreshold.
func (q *Queue) Next(now time.Time, usage func(organisation string) Usage) (Item, bool) {
	if e := q.age.first(); e != nil && now.Sub(e.item.Enqueued) > q.options.AgingThreshold && q.hasTurn(e) {
		if q.picks++; q.picks >= q.options.AgedPickInterval {
			q.picks = 0
			q.drop(e)
			return e.item, true
		}
	}
	var best *entry
	var bestUsage Usage
	for _, name := range q.names {
		e := q.organisations[name].ready.first()
		if e == nil || !q.hasTurn(e) {
			continue
		}
		u := usage(name)
		if best == nil || cmp.Or(
			compareUrgent(&e.item, &best.item), q.options.CompareOrganisations(u, bestUsage), q.options.CompareItems(&e.item, &best.item),
			cmp.Compare(e.sequence, best.sequence)) < 0 {
			best, bestUsage = e, u
		}
	}
	if best == nil {
		return Item{}, false
	}
	q.drop(best)
	return best.item, true
}

// hasTurn reports whether the entry's organisation may try more requests in this pass.
func (q *Queue) hasTurn(e *entry) bool {
	return q.organisations[e.item.Request.Organisation].returned < q.options.MaxDeferred
}

// RemoveExpired takes out the requests whose deadline has passed, the earliest first.
func (q *Queue) RemoveExpired(now time.Time) []Item {
	var expired []Item
	for e := q.deadline.first(); e != nil && !e.item.Deadline.After(now); e = q.deadline.first() {
		q.drop(e)
		expired = append(expired, e.item)
	}
	return expired
}

// Contains reports whether the request waits.
func (q *Queue) Contains(key job.Key) bool {
	_, ok := q.entries[key]
	return ok
}

// Len returns the number of requests that wait.
func (q *Queue) Len() int { return len(q.entries) }

// Items returns all waiting requests in the order in which they began to wait, for a handover.
func (q *Queue) Items() []Item {
	items := make([]Item, 0, len(q.entries))
	for _, e := range q.deadline.entries {
		items = append(items, e.item)
	}
	slices.SortFunc(items, func(a, b Item) int {
		return cmp.Or(a.Enqueued.Compare(b.Enqueued), strings.Compare(a.Request.Key().String(), b.Request.Key().String()))
	})
	return items
}
