// Package counters counts what runs, waits and was attempted over the whole fleet. Every process tells the others, now and
// then, between which bounds its own counts lay over the last seconds. A reading is taken as of an instant that these times
// cover, and is an interval in which the true sum lay at that instant. A process whose report does not cover it may have
// had anything up to the most that one process has in flight: a member that receives nothing reads wide intervals, never
// wrong ones. The package does no I/O. docs/counts.md has the rules, and why they hold.
package counters

import (
	"hash/fnv"
	"slices"
	"strings"
	"sync"

	"magpiebank/internal/admission"
)

// Time is a point on the caller's monotonic clock.
type Time = admission.Time

const (
	// Each round goes to so many others in turn: at 500 members each receives as many reports a second.
	fanOut = 16
	// Rounds are half a second apart: a count is half a second and the delay old, at some hundreds of bytes a second.
	roundInterval = admission.Second / 2
	// A report covers three turns through all others, so that two messages may be lost before a member is unknown.
	coveredTurns = 3
	// The time that is reported is kept in so many slots and the one that is being filled.
	slotCount = 8
	// Clocks run at most one part in twenty fast or slow; two differ by less than one part in eight.
	driftDivisor = 8
	// maxPeers bounds the processes that are known.
	maxPeers = 1024
)

// Kind is a kind of key.
type Kind uint8

// The kinds.
const (
	KindAll         Kind = iota // all requests
	KindClass                   // those of a class
	KindPolicyClass             // those of a class of the operator's policy
	KindEngine                  // those on an engine
)

func (k Kind) String() string { return [...]string{"all", "lane", "class", "engine"}[k] }

// Key is what is counted by.
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

// The figures of a key: requests that wait, requests that run, and attempts since the process's start.
const (
	Waiting = iota
	Running
	Attempted
	figureCount
)

// Host is what a core acts on.
type Host interface {
	Send(to string, message []byte)
	Peers() []string // names of the other members that are alive
}

// Options are what a process begins with.
type Options struct {
	Name           string
	MaxProcesses   int   // that the fleet may have
	MaxInFlight    int64 // requests that one process has in flight at most; 0: not bounded
	LongestRequest Time  // how long a request is in flight at most
	Host           Host
}

// Core is one process's part. Its calls may come from two goroutines.
type Core struct {
	mu      sync.Mutex
	options Options
	now     Time

	counters []counter
	byKey    map[Key]int // index in counters
	slots    slots

	nextRoundAt   Time
	nextRecipient int // where the peers that are sent to next begin
	peers         []peer
	ended         []endedProcess
}

// counter is a key's own counts.
type counter struct {
	key     Key
	hash    uint32
	current [figureCount]int64
	bounds  [slotCount + 1]bounds // by slot
}

// bounds are the least and the greatest counts within a slot.
type bounds struct{ low, high [figureCount]int64 }

// slots are the times for which the bounds of own counts are kept. They are filled one after the other, and used again.
type slots struct {
	start   [slotCount + 1]Time
	current int // that is being filled
	filled  int // that hold anything
	length  Time
}

// oldest returns from when on the own counts are known.
func (s *slots) oldest() Time { return s.start[s.before(s.filled-1)] }

// before returns the index of the slot so many before the current one.
func (s *slots) before(n int) int { return (s.current - n + len(s.start)) % len(s.start) }

// New begins a process's part, with nothing in flight.
func New(now Time, o Options) *Core {
	c := &Core{options: o, now: now, byKey: map[Key]int{}, slots: slots{filled: 1, length: reportedWindow(0) / slotCount}, nextRoundAt: now}
	c.slots.start[0] = now
	c.counterOf(Key{})
	return c
}

// reportedWindow returns the time that a report covers, by how many others there are.
func reportedWindow(others int) Time { return coveredTurns * roundInterval * Time(1+others/fanOut) }

func (c *Core) counterOf(k Key) *counter {
	i, known := c.byKey[k]
	if !known {
		i = len(c.counters)
		c.byKey[k] = i
		c.counters = append(c.counters, counter{key: k, hash: k.hash()})
	}
	return &c.counters[i]
}

// Change is by how much a key's figures change.
type Change struct {
	Key
	Delta [figureCount]int64
}

// ApplyChanges takes in changes that happen at once.
func (c *Core) ApplyChanges(now Time, changes ...Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	for i := range changes {
		own := c.counterOf(changes[i].Key)
		b := &own.bounds[c.slots.current]
		for figure, delta := range changes[i].Delta {
			own.current[figure] += delta
			b.low[figure], b.high[figure] = min(b.low[figure], own.current[figure]), max(b.high[figure], own.current[figure])
		}
	}
}

// OwnCounts returns what this process has of a key.
func (c *Core) OwnCounts(k Key) [figureCount]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counterOf(k).current
}

// ListKeys returns the keys of a kind that this process counts by, by name.
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

// advance has time go on, and the next slot be filled after the length of one.
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

// ownRanges returns a key's bounds from one time to another, as wide as the slots are long.
func (c *Core) ownRanges(own *counter, from, to Time) (ranges [figureCount]Range) {
	first := true
	for n := range c.slots.filled {
		i := c.slots.before(n)
		if c.slots.start[i] <= to {
			b := &own.bounds[i]
			for figure := range ranges {
				if first {
					ranges[figure] = Range{b.low[figure], b.high[figure]}
				}
				ranges[figure] = Range{min(ranges[figure].Low, b.low[figure]), max(ranges[figure].High, b.high[figure])}
			}
			first = false
		}
		if c.slots.start[i] < from {
			break
		}
	}
	return ranges
}

// Tick is the timer: each round it reports the own counts to the next of the others.
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
