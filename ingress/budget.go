// Package ingress bounds what callers may hold of a process: its memory and its descriptors, over all connections together.
//
// Budget decides without input and output which connection is admitted, which request may grow and which one gives way. Conn and
// Transport apply it to the connections of the HTTP server for callers.
package ingress

import (
	"container/list"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"clementinepier/metrics"
)

// Reason names why a caller was refused, or why its connection was closed.
type Reason string

// The reasons, which are also the ends of the names of counters.
const (
	// ReasonConnections means that a new connection was closed because no open one could give way.
	ReasonConnections Reason = "connections"
	// ReasonIdle means that a connection without a request gave way to a new one.
	ReasonIdle Reason = "idle"
	// ReasonSlow means that an unfinished request, or a reply that was not read, gave way to another connection or request.
	ReasonSlow Reason = "slow"
	// ReasonMemory means that a request did not fit into the memory for callers.
	ReasonMemory Reason = "memory"
	// ReasonTimeout means that a request was not complete within its time.
	ReasonTimeout Reason = "timeout"
	// ReasonBroken means that the caller closed its connection before its request was complete.
	ReasonBroken  Reason = "broken"
	ReasonHeader  Reason = "header-too-large"
	ReasonBody    Reason = "body-too-large"
	ReasonTrailer Reason = "trailer-too-large"
	// ReasonMalformed means that the bytes are no HTTP request.
	ReasonMalformed Reason = "malformed"
	// ReasonPanic means that the server panicked while it read the request, which the handler has not got.
	ReasonPanic Reason = "panic"
)

// Counter returns the name of the counter of callers that were refused for this reason.
func (r Reason) Counter() metrics.Name { return metrics.Name("callers-refused-" + string(r)) }

// ErrRefused means that a request was refused, or that a body which is not used was not read whole. If Body, GrowDecoded or Serve returns
// it, nothing of the request has been carried out.
type ErrRefused struct{ Reason Reason }

// Error implements error.
func (e *ErrRefused) Error() string { return fmt.Sprintf("request refused: %s", e.Reason) }

// ReasonOf returns the reason of an ErrRefused, or "" for any other error.
func ReasonOf(err error) Reason {
	var refused *ErrRefused
	if errors.As(err, &refused) {
		return refused.Reason
	}
	return ""
}

const (
	// connectionMemory is the memory in bytes that each open connection is counted with: its goroutine's stack, the server's context,
	// both buffers, a request of at most smallRequest, and bytes that the kernel has received.
	connectionMemory = 48 << 10
	// smallRequest is the size in bytes up to which the body of a request, and the job decoded from it, belong to connectionMemory.
	smallRequest = 8 << 10
	// memoryShare is the part of the process's memory that callers may hold. The garbage collector lets the heap grow to about twice
	// of what is held, and the rest belongs to the planner.
	memoryShare = 0.25
	// connectionsShare is the part of the callers' memory that their connections may take, without large requests.
	connectionsShare = 0.6
	// descriptorShare is the part of the free descriptors that callers may have. The rest is for the store, other entry VMs, and
	// connections to workers beyond the idle ones.
	descriptorShare = 0.6
	// minConnections and minMemory, in bytes, are granted on machines that are too small to derive a bound. The memory fits the largest
	// body and the job decoded from it.
	minConnections = 16
	minMemory      = 8 << 20
	// requestPatience is how long a request may be unfinished before it gives way to others. A request of an ordinary caller arrives
	// within a few round trips.
	requestPatience = time.Second
)

// Budget is what callers may hold of a process. Set the exported fields before the first call of Open.
type Budget struct {
	// Connections bounds the open connections.
	Connections int
	// Memory bounds the bytes that requests hold beyond what each connection is counted with.
	Memory int64

	mu   sync.Mutex
	open int
	// held is what all accounts hold, of which closing belongs to those that have to be closed and are not yet.
	held, closing int64
	// idle and unfinished have the accounts in these states, the one that has been in it for longest first.
	idle, unfinished list.List
}

// NewBudget returns the budget for a process with the given memory in bytes and the given number of descriptors that are in no
// other use.
func NewBudget(memory int64, descriptors int) *Budget {
	total := memoryShare * float64(memory)
	connections := min(int(descriptorShare*float64(descriptors)), int(connectionsShare*total/connectionMemory))
	connections = max(minConnections, connections)
	return &Budget{Connections: connections, Memory: max(minMemory, int64(total)-int64(connections)*connectionMemory)}
}

// state is what the connection of an account does.
type state int

const (
	// stateIdle is a connection without a request.
	stateIdle state = iota
	// stateUnfinished is a connection whose request has begun to arrive and is not whole, or whose reply is not sent whole.
	stateUnfinished
	// stateServing is a connection whose request is carried out, or may have been. It never gives way.
	stateServing
	// stateClosing is a connection that has to be closed in favour of another one. It holds its memory until it is.
	stateClosing
	stateClosed
)

