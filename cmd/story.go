package cmd

import (
	"bufio"
	"cmp"
	"context"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// storyCommand merges the logs of several entry VMs into one timeline of a job or another id.
type storyCommand struct {
	ID   string   `arg:"positional,required" help:"id of a job, or another text such as a worker's id"`
	Logs []string `arg:"positional,required" placeholder:"LOG" help:"saved logs of entry VMs, one file for each"`
	Bare bool     `arg:"--bare" help:"leave out what changed for the whole system, such as the planner"`
}

func (*storyCommand) example() string { return "story 5c0e7a21d94b36f8 front-a-1.log front-b-1.log" }

// logLine is a parsed line of a klog log.
type logLine struct {
	// stamp is the month, day and time of the line. Within a year, its text order is the order of time.
	stamp string
	vm    string
	text  string
}

// maxLogLine is the maximum length of a log line in bytes.
const maxLogLine = 1 << 20

var (
	// logPattern matches a klog line: severity, date and time, process id, source location and message. It captures the
	// date with the time, and the message.
	logPattern = regexp.MustCompile(`[IWEF](\d{4} [\d:.]+)\s+\d+ \S+\] (.*)$`)
	// systemEvents matches events that affect every job, such as a change of planner.
	systemEvents = regexp.MustCompile(`^"(planner-elected|planner-ready|planner-ended|store-lost|store-regained|store-silent|store-answers|started|stopping)"`)
)

func (c *storyCommand) run(_ context.Context, s *invocation) error {
	var lines []logLine
	found := false
	for _, path := range c.Logs {
		read, mentioned, err := c.read(path)
		if err != nil {
			return err
		}
		lines, found = append(lines, read...), found || mentioned
	}
	if !found {
		return exitf(ExitFailed, "no line of the logs mentions %s", c.ID)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.stamp, b.stamp) })
	for _, l := range lines {
		s.print("%s %s %s", l.stamp, l.vm, l.text)
	}
	return nil
}

// read returns the lines of a log that mention the id or, unless Bare is set, report a system event. mentioned is
// true if any line mentions the id.
func (c *storyCommand) read(path string) (lines []logLine, mentioned bool, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, false, errors.Wrap(err, "open log")
	}
	defer func() { _ = f.Close() }()
	vm := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		match := logPattern.FindStringSubmatch(scanner.Text())
		if match == nil {
			continue
		}
		mentions := strings.Contains(match[2], c.ID)
		if mentions || !c.Bare && systemEvents.MatchString(match[2]) {
			lines = append(lines, logLine{stamp: match[1], vm: vm, text: match[2]})
		}
		mentioned = mentioned || mentions
	}
	return lines, mentioned, errors.Wrap(scanner.Err(), path)
}
