package client

import "time"

// HandleConnected starts the attempt that waits for a session which is logged in now; connection is its id at the
// server.
func (c *Clients) HandleConnected(now time.Duration, number Session, connection uint32) {
	connected := &c.sessions[number]
	if !connected.open || connected.request < 0 {
		return
	}
	connected.connected, connected.connection = true, connection
	c.useSession(now, connected.request, number)
}

// HandleSent records when an attempt's last byte was written, as that may be later than it was decided.
func (c *Clients) HandleSent(at time.Duration, number Session, id uint64) {
	written := &c.sessions[number]
	if !written.open || written.request < 0 {
		return
	}
	pending := &c.requests[written.request]
	if pending.id == id && pending.state == stateSent {
		pending.generatorDelay += max(0, at-pending.sentAt)
		pending.sentAt = at
	}
}

// HandleAnswer ends the attempt in flight on a session: its answer is complete or can't be read. retryAfter is the time
// after which the server wants a retry; 0: it named none.
func (c *Clients) HandleAnswer(now time.Duration, number Session, id uint64, outcome Outcome, retryAfter time.Duration) {
	answered := &c.sessions[number]
	if !answered.open || answered.request < 0 {
		return
	}
	index := answered.request
	pending := &c.requests[index]
	// After KILL QUERY the request has its outcome already, so the answer is ignored.
	if pending.id != id || pending.state != stateSent {
		return
	}
	c.releaseSession(now, number, outcome)
	c.endAttempt(now, index, outcome, retryAfter)
	c.serveQueue(now)
}

// HandleClosed ends a session that the other side has closed, or that never connected (refused).
func (c *Clients) HandleClosed(now time.Duration, number Session, refused bool) {
	closed := &c.sessions[number]
	if !closed.open {
		return
	}
	index, used := closed.request, closed.used
	c.removeSession(number)
	if index >= 0 {
		c.handleSessionLost(now, index, used, refused)
	}
	c.serveQueue(now)
}

// handleSessionLost decides what becomes of the request whose session was closed; used tells whether the session had
// carried another query before.
func (c *Clients) handleSessionLost(now time.Duration, index int32, used, refused bool) {
	pending := &c.requests[index]
	pending.session = -1
	switch pending.state {
	case stateSilent:
		c.finish(now, index, ClientLeft)
	case stateKilled:
		c.freeRequestSlot(index)
	case stateDialing:
		c.endAttempt(now, index, NoConnection, 0)
	case stateSent:
		if used && !pending.resent && now-pending.sentAt <= closeRace {
			pending.resent = true
			c.acquireSession(now, index)
			return
		}
		outcome := ConnectionLost
		if refused {
			outcome = NoConnection
		}
		c.endAttempt(now, index, outcome, 0)
	case stateFree, stateQueued, stateBackoff: // these hold no session
	}
}

// endAttempt decides, at the end of an attempt, whether the request is retried.
func (c *Clients) endAttempt(now time.Duration, index int32, outcome Outcome, retryAfter time.Duration) {
	pending := &c.requests[index]
	pending.session = -1
	if !c.mayRetry(now, pending, outcome) {
		c.finish(now, index, outcome)
		return
	}
	backoff := c.drawBackoff(pending.attempts, retryAfter)
	if now+backoff >= pending.deadline { // the client would not wait for the answer
		c.finish(now, index, outcome)
		return
	}
	c.retryBudget.recordRetry(now)
	pending.state, pending.resent = stateBackoff, false
	c.setTimer(index, now+backoff)
}

func (c *Clients) mayRetry(now time.Duration, pending *pendingRequest, outcome Outcome) bool {
	retryable := outcome == Rejected || outcome == NoConnection ||
		(outcome == Failed || outcome == ConnectionLost || outcome == MalformedAnswer) && c.classes[pending.request.Class].Idempotent
	return retryable && pending.attempts < c.behavior.MaxAttempts && pending.misbehavior == wellBehaved &&
		c.retryBudget.allows(now, c.behavior.RetryRatio, c.behavior.RetryBurst)
}

