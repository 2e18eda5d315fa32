package api_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	_ "embed"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"clementinepier/api"
	"clementinepier/board"
	"clementinepier/bundle"
	"clementinepier/config"
	"clementinepier/job"
	"clementinepier/kvstore"
	"clementinepier/message"
	"clementinepier/trace"
)

const (
	maxBody   = 4000
	maxHeader = 2000
	validBody = `{"id":"r1","service":"match","shape":{"tasks":2,"accelerators":1,"slots":1},"payload":"cGF5"}`
	traceID   = "0af7651916cd43dd8448eb211c80319c"
)

var now = time.Date(2027, 1, 2, 3, 0, 0, 0, time.UTC)

func key(seed byte) *bundle.PrivateKey {
	k, err := bundle.GenerateKey(bytes.NewReader(bytes.Repeat([]byte{seed}, 32)))
	if err != nil {
		panic(err)
	}
	return k
}

func keyring() *bundle.Keyring {
	author, reviewer, operator := key(1).Trusted(bundle.RoleAuthor), key(2).Trusted(bundle.RoleReviewer), key(3).Trusted(bundle.RoleOperator)
	expired := key(4).Trusted()
	expired.NotAfter = now.Add(-time.Hour)
	ring, err := bundle.NewKeyring([]bundle.TrustedKey{author, reviewer, operator, expired})
	if err != nil {
		panic(err)
	}
	return ring
}

func digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// bundleFormat is a format string for the revision and two token digests.
//
//go:embed testdata/bundle.toml.format
var bundleFormat string

// source returns a bundle with the given revision and the organisations a and b, whose tokens are token-a and token-b.
func source(revision int) []byte {
	return fmt.Appendf(nil, bundleFormat, revision, digest("token-a"), digest("token-b"))
}

func signed(revision int) bundle.Signed {
	s := bundle.Signed{Source: source(revision)}
	s.Author, s.Reviewer = bundle.SignAuthor(key(1), s.Source), bundle.SignReviewer(key(2), s.Source)
	return s
}

// fakeVM simulates the entry VM behind the API.
type fakeVM struct {
	*api.API
	t       *testing.T
	address string

	mu       sync.Mutex
	document config.Document
	// storeErr is the error that every call of the store returns; changes are verified before.
	storeErr  error
	requests  map[job.Key]string
	received  []job.Request
	outcome   job.Outcome
	ended     chan struct{}
	persisted bool
	draining  bool
	findErr   error
}

// startAPI serves an API on the loopback interface. Its configuration has bundle revision 1, or no bundle.
func startAPI(t *testing.T, configured bool) *fakeVM {
	tracer, err := trace.New("entry-1", "")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeVM{t: t, requests: map[job.Key]string{}, ended: make(chan struct{})}
	close(f.ended)
	f.outcome = job.Outcome{Result: job.Done, Answer: []byte("answer")}
	f.API = &api.API{
		Clock: clockwork.NewFakeClockAt(now), Tracer: tracer, View: f.view,
		FitsEmptyRack: func(r job.Request) bool { return r.Shape.TotalAccelerators() <= 4 },
		Submit:        f.submit, Persist: func(context.Context, job.Key) bool { return f.persisted },
		Find: f.find, Cancel: f.cancel, SubmitBundle: f.submitBundle, SubmitOrder: f.submitOrder, Change: f.change,
		VerifyRead: func(path, authorization string) error {
			proof, err := bundle.ParseReadProof(authorization)
			if err != nil {
				return err
			}
			return keyring().VerifyRead(now, path, proof)
		},
		Status:   func(context.Context) (message.Status, error) { return message.Status{Name: "entry-1"}, f.storeErr },
		Draining: func() bool { return f.draining }, DrainEnd: make(chan struct{}),
		MaxBodySize: maxBody, MaxHeaderSize: maxHeader, MaxConnections: 64,
	}
	if configured {
		f.document = config.Document{Bundle: signed(1), ChangeID: "c1", Recent: []config.AcceptedChange{{ChangeID: "c1", Number: 1, Revision: 1}}}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.address = listener.Addr().String()
	f.Serve(listener)
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		_ = f.Shutdown(context.Background())
	})
	return f
}

