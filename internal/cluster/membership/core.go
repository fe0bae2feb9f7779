// Package membership knows which gateways of a fleet are alive. It is the protocol of SWIM (probes, indirect probes, suspicion
// that the suspect can refute, gossip carried by the probes) with the local health of Lifeguard. It does no I/O: its caller
// steps it with the clock and a random source handed in, and carries its messages. docs/fleet.md has the reasons and the figures.
package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"magpiebank/internal/admission"
)

// Time is a point on the caller's monotonic clock.
type Time = admission.Time

// State is the state that a member is in, as far as is known here.
type State uint8

// The states. Each overrides the ones before it for the same incarnation and number of refutations.
const (
	Alive State = iota
	Suspect
	Dead
	Left // the member said so itself
)

func (s State) String() string { return [...]string{"alive", "suspect", "dead", "left"}[s] }

// Member is one process of the fleet as it is known here. Incarnations tell processes under one name apart: the later one counts.
type Member struct {
	Name        string
	Incarnation uint64
	Refutations uint32 // how many suspicions it has refuted
	State       State
	Address     string
	Accuser     string // the member that suspects it
	StateSince  Time   // when it came to this state here
}

// sameLife reports whether two records are about the same incarnation, with the same number of refutations.
func (m *Member) sameLife(other *Member) bool {
	return m.Incarnation == other.Incarnation && m.Refutations == other.Refutations
}

// EventCode names what happened to a member, or to the fleet as a whole.
type EventCode string

// The events.
const (
	Joined      EventCode = "joined"
	Restarted   EventCode = "restarted" // another process has its name
	Suspected   EventCode = "suspected"
	Refuted     EventCode = "refuted"
	Died        EventCode = "dead"
	Departed    EventCode = "left"
	Superseded  EventCode = "displaced" // a later process has this one's own name
	Partitioned EventCode = "split"     // a quarter of the fleet, or more, is dead
	Healed      EventCode = "healed"
)

// Host is what a core acts on.
type Host interface {
	Send(to string, message []byte)
	MemberChanged(code EventCode, m Member)
}

const (
	// ProbeInterval is the time between probes. An answer takes some milliseconds, so half of the interval is far more than
	// it needs. In the rest of it helpers probe as well.
	ProbeInterval = 500 * admission.Millisecond
	// ForgetAfter is how long dead members are remembered: longer than any partition that must heal by itself.
	ForgetAfter = 24 * 3600 * admission.Second

	tickInterval   = ProbeInterval / 5
	helperCount    = 3                    // members that probe indirectly, as in SWIM's paper
	maxLocalHealth = 8                    // Lifeguard's: how many times slower a member that doubts itself judges
	maxName        = 40                   // bytes
	maxAddress     = 64                   // bytes
	maxMembers     = 1024                 // twice the largest fleet that is supported
	contactPeriod  = 5 * admission.Second // between messages to dead members and seeds: a fleet of ten finds itself in seconds
	lonelyPeriod   = admission.Second     // between them while nobody else is known
	settledAfter   = 5 * admission.Second // a process that has served so long under its name does not outbid a later one
	growthPeriod   = 2 * admission.Second // after a member new to it, it asks for as many more as fit: a newcomer knows 500 in seconds
	usualRefresh   = 8                    // members refreshed with each message: all of 500 are in half a minute
	maxRelays      = 64
)

// Core is one process's part of the protocol. Its calls come one at a time, with a clock that never goes back.
type Core struct {
	host   Host
	random *rand.Rand
	now    Time
	began  Time
	seeds  []string

	self     Member
	inactive bool // superseded, or left
	outbid   bool // it took a later incarnation than it began with
	health   int  // Lifeguard's local health, from 0: how many times slower than usual it judges

	members     []Member // by name, without itself
	grewAt      Time     // when it last learned of a new member
	partitioned bool
	suspicions  []suspicion

	sequence      uint32 // of the last probe
	nextTickAt    Time
	nextContactAt Time // with dead members and seeds
	round         []string
	probe         probe
	relays        []relay

	rumours     []rumour
	refreshedTo int // where the members refreshed next begin
}

