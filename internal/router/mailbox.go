package router

import (
	"net"
	"sync"
	"time"

	"magpiebank/internal/eventqueue"
)

// mailbox is how the owner reaches the goroutine of a session, also while that reads from its client.
type mailbox struct {
	*eventqueue.Queue[func()]
	mu      sync.Mutex
	reading net.Conn // whose read a call interrupts; nil: none
}

func newMailbox() *mailbox { return &mailbox{Queue: eventqueue.New[func()]()} }

// longAgo is a read deadline that ends a read at once.
var longAgo = time.Unix(1, 0)

// Put adds a call, and interrupts the read that the session is in.
func (m *mailbox) Put(call func()) {
	m.Queue.Put(call)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reading != nil {
		m.reading.SetReadDeadline(longAgo)
	}
}

// interrupt has calls interrupt reads of a connection from now on. It tells whether the session may read: not where a call
// waits already, as its ring was before.
func (m *mailbox) interrupt(tcp net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.Wake) > 0 {
		return false
	}
	m.reading = tcp
	tcp.SetReadDeadline(time.Time{})
	return true
}

// resume ends what interrupt began.
func (m *mailbox) resume() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reading = nil
}

// wait waits for the next call.
func (m *mailbox) wait() { <-m.Wake }

// run makes the calls that wait.
func (m *mailbox) run() {
	select {
	case <-m.Wake:
	default:
	}
	m.Drain(func(call func()) { call() })
}
