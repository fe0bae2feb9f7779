package arrival

import (
	"container/heap"
	"math/rand"
	"time"
)

// seconds as a time on the schedule, which counts whole nanoseconds.
func seconds(s float64) time.Duration {
	if s > 1e9 {
		return never
	}
	return time.Duration(s * float64(time.Second))
}

type steady struct {
	rate float64
	n    int64
}

func (s *steady) Next() (time.Duration, bool) {
	if s.rate <= 0 {
		return 0, false
	}
	at := seconds(float64(s.n) / s.rate) // from the count, so that no error adds up
	s.n++
	return at, at < never
}

// varying is a Poisson process whose rate changes with time: candidates at its highest rate, each kept with the
// chance of the rate there.
type varying struct {
	r    *rand.Rand
	most float64
	rate func(time.Duration) float64
	at   float64 // in seconds
	dull int     // candidates in a row that were not kept
}

// mostDull ends a process whose rate has come down to nothing for good: no shape has a gap of so many candidates
// and then goes on, but for one that was given a rate a million times under its peak.
const mostDull = 10_000_000

func (v *varying) Next() (time.Duration, bool) {
	if v.most <= 0 {
		return 0, false
	}
	for v.dull = 0; v.dull < mostDull; v.dull++ {
		v.at += v.r.ExpFloat64() / v.most
		at := seconds(v.at)
		if at == never {
			return 0, false
		}
		if rate := v.rate(at); rate >= v.most || v.r.Float64()*v.most < rate {
			return at, true
		}
	}
	return 0, false
}

// modulated is a Poisson process that stays at a rate for a while and then enters the next state.
type modulated struct {
	r     *rand.Rand
	next  func(k int) (rate float64, stay time.Duration)
	k     int
	rate  float64
	at    time.Duration
	until time.Duration
}

func (m *modulated) enter() {
	var stay time.Duration
	m.rate, stay = m.next(m.k)
	m.k++
	m.until += max(stay, 1)
}

func (m *modulated) Next() (time.Duration, bool) {
	for m.until < never/2 {
		if m.rate > 0 {
			if at := m.at + seconds(m.r.ExpFloat64()/m.rate); at < m.until && at >= m.at {
				m.at = at
				return at, true
			}
		}
		m.at = m.until // memoryless: what was drawn past the change counts for nothing
		m.enter()
	}
	return 0, false
}

type replay struct {
	times []time.Duration
	r     *rand.Rand // nil: at the times themselves, else somewhere in the gap behind each
	n     int
	last  time.Duration
}

func (p *replay) Next() (time.Duration, bool) {
	if p.n >= len(p.times) {
		return 0, false
	}
	at := p.times[p.n]
	p.n++
	if p.r != nil && p.n < len(p.times) {
		at += time.Duration(p.r.Float64() * float64(p.times[p.n]-at))
	}
	p.last = max(p.last, at)
	return p.last, true
}

// merged gives the times of several streams in order; of equal times the earlier part's first.
type merged struct{ heads []head }

type head struct {
	at   time.Duration
	part int
	from Stream
}

func (m *merged) Len() int { return len(m.heads) }
func (m *merged) Less(i, j int) bool {
	if m.heads[i].at != m.heads[j].at {
		return m.heads[i].at < m.heads[j].at
	}
	return m.heads[i].part < m.heads[j].part
}
func (m *merged) Swap(i, j int) { m.heads[i], m.heads[j] = m.heads[j], m.heads[i] }
func (m *merged) Push(x any)    { m.heads = append(m.heads, x.(head)) }
func (m *merged) Pop() any {
	last := m.heads[len(m.heads)-1]
	m.heads = m.heads[:len(m.heads)-1]
	return last
}

func (m *merged) add(from Stream) {
	if at, ok := from.Next(); ok {
		heap.Push(m, head{at, len(m.heads), from})
	}
}

func (m *merged) Next() (time.Duration, bool) {
	if len(m.heads) == 0 {
		return 0, false
	}
	first := &m.heads[0]
	at := first.at
	if next, ok := first.from.Next(); ok {
		first.at = next
		heap.Fix(m, 0)
	} else {
		heap.Pop(m)
	}
	return at, true
}

type thinned struct {
	from Stream
	r    *rand.Rand
	keep float64
}

func (t *thinned) Next() (time.Duration, bool) {
	if t.keep <= 0 {
		return 0, false
	}
	for {
		at, ok := t.from.Next()
		if !ok || t.r.Float64() < t.keep {
			return at, ok
		}
	}
}

type bounded struct {
	from Stream
	end  time.Duration
}

func (b *bounded) Next() (time.Duration, bool) {
	at, ok := b.from.Next()
	return at, ok && at < b.end
}

// sequence plays its parts one behind the other; a part's own times count from its start.
type sequence struct {
	parts []Shape
	make  func(i int) Stream
	i     int
	from  Stream
	start time.Duration
}

func (s *sequence) Next() (time.Duration, bool) {
	for s.i < len(s.parts) {
		if s.from == nil {
			s.from = s.make(s.i)
		}
		if at, ok := s.from.Next(); ok {
			return s.start + at, true
		}
		s.start += s.parts[s.i].For
		s.i, s.from = s.i+1, nil
	}
	return 0, false
}
