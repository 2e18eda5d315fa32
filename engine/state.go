package engine

import (
	"time"

	"clementinepier/policy"
	"clementinepier/workload"
)

// jobState is the planner's in-memory state of a job.
type jobState struct {
	record workload.Record
	// size is the number of bytes that the job is counted with in memory.
	size int64
	// revision is the last known revision of the job's key in the store; 0 means that the key does not exist yet.
	revision int64
	// firstChange and lastChange are the numbers of the oldest and the newest change that are not stored; 0 if all are
	// stored.
	firstChange, lastChange uint64
	// firstChangeAt is when firstChange was made.
	firstChangeAt time.Time
	// storedChange is the newest change that is stored. lastPlacement is the newest change that has to be stored before runs
	// are started.
	storedChange, lastPlacement uint64
	// onStored has the callbacks to run once changes are stored, in the order of the changes.
	onStored []storedCallback
	// readySince is when each step became ready to start, by occurrence and step; zero while it is not.
	readySince [][]time.Time
	// begun is set once a worker has confirmed a run of the job, or an earlier planner has recorded the outcome of one.
	begun bool
	// accepted is when the job was accepted, on the planner's clock.
	accepted time.Time
	groups   map[groupKey]*group
	// avoid has the workers on which a run of this job stalled or failed, and until when the job avoids them.
	avoid map[string]time.Time
	// unresponsive has the workers that left the starts of a run of this job without a response, and until when the job uses them after others.
	unresponsive map[string]time.Time
	// stalls counts, by task or gang, the runs that were stopped because they seemed to stall.
	stalls map[groupKey]int
	// longestDone has, by step, the longest time that a task or gang that is done was at work.
	longestDone map[int]time.Duration
	// rates has, by step, the rates of the runs that have been measured, the newest last.
	rates map[int][]*policy.Rate
	// compared has the steps by which a worker was compared with others.
	compared map[stepWorker]bool
	// preemptions has, by task or gang, the runs that were stopped for more urgent work.
	preemptions map[groupKey]preemptions
	// preemptionWithheld has the tasks and gangs for which it was logged that no room is made.
	preemptionWithheld map[groupKey]bool
	// idleSince is since when no run of the job is at work although a task is ready or placed, zero while one is; idleReportedAt is when the
	// reason was last logged.
	idleSince, idleReportedAt time.Time
	// blamedFailures counts the failures that were attributed to workers.
	blamedFailures int
	// failedOn and doneOn have the workers on which a run of the job has failed or was done.
	failedOn, doneOn map[string]bool
	// unplacedSince is since when the job has no run that is at work or is being started; zero while it has one.
	unplacedSince time.Time
	// endedAt is, for each task that lasts, when its last run ended.
	endedAt map[groupKey]time.Time
	// beyondWeight is set if the organisation had submitted more jobs than its weight entitles it to when it submitted this one.
	beyondWeight bool
	// maybeStored is set once the store may have the job, from a commit of this planner that got no response or from another
	// entry VM.
	maybeStored bool
	// commitInFlight is set while a commit with the job is in flight.
	commitInFlight bool
	// withdrawn is set when the job was rejected because it could not be stored.
	withdrawn bool
	// endedSince is when the job reached its final state, on the planner's clock; zero before that.
	endedSince time.Time
	// cancelledAt is when the job was cancelled; zero if it was not.
	cancelledAt time.Time
}

// unsent reports whether the store certainly does not have the job, so that the job can still be rejected.
func (j *jobState) unsent() bool { return j.revision == 0 && !j.maybeStored && !j.commitInFlight }

// endStored reports whether the job has ended and the store has that.
func (j *jobState) endStored() bool { return j.state().Ended() && j.lastChange == 0 }

func (j *jobState) id() string { return j.record.Job.ID }

func (j *jobState) state() workload.State { return j.record.Progress.State() }

func (j *jobState) task(t workload.TaskID) *workload.TaskProgress {
	return &j.record.Progress.Tasks[t.Occurrence][t.Step][t.Index]
}

