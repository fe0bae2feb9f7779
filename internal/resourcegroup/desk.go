package resourcegroup

import (
	"fmt"
	"math"
	"slices"

	"magpiebank/internal/admission"
)

// Desk keeps what runs and waits of each class, and the limits in force. It is the decisions' Gate. One goroutine owns it.
type Desk struct {
	plan    *Plan
	cores   []float64 // of an engine, by machine kind
	zones   []string  // the site's names, which listings give by number
	kinds   []string
	classes []class // by number; 0 stands for tasks of none
	pools   []pool  // by number; 0 is all engines
	numbers []int   // of the plan's classes
	engines []admission.Listing
	rights  Rights // nil: no class is the fleet's
	now     admission.Time
}

// Rights are this gateway's to what classes of the whole fleet may use: of each budget, some units until a task ends, or a rate.
type Rights interface {
	// Index is a budget's number by its name; below 0: there is none.
	Index(name string) int
	// Open tells whether so much of a budget may be used from now on; it stands until Take, or the next Want.
	Open(now admission.Time, budget int, amount int64) bool
	Take(now admission.Time, budget int, amount int64) bool
	Done(now admission.Time, budget int, amount int64)
	// Want tells how much tasks that wait would use at once.
	Want(now admission.Time, budget int, amount int64)
	// Rate has a budget that is used as a rate be used by so much, as far as there is that; it stands until the next call.
	Rate(now admission.Time, budget int, need int64) (has int64)
	// Shrink has a total be a part of itself from now on.
	Shrink(now admission.Time, budget int, part float64)
}

// The kinds of budgets that a class may have.
const (
	ofThreads = iota
	ofWaiting
	ofWork
	kinds
)

// BudgetNames are the budgets of a class of the fleet, and their totals: threads, places, ms of work a second; 0: it has none.
func (c *Class) BudgetNames() (names [kinds]string, totals [kinds]int64) {
	return [kinds]string{c.Name + " threads", c.Name + " waiting", c.Name + " work"}, [kinds]int64{int64(c.Threads), int64(c.Waiting), int64(c.Work)}
}

type class struct {
	Class
	pool      int
	inUse     bool    // the number is taken
	retired   bool    // the plan has no such class any more; what it has in hand ends under it
	running   float64 // threads of its hand-offs without an outcome
	out       int     // and how many they are
	waiting   int     // tasks in hand with no hand-off out
	limit     float64 // threads that may run now
	steppedAt admission.Time
	budgets   [kinds]int // of the fleet's; below 0: the limit is this gateway's own
	width     int64      // threads of the task that went out last
	short     bool       // of threads of the fleet, since the last tick
	turned    int64      // tasks turned away for want of a place since the last tick
	spent     float64    // ms of work that went out since then, a mean of some ticks
	rate      float64    // ms of work a second that it has of its own Work, or of the fleet's
	credit    float64    // ms of work that may go out now; below 0: it owes some
	filledAt  admission.Time
	cost      float64 // ms, mean of its answers: what a task counts of which no work is foreseen
	counts    Counts
}

type pool struct {
	Pool
	inUse        bool
	zones, kinds []int
	live         float64 // cores of engines that take new tasks
	most         float64 // the highest that live has been since it was told of: what limits are meant for
}

// Counts are of one class since the start.
type Counts struct{ Taken, Crowded, Refused, Delivered int64 }

// Ruling is what becomes of a task that arrives.
type Ruling uint8

// The rulings.
const (
	Taken   Ruling = iota
	Crowded        // too many of its class wait; it may come again
	Refused        // never sent
)

// New makes a desk that knows no engine yet. zones and kinds are the site's names; an error names a pool's field that
// has none of them.
func New(now admission.Time, plan *Plan, cores []float64, zones, kinds []string) (*Desk, error) {
	d := &Desk{cores: cores, zones: zones, kinds: kinds, plan: &Plan{}, classes: make([]class, 1), pools: []pool{{inUse: true}}}
	return d, d.Renew(now, plan)
}

