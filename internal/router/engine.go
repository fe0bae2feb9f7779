package router

import (
	"bytes"
	"sync"
	"time"

	"magpiebank/internal/admission"
)

// engine is one engine's connections. An attempt has one of its own while descriptors allow, else it shares one with as
// many as the site allows; probes have one of their own.
type engine struct {
	o       *owner
	name    admission.EngineID
	address string
	wake    chan struct{} // rung for a probe
	mu      sync.Mutex
	conns   []*engineConn
	retired bool

	staleAfter time.Duration // the rest that connections are kept to since one broke at a request; 0: none did
	staleAt    time.Time     // and when one last did
}

func newEngine(o *owner, name admission.EngineID, address string) *engine {
	e := &engine{o: o, name: name, address: address, wake: make(chan struct{}, 1)}
	go (&prober{e: e}).serve()
	return e
}

func (e *engine) where() string { return e.address }

func (e *engine) probe() {
	select {
	case e.wake <- struct{}{}:
	default: // one is under way
	}
}

// retire ends the probes, and the connections once nothing is out on them.
func (e *engine) retire() {
	close(e.wake)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.retired = true
	for _, l := range e.conns {
		l.arm()
	}
}

// stop ends all connections.
func (e *engine) stop() {
	e.retire()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.conns {
		if l.tcp != nil {
			l.tcp.Close()
		}
	}
}

// send puts an attempt on a connection of its own while descriptors allow: one that breaks takes the others on
// it along. It is one that was idle, the last used of those; else a new one; else the one with the least on it.
// A request goes out once on a connection, so that no copy of an answer is taken for a later attempt's.
func (e *engine) send(h *attempt) {
	if h.state.Load() == withdrawn {
		return
	}
	e.mu.Lock()
	var best *engineConn
	longest := e.fresh()
	for _, l := range e.conns {
		if l.out >= e.o.network.AttemptsPerConnection || l.open[h.request] != nil || l.silent() ||
			l.out == 0 && time.Since(l.used) >= longest {
			continue
		}
		if best == nil || l.out < best.out || l.out == best.out && l.used.After(best.used) {
			best = l
		}
	}
	if best == nil || best.out > 0 && e.o.engineConns.Load() < e.o.engineRoom {
		best = &engineConn{e: e, open: map[admission.RequestID]*attempt{}}
		e.conns = append(e.conns, best)
		e.o.connections.Add(1)
		e.o.engineConns.Add(1)
		go best.serve()
	}
	l := best
	h.conn, h.sent, h.rested = l, time.Now(), 0
	if l.out == 0 {
		if l.heard = h.sent; l.tcp != nil {
			h.rested = h.sent.Sub(l.used)
		}
	}
	l.open[h.request], l.used = h, h.sent
	l.out++
	up := l.tcp != nil
	if up {
		l.arm()
	} else {
		h.statement = bytes.Clone(h.statement) // the session may read on before it is written
		h.token = bytes.Clone(h.token)
		l.waiting = append(l.waiting, h)
	}
	e.mu.Unlock()
	if up {
		l.do(h)
	}
}

// fresh is how long a connection may have been idle to be used again: until the engine would close it, or less where
// connections were seen to break at a request after a shorter rest. What was seen counts for half every restTrust.
func (e *engine) fresh() time.Duration {
	const restTrust = 10 * time.Second // some hundred attempts, of which few are then lost to look again
	most := e.o.idleAfter()
	if e.staleAfter > 0 {
		return min(most, e.staleAfter<<min(20, time.Since(e.staleAt)/restTrust))
	}
	return most
}

// stale tells of an attempt at which an idle connection broke: the engine, or what stands between, had dropped it, and
// that says nothing of the engine now. Rests are kept to half of that one from then on.
func (e *engine) stale(h *attempt) bool {
	const least = 20 * time.Millisecond // of a rest: one as short is no cause
	if h.rested < least || time.Since(h.sent) > e.o.network.ConnectTimeout {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staleAfter, e.staleAt = max(least, min(h.rested, e.fresh())/2), time.Now()
	return true
}

// idleAfter is when a connection without use is closed: before the engine would, so that nothing crosses its close.
func (o *owner) idleAfter() time.Duration {
	return max(o.network.IdleTimeout-o.network.ConnectTimeout, o.network.IdleTimeout/2)
}