func (f *fakeVM) view() *config.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	view, err := config.Merge(keyring(), nil, f.document)
	if err != nil {
		f.t.Error(err)
	}
	return view
}

func (f *fakeVM) submit(_ context.Context, r job.Request, digest string) (api.Submission, job.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if before, known := f.requests[r.Key()]; known && before != digest {
		return api.Submission{}, job.NewNotRun(r.Key(), job.CodeRequestIDConflict, "used", 0)
	}
	f.requests[r.Key()] = digest
	f.received = append(f.received, r)
	return api.Submission{Ended: f.ended, Outcome: func() job.Outcome { return f.outcome }}, job.Outcome{}
}

func (f *fakeVM) find(_ context.Context, k job.Key) (message.Request, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, found := f.requests[k]
	return message.Request{Key: k, State: message.RequestRunning}, found, f.findErr
}

func (f *fakeVM) cancel(_ context.Context, k job.Key) (message.Cancelled, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, found := f.requests[k]
	delete(f.requests, k)
	return message.Cancelled{StoppedBeforeStart: found}, found
}

func (f *fakeVM) submitBundle(_ context.Context, c message.BundleChange) (message.Accepted, error) {
	if _, err := keyring().VerifyNew(now, c.Signed); err != nil {
		return message.Accepted{}, err
	}
	return f.accept(config.Change{ID: c.ChangeID, Bundle: &c.Signed})
}

func (f *fakeVM) submitOrder(_ context.Context, o bundle.SignedOrder) (message.Accepted, error) {
	if err := keyring().VerifyNewOrder(now, o); err != nil {
		return message.Accepted{}, err
	}
	return f.accept(config.Change{ID: o.Order.ChangeID, Order: &o})
}

func (f *fakeVM) accept(c config.Change) (message.Accepted, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeErr != nil {
		return message.Accepted{}, f.storeErr
	}
	next, accepted, err := config.Accept(keyring(), f.document, c)
	if err == nil {
		f.document = next
	}
	return message.Accepted{ChangeID: accepted.ChangeID, Revision: accepted.Revision}, err
}

func (f *fakeVM) change(_ context.Context, id string) (message.Change, error) {
	if f.storeErr != nil {
		return message.Change{}, f.storeErr
	}
	for _, a := range f.document.Recent {
		if a.ChangeID == id {
			return message.Change{ChangeID: id, Revision: a.Revision}, nil
		}
	}
	return message.Change{}, &api.ErrChangeNotExist{ID: id}
}

// reply has the fields of all JSON bodies that the tests check.
type reply struct {
	Status int
	Header http.Header
	Body   string

	Code     job.Code        `json:"code"`
	Detail   string          `json:"detail"`
	Result   job.Result      `json:"result"`
	Answer   []byte          `json:"answer"`
	TraceID  string          `json:"trace-id"`
	Durable  bool            `json:"durable"`
	State    string          `json:"state"`
	Revision uint64          `json:"revision"`
	ChangeID string          `json:"change-id"`
	Faults   []bundle.Fault  `json:"faults"`
	Bundle   json.RawMessage `json:"bundle"`
	Stopped  bool            `json:"stopped-before-start"`
	Domains  []string        `json:"failure-domains"`
	Name     string          `json:"name"`
}

// call sends a request with headers in the form "Name: value". The reply must be JSON.
func (f *fakeVM) call(method, path string, body io.Reader, headers ...string) reply {
	f.t.Helper()
	request, err := http.NewRequest(method, "http://"+f.address+path, body)
	if err != nil {
		f.t.Fatal(err)
	}
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	return f.readReply(response)
}

func (f *fakeVM) readReply(response *http.Response) reply {
	f.t.Helper()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	r := reply{Status: response.StatusCode, Header: response.Header, Body: string(data)}
	contentType, _, _ := strings.Cut(response.Header.Get("Content-Type"), ";")
	if err := json.Unmarshal(data, &r); err != nil || contentType != "application/json" {
		f.t.Fatalf("status %d with %s, not JSON: %.200q", r.Status, contentType, data)
	}
	return r
}

func (f *fakeVM) submitAs(token, query, body string) reply {
	f.t.Helper()
	return f.call("POST", message.PathRequests+query, strings.NewReader(body), "Authorization: Bearer "+token)
}

