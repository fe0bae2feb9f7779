package agent

import (
	"encoding/binary"
	"slices"

	"magpiebank/internal/admission"
)

// A message of the policy rollout may be longer than a datagram, so it is sent as fragments. A fragment consists of the number of
// fragments of the message (1 byte), the index of this one (1 byte), the message's number (4 bytes), and up to 1000 bytes of the
// message.
const (
	fragmentHeaderBytes = 1 + 1 + 4
	maxFragmentBytes    = 1000
	maxFragments        = 255
	// maxPartialMessages limits the number of incomplete messages. When another one begins, the oldest is
	// dropped.
	maxPartialMessages = 64
	// partialMessageTime is the time after its first fragment at which an incomplete message is dropped.
	partialMessageTime = 2 * admission.Second
)

// splitMessage splits a message into fragments that carry its number. It returns nil for a message that is too long; the core makes
// none that long.
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

// reassembler reassembles messages from fragments that may arrive in any order.
type reassembler struct{ partial []partialMessage }

// partialMessage is a message some of whose fragments haven't arrived yet.
type partialMessage struct {
	sender      string
	incarnation uint64 // incarnation of the sending process
	number      uint32
	fragments   [][]byte       // by index; nil: that fragment hasn't arrived
	missing     int            // number of fragments that haven't arrived
	startedAt   admission.Time // when the first fragment arrived
}

// add adds a fragment. If that completes its message, add returns the message. Its error is errMalformed.
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
		position = r.begin(partialMessage{e.sender, e.incarnation, number, make([][]byte, count), count, at})
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
		return m.sender == e.sender && m.incarnation == e.incarnation && m.number == number
	})
}

func (r *reassembler) begin(m partialMessage) (position int) {
	if len(r.partial) >= maxPartialMessages {
		r.partial = slices.Delete(r.partial, 0, 1)
	}
	r.partial = append(r.partial, m)
	return len(r.partial) - 1
}

// dropExpired drops the messages that are still incomplete after partialMessageTime.
func (r *reassembler) dropExpired(now admission.Time) {
	r.partial = slices.DeleteFunc(r.partial, func(m partialMessage) bool { return now-m.startedAt >= partialMessageTime })
}
