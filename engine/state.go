package engine

import (
	"time"

	"clementinepier/workload"
)

// jobState is a job in the planner's memory.
type jobState struct {
	record workload.Record
	// revision is that of the job's key in the store as last known; 0 means that the key does not exist yet.
	revision int64
	// firstChange and lastChange number the oldest and the newest change that is not stored; both 0 when all is stored.
	firstChange, lastChange uint64
	// changed is when firstChange came up.
	changed time.Time
	// stored is the newest change that is stored; launched is the newest one that runs to be started wait for.
	stored, launched uint64
	// waiting has what follows from changes once they are stored, in the order of the changes.
	waiting []storedCall
	// since tells when each step became ready to start, by occurrence and step; zero while it is not.
	since [][]time.Time
	// accepted is when the job was accepted, on the planner's clock.
	accepted time.Time
	groups   map[groupKey]*group
	// avoid has workers on which a run of this job stood still or failed.
	avoid map[string]bool
	// blamed counts the failures that were held against workers.
	blamed int
	// offered is set once the store may have the job: by an unanswered commit of this planner, or by another entry VM.
	offered bool
	// writing is set while a commit of the job is under way.
	writing bool
	// withdrawn is set when the job was turned away after all.
	withdrawn bool
	// cancelledAt is set once the job was cancelled.
	cancelledAt time.Time
}

// unsent reports whether the store certainly has not seen the job, so that it can still be turned away.
func (j *jobState) unsent() bool { return j.revision == 0 && !j.offered && !j.writing }

func (j *jobState) id() string { return j.record.Job.ID }

func (j *jobState) state() workload.State { return j.record.Progress.State() }

func (j *jobState) task(t workload.TaskID) *workload.TaskProgress {
	return &j.record.Progress.Tasks[t.Occurrence][t.Step][t.Index]
}

// groupKey identifies a group within its job. Index is -1 for a gang.
type groupKey struct {
	occurrence, step, index int
}

// group is the runs that were started together: a gang, or a single task.
type group struct {
	job  *jobState
	key  groupKey
	runs []*run
	// size is the number of runs at the start.
	size int
	// done is set when an end as done was listed.
	done bool
	// failed is set when an end as failed was counted.
	failed bool
	// breaking is set when the runs that are left have to end.
	breaking bool
	reason   string
	started  time.Time
	// parted is when a member of a gang was first known to have ended. The others then end too: at once as broken, or alone
	// after the time that a gang's members wait for each other.
	parted time.Time
	// working is when all runs were known to be present; zero before that.
	working time.Time
}

func (g *group) step() *workload.Step { return &g.job.record.Job.Steps[g.key.step] }

// phase is how far a run is.
type phase int

const (
	// runRecorded: the placement is being stored; no order was sent.
	runRecorded phase = iota
	// runOrdered: an order to start was sent and is not answered.
	runOrdered
	// runInherited: an earlier planner recorded the run; whether it exists is not known.
	runInherited
	// runRunning: the worker has said that it has the run.
	runRunning
)

// run is one start of one task on one worker. It ends when it surely does not exist and cannot come to exist.
type run struct {
	task   workload.TaskID
	name   string
	number int
	group  *group
	worker *workerState
	need   workload.Resources
	phase  phase
	// born is the life of the worker that confirmed the run; 0 while none has.
	born int64
	// present is when the worker first confirmed the run. A look that was sent later and does not show it means that it ended.
	present time.Time
	// doubtful is set when an order to start it got no answer, so that it may be carried out later.
	doubtful bool
	attempts int
	// placed is the change that has to be stored before the start is ordered; 0 for inherited runs.
	placed uint64
	// orderSent is when the last order to start it was sent.
	orderSent time.Time
	// ordering and stopping are set while a call is under way.
	ordering, stopping bool
	// stopWanted is set when the run has to end; stopSent is when the last order to do so was sent.
	stopWanted bool
	stopSent   time.Time
	percent    int
	// moved is when the percentage last changed.
	moved      time.Time
	checkpoint string
	ended      bool
}

// workerState is a backend server in the planner's memory.
type workerState struct {
	advert Registration
	// listed is false once the worker's entry is gone from the store; unlisted is when that was.
	listed   bool
	unlisted time.Time
	// known is set once the worker has answered this planner, and so refuses orders of earlier ones.
	known bool
	// born identifies the life that the runs belong to.
	born int64
	// clock is the worker's clock as of clockAt.
	clock   WorkerTime
	clockAt time.Time
	runs    map[string]*run
	// foreign counts runs that the worker has and that nobody asked for; it gets nothing new until they are gone.
	foreign int
	looking bool
	// looks numbers the looks; an earlier one than the last may still be under way when its answer seems lost.
	looks int
	// overdue is when the look under way should have shown the end of a run whose stop was answered; zero while there is none.
	overdue time.Time
	// attended is set while the worker is among those to contact at the end of the pass, waking while a timer will add it.
	attended, waking bool
	// answered is when a call last succeeded; failing is when calls began to fail, zero while they succeed.
	answered, failing time.Time
	nextLook          time.Time
	// renewed is when a look last extended the lease.
	renewed time.Time
	// granted is the time after which every lease that was granted has surely ended.
	granted time.Time
	// seen is the number of the last end that was taken in; noted is the last that the worker was told to forget.
	seen, noted int64
	// unstored counts the ends up to seen that are not stored. The worker may forget them once there are none.
	unstored int
	draining bool
	// drainEnd is the earliest time at which a draining worker leaves.
	drainEnd time.Time
	// unhealthyUntil keeps new runs away for a while.
	unhealthyUntil time.Time
}

// unlist notes that the worker's entry is gone from the store, or names it no more.
func (w *workerState) unlist(now time.Time) { w.listed, w.unlisted = false, now }

func (w *workerState) id() string { return w.advert.ID }

// used returns what runs hold on the worker, and what of it is being stopped.
func (w *workerState) used() (all, stopping workload.Resources) {
	for _, r := range w.runs {
		all = all.Add(r.need)
		if r.stopWanted || r.group.done {
			stopping = stopping.Add(r.need)
		}
	}
	return all, stopping
}

// now returns the worker's clock.
func (w *workerState) now(t time.Time) WorkerTime { return w.clock + WorkerTime(t.Sub(w.clockAt)) }
