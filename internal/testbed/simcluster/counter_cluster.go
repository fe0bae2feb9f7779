package simcluster

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/counters"
)

// counterCluster is a fleet in one process and virtual time whose processes count what they have in hand.
type counterCluster struct {
	network[counterMessage]
	members         []*counterMember
	starts          uint64
	eventsPerSecond float64 // events a second at each
}

// counterMember is one process, and what it truly had.
type counterMember struct {
	cluster     *counterCluster
	index       int
	name        string
	start       uint64
	core        *counters.Core
	clockRate   float64
	clockOffset float64
	up          bool
	stopped     Time
	trueCounts  []instant
	nextAt      Time
}

type instant struct {
	at    Time
	of    [3]int64
	start uint64
}

// counterMessage is a message and the start of its sender.
type counterMessage struct {
	start uint64
	bytes []byte
}

// The most that one has in hand there, and for how long.
const (
	maxInFlight = 40
	maxRunTime  = 4 * admission.Second
)

func newCounterCluster(seed uint64, n int) *counterCluster {
	t := &counterCluster{eventsPerSecond: 20}
	t.random, t.maxDelay = rand.New(rand.NewPCG(seed, 9)), 10*admission.Second
	for i := range n {
		t.members = append(t.members, &counterMember{cluster: t, index: i, name: fmt.Sprint("g", i), clockRate: 0.955 + 0.09*t.random.Float64(), clockOffset: float64(t.random.IntN(1e6))})
	}
	for _, p := range t.members {
		p.begin()
	}
	return t
}

func (p *counterMember) clock() Time { return Time(float64(p.cluster.now)*p.clockRate + p.clockOffset) }

// since is the time at which its clock showed something.
func (p *counterMember) since(clock Time) Time {
	return Time((float64(clock) - p.clockOffset) / p.clockRate)
}

func (p *counterMember) begin() {
	p.cluster.starts++
	p.start, p.up, p.nextAt = p.cluster.starts, true, p.cluster.now
	p.trueCounts = append(p.trueCounts, instant{p.cluster.now, [3]int64{}, p.start})
	p.core = counters.New(p.clock(), counters.Options{Name: p.name, Processes: len(p.cluster.members), MaxInFlight: maxInFlight, LongestRequest: maxRunTime, Host: p})
}

// end is its death: it has nothing any more.
func (p *counterMember) end() {
	p.up = false
	p.trueCounts = append(p.trueCounts, instant{p.cluster.now, [3]int64{}, p.start})
}

func (p *counterMember) Send(to string, m []byte) {
	n := slices.IndexFunc(p.cluster.members, func(q *counterMember) bool { return q.name == to })
	p.cluster.send(p.index, []int{n}, counterMessage{p.start, m}, len(m))
}

func (p *counterMember) Peers() (out []string) {
	for _, q := range p.cluster.members {
		if q.index != p.index {
			out = append(out, q.name)
		}
	}
	return out
}

// step has requests come, go out and end.
func (p *counterMember) step() {
	now := p.clock()
	for p.nextAt <= p.cluster.now {
		p.nextAt += Time(p.cluster.random.ExpFloat64() * float64(admission.Second) / p.cluster.eventsPerSecond)
		had := p.core.OwnCounts(counters.Key{})
		var waits, runs, handed int64
		switch p.cluster.random.IntN(3) {
		case 0:
			waits = btoi64(had[counters.Waiting]+had[counters.Running] < maxInFlight)
		case 1:
			waits = -btoi64(had[counters.Waiting] > 0)
			runs, handed = -waits, -waits
		case 2:
			runs = -btoi64(had[counters.Running] > 0)
		}
		by := [3]int64{waits, runs, handed}
		p.core.ApplyChanges(now, counters.Change{Delta: by}, counters.Change{Key: counters.Key{Kind: counters.KindClass, Name: "look"}, Delta: by})
		p.trueCounts = append(p.trueCounts, instant{p.cluster.now, p.core.OwnCounts(counters.Key{}), p.start})
	}
	p.core.Tick(now)
}

func btoi64(b bool) int64 { return int64(countTrue(b)) }

func (t *counterCluster) pass(length Time, check func()) {
	t.advance(length, func(l datagram[counterMessage]) {
		if p := t.members[l.to]; p.up && p.stopped <= t.now {
			p.core.HandleMessage(p.clock(), t.members[l.from].name, l.message.start, l.message.bytes)
		}
	}, func() {
		for _, p := range t.members {
			if p.up && p.stopped <= t.now {
				p.step()
			}
		}
	}, check)
}

// true tells between what all had at an instant, as clocks show whole tenths of a millisecond. Hand-offs are those since the start
// of a process: of one that is dead, or was started anew, a reader
// may know the earlier one.
func (t *counterCluster) true(figure int, at Time) (low, high int64) {
	for _, p := range t.members {
		i, _ := slices.BinarySearchFunc(p.trueCounts, at, func(v instant, at Time) int { return int(v.at - at) })
		l, h := int64(-1), int64(0)
		from := max(0, i-1)
		if figure == counters.Attempted && (p.trueCounts[0].start != p.trueCounts[from].start || p.trueCounts[from].of[figure] == 0) {
			from = 0
		}
		for k := from; k < len(p.trueCounts) && (k < i || p.trueCounts[k].at <= at+1); k++ {
			v := p.trueCounts[k].of[figure]
			if k < i-1 && p.trueCounts[k+1].start == p.trueCounts[k].start && p.trueCounts[k+1].of[figure] >= v {
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
func (t *counterCluster) wrong(p *counterMember) (r counters.Reading, text string) {
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

// CounterResult is how close readings come.
type CounterResult struct {
	Members int
	Age     Time    // of a reading, in the mean
	Width   float64 // of the interval of requests that run, against their number
	Silent  float64 // processes that a reading knows nothing of, in the mean
	Bytes   float64 // a second a member
	Wrong   int     // readings in whose interval the truth was not
	Reads   int
}

// MeasureCounters measures a fleet whose messages are lost with some chance, over ten seconds once all have heard of each other.
func MeasureCounters(n int, loss float64, seed uint64) CounterResult {
	t := newCounterCluster(seed, n)
	t.loss = loss
	t.pass(Time(6+n/8)*admission.Second, func() {})
	t.bytes = 0
	began := t.now
	out := CounterResult{Members: n}
	k := 0
	var truth float64
	t.pass(10*admission.Second, func() {
		if k++; k%5 > 0 {
			return
		}
		p := t.members[k/5%n]
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

// WriteCounters writes figures as a table.
func WriteCounters(out io.Writer, list []CounterResult) {
	fmt.Fprintln(out, "members  reading's age s  interval / tasks that run  silent  bytes/s a member  wrong of readings")
	for _, c := range list {
		fmt.Fprintf(out, "%7d  %15.2f  %25.3f  %6.1f  %16.0f  %d of %d\n", c.Members, float64(c.Age)/float64(admission.Second), c.Width, c.Silent, c.Bytes, c.Wrong, c.Reads)
	}
}
