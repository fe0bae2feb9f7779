package simcluster

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/counters"
)

// census is a fleet in one process and virtual time whose processes count what they have in hand.
type census struct {
	post[word]
	people []*counted
	starts uint64
	busy   float64 // events a second at each
}

// counted is one process, and what it truly had.
type counted struct {
	t       *census
	n       int
	name    string
	start   uint64
	core    *counters.Core
	rate    float64
	ahead   float64
	up      bool
	stopped Time
	truth   []instant
	nextAt  Time
}

type instant struct {
	at    Time
	of    [3]int64
	start uint64
}

// word is a message and the start of its sender.
type word struct {
	start uint64
	bytes []byte
}

// The most that one has in hand there, and for how long.
const (
	mostInHand = 40
	longInHand = 4 * admission.Second
)

func newCensus(seed uint64, n int) *census {
	t := &census{busy: 20}
	t.chance, t.latest = rand.New(rand.NewPCG(seed, 9)), 10*admission.Second
	for i := range n {
		t.people = append(t.people, &counted{t: t, n: i, name: fmt.Sprint("g", i), rate: 0.955 + 0.09*t.chance.Float64(), ahead: float64(t.chance.IntN(1e6))})
	}
	for _, p := range t.people {
		p.begin()
	}
	return t
}

func (p *counted) clock() Time { return Time(float64(p.t.now)*p.rate + p.ahead) }

// since is the time at which its clock showed something.
func (p *counted) since(clock Time) Time { return Time((float64(clock) - p.ahead) / p.rate) }

func (p *counted) begin() {
	p.t.starts++
	p.start, p.up, p.nextAt = p.t.starts, true, p.t.now
	p.truth = append(p.truth, instant{p.t.now, [3]int64{}, p.start})
	p.core = counters.New(p.clock(), p.name, len(p.t.people), mostInHand, longInHand, p)
}

// end is its death: it has nothing any more.
func (p *counted) end() {
	p.up = false
	p.truth = append(p.truth, instant{p.t.now, [3]int64{}, p.start})
}

func (p *counted) Send(to string, m []byte) {
	n := slices.IndexFunc(p.t.people, func(q *counted) bool { return q.name == to })
	p.t.send(p.n, []int{n}, word{p.start, m}, len(m))
}

func (p *counted) Peers() (out []string) {
	for _, q := range p.t.people {
		if q.n != p.n {
			out = append(out, q.name)
		}
	}
	return out
}

// step has requests come, go out and end.
func (p *counted) step() {
	now := p.clock()
	for p.nextAt <= p.t.now {
		p.nextAt += Time(p.t.chance.ExpFloat64() * float64(admission.Second) / p.t.busy)
		had := p.core.OwnCounts(counters.Key{})
		var waits, runs, handed int64
		switch p.t.chance.IntN(3) {
		case 0:
			waits = btoi64(had[counters.Waiting]+had[counters.Running] < mostInHand)
		case 1:
			waits = -btoi64(had[counters.Waiting] > 0)
			runs, handed = -waits, -waits
		case 2:
			runs = -btoi64(had[counters.Running] > 0)
		}
		by := [3]int64{waits, runs, handed}
		p.core.ApplyChanges(now, counters.Change{Delta: by}, counters.Change{Key: counters.Key{Kind: counters.KindClass, Name: "look"}, Delta: by})
		p.truth = append(p.truth, instant{p.t.now, p.core.OwnCounts(counters.Key{}), p.start})
	}
	p.core.Tick(now)
}

func btoi64(b bool) int64 { return int64(btoi(b)) }

func (t *census) pass(length Time, check func()) {
	t.post.pass(length, func(l letter[word]) {
		if p := t.people[l.to]; p.up && p.stopped <= t.now {
			p.core.HandleMessage(p.clock(), t.people[l.from].name, l.message.start, l.message.bytes)
		}
	}, func() {
		for _, p := range t.people {
			if p.up && p.stopped <= t.now {
				p.step()
			}
		}
	}, check)
}

