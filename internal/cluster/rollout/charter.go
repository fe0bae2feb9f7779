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
func Of(text []byte) Digest {
	if len(text) == 0 {
		return Digest{}
	}
	return sha256.Sum256(text)
}

// String is as much of it as people compare.
func (d Digest) String() string { return hex.EncodeToString(d[:6]) }

// MostText is the longest policy in bytes.
const MostText = 1 << 20

// Plan is what a member's own file says.
type Plan struct {
	Voters []string // names of those that decide at first; 1, 3, 5 or 7
	Lease  Time     // for which a gateway goes on without a word; that of the first voters counts
	Within Time     // that a proposal waits for gateways that are heard and neither take nor refuse it
	Drift  Time     // clocks run at most one part in this many fast or slow
	Folder bool     // records survive this process; who votes needs it

	planted defect // of the laboratory alone
}

type defect uint8

const (
	none           defect = iota
	switchesOnWord        // a member goes by a proposal once it hears that the others have taken it
	noDrift               // the leader counts a lease to the member's own end
	believesFolder        // a member that starts goes by its folder's policy
	noWait                // a new leader decides before leases of the one before it have ended
	grantsUnasked         // a leader gives leases without a majority's word
	keepsOnYield          // a member goes on by what it said it had given up
	bothForever           // a leader decides while gateways still go by what the change before it allowed
	fromAnswer            // a lease counts from when its answer came
)

// margin is a length of time at one who must wait until another, whose clock may run slower, has surely counted it; see budget.
func (p *Plan) margin(t Time) Time {
	if p.planted == noDrift {
		return t
	}
	return t + (3*t+p.Drift-1)/p.Drift
}

// Terms are what a policy's text asks of the change to it.
type Terms struct {
	Both      Time // for which a gateway that hears nothing goes by what both policies allow; 0: it doesn't
	Rehearse  Time // for which all try it on live tasks before it is decided
	Guard     Bounds
	Probation Time // for which it may be taken back
	Bounds    Bounds
	Voters    []string // that are to decide from then on; none: those that do
}

// Bounds are shares of tasks that may be refused, or find no room; above 1: any.
type Bounds struct{ Refused, Held float64 }

// Count is what became of tasks at one member since a rehearsal or a policy began there.
type Count struct {
	Of      uint64 `cbor:"1,keyasint,omitempty"` // the proposal that is rehearsed, or the number
	Tasks   uint64 `cbor:"2,keyasint,omitempty"`
	Classed uint64 `cbor:"3,keyasint,omitempty"`
	Refused uint64 `cbor:"4,keyasint,omitempty"` // in a rehearsal: that are not refused now
	Held    uint64 `cbor:"5,keyasint,omitempty"` // turned away for want of a place, or with no room; in a rehearsal: that are not now
}

// Standing is what this gateway may go by.
type Standing struct {
	Era    uint64
	Number uint64
	Digest Digest
	Until  Time // end of the lease; what is decided later is decided by nothing

	// Without a lease, what both policies allow, for a time; the zero digest of Other: nothing of the kind.
	Other     Digest
	BothUntil Time

	Known    []Digest // whose classes it has heard of, the one in force first; what none of them touches goes on without a lease
	Heard    bool     // it has heard of the decided policy since it started, or its folder named one
	Rehearse Digest   // is tried on live tasks
	Trial    uint64   // the proposal that is tried
}

// Holds tells whether it may decide by the number now.
func (s *Standing) Holds(now Time) bool { return now < s.Until }

// Host is what a core acts on.
type Host interface {
	// Send brings a message to a member by name, itself too.
	Send(to string, m []byte)
	// Others are the members that are there, by name.
	Others() []string
	// Check tells what a policy's text asks of a change, or why this gateway can't follow it; Keep has records survive a crash, in their
	// order. Neither tells within the call.
	Check(d Digest, text []byte, done func(Terms, error))
	Keep(records []consensus.Record, done func(error))
	// Load reads a text that was kept.
	Load(d Digest) []byte
	// Stand has the gateway go by another standing, at once. Drained tells that nothing decided under one before it is still on its way out.
	Stand(s *Standing)
	Drained() bool
	// Count is what became of tasks under a policy in force, or tried, since then.
	Count() Count
	// Wall is the time for people, in seconds.
	Wall() int64
	Say(code Code, more ...any)
}

