package admission

// pool is the state of a set of engines that an operator reserves for some classes; the pool at index 0 is the whole cluster.
// Each pool has its own state, so a pool that is crowded or has no engines left doesn't cause rejections in other pools.
type pool struct {
	minPrice   float64 // lowest price at which requests are admitted, as a share of the best class's price
	starving   bool    // since the last adjustment of minPrice, a queued request has used up half of its useful time
	hasWarm    bool    // as of the last tick, the pool had a live engine that wasn't warming up
	shortageAt Time    // when a queued request was last abandoned for lack of capacity
}

// adjustMinPrice adjusts the lowest price, in weight per work, at which requests are admitted. It raises the price while a queued
// request has used up half of its useful time, and lowers it otherwise. If weight alone decided, classes of low weight would
// starve behind heavy ones. Drawback: if the estimates of a class are wrong by more than its correction factor makes up for, that
// class is shed before others.
func (p *pool) adjustMinPrice() {
	const rise, fall = 1.06, 0.97     // factors per tick: the price doubles in a quarter of a second and halves in twice that
	const lowest, highest = 0.02, 1.5 // shares of the best class's price; usual requests of the best class always pass
	if p.starving {
		p.starving = false
		p.minPrice = min(highest, max(lowest, p.minPrice*rise))
		return
	}
	p.minPrice *= fall
	if p.minPrice < lowest {
		p.minPrice = 0 // no request waits long, so even requests of very low price pass
	}
}

// poolSet holds the pools. The operator's policy determines to which pools requests and engines belong.
type poolSet struct {
	list   []pool
	policy Policy // nil: there are no policy classes
}

func newPoolSet(now Time) poolSet { return poolSet{list: []pool{{shortageAt: now - Second}}} }

// numberOf returns the number of a request's pool, and creates the pool's state if needed.
func (s *poolSet) numberOf(request *activeRequest, now Time) int {
	if request.estimate.PolicyClass == 0 {
		return 0
	}
	number := s.policy.Pool(request.estimate.PolicyClass)
	for len(s.list) <= number {
		s.list = append(s.list, pool{shortageAt: now - Second})
	}
	return number
}

// forRequest returns a request's pool.
func (s *poolSet) forRequest(request *activeRequest, now Time) *pool {
	number := s.numberOf(request, now)
	return &s.list[number]
}

// contains reports whether an engine belongs to a pool.
func (s *poolSet) contains(number int, engine *engineState) bool {
	return number == 0 || s.policy.InPool(number, &engine.Endpoint)
}

// hadRecentShortage reports whether, within the last second, a request of a pool that contains the engine was abandoned for lack of
// capacity.
func (s *poolSet) hadRecentShortage(engine *engineState, now Time) bool {
	for number := range s.list {
		if now-s.list[number].shortageAt < Second && s.contains(number, engine) {
			return true
		}
	}
	return false
}

// HandleRequest processes the arrival of a request. From now on the Controller must see to it that the client gets exactly one
// final answer.
func (c *Controller) HandleRequest(now Time, arrival Request) {
	c.now = now
	c.probes.earn()
	c.peerMessages.earn()
	c.retries.countRequest(now)
	index, work := c.addRequest(arrival)
	request := c.requests.at(index)
	if !c.allowsRepeat(request) {
		c.rejectOrFail(index) // an earlier process sent this request, and its class allows no repeat
		return
	}
	if c.deployment.Classes[request.class].Ordered && arrival.Key != "" {
		request.orderKey = arrival.Key
		if !c.keys.join(request.orderKey, index) {
			return // it waits for an earlier request of its key and is not queued yet
		}
	}
	c.queues.insert(&c.requests, index)
	c.probeStaleEngines()
	if p := c.pools.forRequest(request, now); c.isUnderpriced(request, work, p) {
		p.shortageAt = now
		c.rejectOrFail(index)
		return
	}
	c.releaseQueued()
	c.shedForHeadroom()
	if request.queued && now >= c.latestStart(request) {
		c.rejectOrFail(index) // it arrived too late to wait for the next tick
	}
}

