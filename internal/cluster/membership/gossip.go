package membership

import (
	"cmp"
	"math"
	"slices"
)

// pendingUpdate names a member whose changed record is still added to messages.
type pendingUpdate struct {
	name string
	sent int // number of messages that carried the record
}

// queueUpdate makes the core add a member's record to its next messages.
func (c *Core) queueUpdate(name string) {
	c.pendingUpdates = slices.DeleteFunc(c.pendingUpdates, func(r pendingUpdate) bool { return r.name == name })
	c.pendingUpdates = append(c.pendingUpdates, pendingUpdate{name: name})
}

// HandleMessage processes a received message. For an invalid message, it returns ErrInvalidMessage and changes nothing.
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
		c.applyRecord(m.records[i])
	}
	if m.from.Name == c.self.Name {
		return nil // the records in the message have been applied
	}
	c.applyRecord(m.from)
	i, known := c.indexOf(m.from.Name)
	if !known {
		return nil
	}
	if c.members[i].Incarnation > m.from.Incarnation && !ignoreIncarnations {
		// The sender has been superseded but still runs. It is notified, and its message does not count as a reply of its successor.
		c.send(m.from.Address, message{kind: kindAck, about: m.from.Name}, defaultRefreshCount)
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

// send encodes and sends a message. It adds the record of the member that the message is about, then pending updates, and then the records
// of up to refresh members, which it selects one after another.
func (c *Core) send(address string, m message, refresh int) {
	m.from = c.self
	w := newWriter(m)
	if i, ok := c.indexOf(m.about); ok && m.about != "" {
		w.add(&c.members[i])
	}
	c.addPendingUpdates(w)
	for n := 0; n < min(refresh, len(c.members)); n++ {
		c.refreshCounter++
		if !w.add(&c.members[c.refreshCounter%len(c.members)]) {
			break
		}
	}
	c.host.Send(address, w.bytes())
}

// addPendingUpdates adds the pending updates that were sent least often, and removes those that were sent often enough.
func (c *Core) addPendingUpdates(w *writer) {
	maxSent := 3 * int(math.Ceil(math.Log2(float64(len(c.members)+2))))
	slices.SortStableFunc(c.pendingUpdates, func(a, b pendingUpdate) int { return cmp.Compare(a.sent, b.sent) })
	for k := range c.pendingUpdates {
		r := &c.pendingUpdates[k]
		if r.name != c.self.Name { // the sender's record is part of every message
			i, ok := c.indexOf(r.name)
			if ok && !w.add(&c.members[i]) {
				break
			}
		}
		r.sent++
	}
	c.pendingUpdates = slices.DeleteFunc(c.pendingUpdates, func(r pendingUpdate) bool { return r.sent >= maxSent })
}
