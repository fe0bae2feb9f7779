// Package quorumquota is what the budgets are measured against: each unit of a total is asked of a majority of the replicas for each use,
// when a request waits for it, and is given back at the use's end. Nothing is held ahead and nothing is lent. Only the testbed's
// builds have it. It does no I/O.
package quorumquota

import (
	"math/rand/v2"
	"slices"
	"sync"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/quota"
)

// Time is a point on the caller's clock.
type Time = admission.Time

// An ask without a majority of answers for this long is given up.
const patience = 100 * admission.Millisecond

// So many units are asked for at a time.
const atOnce = 32

// Core is one process's part. Its calls may come from two goroutines.
type Core struct {
	mu     sync.Mutex
	plan   *quota.Plan
	host   quota.Host
	name   string
	start  uint64
	chance *rand.Rand
	now    Time
	last   uint32
	tries  []unit
	hands  []unit // held, and in no use
	uses   []unit
	wanted []int64
	takes  []int64 // promised to a request about to go out
	hints  [][]int // units that a replica said are free
	restAt []Time  // until when nothing is asked for, as all was in use

	keeps  bool // it is a replica
	openAt Time // from when it grants: what one before it granted has ended
	grants [][]grant
}

// unit is one of a budget that is asked for, held or used.
type unit struct {
	budget, n int
	seq       uint32
	at        Time // when it was asked for
	until     Time // of its use
	yes, no   []string
}

type grant struct {
	holder string
	start  uint64
	until  Time
}

// New begins with nothing.
func New(now Time, plan *quota.Plan, name string, start uint64, host quota.Host) *Core {
	c := &Core{plan: plan, host: host, name: name, start: start, chance: rand.New(rand.NewPCG(start, 5)), now: now, keeps: slices.Contains(plan.Voters, name)}
	n := len(plan.Totals)
	c.wanted, c.takes, c.hints, c.restAt = make([]int64, n), make([]int64, n), make([][]int, n), make([]Time, n)
	for _, t := range plan.Totals {
		c.grants = append(c.grants, make([]grant, t))
	}
	c.openAt = now + c.margin()
	return c
}

// lease is how long a unit is held for: it must last to the end of a use that begins within another.
func (c *Core) lease() Time { return 2 * c.plan.LongestUse }

// margin is a lease at a replica, by whose clock it must have ended surely.
func (c *Core) margin() Time { return c.lease() + 3*c.lease()/c.plan.DriftDivisor + 1 }

func (c *Core) send(to string, m quota.Message) {
	m.Sender, m.SenderIncarnation, m.PlanNumber = c.name, c.start, c.plan.Number
	c.host.Send(to, m)
}

func (c *Core) all(kind quota.Kind, u *unit) {
	for _, k := range c.plan.Voters {
		c.send(k, quota.Message{Kind: kind, QuotaID: c.plan.QuotaIDs[u.budget], Share: u.n, Sequence: u.seq})
	}
}

// HandleMessage takes in a message; true: a unit has come.
func (c *Core) HandleMessage(now Time, m quota.Message) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	b := slices.Index(c.plan.QuotaIDs, m.QuotaID)
	if b < 0 || m.Share < 0 || m.Share >= len(c.grants[b]) {
		return false
	}
	switch m.Kind {
	case quota.KindLeaseRequest:
		if c.keeps && c.now >= c.openAt {
			c.asked(b, m)
		}
	case quota.KindLeaseReturn:
		if g := &c.grants[b][m.Share]; g.holder == m.Sender && g.start == m.SenderIncarnation {
			*g = grant{}
		}
	case quota.KindLeaseGrant, quota.KindReject:
		return c.answered(b, m)
	}
	return false
}

// asked grants a unit that nobody holds; a refusal names one that is free, if there is any.
func (c *Core) asked(b int, m quota.Message) {
	g := &c.grants[b][m.Share]
	kind, free := quota.KindLeaseGrant, 0
	if g.start > 0 && c.now < g.until && (g.holder != m.Sender || g.start != m.SenderIncarnation) {
		kind = quota.KindReject
		from := c.chance.IntN(len(c.grants[b]))
		for k := range c.grants[b] {
			if n := (from + k) % len(c.grants[b]); c.grants[b][n].start == 0 || c.now >= c.grants[b][n].until {
				free = n + 1
				break
			}
		}
	} else {
		*g = grant{m.Sender, m.SenderIncarnation, c.now + c.margin()}
	}
	c.send(m.Sender, quota.Message{Kind: kind, RecipientIncarnation: m.SenderIncarnation, QuotaID: m.QuotaID, Share: m.Share, Sequence: m.Sequence, LeaseID: uint32(free)})
}

