package admission

// pool is a part of the fleet that an operator keeps for some classes; the first is all of it. Each has its own state: one
// that is crowded or gone turns no request away elsewhere.
type pool struct {
	minPrice   float64 // least price of a request taken on, as a part of the best class's
	starving   bool    // a queued request has used up much of its time, since minPrice last moved
	hasWarm    bool    // an engine of it is live and not warming up, as of the last tick
	shortageAt Time    // when a queued request was last given up for want of room
}

// adjustMinPrice sets the least price, in weight for work, at which requests are taken on: up while a queued one has
// used up half of its useful time, else down. By weight alone classes of little weight would starve behind heavy ones.
// Harm: where estimates are off beyond what answers correct, a class is shed before others.
func (p *pool) adjustMinPrice() {
	const rise, fall = 1.06, 0.97     // a tick: doubled in a quarter of a second, halved in twice that
	const lowest, highest = 0.02, 1.5 // of the best class's price, whose usual requests pass all the same
	if p.starving {
		p.starving = false
		p.minPrice = min(highest, max(lowest, p.minPrice*rise))
		return
	}
	p.minPrice *= fall
	if p.minPrice < lowest {
		p.minPrice = 0 // nobody waits long: what earns next to nothing for its work passes, too
	}
}

// poolSet holds the pools, and asks the operator's policy which requests and engines are of which.
type poolSet struct {
	list   []pool
	policy Policy // nil: there are no policy classes
}

func newPoolSet(now Time) poolSet { return poolSet{list: []pool{{shortageAt: now - Second}}} }

// numberOf is the number of a request's pool.
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

// of is a request's pool.
func (s *poolSet) of(request *activeRequest, now Time) *pool {
	number := s.numberOf(request, now)
	return &s.list[number]
}

// contains tells whether an engine belongs to a pool.
func (s *poolSet) contains(number int, engine *engineState) bool {
	return number == 0 || s.policy.InPool(number, &engine.Endpoint)
}

// shortOfRoom tells whether a request of an engine's pools was given up for want of room within the last second.
func (s *poolSet) shortOfRoom(engine *engineState, now Time) bool {
	for number := range s.list {
		if now-s.list[number].shortageAt < Second && s.contains(number, engine) {
			return true
		}
	}
	return false
}

// HandleRequest takes a request from a client. From here on it is owed one final answer.
func (c *Controller) HandleRequest(now Time, arrival Request) {
	c.now = now
	c.probes.earn()
	c.peerMessages.earn()
	c.retries.countRequest(now)
	index, work := c.addRequest(arrival)
	request := c.requests.at(index)
	if !c.allowsRepeat(request) {
		c.rejectOrFail(index) // a process before this one had sent it
		return
	}
	if c.deployment.Classes[request.class].Ordered && arrival.Key != "" {
		request.orderKey = arrival.Key
		if !c.keys.join(request.orderKey, index) {
			return // it waits behind its key, in no queue yet
		}
	}
	c.queues.insert(&c.requests, index)
	c.probeLongestUnseen()
	if p := c.pools.of(request, now); c.isUnderpriced(request, work, p) {
		p.shortageAt = now
		c.rejectOrFail(index)
		return
	}
	c.releaseQueued()
	c.shedForHeadroom()
	if request.queued && now >= c.latestStart(request) {
		c.rejectOrFail(index) // it came too late to wait for the next tick
	}
}

// addRequest puts a request among those in hand, and returns its expected work beside its place.
func (c *Controller) addRequest(arrival Request) (index requestIndex, work float64) {
	tenant := arrival.Tenant
	if tenant < 0 || tenant >= len(c.tenants.threads) {
		tenant = 0
	}
	class := &c.deployment.Classes[arrival.Class]
	work = c.estimates.expectWork(arrival.Class, arrival.Estimate.Work)
	objective := c.now + class.LatencyObjective + Time(class.ObjectivePerWork*work/float64(class.Threads))
	c.sequence++
	index = c.requests.add(activeRequest{id: arrival.ID, class: arrival.Class, tenant: tenant, tables: arrival.TableGroup,
		arrivedAt: c.now, deadline: arrival.Deadline, objective: min(arrival.Deadline, objective), estimate: arrival.Estimate,
		sequence: c.sequence, rank: initialRank, attempt: attempt{engine: noEngine}, prior: arrival.Estimate.Prior})
	return index, work
}

// isUnderpriced tells whether a request earns too little for its work, while others like it wait long. What earns the best
// class's usual price always passes.
func (c *Controller) isUnderpriced(request *activeRequest, work float64, p *pool) bool {
	const usualShare = 0.99 // a tolerance: requests of the best class's usual price are never underpriced
	price := c.estimates.price(request.class, work)
	return price < usualShare*c.estimates.bestPrice && price < p.minPrice*c.estimates.bestPrice
}

// shedForHeadroom gives up the queued request that would leave last, by weight and arrival, while nearly all that the
// gateway can have in hand is taken. This guards against shedding by chance: a request that finds no place,
// whatever its weight, does not come here. Harm: cuts short a queue that would have been served soon, where places are few.
func (c *Controller) shedForHeadroom() {
	const headroomPart = 8 // of the places: for what comes while answers are on their way, or in a stall of 50 ms
	most := c.deployment.MaxRequests - c.deployment.MaxRequests/headroomPart
	if c.deployment.MaxRequests <= 0 {
		return
	}
	for n := len(c.classOrder) - 1; n >= 0 && len(c.requests.byID) > most; n-- {
		for _, tenant := range c.tenants.order {
			queue := *c.queues.of(tenant, c.classOrder[n])
			if len(queue) == 0 {
				continue
			}
			last := queue[len(queue)-1]
			c.pools.of(c.requests.at(last), c.now).shortageAt = c.now
			c.rejectOrFail(last)
			return
		}
	}
}

// latestStart is until when holding a request has a useful chance: started then, it is answered by its latency objective
// if it runs as its class usually does. It is always answered before its deadline.
func (c *Controller) latestStart(request *activeRequest) Time {
	const slack, maxShare = 1.5, 2.0 / 3 // usual runs kept free, and at most this part of the time to the objective
	free := min(slack*c.estimates.usualRunTime(request), maxShare*float64(request.objective-request.arrivedAt))
	return min(request.objective-Time(free), request.deadline-2*tickInterval)
}

// rejectOrFail gives a request its final answer without a result: a rejection where a retry by the client is harmless, else
// a failure. It is the only place in this package that does; package router also rejects requests that never come here.
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

// shedIfLate gives up a request that has waited too long, and notes whether its pool is short of room.
func (c *Controller) shedIfLate(index requestIndex) {
	request := c.requests.at(index)
	latest := c.latestStart(request)
	p := c.pools.of(request, c.now)
	heldByPolicyOnly := request.estimate.PolicyClass != 0 && !c.allowsAttempt(request)
	if !p.starving {
		p.starving = request.queued && c.now-request.arrivedAt > (latest-request.arrivedAt)/2 && c.allowsAttempt(request)
	}
	if c.now < latest {
		return
	}
	if !heldByPolicyOnly {
		p.shortageAt = c.now
	}
	c.rejectOrFail(index)
}
