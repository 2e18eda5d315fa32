package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"clementinepier/api"
	"clementinepier/board"
	"clementinepier/bundle"
	"clementinepier/config"
	"clementinepier/kvstore"
	"clementinepier/message"
	"clementinepier/metrics"
	"clementinepier/settings"
	"clementinepier/standin/fault"
	standin "clementinepier/standin/platform"
	"clementinepier/trace"
)

// advancingClock advances by the full duration at each call of After, so that waits end immediately.
type advancingClock struct{ *clockwork.FakeClock }

func (c advancingClock) After(d time.Duration) <-chan time.Time {
	after := c.FakeClock.After(d)
	c.Advance(d)
	return after
}

func key(seed byte) *bundle.PrivateKey {
	k, err := bundle.GenerateKey(bytes.NewReader(bytes.Repeat([]byte{seed}, 32)))
	if err != nil {
		panic(err)
	}
	return k
}

// exporters maps each *VM to its *tracetest.InMemoryExporter.
var exporters sync.Map

// newVM returns an entry VM whose control goroutine is running, but not its listeners and background loops.
func newVM(t *testing.T, name string, store kvstore.Store, clock clockwork.Clock) *VM {
	source := fmt.Sprintf(`name = %q
failure-domain = "north"
callers-address = "127.0.0.1:1"
peers-address = "127.0.0.1:2"
platform-address = "127.0.0.1:3"
[keys]
trusted-files = ["1", "2", "3"]
[peers]
secrets = ["0123456789abcdef0123456789abcdef"]
`, name)
	s, err := settings.Parse([]byte(source), settings.Files{PublicKey: func(path string) (bundle.TrustedKey, error) {
		seed := path[len(path)-1] - '0'
		return key(seed).Trusted([]bundle.Role{bundle.RoleAuthor, bundle.RoleReviewer, bundle.RoleOperator}[seed-1]), nil
	}})
	if err != nil {
		t.Fatal(err)
	}
	spans := tracetest.NewInMemoryExporter()
	v := &VM{Settings: s, Clock: clock, Store: store, Metrics: &metrics.Set{}, Tracer: trace.NewWithExporter(name, spans)}
	if err := v.build(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := v.board.Run(ctx)
	exporters.Store(v, spans)
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return v
}

// signedBundle returns a bundle with count guarantees of two accelerators on one worker for each of two organisations.
func signedBundle(revision, count int, domains ...string) bundle.Signed {
	source := fmt.Sprintf("revision = %d\n", revision)
	for _, organisation := range []string{"a", "b"} {
		source += fmt.Sprintf(`[[organisations]]
name = %q
token-digest = "%x"
weight = 1
[[organisations.guarantees]]
name = "g"
count = %d
shape = { tasks = 1, accelerators = 2, slots = 1 }
`, organisation, sha256.Sum256([]byte("token-"+organisation)), count)
	}
	source += `[[services]]
name = "match"
default-timeout = "30s"
max-timeout = "1m"
max-payload = 1000
`
	for _, d := range domains {
		source += fmt.Sprintf("[[failure-domains]]\nname = %q\nregion = \"r\"\n[[failure-domains.racks]]\nname = \"%s-1\"\nworkers = 3\nslots = 4\naccelerators = 3\n", d, d)
	}
	s := bundle.Signed{Source: []byte(source)}
	s.Author, s.Reviewer = bundle.SignAuthor(key(1), s.Source), bundle.SignReviewer(key(2), s.Source)
	return s
}

func newBundleChange(id string, revision int) message.BundleChange {
	return message.BundleChange{Signed: signedBundle(revision, 1, "north"), ChangeID: id}
}

func newOrder(id string, state bundle.OrderState, sequence uint64) bundle.SignedOrder {
	return bundle.SignOrder(key(3), bundle.Order{FailureDomain: "north", State: state, Sequence: sequence, ChangeID: id})
}

func newPlatform() (*standin.Platform, clockwork.Clock) {
	clock := advancingClock{clockwork.NewFakeClockAt(time.Date(2027, 1, 2, 3, 0, 0, 0, time.UTC))}
	return standin.New(standin.Options{Clock: clock}), clock
}

// Guards against a change that is made twice, or reported as failed, if the answer of its compare-and-swap is lost.
func TestChangeIsMadeOnceIfAnswerIsLost(t *testing.T) {
	is := is.New(t)
	p, clock := newPlatform()
	store := p.Store()
	swap, writes := store.CompareAndSwap, 0
	store.CompareAndSwap = func(ctx context.Context, key string, value []byte, version uint64) (uint64, error) {
		if writes++; writes%2 == 1 {
			p.SetFaults(fault.Faults{LoseReplies: true, Calls: []string{"compare-and-swap"}})
			defer p.SetFaults(fault.Faults{})
		}
		return swap(ctx, key, value, version)
	}
	v := newVM(t, "entry-1", store, clock)
	ctx := context.Background()
	accepted, err := v.roll(ctx, newBundleChange("c1", 1))
	is.NoErr(err)
	is.Equal(accepted, message.Accepted{ChangeID: "c1", Revision: 1})
	is.Equal(writes, 1)
	again, err := v.roll(ctx, newBundleChange("c1", 1))
	is.NoErr(err)
	is.Equal(again, accepted)
	writes = 0
	accepted, err = v.order(ctx, newOrder("o1", bundle.OrderOut, 1))
	is.NoErr(err)
	is.Equal(accepted.Revision, uint64(2))
	is.Equal(writes, 1)
}

// Guards against accepting the conflicting changes of two operators, and against a conflict error that does not name the
// change that was accepted.
func TestConcurrentChangesConflict(t *testing.T) {
	is := is.New(t)
	p, clock := newPlatform()
	ctx := context.Background()
	first := newVM(t, "entry-1", p.Store(), clock)
	store, raced := p.Store(), false
	get := store.Get
	store.Get = func(ctx context.Context, key string) (kvstore.Entry, error) {
		entry, err := get(ctx, key)
		if !raced && key == headKey {
			// The other operator's change is accepted between this one's read and its write.
			raced = true
			_, err := first.roll(ctx, newBundleChange("c1", 1))
			is.NoErr(err)
		}
		return entry, err
	}
	second := newVM(t, "entry-2", store, clock)
	_, err := second.roll(ctx, newBundleChange("c2", 1))
	var conflict *config.ErrRevisionConflict
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Winner.ChangeID, "c1")
	is.Equal(conflict.Winner.Revision, uint64(1))
	raced = false
	_, err = first.order(ctx, newOrder("o1", bundle.OrderOut, 1))
	is.NoErr(err)
	raced = true
	_, err = second.order(ctx, newOrder("o2", bundle.OrderOut, 1))
	is.True(config.IsErrRevisionConflict(err))
	_, err = second.order(ctx, newOrder("o2", bundle.OrderIn, 2))
	is.NoErr(err)
	is.True(!second.view.Load().IsOutOfService("north"))
	// The first VM has not read the store since; only a document that was read changes a view.
	is.True(first.view.Load().IsOutOfService("north"))
}

