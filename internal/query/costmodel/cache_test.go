package costmodel

import (
	"container/list"
	"fmt"
	"math/rand"
	"runtime"
	"testing"
)

// plainLRU is the plain cache that ours is measured against.
type plainLRU struct {
	most  int
	order *list.List
	at    map[uint64]*list.Element
}

func (c *plainLRU) hit(key uint64) bool {
	if e, ok := c.at[key]; ok {
		c.order.MoveToFront(e)
		return true
	}
	if c.order.Len() >= c.most {
		if last, ok := c.order.Remove(c.order.Back()).(uint64); ok {
			delete(c.at, last)
		}
	}
	c.at[key] = c.order.PushFront(key)
	return false
}

// cacheComparison asks a cache and a plain LRU for the same keys, and counts hits.
type cacheComparison struct {
	ours                  *Cache[int]
	plain                 *plainLRU
	asked, hits, plainHit int
}

func (c *cacheComparison) ask(key uint64, counted bool) {
	_, hit := c.ours.Get(key)
	if !hit {
		c.ours.Put(key, 0)
	}
	plainHit := c.plain.hit(key)
	if !counted {
		return
	}
	c.asked++
	if hit {
		c.hits++
	}
	if plainHit {
		c.plainHit++
	}
}

// The cache's hit ratio beats that of a plain LRU: for Zipf traffic, the same with a scan of keys that come once, and with
// a flood of unique keys at twice the rate.
func TestHitRatioBeatsLRU(t *testing.T) {
	const most, keys = 1600, 20000
	const requests, warmup = 200000, 50000
	for _, c := range []struct {
		name   string
		unique int // keys that come once, for each usual one
		gain   float64
	}{{"zipf", 0, 0}, {"scan", 1, 0.03}, {"flood", 2, 0.05}} {
		t.Run(c.name, func(t *testing.T) {
			both := cacheComparison{ours: NewCache[int](most*(8+entryOverheadBytes), 8), plain: &plainLRU{most, list.New(), map[uint64]*list.Element{}}}
			zipf := rand.NewZipf(rand.New(rand.NewSource(2)), 1.1, 1, keys)
			unique := uint64(1 << 40)
			for i := range requests {
				both.ask(zipf.Uint64(), i > warmup)
				for range c.unique {
					unique++
					both.ask(unique, false)
				}
			}
			ours, plain := float64(both.hits)/float64(both.asked), float64(both.plainHit)/float64(both.asked)
			t.Logf("%.3f ours, %.3f plain LRU", ours, plain)
			if ours < plain+c.gain {
				t.Errorf("%.3f ours, %.3f plain LRU", ours, plain)
			}
			if both.ours.Len() > most {
				t.Errorf("%d entries, %d allowed", both.ours.Len(), most)
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
		c.hit(z.Uint64())
	}
}

// A model stays within its bytes, also when no shape ever repeats.
func TestModelStaysWithinBytes(t *testing.T) {
	const most = 2 << 20
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	model := NewModel(most, 1, nil)
	for i := range 30000 {
		s := model.Inspect([]byte(fmt.Sprintf("SELECT c%d FROM t_%d.m WHERE k%d = 1 GROUP BY c%d", i, i%7, i%11, i)), i%7, 0)
		model.Observe(&s, 50, 64)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if took := int64(after.HeapAlloc) - int64(before.HeapAlloc); took > most*5/4 {
		t.Errorf("%d bytes, %d allowed", took, most)
	} else {
		t.Logf("%d bytes of %d; %d shapes, %d costs", took, most, model.shapes.Len(), model.records.Len())
	}
	runtime.KeepAlive(model)
}
