package engine

import (
	"math"
	"time"

	"clementinepier/metrics"
	"clementinepier/policy"
)

const (
	// minMeasuredPercent is the least progress by which the rate of a run is measured. Workers report whole percents.
	minMeasuredPercent = 10
	// maxRates bounds the runs of one step of a job that are kept for comparison, the newest ones.
	maxRates = 64
	// speedRefreshInterval is how often the speeds of a fleet are brought up to date.
	speedRefreshInterval = time.Second
)

// unknownCheckpoint stands for the checkpoint with which a run was started that an earlier planner has placed.
const unknownCheckpoint = "unknown"

// runRate is the rate at which a run makes progress.
type runRate struct {
	policy.Rate
	// fromPercent and fromTime are where the measurement began; measuring is set once it has.
	fromPercent int
	fromTime    time.Time
	measuring   bool
	// listed is set once the run counts among those of its step, ended once its rate is final.
	listed, ended bool
}

// measureRate brings the rate of a run up to date with a percent that its worker has just reported, and compares the worker with others once the
// run has done its share.
func (p *Planner) measureRate(now time.Time, r *run, percent int) {
	m := &r.rate
	if m.ended || r.group.runningSince.IsZero() || r.group.step().LongRunning || r.awayFromData() {
		return
	}
	if !m.measuring {
		m.measuring, m.fromPercent, m.fromTime = true, percent, now
		if r.startedFrom == "" {
			m.fromPercent, m.fromTime = 0, r.group.runningSince
		}
	}
	if percent >= 100 {
		// It may have reached 100 percent long before.
		p.compareRate(now, r)
		return
	}
	p.setRate(now, r, percent)
}

// awayFromData reports whether the run takes longer than others because its data is in another rack.
func (r *run) awayFromData() bool {
	rack := r.group.step().DataRack
	return rack != "" && r.worker.registration.Rack != rack
}

// setRate sets the rate of a run that has reached a percent just now.
func (p *Planner) setRate(now time.Time, r *run, percent int) {
	m := &r.rate
	took := now.Sub(m.fromTime)
	if percent-m.fromPercent < minMeasuredPercent || took <= 0 {
		return
	}
	m.Rate = policy.Rate{Worker: r.worker.id(), Log: math.Log(float64(percent-m.fromPercent) / took.Seconds())}
	if m.listed {
		return
	}
	m.listed = true
	rates := r.group.job.rates[r.group.key.step]
	rates = append(rates, &m.Rate)
	r.group.job.rates[r.group.key.step] = rates[max(0, len(rates)-maxRates):]
}

// measureEnd compares the worker of a run that has ended. The members of a gang end together, so the end of one shows nothing about its worker.
func (p *Planner) measureEnd(r *run, reason EndReason) {
	now := p.Clock.Now()
	if reason == EndDone && r.group.size == 1 && r.rate.measuring && !r.rate.ended {
		p.setRate(now, r, 100)
	}
	p.compareRate(now, r)
}

// compareRate compares the worker of a run whose rate is final with the other workers of its step, once for each step of a job. Runs of one step on
// one worker are compared with the same others, so a further comparison would add little.
func (p *Planner) compareRate(now time.Time, r *run) {
	if !r.rate.listed || r.rate.ended {
		return
	}
	r.rate.ended = true
	key := stepWorker{step: r.group.key.step, worker: r.rate.Worker}
	if r.group.job.compared[key] {
		return
	}
	log, variance, ok := policy.CompareRates(r.rate.Worker, r.group.job.rates[key.step], func(worker string) (float64, float64) {
		if known, ok := p.speeds[worker]; ok {
			return known.At(now)
		}
		return (&policy.SpeedEstimate{Observed: now}).At(now)
	})
	if !ok {
		return
	}
	r.group.job.compared[key] = true
	p.Metrics.Add(metrics.SpeedsCompared, 1)
	p.speedOf(r.rate.Worker).Observe(now, log, variance)
}

// workerSpeed is what is known of the speed of a worker, and the class that decisions go by.
type workerSpeed struct {
	policy.SpeedEstimate
	class int
}

// stepWorker identifies a step of a job and a worker.
type stepWorker struct {
	step   int
	worker string
}

// speedOf returns what is known of the speed of a worker.
func (p *Planner) speedOf(worker string) *workerSpeed {
	known, ok := p.speeds[worker]
	if !ok {
		known = &workerSpeed{SpeedEstimate: policy.SpeedEstimate{Observed: p.Clock.Now()}}
		p.speeds[worker] = known
	}
	return known
}

// refreshSpeeds brings the speeds of the fleet's workers up to date.
func (p *Planner) refreshSpeeds(now time.Time, f *fleet) {
	if now.Sub(f.speedsAt) < speedRefreshInterval {
		return
	}
	f.speedsAt = now
	estimates := make([]*policy.SpeedEstimate, len(f.workers))
	for i, w := range f.workers {
		if known := p.speeds[w.id()]; known != nil {
			estimates[i] = &known.SpeedEstimate
		}
	}
	slow, fast := int64(0), int64(0)
	for i, speed := range policy.RelativeSpeeds(now, estimates) {
		known := p.speeds[f.workers[i].id()]
		if known == nil {
			f.policyWorkers[i].Speed = 0
			continue
		}
		class := policy.SpeedClass(speed, known.class)
		if class != known.class {
			p.Log.Event("worker-speed", "worker", f.workers[i].id(), "speed", speed, "class", class, "before", known.class)
			known.class, p.speedNote.changed = class, true
		}
		f.policyWorkers[i].Speed = policy.ClassSpeed(class)
		switch {
		case class < 0:
			slow++
		case class > 0:
			fast++
		}
	}
	p.Metrics.SetGauge(metrics.WorkersSlow, slow)
	p.Metrics.SetGauge(metrics.WorkersFast, fast)
}
