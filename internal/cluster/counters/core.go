// Package counters counts what runs, waits and was handed off over the whole fleet. Every process tells the others, now and then, between
// which bounds its own counts lay over the last seconds; a reading is taken as of an instant that these times cover, and is an
// interval in which the true sum lay at that instant. Whose times don't cover it may have had anything up to the most that one
// process has in hand: who hears nothing reads wide intervals, never wrong ones. It does no I/O: docs/counts.md has the rules, and
// why they hold.
package counters

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
	"slices"
	"strings"
	"sync"

	"magpiebank/internal/admission"
)

// Time is a point on the caller's monotonic clock.
type Time = admission.Time

const (
	// Each round is told to so many others in turn: at 500 members each hears of as many a second.
	fanOut = 16
	// Rounds, half a second apart: a count is half a second and the way old, at some hundreds of bytes a second.
	roundInterval = admission.Second / 2
	// What is told covers three turns through all others, so that two words may be lost before a member is silent.
	coveredTurns = 3
	// The seconds that are told of are kept in so many slots and the one that is being filled.
	slotCount = 8
	// Clocks run at most one part in twenty fast or slow; two are apart by less than one in eight.
	driftDivisor = 8
	// MaxMessageBytes is the longest message: rows that don't fit are not told, and whoever reads knows.
	MaxMessageBytes = 1000
	// mostKept bounds the processes that are known.
	maxPeers = 1024
)

const version = 1

// ErrMessage is what can't be read.
var ErrMessage = errors.New("tally: no message of this version")

// Key is what is counted by.
type Key struct {
	Kind Kind
	Name string
}

// Kind is a kind of key.
type Kind uint8

// The kinds.
const (
	KindAll Kind = iota
	KindClass
	KindPolicyClass
	KindEngine
)

func (k Kind) String() string { return [...]string{"all", "lane", "class", "engine"}[k] }

func (k Key) hash() uint32 {
	h := fnv.New32a()
	h.Write([]byte{byte(k.Kind)})
	h.Write([]byte(k.Name))
	return h.Sum32()
}

// The figures of a key: tasks that wait, that run, and hand-offs since the process's start.
const (
	Waiting = iota
	Running
	Attempted
	figureCount
)

// Range is an interval; below 0 High is not bounded.
type Range struct{ Low, High int64 }

func (r *Range) add(o Range) {
	r.Low += o.Low
	if r.High >= 0 && o.High >= 0 {
		r.High += o.High
	} else {
		r.High = -1
	}
}

// KeyCounts is what is known of a key.
type KeyCounts struct {
	Key
	Ranges [figureCount]Range
}

// Reading is what is known of the fleet as of one instant.
type Reading struct {
	Age     Time // of that instant
	Known   int  // processes whose counts are known for it, this one among them
	Unknown int  // those that may have had anything, up to the most of one
	Counts  []KeyCounts
}

// Host is what a core acts on.
type Host interface {
	Send(to string, message []byte)
	Peers() []string // the members that are there, by name
}

type bounds struct{ low, high [figureCount]int64 }

// row is a key's own counts: now, and their bounds in each slot.
type counter struct {
	key     Key
	hash    uint32
	current [figureCount]int64
	slots   [slotCount + 1]bounds
}

// source is what was last heard of another process.
type peer struct {
	name           string
	incarnation    uint64
	reportedUntil  Time // by its clock, to when what it told goes
	reportedLength Time // and for how long
	maxInHand      int64
	complete       bool // all its keys fitted
	counts         []peerCount
	receivedAt     Time
	maxOffset      Time // our clock less its one, at most, and at least, as of when
	maxOffsetAt    Time
	minOffset      Time
	minOffsetAt    Time
	minOffsetKnown bool
	stopped        bool // it has stopped in good order, and has nothing
}

type peerCount struct {
	hash   uint32
	ranges [figureCount]Range
}

// ending is a process that another took the place of: it may have had anything until its last task is surely over.
type endedProcess struct {
	name      string
	maxInHand int64
	until     Time
}

