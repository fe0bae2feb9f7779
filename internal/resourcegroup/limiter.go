package resourcegroup

import (
	"slices"

	"magpiebank/internal/admission"
)

// Limiter keeps account of what runs and waits of each class, and applies the limits of a plan. It implements the limiter that
// package admission asks. One goroutine owns it.
type Limiter struct {
	plan         *Plan
	coresByKind  []float64 // of an engine, by the number of its machine kind
	zones        []string  // names by number, as endpoints have them
	kinds        []string  // names by number, as endpoints have them
	classes      []class   // by number; 0 stands for requests of no class
	pools        []pool    // by number; 0 is all engines
	classNumbers []int     // of the plan's classes, in the plan's order
	endpoints    []admission.Endpoint
	quota        Quota // nil: no class is limited fleet-wide
	now          admission.Time
}

// Verdict says what becomes of a request that arrives.
type Verdict uint8

// The verdicts.
const (
	Admitted     Verdict = iota
	OverCapacity         // too many of its class wait; the client may retry
	Denied               // by a rule, and so on every retry
)

// New returns a limiter that knows no engine yet. coresByKind has the cores of an engine by machine kind; zones and kinds are the
// site's names. The error is a *PlanError.
func New(now admission.Time, plan *Plan, coresByKind []float64, zones, kinds []string) (*Limiter, error) {
	l := &Limiter{
		plan:        &Plan{},
		coresByKind: coresByKind,
		zones:       zones,
		kinds:       kinds,
		classes:     make([]class, 1),
		pools:       []pool{{inUse: true}},
	}
	return l, l.ReplacePlan(now, plan)
}

// NewShadow returns a limiter with the same engines and another plan, to rehearse that plan. A fleet-wide limit is divided by the
// number of gateways. The error is a *PlanError.
func (l *Limiter) NewShadow(now admission.Time, plan *Plan, gateways int) (*Limiter, error) {
	localPlan := Plan{Pools: plan.Pools, Classes: slices.Clone(plan.Classes)}
	for i := range localPlan.Classes {
		if localPlan.Classes[i].ClusterWide {
			localPlan.Classes[i].divideAmong(max(1, gateways))
		}
	}
	shadow, err := New(now, &localPlan, l.coresByKind, l.zones, l.kinds)
	if err != nil {
		return nil, err
	}
	shadow.UpdateEndpoints(now, admission.FullUpdate, l.endpoints)
	for number := range shadow.classes {
		c := &shadow.classes[number]
		if c.inUse {
			c.threadLimit = shadow.targetThreadLimit(c)
		}
	}
	return shadow, nil
}

// Admit decides on a request of the plan's n-th class, counted from 1; 0 is none. A request that is admitted waits under the number
// that is returned; it is handed to BeginAttempt and EndWaiting. rejectText is the error for the client of a rejected one.
func (l *Limiter) Admit(planClass int) (number int, verdict Verdict, rejectText string) {
	if planClass <= 0 || planClass > len(l.classNumbers) {
		return 0, Admitted, ""
	}
	number = l.classNumbers[planClass-1]
	c := &l.classes[number]
	if c.RejectText != "" {
		c.counts.Denied++
		return 0, Denied, c.RejectText
	}
	if !l.hasWaitingPlace(c) {
		c.counts.OverCapacity++
		return 0, OverCapacity, ""
	}
	c.counts.Admitted++
	c.waiting++
	return number, Admitted, ""
}

// hasWaitingPlace reports whether one more request may wait. A place of the quota is used until the request's answer, as it may have
// to wait again.
func (l *Limiter) hasWaitingPlace(c *class) bool {
	budget := c.budgets[waitingBudget]
	if budget < 0 {
		return c.MaxWaiting == 0 || c.waiting < c.MaxWaiting
	}
	if l.quota.TryReserve(l.now, budget, 1) && l.quota.CommitReservation(l.now, budget, 1) {
		return true
	}
	c.rejectedByQuota++
	return false
}

// AllowsAttempt reports whether an attempt of a class, of so many threads, may be sent now. An attempt that is wider than the whole
// limit is sent when no other one of the class is in flight.
func (l *Limiter) AllowsAttempt(now admission.Time, number int, threads float64) bool {
	c := &l.classes[number]
	l.now = now
	if c.budgets[threadBudget] >= 0 {
		if !l.reserveThreads(now, c, threads) {
			return false
		}
	} else if !c.hasFreeThreads(threads) {
		return false
	}
	return c.hasCredit(now)
}

