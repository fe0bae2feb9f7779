package simcluster

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/counters"
)

// counterCluster is a simulated cluster whose processes share the counts of their requests with each other.
type counterCluster struct {
	network[counterMessage]
	members         []*counterMember
	starts          uint64
	eventsPerSecond float64 // rate at each process of requests that arrive, start to run, or end
}

// counterMember is one process and the history of its true counts.
type counterMember struct {
	cluster     *counterCluster
	index       int
	name        string
	incarnation uint64
	core        *counters.Core
	clockRate   float64
	clockOffset float64
	up          bool
	pausedUntil Time
	trueCounts  []countChange
	nextEventAt Time
}

// countChange holds the true counts of one incarnation from a time on. The indices of counts are counters.Waiting, counters.Running and
// counters.Attempted.
type countChange struct {
	at          Time
	counts      [3]int64
	incarnation uint64
}

// counterMessage is a message and the incarnation of its sender.
type counterMessage struct {
	incarnation uint64
	bytes       []byte
}

// Limits for the requests of a process: how many are in flight at a time, and how long a request runs. The simulation passes maxRunTime to
// the cores, but does not enforce it.
const (
	maxInFlight = 40
	maxRunTime  = 4 * admission.Second
)

func newCounterCluster(seed uint64, n int) *counterCluster {
	c := &counterCluster{eventsPerSecond: 20}
	c.random, c.maxDelay = rand.New(rand.NewPCG(seed, 9)), 10*admission.Second
	for i := range n {
		c.members = append(c.members, &counterMember{cluster: c, index: i, name: fmt.Sprint("g", i), clockRate: 0.955 + 0.09*c.random.Float64(), clockOffset: float64(c.random.IntN(1e6))})
	}
	for _, p := range c.members {
		p.start()
	}
	return c
}

func (p *counterMember) clock() Time { return Time(float64(p.cluster.now)*p.clockRate + p.clockOffset) }

// timeAt returns the virtual time at which the process's clock showed a value.
func (p *counterMember) timeAt(clock Time) Time {
	return Time((float64(clock) - p.clockOffset) / p.clockRate)
}

// start starts or restarts the process.
func (p *counterMember) start() {
	p.cluster.starts++
	p.incarnation, p.up, p.nextEventAt = p.cluster.starts, true, p.cluster.now
	p.recordTrueCounts([3]int64{})
	p.core = counters.New(p.clock(), counters.Options{Name: p.name, MaxProcesses: len(p.cluster.members), MaxInFlight: maxInFlight, LongestRequest: maxRunTime, Host: p})
}

// kill ends the process and all its requests.
func (p *counterMember) kill() {
	p.up = false
	p.recordTrueCounts([3]int64{})
}

func (p *counterMember) recordTrueCounts(counts [3]int64) {
	p.trueCounts = append(p.trueCounts, countChange{p.cluster.now, counts, p.incarnation})
}

func (p *counterMember) isRunning() bool { return p.up && p.pausedUntil <= p.cluster.now }

func (p *counterMember) Send(to string, message []byte) {
	index := slices.IndexFunc(p.cluster.members, func(other *counterMember) bool { return other.name == to })
	p.cluster.send(p.index, []int{index}, counterMessage{p.incarnation, message}, len(message))
}

func (p *counterMember) Peers() (names []string) {
	for _, other := range p.cluster.members {
		if other.index != p.index {
			names = append(names, other.name)
		}
	}
	return names
}

// requestClass is the class of all requests. Every request is counted twice: in total and for its class.
var requestClass = counters.Key{Kind: counters.KindClass, Name: "look"}

// tick simulates the due events of requests: a request arrives, starts to run, or ends.
func (p *counterMember) tick() {
	now := p.clock()
	for p.nextEventAt <= p.cluster.now {
		p.nextEventAt += Time(p.cluster.random.ExpFloat64() * float64(admission.Second) / p.cluster.eventsPerSecond)
		counts := p.core.OwnCounts(counters.Key{})
		var waiting, running, attempted int64
		switch p.cluster.random.IntN(3) {
		case 0:
			waiting = boolToInt64(counts[counters.Waiting]+counts[counters.Running] < maxInFlight)
		case 1:
			waiting = -boolToInt64(counts[counters.Waiting] > 0)
			running, attempted = -waiting, -waiting
		case 2:
			running = -boolToInt64(counts[counters.Running] > 0)
		}
		delta := [3]int64{waiting, running, attempted}
		p.core.ApplyChanges(now, counters.Change{Delta: delta}, counters.Change{Key: requestClass, Delta: delta})
		p.recordTrueCounts(p.core.OwnCounts(counters.Key{}))
	}
	p.core.Tick(now)
}

func boolToInt64(b bool) int64 { return int64(boolToInt(b)) }

