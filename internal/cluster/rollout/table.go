package rollout

import (
	"fmt"
	"slices"
)

const (
	// So many policies can be rolled back to, and so many proposals' ends are known to members that ask again.
	maxPastPolicies = 16
	maxProposalEnds = 32
	maxReasonBytes  = 400
	maxNameBytes    = 40
)

// Table is what the voters' log has decided. Each entry changes it, at all voters alike. Snapshots of the log are tables in CBOR.
type Table struct {
	Era           uint64          `cbor:"1,keyasint,omitempty"` // raised by a forced log alone
	Number        uint64          `cbor:"2,keyasint,omitempty"` // of the policy in force
	Digest        Digest          `cbor:"3,keyasint"`
	Size          int             `cbor:"4,keyasint,omitempty"`
	LastProposal  uint64          `cbor:"5,keyasint,omitempty"` // the ID of the proposal by which it was decided
	LeaseDuration Time            `cbor:"6,keyasint,omitempty"`
	Overlap       Time            `cbor:"7,keyasint,omitempty"`  // the longest that any gateway without a lease may go by what two policies allow
	Proposal      *LoggedProposal `cbor:"8,keyasint,omitempty"`  // the open proposal: neither decided nor dropped
	Past          []PastPolicy    `cbor:"9,keyasint,omitempty"`  // of the policies that were in force, the current one last
	Ends          []ProposalEnd   `cbor:"10,keyasint,omitempty"` // of the proposals that ended, the latest last
	Probation     *Probation      `cbor:"11,keyasint,omitempty"` // that runs
	Voters        []Voter         `cbor:"12,keyasint,omitempty"`
	WantedVoters  []string        `cbor:"13,keyasint,omitempty"` // who is to vote
}

// PastPolicy is one policy that was in force.
type PastPolicy struct {
	Number      uint64       `cbor:"1,keyasint"`
	Digest      Digest       `cbor:"2,keyasint"`
	Size        int          `cbor:"3,keyasint"`
	Kind        ProposalKind `cbor:"4,keyasint"`
	ProposedBy  string       `cbor:"5,keyasint"`
	UnixSeconds int64        `cbor:"6,keyasint"` // by the leader's wall clock
	RollbackTo  uint64       `cbor:"7,keyasint,omitempty"`
}

// LoggedProposal is a proposal as the log has it.
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
	Automatic       bool         `cbor:"10,keyasint,omitempty"` // made by the leader, as a policy on probation passed its bounds
}

// ProposalEnd is the outcome of a proposal.
type ProposalEnd struct {
	ID      uint64  `cbor:"1,keyasint"`
	Outcome Outcome `cbor:"2,keyasint"`
	Number  uint64  `cbor:"3,keyasint,omitempty"`
	Reason  string  `cbor:"4,keyasint,omitempty"`
}

// Probation is the time in which a policy may be rolled back automatically.
type Probation struct {
	Number     uint64 `cbor:"1,keyasint"`
	RollbackTo uint64 `cbor:"2,keyasint"` // the number of the policy to return to
}

// Voter is one replica of the log.
type Voter struct {
	Name      string `cbor:"1,keyasint"`
	ReplicaID uint64 `cbor:"2,keyasint"`
}

// logEntry is an entry of the log: one of its parts is set.
type logEntry struct {
	Proposal        *LoggedProposal `cbor:"1,keyasint,omitempty"`
	Drop            *ProposalEnd    `cbor:"2,keyasint,omitempty"`
	Decide          *decision       `cbor:"3,keyasint,omitempty"`
	ProbationPassed uint64          `cbor:"4,keyasint,omitempty"` // the number whose probation is over
	WantedVoters    []string        `cbor:"5,keyasint,omitempty"`
}

// decision puts the open proposal in force.
type decision struct {
	ID          uint64 `cbor:"1,keyasint"`
	UnixSeconds int64  `cbor:"2,keyasint"`
	Probation   bool   `cbor:"3,keyasint,omitempty"`
}

// apply changes the table by an entry.
func (t *Table) apply(e *logEntry) {
	switch {
	case e.Proposal != nil:
		t.openProposal(*e.Proposal)
	case e.Drop != nil:
		if t.Proposal != nil && t.Proposal.ID == e.Drop.ID {
			t.Proposal = nil
			t.recordEnd(*e.Drop)
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

// openProposal opens a proposal, or rejects it.
func (t *Table) openProposal(p LoggedProposal) {
	reject := func(number uint64, format string, values ...any) {
		t.recordEnd(ProposalEnd{p.ID, OutcomeRejected, number, fmt.Sprintf(format, values...)})
	}
	switch {
	case t.knows(p.ID):
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

// decide puts a proposal in force. Only its own overlap remains: gateways that still go by two policies go by this one and the one before.
func (t *Table) decide(p *LoggedProposal, d *decision) {
	previous := t.Number
	t.Number++
	t.Digest, t.Size, t.LastProposal, t.Proposal, t.Overlap = p.Digest, p.Size, p.ID, nil, p.Overlap
	t.Past = append(t.Past, PastPolicy{t.Number, p.Digest, p.Size, p.Kind, p.By, d.UnixSeconds, p.RollbackTo})
	t.Past = t.Past[max(0, len(t.Past)-maxPastPolicies):]
	t.Probation = nil
	if d.Probation && !p.Automatic {
		t.Probation = &Probation{t.Number, previous}
	}
	t.recordEnd(ProposalEnd{p.ID, OutcomeDecided, t.Number, ""})
}

// knows tells whether a proposal is open or has ended.
func (t *Table) knows(id uint64) bool { return t.proposalReply(id) != nil }

func (t *Table) recordEnd(end ProposalEnd) {
	end.Reason = truncate(end.Reason, maxReasonBytes)
	t.Ends = append(t.Ends, end)
	t.Ends = t.Ends[max(0, len(t.Ends)-maxProposalEnds):]
}

// lastEnd is the end of the proposal that ended last; zero: none has.
func (t *Table) lastEnd() ProposalEnd {
	if len(t.Ends) == 0 {
		return ProposalEnd{}
	}
	return t.Ends[len(t.Ends)-1]
}

// proposalReply is what is known of a proposal; nil: nothing.
func (t *Table) proposalReply(id uint64) *ProposalReply {
	if t.Proposal != nil && t.Proposal.ID == id {
		return &ProposalReply{ID: id}
	}
	for _, end := range t.Ends {
		if end.ID == id {
			return &ProposalReply{ID: id, Outcome: end.Outcome, Number: end.Number, Reason: end.Reason}
		}
	}
	return nil
}

// pastPolicy is a policy that was in force, by its number; nil: it isn't known any more.
func (t *Table) pastPolicy(number uint64) *PastPolicy {
	i := slices.IndexFunc(t.Past, func(p PastPolicy) bool { return p.Number == number })
	if i < 0 {
		return nil
	}
	return &t.Past[i]
}

func (t *Table) version() Version { return Version{t.Era, t.Number} }

// voterNamed is the voter of a name; nil: there is none.
func (t *Table) voterNamed(name string) *Voter {
	i := slices.IndexFunc(t.Voters, func(v Voter) bool { return v.Name == name })
	if i < 0 {
		return nil
	}
	return &t.Voters[i]
}

// clone is a table that shares no list with this one.
func (t *Table) clone() *Table {
	copied := *t
	copied.Past, copied.Ends = slices.Clone(t.Past), slices.Clone(t.Ends)
	copied.Voters, copied.WantedVoters = slices.Clone(t.Voters), slices.Clone(t.WantedVoters)
	return &copied
}
