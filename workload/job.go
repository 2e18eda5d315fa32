// Package workload holds the jobs that an entry VM schedules, their progress, and the record that the store keeps of
// both. It is pure: it does no I/O and takes the time as an argument.
package workload

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Resources is what a task needs, or what a worker has.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int64 `cbor:"1,keyasint,omitempty"`
	// MemoryMB is in megabytes.
	MemoryMB     int64 `cbor:"2,keyasint,omitempty"`
	Accelerators int64 `cbor:"3,keyasint,omitempty"`
}

// Fits reports whether r fits into free.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// Add returns the sum.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns the difference.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// coresPerAccelerator is the weight of an accelerator in core-seconds of work; source: the users' rules on prices.
const coresPerAccelerator = 8

// Cores returns the weight of the resources in cores.
func (r Resources) Cores() float64 {
	return float64(r.MilliCPU)/1000 + coresPerAccelerator*float64(r.Accelerators)
}

// Step is a set of equal tasks.
type Step struct {
	Tasks    int           `cbor:"1,keyasint"`
	Need     Resources     `cbor:"2,keyasint"`
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists earlier steps of the job that must be done first.
	After []int `cbor:"4,keyasint,omitempty"`
	// Gang means that the tasks only work while all of them run, and end together.
	Gang bool `cbor:"5,keyasint,omitempty"`
	// SameRack means that tasks spread over racks run slower.
	SameRack bool `cbor:"6,keyasint,omitempty"`
	// Checkpoints means that a task that was ended resumes from its last checkpoint.
	Checkpoints bool `cbor:"7,keyasint,omitempty"`
	// LongRunning tasks run until the job is cancelled and are started again however they end.
	LongRunning bool `cbor:"8,keyasint,omitempty"`
	// Label must be among the worker's labels; empty means any worker.
	Label string `cbor:"9,keyasint,omitempty"`
	// DataRack is where the tasks run at full speed; empty means any rack.
	DataRack string `cbor:"10,keyasint,omitempty"`
	// MaxTasksPerWorker is the largest number of the step's tasks on one worker; 0 means no bound.
	MaxTasksPerWorker int `cbor:"11,keyasint,omitempty"`
}

// Job is what a caller asked for. It does not change once it is accepted.
type Job struct {
	ID           string `cbor:"1,keyasint"`
	Queue        string `cbor:"2,keyasint"`
	Service      string `cbor:"3,keyasint"`
	Organisation string `cbor:"4,keyasint,omitempty"`
	// Payload is handed to every task.
	Payload string `cbor:"5,keyasint,omitempty"`
	Steps   []Step `cbor:"6,keyasint"`
	// Priority 0 comes first.
	Priority    int `cbor:"7,keyasint,omitempty"`
	MaxAttempts int `cbor:"8,keyasint,omitempty"`
	// Objective is the time in which the caller wants the job completed.
	Objective time.Duration `cbor:"9,keyasint,omitempty"`
	// Accepted is when an entry VM accepted the job, by its time of day.
	Accepted time.Time `cbor:"10,keyasint"`
	// Repeat is how often the steps run; 0 means once, at once. Occurrence k is due at FirstRun + k*Interval.
	Repeat   int           `cbor:"11,keyasint,omitempty"`
	FirstRun time.Time     `cbor:"12,keyasint,omitzero"`
	Interval time.Duration `cbor:"13,keyasint,omitempty"`
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(1, j.Repeat) }

// OccurrenceStart returns when an occurrence may start; the zero time means at once.
func (j *Job) OccurrenceStart(occurrence int) time.Time {
	if j.Repeat == 0 {
		return time.Time{}
	}
	return j.FirstRun.Add(time.Duration(occurrence) * j.Interval)
}

// FirstStepAccelerators returns the accelerators that all tasks of the first step need together.
func (j *Job) FirstStepAccelerators() int64 {
	if len(j.Steps) == 0 {
		return 0
	}
	return int64(j.Steps[0].Tasks) * j.Steps[0].Need.Accelerators
}

