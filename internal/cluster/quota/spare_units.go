package quota

import (
	"slices"
	"strings"

	"magpiebank/internal/admission"
)

const (
	// announceInterval is the time between two announcement rounds. With 0.3 s, a burst finds idle members within the duration of a few
	// requests, and announcements cost a few bytes per second and member.
	announceInterval = 3 * admission.Second / 10
	// announceFanOut is the number of peers notified in a round; the next round notifies the next peers. With 500 members, each member
	// receives 16 announcements per round, and one from every other member within ten seconds.
	announceFanOut = 16
	// A value that has not changed since all peers were notified is announced only in one of repeatCycles cycles through the peers, for
	// members that are new or have lost it.
	repeatCycles = 10
	// announcementLifetime is the time without an announcement after which a peer may be sent a blind request. With 500 members, a peer's
	// announcement arrives only every ten seconds, and a burst moves faster.
	announcementLifetime = admission.Second
	// Each blind request uses one credit. One credit is added every blindInterval, and blindReward credits for each blind request that
	// is granted.
	blindInterval = admission.Second / 4
	blindReward   = 2
	// rejectedLifetime is how long a rejected request is stored so that its sender can be notified of spare units. After that time,
	// other members have notified the sender.
	rejectedLifetime = admission.Second
	// maxPeers limits the peers whose spare units are stored. When there are more, all are removed, because members come and go.
	maxPeers = 1024
)

// spareExchange holds the spare units that peers have announced, and the state of this member's announcements and blind requests.
type spareExchange struct {
	peers              []peerSpare // by name
	nextAnnouncementAt Time
	nextRecipient      int // counter that selects the first peer of the next announcement round
	round              int // number of the last announcement round

	nextLender      int  // index at which the next search for a lender starts, to alternate between peers with equal spare units
	nextUnknownPeer int  // counter that selects the next peer considered for a blind request
	blindCredit     int  // number of blind requests that may be sent
	nextCreditAt    Time // when the next credit is added
}

// peerSpare holds how many units of each quota a peer could lease out: as it last announced, less the units requested from it since.
type peerSpare struct {
	name       string
	units      []int64 // by quota index
	receivedAt Time    // when the peer last sent an announcement or a rejection, or was chosen for a blind request
}

// rewardBlindRequest adds credits for a blind request that was granted.
func (s *spareExchange) rewardBlindRequest() {
	s.blindCredit = min(s.blindCredit+blindReward, maxOpenRequests)
}

func (s *spareExchange) limitPeers() {
	if len(s.peers) > maxPeers {
		s.peers = s.peers[:0]
	}
}

// peerWithMostSpare returns the index of the peer with most spare units, or -1 if no peer has any. Among equal ones, it returns the first
// after the lender chosen last.
func (s *spareExchange) peerWithMostSpare(quota int, self string) int {
	maxUnits, best := int64(0), -1
	for k := range s.peers {
		i := (s.nextLender + k) % len(s.peers)
		if peer := &s.peers[i]; peer.units[quota] > maxUnits && peer.name != self {
			maxUnits, best = peer.units[quota], i
		}
	}
	return best
}

// announceSpareUnits notifies the next peers of the units that this member could lease out.
func (c *Core) announceSpareUnits() {
	s := &c.spares
	s.nextAnnouncementAt = c.now + announceInterval
	peers := c.host.Peers()
	recipients := min(announceFanOut, len(peers))
	cycleRounds := max(1, (len(peers)+announceFanOut-1)/announceFanOut) // rounds in a cycle through all peers
	s.round++
	for q := range c.plan.Totals {
		units := max(0, c.spareUnits(q, c.now+c.plan.withDrift(c.plan.LeaseTerm)))
		last := &c.quotas[q].announce
		if units != last.units {
			last.units, last.round = units, s.round
		}
		if s.round-last.round >= cycleRounds && s.round%(repeatCycles*cycleRounds) >= cycleRounds {
			continue
		}
		for k := range recipients {
			c.send(peers[(s.nextRecipient+k)%len(peers)], Message{Kind: KindSpareUnits, QuotaID: c.plan.QuotaIDs[q], Units: units})
		}
	}
	s.nextRecipient += recipients
}

// storeRejected stores a member that requested units, so that notifyRejected can notify it as soon as there are spare units.
func (c *Core) storeRejected(quota int, peer string) {
	known := slices.ContainsFunc(c.granted.rejected, func(r rejectedRequest) bool { return r.quota == quota && r.peer == peer })
	if !known && len(c.granted.rejected) < maxOpenRequests {
		c.granted.rejected = append(c.granted.rejected, rejectedRequest{quota, peer, c.now})
	}
}

// notifyRejected notifies stored members of spare units, at most one member for each spare unit. It removes the members that it has
// notified and those whose request is too old.
func (c *Core) notifyRejected() {
	if len(c.granted.rejected) == 0 {
		return
	}
	const usualQuotas = 8
	spare := make([]int64, 0, usualQuotas) // by quota index: spare units left for the members not notified yet
	c.granted.rejected = slices.DeleteFunc(c.granted.rejected, func(r rejectedRequest) bool {
		if c.now-r.requestedAt >= rejectedLifetime {
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
	peer := c.peerSpareOf(m.Sender)
	peer.units[quota], peer.receivedAt = m.Units, c.now
}

// peerSpareOf returns the record of a peer, and adds an empty record for a new peer.
func (c *Core) peerSpareOf(name string) *peerSpare {
	i, ok := slices.BinarySearchFunc(c.spares.peers, name, func(p peerSpare, name string) int { return strings.Compare(p.name, name) })
	if !ok {
		c.spares.peers = slices.Insert(c.spares.peers, i, peerSpare{name: name, units: make([]int64, len(c.plan.Totals)), receivedAt: -announcementLifetime})
	}
	return &c.spares.peers[i]
}

// nextUnknownPeer uses one credit and returns the next peer that has announced nothing recently. It returns an empty name if there is no
// such peer or no credit.
func (c *Core) nextUnknownPeer() string {
	s := &c.spares
	for ; c.now >= s.nextCreditAt && s.blindCredit < maxOpenRequests; s.nextCreditAt = max(s.nextCreditAt+blindInterval, c.now-announcementLifetime) {
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
		if peer := c.peerSpareOf(name); c.now-peer.receivedAt >= announcementLifetime {
			peer.receivedAt = c.now
			s.blindCredit--
			return name
		}
	}
	return ""
}
