package counters

import (
	"encoding/binary"
	"errors"
)

// MaxMessageBytes is the length of the longest message. Counts that do not fit are not sent, and the receiver knows that some are missing.
const MaxMessageBytes = 1000

const (
	version        = 1
	headBytes      = 2 // version and whether all counts fitted
	hashBytes      = 4
	maxNumber      = 1 << 50
	incomplete     = 0
	allCountsAreIn = 1
)

// ErrMessage reports bytes that are no message of this version.
var ErrMessage = errors.New("counters: no message of this version")

// report is what a process reports of its own counts.
type report struct {
	until       Time // by its clock, the end of the time that is covered
	length      Time // of that time
	maxInFlight int64
	complete    bool // all its keys fitted
	counts      []reportedCount
}

// reportedCount is the bounds of one key's figures.
type reportedCount struct {
	hash   uint32
	ranges [figureCount]Range
}

// message is a message that was read. The echo is of the last message that the sender received from this process.
type message struct {
	report
	echoedClock    Time // this process's clock, as that message had it
	echoReceivedAt Time // by the sender's clock
}

// encodeMessage reports the own bounds to a peer, and echoes its last message, by which it knows how the two clocks differ.
func (c *Core) encodeMessage(to string) []byte {
	b := []byte{version, allCountsAreIn}
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
		if ranges == [figureCount]Range{} {
			continue
		}
		before := len(b)
		b = binary.BigEndian.AppendUint32(b, own.hash)
		for _, r := range ranges {
			b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(r.Low)), uint64(r.High-r.Low))
		}
		if len(b) > MaxMessageBytes {
			b = b[:before]
			b[1] = incomplete
			break
		}
	}
	return b
}

// decode reads a message, whole or not at all.
func decode(b []byte) (message, error) {
	if len(b) < headBytes || len(b) > MaxMessageBytes || b[0] != version || b[1] > allCountsAreIn {
		return message{}, ErrMessage
	}
	r := reader{b: b[headBytes:]}
	var m message
	m.complete = b[1] == allCountsAreIn
	m.until, m.length, m.maxInFlight = Time(r.number()), Time(r.number()), r.number()
	m.echoedClock, m.echoReceivedAt = Time(r.number()), Time(r.number())
	for len(r.b) > 0 && !r.failed {
		m.counts = append(m.counts, r.count())
	}
	if r.failed {
		return message{}, ErrMessage
	}
	return m, nil
}

// reader reads values from what is left of a message, and zeros once a read has failed.
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
	for figure := range c.ranges {
		low := r.number()
		c.ranges[figure] = Range{low, low + r.number()}
	}
	return c
}
