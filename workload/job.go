// Package workload defines the jobs that an entry VM schedules, their progress, and the record of both that is kept in the
// store. It is pure: it does no I/O and does not read the clock.
package workload

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
	"unsafe"
)

// Resources is an amount of resources that a task needs or that a worker has.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU     int64 `cbor:"1,keyasint,omitempty"`
	MemoryMB     int64 `cbor:"2,keyasint,omitempty"`
	Accelerators int64 `cbor:"3,keyasint,omitempty"`
}

// Fits reports whether r is at most free in each resource.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Times returns n times r. An amount that would overflow becomes the highest one.
func (r Resources) Times(n int) Resources {
	return Resources{times(r.MilliCPU, n), times(r.MemoryMB, n), times(r.Accelerators, n)}
}

func times(amount int64, n int) int64 {
	if n > 0 && amount > math.MaxInt64/int64(n) {
		return math.MaxInt64
	}
	return amount * int64(n)
}

// AtMost returns the smaller of r and limit in each resource.
func (r Resources) AtMost(limit Resources) Resources {
	return Resources{min(r.MilliCPU, limit.MilliCPU), min(r.MemoryMB, limit.MemoryMB), min(r.Accelerators, limit.Accelerators)}
}

// coresPerAccelerator converts accelerators to cores. The users' price rules charge an accelerator like 8 cores.
const coresPerAccelerator = 8

// Cores returns the processors and accelerators, converted to a number of cores.
func (r Resources) Cores() float64 {
	return float64(r.MilliCPU)/1000 + coresPerAccelerator*float64(r.Accelerators)
}

// Step is a set of identical tasks.
type Step struct {
	// Tasks is the number of tasks.
	Tasks int `cbor:"1,keyasint"`
	// Need has the resources that each task needs.
	Need Resources `cbor:"2,keyasint"`
	// Estimate is the caller's estimate of a task's run time.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// After has the indices of earlier steps that must be done before this one starts.
	After []int `cbor:"4,keyasint,omitempty"`
	// Gang means that the tasks make progress only while all of them run. They start and end together.
	Gang bool `cbor:"5,keyasint,omitempty"`
	// SameRack means that the tasks run slower when they are spread over racks.
	SameRack bool `cbor:"6,keyasint,omitempty"`
	// Checkpoints means that a task whose run was ended resumes from its last checkpoint.
	Checkpoints bool `cbor:"7,keyasint,omitempty"`
	// LongRunning means that the tasks run until the job is cancelled and are restarted however they end.
	LongRunning bool `cbor:"8,keyasint,omitempty"`
	// Label is a label that the worker must have; empty means any worker.
	Label string `cbor:"9,keyasint,omitempty"`
	// DataRack is the rack in which the tasks run at full speed because their data is there; empty means any rack.
	DataRack string `cbor:"10,keyasint,omitempty"`
	// MaxTasksPerWorker is the maximum number of the step's tasks on one worker; 0 means no limit.
	MaxTasksPerWorker int `cbor:"11,keyasint,omitempty"`
}

// Job is a job as its caller submitted it. It does not change once it is accepted.
type Job struct {
	ID           string `cbor:"1,keyasint"`
	Queue        string `cbor:"2,keyasint"`
	Service      string `cbor:"3,keyasint"`
	Organisation string `cbor:"4,keyasint,omitempty"`
	// Payload is passed to every task.
	Payload string `cbor:"5,keyasint,omitempty"`
	Steps   []Step `cbor:"6,keyasint"`
	// Priority 0 is the most urgent.
	Priority int `cbor:"7,keyasint,omitempty"`
	// MaxAttempts is the number of failed runs of one task after which the job fails; 0 means no limit.
	MaxAttempts int `cbor:"8,keyasint,omitempty"`
	// Objective is the time within which the job, or each occurrence of a repeated job, should complete.
	Objective time.Duration `cbor:"9,keyasint,omitempty"`
	// Accepted is when an entry VM accepted the job, by that VM's wall clock.
	Accepted time.Time `cbor:"10,keyasint"`
	// Repeat is the number of occurrences, each of which runs all steps. 0 means a single occurrence that may start at once;
	// otherwise occurrence k may start at FirstRun + k*Interval.
	Repeat   int           `cbor:"11,keyasint,omitempty"`
	FirstRun time.Time     `cbor:"12,keyasint,omitzero"`
	Interval time.Duration `cbor:"13,keyasint,omitempty"`
}

// Size returns about how many bytes the job takes in memory.
func (j *Job) Size() int {
	size := len(j.Payload) + j.StepsSize()
	for i := range j.Steps {
		size += len(j.Steps[i].Label) + len(j.Steps[i].DataRack)
	}
	return size
}

// StepsSize returns the part of Size that its steps take without their texts.
func (j *Job) StepsSize() int {
	size := len(j.Steps) * int(unsafe.Sizeof(Step{}))
	for i := range j.Steps {
		size += len(j.Steps[i].After) * int(unsafe.Sizeof(0))
	}
	return size
}

// Occurrences returns the number of occurrences.
func (j *Job) Occurrences() int { return max(1, j.Repeat) }

// OccurrenceStart returns the earliest start of an occurrence; the zero time means at once.
func (j *Job) OccurrenceStart(occurrence int) time.Time {
	if j.Repeat == 0 {
		return time.Time{}
	}
	return j.FirstRun.Add(time.Duration(occurrence) * j.Interval)
}

