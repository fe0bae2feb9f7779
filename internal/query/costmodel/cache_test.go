package costmodel

import (
	"container/list"
	"fmt"
	"math/rand"
	"runtime"
	"testing"
)

// plainLRU is an LRU cache without admission control, with which Cache is compared.
type plainLRU struct {
	maxEntries int
	order      *list.List
	byKey      map[uint64]*list.Element
}

func (c *plainLRU) request(key uint64) bool {
	if e, ok := c.byKey[key]; ok {
		c.order.MoveToFront(e)
		return true
	}
	if c.order.Len() >= c.maxEntries {
		if last, ok := c.order.Remove(c.order.Back()).(uint64); ok {
			delete(c.byKey, last)
		}
	}
	c.byKey[key] = c.order.PushFront(key)
	return false
}

// cacheComparison requests the same keys from a Cache and a plain LRU cache, and counts the hits.
type cacheComparison struct {
	cache                     *Cache[int]
	plain                     *plainLRU
	requests, hits, plainHits int
}

func (c *cacheComparison) request(key uint64, counted bool) {
	_, hit := c.cache.Get(key)
	if !hit {
		c.cache.Put(key, 0)
	}
	plainHit := c.plain.request(key)
	if !counted {
		return
	}
	c.requests++
	if hit {
		c.hits++
	}
	if plainHit {
		c.plainHits++
	}
}

// The hit ratio of the cache is higher than that of a plain LRU cache: for keys with a Zipf distribution, for these
// together with a scan of keys that are requested once, and for these together with twice as many unique keys.
func TestHitRatioBeatsLRU(t *testing.T) {
	const maxEntries, keys = 1600, 20000
	const requests, warmup = 200000, 50000
	for _, c := range []struct {
		name   string
		unique int // keys that are requested once, for each key of the distribution
		gain   float64
	}{{"zipf", 0, 0}, {"scan", 1, 0.03}, {"flood", 2, 0.05}} {
		t.Run(c.name, func(t *testing.T) {
			caches := cacheComparison{cache: NewCache[int](maxEntries*(8+entryOverheadBytes), 8), plain: &plainLRU{maxEntries, list.New(), map[uint64]*list.Element{}}}
			zipf := rand.NewZipf(rand.New(rand.NewSource(2)), 1.1, 1, keys)
			unique := uint64(1 << 40)
			for i := range requests {
				caches.request(zipf.Uint64(), i > warmup)
				for range c.unique {
					unique++
					caches.request(unique, false)
				}
			}
			hitRatio, plainHitRatio := float64(caches.hits)/float64(caches.requests), float64(caches.plainHits)/float64(caches.requests)
			t.Logf("hit ratio %.3f, plain LRU %.3f", hitRatio, plainHitRatio)
			if hitRatio < plainHitRatio+c.gain {
				t.Errorf("hit ratio %.3f, plain LRU %.3f: the gain is too small", hitRatio, plainHitRatio)
			}
			if caches.cache.Len() > maxEntries {
				t.Errorf("%d entries, at most %d allowed", caches.cache.Len(), maxEntries)
			}
		})
	}
}

func BenchmarkCache(b *testing.B) {
	c := NewCache[int](1<<20, 8)
	z := rand.NewZipf(rand.New(rand.NewSource(2)), 1.1, 1, 20000)
	b.ReportAllocs()
	for b.Loop() {
		k := z.Uint64()
		if _, ok := c.Get(k); !ok {
			c.Put(k, 0)
		}
	}
}

func BenchmarkPlainLRU(b *testing.B) {
	c := &plainLRU{1 << 20 / (8 + entryOverheadBytes), list.New(), map[uint64]*list.Element{}}
	z := rand.NewZipf(rand.New(rand.NewSource(2)), 1.1, 1, 20000)
	b.ReportAllocs()
	for b.Loop() {
		c.request(z.Uint64())
	}
}

// A model does not exceed its memory by more than a quarter, even if no shape repeats.
func TestModelStaysWithinBytes(t *testing.T) {
	const maxBytes = 2 << 20
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	model := NewModel(maxBytes, 1, nil)
	for i := range 30000 {
		s := model.Inspect([]byte(fmt.Sprintf("SELECT c%d FROM t_%d.m WHERE k%d = 1 GROUP BY c%d", i, i%7, i%11, i)), i%7, 0)
		model.Observe(&s, 50, 64)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if took := int64(after.HeapAlloc) - int64(before.HeapAlloc); took > maxBytes*5/4 {
		t.Errorf("%d bytes exceed %d by more than a quarter", took, maxBytes)
	} else {
		t.Logf("%d bytes of %d; %d shapes, %d costs", took, maxBytes, model.shapes.Len(), model.records.Len())
	}
	runtime.KeepAlive(model)
}
