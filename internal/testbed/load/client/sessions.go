package client

import "time"

type session struct {
	request         int32 // that uses it; -1: idle
	connection      uint32
	connected, used bool
	idleSince       time.Duration
	sequence        uint32 // a slot of the pool or of the held-open sessions with another one is out of date
	open            bool
}

// acquireSession finds a session for an attempt: a pooled one, a new one while the limit allows; otherwise the request
// waits in the queue.
func (c *Clients) acquireSession(now time.Duration, index int32) {
	pending := &c.requests[index]
	pending.queuedSince = now
	if pending.misbehavior != neverSends && !pending.resent { // a request that a close has crossed goes on a new connection
		for len(c.pool) > 0 {
			slot := c.pool[len(c.pool)-1]
			c.pool = c.pool[:len(c.pool)-1]
			if c.isIdle(slot) {
				c.useSession(now, index, Session(slot.index))
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

// evictIdleSession closes the held-open session that has been idle the longest, or a pooled one where there is none. It
// returns false where no session is idle.
func (c *Clients) evictIdleSession() bool {
	for {
		slot, ok := c.heldOpen.pop()
		if !ok {
			break
		}
		if c.isIdle(slot) {
			c.closeSession(Session(slot.index))
			return true
		}
	}
	for position, slot := range c.pool {
		if c.isIdle(slot) {
			c.pool = append(c.pool[:position], c.pool[position+1:]...)
			c.closeSession(Session(slot.index))
			return true
		}
	}
	return false
}

// isIdle tells whether a session has been idle since its slot was stored.
func (c *Clients) isIdle(slot sequencedSlot) bool {
	stored := &c.sessions[slot.index]
	return stored.open && stored.request < 0 && stored.sequence == slot.sequence
}

func (c *Clients) dial(index int32) {
	var number Session
	if free := len(c.freeSessions); free > 0 {
		number, c.freeSessions = c.freeSessions[free-1], c.freeSessions[:free-1]
	} else {
		c.sessions = append(c.sessions, session{})
		number = Session(len(c.sessions) - 1)
	}
	c.sessions[number] = session{request: index, open: true, sequence: c.sessions[number].sequence + 1}
	c.openSessions++
	pending := &c.requests[index]
	pending.state, pending.session = stateDialing, number
	c.setTimer(index, pending.deadline)
	c.transport.Dial(number)
}

// closeSession ends a session from this side.
func (c *Clients) closeSession(number Session) {
	c.removeSession(number)
	c.transport.Close(number)
}

func (c *Clients) removeSession(number Session) {
	c.sessions[number].open = false
	c.sessions[number].request = -1
	c.freeSessions = append(c.freeSessions, number)
	c.openSessions--
}

// hasCapacity tells whether an attempt would find an idle session or could open one.
func (c *Clients) hasCapacity() bool {
	for last := len(c.pool); last > 0 && !c.isIdle(c.pool[last-1]); last-- {
		c.pool = c.pool[:last-1]
	}
	for c.heldOpen.len() > 0 && !c.isIdle(c.heldOpen.first()) {
		c.heldOpen.pop()
	}
	return !c.isAtLimit() || len(c.pool) > 0 || c.heldOpen.len() > 0
}

// serveQueue gives free connections to the requests that wait for one.
func (c *Clients) serveQueue(now time.Duration) {
	for c.queue.len() > 0 && c.hasCapacity() {
		slot, ok := c.queue.pop()
		if !ok {
			return
		}
		pending := &c.requests[slot.index]
		if pending.state != stateQueued || pending.timerSequence != slot.sequence {
			continue // it waits no longer
		}
		pending.queueDelay += now - pending.queuedSince
		c.acquireSession(now, slot.index)
	}
}

// releaseSession draws what becomes of a session whose query is answered: it is pooled, held open or closed.
func (c *Clients) releaseSession(now time.Duration, number Session, outcome Outcome) {
	released := &c.sessions[number]
	released.request, released.used, released.idleSince = -1, true, now
	if outcome == MalformedAnswer {
		c.closeSession(number)
		return
	}
	switch fraction := c.random.Float64(); {
	case fraction < c.behavior.PooledShare:
		c.pool = append(c.pool, sequencedSlot{int32(number), released.sequence})
	case fraction < c.behavior.PooledShare+c.behavior.HeldOpenShare:
		c.heldOpen.push(int32(number), released.sequence)
	default:
		c.closeSession(number)
	}
}

// CloseIdle closes pooled sessions that were idle for too long; a driver calls it some times a second.
func (c *Clients) CloseIdle(now time.Duration) {
	remaining := c.pool[:0]
	for _, slot := range c.pool {
		switch {
		case !c.isIdle(slot):
		case now-c.sessions[slot.index].idleSince >= c.behavior.IdleTimeout:
			c.closeSession(Session(slot.index))
		default:
			remaining = append(remaining, slot)
		}
	}
	c.pool = remaining
}
