package backlog_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"clementinepier/backlog"
	"clementinepier/job"
	platformapi "clementinepier/kvstore"
	"clementinepier/standin/fault"
	"clementinepier/standin/platform"
)

var ctx = context.Background()

var deadline = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func record(id string, at time.Time) backlog.Record {
	return backlog.Record{
		Request: job.Request{Organisation: "org", ID: id, Payload: []byte("payload of " + id)}, Digest: "digest of " + id, Deadline: at,
	}
}

func newJournals() (store *platform.Platform, a, b *backlog.Journal) {
	store = platform.New(platform.Options{Clock: clockwork.NewFakeClockAt(deadline)})
	return store, &backlog.Journal{Store: store.Store(), Receiver: "a"}, &backlog.Journal{Store: store.Store(), Receiver: "b"}
}

func ids(records []backlog.Record) string {
	text := ""
	for _, r := range records {
		text += r.Request.ID + " " + r.Deadline.Sub(deadline).String() + ";"
	}
	return text
}

// Guards against a record that is lost, changed, or taken over by two receivers when its own receiver fails.
func TestTakeOverMovesRecordsOnce(t *testing.T) {
	is := is.New(t)
	store, a, b := newJournals()
	c := &backlog.Journal{Store: store.Store(), Receiver: "c"}
	for _, id := range []string{"q1", "q2"} {
		is.NoErr(a.Add(ctx, record(id, deadline)))
	}
	other := &backlog.Journal{Store: store.Store(), Receiver: "a2"} // a receiver name that has another one as its prefix
	is.NoErr(other.Add(ctx, record("q3", deadline)))
	names, err := b.Receivers(ctx)
	is.NoErr(err)
	is.Equal(names, []string{"a", "a2"})
	taken, err := b.TakeOver(ctx, "a")
	is.NoErr(err)
	is.Equal(ids(taken), "q1 0s;q2 0s;")
	is.Equal(string(taken[0].Request.Payload), "payload of q1")
	is.Equal(taken[0].Digest, "digest of q1")
	taken, err = c.TakeOver(ctx, "a")
	is.NoErr(err)
	is.Equal(len(taken), 0)
	taken, err = c.TakeOver(ctx, "b") // b is lost too
	is.NoErr(err)
	is.Equal(ids(taken), "q1 0s;q2 0s;")
	taken, err = c.TakeOver(ctx, "c") // c restarts
	is.NoErr(err)
	is.Equal(ids(taken), "q1 0s;q2 0s;")
	is.NoErr(c.Remove(ctx, taken[0].Request.Key(), taken[0].Deadline))
	is.NoErr(c.Remove(ctx, taken[0].Request.Key(), taken[0].Deadline))
	taken, err = c.TakeOver(ctx, "c")
	is.NoErr(err)
	is.Equal(ids(taken), "q2 0s;")
}

// Guards against a record that is in neither journal after a store call of the takeover has failed or its reply was lost.
func TestTakeOverKeepsRecordsWhenStoreFails(t *testing.T) {
	for _, f := range []fault.Faults{
		{Down: true},
		{LoseReplies: true, Calls: []string{"compare-and-swap"}},
		{Down: true, Calls: []string{"compare-and-swap"}},
		{Down: true, Calls: []string{"delete"}},
		{LoseReplies: true, Calls: []string{"delete"}},
	} {
		is := is.New(t)
		store, a, b := newJournals()
		is.NoErr(a.Add(ctx, record("q", deadline)))
		store.SetFaults(f)
		_, _ = b.TakeOver(ctx, "a")
		store.SetFaults(fault.Faults{})
		fromA, err := b.TakeOver(ctx, "a")
		is.NoErr(err)
		own, err := b.TakeOver(ctx, "b")
		is.NoErr(err)
		is.Equal(ids(own), "q 0s;") // the record is stored under its new receiver
		is.True(len(fromA) <= 1)
		left, err := b.TakeOver(ctx, "a")
		is.NoErr(err)
		is.Equal(len(left), 0)
	}
}

// Guards against a request that counts as stored although the journal only has an earlier one with the same id, whose
// deadline has passed, and against the removal of the later record by the end of the earlier request.
func TestReusedIDKeepsLaterRecord(t *testing.T) {
	is := is.New(t)
	_, a, b := newJournals()
	later := deadline.Add(time.Minute)
	is.NoErr(a.Add(ctx, record("q", deadline)))
	is.NoErr(a.Add(ctx, record("q", later)))
	is.NoErr(a.Add(ctx, record("q", deadline))) // a delayed write of the earlier request
	is.NoErr(a.Remove(ctx, record("q", later).Request.Key(), deadline))
	taken, err := b.TakeOver(ctx, "a")
	is.NoErr(err)
	is.Equal(ids(taken), "q 1m0s;")
}

// Guards against a write that is reported as done although its reply was lost, and against an undecodable record that
// keeps the other records from being taken over.
func TestLostReplyAndUndecodableRecord(t *testing.T) {
	is := is.New(t)
	store, a, b := newJournals()
	store.SetFaults(fault.Faults{LoseReplies: true})
	is.True(a.Add(ctx, record("q", deadline)) != nil)
	store.SetFaults(fault.Faults{})
	is.NoErr(a.Add(ctx, record("q", deadline)))
	_, err := store.Store().CompareAndSwap(ctx, "requests/a/org/bad", []byte{0xff}, 0)
	is.NoErr(err)
	taken, err := b.TakeOver(ctx, "a")
	is.True(err != nil)
	is.Equal(ids(taken), "q 0s;")
	large := record("large", deadline)
	large.Request.Payload = make([]byte, platformapi.MaxValueSize)
	is.True(backlog.IsErrTooLarge(a.Add(ctx, large)))
}
