package healthreport

import (
	"cmp"
	"slices"
)

const (
	// maxPeers limits the memory use: 512 gateways and 80 engines take 2.6 MB.
	maxPeers = 512
	// firstUsedMessage is the number of a peer's first message whose observations are used. By then, a message that was delayed for long
	// can be distinguished from the others.
	firstUsedMessage = 3
	// delayDriftDivisor is the fraction of the elapsed time by which the minimum delay of a peer may have risen through clock drift, as
	// each of the two clocks may be off by a twentieth.
	delayDriftDivisor = 10
)

// peer is a gateway that sends observations.
type peer struct {
	Source
	observations []observations // by engine index
	messages     int            // number of messages received
	minDelay     Time           // arrival time less sending time, on the two clocks, of the fastest message; raised by possible drift
	receivedAt   Time
}

// ObserveClock records the clock that a gateway had when it sent any message. The delays of the gateway's messages, and so the ages of its
// observations, are derived from it.
func (b *Table) ObserveClock(now Time, from Source, sent uint32) {
	if p := b.peerOf(now, from); p != nil {
		p.updateDelay(now, sent)
		p.messages++
	}
}

// HandleMessage processes a gateway's message. VisitChangedFindings then visits the findings that it changes. For an invalid message, it
// returns ErrInvalidMessage and changes nothing.
func (b *Table) HandleMessage(now Time, from Source, message []byte) error {
	r, err := newReader(message)
	if err != nil {
		return err
	}
	p := b.peerOf(now, from)
	if p == nil {
		return nil
	}
	delay := p.updateDelay(now, r.sent)
	p.messages++
	if p.messages < firstUsedMessage {
		return nil
	}
	failures := false
	for {
		e, ok := r.next()
		if !ok {
			break
		}
		stored := b.handleEntry(now, delay, p, &e)
		failures = failures || stored && e.failureAge >= 0
	}
	if failures { // the peer's vote is divided again among all engines that it finds failing
		for i := range b.engines {
			if p.observations[i].isFailing(now) {
				b.markChanged(i)
			}
		}
	}
	return nil
}

// handleEntry processes a peer's observations of one engine. It reports whether they concern the incarnation of the engine that is listed
// here; otherwise it does not store them.
func (b *Table) handleEntry(now, delay Time, p *peer, received *entry) bool {
	i, known := b.byHash[received.hash]
	if !known || i < 0 {
		return false
	}
	e := &b.engines[i]
	if since := encodeStart(e.StartedAt); since != received.start {
		if received.start-since&startMask < startMask/2 { // the peer lists a later start, so the stored observations of peers are outdated
			b.removePeerObservations(i)
		}
		return false
	}
	observed := received.observationsAt(now, delay)
	p.observations[i] = merge(p.observations[i], observed)
	if b.OnObservation != nil {
		b.OnObservation(p.Source, &e.Endpoint, now-observed.answeredAt, now-observed.failedAt)
	}
	b.markChanged(i)
	return true
}

// peerOf returns a gateway's record, and adds one for a new gateway. It returns nil if a later incarnation of the gateway is known, or if
// there are too many gateways.
func (b *Table) peerOf(now Time, from Source) *peer {
	i, known := b.indexOfPeer(from.Name)
	if !known {
		if len(b.peers) >= maxPeers {
			b.peers = slices.DeleteFunc(b.peers, func(p peer) bool { return now-p.receivedAt > b.outcomeLifetime })
			if len(b.peers) >= maxPeers {
				return nil
			}
			i, _ = b.indexOfPeer(from.Name)
		}
		b.peers = slices.Insert(b.peers, i, peer{Source: from, observations: slices.Repeat([]observations{noObservations}, len(b.engines))})
	}
	p := &b.peers[i]
	if p.Incarnation > from.Incarnation {
		return nil
	}
	if p.Incarnation < from.Incarnation { // the new process has another clock, and the observations are those of the earlier process
		p.Incarnation, p.messages = from.Incarnation, 0
		for i := range p.observations {
			p.observations[i] = noObservations
		}
	}
	return p
}

func (b *Table) indexOfPeer(name string) (int, bool) {
	return slices.BinarySearchFunc(b.peers, name, func(p peer, name string) int { return cmp.Compare(p.Name, name) })
}

// updateDelay returns how much longer a message of this peer was delayed than the peer's fastest message, and updates the minimum delay.
// The minimum rises only as far as clock drift can explain, because after a stall of this process or of the network, the first message
// to arrive is the oldest.
func (p *peer) updateDelay(now Time, sent uint32) Time {
	difference := Time(int32(uint32(now) - sent)) // both clocks are reduced to 32 bits; only changes of the difference matter
	p.minDelay = min(difference, p.minDelay+max(0, now-p.receivedAt)/delayDriftDivisor)
	if p.messages == 0 {
		p.minDelay = difference
	}
	p.receivedAt = max(p.receivedAt, now)
	if ignoreDelay {
		return 0
	}
	return difference - p.minDelay
}
