package quota

import (
	"encoding/binary"
	"slices"
)

// State exploration (internal/testbed/quotamodel) steps a core by less than a tick at a time, from states that it sets up, and compares the
// states that it comes to. What it needs of a core beyond the protocol's calls is in this file.

// Name returns the member's name.
func (c *Core) Name() string { return c.name }

// Incarnation returns the process's incarnation.
func (c *Core) Incarnation() uint64 { return c.incarnation }

// IsVoter reports whether the process is a voter.
func (c *Core) IsVoter() bool { return c.voter.index >= 0 }

// IsJoining reports whether the process is a voter that the other voters do not know yet.
func (c *Core) IsJoining() bool { return c.voter.index >= 0 && c.voter.openAt == Never }

// LastClaim returns the number of the last claim of the own share, 0 before the first, and when it was sent.
func (c *Core) LastClaim() (sequence uint32, sentAt Time) {
	return c.claims[0].sequence, c.claims[0].claimedAt
}

// LeaseCounts returns how many leases are requested, taken and granted.
func (c *Core) LeaseCounts() (requested, taken, granted int) {
	return len(c.taken.requests), len(c.taken.leases), len(c.granted.leases)
}

// Expire has time go on and drops what has ended, without the other steps of a tick.
func (c *Core) Expire(now Time) {
	c.advance(now)
	c.expire()
}

// ClaimShare claims the own share now.
func (c *Core) ClaimShare(now Time) {
	c.advance(now)
	c.claimShare(0)
}

// HoldShare has the own share be held until a time, without claims.
func (c *Core) HoldShare(until Time) {
	c.claims[0].heldUntil, c.claims[0].nextClaimAt = until, Never
}

// OpenVoter opens a voter at once that knows these incarnations of the voters and was known by those.
func (c *Core) OpenVoter(now Time, incarnations, knownBy []uint64) {
	c.advance(now)
	copy(c.voter.incarnations, incarnations)
	copy(c.voter.knownBy, knownBy)
	c.voter.openAt = c.now
}

// RestartJoin has a voter forget by whom it is known.
func (c *Core) RestartJoin() { c.restartJoin() }

// JoinVoters has a voter that is not open ask the others to learn its incarnation.
func (c *Core) JoinVoters(now Time) {
	c.advance(now)
	c.joinVoters()
}

// RequestLease asks a member for so many units of a quota, or for more time on the lease that it has granted.
func (c *Core) RequestLease(quota int, lender string, units int64) {
	i := slices.IndexFunc(c.taken.leases, func(l lease) bool { return l.quota == quota && l.peer == lender })
	if i < 0 {
		c.requestNewLease(quota, lender, units)
		return
	}
	c.requestLease(quota, lender, c.taken.leases[i].units, c.taken.leases[i].id)
}

// Clone returns a copy that shares no state with the core and acts on another host.
func (c *Core) Clone(host Host) *Core {
	d := *c
	d.host = host
	d.voter.incarnations, d.voter.knownBy, d.voter.holders = slices.Clone(c.voter.incarnations), slices.Clone(c.voter.knownBy), slices.Clone(c.voter.holders)
	d.claims = slices.Clone(c.claims)
	for i := range d.claims {
		d.claims[i].confirmations = slices.Clip(d.claims[i].confirmations) // confirmations are added, and never changed
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

// Digests tell apart times up to these differences from now.
const (
	digestHorizon  = 1000
	digestMaxAge   = 100
	digestUpToDate = -1 // of all times that have passed
)

// digest collects the parts of a core's state that decide how it goes on, with times relative to now.
type digest struct {
	b   []byte
	now Time
}

func (d *digest) number(v int64)   { d.b = binary.AppendVarint(d.b, v) }
func (d *digest) text(s string)    { d.b = append(d.b, s...) }
func (d *digest) deadline(at Time) { d.number(int64(max(digestUpToDate, at-d.now))) }

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

// AppendDigest appends the parts of the state that decide how claims and leases go on, with times relative to now. Cores
// with equal digests go on alike, whatever the time.
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
