package quota

import (
	"slices"
	"strings"
	"sync"
)

// Purse is a core for two goroutines: the fleet's, which steps it and carries its messages, and the owner of the decisions, which
// asks whether a task may go out and takes what it uses. No call waits for anything but the other's few steps. Between the
// question and the hand-off nothing of what was promised is lent.
type Purse struct {
	mu   sync.Mutex
	core *Core
}

// NewPurse is one round a core.
func NewPurse(c *Core) *Purse { return &Purse{core: c} }

// Start tells processes apart, as the core goes by it.
func (p *Purse) Start() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.start
}

// Renew has another core take the place of this one. What tasks have of the old one ends with them: nobody else may use it before.
func (p *Purse) Renew(c *Core) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core = c
}

// Step has a call made on the core, by the fleet's goroutine.
func (p *Purse) Step(f func(c *Core)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.core)
}

// Due is the timer.
func (p *Purse) Due(now Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.Due(now)
}

// Heard takes in a message; true: more may be used than before.
func (p *Purse) Heard(now Time, m Message) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.Heard(now, m)
	return m.Kind == Lend
}

// Open tells the owner whether so much of a budget may be used from now on, for so long.
func (p *Purse) Open(now Time, budget int, amount int64, length Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.pass(now)
	until := p.core.now + length
	if p.core.free(budget, until) < amount {
		p.core.Wide(budget, amount)
		return false
	}
	p.core.promised[budget] = max(p.core.promised[budget], amount)
	p.core.promisedTo[budget] = until
	return true
}

// Take has a task that goes out use what was promised, to the time that was asked for; false: it was not there. It counts all the
// same, as the task goes out.
func (p *Purse) Take(now Time, budget int, amount int64, length Time) bool {
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

// Done ends a use; awaited: others asked for some of a budget in vain lately.
func (p *Purse) Done(now Time, budget int, amount int64) (awaited bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.Done(now, budget, amount)
	return len(p.core.denied) > 0
}

// Want tells how much waiting tasks would use, and that the owner has gone on from what it was promised.
func (p *Purse) Want(now Time, budget int, amount int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.promised[budget] = 0
	p.core.Want(now, budget, amount)
}

// Rate has a budget that is used as a rate be used by so much, as far as there is that.
func (p *Purse) Rate(now Time, budget int, need int64) (n int64, until Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Rate(now, budget, need)
}

// Shrink has a total be a part of itself.
func (p *Purse) Shrink(now Time, budget int, part float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.Shrink(now, budget, part)
}

// State is one budget as a member sees it.
type State struct {
	Budget                                   int
	Total, Own, Lent, Borrowed, Used, Wanted int64
	Seat                                     Time // for which the seat is still held; below 0: it is not
	Parts                                    []Part
}

// Part is what there is between this member and another, by name.
type Part struct {
	Member         string
	Lent, Borrowed int64
	Ends           Time  // until the first of that ends
	Spare          int64 // what it could lend
	Told           Time  // so long ago; below 0: it never told
}

// States are those of all budgets.
func (p *Purse) States(now Time) (out []State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.core
	c.pass(now)
	now = c.now
	for b := range c.plan.Totals {
		s := State{Budget: b, Total: c.plan.Totals[b], Used: c.used(b, now), Wanted: c.wanted[b], Seat: max(-1, c.claims[0].until-now)}
		for i := range c.claims {
			if k := &c.claims[i]; k.from <= now && now < k.until {
				s.Own += c.plan.share(b, k.seat, c.scale[b])
			}
		}
		for i := range c.spares {
			s.Parts = append(s.Parts, Part{Member: c.spares[i].of, Spare: c.spares[i].amount[b], Told: now - c.spares[i].at})
		}
		for i := range c.lent {
			if l := &c.lent[i]; l.budget == b && now < l.until {
				s.Lent += l.amount
				p := s.with(l, now)
				p.Lent += l.amount
			}
		}
		for i := range c.loans {
			if l := &c.loans[i]; l.budget == b && now < l.until {
				s.Borrowed += l.amount
				p := s.with(l, now)
				p.Borrowed += l.amount
			}
		}
		out = append(out, s)
	}
	return out
}

// with is the part with the member that a loan is with.
func (s *State) with(l *loan, now Time) *Part {
	i, ok := slices.BinarySearchFunc(s.Parts, l.with, func(p Part, name string) int { return strings.Compare(p.Member, name) })
	if !ok {
		s.Parts = slices.Insert(s.Parts, i, Part{Member: l.with, Told: -1})
	}
	p := &s.Parts[i]
	if end := l.until - now; p.Ends == 0 || end < p.Ends {
		p.Ends = end
	}
	return p
}
