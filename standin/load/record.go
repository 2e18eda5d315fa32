package load

import (
	"time"

	"clementinepier/job"
)

// Unanswered is the result of a request that got no outcome before its deadline.
const Unanswered job.Result = "unanswered"

// Record is the result of one request; it is written as one JSON line.
type Record struct {
	Key        job.Key    `json:"key"`
	Idempotent bool       `json:"idempotent"`
	Tasks      int        `json:"tasks"`
	Result     job.Result `json:"result"`
	Code       job.Code   `json:"code,omitempty"`
	Detail     string     `json:"detail,omitempty"`
	// Wrong describes why the reply is invalid; it is empty for a valid reply.
	Wrong string `json:"wrong,omitempty"`
	// Entry is the address of the entry VM that gave the final reply.
	Entry string `json:"entry,omitempty"`
	// Tries is the number of times that the request was sent.
	Tries   int          `json:"tries"`
	Sent    time.Time    `json:"sent"`
	Latency job.Duration `json:"latency"`
	// NotRun holds the times at which not-run replies arrived, including replies that were retried.
	NotRun []time.Time `json:"not-run,omitempty"`
}
