package resourcegroup

import (
	"fmt"
	"math"
	"slices"

	"magpiebank/internal/admission"
)

// Desk keeps what runs and waits of each class, and the limits in force. It is the decisions' Gate. One goroutine owns it.
type Limiter struct {
	plan         *Plan
	coresByKind  []float64 // of an engine, by machine kind
	zones        []string  // the site's names, which listings give by number
	kinds        []string
	classes      []class // by number; 0 stands for tasks of none
	pools        []pool  // by number; 0 is all engines
	classNumbers []int   // of the plan's classes
	endpoints    []admission.Endpoint
	quota        Quota // nil: no class is the fleet's
	now          admission.Time
}

// Quota is this gateway's share of what classes may use over all gateways: of each budget, some units until a request ends, or
// a rate.
type Quota interface {
	// BudgetIndex returns a budget's index by its name; below 0: there is none.
	BudgetIndex(name string) int
	// TryReserve reserves an amount of a budget, if this gateway may use it. The reservation lasts until CommitReservation, or
	// the next SetDemand.
	TryReserve(now admission.Time, budget int, amount int64) bool
	CommitReservation(now admission.Time, budget int, amount int64) bool
	Release(now admission.Time, budget int, amount int64)
	// SetDemand reports how much waiting requests would use at once.
	SetDemand(now admission.Time, budget int, amount int64)
	// ReserveRate uses a budget that is a rate, up to an amount, and returns the units a second that this gateway may use until
	// the next call.
	ReserveRate(now admission.Time, budget int, need int64) (rate int64)
	// ScaleTotal reduces a total to a fraction of itself from now on.
	ScaleTotal(now admission.Time, budget int, fraction float64)
}

// The kinds of budgets that a class may have.
const (
	threadBudget = iota
	waitingBudget
	workBudget
	budgetKinds
)

// BudgetNames are the budgets of a class of the fleet, and their totals: threads, places, ms of work a second; 0: it has none.
func (c *Class) BudgetNames() (names [budgetKinds]string, totals [budgetKinds]int64) {
	return [budgetKinds]string{c.Name + " threads", c.Name + " waiting", c.Name + " work"}, [budgetKinds]int64{int64(c.MaxThreads), int64(c.MaxWaiting), int64(c.WorkMillisPerSecond)}
}

type class struct {
	Class
	pool                int
	inUse               bool    // the number is taken
	retired             bool    // the plan has no such class any more; what it has in hand ends under it
	runningThreads      float64 // threads of its hand-offs without an outcome
	inFlight            int     // and how many they are
	waiting             int     // tasks in hand with no hand-off out
	threadLimit         float64 // threads that may run now
	limitChangedAt      admission.Time
	budgets             [budgetKinds]int // of the fleet's; below 0: the limit is this gateway's own
	lastThreads         int64            // threads of the task that went out last
	shortOfThreads      bool             // of threads of the fleet, since the last tick
	rejectedForQuota    int64            // tasks turned away for want of a place since the last tick
	recentWorkMillis    float64          // ms of work that went out since then, a mean of some ticks
	workMillisPerSecond float64          // ms of work a second that it has of its own Work, or of the fleet's
	creditMillis        float64          // ms of work that may go out now; below 0: it owes some
	creditUpdatedAt     admission.Time
	meanCostMillis      float64 // ms, mean of its answers: what a task counts of which no work is foreseen
	counts              Counts
}

type pool struct {
	Pool
	inUse                    bool
	zoneNumbers, kindNumbers []int
	liveCores                float64 // cores of engines that take new tasks
	maxLiveCores             float64 // the highest that live has been since it was told of: what limits are meant for
}

// Counts are of one class since the start.
type Counts struct{ Admitted, OverCapacity, Rejected, Served int64 }

// Ruling is what becomes of a task that arrives.
type Verdict uint8

// The rulings.
const (
	Admitted     Verdict = iota
	OverCapacity         // too many of its class wait; it may come again
	Rejected             // never sent
)