// Core is one process's part. Its calls may come from two goroutines.
type Core struct {
	mu             sync.Mutex
	host           Host
	name           string
	processes      int   // processes that there may be
	maxInHand      int64 // tasks that one process has in hand; 0: not bounded
	longestRequest Time  // for which it has one
	now            Time
	counters       []counter
	byKey          map[Key]int
	slotStart      [slotCount + 1]Time // of each slot
	currentSlot    int                 // that is being filled
	filledSlots    int                 // slots that hold anything
	slotLength     Time                // length of a slot
	nextRoundAt    Time
	nextRecipient  int
	peers          []peer
	ended          []endedProcess
}

// New begins a process's part, with nothing in hand, in a fleet of so many. It has at most so many tasks in hand (0: not bounded),
// none for longer than longest.
func New(now Time, name string, fleet int, most int64, longest Time, host Host) *Core {
	c := &Core{host: host, name: name, processes: fleet, maxInHand: most, longestRequest: longest, now: now, byKey: map[Key]int{}, filledSlots: 1, slotLength: reportedWindow(0) / slotCount, nextRoundAt: now}
	c.slotStart[0] = now
	c.counterOf(Key{})
	return c
}

// window is what is told of, by how many others there are.
func reportedWindow(others int) Time { return coveredTurns * roundInterval * Time(1+others/fanOut) }

func (c *Core) counterOf(k Key) *counter {
	i, ok := c.byKey[k]
	if !ok {
		i = len(c.counters)
		c.byKey[k] = i
		c.counters = append(c.counters, counter{key: k, hash: k.hash()})
	}
	return &c.counters[i]
}

// Change is that so many tasks more of a key wait or run, or were handed off.
type Change struct {
	Key
	Delta [figureCount]int64
}

// ApplyChanges takes in what changes at once.
func (c *Core) ApplyChanges(now Time, changes ...Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	for i := range changes {
		r := c.counterOf(changes[i].Key)
		b := &r.slots[c.currentSlot]
		for f, n := range changes[i].Delta {
			r.current[f] += n
			b.low[f], b.high[f] = min(b.low[f], r.current[f]), max(b.high[f], r.current[f])
		}
	}
}

// OwnCounts is what this process has of a key.
func (c *Core) OwnCounts(k Key) [figureCount]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counterOf(k).current
}

// ListKeys are those of a kind that this process counts by, by name.
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

// pass has time go on, and slots be filled one after the other.
func (c *Core) advance(now Time) {
	c.now = max(c.now, now)
	if c.now-c.slotStart[c.currentSlot] < c.slotLength {
		return
	}
	c.currentSlot = (c.currentSlot + 1) % len(c.slotStart)
	c.filledSlots = min(c.filledSlots+1, len(c.slotStart))
	c.slotStart[c.currentSlot] = c.now
	for i := range c.counters {
		r := &c.counters[i]
		r.slots[c.currentSlot] = bounds{r.current, r.current}
	}
}

// oldest is from when on the own counts are known.
func (c *Core) oldestKnown() Time {
	return c.slotStart[(c.currentSlot-c.filledSlots+1+len(c.slotStart))%len(c.slotStart)]
}

// own are a key's bounds from one time to another, as wide as the slots are long.
func (c *Core) ownRanges(r *counter, from, to Time) (out [figureCount]Range) {
	first := true
	for k := range c.filledSlots {
		i := (c.currentSlot - k + len(c.slotStart)) % len(c.slotStart)
		if c.slotStart[i] <= to {
			for f := range out {
				b := &r.slots[i]
				if first {
					out[f] = Range{b.low[f], b.high[f]}
				}
				out[f] = Range{min(out[f].Low, b.low[f]), max(out[f].High, b.high[f])}
			}
			first = false
		}
		if c.slotStart[i] < from {
			break
		}
	}
	return out
}

// Tick is the timer: a round is told to the next of the others.
func (c *Core) Tick(now Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	c.ended = slices.DeleteFunc(c.ended, func(e endedProcess) bool { return c.now >= e.until })
	if c.now < c.nextRoundAt {
		return
	}
	c.nextRoundAt = c.now + roundInterval
	others := c.host.Peers()
	c.slotLength = reportedWindow(len(others)) / slotCount
	some := min(fanOut, len(others))
	for k := range some {
		to := others[(c.nextRecipient+k)%len(others)]
		c.host.Send(to, c.encodeMessage(to))
	}
	c.nextRecipient += some
}

