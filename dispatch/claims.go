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
	// claimTimeout bounds one try at a claim; the gang releases its holds at about the same time.
	claimTimeout = 2 * time.Second
	// settleTimeout bounds the recording of an outcome in the ledger. It affects only how long a later retry takes.
	settleTimeout = 30 * time.Second
	// resolveInterval is the pause between two queries about an attempt that runs under another owner.
	resolveInterval = 500 * time.Millisecond
	// resolveTimeout is how long a worker that does not answer is queried about an attempt before the attempt's outcome
	// is reported as unknown. It allows for three calls that time out after a second.
	resolveTimeout = 4 * time.Second
)

// startClaim begins to claim the current attempt, whose members are all held. It does nothing for idempotent requests,
// which need no claim, or when the attempt is already claimed or a ledger call is in flight.
func (d *Dispatcher) startClaim(s *board.State, r *run) {
	if r.request.Idempotent || r.claiming || r.claimedAttempt == r.attempt {
		return
	}
	record := claim.Record{
		Key: r.key(), Attempt: r.attempt, Workers: r.workers, RequestDigest: r.digest, Owner: s.Self.VM, Nonce: r.nonce,
		State: claim.StateClaimed,
	}
	r.claiming = true
	r.claimNonces = append(r.claimNonces, r.nonce)
	earlier, g := r.claimedAttempt, r.gang
	d.spawn(func() {
		ctx, cancel := d.timeout(d.ctx, claimTimeout)
		defer cancel()
		existing, err := d.writeClaim(ctx, record, earlier)
		d.Board.Post(func(s *board.State) { d.handleClaimResult(s, r, g, record, existing, err) })
	})
}

// writeClaim claims a first attempt, or the attempt that follows an earlier claimed one of this run that never started.
func (d *Dispatcher) writeClaim(ctx context.Context, record claim.Record, earlier int) (*claim.Record, error) {
	if earlier == 0 {
		return d.Ledger.Claim(ctx, record)
	}
	err := d.Ledger.Settle(ctx, record.Key, earlier, claim.StateNotRun)
	if err != nil && !claim.IsErrConflict(err) {
		return nil, err
	}
	return d.Ledger.Advance(ctx, record.Key, earlier, record)
}

// handleClaimResult applies the result of a claim.
func (d *Dispatcher) handleClaimResult(s *board.State, r *run, g *gang.Gang, record claim.Record, existing *claim.Record, err error) {
	r.claiming = false
	if r.phase == phaseEnded || r.gang != nil && r.gang.StartIssued() {
		// The run has ended or has adopted an attempt, which this claim is not for.
		return
	}
	r.claimFailed = err != nil
	switch {
	case err != nil:
		d.Metrics.Add(metrics.ClaimsFailed, 1)
	case existing == nil:
		d.Metrics.Add(metrics.ClaimsMade, 1)
		r.claimedAttempt = record.Attempt
		d.stepGang(s, r, g, gang.Claimed{})
	case r.ownsNonce(existing.Nonce):
		// An earlier claim of this run took effect although its reply was lost. That attempt never started.
		r.claimedAttempt = existing.Attempt
	case existing.RequestDigest != r.digest:
		d.cancelRun(s, r, job.CodeRequestIDConflict, "the request id was used with another body")
	default:
		d.Metrics.Add(metrics.ClaimsExisting, 1)
		d.startResolving(s, r, *existing)
	}
}

// ownsNonce reports whether this run requested a claim with the nonce.
func (r *run) ownsNonce(nonce string) bool {
	for _, own := range r.claimNonces {
		if own == nonce {
			return true
		}
	}
	return false
}

