package workload

import (
	"slices"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/agent"
	"magpiebank/internal/query/costmodel"
	"magpiebank/internal/resourcegroup"
	"magpiebank/internal/router"
)

// StatementReader reads the statements of one client session, one after the other. The session's goroutine reads a statement and later
// records its cost; in between, the goroutine that owns the Manager classifies the request.
type StatementReader struct {
	manager   *Manager
	query     costmodel.Query
	subject   resourcegroup.ClassificationInput
	plan      *resourcegroup.Plan // plan that planClass refers to while the operator's file is in force
	planClass int                 // position in the plan in force, from 1; 0: no class

	policyClasses // set while the cluster's policies are in force
}

// policyClasses holds the classes of a statement under the policies that a gateway knows.
type policyClasses struct {
	active           *agent.ActivePolicy // policies from which the classes were determined
	proposedClass    int                 // position in the plan of the proposed policy, which may apply as well; 0: no class
	rehearsedClass   int                 // position in the plan that is rehearsed; 0: no class
	anyPolicyApplies bool                // at least one known policy has a class for the statement
}

// NewStatementReader returns a reader for one more session.
func (m *Manager) NewStatementReader() router.StatementReader { return m.newReader() }

func (m *Manager) newReader() *StatementReader { return &StatementReader{manager: m} }

// ReadStatement reads a statement of a request class and determines its shape, estimated cost and class. tables is the number of its
// table group.
func (r *StatementReader) ReadStatement(sql []byte, requestClass, tables int) {
	model := r.manager.costModel
	r.query = model.Inspect(sql, tables, requestClass)
	r.subject = resourcegroup.ClassificationInput{
		RequestClass: r.manager.requestClasses[requestClass],
		Features:     r.query.Features(),
		Estimate:     model.Estimate(&r.query),
	}
	if r.manager.policySource != nil {
		r.classifyByPolicies(r.manager.policySource.ActivePolicy())
		return
	}
	r.classifyByPlan(r.manager.plan.Load())
}

func (r *StatementReader) classifyByPlan(plan *resourcegroup.Plan) {
	r.plan = plan
	r.planClass = plan.Classify(&r.subject)
}

// classifyByPolicies determines the statement's class under the current, the proposed and the rehearsed policy, and whether any known
// policy has a class for it.
func (r *StatementReader) classifyByPolicies(active *agent.ActivePolicy) {
	r.planClass = r.classIn(active.Current)
	r.policyClasses = policyClasses{active: active}
	if active.Proposed != nil {
		r.proposedClass = r.classIn(active.Proposed)
	}
	if active.Rehearsed != nil {
		r.rehearsedClass = r.classIn(active.Rehearsed)
	}
	for _, policy := range active.Parsed {
		r.anyPolicyApplies = r.anyPolicyApplies || r.classIn(policy) > 0
	}
}

func (r *StatementReader) classIn(policy agent.Policy) int {
	return policyOf(policy).Plan.Classify(&r.subject)
}

// samePolicies reports whether two states of the cluster's policy have the same policies.
func samePolicies(a, b *agent.ActivePolicy) bool {
	if a == b {
		return true
	}
	return a != nil && b != nil && a.Current == b.Current && a.Proposed == b.Proposed && a.Rehearsed == b.Rehearsed &&
		slices.Equal(a.Parsed, b.Parsed)
}

// RecordCost records the work of the statement that was read last, and the MB of memory that it needed.
func (r *StatementReader) RecordCost(work admission.Time, memoryMB float64) {
	model := r.manager.costModel
	model.Observe(&r.query, toMillis(work), memoryMB)
	if r.manager.loadsTables[r.query.Class] {
		model.RecordLoad(r.query.Group)
	}
}

// estimate returns the estimate for package admission. It is empty if the cost of the statement is unknown.
func (r *StatementReader) estimate() admission.Estimate {
	e := &r.subject.Estimate
	if !e.Known {
		return admission.Estimate{}
	}
	return admission.Estimate{Work: toTime(e.WorkMillis), WorkP90: toTime(e.UpperMillis), Memory: e.MemoryMB}
}

func toMillis(t admission.Time) float64 { return float64(t) / float64(admission.Millisecond) }

// toTime converts from milliseconds and rounds to the nearest unit.
func toTime(millis float64) admission.Time {
	return admission.Time(millis*float64(admission.Millisecond) + 0.5)
}
