package rollout

import (
	"fmt"
	"slices"
)

// Status is the state of a process, for operators.
type Status struct {
	Name           string
	InForce        InForce
	LeaseRemaining Time   // 0: it holds no lease
	LastNumber     uint64 // the number of the policy that it applied last
	DecidedNumber  uint64 // the number of the latest policy that it knows as decided
	Leader         string
	Voters         []string
	IsVoter        bool
	IsLearner      bool   // it should vote, but doesn't yet
	ProposalID     uint64 // the ID of the open proposal; 0: it knows of none
	ProposalDigest Digest
	Ready          bool         // it can follow the open proposal
	Reason         string       // why it can't follow the open proposal
	Progress       string       // the progress of the change, as the leader describes it
	Unsupported    Digest       // the decided policy, if it can't follow it
	PastPolicies   []PastPolicy // set at voters only, as EndedProposals
	EndedProposals []ProposalEnd
	Members        []Member // set at the leader only
}

// Member is a leader's view of one member.
type Member struct {
	Name             string
	SinceLastRequest Time
	LeaseRemaining   Time // until its lease has certainly ended
	Ready            bool // it can follow the open proposal
	Excluded         bool // it was not ready in time, or kept its lease too long
	Reason           string
}

// Status returns the state of this process.
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
	s.PastPolicies, s.EndedProposals = slices.Clone(v.table.PastPolicies), slices.Clone(v.table.EndedProposals)
	if v.leadership == nil {
		return
	}
	s.Progress = v.describeProgress(c)
	for i := range v.leadership.holders {
		s.Members = append(s.Members, v.member(c, &v.leadership.holders[i]))
	}
}

func (v *voter) member(c *Core, h *leaseHolder) Member {
	m := Member{Name: h.name, SinceLastRequest: c.now - h.lastRequestAt, LeaseRemaining: max(0, h.leaseClearAt-c.now), Excluded: h.excluded}
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

// NotLeaderError is returned for an operation that only the leader can do. Leader is empty if the leader is unknown.
type NotLeaderError struct{ Leader string }

func (e *NotLeaderError) Error() string { return fmt.Sprintf("not the leader: %s leads", e.Leader) }

// ReplaceVoters changes the members that should vote. The leader then replaces the voters one at a time. ReplaceVoters returns a
// *NotLeaderError at any process but the leader, and an error unless there are 1, 3, 5 or 7 voters.
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

// PolicyText returns the text of a policy, or nil if the text isn't here.
func (c *Core) PolicyText(digest Digest) []byte {
	t := c.policies.find(digest)
	if t != nil && t.state >= textChecking {
		return t.body
	}
	return c.host.LoadPolicy(digest)
}
