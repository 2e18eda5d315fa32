package cmd

import (
	"fmt"

	"github.com/pkg/errors"

	"clementinepier/bundle"
	"clementinepier/job"
	"clementinepier/settings"
)

// The exit codes. They are stable; scripts may rely on them.
const (
	ExitOK            = 0
	ExitFailed        = 1
	ExitUsage         = 2
	ExitInvalid       = 3
	ExitNoAnswer      = 4
	ExitRefused       = 5
	ExitConflict      = 6
	ExitNotEverywhere = 7
	ExitNotYetInForce = 8
	ExitNotRun        = 9
	ExitUnknown       = 10
	ExitTaskFailed    = 11
	ExitNotEnded      = 12
)

// exitCodeHelp documents the exit codes; every --help ends with it.
const exitCodeHelp = `Exit codes:
  0   success
  1   failed for another reason, such as a file that cannot be written
  2   wrong usage
  3   bundle, settings, key or signed file is invalid
  4   no entry VM answered; a change or a request may have taken effect
  5   refused by the entry VM
  6   another change won (revision-conflict)
  7   acknowledged, but not confirmed by every entry VM within --wait
  8   accepted, but not acknowledged within --wait
  9   the request was not run
  10  the request may have run (outcome unknown)
  11  the request ran and its task failed
  12  the request has not ended`

// exitError is an error that sets the exit code of the program.
type exitError struct {
	code int
	text string
}

func (e *exitError) Error() string { return e.text }

func exitf(code int, format string, args ...any) error {
	return &exitError{code: code, text: fmt.Sprintf(format, args...)}
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var exit *exitError
	var refused *ErrRefused
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &exit):
		return exit.code
	case errors.As(err, &refused):
		if refused.Reply.Code == job.CodeRevisionConflict {
			return ExitConflict
		}
		return ExitRefused
	case IsErrNoAnswer(err):
		return ExitNoAnswer
	case bundle.IsErrBundleInvalid(err), bundle.IsErrKeyInvalid(err), bundle.IsErrSignedFileInvalid(err),
		bundle.IsErrSameSigner(err), bundle.IsErrSignatureInvalid(err), bundle.IsErrKeyNotTrusted(err),
		bundle.IsErrOrderInvalid(err), settings.IsErrSettingsInvalid(err):
		return ExitInvalid
	}
	return ExitFailed
}
