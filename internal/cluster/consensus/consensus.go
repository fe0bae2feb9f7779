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
	heartbeat = 2
	election  = 20
)

const (
	// A snapshot of what was decided takes the place of the entries after so many; a voter that is further behind gets it in one message.
	snapshotEvery = 64
	// Of the entries before it so many stay for voters that are a little behind.
	trailing = 16
	// An append fits a datagram, with what others put round it.
	mostAppend   = 512
	mostInFlight = 16
	// MostEntry is the longest entry in bytes, MostState the longest snapshot: one record of the store.
	MostEntry = 4 << 10
	MostState = 60 << 10
)

// Host is what a node acts on.
type Host interface {
	// Send brings a message to a voter; it may be lost, late or doubled.
	Send(to uint64, m []byte)
	// Save writes records in their order, and tells once all survive a crash, or why they may not. It never tells within the call.
	Save(records []Record, done func(error))
	// Applied tells the next entry that was decided; Changed the voters, with what came with the change.
	Applied(index uint64, entry []byte)
	Changed(index uint64, context []byte, voters, learners []uint64)
	// Installed tells what was decided up to an index, in place of the entries; State is asked for that.
	Installed(index uint64, state []byte)
	State() []byte
	// Led tells that this node leads from now on, or, with a term of 0, that it doesn't any more.
	Led(term uint64)
	// Confirmed answers Confirm: a majority followed this node after it was called, and all that had been decided by then was told.
	Confirmed(read uint64)
	// Forgot tells that this node's log lacks what it told others that it has: it takes no part any more.
	Forgot()
}

// Node is one voter's part. Its calls come one at a time.
type Node struct {
	host    Host
	chance  *rand.Rand
	id      uint64
	raft    *raft.RawNode
	kept    *raft.MemoryStorage
	conf    pb.ConfState
	applied uint64
	snapped uint64
	quiet   int // ticks without a leader's word
	pause   int // ticks after which it campaigns
	leads   bool
	term    uint64
	saving  bool
	pumping bool
	failed  error
	age     uint32   // times that the log was replaced by a snapshot: entries that were there before don't count
	reads   []uint64 // confirmed, and not told as entries before them are still to come
}

// New takes up what a folder holds; with nothing there it waits for a leader's word, or Begin.
func New(id uint64, found *Found, chance *rand.Rand, host Host) (*Node, error) {
	if id == 0 {
		return nil, errors.New("consensus: expected a voter's id above 0")
	}
	n := &Node{host: host, chance: chance, id: id, kept: raft.NewMemoryStorage(), age: found.age}
	stale, err := found.fill(n.kept)
	if err != nil {
		return nil, err
	}
	if s, err := n.kept.Snapshot(); err == nil && s.Metadata.Index > 0 {
		n.applied, n.snapped, n.conf = s.Metadata.Index, s.Metadata.Index, s.Metadata.ConfState
		host.Installed(n.applied, s.Data)
		host.Changed(n.applied, nil, n.conf.Voters, n.conf.Learners)
	}
	if len(stale) > 0 {
		n.save(stale, func() {})
	}
	return n, n.start()
}

// save has records survive before anything else is done.
func (n *Node) save(records []Record, then func()) {
	n.saving = true
	n.host.Save(records, func(err error) {
		n.saving = false
		if err != nil {
			n.failed = fmt.Errorf("consensus: %w", err)
			n.lose()
			return
		}
		n.pumping = true // what the host is told may have it append or ask
		then()
		n.pumping = false
		n.pump()
	})
}

func (n *Node) start() (err error) {
	n.rest()
	n.raft, err = raft.NewRawNode(&raft.Config{ID: n.id, ElectionTick: election, HeartbeatTick: heartbeat, Storage: n.kept, Applied: n.applied, MaxSizePerMsg: mostAppend,
		MaxInflightMsgs: mostInFlight, MaxUncommittedEntriesSize: 64 * MostEntry, CheckQuorum: true, PreVote: true, ReadOnlyOption: raft.ReadOnlySafe, DisableProposalForwarding: true, StepDownOnRemoval: true,
		Logger: quietLogger{}})
	return err
}

// Begin is for voters that were never there before: each begins with the same voters and the same state.
func (n *Node) Begin(voters []uint64, state []byte) error {
	if last, _ := n.kept.LastIndex(); last > 0 || n.term > 0 {
		return errors.New("consensus: expected an empty log to begin with")
	}
	n.conf = pb.ConfState{Voters: slices.Clone(voters)}
	s := pb.Snapshot{Data: state, Metadata: pb.SnapshotMetadata{Index: 1, Term: 1, ConfState: n.conf}}
	if err := n.kept.ApplySnapshot(s); err != nil {
		return err
	}
	hard := pb.HardState{Term: 1, Commit: 1}
	n.kept.SetHardState(hard)
	n.applied, n.snapped = 1, 1
	if err := n.start(); err != nil {
		return err
	}
	n.host.Installed(1, state)
	n.host.Changed(1, nil, n.conf.Voters, nil)
	n.save([]Record{n.snapshotRecord(&s), hardRecord(hard)}, func() {})
	return nil
}

