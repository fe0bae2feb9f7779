// Package eventqueue is how other goroutines reach the one that owns something.
package eventqueue

import "sync"

// Box is a queue of calls for one goroutine. Putting one in never waits.
type Box struct {
	Wake  chan struct{} // holds one ring while calls wait
	mu    sync.Mutex
	calls []func()
}

// New is an empty box.
func New() *Box { return &Box{Wake: make(chan struct{}, 1)} }

// Put adds a call.
func (b *Box) Put(call func()) {
	b.mu.Lock()
	b.calls = append(b.calls, call)
	b.mu.Unlock()
	select {
	case b.Wake <- struct{}{}:
	default:
	}
}

// Run makes the calls that wait, in turn, and those that came meanwhile.
func (b *Box) Run() {
	for {
		b.mu.Lock()
		calls := b.calls
		b.calls = nil
		b.mu.Unlock()
		if len(calls) == 0 {
			return
		}
		for _, call := range calls {
			call()
		}
	}
}