func (c *Core) answered(b int, m quota.Message) bool {
	i := slices.IndexFunc(c.tries, func(u unit) bool { return u.budget == b && u.n == m.Share && u.seq == m.Sequence })
	if i < 0 || m.RecipientIncarnation != c.start {
		return false
	}
	u := &c.tries[i]
	list := &u.yes
	if m.Kind == quota.KindReject {
		list = &u.no
		if m.LeaseID > 0 {
			c.hints[b] = append(c.hints[b], int(m.LeaseID)-1)
		} else { // all is in use
			c.hints[b], c.restAt[b] = c.hints[b][:0], c.now+20*admission.Millisecond
		}
	}
	if !slices.Contains(*list, m.Sender) {
		*list = append(*list, m.Sender)
	}
	switch {
	case 2*len(u.yes) > len(c.plan.Voters):
		c.hands = append(c.hands, *u)
		c.tries = slices.Delete(c.tries, i, i+1)
		return true
	case 2*len(u.no) > len(c.plan.Voters):
		c.giveBack(&c.tries, i)
		c.ask(b)
	}
	return false
}

func (c *Core) giveBack(list *[]unit, i int) {
	u := (*list)[i]
	*list = slices.Delete(*list, i, i+1)
	c.all(quota.KindLeaseReturn, &u)
}

// Tick is the timer.
func (c *Core) Tick(now Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	for i := len(c.tries) - 1; i >= 0; i-- {
		if c.now-c.tries[i].at >= patience {
			c.giveBack(&c.tries, i)
		}
	}
	c.uses = slices.DeleteFunc(c.uses, func(u unit) bool { return c.now >= u.until })
	for i := len(c.hands) - 1; i >= 0; i-- {
		u := &c.hands[i]
		if stale := c.now+c.plan.LongestUse >= u.at+c.lease(); stale || c.wanted[u.budget]+c.takes[u.budget] == 0 {
			c.giveBack(&c.hands, i)
		}
	}
	for b := range c.wanted {
		c.ask(b)
	}
}

// ask asks for as many units as are waited for.
func (c *Core) ask(b int) {
	of := func(u unit) bool { return u.budget == b }
	lack := int(c.wanted[b]) - count(c.tries, of) - count(c.hands, of)
	for n := min(lack, atOnce-count(c.tries, of)); n > 0 && c.now >= c.restAt[b] && len(c.grants[b]) > 0; n-- {
		u := unit{budget: b, n: c.chance.IntN(len(c.grants[b])), at: c.now}
		if k := len(c.hints[b]); k > 0 {
			u.n, c.hints[b] = c.hints[b][k-1], c.hints[b][:k-1]
		}
		same := func(o unit) bool { return o.budget == b && o.n == u.n }
		if slices.ContainsFunc(c.tries, same) || slices.ContainsFunc(c.hands, same) || slices.ContainsFunc(c.uses, same) {
			continue
		}
		c.last++
		u.seq = c.last
		c.tries = append(c.tries, u)
		c.all(quota.KindLeaseRequest, &u)
	}
}

func count(list []unit, f func(unit) bool) (n int) {
	for _, u := range list {
		if f(u) {
			n++
		}
	}
	return n
}

// fit are the units in hand that last to the end of a use that begins now.
func (c *Core) fit(b int) (out []int) {
	for i, u := range c.hands {
		if u.budget == b && c.now+c.plan.LongestUse < u.at+c.lease() {
			out = append(out, i)
		}
	}
	return out
}

// TryReserve tells whether a use, of at most the longest, may begin now; where it may not, units are waited for from now on.
func (c *Core) TryReserve(now Time, b int, amount int64, length Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	if int64(len(c.fit(b))) < amount {
		c.wanted[b] = max(c.wanted[b], amount)
		return false
	}
	c.takes[b] = max(c.takes[b], amount)
	return true
}

// CommitReservation begins a use of what was promised.
func (c *Core) CommitReservation(now Time, b int, amount int64, length Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	c.takes[b] = 0
	c.wanted[b] = max(0, c.wanted[b]-amount)
	fit := c.fit(b)
	if int64(len(fit)) < amount {
		return false
	}
	for k := amount - 1; k >= 0; k-- {
		u := c.hands[fit[k]]
		u.until = c.now + length
		c.uses = append(c.uses, u)
		c.hands = slices.Delete(c.hands, fit[k], fit[k]+1)
	}
	return true
}

// Release ends a use; what it had is given back when Due is called next.
func (c *Core) Release(now Time, b int, amount int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for ; amount > 0; amount-- {
		if i := slices.IndexFunc(c.uses, func(u unit) bool { return u.budget == b }); i >= 0 {
			u := c.uses[i]
			c.uses = slices.Delete(c.uses, i, i+1)
			u.at = -c.lease() // it fits no use: Due gives it back
			c.hands = append(c.hands, u)
		}
	}
}

// SetDemand tells how much waiting requests would use.
func (c *Core) SetDemand(now Time, b int, amount int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.takes[b], c.wanted[b] = 0, amount
}

// ReserveRate and Shrink are not measured.
func (c *Core) ReserveRate(Time, int, int64) (int64, Time) { return 0, quota.Never }

// ScaleTotal does nothing.
func (c *Core) ScaleTotal(Time, int, float64) {}
