package engine

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementinepier/codec"
	"clementinepier/workload"
)

// DirectClient serves calls on jobs from the store alone, for an entry VM that cannot reach the planner. The planner learns of
// what it writes from markers.
type DirectClient struct {
	Store Store
}

// probeTimeout bounds the look for a job before it is stored; a slow store answers within 400 ms.
const probeTimeout = 600 * time.Millisecond

// Submit stores a job. It answers an outage in which the planner cannot reach the store either: a write that gets no answer
// leaves the caller without a way to try again, so nothing is written to a store that does not answer a read first.
func (d *DirectClient) Submit(ctx context.Context, job workload.Job) Result {
	probe, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	switch state := d.State(probe, job.ID); state.Verdict {
	case VerdictAbsent:
	case VerdictAccepted:
		// The job is stored already, by the planner or by an earlier try.
		return Result{Verdict: VerdictAccepted}
	default:
		return state
	}
	record := workload.Record{Job: job, Progress: *workload.NewProgress(&job)}
	value, err := record.Encode()
	if err != nil {
		return Result{Verdict: VerdictRefused, Reason: err.Error()}
	}
	mark, err := encodeMarker(marker{})
	if err != nil {
		return Result{Verdict: VerdictRefused, Reason: err.Error()}
	}
	_, err = d.Store.Commit(ctx, Txn{Writes: []Write{
		{Key: jobPrefix + job.ID, Value: value},
		{Key: markerPrefix + job.ID, Value: mark, Expected: AnyRevision},
	}})
	if IsErrConflict(err) {
		// The job is stored already, by the planner or by an earlier try.
		return Result{Verdict: VerdictAccepted}
	}
	return outcome(err)
}

// outcome returns the result of a write.
func outcome(err error) Result {
	switch {
	case err == nil:
		return Result{Verdict: VerdictAccepted}
	case IsErrNotDone(err):
		return Result{Verdict: VerdictUnavailable, Reason: err.Error()}
	default:
		return Result{Verdict: VerdictUnknown, Reason: err.Error()}
	}
}

// Cancel leaves a marker that the job is to be cancelled.
func (d *DirectClient) Cancel(ctx context.Context, id string) Result {
	state := d.State(ctx, id)
	if state.Verdict != VerdictAccepted || state.State.Ended() {
		return state
	}
	mark, err := encodeMarker(marker{Cancel: true})
	if err != nil {
		return Result{Verdict: VerdictUnavailable, Reason: err.Error()}
	}
	_, err = d.Store.Commit(ctx, Txn{Writes: []Write{{Key: markerPrefix + id, Value: mark, Expected: AnyRevision}}})
	return outcome(err)
}

// State reads the state of a job.
func (d *DirectClient) State(ctx context.Context, id string) Result {
	item, err := d.Store.Get(ctx, jobPrefix+id)
	switch {
	case IsErrNotExist(err):
		return Result{Verdict: VerdictAbsent}
	case err != nil:
		return Result{Verdict: VerdictUnavailable, Reason: err.Error()}
	}
	record, err := workload.DecodeRecord(item.Value)
	if err != nil {
		return Result{Verdict: VerdictUnavailable, Reason: err.Error()}
	}
	return Result{Verdict: VerdictAccepted, State: record.Progress.State()}
}

func encodeMarker(m marker) ([]byte, error) {
	data, err := codec.Marshal(m)
	return data, errors.Wrap(err, "encode marker")
}
