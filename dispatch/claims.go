package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementinepier/board"
	"clementinepier/claim"
	"clementinepier/gang"
	"clementinepier/job"
	"clementinepier/metrics"
	"clementinepier/worker"
)

const (
	// claimTimeout bounds one try at a claim; the gang gives up its holds at about the same time.
	claimTimeout = 2 * time.Second
	// settleTimeout bounds the recording of an outcome in the ledger. Nothing depends on it but the time that a later
	// retry needs.
	settleTimeout = 30 * time.Second
	// resolveInterval is the pause between two questions about an attempt that runs under another owner.
	resolveInterval = 500 * time.Millisecond
	// resolvePatience is how long a worker that does not answer is asked about an attempt before its end is unknown. It
	// leaves room for three calls that time out after a second.
	resolvePatience = 4 * time.Second
)

// claim makes the claim of the current attempt, whose members are all held. It does nothing for idempotent requests.
func (d *Dispatcher) claim(s *board.State, r *run) {
	if r.request.Idempotent || r.claiming || r.claimed == r.attempt {
		return
	}
	record := claim.Record{
		Key: r.key(), Attempt: r.attempt, Workers: r.workers, RequestDigest: r.digest, Owner: s.Self.VM, Nonce: r.nonce,
		State: claim.StateClaimed,
	}
	r.claiming = true
	r.claimNonces = append(r.claimNonces, r.nonce)
	earlier, g := r.claimed, r.gang
	d.spawn(func() {
		ctx, cancel := d.timeout(d.ctx, claimTimeout)
		defer cancel()
		existing, err := d.makeClaim(ctx, record, earlier)
		d.Board.Post(func(s *board.State) { d.claimed(s, r, g, record, existing, err) })
	})
}

// makeClaim claims a first attempt, or the attempt after an earlier one of this run that never started.
func (d *Dispatcher) makeClaim(ctx context.Context, record claim.Record, earlier int) (*claim.Record, error) {
	if earlier == 0 {
		return d.Ledger.Claim(ctx, record)
	}
	err := d.Ledger.Settle(ctx, record.Key, earlier, claim.StateNotRun)
	if err != nil && !claim.IsErrConflict(err) {
		return nil, err
	}
	return d.Ledger.Advance(ctx, record.Key, earlier, record)
}

// claimed applies the result of a claim.
func (d *Dispatcher) claimed(s *board.State, r *run, g *gang.Gang, record claim.Record, existing *claim.Record, err error) {
	r.claiming = false
	if r.phase == phaseEnded || r.gang != nil && r.gang.StartIssued() {
		// The run has ended or adopted an attempt, which the claim is not about.
		return
	}
	r.storeDown = err != nil
	switch {
	case err != nil:
		d.Metrics.Add(metrics.ClaimsFailed, 1)
	case existing == nil:
		d.Metrics.Add(metrics.ClaimsMade, 1)
		r.claimed = record.Attempt
		d.gangEvent(s, r, g, gang.Claimed{})
	case r.ownsNonce(existing.Nonce):
		// An earlier claim of this run took effect although its answer was lost. That attempt never started.
		r.claimed = existing.Attempt
	case existing.RequestDigest != r.digest:
		d.cancel(s, r, job.CodeRequestIDConflict, "the request id was used with another body")
	default:
		d.Metrics.Add(metrics.ClaimsExisting, 1)
		d.resolve(s, r, *existing)
	}
}

func (r *run) ownsNonce(nonce string) bool {
	for _, own := range r.claimNonces {
		if own == nonce {
			return true
		}
	}
	return false
}

// resolve drops the run's own holds and finds out what became of the attempt that the ledger names.
func (d *Dispatcher) resolve(s *board.State, r *run, record claim.Record) {
	if r.phase == phaseActive {
		// The gang may be that of a later attempt than the one that asked for the claim. Without a claim it has no start.
		r.phase = phaseResolving
		d.gangEvent(s, r, r.gang, gang.Cancel{Code: job.CodeClaimedElsewhere})
	}
	if r.phase == phaseQueued {
		s.Queue.Remove(r.key())
	}
	r.phase, r.record, r.askAt, r.resolvingSince = phaseResolving, record, d.Clock.Now(), d.Clock.Now()
}