// message tells one of the others the own bounds, and when it was last heard, by which it knows how its clock and ours differ.
func (c *Core) encodeMessage(to string) []byte {
	b := []byte{version, 1}
	length := c.now - c.oldestKnown()
	var theirs, ours Time
	if s := c.peerOf(to); s != nil {
		theirs, ours = s.reportedUntil, s.receivedAt
	}
	for _, v := range []Time{c.now, length, Time(c.maxInHand), theirs, ours} {
		b = binary.AppendUvarint(b, uint64(v))
	}
	for i := range c.counters {
		r := &c.counters[i]
		of := c.ownRanges(r, c.oldestKnown(), c.now)
		if of == [figureCount]Range{} {
			continue
		}
		before := len(b)
		b = binary.BigEndian.AppendUint32(b, r.hash)
		for _, v := range of {
			b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(v.Low)), uint64(v.High-v.Low))
		}
		if len(b) > MaxMessageBytes {
			b = b[:before]
			b[1] = 0 // not all
			break
		}
	}
	return b
}

// place is where a process stands among those heard of, or would stand.
func (c *Core) indexOf(name string) (int, bool) {
	return slices.BinarySearchFunc(c.peers, name, func(s peer, name string) int { return strings.Compare(s.name, name) })
}

func (c *Core) peerOf(name string) *peer {
	i, ok := c.indexOf(name)
	if !ok {
		return nil
	}
	return &c.peers[i]
}

// HandleMessage takes in a message of a process, whole or not at all. An older one than is known changes nothing.
func (c *Core) HandleMessage(now Time, from string, start uint64, b []byte) error {
	next, err := decode(b)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	i, ok := c.indexOf(from)
	if from == c.name || !ok && len(c.peers) >= maxPeers {
		return nil
	}
	if !ok {
		c.peers = slices.Insert(c.peers, i, peer{name: from, incarnation: start, reportedUntil: -1})
	}
	s := &c.peers[i]
	if start < s.incarnation || start == s.incarnation && (s.stopped || next.reportedUntil <= s.reportedUntil) {
		return nil
	}
	if start > s.incarnation {
		if !s.stopped {
			c.ended = append(c.ended, endedProcess{s.name, s.maxInHand, c.now + c.longestRequest + c.longestRequest/driftDivisor})
		}
		*s = peer{name: from, incarnation: start, reportedUntil: -1}
	}
	high, fresh := now-next.reportedUntil, s.reportedUntil < 0
	if grown := s.maxOffset + (now-s.maxOffsetAt)/driftDivisor; fresh || high <= grown {
		s.maxOffset, s.maxOffsetAt = high, now
	}
	if next.echoedClock > 0 { // as of when it heard us, which may be long ago
		low := next.echoedClock - next.echoReceivedAt
		if !s.minOffsetKnown || low-(now-next.echoedClock)/driftDivisor >= s.minOffset-(now-s.minOffsetAt)/driftDivisor {
			s.minOffset, s.minOffsetAt, s.minOffsetKnown = low, next.echoedClock, true
		}
	}
	s.reportedUntil, s.reportedLength, s.maxInHand, s.complete, s.counts, s.receivedAt = next.reportedUntil, next.reportedLength, next.maxInHand, next.complete, next.counts, now
	return nil
}

// letter is a message that was read.
type message struct {
	peer
	echoedClock, echoReceivedAt Time
}

func decode(b []byte) (m message, err error) {
	if len(b) < 2 || len(b) > MaxMessageBytes || b[0] != version || b[1] > 1 {
		return m, ErrMessage
	}
	m.complete = b[1] == 1
	b = b[2:]
	bad := false
	next := func() int64 {
		v, n := binary.Uvarint(b)
		if bad = bad || n <= 0 || v > 1<<50; bad {
			return 0
		}
		b = b[n:]
		return int64(v)
	}
	m.reportedUntil, m.reportedLength, m.maxInHand, m.echoedClock, m.echoReceivedAt = Time(next()), Time(next()), next(), Time(next()), Time(next())
	for len(b) > 0 && !bad {
		if len(b) < 4 {
			return message{}, ErrMessage
		}
		t := peerCount{hash: binary.BigEndian.Uint32(b)}
		b = b[4:]
		for f := range t.ranges {
			low := next()
			t.ranges[f] = Range{low, low + next()}
		}
		m.counts = append(m.counts, t)
	}
	if bad {
		return message{}, ErrMessage
	}
	return m, nil
}

