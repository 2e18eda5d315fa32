package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"clementinepier/api"
	"clementinepier/board"
	"clementinepier/config"
	"clementinepier/job"
	"clementinepier/jsonhttp"
	"clementinepier/kvstore"
	"clementinepier/message"
	"clementinepier/metrics"
	"clementinepier/peer"
	"clementinepier/placement"
	"clementinepier/router"
	standinworker "clementinepier/standin/worker"
	"clementinepier/trace"
	"clementinepier/worker"
)

const (
	traceID        = "0af7651916cd43dd8448eb211c80319c"
	checkpointTime = 10 * time.Millisecond
)

// ownRack makes the VM the owner of rack north-1 with one worker and returns its summary. The channel receives a value when
// the lease of a running task is renewed, which the owner does once it has confirmed the start.
func ownRack(t *testing.T, v *VM, document config.Document) (racks []placement.RackSummary, renewed <-chan bool) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	backend := standinworker.New(standinworker.Options{Clock: v.Clock, CheckpointTime: checkpointTime, Info: worker.Info{Name: "w1", Rack: "north-1", Accelerators: 3, Slots: 4}})
	client, running := backend.Client(), make(chan bool, 1)
	renew := client.Renew
	client.Renew = func(ctx context.Context, leases []worker.Lease) ([]worker.Status, error) {
		statuses, err := renew(ctx, leases)
		if len(statuses) > 0 && statuses[0].State == worker.StateRunning {
			select {
			case running <- true:
			default:
			}
		}
		return statuses, err
	}
	v.dispatcher.Workers = func(string) (*worker.Client, bool) { return client, true }
	done, err := v.dispatcher.Run(ctx)
	is.NoErr(err)
	t.Cleanup(func() { cancel(); is.NoErr(<-done) })
	is.NoErr(v.board.Do(ctx, func(s *board.State) {
		is.NoErr(v.mergeConfiguration(s, document))
		s.Freshness.RecordStoreRead(v.Clock.Now(), s.View.Revision())
		s.Workers["w1"] = kvstore.VM{Name: "w1", Rack: "north-1", FailureDomain: "north"}
		s.OwnedRacks["north-1"] = true
		v.dispatcher.SetRacks(s)
		v.dispatcher.SetConfiguration(s)
	}))
	for len(racks) == 0 || racks[0].FreeAccelerators == 0 {
		runtime.Gosched()
		is.NoErr(v.board.Do(ctx, func(s *board.State) { racks = s.Cluster.Summaries() }))
	}
	return racks, running
}

// await advances the clock until a value is received.
func await[T any](t *testing.T, v *VM, clock *clockwork.FakeClock, values <-chan T) T {
	for {
		select {
		case value := <-values:
			return value
		default:
			// Keep the view fresh, however far the clock advances before the other goroutines run.
			err := v.board.Do(context.Background(), func(s *board.State) { s.Freshness.RecordStoreRead(clock.Now(), s.View.Revision()) })
			if err != nil {
				t.Fatal(err)
			}
			clock.Advance(time.Millisecond)
			runtime.Gosched()
		}
	}
}

// Guards against reclaims whose duration is missing from the metrics.
func TestReclaimIsTimed(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClockAt(time.Date(2027, 1, 2, 3, 0, 0, 0, time.UTC))
	p, _ := newPlatform()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	v := newVM(t, "entry-1", p.Store(), clock)
	_, running := ownRack(t, v, config.Document{Bundle: signedBundle(1, 1, "north")})
	owner := ""
	for _, a := range v.anchors.forView(v.view.Load()) {
		if a.Block[0].Position == 0 {
			owner = a.Organisation
		}
	}
	run := func(organisation string, accelerators int, runTime string) <-chan job.Outcome {
		ended := make(chan job.Outcome, 1)
		request := job.Request{
			Organisation: organisation, ID: "r1", Service: "match", Idempotent: true, Timeout: job.Duration(time.Minute),
			Shape: job.Shape{Tasks: 1, Accelerators: accelerators, Slots: 1}, Payload: []byte(`{"run-time":"` + runTime + `"}`),
		}
		go func() {
			// The borrower's call is cancelled at the end of the test. Its outcome then has no result, so it cannot pass for
			// one that the test expects.
			outcome, _ := v.runOnOwnRacks(ctx, request, "digest")
			ended <- outcome
		}()
		return ended
	}
	borrower := run(map[string]string{"a": "b", "b": "a"}[owner], 3, "1h")
	is.True(await(t, v, clock, running))
	is.NoErr(v.board.Do(ctx, func(s *board.State) {
		is.Equal(s.Cluster.Summaries()[0].AnchorUsages, []placement.AnchorUsage{{Organisation: owner, LentAccelerators: 2}})
	}))
	is.Equal(await(t, v, clock, run(owner, 2, "1ms")).Result, job.Done)
	is.Equal(v.Metrics.Get(metrics.ReclaimsEnded), int64(1))
	is.True(v.Metrics.Get(metrics.ReclaimTime) >= checkpointTime.Milliseconds()) // the borrower is checkpointed first
	is.True(len(borrower) == 0)                                                  // it waits for its next run
}