// Pool returns the number of a class's pool.
func (l *Limiter) Pool(number int) int { return l.classes[number].pool }

// ClassName returns the name of a class.
func (l *Limiter) ClassName(number int) string { return l.classes[number].Name }

// BeginAttempt records that an attempt of a waiting request was sent. work is its estimated work in ms, or 0 if that is not known.
// It returns the work in ms that the class was charged, which has to be handed to EndAttempt.
func (l *Limiter) BeginAttempt(number int, threads, work float64) (charged float64) {
	c := &l.classes[number]
	c.waiting--
	c.inFlight++
	c.runningThreads += threads
	if budget := c.budgets[threadBudget]; budget >= 0 {
		l.quota.CommitReservation(l.now, budget, roundUpThreads(threads))
	}
	charged = work
	if charged == 0 {
		charged = c.meanCostMillis
	}
	c.charge(charged)
	return charged
}

// EndAttempt records that an attempt has ended. charged is what BeginAttempt returned, cost the work in ms that the attempt took, or 0
// if that is not known, and waits tells that its request waits again.
func (l *Limiter) EndAttempt(number int, threads, charged, cost float64, waits bool) {
	c := &l.classes[number]
	if budget := c.budgets[threadBudget]; budget >= 0 {
		l.quota.Release(l.now, budget, roundUpThreads(threads))
	}
	if waits {
		c.waiting++
	} else {
		l.releaseWaiting(c)
	}
	c.inFlight--
	if c.inFlight == 0 {
		c.runningThreads = 0 // no rounding errors are left over
	} else {
		c.runningThreads -= threads
	}
	if cost > 0 {
		c.counts.Served++
		c.correctCredit(charged, cost)
	}
}

// EndWaiting records that a waiting request got its final answer, or that its client left.
func (l *Limiter) EndWaiting(number int) {
	c := &l.classes[number]
	c.waiting--
	l.releaseWaiting(c)
}

// releaseWaiting returns a request's waiting place to the quota.
func (l *Limiter) releaseWaiting(c *class) {
	if budget := c.budgets[waitingBudget]; budget >= 0 {
		l.quota.Release(l.now, budget, 1)
	}
}

// A thread limit that was lowered with the pool's engines rises again by limitRaiseSteps equal amounts, limitRaiseInterval apart: engines that
// return are cold, and what was held back must not be sent to them all at once.
const (
	limitRaiseInterval = admission.Second
	limitRaiseSteps    = 8
)

// Tick raises limits, updates demands on the quota and frees the numbers of classes that are not needed any more. It is called
// 50 times a second.
func (l *Limiter) Tick(now admission.Time) {
	hasUnused := false
	l.now = now
	for number := 1; number < len(l.classes); number++ {
		c := &l.classes[number]
		if c.inUse && c.ClusterWide {
			l.updateQuota(now, c)
		}
		hasUnused = hasUnused || c.inUse && c.isUnused()
		target := l.targetThreadLimit(c)
		if c.threadLimit < target && now-c.limitChangedAt >= limitRaiseInterval {
			// A step of at least one thread has small limits rise as fast.
			c.threadLimit = min(target, c.threadLimit+max(1, c.MaxThreads/limitRaiseSteps))
			c.limitChangedAt = now
		}
	}
	if hasUnused {
		l.freeUnusedNumbers()
	}
}

// ClassState is the state of one class.
type ClassState struct {
	Name           string
	Retired        bool // the plan does not have the class any more, and some of its requests wait or run
	ThreadLimit    float64
	RunningThreads float64
	InFlight       int // attempts
	Waiting        int // requests without an attempt in flight
	Counts
}

// ClassStates returns the states of all classes in the order of their numbers.
func (l *Limiter) ClassStates() (states []ClassState) {
	for number := 1; number < len(l.classes); number++ {
		c := &l.classes[number]
		if !c.inUse {
			continue
		}
		states = append(states, ClassState{
			Name:           c.Name,
			Retired:        c.retired,
			ThreadLimit:    c.threadLimit,
			RunningThreads: c.runningThreads,
			InFlight:       c.inFlight,
			Waiting:        c.waiting,
			Counts:         c.counts,
		})
	}
	return states
}