// Guards against requests that are accepted although they cannot run, and against rejections with a wrong status or code.
func TestInvalidRequestsAreRejected(t *testing.T) {
	f := startAPI(t, true)
	with := func(part, by string) string { return strings.Replace(validBody, part, by, 1) }
	for name, test := range map[string]struct {
		body   io.Reader
		query  string
		status int
		code   job.Code
	}{
		"not JSON":              {strings.NewReader("{"), "", 400, job.CodeBadRequest},
		"empty":                 {nil, "", 400, job.CodeBadRequest},
		"unknown field":         {strings.NewReader(with(`{`, `{"idempotence":true,`)), "", 400, job.CodeBadRequest},
		"trailing data":         {strings.NewReader(validBody + validBody), "", 400, job.CodeBadRequest},
		"other organisation":    {strings.NewReader(with(`{`, `{"organisation":"b",`)), "", 403, job.CodeUnknownOrg},
		"no id":                 {strings.NewReader(with("r1", "")), "", 400, job.CodeBadRequest},
		"bad id":                {strings.NewReader(with("r1", "a/b")), "", 400, job.CodeBadRequest},
		"long id":               {strings.NewReader(with("r1", strings.Repeat("x", 129))), "", 400, job.CodeBadRequest},
		"unknown service":       {strings.NewReader(with("match", "other")), "", 400, job.CodeBadRequest},
		"no tasks":              {strings.NewReader(with(`"tasks":2`, `"tasks":-1`)), "", 400, job.CodeBadRequest},
		"total overflows":       {strings.NewReader(with(`"tasks":2,"accelerators":1`, `"tasks":4611686018427387904,"accelerators":4`)), "", 400, job.CodeBadRequest},
		"fits no rack":          {strings.NewReader(with(`"accelerators":1`, `"accelerators":3`)), "", 422, job.CodeShapeFitsNoRack},
		"negative timeout":      {strings.NewReader(with(`{`, `{"timeout":"-1s",`)), "", 400, job.CodeBadRequest},
		"timeout above maximum": {strings.NewReader(with(`{`, `{"timeout":"61s",`)), "", 400, job.CodeBadRequest},
		"payload above maximum": {strings.NewReader(with("cGF5", strings.Repeat("QUFB", 400))), "", 413, job.CodeBodyTooLarge},
		"wait not a duration":   {strings.NewReader(validBody), "?wait=5", 400, job.CodeBadRequest},
		"wait too long":         {strings.NewReader(validBody), "?wait=11m", 400, job.CodeBadRequest},
		"body at the limit":     {strings.NewReader(validBody + strings.Repeat(" ", maxBody-len(validBody))), "", 200, ""},
		"body above the limit":  {strings.NewReader(validBody + strings.Repeat(" ", maxBody-len(validBody)+1)), "", 413, job.CodeBodyTooLarge},
		"body far above":        {bytes.NewReader(make([]byte, 20<<20)), "", 413, job.CodeBodyTooLarge},
		"chunked at the limit":  {io.MultiReader(strings.NewReader(validBody), strings.NewReader(strings.Repeat(" ", maxBody-len(validBody)))), "", 200, ""},
		"chunked above":         {io.MultiReader(strings.NewReader(validBody), strings.NewReader(strings.Repeat(" ", maxBody))), "", 413, job.CodeBodyTooLarge},
		"chunked far above":     {io.MultiReader(bytes.NewReader(make([]byte, 20<<20))), "", 413, job.CodeBodyTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f.t = t
			r := f.call("POST", message.PathRequests+test.query, test.body, "Authorization: Bearer token-a")
			is.Equal(r.Status, test.status)
			is.Equal(r.Code, test.code)
			is.True(test.code == "" || r.Detail != "")
			is.True(len(r.Header.Get("X-Trace-Id")) == 32) // a rejected caller gets its trace id too
		})
	}
}

