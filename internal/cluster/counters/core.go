// Package counters counts the running requests, waiting requests and attempts of the whole cluster. Every process regularly reports to
// the others the minimum and maximum of its own counts over the last seconds. A reading applies to an instant that these reports cover.
// It is an interval that contains the true sum at that instant. A process whose report does not cover the instant may have had any number
// of requests, up to the maximum that one process may have in flight. So a member that receives nothing reads wide intervals, but never
// wrong ones. The package does no I/O. docs/counts.md has the rules and the reasons why they are correct.
package counters

import (
	"hash/fnv"
	"slices"
	"strings"
	"sync"

	"magpiebank/internal/admission"
)

// Time is a time on the caller's monotonic clock, or a duration.
type Time = admission.Time

const (
	// fanOut is the number of peers that a round reports to; the next round reports to the next peers. At 500 members, each member
	// receives 16 reports per round.
	fanOut = 16
	// roundInterval is the time between two rounds. If a round reaches all peers, a count is as old as half a second plus the message
	// delay, at a few hundred bytes per second.
	roundInterval = admission.Second / 2
	// coveredCycles is the number of cycles through all peers that a report covers. With three, two messages may be lost before the
	// counts of a member are unknown.
	coveredCycles = 3
	// The time that a report covers is divided into slotCount slots, besides the current one.
	slotCount = 8
	// driftDivisor limits how fast two clocks drift apart: by less than one part in eight, as each is fast or slow by at most one part
	// in twenty.
	driftDivisor = 8
	// maxPeers limits the processes whose reports are stored.
	maxPeers = 1024
)

// Kind is a kind of key.
type Kind uint8

// The kinds of keys.
const (
	KindAll         Kind = iota // all requests
	KindClass                   // the requests of a class
	KindPolicyClass             // the requests of a class defined by the operator's policy
	KindEngine                  // the requests on an engine
)

func (k Kind) String() string { return [...]string{"all", "lane", "class", "engine"}[k] }

// Key identifies a set of requests that are counted together.
type Key struct {
	Kind Kind
	Name string
}

func (k Key) hash() uint32 {
	h := fnv.New32a()
	h.Write([]byte{byte(k.Kind)})
	h.Write([]byte(k.Name))
	return h.Sum32()
}

// The metrics of a key: waiting requests, running requests, and attempts since the start of the process.
const (
	Waiting = iota
	Running
	Attempted
	metricCount
)

// Host sends a core's messages and lists its peers.
type Host interface {
	Send(to string, message []byte)
	Peers() []string // names of the other live members
}

// Options configures a new core.
type Options struct {
	Name           string
	MaxProcesses   int   // number of processes that the cluster may have
	MaxInFlight    int64 // maximum number of requests in flight at one process; 0: unlimited
	LongestRequest Time  // maximum time that a request is in flight
	Host           Host
}

// Core counts for one process. It is safe for concurrent use.
type Core struct {
	mu      sync.Mutex
	options Options
	now     Time

	counters []counter
	byKey    map[Key]int // index in counters
	slots    slots

	nextRoundAt   Time
	nextRecipient int    // counter that selects the first peer of the next round
	peers         []peer // by name
	ended         []endedProcess
}

// counter holds this process's own counts of a key.
type counter struct {
	key     Key
	hash    uint32
	current [metricCount]int64
	bounds  [slotCount + 1]bounds // by slot
}

// bounds holds the minimum and maximum of each metric within a slot.
type bounds struct{ low, high [metricCount]int64 }

// slots is a ring buffer of the time slots for which the bounds of own counts are stored.
type slots struct {
	start   [slotCount + 1]Time
	current int  // index of the slot that contains the current time
	filled  int  // number of slots in use
	length  Time // minimum length of a slot
}

// oldest returns the start of the oldest slot. Own counts are known from that time on.
func (s *slots) oldest() Time { return s.start[s.before(s.filled-1)] }

