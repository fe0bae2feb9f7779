package resourcegroup

import (
	"slices"

	"magpiebank/internal/admission"
)

// Limiter counts the running attempts and waiting requests of each class and applies the limits of a plan. It implements
// admission.Policy. Only one goroutine may use it.
type Limiter struct {
	plan         *Plan
	coresByKind  []float64 // cores of one engine, by the number of its machine kind
	zones        []string  // names, indexed by admission.Endpoint.Zone
	kinds        []string  // names, indexed by admission.Endpoint.Kind
	classes      []class   // by number; number 0 stands for requests without a class
	pools        []pool    // by number; number 0 is the pool of all engines
	classNumbers []int     // indexes in classes of the plan's classes, in the plan's order
	endpoints    []admission.Endpoint
	quota        Quota // nil: every limit is this gateway's own
	now          admission.Time
}

// Verdict is the decision on an arriving request.
type Verdict uint8

// The verdicts.
const (
	Admitted     Verdict = iota
	OverCapacity         // too many requests of its class are waiting; the client may retry
	Denied               // a rule rejects it, and would reject every retry
)

// New returns a limiter without engines. coresByKind has the cores of one engine of each machine kind; zones and kinds are the site's
// names. The error is a *PlanError.
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

// NewShadow returns a limiter with the same engines and another plan, for a rehearsal of that plan. It divides cluster-wide limits by
// the number of gateways, since it uses no quota. The error is a *PlanError.
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

// Admit decides on a request. planClass is the position of its class in the plan, counted from 1; 0 means no class. It returns the
// class's number in the limiter, which the other methods take, or 0 if the request isn't limited or isn't admitted. rejectText is the
// error for the client of a denied request.
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

// hasWaitingPlace reports whether one more request may wait. If the class has a quota for waiting, it reserves a place, which the
// request uses until its answer because it may have to wait again.
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

// AllowsAttempt reports whether an attempt of a class that uses the given threads may be sent now. Under this gateway's own limit, an
// attempt with more threads than the whole limit may be sent when no other attempt of the class is in flight.
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

// Pool returns the number of the pool of the class with the given number.
func (l *Limiter) Pool(number int) int { return l.classes[number].pool }

// ClassName returns the name of the class with the given number.
func (l *Limiter) ClassName(number int) string { return l.classes[number].Name }

// BeginAttempt records that an attempt of a waiting request was sent. work is its estimated work in ms, or 0 if unknown. It returns the
// work in ms that the class was charged; the caller passes it to EndAttempt.
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
// if unknown, and waits reports whether its request waits for another attempt.
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
		c.runningThreads = 0 // discards accumulated rounding errors
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

// A thread limit that was lowered because the pool lost engines is raised again in limitRaiseSteps equal steps, limitRaiseInterval apart.
// Engines that return are warming up, and the requests that waited must not be sent to them all at once.
const (
	limitRaiseInterval = admission.Second
	limitRaiseSteps    = 8
)

// Tick raises lowered limits, reports demand to the quota and frees the numbers of unused classes. The caller calls it 50 times a
// second.
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
			// With the minimum of one thread, a small limit rises in no more steps than a large one, and not by fractions of a thread.
			c.threadLimit = min(target, c.threadLimit+max(1, c.MaxThreads/limitRaiseSteps))
			c.limitChangedAt = now
		}
	}
	if hasUnused {
		l.freeUnusedNumbers()
	}
}

// ClassState is a copy of the state of one class.
type ClassState struct {
	Name           string
	Retired        bool // the plan in force lacks the class, but some of its requests wait or run
	ThreadLimit    float64
	RunningThreads float64
	InFlight       int // number of attempts
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
