// Package timerwheel keeps many timers for one goroutine: a hierarchical wheel, whose timers cost no allocation, no
// goroutine and no lock. Adding and stopping take constant time.
package timerwheel

import "math/bits"

// Tick is a point in time, or a length, in the wheel's unit.
type Tick int64

// A level has 64 slots, so that one bitmap word tells which of them hold timers, and each slot spans a whole level below
// it. Six levels reach 2^36 ticks: 79 days of tenths of a millisecond. A timer that lies further stands in the
// last slot, and is linked again when that slot begins.
const (
	slotBits  = 6
	slots     = 1 << slotBits
	levels    = 6
	wheelSpan = Tick(1) << (slotBits * levels)
)

// Timer identifies a timer; 0 is none. A value is used again only after four billion other timers of the same entry.
type Timer uint64

type entry struct {
	at         Tick
	number     uint64 // the caller's
	next, prev int32  // in its slot's ring; in the free list only next
	slot       int32  // level*slots + slot; -1: not set
	generation uint32 // how many timers the entry has held
}

// Wheel holds timers that carry a number each.
type Wheel struct {
	now      Tick
	entries  []entry               // entry 0 is unused
	free     int32                 // head of the free list; 0: none
	heads    [levels * slots]int32 // first entry of each slot's ring; 0: none
	occupied [levels]uint64        // a bit for each slot with timers
	count    int
}

// New returns a wheel that begins at a time.
func New(now Tick) *Wheel { return &Wheel{now: now, entries: make([]entry, 1)} }

// Len is how many timers are set.
func (w *Wheel) Len() int { return w.count }

// Add sets a timer that carries a number; one for a time that is past fires with the next Advance.
func (w *Wheel) Add(at Tick, number uint64) Timer {
	index := w.free
	if index == 0 {
		w.entries = append(w.entries, entry{})
		index = int32(len(w.entries) - 1)
	} else {
		w.free = w.entries[index].next
	}
	added := &w.entries[index]
	added.at, added.number = max(at, w.now+1), number
	added.generation++
	w.link(index)
	w.count++
	return Timer(uint64(added.generation)<<32 | uint64(uint32(index)))
}

// Stop stops a timer; it tells whether the timer was still set.
func (w *Wheel) Stop(timer Timer) bool {
	index, generation := int32(uint32(timer)), uint32(timer>>32)
	if index <= 0 || int(index) >= len(w.entries) || w.entries[index].generation != generation || w.entries[index].slot < 0 {
		return false
	}
	w.unlink(index)
	w.release(index)
	return true
}

// release puts an entry into the free list.
func (w *Wheel) release(index int32) {
	released := &w.entries[index]
	released.slot, released.next, w.free = -1, w.free, index
	w.count--
}

// link puts a timer into the slot for its time: the level is that of the highest digit in which the time differs from
// now.
func (w *Wheel) link(index int32) {
	linked := &w.entries[index]
	at := min(linked.at, w.now+wheelSpan-1)
	level := (63 - bits.LeadingZeros64(uint64(at^w.now)|1)) / slotBits
	if level >= levels { // only the topmost digit wraps around; that slot begins in time
		level = levels - 1
	}
	slot := int32(level*slots) + int32(at>>(slotBits*level))&(slots-1)
	linked.slot = slot
	if head := w.heads[slot]; head != 0 {
		last := w.entries[head].prev
		linked.next, linked.prev = head, last
		w.entries[last].next, w.entries[head].prev = index, index
	} else {
		linked.next, linked.prev = index, index
		w.heads[slot] = index
		w.occupied[level] |= 1 << (slot & (slots - 1))
	}
}

func (w *Wheel) unlink(index int32) {
	unlinked := &w.entries[index]
	if unlinked.next == index {
		w.heads[unlinked.slot] = 0
		w.occupied[unlinked.slot/slots] &^= 1 << (unlinked.slot & (slots - 1))
		return
	}
	w.entries[unlinked.prev].next, w.entries[unlinked.next].prev = unlinked.next, unlinked.prev
	if w.heads[unlinked.slot] == index {
		w.heads[unlinked.slot] = unlinked.next
	}
}

// Next returns a time before which no timer fires; ok is false where none is set. It is the time of the next timer
// itself when that lies within the lowest level, and otherwise the beginning of its slot.
func (w *Wheel) Next() (at Tick, ok bool) {
	for level := range levels {
		width := slotBits * level
		digit := uint(w.now>>width) & (slots - 1)
		if ahead := w.occupied[level] &^ (1<<(digit+1) - 1); ahead != 0 {
			slot := Tick(bits.TrailingZeros64(ahead))
			return w.now>>(width+slotBits)<<(width+slotBits) | slot<<width, true
		}
		if level == levels-1 && w.occupied[level] != 0 { // after the topmost digit wraps around
			slot := Tick(bits.TrailingZeros64(w.occupied[level]))
			return (w.now>>(width+slotBits)+1)<<(width+slotBits) | slot<<width, true
		}
	}
	return 0, false
}

// Advance moves to a time and calls fire for each timer that is due, in order of time; those of one tick fire in the
// order in which they reached its slot. fire may add and stop timers.
func (w *Wheel) Advance(to Tick, fire func(number uint64)) {
	for w.now < to {
		next, ok := w.Next()
		if !ok || next > to {
			w.now = to
			return
		}
		w.now = next
		for level := levels - 1; level > 0; level-- { // slots that begin here move to the levels below
			width := slotBits * level
			if next&(1<<width-1) == 0 {
				w.cascade(int32(level*slots) + int32(next>>width)&(slots-1))
			}
		}
		slot := int32(next) & (slots - 1)
		for w.heads[slot] != 0 && w.entries[w.heads[slot]].at <= next {
			index := w.heads[slot]
			number := w.entries[index].number
			w.unlink(index)
			w.release(index)
			fire(number)
		}
	}
}

// cascade links a slot's timers again, into the levels below.
func (w *Wheel) cascade(slot int32) {
	first := w.heads[slot]
	if first == 0 {
		return
	}
	w.heads[slot] = 0
	w.occupied[slot/slots] &^= 1 << (slot & (slots - 1))
	for index := first; ; {
		next := w.entries[index].next
		w.link(index)
		if next == first {
			return
		}
		index = next
	}
}