// Share has classes of the fleet go by rights that its gateways share.
func (d *Desk) Share(r Rights) {
	d.rights = r
	for n := range d.classes {
		d.classes[n].budgets = d.budgets(&d.classes[n].Class)
	}
}

// budgets are a class's by what it limits.
func (d *Desk) budgets(c *Class) (out [kinds]int) {
	names, totals := c.BudgetNames()
	for k := range out {
		if out[k] = -1; c.Fleet && d.rights != nil && totals[k] > 0 {
			out[k] = d.rights.Index(names[k])
		}
	}
	return out
}

// Renew goes by another plan, whole or, with an error, not at all. A class or pool of the same name stays the same one:
// what runs counts under it, and a limit below that lets nothing more out until enough has ended. One that the plan
// lacks stands until the last of its tasks has ended.
func (d *Desk) Renew(now admission.Time, plan *Plan) error {
	places, err := plan.places(d.zones, d.kinds)
	if err != nil {
		return err
	}
	for i := range plan.Classes {
		names, totals := plan.Classes[i].BudgetNames()
		for k, name := range names {
			if d.rights != nil && plan.Classes[i].Fleet && totals[k] > 0 && d.rights.Index(name) < 0 {
				return fmt.Errorf("statements.classes[%d].fleet: expected fleet.budgets of a higher number, as %q is new", i, name)
			}
		}
	}
	d.plan, d.numbers = plan, nil
	numbers := map[string]int{"": 0}
	for i := range places {
		n := slices.IndexFunc(d.pools, func(p pool) bool { return p.inUse && p.Name == places[i].Name })
		if n < 0 {
			n = free(&d.pools, func(p *pool) bool { return !p.inUse })
		}
		old := &d.pools[n]
		places[i].inUse = true
		if old.inUse && slices.Equal(old.zones, places[i].zones) && slices.Equal(old.kinds, places[i].kinds) {
			places[i].most = old.most
		}
		*old = places[i]
		numbers[old.Name] = n
	}
	d.count()
	for n := range d.classes {
		d.classes[n].retired = true
	}
	for _, c := range plan.Classes {
		n := slices.IndexFunc(d.classes, func(o class) bool { return o.inUse && o.Name == c.Name })
		if n < 0 {
			n = free(&d.classes, func(c *class) bool { return !c.inUse })
			d.classes[n] = class{inUse: true, Class: c, pool: numbers[c.Pool], credit: c.Work, filledAt: now, steppedAt: now}
			d.classes[n].limit = d.target(&d.classes[n])
		}
		o := &d.classes[n]
		unlimited := o.Threads == 0
		o.Class, o.pool, o.retired, o.budgets = c, numbers[c.Pool], false, d.budgets(&c)
		if most := d.target(o); o.limit > most || unlimited {
			o.limit = most
		}
		if o.rate = c.Work; o.budgets[ofWork] >= 0 {
			o.rate = 0 // until the fleet's goroutine has told
		}
		o.credit = min(o.credit, c.Work)
		d.numbers = append(d.numbers, n)
	}
	d.tidy()
	return nil
}

// Check tells why a site with such zones and kinds of machines can't go by a plan.
func (p *Plan) Check(zones, kinds []string) error {
	_, err := p.places(zones, kinds)
	return err
}

// places finds a plan's pools among the site's zones and kinds.
func (p *Plan) places(zones, kinds []string) ([]pool, error) {
	places := make([]pool, len(p.Pools))
	for i := range p.Pools {
		place := &places[i]
		place.Pool = p.Pools[i]
		for _, f := range []struct {
			field       string
			names, site []string
			to          *[]int
		}{{"zones", place.Zones, zones, &place.zones}, {"kinds", place.Kinds, kinds, &place.kinds}} {
			for _, name := range f.names {
				n := slices.Index(f.site, name)
				if n < 0 {
					return nil, fmt.Errorf("statements.pools[%d].%s: expected some of %q, which this site has, found %q", i, f.field, f.site, name)
				}
				*f.to = append(*f.to, n)
			}
		}
	}
	return places, p.check()
}

