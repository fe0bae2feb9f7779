// Package consensus implements a replicated log for a small group of voters with etcd's raft. An entry is decided once a majority of the
// voters has it. A Node does no I/O and starts no goroutine: its caller calls Tick, delivers its messages and writes its records. A Node
// sends a message that depends on a record only after the record survives a crash. It draws election timeouts from a random source that
// the caller provides, so that the same events lead to the same log. docs/policy.md describes what the log is used for.
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

// Times are in ticks. The caller calls Tick every 50 ms, so a leader sends ten heartbeats a second, and a follower campaigns after at least
// one second without a heartbeat. That is several times the delay that a sync, a garbage collection or a loaded machine may cause.
const (
	heartbeatTicks = 2
	electionTicks  = 20
)

const (
	// After snapshotInterval decided entries, a snapshot replaces the entries before it. A voter that lacks replaced entries receives the
	// snapshot in one message.
	snapshotInterval = 64
	// trailingEntries is how many entries before a snapshot are retained for voters that lag a little.
	trailingEntries = 16
	// An append message of maxAppendBytes fits a datagram together with the headers of the layers below.
	maxAppendBytes     = 512
	maxInFlightAppends = 16
	// maxUncommittedEntries limits the entries that wait for a majority, in units of MaxEntryBytes.
	maxUncommittedEntries = 64
	// MaxEntryBytes limits the length of an entry.
	MaxEntryBytes = 4 << 10
	// MaxSnapshotBytes limits the length of a snapshot, which must fit in one record of the store.
	MaxSnapshotBytes = 60 << 10
)

// Host is the environment of a node: it sends messages, saves records and applies decided entries.
type Host interface {
	// Send sends a message to a voter. The message may be lost, delayed or duplicated.
	Send(to uint64, m []byte)
	// SaveRecords writes records in the given order. It calls done once all of them survive a crash, or with the error because of which
	// they may not, but only after SaveRecords has returned.
	SaveRecords(records []Record, done func(error))
	// EntryApplied reports the next decided entry.
	EntryApplied(index uint64, entry []byte)
	// VotersChanged reports the current voters and learners, and the context passed to ChangeVoters.
	VotersChanged(index uint64, context []byte, voters, learners []uint64)
	// SnapshotInstalled reports the state that results from all entries up to an index. It replaces the reports of these entries.
	SnapshotInstalled(index uint64, state []byte)
	// Snapshot returns the state that results from all entries reported so far.
	Snapshot() []byte
	// LeadershipChanged reports that this node leads from now on, or, with a term of 0, that it no longer leads.
	LeadershipChanged(term uint64)
	// LeadershipConfirmed reports the result of ConfirmLeadership: a majority followed this node after the call, and all entries that had
	// been decided before the call were reported.
	LeadershipConfirmed(read uint64)
	// LogLost reports ErrLogLost: this node has stopped for good.
	LogLost()
}

// Node is one voter or learner. Its methods must be called one at a time.
type Node struct {
	host      Host
	random    *rand.Rand
	id        uint64
	raft      *raft.RawNode
	storage   *raft.MemoryStorage
	confState pb.ConfState
	timer     electionTimer

	appliedIndex  uint64 // the index of the last entry that was reported to the host
	snapshotIndex uint64
	generation    uint32 // how often a leader's snapshot has replaced the log; stored entries of earlier generations are invalid

	leading      bool
	term         uint64
	pendingReads []pendingRead

	saving     bool  // records are being saved, and the work that depends on them waits
	processing bool  // processReady is running or will run next, so nested calls of it return at once
	err        error // why this node has stopped
}

// electionTimer counts the ticks since a follower last received a leader's message. It campaigns after campaignAfter ticks.
type electionTimer struct {
	silentTicks   int
	campaignAfter int
}

// pendingRead is a read that a majority has confirmed, and that waits until the entries up to index are reported to the host.
type pendingRead struct{ index, read uint64 }

