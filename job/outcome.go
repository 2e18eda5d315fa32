package job

// Result says which of the outcomes a request has.
type Result string

// The results of a request. They are never mixed.
const (
	// Done means that the request ran to its end and the whole answer is present. With CodeTaskFailed the
	// answer is the task's error.
	Done Result = "done"
	// NotRun is a promise that no task of the request ran, and none will.
	NotRun Result = "not-run"
	// Unknown means that the request may have run. It is never retried if it is not idempotent.
	Unknown Result = "unknown"
)

// Code is a stable reason that callers and operators can rely on.
type Code string

// The codes of outcomes.
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

// Outcome is what the system says about a request.
type Outcome struct {
	Key    Key    `json:"key"`
	Result Result `json:"result"`
	Code   Code   `json:"code,omitempty"`
	// Detail is a sentence for people; programs use Code.
	Detail string `json:"detail,omitempty"`
	// Answer is complete when Result is Done and empty otherwise.
	Answer []byte `json:"answer,omitempty"`
	// RetryAfter is a hint for the caller when Result is NotRun; 0 means do not retry.
	RetryAfter Duration `json:"retry-after,omitempty"`
	// Attempts is the number of attempts that were started.
	Attempts int `json:"attempts"`
	// TraceID is the OpenTelemetry trace of the request in hexadecimal.
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

// MayRunAgain reports whether a caller that asks again gets a new run instead of this outcome: nothing ran, or the
// request may run any number of times.
func (o Outcome) MayRunAgain(idempotent bool) bool {
	return o.Result == NotRun || o.Result == Unknown && idempotent
}
