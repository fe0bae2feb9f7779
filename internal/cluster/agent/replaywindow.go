package agent

// replayWindowBits is the number of latest sequence numbers of a process that a replayWindow covers.
const replayWindowBits = 64

// replayWindow detects repeated datagrams of a gateway. It holds the incarnation of the gateway's latest process and a bit set of
// that process's last 64 sequence numbers that have arrived.
type replayWindow struct {
	incarnation uint64 // incarnation of the process
	highest     uint64 // highest sequence number that has arrived
	arrived     uint64 // bit i: sequence number highest-i has arrived
}

// accept records the sequence number of a datagram. It returns false if the number has arrived before, is older than the window,
// or belongs to an earlier process.
func (w *replayWindow) accept(incarnation, sequence uint64) bool {
	switch {
	case incarnation < w.incarnation:
		return false
	case incarnation > w.incarnation:
		*w = replayWindow{incarnation: incarnation, highest: sequence, arrived: 1}
		return true
	case sequence > w.highest:
		advance := sequence - w.highest
		if advance < replayWindowBits {
			w.arrived = w.arrived<<advance | 1
		} else {
			w.arrived = 1
		}
		w.highest = sequence
		return true
	}
	age := w.highest - sequence
	if age >= replayWindowBits || w.arrived>>age&1 == 1 {
		return false
	}
	w.arrived |= 1 << age
	return true
}