// New returns a node with the log stored in a folder. With an empty log, the node waits for a leader's messages or for Bootstrap.
func New(id uint64, stored *StoredLog, random *rand.Rand, host Host) (*Node, error) {
	if id == 0 {
		return nil, errors.New("consensus: expected a node ID above 0")
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

// Bootstrap starts a new log. It must be called at all first voters with the same voters and the same state. It returns ErrLogNotEmpty if
// the node already has a log.
func (n *Node) Bootstrap(voters []uint64, state []byte) error {
	if last, _ := n.storage.LastIndex(); last > 0 || n.term > 0 {
		return ErrLogNotEmpty
	}
	n.confState = pb.ConfState{Voters: slices.Clone(voters)}
	s := pb.Snapshot{Data: state, Metadata: pb.SnapshotMetadata{Index: 1, Term: 1, ConfState: n.confState}}
	if err := n.storage.ApplySnapshot(s); err != nil {
		return fmt.Errorf("consensus: first snapshot: %w", err)
	}
	hardState := pb.HardState{Term: 1, Commit: 1}
	if err := n.storage.SetHardState(hardState); err != nil {
		return fmt.Errorf("consensus: first hard state: %w", err)
	}
	n.appliedIndex, n.snapshotIndex = 1, 1
	if err := n.startRaft(); err != nil {
		return err
	}
	n.installSnapshot(&s)
	n.saveRecords([]Record{n.snapshotRecord(&s), hardStateRecord(hardState)}, func() {})
	return nil
}

// Tick advances the node's time by one tick. It sends heartbeats, or starts an election if the leader is silent.
func (n *Node) Tick() {
	if n.err != nil {
		return
	}
	if n.leading {
		n.raft.Tick()
		n.processReady()
		return
	}
	n.raft.TickQuiesced() // advances raft's own timer, in which raft protects the current leader; n.timer decides when to campaign
	n.timer.silentTicks++
	if n.timer.silentTicks >= n.timer.campaignAfter {
		n.resetElectionTimer()
		_ = n.raft.Campaign() // an error means that the node may not campaign, as if its campaign had been lost
	}
	n.processReady()
}

// resetElectionTimer restarts the wait for a leader's message. The wait is one second plus a random time of up to one second, so that two
// followers seldom campaign at the same time.
func (n *Node) resetElectionTimer() {
	n.timer = electionTimer{campaignAfter: electionTicks + n.random.IntN(electionTicks)}
}

// IsLeader reports whether this node believes that it leads.
func (n *Node) IsLeader() bool { return n.leading }

// LeaderID returns the ID of the leader that this node knows, or 0.
func (n *Node) LeaderID() uint64 { return n.raft.BasicStatus().Lead }

// Term returns the latest term that this node knows.
func (n *Node) Term() uint64 { return n.term }

// LastIndex returns the index of the last entry in this node's log, decided or not.
func (n *Node) LastIndex() uint64 {
	last, _ := n.storage.LastIndex() // raft's MemoryStorage never fails here
	return last
}

// AppliedIndex returns the index of the last entry that was reported to the host.
func (n *Node) AppliedIndex() uint64 { return n.appliedIndex }

// Err returns why this node has stopped, for example ErrLogLost, or nil if it hasn't.
func (n *Node) Err() error { return n.err }

// Voters returns the IDs of the voters and of the learners, which receive the log without voting.
func (n *Node) Voters() (voters, learners []uint64) { return n.confState.Voters, n.confState.Learners }

// IsCaughtUp reports whether a voter or learner is active and has all entries of this node but the last trailingEntries. It works at the
// leader only.
func (n *Node) IsCaughtUp(id uint64) bool {
	p, ok := n.raft.Status().Progress[id]
	return ok && p.RecentActive && p.Match > 0 && p.Match+trailingEntries >= n.LastIndex()
}

// IsActive reports whether this node has received a message from a voter or learner in the last one or two seconds. It works at the leader
// only.
func (n *Node) IsActive(id uint64) bool {
	p, ok := n.raft.Status().Progress[id]
	return ok && p.RecentActive
}

// DeletionRecords returns the records that delete this log from the folder.
func (n *Node) DeletionRecords() []Record {
	return append(n.entryDeletions(math.MaxUint64), Record{Key: recordKey(kindSnapshot, 0)}, Record{Key: recordKey(kindHardState, 0)})
}