// New makes a desk that knows no engine yet. zones and kinds are the site's names; an error names a pool's field that
// has none of them.
func New(now admission.Time, plan *Plan, cores []float64, zones, kinds []string) (*Limiter, error) {
	d := &Limiter{coresByKind: cores, zones: zones, kinds: kinds, plan: &Plan{}, classes: make([]class, 1), pools: []pool{{inUse: true}}}
	return d, d.ReplacePlan(now, plan)
}

// Share has classes of the fleet go by rights that its gateways share.
func (d *Limiter) UseQuota(r Quota) {
	d.quota = r
	for n := range d.classes {
		d.classes[n].budgets = d.budgetsOf(&d.classes[n].Class)
	}
}

// budgets are a class's by what it limits.
func (d *Limiter) budgetsOf(c *Class) (out [budgetKinds]int) {
	names, totals := c.BudgetNames()
	for k := range out {
		if out[k] = -1; c.FleetWide && d.quota != nil && totals[k] > 0 {
			out[k] = d.quota.BudgetIndex(names[k])
		}
	}
	return out
}

// Renew goes by another plan, whole or, with an error, not at all. A class or pool of the same name stays the same one:
// what runs counts under it, and a limit below that lets nothing more out until enough has ended. One that the plan
// lacks stands until the last of its tasks has ended.
func (d *Limiter) ReplacePlan(now admission.Time, plan *Plan) error {
	places, err := plan.resolvePools(d.zones, d.kinds)
	if err != nil {
		return err
	}
	for i := range plan.Classes {
		names, totals := plan.Classes[i].BudgetNames()
		for k, name := range names {
			if d.quota != nil && plan.Classes[i].FleetWide && totals[k] > 0 && d.quota.BudgetIndex(name) < 0 {
				return fmt.Errorf("statements.classes[%d].fleet: expected fleet.budgets of a higher number, as %q is new", i, name)
			}
		}
	}
	d.plan, d.classNumbers = plan, nil
	numbers := map[string]int{"": 0}
	for i := range places {
		n := slices.IndexFunc(d.pools, func(p pool) bool { return p.inUse && p.Name == places[i].Name })
		if n < 0 {
			n = takeFreeNumber(&d.pools, func(p *pool) bool { return !p.inUse })
		}
		old := &d.pools[n]
		places[i].inUse = true
		if old.inUse && slices.Equal(old.zoneNumbers, places[i].zoneNumbers) && slices.Equal(old.kindNumbers, places[i].kindNumbers) {
			places[i].maxLiveCores = old.maxLiveCores
		}
		*old = places[i]
		numbers[old.Name] = n
	}
	d.countLiveCores()
	for n := range d.classes {
		d.classes[n].retired = true
	}
	for _, c := range plan.Classes {
		n := slices.IndexFunc(d.classes, func(o class) bool { return o.inUse && o.Name == c.Name })
		if n < 0 {
			n = takeFreeNumber(&d.classes, func(c *class) bool { return !c.inUse })
			d.classes[n] = class{inUse: true, Class: c, pool: numbers[c.Pool], creditMillis: c.WorkMillisPerSecond, creditUpdatedAt: now, limitChangedAt: now}
			d.classes[n].threadLimit = d.targetThreads(&d.classes[n])
		}
		o := &d.classes[n]
		unlimited := o.MaxThreads == 0
		o.Class, o.pool, o.retired, o.budgets = c, numbers[c.Pool], false, d.budgetsOf(&c)
		if most := d.targetThreads(o); o.threadLimit > most || unlimited {
			o.threadLimit = most
		}
		if o.workMillisPerSecond = c.WorkMillisPerSecond; o.budgets[workBudget] >= 0 {
			o.workMillisPerSecond = 0 // until the fleet's goroutine has told
		}
		o.creditMillis = min(o.creditMillis, c.WorkMillisPerSecond)
		d.classNumbers = append(d.classNumbers, n)
	}
	d.freeUnusedNumbers()
	return nil
}

// Check tells why a site with such zones and kinds of machines can't go by a plan.
func (p *Plan) Check(zones, kinds []string) error {
	_, err := p.resolvePools(zones, kinds)
	return err
}

