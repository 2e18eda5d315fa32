package ingress

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// caller is an account of a test, and whether it had to give way.
type caller struct {
	*Account
	gone bool
}

func open(t *testing.T, b *Budget, now time.Time) *caller {
	t.Helper()
	c, err := tryOpen(b, now)
	is.New(t).NoErr(err)
	return c
}

func tryOpen(b *Budget, now time.Time) (*caller, error) {
	c := &caller{}
	var err error
	c.Account, err = b.Open(now, func() { c.gone = true })
	return c, err
}

// Guards against connections without requests, or with requests that never end, that keep others out.
func TestNewConnectionReplacesIdleAndUnfinishedOnes(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := &Budget{Connections: 3, Memory: 1}
	serving, idle, unfinished := open(t, b, now), open(t, b, now), open(t, b, now)
	is.NoErr(serving.Serve(now))
	unfinished.Receive(now)
	now = now.Add(requestPatience / 2)
	first := open(t, b, now)
	is.True(idle.gone && !unfinished.gone) // the request may be that of an ordinary caller
	now = now.Add(requestPatience)
	second := open(t, b, now)
	is.True(unfinished.gone && !first.gone)
	is.Equal(ReasonOf(unfinished.Serve(now)), ReasonSlow)
	for _, c := range []*caller{first, second} {
		is.NoErr(c.Serve(now))
	}
	_, err := tryOpen(b, now)
	is.Equal(ReasonOf(err), ReasonConnections)
	is.True(!serving.gone && !first.gone && !second.gone)
	first.Rest(now)
	open(t, b, now)
	is.True(first.gone)
	second.Reply(now)
	now = now.Add(requestPatience + 1)
	open(t, b, now)
	is.True(second.gone) // its caller does not read the reply
}

// Guards against large bodies that stop short of their end and keep the memory from others.
func TestRequestReplacesUnfinishedOnes(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := &Budget{Connections: 10, Memory: 100}
	older, younger, request := open(t, b, now), open(t, b, now), open(t, b, now)
	older.Receive(now)
	is.NoErr(older.Grow(60, now))
	now = now.Add(requestPatience / 2)
	younger.Receive(now)
	is.NoErr(younger.Grow(40, now))
	request.Receive(now)
	is.Equal(ReasonOf(request.Grow(1, now)), ReasonMemory)
	now = now.Add(requestPatience/2 + 1)
	is.Equal(request.Grow(50, now), errPending)
	is.True(older.gone && !younger.gone)
	is.Equal(ReasonOf(older.Grow(1, now)), ReasonSlow)
	is.Equal(request.Grow(50, now), errPending) // the older one is not closed yet
	older.Shrink(10)
	older.Close()
	older.Close()
	is.NoErr(request.Grow(50, now))
	connections, memory := b.Held()
	is.Equal(connections, 2)
	is.Equal(memory, int64(90))
	now = now.Add(2 * requestPatience)
	is.Equal(ReasonOf(request.Grow(61, now)), ReasonMemory) // does not replace itself
}

// Guards against a default that ordinary callers meet: several hundred connections, and a body of the largest size that the users'
// configurations allow, also once it is decoded.
func TestBudgetOfSmallestMachine(t *testing.T) {
	is := is.New(t)
	b := NewBudget(144<<20, 3075-200-1998)
	is.True(b.Connections >= 400)
	is.True(b.Memory >= 40*262_144)
	is.True(int64(b.Connections)*connectionMemory+b.Memory <= 144<<20/4)
	tiny := NewBudget(1, -10)
	is.Equal(tiny.Connections, minConnections)
	is.Equal(tiny.Memory, int64(minMemory))
}

// Guards against a budget that is exceeded, or not given back, after any order of events.
func TestBudgetHoldsForRandomCallers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &Budget{Connections: 5, Memory: 100}
		now := time.Unix(1000, 0)
		var callers []*caller
		draw := func(t *rapid.T) *caller {
			if len(callers) == 0 {
				t.Skip("no callers")
			}
			return rapid.SampledFrom(callers).Draw(t, "caller")
		}
		serving := map[*caller]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				if c, err := tryOpen(b, now); err == nil {
					callers = append(callers, c)
				}
			},
			"receive": func(t *rapid.T) { draw(t).Receive(now) },
			"serve": func(t *rapid.T) {
				if c := draw(t); c.Serve(now) == nil && c.state == stateServing {
					serving[c] = true
				}
			},
			"reply":  func(t *rapid.T) { c := draw(t); c.Reply(now); delete(serving, c) },
			"rest":   func(t *rapid.T) { c := draw(t); c.Rest(now); delete(serving, c) },
			"close":  func(t *rapid.T) { c := draw(t); c.Close(); delete(serving, c) },
			"grow":   func(t *rapid.T) { _ = draw(t).Grow(int64(rapid.IntRange(0, 60).Draw(t, "bytes")), now) },
			"shrink": func(t *rapid.T) { draw(t).Shrink(int64(rapid.IntRange(0, 60).Draw(t, "bytes"))) },
			"wait":   func(*rapid.T) { now = now.Add(400 * time.Millisecond) },
			"": func(t *rapid.T) {
				connections, memory := b.Held()
				var opened int
				var held, closing int64
				for _, c := range callers {
					if c.state != stateClosed && c.state != stateClosing {
						opened++
					}
					held += c.held
					if c.state == stateClosing {
						closing += c.held
					}
					if c.gone && serving[c] {
						t.Fatal("a request that is carried out has given way")
					}
				}
				if opened != connections || held != memory || closing != b.closing || connections > b.Connections || memory > b.Memory || memory < 0 {
					t.Fatalf("%d connections of %d, %d bytes of %d", connections, opened, memory, held)
				}
			},
		})
	})
}
