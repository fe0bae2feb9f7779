package workload

import (
	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/agent"
	"magpiebank/internal/cluster/rollout"
	"magpiebank/internal/resourcegroup"
)

// rehearsal applies a policy that is not in force to the requests that arrive, and counts what would become of them. It decides
// nothing. The owner of the Manager owns it.
type rehearsal struct {
	limiter    *resourcegroup.Limiter // nil: no rehearsal is running
	id         uint64
	policy     *Policy
	generation int // of rehearsals here: requests of an earlier one don't count in this one
	counts     rollout.RequestCounts
}

// shadowClassBits is how many bits of admission.Estimate.ShadowClass have the class's number; the turn is above them.
const shadowClassBits = 8

// updateRehearsal starts or ends a rehearsal as the fleet has decided.
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
		return // can't be: ReadPolicy has validated the plan
	}
	*r = rehearsal{limiter: limiter, id: id, policy: policy, generation: r.generation + 1, counts: rollout.RequestCounts{Subject: id}}
}

// admit decides on a request of the rehearsed policy's n-th class and counts the verdict where it differs from the one by the
// policy in force. It returns the ShadowClass of the request's estimate.
func (r *rehearsal) admit(n int, inForce resourcegroup.Verdict) (shadowClass int) {
	number, verdict, _ := r.limiter.Admit(n)
	r.counts.Requests++
	if n > 0 {
		r.counts.Classified++
	}
	if verdict != inForce {
		countVerdict(&r.counts, verdict)
	}
	if number == 0 || verdict != resourcegroup.Admitted {
		return 0
	}
	if inForce != resourcegroup.Admitted {
		r.limiter.EndWaiting(number) // nothing more will be heard of the request
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

// beginAttempt counts an attempt that the rehearsed policy would hold back.
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