// places finds a plan's pools among the site's zones and kinds.
func (p *Plan) resolvePools(zones, kinds []string) ([]pool, error) {
	places := make([]pool, len(p.Pools))
	for i := range p.Pools {
		place := &places[i]
		place.Pool = p.Pools[i]
		for _, f := range []struct {
			field       string
			names, site []string
			to          *[]int
		}{{"zones", place.Zones, zones, &place.zoneNumbers}, {"kinds", place.Kinds, kinds, &place.kindNumbers}} {
			for _, name := range f.names {
				n := slices.Index(f.site, name)
				if n < 0 {
					return nil, fmt.Errorf("statements.pools[%d].%s: expected some of %q, which this site has, found %q", i, f.field, f.site, name)
				}
				*f.to = append(*f.to, n)
			}
		}
	}
	return places, p.checkNames()
}

// check finds what a plan says twice, or of pools that it doesn't have.
func (p *Plan) checkNames() error {
	if n := len(p.Classes); n > MaxClasses && !(n == MaxClasses+1 && p.Classes[n-1].Name == RestClass) {
		return fmt.Errorf("statements.classes: expected at most %d, found %d", MaxClasses, len(p.Classes))
	}
	pools, classes := map[string]bool{}, map[string]bool{}
	for i, o := range p.Pools {
		if o.Name == "" || pools[o.Name] {
			return fmt.Errorf("statements.pools[%d].name: expected a name of its own, found %q", i, o.Name)
		}
		pools[o.Name] = true
	}
	for i, c := range p.Classes {
		if c.Name == "" || classes[c.Name] {
			return fmt.Errorf("statements.classes[%d].name: expected a name of its own, found %q", i, c.Name)
		}
		if classes[c.Name] = true; c.Pool != "" && !pools[c.Pool] {
			return fmt.Errorf("statements.classes[%d].pool: expected the name of one of the pools, found %q", i, c.Pool)
		}
	}
	return nil
}

// free finds a place behind the first that is not in use, or adds one.
func takeFreeNumber[T any](list *[]T, unused func(*T) bool) int {
	for n := 1; n < len(*list); n++ {
		if unused(&(*list)[n]) {
			return n
		}
	}
	*list = append(*list, *new(T))
	return len(*list) - 1
}

// tidy frees the numbers of what no plan names and no task holds.
func (d *Limiter) freeUnusedNumbers() {
	used := make([]bool, len(d.pools))
	for n := 1; n < len(d.classes); n++ {
		c := &d.classes[n]
		if c.retired && c.inFlight == 0 && c.waiting == 0 {
			*c = class{}
		}
		used[c.pool] = true
	}
	for n := 1; n < len(d.pools); n++ {
		p := &d.pools[n]
		named := slices.ContainsFunc(d.plan.Pools, func(o Pool) bool { return o.Name == p.Name })
		if !named && !used[n] {
			*p = pool{}
		}
	}
}

// Listed takes in a delivery of the engine list, as the decisions do.
func (d *Limiter) UpdateEndpoints(now admission.Time, form admission.UpdateKind, list []admission.Endpoint) {
	if form == admission.FailedPoll {
		return
	}
	if form != admission.PartialUpdate {
		d.endpoints = d.endpoints[:0]
	}
	for _, l := range list {
		n := slices.IndexFunc(d.endpoints, func(o admission.Endpoint) bool { return o.Engine == l.Engine })
		switch {
		case n >= 0 && l.State == admission.Gone:
			d.endpoints = slices.Delete(d.endpoints, n, n+1)
		case n >= 0:
			d.endpoints[n] = l
		case l.State != admission.Gone:
			d.endpoints = append(d.endpoints, l)
		}
	}
	d.countLiveCores()
	for n := 1; n < len(d.classes); n++ { // down at once
		if c := &d.classes[n]; c.threadLimit > d.targetThreads(c) {
			c.threadLimit, c.limitChangedAt = d.targetThreads(c), now
		}
	}
}

