package site

import (
	"bytes"
	"slices"
	"time"

	"clementinepier/workload"
)

// WaitingUnit is a task or a gang that could run while nothing of its job runs.
type WaitingUnit struct {
	Job, Unit string
	// IdleSince is when a run of the job last began or ended; zero if none has.
	IdleSince time.Time
	// Runs is the number of the unit's last run.
	Runs int
}

// Waiting is the work that waits at a moment, and the capacity of the workers in touch.
type Waiting struct {
	Units          []WaitingUnit
	Used, Capacity workload.Resources
}

// Waiting returns the tasks and gangs of the jobs whose turn has come and for which the workers in touch have room twice over, if nothing
// of their job runs and the job may not have ended. Room far from a task's data counts.
func (s *Site) Waiting(jobs []string) Waiting {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyElapsedTime()
	var found Waiting
	var inTouch []freeWorker
	running := map[string]bool{}
	for _, w := range s.workers {
		for task := range w.runs {
			running[jobOf(task)] = true
		}
		if w.inTouch() && s.registered(w) {
			used := w.used()
			inTouch = append(inTouch, freeWorker{Worker: w, free: w.Registration.Capacity.Sub(used)})
			found.Used = found.Used.Add(used)
			found.Capacity = found.Capacity.Add(w.Registration.Capacity)
		}
	}
	for _, id := range jobs {
		if p, ok := s.profiles[id]; ok && !running[id] && !s.ended[id] {
			found.Units = append(found.Units, s.waitingUnits(p, inTouch)...)
		}
	}
	return found
}

// inTouch reports whether the worker carries out and answers all calls, and takes new runs.
func (w *Worker) inTouch() bool {
	cut := w.Silent || w.Dead || w.Replaced || w.Misdirected || w.LoseStarts || w.LosePolls || w.LoseAnswers || w.LateStarts || w.DropStops
	late := w.StartDelay > 0 || w.StopDelay > 0 || w.PollDelay > 0
	return !cut && !late && !w.Unhealthy && !w.RefusesPolls && !w.Registration.Draining
}

// registered reports whether the store has the worker's registration.
func (s *Site) registered(w *Worker) bool {
	return bytes.Equal(s.Store.value(s.Prefix+w.Registration.ID), s.EncodeRegistration(w.Registration))
}

// used returns the resources of the worker's runs.
func (w *Worker) used() workload.Resources {
	var used workload.Resources
	for task := range w.runs {
		used = used.Add(w.site.stepOf(task).Need)
	}
	return used
}

// waitingUnits returns the units of a job whose turn has come and that have room twice over, or none if the job may have ended.
func (s *Site) waitingUnits(p JobProfile, workers []freeWorker) []WaitingUnit {
	var found []WaitingUnit
	var idleSince time.Time
	left := false
	for occurrence := range p.Job.Occurrences() {
		due := !time.Now().Before(p.Job.OccurrenceStart(occurrence))
		for i := range p.Job.Steps {
			step := &p.Job.Steps[i]
			turn := due && s.earlierStepsDone(p.Job, occurrence, i)
			for index := range numberOfUnits(step) {
				id := workload.TaskID{Job: p.Job.ID, Occurrence: occurrence, Step: i, Index: index}
				unit := s.unitOf(id.String())
				if limit := p.Job.MaxAttempts; limit > 0 && len(s.failures[unit]) >= limit {
					s.ended[p.Job.ID] = true
					return nil
				}
				idleSince = slices.MaxFunc([]time.Time{idleSince, s.started[unit], s.lastEnds[unit]}, time.Time.Compare)
				left = left || !s.everDone[unit]
				if !turn || s.everDone[unit] {
					continue
				}
				if s.hasRoom(id, p.Job.Steps[i], workers) {
					found = append(found, WaitingUnit{Job: p.Job.ID, Unit: unit, Runs: s.lastRuns[unit]})
				}
			}
		}
	}
	s.ended[p.Job.ID] = !left
	for i := range found {
		found[i].IdleSince = idleSince
	}
	return found
}

// numberOfUnits returns how many units a step has.
func numberOfUnits(step *workload.Step) int {
	if step.Gang {
		return 1
	}
	return step.Tasks
}

// earlierStepsDone reports whether the steps that a step waits for are done.
func (s *Site) earlierStepsDone(job workload.Job, occurrence, step int) bool {
	for _, earlier := range job.Steps[step].After {
		for index := range job.Steps[earlier].Tasks {
			if !s.everDone[s.unitOf(workload.TaskID{Job: job.ID, Occurrence: occurrence, Step: earlier, Index: index}.String())] {
				return false
			}
		}
	}
	return true
}
