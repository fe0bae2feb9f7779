package simcluster

import "container/heap"

type eventKind uint8

const (
	eventCall         eventKind = iota // a call of a scheduled function
	eventMembership                    // the arrival of a membership message
	eventHealthReport                  // the arrival of a health report
	eventTimer                         // a tick of the membership core
)

// event is a scheduled event.
type event struct {
	at          Time
	order       uint64 // events at the same time happen in this order
	to          *Process
	incarnation int
	from        *Process
	message     []byte
	kind        eventKind
	call        func()
}

// eventQueue is a heap of events, sorted by time and order.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(pushed any) { *q = append(*q, mustBeEvent(pushed)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return popped
}

func (q *eventQueue) popFirst() event { return mustBeEvent(heap.Pop(q)) }

func mustBeEvent(item any) event {
	asserted, ok := item.(event)
	if !ok {
		panic("simcluster: the event queue contains a value that is not an event")
	}
	return asserted
}

// Schedule schedules a call of a function at a time.
func (c *Cluster) Schedule(at Time, call func()) { c.push(event{at: at, call: call}) }

func (c *Cluster) push(pushed event) {
	c.nextOrder++
	pushed.order = c.nextOrder
	heap.Push(&c.events, pushed)
}
