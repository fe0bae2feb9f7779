package simcluster

import (
	"math/rand/v2"
	"slices"

	"magpiebank/internal/admission"
)

// network carries messages among processes that are stepped ten milliseconds at a time: it loses, doubles, delays and cuts.
type network[M any] struct {
	now          Time
	random       *rand.Rand
	loss         float64
	duplicate    float64 // share of messages that come twice
	delayedShare float64 // and that are as late as can be
	maxDelay     Time
	cut          func(from, to int) bool
	inFlight     []datagram[M]
	sent         int
	bytes        int
}

type datagram[M any] struct {
	at       Time
	from, to int
	message  M
}

// send posts a message of so many bytes to some processes, which bear one name.
func (p *network[M]) send(from int, to []int, m M, bytes int) {
	p.sent++
	p.bytes += bytes + perDatagram
	for _, k := range to {
		for range 1 + btoi(p.duplicate > 0 && p.random.Float64() < p.duplicate) {
			if k != from && (p.random.Float64() < p.loss || p.cut != nil && p.cut(from, k)) {
				continue
			}
			wait := Time(p.random.Int64N(int64(20 * admission.Millisecond)))
			if p.delayedShare > 0 && p.random.Float64() < p.delayedShare {
				wait = Time(p.random.Int64N(int64(p.maxDelay)))
			}
			p.inFlight = append(p.inFlight, datagram[M]{p.now + wait, from, k, m})
		}
	}
}

// advance plays some time: what is due is served, each process is stepped, and then all are looked at.
func (p *network[M]) advance(length Time, deliver func(datagram[M]), step, look func()) {
	for until := p.now + length; p.now < until; {
		p.now += 10 * admission.Millisecond
		slices.SortStableFunc(p.inFlight, func(a, b datagram[M]) int { return int(a.at - b.at) })
		for len(p.inFlight) > 0 && p.inFlight[0].at <= p.now {
			l := p.inFlight[0]
			p.inFlight = p.inFlight[1:]
			deliver(l)
		}
		step()
		look()
	}
}
