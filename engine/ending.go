package engine

import (
	"time"

	"clementinepier/metrics"
)

// endBasis is what shows that a run does not exist any more. Only basisReported is the worker's word; the others conclude it
// from something else, and each must hold whatever orders are still in flight.
type endBasis string

const (
	// basisReported means that the worker listed the end.
	basisReported endBasis = "reported"
	// basisNotSent means that no start order was sent.
	basisNotSent endBasis = "not-sent"
	// basisRefused means that the worker refused the only start order.
	basisRefused endBasis = "refused"
	// basisNotListed means that the worker does not list a run that it had, or whose start it refuses from now on.
	basisNotListed endBasis = "not-listed"
	// basisRestarted means that the incarnation of the worker that had the run has ended.
	basisRestarted endBasis = "restarted"
	// basisReplaced means that another worker has the address.
	basisReplaced endBasis = "replaced"
	// basisLeaseOver means that every lease that was granted to the worker has ended.
	basisLeaseOver endBasis = "lease-over"
	// basisGone means that the worker is to be treated as gone, and that no order to it can be executed any more.
	basisGone endBasis = "gone"
)

// inferredEnd is the end of a run that its worker has not reported.
type inferredEnd struct {
	run   int
	basis endBasis
	at    time.Time
}

// recordInferredEnd keeps an end that the worker has not reported until the worker answers. No runs are placed on a worker that
// does not answer, so there are at most as many as it had runs.
func (p *Planner) recordInferredEnd(r *run, basis endBasis) {
	if basis == basisReported || basis == basisNotSent {
		return
	}
	if r.worker.inferredEnds == nil {
		r.worker.inferredEnds = map[string]inferredEnd{}
	}
	r.worker.inferredEnds[r.name] = inferredEnd{run: r.number, basis: basis, at: p.Clock.Now()}
}

// checkInferredEnd reports a run that a worker has, or has done, although its end was inferred: the task may have been started
// again meanwhile. A run that was done before the lease ended had ended as inferred, only its result was lost.
func (p *Planner) checkInferredEnd(w *workerState, task string, number int, found string) {
	e, ok := w.inferredEnds[task]
	if !ok || e.run != number || e.basis == basisLeaseOver && found == string(EndDone) {
		return
	}
	delete(w.inferredEnds, task)
	p.Metrics.Add(metrics.EndsContradicted, 1)
	p.Log.Event("inference-contradicted", "task", task, "run", number, "worker", w.id(), "basis", e.basis, "found", found,
		"after", p.Clock.Since(e.at))
}
