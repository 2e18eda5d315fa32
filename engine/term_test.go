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

// Guards against a planner that loses its term because the store loses answers: it was deposed four times in ten seconds when a third
// of them was lost, and each time no job was accepted until the next one planned.
func TestTermOutlivesLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, clock := site.NewStore().Engine(), clockwork.NewRealClock()
		keeps, keep := 0, store.RenewLease
		store.RenewLease = func(ctx context.Context, lease int64) error {
			keeps++
			lost := keeps%3 != 0
			err := keep(ctx, lease)
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

// Guards against a term that an answer brings back to life which arrives after the term was given up.
func TestTermThatWasGivenUpStaysSo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		stand := site.NewStore()
		stand.KeepDelay = 300 * time.Millisecond
		term, err := engine.Claim(context.Background(), stand.Engine(), clockwork.NewRealClock(), engine.Holder{VM: "a"}, engine.TermLength)
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
