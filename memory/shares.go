// Package memory decides what may take a process's memory: which organisation's jobs the planner keeps, and which calls are served at a time. It
// does no I/O and does not read the clock.
package memory

import "maps"

const (
	// reservedShare is the part of the memory that is divided among the organisations. The rest is lent to whichever asks first, so that an
	// organisation that sends without end leaves the others their parts.
	reservedShare = 0.5
	// smallRequest is the size in bytes up to which a request may take the last part of the memory, smallShare, so that large ones do not keep
	// small ones out.
	smallRequest = 64 << 10
	smallShare   = 1.0 / 16
)

// Shares divides memory among organisations. It is for one goroutine.
type Shares struct {
	total int64
	// reserved has the part of each organisation that the configuration names, and unreserved what is lent.
	reserved   map[string]int64
	unreserved int64
	// used has what each organisation uses, without those that use nothing.
	used map[string]int64
}

// NewShares returns shares of the given number of bytes, all of which are lent.
func NewShares(total int64) *Shares {
	return &Shares{total: total, unreserved: total, used: map[string]int64{}}
}

// SetWeights divides the reserved part among organisations in proportion to their weights, which are above 0. What they use stays.
func (s *Shares) SetWeights(weights map[string]float64) {
	s.reserved, s.unreserved = make(map[string]int64, len(weights)), s.total
	sum := 0.0
	for w := range maps.Values(weights) {
		sum += w
	}
	for name, w := range weights {
		part := int64(reservedShare * float64(s.total) * w / sum)
		s.reserved[name] = part
		s.unreserved -= part
	}
}

// Room returns how many bytes more the organisation may use.
func (s *Shares) Room(organisation string) int64 {
	lent := s.unreserved
	for name, used := range s.used {
		lent -= max(0, used-s.reserved[name])
	}
	return max(0, lent) + max(0, s.reserved[organisation]-s.used[organisation])
}

// Missing returns how many bytes have to be released before a request of the given size fits into the room of the organisation; 0 if it fits.
func (s *Shares) Missing(organisation string, size int64) int64 {
	room := s.Room(organisation)
	if size > smallRequest {
		room -= int64(smallShare * float64(s.total))
	}
	return max(0, size-room)
}

// Add records that the organisation uses so many bytes more, or less if the number is negative. It does not check the room, since what was found
// in the store has to be kept.
func (s *Shares) Add(organisation string, size int64) {
	s.used[organisation] += size
	if s.used[organisation] <= 0 {
		delete(s.used, organisation)
	}
}

// Excess returns how many bytes the organisation uses beyond its reserved part.
func (s *Shares) Excess(organisation string) int64 {
	return s.used[organisation] - s.reserved[organisation]
}

// Used returns how many bytes all organisations use.
func (s *Shares) Used() int64 {
	var used int64
	for u := range maps.Values(s.used) {
		used += u
	}
	return used
}
