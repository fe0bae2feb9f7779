package workload

import (
	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/agent"
	"magpiebank/internal/cluster/rollout"
	"magpiebank/internal/resourcegroup"
)

// rehearsal applies a policy that is not in force to the arriving requests, and counts how it would treat them. It doesn't affect the
// requests. Only the goroutine that owns the Manager uses it.
type rehearsal struct {
	limiter    *resourcegroup.Limiter // nil: no rehearsal is running
	id         uint64
	policy     *Policy
	generation int // incremented with each rehearsal, so that requests of an earlier one don't count in this one
	counts     rollout.RequestCounts
}

// shadowClassBits is the number of low bits of admission.Estimate.ShadowClass that hold the class's number. The bits above hold the
// rehearsal's generation.
const shadowClassBits = 8

// updateRehearsal starts, replaces or ends the rehearsal as the cluster has decided.
func (m *Manager) updateRehearsal(now admission.Time, active *agent.ActivePolicy) {
	r := &m.rehearsal
	if active.Rehearsed == nil {
		r.limiter, r.id, r.policy = nil, 0, nil
		return
	}
	id, policy := active.RehearsalID, policyOf(active.Rehearsed)
	if r.id == id && r.policy == policy {
		return
	}
	limiter, err := m.limiter.NewShadow(now, &policy.Plan, m.gateways)
	if err != nil {
		return // unreachable, since ReadPolicy has validated the plan
	}
	*r = rehearsal{limiter: limiter, id: id, policy: policy, generation: r.generation + 1, counts: rollout.RequestCounts{Subject: id}}
}

// admit decides on a request by the rehearsed policy, and counts the verdict if it differs from inForce, the verdict by the policy in
// force. planClass is the position of the request's class in the rehearsed policy. admit returns the ShadowClass for the request's estimate.
func (r *rehearsal) admit(planClass int, inForce resourcegroup.Verdict) (shadowClass int) {
	number, verdict, _ := r.limiter.Admit(planClass)
	r.counts.Requests++
	if planClass > 0 {
		r.counts.Classified++
	}
	if verdict != inForce {
		countVerdict(&r.counts, verdict)
	}
	if number == 0 || verdict != resourcegroup.Admitted {
		return 0
	}
	if inForce != resourcegroup.Admitted {
		r.limiter.EndWaiting(number) // a rejected request causes no further calls
	}
	return r.generation<<shadowClassBits | number
}

func countVerdict(counts *rollout.RequestCounts, verdict resourcegroup.Verdict) {
	switch verdict {
	case resourcegroup.Denied:
		counts.Rejected++
	case resourcegroup.OverCapacity:
		counts.Shed++
	}
}

// classOf returns the number of a request's class in the rehearsal that is running, or 0.
func (r *rehearsal) classOf(estimate *admission.Estimate) int {
	if r.limiter == nil || estimate.ShadowClass>>shadowClassBits != r.generation {
		return 0
	}
	return estimate.ShadowClass & (1<<shadowClassBits - 1)
}

// beginAttempt records an attempt in the rehearsal, and counts it if the rehearsed policy would hold it back.
func (r *rehearsal) beginAttempt(now admission.Time, estimate *admission.Estimate, threads float64) {
	number := r.classOf(estimate)
	if number == 0 {
		return
	}
	if !r.limiter.AllowsAttempt(now, number, threads) {
		r.counts.Shed++
	}
	r.limiter.BeginAttempt(number, threads, toMillis(estimate.Work))
}
