package router

import (
	"net"
	"sync"
	"time"

	"magpiebank/internal/eventqueue"
)

// sessionQueue brings events to the goroutine of a client session, also while that reads from its client: an event
// interrupts the read.
type sessionQueue struct {
	queue  *eventqueue.Queue[sessionEvent]
	handle func(e sessionEvent)

	mu     sync.Mutex
	reader net.Conn // the connection whose read an event interrupts; nil if the session doesn't read
}

func newSessionQueue(handle func(e sessionEvent)) *sessionQueue {
	return &sessionQueue{queue: eventqueue.New[sessionEvent](), handle: handle}
}

// expiredDeadline is a read deadline that ends a read at once.
var expiredDeadline = time.Unix(1, 0)

// Put adds an event and interrupts the read that the session is in. It may be called from any goroutine.
func (q *sessionQueue) Put(e sessionEvent) {
	q.queue.Put(e)
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.reader != nil {
		q.reader.SetReadDeadline(expiredDeadline)
	}
}

// beginInterruptibleRead has events interrupt reads of a connection from now on, and reports whether the session may
// read: it may not if an event is queued already, because that one will not interrupt the read.
func (q *sessionQueue) beginInterruptibleRead(socket net.Conn) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.queue.Wake) > 0 {
		return false
	}
	q.reader = socket
	socket.SetReadDeadline(time.Time{})
	return true
}

// endInterruptibleRead ends what beginInterruptibleRead began.
func (q *sessionQueue) endInterruptibleRead() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.reader = nil
}

// wait returns once an event is queued.
func (q *sessionQueue) wait() { <-q.queue.Wake }

// run handles the queued events.
func (q *sessionQueue) run() {
	select {
	case <-q.queue.Wake:
	default:
	}
	q.queue.Drain(q.handle)
}
