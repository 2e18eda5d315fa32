package queue

import (
	"math/bits"
	"time"

	"clementinepier/job"
)

// sizeClasses is the number of size classes: 1, 2 to 3, 4 to 7 accelerators and so on; the last one has everything from 128.
const sizeClasses = 8

// meanWeightDivisor gives a new service time a weight of one in eight in the mean. The mean follows a change of the load
// within a few dozen jobs, and one outlier moves it by an eighth of its difference only.
const meanWeightDivisor = 8

// serviceTimes is the mean observed service time of one organisation by size class; 0 means that none was observed.
type serviceTimes struct{ mean [sizeClasses]time.Duration }

func accelerators(s job.Shape) int { return max(1, s.TotalAccelerators()) }

func sizeClassOf(s job.Shape) int { return min(sizeClasses, bits.Len(uint(accelerators(s)))) - 1 }

func urgencyIndex(urgent bool) int {
	if urgent {
		return 1
	}
	return 0
}

// RecordServiceTime records how long a request of an organisation held its capacity. Declared run times are not used.
func (q *Queue) RecordServiceTime(organisation string, s job.Shape, duration time.Duration) {
	times := q.serviceTimes[organisation]
	if times == nil {
		times = &serviceTimes{}
		q.serviceTimes[organisation] = times
	}
	mean := &times.mean[sizeClassOf(s)]
	if *mean == 0 {
		*mean = duration
		return
	}
	*mean += (duration - *mean) / meanWeightDivisor
}

// ServiceTime returns the mean observed service time, or false when there is none for the size class.
func (q *Queue) ServiceTime(organisation string, s job.Shape) (time.Duration, bool) {
	times := q.serviceTimes[organisation]
	if times == nil || times.mean[sizeClassOf(s)] == 0 {
		return 0, false
	}
	return times.mean[sizeClassOf(s)], true
}

// ExpectedWait estimates how long a new request of the organisation would wait: the accelerator time of the requests queued
// ahead of it, divided by the number of accelerators that the organisation can expect. Only urgent requests are ahead of an
// urgent one. Size classes without an observed
// service time add nothing to the estimate.
func (q *Queue) ExpectedWait(organisation string, urgent bool, expected int) time.Duration {
	w, times := q.organisations[organisation], q.serviceTimes[organisation]
	if w == nil || times == nil {
		return 0
	}
	var ahead time.Duration
	for class, mean := range times.mean {
		ahead += mean * time.Duration(w.acceleratorBacklog[urgencyIndex(true)][class])
		if !urgent {
			ahead += mean * time.Duration(w.acceleratorBacklog[urgencyIndex(false)][class])
		}
	}
	return ahead / time.Duration(max(1, expected))
}

// minRetryAfter keeps rejected callers from retrying immediately.
const minRetryAfter = time.Second

// ShouldReject reports whether a new request should be rejected because its expected wait exceeds its deadline, and after
// what time a request with the same remaining time would probably be accepted.
func (q *Queue) ShouldReject(now time.Time, i Item, expected int) (retryAfter time.Duration, reject bool) {
	wait := q.ExpectedWait(i.Request.Organisation, i.Request.Urgent, expected)
	left := i.Deadline.Sub(now)
	if wait <= left {
		return 0, false
	}
	return max(minRetryAfter, wait-left), true
}
