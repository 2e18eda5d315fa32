package cmd_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"clementinepier/cmd"
	"clementinepier/engine"
	"clementinepier/front"
)

// Guards against an explanation whose reason or age is not printed, and against faults of the call that are not reported.
func TestExplainPrintsReasonAndAge(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.URL.Path, front.ExplainPath)
		if r.URL.Query().Get("job") == "unknown" {
			w.WriteHeader(http.StatusNotFound)
			is.NoErr(json.NewEncoder(w).Encode(map[string]string{"error": "the planner knows no such job"}))
			return
		}
		is.Equal(r.Header.Get("Key"), "k1")
		is.NoErr(json.NewEncoder(w).Encode(engine.Explanation{
			Planner: "front-a-1", Job: "j1", Course: engine.CourseWaits, ConfigurationVersion: 7, RegistrationsAge: 250e6,
			Waiting: &engine.ExplainedWait{Units: 3, Ahead: 4, Full: 12},
		}))
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	file := filepath.Join(t.TempDir(), "job.json")
	is.NoErr(os.WriteFile(file, []byte("{}"), 0o600))

	r := run(program(), "explain", "--vm", address, "--host", "jobs.example", "--path", "/render/j1", "--key", "k1", file)
	is.Equal(r.code, cmd.ExitOK)
	for _, text := range []string{"job j1 would wait", "gangs or single tasks that wait: 3", "of other jobs that come first: 4", "12 full", "configuration 7", "250ms old"} {
		is.True(strings.Contains(r.out, text)) // the output says text
	}
	r = run(program(), "explain", "--vm", address, "--job", "unknown")
	is.Equal(r.code, cmd.ExitFailed)
	is.True(strings.Contains(r.errors, "the planner knows no such job"))
	is.Equal(run(program(), "explain", "--vm", address).code, cmd.ExitUsage)
	is.Equal(run(program(), "explain", "--vm", address, file).code, cmd.ExitUsage)
}
