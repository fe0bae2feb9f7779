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
	every = admission.Second / 2
	// What is told covers three turns through all others, so that two words may be lost before a member is silent.
	turns = 3
	// The seconds that are told of are kept in so many slots and the one that is being filled.
	slots = 8
	// Clocks run at most one part in twenty fast or slow; two are apart by less than one in eight.
	apart = 8
	// MaxMessageBytes is the longest message: rows that don't fit are not told, and whoever reads knows.
	MaxMessageBytes = 1000
	// mostKept bounds the processes that are known.
	mostKept = 1024
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
	figures
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
	Ranges [figures]Range
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

type bounds struct{ low, high [figures]int64 }

// row is a key's own counts: now, and their bounds in each slot.
type row struct {
	key   Key
	hash  uint32
	now   [figures]int64
	slots [slots + 1]bounds
}

// source is what was last heard of another process.
type source struct {
	name     string
	start    uint64
	at       Time // by its clock, to when what it told goes
	length   Time // and for how long
	most     int64
	whole    bool // all its keys fitted
	rows     []told
	heardAt  Time
	high     Time // our clock less its one, at most, and at least, as of when
	highAt   Time
	low      Time
	lowAt    Time
	lowKnown bool
	gone     bool // it has stopped in good order, and has nothing
}

type told struct {
	hash uint32
	of   [figures]Range
}

// ending is a process that another took the place of: it may have had anything until its last task is surely over.
type ending struct {
	name  string
	most  int64
	until Time
}

// Core is one process's part. Its calls may come from two goroutines.
type Core struct {
	mu      sync.Mutex
	host    Host
	name    string
	fleet   int   // processes that there may be
	most    int64 // tasks that one process has in hand; 0: not bounded
	longest Time  // for which it has one
	now     Time
	rows    []row
	byKey   map[Key]int
	from    [slots + 1]Time // of each slot
	slot    int             // that is being filled
	filled  int             // slots that hold anything
	step    Time            // length of a slot
	nextAt  Time
	turn    int
	sources []source
	endings []ending
}

// New begins a process's part, with nothing in hand, in a fleet of so many. It has at most so many tasks in hand (0: not bounded),
// none for longer than longest.
func New(now Time, name string, fleet int, most int64, longest Time, host Host) *Core {
	c := &Core{host: host, name: name, fleet: fleet, most: most, longest: longest, now: now, byKey: map[Key]int{}, filled: 1, step: window(0) / slots, nextAt: now}
	c.from[0] = now
	c.row(Key{})
	return c
}

// window is what is told of, by how many others there are.
func window(others int) Time { return turns * every * Time(1+others/fanOut) }

func (c *Core) row(k Key) *row {
	i, ok := c.byKey[k]
	if !ok {
		i = len(c.rows)
		c.byKey[k] = i
		c.rows = append(c.rows, row{key: k, hash: k.hash()})
	}
	return &c.rows[i]
}

// Change is that so many tasks more of a key wait or run, or were handed off.
type Change struct {
	Key
	Delta [figures]int64
}

// ApplyChanges takes in what changes at once.
func (c *Core) ApplyChanges(now Time, changes ...Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pass(now)
	for i := range changes {
		r := c.row(changes[i].Key)
		b := &r.slots[c.slot]
		for f, n := range changes[i].Delta {
			r.now[f] += n
			b.low[f], b.high[f] = min(b.low[f], r.now[f]), max(b.high[f], r.now[f])
		}
	}
}

// OwnCounts is what this process has of a key.
func (c *Core) OwnCounts(k Key) [figures]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.row(k).now
}

