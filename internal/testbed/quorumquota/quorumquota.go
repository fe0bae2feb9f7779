// Package quorumquota implements a quota by majorities, the baseline that the synchronized quotas of package quota are compared with. For
// each use, a process requests each unit from all replicas once a request is waiting for it. It may use the unit when a majority of the
// replicas has granted it, and returns the unit at the end of the use. Units are neither reserved in advance nor leased to other processes.
// Only testbed builds contain this package. It does no I/O.
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

const (
	// attemptTimeout is how long an attempt to get a unit waits for a majority.
	attemptTimeout = 100 * admission.Millisecond
	// maxAttempts is the maximum number of units of a quota that are requested at a time.
	maxAttempts = 32
	// fullBackoff is how long a process requests no units of a quota after a replica has reported that all units are held.
	fullBackoff = 20 * admission.Millisecond
)

// Core is the state of one process, which may also be a replica. Its methods may be called from several goroutines.
type Core struct {
	mu          sync.Mutex
	plan        *quota.Plan
	host        quota.Host
	name        string
	incarnation uint64
	random      *rand.Rand
	now         Time
	sequence    uint32 // number of the last attempt
	attempts    []unit // requested, and not granted by a majority yet
	reserved    []unit // granted by a majority, and not in use
	inUse       []unit
	quotas      []demand
	isReplica   bool
	grantsFrom  Time      // when a replica starts to grant units, because all grants of its predecessor have ended by then
	grants      [][]grant // at a replica: the holder of each unit, by quota and unit
}

// demand is this process's demand for units of one quota.
type demand struct {
	wanted    int64 // number of units that requests are waiting for
	promised  int64 // number of units that TryReserve has promised to a request that has not been sent yet
	freeHints []int // units that replicas have reported as free
	backoff   Time  // no units are requested before this time
}

// unit is one unit of a quota that is requested, reserved or in use.
type unit struct {
	quota       int
	number      int
	sequence    uint32
	requestedAt Time
	usedUntil   Time
	granted     []string // names of the replicas that granted the unit
	rejected    []string // names of the replicas that rejected the request
}

// grant is a replica's record of the process that holds a unit.
type grant struct {
	holder      string
	incarnation uint64
	until       Time
}

// New returns a core without any units.
func New(now Time, plan *quota.Plan, name string, incarnation uint64, host quota.Host) *Core {
	c := &Core{
		plan:        plan,
		host:        host,
		name:        name,
		incarnation: incarnation,
		random:      rand.New(rand.NewPCG(incarnation, 5)),
		now:         now,
		quotas:      make([]demand, len(plan.Totals)),
		isReplica:   slices.Contains(plan.Voters, name),
	}
	for _, total := range plan.Totals {
		c.grants = append(c.grants, make([]grant, total))
	}
	c.grantsFrom = now + c.replicaLease()
	return c
}

// lease returns how long a unit is held after its request. It is twice the plan's LongestUse, so that a use that begins within LongestUse
// after the request ends within the lease.
func (c *Core) lease() Time { return 2 * c.plan.LongestUse }

// replicaLease returns how long a replica regards a unit as held. By then the lease has certainly ended on the holder's clock, which may
// run slower.
func (c *Core) replicaLease() Time { return c.lease() + 3*c.lease()/c.plan.DriftDivisor + 1 }

func (c *Core) send(to string, m quota.Message) {
	m.Sender, m.SenderIncarnation, m.PlanRevision = c.name, c.incarnation, c.plan.Revision
	c.host.Send(to, m)
}

// broadcast sends a message about a unit to all replicas.
func (c *Core) broadcast(kind quota.Kind, u *unit) {
	for _, replica := range c.plan.Voters {
		c.send(replica, quota.Message{Kind: kind, QuotaID: c.plan.QuotaIDs[u.quota], Share: u.number, Sequence: u.sequence})
	}
}

