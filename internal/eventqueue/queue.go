// Package eventqueue provides an unbounded queue through which goroutines send events to the one goroutine that owns
// some state.
package eventqueue

import "sync"

// Queue is an unbounded first-in, first-out queue of events with one consumer. Put may be called from any goroutine and
// never blocks; Drain is for the consumer alone.
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
	default: // it is signalled already
	}
}

// Drain handles the queued events in order, and those that are queued meanwhile, until the queue is empty.
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
