package engine

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"clementinepier/workload"
)

// Configuration is one version of the operators' settings. It is immutable after Index.
type Configuration struct {
	Version int64
	// Queues are in no particular order; their names are unique.
	Queues        []Queue
	Organisations []Organisation
	// Evacuated has the failure domains that are out of service.
	Evacuated map[string]bool
	// MaxBody bounds the body of a caller's request in bytes; 0 means no limit.
	MaxBody int

	// owners has the organisations by key.
	owners map[string]*Organisation
}

// Queue is a route on which jobs are submitted.
type Queue struct {
	Name string
	// Host and Prefix select the calls of the queue by host name and path.
	Host     string
	Prefix   string
	Service  string
	Priority int
	// MaxAttempts is how often a task may fail; 0 means no limit.
	MaxAttempts int
	// A job should complete within Stretch times its longest chain of dependent work, plus Target.
	Stretch float64
	Target  time.Duration
	// Anonymous means that callers need no key.
	Anonymous bool
}

// Objective returns the time within which a job should complete whose longest chain of dependent work has the given length.
func (q *Queue) Objective(chain time.Duration) time.Duration {
	return time.Duration(min(max(0, q.Stretch*float64(chain)+float64(q.Target)), float64(workload.MaxDuration)))
}

// Organisation is a customer; it is identified by its keys.
type Organisation struct {
	Name string
	Keys []string
	// Guaranteed is the number of accelerators that are always available to the organisation's urgent jobs.
	Guaranteed int64
	// Limit is the most that the organisation may have at work over all workers; an amount of 0 is no limit.
	Limit workload.Resources
	// Weight is the organisation's share when all workers are full, relative to the others, and the number of jobs a second that it is owed. 0
	// means that none is set: it then counts as 1 beside others, and no job exceeds it.
	Weight float64
}

// guaranteeExceedsLimit reports whether the organisation is guaranteed more accelerators than it may use.
func (o *Organisation) guaranteeExceedsLimit() bool {
	return o.Limit.Accelerators > 0 && o.Guaranteed > o.Limit.Accelerators
}

// ErrInvalidLimits means that a configuration is in force, but for limits or weights of organisations that are invalid. These keep their last
// valid values, or none.
type ErrInvalidLimits struct {
	// Faults has one line for each invalid value.
	Faults []string
}

// Add adds an invalid value of an organisation.
func (e *ErrInvalidLimits) Add(organisation string, fault error) {
	e.Faults = append(e.Faults, fmt.Sprintf("organisation %.80q: %.200s", organisation, fault))
}

// Error implements error.
func (e *ErrInvalidLimits) Error() string {
	return fmt.Sprintf("%d invalid limits or weights, the first of %s", len(e.Faults), e.Faults[0])
}

// Index prepares the configuration for lookups by key. Call it before the configuration is shared.
func (c *Configuration) Index() *Configuration {
	c.owners = map[string]*Organisation{}
	for i := range c.Organisations {
		for _, key := range c.Organisations[i].Keys {
			c.owners[key] = &c.Organisations[i]
		}
	}
	return c
}

// Owner returns the organisation that a key belongs to.
func (c *Configuration) Owner(key string) (*Organisation, bool) {
	o, ok := c.owners[key]
	return o, ok
}

// Route returns the queue for a host and path, and the rest of the path after the queue's prefix. The longest prefix wins.
func (c *Configuration) Route(host, path string) (queue *Queue, rest string, ok bool) {
	if i := strings.IndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for i := range c.Queues {
		q := &c.Queues[i]
		if strings.EqualFold(q.Host, host) && strings.HasPrefix(path, q.Prefix) && (queue == nil || len(q.Prefix) > len(queue.Prefix)) {
			queue = q
		}
	}
	if queue == nil {
		return nil, "", false
	}
	return queue, path[len(queue.Prefix):], true
}

// namesService reports whether a queue's tasks run on the workers of a service.
func (c *Configuration) namesService(service string) bool {
	return slices.ContainsFunc(c.Queues, func(q Queue) bool { return q.Service == service })
}

// organisation returns an organisation by its name, or nil.
func (c *Configuration) organisation(name string) *Organisation {
	for i := range c.Organisations {
		if c.Organisations[i].Name == name {
			return &c.Organisations[i]
		}
	}
	return nil
}

// hasLimits reports whether any organisation has a limit or a weight.
func (c *Configuration) hasLimits() bool {
	return slices.ContainsFunc(c.Organisations, func(o Organisation) bool { return o.Weight > 0 || o.Limit != workload.Resources{} })
}

// limit returns the most that an organisation may have at work; an amount of 0 is no limit.
func (c *Configuration) limit(organisation string) workload.Resources {
	if o := c.organisation(organisation); o != nil {
		return o.Limit
	}
	return workload.Resources{}
}

// Guaranteed returns the number of accelerators that an organisation is guaranteed.
func (c *Configuration) Guaranteed(organisation string) int64 {
	if o := c.organisation(organisation); o != nil {
		return o.Guaranteed
	}
	return 0
}
