package cmd_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"clementinepier/cmd"
)

// Guards against a merged timeline that is out of order, includes lines of other jobs, or omits a change of planner.
func TestStoryMergesLogsInTimeOrder(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	a := write("a.log", `I1204 08:00:02.000000    1 jobs.go:77] "job-accepted" job="5c0e"
I1204 08:00:05.000000    1 jobs.go:77] "job-accepted" job="other"
I1204 08:00:09.500000    1 planner.go:1] "job-ended" job="5c0e" state="completed"
not a line of the log
`)
	b := write("b.log", `I1204 08:00:04.000000    1 election.go:1] "planner-elected" fence=9
I1204 08:00:06.000000    1 runs.go:1] "run-ended" task="5c0e.0.0.1" how="lapsed"
`)
	r := run(program(), "story", "5c0e", a, b)
	is.Equal(r.code, cmd.ExitOK)
	is.Equal(strings.Split(strings.TrimSpace(r.out), "\n"), []string{
		`1204 08:00:02.000000 a "job-accepted" job="5c0e"`,
		`1204 08:00:04.000000 b "planner-elected" fence=9`,
		`1204 08:00:06.000000 b "run-ended" task="5c0e.0.0.1" how="lapsed"`,
		`1204 08:00:09.500000 a "job-ended" job="5c0e" state="completed"`,
	})
	r = run(program(), "story", "--bare", "5c0e", a, b)
	is.True(!strings.Contains(r.out, "planner-elected"))
	r = run(program(), "story", "nobody", a, b)
	is.Equal(r.code, cmd.ExitFailed)
	r = run(program(), "story", "5c0e", filepath.Join(dir, "missing.log"))
	is.Equal(r.code, cmd.ExitFailed)
}