// New begins a process's part under a name. Its incarnation must be higher than that of any process before it, as far as known.
func New(now Time, self Member, seeds []string, random *rand.Rand, host Host) *Core {
	self.State, self.StateSince = Alive, now
	return &Core{host: host, random: random, now: now, began: now, self: self, seeds: seeds, nextTickAt: now}
}

// Self returns this process.
func (c *Core) Self() Member { return c.self }

// IsInactive reports whether it takes part no more: a later process has its name, or it has left.
func (c *Core) IsInactive() bool { return c.inactive }

// LocalHealth returns how many times slower than usual it judges others, from 0.
func (c *Core) LocalHealth() int { return c.health }

// Members returns all that it knows of besides itself, by name. They are the core's and must not be kept or changed.
func (c *Core) Members() []Member { return c.members }

// CountDead returns how many members died without leaving.
func (c *Core) CountDead() int {
	return c.count(func(m *Member) bool { return m.State == Dead })
}

// CountReachable returns how many other members are alive or suspect.
func (c *Core) CountReachable() int {
	return c.count(func(m *Member) bool { return m.State <= Suspect })
}

func (c *Core) count(matches func(*Member) bool) (n int) {
	for i := range c.members {
		if matches(&c.members[i]) {
			n++
		}
	}
	return n
}

// Find returns what is known of a member.
func (c *Core) Find(name string) (Member, bool) {
	if i, ok := c.indexOf(name); ok {
		return c.members[i], true
	}
	return Member{}, false
}

// indexOf returns a member's index, or where it would be.
func (c *Core) indexOf(name string) (int, bool) {
	return slices.BinarySearchFunc(c.members, name, func(m Member, name string) int { return cmp.Compare(m.Name, name) })
}

// pickMember draws one of the members that match.
func (c *Core) pickMember(matches func(*Member) bool) (Member, bool) {
	candidates, picked := 0, -1
	for i := range c.members {
		if !matches(&c.members[i]) {
			continue
		}
		candidates++
		if c.random.IntN(candidates) == 0 {
			picked = i
		}
	}
	if picked < 0 {
		return Member{}, false
	}
	return c.members[picked], true
}

// NextTick returns when Tick is to be called at the latest.
func (c *Core) NextTick() Time { return c.nextTickAt }

// Tick is the timer.
func (c *Core) Tick(now Time) {
	late := now - c.nextTickAt
	c.now = now
	if c.inactive {
		c.nextTickAt = now + ProbeInterval
		return
	}
	if late > ProbeInterval {
		c.resumeAfterStall(late)
	}
	if c.probe.waiting && now >= c.probe.until {
		c.endUnansweredProbe()
	}
	if p := &c.probe; p.waiting && !p.helpRequested && now >= p.helpAt {
		p.helpRequested = true
		c.requestHelp()
	}
	c.endSuspicions()
	if !c.probe.waiting && now >= c.probe.until {
		c.startProbe()
	}
	if now >= c.nextContactAt {
		c.contactLost()
	}
	c.forgetMembers()
	c.nextTickAt = now + tickInterval
	if c.probe.waiting && !c.probe.helpRequested {
		c.nextTickAt = min(c.nextTickAt, max(now+1, c.probe.helpAt))
	}
}

// resumeAfterStall takes in that a tick came far too late, because the process stood still. It cannot know what it missed, so it judges
// nobody by that time and trusts itself less.
func (c *Core) resumeAfterStall(late Time) {
	const penalty = 2
	c.probe.waiting = false
	for i := range c.suspicions {
		c.suspicions[i].began += late
	}
	c.changeHealth(penalty)
}

func (c *Core) changeHealth(by int) { c.health = max(0, min(maxLocalHealth, c.health+by)) }

// slowed returns a time as a member that doubts itself takes it.
func (c *Core) slowed(t Time) Time { return t * Time(1+c.health) }

// Leave notifies some members that this one leaves. They pass it on.
func (c *Core) Leave(now Time) {
	c.now = now
	if c.inactive {
		return
	}
	c.self.State = Left
	c.self.Refutations++
	for range 3 * helperCount {
		if m, ok := c.pickMember(func(m *Member) bool { return m.State == Alive }); ok {
			c.send(m.Address, message{kind: kindAck}, usualRefresh)
		}
	}
	c.inactive = true
}
