package cmd_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinepier/bundle"
	"clementinepier/cmd"
	"clementinepier/job"
	"clementinepier/message"
)

// fakeEntry is an entry VM that holds one configuration in memory and accepts changes to it.
type fakeEntry struct {
	t  *testing.T
	mu sync.Mutex
	// ring has the keys that may sign calls for the bundle; now is the time at which the signatures are verified.
	ring *bundle.Keyring
	now  time.Time
	// config is the configuration in force; progress is the reply to a query of any accepted change.
	config   message.Config
	progress message.Change
	// accepted has the ids of the accepted changes in order.
	accepted []string
	orders   []bundle.SignedOrder
	requests []job.Request
	outcome  job.Outcome
	// outcomeStatus is the HTTP status of the outcome; 0 means OK.
	outcomeStatus int
	request       message.Request
	// loseAnswers is how many changes and requests take effect without an answer, because the connection is aborted.
	loseAnswers int
	// unknownChange is how many queries of a change are answered as if it did not exist.
	unknownChange int
	noConfig      bool
	// refuse and refuseStatus are the reply to the next refuseTimes POST calls, which have no effect.
	refuse       message.Error
	refuseStatus int
	refuseTimes  int
}

// startEntry serves f over HTTP until the test ends and returns its address.
func startEntry(t *testing.T, f *fakeEntry) string {
	f.t = t
	server := httptest.NewServer(f)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// stoppedEntry returns an address that refuses connections.
func stoppedEntry(t *testing.T) string {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	return strings.TrimPrefix(server.URL, "http://")
}

func (f *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	reply := func(status int, body any) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
	if r.Method == http.MethodPost && f.refuseTimes > 0 {
		f.refuseTimes--
		reply(f.refuseStatus, f.refuse)
		return
	}
	dropAnswer := func() {
		if f.loseAnswers > 0 {
			f.loseAnswers--
			panic(http.ErrAbortHandler)
		}
	}
	switch path := r.URL.Path; {
	case path == message.PathBundle:
		var change message.BundleChange
		f.decode(r, &change)
		if f.acceptChange(w, change.ChangeID, change.BasedOn) {
			f.config.BundleRevision++
			dropAnswer()
		}
	case strings.HasSuffix(path, "/order"):
		var order bundle.SignedOrder
		f.decode(r, &order)
		f.orders = append(f.orders, order)
		if f.acceptChange(w, order.Order.ChangeID, f.config.Revision) {
			dropAnswer()
		}
	case path == message.PathConfig:
		if f.noConfig {
			reply(http.StatusServiceUnavailable, message.Error{Code: job.CodeNoConfiguration, Detail: "no configuration"})
			return
		}
		config := f.config
		if proof, err := bundle.ParseReadProof(r.Header.Get("Authorization")); err != nil || f.ring.VerifyRead(f.now, path, proof) != nil {
			config.Bundle = nil
		}
		reply(http.StatusOK, config)
	case strings.HasPrefix(path, "/api/v1/changes/"):
		if f.unknownChange > 0 || len(f.accepted) == 0 {
			f.unknownChange--
			reply(http.StatusNotFound, message.Error{Code: "no-change", Detail: "change does not exist"})
			return
		}
		reply(http.StatusOK, f.progress)
	case path == message.PathStatus:
		reply(http.StatusOK, message.Status{Name: "entry-1", FailureDomain: "tunis-a", Reason: job.CodeViewNotFresh, Members: []message.Member{{Name: "entry-2", BundleRevision: 3}}, Racks: []message.Rack{{Name: "r", FailureDomain: "tunis-a", Owner: "entry-1", FreeSlots: 4}}, Organisations: []message.Organisation{{Name: "o", Lent: message.Capacity{Accelerators: 2, Slots: 1}}}})
	case r.Header.Get("Authorization") != "Bearer secret-token":
		reply(http.StatusUnauthorized, message.Error{Code: job.CodeUnknownOrg, Detail: "token is not known"})
	case path == message.PathRequests:
		var request job.Request
		f.decode(r, &request)
		f.requests = append(f.requests, request)
		dropAnswer()
		reply(max(http.StatusOK, f.outcomeStatus), f.outcome)
	case r.Method == http.MethodDelete:
		reply(http.StatusOK, message.Cancelled{StoppedBeforeStart: true})
	case path == "/api/v1/requests/r1":
		reply(http.StatusOK, f.request)
	default:
		reply(http.StatusNotFound, message.Error{Code: job.CodeRequestNotExist, Detail: "request does not exist"})
	}
}

func (f *fakeEntry) decode(r *http.Request, into any) {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		f.t.Errorf("body cannot be decoded: %v", err)
	}
}

