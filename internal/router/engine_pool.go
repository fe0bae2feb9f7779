package router

import (
	"bytes"
	"sync"
	"time"

	"magpiebank/internal/admission"
)

// enginePool holds the connections to one engine and assigns attempts to them. Each attempt has a connection of its own while
// enough descriptors are free. Otherwise attempts share connections, up to the deployment's limit of attempts per connection.
// Health checks use a separate connection.
type enginePool struct {
	owner          *owner
	name           admission.EngineID
	address        string
	checkRequested chan struct{} // holds a value while a health check is requested; closed once the engine is retired

	mu      sync.Mutex
	conns   []*engineConn
	retired bool
	// staleIdle limits the idle time of connections after an idle one broke when it was used again; 0: none broke so far.
	// staleAt is when a connection last broke in this way.
	staleIdle time.Duration
	staleAt   time.Time
}

// newEnginePool returns a pool without connections for an engine, and starts its health checker, which retire stops.
func newEnginePool(o *owner, name admission.EngineID, address string) *enginePool {
	pool := &enginePool{owner: o, name: name, address: address, checkRequested: make(chan struct{}, 1)}
	go (&healthChecker{pool: pool}).run()
	return pool
}

func (p *enginePool) dialAddress() string { return p.address }

func (p *enginePool) requestHealthCheck() {
	select {
	case p.checkRequested <- struct{}{}:
	default: // one is already requested
	}
}

// retire stops the health checks, and has each connection closed once no attempt is in flight on it.
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

// send assigns an attempt to a connection. It writes the attempt if the connection is established; otherwise the connection's
// goroutine writes it as soon as that is the case. A withdrawn attempt is not sent.
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

// reusableConn returns the connection with the fewest attempts in flight, and among equals the most recently used one. It
// returns nil if no connection can take another attempt. Connections with few attempts are preferred, and send gives an
// attempt a connection of its own while descriptors allow, because a connection that breaks fails all attempts on it. A request
// is sent only once on a connection, so that an answer to an earlier attempt is not mistaken for an answer to a later one. The
// caller holds mu.
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

// assign adds an attempt to the connection and reports whether the connection is established. If it is not, the attempt waits
// with copies of its statement and token, because the client session may reuse their buffer. The caller holds the pool's mu.
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
	// staleHalfLife is the time after which the limit on idle times doubles. A busy gateway makes some hundred attempts in
	// that time, so only a small part of them is lost to find out whether the limit is still needed.
	staleHalfLife = 10 * time.Second
	// maxStaleDoublings keeps the shift in maxIdle from overflowing.
	maxStaleDoublings = 20
	// minStaleIdle is the shortest idle time that is accepted as the reason why a connection broke.
	minStaleIdle = 20 * time.Millisecond
)

// maxIdle returns the longest idle time after which a connection may be used again: engineIdleTimeout, or less if idle
// connections have recently broken after a shorter time. The caller holds mu.
func (p *enginePool) maxIdle() time.Duration {
	limit := p.owner.engineIdleTimeout()
	if p.staleIdle > 0 {
		return min(limit, p.staleIdle<<min(maxStaleDoublings, time.Since(p.staleAt)/staleHalfLife))
	}
	return limit
}

// noteStaleConnection reports whether a connection broke at an attempt because it had been idle. In that case the engine, or a
// device on the network path, had dropped the idle connection, which says nothing about the engine's current health. Idle times
// are then limited to half of the idle time that broke the connection.
func (p *enginePool) noteStaleConnection(attempt *attempt) bool {
	if attempt.idleBefore < minStaleIdle || time.Since(attempt.sentAt) > p.owner.network.ConnectTimeout {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.staleIdle, p.staleAt = max(minStaleIdle, min(attempt.idleBefore, p.maxIdle())/2), time.Now()
	return true
}

// engineIdleTimeout returns the idle time after which the gateway closes a connection to an engine. It is shorter than the
// engine's own idle timeout, so that no request is sent while the engine closes the connection.
func (o *owner) engineIdleTimeout() time.Duration {
	return max(o.network.IdleTimeout-o.network.ConnectTimeout, o.network.IdleTimeout/2)
}
