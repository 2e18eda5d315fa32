// Package queue orders the requests that wait for capacity. It does no I/O; callers serialise access and pass the current
// time in.
package queue

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"clementinepier/job"
)

// Item is a queued request.
type Item struct {
	Request job.Request
	// Deadline is when the caller's timeout ends.
	Deadline time.Time
	// Enqueued is when the request was first queued; a requeued request keeps it.
	Enqueued time.Time
	// Attempt counts from 1.
	Attempt int
	// Avoid lists workers on which the request has failed.
	Avoid []string
}

// Usage is how many accelerators an organisation uses and is guaranteed.
type Usage struct {
	// Running and Guaranteed count accelerators.
	Running    int
	Guaranteed int
	// Weight is the organisation's weight in sharing capacity that is not guaranteed; values below 1 count as 1.
	Weight int
}

// Options sets the limits and orders of a Queue. Zero values mean the defaults.
type Options struct {
	// MaxLength is the number of requests that one organisation may have queued.
	MaxLength int
	// AgingThreshold is the wait after which a request can be picked by age.
	AgingThreshold time.Duration
	// AgedPickInterval is the number of picks of which one goes to the request that has waited longest.
	AgedPickInterval int
	// MaxDeferred is the number of requests that one organisation may have deferred in a pass; after that, only requests of
	// other organisations are picked.
	MaxDeferred int
	// CompareOrganisations orders organisations; the default is FairShare.
	CompareOrganisations func(a, b Usage) int
	// CompareItems orders the requests of one organisation; the default is UrgentThenDeadline.
	CompareItems func(a, b *Item) int
}

const (
	// At one request a second per organisation, this is a longer queue than any known deadline allows to wait for.
	defaultMaxLength = 10_000
	// Urgent requests have to start within 6.5 s, so other requests start to age well after that.
	defaultAgingThreshold = 30 * time.Second
	// One pick in four bounds the wait of an aged request and leaves three quarters of the picks for guaranteed shares.
	defaultAgedPickInterval = 4
	// Without a limit, a pass that stops after 100 requests tries only those of the organisation with the longest queue;
	// with 25, it reaches four organisations.
	defaultMaxDeferred = 25
)

// Queue holds the queued requests of one VM.
type Queue struct {
	options       Options
	entries       map[job.Key]*entry
	organisations map[string]*organisationQueue
	// organisationNames is sorted, so that picks are deterministic.
	organisationNames []string
	age               entryHeap
	deadline          entryHeap
	deferred          []*entry
	lastSequence      uint64
	picksSinceAged    int
	serviceTimes      map[string]*serviceTimes
}

// entry is an item with its positions in the heaps.
type entry struct {
	item      Item
	sequence  uint64
	positions [heapCount]int
	class     int
}

// organisationQueue holds the queued requests of one organisation.
type organisationQueue struct {
	ready  entryHeap
	length int
	// deferred counts the requests deferred in this pass.
	deferred int
	// acceleratorBacklog counts the accelerators of queued requests by urgency and size class.
	acceleratorBacklog [2][sizeClasses]int
}

// New returns an empty queue.
func New(o Options) *Queue {
	o.MaxLength = cmp.Or(o.MaxLength, defaultMaxLength)
	o.AgingThreshold = cmp.Or(o.AgingThreshold, defaultAgingThreshold)
	o.AgedPickInterval = cmp.Or(o.AgedPickInterval, defaultAgedPickInterval)
	o.MaxDeferred = cmp.Or(o.MaxDeferred, defaultMaxDeferred)
	if o.CompareOrganisations == nil {
		o.CompareOrganisations = FairShare
	}
	if o.CompareItems == nil {
		o.CompareItems = UrgentThenDeadline
	}
	return &Queue{
		options:       o,
		entries:       map[job.Key]*entry{},
		organisations: map[string]*organisationQueue{},
		serviceTimes:  map[string]*serviceTimes{},
		age: entryHeap{kind: ageHeap, less: func(a, b *entry) bool {
			return cmp.Or(a.item.Enqueued.Compare(b.item.Enqueued), cmp.Compare(a.sequence, b.sequence)) < 0
		}},
		deadline: entryHeap{kind: deadlineHeap, less: func(a, b *entry) bool {
			return cmp.Or(a.item.Deadline.Compare(b.item.Deadline), cmp.Compare(a.sequence, b.sequence)) < 0
		}},
	}
}

// FairShare puts organisations below their guaranteed share first, then those with the smaller weighted use of accelerators.
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

// Push queues a request. It returns *ErrQueueFull or *ErrAlreadyQueued when the request is not queued.
func (q *Queue) Push(i Item) error {
	key := i.Request.Key()
	if _, ok := q.entries[key]; ok {
		return &ErrAlreadyQueued{Key: key}
	}
	w := q.queueOf(key.Organisation)
	if w.length >= q.options.MaxLength {
		return &ErrQueueFull{Organisation: key.Organisation, Length: w.length}
	}
	q.makeReady(q.add(w, i))
	return nil
}

