package quota

import (
	"slices"
	"strings"

	"magpiebank/internal/admission"
)

const (
	// Spare units are announced every 0.3 s: a burst finds idle members within the time of some requests, at some bytes a second a member.
	announceInterval = 3 * admission.Second / 10
	// Each announcement goes to so many peers in turn: of 500 each hears of as many a time, and of all in ten seconds.
	announceFanOut = 16
	// What has not changed since all peers were notified is announced again in one of so many turns, for members that are
	// new or have lost it.
	repeatTurns = 10
	// A peer that has announced nothing for so long may be asked all the same: among 500 each is notified by the others
	// every ten seconds, and a burst moves faster.
	peerSilence = admission.Second
	// A blind request is paid for by credit, of which one is added every quarter of a second; a request that finds something adds more.
	blindInterval = admission.Second / 4
	blindReward   = 2
	// A rejected member is notified of spare units for so long; after that it has been notified by others.
	rejectedLifetime = admission.Second
	// So many peers are remembered; then all are forgotten, because names come and go.
	maxPeers = 1024
)

// spareExchange is what members announce to each other of the units that they could lease out.
type spareExchange struct {
	peers              []peerSpare // by name
	nextAnnouncementAt Time
	nextRecipient      int // where the peers that are notified next begin
	round              int // of announcements

	nextLender      int // the peer to ask next, where several could lease out as much
	nextUnknownPeer int // the peer to ask next of those that announced nothing lately
	blindCredit     int // so many blind requests may be sent
	creditAt        Time
}

// peerSpare is how many units of each quota a peer could lease out when it last said so.
type peerSpare struct {
	name       string
	units      []int64 // by quota index
	receivedAt Time
}

// rewardBlindRequest adds credit for a blind request that was granted.
func (s *spareExchange) rewardBlindRequest() {
	s.blindCredit = min(s.blindCredit+blindReward, maxOpenRequests)
}

func (s *spareExchange) limitPeers() {
	if len(s.peers) > maxPeers {
		s.peers = s.peers[:0]
	}
}

// richestPeer returns the index of the peer that could lease out most, beginning after the one that was asked last; -1: none could.
func (s *spareExchange) richestPeer(quota int, self string) int {
	most, richest := int64(0), -1
	for k := range s.peers {
		i := (s.nextLender + k) % len(s.peers)
		if peer := &s.peers[i]; peer.units[quota] > most && peer.name != self {
			most, richest = peer.units[quota], i
		}
	}
	return richest
}

// announceSpareUnits notifies some peers of what this member could lease out.
func (c *Core) announceSpareUnits() {
	s := &c.spares
	s.nextAnnouncementAt = c.now + announceInterval
	peers := c.host.Peers()
	recipients := min(announceFanOut, len(peers))
	turn := max(1, (len(peers)+announceFanOut-1)/announceFanOut) // rounds until all have been notified
	s.round++
	for q := range c.plan.Totals {
		units := max(0, c.spareUnits(q, c.now+c.plan.withDrift(c.plan.LeaseTerm)))
		last := &c.quotas[q].announce
		if units != last.units {
			last.units, last.round = units, s.round
		}
		if s.round-last.round >= turn && s.round%(repeatTurns*turn) >= turn {
			continue
		}
		for k := range recipients {
			c.send(peers[(s.nextRecipient+k)%len(peers)], Message{Kind: KindSpareUnits, QuotaID: c.plan.QuotaIDs[q], Units: units})
		}
	}
	s.nextRecipient += recipients
}

// noteRejected remembers a member that asked for units, so that notifyRejected notifies it first once there are more.
func (c *Core) noteRejected(quota int, peer string) {
	known := slices.ContainsFunc(c.granted.rejected, func(r rejectedRequest) bool { return r.quota == quota && r.peer == peer })
	if !known && len(c.granted.rejected) < maxOpenRequests {
		c.granted.rejected = append(c.granted.rejected, rejectedRequest{quota, peer, c.now})
	}
}

// notifyRejected notifies the members that asked in vain of spare units, as many of them as there are units.
func (c *Core) notifyRejected() {
	if len(c.granted.rejected) == 0 {
		return
	}
	const usualQuotas = 8
	spare := make([]int64, 0, usualQuotas) // by quota index, for the members that were not notified yet
	c.granted.rejected = slices.DeleteFunc(c.granted.rejected, func(r rejectedRequest) bool {
		if c.now-r.at >= rejectedLifetime {
			return true
		}
		for len(spare) <= r.quota {
			spare = append(spare, max(0, c.spareUnits(len(spare), c.now+c.plan.withDrift(c.plan.LeaseTerm))))
		}
		if spare[r.quota] == 0 {
			return false
		}
		c.send(r.peer, Message{Kind: KindSpareUnits, QuotaID: c.plan.QuotaIDs[r.quota], Units: spare[r.quota]})
		spare[r.quota]--
		return true
	})
}

func (c *Core) handleSpareUnits(quota int, m Message) {
	if m.PlanRevision != c.plan.Revision {
		return
	}
	peer := c.spareOf(m.Sender)
	peer.units[quota], peer.receivedAt = m.Units, c.now
}

// spareOf returns what is known of a peer, and makes it where there is nothing.
func (c *Core) spareOf(name string) *peerSpare {
	i, ok := slices.BinarySearchFunc(c.spares.peers, name, func(p peerSpare, name string) int { return strings.Compare(p.name, name) })
	if !ok {
		c.spares.peers = slices.Insert(c.spares.peers, i, peerSpare{name: name, units: make([]int64, len(c.plan.Totals)), receivedAt: -peerSilence})
	}
	return &c.spares.peers[i]
}

// nextUnknownPeer returns the next peer that has announced nothing lately; empty: there is none, or no credit for asking it.
func (c *Core) nextUnknownPeer() string {
	s := &c.spares
	for ; c.now >= s.creditAt && s.blindCredit < maxOpenRequests; s.creditAt = max(s.creditAt+blindInterval, c.now-peerSilence) {
		s.blindCredit++
	}
	if s.blindCredit == 0 {
		return ""
	}
	peers := c.host.Peers()
	for range peers {
		s.nextUnknownPeer++
		name := peers[s.nextUnknownPeer%len(peers)]
		if name == c.name {
			continue
		}
		if peer := c.spareOf(name); c.now-peer.receivedAt >= peerSilence {
			peer.receivedAt = c.now
			s.blindCredit--
			return name
		}
	}
	return ""
}
