package router

import (
	"container/list"
	"iter"
	"sync"
	"time"
)

// connectionLimiter limits the number of client sessions to the clients' part of the descriptors. A newcomer that finds the
// limit reached takes the place of an idle session of which no input waits to be read: of those that have asked for nothing
// yet the oldest, else the one that has been idle for longest. A session with a query is never evicted.
type connectionLimiter struct {
	mu            sync.Mutex
	limit         int // 0: no limit
	sessions      int // that run and are not evicted
	lingering     int // connections that are about to be closed, beyond the limit
	closing       bool
	idleNewcomers list.List // idle sessions without an answer to any command yet, the oldest first
	idleKnown     list.List // the other idle sessions, the one that has been idle for longest first
}

const (
	// firstQueryTimeout is how long a client may be connected without a command. The protocol owes it a close within 3 s; the
	// rest is for the close.
	firstQueryTimeout = 2500 * time.Millisecond
	// idleClientTimeout is how long a client may be idle. Clients close connections that were idle for 4 s, so one that is
	// there for longer is stuck or forgotten.
	idleClientTimeout = 5 * time.Second
	// finalReadWait is how long input is still awaited that was sent before a deadline or a stop. It must cover the last
	// requests, which clients send until 0.1 s before drainTime is over.
	finalReadWait = 100 * time.Millisecond
	// maxLingering is how many connections may be kept open for their last answers, a part of reservedDescriptors. Beyond it
	// they are closed at once, because their descriptors are wanted.
	maxLingering = reservedDescriptors / 3
)

// admit counts a session in, and evicts another one if it must. It reports false if all are busy with queries.
func (l *connectionLimiter) admit(s *clientSession) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit > 0 && l.sessions >= l.limit {
		evicted := firstWithoutInput(&l.idleNewcomers)
		if evicted == nil {
			evicted = firstWithoutInput(&l.idleKnown)
		}
		if evicted == nil {
			return false
		}
		l.evict(evicted)
	}
	l.sessions++
	l.addIdle(s)
	return true
}

// evict ends an idle session. Its client sees the end of what it reads. What the client sends at that very moment is still
// read by the session, because a close over unread bytes would reset the connection. The caller holds mu.
func (l *connectionLimiter) evict(s *clientSession) {
	l.removeIdle(s)
	s.evicted = true
	l.sessions--
	l.lingering++
	if l.lingering > maxLingering {
		s.socket.Close()
		return
	}
	closeWrite(s.socket)
	s.socket.SetReadDeadline(expiredDeadline)
}

// beginLinger reports whether one more connection may be kept open for its last answer. If so, endLinger follows.
func (l *connectionLimiter) beginLinger() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lingering >= maxLingering {
		return false
	}
	l.lingering++
	return true
}

func (l *connectionLimiter) endLinger() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lingering--
}

// firstWithoutInput returns the first session of a list of which no input waits to be read; nil if there is none. A burst of
// newcomers, or a stall of this process, must not cost a client its place that has sent a command.
func firstWithoutInput(sessions *list.List) *clientSession {
	for s := range sessionsOf(sessions) {
		if !hasInput(s.socket) {
			return s
		}
	}
	return nil
}

// sessionsOf iterates over a list of sessions.
func sessionsOf(sessions *list.List) iter.Seq[*clientSession] {
	return func(yield func(*clientSession) bool) {
		for e := sessions.Front(); e != nil; e = e.Next() {
			if s, ok := e.Value.(*clientSession); ok && !yield(s) {
				return
			}
		}
	}
}

// markIdle lists a session as idle while it waits for a packet, and sets the read deadline of that wait.
func (l *connectionLimiter) markIdle(s *clientSession) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.idleElement == nil && !s.evicted && s.input.Buffered() == 0 {
		l.addIdle(s)
	}
	now := time.Now()
	deadline := now.Add(idleClientTimeout)
	soonest := now.Add(finalReadWait)
	if !s.answeredOnce {
		deadline = s.startedAt.Add(firstQueryTimeout)
		if deadline.Before(soonest) { // this process was slow to read the login, not its client to send it
			deadline = soonest
		}
	}
	if l.closing && soonest.Before(deadline) {
		deadline = soonest
	}
	s.socket.SetReadDeadline(deadline)
}

// markBusy takes a session that reads a packet off the idle lists, and reports whether it was not evicted before.
func (l *connectionLimiter) markBusy(s *clientSession) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeIdle(s)
	return !s.evicted
}

// remove counts a session out that has ended.
func (l *connectionLimiter) remove(s *clientSession) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeIdle(s)
	if s.evicted {
		l.lingering--
	} else {
		l.sessions--
	}
}

// addIdle adds a session to its idle list. The caller holds mu.
func (l *connectionLimiter) addIdle(s *clientSession) {
	s.idleList = &l.idleNewcomers
	if s.answeredOnce {
		s.idleList = &l.idleKnown
	}
	s.idleElement = s.idleList.PushBack(s)
}

// removeIdle takes a session off its idle list, if it is on one. The caller holds mu.
func (l *connectionLimiter) removeIdle(s *clientSession) {
	if s.idleElement != nil {
		s.idleList.Remove(s.idleElement)
		s.idleElement = nil
	}
}

// beginShutdown ends the sessions: idle ones once finalReadWait is over, the others with their answers.
func (l *connectionLimiter) beginShutdown() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = true
	for _, idle := range []*list.List{&l.idleNewcomers, &l.idleKnown} {
		for s := range sessionsOf(idle) {
			s.socket.SetReadDeadline(time.Now().Add(finalReadWait))
		}
	}
}

func (l *connectionLimiter) isShuttingDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closing
}

// isEmpty tells whether no session runs any more, and no connection is kept open for its last answer.
func (l *connectionLimiter) isEmpty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sessions == 0 && l.lingering == 0
}
