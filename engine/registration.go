package engine

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"clementinepier/metrics"
)

// unverifiedEntry is a worker's entry that contradicts the worker's own word, while the worker is asked at the address at which it last
// answered, and at that of the entry. Another writer may have left the entry.
type unverifiedEntry struct {
	registration Registration
	revision     int64
	arrivedAt    time.Time
	// querying is set while a query to the address of the entry is in flight; nextQuery is the earliest time of the next one.
	querying  bool
	nextQuery time.Time
}

// handleRegistration applies a change of a worker's registration in the store.
func (p *Planner) handleRegistration(item Item) {
	id := strings.TrimPrefix(item.Key, p.RegistrationPrefix)
	if w, ok := p.workers[id]; ok {
		// Only the newest entry counts.
		w.unverified, w.outdated = nil, nil
	}
	if item.Deleted {
		if w, ok := p.workers[id]; ok && w.entryMissingSince.IsZero() {
			w.entryMissingSince = p.Clock.Now()
		}
		if w, ok := p.workers[id]; ok && w.registered {
			w.markUnregistered(p.Clock.Now())
			p.Log.Event("worker-unlisted", "worker", id, "runs", len(w.runs), "revision", item.Revision)
		}
		return
	}
	if w, ok := p.workers[id]; ok {
		w.entryMissingSince = time.Time{}
	}
	registration, err := p.DecodeRegistration(item.Key, item.Value)
	if err != nil {
		p.Log.Event("advert-unreadable", "key", item.Key, "error", err)
		if w, ok := p.workers[id]; ok {
			w.markUnregistered(p.Clock.Now())
		}
		return
	}
	w := p.workerByID(id)
	w.entryMissingSince = time.Time{}
	if known := w.registration.Service; known != "" && registration.Service != known && !p.Configuration().namesService(registration.Service) ||
		registration.Incarnation == 0 && w.incarnation != 0 {
		p.ignoreForeignEntry(w, registration, item.Revision)
		return
	}
	switch {
	case w.hasEnded(registration.Incarnation):
		p.handleOutdated(w, registration, item.Revision)
	case w.contradictedBy(registration):
		w.markUnregistered(p.Clock.Now())
		now := p.Clock.Now()
		w.unverified = &unverifiedEntry{registration: registration, revision: item.Revision, arrivedAt: now, nextQuery: now.Add(pollRetryDelay)}
		p.Log.Event("advert-unverified", "worker", id, "born", registration.Incarnation, "known", w.incarnation, "address", registration.Address,
			"answers-at", w.answersAt, "revision", item.Revision)
		p.suspectRestart(w, reportedByEntry)
	default:
		p.applyRegistration(w, registration, item.Revision)
	}
}

// handleOutdated applies an entry that reports an incarnation that has ended. The worker has responded as a newer incarnation, which the store
// does not have yet, so this registration is out of date; or the worker's time of day went back before it restarted, which its next
// response shows.
func (p *Planner) handleOutdated(w *workerState, registration Registration, revision int64) {
	now := p.Clock.Now()
	w.outdated = &unverifiedEntry{registration: registration, revision: revision, arrivedAt: now}
	idle := !w.registered && len(w.runs) == 0 && len(w.orphans) == 0
	if idle && w.registration.Address != registration.Address && (w.registration.Address == "" || !w.mayStartAny(now)) {
		w.registration.Address, w.fenced = registration.Address, false
	}
	p.scheduleContact(w)
	p.Log.Event("advert-outdated", "worker", w.id(), "born", registration.Incarnation, "known", w.incarnation, "revision", revision)
}

// contradictedBy reports whether a registration reports another address or a later incarnation than the worker itself, which may still be
// there.
func (w *workerState) contradictedBy(r Registration) bool {
	return w.answersAt != "" && (r.Incarnation > w.incarnation || r.Address != w.answersAt)
}

// ignoreForeignEntry records that the entry under the worker's key is of another writer. It does not show that the worker has restarted,
// but the worker is not used until it has registered again.
func (p *Planner) ignoreForeignEntry(w *workerState, r Registration, revision int64) {
	p.Log.Event("advert-foreign", "worker", w.id(), "service", r.Service, "born", r.Incarnation, "known", w.incarnation, "address", r.Address, "revision", revision)
	w.markUnregistered(p.Clock.Now())
}

