package workload

import (
	"magpiebank/internal/cluster/agent"
	"magpiebank/internal/cluster/rollout"
	"magpiebank/internal/resourcegroup"
)

// Policy is what the gateways of a cluster decide on: pools and classes, and how a change to them is rolled out.
type Policy struct {
	Plan         resourcegroup.Plan
	Requirements rollout.Parameters

	planWithUnclassified *resourcegroup.Plan // Plan extended by resourcegroup.UnclassifiedClass
}

// initUnclassifiedPlan sets planWithUnclassified and returns the policy.
func (p *Policy) initUnclassifiedPlan() *Policy {
	p.planWithUnclassified, _ = p.Plan.WithUnclassifiedClass()
	return p
}

// Parameters returns the parameters of the policy's rollout.
func (p *Policy) Parameters() rollout.Parameters { return p.Requirements }

// Budgets returns the names and totals of the budgets of ClusterWide classes.
func (p *Policy) Budgets() (names []string, totals []int64) { return p.Plan.ClusterBudgets() }

// emptyPolicy is in force before the cluster has decided on a policy.
var emptyPolicy = new(Policy).initUnclassifiedPlan()

func policyOf(p agent.Policy) *Policy {
	if p, ok := p.(*Policy); ok {
		return p
	}
	return emptyPolicy
}

// className returns the name of the class at a position of the plan, counted from 1, or "" if there is none.
func className(plan *resourcegroup.Plan, position int) string {
	if position == 0 || position > len(plan.Classes) {
		return ""
	}
	return plan.Classes[position-1].Name
}