// groupKey identifies a group within its job; index is -1 for a gang.
type groupKey struct {
	occurrence, step, index int
}

// group is the runs that start together: a gang or a single task.
type group struct {
	job  *jobState
	key  groupKey
	runs []*run
	// size is the number of runs with which the group began.
	size int
	// done is set when a worker reported a run of the group as done.
	done bool
	// failed is set when a failure of the group was counted.
	failed bool
	// stopping is set when the remaining runs have to end, for the given reason.
	stopping  bool
	reason    string
	startedAt time.Time
	// runningSince is when all runs were confirmed by their workers; zero before that.
	runningSince time.Time
	// keptBy is why the group is kept although a run of it stands still at 100 percent, as last logged; empty if none does.
	keptBy policy.Evidence
}

// workersIdentified reports whether all workers on which runs of the group are to be started have reported their incarnations since the group
// was placed. Members that start without the others would wait.
func (g *group) workersIdentified() bool {
	for _, r := range g.runs {
		if r.phase == runRecorded && !r.worker.identifiedSince(g.startedAt) {
			return false
		}
	}
	return true
}

func (g *group) step() *workload.Step { return &g.job.record.Job.Steps[g.key.step] }

// name identifies the task of the group, or its gang, across its runs.
func (g *group) name() string { return groupName(g.job.id(), g.key) }

// groupName returns the name of a task, or with the index -1 of a gang.
func groupName(job string, key groupKey) string {
	return workload.TaskID{Job: job, Occurrence: key.occurrence, Step: key.step, Index: key.index}.String()
}

// phase is the phase of a run.
type phase int

const (
	// runRecorded means that the placement is recorded and no start order was sent.
	runRecorded phase = iota
	// runOrdered means that a start order was sent and is not confirmed.
	runOrdered
	// runDoubtful means that the run was recorded by an earlier planner, or that its worker has restarted after a start order without a
	// response. It is unknown whether the worker has it, or will execute an order to start the task before it knows the present fencing
	// token.
	runDoubtful
	// runRunning means that the worker has confirmed the run.
	runRunning
)

// run is one start of one task on one worker. It has ended when it certainly does not exist and cannot be created any more.
type run struct {
	task   workload.TaskID
	name   string
	number int
	group  *group
	worker *workerState
	need   workload.Resources
	phase  phase
	// incarnation is the newest one of the worker that is known to have the run; 0 if none is.
	incarnation int64
	// confirmedAt is when the worker first confirmed the run. If the response to a poll that was sent later does not list
	// the run, it has ended.
	confirmedAt time.Time
	// unconfirmed is set when a start order got no response, so that it may be executed later.
	unconfirmed   bool
	startAttempts int
	// placementChange is the change that has to be stored before the start order is sent; 0 for inherited runs.
	placementChange uint64
	// startSentAt is when the last start order was sent.
	startSentAt time.Time
	// startInFlight and stopInFlight are set while such an order is in flight.
	startInFlight, stopInFlight bool
	// stopRequested is set when the run has to end; stopSentAt is when the last stop order was sent.
	stopRequested bool
	stopSentAt    time.Time
	percent       int
	// progressedAt is when the percentage last changed.
	progressedAt time.Time
	// usage is the processor time that the run last used, in thousandths of a core, if usageKnown is set.
	usage      int64
	usageKnown bool
	checkpoint string
	// savedAt is when the worker first reported the present checkpoint; zero while it has reported none of this run.
	savedAt time.Time
	// rate is the rate at which the run makes progress, and startedFrom the checkpoint with which it was started, for the speed of its worker.
	rate        runRate
	startedFrom string
	// concluded is set once the run no longer keeps its worker, which was quarantined, closed to other work.
	concluded bool
	ended     bool
}

