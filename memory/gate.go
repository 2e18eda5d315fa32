package memory

import "sync"

// Gate bounds the bytes that the calls being served hold together. The zero value lets nothing pass.
type Gate struct {
	// Limit is the bound in bytes. Set it before the first call of Reserve.
	Limit int64

	mu   sync.Mutex
	held int64
}

// Reserve adds to what is held, and reports whether it fits. If not, nothing is added.
func (g *Gate) Reserve(size int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if size > g.Limit-g.held {
		return false
	}
	g.held += size
	return true
}

// Release gives back what Reserve has added.
func (g *Gate) Release(size int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held -= size
}
