package rollout

import (
	"fmt"
	"slices"
)

const (
	// So many policies can be gone back to, and so many proposals' ends are known to who asks again.
	maxPastPolicies = 16
	maxProposalEnds = 32
	// A reason, and a name, in bytes.
	maxReasonBytes = 400
	maxNameBytes   = 40
)

// Book is what the voters' log has decided: each entry moves it on, at all voters alike.
type Table struct {
	Era           uint64          `cbor:"1,keyasint,omitempty"` // raised by force alone
	Number        uint64          `cbor:"2,keyasint,omitempty"` // of the policy in force
	Digest        Digest          `cbor:"3,keyasint"`
	Size          int             `cbor:"4,keyasint,omitempty"`
	LastProposal  uint64          `cbor:"5,keyasint,omitempty"` // the proposal that it came by
	LeaseDuration Time            `cbor:"6,keyasint,omitempty"`
	Overlap       Time            `cbor:"7,keyasint,omitempty"`  // the longest that anyone may go on by what two policies allow
	Proposal      *LoggedProposal `cbor:"8,keyasint,omitempty"`  // the proposal that is neither decided nor dropped
	Past          []PastPolicy    `cbor:"9,keyasint,omitempty"`  // policies, the one in force last
	Ends          []ProposalEnd   `cbor:"10,keyasint,omitempty"` // of proposals, the latest last
	Probation     *Probation      `cbor:"11,keyasint,omitempty"` // the probation that runs
	Voters        []Voter         `cbor:"12,keyasint,omitempty"`
	WantedVoters  []string        `cbor:"13,keyasint,omitempty"` // who is to vote
}

// Act is one policy that was in force.
type PastPolicy struct {
	Number      uint64       `cbor:"1,keyasint"`
	Digest      Digest       `cbor:"2,keyasint"`
	Size        int          `cbor:"3,keyasint"`
	Kind        ProposalKind `cbor:"4,keyasint"`
	By          string       `cbor:"5,keyasint"`
	UnixSeconds int64        `cbor:"6,keyasint"` // seconds, the leader's wall clock
	RollbackTo  uint64       `cbor:"7,keyasint,omitempty"`
}

// Offer is a proposal as the log has it.
type LoggedProposal struct {
	ID              uint64       `cbor:"1,keyasint"`
	Digest          Digest       `cbor:"2,keyasint"`
	Size            int          `cbor:"3,keyasint"`
	Kind            ProposalKind `cbor:"4,keyasint"`
	By              string       `cbor:"5,keyasint"`
	BaseNumber      uint64       `cbor:"6,keyasint,omitempty"` // the number that it is to follow; 0: any
	RollbackTo      uint64       `cbor:"7,keyasint,omitempty"`
	RehearsalLength Time         `cbor:"8,keyasint,omitempty"`
	Overlap         Time         `cbor:"9,keyasint,omitempty"`
	Automatic       bool         `cbor:"10,keyasint,omitempty"` // of itself, after a probation
}

// End is what became of a proposal.
type ProposalEnd struct {
	ID      uint64  `cbor:"1,keyasint"`
	Outcome Outcome `cbor:"2,keyasint"`
	Number  uint64  `cbor:"3,keyasint,omitempty"`
	Reason  string  `cbor:"4,keyasint,omitempty"`
}

// Trial is a probation.
type Probation struct {
	Number     uint64 `cbor:"1,keyasint"`
	RollbackTo uint64 `cbor:"2,keyasint"` // the number whose policy is gone back to
}

// Voter is one of those that decide.
type Voter struct {
	Name      string `cbor:"1,keyasint"`
	ReplicaID uint64 `cbor:"2,keyasint"`
}

// entry is one of the log: one of its parts.
type logEntry struct {
	Proposal        *LoggedProposal `cbor:"1,keyasint,omitempty"`
	Drop            *ProposalEnd    `cbor:"2,keyasint,omitempty"`
	Decide          *decision       `cbor:"3,keyasint,omitempty"`
	ProbationPassed uint64          `cbor:"4,keyasint,omitempty"` // the probation of this number has ended well
	WantedVoters    []string        `cbor:"5,keyasint,omitempty"`
}

type decision struct {
	ID          uint64 `cbor:"1,keyasint"`
	UnixSeconds int64  `cbor:"2,keyasint"`
	Probation   bool   `cbor:"3,keyasint,omitempty"`
}

