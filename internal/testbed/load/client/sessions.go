package client

import "time"

// session is an entry in the table of sessions.
type session struct {
	request      int32  // index of the request that uses the session; -1: the session is idle
	connectionID uint32 // id that the server gave to the connection
	// connected is set once the session is logged in, and hasAnswered once it has answered a query.
	connected, hasAnswered bool
	idleSince              time.Duration
	sequence               uint32 // incremented at each use; indexes in pool and heldOpen with another number are out of date
	open                   bool
}

// acquireSession gets a session for an attempt: a pooled one, or a new one if the limit allows it or an idle session
// can be closed. Otherwise the request waits in the queue.
func (c *Clients) acquireSession(now time.Duration, index int32) {
	pending := &c.requests[index]
	pending.queuedSince = now
	// Silent clients, and requests that are sent again after a close race, don't use pooled sessions.
	if pending.misbehavior != neverSends && !pending.resent {
		for len(c.pool) > 0 {
			entry := c.pool[len(c.pool)-1]
			c.pool = c.pool[:len(c.pool)-1]
			if c.isIdle(entry) {
				c.useSession(now, index, SessionID(entry.index))
				return
			}
		}
	}
	if c.isAtLimit() && !c.evictIdleSession() {
		pending.state = stateQueued
		c.setTimer(index, pending.deadline)
		c.queue.push(index, pending.timerSequence)
		return
	}
	c.dial(index)
}

func (c *Clients) isAtLimit() bool {
	return c.behavior.Connections > 0 && c.openSessions >= c.behavior.Connections
}

// evictIdleSession closes the held-open session that has been idle the longest. If there is none, it closes the pooled
// session that has been idle the longest. It returns false if no session is idle.
func (c *Clients) evictIdleSession() bool {
	for {
		entry, ok := c.heldOpen.pop()
		if !ok {
			break
		}
		if c.isIdle(entry) {
			c.closeSession(SessionID(entry.index))
			return true
		}
	}
	for position, entry := range c.pool {
		if c.isIdle(entry) {
			c.pool = append(c.pool[:position], c.pool[position+1:]...)
			c.closeSession(SessionID(entry.index))
			return true
		}
	}
	return false
}

// isIdle reports whether a session has been idle since its index was stored.
func (c *Clients) isIdle(entry sequencedIndex) bool {
	stored := &c.sessions[entry.index]
	return stored.open && stored.request < 0 && stored.sequence == entry.sequence
}

// dial opens a new session for a request.
func (c *Clients) dial(index int32) {
	var sessionID SessionID
	if free := len(c.freeSessions); free > 0 {
		sessionID, c.freeSessions = c.freeSessions[free-1], c.freeSessions[:free-1]
	} else {
		c.sessions = append(c.sessions, session{})
		sessionID = SessionID(len(c.sessions) - 1)
	}
	c.sessions[sessionID] = session{request: index, open: true, sequence: c.sessions[sessionID].sequence + 1}
	c.openSessions++
	pending := &c.requests[index]
	pending.state, pending.session = stateDialing, sessionID
	c.setTimer(index, pending.deadline)
	c.transport.Dial(sessionID)
}

// closeSession closes a session from the client's side.
func (c *Clients) closeSession(sessionID SessionID) {
	c.removeSession(sessionID)
	c.transport.Close(sessionID)
}

// removeSession frees the entry of a session that is closed.
func (c *Clients) removeSession(sessionID SessionID) {
	c.sessions[sessionID].open = false
	c.sessions[sessionID].request = -1
	c.freeSessions = append(c.freeSessions, sessionID)
	c.openSessions--
}

// hasCapacity reports whether an attempt could use an idle session or open a new one.
func (c *Clients) hasCapacity() bool {
	for last := len(c.pool); last > 0 && !c.isIdle(c.pool[last-1]); last-- {
		c.pool = c.pool[:last-1]
	}
	for c.heldOpen.len() > 0 && !c.isIdle(c.heldOpen.first()) {
		c.heldOpen.pop()
	}
	return !c.isAtLimit() || len(c.pool) > 0 || c.heldOpen.len() > 0
}

// serveQueue gives free connections to the requests in the queue, until no connection is free.
func (c *Clients) serveQueue(now time.Duration) {
	for c.queue.len() > 0 && c.hasCapacity() {
		entry, ok := c.queue.pop()
		if !ok {
			return
		}
		pending := &c.requests[entry.index]
		if pending.state != stateQueued || pending.timerSequence != entry.sequence {
			continue // the request no longer waits
		}
		pending.queueDelay += now - pending.queuedSince
		c.acquireSession(now, entry.index)
	}
}

// releaseSession draws whether a session whose query was answered is pooled, held open or closed. After a malformed
// answer, the session is always closed.
func (c *Clients) releaseSession(now time.Duration, sessionID SessionID, outcome Outcome) {
	released := &c.sessions[sessionID]
	released.request, released.hasAnswered, released.idleSince = -1, true, now
	if outcome == MalformedAnswer {
		c.closeSession(sessionID)
		return
	}
	switch fraction := c.random.Float64(); {
	case fraction < c.behavior.PooledShare:
		c.pool = append(c.pool, sequencedIndex{int32(sessionID), released.sequence})
	case fraction < c.behavior.PooledShare+c.behavior.HeldOpenShare:
		c.heldOpen.push(int32(sessionID), released.sequence)
	default:
		c.closeSession(sessionID)
	}
}

// CloseIdle closes the pooled sessions that have been idle for IdleTimeout. The driver calls it several times a second.
func (c *Clients) CloseIdle(now time.Duration) {
	remaining := c.pool[:0]
	for _, entry := range c.pool {
		switch {
		case !c.isIdle(entry):
		case now-c.sessions[entry.index].idleSince >= c.behavior.IdleTimeout:
			c.closeSession(SessionID(entry.index))
		default:
			remaining = append(remaining, entry)
		}
	}
	c.pool = remaining
}
