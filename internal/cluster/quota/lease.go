package quota

import "slices"

// lease is units of a quota that are leased out, at the lender and at the borrower.
type lease struct {
	quota       int
	peer        string // the borrower at the lender, the lender at the borrower
	incarnation uint64 // of the peer
	id          uint32
	units       int64
	until       Time
	final       bool // it is not renewed; the borrower uses it for nothing new, and returns it as soon as it can
}

// matches reports whether a message of the peer is about the lease.
func (l *lease) matches(quota int, m *Message) bool {
	return l.peer == m.Sender && l.incarnation == m.SenderIncarnation && l.quota == quota && l.id == m.LeaseID
}

// grantedLeases is what a lender has leased out.
type grantedLeases struct {
	leases   []lease
	rejected []rejectedRequest // by whom it was lately asked for more than it had
}

// rejectedRequest is a member that asked for units of which there were none, or too few.
type rejectedRequest struct {
	quota int
	peer  string
	at    Time
}

// takenLeases is what a borrower has, and what it has requested.
type takenLeases struct {
	leases   []lease
	requests []leaseRequest
	lastID   uint32
	pauses   uint32 // in collecting units for a wide request
}

// leaseRequest is a request for a lease, or for more time on one.
type leaseRequest struct {
	quota    int
	lender   string
	leaseID  uint32
	sequence uint32
	units    int64
	sentAt   Time
	isNew    bool // for a new lease, not for more time on one
	blind    bool // to a member that has lately not announced its spare units
}

func (r *leaseRequest) matches(quota int, m *Message) bool {
	return r.lender == m.Sender && r.sequence == m.Sequence && r.leaseID == m.LeaseID && r.quota == quota
}

func (c *Core) handleLeaseMessage(quota int, m Message) {
	switch m.Kind {
	case KindLeaseRequest:
		c.quotas[quota].announce.units = -1 // the borrower counts with less from then on
		c.handleLeaseRequest(quota, m)
	case KindLeaseGrant:
		c.handleLeaseGrant(quota, m)
	case KindReject:
		c.handleLeaseRejection(quota, m)
	case KindSpareUnits:
		c.handleSpareUnits(quota, m)
	case KindLeaseReturn:
		c.handleLeaseReturn(quota, m)
	}
}

// handleLeaseRequest leases out units of the own shares that are free, or gives more time on a lease, unless own requests
// lack it. Each request is answered once.
func (c *Core) handleLeaseRequest(quota int, m Message) {
	if m.Units <= 0 || m.PlanRevision != c.plan.Revision {
		return
	}
	index := slices.IndexFunc(c.granted.leases, func(l lease) bool { return l.matches(quota, &m) })
	if index >= 0 {
		c.renewLease(&c.granted.leases[index], m)
		return
	}
	outdated := slices.ContainsFunc(c.granted.leases, func(l lease) bool {
		return l.peer == m.Sender && l.incarnation == m.SenderIncarnation && l.quota == quota && l.id > m.LeaseID
	})
	if outdated {
		return
	}
	end := c.now + c.plan.withDrift(c.plan.LeaseTerm)
	units := min(m.Units, c.spareUnits(quota, end))
	c.noteRejected(quota, m.Sender) // even one that is granted a lease may lack more
	if units <= 0 {
		c.rejectLease(m)
		return
	}
	c.granted.leases = append(c.granted.leases, lease{quota: quota, peer: m.Sender, incarnation: m.SenderIncarnation, id: m.LeaseID, units: units, until: end})
	c.grantLease(m, units)
}

// renewLease gives more time on a lease, unless own requests wait for more units than are recalled already.
func (c *Core) renewLease(l *lease, m Message) {
	if c.now >= l.until {
		return
	}
	if !l.final {
		l.final = c.heldBack(l.quota)-max(0, c.free(l.quota, c.now)) > c.recalled(l.quota)
	}
	if l.final {
		c.rejectLease(m)
		return
	}
	end := c.now + c.plan.withDrift(c.plan.LeaseTerm)
	before := l.until
	l.until = max(before, end)
	if c.leastOwn(l.quota, end) < 0 && c.plan.Mutation != LeaseBeyondShareTerm {
		l.until = before // a lease must end before the share does of which it is
		return
	}
	c.grantLease(m, l.units)
}

func (c *Core) grantLease(m Message, units int64) {
	c.send(m.Sender, Message{Kind: KindLeaseGrant, RecipientIncarnation: m.SenderIncarnation, QuotaID: m.QuotaID, Units: units, Sequence: m.Sequence, LeaseID: m.LeaseID})
}

func (c *Core) rejectLease(m Message) {
	c.send(m.Sender, Message{Kind: KindReject, RecipientIncarnation: m.SenderIncarnation, QuotaID: m.QuotaID, Sequence: m.Sequence, LeaseID: m.LeaseID})
}

func (c *Core) handleLeaseReturn(quota int, m Message) {
	c.quotas[quota].announce.units = -1
	if m.RecipientIncarnation != c.incarnation {
		return
	}
	c.granted.leases = slices.DeleteFunc(c.granted.leases, func(l lease) bool { return l.matches(quota, &m) })
}

// recalled returns the units that borrowers return as soon as they can.
func (c *Core) recalled(quota int) int64 { return finalUnits(c.granted.leases, quota) }

// toBeReturned returns the units that this process returns as soon as it can.
func (c *Core) toBeReturned(quota int) int64 { return finalUnits(c.taken.leases, quota) }

func finalUnits(leases []lease, quota int) (units int64) {
	for i := range leases {
		if l := &leases[i]; l.quota == quota && l.final {
			units += l.units
		}
	}
	return units
}

