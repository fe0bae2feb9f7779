package router

import (
	"bytes"
	"sync"
	"time"

	"magpiebank/internal/admission"
)

// enginePool holds the connections to one engine and assigns attempts to them. An attempt has a connection of its own
// while descriptors allow; otherwise it shares one with as many as the deployment allows. Health checks have a connection
// of their own.
type enginePool struct {
	owner          *owner
	name           admission.EngineID
	address        string
	checkRequested chan struct{} // holds a value while a health check is wanted; closed once the engine is retired

	mu      sync.Mutex
	conns   []*engineConn
	retired bool
	// staleIdle is how long connections may be idle since one broke at a request; 0: none did. staleAt is when one last did.
	staleIdle time.Duration
	staleAt   time.Time
}

// newEnginePool returns an engine's pool without connections, and starts its health checker, which retire ends.
func newEnginePool(o *owner, name admission.EngineID, address string) *enginePool {
	pool := &enginePool{owner: o, name: name, address: address, checkRequested: make(chan struct{}, 1)}
	go (&healthChecker{pool: pool}).run()
	return pool
}

func (p *enginePool) dialAddress() string { return p.address }

func (p *enginePool) requestHealthCheck() {
	select {
	case p.checkRequested <- struct{}{}:
	default: // one is wanted already
	}
}

// retire ends the health checks, and the connections once no attempt is in flight on them.
func (p *enginePool) retire() {
	close(p.checkRequested)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = true
	for _, conn := range p.conns {
		conn.setReadDeadline()
	}
}

// close retires the pool and closes all connections.
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
		c.lastAnswerAt = a.sentAt
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

const (
	// staleHalfLife is how long a limit on idle times holds until it doubles: some hundred attempts of a busy gateway, of
	// which few are lost to find out whether it still must hold.
	staleHalfLife = 10 * time.Second
	// maxStaleDoublings keeps the shift from overflowing.
	maxStaleDoublings = 20
	// minStaleIdle is the shortest idle time that explains a broken connection.
	minStaleIdle = 20 * time.Millisecond
)

// maxIdle returns how long a connection may have been idle to be used again: until the engine would close it, or less
// while connections are known to have broken after a shorter time. The caller holds mu.
func (p *enginePool) maxIdle() time.Duration {
	limit := p.owner.engineIdleTimeout()
	if p.staleIdle > 0 {
		return min(limit, p.staleIdle<<min(maxStaleDoublings, time.Since(p.staleAt)/staleHalfLife))
	}
	return limit
}

// noteStaleConnection reports whether a connection broke at an attempt because it had been idle: the engine, or what lies
// between, had dropped it, which tells nothing of the engine now. Idle times are limited to half of that one from then on.
func (p *enginePool) noteStaleConnection(attempt *attempt) bool {
	if attempt.idleBefore < minStaleIdle || time.Since(attempt.sentAt) > p.owner.network.ConnectTimeout {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.staleIdle, p.staleAt = max(minStaleIdle, min(attempt.idleBefore, p.maxIdle())/2), time.Now()
	return true
}

// engineIdleTimeout is when an idle connection is closed: before the engine would close it, so that no request crosses
// its close.
func (o *owner) engineIdleTimeout() time.Duration {
	return max(o.network.IdleTimeout-o.network.ConnectTimeout, o.network.IdleTimeout/2)
}
