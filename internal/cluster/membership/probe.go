package membership

import (
	"slices"

	"magpiebank/internal/admission"
)

// probe is the last probe that was sent in a round.
type probe struct {
	sequence      uint32
	target        string
	sentAt        Time
	helpAt        Time // when to send ping requests to helpers
	until         Time // when the probe times out, and the next one may be sent
	waiting       bool // no reply has been received
	helpRequested bool
}

// relay is a probe that this process sends as a helper of another member.
type relay struct {
	sequence          uint32
	requesterSequence uint32
	requester         string // address of the member that requested the probe
	until             Time
}

const relayTimeout = 2 * admission.Second

// startProbe probes the next member of the round, or starts a new round if none is left. Each round has a random order, and probes every
// member once.
func (c *Core) startProbe() {
	for len(c.round) > 0 {
		name := c.round[len(c.round)-1]
		c.round = c.round[:len(c.round)-1]
		if i, ok := c.indexOf(name); ok && c.members[i].State <= Suspect {
			c.sequence++
			c.probe = probe{sequence: c.sequence, target: name, sentAt: c.now, helpAt: c.now + c.scaleTimeout(ProbeInterval/2), until: c.now + c.scaleTimeout(ProbeInterval), waiting: true}
			c.sendPing(c.members[i].Address, c.sequence, name, c.now-c.newMemberAt < fullExchangePeriod)
			return
		}
	}
	for i := range c.members {
		if c.members[i].State <= Suspect {
			c.round = append(c.round, c.members[i].Name)
		}
	}
	c.random.Shuffle(len(c.round), func(i, j int) { c.round[i], c.round[j] = c.round[j], c.round[i] })
	c.probe.until = c.now + tickInterval
}

// sendPing sends a ping. A full ping requests a reply with as many member records as fit into a message, and carries as many itself.
func (c *Core) sendPing(address string, sequence uint32, about string, full bool) {
	refresh := defaultRefreshCount
	if full {
		refresh = maxMembers
	}
	c.send(address, message{kind: kindPing, full: full, sequence: sequence, about: about}, refresh)
}

// requestHelp probes the target again, because the first probe may be lost, and requests probes of the target from helpers.
func (c *Core) requestHelp() {
	i, ok := c.indexOf(c.probe.target)
	if !ok {
		return
	}
	target := c.members[i]
	c.sendPing(target.Address, c.probe.sequence, target.Name, false)
	for range helperCount {
		if helper, ok := c.pickMember(func(m *Member) bool { return m.State == Alive && m.Name != target.Name }); ok {
			c.send(helper.Address, message{kind: kindPingRequest, sequence: c.probe.sequence, about: target.Name, target: target.Address}, defaultRefreshCount)
		}
	}
}

// endUnansweredProbe makes the target a suspect, or confirms the suspicion of it, and makes the local health worse.
func (c *Core) endUnansweredProbe() {
	c.probe.waiting = false
	c.changeLocalHealth(1)
	i, ok := c.indexOf(c.probe.target)
	if !ok {
		return
	}
	switch m := c.members[i]; m.State {
	case Alive:
		m.State, m.Accuser = Suspect, c.self.Name
		c.applyRecord(m)
	case Suspect:
		c.addAccuser(&c.members[i], c.self.Name)
	}
}

// contactUnreachable pings members that may be back. It pings at most two addresses, drawn from those of one random dead member and of the
// seeds that are not known as reachable members.
func (c *Core) contactUnreachable() {
	const maxContacts = 2 // limits the cost of seeds that are down
	c.nextContactAt = c.now + contactInterval
	if c.CountReachable() == 0 {
		c.nextContactAt = c.now + isolatedContactInterval
	}
	var addresses []string
	if dead, ok := c.pickMember(func(m *Member) bool { return m.State == Dead }); ok {
		addresses = append(addresses, dead.Address)
	}
	for _, seed := range c.seeds {
		reachable := slices.ContainsFunc(c.members, func(m Member) bool { return m.Address == seed && m.State <= Suspect })
		if seed != c.self.Address && !reachable {
			addresses = append(addresses, seed)
		}
	}
	if len(addresses) > maxContacts {
		c.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
		addresses = addresses[:maxContacts]
	}
	for _, address := range addresses {
		c.sequence++
		c.sendPing(address, c.sequence, "", true)
	}
}

func (c *Core) handlePing(m *message) {
	refresh := defaultRefreshCount
	if m.full {
		refresh = maxMembers
	}
	c.send(m.from.Address, message{kind: kindAck, sequence: m.sequence, about: m.from.Name}, refresh)
}

func (c *Core) handlePingRequest(m *message) {
	if len(c.relays) >= maxRelays {
		return
	}
	c.sequence++
	c.relays = append(c.relays, relay{sequence: c.sequence, requesterSequence: m.sequence, requester: m.from.Address, until: c.now + relayTimeout})
	c.sendPing(m.target, c.sequence, m.about, false)
}

func (c *Core) handleAck(m *message) {
	if p := &c.probe; p.waiting && m.sequence == p.sequence && (m.from.Name == p.target || m.about == p.target) {
		p.waiting = false
		p.until = p.sentAt + ProbeInterval
		if c.now-c.newMemberAt < fullExchangePeriod {
			p.until = p.sentAt + tickInterval
		}
		if !p.helpRequested {
			c.changeLocalHealth(-1)
		}
	}
	i := slices.IndexFunc(c.relays, func(r relay) bool { return r.sequence == m.sequence && m.sequence != 0 })
	if i >= 0 {
		r := c.relays[i]
		c.send(r.requester, message{kind: kindAck, sequence: r.requesterSequence, about: m.from.Name}, defaultRefreshCount)
		c.relays = slices.Delete(c.relays, i, i+1)
	}
}
