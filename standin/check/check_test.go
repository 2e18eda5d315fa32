package check

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinepier/job"
	"clementinepier/standin/load"
	"clementinepier/standin/worker"
	api "clementinepier/worker"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }

func record(id string) load.Record {
	return load.Record{Key: job.Key{Organisation: "o", ID: id}, Result: job.Done, Latency: job.Duration(20 * time.Millisecond)}
}

// run returns the log lines for the start and the end of one member.
func run(id string, attempt, member, members int, from, to float64, state api.State) []worker.RunLine {
	line := worker.RunLine{
		Event: worker.EventStart, Time: at(from), Worker: fmt.Sprint("w", member), FailureDomain: "tunis-a",
		ID:    job.TaskID{Organisation: "o", RequestID: id, Attempt: attempt, Member: member},
		Nonce: fmt.Sprint("n", attempt), Members: members, State: api.StateRunning,
	}
	end := line
	end.Event, end.Time, end.State = worker.EventEnd, at(to), state
	return []worker.RunLine{line, end}
}

func join(runs ...[]worker.RunLine) (lines []worker.RunLine) {
	for _, r := range runs {
		lines = append(lines, r...)
	}
	return lines
}

func idempotent(lines []worker.RunLine) []worker.RunLine {
	for i := range lines {
		lines[i].Idempotent = true
	}
	return lines
}