// Guards against outcomes with a wrong status, code or header, after which the caller retries when it must not, or the
// other way round.
func TestOutcomeStatusCodeAndHeaders(t *testing.T) {
	for name, test := range map[string]struct {
		outcome    job.Outcome
		status     int
		retryAfter string
	}{
		"done":           {job.Outcome{Result: job.Done, Answer: []byte("x")}, 200, ""},
		"task failed":    {job.Outcome{Result: job.Done, Code: job.CodeTaskFailed}, 200, ""},
		"not run":        {job.NewNotRun(job.Key{}, job.CodeOverloaded, "", job.Duration(1500*time.Millisecond)), 503, "2"},
		"not run, final": {job.NewNotRun(job.Key{}, job.CodeCancelled, "", 0), 503, ""},
		"limit":          {job.NewNotRun(job.Key{}, job.CodeLimitReached, "", job.Duration(time.Second)), 429, "1"},
		"unknown":        {job.NewUnknown(job.Key{}, job.CodeWorkerLost, ""), 504, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := startAPI(t, true)
			f.outcome = test.outcome
			r := f.call("POST", message.PathRequests, strings.NewReader(validBody), "Authorization: Bearer token-a",
				"traceparent: 00-"+traceID+"-b7ad6b7169203331-01")
			is.Equal(r.Status, test.status)
			is.Equal(r.Result, test.outcome.Result)
			is.Equal(r.Code, test.outcome.Code)
			is.Equal(r.Answer, test.outcome.Answer)
			is.Equal(r.Header.Get("Retry-After"), test.retryAfter)
			is.Equal(r.Header.Get("X-Trace-Id"), traceID)
			is.Equal(r.TraceID, traceID)
			is.Equal(f.received[0].Organisation, "a")
			is.Equal(f.received[0].Timeout, job.Duration(30*time.Second)) // the service's default
		})
	}
}

// Guards against a call that waits longer than its wait or beyond the end of the drain, and against a 202 that reports the
// request as durable although it was not stored.
func TestWaitEndsWithRequestState(t *testing.T) {
	for _, persisted := range []bool{true, false} {
		for _, drain := range []bool{true, false} {
			is := is.New(t)
			f := startAPI(t, true)
			f.ended, f.persisted = make(chan struct{}), persisted
			query := "?wait=0s"
			if drain {
				drainEnd := make(chan struct{})
				close(drainEnd)
				f.DrainEnd, query = drainEnd, ""
			}
			r := f.submitAs("token-a", query, validBody)
			is.Equal(r.Status, 202)
			is.Equal(r.State, "running")
			is.Equal(r.Durable, persisted)
		}
	}
	is := is.New(t)
	f := startAPI(t, true)
	f.draining = true
	r := f.submitAs("token-a", "", validBody)
	is.Equal(r.Status, 503)
	is.Equal(r.Result, job.NotRun)
	is.Equal(r.Code, job.CodeStopping)
	is.Equal(r.Header.Get("Retry-After"), "1")
	is.Equal(len(f.received), 0)
}

// Guards against an organisation that reads or cancels another's requests, and against calls without a valid token.
func TestOrganisationsAreIsolated(t *testing.T) {
	is := is.New(t)
	f := startAPI(t, true)
	is.Equal(f.submitAs("token-a", "", validBody).Status, 200)
	path := message.RequestPath("r1")
	for _, authorization := range []string{"", "Bearer ", "Bearer token-c", "token-a", "Basic token-a", "Bearer " + digest("token-a")} {
		for _, method := range []string{"GET", "DELETE"} {
			r := f.call(method, path, nil, "Authorization: "+authorization)
			is.Equal(r.Status, 401)
			is.Equal(r.Code, job.CodeUnknownOrg)
		}
		is.Equal(f.call("POST", message.PathRequests, strings.NewReader(validBody), "Authorization: "+authorization).Status, 401)
	}
	is.Equal(f.call("GET", path, nil, "Authorization: Bearer token-b").Code, job.CodeRequestNotExist)
	is.Equal(f.call("DELETE", path, nil, "Authorization: Bearer token-b").Code, job.CodeRequestNotExist)
	is.Equal(f.call("GET", path, nil, "Authorization: Bearer token-a").Status, 200)
	f.findErr = errors.New("a peer does not answer")
	is.Equal(f.call("GET", path, nil, "Authorization: Bearer token-b").Code, job.CodeOwnerLost) // one entry VM was not queried, so the request may exist
	is.Equal(f.submitAs("token-b", "", validBody).Status, 200)                                  // the same id of another organisation is another request
	other := strings.Replace(validBody, "cGF5", "b3Ro", 1)
	r := f.submitAs("token-a", "", other)
	is.Equal(r.Status, 409)
	is.Equal(r.Code, job.CodeRequestIDConflict)
	is.Equal(f.submitAs("token-a", "", strings.Replace(validBody, `{`, `{"timeout":"20s",`, 1)).Status, 200) // a retry has less time left
	r = f.call("DELETE", path, nil, "Authorization: Bearer token-a")
	is.Equal(r.Status, 200)
	is.True(r.Stopped)
	is.Equal(f.call("DELETE", message.PathRequests+"/"+strings.Repeat("x", 200), nil, "Authorization: Bearer token-a").Status, 404)
	is.Equal(f.call("GET", message.PathRequests+"/a%20b", nil, "Authorization: Bearer token-a").Status, 404)
	none := startAPI(t, false)
	is.Equal(none.submitAs("token-a", "", validBody).Code, job.CodeNoConfiguration)
}

