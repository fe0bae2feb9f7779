package rollout

import (
	"fmt"
	"slices"
)

const (
	// maxPastPolicies limits the stored history of policies, which are those that a rollback can return to.
	maxPastPolicies = 16
	// maxProposalEnds limits the stored outcomes of proposals, which answer a member that repeats its proposal.
	maxProposalEnds = 32
	maxReasonBytes  = 400
	maxNameBytes    = 40
)

// Table is the state that results from applying the entries of the voters' log in order, so it is the same at all voters. A snapshot of
// the log is a Table encoded in CBOR.
type Table struct {
	Era            uint64          `cbor:"1,keyasint,omitempty"` // only raised when a new log is forced
	Number         uint64          `cbor:"2,keyasint,omitempty"` // the number of the policy in force
	Digest         Digest          `cbor:"3,keyasint"`
	Size           int             `cbor:"4,keyasint,omitempty"`
	LastProposal   uint64          `cbor:"5,keyasint,omitempty"` // the ID of the proposal that put this policy in force
	LeaseDuration  Time            `cbor:"6,keyasint,omitempty"`
	Overlap        Time            `cbor:"7,keyasint,omitempty"`  // the longest time that a gateway without a lease may apply two policies
	Proposal       *LoggedProposal `cbor:"8,keyasint,omitempty"`  // the open proposal: neither decided nor dropped
	PastPolicies   []PastPolicy    `cbor:"9,keyasint,omitempty"`  // the policies that were in force, the current one last
	EndedProposals []ProposalEnd   `cbor:"10,keyasint,omitempty"` // the outcomes of ended proposals, the latest last
	Probation      *Probation      `cbor:"11,keyasint,omitempty"` // of the policy in force; nil: it isn't on probation
	Voters         []Voter         `cbor:"12,keyasint,omitempty"`
	WantedVoters   []string        `cbor:"13,keyasint,omitempty"` // the names of the members that should vote
}

// PastPolicy is a policy that is or was in force.
type PastPolicy struct {
	Number      uint64       `cbor:"1,keyasint"`
	Digest      Digest       `cbor:"2,keyasint"`
	Size        int          `cbor:"3,keyasint"`
	Kind        ProposalKind `cbor:"4,keyasint"`
	ProposedBy  string       `cbor:"5,keyasint"`
	UnixSeconds int64        `cbor:"6,keyasint"` // when it was decided, by the leader's wall clock
	RollbackTo  uint64       `cbor:"7,keyasint,omitempty"`
}

// LoggedProposal is a proposal as stored in the log.
type LoggedProposal struct {
	ID              uint64       `cbor:"1,keyasint"`
	Digest          Digest       `cbor:"2,keyasint"`
	Size            int          `cbor:"3,keyasint"`
	Kind            ProposalKind `cbor:"4,keyasint"`
	By              string       `cbor:"5,keyasint"`           // the member that proposed it
	BaseNumber      uint64       `cbor:"6,keyasint,omitempty"` // the number that must be in force when the proposal is opened; 0: any
	RollbackTo      uint64       `cbor:"7,keyasint,omitempty"`
	RehearsalLength Time         `cbor:"8,keyasint,omitempty"`
	Overlap         Time         `cbor:"9,keyasint,omitempty"`
	Automatic       bool         `cbor:"10,keyasint,omitempty"` // made by the leader because a policy on probation exceeded its bounds
}

// ProposalEnd is the outcome of a proposal.
type ProposalEnd struct {
	ID      uint64  `cbor:"1,keyasint"`
	Outcome Outcome `cbor:"2,keyasint"`
	Number  uint64  `cbor:"3,keyasint,omitempty"`
	Reason  string  `cbor:"4,keyasint,omitempty"`
}

// Probation describes a policy that may be rolled back automatically.
type Probation struct {
	Number     uint64 `cbor:"1,keyasint"`
	RollbackTo uint64 `cbor:"2,keyasint"` // the number of the previous policy, which a rollback returns to
}

// Voter is a member that votes, and its replica of the log.
type Voter struct {
	Name      string `cbor:"1,keyasint"`
	ReplicaID uint64 `cbor:"2,keyasint"`
}

// logEntry is an entry of the log. Exactly one of its fields is set.
type logEntry struct {
	Proposal        *LoggedProposal `cbor:"1,keyasint,omitempty"`
	Drop            *ProposalEnd    `cbor:"2,keyasint,omitempty"`
	Decide          *decision       `cbor:"3,keyasint,omitempty"`
	ProbationPassed uint64          `cbor:"4,keyasint,omitempty"` // the number of the policy whose probation has ended without a rollback
	WantedVoters    []string        `cbor:"5,keyasint,omitempty"`
}

// decision puts the open proposal in force.
type decision struct {
	ID          uint64 `cbor:"1,keyasint"`
	UnixSeconds int64  `cbor:"2,keyasint"`
	Probation   bool   `cbor:"3,keyasint,omitempty"`
}

