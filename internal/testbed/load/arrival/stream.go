package arrival

import (
	"container/heap"
	"math/rand"
	"time"
)

// fromSeconds converts to a time on the schedule, which counts whole nanoseconds.
func fromSeconds(seconds float64) time.Duration {
	if seconds > 1e9 {
		return never
	}
	return time.Duration(seconds * float64(time.Second))
}

// steadyStream has even distances.
type steadyStream struct {
	rate  float64 // a second
	count int64
}

func (s *steadyStream) Next() (time.Duration, bool) {
	if s.rate <= 0 {
		return 0, false
	}
	at := fromSeconds(float64(s.count) / s.rate) // from the count, so that rounding errors don't add up
	s.count++
	return at, at < never
}

// varyingRateStream is a Poisson process whose rate changes with time. It draws candidates at the maximum rate and accepts
// each with the probability of the rate there.
type varyingRateStream struct {
	random  *rand.Rand
	maximum float64 // rate a second
	rate    func(time.Duration) float64
	seconds float64 // time of the last candidate
}

// maxRejectedCandidates ends a process whose rate has come down to nothing without end: no shape has a gap of so many
// candidates and then goes on, but for one that was given a rate a million times under its peak.
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

// modulatedStream is a Poisson process that keeps a rate for a while and then enters the next state.
type modulatedStream struct {
	random        *rand.Rand
	drawState     func(number int) (rate float64, length time.Duration)
	statesEntered int // entered so far
	rate          float64
	at            time.Duration
	stateEnd      time.Duration // end of the state
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
		m.at = m.stateEnd // the process has no memory, so a time past the state's end is drawn anew
		m.enterState()
	}
	return 0, false
}

type replayStream struct {
	times     []time.Duration
	random    *rand.Rand // nil: at the times themselves; otherwise somewhere in the gap that follows each
	nextIndex int        // index into times
	last      time.Duration
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

// mergedStream gives the times of several streams in order; of equal times the earlier part's first.
type mergedStream struct{ heads []streamHead }

// streamHead is the next time of one of the streams.
type streamHead struct {
	at     time.Duration
	order  int
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
		panic("arrival: the heap holds stream heads alone")
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

// thinnedStream passes each time on with a probability.
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

type boundedStream struct {
	source Stream
	end    time.Duration
}

func (b *boundedStream) Next() (time.Duration, bool) {
	at, ok := b.source.Next()
	return at, ok && at < b.end
}

// sequenceStream gives its parts' times one part after the other; a part's own times count from its start.
type sequenceStream struct {
	parts   []Shape
	newPart func(part int) Stream
	part    int
	source  Stream // of the part; nil: not made yet
	start   time.Duration
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
