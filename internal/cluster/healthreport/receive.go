package healthreport

import (
	"cmp"
	"slices"
)

const (
	// maxPeers bounds what is kept: 512 gateways on 80 engines take 2.6 MB.
	maxPeers = 512
	// A peer's messages are taken in from this one on, because then one that was delayed long is told from the others.
	trustedMessages = 3
	// Two clocks may each run a twentieth off, so that the least delay that is known counts for a tenth of the time since then less.
	delayDriftDivisor = 10
)

// peer is a gateway that sends observations.
type peer struct {
	Source
	observations []observations // by engine index
	messages     int            // received
	minDelay     Time           // arrival less sending on the two clocks, of the message that was fastest
	receivedAt   Time
}

// ObserveClock takes in that a gateway sent anything at all, and its clock as it did. By that the age of its observations is known.
func (b *Table) ObserveClock(now Time, from Source, sent uint32) {
	if p := b.peerOf(now, from); p != nil {
		p.delayOf(now, sent)
		p.messages++
	}
}

// HandleMessage takes in a gateway's message. VisitChangedFindings then has what it changes. The error is ErrMessage if the
// message cannot be read; then nothing of it is used.
func (b *Table) HandleMessage(now Time, from Source, message []byte) error {
	r, err := newReader(message)
	if err != nil {
		return err
	}
	p := b.peerOf(now, from)
	if p == nil {
		return nil
	}
	delay := p.delayOf(now, r.sent)
	p.messages++
	if p.messages < trustedMessages {
		return nil
	}
	failures := false
	for {
		e, ok := r.next()
		if !ok {
			break
		}
		taken := b.handleEntry(now, delay, p, &e)
		failures = failures || taken && e.failureAge >= 0
	}
	if failures { // its vote is split anew over all engines that it finds failing
		for i := range b.engines {
			if p.observations[i].isFailing(now) {
				b.markChanged(i)
			}
		}
	}
	return nil
}

// handleEntry takes in what a peer observed of one engine, and reports whether it concerns the engine's incarnation that is listed here.
func (b *Table) handleEntry(now, delay Time, p *peer, received *entry) bool {
	i, known := b.byHash[received.hash]
	if !known || i < 0 {
		return false
	}
	e := &b.engines[i]
	if since := wireStart(e.StartedAt); since != received.start {
		if received.start-since&startMask < startMask/2 { // by the peer's list it has restarted, so what was reported of it is over
			b.forgetObservations(i)
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

// peerOf finds or makes a gateway's record; nil: it is an earlier incarnation than is known, or there are too many.
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
	if p.Incarnation < from.Incarnation { // it has another clock, and did not observe what the earlier process did
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

// delayOf returns how much longer than the fastest a message of this peer was delayed. The fastest counts for no less than the drift of the
// clocks explains, because after a stall of this process or of the network's the first message to arrive is the oldest.
func (p *peer) delayOf(now Time, sent uint32) Time {
	difference := Time(int32(uint32(now) - sent)) // both clocks are cut to 32 bits; only its changes count
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
