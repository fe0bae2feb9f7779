package agent

import (
	"encoding/binary"
	"slices"

	"magpiebank/internal/admission"
)

// A message of the policy rollout may be longer than a datagram. It is sent as fragments: how many there are (1 byte),
// which one this is (1 byte), the message's number (4 bytes), and up to 1000 bytes of the message.
const (
	fragmentHeaderBytes = 1 + 1 + 4
	maxFragmentBytes    = 1000
	maxFragments        = 255
	// maxPartialMessages bounds the messages whose fragments haven't all arrived; the oldest is dropped.
	maxPartialMessages = 64
	// partialMessageTime is how long their fragments are waited for.
	partialMessageTime = 2 * admission.Second
)

// splitMessage returns the fragments of a message with a number. One that is too long has none; the core makes none.
func splitMessage(number uint32, message []byte) (fragments [][]byte) {
	count := (len(message) + maxFragmentBytes - 1) / maxFragmentBytes
	if count > maxFragments {
		return nil
	}
	for i := range count {
		fragment := []byte{byte(count), byte(i)}
		fragment = binary.BigEndian.AppendUint32(fragment, number)
		fragment = append(fragment, message[i*maxFragmentBytes:min(len(message), (i+1)*maxFragmentBytes)]...)
		fragments = append(fragments, fragment)
	}
	return fragments
}

// reassembler puts messages together from their fragments, in whatever order these arrive.
type reassembler struct{ partial []partialMessage }

// partialMessage is a message whose fragments haven't all arrived.
type partialMessage struct {
	sender    string
	start     uint64 // of the sender's process
	number    uint32
	fragments [][]byte // nil: it hasn't arrived
	missing   int
	startedAt admission.Time
}

// add takes in a fragment, and returns the message once it is complete. The error is errMalformed.
func (r *reassembler) add(at admission.Time, e *envelope, payload []byte) (message []byte, complete bool, err error) {
	if len(payload) < fragmentHeaderBytes || payload[0] == 0 || payload[1] >= payload[0] {
		return nil, false, errMalformed
	}
	count, index := int(payload[0]), int(payload[1])
	number := binary.BigEndian.Uint32(payload[2:])
	fragment := payload[fragmentHeaderBytes:]
	if count == 1 {
		return fragment, true, nil
	}
	position := r.find(e, number)
	if position < 0 {
		position = r.begin(partialMessage{e.sender, e.start, number, make([][]byte, count), count, at})
	}
	partial := &r.partial[position]
	if len(partial.fragments) != count {
		return nil, false, errMalformed
	}
	if partial.fragments[index] == nil {
		partial.fragments[index] = fragment
		partial.missing--
	}
	if partial.missing > 0 {
		return nil, false, nil
	}
	message = slices.Concat(partial.fragments...)
	r.partial = slices.Delete(r.partial, position, position+1)
	return message, true, nil
}

func (r *reassembler) find(e *envelope, number uint32) int {
	return slices.IndexFunc(r.partial, func(m partialMessage) bool {
		return m.sender == e.sender && m.start == e.start && m.number == number
	})
}

func (r *reassembler) begin(m partialMessage) (position int) {
	if len(r.partial) >= maxPartialMessages {
		r.partial = slices.Delete(r.partial, 0, 1)
	}
	r.partial = append(r.partial, m)
	return len(r.partial) - 1
}

// dropExpired drops messages whose fragments have been waited for long enough.
func (r *reassembler) dropExpired(now admission.Time) {
	r.partial = slices.DeleteFunc(r.partial, func(m partialMessage) bool { return now-m.startedAt >= partialMessageTime })
}
