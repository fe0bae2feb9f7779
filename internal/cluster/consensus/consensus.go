// Package consensus keeps a log on which a majority of a few voters decide. The protocol is etcd's raft, a core without I/O as
// ours are: this package steps it, writes what must survive a crash before anything is said that rests on it, and draws the pauses
// before elections from a chance handed in, so that the same events come to the same log. docs/policy.md says what it is for.
package consensus

import (
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// Tick is called so often; the other times are in ticks of 50 ms. A leader speaks ten times a second, and one that was not heard for a
// second is followed: several times what a sync, a collector's pause or a loaded machine takes.
const (
	heartbeatTicks = 2
	electionTicks  = 20
)

const (
	// A snapshot of what was decided takes the place of the entries after so many; a voter that is further behind gets it in one message.
	snapshotInterval = 64
	// Of the entries before it so many stay for voters that are a little behind.
	trailingEntries = 16
	// An append fits a datagram, with what others put round it.
	maxAppendBytes     = 512
	maxInFlightAppends = 16
	// MostEntry is the longest entry in bytes, MostState the longest snapshot: one record of the store.
	MaxEntryBytes    = 4 << 10
	MaxSnapshotBytes = 60 << 10
)

// Host is what a node acts on.
type Host interface {
	// Send brings a message to a voter; it may be lost, late or doubled.
	Send(to uint64, m []byte)
	// Save writes records in their order, and tells once all survive a crash, or why they may not. It never tells within the call.
	SaveRecords(records []Record, done func(error))
	// Applied tells the next entry that was decided; Changed the voters, with what came with the change.
	EntryApplied(index uint64, entry []byte)
	VotersChanged(index uint64, context []byte, voters, learners []uint64)
	// Installed tells what was decided up to an index, in place of the entries; State is asked for that.
	SnapshotInstalled(index uint64, state []byte)
	Snapshot() []byte
	// Led tells that this node leads from now on, or, with a term of 0, that it doesn't any more.
	LeadershipChanged(term uint64)
	// Confirmed answers Confirm: a majority followed this node after it was called, and all that had been decided by then was told.
	LeadershipConfirmed(read uint64)
	// Forgot tells that this node's log lacks what it told others that it has: it takes no part any more.
	LogLost()
}

// Node is one voter's part. Its calls come one at a time.
type Node struct {
	host          Host
	random        *rand.Rand
	id            uint64
	raft          *raft.RawNode
	storage       *raft.MemoryStorage
	confState     pb.ConfState
	appliedIndex  uint64
	snapshotIndex uint64
	quietTicks    int // ticks without a leader's word
	campaignAfter int // ticks after which it campaigns
	leading       bool
	term          uint64
	saving        bool
	processing    bool
	err           error
	generation    uint32   // times that the log was replaced by a snapshot: entries that were there before don't count
	pendingReads  []uint64 // confirmed, and not told as entries before them are still to come
}

// New takes up what a folder holds; with nothing there it waits for a leader's word, or Begin.
func New(id uint64, found *StoredLog, chance *rand.Rand, host Host) (*Node, error) {
	if id == 0 {
		return nil, errors.New("consensus: expected a voter's id above 0")
	}
	n := &Node{host: host, random: chance, id: id, storage: raft.NewMemoryStorage(), generation: found.generation}
	stale, err := found.restore(n.storage)
	if err != nil {
		return nil, err
	}
	if s, err := n.storage.Snapshot(); err == nil && s.Metadata.Index > 0 {
		n.appliedIndex, n.snapshotIndex, n.confState = s.Metadata.Index, s.Metadata.Index, s.Metadata.ConfState
		host.SnapshotInstalled(n.appliedIndex, s.Data)
		host.VotersChanged(n.appliedIndex, nil, n.confState.Voters, n.confState.Learners)
	}
	if len(stale) > 0 {
		n.saveRecords(stale, func() {})
	}
	return n, n.startRaft()
}

// save has records survive before anything else is done.
func (n *Node) saveRecords(records []Record, then func()) {
	n.saving = true
	n.host.SaveRecords(records, func(err error) {
		n.saving = false
		if err != nil {
			n.err = fmt.Errorf("consensus: %w", err)
			n.stepDown()
			return
		}
		n.processing = true // what the host is told may have it append or ask
		then()
		n.processing = false
		n.processReady()
	})
}

func (n *Node) startRaft() (err error) {
	n.resetElectionTimer()
	n.raft, err = raft.NewRawNode(&raft.Config{ID: n.id, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: n.storage, Applied: n.appliedIndex, MaxSizePerMsg: maxAppendBytes,
		MaxInflightMsgs: maxInFlightAppends, MaxUncommittedEntriesSize: 64 * MaxEntryBytes, CheckQuorum: true, PreVote: true, ReadOnlyOption: raft.ReadOnlySafe, DisableProposalForwarding: true, StepDownOnRemoval: true,
		Logger: quietLogger{}})
	return err
}

// Begin is for voters that were never there before: each begins with the same voters and the same state.
func (n *Node) Bootstrap(voters []uint64, state []byte) error {
	if last, _ := n.storage.LastIndex(); last > 0 || n.term > 0 {
		return errors.New("consensus: expected an empty log to begin with")
	}
	n.confState = pb.ConfState{Voters: slices.Clone(voters)}
	s := pb.Snapshot{Data: state, Metadata: pb.SnapshotMetadata{Index: 1, Term: 1, ConfState: n.confState}}
	if err := n.storage.ApplySnapshot(s); err != nil {
		return err
	}
	hard := pb.HardState{Term: 1, Commit: 1}
	n.storage.SetHardState(hard)
	n.appliedIndex, n.snapshotIndex = 1, 1
	if err := n.startRaft(); err != nil {
		return err
	}
	n.host.SnapshotInstalled(1, state)
	n.host.VotersChanged(1, nil, n.confState.Voters, nil)
	n.saveRecords([]Record{n.snapshotRecord(&s), hardStateRecord(hard)}, func() {})
	return nil
}

// rest has a follower wait anew: a second, and up to another, so that two seldom campaign at once.
func (n *Node) resetElectionTimer() {
	n.quietTicks, n.campaignAfter = 0, electionTicks+n.random.IntN(electionTicks)
}

// Tick is the timer.
func (n *Node) Tick() {
	if n.err != nil {
		return
	}
	if n.leading {
		n.raft.Tick()
	} else {
		n.raft.TickQuiesced() // time passes for what raft grants others; when to campaign is drawn here
		if n.quietTicks++; n.quietTicks >= n.campaignAfter {
			n.resetElectionTimer()
			n.raft.Campaign()
		}
	}
	n.processReady()
}

// Heard takes in a voter's message.
func (n *Node) HandleMessage(b []byte) error {
	var m pb.Message
	if err := m.Unmarshal(b); err != nil {
		return fmt.Errorf("consensus: %w", err)
	}
	if n.err != nil || m.To != n.id {
		return nil // it is meant for a voter that was here before
	}
	last, err := n.storage.LastIndex()
	if err != nil {
		return err
	}
	switch m.Type {
	case pb.MsgHeartbeat:
		if m.Commit > last { // a leader tells no more than this node has said it has
			n.err = errors.New("consensus: the log lacks what others were told it has")
			n.host.LogLost()
			return nil
		}
		fallthrough
	case pb.MsgApp, pb.MsgSnap:
		if m.Term >= n.term {
			n.resetElectionTimer()
		}
	case pb.MsgProp, pb.MsgReadIndex, pb.MsgTransferLeader:
		return nil // nobody here says that
	}
	if err := n.raft.Step(m); err != nil && !errors.Is(err, raft.ErrStepPeerNotFound) && !errors.Is(err, raft.ErrProposalDropped) {
		return fmt.Errorf("consensus: %w", err)
	}
	n.processReady()
	return nil
}

// Append has the log decide on an entry; false: this node doesn't lead, or can't take more now. It may be lost all the same.
func (n *Node) Append(entry []byte) bool {
	if n.err != nil || !n.leading || len(entry) > MaxEntryBytes || n.raft.Propose(entry) != nil {
		return false
	}
	n.processReady()
	return true
}

// Confirm asks a majority whether this node leads.
func (n *Node) ConfirmLeadership(read uint64) {
	if n.err != nil || !n.leading {
		return
	}
	n.raft.ReadIndex(binary.BigEndian.AppendUint64(nil, read))
	n.processReady()
}

// Change has voters be others: learners first, then as voters in the place of some that leave. It is one entry, and may be lost.
func (n *Node) ChangeVoters(context []byte, learn, promote, remove []uint64) bool {
	if n.err != nil || !n.leading {
		return false
	}
	cc := pb.ConfChangeV2{Context: context}
	add := func(kind pb.ConfChangeType, ids []uint64) {
		for _, id := range ids {
			cc.Changes = append(cc.Changes, pb.ConfChangeSingle{Type: kind, NodeID: id})
		}
	}
	add(pb.ConfChangeAddLearnerNode, learn)
	add(pb.ConfChangeAddNode, promote)
	add(pb.ConfChangeRemoveNode, remove)
	if n.raft.ProposeConfChange(cc) != nil {
		return false
	}
	n.processReady()
	return true
}

// Transfer has another voter lead, which has all that this one has.
func (n *Node) TransferLeadership(to uint64) {
	if n.err == nil && n.leading {
		n.raft.TransferLeader(to)
		n.processReady()
	}
}

// Leads tells whether this node believes that it leads, Leader whom it follows (0: nobody).
func (n *Node) IsLeader() bool   { return n.leading }
func (n *Node) LeaderID() uint64 { return n.raft.BasicStatus().Lead }

// Term is the latest one heard of, Last the index of the last entry here, and Applied that of the last one told.
func (n *Node) Term() uint64         { return n.term }
func (n *Node) LastIndex() uint64    { last, _ := n.storage.LastIndex(); return last }
func (n *Node) AppliedIndex() uint64 { return n.appliedIndex }
func (n *Node) Err() error           { return n.err }

// Voters are those that decide, and those that learn before they do.
func (n *Node) Voters() (voters, learners []uint64) { return n.confState.Voters, n.confState.Learners }

// Near tells whether a voter or learner has nearly all that the leader has.
func (n *Node) IsCaughtUp(id uint64) bool {
	p, ok := n.raft.Status().Progress[id]
	return ok && p.RecentActive && p.Match > 0 && p.Match+trailingEntries >= n.LastIndex()
}

// Active tells whether a voter or learner was heard in the last second or two, by a leader's word.
func (n *Node) IsActive(id uint64) bool {
	p, ok := n.raft.Status().Progress[id]
	return ok && p.RecentActive
}

// Drop are records that have the folder hold nothing of this log.
func (n *Node) DeletionRecords() []Record {
	return append(n.entryDeletions(math.MaxUint64), Record{Key: recordKey(kindSnapshot, 0)}, Record{Key: recordKey(kindHardState, 0)})
}

// pump does what raft has ready. While records are on their way to the disk, what rests on them waits, and so does the rest.
func (n *Node) processReady() {
	if n.processing {
		return
	}
	n.processing = true
	defer func() { n.processing = false }()
	for !n.saving && n.err == nil && n.raft.HasReady() {
		rd := n.raft.Ready()
		if rd.SoftState != nil || !raft.IsEmptyHardState(rd.HardState) {
			n.updateLeadership()
		}
		if hard, _, _ := n.storage.InitialState(); n.leading && (raft.IsEmptyHardState(rd.HardState) || hard.Term == rd.Term) {
			n.send(rd.Messages) // what a leader tells doesn't rest on its own disk, but for its term
			rd.Messages = nil
		}
		if records := n.readyRecords(&rd); len(records) > 0 {
			n.saveRecords(records, func() { n.finishReady(rd) })
		} else {
			n.finishReady(rd)
		}
	}
}

// follows looks whether this node leads.
func (n *Node) updateLeadership() {
	s := n.raft.BasicStatus()
	leads := s.RaftState == raft.StateLeader
	changed := leads != n.leading || leads && s.Term != n.term
	n.leading, n.term = leads, s.Term
	if changed && leads {
		n.host.LeadershipChanged(s.Term)
	} else if changed {
		n.stepDown()
	}
}

func (n *Node) stepDown() {
	n.leading, n.pendingReads = false, nil
	n.resetElectionTimer()
	n.host.LeadershipChanged(0)
}

func (n *Node) send(list []pb.Message) {
	for _, m := range list {
		b, err := m.Marshal()
		if err != nil {
			continue // as if it were lost
		}
		if m.Type == pb.MsgVoteResp && !m.Reject {
			n.resetElectionTimer()
		}
		n.host.Send(m.To, b)
		if m.Type == pb.MsgSnap {
			n.raft.ReportSnapshot(m.To, raft.SnapshotFinish) // if it is lost, the leader finds that out and sends it again
		}
	}
}

// records are what must survive before the rest of a Ready is done.
func (n *Node) readyRecords(rd *raft.Ready) (out []Record) {
	if !raft.IsEmptySnap(rd.Snapshot) {
		n.generation++
		out = append(out, n.snapshotRecord(&rd.Snapshot))
		out = append(out, n.entryDeletions(math.MaxUint64)...)
	}
	if len(rd.Entries) > 0 {
		last, _ := n.storage.LastIndex()
		for i := rd.Entries[0].Index; i <= last; i++ { // those that are overruled go first: so what is left is whole at any time
			out = append(out, Record{Key: entryKey(i)})
		}
		for k := range rd.Entries {
			out = append(out, n.entryRecord(&rd.Entries[k]))
		}
	}
	if !raft.IsEmptyHardState(rd.HardState) && (len(out) > 0 || rd.MustSync) {
		out = append(out, hardStateRecord(rd.HardState))
	}
	return out
}

// forget are records that entries below an index are gone.
func (n *Node) entryDeletions(below uint64) (out []Record) {
	first, _ := n.storage.FirstIndex()
	last, _ := n.storage.LastIndex()
	for i := first; i <= last && i < below; i++ {
		out = append(out, Record{Key: entryKey(i)})
	}
	return out
}

// finish does what rested on the records.
func (n *Node) finishReady(rd raft.Ready) {
	if !raft.IsEmptyHardState(rd.HardState) {
		n.storage.SetHardState(rd.HardState)
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		n.storage.ApplySnapshot(rd.Snapshot)
		m := rd.Snapshot.Metadata
		n.appliedIndex, n.snapshotIndex, n.confState = m.Index, m.Index, m.ConfState
		n.host.SnapshotInstalled(m.Index, rd.Snapshot.Data)
		n.host.VotersChanged(m.Index, nil, m.ConfState.Voters, m.ConfState.Learners)
	}
	n.storage.Append(rd.Entries)
	n.send(rd.Messages)
	for k := range rd.CommittedEntries {
		n.applyEntry(&rd.CommittedEntries[k])
	}
	var confirmed []uint64
	for _, r := range rd.ReadStates {
		if len(r.RequestCtx) == 8 && r.Index <= n.appliedIndex {
			confirmed = append(confirmed, binary.BigEndian.Uint64(r.RequestCtx))
		} else if len(r.RequestCtx) == 8 {
			n.pendingReads = append(n.pendingReads, r.Index, binary.BigEndian.Uint64(r.RequestCtx))
		}
	}
	for len(n.pendingReads) > 0 && n.pendingReads[0] <= n.appliedIndex {
		confirmed = append(confirmed, n.pendingReads[1])
		n.pendingReads = n.pendingReads[2:]
	}
	n.raft.Advance(rd)
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

func (n *Node) applyEntry(e *pb.Entry) {
	n.appliedIndex = e.Index
	switch e.Type {
	case pb.EntryNormal:
		if len(e.Data) > 0 {
			n.host.EntryApplied(e.Index, e.Data)
		}
	case pb.EntryConfChangeV2, pb.EntryConfChange:
		var cc pb.ConfChangeV2
		if e.Type == pb.EntryConfChange {
			var old pb.ConfChange
			if old.Unmarshal(e.Data) != nil {
				return
			}
			cc = old.AsV2()
		} else if cc.Unmarshal(e.Data) != nil {
			return
		}
		n.confState = *n.raft.ApplyConfChange(cc)
		n.host.VotersChanged(e.Index, cc.Context, n.confState.Voters, n.confState.Learners)
		if len(n.confState.Learners) > 0 {
			n.compact() // a newcomer takes no snapshot that doesn't name it
		}
	}
}

// compact has a snapshot take the place of old entries.
func (n *Node) compact() {
	s, err := n.storage.CreateSnapshot(n.appliedIndex, &n.confState, n.host.Snapshot())
	if err != nil {
		return
	}
	n.snapshotIndex = n.appliedIndex
	records := []Record{n.snapshotRecord(&s)}
	if first, _ := n.storage.FirstIndex(); n.appliedIndex >= first+trailingEntries {
		records = append(records, n.entryDeletions(n.appliedIndex-trailingEntries+1)...)
		n.storage.Compact(n.appliedIndex - trailingEntries)
	}
	n.host.SaveRecords(records, func(err error) {
		if err != nil && n.err == nil {
			n.err = fmt.Errorf("consensus: %w", err)
			n.stepDown()
		}
	})
}

// quietLogger drops what raft says: the host tells what matters. What can't be is a panic.
type quietLogger struct{}

func (quietLogger) Debug(...any)            {}
func (quietLogger) Debugf(string, ...any)   {}
func (quietLogger) Info(...any)             {}
func (quietLogger) Infof(string, ...any)    {}
func (quietLogger) Warning(...any)          {}
func (quietLogger) Warningf(string, ...any) {}
func (quietLogger) Error(v ...any)          { slog.Debug("consensus", "error", fmt.Sprint(v...)) }
func (quietLogger) Errorf(f string, v ...any) {
	slog.Debug("consensus", "error", fmt.Sprintf(f, v...))
}
func (quietLogger) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (quietLogger) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (quietLogger) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (quietLogger) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
