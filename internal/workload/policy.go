package workload

import (
	"magpiebank/internal/cluster/agent"
	"magpiebank/internal/cluster/rollout"
	"magpiebank/internal/resourcegroup"
)

// Policy is what a fleet may decide on: pools and classes, and how a change to them is rolled out.
type Policy struct {
	Plan         resourcegroup.Plan
	Requirements rollout.Parameters

	planWithUnclassified *resourcegroup.Plan // the plan with resourcegroup.UnclassifiedClass
}

// initUnclassifiedPlan completes a policy that was parsed.
func (p *Policy) initUnclassifiedPlan() *Policy {
	p.planWithUnclassified, _ = p.Plan.WithUnclassifiedClass()
	return p
}

// Parameters returns the requirements on the rollout.
func (p *Policy) Parameters() rollout.Parameters { return p.Requirements }

// Budgets returns the names and totals of the budgets of fleet-wide classes.
func (p *Policy) Budgets() (names []string, totals []int64) { return p.Plan.ClusterBudgets() }

// emptyPolicy is in force before the fleet has decided on any.
var emptyPolicy = new(Policy).initUnclassifiedPlan()

func policyOf(p agent.Policy) *Policy {
	if p, ok := p.(*Policy); ok {
		return p
	}
	return emptyPolicy
}

// className returns the name of the plan's n-th class, counted from 1, or "" if there is none.
func className(plan *resourcegroup.Plan, n int) string {
	if n == 0 || n > len(plan.Classes) {
		return ""
	}
	return plan.Classes[n-1].Name
}