// true tells between what all had at an instant, as clocks show whole tenths of a millisecond. Hand-offs are those since the start
// of a process: of one that is dead, or was started anew, a reader
// may know the earlier one.
func (t *census) true(figure int, at Time) (low, high int64) {
	for _, p := range t.people {
		i, _ := slices.BinarySearchFunc(p.truth, at, func(v instant, at Time) int { return int(v.at - at) })
		l, h := int64(-1), int64(0)
		from := max(0, i-1)
		if figure == counters.Attempted && (p.truth[0].start != p.truth[from].start || p.truth[from].of[figure] == 0) {
			from = 0
		}
		for k := from; k < len(p.truth) && (k < i || p.truth[k].at <= at+1); k++ {
			v := p.truth[k].of[figure]
			if k < i-1 && p.truth[k+1].start == p.truth[k].start && p.truth[k+1].of[figure] >= v {
				continue // of each process the last
			}
			if h = max(h, v); l < 0 || v < l {
				l = v
			}
		}
		low, high = low+max(0, l), high+h
	}
	return low, high
}

// wrong reads at one process, and tells what a reading says that was not so; empty: nothing.
func (t *census) wrong(p *counted) (r counters.Reading, text string) {
	k := counters.Key{Kind: counters.KindClass, Name: "look"}
	r = p.core.TakeReading(p.clock(), counters.Key{}, k)
	at := p.since(p.clock() - r.Age)
	for _, c := range r.Counts {
		for f, of := range c.Ranges {
			low, high := t.true(f, at)
			if of.Low > high || of.High >= 0 && of.High < low {
				return r, fmt.Sprintf("%.3f s, %s: as of %.3f s ago figure %d of %v %s in [%d, %d], in truth %d", float64(t.now)/float64(admission.Second), p.name,
					float64(r.Age)/float64(admission.Second), f, c.Kind, c.Name, of.Low, of.High, low)
			}
		}
	}
	return r, ""
}

// Counted is how close readings come.
type Counted struct {
	Members int
	Age     Time    // of a reading, in the mean
	Width   float64 // of the interval of requests that run, against their number
	Silent  float64 // processes that a reading knows nothing of, in the mean
	Bytes   float64 // a second a member
	Wrong   int     // readings in whose interval the truth was not
	Reads   int
}

// Census measures a fleet whose messages are lost with some chance, over ten seconds once all have heard of each other.
func Census(n int, loss float64, seed uint64) Counted {
	t := newCensus(seed, n)
	t.loss = loss
	t.pass(Time(6+n/8)*admission.Second, func() {})
	t.bytes = 0
	began := t.now
	out := Counted{Members: n}
	k := 0
	var truth float64
	t.pass(10*admission.Second, func() {
		if k++; k%5 > 0 {
			return
		}
		p := t.people[k/5%n]
		r, bad := t.wrong(p)
		if bad != "" {
			out.Wrong++
		}
		out.Reads++
		out.Age += r.Age
		out.Silent += float64(r.Unknown)
		low, _ := t.true(counters.Running, p.since(p.clock()-r.Age))
		truth += float64(low)
		out.Width += float64(r.Counts[0].Ranges[counters.Running].High - r.Counts[0].Ranges[counters.Running].Low)
	})
	out.Age /= Time(out.Reads)
	out.Silent /= float64(out.Reads)
	out.Width /= truth
	out.Bytes = float64(t.bytes) / float64(n) / (float64(t.now-began) / float64(admission.Second))
	return out
}

// CensusText writes figures as a table.
func CensusText(out io.Writer, list []Counted) {
	fmt.Fprintln(out, "members  reading's age s  interval / tasks that run  silent  bytes/s a member  wrong of readings")
	for _, c := range list {
		fmt.Fprintf(out, "%7d  %15.2f  %25.3f  %6.1f  %16.0f  %d of %d\n", c.Members, float64(c.Age)/float64(admission.Second), c.Width, c.Silent, c.Bytes, c.Wrong, c.Reads)
	}
}