// ListKeys are those of a kind that this process counts by, by name.
func (c *Core) ListKeys(kind Kind) (out []Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.rows {
		if c.rows[i].key.Kind == kind {
			out = append(out, c.rows[i].key)
		}
	}
	slices.SortFunc(out, func(a, b Key) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// pass has time go on, and slots be filled one after the other.
func (c *Core) pass(now Time) {
	c.now = max(c.now, now)
	if c.now-c.from[c.slot] < c.step {
		return
	}
	c.slot = (c.slot + 1) % len(c.from)
	c.filled = min(c.filled+1, len(c.from))
	c.from[c.slot] = c.now
	for i := range c.rows {
		r := &c.rows[i]
		r.slots[c.slot] = bounds{r.now, r.now}
	}
}

// oldest is from when on the own counts are known.
func (c *Core) oldest() Time { return c.from[(c.slot-c.filled+1+len(c.from))%len(c.from)] }

// own are a key's bounds from one time to another, as wide as the slots are long.
func (c *Core) own(r *row, from, to Time) (out [figures]Range) {
	first := true
	for k := range c.filled {
		i := (c.slot - k + len(c.from)) % len(c.from)
		if c.from[i] <= to {
			for f := range out {
				b := &r.slots[i]
				if first {
					out[f] = Range{b.low[f], b.high[f]}
				}
				out[f] = Range{min(out[f].Low, b.low[f]), max(out[f].High, b.high[f])}
			}
			first = false
		}
		if c.from[i] < from {
			break
		}
	}
	return out
}

// Tick is the timer: a round is told to the next of the others.
func (c *Core) Tick(now Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pass(now)
	c.endings = slices.DeleteFunc(c.endings, func(e ending) bool { return c.now >= e.until })
	if c.now < c.nextAt {
		return
	}
	c.nextAt = c.now + every
	others := c.host.Peers()
	c.step = window(len(others)) / slots
	some := min(fanOut, len(others))
	for k := range some {
		to := others[(c.turn+k)%len(others)]
		c.host.Send(to, c.message(to))
	}
	c.turn += some
}

// message tells one of the others the own bounds, and when it was last heard, by which it knows how its clock and ours differ.
func (c *Core) message(to string) []byte {
	b := []byte{version, 1}
	length := c.now - c.oldest()
	var theirs, ours Time
	if s := c.find(to); s != nil {
		theirs, ours = s.at, s.heardAt
	}
	for _, v := range []Time{c.now, length, Time(c.most), theirs, ours} {
		b = binary.AppendUvarint(b, uint64(v))
	}
	for i := range c.rows {
		r := &c.rows[i]
		of := c.own(r, c.oldest(), c.now)
		if of == [figures]Range{} {
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
func (c *Core) place(name string) (int, bool) {
	return slices.BinarySearchFunc(c.sources, name, func(s source, name string) int { return strings.Compare(s.name, name) })
}

func (c *Core) find(name string) *source {
	i, ok := c.place(name)
	if !ok {
		return nil
	}
	return &c.sources[i]
}

// HandleMessage takes in a message of a process, whole or not at all. An older one than is known changes nothing.
func (c *Core) HandleMessage(now Time, from string, start uint64, b []byte) error {
	next, err := decode(b)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pass(now)
	i, ok := c.place(from)
	if from == c.name || !ok && len(c.sources) >= mostKept {
		return nil
	}
	if !ok {
		c.sources = slices.Insert(c.sources, i, source{name: from, start: start, at: -1})
	}
	s := &c.sources[i]
	if start < s.start || start == s.start && (s.gone || next.at <= s.at) {
		return nil
	}
	if start > s.start {
		if !s.gone {
			c.endings = append(c.endings, ending{s.name, s.most, c.now + c.longest + c.longest/apart})
		}
		*s = source{name: from, start: start, at: -1}
	}
	high, fresh := now-next.at, s.at < 0
	if grown := s.high + (now-s.highAt)/apart; fresh || high <= grown {
		s.high, s.highAt = high, now
	}
	if next.theirs > 0 { // as of when it heard us, which may be long ago
		low := next.theirs - next.ours
		if !s.lowKnown || low-(now-next.theirs)/apart >= s.low-(now-s.lowAt)/apart {
			s.low, s.lowAt, s.lowKnown = low, next.theirs, true
		}
	}
	s.at, s.length, s.most, s.whole, s.rows, s.heardAt = next.at, next.length, next.most, next.whole, next.rows, now
	return nil
}

// letter is a message that was read.
type letter struct {
	source
	theirs, ours Time
}

func decode(b []byte) (m letter, err error) {
	if len(b) < 2 || len(b) > MaxMessageBytes || b[0] != version || b[1] > 1 {
		return m, ErrMessage
	}
	m.whole = b[1] == 1
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
	m.at, m.length, m.most, m.theirs, m.ours = Time(next()), Time(next()), next(), Time(next()), Time(next())
	for len(b) > 0 && !bad {
		if len(b) < 4 {
			return letter{}, ErrMessage
		}
		t := told{hash: binary.BigEndian.Uint32(b)}
		b = b[4:]
		for f := range t.of {
			low := next()
			t.of[f] = Range{low, low + next()}
		}
		m.rows = append(m.rows, t)
	}
	if bad {
		return letter{}, ErrMessage
	}
	return m, nil
}

// MarkStopped takes in that a process has stopped in good order: it has nothing.
func (c *Core) MarkStopped(name string, start uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.find(name); s != nil && s.start <= start {
		s.gone, s.rows, s.whole = true, nil, true
	}
}

// ForgetProcess takes in that a name is surely no more.
func (c *Core) ForgetProcess(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sources = slices.DeleteFunc(c.sources, func(s source) bool { return s.name == name })
}

// latest is the last instant that what was told surely covers; c.now if nobody knows how the clocks differ.
func (c *Core) latest(s *source) Time {
	t := s.at + s.low
	return t - (max(0, c.now-s.lowAt)+max(0, c.now-t))/apart - 2
}

// covers tells whether what was told surely covers an instant.
func (c *Core) covers(s *source, t Time) bool {
	if !s.lowKnown {
		return trustsOld
	}
	return trustsOld || c.begins(s, t) && t-(s.low-abs(t-s.lowAt)/apart-1) <= s.at
}

// begins tells whether what was told surely begins by an instant.
func (c *Core) begins(s *source, t Time) bool {
	return t-(s.high+abs(t-s.highAt)/apart+1) >= s.at-s.length
}

func abs(t Time) Time { return max(t, -t) }

// TakeReading takes a reading of some keys, as of the latest instant that all who were heard lately cover.
func (c *Core) TakeReading(now Time, keys ...Key) Reading {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pass(now)
	lately := window(len(c.sources))
	t := c.now
	for i := range c.sources {
		if s := &c.sources[i]; s.lowKnown && !s.gone && c.now-s.heardAt < lately {
			t = min(t, c.latest(s))
		}
	}
	t = max(t, c.oldest())
	strange := max(0, c.fleet-1-len(c.sources)) // of which nothing was ever heard
	out := Reading{Age: c.now - t, Known: 1, Unknown: len(c.endings) + strange}
	covered := make([]bool, len(c.sources))
	for i := range c.sources {
		if covered[i] = c.sources[i].gone || c.covers(&c.sources[i], t); covered[i] {
			out.Known++
		} else {
			out.Unknown++
		}
	}
	for _, k := range keys {
		n := KeyCounts{Key: k, Ranges: c.own(c.row(k), t, t)}
		hash := k.hash()
		for i := range c.sources {
			s := &c.sources[i]
			add := s.of(hash)
			if !covered[i] {
				least := add[Attempted].Low
				if !c.begins(s, t) {
					least = 0
				}
				add = anything(s.most, least)
			}
			for f := range n.Ranges {
				n.Ranges[f].add(add[f])
			}
		}
		for e := range len(c.endings) + strange {
			most := c.most // as all have the same program and settings
			if e < len(c.endings) {
				most = c.endings[e].most
			}
			for f, r := range anything(most, 0) {
				n.Ranges[f].add(r)
			}
		}
		out.Counts = append(out.Counts, n)
	}
	return out
}

// anything is what a process may have that is not known of.
func anything(most, handed int64) [figures]Range {
	if most == 0 {
		most = -1
	}
	return [figures]Range{{0, most}, {0, most}, {handed, -1}}
}

// of are a key's bounds as they were told: none that was told is nothing, where all were.
func (s *source) of(hash uint32) [figures]Range {
	for i := range s.rows {
		if s.rows[i].hash == hash {
			return s.rows[i].of
		}
	}
	if !s.whole {
		return anything(s.most, 0)
	}
	return [figures]Range{}
}
