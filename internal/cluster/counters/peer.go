package counters

import (
	"slices"
	"strings"
)

// peer is what was last received of another process.
type peer struct {
	name        string
	incarnation uint64
	report      report // until is below 0 before the first
	receivedAt  Time
	offset      clockOffset
	stopped     bool // gracefully: it has nothing in flight
}

// endedProcess is one that another took the place of. It may have had anything until its last request has surely ended.
type endedProcess struct {
	name        string
	maxInFlight int64
	until       Time
}

// clockOffset is what is known of this process's clock less a peer's.
type clockOffset struct {
	most, mostAt   Time
	least, leastAt Time
	leastKnown     bool
}

// mostFor returns the greatest offset at a time, as the clocks may have drifted since it was known.
func (o *clockOffset) mostFor(t Time) Time { return o.most + abs(t-o.mostAt)/driftDivisor + 1 }

// leastFor returns the least offset at a time.
func (o *clockOffset) leastFor(t Time) Time { return o.least - abs(t-o.leastAt)/driftDivisor - 1 }

func abs(t Time) Time { return max(t, -t) }

// update takes in the clocks of a message: the peer's as it sent it, and the echo of an earlier message of this process.
// The echo is as of when that message was sent, which may be long ago.
func (o *clockOffset) update(now Time, m *message, isFirst bool) {
	most := now - m.until
	if isFirst || most <= o.most+(now-o.mostAt)/driftDivisor {
		o.most, o.mostAt = most, now
	}
	if m.echoedClock <= 0 {
		return
	}
	least := m.echoedClock - m.echoReceivedAt
	if !o.leastKnown || least-(now-m.echoedClock)/driftDivisor >= o.least-(now-o.leastAt)/driftDivisor {
		o.least, o.leastAt, o.leastKnown = least, m.echoedClock, true
	}
}

func (c *Core) indexOf(name string) (int, bool) {
	return slices.BinarySearchFunc(c.peers, name, func(p peer, name string) int { return strings.Compare(p.name, name) })
}

func (c *Core) peerOf(name string) *peer {
	i, known := c.indexOf(name)
	if !known {
		return nil
	}
	return &c.peers[i]
}

// HandleMessage takes in a message of a process, whole or not at all. One older than the last changes nothing. The error is ErrMessage if
// it cannot be read.
func (c *Core) HandleMessage(now Time, from string, incarnation uint64, b []byte) error {
	m, err := decode(b)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	i, known := c.indexOf(from)
	if from == c.options.Name || !known && len(c.peers) >= maxPeers {
		return nil
	}
	if !known {
		c.peers = slices.Insert(c.peers, i, newPeer(from, incarnation))
	}
	p := &c.peers[i]
	if incarnation < p.incarnation || incarnation == p.incarnation && (p.stopped || m.until <= p.report.until) {
		return nil
	}
	if incarnation > p.incarnation {
		if !p.stopped {
			longest := c.options.LongestRequest
			c.ended = append(c.ended, endedProcess{p.name, p.report.maxInFlight, c.now + longest + longest/driftDivisor})
		}
		*p = newPeer(from, incarnation)
	}
	p.offset.update(now, &m, p.report.until < 0)
	p.report, p.receivedAt = m.report, now
	return nil
}

func newPeer(name string, incarnation uint64) peer {
	return peer{name: name, incarnation: incarnation, report: report{until: -1}}
}

// MarkStopped takes in that a process has stopped gracefully: it has nothing in flight.
func (c *Core) MarkStopped(name string, incarnation uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peerOf(name); p != nil && p.incarnation <= incarnation {
		p.stopped, p.report.counts, p.report.complete = true, nil, true
	}
}

// ForgetProcess takes in that no process has a name any more.
func (c *Core) ForgetProcess(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers = slices.DeleteFunc(c.peers, func(p peer) bool { return p.name == name })
}
