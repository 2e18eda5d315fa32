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
	// VerdictAttach means that a worker has a member that runs or has ended by itself.
	VerdictAttach Verdict = "attach"
	// VerdictNotRun means that no member started or ever will; the next attempt may be claimed with Advance.
	VerdictNotRun Verdict = "not-run"
	// VerdictUnknown means that the attempt may have run. It must not be retried.
	VerdictUnknown Verdict = "unknown"
	// VerdictRecordChanged means that the record changed meanwhile; the new record is to be settled instead.
	VerdictRecordChanged Verdict = "moved"
)

// Settlement is the result of settling a record.
type Settlement struct {
	Verdict Verdict
	// Record is the latest that is known.
	Record Record
	// Statuses are what the workers reported about the attempt's tasks, in member order without the missing ones.
	Statuses []worker.Status
}

// Settler finds out what became of a claimed attempt whose owner may be dead. Several settlers and the owner may act
// at the same time.
type Settler struct {
	Ledger *Ledger
	// Workers returns the client of a worker that is known.
	Workers func(name string) (*worker.Client, bool)
	// Parallel bounds the calls in flight; a value below 2 makes them one by one.
	Parallel int
	// CallTimeout bounds one call of a worker; 0 leaves that to the client.
	CallTimeout time.Duration
	// ForbidAll makes every worker of the attempt refuse its tasks and reports whether all confirmed that none started.
	// Nil means forbid calls.
	ForbidAll func(ctx context.Context, r Record) bool
}

// finding is what a worker reported.
type finding struct {
	ok       bool
	bootID   string
	statuses map[job.TaskID]worker.Status
}

// Settle asks the workers of the record's attempt. The error is *ErrStoreUnavailable if the finding could not be
// recorded; the verdict is true all the same, but Advance will not succeed.
func (s *Settler) Settle(ctx context.Context, r Record) (Settlement, error) {
	if r.State == StateNotRun {
		return Settlement{Verdict: VerdictNotRun, Record: r}, nil
	}
	found := s.ask(ctx, r)
	statuses, state := judge(r, found)
	if state == VerdictNotRun && r.State == StateClaimed {
		fence := s.ForbidAll
		if fence == nil {
			fence = func(ctx context.Context, r Record) bool { return s.fence(ctx, r, found) }
		}
		if fence(ctx, r) {
			return s.record(ctx, Settlement{Verdict: VerdictNotRun, Record: r, Statuses: statuses}, StateNotRun)
		}
		// A member started before it could be forbidden; its worker tells now.
		statuses, state = judge(r, s.ask(ctx, r))
	}
	if state == VerdictAttach {
		return Settlement{Verdict: VerdictAttach, Record: r, Statuses: statuses}, nil
	}
	unknown := Settlement{Verdict: VerdictUnknown, Record: r, Statuses: statuses}
	if r.State != StateClaimed {
		return unknown, nil
	}
	return s.record(ctx, unknown, StateUnknown)
}

// record writes a finding into the ledger.
func (s *Settler) record(ctx context.Context, found Settlement, state RecordState) (Settlement, error) {
	err := s.Ledger.Settle(ctx, found.Record.Key, found.Record.Attempt, state)
	current, err := existing(err)
	if err != nil {
		return found, err
	}
	if current != nil {
		return Settlement{Verdict: VerdictRecordChanged, Record: *current}, nil
	}
	found.Record.State = state
	return found, nil
}

// judge derives a verdict; VerdictNotRun only says that no member had started when its worker was asked.
func judge(r Record, found map[string]finding) ([]worker.Status, Verdict) {
	var statuses []worker.Status
	verdict := VerdictNotRun
	for i, name := range r.Workers {
		status, ok := found[name].statuses[r.task(i)]
		if !ok || status.State == worker.StateUnknown {
			// All members had been held, so a worker without a record of one has lost it.
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

// fence forbids every member and asks again. The second answer must come from the same run of the worker's process as
// the first, because a worker that restarted in between has forgotten what had started.
func (s *Settler) fence(ctx context.Context, r Record, found map[string]finding) bool {
	confirmed := make([]bool, len(r.Workers))
	s.each(ctx, len(r.Workers), func(ctx context.Context, i int) {
		if client, ok := s.Workers(r.Workers[i]); ok {
			status, err := client.Forbid(ctx, r.task(i))
			confirmed[i] = err == nil && status.State == worker.StateForbidden && !status.Started
		}
	})
	again := s.ask(ctx, r)
	for i, name := range r.Workers {
		status := again[name].statuses[r.task(i)]
		if !confirmed[i] || !again[name].ok || again[name].bootID != found[name].bootID ||
			status.State != worker.StateForbidden || status.Started {
			return false
		}
	}
	return true
}

// ask lists the tasks of the attempt on every worker that the record names.
func (s *Settler) ask(ctx context.Context, r Record) map[string]finding {
	var names []string
	found := map[string]finding{}
	for _, name := range r.Workers {
		if _, ok := found[name]; !ok {
			found[name] = finding{}
			names = append(names, name)
		}
	}
	findings := make([]finding, len(names))
	s.each(ctx, len(names), func(ctx context.Context, i int) {
		client, ok := s.Workers(names[i])
		if !ok {
			return
		}
		info, statuses, err := client.Tasks(ctx)
		if err != nil {
			return
		}
		f := finding{ok: true, bootID: info.BootID, statuses: map[job.TaskID]worker.Status{}}
		for _, status := range statuses {
			if status.Spec.Nonce == r.Nonce {
				f.statuses[status.Spec.ID] = status
			}
		}
		findings[i] = f
	})
	for i, name := range names {
		found[name] = findings[i]
	}
	return found
}

// each calls f for every index with a bounded time, at most Parallel at once.
func (s *Settler) each(ctx context.Context, n int, f func(ctx context.Context, i int)) {
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

// task returns the identity of a member.
func (r Record) task(member int) job.TaskID {
	return job.TaskID{Organisation: r.Key.Organisation, RequestID: r.Key.ID, Attempt: r.Attempt, Member: member}
}
