package quota

import (
	"slices"
	"strings"
)

// Status is the state of one quota at a member. Amounts are in units.
type Status struct {
	Index          int // index of the quota
	Total          int64
	OwnShare       int64 // units of the usable shares that the member holds
	LeasedOut      int64
	LeasedIn       int64
	InUse          int64
	Demand         int64 // units that waiting requests need
	ShareExpiresIn Time  // time until the own share expires; 0 or less: the member does not hold it
	Peers          []PeerStatus
}

// PeerStatus is the state of one quota between this member and a peer.
type PeerStatus struct {
	Name       string
	LeasedOut  int64 // units leased to the peer
	LeasedIn   int64 // units leased from the peer
	ExpiresIn  Time  // time until the first lease between the two ends; 0: there is none
	SpareUnits int64 // units that the peer could lease out, less the units requested from it since its last announcement
	SpareAge   Time  // time since the peer last sent an announcement or a rejection, or was sent a blind request; below 0: no record of the peer
}

// Statuses returns the status of every quota. Peers are sorted by name.
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
	s := Status{Index: quota, Total: c.plan.Totals[quota], InUse: c.usedUnitsAt(quota, c.now), Demand: c.quotas[quota].demand.units,
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

// peerOf returns the status of a lease's peer, and updates its ExpiresIn with the end of the lease.
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
