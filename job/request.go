// Package job defines the types that all other packages share: requests, shapes, task identities and outcomes.
package job

import (
	"fmt"
	"time"
)

// Request is one unit of work that a caller submits on behalf of an organisation.
type Request struct {
	// Organisation and ID together identify the request; a retry carries the same pair.
	Organisation string `json:"organisation"`
	ID           string `json:"id"`
	// Service is the name of the service in the bundle; it selects the limit that applies.
	Service string `json:"service"`
	Shape   Shape  `json:"shape"`
	// Payload is opaque to the scheduler and is passed to every task of the request.
	Payload []byte `json:"payload"`
	// Timeout is the time left until the deadline of the request, counted from the receipt of this value.
	Timeout Duration `json:"timeout"`
	// Idempotent is false for a request that may start at most once.
	Idempotent bool `json:"idempotent"`
	// Urgent requests are scheduled before other requests of the same organisation.
	Urgent bool `json:"urgent"`
	// DeclaredRunTime is the caller's estimate of the run time. It is a hint; no guarantee depends on it.
	DeclaredRunTime Duration `json:"declared-run-time"`
}

// Key identifies a request within the whole system.
type Key struct {
	Organisation string `json:"organisation"`
	ID           string `json:"id"`
}

// Key returns the identity of r.
func (r Request) Key() Key { return Key{Organisation: r.Organisation, ID: r.ID} }

// String returns the key as "organisation/id".
func (k Key) String() string { return k.Organisation + "/" + k.ID }

// Shape is the capacity that a request needs. All tasks of one request run in one rack.
type Shape struct {
	// Tasks is the number of gang members, at least 1.
	Tasks int `json:"tasks" toml:"tasks"`
	// Accelerators is the number of accelerators for each task; 0 is allowed.
	Accelerators int `json:"accelerators" toml:"accelerators"`
	// Slots is the number of worker slots for each task, at least 1.
	Slots int `json:"slots" toml:"slots"`
}

// TotalAccelerators returns the number of accelerators for all tasks together.
func (s Shape) TotalAccelerators() int { return s.Tasks * s.Accelerators }

// IsGang reports whether the shape has more than one task.
func (s Shape) IsGang() bool { return s.Tasks > 1 }

// TaskID identifies one task of one attempt of a request.
type TaskID struct {
	Organisation string `json:"organisation"`
	RequestID    string `json:"request-id"`
	// Attempt counts from 1.
	Attempt int `json:"attempt"`
	// Member is the index of the task within the gang, from 0.
	Member int `json:"member"`
}

// String returns the id as "organisation/request/attempt/member".
func (t TaskID) String() string {
	return fmt.Sprintf("%s/%s/%d/%d", t.Organisation, t.RequestID, t.Attempt, t.Member)
}

// Key returns the key of the request that the task belongs to.
func (t TaskID) Key() Key { return Key{Organisation: t.Organisation, ID: t.RequestID} }

// Duration is a time.Duration that is encoded in text formats (JSON, TOML) as a string such as "1.5s".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns d in the format of time.Duration.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}
