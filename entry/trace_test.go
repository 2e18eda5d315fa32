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
	"clementinepier/jsonhttp"
	"clementinepier/message"
	"clementinepier/peer"
	"clementinepier/placement"
	"clementinepier/platform"
	"clementinepier/router"
	standinworker "clementinepier/standin/worker"
	"clementinepier/trace"
	"clementinepier/worker"
)

const traceID = "0af7651916cd43dd8448eb211c80319c"

// Guards against hops that a request's trace leaves out: caller, receiver, rack owner, worker calls and answer.
func TestTraceCoversEveryHop(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClockAt(time.Date(2027, 1, 2, 3, 0, 0, 0, time.UTC))
	p, _ := newPlatform()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	receiver, owner := newVM(t, "entry-1", p.Store(), clock), newVM(t, "entry-2", p.Store(), clock)
	// The link between the two carries what a real one carries: the body and the traceparent.
	receiver.router.Call = func(ctx context.Context, _ string, _ peer.Kind, in, out any) error {
		body, err := cbor.Marshal(in)
		if err != nil {
			return err
		}
		reply, err := owner.onRun(trace.Extract(context.Background(), trace.Inject(ctx)), receiver.self, body)
		if err != nil {
			return err
		}
		if body, err = cbor.Marshal(reply); err != nil {
			return err
		}
		return cbor.Unmarshal(body, out)
	}
	backend := standinworker.New(standinworker.Options{Clock: clock, Info: worker.Info{Name: "w1", Rack: "north-1", Accelerators: 3, Slots: 4}})
	owner.dispatcher.Workers = func(string) (*worker.Client, bool) { return backend.Client(), true }
	done, err := owner.dispatcher.Run(ctx)
	is.NoErr(err)
	defer func() { cancel(); is.NoErr(<-done) }()
	document := config.Document{Bundle: signed(1, 1, "north")}
	for _, v := range []*VM{receiver, owner} {
		is.NoErr(v.board.Do(ctx, func(s *board.State) {
			is.NoErr(v.join(s, document))
			s.Freshness.StoreRead(clock.Now(), s.View.Revision())
			if v == owner {
				s.Workers["w1"] = platform.VM{Name: "w1", Rack: "north-1", FailureDomain: "north"}
				s.Owned["north-1"] = true
				v.dispatcher.SetRacks(s)
				v.dispatcher.SetConfiguration(s)
			}
		}))
	}
	var racks []placement.RackSummary
	for len(racks) == 0 || racks[0].FreeAccelerators == 0 {
		runtime.Gosched()
		is.NoErr(owner.board.Do(ctx, func(s *board.State) { racks = s.Cluster.Summaries() }))
	}
	receiver.owners.Store(&router.Owners{List: []router.Owner{{VM: "entry-2", FailureDomain: "north", Racks: racks, Usable: true}}})

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	a := &api.API{
		Clock: clock, Tracer: receiver.Tracer, View: receiver.view.Load, EverFits: receiver.everFits, Submit: receiver.submit,
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
	reply := ""
	for reply == "" {
		select {
		case reply = <-replies:
		default:
			// The view stays fresh however far the clock gets before the goroutines run.
			is.NoErr(owner.board.Do(ctx, func(s *board.State) { s.Freshness.StoreRead(clock.Now(), s.View.Revision()) }))
			clock.Advance(time.Millisecond)
			runtime.Gosched()
		}
	}
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
		is.True(known || parent == "b7ad6b7169203331") // every span hangs below the caller's
		is.True(span != parent)
	}
}

// Guards against worker calls that a worker cannot match to the request's trace.
func TestCallsCarryTrace(t *testing.T) {
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