// workerState is the planner's in-memory state of a worker, which runs on a backend server.
type workerState struct {
	registration Registration
	// registered is set while the store has the worker's registration; unregisteredAt is when that ended.
	registered     bool
	unregisteredAt time.Time
	// entryMissingSince is since when the store has no entry under the worker's key, of whatever writer; zero while it has one.
	entryMissingSince time.Time
	// fence is the fencing token of orders to the present incarnation; see raiseFence.
	fence int64
	// startFence is the highest fencing token of a start order that was sent to the worker by this planner.
	startFence int64
	// fenced is set once the present incarnation has responded to a poll with that token. It then refuses orders of earlier
	// planners, and those that were meant for earlier incarnations.
	fenced bool
	// incarnation is the newest known incarnation of the worker, since incarnationSince; the runs belong to it. incarnationChanges
	// counts its changes.
	incarnation        int64
	incarnationSince   time.Time
	incarnationChanges int
	// reportedIncarnation is the newest incarnation that the worker itself has reported, and answersAt the address at which it did, which is that
	// of the registration; empty once another worker has it. Entries in the store may be of other writers.
	reportedIncarnation int64
	answersAt           string
	// supersededIncarnation is the last one before the time of day of the worker went back, 0 if it never did. It is higher than the
	// next one.
	supersededIncarnation int64
	// outdated is the newest entry if it reports an incarnation that has ended, until the worker has reported its own since.
	outdated *unverifiedEntry
	// unverified is the newest entry if it contradicts that, until that is settled; see resolveUnverified. It is not registered
	// meanwhile.
	unverified *unverifiedEntry
	// clock is a reading of the clock of the worker's incarnation, which arrived at clockAt.
	clock   WorkerTime
	clockAt time.Time
	runs    map[string]*run
	// orphans has the tasks of the runs that the worker has and the planner did not request, and when a stop of each was last sent.
	// Until they are gone, the worker gets no new runs and the tasks are not placed.
	orphans map[string]time.Time
	polling bool
	// querying is set while a query is in flight.
	querying bool
	// polls numbers the polls. When the response to a poll seems lost, the next one is sent while the earlier is still in
	// flight.
	polls int
	// pollOverdueAt is when the response to the poll in flight counts as lost, because a stopped run should have ended by then, or the worker may carry
	// out a start late and its next incarnation has to be asked; zero in other cases.
	pollOverdueAt time.Time
	// contactScheduled is set while the worker is in the contact queue, and contactTimerSet while a timer will add it.
	contactScheduled, contactTimerSet bool
	// lastAnswer is when the worker last responded; failingSince is when calls began to fail, zero while they succeed.
	lastAnswer, failingSince time.Time
	// identifiedAt is when the response arrived in which the worker last reported its incarnation, and identifiedSentAt is when the call
	// was sent.
	identifiedAt, identifiedSentAt time.Time
	nextPoll                       time.Time
	// lateStarts has, by the name of the group, the last start order that got no response.
	lateStarts map[string]*lateStart
	// restartSuspectedAt is when the first sign came that the worker has restarted since it was last fenced; zero if none has.
	restartSuspectedAt time.Time
	// restartSignAt is when the latest such sign came. A response to an earlier call may be of the incarnation before.
	restartSignAt time.Time
	// leaseRenewedAt is when a poll last extended the lease.
	leaseRenewedAt time.Time
	// leaseOrderedAt is when an order that gives or extends a lease was last sent, by this planner or possibly by an earlier one.
	leaseOrderedAt time.Time
	// grantedLeasesEndBy is the time after which the leases have certainly ended that were granted on the clock of an incarnation that had
	// answered, if no order is executed late.
	grantedLeasesEndBy time.Time
	// leasesEndBy is the time after which the leases of all incarnations of the worker have certainly ended, also those that one that only an
	// entry reports may get from late orders. reportedLeasesEndBy, which is never later, counts the incarnations that the worker has reported.
	leasesEndBy, reportedLeasesEndBy time.Time
	// lastEnd is the number of the last end that was applied; acknowledgedEnd is the last one that the worker may discard.
	lastEnd, acknowledgedEnd int64
	// moreEnds is set while the worker may have ends beyond those that it last listed.
	moreEnds bool
	// inferredEnds has, by task, the runs whose end was inferred since the worker last listed its runs and all its ends.
	inferredEnds map[string]inferredEnd
	// unstoredEnds counts the ends up to lastEnd that are not stored. They are acknowledged once there are none.
	unstoredEnds int
	draining     bool
	// reportedDraining is set once the worker itself has reported that it drains, not only an entry.
	reportedDraining bool
	// drainEnd is the earliest time at which a draining worker leaves.
	drainEnd time.Time
	// unhealthyUntil is when the worker, which refused a call, may get new runs again.
	unhealthyUntil time.Time
	// stalledUntil is until when the worker is closed because a run has stalled there.
	stalledUntil time.Time
	// avoidedUntil is until when a job may avoid the worker.
	avoidedUntil time.Time
	// failedJobs has the jobs of which a run has failed on the worker soon after its start, since one was last done there, the newest last.
	failedJobs []*jobState
}