// simulate simulates some time, and calls check after each step.
func (c *counterCluster) simulate(length Time, check func()) {
	c.advance(length, func(d datagram[counterMessage]) {
		if p := c.members[d.to]; p.isRunning() {
			_ = p.core.HandleMessage(p.clock(), c.members[d.from].name, d.message.incarnation, d.message.bytes) // invalid messages are dropped
		}
	}, func() {
		for _, p := range c.members {
			if p.isRunning() {
				p.tick()
			}
		}
	}, check)
}

// trueRange returns the range of the true sum of a count over all processes at a time. It is a range because clocks show only tenths of a
// millisecond, and because a process counts attempts since its start: for a process that is dead or has restarted, a reader may still know
// the attempts of an earlier incarnation.
func (c *counterCluster) trueRange(count int, at Time) (low, high int64) {
	for _, p := range c.members {
		ownLow, ownHigh := p.trueRange(count, at)
		low += ownLow
		high += ownHigh
	}
	return low, high
}

func (p *counterMember) trueRange(count int, at Time) (low, high int64) {
	changes := p.trueCounts
	next, _ := slices.BinarySearchFunc(changes, at, func(change countChange, at Time) int { return int(change.at - at) })
	first := max(0, next-1)
	if count == counters.Attempted && (changes[0].incarnation != changes[first].incarnation || changes[first].counts[count] == 0) {
		first = 0
	}
	low = -1
	for k := first; k < len(changes) && (k < next || changes[k].at <= at+1); k++ {
		value := changes[k].counts[count]
		if k < next-1 && changes[k+1].incarnation == changes[k].incarnation && changes[k+1].counts[count] >= value {
			continue // the next value of the same incarnation replaces this one, unless it is lower, as after a kill
		}
		high = max(high, value)
		if low < 0 || value < low {
			low = value
		}
	}
	return max(0, low), high
}

// checkReading takes a reading at one process. It returns a violation if a range of the reading does not contain the true count.
func (c *counterCluster) checkReading(p *counterMember) (reading counters.Reading, violation string) {
	reading = p.core.TakeReading(p.clock(), counters.Key{}, requestClass)
	at := p.timeAt(p.clock() - reading.Age)
	for _, counts := range reading.Counts {
		for count, claimed := range counts.Ranges {
			low, high := c.trueRange(count, at)
			if claimed.Low > high || claimed.High >= 0 && claimed.High < low {
				return reading, fmt.Sprintf("%.3f s, %s: the reading of %.3f s ago has count %d of %v %s in [%d, %d], the true count is %d", float64(c.now)/float64(admission.Second), p.name,
					float64(reading.Age)/float64(admission.Second), count, counts.Kind, counts.Name, claimed.Low, claimed.High, low)
			}
		}
	}
	return reading, ""
}

// CounterResult describes how accurate the readings of shared counts are.
type CounterResult struct {
	Members int
	Age     Time    // mean age of a reading
	Width   float64 // mean width of the range of running requests, divided by their mean number
	Silent  float64 // mean number of processes that are unknown to a reading
	Bytes   float64 // bytes sent per second and member
	Wrong   int     // number of readings in which a range did not contain the true count
	Reads   int     // number of readings
}

// stepsPerReading is the number of simulation steps from one reading to the next.
const stepsPerReading = 5

// MeasureCounters simulates a cluster with n members that loses messages with a probability of loss, and measures it for ten seconds. The
// measurement starts after 6+n/8 seconds, when all members have received messages from each other.
func MeasureCounters(n int, loss float64, seed uint64) CounterResult {
	c := newCounterCluster(seed, n)
	c.loss = loss
	c.simulate(Time(6+n/8)*admission.Second, func() {})
	c.bytes = 0
	began := c.now
	result := CounterResult{Members: n}
	steps := 0
	var running float64
	c.simulate(10*admission.Second, func() {
		steps++
		if steps%stepsPerReading > 0 {
			return
		}
		p := c.members[steps/stepsPerReading%n]
		reading, violation := c.checkReading(p)
		if violation != "" {
			result.Wrong++
		}
		result.Reads++
		result.Age += reading.Age
		result.Silent += float64(reading.Unknown)
		low, _ := c.trueRange(counters.Running, p.timeAt(p.clock()-reading.Age))
		running += float64(low)
		claimed := reading.Counts[0].Ranges[counters.Running]
		result.Width += float64(claimed.High - claimed.Low)
	})
	result.Age /= Time(result.Reads)
	result.Silent /= float64(result.Reads)
	result.Width /= running
	result.Bytes = float64(c.bytes) / float64(n) / (float64(c.now-began) / float64(admission.Second))
	return result
}

// WriteCounters writes a list of results as a table.
func WriteCounters(out io.Writer, list []CounterResult) {
	fmt.Fprintln(out, "members  reading's age s  interval / tasks that run  silent  bytes/s a member  wrong of readings")
	for _, c := range list {
		fmt.Fprintf(out, "%7d  %15.2f  %25.3f  %6.1f  %16.0f  %d of %d\n", c.Members, float64(c.Age)/float64(admission.Second), c.Width, c.Silent, c.Bytes, c.Wrong, c.Reads)
	}
}
