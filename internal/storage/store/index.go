package store

import "encoding/binary"

// index maps keys to the locations of their records. It is a hash table with open addressing and linear probing. All locations, of
// 32 bytes each, are in one slice without pointers, which the garbage collector doesn't have to scan.
type index struct {
	slots []location
	count int
}

// location is the place of a key's record in the log, or an empty slot of the index.
type location struct {
	key     Key
	segment uint32 // number of the segment, which is at least 1; 0: the slot is empty
	offset  uint32 // bytes from the start of the segment to the record
	size    uint32 // size of the record in bytes
	_       uint32
}

const (
	// maxLoadFactor keeps probe sequences short. The table doubles when it would be fuller, so it grows from 3/4 to 3/8 full.
	maxLoadFactor = 0.75
	minSlots      = 64 // a power of two, like all sizes of the table
)

// hashKey hashes a key. It mixes the bits of all bytes, because most keys are hex digits, which differ only in some bits of each byte.
func hashKey(k *Key) uint64 {
	a, b := binary.LittleEndian.Uint64(k[:8]), binary.LittleEndian.Uint64(k[8:])
	h := (a ^ b>>29 ^ b<<35) * 0x9e3779b97f4a7c15
	h = (h ^ h>>32 ^ b) * 0xd6e8feb86659fd93
	return h ^ h>>32
}

// slotOf returns the index of the slot that contains a key, or of the empty slot into which the key has to be put.
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

// put sets a key's location. If the key had a location, put returns it and replaced is true.
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

// remove removes a key. If the key had a location, remove returns it and removed is true. Later entries of the probe sequence are moved
// into the empty slot, so that no tombstone is needed.
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
		// The entry moves into the hole unless its probe sequence starts after the hole.
		home := int(hashKey(&l.key)) & mask
		if (i-home)&mask >= (i-hole)&mask {
			x.slots[hole] = *l
			hole = i
		}
	}
}
