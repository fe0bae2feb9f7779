package router

import (
	"net"
	"sync"
	"time"

	"magpiebank/internal/eventqueue"
)

// sessionQueue delivers events to the goroutine of a client session. An event that is queued while the session reads from
// its client interrupts the read.
type sessionQueue struct {
	queue  *eventqueue.Queue[sessionEvent]
	handle func(e sessionEvent)

	mu     sync.Mutex
	reader net.Conn // the connection whose read an event interrupts; nil while reads are not interruptible
}

func newSessionQueue(handle func(e sessionEvent)) *sessionQueue {
	return &sessionQueue{queue: eventqueue.New[sessionEvent](), handle: handle}
}

// expiredDeadline is a deadline in the past, which ends a blocked read or accept at once.
var expiredDeadline = time.Unix(1, 0)

// Put queues an event and interrupts the session's read, if one is interruptible. It may be called from any goroutine.
func (q *sessionQueue) Put(e sessionEvent) {
	q.queue.Put(e)
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.reader != nil {
		q.reader.SetReadDeadline(expiredDeadline)
	}
}

// beginInterruptibleRead makes events interrupt reads of a connection until endInterruptibleRead is called. It reports false,
// and changes nothing, if an event may be queued already: that event would not interrupt the read.
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

// endInterruptibleRead makes reads uninterruptible again.
func (q *sessionQueue) endInterruptibleRead() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.reader = nil
}

// wait returns once an event is queued.
func (q *sessionQueue) wait() { <-q.queue.Wake }

// run handles the queued events on the calling goroutine, and returns once the queue is empty.
func (q *sessionQueue) run() {
	select {
	case <-q.queue.Wake:
	default:
	}
	q.queue.Drain(q.handle)
}
