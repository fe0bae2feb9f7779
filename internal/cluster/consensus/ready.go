package consensus

import (
	"encoding/binary"
	"fmt"
	"math"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// readContextBytes is the length of the context that ConfirmLeadership passes to raft, which is the ID of the read.
const readContextBytes = 8

// processReady handles raft's Ready structs until there are no more. While records are being saved, the rest of their Ready waits, and so do
// all later ones.
func (n *Node) processReady() {
	if n.processing {
		return
	}
	n.processing = true
	defer func() { n.processing = false }()
	for !n.saving && n.err == nil && n.raft.HasReady() {
		ready := n.raft.Ready()
		if ready.SoftState != nil || !raft.IsEmptyHardState(ready.HardState) {
			n.updateLeadership()
		}
		if n.leading && !n.changesTerm(&ready) {
			n.send(ready.Messages) // of the leader's own records, its messages depend only on the term
			ready.Messages = nil
		}
		records := n.readyRecords(&ready)
		if len(records) == 0 {
			n.finishReady(ready)
			continue
		}
		n.saveRecords(records, func() { n.finishReady(ready) })
	}
}

func (n *Node) changesTerm(ready *raft.Ready) bool {
	stored, _, _ := n.storage.InitialState() // MemoryStorage never fails here
	return !raft.IsEmptyHardState(ready.HardState) && stored.Term != ready.Term
}

// saveRecords saves records, and calls onSaved once they survive a crash. Until then processReady does nothing. If saving fails, the node
// stops.
func (n *Node) saveRecords(records []Record, onSaved func()) {
	n.saving = true
	n.host.SaveRecords(records, func(err error) {
		n.saving = false
		if err != nil {
			n.fail(err)
			return
		}
		n.processing = true // during onSaved, the host may call Append or ConfirmLeadership, which call processReady
		onSaved()
		n.processing = false
		n.processReady()
	})
}

// fail stops this node for good.
func (n *Node) fail(err error) {
	n.err = fmt.Errorf("consensus: %w", err)
	n.stepDown()
}

// updateLeadership reads from raft whether this node leads, and reports a change to the host.
func (n *Node) updateLeadership() {
	status := n.raft.BasicStatus()
	leads := status.RaftState == raft.StateLeader
	changed := leads != n.leading || leads && status.Term != n.term
	n.leading, n.term = leads, status.Term
	if !changed {
		return
	}
	if !leads {
		n.stepDown()
		return
	}
	n.host.LeadershipChanged(status.Term)
}

func (n *Node) stepDown() {
	n.leading, n.pendingReads = false, nil
	n.resetElectionTimer()
	n.host.LeadershipChanged(0)
}

// readyRecords returns the records that must survive a crash before the rest of a Ready is handled.
func (n *Node) readyRecords(ready *raft.Ready) (records []Record) {
	if !raft.IsEmptySnap(ready.Snapshot) {
		n.generation++
		records = append(records, n.snapshotRecord(&ready.Snapshot))
		records = append(records, n.entryDeletions(math.MaxUint64)...)
	}
	if len(ready.Entries) > 0 {
		last := n.LastIndex()
		// Delete replaced entries first, so that the stored log has no gap at any time.
		for i := ready.Entries[0].Index; i <= last; i++ {
			records = append(records, Record{Key: entryKey(i)})
		}
		for k := range ready.Entries {
			records = append(records, n.entryRecord(&ready.Entries[k]))
		}
	}
	if !raft.IsEmptyHardState(ready.HardState) && (len(records) > 0 || ready.MustSync) {
		records = append(records, hardStateRecord(ready.HardState))
	}
	return records
}

// entryDeletions returns records that delete the entries below an index.
func (n *Node) entryDeletions(below uint64) (records []Record) {
	first, _ := n.storage.FirstIndex() // MemoryStorage never fails here
	last := n.LastIndex()
	for i := first; i <= last && i < below; i++ {
		records = append(records, Record{Key: entryKey(i)})
	}
	return records
}

// finishReady handles the rest of a Ready once its records survive a crash.
func (n *Node) finishReady(ready raft.Ready) {
	if err := n.updateStorage(&ready); err != nil {
		n.fail(err)
		return
	}
	n.send(ready.Messages)
	for k := range ready.CommittedEntries {
		n.applyEntry(&ready.CommittedEntries[k])
	}
	confirmed := n.confirmedReads(ready.ReadStates)
	n.raft.Advance(ready)
	n.updateLeadership()
	for _, read := range confirmed {
		if n.leading {
			n.host.LeadershipConfirmed(read)
		}
	}
	if n.appliedIndex-n.snapshotIndex >= snapshotInterval {
		n.compact()
	}
}

// updateStorage updates raft's storage in memory with what the folder now contains.
func (n *Node) updateStorage(ready *raft.Ready) error {
	if !raft.IsEmptyHardState(ready.HardState) {
		if err := n.storage.SetHardState(ready.HardState); err != nil {
			return err
		}
	}
	if !raft.IsEmptySnap(ready.Snapshot) {
		if err := n.storage.ApplySnapshot(ready.Snapshot); err != nil {
			return err
		}
		n.installSnapshot(&ready.Snapshot)
	}
	return n.storage.Append(ready.Entries)
}

// installSnapshot replaces the host's state by a snapshot.
func (n *Node) installSnapshot(s *pb.Snapshot) {
	index := s.Metadata.Index
	n.appliedIndex, n.snapshotIndex, n.confState = index, index, s.Metadata.ConfState
	n.host.SnapshotInstalled(index, s.Data)
	n.host.VotersChanged(index, nil, n.confState.Voters, n.confState.Learners)
}

// confirmedReads returns the reads that a majority has confirmed and whose entries were reported to the host. Reads that wait for their
// entries are added to n.pendingReads.
func (n *Node) confirmedReads(states []raft.ReadState) (confirmed []uint64) {
	for _, state := range states {
		if len(state.RequestCtx) != readContextBytes {
			continue
		}
		read := binary.BigEndian.Uint64(state.RequestCtx)
		if state.Index <= n.appliedIndex {
			confirmed = append(confirmed, read)
		} else {
			n.pendingReads = append(n.pendingReads, pendingRead{state.Index, read})
		}
	}
	for len(n.pendingReads) > 0 && n.pendingReads[0].index <= n.appliedIndex {
		confirmed = append(confirmed, n.pendingReads[0].read)
		n.pendingReads = n.pendingReads[1:]
	}
	return confirmed
}

func (n *Node) applyEntry(e *pb.Entry) {
	n.appliedIndex = e.Index
	switch e.Type {
	case pb.EntryNormal:
		if len(e.Data) > 0 {
			n.host.EntryApplied(e.Index, e.Data)
		}
	case pb.EntryConfChangeV2, pb.EntryConfChange:
		change, err := decodeConfChange(e)
		if err != nil {
			return // written by another version of this program; all nodes of this version ignore it
		}
		n.confState = *n.raft.ApplyConfChange(change)
		n.host.VotersChanged(e.Index, change.Context, n.confState.Voters, n.confState.Learners)
		if len(n.confState.Learners) > 0 {
			n.compact() // a learner can only start from a snapshot that lists it
		}
	}
}

func decodeConfChange(e *pb.Entry) (change pb.ConfChangeV2, err error) {
	if e.Type == pb.EntryConfChangeV2 {
		err = change.Unmarshal(e.Data)
		return change, err
	}
	var old pb.ConfChange
	err = old.Unmarshal(e.Data)
	return old.AsV2(), err
}

// compact takes a snapshot and deletes the entries that it replaces, except for the last trailingEntries.
func (n *Node) compact() {
	s, err := n.storage.CreateSnapshot(n.appliedIndex, &n.confState, n.host.Snapshot())
	if err != nil {
		return
	}
	n.snapshotIndex = n.appliedIndex
	records := []Record{n.snapshotRecord(&s)}
	first, _ := n.storage.FirstIndex() // MemoryStorage never fails here
	if n.appliedIndex >= first+trailingEntries {
		records = append(records, n.entryDeletions(n.appliedIndex-trailingEntries+1)...)
		if err := n.storage.Compact(n.appliedIndex - trailingEntries); err != nil {
			n.fail(err)
			return
		}
	}
	n.host.SaveRecords(records, func(err error) {
		if err != nil && n.err == nil {
			n.fail(err)
		}
	})
}