// MarkStopped takes in that a process has stopped in good order: it has nothing.
func (c *Core) MarkStopped(name string, start uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.peerOf(name); s != nil && s.incarnation <= start {
		s.stopped, s.counts, s.complete = true, nil, true
	}
}

// ForgetProcess takes in that a name is surely no more.
func (c *Core) ForgetProcess(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers = slices.DeleteFunc(c.peers, func(s peer) bool { return s.name == name })
}

// latest is the last instant that what was told surely covers; c.now if nobody knows how the clocks differ.
func (c *Core) latestCovered(s *peer) Time {
	t := s.reportedUntil + s.minOffset
	return t - (max(0, c.now-s.minOffsetAt)+max(0, c.now-t))/driftDivisor - 2
}

// covers tells whether what was told surely covers an instant.
func (c *Core) covers(s *peer, t Time) bool {
	if !s.minOffsetKnown {
		return trustOldCounts
	}
	return trustOldCounts || c.beginsBy(s, t) && t-(s.minOffset-abs(t-s.minOffsetAt)/driftDivisor-1) <= s.reportedUntil
}

// begins tells whether what was told surely begins by an instant.
func (c *Core) beginsBy(s *peer, t Time) bool {
	return t-(s.maxOffset+abs(t-s.maxOffsetAt)/driftDivisor+1) >= s.reportedUntil-s.reportedLength
}

func abs(t Time) Time { return max(t, -t) }

// TakeReading takes a reading of some keys, as of the latest instant that all who were heard lately cover.
func (c *Core) TakeReading(now Time, keys ...Key) Reading {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	lately := reportedWindow(len(c.peers))
	t := c.now
	for i := range c.peers {
		if s := &c.peers[i]; s.minOffsetKnown && !s.stopped && c.now-s.receivedAt < lately {
			t = min(t, c.latestCovered(s))
		}
	}
	t = max(t, c.oldestKnown())
	strange := max(0, c.processes-1-len(c.peers)) // of which nothing was ever heard
	out := Reading{Age: c.now - t, Known: 1, Unknown: len(c.ended) + strange}
	covered := make([]bool, len(c.peers))
	for i := range c.peers {
		if covered[i] = c.peers[i].stopped || c.covers(&c.peers[i], t); covered[i] {
			out.Known++
		} else {
			out.Unknown++
		}
	}
	for _, k := range keys {
		n := KeyCounts{Key: k, Ranges: c.ownRanges(c.counterOf(k), t, t)}
		hash := k.hash()
		for i := range c.peers {
			s := &c.peers[i]
			add := s.rangesOf(hash)
			if !covered[i] {
				least := add[Attempted].Low
				if !c.beginsBy(s, t) {
					least = 0
				}
				add = unknownRanges(s.maxInHand, least)
			}
			for f := range n.Ranges {
				n.Ranges[f].add(add[f])
			}
		}
		for e := range len(c.ended) + strange {
			most := c.maxInHand // as all have the same program and settings
			if e < len(c.ended) {
				most = c.ended[e].maxInHand
			}
			for f, r := range unknownRanges(most, 0) {
				n.Ranges[f].add(r)
			}
		}
		out.Counts = append(out.Counts, n)
	}
	return out
}

// anything is what a process may have that is not known of.
func unknownRanges(most, handed int64) [figureCount]Range {
	if most == 0 {
		most = -1
	}
	return [figureCount]Range{{0, most}, {0, most}, {handed, -1}}
}

// of are a key's bounds as they were told: none that was told is nothing, where all were.
func (s *peer) rangesOf(hash uint32) [figureCount]Range {
	for i := range s.counts {
		if s.counts[i].hash == hash {
			return s.counts[i].ranges
		}
	}
	if !s.complete {
		return unknownRanges(s.maxInHand, 0)
	}
	return [figureCount]Range{}
}