// Code names what happened, for the log.
type Code string

// What is told.
const (
	Holding   Code = "holding"       // goes by a policy from now on
	Lapsed    Code = "lapsed"        // holds no lease any more
	Heard     Code = "heard"         // of a proposal
	Took      Code = "took"          // stored it, and can follow it
	Refuses   Code = "refuses"       // can't follow a proposal
	Follows   Code = "cannot_follow" // nor what was decided
	Leads     Code = "leads"         // of the voters
	Opened    Code = "opened"        // a proposal
	Yielding  Code = "yielding"      // all are ready, and give the old one up
	Resumed   Code = "resumed"       // not all did in time: they go on by the old one, and it is tried again
	Decided   Code = "decided"       // it takes hold
	Dropped   Code = "dropped"       // or not
	Refused   Code = "refused"       // it was never open
	LeftOut   Code = "left_out"      // a member took no part in time
	Begun     Code = "begun"         // the voters' log, by all of them
	Voting    Code = "voting"        // the voters are others now
	Waits     Code = "waits"         // a voter that isn't one yet
	CantKeep  Code = "cant_keep"     // a record
	Lost      Code = "lost"          // the folder lacks what others were told it has: this voter is another from now on
	Behind    Code = "behind"        // the voters know less than a gateway has gone by
	Forced    Code = "forced"
	Overruled Code = "overruled" // a forced log is elsewhere
	TakenBack Code = "taken_back"
)

// Core is one process's part. Its calls come one at a time, with a clock that never goes back.
type Core struct {
	plan   *Plan
	host   Host
	chance *rand.Rand
	now    Time
	name   string
	start  uint64
	own    own
	shelf  shelf
	trying []*attempt // proposals made here
	voter  *voter     // nil: this one doesn't vote
	ended  bool
	carry  func(to string, m *message) // of the model, in place of bytes
}

// New begins a process's part; kept is what its folder has.
func New(now Time, plan *Plan, name string, start uint64, chance *rand.Rand, kept *Kept, host Host) *Core {
	c := &Core{plan: plan, host: host, chance: chance, now: now, name: name, start: start}
	if kept != nil {
		c.shelf.kept = kept.keys()
	}
	c.own.begin(c, kept)
	if kept != nil && plan.Folder {
		c.voter = newVoter(c, kept)
	}
	c.stand()
	return c
}

// pass has time go on.
func (c *Core) pass(now Time) { c.now = max(c.now, now) }

// Due is the timer.
func (c *Core) Due(now Time) {
	c.pass(now)
	if c.ended {
		return
	}
	c.shelf.due(c)
	c.own.due(c)
	if c.voter != nil {
		c.voter.due(c)
	}
	for _, a := range c.trying {
		a.due(c)
	}
	c.trying = slices.DeleteFunc(c.trying, func(a *attempt) bool { return a.over && c.now-a.askedAt > 10*second })
}

// Heard takes in a message; an error: it can't be read.
func (c *Core) Heard(now Time, from string, b []byte) error {
	c.pass(now)
	m, err := decode(b)
	if err != nil || c.ended {
		return err
	}
	m.from = from
	c.take(m)
	return nil
}

func (c *Core) take(m *message) {
	switch {
	case m.Ask != nil:
		if c.voter != nil {
			c.voter.asked(c, m)
		}
	case m.Answer != nil:
		c.own.answered(c, m)
	case m.Propose != nil:
		if c.voter != nil {
			c.voter.proposed(c, m)
		}
	case m.Told != nil:
		for _, a := range c.trying {
			a.told(c, m.Told)
		}
	case m.Fetch != nil:
		c.shelf.fetched(c, m)
	case m.Piece != nil:
		c.shelf.piece(c, m.Piece)
	case m.Born != nil:
		if c.voter != nil {
			c.voter.born(c, m)
		}
	case m.Log != nil:
		if c.voter != nil {
			c.voter.heardLog(c, m.Log)
		}
	}
}

// Leave gives up what this process holds: it stops.
func (c *Core) Leave(now Time) {
	c.pass(now)
	c.own.leave(c)
	c.ended = true
}

func (c *Core) send(to string, m message) {
	m.Start = c.start
	if c.carry != nil {
		c.carry(to, &m)
		return
	}
	c.host.Send(to, m.encode())
}