// Account is what one connection holds of the budget.
type Account struct {
	budget *Budget
	// giveWay is called when the connection has to be closed in favour of another one. It must not block.
	giveWay func()
	state   state
	// since is when the state was entered.
	since time.Time
	held  int64
	// position is in the list of the state; nil while serving or closed.
	position *list.Element
	// evicted is why the connection has to be closed; "" while it does not.
	evicted Reason
}

// Open admits a connection, if necessary in place of another one: of the request that has been unfinished for longest, if for more
// than requestPatience, or of the connection that has been idle for longest. Load pattern: very many connections, of which most
// send nothing or never finish, beside callers whose requests arrive whole.
func (b *Budget) Open(now time.Time, giveWay func()) (*Account, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open >= b.Connections && !b.evictUnfinished(now, nil) {
		longest := b.idle.Front()
		if longest == nil {
			return nil, &ErrRefused{Reason: ReasonConnections}
		}
		b.evict(longest.Value.(*Account), ReasonIdle)
	}
	b.open++
	a := &Account{budget: b, giveWay: giveWay}
	a.enter(stateIdle, now)
	return a, nil
}

// evictUnfinished makes the request give way that has been unfinished for longest, but not the one of the given account. It reports
// whether there was one that has been unfinished for more than requestPatience.
func (b *Budget) evictUnfinished(now time.Time, except *Account) bool {
	for e := b.unfinished.Front(); e != nil; e = e.Next() {
		a := e.Value.(*Account)
		if now.Sub(a.since) <= requestPatience {
			return false
		}
		if a != except {
			b.evict(a, ReasonSlow)
			return true
		}
	}
	return false
}

func (b *Budget) evict(a *Account, reason Reason) {
	a.unlist()
	a.state, a.evicted = stateClosing, reason
	b.open--
	b.closing += a.held
	a.giveWay()
}

// Held returns the number of open connections and the bytes that their requests hold beyond what each connection is counted with.
func (b *Budget) Held() (connections int, memory int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open, b.held
}

// enter changes the state. The budget is locked.
func (a *Account) enter(s state, now time.Time) {
	a.unlist()
	a.state, a.since = s, now
	switch s {
	case stateIdle:
		a.position = a.budget.idle.PushBack(a)
	case stateUnfinished:
		a.position = a.budget.unfinished.PushBack(a)
	}
}

func (a *Account) unlist() {
	if a.position == nil {
		return
	}
	if a.state == stateIdle {
		a.budget.idle.Remove(a.position)
	} else {
		a.budget.unfinished.Remove(a.position)
	}
	a.position = nil
}

// Receive notes that a request has begun to arrive.
func (a *Account) Receive(now time.Time) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.state == stateIdle {
		a.enter(stateUnfinished, now)
	}
}

// Serve notes that a request is whole and will be carried out. It returns an error if the connection has to be closed instead.
func (a *Account) Serve(now time.Time) error {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.evicted != "" {
		return &ErrRefused{Reason: a.evicted}
	}
	if a.state == stateUnfinished || a.state == stateIdle {
		a.enter(stateServing, now)
	}
	return nil
}

// Reply notes that a request has been carried out and its reply is being sent. A caller that does not read it may have to give way.
func (a *Account) Reply(now time.Time) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.state == stateServing {
		a.enter(stateUnfinished, now)
	}
}

// Rest notes that a request has been answered.
func (a *Account) Rest(now time.Time) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.state == stateUnfinished || a.state == stateServing {
		a.enter(stateIdle, now)
	}
}

// errPending means that memory will be free once connections that have to be closed are.
var errPending = errors.New("memory is about to be free")

// Grow takes bytes from the budget, if necessary in place of requests that have been unfinished for more than requestPatience. It
// returns errPending if the bytes fit once those are closed, and ErrRefused if they do not fit or this connection has to be closed. Load
// pattern: many large bodies that stop short of their end, beside callers whose bodies arrive whole.
func (a *Account) Grow(bytes int64, now time.Time) error {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.evicted != "" {
		return &ErrRefused{Reason: a.evicted}
	}
	for b.held-b.closing+bytes > b.Memory {
		if !b.evictUnfinished(now, a) {
			return &ErrRefused{Reason: ReasonMemory}
		}
	}
	if b.held+bytes > b.Memory {
		return errPending
	}
	a.held += bytes
	b.held += bytes
	return nil
}

// Shrink gives bytes back to the budget.
func (a *Account) Shrink(bytes int64) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.shrink(min(bytes, a.held))
}

// shrink gives back what the account holds, or a part of it. The budget is locked.
func (a *Account) shrink(bytes int64) {
	a.held -= bytes
	a.budget.held -= bytes
	if a.state == stateClosing {
		a.budget.closing -= bytes
	}
}

// Evicted returns why the connection has to be closed in favour of another one, or "".
func (a *Account) Evicted() Reason {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.evicted
}

// Close gives everything back to the budget.
func (a *Account) Close() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.state == stateClosed {
		return
	}
	a.shrink(a.held)
	a.unlist()
	if a.state != stateClosing {
		a.budget.open--
	}
	a.state = stateClosed
}
