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

// orphanKey identifies a started task that belongs to no run of this VM. It has the nonce and the worker besides the task
// id, because two owners of one rack may start tasks with the same id.
type orphanKey struct {
	id     job.TaskID
	nonce  string
	worker string
}

func newOrphanKey(name string, status worker.Status) orphanKey {
	return orphanKey{id: status.Spec.ID, nonce: status.Spec.Nonce, worker: name}
}

// foreignTaskID returns the id under which the cluster model records a task that belongs to no run of this VM. It differs
// from the task's own id, so that a task of another owner never replaces or releases the allocation of an attempt with the
// same number on this VM.
func foreignTaskID(spec worker.Spec) job.TaskID {
	id := spec.ID
	id.RequestID += "\x00" + spec.Nonce
	return id
}

// adoptOrphans adopts the orphan tasks of a rack, once the tasks of each of its workers have been listed or the time for
// listing them has passed. The members of a gang are adopted together, so that the loss of one member ends the others.
func (d *Dispatcher) adoptOrphans(s *board.State, rack string) {
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
			r = newAdoptedRun(statuses[0].Spec)
			d.runs[key] = r
		case r.phase == phaseActive, r.phase == phaseEnded, r.digest != statuses[0].Spec.RequestDigest:
			continue
		}
		d.adoptAttempt(s, r, rack, statuses)
	}
}

// awaitsMember reports whether the tasks of some worker of the gang have not been listed yet and memberListTimeout has not
// passed.
func (d *Dispatcher) awaitsMember(spec worker.Spec) bool {
	for _, name := range spec.Workers {
		if w := d.watchers[name]; w != nil && !w.listed && d.Clock.Since(w.since) < memberListTimeout {
			return true
		}
	}
	return false
}

// awaitsAdoption reports whether orphan tasks of the request exist that will be adopted once all workers of their gang
// have been listed.
func (d *Dispatcher) awaitsAdoption(key job.Key) bool {
	for o, status := range d.orphans {
		if o.id.Key() == key && d.awaitsMember(status.Spec) {
			return true
		}
	}
	return false
}

// newAdoptedRun returns a run for tasks whose request this VM has not received. The run has no payload, so it cannot be
// retried here until a receiver sends the request.
func newAdoptedRun(spec worker.Spec) *run {
	return &run{
		request: job.Request{
			Organisation: spec.ID.Organisation, ID: spec.ID.RequestID, Shape: spec.Shape, Idempotent: spec.Idempotent,
		},
		digest: spec.RequestDigest, deadline: spec.Deadline,
	}
}

// adoptAttempt makes an attempt that another owner started the current attempt of the run.
func (d *Dispatcher) adoptAttempt(s *board.State, r *run, rack string, statuses []worker.Status) {
	spec := statuses[0].Spec
	s.Queue.Remove(r.key())
	r.phase, r.attempt, r.nonce = phaseActive, spec.ID.Attempt, spec.Nonce
	r.rack, r.workers, r.borrowed = rack, spec.Workers, spec.Borrowed
	if !spec.Idempotent {
		r.claimedAttempt = spec.ID.Attempt
	}
	r.placedAt = d.Clock.Now().Add(-statuses[0].RanFor.Std())
	for member := range spec.Workers {
		// From now on the cluster model records the tasks under their own ids.
		spec.ID.Member = member
		if held, ok := s.Cluster.Allocation(foreignTaskID(spec)); ok {
			s.Cluster.Release(held.Task)
			held.Task = spec.ID
			s.Cluster.RecordAllocation(held)
		}
	}
	d.usedAccelerators[r.request.Organisation] += acceleratorUsage(r)
	r.gang = gang.Adopt(d.gangOptions(s, r), statuses)
	d.Metrics.Add(metrics.RequestsAdopted, 1)
	d.stepGang(s, r, r.gang, gang.Tick{})
}

// latestAttempt returns the statuses of the highest attempt, sorted by member. When two owners started attempts with the
// same number, it returns those with the highest nonce. The tasks of the other attempts have ended, or their leases expire.
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
