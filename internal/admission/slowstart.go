package admission

// slowStart is what an engine that has just started may be sent. All gateways together may send a multiple of its
// present capacity, of which only the least is known.
type slowStart struct {
	deployment *Deployment
}

// slowStartUse is the work that this gateway has sent to a cold engine in one span of the clock.
type slowStartUse struct {
	span Time
	work float64
}

// isWarmingUp tells whether an engine is still warming up.
func (s *slowStart) isWarmingUp(e *engine, now Time) bool {
	d := s.deployment
	return d.WarmUpOverloadTime > 0 && e.Since > 0 && now < e.Since+d.WarmUpTime
}

// spanOf is the number of the span of the clock, each as long as a cold engine takes to fail under overload.
func (s *slowStart) spanOf(now Time) Time { return now / s.deployment.WarmUpOverloadTime }

// spanBudget is the work that all gateways together may send to a cold engine in one span: half of what it can take, so that two
// spans together stay within that.
func (s *slowStart) spanBudget(e *engine) float64 {
	const careful = 0.5
	d := s.deployment
	return careful * d.WarmUpOverloadFactor * d.WarmUpCapacityShare * e.cores * float64(d.WarmUpOverloadTime)
}

// parts is into how many parts the budget of a span is divided, and whether this gateway has one of them. Gateways take
// turns by their numbers, so many at a time that each one's part holds a usual request; the deployment and the clock alone
// say whose turn it is. Where no engine is warm, every other span is one gateway's alone, for what needs more than a part.
func (s *slowStart) parts(e *engine, span Time, usualRequests int, anyWarm bool) (parts Time, ours bool) {
	gateways := s.deployment.Gateways
	turn := span
	parts = Time(max(1, min(gateways, usualRequests)))
	if !anyWarm {
		turn = span / 2
		if span%2 == 0 {
			parts = 1
		}
	}
	place := ((turn+Time(e.hash))*parts + Time(s.deployment.GatewayIndex)) % Time(gateways)
	return parts, place < parts
}

// startSpan forgets what was sent in an earlier span.
func (q *slowStartUse) startSpan(span Time) {
	if q.span != span {
		*q = slowStartUse{span: span}
	}
}

// hasSlowStartCapacity tells whether a cold engine can be sent a request. Where gateways share its budget by messages, the host
// knows; else they take turns (slowStart.parts). What needs more than a part goes to warm engines.
// Harm: classes far heavier than usual ones wait for warm engines.
func (c *Controller) hasSlowStartCapacity(e *engine, r *activeRequest) bool {
	class := &c.deployment.Classes[r.class]
	// The work of a class is taken for rather too much until it is learned.
	work := c.estimates.slowStartWork(r) +
		float64(class.LatencyObjective)*float64(class.Threads)/(c.estimates.classes[r.class].requests+1)
	budget := c.slowStart.spanBudget(e)
	if has, shared := c.host.HasSlowStartCapacity(e.Engine, work/budget); shared {
		return has
	}
	span := c.slowStart.spanOf(c.now)
	anyWarm := c.pools.of(r, c.now).hasWarm
	parts, ours := c.slowStart.parts(e, span, int(budget/c.estimates.expectedWork), anyWarm)
	if !ours {
		return false
	}
	e.slowStartUse.startSpan(span)
	return e.slowStartUse.work+work <= budget/float64(parts)
}

// hasWarmEngine tells whether an engine of a pool is live and not cold.
func (c *Controller) hasWarmEngine(pool int) bool {
	for i := range c.engines.items {
		e := &c.engines.items[i]
		if e.State == Live && !c.slowStart.isWarmingUp(e, c.now) && c.pools.contains(pool, e) {
			return true
		}
	}
	return false
}
