package admission

// slowStart limits what an engine that has just started is sent. All gateways together may send a multiple of its
// present capacity, of which only a lower bound is known.
type slowStart struct {
	deployment *Deployment
}

// slowStartUse is the work that this gateway has sent to an engine that warms up, in one span of the clock.
type slowStartUse struct {
	span Time
	work float64
}

// isWarmingUp tells whether an engine is still warming up.
func (s *slowStart) isWarmingUp(engine *engineState, now Time) bool {
	d := s.deployment
	return d.WarmUpOverloadTime > 0 && engine.StartedAt > 0 && now < engine.StartedAt+d.WarmUpTime
}

// spanOf is the number of a span of the clock. Each is as long as an engine that warms up takes to fail under overload.
func (s *slowStart) spanOf(now Time) Time { return now / s.deployment.WarmUpOverloadTime }

// spanBudget is the work that all gateways together may send to an engine that warms up in one span: half of what it can take,
// because any window of a span's length meets two spans.
func (s *slowStart) spanBudget(engine *engineState) float64 {
	const careful = 0.5
	d := s.deployment
	return careful * d.WarmUpOverloadFactor * d.WarmUpCapacityShare * engine.cores * float64(d.WarmUpOverloadTime)
}

// parts is into how many parts the budget of a span is divided, and whether this gateway has one of them. Gateways take
// turns by their numbers, so many at a time that each one's part holds a usual request; the deployment and the clock alone
// say whose turn it is. Where no engine is warm, every other span is one gateway's alone, for what needs more than a part.
func (s *slowStart) parts(engine *engineState, span Time, usualRequests int, anyWarm bool) (parts Time, ours bool) {
	gateways := s.deployment.Gateways
	turn := span
	parts = Time(max(1, min(gateways, usualRequests)))
	if !anyWarm {
		turn = span / 2
		if span%2 == 0 {
			parts = 1
		}
	}
	place := ((turn+Time(engine.hash))*parts + Time(s.deployment.GatewayIndex)) % Time(gateways)
	return parts, place < parts
}

// startSpan forgets what was sent in an earlier span.
func (q *slowStartUse) startSpan(span Time) {
	if q.span != span {
		*q = slowStartUse{span: span}
	}
}

// hasSlowStartCapacity tells whether an engine that warms up can be sent a request. Where gateways share its budget by
// messages, the host knows; else they take turns (slowStart.parts). What needs more than a part goes to warm engines.
// Harm: classes far heavier than usual ones wait for warm engines.
func (c *Controller) hasSlowStartCapacity(engine *engineState, request *activeRequest) bool {
	class := &c.deployment.Classes[request.class]
	// Until answers have told the work of a class, its latency objective counts beside the estimate, which is rather too much.
	work := c.estimates.slowStartWork(request) +
		float64(class.LatencyObjective)*float64(class.Threads)/(c.estimates.classes[request.class].requests+1)
	budget := c.slowStart.spanBudget(engine)
	if has, shared := c.host.HasSlowStartCapacity(engine.Engine, work/budget); shared {
		return has
	}
	span := c.slowStart.spanOf(c.now)
	anyWarm := c.pools.of(request, c.now).hasWarm
	parts, ours := c.slowStart.parts(engine, span, int(budget/c.estimates.expectedWork), anyWarm)
	if !ours {
		return false
	}
	engine.slowStartUse.startSpan(span)
	return engine.slowStartUse.work+work <= budget/float64(parts)
}

// hasWarmEngine tells whether an engine of a pool is live and not warming up.
func (c *Controller) hasWarmEngine(pool int) bool {
	for i := range c.engines.items {
		engine := &c.engines.items[i]
		if engine.State == Live && !c.slowStart.isWarmingUp(engine, c.now) && c.pools.contains(pool, engine) {
			return true
		}
	}
	return false
}