// HandleMessage handles a message. It returns true if a unit became reserved, because a majority has now granted it.
func (c *Core) HandleMessage(now Time, m quota.Message) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	index := slices.Index(c.plan.QuotaIDs, m.QuotaID)
	if index < 0 || m.Share < 0 || m.Share >= len(c.grants[index]) {
		return false
	}
	switch m.Kind {
	case quota.KindLeaseRequest:
		if c.isReplica && c.now >= c.grantsFrom {
			c.handleRequest(index, m)
		}
	case quota.KindLeaseReturn:
		if g := &c.grants[index][m.Share]; g.holder == m.Sender && g.incarnation == m.SenderIncarnation {
			*g = grant{}
		}
	case quota.KindLeaseGrant, quota.KindReject:
		return c.handleAnswer(index, m)
	}
	return false
}

// handleRequest grants a unit to the sender unless another process holds it. A rejection names a free unit, if there is one.
func (c *Core) handleRequest(index int, m quota.Message) {
	g := &c.grants[index][m.Share]
	answer := quota.Message{Kind: quota.KindLeaseGrant, RecipientIncarnation: m.SenderIncarnation, QuotaID: m.QuotaID, Share: m.Share, Sequence: m.Sequence}
	if g.isHeld(c.now) && (g.holder != m.Sender || g.incarnation != m.SenderIncarnation) {
		answer.Kind = quota.KindReject
		answer.LeaseID = uint32(c.findFreeUnit(index) + 1)
	} else {
		*g = grant{m.Sender, m.SenderIncarnation, c.now + c.replicaLease()}
	}
	c.send(m.Sender, answer)
}

func (g *grant) isHeld(now Time) bool { return g.incarnation > 0 && now < g.until }

// findFreeUnit returns a unit that nobody holds, or -1 if there is none. The search starts at a random unit.
func (c *Core) findFreeUnit(index int) int {
	grants := c.grants[index]
	first := c.random.IntN(len(grants))
	for i := range grants {
		number := (first + i) % len(grants)
		if !grants[number].isHeld(c.now) {
			return number
		}
	}
	return -1
}

func (c *Core) handleAnswer(index int, m quota.Message) bool {
	i := slices.IndexFunc(c.attempts, func(u unit) bool { return u.quota == index && u.number == m.Share && u.sequence == m.Sequence })
	if i < 0 || m.RecipientIncarnation != c.incarnation {
		return false
	}
	u := &c.attempts[i]
	answers := &u.granted
	if m.Kind == quota.KindReject {
		answers = &u.rejected
		c.storeHint(&c.quotas[index], int(m.LeaseID)-1)
	}
	if !slices.Contains(*answers, m.Sender) {
		*answers = append(*answers, m.Sender)
	}
	switch {
	case 2*len(u.granted) > len(c.plan.Voters):
		c.reserved = append(c.reserved, *u)
		c.attempts = slices.Delete(c.attempts, i, i+1)
		return true
	case 2*len(u.rejected) > len(c.plan.Voters):
		c.returnUnit(&c.attempts, i)
		c.requestUnits(index)
	}
	return false
}

// storeHint stores the unit that a replica reported as free. A negative number means that no unit is free, which delays further requests.
func (c *Core) storeHint(d *demand, free int) {
	if free >= 0 {
		d.freeHints = append(d.freeHints, free)
		return
	}
	d.freeHints = d.freeHints[:0]
	d.backoff = c.now + fullBackoff
}

// returnUnit removes a unit from a list and returns it to the replicas.
func (c *Core) returnUnit(list *[]unit, i int) {
	u := (*list)[i]
	*list = slices.Delete(*list, i, i+1)
	c.broadcast(quota.KindLeaseReturn, &u)
}

// Tick performs the actions that are due: it abandons attempts, returns units that are no longer needed, and requests units that requests
// are waiting for.
func (c *Core) Tick(now Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	for i := len(c.attempts) - 1; i >= 0; i-- {
		if c.now-c.attempts[i].requestedAt >= attemptTimeout {
			c.returnUnit(&c.attempts, i)
		}
	}
	c.inUse = slices.DeleteFunc(c.inUse, func(u unit) bool { return c.now >= u.usedUntil })
	for i := len(c.reserved) - 1; i >= 0; i-- {
		u := &c.reserved[i]
		d := &c.quotas[u.quota]
		if !c.lastsForUse(u) || d.wanted+d.promised == 0 {
			c.returnUnit(&c.reserved, i)
		}
	}
	for index := range c.quotas {
		c.requestUnits(index)
	}
}

