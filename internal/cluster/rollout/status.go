package rollout

import (
	"fmt"
	"slices"
)

// Status is what a process knows, for operators.
type Status struct {
	Name           string
	InForce        InForce
	LeaseRemaining Time   // 0: it holds no lease
	LastNumber     uint64 // of the policy that it went by last
	DecidedNumber  uint64 // of the latest policy that it knows as decided
	Leader         string
	Voters         []string
	IsVoter        bool
	IsLearner      bool   // it is to vote, and doesn't yet
	ProposalID     uint64 // of the open proposal; 0: it knows of none
	ProposalDigest Digest
	Ready          bool         // it can follow the proposal
	Reason         string       // why it can't
	Progress       string       // of the change, as the leader describes it
	Unsupported    Digest       // the decided policy, if it can't follow that
	PastPolicies   []PastPolicy // known by voters
	EndedProposals []ProposalEnd
	Members        []Member // known by the leader
}

// Member is a member as the leader knows it.
type Member struct {
	Name             string
	SinceLastRequest Time
	LeaseRemaining   Time // until its lease has surely ended
	Ready            bool // for the open proposal
	Excluded         bool // it took no part in time
	Reason           string
}

// Status returns what this process knows.
func (c *Core) Status(now Time) Status {
	c.advanceClock(now)
	f := &c.follower
	s := Status{
		Name: c.name, InForce: f.published, LeaseRemaining: max(0, f.leaseUntil-c.now), LastNumber: f.current.Number, DecidedNumber: f.decided.Number,
		Leader: f.leader, Voters: f.voters, Progress: f.progress,
	}
	if f.decided != f.current {
		s.Unsupported = f.reportedUnsupported
	}
	if f.proposal != nil {
		s.ProposalID, s.ProposalDigest, s.Ready, s.Reason = f.proposal.ID, f.proposal.Digest, f.readyFor == f.proposal.ID, f.reason
	}
	if c.voter != nil {
		c.voter.addStatus(c, &s)
	}
	return s
}

func (v *voter) addStatus(c *Core, s *Status) {
	s.IsVoter = v.log != nil && v.isVoter(c)
	s.IsLearner = !s.IsVoter && (slices.Contains(v.table.WantedVoters, c.name) || slices.Contains(c.config.Voters, c.name))
	s.PastPolicies, s.EndedProposals = slices.Clone(v.table.Past), slices.Clone(v.table.Ends)
	if v.leadership == nil {
		return
	}
	s.Progress = v.describeProgress(c)
	for i := range v.leadership.holders {
		s.Members = append(s.Members, v.member(c, &v.leadership.holders[i]))
	}
}

func (v *voter) member(c *Core, h *leaseHolder) Member {
	m := Member{Name: h.name, SinceLastRequest: c.now - h.lastHeardAt, LeaseRemaining: max(0, h.leaseClearAt-c.now), Excluded: h.excluded}
	p := v.table.Proposal
	if p == nil {
		return m
	}
	m.Ready = h.request.ReadyFor == p.ID
	if h.request.Unsupported == p.ID {
		m.Reason = h.request.Reason
	}
	return m
}

// NotLeaderError is returned where only the leader can do something.
type NotLeaderError struct{ Leader string }

func (e *NotLeaderError) Error() string { return fmt.Sprintf("only the leader, %s, can", e.Leader) }

// ReplaceVoters has other members vote, one change at a time. It returns a *NotLeaderError at any process but the leader, and an error for
// a number of voters that is not 1, 3, 5 or 7.
func (c *Core) ReplaceVoters(now Time, voters []string) error {
	c.advanceClock(now)
	if c.voter == nil || c.voter.leadership == nil {
		return &NotLeaderError{c.follower.leader}
	}
	if err := checkVoterCount(voters); err != nil {
		return err
	}
	c.voter.replaceVoters(c, voters)
	return nil
}

// PolicyText returns the text of a policy; nil: it isn't here.
func (c *Core) PolicyText(digest Digest) []byte {
	t := c.policies.find(digest)
	if t != nil && t.state >= textChecking {
		return t.body
	}
	return c.host.LoadPolicy(digest)
}