// Guards against steps that are missing from a request's trace: caller, receiver, rack owner, worker calls and answer.
func TestTraceCoversEveryHop(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClockAt(time.Date(2027, 1, 2, 3, 0, 0, 0, time.UTC))
	p, _ := newPlatform()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	receiver, owner := newVM(t, "entry-1", p.Store(), clock), newVM(t, "entry-2", p.Store(), clock)
	// The stubbed call carries what a real one does: the body and the traceparent.
	receiver.router.Call = func(ctx context.Context, _ string, _ peer.Kind, in, out any) error {
		body, err := cbor.Marshal(in)
		if err != nil {
			return err
		}
		reply, err := owner.handleRun(trace.Extract(context.Background(), trace.Inject(ctx)), receiver.self, body)
		if err != nil {
			return err
		}
		if body, err = cbor.Marshal(reply); err != nil {
			return err
		}
		return cbor.Unmarshal(body, out)
	}
	document := config.Document{Bundle: signedBundle(1, 1, "north")}
	is.NoErr(receiver.board.Do(ctx, func(s *board.State) { is.NoErr(receiver.mergeConfiguration(s, document)) }))
	racks, _ := ownRack(t, owner, document)
	receiver.owners.Store(&router.Owners{List: []router.Owner{{VM: "entry-2", FailureDomain: "north", Racks: racks, MayStart: true}}})

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	a := &api.API{
		Clock: clock, Tracer: receiver.Tracer, View: receiver.view.Load, FitsEmptyRack: receiver.fitsEmptyRack, Submit: receiver.submit,
		Draining: receiver.draining.Load, MaxBodySize: 10000, MaxHeaderSize: 10000, MaxConnections: 4,
	}
	a.Serve(listener)
	defer func() { is.NoErr(a.Shutdown(context.Background())) }()
	body := `{"id":"r1","service":"match","idempotent":true,"shape":{"tasks":1,"accelerators":1,"slots":1},"payload":"e30="}`
	request, err := http.NewRequest(http.MethodPost, "http://"+listener.Addr().String()+message.PathRequests, strings.NewReader(body))
	is.NoErr(err)
	request.Close = true
	request.Header.Set("Authorization", "Bearer token-a")
	request.Header.Set(trace.HeaderName, "00-"+traceID+"-b7ad6b7169203331-01")
	replies := make(chan string)
	go func() {
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			replies <- err.Error()
			return
		}
		defer func() { _ = response.Body.Close() }()
		reply, err := io.ReadAll(response.Body)
		replies <- fmt.Sprint(response.StatusCode, string(reply), err)
	}()
	reply := await(t, owner, clock, replies)
	is.True(strings.HasPrefix(reply, "200"))
	is.True(strings.Contains(reply, `"result":"done"`) && strings.Contains(reply, traceID))

	parents, names := map[string]string{}, map[string]bool{}
	for _, v := range []*VM{receiver, owner} {
		exporter, _ := exporters.Load(v)
		for _, span := range exporter.(*tracetest.InMemoryExporter).GetSpans() {
			is.Equal(span.SpanContext.TraceID().String(), traceID)
			parents[span.SpanContext.SpanID().String()] = span.Parent.SpanID().String()
			names[v.self.VM+" "+span.Name] = true
		}
	}
	for _, name := range []string{
		"entry-1 request", "entry-1 route", "entry-1 run", "entry-2 dispatch", "entry-2 worker-hold", "entry-2 worker-start", "entry-2 worker-answer",
	} {
		if !names[name] {
			t.Errorf("no span %q among %v", name, names)
		}
	}
	for span, parent := range parents {
		_, known := parents[parent]
		is.True(known || parent == "b7ad6b7169203331") // every span descends from the caller's
		is.True(span != parent)
	}
}

// Guards against worker calls that do not carry the trace of the request.
func TestWorkerCallsCarryTrace(t *testing.T) {
	is := is.New(t)
	header := ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		header = r.Header.Get(trace.HeaderName)
		_, _ = io.WriteString(w, "{}")
	}))
	defer server.Close()
	caller := jsonhttp.NewCaller(jsonhttp.Options{Address: server.Listener.Addr().String(), MaxConnections: 1, Clock: clockwork.NewFakeClock()})
	const sent = "00-" + traceID + "-b7ad6b7169203331-01"
	_, err := caller.Post(trace.Extract(context.Background(), sent), "/x", time.Second, struct{}{}, &struct{}{})
	is.NoErr(err)
	is.Equal(header, sent)
}