// acceptChange replies to a change and reports whether it is accepted. A repeat of the last accepted change is accepted
// again without effect; another change must be based on the current revision.
func (f *fakeEntry) acceptChange(w http.ResponseWriter, id string, basedOn uint64) bool {
	if len(f.accepted) == 0 || f.accepted[len(f.accepted)-1] != id {
		if basedOn != f.config.Revision {
			w.WriteHeader(http.StatusConflict)
			_ = json.NewEncoder(w).Encode(message.Error{Code: job.CodeRevisionConflict, Detail: "another change was first", Revision: f.config.Revision, ChangeID: f.config.ChangeID})
			return false
		}
		f.accepted = append(f.accepted, id)
		f.config.Revision++
		f.config.ChangeID = id
	}
	_ = json.NewEncoder(w).Encode(message.Accepted{ChangeID: id, Revision: f.config.Revision})
	return true
}

func changeInForce() message.Change {
	return message.Change{
		Acknowledged: true, InForceEverywhere: true, Revision: 1,
		FailureDomains: map[string]message.DomainProgress{"tunis-a": {Confirmed: []string{"entry-1", "entry-2"}}},
	}
}

func changeNotConfirmed(acknowledged bool) message.Change {
	c := changeInForce()
	c.Acknowledged, c.InForceEverywhere = acknowledged, false
	c.FailureDomains["tunis-a"] = message.DomainProgress{
		Confirmed: []string{"entry-1"}, Missing: []message.MissingVM{{Name: "entry-2", Since: time.Date(2027, 1, 2, 3, 0, 0, 0, time.UTC)}},
	}
	return c
}