// Guards against changes that are reported as accepted, or as permanently rejected, while the store is unavailable.
func TestChangeFailsIfStoreIsUnavailable(t *testing.T) {
	is := is.New(t)
	p, clock := newPlatform()
	ctx := context.Background()
	v := newVM(t, "entry-1", p.Store(), clock)
	p.SetFaults(fault.Faults{Down: true})
	_, err := v.roll(ctx, newBundleChange("c1", 1))
	is.True(kvstore.IsErrUnavailable(err))
	_, err = v.changeProgress(ctx, "c1")
	is.True(kvstore.IsErrUnavailable(err))
	is.True(v.view.Load().Bundle() == nil)
	p.SetFaults(fault.Faults{})
	_, err = v.changeProgress(ctx, "c1")
	is.True(api.IsErrChangeNotExist(err))
	_, err = v.roll(ctx, newBundleChange("c1", 1))
	is.NoErr(err)
	// A truncated value must neither be treated as an empty configuration nor be overwritten.
	head, err := p.Store().Get(ctx, headKey)
	is.NoErr(err)
	_, err = p.Store().CompareAndSwap(ctx, headKey, head.Value[:len(head.Value)/2], head.Version)
	is.NoErr(err)
	_, err = v.order(ctx, newOrder("o1", bundle.OrderOut, 1))
	is.True(config.IsErrInvalidDocument(err))
	_, err = v.changeProgress(ctx, "c1")
	is.True(config.IsErrInvalidDocument(err)) // reporting that it does not exist would make the operator roll it again
	is.Equal(v.view.Load().Revision().Sum(), uint64(1))
}

// Guards against accepting bundles whose guarantees do not all fit into the racks at the same time.
func TestRollRejectsGuaranteesWithoutAnchors(t *testing.T) {
	is := is.New(t)
	p, clock := newPlatform()
	v := newVM(t, "entry-1", p.Store(), clock)
	// Four instances of 2 accelerators need fewer than the 9 of three workers, and those of one organisation alone would
	// fit, but a worker has capacity for only one instance.
	_, err := v.roll(context.Background(), message.BundleChange{Signed: signedBundle(1, 2, "north"), ChangeID: "c1"})
	var invalid *bundle.ErrBundleInvalid
	is.True(errors.As(err, &invalid))
	is.Equal(len(invalid.Faults), 1)
	is.Equal(invalid.Faults[0].Key, "guarantee b/g")
	is.True(strings.HasPrefix(invalid.Faults[0].Reason, "1 instances"))
	_, err = v.roll(context.Background(), message.BundleChange{Signed: signedBundle(1, 2, "north", "south"), ChangeID: "c1"})
	is.NoErr(err)
}

// Guards against reporting a change as in force before every registered entry VM has confirmed it.
func TestChangeIsInForceOnceAllVMsConfirm(t *testing.T) {
	is := is.New(t)
	p, clock := newPlatform()
	ctx := context.Background()
	v := newVM(t, "entry-1", p.Store(), clock)
	for _, name := range []string{"entry-1", "entry-2"} {
		_, err := p.Store().CompareAndSwap(ctx, registrationPrefix+"north/"+name, []byte("{}"), 0)
		is.NoErr(err)
	}
	_, err := v.roll(ctx, newBundleChange("c1", 1))
	is.NoErr(err)
	change, err := v.changeProgress(ctx, "c1")
	is.NoErr(err)
	is.True(!change.Acknowledged && !change.InForceEverywhere)
	is.Equal(change.FailureDomains["north"].Confirmed, []string{"entry-1"})
	is.Equal(change.FailureDomains["north"].Missing[0].Name, "entry-2")
	is.NoErr(v.board.Do(ctx, func(s *board.State) { s.Reports["entry-2"] = board.Report{Revision: s.View.Revision()} }))
	change, err = v.changeProgress(ctx, "c1")
	is.NoErr(err)
	is.True(change.Acknowledged && change.InForceEverywhere)
	_, err = v.changeProgress(ctx, "c9")
	is.True(api.IsErrChangeNotExist(err))
	_, err = v.order(ctx, newOrder("o1", "sideways", 1))
	is.True(bundle.IsErrOrderInvalid(err))
	proof := bundle.SignRead(key(1), message.PathConfig, clock.Now())
	is.NoErr(v.verifyRead(message.PathConfig, proof.String()))
	is.True(bundle.IsErrReadRefused(v.verifyRead(message.PathConfig, "Bearer x")))
}
