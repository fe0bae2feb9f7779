package client

// sequencedSlot is an index into the table of requests or of sessions, with the sequence number that the entry had when
// the slot was stored. An entry with another number has been used for something else since.
type sequencedSlot struct {
	index    int32
	sequence uint32
}

// sequencedQueue is a first-in-first-out queue.
type sequencedQueue struct {
	items []sequencedSlot
	head  int
}

// minCompaction is how many popped items the queue lets stand before it moves the others down.
const minCompaction = 64

func (q *sequencedQueue) len() int { return len(q.items) - q.head }

func (q *sequencedQueue) push(index int32, sequence uint32) {
	if q.head > minCompaction && q.head > len(q.items)/2 { // reuse the space of what was popped
		q.items = q.items[:copy(q.items, q.items[q.head:])]
		q.head = 0
	}
	q.items = append(q.items, sequencedSlot{index, sequence})
}

func (q *sequencedQueue) first() sequencedSlot { return q.items[q.head] }

// pop takes the first item out; ok is false where the queue is empty.
func (q *sequencedQueue) pop() (slot sequencedSlot, ok bool) {
	if q.head >= len(q.items) {
		return sequencedSlot{}, false
	}
	slot = q.items[q.head]
	q.head++
	return slot, true
}
