package admission

// sendAttempt is the only place that sends a request to an engine. It checks all rules again, whatever was decided
// before, and tells whether the request was sent.
func (c *Controller) sendAttempt(index requestIndex, to engineIndex) bool {
	request := c.requests.at(index)
	engine := c.engines.at(to)
	if !c.allowsAttempt(request) || !c.allowsEngine(request, engine) {
		return false
	}
	c.queues.remove(&c.requests, index)
	if request.attempts > 0 {
		c.retries.countRetry(c.now)
	}
	request.attempts++
	request.attempt = attempt{inFlight: true, engine: to, sentAt: c.now, noticedAt: c.now,
		memoryMB: c.estimates.memory(request), timeoutAt: c.attemptTimeoutAt(request)}
	c.estimates.countSent(request.class)
	if c.slowStart.isWarmingUp(engine, c.now) {
		engine.slowStartUse.work += c.estimates.slowStartWork(request)
	}
	threads := float64(c.deployment.Classes[request.class].Threads)
	engine.limit.take(threads, request.attempt.memoryMB)
	engine.load.sentSince += threads
	c.tenants.threads[request.tenant] += threads
	c.setAttemptTerms(request)
	c.host.SendAttempt(request.id, engine.Engine, request.attempt.timeoutAt-c.now, c.sendBy(request))
	return true
}

// setAttemptTerms asks for memory where engines heed grants, and names the rank where it has changed.
func (c *Controller) setAttemptTerms(request *activeRequest) {
	grant := 0.0
	if c.deployment.SupportsMemoryGrants && c.deployment.EnginesSwap && request.attempt.memoryMB > 0 {
		// Where an engine swaps, memory that is granted and not needed costs nothing, and too small a grant spills. Needs
		// scatter, and three times the mean covers nearly all of them.
		const grantFactor = 3
		grant = grantFactor * request.attempt.memoryMB
	}
	rank := c.estimates.classes[request.class].rank
	if grant > 0 || rank != request.rank {
		request.rank = rank
		c.host.SetAttemptOptions(request.id, grant, rank)
	}
}

// attemptTimeoutAt is when an attempt sent now ends unanswered. Past the latency objective it may run for the part
// of the time to the deadline that matches the weight of a late answer, because an engine that stops work at a time-out is
// then free for other requests. This guards against overload that feeds itself.
func (c *Controller) attemptTimeoutAt(request *activeRequest) Time {
	if !c.deployment.SupportsCancel {
		return request.deadline
	}
	lateShare := c.deployment.Classes[request.class].LateWeightShare
	return min(request.deadline, max(request.objective, c.now+1)+Time(lateShare*float64(request.deadline-request.objective)))
}

// sendBy is until when a repeat may be sent; 0: no limit. The host needs it because a connection may take longer
// to come up than engines remember the requests whose repeats they drop.
func (c *Controller) sendBy(request *activeRequest) Time {
	class := &c.deployment.Classes[request.class]
	if request.prior.MayHaveRun && class.RepeatEffect == Deduplicated {
		return request.prior.SentAt + class.DedupWindow
	}
	return 0
}

// HandleAttemptEnd takes in how a request's attempt ended, and what the answer told.
func (c *Controller) HandleAttemptEnd(now Time, result AttemptResult) {
	c.now = now
	index, request := c.requests.find(result.Request)
	if request == nil || !request.attempt.inFlight {
		return
	}
	c.returnSlots(request, result.Work)
	c.judgeOutcome(request, result)
	c.recordPriorAttempt(request, result.Outcome)
	c.applyReport(request.attempt.engine, result.Report)
	switch {
	case result.Answered || request.abandoned:
		c.removeRequest(index)
	case result.Outcome == Unsent || now >= c.latestStart(request) || !c.allowsRepeat(request) || c.usedUpAttempts(request):
		c.rejectOrFail(index)
	default:
		c.queues.insert(&c.requests, index)
	}
	c.releaseQueued()
}

// returnSlots gives back what an attempt had in use, and counts the time that it took.
func (c *Controller) returnSlots(request *activeRequest, work Time) {
	engine := c.engines.at(request.attempt.engine)
	threads := float64(c.deployment.Classes[request.class].Threads)
	request.attempt.inFlight = false
	c.estimates.countRun(request, c.now-request.attempt.sentAt, work)
	engine.limit.giveBack(threads, request.attempt.memoryMB)
	c.tenants.threads[request.tenant] -= threads
	if request.attempt.sentAt >= engine.load.sentSinceAt {
		engine.load.sentSince -= threads
	}
}