// Defer queues a request again that Next returned and that could not be placed. Next does not return it before the following
// NewPass. It is queued even when the queue is full.
func (q *Queue) Defer(i Item) {
	if _, ok := q.entries[i.Request.Key()]; !ok {
		organisation := q.queueOf(i.Request.Organisation)
		organisation.deferred++
		q.deferred = append(q.deferred, q.add(organisation, i))
	}
}

// NewPass makes the deferred requests available to Next again. Callers start a pass whenever capacity may have become free.
func (q *Queue) NewPass() {
	for _, w := range q.organisations {
		w.deferred = 0
	}
	for i, e := range q.deferred {
		if q.entries[e.item.Request.Key()] == e {
			q.makeReady(e)
		}
		q.deferred[i] = nil
	}
	q.deferred = q.deferred[:0]
}

func (q *Queue) queueOf(name string) *organisationQueue {
	w := q.organisations[name]
	if w == nil {
		w = &organisationQueue{ready: entryHeap{kind: readyHeap, less: func(a, b *entry) bool {
			return cmp.Or(q.options.CompareItems(&a.item, &b.item), cmp.Compare(a.sequence, b.sequence)) < 0
		}}}
		q.organisations[name] = w
		at, _ := slices.BinarySearch(q.organisationNames, name)
		q.organisationNames = slices.Insert(q.organisationNames, at, name)
	}
	return w
}

func (q *Queue) add(w *organisationQueue, i Item) *entry {
	q.lastSequence++
	e := &entry{item: i, sequence: q.lastSequence, positions: [heapCount]int{notInHeap, notInHeap, notInHeap}, class: sizeClassOf(i.Request.Shape)}
	q.entries[i.Request.Key()] = e
	q.deadline.add(e)
	w.length++
	w.acceleratorBacklog[urgencyIndex(i.Request.Urgent)][e.class] += accelerators(i.Request.Shape)
	return e
}

func (q *Queue) makeReady(e *entry) {
	q.organisations[e.item.Request.Organisation].ready.add(e)
	q.age.add(e)
}

// Remove removes a request, for example because it was cancelled. It costs O(log n).
func (q *Queue) Remove(key job.Key) bool {
	e, ok := q.entries[key]
	if ok {
		q.removeEntry(e)
	}
	return ok
}

// RemoveAll removes the requests and returns the keys of those that were queued.
func (q *Queue) RemoveAll(keys []job.Key) []job.Key {
	var removed []job.Key
	for _, key := range keys {
		if q.Remove(key) {
			removed = append(removed, key)
		}
	}
	return removed
}

func (q *Queue) removeEntry(e *entry) {
	key := e.item.Request.Key()
	w := q.organisations[key.Organisation]
	delete(q.entries, key)
	w.ready.remove(e)
	q.age.remove(e)
	q.deadline.remove(e)
	w.acceleratorBacklog[urgencyIndex(e.item.Request.Urgent)][e.class] -= accelerators(e.item.Request.Shape)
	if w.length--; w.length == 0 {
		delete(q.organisations, key.Organisation)
		at, _ := slices.BinarySearch(q.organisationNames, key.Organisation)
		q.organisationNames = slices.Delete(q.organisationNames, at, at+1)
	}
}

// Next removes and returns the request to try next. Urgent requests come first, then organisations in the order of
// CompareOrganisations, then requests in the order of CompareItems. One pick in AgedPickInterval goes to the request that
// has waited longest, if it has waited longer than AgingThreshold.
func (q *Queue) Next(now time.Time, usage func(organisation string) Usage) (Item, bool) {
	if e := q.age.first(); e != nil && now.Sub(e.item.Enqueued) > q.options.AgingThreshold && q.withinPassLimit(e) {
		if q.picksSinceAged++; q.picksSinceAged >= q.options.AgedPickInterval {
			q.picksSinceAged = 0
			q.removeEntry(e)
			return e.item, true
		}
	}
	var best *entry
	var bestUsage Usage
	for _, name := range q.organisationNames {
		e := q.organisations[name].ready.first()
		if e == nil || !q.withinPassLimit(e) {
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
	q.removeEntry(best)
	return best.item, true
}

// withinPassLimit reports whether more requests of the entry's organisation may be tried in this pass.
func (q *Queue) withinPassLimit(e *entry) bool {
	return q.organisations[e.item.Request.Organisation].deferred < q.options.MaxDeferred
}

// RemoveExpired removes and returns the requests whose deadline has passed, the earliest deadline first.
func (q *Queue) RemoveExpired(now time.Time) []Item {
	var expired []Item
	for e := q.deadline.first(); e != nil && !e.item.Deadline.After(now); e = q.deadline.first() {
		q.removeEntry(e)
		expired = append(expired, e.item)
	}
	return expired
}

// Contains reports whether the request is queued.
func (q *Queue) Contains(key job.Key) bool {
	_, ok := q.entries[key]
	return ok
}

// Len returns the number of queued requests.
func (q *Queue) Len() int { return len(q.entries) }

// Items returns all queued requests in the order in which they were first queued, for a handover to another VM.
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
