package router

import (
	"container/list"
	"iter"
	"sync"
	"time"
)

// connectionLimiter limits the number of client sessions to the file descriptors reserved for clients. When the limit is
// reached, a new session evicts an idle session that has no unread input. Sessions that have not had a command answered yet
// are evicted first, the oldest of them before the others; then the session that has been idle for longest. A session with a
// running query is never evicted.
type connectionLimiter struct {
	mu              sync.Mutex
	limit           int // 0: no limit
	sessions        int // admitted sessions that are neither evicted nor removed
	lingering       int // evicted or rejected connections that have not ended yet; they don't count toward limit
	shuttingDown    bool
	idleNewcomers   list.List // idle sessions that have not had a command answered yet, oldest first
	idleEstablished list.List // the other idle sessions, the one idle for longest first
}

const (
	// firstQueryTimeout is how long a client may be connected before its first command. The protocol requires the gateway to
	// close such a connection within 3 s; the remaining 0.5 s is for the close itself.
	firstQueryTimeout = 2500 * time.Millisecond
	// idleClientTimeout is how long a client may be idle. Clients close connections that have been idle for 4 s, so a
	// connection that is idle for longer is stuck or forgotten.
	idleClientTimeout = 5 * time.Second
	// finalReadWait is how long the gateway still waits for input that may have been sent before a deadline passed or the
	// shutdown began. It must cover the last requests, which clients send until 0.1 s before drainTime is over. Writes get the
	// same extra time after their deadline.
	finalReadWait = 100 * time.Millisecond
	// maxLingering is how many connections may be kept open so that their clients receive the last answer. It is a part of
	// reservedDescriptors. Connections beyond it are closed at once, because their descriptors are needed.
	maxLingering = reservedDescriptors / 3
)

// admit adds a session, and evicts another one if the limit is reached. It reports false, and doesn't add the session, if no
// session can be evicted because each is busy or has unread input.
func (l *connectionLimiter) admit(s *clientSession) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit > 0 && l.sessions >= l.limit {
		evicted := firstWithoutInput(&l.idleNewcomers)
		if evicted == nil {
			evicted = firstWithoutInput(&l.idleEstablished)
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

// evict ends an idle session. It closes the sending direction of the connection, so that the client reads the end of the
// stream. The session still reads what the client sends at the same time, because closing a connection with unread input
// resets it. Beyond maxLingering connections, evict closes the connection at once. The caller holds mu.
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

// beginLinger reports whether one more connection may be kept open so that its client receives the last answer. If it
// returns true, the caller must call endLinger when the connection is closed.
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

// firstWithoutInput returns the first session in a list that has no unread input, or nil if there is none. A client that has
// sent a command must not be evicted because many clients connect at once or because this process was stalled.
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

// markIdle sets the read deadline for a session that waits for a packet. It adds the session to an idle list, unless the
// session is on one already, was evicted, or has buffered input.
func (l *connectionLimiter) markIdle(s *clientSession) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.idleElement == nil && !s.evicted && s.input.Buffered() == 0 {
		l.addIdle(s)
	}
	now := time.Now()
	deadline := now.Add(idleClientTimeout)
	earliestDeadline := now.Add(finalReadWait)
	if !s.answeredOnce {
		deadline = s.startedAt.Add(firstQueryTimeout)
		if deadline.Before(earliestDeadline) { // this process may have been slow to read the login, so the client gets more time
			deadline = earliestDeadline
		}
	}
	if l.shuttingDown && earliestDeadline.Before(deadline) {
		deadline = earliestDeadline
	}
	s.socket.SetReadDeadline(deadline)
}

// markBusy removes a session from its idle list because its wait for a packet is over. It reports false if the session was
// evicted during the wait.
func (l *connectionLimiter) markBusy(s *clientSession) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeIdle(s)
	return !s.evicted
}

// remove removes a session that has ended from the counts and from its idle list.
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

// addIdle appends a session to the idle list that it belongs to. The caller holds mu.
func (l *connectionLimiter) addIdle(s *clientSession) {
	s.idleList = &l.idleNewcomers
	if s.answeredOnce {
		s.idleList = &l.idleEstablished
	}
	s.idleElement = s.idleList.PushBack(s)
}

// removeIdle removes a session from its idle list, if it is on one. The caller holds mu.
func (l *connectionLimiter) removeIdle(s *clientSession) {
	if s.idleElement != nil {
		s.idleList.Remove(s.idleElement)
		s.idleElement = nil
	}
}

// beginShutdown makes idle sessions end once finalReadWait is over. The other sessions end after they have answered their
// requests.
func (l *connectionLimiter) beginShutdown() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shuttingDown = true
	for _, idle := range []*list.List{&l.idleNewcomers, &l.idleEstablished} {
		for s := range sessionsOf(idle) {
			s.socket.SetReadDeadline(time.Now().Add(finalReadWait))
		}
	}
}

func (l *connectionLimiter) isShuttingDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shuttingDown
}

// isEmpty reports whether all sessions have ended and no connection is kept open for its last answer.
func (l *connectionLimiter) isEmpty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sessions == 0 && l.lingering == 0
}
