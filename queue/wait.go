package queue

import (
	"math/bits"
	"time"

	"clementinepier/job"
)

// classes is the number of size classes: 1, 2 to 3, 4 to 7 accelerators and so on, with everything from 128 in one.
const classes = 8

// smoothing is the weight of a new service time in the mean. One in eight follows a change of the load within a few
// dozen jobs and is not thrown off by one outlier.
const smoothing = 8

// service is the mean observed service time of one organisation by size class; 0 means none was observed.
type service struct{ mean [classes]time.Duration }

func accelerators(s job.Shape) int { return max(1, s.TotalAccelerators()) }

func classOf(s job.Shape) int { return min(classes, bits.Len(uint(accelerators(s)))) - 1 }

func urgency(urgent bool) int {
	if urgent {
		return 1
	}
	return 0
}

// RecordServiceTime records how long a request of an organisation held its capacity. Declared run times have no part in it.
func (q *Queue) RecordServiceTime(organisation string, s job.Shape, held time.Duration) {
	v := q.services[organisation]
	if v == nil {
		v = &service{}
		q.services[organisation] = v
	}
	mean := &v.mean[classOf(s)]
	if *mean == 0 {
		*mean = held
		return
	}
	*mean += (held - *mean) / smoothing
}

// ServiceTime returns the mean observed service time, and false when there is none for the size class.
func (q *Queue) ServiceTime(organisation string, s job.Shape) (time.Duration, bool) {
	v := q.services[organisation]
	if v == nil || v.mean[classOf(s)] == 0 {
		return 0, false
	}
	return v.mean[classOf(s)], true
}

// ExpectedWait estimates how long a new request of the organisation would wait: the accelerator time of the requests
// ahead of it over the accelerators that the organisation can expect. Size classes without an observed service time
// count as 0, so that nothing is refused without evidence.
func (q *Queue) ExpectedWait(organisation string, urgent bool, share int) time.Duration {
	w, v := q.organisations[organisation], q.services[organisation]
	if w == nil || v == nil {
		return 0
	}
	var ahead time.Duration
	for class, mean := range v.mean {
		ahead += mean * time.Duration(w.backlog[urgency(true)][class])
		if !urgent {
			ahead += mean * time.Duration(w.backlog[urgency(false)][class])
		}
	}
	return ahead / time.Duration(max(1, share))
}

// minRetryAfter keeps refused callers from coming back at once.
const minRetryAfter = time.Second

// ShouldReject reports whether a new request should be refused because its expected wait exceeds its deadline, and after what
// time the wait will probably be short enough.
func (q *Queue) ShouldReject(now time.Time, i Item, share int) (retryAfter time.Duration, refuse bool) {
	wait := q.ExpectedWait(i.Request.Organisation, i.Request.Urgent, share)
	left := i.Deadline.Sub(now)
	if wait <= left {
		return 0, false
	}
	return max(minRetryAfter, wait-left), true
}
