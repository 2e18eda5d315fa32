package load

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"clementinepier/job"
	"clementinepier/standin/worker"
)

func testMix(requests int) Mix {
	return Mix{
		Seed: 7, Requests: requests, Rate: 10, Organisations: []string{"a", "b"}, Services: []string{"s"}, Timeout: 5 * time.Second,
		MaxRunTime: time.Second, MaxSize: 100, MaxTasks: 4, MaxAccelerators: 2, GangShare: 0.3, NotRepeatedShare: 0.3,
	}
}

// Guards against a plan that differs between runs with the same seed, or that lacks a kind of request.
func TestPlanIsReproducibleAndMixed(t *testing.T) {
	is := is.New(t)
	first, err := Plan(testMix(200))
	is.NoErr(err)
	second, err := Plan(testMix(200))
	is.NoErr(err)
	is.Equal(first, second)
	kinds, ids := map[string]int{}, map[string]bool{}
	for _, p := range first {
		kinds[p.Request.Organisation]++
		ids[p.Request.ID] = true
		if p.Request.Shape.IsGang() {
			kinds["gang"]++
		}
		if !p.Request.Idempotent {
			kinds["not idempotent"]++
		}
	}
	is.Equal(len(ids), 200)
	for _, kind := range []string{"a", "b", "gang", "not idempotent"} {
		is.True(kinds[kind] > 20)
	}
	bad := testMix(200)
	bad.Organisations = nil
	_, err = Plan(bad)
	is.True(err != nil)
}

// correctReply returns the reply expected for r.
func correctReply(r job.Request) Reply {
	answer, _ := worker.ExpectedAnswer(r.Key(), r.Payload)
	return Reply{Status: http.StatusOK, Outcome: job.Outcome{Key: r.Key(), Result: job.Done, Answer: answer}}
}

func notRunReply(r job.Request) Reply {
	return Reply{Status: http.StatusServiceUnavailable, Outcome: job.NewNotRun(r.Key(), job.CodeOverloaded, "", job.Duration(time.Second))}
}

type call struct {
	entry, token string
	request      job.Request
}

// runOne sends a single request and answers its attempts with replies in order, repeating the last one. The clock
// advances only when the runner pauses.
func runOne(t *testing.T, replies ...func(job.Request) (Reply, error)) (Record, []call) {
	is, clock := is.New(t), clockwork.NewFakeClock()
	plan, err := Plan(testMix(1))
	is.NoErr(err)
	var records []Record
	var calls []call
	runner := &Runner{
		Clock: clock, Entries: []string{"e0", "e1", "e2"}, Tokens: map[string]string{"a": "ta", "b": "tb"},
		Send: func(_ context.Context, entry, token string, r job.Request) (Reply, error) {
			calls = append(calls, call{entry, token, r})
			return replies[min(len(calls), len(replies))-1](r)
		},
		Pause:    func(_ context.Context, d time.Duration) { clock.Advance(max(d, 0)) },
		Report:   func(record Record) error { records = append(records, record); return nil },
		Progress: func(string) {},
	}
	is.NoErr(runner.Run(context.Background(), plan))
	is.Equal(len(records), 1)
	return records[0], calls
}

func replyDone(r job.Request) (Reply, error)   { return correctReply(r), nil }
func replyError(job.Request) (Reply, error)    { return Reply{}, errors.New("broken") }
func replyNotRun(r job.Request) (Reply, error) { return notRunReply(r), nil }

// Guards against a retry with another ID, to the same entry VM, or with a timeout longer than the time left until the deadline.
func TestRetryKeepsRequest(t *testing.T) {
	is := is.New(t)
	record, calls := runOne(t, replyError, replyNotRun, replyDone)
	is.Equal(record.Result, job.Done)
	is.Equal(record.Wrong, "")
	is.Equal(record.Tries, 3)
	is.Equal(len(record.NotRun), 1)
	is.True(record.Latency.Std() >= time.Second) // the retry waited for the outcome's RetryAfter
	for i, entry := range []string{"e0", "e1", "e2"} {
		is.Equal(calls[i].entry, entry)
		is.Equal(calls[i].token, "t"+calls[i].request.Organisation)
		is.Equal(calls[i].request.Key(), calls[0].request.Key())
	}
	is.True(calls[2].request.Timeout.Std() <= 4*time.Second)
}

// Guards against retries that continue after the deadline, or a request that ends without a record.
func TestRetriesEndAtDeadline(t *testing.T) {
	is := is.New(t)
	record, calls := runOne(t, replyError)
	is.Equal(record.Result, Unanswered)
	is.True(len(calls) > 5)
	is.Equal(record.Latency, job.Duration(5*time.Second))
	record, _ = runOne(t, replyNotRun)
	is.Equal(record.Result, job.NotRun)
	is.Equal(len(record.NotRun), 5)
}

// Guards against a second run of a request whose outcome is unknown.
func TestUnknownIsFinal(t *testing.T) {
	is := is.New(t)
	record, calls := runOne(t, func(r job.Request) (Reply, error) {
		return Reply{Status: http.StatusGatewayTimeout, Outcome: job.NewUnknown(r.Key(), job.CodeWorkerLost, "")}, nil
	}, replyDone)
	is.Equal(record.Result, job.Unknown)
	is.Equal(record.Wrong, "")
	is.Equal(len(calls), 1)
}

// Guards against invalid replies that are counted as correct.
func TestWrongReplies(t *testing.T) {
	for name, change := range map[string]func(r *Reply){
		"truncated answer": func(r *Reply) { r.Outcome.Answer = r.Outcome.Answer[1:] },
		"answer of others": func(r *Reply) { r.Outcome.Key.ID = "other" },
		"failed task":      func(r *Reply) { r.Outcome.Code = job.CodeTaskFailed },
		"status differs":   func(r *Reply) { r.Status = http.StatusServiceUnavailable },
		"unknown result":   func(r *Reply) { r.Outcome.Result = "perhaps" },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			record, calls := runOne(t, func(r job.Request) (Reply, error) {
				reply := correctReply(r)
				change(&reply)
				return reply, nil
			})
			is.True(record.Wrong != "")
			is.Equal(len(calls), 1)
		})
	}
}

// Guards against a request that the HTTP interface cannot decode, or accepting a reply without an outcome.
func TestSendOverHTTP(t *testing.T) {
	is := is.New(t)
	plan, err := Plan(testMix(1))
	is.NoErr(err)
	request := plan[0].Request
	var omitOutcome bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var got job.Request
		if r.Method != http.MethodPost || r.URL.Path != "/api/v1/requests" || r.Header.Get("Authorization") != "Bearer t" ||
			json.NewDecoder(r.Body).Decode(&got) != nil || omitOutcome {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte("{}"))
			return
		}
		reply := correctReply(got)
		w.WriteHeader(reply.Status)
		_ = json.NewEncoder(w).Encode(reply.Outcome)
	}))
	defer server.Close()
	send := NewSend(1)
	reply, err := send(context.Background(), server.Listener.Addr().String(), "t", request)
	is.NoErr(err)
	is.Equal(reply, correctReply(request))
	omitOutcome = true
	_, err = send(context.Background(), server.Listener.Addr().String(), "t", request)
	is.True(err != nil)
}
