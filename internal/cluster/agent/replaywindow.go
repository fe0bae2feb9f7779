package agent

// replayWindowBits is how many of a process's latest datagrams are remembered.
const replayWindowBits = 64

// replayWindow tells repeated datagrams of a gateway from new ones. It holds the latest process of the gateway and, as
// a bit set, which of that process's last 64 sequence numbers have arrived.
type replayWindow struct {
	start   uint64 // of the process
	highest uint64 // sequence number
	arrived uint64 // bit i: highest-i has arrived
}

// accept records a sequence number. It returns false for one that has arrived before, that is too old to tell, or that
// is of an earlier process.
func (w *replayWindow) accept(start, sequence uint64) bool {
	switch {
	case start < w.start:
		return false
	case start > w.start:
		*w = replayWindow{start: start, highest: sequence, arrived: 1}
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
