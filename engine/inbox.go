package engine

import "sync"

// inbox holds the events for the control goroutine. Results of calls always find room, since their number is bounded by the
// calls; callers are turned away when too many of them wait.
type inbox struct {
	// arrived has a value when there are events.
	arrived chan struct{}

	mu     sync.Mutex
	events []func()
}

func newInbox() *inbox { return &inbox{arrived: make(chan struct{}, 1)} }

// put adds an event, unless more than limit events wait; 0 is no limit.
func (i *inbox) put(f func(), limit int) bool {
	i.mu.Lock()
	full := limit > 0 && len(i.events) >= limit
	if !full {
		i.events = append(i.events, f)
	}
	i.mu.Unlock()
	if full {
		return false
	}
	select {
	case i.arrived <- struct{}{}:
	default:
	}
	return true
}

// take returns all events and leaves the inbox with the memory of spare, which must not be used any more.
func (i *inbox) take(spare []func()) []func() {
	i.mu.Lock()
	defer i.mu.Unlock()
	events := i.events
	clear(spare)
	i.events = spare[:0]
	return events
}
