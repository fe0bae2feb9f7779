package quota

import "sync"

// Synchronized wraps a core for use by two goroutines: the cluster agent's, which calls Tick and delivers messages, and the owner
// goroutine, which decides whether a request may be sent and reserves the units that it uses. A call waits only for the other goroutine's
// current call. Between TryReserve and CommitReservation, the reserved units are not leased out.
type Synchronized struct {
	mu   sync.Mutex
	core *Core
}

// NewSynchronized returns a wrapper for a core.
func NewSynchronized(c *Core) *Synchronized { return &Synchronized{core: c} }

// Incarnation returns the core's incarnation.
func (s *Synchronized) Incarnation() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.incarnation
}

// ReplaceCore replaces the core with another one. Units that requests use under the old core stay in use until the requests end, and the
// caller must ensure that no other member uses them before.
func (s *Synchronized) ReplaceCore(c *Core) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core = c
}

// WithCore calls f with the core while no other call runs. It is for the agent's goroutine.
func (s *Synchronized) WithCore(f func(c *Core)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.core)
}

// Tick calls Core.Tick.
func (s *Synchronized) Tick(now Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Tick(now)
}

// HandleMessage processes a received message, and reports whether it is a lease grant, after which more units may be usable.
func (s *Synchronized) HandleMessage(now Time, m Message) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.HandleMessage(now, m)
	return m.Kind == KindLeaseGrant
}

// TryReserve reserves units of a quota for a use that starts now and has the given length, if they are free until its end. It reports
// whether they were. The reservation is valid until CommitReservation or SetDemand.
func (s *Synchronized) TryReserve(now Time, quota int, units int64, length Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.core
	c.advance(now)
	until := c.now + length
	if c.freeUnits(quota, until) < units {
		c.SetNextRequestUnits(quota, units)
		return false
	}
	state := &c.quotas[quota]
	state.reservedUnits = max(state.reservedUnits, units)
	state.reservedUntil = until
	return true
}

// CommitReservation marks reserved units as used by a request that is being sent, until the end for which they were reserved. It reports
// whether the units were available. They count as used in any case, because the request is sent in any case.
func (s *Synchronized) CommitReservation(now Time, quota int, units int64, length Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.core
	c.advance(now)
	until := c.now + length
	state := &c.quotas[quota]
	if state.reservedUnits >= units {
		until = state.reservedUntil
	}
	state.reservedUnits = 0
	available := c.freeUnits(quota, until)+c.unitsToReturn(quota) >= units // a recalled lease may still be used for a reservation
	c.allocations = append(c.allocations, allocation{quota, units, until})
	return available
}

// Release ends a use, and reports whether other members that requested units of any quota recently may still need some.
func (s *Synchronized) Release(now Time, quota int, units int64) (awaited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Release(now, quota, units)
	return len(s.core.granted.rejected) > 0
}

// SetDemand sets how many units waiting requests would use, and drops a reservation that was not committed.
func (s *Synchronized) SetDemand(now Time, quota int, units int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.quotas[quota].reservedUnits = 0
	s.core.SetDemand(now, quota, units)
}

// ReserveRate marks up to need units of a quota as in use as a rate. See Core.ReserveRate.
func (s *Synchronized) ReserveRate(now Time, quota int, need int64) (units int64, until Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.ReserveRate(now, quota, need)
}

// ScaleTotal limits a total to a fraction of itself, from 0 to 1. See Core.ScaleTotal.
func (s *Synchronized) ScaleTotal(now Time, quota int, fraction float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.ScaleTotal(now, quota, fraction)
}
