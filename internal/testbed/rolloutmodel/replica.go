package rolloutmodel

import "magpiebank/internal/cluster/consensus"

// sharedLog is the model of the voters' replicated log; all voters share one instance. There is at most one current leader, while earlier
// leaders may still believe that they lead. An entry that a leader has appended and that no majority has stored may be lost at the next
// election, or be decided by the next leader. A majority confirms only the current leader's leadership.
type sharedLog struct {
	term    uint64
	leader  int // index of the current leader's process, or noLeader
	decided [][]byte
	next    []byte // the entry that the leader has appended and that is not decided yet; nil: none
}

// replica is one voter's view of the shared log. It implements rollout.Log.
type replica struct {
	system      *system
	index       int
	term        uint64 // the term in which this voter believes that it leads; 0: it doesn't
	applied     int    // number of entries applied to the voter's core
	pendingRead uint64 // the read for which the core waits for a majority's confirmation; 0: none
}

// Append implements rollout.Log. An entry that an earlier leader appends is lost.
func (r *replica) Append(entry []byte) error {
	if r.term == 0 {
		return consensus.ErrNotLeader
	}
	if !r.isCurrentLeader() {
		return nil
	}
	log := &r.system.log
	if log.next != nil {
		return consensus.ErrProposalDropped
	}
	log.next = entry
	return nil
}

// isCurrentLeader reports whether this replica is the current leader.
func (r *replica) isCurrentLeader() bool {
	log := &r.system.log
	return log.leader == r.index && log.term == r.term
}

// applyNext applies the next decided entry to the core.
func (r *replica) applyNext() {
	host := r.system.processes[r.index].core.LogHost()
	host.EntryApplied(uint64(r.applied), r.system.log.decided[r.applied])
	r.applied++
}

// ConfirmLeadership implements rollout.Log. The confirmation comes from system.runImmediate.
func (r *replica) ConfirmLeadership(read uint64) { r.pendingRead = read }

// IsLeader implements rollout.Log.
func (r *replica) IsLeader() bool { return r.term > 0 }

// ChangeVoters implements rollout.Log. It always fails: the voters do not change in the model.
func (r *replica) ChangeVoters([]byte, []uint64, []uint64, []uint64) error {
	return consensus.ErrProposalDropped
}

// HandleMessage implements rollout.Log. It does nothing, because the replicas of the model exchange no messages.
func (r *replica) HandleMessage([]byte) error { return nil }

// Tick implements rollout.Log.
func (r *replica) Tick() {}

// LeaderID implements rollout.Log. It returns 0, because replicas do not redirect requests.
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
