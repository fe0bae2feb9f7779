package agent

import (
	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/history"
	"magpiebank/internal/cluster/rollout"
)

// PolicyReader parses policies and counts requests under them.
type PolicyReader interface {
	// ReadPolicy parses a policy's text. Its error is the reason why this gateway can't apply the policy. It may be called from
	// any goroutine.
	ReadPolicy(text []byte) (Policy, error)
	// RequestCounts returns the outcomes of requests since the policy in force at this gateway took effect, or since the
	// rehearsal began.
	RequestCounts() rollout.RequestCounts
}

// Policy is a parsed policy.
type Policy interface {
	Parameters() rollout.Parameters
	Budgets() (names []string, totals []int64) // the budgets that all gateways share
}

// ActivePolicy holds the policies that this gateway's decisions may rest on.
type ActivePolicy struct {
	rollout.InForce
	Current   Policy   // the policy in force, or the last one that was; nil: not known
	Proposed  Policy   // the policy that may apply together with Current during a change; nil: none
	Parsed    []Policy // all known policies that were parsed
	Rehearsed Policy   // evaluated on live requests without affecting decisions; nil: none
}

// currentAndProposed is the flag of a policy revision that names two policies: the current and the proposed one must both allow
// a decision.
const currentAndProposed = uint64(1) << 63

// PolicyRevisionAt returns the policy revision that decisions may rest on at a time. It is the current policy's number plus one,
// with the flag currentAndProposed if the proposed policy must allow a decision as well. 0 means that no policy may be applied.
func (p *ActivePolicy) PolicyRevisionAt(now admission.Time) uint64 {
	switch {
	case p.HoldsLease(now):
		return p.Number + 1
	case p.Proposed != nil && now < p.OverlapUntil:
		return p.Number + 1 | currentAndProposed
	}
	return 0
}

// CoversBothPolicies reports whether a policy revision names the current and the proposed policy.
func CoversBothPolicies(policyRevision uint64) bool { return policyRevision&currentAndProposed != 0 }

// SetPolicyReader sets the reader that parses policies. It has to be called before Start.
func (a *Agent) SetPolicyReader(reader PolicyReader) { a.policyReader = reader }

// ActivePolicy returns the policies that decisions may rest on now, or nil if each gateway applies the policy of its own file.
func (a *Agent) ActivePolicy() *ActivePolicy { return a.activePolicy.Load() }

// TryBeginWrite reports whether an attempt that was decided under a policy revision may be written to its engine now, which is
// so if the revision is still in force. If it returns true, the caller has to call EndWrite after writing the attempt.
func (a *Agent) TryBeginWrite(policyRevision uint64, request admission.RequestID) bool {
	a.writing.Add(1)
	observedAt := a.HistoryNow()
	if policyRevision != a.activePolicy.Load().PolicyRevisionAt(a.clock.Now()) {
		a.writing.Add(-1)
		return false
	}
	a.RecordDecision("sent", policyRevision, request, observedAt)
	return true
}

// EndWrite records that an attempt has been written to its engine.
func (a *Agent) EndWrite(_ uint64, request admission.RequestID) {
	a.writing.Add(-1)
	if a.history != nil {
		a.history.Write(history.Event{Kind: history.AttemptWritten, Request: string(request)})
	}
}

// RecordDecision writes a decision on a request to the history, with the policy revision that it rests on (0: none). observedAt is
// the time on the clock of histories at which the revision was read.
func (a *Agent) RecordDecision(decision string, policyRevision uint64, request admission.RequestID, observedAt int64) {
	if a.history == nil {
		return
	}
	number := int(policyRevision&^currentAndProposed) - 1
	a.history.Write(history.Event{Kind: history.RequestDecided, Code: decision, Number: number, Ejects: CoversBothPolicies(policyRevision), Request: string(request), ObservedAt: observedAt})
}
