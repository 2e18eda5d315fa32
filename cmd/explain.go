package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"clementinepier/engine"
	"clementinepier/front"
)

// explainCommand asks an entry VM where a job would go now, and why. It submits nothing.
type explainCommand struct {
	VM   string `arg:"--vm,required" placeholder:"ADDRESS" help:"metrics address of any entry VM on the platform, IP:PORT"`
	Job  string `arg:"--job" placeholder:"ID" help:"explain this accepted job"`
	File string `arg:"positional" placeholder:"FILE" help:"body of a call that submits a job, - for standard input"`
	Host string `arg:"--host" help:"host name of the call"`
	Path string `arg:"--path" help:"path of the call, with the id of the job"`
	Key  string `arg:"--key,env:CLEMENTINEPIER_CALLER_KEY" help:"the caller's key"`
	JSON bool   `arg:"--json" help:"print the explanation as JSON"`
}

func (*explainCommand) example() string {
	return "explain --vm 10.0.0.1:7001 --host jobs.example --path /render/5c0e7a21d94b36f8 job.json"
}

func (c *explainCommand) run(ctx context.Context, s *invocation) error {
	if (c.Job == "") == (c.File == "") {
		return exitf(ExitUsage, "give either --job with the id of an accepted job, or the file of a job")
	}
	if c.File != "" && (c.Host == "" || c.Path == "") {
		return exitf(ExitUsage, "--host and --path are missing: the queue is found by them")
	}
	request, err := c.request(ctx, s)
	if err != nil {
		return err
	}
	response, err := s.HTTP.Do(request)
	if err != nil {
		return &ErrNoAnswer{Causes: []string{err.Error()}}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := readBounded(response.Body, "reply")
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		var failure struct {
			Error string `json:"error"`
		}
		if json.Unmarshal(data, &failure) != nil || failure.Error == "" {
			failure.Error = "status " + response.Status
		}
		return exitf(ExitFailed, "%s: %s", c.VM, failure.Error)
	}
	var e engine.Explanation
	if err := json.Unmarshal(data, &e); err != nil {
		return errors.Wrap(err, "decode explanation")
	}
	if c.JSON {
		return s.printJSON(e)
	}
	s.printExplanation(&e)
	return nil
}

func (c *explainCommand) request(ctx context.Context, s *invocation) (*http.Request, error) {
	target := url.URL{Scheme: "http", Host: c.VM, Path: front.ExplainPath}
	if c.Job != "" {
		target.RawQuery = url.Values{"job": {c.Job}}.Encode()
		return http.NewRequestWithContext(ctx, http.MethodGet, target.String(), http.NoBody)
	}
	body, err := s.readFile(c.File)
	if err != nil {
		return nil, err
	}
	target.RawQuery = url.Values{"host": {c.Host}, "path": {c.Path}}.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target.String(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Key", c.Key)
	return request, nil
}

// courseTexts says in words what would happen to a job.
var courseTexts = map[engine.Course]string{
	engine.CourseStarts:   "would start now",
	engine.CoursePreempts: "would have running work stopped, and start after that",
	engine.CourseWaits:    "would wait",
	engine.CourseRefused:  "would be refused",
	engine.CourseUnderWay: "is under way; no task of it waits",
	engine.CourseNotDue:   "has no task that may start yet",
	engine.CourseEnded:    "has ended",
}

func (s *invocation) printExplanation(e *engine.Explanation) {
	text, ok := courseTexts[e.Course]
	if !ok {
		text = string(e.Course)
	}
	s.print("job %s %s", e.Job, text)
	if e.Reason != "" {
		s.print("  because %s; to be tried again after %s", e.Reason, e.RetryAfter)
	}
	if e.State != "" {
		s.print("  state: %s", e.State)
	}
	if e.Guaranteed {
		s.print("  its organisation's guarantee covers it")
	}
	if e.BeyondWeight {
		s.print("  its organisation has submitted more than its weight, so others come first")
	}
	for _, p := range e.Placements {
		s.print("  %s on worker %s, rack %s%s, which answered %s", p.Task, p.Worker, p.Rack, map[bool]string{true: " (its data)"}[p.InDataRack], age(p.Answered))
	}
	for _, g := range e.Stopped {
		s.print("  stops work of job %s, priority %d, and loses %.0f core-seconds", g.Job, g.Priority, g.Waste)
	}
	for _, r := range e.Runs {
		s.print("  run %d of %s on worker %s: %s, %d percent, answered %s", r.Run, r.Task, r.Worker,
			map[bool]string{true: "at work", false: "not confirmed or being stopped"}[r.AtWork], r.Percent, age(r.Answered))
	}
	s.printWait(e.Waiting)
	s.print("decided by entry VM %s with configuration %d; entries of workers %s old%s", e.Planner, e.ConfigurationVersion,
		e.RegistrationsAge.Round(time.Millisecond), storeText(e.StoreFailing))
}

func (s *invocation) printWait(w *engine.ExplainedWait) {
	if w == nil {
		return
	}
	s.print("  gangs or single tasks that wait: %d", w.Units)
	if w.Withheld > 0 {
		s.print("  of these, %d wait because an earlier run may still begin", w.Withheld)
	}
	if w.Ahead > 0 {
		s.print("  gangs or single tasks of other jobs that come first: %d", w.Ahead)
	}
	if w.OverLimit {
		s.print("  its organisation has as much at work as its limit allows")
	}
	if w.Delayed {
		s.print("  work of it was stopped for more urgent work, and waits before it starts again")
	}
	if w.CostsMore {
		s.print("  running work could give way to it, which would cost other callers more than it gains")
	}
	var counts []string
	for _, c := range []struct {
		n    int
		text string
	}{
		{w.Free, "with room for a task"},
		{w.Full, "full"},
		{w.Unsuitable, "unsuitable"},
		{w.Closed, "set aside after failures"},
		{w.Avoided, "avoided by the job"},
		{w.Unavailable, "not available"},
	} {
		if c.n > 0 {
			counts = append(counts, fmt.Sprintf("%d %s", c.n, c.text))
		}
	}
	if len(counts) == 0 && w.Units > w.Withheld {
		counts = append(counts, "none is known")
	}
	if len(counts) > 0 {
		s.print("  workers for the first of them: %s", strings.Join(counts, ", "))
	}
}

// age formats how long ago something was; negative means never.
func age(d time.Duration) string {
	if d < 0 {
		return "never"
	}
	return d.Round(time.Millisecond).String() + " ago"
}

func storeText(failing time.Duration) string {
	if failing == 0 {
		return ""
	}
	return fmt.Sprintf("; the store has failed for %s", failing.Round(time.Millisecond))
}