// rest has a follower wait anew: a second, and up to another, so that two seldom campaign at once.
func (n *Node) rest() { n.quiet, n.pause = 0, election+n.chance.IntN(election) }

// Tick is the timer.
func (n *Node) Tick() {
	if n.failed != nil {
		return
	}
	if n.leads {
		n.raft.Tick()
	} else {
		n.raft.TickQuiesced() // time passes for what raft grants others; when to campaign is drawn here
		if n.quiet++; n.quiet >= n.pause {
			n.rest()
			n.raft.Campaign()
		}
	}
	n.pump()
}

// Heard takes in a voter's message.
func (n *Node) Heard(b []byte) error {
	var m pb.Message
	if err := m.Unmarshal(b); err != nil {
		return fmt.Errorf("consensus: %w", err)
	}
	if n.failed != nil || m.To != n.id {
		return nil // it is meant for a voter that was here before
	}
	last, err := n.kept.LastIndex()
	if err != nil {
		return err
	}
	switch m.Type {
	case pb.MsgHeartbeat:
		if m.Commit > last { // a leader tells no more than this node has said it has
			n.failed = errors.New("consensus: the log lacks what others were told it has")
			n.host.Forgot()
			return nil
		}
		fallthrough
	case pb.MsgApp, pb.MsgSnap:
		if m.Term >= n.term {
			n.rest()
		}
	case pb.MsgProp, pb.MsgReadIndex, pb.MsgTransferLeader:
		return nil // nobody here says that
	}
	if err := n.raft.Step(m); err != nil && !errors.Is(err, raft.ErrStepPeerNotFound) && !errors.Is(err, raft.ErrProposalDropped) {
		return fmt.Errorf("consensus: %w", err)
	}
	n.pump()
	return nil
}

// Append has the log decide on an entry; false: this node doesn't lead, or can't take more now. It may be lost all the same.
func (n *Node) Append(entry []byte) bool {
	if n.failed != nil || !n.leads || len(entry) > MostEntry || n.raft.Propose(entry) != nil {
		return false
	}
	n.pump()
	return true
}

// Confirm asks a majority whether this node leads.
func (n *Node) Confirm(read uint64) {
	if n.failed != nil || !n.leads {
		return
	}
	n.raft.ReadIndex(binary.BigEndian.AppendUint64(nil, read))
	n.pump()
}

