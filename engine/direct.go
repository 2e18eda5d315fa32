package engine

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementinepier/codec"
	"clementinepier/workload"
)

// DirectClient serves callers' requests from the store alone, for an entry VM that cannot reach the planner. The planner
// learns of its writes from submission markers, which are keys under markerPrefix.
type DirectClient struct {
	Store Store
}

// probeTimeout bounds the read that precedes the write of a job; a slow store responds within 400 ms.
const probeTimeout = 600 * time.Millisecond

// Submit stores a job. The store may be down as well: a caller whose write gets no response cannot retry, so nothing is
// written to a store that does not respond to a read first.
func (d *DirectClient) Submit(ctx context.Context, job workload.Job) Result {
	probe, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	switch state := d.State(probe, job.ID); state.Verdict {
	case VerdictAbsent:
	case VerdictAccepted:
		// The job is stored already, by the planner or by an earlier attempt.
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
		// The job is stored already, by the planner or by an earlier attempt.
		return Result{Verdict: VerdictAccepted}
	}
	return writeResult(err)
}

// writeResult returns the result of a write.
func writeResult(err error) Result {
	switch {
	case err == nil:
		return Result{Verdict: VerdictAccepted}
	case IsErrNotDone(err):
		return Result{Verdict: VerdictUnavailable, Reason: err.Error()}
	default:
		return Result{Verdict: VerdictUnknown, Reason: err.Error()}
	}
}

// Cancel writes a marker that asks the planner to cancel the job.
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
	return writeResult(err)
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
