package rollout

import (
	"fmt"
	"slices"
)

const (
	// A proposal is sent again until its outcome comes.
	proposalRetryAfter = second / 5
	maxLocalProposals  = 2 * maxWaitingProposals
)

// Proposal is what an operator asks for at one gateway.
type Proposal struct {
	ID              uint64 // drawn by the operator's side; the same one again is the same proposal
	Kind            ProposalKind
	Text            []byte // of a change or a rehearsal
	BaseNumber      uint64 // the number that it is to follow; 0: any
	RollbackTo      uint64 // of a rollback: the number whose policy it is to return to; 0: to none
	RehearsalLength Time   // of a rehearsal
}

// Result is how far a proposal is, or its outcome.
type Result struct {
	ID      uint64
	Outcome Outcome
	Number  uint64
	Reason  string // or, while it is pending, its progress
}

// localProposal is a proposal made here, which is sent to the leader until its outcome comes.
type localProposal struct {
	ProposalRequest
	sentAt   Time
	attempts int
	leader   string // whom to ask next; empty: whoever may lead
	ended    bool
	result   Result
	done     func(Result)
}

// Propose makes a proposal, and calls done with its outcome. A proposal that was made here before goes on, with the new done. It returns an
// error for one that can't be made.
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
		return fmt.Errorf("%d proposals are under way here", len(c.proposals))
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
		return fmt.Errorf("expected a proposal with an id, found %d of kind %d", p.ID, p.Kind)
	}
	if p.Kind != KindRollback && (len(p.Text) == 0 || len(p.Text) > MaxPolicyBytes) {
		return fmt.Errorf("expected a policy of 1 to %d bytes, found %d", MaxPolicyBytes, len(p.Text))
	}
	return nil
}

// ProposalProgress returns what is known of a proposal that was made here; ok is false for any other.
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

// submit sends the proposal to the leader that a voter named, else by turns to the leader known here and to a voter.
func (p *localProposal) submit(c *Core) {
	f := &c.follower
	to := p.leader
	if to == "" {
		to = f.leader
		if to == "" || p.attempts%2 == 1 {
			to = f.voters[(p.attempts/2)%len(f.voters)]
		}
		p.attempts++
	}
	p.leader, p.sentAt = "", c.now
	request := p.ProposalRequest
	c.send(to, Message{ProposalRequest: &request})
}

func (p *localProposal) handleReply(c *Core, reply *ProposalReply) {
	if reply.ID != p.ID || p.ended {
		return
	}
	if reply.Leader != "" {
		if p.leader != reply.Leader {
			p.leader = reply.Leader
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

// proposalName is the short form of a proposal's ID.
func proposalName(id uint64) string { return fmt.Sprintf("%08x", uint32(id>>32)) }

// truncate cuts a text to a number of bytes, the last three of which then are dots.
func truncate(s string, maxBytes int) string {
	if len(s) <= maxBytes {
		return s
	}
	return s[:maxBytes-3] + "..."
}