// Guards against changes that are made twice or reported wrongly when an answer is lost, an entry VM refuses the call
// or a VM confirms late.
func TestBundleRoll(t *testing.T) {
	const missingVM = "not confirmed by tunis-a/entry-2 (since 2027-01-02T03:00:00Z)"
	stopping := message.Error{Code: job.CodeStopping, Detail: "entry VM is stopping"}
	conflict := message.Error{Code: job.CodeRevisionConflict, Detail: "lost", Revision: 7, ChangeID: "other"}
	for name, test := range map[string]struct {
		entry    *fakeEntry
		args     string
		code     int
		want     string
		accepted int
	}{
		"in force":                      {&fakeEntry{progress: changeInForce()}, "", 0, "in force everywhere at revision 1\n", 1},
		"answer lost":                   {&fakeEntry{progress: changeInForce(), loseAnswers: 1}, "", 0, "in force everywhere at revision 1\n", 1},
		"answers lost often":            {&fakeEntry{progress: changeInForce(), loseAnswers: 5}, "", 0, "in force everywhere at revision 1\n", 1},
		"all answers lost":              {&fakeEntry{progress: changeInForce(), loseAnswers: 1000}, "", cmd.ExitNoAnswer, "--change-id 0102030405060708090a0b0c0d0e0f10", 1},
		"stopping for a while":          {&fakeEntry{progress: changeInForce(), refuse: stopping, refuseStatus: 503, refuseTimes: 2}, "", 0, "in force everywhere at revision 1\n", 1},
		"stopping for good":             {&fakeEntry{progress: changeInForce(), refuse: stopping, refuseStatus: 503, refuseTimes: 1000}, "", cmd.ExitRefused, "stopping", 0},
		"conflict":                      {&fakeEntry{refuse: conflict, refuseStatus: 409, refuseTimes: 1}, "", cmd.ExitConflict, `change "other" won; the revision is 7`, 0},
		"conflict as JSON":              {&fakeEntry{refuse: conflict, refuseStatus: 409, refuseTimes: 1}, "--json", cmd.ExitConflict, `"change-id": "other"`, 0},
		"conflict with itself":          {&fakeEntry{progress: changeInForce(), accepted: []string{"c1", ""}, refuse: message.Error{Code: job.CodeRevisionConflict, ChangeID: "0102030405060708090a0b0c0d0e0f10"}, refuseStatus: 409, refuseTimes: 1}, "", 0, "in force everywhere", 2},
		"other bundle in force":         {&fakeEntry{config: message.Config{BundleRevision: 1, ChangeID: "other"}}, "", cmd.ExitConflict, "only revision 2 can follow", 0},
		"bundle invalid":                {&fakeEntry{refuse: message.Error{Code: job.CodeBundleInvalid, Faults: []bundle.Fault{{Key: "a", Reason: "b"}}}, refuseStatus: 422, refuseTimes: 1}, "", cmd.ExitRefused, "error: a: b", 0},
		"reply is not JSON":             {&fakeEntry{refuseStatus: 500, refuseTimes: 1}, "", cmd.ExitRefused, "HTTP status 500", 0},
		"one VM is late":                {&fakeEntry{progress: changeNotConfirmed(true)}, "", cmd.ExitNotEverywhere, "acknowledged at revision 1, but " + missingVM, 1},
		"not acknowledged":              {&fakeEntry{progress: changeNotConfirmed(false)}, "", cmd.ExitNotYetInForce, missingVM, 1},
		"progress as JSON":              {&fakeEntry{progress: changeNotConfirmed(true)}, "--json", cmd.ExitNotEverywhere, `"missing": [`, 1},
		"first bundle":                  {&fakeEntry{progress: changeInForce(), noConfig: true}, "", 0, "in force everywhere at revision 1\n", 1},
		"rerun of a change in config":   {&fakeEntry{progress: changeInForce(), accepted: []string{"c1"}, unknownChange: 1, loseAnswers: 1000, config: message.Config{ChangeID: "c1"}}, "--change-id c1", 0, "in force everywhere at revision 1\n", 1},
		"rerun of a change before last": {&fakeEntry{progress: changeInForce(), accepted: []string{"c1"}, unknownChange: 1, config: message.Config{ChangeID: "c2", BundleRevision: 1}}, "--change-id c1", 0, "in force everywhere at revision 1\n", 1},
		"rerun of an accepted change":   {&fakeEntry{progress: changeInForce(), accepted: []string{"c1"}, loseAnswers: 1000}, "--change-id c1", 0, "in force everywhere at revision 1\n", 1},
		"rerun of a change not arrived": {&fakeEntry{progress: changeInForce()}, "--change-id c1", 0, "in force everywhere at revision 1\n", 1},
	} {
		t.Run(name, func(t *testing.T) {
			signedWorkspace(t)
			is := is.New(t)
			args := "bundle roll bundle.signed --entry " + stoppedEntry(t) + " --entry " + startEntry(t, test.entry) + " " + test.args
			r := run(program(), strings.Fields(args)...)
			t.Log(r.out, r.errors)
			is.Equal(r.code, test.code)
			is.True(strings.Contains(r.out+r.errors, test.want))
			is.True(!test.entry.noConfig || !strings.Contains(r.errors, "trying again")) // waiting cannot produce the first bundle
			test.entry.mu.Lock()
			defer test.entry.mu.Unlock()
			is.Equal(len(test.entry.accepted), test.accepted)
		})
	}
	t.Run("no entry VM", func(t *testing.T) {
		signedWorkspace(t)
		is := is.New(t)
		is.Equal(run(program(), "bundle", "roll", "bundle.signed", "--entry", stoppedEntry(t)).code, cmd.ExitNoAnswer)
	})
}

