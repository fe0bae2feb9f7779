package workload

import (
	"slices"
	"sync/atomic"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/agent"
	"magpiebank/internal/cluster/rollout"
	"magpiebank/internal/resourcegroup"
	"magpiebank/internal/router"
)

// Policy is what a fleet may decide on: pools and classes, and what is asked of the change.
type Policy struct {
	Plan         resourcegroup.Plan
	Requirements rollout.Terms

	planWithRest *resourcegroup.Plan // with the class of the rest
	restClass    int                 // which is this one, counted from 1
}

// Terms are what is asked of the change.
func (p *Policy) Terms() rollout.Terms { return p.Requirements }

// Budgets are the totals of classes of the whole fleet.
func (p *Policy) Budgets() (names []string, totals []int64) {
	for i := range p.Plan.Classes {
		if c := &p.Plan.Classes[i]; c.FleetWide {
			n, t := c.BudgetNames()
			for k := range n {
				if t[k] > 0 {
					names, totals = append(names, n[k]), append(totals, t[k])
				}
			}
		}
	}
	return names, totals
}

// Law is what the fleet has decided, as far as this gateway may go by it.
type PolicyInForce interface {
	ActivePolicy() *agent.ActivePolicy
	TryBeginWrite(by uint64, task admission.RequestID) bool
	EndWrite(by uint64, task admission.RequestID)
	RecordDecision(what string, by uint64, task admission.RequestID, asOf int64)
	HistoryNow() int64
}

// ruled is the desk's part in going by what the fleet decides. It is the owner's, but for what other goroutines read.
type fleetPolicy struct {
	inForce         PolicyInForce // nil: the file is gone by
	parsePolicy     func(text []byte) (*Policy, error)
	gateways        int
	applied         *Policy // gone by last
	appliedOther    *Policy // and this one beside it; nil: none
	isApplied       bool
	appliedNumber   uint64
	openedBy        uint64 // what the last task that found its way open was decided by
	shadow          *resourcegroup.Limiter
	rehearsalNumber uint64
	rehearsed       *Policy
	rehearsalTurn   int // of shadows: tasks of one before are nothing to this one
	count           rollout.RequestCounts
	rehearsalCount  rollout.RequestCounts
	publishedCount  atomic.Pointer[rollout.RequestCounts]
	Unsure          int64 // tasks that were turned away as nobody knew what held for them
}

// Obey has the desk go by what the fleet decides; parse reads a policy's text. It is called before anything is told.
func (d *Manager) FollowFleetPolicy(law PolicyInForce, parse func(text []byte) (*Policy, error), gateways int) {
	d.inForce, d.parsePolicy, d.gateways = law, parse, gateways
	d.publishedCount.Store(&rollout.RequestCounts{})
}

// ReadPolicy reads a policy for this gateway's site.
func (d *Manager) ReadPolicy(text []byte) (agent.Policy, error) {
	p, err := d.parsePolicy(text)
	if err != nil {
		return nil, err
	}
	if err := p.Plan.Validate(d.zones, d.kinds); err != nil {
		return nil, err
	}
	p.planWithRest, p.restClass = p.Plan.WithRestClass()
	return p, nil
}

// RequestCounts is what became of tasks since the policy, or a rehearsal, began here.
func (d *Manager) RequestCounts() rollout.RequestCounts { return *d.publishedCount.Load() }

// nothing is the policy that there is before any.
var emptyPolicy = func() *Policy {
	p := &Policy{}
	p.planWithRest, p.restClass = p.Plan.WithRestClass()
	return p
}()

func policyOf(p agent.Policy) *Policy {
	if p, ok := p.(*Policy); ok {
		return p
	}
	return emptyPolicy
}

// look classes a statement by all policies that matter now.
func (r *StatementReader) classify(v *agent.ActivePolicy) {
	r.ruling = v
	r.planClass, r.otherClass, r.rehearsedClass, r.anyPolicyApplies = policyOf(v.Current).Plan.Classify(&r.subject), 0, 0, false
	if v.Proposed != nil {
		r.otherClass = policyOf(v.Proposed).Plan.Classify(&r.subject)
	}
	if v.Rehearsed != nil {
		r.rehearsedClass = policyOf(v.Rehearsed).Plan.Classify(&r.subject)
	}
	for _, k := range v.Parsed {
		r.anyPolicyApplies = r.anyPolicyApplies || policyOf(k).Plan.Classify(&r.subject) > 0
	}
}

// same tells whether two rulings are of the same policies.
func samePolicies(a, b *agent.ActivePolicy) bool {
	return a == b || a != nil && b != nil && a.Current == b.Current && a.Proposed == b.Proposed && a.Rehearsed == b.Rehearsed && slices.Equal(a.Parsed, b.Parsed)
}

