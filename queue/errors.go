package queue

import (
	"fmt"

	"github.com/pkg/errors"

	"clementinepier/job"
)

// ErrQueueFull means that an organisation has reached its limit of queued requests.
type ErrQueueFull struct {
	Organisation string
	Length       int
}

// Error implements error.
func (e *ErrQueueFull) Error() string {
	return fmt.Sprintf("organisation %s has %d waiting requests, which is the limit", e.Organisation, e.Length)
}

// IsErrQueueFull reports whether err is or wraps an *ErrQueueFull.
func IsErrQueueFull(err error) bool {
	var target *ErrQueueFull
	return errors.As(err, &target)
}

// ErrAlreadyQueued means that a request with the same key is already queued.
type ErrAlreadyQueued struct{ Key job.Key }

// Error implements error.
func (e *ErrAlreadyQueued) Error() string { return "request waits already: " + e.Key.String() }

// IsErrAlreadyQueued reports whether err is or wraps an *ErrAlreadyQueued.
func IsErrAlreadyQueued(err error) bool {
	var target *ErrAlreadyQueued
	return errors.As(err, &target)
}