// applyRegistration applies a registration that is taken for the worker's own.
func (p *Planner) applyRegistration(w *workerState, registration Registration, revision int64) {
	if registration.Incarnation != 0 && registration.Incarnation < w.incarnation {
		p.withdrawIncarnation(w, registration.Incarnation)
	}
	if !w.registered {
		p.Log.Event("worker-listed", "worker", w.id(), "failure-domain", registration.FailureDomain, "rack", registration.Rack, "revision", revision)
	}
	if w.registration.Address != registration.Address {
		w.fenced = false
	}
	w.registration, w.registered = registration, true
	p.invalidateFleets()
	p.scheduleContact(w)
	p.applyIncarnation(w, registration.Incarnation, reportedByEntry)
	if w.draining && !registration.Draining && !w.reportedDraining {
		// Only an earlier entry has reported that the worker drains, and may be of another writer.
		w.draining, w.drainEnd = false, time.Time{}
		p.Log.Event("worker-not-draining", "worker", w.id(), "revision", revision)
	}
	p.recordDraining(w, registration.Draining, registration.DrainRemaining)
	p.planNeeded = true
}

// resolveUnverified decides on an entry that contradicts the worker's own word by the result of a poll, sent at the given time to the address
// at which the worker last answered. Only an incarnation that the worker reports there decides: it may be cut off, or refuse the poll. Besides,
// an answer at the entry's address, another worker at the earlier one, or a newer entry ends the verification.
func (p *Planner) resolveUnverified(w *workerState, sent time.Time, reported int64, err error) {
	entry := w.unverified
	if entry == nil || sent.Before(entry.arrivedAt) {
		return
	}
	var refused *ErrRefused
	if errors.As(err, &refused) {
		reported = refused.Status.Incarnation
	}
	if err != nil && reported == 0 {
		return
	}
	w.unverified = nil
	if entry.registration.Address != w.registration.Address || reported != entry.registration.Incarnation {
		p.ignoreForeignEntry(w, entry.registration, entry.revision)
		return
	}
	p.applyRegistration(w, entry.registration, entry.revision)
}

// queryUnverified asks for a worker at the address that an unverified entry reports, while it does not report its incarnation where it last
// did. The query grants no lease and acknowledges no ends.
func (p *Planner) queryUnverified(w *workerState, now time.Time) {
	entry := w.unverified
	if entry == nil || entry.registration.Address == w.registration.Address || entry.querying || now.Before(entry.nextQuery) {
		return
	}
	entry.querying = true
	request := PollRequest{Fence: w.fence}
	target := Target{ID: w.id(), Address: entry.registration.Address}
	p.Metrics.Add(metrics.Polls, 1)
	p.call(classPoll, func() func() {
		var response PollResponse
		err := p.sendQuery(now, pollTimeout, func(ctx context.Context) (err error) {
			response, err = p.Workers.Poll(ctx, target, request)
			return err
		})
		return func() {
			entry.querying, entry.nextQuery = false, p.Clock.Now().Add(otherServerPollDelay)
			if w.unverified != entry || err != nil || response.Incarnation != entry.registration.Incarnation {
				return
			}
			w.unverified = nil
			p.Log.Event("worker-moved", "worker", w.id(), "from", w.answersAt, "to", target.Address, "born", response.Incarnation, "before", w.incarnation)
			p.applyIncarnation(w, response.Incarnation, reportedByWorker)
			p.applyRegistration(w, entry.registration, entry.revision)
			p.handlePollResult(w, target, now, request, response, nil)
		}
	})
}

// recordDraining records that a worker drains, and the earliest time at which it leaves.
func (p *Planner) recordDraining(w *workerState, draining bool, remaining time.Duration) {
	if !draining {
		return
	}
	end := p.Clock.Now().Add(remaining)
	if !w.draining {
		p.Log.Event("worker-draining", "worker", w.id(), "runs", len(w.runs), "left", remaining)
		w.drainEnd = end
	}
	w.draining = true
	if remaining > 0 {
		w.drainEnd = end
	}
}