// check finds what a plan says twice, or of pools that it doesn't have.
func (p *Plan) check() error {
	if n := len(p.Classes); n > MostClasses && !(n == MostClasses+1 && p.Classes[n-1].Name == Rest) {
		return fmt.Errorf("statements.classes: expected at most %d, found %d", MostClasses, len(p.Classes))
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
func free[T any](list *[]T, unused func(*T) bool) int {
	for n := 1; n < len(*list); n++ {
		if unused(&(*list)[n]) {
			return n
		}
	}
	*list = append(*list, *new(T))
	return len(*list) - 1
}

// tidy frees the numbers of what no plan names and no task holds.
func (d *Desk) tidy() {
	used := make([]bool, len(d.pools))
	for n := 1; n < len(d.classes); n++ {
		c := &d.classes[n]
		if c.retired && c.out == 0 && c.waiting == 0 {
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
func (d *Desk) Listed(now admission.Time, form admission.Form, list []admission.Listing) {
	if form == admission.NoAnswer {
		return
	}
	if form != admission.Changes {
		d.engines = d.engines[:0]
	}
	for _, l := range list {
		n := slices.IndexFunc(d.engines, func(o admission.Listing) bool { return o.Engine == l.Engine })
		switch {
		case n >= 0 && l.State == admission.Gone:
			d.engines = slices.Delete(d.engines, n, n+1)
		case n >= 0:
			d.engines[n] = l
		case l.State != admission.Gone:
			d.engines = append(d.engines, l)
		}
	}
	d.count()
	for n := 1; n < len(d.classes); n++ { // down at once
		if c := &d.classes[n]; c.limit > d.target(c) {
			c.limit, c.steppedAt = d.target(c), now
		}
	}
}

// count sums up the cores of each pool's engines that take new tasks.
func (d *Desk) count() {
	for n := range d.pools {
		p := &d.pools[n]
		p.live = 0
		for i := range d.engines {
			if l := &d.engines[i]; l.State == admission.Live && d.In(n, l) {
				cores := 1.0
				if l.Kind >= 0 && l.Kind < len(d.cores) {
					cores = max(1, d.cores[l.Kind])
				}
				p.live += cores
			}
		}
		p.most = max(p.most, p.live)
	}
}

// target is a class's limit by the engines that its pool has now: in proportion to the most that it had.
func (d *Desk) target(c *class) float64 {
	p := &d.pools[c.pool]
	if p.most == 0 {
		return c.Threads
	}
	return c.Threads * p.live / p.most
}

// Due is the timer: limits step up again, and numbers that nobody needs are freed.
func (d *Desk) Due(now admission.Time) {
	// A limit comes back within some eight seconds: engines that return are cold, and what was held back must not fall
	// on them at once. The step is never below one thread, so that small limits come back as soon.
	const every, steps = admission.Second, 8
	tidy := false
	d.now = now
	for n := 1; n < len(d.classes); n++ {
		c := &d.classes[n]
		if c.inUse && c.Fleet {
			d.want(now, c)
		}
		tidy = tidy || c.inUse && c.retired && c.out == 0 && c.waiting == 0
		if most := d.target(c); c.limit < most && now-c.steppedAt >= every {
			c.limit, c.steppedAt = min(most, c.limit+max(1, c.Threads/steps)), now
		}
	}
	if tidy {
		d.tidy()
	}
}

// want tells the fleet what a class would use more of, and takes over what it has.
func (d *Desk) want(now admission.Time, c *class) {
	for k, b := range c.budgets {
		if b < 0 {
			continue
		}
		part := 1.0
		if p := &d.pools[c.pool]; k != ofWaiting && p.most > 0 {
			part = p.live / p.most // as the pool's engines are, for the whole fleet at once
		}
		d.rights.Shrink(now, b, part)
		switch k {
		case ofThreads:
			if !c.short {
				d.rights.Want(now, b, 0)
			}
			c.short = false
		case ofWaiting:
			d.rights.Want(now, b, c.turned)
			c.turned = 0
		case ofWork:
			const fade = 0.02 // of a tick of 20 ms: what is spent in a second
			c.spent -= c.spent * fade
			use := 1.5 * c.spent // with room to grow
			if c.waiting > 0 && c.credit <= 0 {
				use = max(1, use+c.Work/8)
			}
			need := int64(math.Ceil(min(use, c.Work)))
			has := d.rights.Rate(now, b, need)
			c.rate = float64(has)
			d.rights.Want(now, b, need-has)
		}
	}
}

// Arrived rules on a task of the plan's n-th class, counted from 1 (0: none); a task that is taken waits under the
// number that is returned.
func (d *Desk) Arrived(n int) (number int, r Ruling, text string) {
	if n <= 0 || n > len(d.numbers) {
		return 0, Taken, ""
	}
	number = d.numbers[n-1]
	c := &d.classes[number]
	switch {
	case c.Refuse != "":
		c.counts.Refused++
		return 0, Refused, c.Refuse
	case c.budgets[ofWaiting] >= 0: // a place is kept until the task's answer, as it may have to wait again
		if !d.rights.Open(d.now, c.budgets[ofWaiting], 1) || !d.rights.Take(d.now, c.budgets[ofWaiting], 1) {
			c.turned++
			c.counts.Crowded++
			return 0, Crowded, ""
		}
	case c.Waiting > 0 && c.waiting >= c.Waiting:
		c.counts.Crowded++
		return 0, Crowded, ""
	}
	c.counts.Taken++
	c.waiting++
	return number, Taken, ""
}

func whole(threads float64) int64 { return int64(math.Ceil(threads)) }

// Open tells whether one more task of a class, of so many threads, may go out now. One that is wider than the whole
// limit goes alone.
func (d *Desk) Open(now admission.Time, number int, threads float64) bool {
	c := &d.classes[number]
	d.now = now
	if b := c.budgets[ofThreads]; b >= 0 {
		c.width = whole(threads)
		if !d.rights.Open(now, b, c.width) {
			if !c.short {
				c.short = true
				// What waits for other things than threads isn't asked for; so no more than there is in use at a time, from some on.
				const some = 4
				d.rights.Want(now, b, min(int64(c.waiting)*c.width, max(some*c.width, whole(c.running))))
			}
			return false
		}
	} else if c.Threads > 0 && (c.limit <= 0 || c.out > 0 && c.running+threads > c.limit) {
		return false
	}
	if c.Work > 0 {
		c.credit += c.rate * float64(now-c.filledAt) / float64(admission.Second)
		c.credit, c.filledAt = min(c.credit, c.rate), now // what is not used for a second is gone
		return c.credit > 0
	}
	return true
}

// Pool is the number of a class's pool.
func (d *Desk) Pool(number int) int { return d.classes[number].pool }

// Name is a class's.
func (d *Desk) Name(number int) string { return d.classes[number].Name }

// In tells whether an engine belongs to a pool.
func (d *Desk) In(n int, l *admission.Listing) bool {
	p := &d.pools[n]
	return (len(p.zones) == 0 || slices.Contains(p.zones, l.Zone)) && (len(p.kinds) == 0 || slices.Contains(p.kinds, l.Kind))
}

// Sent takes in that a task went out, with the ms of work that are foreseen (0: not known); it returns what it was counted
// for.
func (d *Desk) Sent(number int, threads, work float64) (charged float64) {
	c := &d.classes[number]
	c.waiting--
	c.out++
	c.running += threads
	if b := c.budgets[ofThreads]; b >= 0 {
		d.rights.Take(d.now, b, whole(threads))
	}
	if charged = work; charged == 0 {
		charged = c.cost
	}
	// A class that owes more than this is not held back for longer: an estimate can be far off.
	const mostOwed = 10 // seconds of its budget
	c.credit = max(c.credit-charged, -mostOwed*c.Work)
	c.spent += charged
	return charged
}

// Back takes in that a hand-off has ended, with the ms of work that it took (0: not told) and whether its task waits again.
func (d *Desk) Back(number int, threads, charged, cost float64, waits bool) {
	c := &d.classes[number]
	if b := c.budgets[ofThreads]; b >= 0 {
		d.rights.Done(d.now, b, whole(threads))
	}
	if !waits {
		d.answered(c)
	}
	if c.out--; c.out == 0 {
		c.running = 0
	} else {
		c.running -= threads
	}
	if waits {
		c.waiting++
	}
	if cost > 0 {
		c.counts.Delivered++
		c.credit = min(c.credit+charged-cost, c.rate)
		const recent = 0.1 // some ten answers
		if c.cost == 0 {
			c.cost = cost
		}
		c.cost += recent * (cost - c.cost)
	}
}

// Left takes in that a waiting task got its final answer, or that its client left.
func (d *Desk) Left(number int) {
	d.classes[number].waiting--
	d.answered(&d.classes[number])
}

// answered has a task's place be free.
func (d *Desk) answered(c *class) {
	if b := c.budgets[ofWaiting]; b >= 0 {
		d.rights.Done(d.now, b, 1)
	}
}

// Shadow is a desk that sees the same engines and goes by another plan, to see what that would come to. Of what is the fleet's it takes
// one gateway's equal part.
func (d *Desk) Shadow(now admission.Time, plan *Plan, gateways int) (*Desk, error) {
	own := Plan{Pools: plan.Pools, Classes: slices.Clone(plan.Classes)}
	for i := range own.Classes {
		if c := &own.Classes[i]; c.Fleet {
			n := float64(max(1, gateways))
			c.Fleet, c.Threads, c.Work = false, math.Ceil(c.Threads/n), c.Work/n
			c.Waiting = int(math.Ceil(float64(c.Waiting) / n))
		}
	}
	s, err := New(now, &own, d.cores, d.zones, d.kinds)
	if err != nil {
		return nil, err
	}
	s.Listed(now, admission.Whole, d.engines)
	for n := range s.classes {
		if c := &s.classes[n]; c.inUse {
			c.limit = s.target(c)
		}
	}
	return s, nil
}

// Meet is what two plans both allow: classes that both have by the same name, with the lower limits, the engines of both pools, and refused
// where either refuses. A task that they class differently is of none of its classes: see Agree.
func Meet(a, b *Plan) *Plan {
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
			c.Refuse = "its class is changing"
			c.Pool, c.Fleet = "", false
			out.Classes = append(out.Classes, c)
			continue
		}
		o := &b.Classes[k]
		c.Threads, c.Work, c.Waiting = least(c.Threads, o.Threads), least(c.Work, o.Work), int(least(float64(c.Waiting), float64(o.Waiting)))
		if c.Fleet = c.Fleet || o.Fleet; c.Refuse == "" {
			c.Refuse = o.Refuse
		}
		x, y := pool(a, c.Pool), pool(b, o.Pool)
		zones, noZone := narrow(x.Zones, y.Zones)
		kinds, noKind := narrow(x.Kinds, y.Kinds)
		if noZone || noKind {
			c.Refuse = "its engines are changing"
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
type State struct {
	Name           string
	Retired        bool
	Limit, Running float64 // threads
	Out, Waiting   int
	Counts
}

// States are those of all classes, in the order of their numbers.
func (d *Desk) States() (out []State) {
	for n := 1; n < len(d.classes); n++ {
		if c := &d.classes[n]; c.inUse {
			out = append(out, State{c.Name, c.retired, c.limit, c.running, c.out, c.waiting, c.counts})
		}
	}
	return out
}
