package quota

import (
	"encoding/binary"
	"slices"
)

// This file holds the methods that only the testbed uses, mainly state exploration (internal/testbed/quotamodel). State exploration
// runs parts of a tick one by one, starts from states that it sets up, and compares the states that it reaches.

// Name returns the name of the member.
func (c *Core) Name() string { return c.name }

// Incarnation returns the process's incarnation.
func (c *Core) Incarnation() uint64 { return c.incarnation }

// IsVoter reports whether the process is a voter.
func (c *Core) IsVoter() bool { return c.voter.index >= 0 }

// IsJoining reports whether the process is a voter that not all other voters know yet.
func (c *Core) IsJoining() bool { return c.voter.index >= 0 && c.voter.openAt == Never }

// LastClaim returns the sequence number of the last claim of the own share, or 0 before the first, and when the claim was sent.
func (c *Core) LastClaim() (sequence uint32, sentAt Time) {
	return c.claims[0].sequence, c.claims[0].claimedAt
}

// LeaseCounts returns the number of open lease requests, of leases taken and of leases granted.
func (c *Core) LeaseCounts() (requested, taken, granted int) {
	return len(c.taken.requests), len(c.taken.leases), len(c.granted.leases)
}

// Expire moves the clock forward and removes what has ended, without the other steps of a tick.
func (c *Core) Expire(now Time) {
	c.advance(now)
	c.removeExpired()
}

// ClaimShare claims the own share now.
func (c *Core) ClaimShare(now Time) {
	c.advance(now)
	c.claimShare(0)
}

// HoldShare makes the process hold its own share until a time, without claims.
func (c *Core) HoldShare(until Time) {
	c.claims[0].heldUntil, c.claims[0].nextClaimAt = until, Never
}

// OpenVoter opens a voter at once, and sets the incarnations of the voters that it knows and of those that knew it.
func (c *Core) OpenVoter(now Time, incarnations, knownBy []uint64) {
	c.advance(now)
	copy(c.voter.incarnations, incarnations)
	copy(c.voter.knownBy, knownBy)
	c.voter.openAt = c.now
}

// RestartJoin closes a voter and makes it forget which voters know it.
func (c *Core) RestartJoin() { c.restartJoin() }

// JoinVoters makes a voter that has not joined yet send its incarnation to the voters that do not know it.
func (c *Core) JoinVoters(now Time) {
	c.advance(now)
	c.joinVoters()
}

// RequestLease requests a lease of units from a member, or the renewal of a lease that the member has already granted.
func (c *Core) RequestLease(quota int, lender string, units int64) {
	i := slices.IndexFunc(c.taken.leases, func(l lease) bool { return l.quota == quota && l.peer == lender })
	if i < 0 {
		c.requestNewLease(quota, lender, units)
		return
	}
	c.requestLease(quota, lender, c.taken.leases[i].units, c.taken.leases[i].id)
}

// Clone returns a copy of the core that uses another host and shares no modifiable state with the core.
func (c *Core) Clone(host Host) *Core {
	d := *c
	d.host = host
	d.voter.incarnations, d.voter.knownBy, d.voter.holders = slices.Clone(c.voter.incarnations), slices.Clone(c.voter.knownBy), slices.Clone(c.voter.holders)
	d.claims = slices.Clone(c.claims)
	for i := range d.claims {
		d.claims[i].confirmations = slices.Clip(d.claims[i].confirmations) // confirmations are only appended, and never modified
	}
	d.granted.leases, d.granted.rejected = slices.Clone(c.granted.leases), slices.Clone(c.granted.rejected)
	d.taken.leases, d.taken.requests = slices.Clone(c.taken.leases), slices.Clone(c.taken.requests)
	d.allocations, d.quotas = slices.Clone(c.allocations), slices.Clone(c.quotas)
	d.spares.peers = slices.Clone(c.spares.peers)
	for i := range d.spares.peers {
		d.spares.peers[i].units = slices.Clone(d.spares.peers[i].units)
	}
	return &d
}

// Limits for the times in a digest, which are relative to now.
const (
	digestHorizon = 1000 // maximum time until a voter opens
	digestMaxAge  = 100  // maximum age of a claim
	digestPassed  = -1   // stands for every deadline that has passed
)

// digest collects the parts of a core's state that determine its future behavior, with times relative to now.
type digest struct {
	b   []byte
	now Time
}

func (d *digest) number(v int64)   { d.b = binary.AppendVarint(d.b, v) }
func (d *digest) text(s string)    { d.b = append(d.b, s...) }
func (d *digest) deadline(at Time) { d.number(int64(max(digestPassed, at-d.now))) }

func (d *digest) numbers(list []uint64) {
	for _, v := range list {
		d.number(int64(v))
	}
}

func (d *digest) leases(list []lease) {
	d.number(int64(len(list)))
	for i := range list {
		l := &list[i]
		d.text(l.peer)
		d.number(int64(l.incarnation))
		d.number(int64(l.id))
		d.number(l.units)
		d.deadline(l.until)
		final := int64(0)
		if l.final {
			final = 1
		}
		d.number(final)
	}
}

// AppendDigest appends the parts of the state that determine the future of claims and leases, with times relative to now. Cores with
// equal digests behave alike from then on, at whatever time.
func (c *Core) AppendDigest(b []byte, now Time) []byte {
	d := &digest{b: b, now: now}
	d.deadline(min(c.voter.openAt, now+digestHorizon))
	for i := range c.claims {
		d.claim(&c.claims[i])
	}
	d.number(int64(c.sequence))
	d.numbers(c.predecessors)
	d.numbers(c.voter.incarnations)
	d.numbers(c.voter.knownBy)
	for i := range c.voter.holders {
		holder := &c.voter.holders[i]
		d.text(holder.name)
		d.number(int64(holder.incarnation))
		d.deadline(holder.until)
	}
	d.leases(c.granted.leases)
	d.leases(c.taken.leases)
	for i := range c.taken.requests {
		r := &c.taken.requests[i]
		d.text(r.lender)
		d.number(int64(r.sequence))
		d.number(int64(r.leaseID))
		d.number(r.units)
		d.number(int64(r.sentAt - now))
	}
	for i := range c.quotas {
		d.number(c.quotas[i].demand.units)
	}
	return d.b
}

func (d *digest) claim(claim *shareClaim) {
	d.number(int64(claim.share))
	d.deadline(claim.usableFrom)
	d.deadline(claim.heldUntil)
	if claim.sequence > 0 {
		d.number(int64(max(-digestMaxAge, claim.claimedAt-d.now)))
	}
	for i := range claim.confirmations {
		v := &claim.confirmations[i]
		d.number(int64(v.voter))
		d.number(int64(v.incarnation))
		d.numbers(v.voterIncarnations)
		d.numbers(v.knownIncarnations)
	}
}
