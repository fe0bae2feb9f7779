package quota

import (
	"slices"
	"strings"
)

// Status is one quota as a member sees it, in units.
type Status struct {
	Index          int // of the quota
	Total          int64
	OwnShare       int64 // of the shares that it holds
	LeasedOut      int64
	LeasedIn       int64
	InUse          int64
	Demand         int64 // of waiting requests
	ShareExpiresIn Time  // for how long the own share is still held; below 0: it is not
	Peers          []PeerStatus
}

// PeerStatus is what there is of a quota between this member and another.
type PeerStatus struct {
	Name       string
	LeasedOut  int64
	LeasedIn   int64
	ExpiresIn  Time  // until the first of these leases ends
	SpareUnits int64 // that the peer could lease out
	SpareAge   Time  // since it said so; below 0: it never did
}

// Statuses returns those of all quotas, with peers by name.
func (s *Synchronized) Statuses(now Time) (out []Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.core
	c.advance(now)
	for q := range c.plan.Totals {
		out = append(out, c.status(q))
	}
	return out
}

func (c *Core) status(quota int) Status {
	s := Status{Index: quota, Total: c.plan.Totals[quota], InUse: c.usedAt(quota, c.now), Demand: c.quotas[quota].demand.units,
		ShareExpiresIn: max(-1, c.claims[0].heldUntil-c.now)}
	for i := range c.claims {
		if claim := &c.claims[i]; claim.usableFrom <= c.now && c.now < claim.heldUntil {
			s.OwnShare += c.plan.shareUnits(quota, claim.share, c.quotas[quota].scale)
		}
	}
	for i := range c.spares.peers {
		peer := &c.spares.peers[i]
		s.Peers = append(s.Peers, PeerStatus{Name: peer.name, SpareUnits: peer.units[quota], SpareAge: c.now - peer.receivedAt})
	}
	for i := range c.granted.leases {
		if l := &c.granted.leases[i]; l.quota == quota && c.now < l.until {
			s.LeasedOut += l.units
			s.peerOf(l, c.now).LeasedOut += l.units
		}
	}
	for i := range c.taken.leases {
		if l := &c.taken.leases[i]; l.quota == quota && c.now < l.until {
			s.LeasedIn += l.units
			s.peerOf(l, c.now).LeasedIn += l.units
		}
	}
	return s
}

// peerOf returns the status of a lease's peer, with the end of that lease taken in.
func (s *Status) peerOf(l *lease, now Time) *PeerStatus {
	i, ok := slices.BinarySearchFunc(s.Peers, l.peer, func(p PeerStatus, name string) int { return strings.Compare(p.Name, name) })
	if !ok {
		s.Peers = slices.Insert(s.Peers, i, PeerStatus{Name: l.peer, SpareAge: -1})
	}
	peer := &s.Peers[i]
	if end := l.until - now; peer.ExpiresIn == 0 || end < peer.ExpiresIn {
		peer.ExpiresIn = end
	}
	return peer
}