// spareUnits returns the units of the own shares that are free until a time, less what own requests wait for or have reserved.
func (c *Core) spareUnits(quota int, until Time) int64 {
	own := c.leastOwn(quota, until)
	switch c.plan.Mutation {
	case LeaseBeyondShareTerm:
		own = c.ownAt(quota, c.now)
	case GrantNoLease:
		return 0
	}
	return min(own, c.free(quota, until)-c.heldBack(quota)-c.quotas[quota].reservedUnits)
}

// handleLeaseGrant takes a lease, or more time on one. It ends a lease term after it was requested.
func (c *Core) handleLeaseGrant(quota int, m Message) {
	index := slices.IndexFunc(c.taken.requests, func(r leaseRequest) bool { return r.matches(quota, &m) })
	if index < 0 || m.RecipientIncarnation != c.incarnation || m.Units <= 0 || m.Units > c.taken.requests[index].units {
		return
	}
	until := c.taken.requests[index].sentAt + c.plan.LeaseTerm
	if c.taken.requests[index].blind {
		c.spares.rewardBlindRequest()
	}
	if c.plan.Mutation != CountGrantTwice {
		c.taken.requests = slices.Delete(c.taken.requests, index, index+1)
	}
	if m.PlanRevision != c.plan.Revision { // it is of another total
		c.send(m.Sender, Message{Kind: KindLeaseReturn, RecipientIncarnation: m.SenderIncarnation, QuotaID: m.QuotaID, LeaseID: m.LeaseID})
		return
	}
	if c.now >= until {
		return
	}
	held := slices.IndexFunc(c.taken.leases, func(l lease) bool { return l.matches(quota, &m) })
	if held >= 0 && c.plan.Mutation != CountGrantTwice {
		c.taken.leases[held].until = max(c.taken.leases[held].until, until)
		return
	}
	c.taken.leases = append(c.taken.leases, lease{quota: quota, peer: m.Sender, incarnation: m.SenderIncarnation, id: m.LeaseID, units: m.Units, until: until})
}

// handleLeaseRejection takes in that a member has nothing to lease out, or gives no more time. Others are asked at once.
func (c *Core) handleLeaseRejection(quota int, m Message) {
	index := slices.IndexFunc(c.taken.requests, func(r leaseRequest) bool { return r.matches(quota, &m) })
	if index < 0 || m.RecipientIncarnation != c.incarnation {
		return
	}
	c.taken.requests = slices.Delete(c.taken.requests, index, index+1)
	for i := range c.taken.leases {
		if l := &c.taken.leases[i]; l.matches(quota, &m) {
			l.final = true
		}
	}
	for i := range c.spares.peers {
		if peer := &c.spares.peers[i]; peer.name == m.Sender {
			peer.units[quota], peer.receivedAt = 0, c.now
		}
	}
}

// ReturnLeases returns leases of a quota one by one as far as so many units can be spared, and in any case those that are not renewed.
// What requests use stays until their end.
func (c *Core) ReturnLeases(now Time, quota int, spared int64) {
	c.advance(now)
	if c.quotas[quota].reservedUnits > 0 {
		return
	}
	for i := 0; i < len(c.taken.leases); {
		l := c.taken.leases[i]
		if l.quota != quota || l.units > spared && !l.final {
			i++
			continue
		}
		c.taken.leases = slices.Delete(c.taken.leases, i, i+1) // from here on nothing of it is used
		if !c.coversUses(quota) {
			c.taken.leases = slices.Insert(c.taken.leases, i, l)
			i++
			continue
		}
		if !l.final {
			spared -= l.units
		}
		c.returnLease(&l)
	}
}

// returnLease notifies the lender. A renewal that was requested is ignored when it comes, because the lender has the units back by then.
func (c *Core) returnLease(l *lease) {
	if c.plan.Mutation != RenewReturnedLease {
		c.taken.requests = slices.DeleteFunc(c.taken.requests, func(r leaseRequest) bool {
			return r.quota == l.quota && r.lender == l.peer && r.leaseID == l.id
		})
	}
	c.send(l.peer, Message{Kind: KindLeaseReturn, RecipientIncarnation: l.incarnation, QuotaID: c.plan.QuotaIDs[l.quota], LeaseID: l.id})
}

// requestLease asks for a lease, or for more time on one.
func (c *Core) requestLease(quota int, lender string, units int64, id uint32) {
	c.sequence++
	isNew := !slices.ContainsFunc(c.taken.leases, func(l lease) bool { return l.quota == quota && l.peer == lender && l.id == id })
	c.taken.requests = append(c.taken.requests, leaseRequest{quota: quota, lender: lender, leaseID: id, sequence: c.sequence, units: units, sentAt: c.now, isNew: isNew})
	c.send(lender, Message{Kind: KindLeaseRequest, QuotaID: c.plan.QuotaIDs[quota], Units: units, Sequence: c.sequence, LeaseID: id})
}

// requestNewLease asks for a lease under a new ID.
func (c *Core) requestNewLease(quota int, lender string, units int64) {
	c.taken.lastID++
	c.requestLease(quota, lender, units, c.taken.lastID)
}

// renewalRequested reports whether more time on a lease was requested lately.
func (c *Core) renewalRequested(l *lease) bool {
	return slices.ContainsFunc(c.taken.requests, func(r leaseRequest) bool {
		return r.quota == l.quota && r.lender == l.peer && r.leaseID == l.id && c.now-r.sentAt < requestTimeout
	})
}