// Guards against error replies of the HTTP library that are not JSON, and against headers and bodies without a size limit.
func TestLibraryErrorsAreJSON(t *testing.T) {
	is := is.New(t)
	f := startAPI(t, true)
	r := f.call("GET", "/api/v2/requests", nil)
	is.Equal(r.Status, 404)
	is.Equal(r.Code, job.CodeBadRequest)
	is.Equal(f.call("GET", message.PathStatus+"/", nil).Status, 404)
	is.Equal(f.call("PUT", message.PathRequests, strings.NewReader(validBody)).Status, 405)
	is.Equal(f.call("DELETE", message.PathConfig, nil).Status, 405)
	r = f.call("GET", message.PathStatus, nil, "X-Long: "+strings.Repeat("x", maxHeader))
	is.Equal(r.Status, 431)
	is.Equal(r.Code, job.CodeBadRequest)
	is.Equal(f.call("GET", message.PathStatus+"?"+strings.Repeat("x", maxHeader), nil).Status, 431)
	f.sendRaw("GET /api/v1/status HTTP/1.1\r\n\r\n", 400) // no Host
	for _, request := range []string{"GET a: HTTP/1.1\r\n\r\n", "GET a: HTTP/1.1\r\nHost:\r\n\r\n", "GET http: HTTP/1.0\r\n\r\n"} {
		f.sendRaw(request, 400) // the library panics
	}
	// Pipelined calls: a body must not be parsed as the next call, nor the next call read as part of the body.
	pipelined := fmt.Sprintf("POST /api/v1/requests HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer token-a\r\nContent-Length: %d\r\n\r\n%s", len(validBody), validBody)
	f.sendRaw(strings.Repeat(pipelined, 3), 200, 200, 200)
	f.sendRaw(strings.Replace(pipelined, "token-a", "token-c", 1)+pipelined, 401, 200) // an unread body is skipped
	f.sendRaw("POST /api/v1/requests HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer token-a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400)
	f.sendRaw("POST /api/v1/requests HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer token-a\r\nContent-Length: 1000000000000\r\n\r\n", 413)
}

// sendRaw sends the bytes on a new connection and expects JSON replies with the statuses in this order.
func (f *fakeVM) sendRaw(text string, statuses ...int) {
	f.t.Helper()
	connection, err := net.Dial("tcp", f.address)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	if _, err := io.WriteString(connection, text); err != nil {
		f.t.Fatal(err)
	}
	// The server waits for the rest of an incomplete call; closing the write side signals that nothing follows.
	_ = connection.(*net.TCPConn).CloseWrite()
	reader := bufio.NewReader(connection)
	for _, want := range statuses {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			f.t.Fatal(err)
		}
		r := f.readReply(response)
		_ = response.Body.Close()
		if r.Status != want {
			f.t.Errorf("status %d instead of %d: %s", r.Status, want, r.Body)
		}
	}
}

func encode(v any) io.Reader {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return bytes.NewReader(data)
}

