package admission

// slowStart limits what an engine that has just started is sent. All gateways together may send it a multiple of its present
// capacity; only a lower bound of that capacity is known.
type slowStart struct {
	deployment *Deployment
}

// slowStartUse is the work that this gateway has sent to an engine that is warming up, in one span of the clock.
type slowStartUse struct {
	span Time
	work float64
}

// isWarmingUp reports whether an engine is still warming up.
func (s *slowStart) isWarmingUp(engine *engineState, now Time) bool {
	d := s.deployment
	return d.WarmUpOverloadTime > 0 && engine.StartedAt > 0 && now < engine.StartedAt+d.WarmUpTime
}

// spanOf returns the number of the clock span that contains a time. A span is as long as the time in which an engine that is
// warming up fails under overload.
func (s *slowStart) spanOf(now Time) Time { return now / s.deployment.WarmUpOverloadTime }

// spanBudget returns the work that all gateways together may send in one span to an engine that is warming up. It is half of the
// work that the engine can take, because any window of a span's length can overlap two spans.
func (s *slowStart) spanBudget(engine *engineState) float64 {
	const safetyFactor = 0.5
	d := s.deployment
	return safetyFactor * d.WarmUpOverloadFactor * d.WarmUpCapacityShare * engine.cores * float64(d.WarmUpOverloadTime)
}

// shares returns the number of shares that a span's budget is divided into, and whether this gateway has one of them (ours). There
// are as many shares as usual requests fit into the budget, but at most one per gateway, and the shares rotate among the gateways.
// The deployment and the clock alone determine which gateways have a share. If no engine is warm, every other span belongs to a
// single gateway, so that requests that need more than a share can be sent.
func (s *slowStart) shares(engine *engineState, span Time, usualRequests int, anyWarm bool) (shares Time, ours bool) {
	gateways := s.deployment.Gateways
	rotation := span
	shares = Time(max(1, min(gateways, usualRequests)))
	if !anyWarm {
		rotation = span / 2
		if span%2 == 0 {
			shares = 1
		}
	}
	position := ((rotation+Time(engine.hash))*shares + Time(s.deployment.GatewayIndex)) % Time(gateways)
	return shares, position < shares
}

// startSpan resets the use if it belongs to another span.
func (q *slowStartUse) startSpan(span Time) {
	if q.span != span {
		*q = slowStartUse{span: span}
	}
}

// hasSlowStartCapacity reports whether a request may be sent to an engine that is warming up. If gateways share the engine's budget
// by messages, the host decides; otherwise the gateways take turns (slowStart.shares). Requests that need more than a share go to
// warm engines. Drawback: classes far heavier than the usual one wait for warm engines.
func (c *Controller) hasSlowStartCapacity(engine *engineState, request *activeRequest) bool {
	class := &c.deployment.Classes[request.class]
	// Until the work of a class has been learned, the latency objective is added to the estimate, which is rather too much.
	work := c.estimates.slowStartWork(request) +
		float64(class.LatencyObjective)*float64(class.Threads)/(c.estimates.classes[request.class].requests+1)
	budget := c.slowStart.spanBudget(engine)
	if has, shared := c.host.HasSlowStartCapacity(engine.Engine, work/budget); shared {
		return has
	}
	span := c.slowStart.spanOf(c.now)
	anyWarm := c.pools.forRequest(request, c.now).hasWarm
	shares, ours := c.slowStart.shares(engine, span, int(budget/c.estimates.expectedWork), anyWarm)
	if !ours {
		return false
	}
	engine.slowStartUse.startSpan(span)
	return engine.slowStartUse.work+work <= budget/float64(shares)
}

// hasWarmEngine reports whether an engine of a pool is live and not warming up.
func (c *Controller) hasWarmEngine(pool int) bool {
	for i := range c.engines.items {
		engine := &c.engines.items[i]
		if engine.State == Live && !c.slowStart.isWarmingUp(engine, c.now) && c.pools.contains(pool, engine) {
			return true
		}
	}
	return false
}
