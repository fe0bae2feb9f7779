package simcluster

import (
	"math/rand/v2"
	"slices"

	"magpiebank/internal/admission"
)

const (
	// datagramOverhead is the number of bytes that the datagram's headers, the encryption and the sender's name add to a message.
	datagramOverhead = 28 + 70
	networkStep      = 10 * admission.Millisecond
	maxUsualDelay    = 20 * admission.Millisecond
)

// network carries messages between processes. It advances in steps of networkStep, and loses, duplicates, delays and cuts off messages.
type network[M any] struct {
	now          Time
	random       *rand.Rand
	loss         float64
	duplicate    float64 // share of messages that are sent twice
	delayedShare float64 // share of messages that are delayed by up to maxDelay instead of up to maxUsualDelay
	maxDelay     Time
	cut          func(from, to int) bool
	inFlight     []datagram[M]
	sent         int // number of messages sent
	bytes        int // number of bytes sent
}

type datagram[M any] struct {
	at       Time
	from, to int
	message  M
}

// send sends a message with a length of bytes to the recipients to. All of them have the same name, so that it counts as one message.
func (n *network[M]) send(from int, to []int, message M, bytes int) {
	n.sent++
	n.bytes += bytes + datagramOverhead
	for _, recipient := range to {
		for range 1 + boolToInt(n.duplicate > 0 && n.random.Float64() < n.duplicate) {
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

// advance simulates some time. Each simulation step delivers the messages that are due, calls step to advance the processes, and calls
// check.
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