// Guards against bundles that are accepted without two valid signatures, twice, or out of order.
func TestInvalidBundleChangesAreRejected(t *testing.T) {
	unsigned := signed(2)
	unsigned.Author.Value = bytes.Repeat([]byte{1}, 64)
	wrongKey := signed(2)
	wrongKey.Author = bundle.SignAuthor(key(9), wrongKey.Source)
	wrongRole := signed(2)
	wrongRole.Author = bundle.SignAuthor(key(3), wrongRole.Source)
	expired := signed(2)
	expired.Author = bundle.SignAuthor(key(4), expired.Source)
	same := bundle.Signed{Source: source(2)}
	same.Author, same.Reviewer = bundle.SignAuthor(key(1), same.Source), bundle.SignReviewer(key(1), same.Source)
	invalid := bundle.Signed{Source: []byte("revision = 2")}
	invalid.Author, invalid.Reviewer = bundle.SignAuthor(key(1), invalid.Source), bundle.SignReviewer(key(2), invalid.Source)
	unavailable := &kvstore.ErrUnavailable{Call: "get", Cause: errors.New("down")}
	for name, test := range map[string]struct {
		change   message.BundleChange
		storeErr error
		status   int
		code     job.Code
	}{
		"accepted":          {message.BundleChange{Signed: signed(2), ChangeID: "c2"}, nil, 200, ""},
		"bad signature":     {message.BundleChange{Signed: unsigned, ChangeID: "c2"}, nil, 403, job.CodeSignatureInvalid},
		"wrong key":         {message.BundleChange{Signed: wrongKey, ChangeID: "c2"}, nil, 403, job.CodeSignatureInvalid},
		"wrong role":        {message.BundleChange{Signed: wrongRole, ChangeID: "c2"}, nil, 403, job.CodeSignatureInvalid},
		"expired key":       {message.BundleChange{Signed: expired, ChangeID: "c2"}, nil, 403, job.CodeSignatureInvalid},
		"one signer":        {message.BundleChange{Signed: same, ChangeID: "c2"}, nil, 403, job.CodeSignatureInvalid},
		"invalid bundle":    {message.BundleChange{Signed: invalid, ChangeID: "c2"}, nil, 422, job.CodeBundleInvalid},
		"replay":            {message.BundleChange{Signed: signed(1), ChangeID: "c2"}, nil, 409, job.CodeRevisionConflict},
		"revision skipped":  {message.BundleChange{Signed: signed(3), ChangeID: "c2"}, nil, 409, job.CodeRevisionConflict},
		"no change id":      {message.BundleChange{Signed: signed(2)}, nil, 400, job.CodeBadRequest},
		"store unavailable": {message.BundleChange{Signed: signed(2), ChangeID: "c2"}, unavailable, 503, job.CodeStoreUnavailable},
		"store contended":   {message.BundleChange{Signed: signed(2), ChangeID: "c2"}, &kvstore.ErrVersionDiffers{}, 503, job.CodeOverloaded},
		"store unreadable":  {message.BundleChange{Signed: signed(2), ChangeID: "c2"}, &config.ErrInvalidDocument{Cause: errors.New("half")}, 503, job.CodeStoreUnavailable},
		"stopping":          {message.BundleChange{Signed: signed(2), ChangeID: "c2"}, board.ErrStopped, 503, job.CodeStopping},
		"not yet in force":  {message.BundleChange{Signed: signed(2), ChangeID: "c2"}, &config.ErrNotYetInForce{Bundle: 1}, 409, job.CodeNotYetInForce},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := startAPI(t, true)
			f.storeErr = test.storeErr
			r := f.call("POST", message.PathBundle, encode(test.change))
			is.Equal(r.Status, test.status)
			is.Equal(r.Code, test.code)
			is.True(test.code != job.CodeBundleInvalid || len(r.Faults) > 0)
			if test.code == job.CodeRevisionConflict {
				is.Equal(r.ChangeID, "c1")
				is.Equal(r.Revision, uint64(1))
			}
			f.storeErr = nil
			again := f.call("POST", message.PathBundle, encode(test.change))
			is.True(test.status != 200 || again.Body == r.Body) // a retry with the same change id gets the first result
			is.Equal(f.call("GET", message.ChangePath("c1"), nil).Revision, uint64(1))
			is.Equal(f.call("GET", message.ChangePath("c9"), nil).Code, job.CodeRequestNotExist)
		})
	}
	is := is.New(t)
	f := startAPI(t, true)
	is.Equal(f.call("POST", message.PathBundle, strings.NewReader(`{"source":""} x`)).Code, job.CodeBadRequest)
	is.Equal(f.call("POST", message.PathBundle, bytes.NewReader(make([]byte, 20<<20))).Code, job.CodeBodyTooLarge)
	f.storeErr = unavailable
	is.Equal(f.call("GET", message.ChangePath("c1"), nil).Code, job.CodeStoreUnavailable)
	is.Equal(f.call("GET", message.PathStatus, nil).Status, 503)
}

