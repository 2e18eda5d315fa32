package job

// Result is the overall result of a request.
type Result string

// The results of a request. A request has exactly one of them.
const (
	// Done means that the request ran to completion and its complete answer is present. With CodeTaskFailed the
	// answer is the task's error.
	Done Result = "done"
	// NotRun guarantees that no task of the request has run and that none will.
	NotRun Result = "not-run"
	// Unknown means that the request may have run. A request that is not idempotent is then never retried.
	Unknown Result = "unknown"
)

// Code is the machine-readable reason for a result. Codes are stable, so callers and operators may rely on them.
type Code string

// The codes of outcomes and of errors.
const (
	CodeOK                Code = ""
	CodeOverloaded        Code = "overloaded"
	CodeLimitReached      Code = "limit-reached"
	CodeDeadlineExceeded  Code = "deadline-exceeded"
	CodeShapeFitsNoRack   Code = "shape-fits-no-rack"
	CodeStoreUnavailable  Code = "store-unavailable"
	CodeViewNotFresh      Code = "view-not-fresh"
	CodeDomainOut         Code = "failure-domain-out"
	CodeNoRack            Code = "no-rack-available"
	CodeCancelled         Code = "cancelled"
	CodeStopping          Code = "stopping"
	CodeTaskFailed        Code = "task-failed"
	CodeWorkerLost        Code = "worker-lost"
	CodeAnswerLost        Code = "answer-lost"
	CodeOwnerLost         Code = "owner-lost"
	CodePreempted         Code = "preempted"
	CodeClaimedElsewhere  Code = "claimed-elsewhere"
	CodeUnknownOrg        Code = "unknown-organisation"
	CodeBadRequest        Code = "bad-request"
	CodeBodyTooLarge      Code = "body-too-large"
	CodeNoConfiguration   Code = "no-configuration"
	CodeRequestIDConflict Code = "request-id-conflict"
	CodeRequestNotExist   Code = "request-does-not-exist"
	CodeRevisionConflict  Code = "revision-conflict"
	CodeSignatureInvalid  Code = "signature-invalid"
	CodeBundleInvalid     Code = "bundle-invalid"
	CodeNotYetInForce     Code = "not-yet-in-force"
	CodeUnknownDomain     Code = "unknown-failure-domain"
)

// Outcome is the final result of a request as it is reported to the caller.
type Outcome struct {
	Key    Key    `json:"key"`
	Result Result `json:"result"`
	Code   Code   `json:"code,omitempty"`
	// Detail is a message for people; programs use Code.
	Detail string `json:"detail,omitempty"`
	// Answer is complete when Result is Done and empty otherwise.
	Answer []byte `json:"answer,omitempty"`
	// RetryAfter is the suggested delay before a retry when Result is NotRun; 0 means do not retry.
	RetryAfter Duration `json:"retry-after,omitempty"`
	// Attempts is the number of attempts that were started.
	Attempts int `json:"attempts"`
	// TraceID is the id of the request's OpenTelemetry trace in hexadecimal.
	TraceID string `json:"trace-id,omitempty"`
}

// NewNotRun returns an outcome with result NotRun.
func NewNotRun(key Key, code Code, detail string, retryAfter Duration) Outcome {
	return Outcome{Key: key, Result: NotRun, Code: code, Detail: detail, RetryAfter: retryAfter}
}

// NewUnknown returns an outcome with result Unknown.
func NewUnknown(key Key, code Code, detail string) Outcome {
	return Outcome{Key: key, Result: Unknown, Code: code, Detail: detail}
}

// MayRunAgain reports whether a retry by the caller starts a new run instead of returning this outcome: either nothing
// ran, or the result is unknown and the request is idempotent.
func (o Outcome) MayRunAgain(idempotent bool) bool {
	return o.Result == NotRun || o.Result == Unknown && idempotent
}