// addRequest adds a request to the outstanding ones, and returns its index and its expected work.
func (c *Controller) addRequest(arrival Request) (index requestIndex, work float64) {
	tenant := arrival.Tenant
	if tenant < 0 || tenant >= len(c.tenants.threads) {
		tenant = 0
	}
	class := &c.deployment.Classes[arrival.Class]
	work = c.estimates.expectWork(arrival.Class, arrival.Estimate.Work)
	objective := c.now + class.LatencyObjective + Time(class.ObjectivePerWork*work/float64(class.Threads))
	c.sequence++
	index = c.requests.add(activeRequest{id: arrival.ID, class: arrival.Class, tenant: tenant, tableGroup: arrival.TableGroup,
		arrivedAt: c.now, deadline: arrival.Deadline, objective: min(arrival.Deadline, objective), estimate: arrival.Estimate,
		sequence: c.sequence, rank: initialRank, attempt: attempt{engine: noEngine}, prior: arrival.Estimate.Prior})
	return index, work
}

// isUnderpriced reports whether a request's price is too low while other requests of the pool wait long. A request at the usual
// price of the best class always passes.
func (c *Controller) isUnderpriced(request *activeRequest, work float64, p *pool) bool {
	const usualShare = 0.99 // tolerance, so that requests at the best class's usual price are never underpriced
	price := c.estimates.price(request.class, work)
	return price < usualShare*c.estimates.bestPrice && price < p.minPrice*c.estimates.bestPrice
}

// shedForHeadroom abandons the queued request that would be released last, by weight and arrival, if nearly all of the gateway's
// MaxRequests entries are in use. Otherwise chance would determine what is shed: a request that finds all entries in use never
// reaches this package, whatever its weight. Drawback: where entries are few, this shortens a queue that would soon have been
// served.
func (c *Controller) shedForHeadroom() {
	const headroomDivisor = 8 // an eighth stays free for requests that arrive while answers are being sent, or in a stall of 50 ms
	maxActive := c.deployment.MaxRequests - c.deployment.MaxRequests/headroomDivisor
	if c.deployment.MaxRequests <= 0 {
		return
	}
	for n := len(c.classOrder) - 1; n >= 0 && len(c.requests.byID) > maxActive; n-- {
		for _, tenant := range c.tenants.order {
			queue := *c.queues.queue(tenant, c.classOrder[n])
			if len(queue) == 0 {
				continue
			}
			last := queue[len(queue)-1]
			c.pools.forRequest(c.requests.at(last), c.now).shortageAt = c.now
			c.rejectOrFail(last)
			return
		}
	}
}

// latestStart returns the time until which it is useful to keep a request queued. A request that starts by then and runs as long
// as its class usually does is answered by its latency objective. The returned time is early enough to answer the
// request before its deadline.
func (c *Controller) latestStart(request *activeRequest) Time {
	const slack, maxShare = 1.5, 2.0 / 3 // reserved: this many usual run times, but at most this share of the time to the objective
	reserved := min(slack*c.estimates.usualRunTime(request), maxShare*float64(request.objective-request.arrivedAt))
	return min(request.objective-Time(reserved), request.deadline-2*tickInterval)
}

// rejectOrFail sends a request's final answer without a result: a rejection if a retry by the client is harmless, else a failure.
// It is the only function of this package that does so; package router also rejects requests that never reach this package.
func (c *Controller) rejectOrFail(index requestIndex) {
	request := c.requests.at(index)
	if request.attempt.inFlight || request.abandoned {
		return
	}
	class := &c.deployment.Classes[request.class]
	if !request.prior.MayHaveRun || class.RepeatEffect == Idempotent || class.RepeatEffect == Deduplicated && class.DedupScope == AllEngines {
		c.host.RejectRequest(request.id, c.deployment.RetryAfter)
	} else {
		c.host.FailRequest(request.id)
	}
	c.removeRequest(index)
}

// shedIfLate abandons a request that has waited too long, and records whether its pool lacks capacity.
func (c *Controller) shedIfLate(index requestIndex) {
	request := c.requests.at(index)
	latest := c.latestStart(request)
	p := c.pools.forRequest(request, c.now)
	heldBack := request.estimate.PolicyClass != 0 && !c.allowsAttempt(request)
	if !p.starving {
		p.starving = request.queued && c.now-request.arrivedAt > (latest-request.arrivedAt)/2 && c.allowsAttempt(request)
	}
	if c.now < latest {
		return
	}
	if !heldBack {
		p.shortageAt = c.now
	}
	c.rejectOrFail(index)
}