// Change has voters be others: learners first, then as voters in the place of some that leave. It is one entry, and may be lost.
func (n *Node) Change(context []byte, learn, promote, remove []uint64) bool {
	if n.failed != nil || !n.leads {
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
	n.pump()
	return true
}

// Transfer has another voter lead, which has all that this one has.
func (n *Node) Transfer(to uint64) {
	if n.failed == nil && n.leads {
		n.raft.TransferLeader(to)
		n.pump()
	}
}

// Leads tells whether this node believes that it leads, Leader whom it follows (0: nobody).
func (n *Node) Leads() bool    { return n.leads }
func (n *Node) Leader() uint64 { return n.raft.BasicStatus().Lead }

// Term is the latest one heard of, Last the index of the last entry here, and Applied that of the last one told.
func (n *Node) Term() uint64    { return n.term }
func (n *Node) Last() uint64    { last, _ := n.kept.LastIndex(); return last }
func (n *Node) Applied() uint64 { return n.applied }
func (n *Node) Failed() error   { return n.failed }

// Voters are those that decide, and those that learn before they do.
func (n *Node) Voters() (voters, learners []uint64) { return n.conf.Voters, n.conf.Learners }

// Near tells whether a voter or learner has nearly all that the leader has.
func (n *Node) Near(id uint64) bool {
	p, ok := n.raft.Status().Progress[id]
	return ok && p.RecentActive && p.Match > 0 && p.Match+trailing >= n.Last()
}

// Active tells whether a voter or learner was heard in the last second or two, by a leader's word.
func (n *Node) Active(id uint64) bool {
	p, ok := n.raft.Status().Progress[id]
	return ok && p.RecentActive
}

// Drop are records that have the folder hold nothing of this log.
func (n *Node) Drop() []Record {
	return append(n.forget(math.MaxUint64), Record{Key: key(ofSnap, 0)}, Record{Key: key(ofHard, 0)})
}

// pump does what raft has ready. While records are on their way to the disk, what rests on them waits, and so does the rest.
func (n *Node) pump() {
	if n.pumping {
		return
	}
	n.pumping = true
	defer func() { n.pumping = false }()
	for !n.saving && n.failed == nil && n.raft.HasReady() {
		rd := n.raft.Ready()
		if rd.SoftState != nil || !raft.IsEmptyHardState(rd.HardState) {
			n.follows()
		}
		if hard, _, _ := n.kept.InitialState(); n.leads && (raft.IsEmptyHardState(rd.HardState) || hard.Term == rd.Term) {
			n.send(rd.Messages) // what a leader tells doesn't rest on its own disk, but for its term
			rd.Messages = nil
		}
		if records := n.records(&rd); len(records) > 0 {
			n.save(records, func() { n.finish(rd) })
		} else {
			n.finish(rd)
		}
	}
}

// follows looks whether this node leads.
func (n *Node) follows() {
	s := n.raft.BasicStatus()
	leads := s.RaftState == raft.StateLeader
	changed := leads != n.leads || leads && s.Term != n.term
	n.leads, n.term = leads, s.Term
	if changed && leads {
		n.host.Led(s.Term)
	} else if changed {
		n.lose()
	}
}

func (n *Node) lose() {
	n.leads, n.reads = false, nil
	n.rest()
	n.host.Led(0)
}

func (n *Node) send(list []pb.Message) {
	for _, m := range list {
		b, err := m.Marshal()
		if err != nil {
			continue // as if it were lost
		}
		if m.Type == pb.MsgVoteResp && !m.Reject {
			n.rest()
		}
		n.host.Send(m.To, b)
		if m.Type == pb.MsgSnap {
			n.raft.ReportSnapshot(m.To, raft.SnapshotFinish) // if it is lost, the leader finds that out and sends it again
		}
	}
}

// records are what must survive before the rest of a Ready is done.
func (n *Node) records(rd *raft.Ready) (out []Record) {
	if !raft.IsEmptySnap(rd.Snapshot) {
		n.age++
		out = append(out, n.snapshotRecord(&rd.Snapshot))
		out = append(out, n.forget(math.MaxUint64)...)
	}
	if len(rd.Entries) > 0 {
		last, _ := n.kept.LastIndex()
		for i := rd.Entries[0].Index; i <= last; i++ { // those that are overruled go first: so what is left is whole at any time
			out = append(out, Record{Key: entryKey(i)})
		}
		for k := range rd.Entries {
			out = append(out, n.entryRecord(&rd.Entries[k]))
		}
	}
	if !raft.IsEmptyHardState(rd.HardState) && (len(out) > 0 || rd.MustSync) {
		out = append(out, hardRecord(rd.HardState))
	}
	return out
}

// forget are records that entries below an index are gone.
func (n *Node) forget(below uint64) (out []Record) {
	first, _ := n.kept.FirstIndex()
	last, _ := n.kept.LastIndex()
	for i := first; i <= last && i < below; i++ {
		out = append(out, Record{Key: entryKey(i)})
	}
	return out
}

// finish does what rested on the records.
func (n *Node) finish(rd raft.Ready) {
	if !raft.IsEmptyHardState(rd.HardState) {
		n.kept.SetHardState(rd.HardState)
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		n.kept.ApplySnapshot(rd.Snapshot)
		m := rd.Snapshot.Metadata
		n.applied, n.snapped, n.conf = m.Index, m.Index, m.ConfState
		n.host.Installed(m.Index, rd.Snapshot.Data)
		n.host.Changed(m.Index, nil, m.ConfState.Voters, m.ConfState.Learners)
	}
	n.kept.Append(rd.Entries)
	n.send(rd.Messages)
	for k := range rd.CommittedEntries {
		n.apply(&rd.CommittedEntries[k])
	}
	var confirmed []uint64
	for _, r := range rd.ReadStates {
		if len(r.RequestCtx) == 8 && r.Index <= n.applied {
			confirmed = append(confirmed, binary.BigEndian.Uint64(r.RequestCtx))
		} else if len(r.RequestCtx) == 8 {
			n.reads = append(n.reads, r.Index, binary.BigEndian.Uint64(r.RequestCtx))
		}
	}
	for len(n.reads) > 0 && n.reads[0] <= n.applied {
		confirmed = append(confirmed, n.reads[1])
		n.reads = n.reads[2:]
	}
	n.raft.Advance(rd)
	n.follows()
	for _, read := range confirmed {
		if n.leads {
			n.host.Confirmed(read)
		}
	}
	if n.applied-n.snapped >= snapshotEvery {
		n.compact()
	}
}

func (n *Node) apply(e *pb.Entry) {
	n.applied = e.Index
	switch e.Type {
	case pb.EntryNormal:
		if len(e.Data) > 0 {
			n.host.Applied(e.Index, e.Data)
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
		n.conf = *n.raft.ApplyConfChange(cc)
		n.host.Changed(e.Index, cc.Context, n.conf.Voters, n.conf.Learners)
		if len(n.conf.Learners) > 0 {
			n.compact() // a newcomer takes no snapshot that doesn't name it
		}
	}
}

// compact has a snapshot take the place of old entries.
func (n *Node) compact() {
	s, err := n.kept.CreateSnapshot(n.applied, &n.conf, n.host.State())
	if err != nil {
		return
	}
	n.snapped = n.applied
	records := []Record{n.snapshotRecord(&s)}
	if first, _ := n.kept.FirstIndex(); n.applied >= first+trailing {
		records = append(records, n.forget(n.applied-trailing+1)...)
		n.kept.Compact(n.applied - trailing)
	}
	n.host.Save(records, func(err error) {
		if err != nil && n.failed == nil {
			n.failed = fmt.Errorf("consensus: %w", err)
			n.lose()
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