// Guards against orders that are accepted without a valid signature, for another failure domain, or twice.
func TestInvalidOrdersAreRejected(t *testing.T) {
	is := is.New(t)
	f := startAPI(t, true)
	order := func(domain, id string, sequence uint64, seed byte) bundle.SignedOrder {
		return bundle.SignOrder(key(seed), bundle.Order{FailureDomain: domain, State: bundle.OrderOut, Sequence: sequence, ChangeID: id})
	}
	send := func(path string, o bundle.SignedOrder) reply {
		return f.call("POST", message.OrderPath(path), encode(o))
	}
	is.Equal(send("north", order("south", "o1", 1, 3)).Code, job.CodeBadRequest)
	is.Equal(send("north", order("north", "o1", 1, 1)).Code, job.CodeSignatureInvalid)
	forged := order("north", "o1", 1, 3)
	forged.Order.State = bundle.OrderIn
	is.Equal(send("north", forged).Code, job.CodeSignatureInvalid)
	r := send("south", order("south", "o1", 1, 3))
	is.Equal(r.Status, 404)
	is.Equal(r.Code, job.CodeUnknownDomain)
	is.Equal(send("north", order("north", "o1", 0, 3)).Code, job.CodeBadRequest)
	first := send("north", order("north", "o1", 1, 3))
	is.Equal(first.Status, 200)
	is.Equal(first.Revision, uint64(2))
	is.Equal(send("north", order("north", "o1", 1, 3)).Body, first.Body)
	r = send("north", order("north", "o2", 1, 3))
	is.Equal(r.Status, 409)
	is.Equal(r.ChangeID, "o1")
	is.Equal(r.Revision, uint64(2))
	is.Equal(f.call("POST", message.OrderPath("north"), bytes.NewReader(make([]byte, 1<<20))).Status, 413)
}

// Guards against token digests that anyone can read, and against signatures of reads that can be replayed later.
func TestTokenDigestsNeedSignedRead(t *testing.T) {
	is := is.New(t)
	f := startAPI(t, true)
	for _, path := range []string{message.PathConfig, message.PathStatus, message.ChangePath("c1")} {
		body := f.call("GET", path, nil).Body
		is.True(!strings.Contains(body, digest("token-a")) && !strings.Contains(body, `"source"`))
	}
	r := f.call("GET", message.PathConfig, nil)
	is.Equal(r.Domains, []string{"north"})
	is.Equal(r.Revision, uint64(1))
	header := func(seed byte, path string, at time.Time) string {
		return "Authorization: " + bundle.SignRead(key(seed), path, at).String()
	}
	for _, seed := range []byte{1, 2, 3} {
		is.True(len(f.call("GET", message.PathConfig, nil, header(seed, message.PathConfig, now.Add(time.Minute))).Bundle) > 0)
	}
	for _, bad := range []string{
		header(9, message.PathConfig, now), header(4, message.PathConfig, now), header(1, message.PathStatus, now),
		header(1, message.PathConfig, now.Add(-3*time.Minute)), header(1, message.PathConfig, now.Add(3*time.Minute)),
		strings.Replace(header(1, message.PathConfig, now), " "+string(key(1).ID()), " "+string(key(2).ID()), 1),
		"Authorization: Bearer token-a", "Authorization: Signature", "Authorization: Signature a b c", "Authorization: Signature a 1 *",
	} {
		r := f.call("GET", message.PathConfig, nil, bad)
		is.Equal(r.Status, 403)
		is.Equal(r.Code, job.CodeSignatureInvalid)
		is.Equal(len(r.Bundle), 0)
	}
}
