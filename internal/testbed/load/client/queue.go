package client

// sequencedIndex is an index into the table of requests or of sessions, with the sequence number that the entry had when
// the slot was stored. An entry with another number has been used for something else since.
type sequencedIndex struct {
	index    int32
	sequence uint32
}

// sequencedQueue is a first-in-first-out queue.
type sequencedQueue struct {
	items []sequencedIndex
	head  int
}

// compactionThreshold is how many popped items the queue lets stand before it moves the others down.
const compactionThreshold = 64

func (q *sequencedQueue) len() int { return len(q.items) - q.head }

func (q *sequencedQueue) push(index int32, sequence uint32) {
	if q.head > compactionThreshold && q.head > len(q.items)/2 { // reuse the space of what was popped
		q.items = q.items[:copy(q.items, q.items[q.head:])]
		q.head = 0
	}
	q.items = append(q.items, sequencedIndex{index, sequence})
}

func (q *sequencedQueue) first() sequencedIndex { return q.items[q.head] }

// pop takes the first item out; ok is false where the queue is empty.
func (q *sequencedQueue) pop() (first sequencedIndex, ok bool) {
	if q.head >= len(q.items) {
		return sequencedIndex{}, false
	}
	first = q.items[q.head]
	q.head++
	return first, true
}
