// Package eventlog writes one structured line for each decision, within a budget for each kind of line, and never waits
// for a reader that has stopped reading.
package eventlog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

const (
	// DefaultBudget is how many lines of one kind are written in a second, on average.
	DefaultBudget = 100
	// burstFactor lets a kind use the budget of several seconds at once.
	burstFactor = 5
	// summaryInterval is how often lines that were left out are counted in a line of their own.
	summaryInterval = 5 * time.Second
	// queuedLines bounds the memory of lines that wait for the reader.
	queuedLines = 2048
)

// Log writes decision lines. Set the exported fields before the first line. A nil Log writes nothing.
type Log struct {
	Clock clockwork.Clock
	// Budget is the number of lines of one kind in a second; 0 means DefaultBudget.
	Budget int

	mu       sync.Mutex
	kinds    map[string]*kind
	reported time.Time
}

type kind struct {
	limiter *rate.Limiter
	omitted int
}

// Event writes a line of the given kind with alternating keys and values.
func (l *Log) Event(name string, keysAndValues ...any) {
	if l == nil || !l.admit(name) {
		return
	}
	klog.InfoSDepth(1, name, keysAndValues...)
}

// admit takes one line from the budget of the kind.
func (l *Log) admit(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	if l.kinds == nil {
		l.kinds, l.reported = map[string]*kind{}, now
	}
	if now.Sub(l.reported) >= summaryInterval {
		l.summarize(now)
	}
	k, ok := l.kinds[name]
	if !ok {
		budget := l.Budget
		if budget == 0 {
			budget = DefaultBudget
		}
		k = &kind{limiter: rate.NewLimiter(rate.Limit(budget), budget*burstFactor)}
		l.kinds[name] = k
	}
	if !k.limiter.AllowN(now, 1) {
		k.omitted++
		return false
	}
	return true
}

// summarize writes how many lines of each kind were left out.
func (l *Log) summarize(now time.Time) {
	l.reported = now
	for name, k := range l.kinds {
		if k.omitted > 0 {
			klog.InfoS("lines-omitted", "kind", name, "lines", k.omitted)
			k.omitted = 0
		}
	}
}

// Writer passes lines to another writer from a goroutine of its own. When too many lines wait, it drops new ones and
// counts them.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	closing chan struct{}
	once    sync.Once
}

// NewWriter starts the goroutine. Close ends it.
func NewWriter(w io.Writer) *Writer {
	a := &Writer{lines: make(chan []byte, queuedLines), done: make(chan struct{}), closing: make(chan struct{})}
	go a.run(w)
	return a
}

// Write implements io.Writer. It never blocks and never fails.
func (a *Writer) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (a *Writer) Dropped() int64 { return a.dropped.Load() }

// Close writes what waits, for at most the given time.
func (a *Writer) Close(limit time.Duration) {
	a.once.Do(func() { close(a.closing) })
	select {
	case <-a.done:
	case <-time.After(limit):
	}
}

func (a *Writer) run(w io.Writer) {
	defer close(a.done)
	for {
		select {
		case line := <-a.lines:
			// The log is the only place to report errors, so a failing writer can only be ignored.
			_, _ = w.Write(line)
			continue
		default:
		}
		select {
		case line := <-a.lines:
			_, _ = w.Write(line)
		case <-a.closing:
			if len(a.lines) == 0 {
				return
			}
		}
	}
}
