package front

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"clementinepier/engine"
	"clementinepier/metrics"
	"clementinepier/peer"
	"clementinepier/workload"
)

// explainServer returns the handler of an entry VM that is not the planner; sent receives what it forwards.
func explainServer(sent *engine.ExplainRequest) http.Handler {
	conf := (&engine.Configuration{
		Version: 1, MaxBody: 1000, Queues: []engine.Queue{{Name: "render", Host: "jobs.example", Prefix: "/render/", Service: "s", Priority: 1, Stretch: 2}},
		Organisations: []engine.Organisation{{Name: "org", Keys: []string{"k1"}}},
	}).Index()
	v := &VM{Settings: &Settings{Name: "a"}, DecodeJob: func(body []byte) (workload.Job, error) {
		var job workload.Job
		return job, json.Unmarshal(body, &job)
	}}
	return v.explainHandler(&Receiver{
		Clock: clockwork.NewFakeClock(), TimeOfDay: time.Now, Metrics: &metrics.Set{}, Configuration: func() *engine.Configuration { return conf },
		Planner: func() *engine.Planner { return nil }, OnPlannerFailure: func() {},
		Forward: func(_ context.Context, kind peer.Kind, body, reply any) error {
			request, ok := body.(engine.ExplainRequest)
			result, isResult := reply.(*engine.Result)
			if kind != peer.KindExplain || !ok || !isResult {
				return &peer.ErrPeerUnavailable{Kind: kind, Cause: errNoPlanner}
			}
			*sent = request
			*result = engine.Result{Verdict: engine.VerdictAccepted, Explanation: &engine.Explanation{Planner: "b", Course: engine.CourseStarts}}
			return nil
		},
	})
}

// Guards against an explanation of another call than the given one: the queue and the organisation are those that the call would have, and a
// call that would be rejected is not explained.
func TestExplainedCallIsCheckedLikeSubmission(t *testing.T) {
	const job = `{"Steps":[{"Tasks":1}]}`
	for name, test := range map[string]struct {
		path, key, body string
		status          int
	}{
		"valid":                  {"/render/j1", "k1", job, http.StatusOK},
		"unknown queue":          {"/other/j1", "k1", job, http.StatusUnprocessableEntity},
		"unknown key":            {"/render/j1", "k2", job, http.StatusUnprocessableEntity},
		"no steps":               {"/render/j1", "k1", `{}`, http.StatusUnprocessableEntity},
		"unreadable":             {"/render/j1", "k1", `{`, http.StatusUnprocessableEntity},
		"over the queue's limit": {"/render/j1", "k1", `{"Steps":[{"Tasks":1}]}` + strings.Repeat(" ", 1000), http.StatusUnprocessableEntity},
		"far over a limit":       {"/render/j1", "k1", strings.Repeat(" ", maxExplainedBody+1), http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var sent engine.ExplainRequest
			request := httptest.NewRequest(http.MethodPost, ExplainPath+"?host=jobs.example&path="+test.path, strings.NewReader(test.body))
			request.Header.Set("Key", test.key)
			response := httptest.NewRecorder()
			explainServer(&sent).ServeHTTP(response, request)
			is.Equal(response.Code, test.status)
			if test.status != http.StatusOK {
				is.Equal(sent.Job, nil)
				return
			}
			is.Equal([]string{sent.Job.ID, sent.Job.Queue, sent.Job.Organisation}, []string{"j1", "render", "org"})
			var e engine.Explanation
			is.NoErr(json.Unmarshal(response.Body.Bytes(), &e))
			is.Equal(e.Planner, "b")
		})
	}
}
