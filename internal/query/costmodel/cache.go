package costmodel

import (
	"hash/maphash"
	"math"
	"sync"
)

// Cache holds values by key in a bounded amount of memory. It is a CLOCK cache with admission by frequency (TinyLFU):
// when it is full, a new key replaces an old one only if it was requested more often recently. A client that never
// repeats a statement thus does not evict the statements of others. Keys are distributed over shards, each with its
// own lock. The methods are safe for concurrent use.
type Cache[V any] struct{ shards [cacheShards]cacheShard[V] }

// cacheShards is sufficient because a gateway's sessions run on a few cores, and hold the lock of a shard for some
// tens of nanoseconds.
const cacheShards = 16

// minShardEntries is the minimum capacity of a shard.
const minShardEntries = 4

type cacheShard[V any] struct {
	mu           sync.Mutex
	entryIndices map[uint64]int32 // indices in entries, by key
	entries      []cacheEntry[V]
	capacity     int
	hand         int // index of the entry that is the next candidate for eviction
	frequency    frequency
	_            [40]byte // padding, which keeps shards out of each other's CPU cache lines
}

type cacheEntry[V any] struct {
	key   uint64
	value V
	used  bool // it was read since the hand passed it
}

// entryOverheadBytes is the memory of an entry without its value.
const entryOverheadBytes = 56

// NewCache returns a cache that takes up to about the given number of bytes, if each value takes about valueBytes.
func NewCache[V any](bytes int64, valueBytes int) *Cache[V] {
	c := &Cache[V]{}
	capacity := max(minShardEntries, int(bytes/int64(valueBytes+entryOverheadBytes)/cacheShards))
	for i := range c.shards {
		shard := &c.shards[i]
		shard.capacity, shard.entryIndices = capacity, map[uint64]int32{}
		shard.frequency.reset(capacity)
	}
	return c
}

func (c *Cache[V]) shard(key uint64) *cacheShard[V] {
	return &c.shards[spreadKey(key)>>60%cacheShards]
}

// keySeed is a random number that is drawn at start and determines the distribution of the keys, because clients may
// choose keys. It affects only which shard and counters a key has.
var keySeed = func() uint64 { return maphash.Bytes(maphash.MakeSeed(), []byte("cache")) | 1 }()

func spreadKey(key uint64) uint64 {
	key = (key ^ keySeed) * 0xbf58476d1ce4e5b9
	return (key ^ key>>29) * keySeed
}

// Get returns the value of a key; ok is false if there is none.
func (c *Cache[V]) Get(key uint64) (value V, ok bool) {
	ok = c.Visit(key, func(found V) { value = found })
	return value, ok
}

// Visit calls visit with the value of a key while it holds the lock of the key's shard. It reports whether there is a
// value.
func (c *Cache[V]) Visit(key uint64, visit func(V)) bool {
	shard := c.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.frequency.add(spreadKey(key))
	index, ok := shard.entryIndices[key]
	if ok {
		shard.entries[index].used = true
		visit(shard.entries[index].value)
	}
	return ok
}

// Put offers a value to the cache. It reports whether the value was admitted, and returns the value that was evicted
// in its place, if any.
func (c *Cache[V]) Put(key uint64, value V) (evicted V, admitted bool) {
	shard := c.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if index, ok := shard.entryIndices[key]; ok {
		shard.entries[index].value = value
		return evicted, true
	}
	if len(shard.entries) < shard.capacity {
		shard.entryIndices[key] = int32(len(shard.entries))
		shard.entries = append(shard.entries, cacheEntry[V]{key: key, value: value})
		return evicted, true
	}
	for shard.entries[shard.hand].used {
		shard.entries[shard.hand].used = false
		shard.moveHand()
	}
	victim := &shard.entries[shard.hand]
	if shard.frequency.estimate(spreadKey(key)) <= shard.frequency.estimate(spreadKey(victim.key)) {
		shard.moveHand() // the next new key is compared with another entry
		return evicted, false
	}
	evicted = victim.value
	delete(shard.entryIndices, victim.key)
	shard.entryIndices[key] = int32(shard.hand)
	*victim = cacheEntry[V]{key: key, value: value}
	shard.moveHand()
	return evicted, true
}

func (s *cacheShard[V]) moveHand() { s.hand = (s.hand + 1) % len(s.entries) }

// Clear removes all values; the frequencies of keys are kept.
func (c *Cache[V]) Clear() {
	for i := range c.shards {
		shard := &c.shards[i]
		shard.mu.Lock()
		clear(shard.entryIndices)
		clear(shard.entries)
		shard.entries, shard.hand = shard.entries[:0], 0
		shard.mu.Unlock()
	}
}

// Len returns the number of values.
func (c *Cache[V]) Len() (count int) {
	for i := range c.shards {
		shard := &c.shards[i]
		shard.mu.Lock()
		count += len(shard.entries)
		shard.mu.Unlock()
	}
	return count
}

// VisitAll calls visit for all values, in no particular order, while it holds the lock of their shard.
func (c *Cache[V]) VisitAll(visit func(key uint64, value V)) {
	for i := range c.shards {
		shard := &c.shards[i]
		shard.mu.Lock()
		for _, entry := range shard.entries {
			visit(entry.key, entry.value)
		}
		shard.mu.Unlock()
	}
}

// frequency is a count-min sketch of how often keys were requested recently. Each key has four counters, all in one
// array, and its estimate is the lowest of them. All counters are halved after ten times as many additions as there
// are counters.
type frequency struct {
	counts []byte
	mask   uint64
	added  int // number of additions since the counters were halved
}

const (
	countersPerKey      = 4
	countersPerEntry    = 4
	minCounters         = 64
	maxFrequency        = 15
	additionsPerCounter = 10
)

func (f *frequency) reset(entries int) {
	size := uint64(minCounters)
	for size < uint64(entries)*countersPerEntry {
		size *= 2
	}
	f.counts, f.mask = make([]byte, size), size-1
}

// counterIndices returns the indices of a key's counters.
func (f *frequency) counterIndices(key uint64) (indices [countersPerKey]uint64) {
	for row := range indices {
		key = (key ^ key>>31) * 0x9e3779b97f4a7c15
		indices[row] = key >> 20 & f.mask
	}
	return indices
}

// add counts a request for a key. Only the lowest of the key's counters are incremented, which reduces the effect of
// collisions.
func (f *frequency) add(key uint64) {
	least := f.estimate(key)
	if least >= maxFrequency {
		return
	}
	for _, index := range f.counterIndices(key) {
		if f.counts[index] == least {
			f.counts[index]++
		}
	}
	f.added++
	if f.added < additionsPerCounter*len(f.counts) {
		return
	}
	f.added = 0
	for index := range f.counts {
		f.counts[index] /= 2
	}
}

func (f *frequency) estimate(key uint64) byte {
	least := byte(math.MaxUint8)
	for _, index := range f.counterIndices(key) {
		least = min(least, f.counts[index])
	}
	return least
}