// Guards against a check that misses a fault or reports a correct run as a fault.
func TestRun(t *testing.T) {
	done, stopped := api.StateDone, api.StateStopped
	single := run("r", 1, 0, 1, 0, 1, done)
	pair := join(run("r", 1, 0, 2, 0, 1, done), run("r", 1, 1, 2, 0, 1, done))
	outOfService := DomainChange{FailureDomain: "tunis-a", State: OutOfService, Time: at(0)}
	with := func(change func(*load.Record)) []load.Record {
		r := record("r")
		change(&r)
		return []load.Record{r}
	}
	for name, test := range map[string]struct {
		in   Input
		want string
	}{
		"one task":                  {Input{Lines: single}, "ok 1 0 0 0 0"},
		"complete gang":             {Input{Lines: pair}, "ok 1 0 0 0 0"},
		"started twice":             {Input{Lines: join(single, single)}, "failed 1 1 0 0 0"},
		"started in two attempts":   {Input{Lines: join(single, run("r", 2, 0, 1, 2, 3, done))}, "failed 1 1 0 0 0"},
		"idempotent started twice":  {Input{Lines: idempotent(join(single, run("r", 2, 0, 1, 2, 3, done)))}, "ok 1 0 0 0 0"},
		"members in two attempts":   {Input{Lines: join(run("r", 1, 0, 2, 0, 1, stopped), run("r", 2, 1, 2, 1, 2, stopped))}, "failed 1 1 0 0 0"},
		"done but never started":    {Input{}, "failed 0 0 1 0 0"},
		"unknown":                   {Input{Lines: single, Records: with(func(r *load.Record) { r.Result = job.Unknown })}, "failed 0 0 1 0 0"},
		"unanswered":                {Input{Lines: single, Records: with(func(r *load.Record) { r.Result = load.Unanswered })}, "failed 0 0 1 0 0"},
		"wrong answer":              {Input{Lines: single, Records: with(func(r *load.Record) { r.Wrong = "answer" })}, "failed 0 0 1 0 0"},
		"record missing":            {Input{Lines: single, Requests: 2}, "failed 1 0 1 0 0"},
		"record twice":              {Input{Lines: single, Records: []load.Record{record("r"), record("r")}}, "failed 1 0 1 0 0"},
		"started, then not run":     {Input{Lines: single, Records: with(func(r *load.Record) { r.NotRun = []time.Time{at(0.5)} })}, "failed 0 0 1 0 0"},
		"not run, then started":     {Input{Lines: run("r", 1, 0, 1, 1, 2, done), Records: with(func(r *load.Record) { r.NotRun = []time.Time{at(0.5)} })}, "ok 1 0 0 0 0"},
		"not run for good, started": {Input{Lines: run("r", 1, 0, 1, 1, 2, done), Records: with(func(r *load.Record) { r.Result, r.NotRun = job.NotRun, []time.Time{at(0.5)} })}, "failed 0 0 1 0 0"},

		"partial for 2.5 s":      {Input{Lines: join(run("r", 1, 0, 2, 0, 10, stopped), run("r", 1, 1, 2, 2.5, 10, stopped))}, "ok 1 0 0 0 0"},
		"partial for longer":     {Input{Lines: join(run("r", 1, 0, 2, 0, 10, stopped), run("r", 1, 1, 2, 2.6, 10, stopped))}, "failed 1 0 0 1 0"},
		"partial at the end":     {Input{Lines: join(run("r", 1, 0, 2, 0, 10, stopped), run("r", 1, 1, 2, 0, 7, stopped))}, "failed 1 0 0 1 0"},
		"partial without an end": {Input{Lines: join(run("r", 1, 0, 2, 0, 1, done)[:1], run("x", 1, 0, 1, 0, 9, done))}, "failed 1 0 0 1 0"},
		"partial and finished":   {Input{Lines: run("r", 1, 0, 2, 0, 1, done)}, "failed 1 0 0 1 0"},
		"partial and stopped":    {Input{Lines: run("r", 1, 0, 2, 0, 1, stopped)}, "ok 1 0 0 0 0"},
		"attempts are separate":  {Input{Lines: idempotent(join(run("r", 1, 0, 2, 0, 2, stopped), run("r", 2, 1, 2, 0, 2, done)))}, "failed 1 0 0 1 0"},

		"start within 4 s":        {Input{Lines: run("r", 1, 0, 1, 4, 5, done), Changes: []DomainChange{outOfService}}, "ok 1 0 0 0 0"},
		"late start":              {Input{Lines: run("r", 1, 0, 1, 4.1, 5, done), Changes: []DomainChange{outOfService}}, "failed 1 0 0 0 1"},
		"out of service repeated": {Input{Lines: run("r", 1, 0, 1, 9, 10, done), Changes: []DomainChange{outOfService, {"tunis-a", OutOfService, at(8)}}}, "failed 1 0 0 0 1"},
		"start after return":      {Input{Lines: run("r", 1, 0, 1, 9, 10, done), Changes: []DomainChange{{"tunis-a", InService, at(8)}, outOfService}}, "ok 1 0 0 0 0"},
		"start before change":     {Input{Lines: run("r", 1, 0, 1, -1, 10, done), Changes: []DomainChange{outOfService}}, "ok 1 0 0 0 0"},
		"other domain is out":     {Input{Lines: run("r", 1, 0, 1, 9, 10, done), Changes: []DomainChange{{"bizerte-b", OutOfService, at(0)}}}, "ok 1 0 0 0 0"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			if test.in.Records == nil {
				test.in.Records = []load.Record{record("r")}
			}
			r := Run(test.in)
			verdict, _, _ := strings.Cut(r.String(), ":")
			is.Equal(fmt.Sprint(verdict, " ", r.Completed, r.DuplicateStarts, r.Lost, r.PartialGangs, r.LateStarts), test.want)
			is.Equal(len(r.Findings) == 0, r.OK())
		})
	}
}

// Guards against a change of the summary line, which scripts parse.
func TestSummaryLine(t *testing.T) {
	is := is.New(t)
	r := Run(Input{Records: []load.Record{record("a"), record("b")}, Lines: join(run("a", 1, 0, 1, 0, 1, api.StateDone), run("b", 1, 0, 1, 0, 1, api.StateDone))})
	is.Equal(r.String(), "ok: 2 of 2 requests completed, 0 doubled, 0 lost, 0 partial gangs, 0 late starts, p50 20 ms, p99 20 ms")
}

// Guards against a damaged file being read as a shorter valid one.
func TestReadLines(t *testing.T) {
	is := is.New(t)
	changes, err := ReadLines[DomainChange](strings.NewReader(`{"failure-domain": "d", "state": "out", "time": "2026-01-01T00:00:00Z"}` + "\n\n"))
	is.NoErr(err)
	is.Equal(changes, []DomainChange{{FailureDomain: "d", State: OutOfService, Time: epoch}})
	for _, bad := range []string{`{"failure-domain": "d"`, `{"domain": "d"}`} {
		_, err = ReadLines[DomainChange](strings.NewReader("{}\n" + bad))
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), "line 2"))
	}
	is.True(DomainChange{FailureDomain: "d", State: "gone", Time: epoch}.Validate() != nil)
}