// apply applies an entry to the table.
func (t *Table) apply(e *logEntry) {
	switch {
	case e.Proposal != nil:
		t.openProposal(*e.Proposal)
	case e.Drop != nil:
		if t.Proposal != nil && t.Proposal.ID == e.Drop.ID {
			t.Proposal = nil
			t.recordProposalEnd(*e.Drop)
		}
	case e.Decide != nil:
		if t.Proposal != nil && t.Proposal.ID == e.Decide.ID {
			t.decide(t.Proposal, e.Decide)
		}
	case e.ProbationPassed != 0:
		if t.Probation != nil && t.Probation.Number == e.ProbationPassed {
			t.Probation = nil
		}
	case len(e.WantedVoters) > 0:
		t.WantedVoters = e.WantedVoters
	}
}

// openProposal opens a proposal, or records its rejection. It ignores a proposal that is already open or has ended.
func (t *Table) openProposal(p LoggedProposal) {
	reject := func(number uint64, format string, values ...any) {
		t.recordProposalEnd(ProposalEnd{p.ID, OutcomeRejected, number, fmt.Sprintf(format, values...)})
	}
	switch {
	case t.isKnown(p.ID):
	case t.Proposal != nil:
		reject(0, "proposal %s of %s is open", proposalName(t.Proposal.ID), t.Proposal.By)
	case p.BaseNumber != 0 && p.BaseNumber != t.Number:
		reject(0, "it is meant to follow number %d, and %d is in force", p.BaseNumber, t.Number)
	case p.Kind != KindRehearsal && p.Digest == t.Digest:
		reject(t.Number, "number %d in force is the same", t.Number)
	default:
		t.Proposal, t.Overlap = &p, max(t.Overlap, p.Overlap)
	}
}

// decide puts a proposal in force. Only the overlap of this proposal remains in t.Overlap, because a gateway that still applies two
// policies applies this one and the previous one.
func (t *Table) decide(p *LoggedProposal, d *decision) {
	previous := t.Number
	t.Number++
	t.Digest, t.Size, t.LastProposal, t.Proposal, t.Overlap = p.Digest, p.Size, p.ID, nil, p.Overlap
	t.PastPolicies = append(t.PastPolicies, PastPolicy{t.Number, p.Digest, p.Size, p.Kind, p.By, d.UnixSeconds, p.RollbackTo})
	t.PastPolicies = t.PastPolicies[max(0, len(t.PastPolicies)-maxPastPolicies):]
	t.Probation = nil
	if d.Probation && !p.Automatic {
		t.Probation = &Probation{t.Number, previous}
	}
	t.recordProposalEnd(ProposalEnd{p.ID, OutcomeDecided, t.Number, ""})
}

// isKnown reports whether a proposal is open, or its outcome is stored.
func (t *Table) isKnown(id uint64) bool { return t.proposalReply(id) != nil }

func (t *Table) recordProposalEnd(end ProposalEnd) {
	end.Reason = truncate(end.Reason, maxReasonBytes)
	t.EndedProposals = append(t.EndedProposals, end)
	t.EndedProposals = t.EndedProposals[max(0, len(t.EndedProposals)-maxProposalEnds):]
}

// lastProposalEnd returns the outcome of the proposal that ended last, or the zero value if none has ended.
func (t *Table) lastProposalEnd() ProposalEnd {
	if len(t.EndedProposals) == 0 {
		return ProposalEnd{}
	}
	return t.EndedProposals[len(t.EndedProposals)-1]
}

// proposalReply returns the state or outcome of a proposal, or nil if the proposal is unknown.
func (t *Table) proposalReply(id uint64) *ProposalReply {
	if t.Proposal != nil && t.Proposal.ID == id {
		return &ProposalReply{ID: id}
	}
	for _, end := range t.EndedProposals {
		if end.ID == id {
			return &ProposalReply{ID: id, Outcome: end.Outcome, Number: end.Number, Reason: end.Reason}
		}
	}
	return nil
}

// pastPolicy returns the policy with the given number, or nil if it isn't among the stored past policies.
func (t *Table) pastPolicy(number uint64) *PastPolicy {
	i := slices.IndexFunc(t.PastPolicies, func(p PastPolicy) bool { return p.Number == number })
	if i < 0 {
		return nil
	}
	return &t.PastPolicies[i]
}

func (t *Table) version() Version { return Version{t.Era, t.Number} }

// voterNamed returns the voter with the given name, or nil if there is none.
func (t *Table) voterNamed(name string) *Voter {
	i := slices.IndexFunc(t.Voters, func(v Voter) bool { return v.Name == name })
	if i < 0 {
		return nil
	}
	return &t.Voters[i]
}

// clone returns a copy of the table that shares no slice with it.
func (t *Table) clone() *Table {
	copied := *t
	copied.PastPolicies, copied.EndedProposals = slices.Clone(t.PastPolicies), slices.Clone(t.EndedProposals)
	copied.Voters, copied.WantedVoters = slices.Clone(t.Voters), slices.Clone(t.WantedVoters)
	return &copied
}
