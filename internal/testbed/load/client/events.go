package client

import "time"

// HandleConnected continues the attempt that waits for a session to connect and log in. connectionID is the id that the
// server gave to the connection.
func (c *Clients) HandleConnected(now time.Duration, sessionID SessionID, connectionID uint32) {
	connected := &c.sessions[sessionID]
	if !connected.open || connected.request < 0 {
		return
	}
	connected.connected, connected.connectionID = true, connectionID
	c.useSession(now, connected.request, sessionID)
}

// HandleSent records when the last byte of an attempt was written. That may be later than the decision to send it.
func (c *Clients) HandleSent(at time.Duration, sessionID SessionID, id uint64) {
	written := &c.sessions[sessionID]
	if !written.open || written.request < 0 {
		return
	}
	pending := &c.requests[written.request]
	if pending.id == id && pending.state == stateSent {
		pending.generatorDelay += max(0, at-pending.sentAt)
		pending.sentAt = at
	}
}

// HandleAnswer ends the attempt in flight on a session, whose answer is complete or can't be parsed. retryAfter is the
// time after which the server accepts a retry; 0: the server named none.
func (c *Clients) HandleAnswer(now time.Duration, sessionID SessionID, id uint64, outcome Outcome, retryAfter time.Duration) {
	answered := &c.sessions[sessionID]
	if !answered.open || answered.request < 0 {
		return
	}
	index := answered.request
	pending := &c.requests[index]
	// An answer after KILL QUERY is ignored, because the request already has its outcome.
	if pending.id != id || pending.state != stateSent {
		return
	}
	c.releaseSession(now, sessionID, outcome)
	c.endAttempt(now, index, outcome, retryAfter)
	c.serveQueue(now)
}

// HandleClosed ends a session that the server closed, or that failed to connect (refused).
func (c *Clients) HandleClosed(now time.Duration, sessionID SessionID, refused bool) {
	closed := &c.sessions[sessionID]
	if !closed.open {
		return
	}
	index, hasAnswered := closed.request, closed.hasAnswered
	c.removeSession(sessionID)
	if index >= 0 {
		c.handleSessionLost(now, index, hasAnswered, refused)
	}
	c.serveQueue(now)
}

// handleSessionLost continues or finishes a request whose session was closed. hasAnswered reports whether the session
// had answered an earlier query.
func (c *Clients) handleSessionLost(now time.Duration, index int32, hasAnswered, refused bool) {
	pending := &c.requests[index]
	pending.session = -1
	switch pending.state {
	case stateSilent:
		c.finish(now, index, ClientLeft)
	case stateKilled:
		c.releaseRequest(index)
	case stateDialing:
		c.endAttempt(now, index, NoConnection, 0)
	case stateSent:
		if hasAnswered && !pending.resent && now-pending.sentAt <= closeRaceWindow {
			pending.resent = true
			c.acquireSession(now, index)
			return
		}
		outcome := ConnectionLost
		if refused {
			outcome = NoConnection
		}
		c.endAttempt(now, index, outcome, 0)
	case stateFree, stateQueued, stateBackoff: // these requests hold no session
	}
}

// endAttempt ends an attempt: it finishes the request or schedules a retry.
func (c *Clients) endAttempt(now time.Duration, index int32, outcome Outcome, retryAfter time.Duration) {
	pending := &c.requests[index]
	pending.session = -1
	if !c.mayRetry(now, pending, outcome) {
		c.finish(now, index, outcome)
		return
	}
	backoff := c.drawBackoff(pending.attempts, retryAfter)
	if now+backoff >= pending.deadline { // the client would no longer wait for the answer
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

// drawBackoff returns the backoff after the given number of attempts, which doubles with each attempt and is shortened
// by the jitter. If the Retry-After time is longer and this client honors it, drawBackoff returns that time.
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

// HandleTimer handles a timer that is due. It ignores timers that have been replaced.
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
		c.transport.KillQuery(c.sessions[pending.session].connectionID)
		c.reportOutcome(now, pending, TimedOut)
		pending.state = stateKilled
		c.setTimer(index, now+killGrace)
	case stateKilled:
		sessionID := pending.session
		c.releaseRequest(index)
		c.closeSession(sessionID)
		c.serveQueue(now)
	}
}

// abandonSession closes the session of a request and finishes the request with an outcome.
func (c *Clients) abandonSession(now time.Duration, index int32, outcome Outcome) {
	pending := &c.requests[index]
	c.closeSession(pending.session)
	pending.session = -1
	c.finish(now, index, outcome)
	c.serveQueue(now)
}

// reportOutcome reports the outcome of a request, which happens once for each request.
func (c *Clients) reportOutcome(now time.Duration, pending *pendingRequest, outcome Outcome) {
	c.unfinished--
	c.report = Report{Request: &pending.request, Outcome: outcome, FinishedAt: now, GeneratorDelay: pending.generatorDelay,
		QueueDelay: pending.queueDelay, SentAt: pending.sentAt, Attempts: pending.attempts,
		Misbehaving: pending.misbehavior != wellBehaved}
	c.transport.Finished(&c.report)
}

// finish reports the outcome of a request and frees the request's entry.
func (c *Clients) finish(now time.Duration, index int32, outcome Outcome) {
	pending := &c.requests[index]
	c.reportOutcome(now, pending, outcome)
	if sessionID := pending.session; sessionID >= 0 && outcome == NotSent { // the session was available only after the deadline
		pending.session = -1
		c.closeSession(sessionID)
	}
	c.releaseRequest(index)
}

// releaseRequest returns the entry of a request to the free list.
func (c *Clients) releaseRequest(index int32) {
	pending := &c.requests[index]
	pending.state, pending.session = stateFree, -1
	pending.timerSequence++
	pending.nextFree, c.freeRequestHead = c.freeRequestHead, index
}

// Stop finishes every request that has no outcome, as if its deadline passed now.
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
		case stateFree, stateKilled: // no request, or its outcome has been reported
		}
	}
}

// stopRequest finishes a request with an outcome and closes its session, if it has one.
func (c *Clients) stopRequest(now time.Duration, index int32, outcome Outcome) {
	pending := &c.requests[index]
	sessionID := pending.session
	c.reportOutcome(now, pending, outcome)
	c.releaseRequest(index)
	if sessionID >= 0 {
		c.closeSession(sessionID)
	}
}
