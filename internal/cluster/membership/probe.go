package membership

import (
	"slices"

	"magpiebank/internal/admission"
)

// probe is the last one that was sent.
type probe struct {
	sequence      uint32
	target        string
	sentAt        Time
	helpAt        Time // when helpers are asked to probe as well
	until         Time // when the next one may be sent
	waiting       bool // for an answer
	helpRequested bool
}

// relay is a probe that is made for another member.
type relay struct {
	sequence          uint32
	requesterSequence uint32
	requester         string // its address
	until             Time
}

const relayTimeout = 2 * admission.Second

// startProbe probes the next member of the round. Each round has its own order, so that every member is probed once a round.
func (c *Core) startProbe() {
	for len(c.round) > 0 {
		name := c.round[len(c.round)-1]
		c.round = c.round[:len(c.round)-1]
		if i, ok := c.indexOf(name); ok && c.members[i].State <= Suspect {
			c.sequence++
			c.probe = probe{sequence: c.sequence, target: name, sentAt: c.now, helpAt: c.now + c.slowed(ProbeInterval/2), until: c.now + c.slowed(ProbeInterval), waiting: true}
			c.sendPing(c.members[i].Address, c.sequence, name, c.now-c.grewAt < growthPeriod)
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

// sendPing sends a probe; full: it asks for as many members as an answer holds, and sends as many.
func (c *Core) sendPing(address string, sequence uint32, about string, full bool) {
	refresh := usualRefresh
	if full {
		refresh = maxMembers
	}
	c.send(address, message{kind: kindPing, full: full, sequence: sequence, about: about}, refresh)
}

// requestHelp probes the target once more, because the first probe may be lost, and has helpers probe it.
func (c *Core) requestHelp() {
	i, ok := c.indexOf(c.probe.target)
	if !ok {
		return
	}
	target := c.members[i]
	c.sendPing(target.Address, c.probe.sequence, target.Name, false)
	for range helperCount {
		if helper, ok := c.pickMember(func(m *Member) bool { return m.State == Alive && m.Name != target.Name }); ok {
			c.send(helper.Address, message{kind: kindPingRequest, sequence: c.probe.sequence, about: target.Name, target: target.Address}, usualRefresh)
		}
	}
}

// endUnansweredProbe suspects the target, and trusts this process less.
func (c *Core) endUnansweredProbe() {
	c.probe.waiting = false
	c.changeHealth(1)
	i, ok := c.indexOf(c.probe.target)
	if !ok {
		return
	}
	switch m := c.members[i]; m.State {
	case Alive:
		m.State, m.Accuser = Suspect, c.self.Name
		c.learn(m)
	case Suspect:
		c.addAccuser(&c.members[i], c.self.Name)
	}
}

// contactLost sends probes to members that may have come back: to the seeds while nobody else is known, and else to one of
// the dead and of the seeds.
func (c *Core) contactLost() {
	const maxContacts = 2 // seeds that are down cost next to nothing
	c.nextContactAt = c.now + contactPeriod
	if c.CountReachable() == 0 {
		c.nextContactAt = c.now + lonelyPeriod
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
	refresh := usualRefresh
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
		if c.now-c.grewAt < growthPeriod {
			p.until = p.sentAt + tickInterval
		}
		if !p.helpRequested {
			c.changeHealth(-1)
		}
	}
	i := slices.IndexFunc(c.relays, func(r relay) bool { return r.sequence == m.sequence && m.sequence != 0 })
	if i >= 0 {
		r := c.relays[i]
		c.send(r.requester, message{kind: kindAck, sequence: r.requesterSequence, about: m.from.Name}, usualRefresh)
		c.relays = slices.Delete(c.relays, i, i+1)
	}
}
