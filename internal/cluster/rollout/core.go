// Package rollout has a policy take hold at all gateways of a fleet or at none: which classes there are, what they may use, what is
// never sent. It does no I/O: its caller steps it with the clock handed in, carries its messages and keeps its records.
// docs/policy.md has the protocol, why it holds, and which test shows it.
//
// A few voters keep a log of what was decided (package consensus). Every gateway goes by the decided policy for as long as it holds a
// lease on it, which the voters' leader gives once a majority has borne out that it leads. A change is proposed, taken by all gateways
// that are heard, and decided only when no lease on the policy before it can still be running; from then on leases are given on it.
package rollout

import (
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"slices"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/consensus"
)

// Time is a point on the caller's monotonic clock.
type Time = admission.Time

const second = admission.Second

// Digest names a policy's text: its SHA-256. That of no policy at all is zero.
type Digest [sha256.Size]byte

// Of is the digest of a text.
func DigestOf(text []byte) Digest {
	if len(text) == 0 {
		return Digest{}
	}
	return sha256.Sum256(text)
}

// String is as much of it as people compare.
func (d Digest) String() string { return hex.EncodeToString(d[:6]) }

// MostText is the longest policy in bytes.
const MaxPolicyBytes = 1 << 20

// Plan is what a member's own file says.
type Config struct {
	Voters            []string // names of those that decide at first; 1, 3, 5 or 7
	LeaseDuration     Time     // for which a gateway goes on without a word; that of the first voters counts
	PrepareTimeout    Time     // that a proposal waits for gateways that are heard and neither take nor refuse it
	ClockDriftDivisor Time     // clocks run at most one part in this many fast or slow
	Persistent        bool     // records survive this process; who votes needs it

	Mutation Mutation // NoMutation in a process that serves
}

// margin is a length of time at one who must wait until another, whose clock may run slower, has surely counted it; see budget.
func (p *Config) leaseMargin(t Time) Time {
	if p.Mutation == IgnoreClockDrift {
		return t
	}
	return t + (3*t+p.ClockDriftDivisor-1)/p.ClockDriftDivisor
}

// Terms are what a policy's text asks of the change to it.
type Terms struct {
	Overlap         Time // for which a gateway that hears nothing goes by what both policies allow; 0: it doesn't
	RehearsalLength Time // for which all try it on live tasks before it is decided
	RehearsalBounds Bounds
	Probation       Time // for which it may be taken back
	ProbationBounds Bounds
	Voters          []string // that are to decide from then on; none: those that do
}

// Bounds are shares of tasks that may be refused, or find no room; above 1: any.
type Bounds struct{ Rejected, Shed float64 }

// Count is what became of tasks at one member since a rehearsal or a policy began there.
type RequestCounts struct {
	Subject    uint64 `cbor:"1,keyasint,omitempty"` // the proposal that is rehearsed, or the number
	Requests   uint64 `cbor:"2,keyasint,omitempty"`
	Classified uint64 `cbor:"3,keyasint,omitempty"`
	Rejected   uint64 `cbor:"4,keyasint,omitempty"` // in a rehearsal: that are not refused now
	Shed       uint64 `cbor:"5,keyasint,omitempty"` // turned away for want of a place, or with no room; in a rehearsal: that are not now
}

// Standing is what this gateway may go by.
type InForce struct {
	Era        uint64
	Number     uint64
	Digest     Digest
	LeaseUntil Time // end of the lease; what is decided later is decided by nothing

	// Without a lease, what both policies allow, for a time; the zero digest of Other: nothing of the kind.
	OverlapDigest Digest
	OverlapUntil  Time

	KnownDigests    []Digest // whose classes it has heard of, the one in force first; what none of them touches goes on without a lease
	Informed        bool     // it has heard of the decided policy since it started, or its folder named one
	RehearsalDigest Digest   // is tried on live tasks
	RehearsalID     uint64   // the proposal that is tried
}

// Holds tells whether it may decide by the number now.
func (s *InForce) HoldsLease(now Time) bool { return now < s.LeaseUntil }

// Host is what a core acts on.
type Host interface {
	// Send brings a message to a member by name, itself too.
	Send(to string, m []byte)
	// Others are the members that are there, by name.
	Peers() []string
	// Check tells what a policy's text asks of a change, or why this gateway can't follow it; Keep has records survive a crash, in their
	// order. Neither tells within the call.
	CheckPolicy(d Digest, text []byte, done func(Terms, error))
	SaveRecords(records []consensus.Record, done func(error))
	// Load reads a text that was kept.
	LoadPolicy(d Digest) []byte
	// Stand has the gateway go by another standing, at once. Drained tells that nothing decided under one before it is still on its way out.
	SetInForce(s *InForce)
	Drained() bool
	// Count is what became of tasks under a policy in force, or tried, since then.
	RequestCounts() RequestCounts
	// Wall is the time for people, in seconds.
	UnixSeconds() int64
	LogEvent(code EventCode, more ...any)
}