// follow has the limits be those of what is gone by; false: they can't be.
func (d *Manager) applyPolicy(now admission.Time, v *agent.ActivePolicy, by uint64) bool {
	p, with := policyOf(v.Current), (*Policy)(nil)
	if agent.CoversBoth(by) {
		with = policyOf(v.Proposed)
	}
	if d.isApplied && d.applied == p && d.appliedOther == with && d.appliedNumber == v.Number {
		return true
	}
	plan := p.planWithRest
	if with != nil {
		plan, _ = resourcegroup.Intersect(&p.Plan, &with.Plan).WithRestClass()
	}
	if err := d.limiter.ReplacePlan(now, plan); err != nil {
		d.log.Error("policy", "code", "kept", "number", v.Number, "error", err)
		return false
	}
	if d.appliedNumber != v.Number || !d.isApplied {
		d.count = rollout.RequestCounts{Subject: v.Number}
	}
	d.isApplied, d.applied, d.appliedOther, d.appliedNumber = true, p, with, v.Number
	d.log.Info("policy", "code", "gone_by", "number", v.Number, "digest", v.Digest.String(), "both", with != nil, "pools", len(p.Plan.Pools), "classes", len(p.Plan.Classes))
	return true
}

// rehearse keeps a second desk beside the one in force while a policy is tried.
func (d *Manager) updateRehearsal(now admission.Time, v *agent.ActivePolicy) {
	if v.Rehearsed == nil {
		d.shadow, d.rehearsalNumber, d.rehearsed = nil, 0, nil
		return
	}
	if p := policyOf(v.Rehearsed); d.rehearsalNumber != v.InForce.RehearsalID || d.rehearsed != p {
		s, err := d.limiter.NewShadow(now, &p.Plan, d.gateways)
		if err != nil {
			return // it was looked at before
		}
		d.rehearsalTurn++
		d.shadow, d.rehearsalNumber, d.rehearsed, d.rehearsalCount = s, v.InForce.RehearsalID, p, rollout.RequestCounts{Subject: v.InForce.RehearsalID}
	}
}

const classBits = 8 // of a class's number

// arrivedBy rules on a task by what the fleet has decided.
func (d *Manager) admitByPolicy(now admission.Time, k *StatementReader) (f admission.Estimate, crowded bool, refuse string) {
	asOf := d.inForce.HistoryNow()
	v := d.inForce.ActivePolicy()
	by := v.BasisAt(now)
	if !samePolicies(v, k.ruling) {
		k.classify(v)
	}
	plan := &policyOf(v.Current).Plan
	unsure := by == 0 && (k.anyPolicyApplies || !v.Informed)
	if agent.CoversBoth(by) {
		unsure = classOf(plan, k.planClass) != classOf(&policyOf(v.Proposed).Plan, k.otherClass)
	}
	if unsure || by != 0 && !d.applyPolicy(now, v, by) {
		d.Unsure++
		d.inForce.RecordDecision("unsure", 0, "", asOf)
		return f, true, ""
	}
	f = k.forecast()
	if by == 0 {
		d.inForce.RecordDecision("taken", 0, "", asOf) // no class of any policy has to do with it
		return f, false, ""
	}
	d.updateRehearsal(now, v)
	entry := k.planClass
	if entry == 0 && k.anyPolicyApplies {
		entry = len(plan.Classes) + 1 // the rest: it is asked about once more when it is to go out
	}
	number, ruling, text := d.limiter.Admit(entry)
	d.count.Requests++
	if k.planClass > 0 {
		d.count.Classified++
	}
	switch ruling {
	case resourcegroup.Rejected:
		d.count.Rejected++
	case resourcegroup.OverCapacity:
		d.count.Shed++
	}
	if d.shadow != nil {
		n, would, _ := d.shadow.Admit(k.rehearsedClass)
		d.rehearsalCount.Requests++
		if k.rehearsedClass > 0 {
			d.rehearsalCount.Classified++
		}
		if would == resourcegroup.Rejected && ruling != resourcegroup.Rejected {
			d.rehearsalCount.Rejected++
		}
		if would == resourcegroup.OverCapacity && ruling != resourcegroup.OverCapacity {
			d.rehearsalCount.Shed++
		}
		if f.ShadowClass = d.rehearsalTurn<<classBits | n; ruling != resourcegroup.Admitted && would == resourcegroup.Admitted && n > 0 {
			d.shadow.EndWaiting(n)
		}
		if n == 0 || would != resourcegroup.Admitted {
			f.ShadowClass = 0
		}
	}
	switch ruling {
	case resourcegroup.Rejected:
		d.inForce.RecordDecision("refused", by, "", asOf)
		return f, false, "class " + plan.Classes[k.planClass-1].Name + ": " + text
	case resourcegroup.OverCapacity:
		d.inForce.RecordDecision("crowded", by, "", asOf)
		return f, true, ""
	}
	d.inForce.RecordDecision("taken", by, "", asOf)
	f.PolicyClass = number
	return f, false, ""
}

func classOf(p *resourcegroup.Plan, entry int) string {
	if entry == 0 || entry > len(p.Classes) {
		return ""
	}
	return p.Classes[entry-1].Name
}

// tried is the number of a task's class in the rehearsal that runs; 0: none.
func (d *Manager) rehearsedClass(f *admission.Estimate) int {
	if d.shadow == nil || f.ShadowClass>>classBits != d.rehearsalTurn {
		return 0
	}
	return f.ShadowClass & (1<<classBits - 1)
}

// tell has the counts be read elsewhere.
func (d *Manager) publishCounts() {
	n := d.count
	if d.shadow != nil {
		n = d.rehearsalCount
	}
	d.publishedCount.Store(&n)
}

var _ router.ResourceGroups = (*Manager)(nil)
