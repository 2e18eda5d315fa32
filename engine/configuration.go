package engine

import (
	"strings"
	"time"

	"clementinepier/workload"
)

// Configuration is what the operators have declared, in one version. It does not change once it is made.
type Configuration struct {
	Version int64
	// Queues are sorted by nothing in particular; names are unique.
	Queues        []Queue
	Organisations []Organisation
	// Evacuated has the failure domains that were taken out of service.
	Evacuated map[string]bool
	// MaxBody bounds the body of a call in bytes; 0 means no bound.
	MaxBody int

	owners map[string]*Organisation
}

// Queue is a route on which jobs are handed in.
type Queue struct {
	Name     string
	Host     string
	Prefix   string
	Service  string
	Priority int
	// MaxAttempts is how often a task may fail; 0 means without bound.
	MaxAttempts int
	// Stretch times the longest chain of work, and Target more, is the time in which a job should complete.
	Stretch float64
	Target  time.Duration
	// Anonymous means that calls need no key.
	Anonymous bool
}

// Objective returns the time in which a job with the given chain of work should complete.
func (q *Queue) Objective(chain time.Duration) time.Duration {
	return time.Duration(min(max(0, q.Stretch*float64(chain)+float64(q.Target)), float64(workload.MaxDuration)))
}

// Organisation is a customer.
type Organisation struct {
	Name string
	Keys []string
	// Guaranteed is the number of accelerators that urgent jobs of the organisation can always have.
	Guaranteed int64
}

// Index prepares the configuration for look-ups. It is called once, before the configuration is shared.
func (c *Configuration) Index() *Configuration {
	c.owners = map[string]*Organisation{}
	for i := range c.Organisations {
		for _, key := range c.Organisations[i].Keys {
			c.owners[key] = &c.Organisations[i]
		}
	}
	return c
}

// Owner returns the organisation of a key.
func (c *Configuration) Owner(key string) (*Organisation, bool) {
	o, ok := c.owners[key]
	return o, ok
}

// Route returns the queue for a host and path, and what follows the queue's prefix. The longest prefix wins.
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

// Guaranteed returns the accelerators that an organisation is guaranteed.
func (c *Configuration) Guaranteed(organisation string) int64 {
	for i := range c.Organisations {
		if c.Organisations[i].Name == organisation {
			return c.Organisations[i].Guaranteed
		}
	}
	return 0
}
