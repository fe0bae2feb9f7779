package admission

// sendAttempt is the only function that sends a request to an engine. It checks all rules again, whatever the caller decided
// before, and reports whether it sent the request.
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
	engine.concurrency.acquire(threads, request.attempt.memoryMB)
	engine.load.sentSince += threads
	c.tenants.threads[request.tenant] += threads
	c.setAttemptOptions(request)
	c.host.SendAttempt(request.id, engine.Engine, request.attempt.timeoutAt-c.now, c.sendBy(request))
	return true
}

// setAttemptOptions sets a memory grant if engines obey grants, and the rank if it has changed.
func (c *Controller) setAttemptOptions(request *activeRequest) {
	grant := 0.0
	if c.deployment.SupportsMemoryGrants && c.deployment.EnginesSwap && request.attempt.memoryMB > 0 {
		// On an engine that swaps, granted memory that isn't needed costs nothing, and a grant that is too small makes the request
		// spill. Memory needs vary widely; three times the mean covers nearly all of them.
		const grantFactor = 3
		grant = grantFactor * request.attempt.memoryMB
	}
	rank := c.estimates.classes[request.class].rank
	if grant > 0 || rank != request.rank {
		request.rank = rank
		c.host.SetAttemptOptions(request.id, grant, rank)
	}
}

// attemptTimeoutAt returns when an attempt that is sent now times out. This is the deadline if attempts can't be cancelled.
// Otherwise the attempt may continue after the latency objective for a share of the time to the deadline; the share equals the
// weight share of a late answer. An engine that stops working on a timed-out attempt is free for other requests, so the timeout
// prevents overload that sustains itself.
func (c *Controller) attemptTimeoutAt(request *activeRequest) Time {
	if !c.deployment.SupportsCancel {
		return request.deadline
	}
	lateShare := c.deployment.Classes[request.class].LateWeightShare
	return min(request.deadline, max(request.objective, c.now+1)+Time(lateShare*float64(request.deadline-request.objective)))
}

// sendBy returns the time until which a repeat may be sent; 0: no limit. The host needs it because opening a connection can take
// longer than engines remember the requests whose repeats they drop.
func (c *Controller) sendBy(request *activeRequest) Time {
	class := &c.deployment.Classes[request.class]
	if request.prior.MayHaveRun && class.RepeatEffect == Deduplicated {
		return request.prior.SentAt + class.DedupWindow
	}
	return 0
}

// HandleAttemptEnd processes the end of a request's attempt and the values that the answer reported.
func (c *Controller) HandleAttemptEnd(now Time, result AttemptResult) {
	c.now = now
	index, request := c.requests.find(result.Request)
	if request == nil || !request.attempt.inFlight {
		return
	}
	c.releaseSlots(request, result.Work)
	c.applyOutcome(request, result)
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

// releaseSlots releases the slots and memory of an ended attempt, and records its run time.
func (c *Controller) releaseSlots(request *activeRequest, work Time) {
	engine := c.engines.at(request.attempt.engine)
	threads := float64(c.deployment.Classes[request.class].Threads)
	request.attempt.inFlight = false
	c.estimates.countRun(request, c.now-request.attempt.sentAt, work)
	engine.concurrency.release(threads, request.attempt.memoryMB)
	c.tenants.threads[request.tenant] -= threads
	if request.attempt.sentAt >= engine.load.sentSinceAt {
		engine.load.sentSince -= threads
	}
}

// applyOutcome updates the state of the engine and of the request's class from the outcome of an attempt.
func (c *Controller) applyOutcome(request *activeRequest, result AttemptResult) {
	engine := c.engines.at(request.attempt.engine)
	switch result.Outcome {
	case Served:
		c.estimates.learnAnswer(request, c.now-request.attempt.sentAt, result.Work, result.Memory)
		c.reportObservation(engine, Answered)
	case Unreachable, Reset:
		c.addFailure(engine, connectionFailurePoints, Unreached)
	case Errored, AnswerLost:
		// The score for an error is low because any engine sends a corrupt answer now and then, and on an engine that is down,
		// connections and probes fail too. A request's second error adds nothing to the engine's score: if a request fails on two
		// engines, the request is at fault.
		c.addFailure(engine, errorPoints*float64(1-request.errors), Erred)
		request.errors++
	case TimedOut, Cancelled:
		if engine.concurrency.limit < 1 { // at a limit of 1 or more, load signals step the limit down instead
			c.addFailure(engine, timeoutPoints, Unanswered)
		}
	case EngineFull:
		c.adjustSlots(engine, loadThreshold, Second)
	case Unsent: // the outcome has no information about the engine
	}
}

// recordPriorAttempt records that an attempt may have run, and starts the cooldown of the request's key.
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

// HandleNotice processes a notice about a running attempt; number is the attempt's index within the request, from 0.
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

// isHopeless reports whether an attempt, judging by its progress, needs more than hopelessShare of the time left until its timeout.
// Such an attempt would time out, and would hold slots until then. Cancelling it guards against bad query plans (each attempt
// gets a new plan), engines that slow down or swap, and loads that block the request's tables. Drawback: work is lost if the
// attempt would have sped up again.
func isHopeless(a *attempt, progress float64, now Time) bool {
	const hopelessShare = 0.8 // below 1 because progress is imprecise; 1 scored the same, at 1.5 more engines became overloaded
	remaining := float64(now-a.sentAt) * (1 - progress) / max(progress, 0.001)
	return remaining > hopelessShare*float64(a.timeoutAt-now)
}

// cancelIfSilent cancels an attempt that has sent no notice for one and a half intervals, if engines send notices for as long as
// work runs: the attempt hangs, or its answer is lost. The request is retried as its class allows. Waiting for two intervals
// scored lower: 0.725 against 0.735 in the quick run of leerkaart.
func (c *Controller) cancelIfSilent(request *activeRequest) {
	d := c.deployment
	if d.NoticeInterval <= 0 || !d.SupportsCancel || 2*(c.now-request.attempt.noticedAt) <= 3*d.NoticeInterval {
		return
	}
	request.attempt.noticedAt = request.attempt.timeoutAt // prevents a second cancellation
	c.addFailure(c.engines.at(request.attempt.engine), silencePoints, Unanswered)
	c.host.CancelAttempt(request.id, request.attempts-1)
}

// HandleDisconnect ends a request whose client has disconnected. If an attempt is in flight, the request stays until the
// attempt ends.
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

// removeRequest removes a request that is over and has no attempt in flight, and queues the next request of its key.
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
