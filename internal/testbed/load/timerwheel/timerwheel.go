// Package timerwheel manages many timers for a single goroutine in a hierarchical timer wheel. A timer needs no
// allocation of its own, no goroutine and no lock. Adding and stopping a timer take constant time.
package timerwheel

import "math/bits"

// Tick is a point in time, or a duration, in the unit that the user of the wheel chooses.
type Tick int64

// A level has 64 slots, so that one 64-bit word records which of them hold timers. Each slot covers as much time as the
// whole level below. Six levels cover 2^36 ticks, which is 79 days if a tick is 0.1 ms. A timer that is due later
// waits in the slot that begins last, and is linked again when that slot begins.
const (
	slotBits  = 6
	slots     = 1 << slotBits
	levels    = 6
	wheelSpan = Tick(1) << (slotBits * levels)
)

// Timer identifies a timer; 0 identifies none. A value is reused only after its entry has held 2^32 timers.
type Timer uint64

// entry holds a timer that is set, or is an unused element of the free list.
type entry struct {
	at         Tick
	number     uint64 // passed to fire when the timer is due
	next, prev int32  // neighbors in the ring of the slot; in the free list only next is used
	slot       int32  // level*slots + slot in the level; -1: the timer is not set
	generation uint32 // number of timers that the entry has held
}

// Wheel holds timers, each with a number that the caller chose.
type Wheel struct {
	now      Tick
	entries  []entry               // entry 0 is unused, so that index 0 means none
	free     int32                 // head of the free list; 0: none
	heads    [levels * slots]int32 // first entry in the ring of each slot; 0: none
	occupied [levels]uint64        // by level: one bit for each slot, set if the slot holds timers
	count    int                   // number of timers that are set
}

// New returns an empty wheel whose current time is now.
func New(now Tick) *Wheel { return &Wheel{now: now, entries: make([]entry, 1)} }

// Len returns the number of timers that are set.
func (w *Wheel) Len() int { return w.count }

// Add sets a timer with a number. A timer for the current time or a past time fires one tick after the current time.
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

// Stop stops a timer and reports whether the timer was still set.
func (w *Wheel) Stop(timer Timer) bool {
	index, generation := int32(uint32(timer)), uint32(timer>>32)
	if index <= 0 || int(index) >= len(w.entries) || w.entries[index].generation != generation || w.entries[index].slot < 0 {
		return false
	}
	w.unlink(index)
	w.release(index)
	return true
}

// release returns an entry to the free list.
func (w *Wheel) release(index int32) {
	released := &w.entries[index]
	released.slot, released.next, w.free = -1, w.free, index
	w.count--
}

// link adds an entry to the slot for its time. The level is the highest base-64 digit in which that time differs from
// the current time.
func (w *Wheel) link(index int32) {
	linked := &w.entries[index]
	at := min(linked.at, w.now+wheelSpan-1)
	level := (63 - bits.LeadingZeros64(uint64(at^w.now)|1)) / slotBits
	// The times differ above the top level. The top level wraps around: the slot begins in its next round, at or before
	// the time of the timer.
	if level >= levels {
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

// unlink removes an entry from its slot.
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

// Next returns a time before which no timer fires; ok is false if no timer is set. If the next timer is in the lowest
// level, the result is the time of that timer, otherwise it is the start of the timer's slot.
func (w *Wheel) Next() (at Tick, ok bool) {
	for level := range levels {
		width := slotBits * level
		digit := uint(w.now>>width) & (slots - 1)
		if ahead := w.occupied[level] &^ (1<<(digit+1) - 1); ahead != 0 {
			slot := Tick(bits.TrailingZeros64(ahead))
			return w.now>>(width+slotBits)<<(width+slotBits) | slot<<width, true
		}
		if level == levels-1 && w.occupied[level] != 0 { // the slot begins after the top level has wrapped around
			slot := Tick(bits.TrailingZeros64(w.occupied[level]))
			return (w.now>>(width+slotBits)+1)<<(width+slotBits) | slot<<width, true
		}
	}
	return 0, false
}

// Advance moves the current time to a later time and calls fire for each timer that is due, in the order of time.
// Timers of the same tick fire in the order in which they were added to the slot of that tick. fire may add and stop
// timers.
func (w *Wheel) Advance(to Tick, fire func(number uint64)) {
	for w.now < to {
		next, ok := w.Next()
		if !ok || next > to {
			w.now = to
			return
		}
		w.now = next
		for level := levels - 1; level > 0; level-- { // timers in slots that begin now move to lower levels
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

// cascade links the timers of a slot again when the slot begins, so that they move to lower levels. Timers that are due
// after the time span of the wheel stay in the top level.
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
