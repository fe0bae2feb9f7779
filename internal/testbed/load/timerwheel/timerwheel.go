// Package timerwheel keeps many timers for one goroutine: a hierarchical wheel, whose timers cost no allocation, no
// goroutine and no lock. Adding and calling off take constant time.
package timerwheel

import "math/bits"

// Tick is a point in time, or a length, in the wheel's unit.
type Tick int64

// A level has 64 slots, so that one word tells which of them hold timers, and each slot spans a whole level below
// it. Six levels reach 2^36 ticks: 79 days of tenths of a millisecond. What lies further stands in the last slot
// and is sorted in again when that comes.
const (
	slotBits = 6
	slots    = 1 << slotBits
	levels   = 6
	reach    = Tick(1) << (slotBits * levels)
)

// Timer names a timer; 0 is none. A name is used again only after four billion others had its place.
type Timer uint64

type entry struct {
	at         Tick
	what       uint64
	next, prev int32 // in its slot's ring; in the free list only next
	slot       int32 // level*slots + slot; -1: not set
	turn       uint32
}

// Wheel holds timers that carry a number each.
type Wheel struct {
	now     Tick
	entries []entry // place 0 is unused
	free    int32
	heads   [levels * slots]int32
	held    [levels]uint64 // a bit for each slot with timers
	count   int
}

// New is a wheel that begins at a time.
func New(now Tick) *Wheel { return &Wheel{now: now, entries: make([]entry, 1)} }

// Len is how many timers are set.
func (w *Wheel) Len() int { return w.count }

// Add sets a timer; one for a time that is past comes with the next Advance.
func (w *Wheel) Add(at Tick, what uint64) Timer {
	i := w.free
	if i == 0 {
		w.entries = append(w.entries, entry{})
		i = int32(len(w.entries) - 1)
	} else {
		w.free = w.entries[i].next
	}
	e := &w.entries[i]
	e.at, e.what = max(at, w.now+1), what
	e.turn++
	w.link(i)
	w.count++
	return Timer(uint64(e.turn)<<32 | uint64(uint32(i)))
}

// Stop calls a timer off; it tells whether it was still set.
func (w *Wheel) Stop(t Timer) bool {
	i := int32(uint32(t))
	if i <= 0 || int(i) >= len(w.entries) || w.entries[i].turn != uint32(t>>32) || w.entries[i].slot < 0 {
		return false
	}
	w.unlink(i)
	w.release(i)
	return true
}

func (w *Wheel) release(i int32) {
	e := &w.entries[i]
	e.slot, e.next, w.free = -1, w.free, i
	w.count--
}

// link puts a timer into the slot for its time: the level is that of the highest digit in which it differs from
// now.
func (w *Wheel) link(i int32) {
	e := &w.entries[i]
	at := min(e.at, w.now+reach-1)
	level := (63 - bits.LeadingZeros64(uint64(at^w.now)|1)) / slotBits
	if level >= levels { // only the topmost digit has turned over; that slot comes in good time
		level = levels - 1
	}
	slot := int32(level*slots) + int32(at>>(slotBits*level))&(slots-1)
	e.slot = slot
	if h := w.heads[slot]; h != 0 {
		last := w.entries[h].prev
		e.next, e.prev = h, last
		w.entries[last].next, w.entries[h].prev = i, i
	} else {
		e.next, e.prev = i, i
		w.heads[slot] = i
		w.held[level] |= 1 << (slot & (slots - 1))
	}
}

func (w *Wheel) unlink(i int32) {
	e := &w.entries[i]
	if e.next == i {
		w.heads[e.slot] = 0
		w.held[e.slot/slots] &^= 1 << (e.slot & (slots - 1))
	} else {
		w.entries[e.prev].next, w.entries[e.next].prev = e.next, e.prev
		if w.heads[e.slot] == i {
			w.heads[e.slot] = e.next
		}
	}
}

// Next is a time before which no timer comes; ok is false where none is set. It is the time of the next timer
// itself when that lies within the lowest level, else the beginning of its slot.
func (w *Wheel) Next() (at Tick, ok bool) {
	for level := range levels {
		width := slotBits * level
		digit := uint(w.now>>width) & (slots - 1)
		if ahead := w.held[level] &^ (1<<(digit+1) - 1); ahead != 0 {
			slot := Tick(bits.TrailingZeros64(ahead))
			return w.now>>(width+slotBits)<<(width+slotBits) | slot<<width, true
		}
		if level == levels-1 && w.held[level] != 0 { // behind the turn of the topmost digit
			slot := Tick(bits.TrailingZeros64(w.held[level]))
			return (w.now>>(width+slotBits)+1)<<(width+slotBits) | slot<<width, true
		}
	}
	return 0, false
}

// Advance moves to a time and calls fire for each timer that has come, in order of time; those of one tick come
// in the order in which they reached its slot. fire may add and stop timers.
func (w *Wheel) Advance(to Tick, fire func(what uint64)) {
	for w.now < to {
		next, ok := w.Next()
		if !ok || next > to {
			w.now = to
			return
		}
		w.now = next
		for level := levels - 1; level > 0; level-- { // slots that begin here are sorted into the levels below
			width := slotBits * level
			if next&(1<<width-1) == 0 {
				w.spread(int32(level*slots) + int32(next>>width)&(slots-1))
			}
		}
		slot := int32(next) & (slots - 1)
		for w.heads[slot] != 0 && w.entries[w.heads[slot]].at <= next {
			i := w.heads[slot]
			what := w.entries[i].what
			w.unlink(i)
			w.release(i)
			fire(what)
		}
	}
}

// spread sorts a slot's timers in anew.
func (w *Wheel) spread(slot int32) {
	first := w.heads[slot]
	if first == 0 {
		return
	}
	w.heads[slot] = 0
	w.held[slot/slots] &^= 1 << (slot & (slots - 1))
	for i := first; ; {
		next := w.entries[i].next
		w.link(i)
		if next == first {
			return
		}
		i = next
	}
}
