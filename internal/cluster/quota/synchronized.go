package quota

import (
	"slices"
	"strings"
	"sync"
)

// Synchronized is a core for two goroutines: the fleet's, which steps it and carries its messages, and the owner of the decisions, which
// asks whether a task may go out and takes what it uses. No call waits for anything but the other's few steps. Between the
// question and the hand-off nothing of what was promised is lent.
type Synchronized struct {
	mu   sync.Mutex
	core *Core
}

// NewSynchronized is one round a core.
func NewSynchronized(c *Core) *Synchronized { return &Synchronized{core: c} }

// Incarnation tells processes apart, as the core goes by it.
func (p *Synchronized) Incarnation() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.start
}

// ReplaceCore has another core take the place of this one. What tasks have of the old one ends with them: nobody else may use it before.
func (p *Synchronized) ReplaceCore(c *Core) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core = c
}

// WithCore has a call made on the core, by the fleet's goroutine.
func (p *Synchronized) WithCore(f func(c *Core)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.core)
}

// Tick is the timer.
func (p *Synchronized) Tick(now Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.Tick(now)
}

// HandleMessage takes in a message; true: more may be used than before.
func (p *Synchronized) HandleMessage(now Time, m Message) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.HandleMessage(now, m)
	return m.Kind == KindLeaseGrant
}

// TryReserve tells the owner whether so much of a budget may be used from now on, for so long.
func (p *Synchronized) TryReserve(now Time, budget int, amount int64, length Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.pass(now)
	until := p.core.now + length
	if p.core.free(budget, until) < amount {
		p.core.SetNextRequestUnits(budget, amount)
		return false
	}
	p.core.promised[budget] = max(p.core.promised[budget], amount)
	p.core.promisedTo[budget] = until
	return true
}

// CommitReservation has a task that goes out use what was promised, to the time that was asked for; false: it was not there. It counts all the
// same, as the task goes out.
func (p *Synchronized) CommitReservation(now Time, budget int, amount int64, length Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.core
	c.pass(now)
	until := c.now + length
	if c.promised[budget] >= amount {
		until = c.promisedTo[budget]
	}
	c.promised[budget] = 0
	ok := c.free(budget, until)+c.going(budget) >= amount // a loan that is called back is good for what it was promised for
	c.uses = append(c.uses, use{budget, amount, until})
	return ok
}

// Release ends a use; awaited: others asked for some of a budget in vain lately.
func (p *Synchronized) Release(now Time, budget int, amount int64) (awaited bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.Release(now, budget, amount)
	return len(p.core.denied) > 0
}

// SetDemand tells how much waiting tasks would use, and that the owner has gone on from what it was promised.
func (p *Synchronized) SetDemand(now Time, budget int, amount int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.promised[budget] = 0
	p.core.SetDemand(now, budget, amount)
}

// ReserveRate has a budget that is used as a rate be used by so much, as far as there is that.
func (p *Synchronized) ReserveRate(now Time, budget int, need int64) (n int64, until Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.ReserveRate(now, budget, need)
}

// ScaleTotal has a total be a part of itself.
func (p *Synchronized) ScaleTotal(now Time, budget int, part float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.ScaleTotal(now, budget, part)
}

// Status is one budget as a member sees it.
type Status struct {
	Index                                               int
	Total, OwnShare, LeasedOut, LeasedIn, InUse, Demand int64
	ShareExpiresIn                                      Time // for which the seat is still held; below 0: it is not
	Peers                                               []PeerStatus
}

// PeerStatus is what there is between this member and another, by name.
type PeerStatus struct {
	Name                string
	LeasedOut, LeasedIn int64
	ExpiresIn           Time  // until the first of that ends
	SpareUnits          int64 // what it could lend
	SpareAge            Time  // so long ago; below 0: it never told
}

// Statuses are those of all budgets.
func (p *Synchronized) Statuses(now Time) (out []Status) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.core
	c.pass(now)
	now = c.now
	for b := range c.plan.Totals {
		s := Status{Index: b, Total: c.plan.Totals[b], InUse: c.used(b, now), Demand: c.wanted[b], ShareExpiresIn: max(-1, c.claims[0].until-now)}
		for i := range c.claims {
			if k := &c.claims[i]; k.from <= now && now < k.until {
				s.OwnShare += c.plan.share(b, k.seat, c.scale[b])
			}
		}
		for i := range c.spares {
			s.Peers = append(s.Peers, PeerStatus{Name: c.spares[i].of, SpareUnits: c.spares[i].amount[b], SpareAge: now - c.spares[i].at})
		}
		for i := range c.lent {
			if l := &c.lent[i]; l.budget == b && now < l.until {
				s.LeasedOut += l.amount
				p := s.with(l, now)
				p.LeasedOut += l.amount
			}
		}
		for i := range c.loans {
			if l := &c.loans[i]; l.budget == b && now < l.until {
				s.LeasedIn += l.amount
				p := s.with(l, now)
				p.LeasedIn += l.amount
			}
		}
		out = append(out, s)
	}
	return out
}

// with is the part with the member that a loan is with.
func (s *Status) with(l *loan, now Time) *PeerStatus {
	i, ok := slices.BinarySearchFunc(s.Peers, l.with, func(p PeerStatus, name string) int { return strings.Compare(p.Name, name) })
	if !ok {
		s.Peers = slices.Insert(s.Peers, i, PeerStatus{Name: l.with, SpareAge: -1})
	}
	p := &s.Peers[i]
	if end := l.until - now; p.ExpiresIn == 0 || end < p.ExpiresIn {
		p.ExpiresIn = end
	}
	return p
}