// judgeOutcome takes what an outcome tells of its engine and its class.
func (c *Controller) judgeOutcome(request *activeRequest, result AttemptResult) {
	engine := c.engines.at(request.attempt.engine)
	switch result.Outcome {
	case Served:
		c.estimates.learnAnswer(request, c.now-request.attempt.sentAt, result.Work, result.Memory)
		c.reportObservation(engine, Answered)
	case Unreachable, Reset:
		c.addFailure(engine, connectionFailurePoints, Unreached)
	case Errored, AnswerLost:
		// Few points: any engine sends a corrupt answer now and then, and one that is gone fails connections and probes
		// too. A second error counts nothing against the engine, because two engines that fail a request show that the
		// request is at fault.
		c.addFailure(engine, errorPoints*float64(1-request.errors), Erred)
		request.errors++
	case TimedOut, Cancelled:
		if engine.limit.bound < 1 { // above it, the bound steps down instead
			c.addFailure(engine, timeoutPoints, Unanswered)
		}
	case EngineFull:
		c.adjustSlots(engine, loadThreshold, Second)
	case Unsent: // tells nothing of the engine
	}
}

// recordPriorAttempt keeps that an attempt may have run, and begins its key's cooldown.
func (c *Controller) recordPriorAttempt(request *activeRequest, outcome Outcome) {
	if outcome == Served || outcome.NeverRan() {
		return
	}
	if !request.prior.MayHaveRun {
		engine := c.engines.at(request.attempt.engine)
		request.prior = PriorAttempt{MayHaveRun: true, SentAt: request.attempt.sentAt, Zone: engine.Zone, Group: engine.Group}
	}
	if request.orderKey != "" {
		c.keys.startCooldown(request.orderKey, c.now)
	}
}

// HandleNotice takes in a notice about a running attempt, the number-th of its request from 0.
func (c *Controller) HandleNotice(now Time, id RequestID, number int, kind NoticeKind, value float64) {
	c.now = now
	_, request := c.requests.find(id)
	if request == nil || !request.attempt.inFlight || request.attempts != number+1 {
		return
	}
	request.attempt.noticedAt = now
	if kind == ProgressNotice && !request.abandoned && c.deployment.SupportsCancel &&
		c.deployment.Classes[request.class].RepeatEffect == Idempotent && !c.usedUpAttempts(request) && isHopeless(&request.attempt, value, now) {
		c.host.CancelAttempt(id, number)
	}
}

// isHopeless tells whether an attempt needs, by its progress, nearly all that is left of its timeout, or more. Such an
// attempt would end in a time-out, and hold slots until then. Cancelling it guards against bad query plans (each attempt
// gets a new one), engines that slow down or swap, and loads that block its tables. Harm: work is lost where the attempt would
// have sped up again.
func isHopeless(a *attempt, progress float64, now Time) bool {
	const hopelessShare = 0.8 // progress is rough; 1 scored the same, 1.5 let more engines jam
	left := float64(now-a.sentAt) * (1 - progress) / max(progress, 0.001)
	return left > hopelessShare*float64(a.timeoutAt-now)
}

// cancelIfSilent cancels an attempt that has given no notice for an interval and a half, where notices come as long as work
// runs: it hangs, or its answer is lost. The request is retried as its class allows. Waiting for two intervals scored lower
// (leerkaart, quick: 0.725 against 0.735).
func (c *Controller) cancelIfSilent(request *activeRequest) {
	d := c.deployment
	if d.NoticeInterval <= 0 || !d.SupportsCancel || 2*(c.now-request.attempt.noticedAt) <= 3*d.NoticeInterval {
		return
	}
	request.attempt.noticedAt = request.attempt.timeoutAt // so that it is cancelled once
	c.addFailure(c.engines.at(request.attempt.engine), silencePoints, Unanswered)
	c.host.CancelAttempt(request.id, request.attempts-1)
}

// HandleDisconnect ends a request whose client left. An attempt in flight still gets its outcome.
func (c *Controller) HandleDisconnect(now Time, id RequestID) {
	c.now = now
	index, request := c.requests.find(id)
	if request == nil {
		return
	}
	if request.attempt.inFlight {
		request.abandoned = true
		return
	}
	c.removeRequest(index)
	c.releaseQueued()
}

// removeRequest forgets a request that is over and has no attempt in flight, and lets the next of its key have its turn.
func (c *Controller) removeRequest(index requestIndex) {
	request := c.requests.at(index)
	c.queues.remove(&c.requests, index)
	c.requests.removeID(index)
	if request.orderKey != "" {
		if nextIndex, ok := c.keys.leave(request.orderKey, index, c.now); ok {
			c.queues.insert(&c.requests, nextIndex)
		}
	}
	c.requests.release(index)
}
