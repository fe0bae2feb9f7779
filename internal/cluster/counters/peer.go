package counters

import (
	"slices"
	"strings"
)

// peer holds the last report of another process.
type peer struct {
	name        string
	incarnation uint64
	report      report // its field until is below 0 before the first report
	receivedAt  Time
	offset      clockOffset
	stopped     bool // it stopped gracefully and has no requests in flight
}

// endedProcess is a process that was replaced by a later one of its name. It may have any number of requests in flight until the last of
// them has certainly ended.
type endedProcess struct {
	name        string
	maxInFlight int64
	until       Time // when its last request has certainly ended
}

// clockOffset holds the known limits of the difference between this process's clock and a peer's clock, and the times at which they held.
type clockOffset struct {
	maxOffset, maxOffsetTime Time
	minOffset, minOffsetTime Time
	minOffsetKnown           bool
}

// maxAt returns the maximum offset at a time. It allows for drift since the time at which the limit held.
func (o *clockOffset) maxAt(t Time) Time {
	return o.maxOffset + abs(t-o.maxOffsetTime)/driftDivisor + 1
}

// minAt returns the minimum offset at a time. It allows for drift since the time at which the limit held.
func (o *clockOffset) minAt(t Time) Time {
	return o.minOffset - abs(t-o.minOffsetTime)/driftDivisor - 1
}

func abs(t Time) Time { return max(t, -t) }

// update updates the limits from the clocks in a message: the peer's clock when it sent the message, and the echo of an earlier message of
// this process. The limit from the echo held when that earlier message was sent, which may be long ago.
func (o *clockOffset) update(now Time, m *message, isFirst bool) {
	maxOffset := now - m.until
	if isFirst || maxOffset <= o.maxOffset+(now-o.maxOffsetTime)/driftDivisor {
		o.maxOffset, o.maxOffsetTime = maxOffset, now
	}
	if m.echoedClock <= 0 {
		return
	}
	minOffset := m.echoedClock - m.echoReceivedAt
	if !o.minOffsetKnown || minOffset-(now-m.echoedClock)/driftDivisor >= o.minOffset-(now-o.minOffsetTime)/driftDivisor {
		o.minOffset, o.minOffsetTime, o.minOffsetKnown = minOffset, m.echoedClock, true
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

// HandleMessage processes a message from another process. A message older than the last one changes nothing. For an invalid message,
// it returns ErrInvalidMessage and changes nothing.
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

// MarkStopped records that a process has stopped gracefully and has no requests in flight.
func (c *Core) MarkStopped(name string, incarnation uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peerOf(name); p != nil && p.incarnation <= incarnation {
		p.stopped, p.report.counts, p.report.complete = true, nil, true
	}
}

// ForgetProcess removes the report of the process with a name, because no process has that name any more.
func (c *Core) ForgetProcess(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers = slices.DeleteFunc(c.peers, func(p peer) bool { return p.name == name })
}