// before returns the index of the slot that is n slots before the current one.
func (s *slots) before(n int) int { return (s.current - n + len(s.start)) % len(s.start) }

// New returns the core of a process that has just started, with no requests.
func New(now Time, o Options) *Core {
	c := &Core{options: o, now: now, byKey: map[Key]int{}, slots: slots{filled: 1, length: reportedWindow(0) / slotCount}, nextRoundAt: now}
	c.slots.start[0] = now
	c.counterOf(Key{})
	return c
}

// reportedWindow returns how much time a report covers, given the number of peers.
func reportedWindow(others int) Time { return coveredCycles * roundInterval * Time(1+others/fanOut) }

func (c *Core) counterOf(k Key) *counter {
	i, known := c.byKey[k]
	if !known {
		i = len(c.counters)
		c.byKey[k] = i
		c.counters = append(c.counters, counter{key: k, hash: k.hash()})
	}
	return &c.counters[i]
}

// Change is a change of a key's metrics.
type Change struct {
	Key
	Delta [metricCount]int64
}

// ApplyChanges applies changes that happen at the same time.
func (c *Core) ApplyChanges(now Time, changes ...Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	for i := range changes {
		own := c.counterOf(changes[i].Key)
		b := &own.bounds[c.slots.current]
		for metric, delta := range changes[i].Delta {
			own.current[metric] += delta
			b.low[metric], b.high[metric] = min(b.low[metric], own.current[metric]), max(b.high[metric], own.current[metric])
		}
	}
}

// OwnCounts returns this process's own counts of a key.
func (c *Core) OwnCounts(k Key) [metricCount]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counterOf(k).current
}

// ListKeys returns the keys of a kind that this process has used, sorted by name.
func (c *Core) ListKeys(kind Kind) (out []Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.counters {
		if c.counters[i].key.Kind == kind {
			out = append(out, c.counters[i].key)
		}
	}
	slices.SortFunc(out, func(a, b Key) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// advance moves the clock forward, and starts the next slot when the current one is long enough.
func (c *Core) advance(now Time) {
	c.now = max(c.now, now)
	s := &c.slots
	if c.now-s.start[s.current] < s.length {
		return
	}
	s.current = (s.current + 1) % len(s.start)
	s.filled = min(s.filled+1, len(s.start))
	s.start[s.current] = c.now
	for i := range c.counters {
		own := &c.counters[i]
		own.bounds[s.current] = bounds{own.current, own.current}
	}
}

// ownRanges returns a key's bounds between two times. They cover whole slots, so they may be wider than the counts between the two times.
func (c *Core) ownRanges(own *counter, from, to Time) (ranges [metricCount]Range) {
	first := true
	for n := range c.slots.filled {
		i := c.slots.before(n)
		if c.slots.start[i] <= to {
			b := &own.bounds[i]
			for metric := range ranges {
				if first {
					ranges[metric] = Range{b.low[metric], b.high[metric]}
				}
				ranges[metric] = Range{min(ranges[metric].Low, b.low[metric]), max(ranges[metric].High, b.high[metric])}
			}
			first = false
		}
		if c.slots.start[i] < from {
			break
		}
	}
	return ranges
}

// Tick does the periodic work: in each round, it reports the own counts to the next peers.
func (c *Core) Tick(now Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	c.ended = slices.DeleteFunc(c.ended, func(e endedProcess) bool { return c.now >= e.until })
	if c.now < c.nextRoundAt {
		return
	}
	c.nextRoundAt = c.now + roundInterval
	peers := c.options.Host.Peers()
	c.slots.length = reportedWindow(len(peers)) / slotCount
	recipients := min(fanOut, len(peers))
	for k := range recipients {
		to := peers[(c.nextRecipient+k)%len(peers)]
		c.options.Host.Send(to, c.encodeMessage(to))
	}
	c.nextRecipient += recipients
}