// ask asks once about the attempt that is being resolved. It is repeated until the end of the attempt is known or the
// run has been taken over by an adoption.
func (d *Dispatcher) ask(r *run) {
	r.asking = true
	key, record, deadline := r.key(), r.record, r.deadline.Add(deadlineGrace)
	d.spawn(func() {
		ctx, cancel := d.timeout(d.ctx, d.Clock.Until(deadline))
		defer cancel()
		settlement, err := d.Settler.Settle(ctx, record)
		outcome, final := job.Outcome{}, false
		if err == nil {
			outcome, final = d.conclude(ctx, key, settlement)
		}
		d.Board.Post(func(s *board.State) { d.settled(s, r, settlement, err, outcome, final) })
	})
}

// conclude derives an outcome from a settlement. It returns false while the attempt runs or may be tried again.
func (d *Dispatcher) conclude(ctx context.Context, key job.Key, settlement claim.Settlement) (job.Outcome, bool) {
	switch settlement.Verdict {
	case claim.VerdictUnknown:
		return job.NewUnknown(key, job.CodeWorkerLost, "an earlier attempt may have run and its workers have no answer"), true
	case claim.VerdictAttach:
	default:
		return job.Outcome{}, false
	}
	done := 0
	for _, status := range settlement.Statuses {
		switch status.State {
		case worker.StateDone:
			done++
		case worker.StateFailed:
			return job.Outcome{Key: key, Result: job.Done, Code: job.CodeTaskFailed, Detail: status.Error, Attempts: 1}, true
		}
	}
	if done < len(settlement.Record.Workers) {
		return job.Outcome{}, false
	}
	answer, err := d.fetch(ctx, settlement.Record)
	if err != nil {
		if worker.IsErrTaskNotExist(err) {
			return job.NewUnknown(key, job.CodeAnswerLost, "the request ran, and its answer is gone"), true
		}
		return job.Outcome{}, false
	}
	return job.Outcome{Key: key, Result: job.Done, Answer: answer, Attempts: 1}, true
}

func (d *Dispatcher) fetch(ctx context.Context, record claim.Record) ([]byte, error) {
	client, ok := d.Workers(record.Workers[0])
	if !ok {
		return nil, errors.New("worker is not known")
	}
	ctx, cancel := d.timeout(ctx, d.CallTimeout)
	defer cancel()
	return client.Answer(ctx, job.TaskID{Organisation: record.Key.Organisation, RequestID: record.Key.ID, Attempt: record.Attempt})
}

// settled applies one settlement.
func (d *Dispatcher) settled(s *board.State, r *run, found claim.Settlement, err error, outcome job.Outcome, final bool) {
	r.asking = false
	switch {
	case r.phase != phaseResolving:
	case err == nil && final && !d.mayLearnMore(r, found):
		d.end(s, r, outcome)
	case err == nil && found.Verdict == claim.VerdictNotRun:
		r.claimed = found.Record.Attempt
		r.attempt = max(r.attempt, r.claimed)
		if r.cancelled {
			d.end(s, r, job.NewNotRun(r.key(), job.CodeCancelled, "cancelled before an attempt started", 0))
		} else {
			d.enqueue(s, r)
		}
	default:
		r.record, r.askAt = found.Record, d.Clock.Now().Add(resolveInterval)
	}
}

// mayLearnMore reports whether a worker that gave no answer about the attempt is asked again. One lost call must not turn
// an attempt that runs into an unknown one.
func (d *Dispatcher) mayLearnMore(r *run, found claim.Settlement) bool {
	return found.Verdict == claim.VerdictUnknown && len(found.Statuses) < len(found.Record.Workers) &&
		d.Clock.Since(r.resolvingSince) < resolvePatience
}

// settleClaim records the end of the current attempt, if it was claimed.
func (d *Dispatcher) settleClaim(r *run, result job.Result) {
	if r.claimed == 0 || r.claimed != r.attempt {
		return
	}
	state := claim.StateUnknown
	switch result {
	case job.Done:
		state = claim.StateDone
	case job.NotRun:
		state = claim.StateNotRun
	}
	key, attempt := r.key(), r.attempt
	d.spawn(func() {
		ctx, cancel := d.timeout(d.ctx, settleTimeout)
		defer cancel()
		if err := d.Ledger.SettleEventually(ctx, key, attempt, state); err != nil {
			d.Metrics.Add(metrics.ClaimsFailed, 1)
		}
	})
}
