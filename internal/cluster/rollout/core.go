// Package rollout puts a policy in force at all gateways of a cluster or at none of them. A policy defines the request classes, what
// each class may use, and which requests are rejected. The package does no I/O and starts no goroutine: its caller calls Tick with the
// current time, delivers its messages and saves its records. docs/policy.md describes the protocol, explains why it is correct, and
// names the test for each property.
//
// A few voters keep a log of decisions (package consensus). A gateway applies the decided policy while it holds a lease on it. The
// voters' leader grants leases once a majority of the voters has confirmed that it leads. A change of policy is proposed, then prepared
// by all gateways that the leader receives requests from. It is decided only when no lease on the previous policy can still be running.
// From then on, leases are granted on the new policy.
package rollout

import (
	"math/rand/v2"
	"slices"
)

// endedProposalLifetime is how long the result of an ended proposal stays available after the proposal was last sent to a voter.
const endedProposalLifetime = 10 * second

// Core is the rollout state of one process: a gateway that applies policies and, if its records are persistent, possibly a voter.
// Its methods must be called one at a time, with the time of a monotonic clock.
type Core struct {
	config      *Config
	host        Host
	random      *rand.Rand
	now         Time
	name        string
	incarnation uint64
	follower    follower
	policies    policyStore
	proposals   []*localProposal // proposals made at this process
	voter       *voter           // nil: this process can't vote
	ended       bool             // set by Leave
}

// Process identifies a process and holds the state that it starts with.
type Process struct {
	Name        string
	Incarnation uint64 // differs between processes of the same name
	Random      *rand.Rand
	Stored      *StoredState // the records in its folder; nil: it has no folder
}

// New returns the core of a process that starts now.
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

// Tick runs everything that is due at the time now. The caller calls it regularly.
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

// HandleMessage processes a message from a member. It returns an error that wraps ErrMalformedMessage if the message can't be decoded.
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

// Leave gives up the lease of this process and notifies the leader. The caller calls it before the process stops.
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
