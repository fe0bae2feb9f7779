package rollout

import (
	"fmt"
	"slices"
)

const (
	// proposalRetryAfter is the interval at which a proposal is sent again until its outcome arrives.
	proposalRetryAfter = second / 5
	maxLocalProposals  = 2 * maxWaitingProposals
)

// Proposal is a proposal that an operator makes at one gateway.
type Proposal struct {
	ID              uint64 // drawn at random by the operator's command; a repeated proposal has the same ID
	Kind            ProposalKind
	Text            []byte // the policy's text, of a change or a rehearsal
	BaseNumber      uint64 // the number that must be in force when the proposal is opened; 0: any
	RollbackTo      uint64 // of a rollback: the number of the past policy to return to; 0: no policy
	RehearsalLength Time   // of a rehearsal: its duration
}

// Result is the state of a proposal: its progress, or its outcome.
type Result struct {
	ID      uint64
	Outcome Outcome
	Number  uint64
	Reason  string // why the proposal ended so; while it is pending, its progress
}

// localProposal is a proposal made at this process. It is sent to the leader again and again until its outcome arrives.
type localProposal struct {
	ProposalRequest
	sentAt     Time
	attempts   int
	nextLeader string // the leader as a voter named it, for the next attempt; empty: submit picks a member
	ended      bool
	result     Result
	done       func(Result)
}

// Propose makes a proposal and calls done with its outcome. If the same proposal was made here before, it continues, and the new done
// replaces the old one; for one that has ended, done is called at once. Propose returns an error for an invalid proposal, or if too many
// proposals are open here.
func (c *Core) Propose(now Time, proposal Proposal, done func(Result)) error {
	c.advanceClock(now)
	if err := proposal.check(); err != nil {
		return err
	}
	i := slices.IndexFunc(c.proposals, func(p *localProposal) bool { return p.ID == proposal.ID })
	if i >= 0 {
		known := c.proposals[i]
		if known.ended {
			done(known.result)
		} else {
			known.done = done
		}
		return nil
	}
	if len(c.proposals) >= maxLocalProposals {
		return fmt.Errorf("this gateway already has %d proposals: wait until some of them have ended", len(c.proposals))
	}
	request := ProposalRequest{
		ID: proposal.ID, Digest: DigestOf(proposal.Text), Size: len(proposal.Text), Kind: proposal.Kind, BaseNumber: proposal.BaseNumber,
		RollbackTo: proposal.RollbackTo, RehearsalLength: proposal.RehearsalLength,
	}
	if len(proposal.Text) > 0 {
		c.policies.add(c, request.Digest, slices.Clone(proposal.Text), false)
	}
	p := &localProposal{ProposalRequest: request, done: done, result: Result{ID: proposal.ID}}
	c.proposals = append(c.proposals, p)
	p.submit(c)
	return nil
}

func (p *Proposal) check() error {
	if p.ID == 0 || p.Kind < KindChange || p.Kind > KindRehearsal {
		return fmt.Errorf("expected a proposal with an ID and a known kind, found ID %d, kind %d", p.ID, p.Kind)
	}
	if p.Kind != KindRollback && (len(p.Text) == 0 || len(p.Text) > MaxPolicyBytes) {
		return fmt.Errorf("expected a policy of 1 to %d bytes, found %d", MaxPolicyBytes, len(p.Text))
	}
	return nil
}

// ProposalProgress returns the state of a proposal that was made at this process; ok is false for any other proposal.
func (c *Core) ProposalProgress(id uint64) (result Result, ok bool) {
	for _, p := range c.proposals {
		if p.ID == id {
			return p.result, true
		}
	}
	return Result{ID: id}, false
}

func (p *localProposal) tick(c *Core) {
	if !p.ended && c.now-p.sentAt >= proposalRetryAfter {
		p.submit(c)
	}
}

// submit sends the proposal to the leader that a voter has named. Without such a reply it alternates between the leader that this gateway
// knows and one voter after another.
func (p *localProposal) submit(c *Core) {
	f := &c.follower
	to := p.nextLeader
	if to == "" {
		to = f.leader
		if to == "" || p.attempts%2 == 1 {
			to = f.voters[(p.attempts/2)%len(f.voters)]
		}
		p.attempts++
	}
	p.nextLeader, p.sentAt = "", c.now
	request := p.ProposalRequest
	c.send(to, Message{ProposalRequest: &request})
}

func (p *localProposal) handleReply(c *Core, reply *ProposalReply) {
	if reply.ID != p.ID || p.ended {
		return
	}
	if reply.Leader != "" {
		if p.nextLeader != reply.Leader {
			p.nextLeader = reply.Leader
			p.submit(c)
		}
		return
	}
	p.result.Outcome, p.result.Number, p.result.Reason = reply.Outcome, reply.Number, reply.Reason
	if reply.Outcome != OutcomePending {
		p.ended = true
		p.done(p.result)
	}
}

// proposalName returns the short form of a proposal's ID for people.
func proposalName(id uint64) string { return fmt.Sprintf("%08x", uint32(id>>32)) }

// truncate shortens a text to maxBytes bytes. The last three bytes of a shortened text are dots.
func truncate(s string, maxBytes int) string {
	if len(s) <= maxBytes {
		return s
	}
	return s[:maxBytes-3] + "..."
}
