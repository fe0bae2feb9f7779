package quota

import "slices"

// lease is a number of units that one member has leased to another, as stored at the lender or at the borrower.
type lease struct {
	quota       int
	peer        string // at the lender: the borrower; at the borrower: the lender
	incarnation uint64 // incarnation of the peer
	id          uint32
	units       int64
	until       Time
	final       bool // the lease is not renewed; the borrower uses it for no new request and returns it as soon as possible
}

// matches reports whether a message was sent by the lease's peer and refers to the lease.
func (l *lease) matches(quota int, m *Message) bool {
	return l.peer == m.Sender && l.incarnation == m.SenderIncarnation && l.quota == quota && l.id == m.LeaseID
}

// grantedLeases holds the leases that this member has granted as a lender.
type grantedLeases struct {
	leases   []lease
	rejected []rejectedRequest // members that recently requested units and may need more
}

// rejectedRequest identifies a member that requested units and got none, or possibly fewer than it needs.
type rejectedRequest struct {
	quota       int
	peer        string
	requestedAt Time
}

// takenLeases holds the leases that this member has taken as a borrower, and its open lease requests.
type takenLeases struct {
	leases   []lease
	requests []leaseRequest
	lastID   uint32
	pauses   uint32 // number of pauses in collecting units for wide requests; see pauseCollecting
}

// leaseRequest is a request for a lease or for a renewal.
type leaseRequest struct {
	quota    int
	lender   string
	leaseID  uint32
	sequence uint32
	units    int64
	sentAt   Time
	isNew    bool // it requests a new lease, not a renewal
	blind    bool // it went to a member that has not announced its spare units recently
}

func (r *leaseRequest) matches(quota int, m *Message) bool {
	return r.lender == m.Sender && r.sequence == m.Sequence && r.leaseID == m.LeaseID && r.quota == quota
}

func (c *Core) handleLeaseMessage(quota int, m Message) {
	switch m.Kind {
	case KindLeaseRequest:
		c.quotas[quota].announce.units = -1 // the borrower has reduced its record of this member's spare units
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

// handleLeaseRequest leases out free units of the own shares, or renews a lease, unless own requests need the units. A request with a
// lower lease ID than another lease of the same borrower is ignored, because it arrives late or repeatedly.
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
	c.storeRejected(quota, m.Sender) // a borrower that gets a lease may need more units than it got
	if units <= 0 {
		c.rejectLease(m)
		return
	}
	c.granted.leases = append(c.granted.leases, lease{quota: quota, peer: m.Sender, incarnation: m.SenderIncarnation, id: m.LeaseID, units: units, until: end})
	c.grantLease(m, units)
}

// renewLease renews a lease, unless own requests wait for more units than are free or already recalled.
func (c *Core) renewLease(l *lease, m Message) {
	if c.now >= l.until {
		return
	}
	if !l.final {
		l.final = c.heldBackUnits(l.quota)-max(0, c.freeUnits(l.quota, c.now)) > c.recalledUnits(l.quota)
	}
	if l.final {
		c.rejectLease(m)
		return
	}
	end := c.now + c.plan.withDrift(c.plan.LeaseTerm)
	before := l.until
	l.until = max(before, end)
	if c.minOwnUnits(l.quota, end) < 0 && c.plan.Mutation != LeaseBeyondShareTerm {
		l.until = before // a lease must end before the share that its units belong to
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

// recalledUnits returns the units that borrowers must return as soon as possible.
func (c *Core) recalledUnits(quota int) int64 { return finalUnits(c.granted.leases, quota) }

// unitsToReturn returns the units that this process must return to lenders as soon as possible.
func (c *Core) unitsToReturn(quota int) int64 { return finalUnits(c.taken.leases, quota) }

func finalUnits(leases []lease, quota int) (units int64) {
	for i := range leases {
		if l := &leases[i]; l.quota == quota && l.final {
			units += l.units
		}
	}
	return units
}

// spareUnits returns the units of the own shares that are free until a time, less the units that own requests wait for or have reserved.
func (c *Core) spareUnits(quota int, until Time) int64 {
	own := c.minOwnUnits(quota, until)
	switch c.plan.Mutation {
	case LeaseBeyondShareTerm:
		own = c.ownUnitsAt(quota, c.now)
	case GrantNoLease:
		return 0
	}
	return min(own, c.freeUnits(quota, until)-c.heldBackUnits(quota)-c.quotas[quota].reservedUnits)
}

// handleLeaseGrant stores a granted lease or extends a renewed one. The lease ends one lease term after it was requested.
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
	if m.PlanRevision != c.plan.Revision { // the lender granted it under other totals
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

// handleLeaseRejection processes a rejection: the member has no units to lease out, or does not renew a lease. It removes the request and
// resets the member's spare units, so that meetDemand can request the units from other members at once.
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

// ReturnLeases returns leases of a quota one by one, up to the given number of spared units, and also all final leases. A lease that is
// needed for units in use is kept until these uses end. While units of the quota are reserved, no lease is returned.
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
		c.taken.leases = slices.Delete(c.taken.leases, i, i+1) // undone below if units in use depend on it
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

// returnLease notifies the lender of a returned lease. It also removes an open renewal request, so that a late grant of the renewal is
// ignored, because the lender may use the units again by then.
func (c *Core) returnLease(l *lease) {
	if c.plan.Mutation != RenewReturnedLease {
		c.taken.requests = slices.DeleteFunc(c.taken.requests, func(r leaseRequest) bool {
			return r.quota == l.quota && r.lender == l.peer && r.leaseID == l.id
		})
	}
	c.send(l.peer, Message{Kind: KindLeaseReturn, RecipientIncarnation: l.incarnation, QuotaID: c.plan.QuotaIDs[l.quota], LeaseID: l.id})
}

// requestLease requests a lease, or the renewal of the lease with the given ID.
func (c *Core) requestLease(quota int, lender string, units int64, id uint32) {
	c.sequence++
	isNew := !slices.ContainsFunc(c.taken.leases, func(l lease) bool { return l.quota == quota && l.peer == lender && l.id == id })
	c.taken.requests = append(c.taken.requests, leaseRequest{quota: quota, lender: lender, leaseID: id, sequence: c.sequence, units: units, sentAt: c.now, isNew: isNew})
	c.send(lender, Message{Kind: KindLeaseRequest, QuotaID: c.plan.QuotaIDs[quota], Units: units, Sequence: c.sequence, LeaseID: id})
}

// requestNewLease requests a lease under a new ID.
func (c *Core) requestNewLease(quota int, lender string, units int64) {
	c.taken.lastID++
	c.requestLease(quota, lender, units, c.taken.lastID)
}

// renewalRequested reports whether a renewal of a lease was requested so recently that the reply may still arrive.
func (c *Core) renewalRequested(l *lease) bool {
	return slices.ContainsFunc(c.taken.requests, func(r leaseRequest) bool {
		return r.quota == l.quota && r.lender == l.peer && r.leaseID == l.id && c.now-r.sentAt < requestTimeout
	})
}
