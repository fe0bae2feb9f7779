package router

import "sync"

// mailbox is a queue of calls for one goroutine. Putting one in never waits.
type mailbox struct {
	mu    sync.Mutex
	calls []func()
	wake  chan struct{}
}

func newMailbox() *mailbox { return &mailbox{wake: make(chan struct{}, 1)} }

func (m *mailbox) put(call func()) {
	m.mu.Lock()
	m.calls = append(m.calls, call)
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// run makes the calls that wait, in turn, and those that came meanwhile.
func (m *mailbox) run() {
	for {
		m.mu.Lock()
		calls := m.calls
		m.calls = nil
		m.mu.Unlock()
		if len(calls) == 0 {
			return
		}
		for _, call := range calls {
			call()
		}
	}
}
