package membership

import (
	"cmp"
	"math"
	"slices"
)

// rumour is a member whose record is still passed on.
type rumour struct {
	name string
	sent int // times
}

// spread has a member's record be passed on.
func (c *Core) spread(name string) {
	c.rumours = slices.DeleteFunc(c.rumours, func(r rumour) bool { return r.name == name })
	c.rumours = append(c.rumours, rumour{name: name})
}

// HandleMessage takes in a message. The error is ErrMessage if it cannot be read.
func (c *Core) HandleMessage(now Time, b []byte) error {
	m, err := decode(b)
	if err != nil {
		return err
	}
	c.now = now
	if c.inactive {
		return nil
	}
	for i := range m.records {
		c.learn(m.records[i])
	}
	if m.from.Name == c.self.Name {
		return nil // records of this name have been taken in
	}
	c.learn(m.from)
	i, known := c.indexOf(m.from.Name)
	if !known {
		return nil
	}
	if c.members[i].Incarnation > m.from.Incarnation && !ignoreIncarnations {
		// A process that has been superseded still sends. It is notified, and nothing that it sends counts as a sign of its successor.
		c.send(m.from.Address, message{kind: kindAck, about: m.from.Name}, usualRefresh)
		return nil
	}
	switch m.kind {
	case kindPing:
		c.handlePing(&m)
	case kindPingRequest:
		c.handlePingRequest(&m)
	case kindAck:
		c.handleAck(&m)
	}
	c.relays = slices.DeleteFunc(c.relays, func(r relay) bool { return r.until <= now })
	return nil
}

// send writes a message: the record of the member that it is about, then rumours, and then the records of so many members in turn.
func (c *Core) send(address string, m message, refresh int) {
	m.from = c.self
	w := newWriter(m)
	if i, ok := c.indexOf(m.about); ok && m.about != "" {
		w.add(&c.members[i])
	}
	c.addRumours(w)
	for n := 0; n < min(refresh, len(c.members)); n++ {
		c.refreshedTo++
		if !w.add(&c.members[c.refreshedTo%len(c.members)]) {
			break
		}
	}
	c.host.Send(address, w.bytes())
}

// addRumours adds the records that were passed on least, and drops rumours that were passed on often enough.
func (c *Core) addRumours(w *writer) {
	maxSent := 3 * int(math.Ceil(math.Log2(float64(len(c.members)+2))))
	slices.SortStableFunc(c.rumours, func(a, b rumour) int { return cmp.Compare(a.sent, b.sent) })
	for k := range c.rumours {
		r := &c.rumours[k]
		if r.name != c.self.Name { // its own record is in every message
			i, ok := c.indexOf(r.name)
			if ok && !w.add(&c.members[i]) {
				break
			}
		}
		r.sent++
	}
	c.rumours = slices.DeleteFunc(c.rumours, func(r rumour) bool { return r.sent >= maxSent })
}
