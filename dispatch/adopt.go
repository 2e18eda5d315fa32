package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"clementinepier/board"
	"clementinepier/gang"
	"clementinepier/job"
	"clementinepier/metrics"
	"clementinepier/worker"
)

// orphan names a started task that no run here owns. Two owners of one rack may start tasks with the same id.
type orphan struct {
	id     job.TaskID
	nonce  string
	worker string
}

func orphanOf(name string, status worker.Status) orphan {
	return orphan{id: status.Spec.ID, nonce: status.Spec.Nonce, worker: name}
}

// foreign is the id under which the model has a task that no run here owns. It differs from the task's own id, so that
// a task of another owner never replaces, or releases, what an attempt with the same number holds here.
func foreign(spec worker.Spec) job.TaskID {
	id := spec.ID
	id.RequestID += "\x00" + spec.Nonce
	return id
}

// adopt takes over started tasks without an owner here, once every worker of their rack has been listed or has had
// the time for it. A gang is adopted as a whole, so that a member that is gone ends the others.
func (d *Dispatcher) adopt(s *board.State, rack string) {
	if len(d.orphans) == 0 || !slices.Contains(d.usableRacks(s), rack) {
		return
	}
	groups := map[job.Key][]worker.Status{}
	for o, status := range d.orphans {
		if info, ok := s.Workers[o.worker]; ok && info.Rack == rack && !d.awaitsMember(status.Spec) {
			groups[o.id.Key()] = append(groups[o.id.Key()], status)
			delete(d.orphans, o)
		}
	}
	keys := slices.SortedFunc(maps.Keys(groups), func(a, b job.Key) int { return strings.Compare(a.String(), b.String()) })
	for _, key := range keys {
		statuses := latestAttempt(groups[key])
		r, ok := d.runs[key]
		switch {
		case !ok:
			r = adoptedRun(statuses[0].Spec)
			d.runs[key] = r
		case r.phase == phaseActive, r.phase == phaseEnded, r.digest != statuses[0].Spec.RequestDigest:
			continue
		}
		d.adoptRun(s, r, rack, statuses)
	}
}

// awaitsMember reports whether a worker of the gang has not been listed yet and still has the time for it.
func (d *Dispatcher) awaitsMember(spec worker.Spec) bool {
	for _, name := range spec.Workers {
		if w := d.watchers[name]; w != nil && !w.listed && d.Clock.Since(w.since) < memberWait {
			return true
		}
	}
	return false
}

// awaitsAdoption reports whether tasks of the request run here and are adopted once their gang is complete.
func (d *Dispatcher) awaitsAdoption(key job.Key) bool {
	for o, status := range d.orphans {
		if o.id.Key() == key && d.awaitsMember(status.Spec) {
			return true
		}
	}
	return false
}

// adoptedRun returns a run for tasks whose request this VM has not seen. It has no payload, so it cannot be retried
// here before a receiver sends the request.
func adoptedRun(spec worker.Spec) *run {
	return &run{
		request: job.Request{
			Organisation: spec.ID.Organisation, ID: spec.ID.RequestID, Shape: spec.Shape, Idempotent: spec.Idempotent,
		},
		digest: spec.RequestDigest, deadline: spec.Deadline,
	}
}

// adoptRun continues an attempt of another owner as the run's own.
func (d *Dispatcher) adoptRun(s *board.State, r *run, rack string, statuses []worker.Status) {
	spec := statuses[0].Spec
	s.Queue.Remove(r.key())
	r.phase, r.attempt, r.nonce = phaseActive, spec.ID.Attempt, spec.Nonce
	r.rack, r.workers, r.borrowed = rack, spec.Workers, spec.Borrowed
	if !spec.Idempotent {
		r.claimed = spec.ID.Attempt
	}
	r.placedAt = d.Clock.Now().Add(-statuses[0].RanFor.Std())
	for member := range spec.Workers {
		// From now on the model has the tasks under their own ids.
		spec.ID.Member = member
		if held, ok := s.Cluster.Allocation(foreign(spec)); ok {
			s.Cluster.Release(held.Task)
			held.Task = spec.ID
			s.Cluster.RecordAllocation(held)
		}
	}
	d.running[r.request.Organisation] += accelerators(r)
	r.gang = gang.Adopt(d.gangOptions(s, r), statuses)
	d.Metrics.Add(metrics.RequestsAdopted, 1)
	d.gangEvent(s, r, r.gang, gang.Tick{})
}

// latestAttempt returns the statuses of the highest attempt, and of one nonce when two owners began attempts with the
// same number. The others have ended or lapse.
func latestAttempt(statuses []worker.Status) []worker.Status {
	highest, nonce := 0, ""
	for _, status := range statuses {
		if n := status.Spec.ID.Attempt; n > highest || n == highest && status.Spec.Nonce > nonce {
			highest, nonce = n, status.Spec.Nonce
		}
	}
	var latest []worker.Status
	for _, status := range statuses {
		if status.Spec.ID.Attempt == highest && status.Spec.Nonce == nonce {
			latest = append(latest, status)
		}
	}
	slices.SortFunc(latest, func(a, b worker.Status) int { return cmp.Compare(a.Spec.ID.Member, b.Spec.ID.Member) })
	return latest
}
