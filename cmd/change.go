package cmd

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"clementinepier/job"
	"clementinepier/message"
)

// pollInterval is the time between two queries for the progress of a change.
const pollInterval = 250 * time.Millisecond

// changeArguments are the arguments of every command that changes the configuration.
type changeArguments struct {
	online
	Wait     time.Duration `arg:"--wait" default:"30s" help:"how long to retry and to wait for confirmation"`
	ChangeID string        `arg:"--change-id" placeholder:"ID" help:"id of an earlier run whose result is not known; a new random id otherwise"`
}

// change is a configuration change that the command submits and then follows until it is in force.
type change struct {
	*client
	arguments changeArguments
	id        string
	deadline  time.Time
	// shown maps each failure domain to the progress line printed last.
	shown map[string]string
}

// runChange submits a change and waits until it is in force everywhere or the deadline has passed. prepare builds the call from the configuration
// in force; it runs once, so that every retry sends the same change.
func (s *invocation) runChange(ctx context.Context, a changeArguments, prepare func(id string, now message.Config) (path string, body any, err error)) error {
	cl, err := s.client(a.online)
	if err != nil {
		return err
	}
	c := &change{client: cl, arguments: a, id: a.ChangeID, deadline: s.Clock.Now().Add(a.Wait), shown: map[string]string{}}
	if c.id == "" {
		if c.id, err = s.newID(); err != nil {
			return err
		}
	}
	s.note("change id %s", c.id)
	if err := c.send(ctx, prepare); err != nil {
		if IsErrNoAnswer(err) {
			s.note("the change may have taken effect; run the command again with --change-id %s to find out", c.id)
		}
		return c.refusal(err)
	}
	return c.wait(ctx)
}

// refusal prints the entry VM's error as JSON for scripts and returns err.
func (c *change) refusal(err error) error {
	var refused *ErrRefused
	if c.arguments.JSON && errors.As(err, &refused) {
		if printErr := c.printJSON(refused.Reply); printErr != nil {
			return printErr
		}
	}
	return err
}

// send submits the change to an entry VM unless an earlier run's change with the same id was already accepted.
func (c *change) send(ctx context.Context, prepare func(string, message.Config) (string, any, error)) error {
	if c.arguments.ChangeID != "" {
		var earlier message.Change
		err := c.retry(ctx, c.deadline, func() error {
			return c.call(ctx, http.MethodGet, message.ChangePath(c.id), nil, &earlier)
		})
		if err == nil || !notFound(err) {
			return err
		}
	}
	config, err := c.config(ctx, c.deadline)
	if err != nil || config.ChangeID == c.id {
		return err
	}
	path, body, err := prepare(c.id, config)
	if err != nil {
		return err
	}
	var accepted message.Accepted
	err = c.retry(ctx, c.deadline, func() error {
		return c.call(ctx, http.MethodPost, path, body, &accepted)
	})
	var refused *ErrRefused
	if errors.As(err, &refused) && refused.Reply.Code == job.CodeRevisionConflict && refused.Reply.ChangeID == c.id {
		// An earlier attempt was accepted but its answer was lost; the conflict names this very change.
		return nil
	}
	return err
}

// wait shows the progress until every entry VM has confirmed the change or the deadline has passed.
func (c *change) wait(ctx context.Context) error {
	var last *message.Change
	for {
		var now message.Change
		err := c.call(ctx, http.MethodGet, message.ChangePath(c.id), nil, &now)
		if err == nil {
			last = &now
			c.show(now)
		}
		if err == nil && now.InForceEverywhere {
			return c.end(now)
		}
		if c.Clock.Now().Add(pollInterval).After(c.deadline) || c.sleep(ctx, pollInterval) != nil {
			if last == nil {
				c.note("the change was accepted; run the command again with --change-id %s to see its progress", c.id)
				return errors.Wrap(err, "progress is not known")
			}
			return c.end(*last)
		}
	}
}

// show prints the failure domains whose progress has changed.
func (c *change) show(now message.Change) {
	for _, domain := range slices.Sorted(maps.Keys(now.FailureDomains)) {
		p := now.FailureDomains[domain]
		line := fmt.Sprintf("%s: %d of %d confirmed", domain, len(p.Confirmed), len(p.Confirmed)+len(p.Missing))
		if c.shown[domain] != line {
			c.shown[domain] = line
			c.note("%s", line)
		}
	}
}

// end prints the final progress and returns an error unless the change is in force everywhere.
func (c *change) end(last message.Change) error {
	if c.arguments.JSON {
		if err := c.printJSON(last); err != nil {
			return err
		}
	}
	switch {
	case last.InForceEverywhere:
		if !c.arguments.JSON {
			c.print("in force everywhere at revision %d", last.Revision)
		}
		if names := missingNames(last); len(names) > 0 {
			c.note("not confirmed by %s; entry VMs without the change start no task", strings.Join(names, ", "))
		}
		return nil
	case last.Acknowledged:
		return exitf(ExitNotEverywhere, "acknowledged at revision %d, but %s", last.Revision, missing(last))
	}
	return exitf(ExitNotYetInForce, "%s: accepted at revision %d, but not acknowledged; %s", job.CodeNotYetInForce, last.Revision, missing(last))
}

// missing returns a clause for error messages that names every entry VM that has not confirmed the change.
func missing(c message.Change) string {
	names := missingNames(c)
	if len(names) == 0 {
		return "no entry VM is named as missing"
	}
	return "not confirmed by " + strings.Join(names, ", ")
}

func missingNames(c message.Change) []string {
	var names []string
	for _, domain := range slices.Sorted(maps.Keys(c.FailureDomains)) {
		for _, vm := range c.FailureDomains[domain].Missing {
			names = append(names, fmt.Sprintf("%s/%s (since %s)", domain, vm.Name, vm.Since.UTC().Format(time.RFC3339)))
		}
	}
	return names
}
