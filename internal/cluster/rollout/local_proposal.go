package rollout

import (
	"fmt"
	"slices"
)

// Proposal is what an operator asks for at one gateway.
type Proposal struct {
	ID              uint64 // drawn by who asks; the same one again is the same proposal
	Kind            ProposalKind
	Text            []byte // of a change or a rehearsal
	BaseNumber      uint64 // the number that it is to follow; 0: any
	RollbackTo      uint64 // of a rollback
	RehearsalLength Time   // of a rehearsal
}

// Result is what became of one.
type Result struct {
	ID      uint64
	Outcome Outcome
	Number  uint64
	Reason  string // a reason, or how far it is
}

// attempt is a proposal made here, which is repeated until its end is told.
type localProposal struct {
	ProposalRequest
	sentAt   Time
	attempts int
	leader   string
	ended    bool
	result   Result
	done     func(Result)
}

// Propose has a proposal made; done is told of its end. One that was made here before goes on.
func (c *Core) Propose(now Time, p Proposal, done func(Result)) error {
	c.advanceClock(now)
	if p.ID == 0 || p.Kind < KindChange || p.Kind > KindRehearsal {
		return fmt.Errorf("expected a proposal with an id, found %d of kind %d", p.ID, p.Kind)
	}
	if p.Kind != KindRollback && (len(p.Text) == 0 || len(p.Text) > MaxPolicyBytes) {
		return fmt.Errorf("expected a policy of 1 to %d bytes, found %d", MaxPolicyBytes, len(p.Text))
	}
	if i := slices.IndexFunc(c.proposals, func(a *localProposal) bool { return a.ID == p.ID }); i >= 0 {
		a := c.proposals[i]
		if a.ended {
			done(a.result)
			return nil
		}
		a.done = done
		return nil
	}
	if len(c.proposals) >= 2*maxWaitingProposals {
		return fmt.Errorf("%d proposals are under way here", len(c.proposals))
	}
	a := &localProposal{ProposalRequest: ProposalRequest{ID: p.ID, Digest: DigestOf(p.Text), Size: len(p.Text), Kind: p.Kind, BaseNumber: p.BaseNumber, RollbackTo: p.RollbackTo, RehearsalLength: p.RehearsalLength}, done: done, result: Result{ID: p.ID}}
	if len(p.Text) > 0 {
		c.policies.add(c, a.Digest, slices.Clone(p.Text), false)
	}
	c.proposals = append(c.proposals, a)
	a.submit(c)
	return nil
}

// Progress is what is known of a proposal made here.
func (c *Core) ProposalProgress(id uint64) (r Result, ok bool) {
	for _, a := range c.proposals {
		if a.ID == id {
			return a.result, true
		}
	}
	return Result{ID: id}, false
}

func (a *localProposal) tick(c *Core) {
	if !a.ended && c.now-a.sentAt >= second/5 {
		a.submit(c)
	}
}

func (a *localProposal) submit(c *Core) {
	o := &c.follower
	to := a.leader
	if to == "" {
		if to = o.leader; to == "" || a.attempts%2 == 1 {
			to = o.voters[(a.attempts/2)%len(o.voters)]
		}
		a.attempts++
	}
	a.leader, a.sentAt = "", c.now
	p := a.ProposalRequest
	c.send(to, Message{ProposalRequest: &p})
}

func (a *localProposal) handleReply(c *Core, t *ProposalReply) {
	if t.ID != a.ID || a.ended {
		return
	}
	if t.Leader != "" {
		if a.leader != t.Leader {
			a.leader = t.Leader
			a.submit(c)
		}
		return
	}
	a.result.Outcome, a.result.Number, a.result.Reason = t.Outcome, t.Number, t.Reason
	if t.Outcome != OutcomePending {
		a.ended = true
		a.done(a.result)
	}
}

// State is what this process knows, for people.
type Status struct {
	Name           string
	InForce        InForce
	LeaseRemaining Time // for which it is still held; 0: it is not
	LastNumber     uint64
	DecidedNumber  uint64 // the latest number that it knows as decided
	Leader         string
	Voters         []string
	IsVoter        bool
	IsLearner      bool // it is to vote, and doesn't yet
	ProposalID     uint64
	ProposalDigest Digest
	Ready          bool
	Reason         string       // it refuses the proposal
	Progress       string       // how far it is, as the leader says
	Unsupported    Digest       // a decided policy that it can't follow
	Past           []PastPolicy // as far as this one knows: voters alone
	Ends           []ProposalEnd
	Members        []Member // of the leader alone
}

// Member is one as the leader knows it.
type Member struct {
	Name           string
	SinceHeard     Time // ago
	LeaseRemaining Time // until it has surely ended
	Ready          bool
	Excluded       bool
	Reason         string
}

// State tells it.
func (c *Core) Status(now Time) Status {
	c.advanceClock(now)
	o := &c.follower
	s := Status{Name: c.name, InForce: o.published, LeaseRemaining: max(0, o.leaseUntil-c.now), LastNumber: o.current.Number, DecidedNumber: o.decided.Number, Leader: o.leader, Voters: o.voters, Progress: o.progress, Unsupported: o.reportedUnsupported}
	if o.decided == o.current {
		s.Unsupported = Digest{}
	}
	if o.proposal != nil {
		s.ProposalID, s.ProposalDigest, s.Ready, s.Reason = o.proposal.ID, o.proposal.Digest, o.readyFor == o.proposal.ID, o.reason
	}
	v := c.voter
	if v == nil {
		return s
	}
	s.IsVoter = v.log != nil && v.isVoter(c)
	s.IsLearner = !s.IsVoter && (slices.Contains(v.table.WantedVoters, c.name) || slices.Contains(c.config.Voters, c.name))
	s.Past, s.Ends = slices.Clone(v.table.Past), slices.Clone(v.table.Ends)
	if l := v.leadership; l != nil {
		s.Progress = v.describeProgress(c)
		for i := range l.holders {
			g := &l.holders[i]
			k := Member{Name: g.name, SinceHeard: c.now - g.lastHeardAt, LeaseRemaining: max(0, g.leaseClearAt-c.now), Excluded: g.excluded}
			if p := v.table.Proposal; p != nil {
				k.Ready = g.request.ReadyFor == p.ID
				if g.request.Unsupported == p.ID {
					k.Reason = g.request.Reason
				}
			}
			s.Members = append(s.Members, k)
		}
	}
	return s
}

// Want has other gateways vote, one change at a time; only the leader can.
func (c *Core) ReplaceVoters(now Time, voters []string) error {
	c.advanceClock(now)
	if c.voter == nil || c.voter.leadership == nil {
		return fmt.Errorf("only the leader, %s, can", c.follower.leader)
	}
	if n := len(voters); n != 1 && n != 3 && n != 5 && n != 7 {
		return fmt.Errorf("expected 1, 3, 5 or 7 voters, found %d", n)
	}
	c.voter.replaceVoters(c, voters)
	return nil
}

// Text is that of a policy, if it is here.
func (c *Core) PolicyText(d Digest) []byte {
	if t := c.policies.find(d); t != nil && t.state >= textChecking {
		return t.body
	}
	return c.host.LoadPolicy(d)
}
