package claim

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"clementinepier/job"
	"clementinepier/worker"
)

// Verdict is what a Settler found out about an attempt.
type Verdict string

// The verdicts of a Settler.
const (
	// VerdictAttach means that a worker has a member that runs, is done or has failed.
	VerdictAttach Verdict = "attach"
	// VerdictNotRun means that no member has started or will start; the next attempt may be claimed with Advance.
	VerdictNotRun Verdict = "not-run"
	// VerdictUnknown means that the attempt may have run. It must not be retried.
	VerdictUnknown Verdict = "unknown"
	// VerdictRecordChanged means that the record changed meanwhile; the new record must be settled instead.
	VerdictRecordChanged Verdict = "moved"
)

// Settlement is the result of settling a record.
type Settlement struct {
	Verdict Verdict
	// Record is the latest known record of the request.
	Record Record
	// Statuses are those that the workers reported for the attempt's tasks, in member order. Missing ones are left out.
	Statuses []worker.Status
}

// Settler determines how a claimed attempt ended, or whether it still runs, when its owner may be dead. Several settlers and
// the owner may act concurrently.
type Settler struct {
	Ledger *Ledger
	// Workers returns the client of a worker, or false if the worker is not known.
	Workers func(name string) (*worker.Client, bool)
	// Parallel is the maximum number of calls in flight; a value below 2 makes them one after the other.
	Parallel int
	// CallTimeout bounds one call to a worker; 0 leaves the timeout to the client.
	CallTimeout time.Duration
	// ForbidAll makes every worker of the attempt refuse to start its tasks, and reports whether all of them confirmed that
	// no task had started. Nil means the forbid call of the workers; tests replace it.
	ForbidAll func(ctx context.Context, r Record) bool
}

// workerReport is what a worker reported about the attempt's tasks.
type workerReport struct {
	// ok is false if the worker is not known or did not answer.
	ok       bool
	bootID   string
	statuses map[job.TaskID]worker.Status
}

// Settle queries the workers of the record's attempt and records what follows from their reports. The error is
// *ErrStoreUnavailable if the new state could not be recorded. The verdict is valid all the same, but Advance will fail.
func (s *Settler) Settle(ctx context.Context, r Record) (Settlement, error) {
	if r.State == StateNotRun {
		return Settlement{Verdict: VerdictNotRun, Record: r}, nil
	}
	reports := s.queryWorkers(ctx, r)
	statuses, verdict := deriveVerdict(r, reports)
	if verdict == VerdictNotRun && r.State == StateClaimed {
		forbidAll := s.ForbidAll
		if forbidAll == nil {
			forbidAll = func(ctx context.Context, r Record) bool { return s.forbidAll(ctx, r, reports) }
		}
		if forbidAll(ctx, r) {
			return s.recordState(ctx, Settlement{Verdict: VerdictNotRun, Record: r, Statuses: statuses}, StateNotRun)
		}
		// A member may have started before it was forbidden; its worker reports that now.
		statuses, verdict = deriveVerdict(r, s.queryWorkers(ctx, r))
	}
	if verdict == VerdictAttach {
		return Settlement{Verdict: VerdictAttach, Record: r, Statuses: statuses}, nil
	}
	unknown := Settlement{Verdict: VerdictUnknown, Record: r, Statuses: statuses}
	if r.State != StateClaimed {
		return unknown, nil
	}
	return s.recordState(ctx, unknown, StateUnknown)
}

// recordState settles the record in the ledger.
func (s *Settler) recordState(ctx context.Context, found Settlement, state RecordState) (Settlement, error) {
	err := s.Ledger.Settle(ctx, found.Record.Key, found.Record.Attempt, state)
	current, err := existingRecord(err)
	if err != nil {
		return found, err
	}
	if current != nil {
		return Settlement{Verdict: VerdictRecordChanged, Record: *current}, nil
	}
	found.Record.State = state
	return found, nil
}

