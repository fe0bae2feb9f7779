package simcluster

import (
	"math/rand/v2"
	"slices"

	"magpiebank/internal/admission"
)

const (
	// datagramOverhead is what a message costs besides itself, in bytes: the datagram's headers, and what sealing and the
	// sender's name add.
	datagramOverhead = 28 + 70
	networkStep      = 10 * admission.Millisecond
	maxUsualDelay    = 20 * admission.Millisecond
)

// network carries messages among processes that advance ten milliseconds at a time: it loses, duplicates, delays and cuts.
type network[M any] struct {
	now          Time
	random       *rand.Rand
	loss         float64
	duplicate    float64 // share of messages that come twice
	delayedShare float64 // share of messages that take up to maxDelay
	maxDelay     Time
	cut          func(from, to int) bool
	inFlight     []datagram[M]
	sent         int // messages
	bytes        int
}

type datagram[M any] struct {
	at       Time
	from, to int
	message  M
}

// send sends a message of so many bytes to some processes, which have one name.
func (n *network[M]) send(from int, to []int, message M, bytes int) {
	n.sent++
	n.bytes += bytes + datagramOverhead
	for _, recipient := range to {
		for range 1 + countTrue(n.duplicate > 0 && n.random.Float64() < n.duplicate) {
			if recipient != from && (n.random.Float64() < n.loss || n.cut != nil && n.cut(from, recipient)) {
				continue
			}
			delay := Time(n.random.Int64N(int64(maxUsualDelay)))
			if n.delayedShare > 0 && n.random.Float64() < n.delayedShare {
				delay = Time(n.random.Int64N(int64(n.maxDelay)))
			}
			n.inFlight = append(n.inFlight, datagram[M]{n.now + delay, from, recipient, message})
		}
	}
}

// advance lets time pass: in each step what is due is delivered, the processes are stepped, and then check is called.
func (n *network[M]) advance(length Time, deliver func(datagram[M]), step, check func()) {
	for until := n.now + length; n.now < until; {
		n.now += networkStep
		slices.SortStableFunc(n.inFlight, func(a, b datagram[M]) int { return int(a.at - b.at) })
		for len(n.inFlight) > 0 && n.inFlight[0].at <= n.now {
			due := n.inFlight[0]
			n.inFlight = n.inFlight[1:]
			deliver(due)
		}
		step()
		check()
	}
}
