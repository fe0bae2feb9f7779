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

// Each test run draws the same values; -rapid.seed=0 draws others.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// reference compares a wheel with a plain list of the same timers.
type reference struct {
	t      *rapid.T
	wheel  *Wheel
	now    Tick
	timers []referenceTimer
	added  uint64
}

type referenceTimer struct {
	at     Tick
	number uint64
	timer  Timer
}

// drawSpan draws a duration that may be in any level of the wheel, or beyond the top level.
func (r *reference) drawSpan(minimum int64, label string) Tick {
	return Tick(rapid.Int64Range(minimum, 1<<rapid.IntRange(1, 38).Draw(r.t, "bits")).Draw(r.t, label))
}

func (r *reference) add() {
	at := r.now + r.drawSpan(-5, "in")
	r.added++
	r.timers = append(r.timers, referenceTimer{max(at, r.now+1), r.added, r.wheel.Add(at, r.added)})
}

func (r *reference) stop() {
	if len(r.timers) == 0 {
		return
	}
	index := rapid.IntRange(0, len(r.timers)-1).Draw(r.t, "which")
	if !r.wheel.Stop(r.timers[index].timer) || r.wheel.Stop(r.timers[index].timer) {
		r.t.Fatal("stopping a timer twice: expected success the first time only")
	}
	r.timers = slices.Delete(r.timers, index, index+1)
}

func (r *reference) advance() {
	to := r.now + r.drawSpan(0, "by")
	r.checkNext()
	last := r.now
	r.wheel.Advance(to, func(number uint64) {
		index := slices.IndexFunc(r.timers, func(timer referenceTimer) bool { return timer.number == number })
		if index < 0 || r.timers[index].at > to || r.timers[index].at < last {
			r.t.Fatalf("timer %d fired at the wrong time while advancing to %d; time of the previous timer %d; timers set: %v",
				number, to, last, r.timers)
		}
		last = r.timers[index].at
		r.timers = slices.Delete(r.timers, index, index+1)
	})
	r.now = to
	for _, timer := range r.timers {
		if timer.at <= r.now {
			r.t.Fatalf("timer due at %d did not fire by %d", timer.at, r.now)
		}
	}
}

func (r *reference) checkNext() {
	at, ok := r.wheel.Next()
	if ok != (len(r.timers) > 0) {
		r.t.Fatalf("Next returned %v, %v while %d timers were set", at, ok, len(r.timers))
	}
	for _, timer := range r.timers {
		if timer.at < at {
			r.t.Fatalf("a timer is due at %d, before %d, which Next returned", timer.at, at)
		}
	}
}

// After any sequence of adding, stopping and advancing, the wheel has fired the same timers as a plain list, each at
// its time and in order.
func TestWheelFiresAsPlainList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := Tick(rapid.Int64Range(0, 1<<40).Draw(t, "start"))
		r := &reference{t: t, wheel: New(now), now: now}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				r.add()
			case 2:
				r.stop()
			case 3:
				r.advance()
			}
			if r.wheel.Len() != len(r.timers) {
				t.Fatalf("%d timers are set, expected %d", r.wheel.Len(), len(r.timers))
			}
		}
	})
}

// A timer that fires may add another timer for its own time and stop the next timer of the same tick.
func TestAddAndStopWhileFiring(t *testing.T) {
	wheel := New(0)
	var got []uint64
	var third Timer
	wheel.Add(5, 1)
	third = wheel.Add(5, 3)
	wheel.Advance(10, func(number uint64) {
		got = append(got, number)
		if number == 1 {
			wheel.Add(5, 2) // fires at 6, because 5 is the current time
			wheel.Stop(third)
		}
	})
	if !slices.Equal(got, []uint64{1, 2}) {
		t.Errorf("fired timers: %v, expected 1 and 2", got)
	}
}

// openTimers is the number of timers that the benchmarks keep set. Like a load, BenchmarkWheel and BenchmarkAfterFunc
// set timers for timeouts and stop most of them early, as if an answer had arrived.
const openTimers = 100_000

func BenchmarkWheel(b *testing.B) {
	wheel := New(0)
	random := rand.New(rand.NewSource(1))
	timers := make([]Timer, openTimers)
	for i := range timers {
		timers[i] = wheel.Add(Tick(random.Intn(50000)+1), uint64(i))
	}
	b.ReportAllocs()
	now := Tick(0)
	for n := 0; b.Loop(); n++ {
		i := n % openTimers
		wheel.Stop(timers[i])
		timers[i] = wheel.Add(now+Tick(random.Intn(50000)+1), uint64(i))
		if n%8 == 0 {
			now++
			wheel.Advance(now, func(number uint64) { timers[number] = wheel.Add(now+50000, number) })
		}
	}
}

func BenchmarkAfterFunc(b *testing.B) {
	random := rand.New(rand.NewSource(1))
	timers := make([]*time.Timer, openTimers)
	for i := range timers {
		timers[i] = time.AfterFunc(time.Duration(random.Intn(50000)+50000)*100*time.Microsecond, func() {})
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		i := n % openTimers
		timers[i].Stop()
		timers[i] = time.AfterFunc(time.Duration(random.Intn(50000)+50000)*100*time.Microsecond, func() {})
	}
	for _, timer := range timers {
		timer.Stop()
	}
}

type heapTimer struct {
	at    Tick
	index int
}

type timerHeap []*heapTimer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *timerHeap) Push(pushed any) {
	timer, ok := pushed.(*heapTimer)
	if !ok {
		panic("only a heapTimer can be pushed to the heap")
	}
	timer.index = len(*h)
	*h = append(*h, timer)
}
func (h *timerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func BenchmarkHeap(b *testing.B) {
	random := rand.New(rand.NewSource(1))
	var timersByTime timerHeap
	timers := make([]*heapTimer, openTimers)
	for i := range timers {
		timers[i] = &heapTimer{at: Tick(random.Intn(50000) + 1)}
		heap.Push(&timersByTime, timers[i])
	}
	b.ReportAllocs()
	now := Tick(0)
	for n := 0; b.Loop(); n++ {
		timer := timers[n%openTimers]
		timer.at = now + Tick(random.Intn(50000)+1)
		heap.Fix(&timersByTime, timer.index)
		if n%8 == 0 {
			now++
			for timersByTime[0].at <= now {
				timersByTime[0].at = now + 50000
				heap.Fix(&timersByTime, 0)
			}
		}
	}
}
