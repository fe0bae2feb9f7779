// Package membership tracks which gateways of a cluster are alive. It implements the SWIM protocol (probes, indirect probes, suspicions
// that the suspect can refute, gossip in the probe messages) with the local health of Lifeguard. It does no I/O: its caller passes in
// the current time and a random source, and delivers the messages. docs/fleet.md has the reasons and the measurements.
package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"magpiebank/internal/admission"
)

// Time is a time on the caller's monotonic clock, or a duration.
type Time = admission.Time

// State is the state of a member, as far as this process knows.
type State uint8

// The states of a member. For the same incarnation and number of refutations, each state overrides the states before it.
const (
	Alive State = iota
	Suspect
	Dead
	Left // the member announced that it leaves
)

func (s State) String() string { return [...]string{"alive", "suspect", "dead", "left"}[s] }

// Member is this process's record of one process of the cluster. Incarnations distinguish processes with the same name; a higher one is
// later and replaces the earlier one.
type Member struct {
	Name        string
	Incarnation uint64
	Refutations uint32 // number of suspicions that the member has refuted
	State       State
	Address     string
	Accuser     string // the member that suspects it, if State is Suspect
	StateSince  Time   // when this process last replaced the record
}

// sameVersion reports whether two records have the same incarnation and the same number of refutations.
func (m *Member) sameVersion(other *Member) bool {
	return m.Incarnation == other.Incarnation && m.Refutations == other.Refutations
}

// EventCode identifies an event of a member or of the whole cluster.
type EventCode string

// The events of a member or of the cluster.
const (
	Joined      EventCode = "joined"
	Restarted   EventCode = "restarted" // a later process has the member's name
	Suspected   EventCode = "suspected"
	Refuted     EventCode = "refuted"
	Died        EventCode = "dead"
	Departed    EventCode = "left"
	Superseded  EventCode = "displaced" // a later process has the name of this process
	Partitioned EventCode = "split"     // at least a quarter of the cluster, and at least two members, are dead
	Healed      EventCode = "healed"    // the cluster is no longer partitioned
)

// Host sends a core's messages and is notified of its events.
type Host interface {
	Send(to string, message []byte)
	MemberChanged(code EventCode, m Member)
}

const (
	// ProbeInterval is the time between two probes. A reply takes a few milliseconds, so half of the interval is more than enough for it.
	// In the other half, helpers probe the member too.
	ProbeInterval = 500 * admission.Millisecond
	// ForgetAfter is how long dead members are stored. It is longer than any partition that must heal without intervention.
	ForgetAfter = 24 * 3600 * admission.Second

	tickInterval            = ProbeInterval / 5
	helperCount             = 3                    // members that probe indirectly, as in the SWIM paper
	maxLocalHealth          = 8                    // Lifeguard's maximum; it makes a probe's timeout nine times as long
	maxNameBytes            = 40                   // bytes
	maxAddressBytes         = 64                   // bytes
	maxMembers              = 1024                 // twice the largest supported cluster
	contactInterval         = 5 * admission.Second // interval between pings to dead members and seeds; ten members find each other in seconds
	isolatedContactInterval = admission.Second     // the same interval while no other member is reachable
	incarnationRaisePeriod  = 5 * admission.Second // age up to which a process raises its incarnation above that of another of its name
	fullExchangePeriod      = 2 * admission.Second // time after a new member during which pings are full; a new process learns of 500 in seconds
	defaultRefreshCount     = 8                    // member records added to each message; all of 500 members are refreshed in half a minute
	maxRelays               = 64
)

