package queue

import "container/heap"

// The heaps that an entry can be in.
const (
	readyHeap = iota
	ageHeap
	deadlineHeap
	heapCount
)

// notInHeap is the position of an entry that is not in a heap.
const notInHeap = -1

// entryHeap is a heap whose entries record their positions, so that any of them can be removed in O(log n).
type entryHeap struct {
	kind    int
	less    func(a, b *entry) bool
	entries []*entry
}

var _ heap.Interface = (*entryHeap)(nil)

// Len implements heap.Interface.
func (h *entryHeap) Len() int { return len(h.entries) }

// Less implements heap.Interface.
func (h *entryHeap) Less(i, j int) bool { return h.less(h.entries[i], h.entries[j]) }

// Swap implements heap.Interface.
func (h *entryHeap) Swap(i, j int) {
	h.entries[i], h.entries[j] = h.entries[j], h.entries[i]
	h.entries[i].positions[h.kind], h.entries[j].positions[h.kind] = i, j
}

// Push implements heap.Interface.
func (h *entryHeap) Push(x any) {
	e := x.(*entry)
	e.positions[h.kind] = len(h.entries)
	h.entries = append(h.entries, e)
}

// Pop implements heap.Interface.
func (h *entryHeap) Pop() any {
	last := len(h.entries) - 1
	e := h.entries[last]
	h.entries[last] = nil
	h.entries = h.entries[:last]
	e.positions[h.kind] = notInHeap
	return e
}

func (h *entryHeap) add(e *entry) { heap.Push(h, e) }

func (h *entryHeap) remove(e *entry) {
	if at := e.positions[h.kind]; at != notInHeap {
		heap.Remove(h, at)
	}
}

func (h *entryHeap) first() *entry {
	if len(h.entries) == 0 {
		return nil
	}
	return h.entries[0]
}
