package engine_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"clementinepier/engine"
	"clementinepier/standin/site"
)

// Guards against a planner that loses its term because responses of the store are lost. When a third of them was lost, the
// term ended four times in ten seconds, and each time no job was accepted until there was a new planner. The test loses two
// thirds.
func TestTermSurvivesLostRenewalResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, clock := site.NewStore().Engine(), clockwork.NewRealClock()
		renewals, renew := 0, store.RenewLease
		store.RenewLease = func(ctx context.Context, lease int64) error {
			renewals++
			lost := renewals%3 != 0
			err := renew(ctx, lease)
			if lost {
				<-ctx.Done()
				return &engine.ErrUnanswered{Cause: ctx.Err()}
			}
			return err
		}
		term, err := engine.Claim(context.Background(), store, clock, engine.Holder{VM: "a"}, engine.TermLength)
		is.NoErr(err)
		ctx, cancel := context.WithCancel(context.Background())
		ended := term.Run(ctx, nil, func() bool { return false })
		time.Sleep(20 * time.Second)
		is.NoErr(term.Err())
		cancel()
		is.NoErr(<-ended)
	})
}

// Guards against a renewal that extends the term again because its response arrives after the term was ended.
func TestReleasedTermStaysEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := site.NewStore()
		store.RenewalDelay = 300 * time.Millisecond
		term, err := engine.Claim(context.Background(), store.Engine(), clockwork.NewRealClock(), engine.Holder{VM: "a"}, engine.TermLength)
		is.NoErr(err)
		ended := term.Run(context.Background(), nil, func() bool { return false })
		time.Sleep(2 * time.Second)
		is.NoErr(term.Err())
		is.NoErr(term.End(context.Background()))
		until := term.Until()
		is.True(<-ended != nil)
		is.True(term.Err() != nil)
		is.Equal(term.Until(), until)
	})
}