// markUnregistered records that the store has no valid registration of the worker any more.
func (w *workerState) markUnregistered(now time.Time) { w.registered, w.unregisteredAt = false, now }

func (w *workerState) id() string { return w.registration.ID }

// used returns the resources that runs occupy on the worker, and the part of them that is about to become free.
func (w *workerState) used() (all, stopping workload.Resources) {
	for _, r := range w.runs {
		all = all.Add(r.need)
		if r.stopRequested || r.group.done {
			stopping = stopping.Add(r.need)
		}
	}
	return all, stopping
}

// clockKnown reports whether the worker has reported its clock recently enough to grant it a lease.
func (w *workerState) clockKnown(now time.Time) bool {
	return w.clock != 0 && now.Sub(w.clockAt) <= maxClockAge
}

// recordIdentified records that the worker reported its incarnation, unless it is 0, in the response to a call to an address that was sent at the
// given time. It reports whether the worker had not answered there before.
func (w *workerState) recordIdentified(incarnation int64, address string, sent time.Time) bool {
	if incarnation == 0 {
		return false
	}
	if sent.After(w.identifiedSentAt) {
		w.identifiedSentAt = sent
	}
	if w.outdated != nil && sent.After(w.outdated.arrivedAt) {
		// The entry is of an earlier incarnation or of another writer.
		w.outdated = nil
	}
	if w.reportedIncarnation == 0 && w.registration.Address != "" {
		// An entry may have reported another address since the call was sent.
		w.registration.Address = address
	}
	if address != w.registration.Address {
		return false
	}
	first := w.answersAt != address
	w.reportedIncarnation, w.answersAt = incarnation, address
	return first
}

// identifiedSince reports whether the worker has reported its incarnation in the response to a call that was sent at the given time or later.
func (w *workerState) identifiedSince(t time.Time) bool { return !w.identifiedSentAt.Before(t) }

// earliestWorkerTime returns the lowest reading that the worker's clock can have now.
func (w *workerState) earliestWorkerTime(now time.Time) WorkerTime {
	return w.clock + WorkerTime(float64(now.Sub(w.clockAt))*(1-maxClockDrift))
}

// grantLeaseUntil records that an order sent now gives or extends a lease that may last until the given time.
func (w *workerState) grantLeaseUntil(now, until time.Time) {
	w.leaseOrderedAt = now
	if until.After(w.grantedLeasesEndBy) {
		w.grantedLeasesEndBy = until
	}
	w.boundLeases(until)
}

// boundLeases records that leases of an incarnation that the worker has reported may last until the given time.
func (w *workerState) boundLeases(until time.Time) {
	w.boundAnyLeases(until)
	if until.After(w.reportedLeasesEndBy) {
		w.reportedLeasesEndBy = until
	}
}

// boundAnyLeases records that leases of any incarnation, also one that only an entry reports, may last until the given time.
func (w *workerState) boundAnyLeases(until time.Time) {
	if until.After(w.leasesEndBy) {
		w.leasesEndBy = until
	}
}
