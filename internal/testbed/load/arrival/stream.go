package arrival

import (
	"container/heap"
	"math/rand"
	"time"
)

// fromSeconds converts seconds to whole nanoseconds. More than 1e9 seconds become never.
func fromSeconds(seconds float64) time.Duration {
	if seconds > 1e9 {
		return never
	}
	return time.Duration(seconds * float64(time.Second))
}

// steadyStream generates arrivals with equal gaps.
type steadyStream struct {
	rate  float64 // requests per second
	count int64   // arrivals generated so far
}

func (s *steadyStream) Next() (time.Duration, bool) {
	if s.rate <= 0 {
		return 0, false
	}
	at := fromSeconds(float64(s.count) / s.rate) // computed from the count, so that rounding errors don't accumulate
	s.count++
	return at, at < never
}

// varyingRateStream is a Poisson process whose rate varies over time. It draws candidates at the maximum rate and
// accepts each with the probability rate/maximum, where rate is the rate at the candidate's time.
type varyingRateStream struct {
	random  *rand.Rand
	maximum float64                     // maximum of rate
	rate    func(time.Duration) float64 // requests per second at a time
	seconds float64                     // time of the last candidate
}

// maxRejectedCandidates is the number of consecutive rejected candidates after which a stream ends, because its rate
// has dropped to 0 for good. A shape that continues after such a long gap would need a rate a million times below its
// peak.
const maxRejectedCandidates = 10_000_000

func (v *varyingRateStream) Next() (time.Duration, bool) {
	if v.maximum <= 0 {
		return 0, false
	}
	for range maxRejectedCandidates {
		v.seconds += v.random.ExpFloat64() / v.maximum
		at := fromSeconds(v.seconds)
		if at == never {
			return 0, false
		}
		rate := v.rate(at)
		if rate >= v.maximum || v.random.Float64()*v.maximum < rate {
			return at, true
		}
	}
	return 0, false
}

// modulatedStream is a Poisson process with a constant rate in each state. When a state ends, the process enters the
// next one.
type modulatedStream struct {
	random        *rand.Rand
	drawState     func(number int) (rate float64, length time.Duration)
	statesEntered int
	rate          float64
	at            time.Duration // last arrival, or start of the state if it is later
	stateEnd      time.Duration
}

func (m *modulatedStream) enterState() {
	var length time.Duration
	m.rate, length = m.drawState(m.statesEntered)
	m.statesEntered++
	m.stateEnd += max(length, 1)
}

func (m *modulatedStream) Next() (time.Duration, bool) {
	for m.stateEnd < never/2 {
		if m.rate > 0 {
			at := m.at + fromSeconds(m.random.ExpFloat64()/m.rate)
			if at < m.stateEnd && at >= m.at {
				m.at = at
				return at, true
			}
		}
		// The process has no memory, so a time after the end of the state is discarded and drawn again in the next
		// state.
		m.at = m.stateEnd
		m.enterState()
	}
	return 0, false
}

// replayStream generates recorded times, or a random time in the gap that follows each recorded time.
type replayStream struct {
	times     []time.Duration
	random    *rand.Rand    // nil: generate the recorded times themselves
	nextIndex int           // index into times
	last      time.Duration // last generated time
}

func (r *replayStream) Next() (time.Duration, bool) {
	if r.nextIndex >= len(r.times) {
		return 0, false
	}
	at := r.times[r.nextIndex]
	r.nextIndex++
	if r.random != nil && r.nextIndex < len(r.times) {
		at += time.Duration(r.random.Float64() * float64(r.times[r.nextIndex]-at))
	}
	r.last = max(r.last, at)
	return r.last, true
}

// mergedStream merges streams in the order of their times. At equal times, the stream that was added first comes first.
type mergedStream struct{ heads []streamHead }

// streamHead is the next time of one of the merged streams.
type streamHead struct {
	at     time.Duration
	order  int // position in which the stream was added
	source Stream
}

func (m *mergedStream) Len() int { return len(m.heads) }
func (m *mergedStream) Less(i, j int) bool {
	if m.heads[i].at != m.heads[j].at {
		return m.heads[i].at < m.heads[j].at
	}
	return m.heads[i].order < m.heads[j].order
}
func (m *mergedStream) Swap(i, j int) { m.heads[i], m.heads[j] = m.heads[j], m.heads[i] }

// Push implements heap.Interface.
func (m *mergedStream) Push(pushed any) {
	head, ok := pushed.(streamHead)
	if !ok {
		panic("arrival: only a streamHead can be pushed to the heap")
	}
	m.heads = append(m.heads, head)
}

// Pop implements heap.Interface.
func (m *mergedStream) Pop() any {
	last := m.heads[len(m.heads)-1]
	m.heads = m.heads[:len(m.heads)-1]
	return last
}

func (m *mergedStream) add(source Stream) {
	if at, ok := source.Next(); ok {
		heap.Push(m, streamHead{at, len(m.heads), source})
	}
}

func (m *mergedStream) Next() (time.Duration, bool) {
	if len(m.heads) == 0 {
		return 0, false
	}
	first := &m.heads[0]
	at := first.at
	if next, ok := first.source.Next(); ok {
		first.at = next
		heap.Fix(m, 0)
	} else {
		heap.Pop(m)
	}
	return at, true
}

// thinnedStream passes on each time of its source with a probability.
type thinnedStream struct {
	source      Stream
	random      *rand.Rand
	probability float64
}

func (t *thinnedStream) Next() (time.Duration, bool) {
	if t.probability <= 0 {
		return 0, false
	}
	for {
		at, ok := t.source.Next()
		if !ok || t.random.Float64() < t.probability {
			return at, ok
		}
	}
}

// boundedStream ends its source at a time.
type boundedStream struct {
	source Stream
	end    time.Duration
}

func (b *boundedStream) Next() (time.Duration, bool) {
	at, ok := b.source.Next()
	return at, ok && at < b.end
}

// sequenceStream generates the times of its parts one after the other. The times of a part count from the part's start.
type sequenceStream struct {
	parts   []Shape
	newPart func(part int) Stream
	part    int           // index of the current part
	source  Stream        // of the current part; nil: not created yet
	start   time.Duration // start of the current part
}

func (s *sequenceStream) Next() (time.Duration, bool) {
	for s.part < len(s.parts) {
		if s.source == nil {
			s.source = s.newPart(s.part)
		}
		if at, ok := s.source.Next(); ok {
			return s.start + at, true
		}
		s.start += s.parts[s.part].For
		s.part, s.source = s.part+1, nil
	}
	return 0, false
}
