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
		last := c.order.Back()
		delete(c.at, last.Value.(uint64))
		c.order.Remove(last)
	}
	c.at[key] = c.order.PushFront(key)
	return false
}

// Hit ratios of ours and of the plain one: Zipf traffic, the same with a scan of keys that come once, with a flood of
// unique keys at twice the rate.
func TestHitRatioBeatsLRU(t *testing.T) {
	const most, keys = 1600, 20000
	for _, c := range []struct {
		name  string
		other int // unique keys for each usual one
		gain  float64
	}{{"zipf", 0, 0}, {"scan", 1, 0.03}, {"flood", 2, 0.05}} {
		ours := NewCache[int](most*(8+slotBytes), 8)
		plain := &plainLRU{most, list.New(), map[uint64]*list.Element{}}
		r := rand.New(rand.NewSource(2))
		z := rand.NewZipf(r, 1.1, 1, keys)
		hits, plainHits, n := 0, 0, 0
		unique := uint64(1 << 40)
		ask := func(key uint64, counted bool) {
			_, ok := ours.Get(key)
			if !ok {
				ours.Put(key, 0)
			}
			hit := plain.hit(key)
			if counted {
				n++
				if ok {
					hits++
				}
				if hit {
					plainHits++
				}
			}
		}
		for i := range 200000 {
			ask(z.Uint64(), i > 50000)
			for range c.other {
				unique++
				ask(unique, false)
			}
		}
		a, b := float64(hits)/float64(n), float64(plainHits)/float64(n)
		t.Logf("%s: %.3f ours, %.3f plain LRU", c.name, a, b)
		if a < b+c.gain {
			t.Errorf("%s: %.3f ours, %.3f plain LRU", c.name, a, b)
		}
		if ours.Len() > most {
			t.Errorf("%d entries, %d allowed", ours.Len(), most)
		}
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
	c := &plainLRU{1 << 20 / (8 + slotBytes), list.New(), map[uint64]*list.Element{}}
	z := rand.NewZipf(rand.New(rand.NewSource(2)), 1.1, 1, 20000)
	b.ReportAllocs()
	for b.Loop() {
		c.hit(z.Uint64())
	}
}

// What a book takes stays within its bytes, also when no shape ever repeats.
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