// drawBackoff returns the doubled and jittered backoff after so many attempts, or the Retry-After time where it is
// longer and this client honors it.
func (c *Clients) drawBackoff(attempts int, retryAfter time.Duration) time.Duration {
	backoff := c.behavior.Backoff << min(attempts-1, maxBackoffDoublings)
	if c.behavior.MaxBackoff > 0 {
		backoff = min(backoff, c.behavior.MaxBackoff)
	}
	backoff -= time.Duration(c.behavior.Jitter * c.random.Float64() * float64(backoff))
	if retryAfter > 0 && c.random.Float64() < c.behavior.HonorRetryAfterProbability {
		backoff = max(backoff, retryAfter)
	}
	return backoff
}

// HandleTimer acts on a timer that has come; one that was replaced meanwhile is ignored.
func (c *Clients) HandleTimer(now time.Duration, index int32, sequence uint32) {
	pending := &c.requests[index]
	if pending.timerSequence != sequence || pending.state == stateFree {
		return
	}
	switch pending.state {
	case stateFree:
	case stateQueued:
		pending.queueDelay += now - pending.queuedSince
		c.finish(now, index, NotSent)
	case stateBackoff:
		c.startAttempt(now, index)
	case stateDialing:
		c.abandonSession(now, index, TimedOut)
	case stateSilent:
		c.abandonSession(now, index, ClientLeft)
	case stateSent:
		if pending.misbehavior == leavesEarly {
			c.abandonSession(now, index, ClientLeft)
			return
		}
		c.transport.KillQuery(c.sessions[pending.session].connection)
		c.reportOutcome(now, pending, TimedOut)
		pending.state = stateKilled
		c.setTimer(index, now+killGrace)
	case stateKilled:
		number := pending.session
		c.freeRequestSlot(index)
		c.closeSession(number)
		c.serveQueue(now)
	}
}

// abandonSession closes a request's session and gives the request its outcome.
func (c *Clients) abandonSession(now time.Duration, index int32, outcome Outcome) {
	pending := &c.requests[index]
	c.closeSession(pending.session)
	pending.session = -1
	c.finish(now, index, outcome)
	c.serveQueue(now)
}

// reportOutcome reports a request's one outcome.
func (c *Clients) reportOutcome(now time.Duration, pending *pendingRequest, outcome Outcome) {
	c.unfinished--
	c.report = Report{Request: &pending.request, Outcome: outcome, FinishedAt: now, GeneratorDelay: pending.generatorDelay,
		QueueDelay: pending.queueDelay, SentAt: pending.sentAt, Attempts: pending.attempts,
		Misbehaving: pending.misbehavior != wellBehaved}
	c.transport.Finished(&c.report)
}

// finish reports a request's outcome and frees its slot.
func (c *Clients) finish(now time.Duration, index int32, outcome Outcome) {
	pending := &c.requests[index]
	c.reportOutcome(now, pending, outcome)
	if number := pending.session; number >= 0 && outcome == NotSent { // the session connected too late
		pending.session = -1
		c.closeSession(number)
	}
	c.freeRequestSlot(index)
}

func (c *Clients) freeRequestSlot(index int32) {
	pending := &c.requests[index]
	pending.state, pending.session = stateFree, -1
	pending.timerSequence++
	pending.nextFree, c.freeRequest = c.freeRequest, index
}

// Stop gives every request that has no outcome the one that it would have if its attempt timeout ended now.
func (c *Clients) Stop(now time.Duration) {
	for position := range c.requests {
		index := int32(position)
		switch c.requests[index].state {
		case stateQueued:
			c.finish(now, index, NotSent)
		case stateDialing, stateSent, stateBackoff:
			c.stopRequest(now, index, TimedOut)
		case stateSilent:
			c.stopRequest(now, index, ClientLeft)
		case stateFree, stateKilled: // these have their outcome
		}
	}
}

// stopRequest gives a request its outcome and closes the session that it may hold.
func (c *Clients) stopRequest(now time.Duration, index int32, outcome Outcome) {
	pending := &c.requests[index]
	number := pending.session
	c.reportOutcome(now, pending, outcome)
	c.freeRequestSlot(index)
	if number >= 0 {
		c.closeSession(number)
	}
}