// Guards against orders that an entry VM refuses: wrong state, sequence, change id or signature.
func TestDomainOutAndBack(t *testing.T) {
	workspace(t)
	is := is.New(t)
	f := &fakeEntry{progress: changeInForce(), loseAnswers: 1, config: message.Config{Revision: 5, FailureDomains: []string{"bizerte-b", "tunis-a"}, Orders: map[string]message.DomainOrder{"tunis-a": {State: bundle.OrderIn, Sequence: 4}}}}
	entry := startEntry(t, f)
	ring, err := bundle.NewKeyring([]bundle.TrustedKey{key(t, 3).Trusted(bundle.RoleOperator)})
	is.NoErr(err)
	p := program()
	for _, command := range []string{"out", "back"} {
		is.Equal(run(p, "domain", command, "tunis-a", "--key", "carol.key", "--entry", entry).code, 0)
	}
	f.mu.Lock()
	is.Equal(len(f.orders), 3) // the first answer was lost, so the order was sent twice
	is.Equal(f.orders[0], f.orders[1])
	for i, state := range []bundle.OrderState{bundle.OrderOut, bundle.OrderOut, bundle.OrderIn} {
		is.NoErr(ring.VerifyOrder(f.orders[i]))
		is.Equal(f.orders[i].Order.State, state)
		is.Equal(f.orders[i].Order.Sequence, uint64(5))
	}
	f.mu.Unlock()
	is.Equal(run(program(), "domain", "out", "Tunis", "--key", "carol.key", "--entry", entry).code, cmd.ExitUsage)
	is.Equal(run(program(), "domain", "out", "tunis-a", "--key", "carol.key.pub", "--entry", entry).code, cmd.ExitInvalid)
	is.Equal(run(program(), "domain", "list", "--entry", entry).out, "bizerte-b                in   order 0\ntunis-a                  in   order 4\nrevision 7, last change 1112131415161718191a1b1c1d1e1f20\n")
	source, err := os.ReadFile("bundle.toml")
	is.NoErr(err)
	f.mu.Lock()
	f.config.Bundle, f.config.BundleRevision = &bundle.Signed{Source: source}, 1
	f.mu.Unlock()
	f.ring, f.now = ring, program().Clock.Now()
	unsigned := run(program(), "bundle", "show", "--entry", entry)
	is.Equal(unsigned.code, cmd.ExitFailed)
	is.True(strings.Contains(unsigned.errors, "signed with a trusted key"))
	is.Equal(run(program(), "bundle", "show", "--key", "carol.key", "--entry", entry).out, string(source))
	is.Equal(run(program(), "bundle", "sign", "bundle.toml", "--key", "alice.key").code, 0)
	is.True(strings.HasPrefix(run(program(), "bundle", "review", "bundle.signed", "--read-key", "carol.key", "--entry", entry).out, "0 changes"))
}

// Guards against outcomes that a script cannot tell apart by exit code and output, and retries that change the request.
func TestSubmit(t *testing.T) {
	outcome := func(result job.Result, code job.Code) job.Outcome {
		return job.Outcome{Result: result, Code: code, Detail: "why", Answer: []byte("the answer")}
	}
	stopping := message.Error{Code: job.CodeStopping, Detail: "entry VM is stopping"}
	for name, test := range map[string]struct {
		entry *fakeEntry
		args  string
		code  int
		want  string
		sent  int
	}{
		"done":             {&fakeEntry{outcome: outcome(job.Done, "")}, "", 0, "the answer", 1},
		"done as JSON":     {&fakeEntry{outcome: outcome(job.Done, "")}, "--json", 0, `"result": "done"`, 1},
		"answer lost":      {&fakeEntry{outcome: outcome(job.Done, ""), loseAnswers: 2}, "--timeout 10s", 0, "the answer", 3},
		"all answers lost": {&fakeEntry{loseAnswers: 1000}, "--timeout 1s --id r7", cmd.ExitNoAnswer, "", -1},
		"stopping":         {&fakeEntry{outcome: outcome(job.Done, ""), refuse: stopping, refuseStatus: 503, refuseTimes: 1}, "", 0, "the answer", 1},
		"not run":          {&fakeEntry{outcome: outcome(job.NotRun, job.CodeOverloaded)}, "", cmd.ExitNotRun, "", 1},
		"not run, 503":     {&fakeEntry{outcome: outcome(job.NotRun, job.CodeStoreUnavailable), outcomeStatus: 503}, "", cmd.ExitNotRun, "", 1},
		"unknown":          {&fakeEntry{outcome: outcome(job.Unknown, job.CodeWorkerLost)}, "", cmd.ExitUnknown, "", 1},
		"no result":        {&fakeEntry{}, "", cmd.ExitUnknown, "", 1},
		"task failed":      {&fakeEntry{outcome: outcome(job.Done, job.CodeTaskFailed)}, "", cmd.ExitTaskFailed, "", 1},
		"refused":          {&fakeEntry{refuse: message.Error{Code: job.CodeBadRequest}, refuseStatus: 400, refuseTimes: 1}, "", cmd.ExitRefused, "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			workspace(t)
			is := is.New(t)
			args := fmt.Sprintf("request submit --service provenance --accelerators 2 --payload - --token-file token --entry %s --entry %s %s", stoppedEntry(t), startEntry(t, test.entry), test.args)
			p := program()
			p.Stdin = strings.NewReader("payload")
			r := run(p, strings.Fields(args)...)
			t.Log(r.out, r.errors)
			is.Equal(r.code, test.code)
			is.True(strings.Contains(r.out, test.want))
			is.True(test.want != "" || r.out == "")
			test.entry.mu.Lock()
			defer test.entry.mu.Unlock()
			is.True(test.sent < 0 || len(test.entry.requests) == test.sent)
			for i, request := range test.entry.requests {
				is.True(i == 0 || request.Timeout == 0 || request.Timeout < test.entry.requests[i-1].Timeout)
				is.Equal(request.ID, test.entry.requests[0].ID)
				is.Equal(string(request.Payload), "payload")
				is.Equal(request.Shape, job.Shape{Tasks: 1, Accelerators: 2, Slots: 1})
			}
		})
	}
}

