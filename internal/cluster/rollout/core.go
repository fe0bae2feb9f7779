// Package rollout has a policy take hold at all gateways of a fleet or at none: which classes there are, what they may use, and what
// is rejected. It does no I/O and has no goroutine: its caller ticks it with the clock handed in, carries its messages and saves its
// records. docs/policy.md has the protocol, why it holds, and which test shows it.
//
// A few voters keep a log of what was decided (package consensus). A gateway goes by the decided policy for as long as it holds a lease
// on it, which the voters' leader grants once a majority has confirmed that it leads. A change is proposed, prepared by all gateways that
// are heard, and decided only when no lease on the policy before it can still run. From then on leases are granted on the new one.
package rollout

import (
	"math/rand/v2"
	"slices"
)

// A proposal that has ended is remembered for so long, for who asks about it.
const endedProposalLifetime = 10 * second

// Core is one process: a gateway that goes by policies and, if its folder survives it, possibly a voter. Its calls come one at a time,
// with a clock that never goes back.
type Core struct {
	config      *Config
	host        Host
	random      *rand.Rand
	now         Time
	name        string
	incarnation uint64
	follower    follower
	policies    policyStore
	proposals   []*localProposal // that were made here
	voter       *voter           // nil: this process doesn't vote
	ended       bool             // by Leave
}

// Process is what tells a process from others, and what it starts with.
type Process struct {
	Name        string
	Incarnation uint64 // differs between processes of the same name
	Random      *rand.Rand
	Stored      *StoredState // what its folder holds; nil: it has none
}

// New starts a process.
func New(now Time, config *Config, process Process, host Host) *Core {
	stored := process.Stored
	c := &Core{config: config, host: host, random: process.Random, now: now, name: process.Name, incarnation: process.Incarnation}
	if stored != nil {
		c.policies.storedKeys = stored.sortedPolicyKeys()
	}
	c.follower.restore(c, stored)
	if stored != nil && config.Persistent {
		c.voter = newVoter(c, stored)
	}
	c.publishInForce()
	return c
}

func (c *Core) advanceClock(now Time) { c.now = max(c.now, now) }

// Tick does what is due by now.
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
	for _, p := range c.proposals {
		p.tick(c)
	}
	c.proposals = slices.DeleteFunc(c.proposals, func(p *localProposal) bool { return p.ended && c.now-p.sentAt > endedProposalLifetime })
}

// HandleMessage takes in a member's message. It returns an error that wraps ErrMalformedMessage for one that can't be decoded.
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
		for _, p := range c.proposals {
			p.handleReply(c, m.ProposalReply)
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

// Leave gives up the lease that this process holds, as it stops.
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
