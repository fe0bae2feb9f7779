package counters

import (
	"encoding/binary"
	"errors"
)

// MaxMessageBytes is the maximum length of a message. Counts that do not fit are left out, and a flag notifies the receiver of this.
const MaxMessageBytes = 1000

const (
	version          = 1
	headBytes        = 2 // version, and whether all counts fitted
	hashBytes        = 4
	maxNumber        = 1 << 50
	countsIncomplete = 0
	countsComplete   = 1
)

// ErrInvalidMessage is returned for bytes that are not a valid message of this version.
var ErrInvalidMessage = errors.New("counters: not a valid message of this version")

// report is a process's report of its own counts over a time window.
type report struct {
	until       Time // end of the window, on the clock of the reporting process
	length      Time // length of the window
	maxInFlight int64
	complete    bool // the counts of all keys fitted into the message
	counts      []reportedCount
}

// reportedCount holds the bounds of one key's metrics.
type reportedCount struct {
	hash   uint32 // hash of the key
	ranges [metricCount]Range
}

// message is a decoded message. The echo refers to the last message that the sender received from this process.
type message struct {
	report
	echoedClock    Time // when this process sent that message, on its own clock
	echoReceivedAt Time // when the sender received that message, on the sender's clock
}

// encodeMessage encodes a report of the own bounds to a peer. It also echoes the peer's last message, from which the peer learns how the
// two clocks differ.
func (c *Core) encodeMessage(to string) []byte {
	b := []byte{version, countsComplete}
	oldest := c.slots.oldest()
	var echoedClock, echoReceivedAt Time
	if p := c.peerOf(to); p != nil {
		echoedClock, echoReceivedAt = p.report.until, p.receivedAt
	}
	for _, v := range []Time{c.now, c.now - oldest, Time(c.options.MaxInFlight), echoedClock, echoReceivedAt} {
		b = binary.AppendUvarint(b, uint64(v))
	}
	for i := range c.counters {
		own := &c.counters[i]
		ranges := c.ownRanges(own, oldest, c.now)
		if ranges == [metricCount]Range{} {
			continue
		}
		before := len(b)
		b = binary.BigEndian.AppendUint32(b, own.hash)
		for _, r := range ranges {
			b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(r.Low)), uint64(r.High-r.Low))
		}
		if len(b) > MaxMessageBytes {
			b = b[:before]
			b[1] = countsIncomplete
			break
		}
	}
	return b
}

// decode decodes a message. If any part is invalid, it returns an empty message and ErrInvalidMessage.
func decode(b []byte) (message, error) {
	if len(b) < headBytes || len(b) > MaxMessageBytes || b[0] != version || b[1] > countsComplete {
		return message{}, ErrInvalidMessage
	}
	r := reader{b: b[headBytes:]}
	var m message
	m.complete = b[1] == countsComplete
	m.until, m.length, m.maxInFlight = Time(r.number()), Time(r.number()), r.number()
	m.echoedClock, m.echoReceivedAt = Time(r.number()), Time(r.number())
	for len(r.b) > 0 && !r.failed {
		m.counts = append(m.counts, r.count())
	}
	if r.failed {
		return message{}, ErrInvalidMessage
	}
	return m, nil
}

// reader reads values from the rest of a message. After a failed read it returns zeros.
type reader struct {
	b      []byte
	failed bool
}

func (r *reader) number() int64 {
	if r.failed {
		return 0
	}
	v, n := binary.Uvarint(r.b)
	if n <= 0 || v > maxNumber {
		r.failed = true
		return 0
	}
	r.b = r.b[n:]
	return int64(v)
}

func (r *reader) count() (c reportedCount) {
	if len(r.b) < hashBytes {
		r.failed = true
		return c
	}
	c.hash = binary.BigEndian.Uint32(r.b)
	r.b = r.b[hashBytes:]
	for metric := range c.ranges {
		low := r.number()
		c.ranges[metric] = Range{low, low + r.number()}
	}
	return c
}
