package resourcegroup

import (
	"slices"

	"magpiebank/internal/admission"
)

// ReplacePlan puts another plan in force. If it returns an error, a *PlanError, the previous plan stays in force. A class or pool with
// the same name in both plans keeps its state: attempts in flight count against the new limit, and if they exceed it no attempt starts
// until enough of them have ended. A class that the new plan lacks remains until the last of its requests has ended.
func (l *Limiter) ReplacePlan(now admission.Time, plan *Plan) error {
	pools, err := plan.resolvePools(l.zones, l.kinds)
	if err != nil {
		return err
	}
	if err := l.checkBudgets(plan); err != nil {
		return err
	}
	l.plan = plan
	numbers := l.replacePools(pools)
	l.countLiveCores()
	for number := range l.classes {
		l.classes[number].retired = true
	}
	l.classNumbers = nil
	for i := range plan.Classes {
		c := &plan.Classes[i]
		l.classNumbers = append(l.classNumbers, l.replaceClass(now, c, numbers[c.Pool]))
	}
	l.freeUnusedNumbers()
	return nil
}

// replacePools puts the plan's pools in force and returns their numbers by name; the empty name stands for the pool of all engines.
func (l *Limiter) replacePools(pools []pool) (numbers map[string]int) {
	numbers = map[string]int{"": 0}
	for _, replacement := range pools {
		number := slices.IndexFunc(l.pools, func(p pool) bool { return p.inUse && p.Name == replacement.Name })
		if number < 0 {
			number = takeFreeNumber(&l.pools, func(p *pool) bool { return !p.inUse })
		}
		old := &l.pools[number]
		if old.inUse && slices.Equal(old.zoneNumbers, replacement.zoneNumbers) && slices.Equal(old.kindNumbers, replacement.kindNumbers) {
			replacement.maxLiveCores = old.maxLiveCores
		}
		*old = replacement
		numbers[replacement.Name] = number
	}
	return numbers
}

// replaceClass puts a class of the plan in force, with the pool of the given number, and returns the class's number.
func (l *Limiter) replaceClass(now admission.Time, rules *Class, pool int) (number int) {
	number = slices.IndexFunc(l.classes, func(c class) bool { return c.inUse && c.Name == rules.Name })
	if number < 0 {
		number = takeFreeNumber(&l.classes, func(c *class) bool { return !c.inUse })
		added := class{Class: *rules, pool: pool, inUse: true}
		added.creditMillis, added.creditUpdatedAt = rules.WorkMillisPerSecond, now
		added.threadLimit, added.limitChangedAt = l.targetThreadLimit(&added), now
		l.classes[number] = added
	}
	c := &l.classes[number]
	wasUnlimited := c.MaxThreads == 0
	c.Class, c.pool, c.retired, c.budgets = *rules, pool, false, l.budgetIndexes(rules)
	target := l.targetThreadLimit(c)
	if c.threadLimit > target || wasUnlimited {
		c.threadLimit = target
	}
	c.workRate = rules.WorkMillisPerSecond
	if c.budgets[workBudget] >= 0 {
		c.workRate = 0 // updateQuota sets it at the next tick
	}
	c.creditMillis = min(c.creditMillis, rules.WorkMillisPerSecond)
	return number
}

// takeFreeNumber returns the index of a free element of the list, or appends an element and returns its index. Index 0 is never free.
func takeFreeNumber[T any](list *[]T, isFree func(*T) bool) int {
	for number := 1; number < len(*list); number++ {
		if isFree(&(*list)[number]) {
			return number
		}
	}
	var added T
	*list = append(*list, added)
	return len(*list) - 1
}

// freeUnusedNumbers frees the numbers of classes and pools that the plan lacks and no request uses.
func (l *Limiter) freeUnusedNumbers() {
	used := make([]bool, len(l.pools))
	for number := 1; number < len(l.classes); number++ {
		c := &l.classes[number]
		if c.isUnused() {
			*c = class{}
		}
		used[c.pool] = true
	}
	for number := 1; number < len(l.pools); number++ {
		p := &l.pools[number]
		named := slices.ContainsFunc(l.plan.Pools, func(o Pool) bool { return o.Name == p.Name })
		if !named && !used[number] {
			*p = pool{}
		}
	}
}
