package worker

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrCall means that a call to a worker got no usable reply.
type ErrCall struct {
	Worker string
	Call   string
	// Delivered is false only when the request certainly did not reach the worker.
	Delivered bool
	Cause     error
}

// Error implements error.
func (e *ErrCall) Error() string {
	return fmt.Sprintf("worker %s: %s: %v", e.Worker, e.Call, e.Cause)
}

// Unwrap implements the interface of errors.Is and errors.As.
func (e *ErrCall) Unwrap() error { return e.Cause }

// IsErrCall reports whether err is or wraps an *ErrCall.
func IsErrCall(err error) bool {
	var target *ErrCall
	return errors.As(err, &target)
}

// ErrTaskNotExist means that the worker has no record of the task.
type ErrTaskNotExist struct{ ID string }

// Error implements error.
func (e *ErrTaskNotExist) Error() string { return "task does not exist: " + e.ID }

// IsErrTaskNotExist reports whether err is or wraps an *ErrTaskNotExist.
func IsErrTaskNotExist(err error) bool {
	var target *ErrTaskNotExist
	return errors.As(err, &target)
}

// ErrAnswerDamaged means that an answer is truncated, altered or that of another task. Client returns it as the cause of
// an *ErrCall.
type ErrAnswerDamaged struct {
	ID     string
	Reason string
}

// Error implements error.
func (e *ErrAnswerDamaged) Error() string { return "answer of task " + e.ID + ": " + e.Reason }

// IsErrAnswerDamaged reports whether err is or wraps an *ErrAnswerDamaged.
func IsErrAnswerDamaged(err error) bool {
	var target *ErrAnswerDamaged
	return errors.As(err, &target)
}
