package engine

import "sync"

// inbox queues the events for the control goroutine. Results of calls are always accepted, since the number of calls is
// bounded; callers are rejected when too many events are queued.
type inbox struct {
	// arrived holds a value while there are events.
	arrived chan struct{}

	mu     sync.Mutex
	events []func()
}

func newInbox() *inbox { return &inbox{arrived: make(chan struct{}, 1)} }

// put adds an event and reports true, unless limit events or more are queued; 0 means no limit.
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

// take returns all events and empties the inbox. It reuses the memory of spare, which the caller must not use any more.
func (i *inbox) take(spare []func()) []func() {
	i.mu.Lock()
	defer i.mu.Unlock()
	events := i.events
	clear(spare)
	i.events = spare[:0]
	return events
}
