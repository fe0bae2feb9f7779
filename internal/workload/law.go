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
	Plan  resourcegroup.Plan
	Asked rollout.Terms

	rest  *resourcegroup.Plan // with the class of the rest
	other int                 // which is this one, counted from 1
}

// Terms are what is asked of the change.
func (p *Policy) Terms() rollout.Terms { return p.Asked }

// Budgets are the totals of classes of the whole fleet.
func (p *Policy) Budgets() (names []string, totals []int64) {
	for i := range p.Plan.Classes {
		if c := &p.Plan.Classes[i]; c.Fleet {
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
type Law interface {
	ActivePolicy() *agent.ActivePolicy
	TryBeginWrite(by uint64, task admission.RequestID) bool
	EndWrite(by uint64, task admission.RequestID)
	RecordDecision(what string, by uint64, task admission.RequestID, asOf int64)
	HistoryNow() int64
}

// ruled is the desk's part in going by what the fleet decides. It is the owner's, but for what other goroutines read.
type ruled struct {
	law      Law // nil: the file is gone by
	parse    func(text []byte) (*Policy, error)
	gateways int
	policy   *Policy // gone by last
	with     *Policy // and this one beside it; nil: none
	begun    bool
	number   uint64
	opened   uint64 // what the last task that found its way open was decided by
	shadow   *resourcegroup.Desk
	trial    uint64
	tries    *Policy
	turn     int // of shadows: tasks of one before are nothing to this one
	count    rollout.Count
	tried    rollout.Count
	told     atomic.Pointer[rollout.Count]
	Unsure   int64 // tasks that were turned away as nobody knew what held for them
}

// Obey has the desk go by what the fleet decides; parse reads a policy's text. It is called before anything is told.
func (d *Desk) Obey(law Law, parse func(text []byte) (*Policy, error), gateways int) {
	d.law, d.parse, d.gateways = law, parse, gateways
	d.told.Store(&rollout.Count{})
}

// ReadPolicy reads a policy for this gateway's site.
func (d *Desk) ReadPolicy(text []byte) (agent.Policy, error) {
	p, err := d.parse(text)
	if err != nil {
		return nil, err
	}
	if err := p.Plan.Check(d.zones, d.kinds); err != nil {
		return nil, err
	}
	p.rest, p.other = p.Plan.WithRest()
	return p, nil
}

// RequestCounts is what became of tasks since the policy, or a rehearsal, began here.
func (d *Desk) RequestCounts() rollout.Count { return *d.told.Load() }

// nothing is the policy that there is before any.
var nothing = func() *Policy {
	p := &Policy{}
	p.rest, p.other = p.Plan.WithRest()
	return p
}()

func policyOf(p agent.Policy) *Policy {
	if p, ok := p.(*Policy); ok {
		return p
	}
	return nothing
}

// look classes a statement by all policies that matter now.
func (r *Reader) look(v *agent.ActivePolicy) {
	r.ruling = v
	r.entry, r.second, r.tried, r.touched = policyOf(v.Current).Plan.Find(&r.subject), 0, 0, false
	if v.Proposed != nil {
		r.second = policyOf(v.Proposed).Plan.Find(&r.subject)
	}
	if v.Rehearsed != nil {
		r.tried = policyOf(v.Rehearsed).Plan.Find(&r.subject)
	}
	for _, k := range v.Parsed {
		r.touched = r.touched || policyOf(k).Plan.Find(&r.subject) > 0
	}
}

// same tells whether two rulings are of the same policies.
func same(a, b *agent.ActivePolicy) bool {
	return a == b || a != nil && b != nil && a.Current == b.Current && a.Proposed == b.Proposed && a.Rehearsed == b.Rehearsed && slices.Equal(a.Parsed, b.Parsed)
}

// follow has the limits be those of what is gone by; false: they can't be.
func (d *Desk) follow(now admission.Time, v *agent.ActivePolicy, by uint64) bool {
	p, with := policyOf(v.Current), (*Policy)(nil)
	if agent.CoversBoth(by) {
		with = policyOf(v.Proposed)
	}
	if d.begun && d.policy == p && d.with == with && d.number == v.Number {
		return true
	}
	plan := p.rest
	if with != nil {
		plan, _ = resourcegroup.Meet(&p.Plan, &with.Plan).WithRest()
	}
	if err := d.route.Renew(now, plan); err != nil {
		d.log.Error("policy", "code", "kept", "number", v.Number, "error", err)
		return false
	}
	if d.number != v.Number || !d.begun {
		d.count = rollout.Count{Of: v.Number}
	}
	d.begun, d.policy, d.with, d.number = true, p, with, v.Number
	d.log.Info("policy", "code", "gone_by", "number", v.Number, "digest", v.Digest.String(), "both", with != nil, "pools", len(p.Plan.Pools), "classes", len(p.Plan.Classes))
	return true
}

// rehearse keeps a second desk beside the one in force while a policy is tried.
func (d *Desk) rehearse(now admission.Time, v *agent.ActivePolicy) {
	if v.Rehearsed == nil {
		d.shadow, d.trial, d.tries = nil, 0, nil
		return
	}
	if p := policyOf(v.Rehearsed); d.trial != v.Standing.Trial || d.tries != p {
		s, err := d.route.Shadow(now, &p.Plan, d.gateways)
		if err != nil {
			return // it was looked at before
		}
		d.turn++
		d.shadow, d.trial, d.tries, d.tried = s, v.Standing.Trial, p, rollout.Count{Of: v.Standing.Trial}
	}
}

const trialBits = 8 // of a class's number

// arrivedBy rules on a task by what the fleet has decided.
func (d *Desk) arrivedBy(now admission.Time, k *Reader) (f admission.Foreseen, crowded bool, refuse string) {
	asOf := d.law.HistoryNow()
	v := d.law.ActivePolicy()
	by := v.BasisAt(now)
	if !same(v, k.ruling) {
		k.look(v)
	}
	plan := &policyOf(v.Current).Plan
	unsure := by == 0 && (k.touched || !v.Heard)
	if agent.CoversBoth(by) {
		unsure = classOf(plan, k.entry) != classOf(&policyOf(v.Proposed).Plan, k.second)
	}
	if unsure || by != 0 && !d.follow(now, v, by) {
		d.Unsure++
		d.law.RecordDecision("unsure", 0, "", asOf)
		return f, true, ""
	}
	f = k.foreseen()
	if by == 0 {
		d.law.RecordDecision("taken", 0, "", asOf) // no class of any policy has to do with it
		return f, false, ""
	}
	d.rehearse(now, v)
	entry := k.entry
	if entry == 0 && k.touched {
		entry = len(plan.Classes) + 1 // the rest: it is asked about once more when it is to go out
	}
	number, ruling, text := d.route.Arrived(entry)
	d.count.Tasks++
	if k.entry > 0 {
		d.count.Classed++
	}
	switch ruling {
	case resourcegroup.Refused:
		d.count.Refused++
	case resourcegroup.Crowded:
		d.count.Held++
	}
	if d.shadow != nil {
		n, would, _ := d.shadow.Arrived(k.tried)
		d.tried.Tasks++
		if k.tried > 0 {
			d.tried.Classed++
		}
		if would == resourcegroup.Refused && ruling != resourcegroup.Refused {
			d.tried.Refused++
		}
		if would == resourcegroup.Crowded && ruling != resourcegroup.Crowded {
			d.tried.Held++
		}
		if f.Trial = d.turn<<trialBits | n; ruling != resourcegroup.Taken && would == resourcegroup.Taken && n > 0 {
			d.shadow.Left(n)
		}
		if n == 0 || would != resourcegroup.Taken {
			f.Trial = 0
		}
	}
	switch ruling {
	case resourcegroup.Refused:
		d.law.RecordDecision("refused", by, "", asOf)
		return f, false, "class " + plan.Classes[k.entry-1].Name + ": " + text
	case resourcegroup.Crowded:
		d.law.RecordDecision("crowded", by, "", asOf)
		return f, true, ""
	}
	d.law.RecordDecision("taken", by, "", asOf)
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
func (d *Desk) triedAs(f *admission.Foreseen) int {
	if d.shadow == nil || f.Trial>>trialBits != d.turn {
		return 0
	}
	return f.Trial & (1<<trialBits - 1)
}

// tell has the counts be read elsewhere.
func (d *Desk) tell() {
	n := d.count
	if d.shadow != nil {
		n = d.tried
	}
	d.told.Store(&n)
}

var _ router.Desk = (*Desk)(nil)
