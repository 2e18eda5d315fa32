package config

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// ErrInvalidDocument means that the bytes are not a complete, well-formed document, or that a document is too large.
type ErrInvalidDocument struct{ Cause error }

// Error implements error.
func (e *ErrInvalidDocument) Error() string {
	return fmt.Sprintf("config: invalid document: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *ErrInvalidDocument) Unwrap() error { return e.Cause }

// IsErrInvalidDocument reports whether err is or wraps an *ErrInvalidDocument.
func IsErrInvalidDocument(err error) bool {
	var target *ErrInvalidDocument
	return errors.As(err, &target)
}

// PartFault is the reason why a part of a document was ignored.
type PartFault string

// The faults of a part.
const (
	// PartInvalid is a part that is malformed or has an invalid signature.
	PartInvalid PartFault = "invalid"
	// PartStale is a part with a lower number than the current one.
	PartStale PartFault = "stale"
	// PartConflict is a part with the same number as the current one but different content.
	PartConflict PartFault = "conflict"
)

// ErrPart means that Merge ignored one part of a document.
type ErrPart struct {
	// FailureDomain is the domain of the order, or empty for the bundle.
	FailureDomain string
	Fault         PartFault
	// Have is the number of the current part, Got that of the ignored one; Got is 0 when the part is invalid.
	Have, Got uint64
	Cause     error
}

// Error implements error.
func (e *ErrPart) Error() string {
	text := fmt.Sprintf("config: %s is %s", partName(e.FailureDomain), e.Fault)
	if e.Cause != nil {
		return fmt.Sprintf("%s: %v", text, e.Cause)
	}
	return fmt.Sprintf("%s: number %d, current %d", text, e.Got, e.Have)
}

// Unwrap returns the cause.
func (e *ErrPart) Unwrap() error { return e.Cause }

// ErrParts lists the parts that one Merge ignored: the bundle first, then orders by failure domain.
type ErrParts struct{ Parts []*ErrPart }

// Error implements error.
func (e *ErrParts) Error() string {
	texts := make([]string, len(e.Parts))
	for i, part := range e.Parts {
		texts[i] = part.Error()
	}
	return strings.Join(texts, "; ")
}

// Unwrap returns the parts.
func (e *ErrParts) Unwrap() []error {
	parts := make([]error, len(e.Parts))
	for i, part := range e.Parts {
		parts[i] = part
	}
	return parts
}

// IsErrParts reports whether err is or wraps an *ErrParts.
func IsErrParts(err error) bool {
	var target *ErrParts
	return errors.As(err, &target)
}

// IsCompleteMerge reports whether each part of the document is in the view that Merge returned with err, or is older than
// the view's. Only then does a read of the store count for freshness: an invalid or conflicting part may hide a change that this
// VM does not know.
func IsCompleteMerge(err error) bool {
	if err == nil {
		return true
	}
	var parts *ErrParts
	if !errors.As(err, &parts) {
		return false
	}
	for _, part := range parts.Parts {
		if part.Fault != PartStale {
			return false
		}
	}
	return true
}

// ErrRevisionConflict means that the number of a change is not the next one, for example because another change has it.
type ErrRevisionConflict struct {
	// FailureDomain is the domain of the order, or empty for the bundle.
	FailureDomain string
	// Number is the bundle revision or order sequence of the rejected change.
	Number uint64
	// Winner is the accepted change with this number, or else the current one; its ChangeID is empty when there is none or it
	// is no longer in Document.Recent.
	Winner AcceptedChange
}

// Error implements error.
func (e *ErrRevisionConflict) Error() string {
	return fmt.Sprintf("config: %s number %d is not next: current is %d by change %q (revision %d)",
		partName(e.FailureDomain), e.Number, e.Winner.Number, e.Winner.ChangeID, e.Winner.Revision)
}

// IsErrRevisionConflict reports whether err is or wraps an *ErrRevisionConflict.
func IsErrRevisionConflict(err error) bool {
	var target *ErrRevisionConflict
	return errors.As(err, &target)
}

// ErrInvalidChange means that a change is invalid; a retry of the same change fails too.
type ErrInvalidChange struct {
	ChangeID string
	Reason   string
	Cause    error
}

// Error implements error.
func (e *ErrInvalidChange) Error() string {
	text := fmt.Sprintf("config: change %q: %s", e.ChangeID, e.Reason)
	if e.Cause != nil {
		return fmt.Sprintf("%s: %v", text, e.Cause)
	}
	return text
}

// Unwrap returns the cause.
func (e *ErrInvalidChange) Unwrap() error { return e.Cause }

// IsErrInvalidChange reports whether err is or wraps an *ErrInvalidChange.
func IsErrInvalidChange(err error) bool {
	var target *ErrInvalidChange
	return errors.As(err, &target)
}

// ErrDomainNotExist means that an order names a failure domain that the bundle does not have.
type ErrDomainNotExist struct{ FailureDomain string }

// Error implements error.
func (e *ErrDomainNotExist) Error() string {
	return fmt.Sprintf("config: failure domain %q does not exist", e.FailureDomain)
}

// IsErrDomainNotExist reports whether err is or wraps an *ErrDomainNotExist.
func IsErrDomainNotExist(err error) bool {
	var target *ErrDomainNotExist
	return errors.As(err, &target)
}

// ErrNotYetInForce means that an earlier change of the set of failure domains is not acknowledged yet, so the set cannot
// change again.
type ErrNotYetInForce struct{ Bundle uint64 }

// Error implements error.
func (e *ErrNotYetInForce) Error() string {
	return fmt.Sprintf("config: the failure domains of bundle revision %d are not yet in force", e.Bundle)
}

// IsErrNotYetInForce reports whether err is or wraps an *ErrNotYetInForce.
func IsErrNotYetInForce(err error) bool {
	var target *ErrNotYetInForce
	return errors.As(err, &target)
}

func partName(domain string) string {
	if domain == "" {
		return "bundle"
	}
	return fmt.Sprintf("order for %q", domain)
}