// Code names what happened, for the log.
type EventCode string

// What is told.
const (
	LeaseHeld           EventCode = "holding"       // goes by a policy from now on
	LeaseLost           EventCode = "lapsed"        // holds no lease any more
	ProposalHeard       EventCode = "heard"         // of a proposal
	ProposalPrepared    EventCode = "took"          // stored it, and can follow it
	ProposalUnsupported EventCode = "refuses"       // can't follow a proposal
	CannotFollow        EventCode = "cannot_follow" // nor what was decided
	LeaderElected       EventCode = "leads"         // of the voters
	ProposalOpened      EventCode = "opened"        // a proposal
	SwitchStarted       EventCode = "yielding"      // all are ready, and give the old one up
	SwitchAbandoned     EventCode = "resumed"       // not all did in time: they go on by the old one, and it is tried again
	ProposalDecided     EventCode = "decided"       // it takes hold
	ProposalDropped     EventCode = "dropped"       // or not
	ProposalRejected    EventCode = "refused"       // it was never open
	MemberExcluded      EventCode = "left_out"      // a member took no part in time
	LogStarted          EventCode = "begun"         // the voters' log, by all of them
	VotersChanged       EventCode = "voting"        // the voters are others now
	VoterWaiting        EventCode = "waits"         // a voter that isn't one yet
	SaveFailed          EventCode = "cant_keep"     // a record
	LogLost             EventCode = "lost"          // the folder lacks what others were told it has: this voter is another from now on
	VotersBehind        EventCode = "behind"        // the voters know less than a gateway has gone by
	LogForced           EventCode = "forced"
	LogSuperseded       EventCode = "overruled" // a forced log is elsewhere
	PolicyRolledBack    EventCode = "taken_back"
)

// Core is one process's part. Its calls come one at a time, with a clock that never goes back.
type Core struct {
	config      *Config
	host        Host
	random      *rand.Rand
	now         Time
	name        string
	incarnation uint64
	follower    follower
	policies    policyStore
	proposals   []*localProposal // proposals made here
	voter       *voter           // nil: this one doesn't vote
	ended       bool
}

// New begins a process's part; kept is what its folder has.
func New(now Time, plan *Config, name string, start uint64, chance *rand.Rand, kept *StoredState, host Host) *Core {
	c := &Core{config: plan, host: host, random: chance, now: now, name: name, incarnation: start}
	if kept != nil {
		c.policies.storedKeys = kept.sortedPolicyKeys()
	}
	c.follower.restore(c, kept)
	if kept != nil && plan.Persistent {
		c.voter = newVoter(c, kept)
	}
	c.publishInForce()
	return c
}

// pass has time go on.
func (c *Core) advanceClock(now Time) { c.now = max(c.now, now) }

// Due is the timer.
func (c *Core) Tick(now Time) {
	c.advanceClock(now)
	if c.ended {
		return
	}
	c.policies.tick(c)
	c.follower.tick(c)
	if c.voter != nil {
		c.voter.tick(c)
	}
	for _, a := range c.proposals {
		a.tick(c)
	}
	c.proposals = slices.DeleteFunc(c.proposals, func(a *localProposal) bool { return a.ended && c.now-a.sentAt > 10*second })
}

// Heard takes in a message; an error: it can't be read.
func (c *Core) HandleMessage(now Time, from string, b []byte) error {
	c.advanceClock(now)
	m, err := decode(b)
	if err != nil || c.ended {
		return err
	}
	m.from = from
	c.dispatch(m)
	return nil
}

func (c *Core) dispatch(m *Message) {
	switch {
	case m.LeaseRequest != nil:
		if c.voter != nil {
			c.voter.handleLeaseRequest(c, m)
		}
	case m.LeaseReply != nil:
		c.follower.handleReply(c, m)
	case m.ProposalRequest != nil:
		if c.voter != nil {
			c.voter.handleProposal(c, m)
		}
	case m.ProposalReply != nil:
		for _, a := range c.proposals {
			a.handleReply(c, m.ProposalReply)
		}
	case m.ChunkRequest != nil:
		c.policies.handleChunkRequest(c, m)
	case m.Chunk != nil:
		c.policies.handleChunk(c, m.Chunk)
	case m.VoterHello != nil:
		if c.voter != nil {
			c.voter.handleHello(c, m)
		}
	case m.Log != nil:
		if c.voter != nil {
			c.voter.handleLogMessage(c, m.Log)
		}
	}
}

// Leave gives up what this process holds: it stops.
func (c *Core) Leave(now Time) {
	c.advanceClock(now)
	c.follower.release(c)
	c.ended = true
}

func (c *Core) send(to string, m Message) {
	m.Incarnation = c.incarnation
	if sender, ok := c.host.(MessageSender); ok {
		sender.SendMessage(to, &m)
		return
	}
	c.host.Send(to, m.encode())
}