// FirstStepAccelerators returns the number of accelerators that the tasks of the first step need in total.
func (j *Job) FirstStepAccelerators() int64 {
	if len(j.Steps) == 0 {
		return 0
	}
	return int64(j.Steps[0].Tasks) * j.Steps[0].Need.Accelerators
}

// CriticalPath returns the largest sum of estimates along a chain of dependent steps, but at most MaxDuration.
func (j *Job) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i, s := range j.Steps {
		for _, dependency := range s.After {
			if dependency >= 0 && dependency < i {
				ends[i] = max(ends[i], ends[dependency])
			}
		}
		ends[i] = min(ends[i]+s.Estimate, MaxDuration)
		longest = max(longest, ends[i])
	}
	return longest
}

const (
	// MaxTasks bounds the tasks of a job over all occurrences, so that its record fits into one value of the store, 1 MB.
	MaxTasks = 20000
	// MaxOccurrences bounds the occurrences of a job.
	MaxOccurrences = 10000
	// MaxDuration bounds the estimate of a step, the critical path and the objective, so that sums of times do not overflow.
	MaxDuration = 365 * 24 * time.Hour
	// MaxPeriod bounds the time from the first occurrence to the last for the same reason.
	MaxPeriod = 100 * MaxDuration
)

// Validate returns an error if the job is malformed or exceeds a limit.
func (j *Job) Validate() error {
	if len(j.Steps) == 0 {
		return &ErrInvalidJob{Reason: "it has no steps"}
	}
	if j.Repeat > MaxOccurrences {
		return &ErrInvalidJob{Reason: fmt.Sprintf("it has more than %d occurrences", MaxOccurrences)}
	}
	if err := j.validateTimes(); err != nil {
		return err
	}
	total := 0
	for i, s := range j.Steps {
		if s.Tasks <= 0 || s.Tasks > MaxTasks {
			return &ErrInvalidJob{Reason: fmt.Sprintf("step %d has %d tasks, not 1 to %d", i, s.Tasks, MaxTasks)}
		}
		if total += s.Tasks * j.Occurrences(); total > MaxTasks {
			return &ErrInvalidJob{Reason: fmt.Sprintf("it has more than %d tasks", MaxTasks)}
		}
		if s.Need.MilliCPU < 0 || s.Need.MemoryMB < 0 || s.Need.Accelerators < 0 {
			return &ErrInvalidJob{Reason: fmt.Sprintf("step %d needs a negative amount of a resource", i)}
		}
		for _, dependency := range s.After {
			if dependency < 0 || dependency >= i {
				return &ErrInvalidJob{Reason: fmt.Sprintf("step %d depends on step %d, which is not an earlier step", i, dependency)}
			}
		}
	}
	return nil
}

// maxIDLength bounds a job id in bytes, so that the keys that contain it stay within the store's limit of 200 bytes.
const maxIDLength = 64

// ValidateID returns an error if a text cannot be a job id. The id becomes part of store keys and of task names, whose parts
// are separated by dots.
func ValidateID(id string) error {
	if id == "" || len(id) > maxIDLength {
		return &ErrInvalidJob{Reason: fmt.Sprintf("its id has %d bytes, not 1 to %d", len(id), maxIDLength)}
	}
	for _, c := range id {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if digit := c >= '0' && c <= '9'; !letter && !digit && c != '-' && c != '_' {
			return &ErrInvalidJob{Reason: fmt.Sprintf("its id has the invalid character %q", c)}
		}
	}
	return nil
}

// validateTimes rejects times that would make sums overflow, or that a record cannot encode.
func (j *Job) validateTimes() error {
	if j.Objective < 0 || j.Objective > MaxDuration {
		return &ErrInvalidJob{Reason: fmt.Sprintf("its objective %s is out of range", j.Objective)}
	}
	for i, s := range j.Steps {
		if s.Estimate < 0 || s.Estimate > MaxDuration {
			return &ErrInvalidJob{Reason: fmt.Sprintf("step %d has the estimate %s, which is out of range", i, s.Estimate)}
		}
	}
	if j.Repeat <= 0 {
		return nil
	}
	if j.Interval < 0 || j.Interval > MaxPeriod/time.Duration(j.Repeat) {
		return &ErrInvalidJob{Reason: fmt.Sprintf("the interval of its %d occurrences, %s, is out of range", j.Repeat, j.Interval)}
	}
	if year := j.FirstRun.Year(); year < 1970 || year > 9000 {
		return &ErrInvalidJob{Reason: fmt.Sprintf("its first occurrence is in the year %d, which is out of range", year)}
	}
	return nil
}

// ErrInvalidJob means that a job or its record is malformed or exceeds a limit.
type ErrInvalidJob struct{ Reason string }

// Error implements error.
func (e *ErrInvalidJob) Error() string { return "invalid job: " + e.Reason }

// TaskID identifies one task of one occurrence of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the name by which workers know the task.
func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTaskID parses a task name as String returns it.
func ParseTaskID(name string) (TaskID, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return TaskID{}, &ErrInvalidTaskID{Name: name}
	}
	var numbers [3]int
	for i := range numbers {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskID{}, &ErrInvalidTaskID{Name: name}
		}
		numbers[i] = n
	}
	return TaskID{Job: parts[0], Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// ErrInvalidTaskID means that a text is not a task name.
type ErrInvalidTaskID struct{ Name string }

// Error implements error.
func (e *ErrInvalidTaskID) Error() string { return fmt.Sprintf("%q is not a task name", e.Name) }