// deriveVerdict derives a verdict from the reports. Here VerdictNotRun only means that no member had started when its worker
// was queried.
func deriveVerdict(r Record, reports map[string]workerReport) ([]worker.Status, Verdict) {
	var statuses []worker.Status
	verdict := VerdictNotRun
	for i, name := range r.Workers {
		status, ok := reports[name].statuses[r.taskID(i)]
		if !ok || status.State == worker.StateUnknown {
			// All members were held before the claim, so a worker without a record of its member has lost it.
			verdict = VerdictUnknown
			continue
		}
		statuses = append(statuses, status)
		if status.Started {
			verdict = VerdictUnknown
		}
	}
	for _, status := range statuses {
		switch status.State {
		case worker.StateRunning, worker.StateDone, worker.StateFailed:
			if status.Started {
				return statuses, VerdictAttach
			}
		}
	}
	return statuses, verdict
}

// forbidAll forbids every member and queries the workers again. The second report must come from the same incarnation of
// the worker as the one before, because a worker that restarted in between has lost its record of started tasks.
func (s *Settler) forbidAll(ctx context.Context, r Record, before map[string]workerReport) bool {
	confirmed := make([]bool, len(r.Workers))
	s.forEach(ctx, len(r.Workers), func(ctx context.Context, i int) {
		if client, ok := s.Workers(r.Workers[i]); ok {
			status, err := client.Forbid(ctx, r.taskID(i))
			confirmed[i] = err == nil && status.State == worker.StateForbidden && !status.Started
		}
	})
	after := s.queryWorkers(ctx, r)
	for i, name := range r.Workers {
		status := after[name].statuses[r.taskID(i)]
		if !confirmed[i] || !after[name].ok || after[name].bootID != before[name].bootID ||
			status.State != worker.StateForbidden || status.Started {
			return false
		}
	}
	return true
}

// queryWorkers lists the tasks of the attempt on every worker that the record names.
func (s *Settler) queryWorkers(ctx context.Context, r Record) map[string]workerReport {
	var names []string
	byWorker := map[string]workerReport{}
	for _, name := range r.Workers {
		if _, ok := byWorker[name]; !ok {
			byWorker[name] = workerReport{}
			names = append(names, name)
		}
	}
	reports := make([]workerReport, len(names))
	s.forEach(ctx, len(names), func(ctx context.Context, i int) {
		client, ok := s.Workers(names[i])
		if !ok {
			return
		}
		info, statuses, err := client.Tasks(ctx)
		if err != nil {
			return
		}
		report := workerReport{ok: true, bootID: info.BootID, statuses: map[job.TaskID]worker.Status{}}
		for _, status := range statuses {
			if status.Spec.Nonce == r.Nonce {
				report.statuses[status.Spec.ID] = status
			}
		}
		reports[i] = report
	})
	for i, name := range names {
		byWorker[name] = reports[i]
	}
	return byWorker
}

// forEach calls f for every index below n, with CallTimeout for each call and at most Parallel calls at a time.
func (s *Settler) forEach(ctx context.Context, n int, f func(ctx context.Context, i int)) {
	bounded := func(i int) {
		ctx, cancel := ctx, context.CancelFunc(func() {})
		if s.CallTimeout > 0 {
			ctx, cancel = clockwork.WithTimeout(ctx, s.Ledger.Clock, s.CallTimeout)
		}
		defer cancel()
		f(ctx, i)
	}
	if s.Parallel < 2 {
		for i := range n {
			bounded(i)
		}
		return
	}
	var all sync.WaitGroup
	slots := make(chan struct{}, s.Parallel)
	for i := range n {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			bounded(i)
		})
	}
	all.Wait()
}

// taskID returns the id of a member's task.
func (r Record) taskID(member int) job.TaskID {
	return job.TaskID{Organisation: r.Key.Organisation, RequestID: r.Key.ID, Attempt: r.Attempt, Member: member}
}
