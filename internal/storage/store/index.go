package store

import "encoding/binary"

// index finds where a key's record lies: open addressing with linear probing in one slice without pointers, which the
// collector passes over. A place is 32 bytes; a removed one is filled from behind, so that nothing is left of it.
type index struct {
	slots []location
	count int
}

type location struct {
	key     Key
	segment uint32 // counted from the store's first, plus 1; 0: nothing is here
	offset  uint32 // offset in the segment
	size    uint32 // of the record
	_       uint32
}

// Three quarters: beyond, probes grow long; a table is doubled, so that it is between three and six eighths full.
const maxLoadFactor = 0.75

const minSlots = 64

// spread mixes a key; ids are hex digits, of which only some bits differ.
func hashKey(k *Key) uint64 {
	a, b := binary.LittleEndian.Uint64(k[:8]), binary.LittleEndian.Uint64(k[8:])
	h := (a ^ b>>29 ^ b<<35) * 0x9e3779b97f4a7c15
	h = (h ^ h>>32 ^ b) * 0xd6e8feb86659fd93
	return h ^ h>>32
}

// find is the number of a key's place, or of the free one where it would stand.
func (x *index) slotOf(k *Key) int {
	mask := uint64(len(x.slots) - 1)
	for i := hashKey(k) & mask; ; i = (i + 1) & mask {
		if p := &x.slots[i]; p.segment == 0 || p.key == *k {
			return int(i)
		}
	}
}

func (x *index) get(k *Key) (p location, ok bool) {
	if x.count == 0 {
		return p, false
	}
	p = x.slots[x.slotOf(k)]
	return p, p.segment != 0
}

// put sets a key's place and returns the one it had.
func (x *index) put(p location) (old location, had bool) {
	if float64(x.count+1) > maxLoadFactor*float64(len(x.slots)) {
		x.grow()
	}
	at := &x.slots[x.slotOf(&p.key)]
	old, had = *at, at.segment != 0
	if *at = p; !had {
		x.count++
	}
	return old, had
}

func (x *index) grow() {
	old := x.slots
	x.slots = make([]location, max(minSlots, 2*len(old)))
	for _, p := range old {
		if p.segment != 0 {
			x.slots[x.slotOf(&p.key)] = p
		}
	}
}

// remove takes a key out and returns the place it had.
func (x *index) remove(k *Key) (old location, had bool) {
	if x.count == 0 {
		return old, false
	}
	i := x.slotOf(k)
	if old = x.slots[i]; old.segment == 0 {
		return old, false
	}
	x.count--
	mask := len(x.slots) - 1
	for hole, j := i, i; ; {
		j = (j + 1) & mask
		p := &x.slots[j]
		if p.segment == 0 {
			x.slots[hole] = location{}
			return old, true
		}
		// What stands behind the hole and belongs before it, or into it, moves there.
		if home := int(hashKey(&p.key)) & mask; (j-home)&mask >= (j-hole)&mask {
			x.slots[hole] = *p
			hole = j
		}
	}
}