// CriticalPath returns the longest chain of estimates over the steps, or MaxDuration if it is longer.
func (j *Job) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i, s := range j.Steps {
		for _, before := range s.After {
			if before >= 0 && before < i {
				ends[i] = max(ends[i], ends[before])
			}
		}
		ends[i] = min(ends[i]+s.Estimate, MaxDuration)
		longest = max(longest, ends[i])
	}
	return longest
}

const (
	// MaxTasks bounds the tasks of a job over all occurrences, so that its record fits into one value of the store (1 MB).
	MaxTasks = 20000
	// MaxOccurrences bounds how often the steps of a job run.
	MaxOccurrences = 10000
	// MaxDuration bounds the estimate of a step, the chain of all, and the objective, so that sums of times stay in range.
	MaxDuration = 365 * 24 * time.Hour
	// MaxPeriod bounds the time from the first occurrence to the last, for the same reason.
	MaxPeriod = 100 * MaxDuration
)

// Validate returns an error when the job has no form that can be scheduled.
func (j *Job) Validate() error {
	if len(j.Steps) == 0 {
		return &ErrInvalidJob{Reason: "it has no steps"}
	}
	if j.Repeat > MaxOccurrences {
		return &ErrInvalidJob{Reason: fmt.Sprintf("it has more than %d occurrences", MaxOccurrences)}
	}
	if err := j.checkTimes(); err != nil {
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
			return &ErrInvalidJob{Reason: fmt.Sprintf("step %d needs a negative amount", i)}
		}
		for _, before := range s.After {
			if before < 0 || before >= i {
				return &ErrInvalidJob{Reason: fmt.Sprintf("step %d is after step %d", i, before)}
			}
		}
	}
	return nil
}

// maxID bounds the length of a job's id in bytes, so that the keys that contain it fit into the store (200 bytes).
const maxID = 64

// CheckID returns an error when a text is not fit for a job's id: the id becomes part of the names of tasks, which dots separate,
// and of keys.
func CheckID(id string) error {
	if id == "" || len(id) > maxID {
		return &ErrInvalidJob{Reason: fmt.Sprintf("its id has %d characters, not 1 to %d", len(id), maxID)}
	}
	for _, c := range id {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if digit := c >= '0' && c <= '9'; !letter && !digit && c != '-' && c != '_' {
			return &ErrInvalidJob{Reason: fmt.Sprintf("its id has the character %q", c)}
		}
	}
	return nil
}

// checkTimes refuses times with which sums would leave their range, or which have no form in a record.
func (j *Job) checkTimes() error {
	if j.Objective < 0 || j.Objective > MaxDuration {
		return &ErrInvalidJob{Reason: fmt.Sprintf("its objective is %s", j.Objective)}
	}
	for i, s := range j.Steps {
		if s.Estimate < 0 || s.Estimate > MaxDuration {
			return &ErrInvalidJob{Reason: fmt.Sprintf("step %d has the estimate %s", i, s.Estimate)}
		}
	}
	if j.Repeat <= 0 {
		return nil
	}
	if j.Interval < 0 || j.Interval > MaxPeriod/time.Duration(j.Repeat) {
		return &ErrInvalidJob{Reason: fmt.Sprintf("its %d occurrences are %s apart", j.Repeat, j.Interval)}
	}
	if year := j.FirstRun.Year(); year < 1970 || year > 9000 {
		return &ErrInvalidJob{Reason: fmt.Sprintf("its first occurrence is in the year %d", year)}
	}
	return nil
}

// ErrInvalidJob means that a job has no form that can be scheduled.
type ErrInvalidJob struct{ Reason string }

// Error implements error.
func (e *ErrInvalidJob) Error() string { return "invalid job: " + e.Reason }

// TaskID names one task of one occurrence of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the name that workers know the task by.
func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTaskID reads a task's name.
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

// ErrInvalidTaskID means that a text is not a task's name.
type ErrInvalidTaskID struct{ Name string }

// Error implements error.
func (e *ErrInvalidTaskID) Error() string { return fmt.Sprintf("%q is not a task name", e.Name) }
