package client

// sequencedIndex is an index into the table of requests or of sessions, together with the sequence number of that entry
// when the index was stored. If the entry has another sequence number now, the index is out of date.
type sequencedIndex struct {
	index    int32
	sequence uint32
}

// sequencedQueue is a first-in, first-out queue.
type sequencedQueue struct {
	items []sequencedIndex
	head  int // index of the first item
}

// compactionThreshold is the number of popped items that a queue retains before push moves the other items to the
// front.
const compactionThreshold = 64

func (q *sequencedQueue) len() int { return len(q.items) - q.head }

func (q *sequencedQueue) push(index int32, sequence uint32) {
	if q.head > compactionThreshold && q.head > len(q.items)/2 { // reuse the memory of popped items
		q.items = q.items[:copy(q.items, q.items[q.head:])]
		q.head = 0
	}
	q.items = append(q.items, sequencedIndex{index, sequence})
}

func (q *sequencedQueue) first() sequencedIndex { return q.items[q.head] }

// pop removes and returns the first item; ok is false if the queue is empty.
func (q *sequencedQueue) pop() (first sequencedIndex, ok bool) {
	if q.head >= len(q.items) {
		return sequencedIndex{}, false
	}
	first = q.items[q.head]
	q.head++
	return first, true
}