// lastsForUse reports whether a reserved unit lasts to the end of a use that begins now.
func (c *Core) lastsForUse(u *unit) bool {
	return c.now+c.plan.LongestUse < u.requestedAt+c.lease()
}

// requestUnits requests the units of a quota that requests are waiting for and that are neither requested nor reserved yet.
func (c *Core) requestUnits(index int) {
	d := &c.quotas[index]
	attempts := countUnits(c.attempts, index)
	missing := int(d.wanted) - attempts - countUnits(c.reserved, index)
	for range min(missing, maxAttempts-attempts) {
		if c.now < d.backoff || len(c.grants[index]) == 0 {
			return
		}
		u := unit{quota: index, number: c.random.IntN(len(c.grants[index])), requestedAt: c.now}
		if n := len(d.freeHints); n > 0 {
			u.number = d.freeHints[n-1]
			d.freeHints = d.freeHints[:n-1]
		}
		if c.hasUnit(&u) {
			continue
		}
		c.sequence++
		u.sequence = c.sequence
		c.attempts = append(c.attempts, u)
		c.broadcast(quota.KindLeaseRequest, &u)
	}
}

// hasUnit reports whether a unit is requested, reserved or in use by this process.
func (c *Core) hasUnit(u *unit) bool {
	isSame := func(other unit) bool { return other.quota == u.quota && other.number == u.number }
	return slices.ContainsFunc(c.attempts, isSame) || slices.ContainsFunc(c.reserved, isSame) || slices.ContainsFunc(c.inUse, isSame)
}

func countUnits(units []unit, index int) (count int) {
	for i := range units {
		if units[i].quota == index {
			count++
		}
	}
	return count
}

// usableUnits returns the indices of a quota's reserved units that last to the end of a use that begins now.
func (c *Core) usableUnits(index int) (indices []int) {
	for i := range c.reserved {
		if c.reserved[i].quota == index && c.lastsForUse(&c.reserved[i]) {
			indices = append(indices, i)
		}
	}
	return indices
}

// TryReserve reports whether a use may begin now. If not, its units are added to the demand, and later ticks request them. The length of
// the use has no effect, as long as it is at most the plan's LongestUse.
func (c *Core) TryReserve(now Time, index int, amount int64, _ Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	d := &c.quotas[index]
	if int64(len(c.usableUnits(index))) < amount {
		d.wanted = max(d.wanted, amount)
		return false
	}
	d.promised = max(d.promised, amount)
	return true
}

// CommitReservation begins a use of units that TryReserve has promised. It returns false if there are not enough usable units.
func (c *Core) CommitReservation(now Time, index int, amount int64, length Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	d := &c.quotas[index]
	d.promised = 0
	d.wanted = max(0, d.wanted-amount)
	usable := c.usableUnits(index)
	if int64(len(usable)) < amount {
		return false
	}
	for i := amount - 1; i >= 0; i-- {
		u := c.reserved[usable[i]]
		u.usedUntil = c.now + length
		c.inUse = append(c.inUse, u)
		c.reserved = slices.Delete(c.reserved, usable[i], usable[i]+1)
	}
	return true
}

// Release ends a use. Its units are returned at the next Tick.
func (c *Core) Release(_ Time, index int, amount int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range amount {
		i := slices.IndexFunc(c.inUse, func(u unit) bool { return u.quota == index })
		if i < 0 {
			return
		}
		u := c.inUse[i]
		c.inUse = slices.Delete(c.inUse, i, i+1)
		u.requestedAt = -c.lease() // too old for any use, so that the next Tick returns the unit
		c.reserved = append(c.reserved, u)
	}
}

// SetDemand sets the number of units that the waiting requests would use.
func (c *Core) SetDemand(_ Time, index int, amount int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := &c.quotas[index]
	d.promised, d.wanted = 0, amount
}

// ReserveRate grants nothing, because rates are not part of the comparison.
func (c *Core) ReserveRate(Time, int, int64) (int64, Time) { return 0, quota.Never }

// ScaleTotal does nothing, because scaled totals are not part of the comparison.
func (c *Core) ScaleTotal(Time, int, float64) {}
