package store

import (
	"flag"
	"fmt"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestIndexAgainstMap(t *testing.T) {
	if err := flag.Set("rapid.seed", "5"); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		var x index
		m := map[Key]uint32{}
		keys := rapid.IntRange(0, 60)
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				k, at := hexKey(keys.Draw(t, "key")), rapid.Uint32().Draw(t, "at")
				old, replaced := x.put(location{key: k, segment: 1, offset: at})
				if want, ok := m[k]; ok != replaced || replaced && old.offset != want {
					t.Fatalf("put returned offset %v, replaced %v; expected %v, %v", old.offset, replaced, want, ok)
				}
				m[k] = at
			},
			"remove": func(t *rapid.T) {
				k := hexKey(keys.Draw(t, "key"))
				_, removed := x.remove(&k)
				if _, ok := m[k]; ok != removed {
					t.Fatal("remove and the map disagree on whether the key was there")
				}
				delete(m, k)
			},
			"": func(t *rapid.T) {
				if x.count != len(m) {
					t.Fatalf("the index counts %d keys, expected %d", x.count, len(m))
				}
				for k, at := range m {
					if p, ok := x.get(&k); !ok || p.offset != at {
						t.Fatalf("get of key %s returned %v, %v", k, p, ok)
					}
				}
			},
		})
	})
}

func hexKey(n int) (k Key) {
	copy(k[:], fmt.Sprintf("%016x", uint64(n)*0x9e3779b97f4a7c15))
	return k
}

const million = 1 << 20

func keysFor(n int) []Key {
	keys := make([]Key, n)
	for i := range keys {
		keys[i] = hexKey(i)
	}
	return keys
}

// reportMemory reports the bytes per entry and the duration of a garbage collection for a table with a million entries.
func reportMemory(b *testing.B, before runtime.MemStats) {
	b.Helper()
	var after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/million, "bytes/entry")
	began := time.Now()
	runtime.GC()
	b.ReportMetric(float64(time.Since(began).Microseconds()), "us/collection")
}

func BenchmarkIndex(b *testing.B) {
	keys := keysFor(million)
	var before runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var x index
	for i := range keys {
		x.put(location{key: keys[i], segment: 1, offset: uint32(i)})
	}
	i := 0
	for b.Loop() {
		i = (i*5 + 1) % million
		x.get(&keys[i])
	}
	reportMemory(b, before)
	runtime.KeepAlive(&x)
}

func BenchmarkMap(b *testing.B) {
	keys := keysFor(million)
	var before runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	m := map[Key]*[3]uint32{}
	for i := range keys {
		m[keys[i]] = &[3]uint32{1, uint32(i), 0}
	}
	i := 0
	for b.Loop() {
		i = (i*5 + 1) % million
		_ = m[keys[i]]
	}
	reportMemory(b, before)
	runtime.KeepAlive(m)
}