// count sums up the cores of each pool's engines that take new tasks.
func (d *Limiter) countLiveCores() {
	for n := range d.pools {
		p := &d.pools[n]
		p.liveCores = 0
		for i := range d.endpoints {
			if l := &d.endpoints[i]; l.State == admission.Live && d.InPool(n, l) {
				cores := 1.0
				if l.Kind >= 0 && l.Kind < len(d.coresByKind) {
					cores = max(1, d.coresByKind[l.Kind])
				}
				p.liveCores += cores
			}
		}
		p.maxLiveCores = max(p.maxLiveCores, p.liveCores)
	}
}

// target is a class's limit by the engines that its pool has now: in proportion to the most that it had.
func (d *Limiter) targetThreads(c *class) float64 {
	p := &d.pools[c.pool]
	if p.maxLiveCores == 0 {
		return c.MaxThreads
	}
	return c.MaxThreads * p.liveCores / p.maxLiveCores
}

// Due is the timer: limits step up again, and numbers that nobody needs are freed.
func (d *Limiter) Tick(now admission.Time) {
	// A limit comes back within some eight seconds: engines that return are cold, and what was held back must not fall
	// on them at once. The step is never below one thread, so that small limits come back as soon.
	const every, steps = admission.Second, 8
	tidy := false
	d.now = now
	for n := 1; n < len(d.classes); n++ {
		c := &d.classes[n]
		if c.inUse && c.FleetWide {
			d.updateQuota(now, c)
		}
		tidy = tidy || c.inUse && c.retired && c.inFlight == 0 && c.waiting == 0
		if most := d.targetThreads(c); c.threadLimit < most && now-c.limitChangedAt >= every {
			c.threadLimit, c.limitChangedAt = min(most, c.threadLimit+max(1, c.MaxThreads/steps)), now
		}
	}
	if tidy {
		d.freeUnusedNumbers()
	}
}

// want tells the fleet what a class would use more of, and takes over what it has.
func (d *Limiter) updateQuota(now admission.Time, c *class) {
	for k, b := range c.budgets {
		if b < 0 {
			continue
		}
		part := 1.0
		if p := &d.pools[c.pool]; k != waitingBudget && p.maxLiveCores > 0 {
			part = p.liveCores / p.maxLiveCores // as the pool's engines are, for the whole fleet at once
		}
		d.quota.ScaleTotal(now, b, part)
		switch k {
		case threadBudget:
			if !c.shortOfThreads {
				d.quota.SetDemand(now, b, 0)
			}
			c.shortOfThreads = false
		case waitingBudget:
			d.quota.SetDemand(now, b, c.rejectedForQuota)
			c.rejectedForQuota = 0
		case workBudget:
			const fade = 0.02 // of a tick of 20 ms: what is spent in a second
			c.recentWorkMillis -= c.recentWorkMillis * fade
			use := 1.5 * c.recentWorkMillis // with room to grow
			if c.waiting > 0 && c.creditMillis <= 0 {
				use = max(1, use+c.WorkMillisPerSecond/8)
			}
			need := int64(math.Ceil(min(use, c.WorkMillisPerSecond)))
			has := d.quota.ReserveRate(now, b, need)
			c.workMillisPerSecond = float64(has)
			d.quota.SetDemand(now, b, need-has)
		}
	}
}

// Arrived rules on a task of the plan's n-th class, counted from 1 (0: none); a task that is taken waits under the
// number that is returned.
func (d *Limiter) Admit(n int) (number int, r Verdict, text string) {
	if n <= 0 || n > len(d.classNumbers) {
		return 0, Admitted, ""
	}
	number = d.classNumbers[n-1]
	c := &d.classes[number]
	switch {
	case c.RejectText != "":
		c.counts.Rejected++
		return 0, Rejected, c.RejectText
	case c.budgets[waitingBudget] >= 0: // a place is kept until the task's answer, as it may have to wait again
		if !d.quota.TryReserve(d.now, c.budgets[waitingBudget], 1) || !d.quota.CommitReservation(d.now, c.budgets[waitingBudget], 1) {
			c.rejectedForQuota++
			c.counts.OverCapacity++
			return 0, OverCapacity, ""
		}
	case c.MaxWaiting > 0 && c.waiting >= c.MaxWaiting:
		c.counts.OverCapacity++
		return 0, OverCapacity, ""
	}
	c.counts.Admitted++
	c.waiting++
	return number, Admitted, ""
}

