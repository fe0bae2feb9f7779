package consensus

import (
	"encoding/binary"
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// HandleMessage takes in a voter's message. It returns ErrMalformedMessage for one that can't be decoded; a message to another node
// passes without effect, as it is meant for a replica that was here before.
func (n *Node) HandleMessage(b []byte) error {
	var m pb.Message
	if err := m.Unmarshal(b); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformedMessage, err)
	}
	if n.err != nil || m.To != n.id {
		return nil
	}
	switch m.Type {
	case pb.MsgHeartbeat:
		if m.Commit > n.LastIndex() { // a leader reports no more as decided than this node has confirmed to have
			n.err = ErrLogLost
			n.host.LogLost()
			return nil
		}
		n.leaderHeard(m.Term)
	case pb.MsgApp, pb.MsgSnap:
		n.leaderHeard(m.Term)
	case pb.MsgProp, pb.MsgReadIndex, pb.MsgTransferLeader:
		return nil // voters don't send these
	}
	err := n.raft.Step(m)
	if err != nil && !errors.Is(err, raft.ErrStepPeerNotFound) && !errors.Is(err, raft.ErrProposalDropped) {
		return fmt.Errorf("consensus: %w", err)
	}
	n.processReady()
	return nil
}

func (n *Node) leaderHeard(term uint64) {
	if term >= n.term {
		n.resetElectionTimer()
	}
}

// Append proposes an entry, which may be lost all the same. It returns ErrNotLeader, ErrEntryTooLong or ErrProposalDropped for one that
// was not appended.
func (n *Node) Append(entry []byte) error {
	if n.err != nil || !n.leading {
		return ErrNotLeader
	}
	if len(entry) > MaxEntryBytes {
		return ErrEntryTooLong
	}
	if err := n.raft.Propose(entry); err != nil {
		return fmt.Errorf("%w: %w", ErrProposalDropped, err)
	}
	n.processReady()
	return nil
}

// ConfirmLeadership asks a majority whether this node leads; Host.LeadershipConfirmed is the answer, which may not come.
func (n *Node) ConfirmLeadership(read uint64) {
	if n.err != nil || !n.leading {
		return
	}
	n.raft.ReadIndex(binary.BigEndian.AppendUint64(nil, read))
	n.processReady()
}

// ChangeVoters proposes other voters by one entry, which may be lost all the same: first they learn, then they are promoted in the place
// of those that are removed. It returns ErrNotLeader or ErrProposalDropped if the entry was not appended.
func (n *Node) ChangeVoters(context []byte, learn, promote, remove []uint64) error {
	if n.err != nil || !n.leading {
		return ErrNotLeader
	}
	change := pb.ConfChangeV2{Context: context}
	add := func(kind pb.ConfChangeType, ids []uint64) {
		for _, id := range ids {
			change.Changes = append(change.Changes, pb.ConfChangeSingle{Type: kind, NodeID: id})
		}
	}
	add(pb.ConfChangeAddLearnerNode, learn)
	add(pb.ConfChangeAddNode, promote)
	add(pb.ConfChangeRemoveNode, remove)
	if err := n.raft.ProposeConfChange(change); err != nil {
		return fmt.Errorf("%w: %w", ErrProposalDropped, err)
	}
	n.processReady()
	return nil
}

// TransferLeadership has another voter lead, once it has all that this node has.
func (n *Node) TransferLeadership(to uint64) {
	if n.err != nil || !n.leading {
		return
	}
	n.raft.TransferLeader(to)
	n.processReady()
}

// send sends raft's messages to other voters.
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
