package admission

// sendAttempt is the only place that sends a request to an engine. It holds the rules whatever was decided before, and tells
// whether the request was sent.
func (c *Controller) sendAttempt(i requestIndex, to engineIndex) bool {
	r := c.requests.at(i)
	e := c.engines.at(to)
	if !c.allowsAttempt(r) || !c.allowsEngine(r, e) {
		return false
	}
	c.queues.remove(&c.requests, i)
	if r.attempts > 0 {
		c.retries.countRetry(c.now)
	}
	r.attempts++
	r.attempt = attempt{inFlight: true, engine: to, sentAt: c.now, noticedAt: c.now,
		memoryMB: c.estimates.memory(r), timeoutAt: c.attemptTimeoutAt(r)}
	c.estimates.countSent(r.class)
	if c.slowStart.isWarmingUp(e, c.now) {
		e.slowStartUse.work += c.estimates.slowStartWork(r)
	}
	threads := float64(c.deployment.Classes[r.class].Threads)
	e.limit.take(threads, r.attempt.memoryMB)
	e.load.sentSince += threads
	c.tenants.threads[r.tenant] += threads
	c.setAttemptTerms(r)
	c.host.SendAttempt(r.id, e.Engine, r.attempt.timeoutAt-c.now, c.sendBy(r))
	return true
}

// setAttemptTerms asks for memory where engines heed grants, and names the rank where it has changed.
func (c *Controller) setAttemptTerms(r *activeRequest) {
	grant := 0.0
	if c.deployment.SupportsMemoryGrants && c.deployment.EnginesSwap && r.attempt.memoryMB > 0 {
		// Where an engine swaps, memory granted and not needed costs nothing and too little spills; needs
		// scatter, and three times the mean covers nearly all.
		const grantFactor = 3
		grant = grantFactor * r.attempt.memoryMB
	}
	rank := c.estimates.classes[r.class].rank
	if grant > 0 || rank != r.rank {
		r.rank = rank
		c.host.SetAttemptTerms(r.id, grant, rank)
	}
}

// attemptTimeoutAt is when an attempt sent now ends unanswered. Past the latency objective a request is let run for the part
// of its time that matches what it still earns; an engine that stops work at a time-out is freed for others. This guards
// against overload that feeds itself.
func (c *Controller) attemptTimeoutAt(r *activeRequest) Time {
	if !c.deployment.SupportsCancel {
		return r.deadline
	}
	lateShare := c.deployment.Classes[r.class].LateWeightShare
	return min(r.deadline, max(r.objective, c.now+1)+Time(lateShare*float64(r.deadline-r.objective)))
}

// sendBy is until when a repeat may be sent; 0: no limit. A connection may take longer to come up than engines remember
// what they have to drop.
func (c *Controller) sendBy(r *activeRequest) Time {
	class := &c.deployment.Classes[r.class]
	if r.prior.MayHaveRun && class.Effect == Deduplicated {
		return r.prior.SentAt + class.DedupWindow
	}
	return 0
}

// HandleAttemptEnd takes in how a request's attempt ended, and what the answer told.
func (c *Controller) HandleAttemptEnd(now Time, result AttemptResult) {
	c.now = now
	i, r := c.requests.find(result.Request)
	if r == nil || !r.attempt.inFlight {
		return
	}
	c.returnSlots(r, result.Work)
	c.judgeOutcome(r, result)
	c.recordPriorAttempt(r, result.Outcome)
	c.applyReport(r.attempt.engine, result.Report)
	switch {
	case result.Answered || r.abandoned:
		c.removeRequest(i)
	case result.Outcome == Unsent || now >= c.latestStart(r) || !c.allowsRepeat(r) || c.usedUpAttempts(r):
		c.answerUnserved(i)
	default:
		c.queues.insert(&c.requests, i)
	}
	c.releaseQueued()
}

// returnSlots gives back what an attempt had in use, and counts the time that it took.
func (c *Controller) returnSlots(r *activeRequest, work Time) {
	e := c.engines.at(r.attempt.engine)
	threads := float64(c.deployment.Classes[r.class].Threads)
	r.attempt.inFlight = false
	c.estimates.countRun(r, c.now-r.attempt.sentAt, work)
	e.limit.giveBack(threads, r.attempt.memoryMB)
	c.tenants.threads[r.tenant] -= threads
	if r.attempt.sentAt >= e.load.sentSinceAt {
		e.load.sentSince -= threads
	}
}