// Core runs the protocol for one process. It is not safe for concurrent use, and the times passed to it must not decrease.
type Core struct {
	host      Host
	random    *rand.Rand
	now       Time
	startedAt Time
	seeds     []string

	self              Member
	inactive          bool // it was superseded or has left
	raisedIncarnation bool // it has raised its incarnation above that of another process of its name
	localHealth       int  // Lifeguard's local health: 0 is healthy, and timeouts grow with it

	members     []Member // by name, without this process
	newMemberAt Time     // when it last learned of a new member
	partitioned bool
	suspicions  []suspicion

	sequence      uint32 // sequence number of the last probe
	nextTickAt    Time
	nextContactAt Time     // when to probe dead members and seeds next
	round         []string // names of the members still to be probed in this round
	probe         probe
	relays        []relay

	pendingUpdates []pendingUpdate
	refreshCounter int // counter that selects the next member whose record is refreshed
}

// New returns the core of a process that has just started. Its incarnation must be higher than that of any known earlier process of its
// name.
func New(now Time, self Member, seeds []string, random *rand.Rand, host Host) *Core {
	self.State, self.StateSince = Alive, now
	return &Core{host: host, random: random, now: now, startedAt: now, self: self, seeds: seeds, nextTickAt: now}
}

// Self returns the record of this process.
func (c *Core) Self() Member { return c.self }

// IsInactive reports whether this process has stopped taking part, because a later process has its name or because it has left.
func (c *Core) IsInactive() bool { return c.inactive }

// LocalHealth returns the local health of Lifeguard, from 0 (healthy) to 8. The timeout of a probe is multiplied by one more than that.
func (c *Core) LocalHealth() int { return c.localHealth }

// Members returns the records of all known members but this process, by name. The slice belongs to the core: callers must not retain or
// modify it.
func (c *Core) Members() []Member { return c.members }

// CountDead returns the number of members that died without leaving.
func (c *Core) CountDead() int {
	return c.count(func(m *Member) bool { return m.State == Dead })
}

// CountReachable returns the number of other members that are alive or suspect.
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

// Find returns the record of a member, and whether there is one.
func (c *Core) Find(name string) (Member, bool) {
	if i, ok := c.indexOf(name); ok {
		return c.members[i], true
	}
	return Member{}, false
}

// indexOf returns the index of a member, or the index at which it would be inserted, and whether the member is known.
func (c *Core) indexOf(name string) (int, bool) {
	return slices.BinarySearchFunc(c.members, name, func(m Member, name string) int { return cmp.Compare(m.Name, name) })
}

// pickMember returns a random member that matches, and whether there is one.
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

// NextTick returns the latest time at which Tick must be called next.
func (c *Core) NextTick() Time { return c.nextTickAt }

// Tick does the periodic work: probes, suspicions, contacts with dead members and seeds, and the removal of old members.
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
		c.contactUnreachable()
	}
	c.removeOldMembers()
	c.nextTickAt = now + tickInterval
	if c.probe.waiting && !c.probe.helpRequested {
		c.nextTickAt = min(c.nextTickAt, max(now+1, c.probe.helpAt))
	}
}

// resumeAfterStall handles a tick that comes far too late because the process was stalled. It cannot know which messages it missed, so the
// time of the stall counts against no member, and its local health gets worse.
func (c *Core) resumeAfterStall(late Time) {
	const penalty = 2
	c.probe.waiting = false
	for i := range c.suspicions {
		c.suspicions[i].startedAt += late
	}
	c.changeLocalHealth(penalty)
}

func (c *Core) changeLocalHealth(by int) {
	c.localHealth = max(0, min(maxLocalHealth, c.localHealth+by))
}

// scaleTimeout returns a timeout multiplied according to the local health.
func (c *Core) scaleTimeout(t Time) Time { return t * Time(1+c.localHealth) }

// Leave notifies a few members that this process leaves, and makes it inactive. These members spread the notice.
func (c *Core) Leave(now Time) {
	c.now = now
	if c.inactive {
		return
	}
	c.self.State = Left
	c.self.Refutations++
	for range 3 * helperCount {
		if m, ok := c.pickMember(func(m *Member) bool { return m.State == Alive }); ok {
			c.send(m.Address, message{kind: kindAck}, defaultRefreshCount)
		}
	}
	c.inactive = true
}
