package store

import "encoding/binary"

// index maps keys to the locations of their records. It is a hash table with open addressing and linear probing in one slice
// without pointers, which the garbage collector does not have to scan. A location takes 32 bytes.
type index struct {
	slots []location
	count int
}

// location is where a key's record lies, or an empty slot of the index.
type location struct {
	key     Key
	segment uint32 // number of the segment, from 1 on; 0: the slot is empty
	offset  uint32 // bytes from the start of the segment
	size    uint32 // bytes of the record
	_       uint32
}

const (
	// maxLoadFactor bounds the length of probes. The table is doubled, so that it is between 3/8 and 3/4 full.
	maxLoadFactor = 0.75
	minSlots      = 64 // a power of two, as are all sizes of the table
)

// hashKey hashes a key. Most keys are hex digits, of which only some bits differ.
func hashKey(k *Key) uint64 {
	a, b := binary.LittleEndian.Uint64(k[:8]), binary.LittleEndian.Uint64(k[8:])
	h := (a ^ b>>29 ^ b<<35) * 0x9e3779b97f4a7c15
	h = (h ^ h>>32 ^ b) * 0xd6e8feb86659fd93
	return h ^ h>>32
}

// slotOf returns the number of a key's slot, or of the empty one where it belongs.
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

// put sets a key's location and returns the one that it replaces, if there is one.
func (x *index) put(l location) (old location, replaced bool) {
	if float64(x.count+1) > maxLoadFactor*float64(len(x.slots)) {
		x.grow()
	}
	slot := &x.slots[x.slotOf(&l.key)]
	old = *slot
	*slot = l
	replaced = old.segment != 0
	if !replaced {
		x.count++
	}
	return old, replaced
}

func (x *index) grow() {
	old := x.slots
	x.slots = make([]location, max(minSlots, 2*len(old)))
	for _, l := range old {
		if l.segment != 0 {
			x.slots[x.slotOf(&l.key)] = l
		}
	}
}

// remove removes a key and returns the location that it had, if it was there. Entries behind it are moved into the hole, so
// that no mark of the removed one is left.
func (x *index) remove(k *Key) (old location, removed bool) {
	if x.count == 0 {
		return old, false
	}
	hole := x.slotOf(k)
	old = x.slots[hole]
	if old.segment == 0 {
		return old, false
	}
	x.count--
	mask := len(x.slots) - 1
	for i := hole; ; {
		i = (i + 1) & mask
		l := &x.slots[i]
		if l.segment == 0 {
			x.slots[hole] = location{}
			return old, true
		}
		// An entry moves into the hole unless its probe starts behind the hole.
		home := int(hashKey(&l.key)) & mask
		if (i-home)&mask >= (i-hole)&mask {
			x.slots[hole] = *l
			hole = i
		}
	}
}