// apply moves the book on.
func (b *Table) apply(e *logEntry) {
	switch {
	case e.Proposal != nil:
		p := *e.Proposal
		switch {
		case b.knows(p.ID):
		case b.Proposal != nil:
			b.recordEnd(ProposalEnd{p.ID, OutcomeRejected, 0, fmt.Sprintf("proposal %s of %s is open", proposalName(b.Proposal.ID), b.Proposal.By)})
		case p.BaseNumber != 0 && p.BaseNumber != b.Number:
			b.recordEnd(ProposalEnd{p.ID, OutcomeRejected, 0, fmt.Sprintf("it is meant to follow number %d, and %d is in force", p.BaseNumber, b.Number)})
		case p.Kind != KindRehearsal && p.Digest == b.Digest:
			b.recordEnd(ProposalEnd{p.ID, OutcomeRejected, b.Number, fmt.Sprintf("number %d in force is the same", b.Number)})
		default:
			b.Proposal, b.Overlap = &p, max(b.Overlap, p.Overlap)
		}
	case e.Drop != nil:
		if b.Proposal != nil && b.Proposal.ID == e.Drop.ID {
			b.Proposal = nil
			b.recordEnd(*e.Drop)
		}
	case e.Decide != nil:
		p := b.Proposal
		if p == nil || p.ID != e.Decide.ID {
			return
		}
		was := b.Number
		b.Number++
		b.Digest, b.Size, b.LastProposal, b.Proposal = p.Digest, p.Size, p.ID, nil
		b.Overlap = p.Overlap // whoever still goes on by two goes by this one and the one before it
		b.Past = append(b.Past, PastPolicy{b.Number, p.Digest, p.Size, p.Kind, p.By, e.Decide.UnixSeconds, p.RollbackTo})
		b.Past = b.Past[max(0, len(b.Past)-maxPastPolicies):]
		b.Probation = nil
		if e.Decide.Probation && !p.Automatic {
			b.Probation = &Probation{b.Number, was}
		}
		b.recordEnd(ProposalEnd{p.ID, OutcomeDecided, b.Number, ""})
	case e.ProbationPassed != 0:
		if b.Probation != nil && b.Probation.Number == e.ProbationPassed {
			b.Probation = nil
		}
	case len(e.WantedVoters) > 0:
		b.WantedVoters = e.WantedVoters
	}
}

// knows tells whether a proposal is open or has ended.
func (b *Table) knows(id uint64) bool {
	return b.Proposal != nil && b.Proposal.ID == id || slices.ContainsFunc(b.Ends, func(e ProposalEnd) bool { return e.ID == id })
}

func (b *Table) recordEnd(e ProposalEnd) {
	e.Reason = truncate(e.Reason, maxReasonBytes)
	b.Ends = append(b.Ends, e)
	b.Ends = b.Ends[max(0, len(b.Ends)-maxProposalEnds):]
}

// lastEnd is the end of the proposal that ended last; zero: of none.
func (t *Table) lastEnd() ProposalEnd {
	if len(t.Ends) == 0 {
		return ProposalEnd{}
	}
	return t.Ends[len(t.Ends)-1]
}

// told is what is known of a proposal; nil: nothing.
func (b *Table) proposalReply(id uint64) *ProposalReply {
	if b.Proposal != nil && b.Proposal.ID == id {
		return &ProposalReply{ID: id}
	}
	for _, e := range b.Ends {
		if e.ID == id {
			return &ProposalReply{ID: id, Outcome: e.Outcome, Number: e.Number, Reason: e.Reason}
		}
	}
	return nil
}

// act is a policy that was in force, by its number.
func (b *Table) pastPolicy(number uint64) *PastPolicy {
	for i := range b.Past {
		if b.Past[i].Number == number {
			return &b.Past[i]
		}
	}
	return nil
}

func (b *Table) version() Version { return Version{b.Era, b.Number} }

// voter is one by its name.
func (b *Table) voterNamed(name string) *Voter {
	for i := range b.Voters {
		if b.Voters[i].Name == name {
			return &b.Voters[i]
		}
	}
	return nil
}

// clone is a book of its own.
func (b *Table) clone() *Table {
	n := *b
	n.Past, n.Ends, n.Voters, n.WantedVoters = slices.Clone(b.Past), slices.Clone(b.Ends), slices.Clone(b.Voters), slices.Clone(b.WantedVoters)
	return &n
}
