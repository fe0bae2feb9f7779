package workload

import (
	"sync/atomic"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/agent"
	"magpiebank/internal/cluster/rollout"
	"magpiebank/internal/resourcegroup"
)

// PolicySource provides the policies that the cluster has decided on and that this gateway may apply now. agent.Agent implements it.
type PolicySource interface {
	ActivePolicy() *agent.ActivePolicy
	TryBeginWrite(policyRevision uint64, request admission.RequestID) bool
	EndWrite(policyRevision uint64, request admission.RequestID)
	RecordDecision(decision string, policyRevision uint64, request admission.RequestID, observedAt int64)
	HistoryNow() int64
}

// The codes of decisions in the cluster's history.
const (
	decisionAdmitted     = "taken"
	decisionRejected     = "refused"
	decisionOverCapacity = "crowded"
	decisionUndecided    = "unsure"
)

// noPolicyRevision is the policy revision of decisions that don't depend on a policy.
const noPolicyRevision = 0

// clusterPolicyState is the state of a Manager that applies the cluster's policies. Only the goroutine that owns the Manager uses it,
// except for publishedCounts.
type clusterPolicyState struct {
	policySource PolicySource // nil: the operator's file is in force
	parsePolicy  func(text []byte) (*Policy, error)
	gateways     int

	applied         appliedPolicy
	attemptRevision uint64 // policy revision of the last attempt that was allowed

	counts          rollout.RequestCounts                 // since the current policy was applied here
	undecided       int64                                 // requests rejected because it was unknown which policy applied to them
	publishedCounts atomic.Pointer[rollout.RequestCounts] // read by any goroutine
}

// appliedPolicy identifies the policies from which the limiter's plan was made.
type appliedPolicy struct {
	current  *Policy // nil: no policy has been applied yet
	proposed *Policy // the plan is the intersection of this policy's and the current one's; nil: only the current one's
	number   uint64  // of the current policy
}

// UseClusterPolicy makes the manager apply the cluster's policies instead of the plan in the operator's file. parse parses a policy's
// text. gateways is the number of gateways in the cluster. It must be called before any other goroutine uses the manager.
func (m *Manager) UseClusterPolicy(source PolicySource, parse func(text []byte) (*Policy, error), gateways int) {
	m.policySource, m.parsePolicy, m.gateways = source, parse, gateways
	m.publishedCounts.Store(&rollout.RequestCounts{})
}

// ReadPolicy parses a policy and validates it for this gateway's site. Any goroutine may call it.
func (m *Manager) ReadPolicy(text []byte) (agent.Policy, error) {
	policy, err := m.parsePolicy(text)
	if err != nil {
		return nil, err
	}
	if err := policy.Plan.Validate(m.zones, m.kinds); err != nil {
		return nil, err
	}
	return policy.initUnclassifiedPlan(), nil
}

// RequestCounts returns the counts of requests, as of the last tick, since the policy in force was applied here, or since the rehearsal
// began if one is running. Any goroutine may call it.
func (m *Manager) RequestCounts() rollout.RequestCounts { return *m.publishedCounts.Load() }

func (m *Manager) publishCounts() {
	counts := m.counts
	if m.rehearsal.limiter != nil {
		counts = m.rehearsal.counts
	}
	m.publishedCounts.Store(&counts)
}

// tickClusterPolicy applies the cluster's policy and rehearsal if they have changed since the last tick, and publishes the counts of
// requests.
func (m *Manager) tickClusterPolicy(now admission.Time) {
	active := m.policySource.ActivePolicy()
	if policyRevision := active.PolicyRevisionAt(now); policyRevision != noPolicyRevision {
		m.applyPolicy(now, active, policyRevision)
	}
	m.updateRehearsal(now, active)
	if m.rehearsal.limiter != nil {
		m.rehearsal.limiter.Tick(now)
	}
	m.publishCounts()
}

