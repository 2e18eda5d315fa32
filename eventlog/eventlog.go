// Package eventlog writes one structured log line per decision. Each kind of line has its own rate limit, and a reader that
// stops consuming the log never blocks the process.
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
	// DefaultBudget is the default rate limit for one kind of line, in lines per second.
	DefaultBudget = 100
	// burstFactor is the burst size of the rate limit, in seconds' worth of lines.
	burstFactor = 5
	// summaryInterval is the minimum interval between lines that report how many lines were omitted.
	summaryInterval = 5 * time.Second
	// maxQueuedLines bounds the number of lines that Writer buffers, and so their memory.
	maxQueuedLines = 2048
)

// Log writes rate-limited event lines. Set the exported fields before the first call of Event. A nil Log writes nothing.
type Log struct {
	Clock clockwork.Clock
	// Budget is the rate limit for each kind of line, in lines per second; 0 means DefaultBudget.
	Budget int

	mu          sync.Mutex
	kinds       map[string]*kind
	lastSummary time.Time
}

type kind struct {
	limiter *rate.Limiter
	omitted int
}

// Event writes a line of the given kind with alternating keys and values, unless its rate limit is exceeded.
func (l *Log) Event(name string, keysAndValues ...any) {
	if l == nil || !l.admit(name) {
		return
	}
	klog.InfoSDepth(1, name, keysAndValues...)
}

// admit reports whether the rate limit of the kind allows another line, and counts the line as omitted if not.
func (l *Log) admit(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	if l.kinds == nil {
		l.kinds, l.lastSummary = map[string]*kind{}, now
	}
	if now.Sub(l.lastSummary) >= summaryInterval {
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

// summarize writes how many lines of each kind were omitted since the last summary.
func (l *Log) summarize(now time.Time) {
	l.lastSummary = now
	for name, k := range l.kinds {
		if k.omitted > 0 {
			klog.InfoS("lines-omitted", "kind", name, "lines", k.omitted)
			k.omitted = 0
		}
	}
}

// Writer forwards lines to another writer from its own goroutine. When its buffer is full, it drops new lines and counts
// them.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	closing chan struct{}
	once    sync.Once
}

// NewWriter returns a Writer that forwards to out and starts its goroutine, which runs until Close is called.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}), closing: make(chan struct{})}
	go w.run(out)
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close stops the goroutine and waits at most the given time for the buffered lines to be written.
func (w *Writer) Close(timeout time.Duration) {
	w.once.Do(func() { close(w.closing) })
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			// A write error is ignored: the log is the only place where it could be reported.
			_, _ = out.Write(line)
			continue
		default:
		}
		select {
		case line := <-w.lines:
			_, _ = out.Write(line)
		case <-w.closing:
			if len(w.lines) == 0 {
				return
			}
		}
	}
}
