package router

import (
	"bytes"
	"sync"
	"time"

	"magpiebank/internal/admission"
)

// engine is one engine's connections. An attempt has one of its own while descriptors allow, else it shares one with as
// many as the site allows; probes have one of their own.
type enginePool struct {
	owner          *owner
	name           admission.EngineID
	address        string
	checkRequested chan struct{} // rung for a probe
	mu             sync.Mutex
	conns          []*engineConn
	retired        bool

	staleIdle time.Duration // the rest that connections are kept to since one broke at a request; 0: none did
	staleAt   time.Time     // and when one last did
}

func newEnginePool(o *owner, name admission.EngineID, address string) *enginePool {
	e := &enginePool{owner: o, name: name, address: address, checkRequested: make(chan struct{}, 1)}
	go (&healthChecker{pool: e}).serve()
	return e
}

func (p *enginePool) dialAddress() string { return p.address }

func (p *enginePool) requestHealthCheck() {
	select {
	case p.checkRequested <- struct{}{}:
	default: // one is under way
	}
}

// retire ends the probes, and the connections once nothing is out on them.
func (p *enginePool) retire() {
	close(p.checkRequested)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = true
	for _, conn := range p.conns {
		conn.setReadDeadline()
	}
}

// stop ends all connections.
func (p *enginePool) close() {
	p.retire()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		if conn.socket != nil {
			conn.socket.Close()
		}
	}
}

// send assigns an attempt to a connection and writes it, if the connection is up; otherwise the connection's goroutine
// writes it once it is. A withdrawn attempt is not sent.
func (p *enginePool) send(a *attempt) {
	if a.state.Load() == attemptWithdrawn {
		return
	}
	p.mu.Lock()
	conn := p.reusableConn(a.requestID)
	if conn == nil || conn.inFlight > 0 && p.owner.usage.engineConnections.Load() < p.owner.usage.engineConnectionLimit {
		conn = p.addConn()
	}
	connected := conn.assign(a)
	p.mu.Unlock()
	if connected {
		conn.writeAttempt(a)
	}
}

// reusableConn returns the connection with the fewest attempts in flight, and of idle ones the last used; nil if none
// can take another attempt. An attempt gets a connection of its own while descriptors allow, because a connection that
// breaks fails all attempts on it. A request goes out once on a connection, so that an answer to an earlier attempt is
// not taken for a later one's. The caller holds mu.
func (p *enginePool) reusableConn(id admission.RequestID) *engineConn {
	var best *engineConn
	maxIdle := p.maxIdle()
	for _, conn := range p.conns {
		if conn.inFlight >= p.owner.network.AttemptsPerConnection || conn.attempts[id] != nil || conn.isUnresponsive() ||
			conn.inFlight == 0 && time.Since(conn.lastUsed) >= maxIdle {
			continue
		}
		if best == nil || conn.inFlight < best.inFlight || conn.inFlight == best.inFlight && conn.lastUsed.After(best.lastUsed) {
			best = conn
		}
	}
	return best
}

// addConn adds a connection and starts the goroutine that dials and reads it. The caller holds mu.
func (p *enginePool) addConn() *engineConn {
	conn := &engineConn{pool: p, attempts: map[admission.RequestID]*attempt{}}
	p.conns = append(p.conns, conn)
	p.owner.usage.openConnections.Add(1)
	p.owner.usage.engineConnections.Add(1)
	go conn.serve()
	return conn
}

// assign adds an attempt to the connection and reports whether the connection is up. If it is not, the attempt waits
// for it with copies of its statement and token, because the client session may reuse their buffer. The caller holds
// the pool's mu.
func (c *engineConn) assign(a *attempt) (connected bool) {
	a.conn, a.sentAt, a.idleBefore = c, time.Now(), 0
	connected = c.socket != nil
	if c.inFlight == 0 {
		c.lastHeard = a.sentAt
		if connected {
			a.idleBefore = a.sentAt.Sub(c.lastUsed)
		}
	}
	c.attempts[a.requestID], c.lastUsed = a, a.sentAt
	c.inFlight++
	if connected {
		c.setReadDeadline()
		return true
	}
	a.statement = bytes.Clone(a.statement)
	a.idempotencyToken = bytes.Clone(a.idempotencyToken)
	c.unsent = append(c.unsent, a)
	return false
}

// fresh is how long a connection may have been idle to be used again: until the engine would close it, or less where
// connections were seen to break at a request after a shorter rest. What was seen counts for half every restTrust.
func (p *enginePool) maxIdle() time.Duration {
	const restTrust = 10 * time.Second // some hundred attempts, of which few are then lost to look again
	most := p.owner.engineIdleTimeout()
	if p.staleIdle > 0 {
		return min(most, p.staleIdle<<min(20, time.Since(p.staleAt)/restTrust))
	}
	return most
}

// stale tells of an attempt at which an idle connection broke: the engine, or what stands between, had dropped it, and
// that says nothing of the engine now. Rests are kept to half of that one from then on.
func (p *enginePool) noteStaleConnection(attempt *attempt) bool {
	const least = 20 * time.Millisecond // of a rest: one as short is no cause
	if attempt.idleBefore < least || time.Since(attempt.sentAt) > p.owner.network.ConnectTimeout {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.staleIdle, p.staleAt = max(least, min(attempt.idleBefore, p.maxIdle())/2), time.Now()
	return true
}

// idleAfter is when a connection without use is closed: before the engine would, so that nothing crosses its close.
func (o *owner) engineIdleTimeout() time.Duration {
	return max(o.network.IdleTimeout-o.network.ConnectTimeout, o.network.IdleTimeout/2)
}