// judgeOutcome takes what an outcome tells of its engine and its class.
func (c *Controller) judgeOutcome(r *activeRequest, result AttemptResult) {
	e := c.engines.at(r.attempt.engine)
	switch result.Outcome {
	case Served:
		c.estimates.learnAnswer(r, c.now-r.attempt.sentAt, result.Work, result.Memory)
		c.reportObservation(e, Answered)
	case Unreachable, Reset:
		c.addFailure(e, connectionFailurePoints, Unreached)
	case Errored, Lost: // corrupt answers come from any engine alike, one that is gone fails connections and probes too
		c.addFailure(e, errorPoints*float64(1-r.errors), Erred) // a second one tells of the request: no engine has it
		r.errors++
	case TimedOut, Cancelled:
		if e.limit.bound < 1 { // which has no step left to take
			c.addFailure(e, timeoutPoints, Unanswered)
		}
	case Full:
		c.adjustSlots(e, loadThreshold, Second)
	case Unsent: // tells nothing
	}
}

// recordPriorAttempt keeps that an attempt may have run, and lets its key rest.
func (c *Controller) recordPriorAttempt(r *activeRequest, outcome Outcome) {
	if outcome == Served || outcome.NeverRan() {
		return
	}
	if !r.prior.MayHaveRun {
		e := c.engines.at(r.attempt.engine)
		r.prior = PriorAttempt{MayHaveRun: true, SentAt: r.attempt.sentAt, Zone: e.Zone, Group: e.Group}
	}
	if r.orderKey != "" {
		c.keys.rest(r.orderKey, c.now)
	}
}

// HandleNotice takes in a notice about a running attempt, the number-th of its request from 0.
func (c *Controller) HandleNotice(now Time, id RequestID, number int, kind NoticeKind, value float64) {
	c.now = now
	_, r := c.requests.find(id)
	if r == nil || !r.attempt.inFlight || r.attempts != number+1 {
		return
	}
	r.attempt.noticedAt = now
	if kind == ProgressNotice && !r.abandoned && c.deployment.SupportsCancel &&
		c.deployment.Classes[r.class].Effect == Idempotent && !c.usedUpAttempts(r) && isHopeless(&r.attempt, value, now) {
		c.host.CancelAttempt(id, number)
	}
}

// isHopeless tells of an attempt that by its progress needs nearly all that is left of its timeout, or more. It would end
// in a time-out, and hold room till then. This guards against bad plans, drawn anew at each attempt, engines that slow
// down or swap, and loads in the way. Harm: work done for nothing where it would have sped up again.
func isHopeless(a *attempt, progress float64, now Time) bool {
	const hopelessShare = 0.8 // progress is rough; 1 did as well, 1.5 let more engines jam
	left := float64(now-a.sentAt) * (1 - progress) / max(progress, 0.001)
	return left > hopelessShare*float64(a.timeoutAt-now)
}

// cancelIfSilent cancels an attempt that has given no notice for an interval and a half, where notices come as long as work
// runs: it hangs, or its answer is lost. It may go again as its class allows. Two intervals lost (leerkaart quick 0.735, 0.725).
func (c *Controller) cancelIfSilent(r *activeRequest) {
	d := c.deployment
	if d.NoticeInterval <= 0 || !d.SupportsCancel || 2*(c.now-r.attempt.noticedAt) <= 3*d.NoticeInterval {
		return
	}
	r.attempt.noticedAt = r.attempt.timeoutAt // once is enough
	c.addFailure(c.engines.at(r.attempt.engine), silencePoints, Unanswered)
	c.host.CancelAttempt(r.id, r.attempts-1)
}

// HandleDisconnect ends a request whose client left. An attempt in flight still gets its outcome.
func (c *Controller) HandleDisconnect(now Time, id RequestID) {
	c.now = now
	i, r := c.requests.find(id)
	if r == nil {
		return
	}
	if r.attempt.inFlight {
		r.abandoned = true
		return
	}
	c.removeRequest(i)
	c.releaseQueued()
}

// removeRequest forgets a request that is over and has no attempt in flight, and lets the next of its key have its turn.
func (c *Controller) removeRequest(i requestIndex) {
	r := c.requests.at(i)
	c.queues.remove(&c.requests, i)
	c.requests.removeID(i)
	if r.orderKey != "" {
		if next, ok := c.keys.leave(r.orderKey, i, c.now); ok {
			c.queues.insert(&c.requests, next)
		}
	}
	c.requests.release(i)
}
