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

// partialMessage is a message whose fragments haven't all arrived.
type partialMessage struct {
	sender    string
	start     uint64 // of the sender's process
	number    uint32
	fragments [][]byte // nil: it hasn't arrived
	missing   int
	startedAt admission.Time
}

// sendFragments sends a message to an address. One that is too long isn't sent; the core makes none.
func (p *policyRollout) sendFragments(address string, message []byte) {
	count := (len(message) + maxFragmentBytes - 1) / maxFragmentBytes
	if count > maxFragments {
		return
	}
	p.sent++
	for i := range count {
		payload := []byte{byte(count), byte(i)}
		payload = binary.BigEndian.AppendUint32(payload, p.sent)
		payload = append(payload, message[i*maxFragmentBytes:min(len(message), (i+1)*maxFragmentBytes)]...)
		p.agent.transport.send(address, policySection, payload)
	}
}

// handleFragment takes in a fragment, and the message once it is complete. Its error is errMalformed.
func (p *policyRollout) handleFragment(at admission.Time, e *envelope, payload []byte) error {
	if len(payload) < fragmentHeaderBytes || payload[0] == 0 || payload[1] >= payload[0] {
		return errMalformed
	}
	count, index := int(payload[0]), int(payload[1])
	number := binary.BigEndian.Uint32(payload[2:])
	fragment := payload[fragmentHeaderBytes:]
	if count == 1 {
		return p.handleMessage(at, e.sender, fragment)
	}
	position := p.findPartialMessage(e, number)
	if position < 0 {
		position = p.addPartialMessage(partialMessage{e.sender, e.start, number, make([][]byte, count), count, at})
	}
	message := &p.partial[position]
	if len(message.fragments) != count {
		return errMalformed
	}
	if message.fragments[index] == nil {
		message.fragments[index] = fragment
		message.missing--
	}
	if message.missing > 0 {
		return nil
	}
	complete := slices.Concat(message.fragments...)
	p.partial = slices.Delete(p.partial, position, position+1)
	return p.handleMessage(at, e.sender, complete)
}

func (p *policyRollout) findPartialMessage(e *envelope, number uint32) int {
	return slices.IndexFunc(p.partial, func(m partialMessage) bool {
		return m.sender == e.sender && m.start == e.start && m.number == number
	})
}

func (p *policyRollout) addPartialMessage(m partialMessage) (position int) {
	if len(p.partial) >= maxPartialMessages {
		p.partial = slices.Delete(p.partial, 0, 1)
	}
	p.partial = append(p.partial, m)
	return len(p.partial) - 1
}

// dropPartialMessages drops messages whose fragments have been waited for long enough.
func (p *policyRollout) dropPartialMessages(now admission.Time) {
	p.partial = slices.DeleteFunc(p.partial, func(m partialMessage) bool { return now-m.startedAt >= partialMessageTime })
}