// Guards against requests that are shown, read or cancelled wrongly.
func TestRequestsAndStatus(t *testing.T) {
	workspace(t)
	f := &fakeEntry{request: message.Request{Key: job.Key{Organisation: "o", ID: "r1"}, State: message.RequestRunning}}
	entry := startEntry(t, f)
	ended := f.request
	ended.State, ended.Outcome = message.RequestEnded, &job.Outcome{Result: job.Done, Answer: []byte{0, 1, 255}}
	for _, test := range []struct {
		args  string
		state message.Request
		code  int
		out   string
	}{
		{"request show r1", f.request, 0, "request o/r1: running\n"},
		{"request result r1", f.request, cmd.ExitNotEnded, ""},
		{"request show r1", ended, 0, "request o/r1: ended\noutcome done, attempts 0, answer of 3 bytes\n"},
		{"request result r1", ended, 0, "\x00\x01\xff"},
		{"request show r2", ended, cmd.ExitRefused, ""},
		{"request cancel r1", ended, 0, "cancelled before it started; it was not run\n"},
		{"request cancel r1 --json", ended, 0, "{\n  \"stopped-before-start\": true\n}\n"},
	} {
		t.Run(test.args, func(t *testing.T) {
			is := is.New(t)
			f.mu.Lock()
			f.request = test.state
			f.mu.Unlock()
			r := run(program(), strings.Fields(test.args+" --token-file token --entry "+entry)...)
			is.Equal(r.code, test.code)
			is.Equal(r.out, test.out)
		})
	}
	is := is.New(t)
	other := &fakeEntry{refuse: message.Error{Code: job.CodeBadRequest}, refuseStatus: 400, refuseTimes: 1}
	r := run(program(), "request", "submit", "--service", "s", "--token-file", "token", "--entry", startEntry(t, other), "--entry", entry)
	is.Equal(r.code, cmd.ExitRefused)
	is.Equal(len(f.requests), 0) // a permanent refusal must not be retried on another entry VM
	stopping := &fakeEntry{refuse: message.Error{Code: job.CodeStopping}, refuseStatus: 503, refuseTimes: 1}
	f.outcome = job.Outcome{Result: job.Done, Answer: []byte("the answer")}
	r = run(program(), "request", "submit", "--service", "s", "--token-file", "token", "--entry", startEntry(t, stopping), "--entry", entry)
	is.Equal(r.out, "the answer")
	is.True(!strings.Contains(r.errors, "trying again")) // the next entry VM is tried without delay
	is.Equal(run(program(), "request", "show", "r1", "--token-file", "bundle.toml", "--entry", entry).code, cmd.ExitInvalid)
	is.NoErr(os.WriteFile("token", []byte("other-token"), 0o600))
	r = run(program(), "request", "show", "r1", "--token-file", "token", "--entry", entry)
	is.Equal(r.code, cmd.ExitRefused)
	is.True(!strings.Contains(r.errors, "other-token")) // the token is not shown
	r = run(program(), "status", "--entry", entry, "--entry", stoppedEntry(t))
	is.Equal(r.code, cmd.ExitNoAnswer)
	is.Equal(r.out, "tunis-a/entry-1: starts no tasks: view-not-fresh, revision 0, store not reachable, 0 waiting, 0 running\n  /entry-2: silent, bundle revision 3, never confirmed\n"+
		"  rack tunis-a/r: owner entry-1, 0 accelerators free (0 adjacent), 4 slots free\n"+
		"  organisation o: guaranteed 0 accelerators/0 slots, in use 0 accelerators/0 slots, lent 2 accelerators/1 slots, owed 0 accelerators/0 slots\n")
	is.Equal(run(program(), "status", "--json", "--entry", entry).code, 0)
}
