package costmodel

import (
	"hash/maphash"
	"sync"
)

// Cache keeps values by key within a number of bytes. A key that comes for the first time is let in only if it has been
// asked for more often lately than the one that would have to go for it, so that a client who never repeats himself
// doesn't push out what others use; who goes is found by a hand that passes over what was used since it last came by.
// Keys are spread over parts with a lock each.
type Cache[V any] struct{ shards [cacheShards]cacheShard[V] }

// Sixteen parts: sessions of a gateway run on a core or a few, and hold a part for some tens of nanoseconds.
const cacheShards = 16

type cacheShard[V any] struct {
	mu        sync.Mutex
	slots     map[uint64]int32
	entries   []cacheEntry[V]
	capacity  int
	hand      int
	frequency frequency
	_         [40]byte // parts don't share a line of the processor's cache
}

type cacheEntry[V any] struct {
	key   uint64
	value V
	used  bool
}

// slotBytes is what the map and the slab take for an entry besides its value.
const slotBytes = 56

// NewCache keeps so many bytes of values that take about so many each.
func NewCache[V any](bytes int64, each int) *Cache[V] {
	c := &Cache[V]{}
	most := max(4, int(bytes/int64(each+slotBytes)/cacheShards))
	for i := range c.shards {
		p := &c.shards[i]
		p.capacity, p.slots = most, map[uint64]int32{}
		p.frequency.reset(most)
	}
	return c
}

func (c *Cache[V]) shard(key uint64) *cacheShard[V] {
	return &c.shards[spreadKey(key)>>60%cacheShards]
}

// Keys may be chosen by clients, so they are spread by a number that is drawn at start; that decides only where they
// stand.
var keySeed = func() uint64 { return maphash.Bytes(maphash.MakeSeed(), []byte("cache")) | 1 }()

func spreadKey(key uint64) uint64 {
	key = (key ^ keySeed) * 0xbf58476d1ce4e5b9
	return (key ^ key>>29) * keySeed
}

// Get finds a value.
func (c *Cache[V]) Get(key uint64) (v V, ok bool) {
	ok = c.Visit(key, func(found V) { v = found })
	return v, ok
}

// Visit calls f with a value while nobody else has it.
func (c *Cache[V]) Visit(key uint64, f func(V)) bool {
	p := c.shard(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frequency.add(spreadKey(key))
	i, ok := p.slots[key]
	if ok {
		p.entries[i].used = true
		f(p.entries[i].value)
	}
	return ok
}

// Put offers a value; it tells whether it was let in, and returns the value that went for it, if one did.
func (c *Cache[V]) Put(key uint64, v V) (gone V, ok bool) {
	p := c.shard(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	if i, ok := p.slots[key]; ok {
		p.entries[i].value = v
		return gone, true
	}
	if len(p.entries) < p.capacity {
		p.slots[key] = int32(len(p.entries))
		p.entries = append(p.entries, cacheEntry[V]{key: key, value: v})
		return gone, true
	}
	for p.entries[p.hand].used {
		p.entries[p.hand].used = false
		p.hand = (p.hand + 1) % len(p.entries)
	}
	old := &p.entries[p.hand]
	if p.frequency.estimate(spreadKey(key)) <= p.frequency.estimate(spreadKey(old.key)) {
		p.hand = (p.hand + 1) % len(p.entries) // the next newcomer is held against another
		return gone, false
	}
	gone = old.value
	delete(p.slots, old.key)
	p.slots[key] = int32(p.hand)
	*old = cacheEntry[V]{key: key, value: v}
	p.hand = (p.hand + 1) % len(p.entries)
	return gone, true
}

// Clear forgets all values; how often keys were asked for stays.
func (c *Cache[V]) Clear() {
	for i := range c.shards {
		p := &c.shards[i]
		p.mu.Lock()
		clear(p.slots)
		clear(p.entries)
		p.entries, p.hand = p.entries[:0], 0
		p.mu.Unlock()
	}
}

// Len is how many values it holds.
func (c *Cache[V]) Len() (n int) {
	for i := range c.shards {
		p := &c.shards[i]
		p.mu.Lock()
		n += len(p.entries)
		p.mu.Unlock()
	}
	return n
}

// VisitAll calls f for all values, in no order.
func (c *Cache[V]) VisitAll(f func(key uint64, v V)) {
	for i := range c.shards {
		p := &c.shards[i]
		p.mu.Lock()
		for _, e := range p.entries {
			f(e.key, e.value)
		}
		p.mu.Unlock()
	}
}

// frequency counts about how often keys were asked for lately, in four rows of half bytes; a count is the least of the
// four. All are halved when it has counted ten times its size.
type frequency struct {
	counts []byte
	mask   uint64
	added  int
}

func (f *frequency) reset(entries int) {
	size := uint64(64)
	for size < uint64(entries)*4 {
		size *= 2
	}
	f.counts, f.mask = make([]byte, size), size-1
}

func (f *frequency) slots(key uint64) (at [4]uint64) {
	for i := range at {
		key = (key ^ key>>31) * 0x9e3779b97f4a7c15
		at[i] = key >> 20 & f.mask
	}
	return at
}

const maxFrequency = 15

func (f *frequency) add(key uint64) {
	least := f.estimate(key)
	if least >= maxFrequency {
		return
	}
	for _, at := range f.slots(key) {
		if f.counts[at] == least {
			f.counts[at]++
		}
	}
	if f.added++; f.added >= 10*len(f.counts) {
		f.added = 0
		for i := range f.counts {
			f.counts[i] /= 2
		}
	}
}

func (f *frequency) estimate(key uint64) byte {
	least := byte(255)
	for _, at := range f.slots(key) {
		least = min(least, f.counts[at])
	}
	return least
}
