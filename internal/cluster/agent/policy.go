package agent

import (
	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/history"
	"magpiebank/internal/cluster/rollout"
)

// PolicyReader reads policies for the gateway that follows them.
type PolicyReader interface {
	// ReadPolicy reads a policy's text. Its error says why this gateway can't follow the policy. Any goroutine may call it.
	ReadPolicy(text []byte) (Policy, error)
	// RequestCounts is what became of requests since a policy came into force here, or a rehearsal began.
	RequestCounts() rollout.RequestCounts
}

// Policy is one that was read.
type Policy interface {
	Terms() rollout.Parameters
	Budgets() (names []string, totals []int64) // over all gateways
}

// ActivePolicy is what this gateway may decide by, as those see it that decide.
type ActivePolicy struct {
	rollout.InForce
	Current   Policy   // in force, or so last; nil: none is known
	Proposed  Policy   // may be followed beside the current one; nil: none
	Parsed    []Policy // all that were received and read
	Rehearsed Policy   // is tried beside the current one, deciding nothing; nil: none
}

// currentAndProposed marks decisions that the current policy and the proposed one both allow.
const currentAndProposed = uint64(1) << 63

// BasisAt returns what may be decided by at a time: the current policy's number and one, with a mark where the proposed
// policy must allow a decision as well; 0: nothing may be decided.
func (p *ActivePolicy) BasisAt(now admission.Time) uint64 {
	switch {
	case p.HoldsLease(now):
		return p.Number + 1
	case p.Proposed != nil && now < p.OverlapUntil:
		return p.Number + 1 | currentAndProposed
	}
	return 0
}

// CoversBoth tells whether a basis is the current policy and the proposed one.
func CoversBoth(basis uint64) bool { return basis&currentAndProposed != 0 }

// SetPolicyReader sets who reads policies. It is called before Start.
func (a *Agent) SetPolicyReader(reader PolicyReader) { a.policyReader = reader }

// ActivePolicy is what may be decided by now; nil: each gateway reads its own file.
func (a *Agent) ActivePolicy() *ActivePolicy { return a.activePolicy.Load() }

// TryBeginWrite tells whether an attempt that was decided on a basis may be written now. EndWrite follows once it is.
func (a *Agent) TryBeginWrite(basis uint64, request admission.RequestID) bool {
	a.writing.Add(1)
	observedAt := a.HistoryNow()
	if basis != a.activePolicy.Load().BasisAt(a.clock.Now()) {
		a.writing.Add(-1)
		return false
	}
	a.RecordDecision("sent", basis, request, observedAt)
	return true
}

// EndWrite takes in that an attempt is written.
func (a *Agent) EndWrite(_ uint64, request admission.RequestID) {
	a.writing.Add(-1)
	if a.history != nil {
		a.history.Write(history.Event{Kind: history.AttemptWritten, Request: string(request)})
	}
}

// RecordDecision writes into the history what was decided of a request, on which basis (0: none), and at which time by
// the clock of histories the basis was looked at.
func (a *Agent) RecordDecision(decision string, basis uint64, request admission.RequestID, observedAt int64) {
	if a.history == nil {
		return
	}
	number := int(basis&^currentAndProposed) - 1
	a.history.Write(history.Event{Kind: history.RequestDecided, Code: decision, Number: number, Out: CoversBoth(basis), Request: string(request), ObservedAt: observedAt})
}
