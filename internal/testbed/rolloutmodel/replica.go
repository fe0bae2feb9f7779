package rolloutmodel

import "magpiebank/internal/cluster/consensus"

// sharedLog is the voters' log as all of them share it. One leader counts, while others may believe that they lead. What a leader
// appended and no majority had may be lost with that leader, or be decided by the next one. Only the leader that counts gets a
// majority's confirmation.
type sharedLog struct {
	term    uint64
	leader  int // index of the process whose entries count, or nobody
	decided [][]byte
	next    []byte // appended by the leader, and not decided
}

// replica is one voter's view of the shared log; it implements rollout.Log.
type replica struct {
	system      *system
	index       int
	term        uint64 // in which it leads; 0: it doesn't
	applied     int    // entries that its core was told
	pendingRead uint64 // the majority's confirmation that it waits for
}

// Append implements rollout.Log. What a leader appends that doesn't count is lost.
func (r *replica) Append(entry []byte) error {
	if r.term == 0 {
		return consensus.ErrNotLeader
	}
	if !r.counts() {
		return nil
	}
	log := &r.system.log
	if log.next != nil {
		return consensus.ErrProposalDropped
	}
	log.next = entry
	return nil
}

// counts tells whether this replica is the leader that counts.
func (r *replica) counts() bool {
	log := &r.system.log
	return log.leader == r.index && log.term == r.term
}

// applyNext tells the core the next decided entry.
func (r *replica) applyNext() {
	host := r.system.processes[r.index].core.LogHost()
	host.EntryApplied(uint64(r.applied), r.system.log.decided[r.applied])
	r.applied++
}

// ConfirmLeadership implements rollout.Log; system.runImmediate answers it.
func (r *replica) ConfirmLeadership(read uint64) { r.pendingRead = read }

// IsLeader implements rollout.Log.
func (r *replica) IsLeader() bool { return r.term > 0 }

// ChangeVoters implements rollout.Log: the voters stay as they are.
func (r *replica) ChangeVoters([]byte, []uint64, []uint64, []uint64) error {
	return consensus.ErrProposalDropped
}

// HandleMessage implements rollout.Log: replicas need no messages here.
func (r *replica) HandleMessage([]byte) error { return nil }

// Tick implements rollout.Log.
func (r *replica) Tick() {}

// LeaderID implements rollout.Log: no replica redirects requests.
func (r *replica) LeaderID() uint64 { return 0 }

// TransferLeadership implements rollout.Log.
func (r *replica) TransferLeadership(uint64) {}

// IsCaughtUp implements rollout.Log.
func (r *replica) IsCaughtUp(uint64) bool { return true }

// IsActive implements rollout.Log.
func (r *replica) IsActive(uint64) bool { return true }

// Voters implements rollout.Log.
func (r *replica) Voters() (voters, learners []uint64) { return nil, nil }

// Err implements rollout.Log.
func (r *replica) Err() error { return nil }
