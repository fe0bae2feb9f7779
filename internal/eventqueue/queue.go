// Package eventqueue provides an unbounded queue through which goroutines send events to the one goroutine that owns
// some state.
package eventqueue

import "sync"

// Queue is an unbounded first-in, first-out queue of events with one consumer. Any goroutine may call Put, which
// never blocks. Only the consumer may call Drain.
type Queue[E any] struct {
	// Wake holds one value while events are queued, so that the consumer can select on it. A value may remain after
	// Drain has handled the events that it announced.
	Wake chan struct{}

	mu     sync.Mutex
	events []E
}

// New returns an empty queue.
func New[E any]() *Queue[E] { return &Queue[E]{Wake: make(chan struct{}, 1)} }

// Put appends an event and signals Wake.
func (q *Queue[E]) Put(event E) {
	q.mu.Lock()
	q.events = append(q.events, event)
	q.mu.Unlock()
	select {
	case q.Wake <- struct{}{}:
	default: // Wake already holds a value
	}
}

// Drain handles the queued events in order, including those that are queued in the meantime, until the queue is empty.
func (q *Queue[E]) Drain(handle func(event E)) {
	for {
		q.mu.Lock()
		events := q.events
		q.events = nil
		q.mu.Unlock()
		if len(events) == 0 {
			return
		}
		for _, event := range events {
			handle(event)
		}
	}
}