func wholeThreads(threads float64) int64 { return int64(math.Ceil(threads)) }

// AllowsAttempt tells whether one more task of a class, of so many threads, may go out now. One that is wider than the whole
// limit goes alone.
func (d *Limiter) AllowsAttempt(now admission.Time, number int, threads float64) bool {
	c := &d.classes[number]
	d.now = now
	if b := c.budgets[threadBudget]; b >= 0 {
		c.lastThreads = wholeThreads(threads)
		if !d.quota.TryReserve(now, b, c.lastThreads) {
			if !c.shortOfThreads {
				c.shortOfThreads = true
				// What waits for other things than threads isn't asked for; so no more than there is in use at a time, from some on.
				const some = 4
				d.quota.SetDemand(now, b, min(int64(c.waiting)*c.lastThreads, max(some*c.lastThreads, wholeThreads(c.runningThreads))))
			}
			return false
		}
	} else if c.MaxThreads > 0 && (c.threadLimit <= 0 || c.inFlight > 0 && c.runningThreads+threads > c.threadLimit) {
		return false
	}
	if c.WorkMillisPerSecond > 0 {
		c.creditMillis += c.workMillisPerSecond * float64(now-c.creditUpdatedAt) / float64(admission.Second)
		c.creditMillis, c.creditUpdatedAt = min(c.creditMillis, c.workMillisPerSecond), now // what is not used for a second is gone
		return c.creditMillis > 0
	}
	return true
}

// Pool is the number of a class's pool.
func (d *Limiter) Pool(number int) int { return d.classes[number].pool }

// Name is a class's.
func (d *Limiter) ClassName(number int) string { return d.classes[number].Name }

// InPool tells whether an engine belongs to a pool.
func (d *Limiter) InPool(n int, l *admission.Endpoint) bool {
	p := &d.pools[n]
	return (len(p.zoneNumbers) == 0 || slices.Contains(p.zoneNumbers, l.Zone)) && (len(p.kindNumbers) == 0 || slices.Contains(p.kindNumbers, l.Kind))
}

// Sent takes in that a task went out, with the ms of work that are foreseen (0: not known); it returns what it was counted
// for.
func (d *Limiter) BeginAttempt(number int, threads, work float64) (charged float64) {
	c := &d.classes[number]
	c.waiting--
	c.inFlight++
	c.runningThreads += threads
	if b := c.budgets[threadBudget]; b >= 0 {
		d.quota.CommitReservation(d.now, b, wholeThreads(threads))
	}
	if charged = work; charged == 0 {
		charged = c.meanCostMillis
	}
	// A class that owes more than this is not held back for longer: an estimate can be far off.
	const mostOwed = 10 // seconds of its budget
	c.creditMillis = max(c.creditMillis-charged, -mostOwed*c.WorkMillisPerSecond)
	c.recentWorkMillis += charged
	return charged
}

// Back takes in that a hand-off has ended, with the ms of work that it took (0: not told) and whether its task waits again.
func (d *Limiter) EndAttempt(number int, threads, charged, cost float64, waits bool) {
	c := &d.classes[number]
	if b := c.budgets[threadBudget]; b >= 0 {
		d.quota.Release(d.now, b, wholeThreads(threads))
	}
	if !waits {
		d.releaseWaiting(c)
	}
	if c.inFlight--; c.inFlight == 0 {
		c.runningThreads = 0
	} else {
		c.runningThreads -= threads
	}
	if waits {
		c.waiting++
	}
	if cost > 0 {
		c.counts.Served++
		c.creditMillis = min(c.creditMillis+charged-cost, c.workMillisPerSecond)
		const recent = 0.1 // some ten answers
		if c.meanCostMillis == 0 {
			c.meanCostMillis = cost
		}
		c.meanCostMillis += recent * (cost - c.meanCostMillis)
	}
}

// Left takes in that a waiting task got its final answer, or that its client left.
func (d *Limiter) EndWaiting(number int) {
	d.classes[number].waiting--
	d.releaseWaiting(&d.classes[number])
}

