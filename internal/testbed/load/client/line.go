package client

import "time"

// fifo is a queue of places with the turn at which each was put in.
type fifo struct {
	items []placeTurn
	head  int
}

type placeTurn struct {
	place int32
	turn  uint32
}

func (f *fifo) len() int { return len(f.items) - f.head }

func (f *fifo) put(place int32, turn uint32) {
	if f.head > 64 && f.head > len(f.items)/2 { // what was taken is given back
		f.items = f.items[:copy(f.items, f.items[f.head:])]
		f.head = 0
	}
	f.items = append(f.items, placeTurn{place, turn})
}

func (f *fifo) first() placeTurn { return f.items[f.head] }

func (f *fifo) take() (place int32, turn uint32, ok bool) {
	if f.head >= len(f.items) {
		return 0, 0, false
	}
	p := f.items[f.head]
	f.head++
	return p.place, p.turn, true
}

// window counts first and further attempts over a sliding span, by tenths of it.
type window struct {
	span           time.Duration
	at             int64 // number of the current tenth
	firsts, others [windowParts]int
}

const windowParts = 10

func (w *window) move(now time.Duration) {
	if w.span <= 0 {
		return
	}
	at := int64(now / max(1, w.span/windowParts))
	for k := max(w.at+1, at-windowParts+1); k <= at; k++ {
		w.firsts[k%windowParts], w.others[k%windowParts] = 0, 0
	}
	w.at = max(w.at, at)
}

func (w *window) first(now time.Duration) {
	w.move(now)
	w.firsts[w.at%windowParts]++
}

func (w *window) further(now time.Duration) {
	w.move(now)
	w.others[w.at%windowParts]++
}

// allows tells whether one more retry fits into the budget.
func (w *window) allows(now time.Duration, share float64, free int) bool {
	if w.span <= 0 {
		return true // no budget
	}
	w.move(now)
	firsts, others := 0, 0
	for i := range w.firsts {
		firsts += w.firsts[i]
		others += w.others[i]
	}
	return float64(others+1) <= share*float64(firsts)+float64(free)
}