// startResolving releases the run's own holds and begins to query the outcome of the attempt that the ledger names.
func (d *Dispatcher) startResolving(s *board.State, r *run, record claim.Record) {
	if r.phase == phaseActive {
		// The gang may belong to a later attempt than the one that requested the claim. Without a claim it cannot have
		// issued a start.
		r.phase = phaseResolving
		d.stepGang(s, r, r.gang, gang.Cancel{Code: job.CodeClaimedElsewhere})
	}
	if r.phase == phaseQueued {
		s.Queue.Remove(r.key())
	}
	r.phase, r.resolvingRecord, r.nextQueryAt, r.resolvingSince = phaseResolving, record, d.Clock.Now(), d.Clock.Now()
}

// querySettlement queries once the state of the attempt that is being resolved. It is repeated until the attempt's
// outcome is known or the run has adopted the attempt.
func (d *Dispatcher) querySettlement(r *run) {
	r.querying = true
	key, record, deadline := r.key(), r.resolvingRecord, r.deadline.Add(deadlineGrace)
	d.spawn(func() {
		ctx, cancel := d.timeout(d.ctx, d.Clock.Until(deadline))
		defer cancel()
		settlement, err := d.Settler.Settle(ctx, record)
		outcome, final := job.Outcome{}, false
		if err == nil {
			outcome, final = d.outcomeOf(ctx, key, settlement)
		}
		d.Board.Post(func(s *board.State) { d.handleSettlement(s, r, settlement, err, outcome, final) })
	})
}

// outcomeOf derives an outcome from a settlement. It returns false while the attempt is running or may be retried.
func (d *Dispatcher) outcomeOf(ctx context.Context, key job.Key, settlement claim.Settlement) (job.Outcome, bool) {
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
	answer, err := d.fetchAnswer(ctx, settlement.Record)
	if err != nil {
		if worker.IsErrTaskNotExist(err) {
			return job.NewUnknown(key, job.CodeAnswerLost, "the request ran, and its answer is gone"), true
		}
		return job.Outcome{}, false
	}
	return job.Outcome{Key: key, Result: job.Done, Answer: answer, Attempts: 1}, true
}

// fetchAnswer fetches the answer of a claimed attempt from the worker of member 0.
func (d *Dispatcher) fetchAnswer(ctx context.Context, record claim.Record) ([]byte, error) {
	client, ok := d.Workers(record.Workers[0])
	if !ok {
		return nil, errors.New("worker is not known")
	}
	ctx, cancel := d.timeout(ctx, d.CallTimeout)
	defer cancel()
	return client.Answer(ctx, job.TaskID{Organisation: record.Key.Organisation, RequestID: record.Key.ID, Attempt: record.Attempt})
}

// handleSettlement applies the result of one query.
func (d *Dispatcher) handleSettlement(s *board.State, r *run, settlement claim.Settlement, err error, outcome job.Outcome, final bool) {
	r.querying = false
	switch {
	case r.phase != phaseResolving:
	case err == nil && final && !d.shouldQueryAgain(r, settlement):
		d.endRun(s, r, outcome)
	case err == nil && settlement.Verdict == claim.VerdictNotRun:
		r.claimedAttempt = settlement.Record.Attempt
		r.attempt = max(r.attempt, r.claimedAttempt)
		if r.cancelled {
			d.endRun(s, r, job.NewNotRun(r.key(), job.CodeCancelled, "cancelled before an attempt started", 0))
		} else {
			d.enqueue(s, r)
		}
	default:
		r.resolvingRecord, r.nextQueryAt = settlement.Record, d.Clock.Now().Add(resolveInterval)
	}
}

// shouldQueryAgain reports whether a worker that did not answer about the attempt is queried again. A single lost call
// must not make the outcome of a running attempt unknown.
func (d *Dispatcher) shouldQueryAgain(r *run, settlement claim.Settlement) bool {
	return settlement.Verdict == claim.VerdictUnknown && len(settlement.Statuses) < len(settlement.Record.Workers) &&
		d.Clock.Since(r.resolvingSince) < resolveTimeout
}

// settleClaim records the result of the current attempt in the ledger, if the attempt was claimed.
func (d *Dispatcher) settleClaim(r *run, result job.Result) {
	if r.claimedAttempt == 0 || r.claimedAttempt != r.attempt {
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
