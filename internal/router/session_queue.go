package router

import (
	"net"
	"sync"
	"time"

	"magpiebank/internal/eventqueue"
)

// mailbox is how the owner reaches the goroutine of a session, also while that reads from its client.
type sessionQueue struct {
	*eventqueue.Queue[func()]
	mu     sync.Mutex
	reader net.Conn // whose read a call interrupts; nil: none
}

func newSessionQueue() *sessionQueue { return &sessionQueue{Queue: eventqueue.New[func()]()} }

// longAgo is a read deadline that ends a read at once.
var expiredDeadline = time.Unix(1, 0)

// Put adds a call, and interrupts the read that the session is in.
func (q *sessionQueue) Put(call func()) {
	q.Queue.Put(call)
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.reader != nil {
		q.reader.SetReadDeadline(expiredDeadline)
	}
}

// interrupt has calls interrupt reads of a connection from now on. It tells whether the session may read: not where a call
// waits already, as its ring was before.
func (q *sessionQueue) beginInterruptibleRead(tcp net.Conn) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.Wake) > 0 {
		return false
	}
	q.reader = tcp
	tcp.SetReadDeadline(time.Time{})
	return true
}

// resume ends what interrupt began.
func (q *sessionQueue) endInterruptibleRead() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.reader = nil
}

// wait waits for the next call.
func (q *sessionQueue) wait() { <-q.Wake }

// run makes the calls that wait.
func (q *sessionQueue) run() {
	select {
	case <-q.Wake:
	default:
	}
	q.Drain(func(call func()) { call() })
}