// applyPolicy makes the limiter apply the policies that a policy revision names. It returns false if the limiter rejects the plan.
func (m *Manager) applyPolicy(now admission.Time, active *agent.ActivePolicy, policyRevision uint64) bool {
	wanted := appliedPolicy{current: policyOf(active.Current), number: active.Number}
	if agent.CoversBothPolicies(policyRevision) {
		wanted.proposed = policyOf(active.Proposed)
	}
	if m.applied == wanted {
		return true
	}
	plan := wanted.current.planWithUnclassified
	if wanted.proposed != nil {
		plan, _ = resourcegroup.Intersect(&wanted.current.Plan, &wanted.proposed.Plan).WithUnclassifiedClass()
	}
	if err := m.limiter.ReplacePlan(now, plan); err != nil {
		m.log.Error("policy", "code", "kept", "number", active.Number, "error", err)
		return false
	}
	if m.applied.current == nil || m.applied.number != wanted.number {
		m.counts = rollout.RequestCounts{Subject: wanted.number}
	}
	m.applied = wanted
	m.log.Info("policy", "code", "gone_by", "number", wanted.number, "digest", active.Digest.String(), "both", wanted.proposed != nil,
		"pools", len(wanted.current.Plan.Pools), "classes", len(wanted.current.Plan.Classes))
	return true
}

// allowsByPolicy reports whether attempts may be sent now under the cluster's policies, and stores the policy revision that allows them.
func (m *Manager) allowsByPolicy(now admission.Time) bool {
	active := m.policySource.ActivePolicy()
	policyRevision := active.PolicyRevisionAt(now)
	if policyRevision == noPolicyRevision || !m.applyPolicy(now, active, policyRevision) {
		return false
	}
	m.attemptRevision = policyRevision
	return true
}

// classifyByPolicy decides on a request by the cluster's policies.
func (m *Manager) classifyByPolicy(now admission.Time, reader *StatementReader) (estimate admission.Estimate, overCapacity bool, rejectText string) {
	observedAt := m.policySource.HistoryNow()
	active := m.policySource.ActivePolicy()
	policyRevision := active.PolicyRevisionAt(now)
	if !samePolicies(active, reader.active) {
		reader.classifyByPolicies(active)
	}
	if isUndecided(active, policyRevision, reader) || policyRevision != noPolicyRevision && !m.applyPolicy(now, active, policyRevision) {
		m.undecided++
		m.policySource.RecordDecision(decisionUndecided, noPolicyRevision, "", observedAt)
		return admission.Estimate{}, true, ""
	}
	if policyRevision == noPolicyRevision { // no known policy has a class for the request
		m.policySource.RecordDecision(decisionAdmitted, noPolicyRevision, "", observedAt)
		return reader.estimate(), false, ""
	}
	m.updateRehearsal(now, active)
	plan := &policyOf(active.Current).Plan
	number, verdict, text := m.limiter.Admit(reader.classOrUnclassified(plan))
	m.counts.Requests++
	if reader.planClass > 0 {
		m.counts.Classified++
	}
	countVerdict(&m.counts, verdict)
	estimate = reader.estimate()
	if m.rehearsal.limiter != nil {
		estimate.ShadowClass = m.rehearsal.admit(reader.rehearsedClass, verdict)
	}
	switch verdict {
	case resourcegroup.Denied:
		m.policySource.RecordDecision(decisionRejected, policyRevision, "", observedAt)
		return estimate, false, rejectionText(plan, reader.planClass, text)
	case resourcegroup.OverCapacity:
		m.policySource.RecordDecision(decisionOverCapacity, policyRevision, "", observedAt)
		return estimate, true, ""
	}
	m.policySource.RecordDecision(decisionAdmitted, policyRevision, "", observedAt)
	estimate.PolicyClass = number
	return estimate, false, ""
}

// isUndecided reports whether this gateway can't tell which rules apply to a request, because either
//   - the current or the proposed policy may be in force at other gateways, and they put the request into different classes; or
//   - no policy may be applied now, and a known policy has a class for the request or the decided policy is still unknown here.
func isUndecided(active *agent.ActivePolicy, policyRevision uint64, reader *StatementReader) bool {
	if agent.CoversBothPolicies(policyRevision) {
		current, proposed := &policyOf(active.Current).Plan, &policyOf(active.Proposed).Plan
		return className(current, reader.planClass) != className(proposed, reader.proposedClass)
	}
	return policyRevision == noPolicyRevision && (reader.anyPolicyApplies || !active.KnowsDecidedPolicy)
}

// classOrUnclassified returns the position of the request's class in the plan extended by resourcegroup.UnclassifiedClass. A request
// without a class gets UnclassifiedClass if another policy has a class for it, so that AllowsAttempt checks the policies again
// before the request is sent.
func (r *StatementReader) classOrUnclassified(plan *resourcegroup.Plan) int {
	if r.planClass == 0 && r.anyPolicyApplies {
		return len(plan.Classes) + 1
	}
	return r.planClass
}
