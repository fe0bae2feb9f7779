package timerwheel

import (
	"container/heap"
	"flag"
	"math/rand"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The same runs each time; -rapid.seed=0 draws others.
func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
}

// The wheel against a plain list of times: whatever is added, called off and moved, the same timers come, each at its
// time, in order.
func TestAgainstList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := Tick(rapid.Int64Range(0, 1<<40).Draw(t, "start"))
		w := New(now)
		type timer struct {
			at   Tick
			what uint64
			name Timer
		}
		var set []timer
		next := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				// Lengths of all levels, and past the last one.
				at := now + Tick(rapid.Int64Range(-5, 1<<rapid.IntRange(1, 38).Draw(t, "bits")).Draw(t, "in"))
				next++
				set = append(set, timer{max(at, now+1), next, w.Add(at, next)})
			case 2:
				if len(set) > 0 {
					i := rapid.IntRange(0, len(set)-1).Draw(t, "which")
					if !w.Stop(set[i].name) || w.Stop(set[i].name) {
						t.Fatal("a timer that was set could not be called off once")
					}
					set = slices.Delete(set, i, i+1)
				}
			case 3:
				to := now + Tick(rapid.Int64Range(0, 1<<rapid.IntRange(1, 38).Draw(t, "bits")).Draw(t, "by"))
				if at, ok := w.Next(); ok != (len(set) > 0) {
					t.Fatalf("next: %v %v with %d set", at, ok, len(set))
				} else if ok {
					for _, one := range set {
						if one.at < at {
							t.Fatalf("a timer comes at %d, before %d", one.at, at)
						}
					}
				}
				last := now
				w.Advance(to, func(what uint64) {
					i := slices.IndexFunc(set, func(one timer) bool { return one.what == what })
					if i < 0 || set[i].at > to || set[i].at < last {
						t.Fatalf("timer %d came in moving to %d, last %d: %v", what, to, last, set)
					}
					last = set[i].at
					set = slices.Delete(set, i, i+1)
				})
				now = to
				for _, one := range set {
					if one.at <= now {
						t.Fatalf("timer for %d did not come by %d", one.at, now)
					}
				}
			}
			if w.Len() != len(set) {
				t.Fatalf("%d are set, expected %d", w.Len(), len(set))
			}
		}
	})
}

// A timer that sets another for the same time, and one that stops its neighbour.
func TestWhileFiring(t *testing.T) {
	w := New(0)
	var got []uint64
	var third Timer
	w.Add(5, 1)
	third = w.Add(5, 3)
	w.Advance(10, func(what uint64) {
		got = append(got, what)
		if what == 1 {
			w.Add(5, 2) // comes a tick later
			w.Stop(third)
		}
	})
	if !slices.Equal(got, []uint64{1, 2}) {
		t.Errorf("came: %v", got)
	}
}

// What a load does with a timer: set a attempt timeout, call it off when the answer comes, with 100,000 open.
const open = 100_000

func BenchmarkWheel(b *testing.B) {
	w := New(0)
	r := rand.New(rand.NewSource(1))
	names := make([]Timer, open)
	for i := range names {
		names[i] = w.Add(Tick(r.Intn(50000)+1), uint64(i))
	}
	b.ReportAllocs()
	now := Tick(0)
	for n := 0; b.Loop(); n++ {
		i := n % open
		w.Stop(names[i])
		names[i] = w.Add(now+Tick(r.Intn(50000)+1), uint64(i))
		if n%8 == 0 {
			now++
			w.Advance(now, func(what uint64) { names[what] = w.Add(now+50000, what) })
		}
	}
}

func BenchmarkAfterFunc(b *testing.B) {
	r := rand.New(rand.NewSource(1))
	timers := make([]*time.Timer, open)
	for i := range timers {
		timers[i] = time.AfterFunc(time.Duration(r.Intn(50000)+50000)*100*time.Microsecond, func() {})
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		i := n % open
		timers[i].Stop()
		timers[i] = time.AfterFunc(time.Duration(r.Intn(50000)+50000)*100*time.Microsecond, func() {})
	}
	for _, t := range timers {
		t.Stop()
	}
}

type heaped struct {
	at    Tick
	what  int
	place int
}

type timerHeap []*heaped

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}
func (h *timerHeap) Push(x any) { x.(*heaped).place = len(*h); *h = append(*h, x.(*heaped)) }
func (h *timerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func BenchmarkHeap(b *testing.B) {
	r := rand.New(rand.NewSource(1))
	var h timerHeap
	timers := make([]*heaped, open)
	for i := range timers {
		timers[i] = &heaped{at: Tick(r.Intn(50000) + 1), what: i}
		heap.Push(&h, timers[i])
	}
	b.ReportAllocs()
	now := Tick(0)
	for n := 0; b.Loop(); n++ {
		t := timers[n%open]
		t.at = now + Tick(r.Intn(50000)+1)
		heap.Fix(&h, t.place)
		if n%8 == 0 {
			now++
			for h[0].at <= now {
				h[0].at = now + 50000
				heap.Fix(&h, 0)
			}
		}
	}
}