// answered has a task's place be free.
func (d *Limiter) releaseWaiting(c *class) {
	if b := c.budgets[waitingBudget]; b >= 0 {
		d.quota.Release(d.now, b, 1)
	}
}

// Shadow is a desk that sees the same engines and goes by another plan, to see what that would come to. Of what is the fleet's it takes
// one gateway's equal part.
func (d *Limiter) NewShadow(now admission.Time, plan *Plan, gateways int) (*Limiter, error) {
	own := Plan{Pools: plan.Pools, Classes: slices.Clone(plan.Classes)}
	for i := range own.Classes {
		if c := &own.Classes[i]; c.FleetWide {
			n := float64(max(1, gateways))
			c.FleetWide, c.MaxThreads, c.WorkMillisPerSecond = false, math.Ceil(c.MaxThreads/n), c.WorkMillisPerSecond/n
			c.MaxWaiting = int(math.Ceil(float64(c.MaxWaiting) / n))
		}
	}
	s, err := New(now, &own, d.coresByKind, d.zones, d.kinds)
	if err != nil {
		return nil, err
	}
	s.UpdateEndpoints(now, admission.FullUpdate, d.endpoints)
	for n := range s.classes {
		if c := &s.classes[n]; c.inUse {
			c.threadLimit = s.targetThreads(c)
		}
	}
	return s, nil
}

// Meet is what two plans both allow: classes that both have by the same name, with the lower limits, the engines of both pools, and refused
// where either refuses. A task that they class differently is of none of its classes: see Agree.
func Intersect(a, b *Plan) *Plan {
	out := &Plan{}
	pool := func(p *Plan, name string) Pool {
		for _, o := range p.Pools {
			if o.Name == name {
				return o
			}
		}
		return Pool{}
	}
	narrow := func(x, y []string) (out []string, none bool) {
		if len(x) == 0 || len(y) == 0 {
			return append(slices.Clone(x), y...), false
		}
		for _, name := range x {
			if slices.Contains(y, name) {
				out = append(out, name)
			}
		}
		return out, len(out) == 0
	}
	least := func(x, y float64) float64 {
		if x == 0 || y == 0 {
			return x + y
		}
		return min(x, y)
	}
	for _, c := range a.Classes {
		k := slices.IndexFunc(b.Classes, func(o Class) bool { return o.Name == c.Name })
		if k < 0 {
			c.RejectText = "its class is changing"
			c.Pool, c.FleetWide = "", false
			out.Classes = append(out.Classes, c)
			continue
		}
		o := &b.Classes[k]
		c.MaxThreads, c.WorkMillisPerSecond, c.MaxWaiting = least(c.MaxThreads, o.MaxThreads), least(c.WorkMillisPerSecond, o.WorkMillisPerSecond), int(least(float64(c.MaxWaiting), float64(o.MaxWaiting)))
		if c.FleetWide = c.FleetWide || o.FleetWide; c.RejectText == "" {
			c.RejectText = o.RejectText
		}
		x, y := pool(a, c.Pool), pool(b, o.Pool)
		zones, noZone := narrow(x.Zones, y.Zones)
		kinds, noKind := narrow(x.Kinds, y.Kinds)
		if noZone || noKind {
			c.RejectText = "its engines are changing"
		}
		if c.Pool = ""; len(zones)+len(kinds) > 0 && !noZone && !noKind {
			c.Pool = "both of " + c.Name
			out.Pools = append(out.Pools, Pool{c.Pool, zones, kinds})
		}
		out.Classes = append(out.Classes, c)
	}
	return out
}

// State is one class as it stands.
type ClassState struct {
	Name                        string
	Retired                     bool
	ThreadLimit, RunningThreads float64 // threads
	InFlight, Waiting           int
	Counts
}

// States are those of all classes, in the order of their numbers.
func (d *Limiter) ClassStates() (out []ClassState) {
	for n := 1; n < len(d.classes); n++ {
		if c := &d.classes[n]; c.inUse {
			out = append(out, ClassState{c.Name, c.retired, c.threadLimit, c.runningThreads, c.inFlight, c.waiting, c.counts})
		}
	}
	return out
}
