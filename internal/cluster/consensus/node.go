// Package consensus keeps a log on which a majority of a few voters decide, by etcd's raft. A Node does no I/O and has no goroutine:
// its caller ticks it, hands it messages and writes its records. It says nothing that rests on a record before the record survives a
// crash, and draws election timeouts from a random source handed in, so that the same events lead to the same log. docs/policy.md says
// what the log is for.
package consensus

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// Times are in ticks, of which a caller makes one each 50 ms. A leader sends ten heartbeats a second, and a follower campaigns after a
// second without one at the earliest: several times what a sync, a garbage collection or a loaded machine takes.
const (
	heartbeatTicks = 2
	electionTicks  = 20
)

const (
	// A snapshot takes the place of the entries that were decided after so many. A voter that is further behind gets it in one message.
	snapshotInterval = 64
	// So many of the entries before a snapshot stay for voters that are a little behind.
	trailingEntries = 16
	// An append fits a datagram, with what its carriers add.
	maxAppendBytes     = 512
	maxInFlightAppends = 16
	// So many entries of the longest kind may wait for a majority.
	maxUncommittedEntries = 64
	// MaxEntryBytes is the length of the longest entry.
	MaxEntryBytes = 4 << 10
	// MaxSnapshotBytes is the length of the longest snapshot, which is one record of the store.
	MaxSnapshotBytes = 60 << 10
)

// Host is what a node acts on.
type Host interface {
	// Send sends a message to a voter; it may be lost, late or doubled.
	Send(to uint64, m []byte)
	// SaveRecords writes records in their order. It calls done, never before it returns, once all survive a crash, or with the reason
	// why they may not.
	SaveRecords(records []Record, done func(error))
	// EntryApplied reports the next entry that was decided.
	EntryApplied(index uint64, entry []byte)
	// VotersChanged reports the voters and learners, with the context that came with the change.
	VotersChanged(index uint64, context []byte, voters, learners []uint64)
	// SnapshotInstalled reports what was decided up to an index, in place of the entries up to it.
	SnapshotInstalled(index uint64, state []byte)
	// Snapshot returns what was decided by all entries reported so far.
	Snapshot() []byte
	// LeadershipChanged reports that this node leads from now on, or, with a term of 0, that it doesn't any more.
	LeadershipChanged(term uint64)
	// LeadershipConfirmed answers ConfirmLeadership: a majority followed this node after the call, and all entries that had been
	// decided by then were reported.
	LeadershipConfirmed(read uint64)
	// LogLost reports ErrLogLost: this node takes no part any more.
	LogLost()
}

// Node is one voter or learner. Its calls come one at a time.
type Node struct {
	host      Host
	random    *rand.Rand
	id        uint64
	raft      *raft.RawNode
	storage   *raft.MemoryStorage
	confState pb.ConfState
	timer     electionTimer

	appliedIndex  uint64 // of the last entry that was reported
	snapshotIndex uint64
	generation    uint32 // how often a leader's snapshot replaced the log: entries stored before that don't count

	leading      bool
	term         uint64
	pendingReads []pendingRead

	saving     bool  // records are being saved, and what rests on them waits
	processing bool  // processReady runs, so that a call from within it adds to its work
	err        error // why this node takes no part any more
}

// electionTimer counts the ticks that a follower has not heard a leader.
type electionTimer struct {
	quietTicks    int
	campaignAfter int
}

// pendingRead is a confirmation that waits until the entries up to index are reported.
type pendingRead struct{ index, read uint64 }

// New makes a node of what a folder holds. With nothing there it waits for a leader's messages, or for Bootstrap.
func New(id uint64, stored *StoredLog, random *rand.Rand, host Host) (*Node, error) {
	if id == 0 {
		return nil, errors.New("consensus: expected a voter's id above 0")
	}
	n := &Node{host: host, random: random, id: id, storage: raft.NewMemoryStorage(), generation: stored.generation}
	stale, err := stored.restore(n.storage)
	if err != nil {
		return nil, err
	}
	if s, err := n.storage.Snapshot(); err == nil && s.Metadata.Index > 0 {
		n.installSnapshot(&s)
	}
	if len(stale) > 0 {
		n.saveRecords(stale, func() {})
	}
	return n, n.startRaft()
}

