package quota

import "sync"

// Synchronized is a core for two goroutines: the cluster agent's, which steps it and carries its messages, and the owner of
// the decisions, which asks whether a request may be sent and reserves what it uses. No call waits for anything but the
// other's few steps. Between TryReserve and CommitReservation nothing of what was reserved is leased out.
type Synchronized struct {
	mu   sync.Mutex
	core *Core
}

// NewSynchronized wraps a core.
func NewSynchronized(c *Core) *Synchronized { return &Synchronized{core: c} }

// Incarnation returns the core's incarnation.
func (s *Synchronized) Incarnation() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.incarnation
}

// ReplaceCore has another core take the place of this one. What requests have of the old one ends with them: nobody else may use it before.
func (s *Synchronized) ReplaceCore(c *Core) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core = c
}

// WithCore calls f with the core, for the agent's goroutine.
func (s *Synchronized) WithCore(f func(c *Core)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.core)
}

// Tick is the timer.
func (s *Synchronized) Tick(now Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Tick(now)
}

// HandleMessage takes in a message, and reports whether more may be used than before.
func (s *Synchronized) HandleMessage(now Time, m Message) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.HandleMessage(now, m)
	return m.Kind == KindLeaseGrant
}

// TryReserve reserves units of a quota for a use from now on, for so long, if they are free. The reservation stands until
// CommitReservation or SetDemand.
func (s *Synchronized) TryReserve(now Time, quota int, units int64, length Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.core
	c.advance(now)
	until := c.now + length
	if c.free(quota, until) < units {
		c.SetNextRequestUnits(quota, units)
		return false
	}
	state := &c.quotas[quota]
	state.reservedUnits = max(state.reservedUnits, units)
	state.reservedUntil = until
	return true
}

// CommitReservation has a request that is sent use what was reserved, to the time that it was reserved for. It reports
// whether the units were there; they count as used in any case, as the request is sent.
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
	available := c.free(quota, until)+c.toBeReturned(quota) >= units // a lease that is recalled serves what it was reserved for
	c.allocations = append(c.allocations, allocation{quota, units, until})
	return available
}

// Release ends a use, and reports whether others asked for units of a quota in vain lately.
func (s *Synchronized) Release(now Time, quota int, units int64) (awaited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Release(now, quota, units)
	return len(s.core.granted.rejected) > 0
}

// SetDemand sets how many units waiting requests would use, and drops what the owner has reserved without using it.
func (s *Synchronized) SetDemand(now Time, quota int, units int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.quotas[quota].reservedUnits = 0
	s.core.SetDemand(now, quota, units)
}

// ReserveRate has up to need units of a quota be in use as a rate. See Core.ReserveRate.
func (s *Synchronized) ReserveRate(now Time, quota int, need int64) (units int64, until Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.ReserveRate(now, quota, need)
}

// ScaleTotal has only a part of a total count, from 0 to 1.
func (s *Synchronized) ScaleTotal(now Time, quota int, part float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.ScaleTotal(now, quota, part)
}
