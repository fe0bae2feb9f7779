package simcluster

import (
	"math/rand/v2"
	"slices"

	"magpiebank/internal/admission"
)

// post carries messages among processes that are stepped ten milliseconds at a time: it loses, doubles, delays and cuts.
type post[M any] struct {
	now     Time
	chance  *rand.Rand
	loss    float64
	double  float64 // share of messages that come twice
	late    float64 // and that are as late as can be
	latest  Time
	cut     func(from, to int) bool
	letters []letter[M]
	sent    int
	bytes   int
}

type letter[M any] struct {
	at       Time
	from, to int
	message  M
}

// send posts a message of so many bytes to some processes, which bear one name.
func (p *post[M]) send(from int, to []int, m M, bytes int) {
	p.sent++
	p.bytes += bytes + perDatagram
	for _, k := range to {
		for range 1 + btoi(p.double > 0 && p.chance.Float64() < p.double) {
			if k != from && (p.chance.Float64() < p.loss || p.cut != nil && p.cut(from, k)) {
				continue
			}
			wait := Time(p.chance.Int64N(int64(20 * admission.Millisecond)))
			if p.late > 0 && p.chance.Float64() < p.late {
				wait = Time(p.chance.Int64N(int64(p.latest)))
			}
			p.letters = append(p.letters, letter[M]{p.now + wait, from, k, m})
		}
	}
}

// pass plays some time: what is due is served, each process is stepped, and then all are looked at.
func (p *post[M]) pass(length Time, deliver func(letter[M]), step, look func()) {
	for until := p.now + length; p.now < until; {
		p.now += 10 * admission.Millisecond
		slices.SortStableFunc(p.letters, func(a, b letter[M]) int { return int(a.at - b.at) })
		for len(p.letters) > 0 && p.letters[0].at <= p.now {
			l := p.letters[0]
			p.letters = p.letters[1:]
			deliver(l)
		}
		step()
		look()
	}
}