func (n *Node) startRaft() (err error) {
	n.resetElectionTimer()
	n.raft, err = raft.NewRawNode(&raft.Config{
		ID:                        n.id,
		ElectionTick:              electionTicks,
		HeartbeatTick:             heartbeatTicks,
		Storage:                   n.storage,
		Applied:                   n.appliedIndex,
		MaxSizePerMsg:             maxAppendBytes,
		MaxInflightMsgs:           maxInFlightAppends,
		MaxUncommittedEntriesSize: maxUncommittedEntries * MaxEntryBytes,
		CheckQuorum:               true,
		PreVote:                   true,
		ReadOnlyOption:            raft.ReadOnlySafe,
		DisableProposalForwarding: true,
		StepDownOnRemoval:         true,
		Logger:                    quietLogger{},
	})
	return err
}

// Bootstrap begins a new log. All its first voters call it, with the same voters and the same state. It returns ErrLogNotEmpty for a node
// that has a log.
func (n *Node) Bootstrap(voters []uint64, state []byte) error {
	if last, _ := n.storage.LastIndex(); last > 0 || n.term > 0 {
		return ErrLogNotEmpty
	}
	n.confState = pb.ConfState{Voters: slices.Clone(voters)}
	s := pb.Snapshot{Data: state, Metadata: pb.SnapshotMetadata{Index: 1, Term: 1, ConfState: n.confState}}
	if err := n.storage.ApplySnapshot(s); err != nil {
		return fmt.Errorf("consensus: first snapshot: %w", err)
	}
	hard := pb.HardState{Term: 1, Commit: 1}
	if err := n.storage.SetHardState(hard); err != nil {
		return fmt.Errorf("consensus: first hard state: %w", err)
	}
	n.appliedIndex, n.snapshotIndex = 1, 1
	if err := n.startRaft(); err != nil {
		return err
	}
	n.installSnapshot(&s)
	n.saveRecords([]Record{n.snapshotRecord(&s), hardStateRecord(hard)}, func() {})
	return nil
}

// Tick counts one tick.
func (n *Node) Tick() {
	if n.err != nil {
		return
	}
	if n.leading {
		n.raft.Tick()
		n.processReady()
		return
	}
	n.raft.TickQuiesced() // counts the time that raft grants others; electionTimer decides when to campaign
	n.timer.quietTicks++
	if n.timer.quietTicks >= n.timer.campaignAfter {
		n.resetElectionTimer()
		_ = n.raft.Campaign() // a node that may not campaign is like one that wasn't heard
	}
	n.processReady()
}

// resetElectionTimer has a follower wait for a second, and a random time up to another, so that two seldom campaign at once.
func (n *Node) resetElectionTimer() {
	n.timer = electionTimer{campaignAfter: electionTicks + n.random.IntN(electionTicks)}
}

// IsLeader tells whether this node believes that it leads.
func (n *Node) IsLeader() bool { return n.leading }

// LeaderID is the voter that this node follows; 0: none.
func (n *Node) LeaderID() uint64 { return n.raft.BasicStatus().Lead }

// Term is the latest term that this node has heard of.
func (n *Node) Term() uint64 { return n.term }

// LastIndex is the index of the last entry here, decided or not.
func (n *Node) LastIndex() uint64 {
	last, _ := n.storage.LastIndex() // which of raft's storages in memory fails never
	return last
}

// AppliedIndex is the index of the last entry that was reported.
func (n *Node) AppliedIndex() uint64 { return n.appliedIndex }

// Err is why this node takes no part any more, for one ErrLogLost; nil: it takes part.
func (n *Node) Err() error { return n.err }

// Voters are those that decide, and those that learn before they do.
func (n *Node) Voters() (voters, learners []uint64) { return n.confState.Voters, n.confState.Learners }

// IsCaughtUp tells whether a voter or learner has nearly all entries of this node, which leads.
func (n *Node) IsCaughtUp(id uint64) bool {
	p, ok := n.raft.Status().Progress[id]
	return ok && p.RecentActive && p.Match > 0 && p.Match+trailingEntries >= n.LastIndex()
}

// IsActive tells whether this node, which leads, has heard a voter or learner in the last second or two.
func (n *Node) IsActive(id uint64) bool {
	p, ok := n.raft.Status().Progress[id]
	return ok && p.RecentActive
}

// DeletionRecords are records by which the folder holds nothing of this log any more.
func (n *Node) DeletionRecords() []Record {
	return append(n.entryDeletions(math.MaxUint64), Record{Key: recordKey(kindSnapshot, 0)}, Record{Key: recordKey(kindHardState, 0)})
}
