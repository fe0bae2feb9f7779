package consensus

import (
	"encoding/binary"
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// HandleMessage processes a voter's message. It returns an error that wraps ErrMalformedMessage if the message can't be decoded. It ignores
// a message to another node ID, because it is meant for an earlier replica of this member.
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
		if m.Commit > n.LastIndex() { // a leader's heartbeat reports only entries as decided that this node has acknowledged
			n.err = ErrLogLost
			n.host.LogLost()
			return nil
		}
		n.leaderMessageReceived(m.Term)
	case pb.MsgApp, pb.MsgSnap:
		n.leaderMessageReceived(m.Term)
	case pb.MsgProp, pb.MsgReadIndex, pb.MsgTransferLeader:
		return nil // voters never send these to each other
	}
	err := n.raft.Step(m)
	if err != nil && !errors.Is(err, raft.ErrStepPeerNotFound) && !errors.Is(err, raft.ErrProposalDropped) {
		return fmt.Errorf("consensus: %w", err)
	}
	n.processReady()
	return nil
}

func (n *Node) leaderMessageReceived(term uint64) {
	if term >= n.term {
		n.resetElectionTimer()
	}
}

// Append proposes an entry. It returns ErrNotLeader, ErrEntryTooLong or an error that wraps ErrProposalDropped if the entry was not
// appended. An appended entry may still be lost.
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

// ConfirmLeadership starts a read by which a majority confirms that this node leads. Host.LeadershipConfirmed reports the confirmation,
// which may never come.
func (n *Node) ConfirmLeadership(read uint64) {
	if n.err != nil || !n.leading {
		return
	}
	n.raft.ReadIndex(binary.BigEndian.AppendUint64(nil, read))
	n.processReady()
}

// ChangeVoters proposes one entry that adds learners, promotes nodes to voters and removes voters. A new voter should be a learner first.
// It returns ErrNotLeader or an error that wraps ErrProposalDropped if the entry was not appended. An appended entry may still be lost.
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

// TransferLeadership makes another voter the leader once it has all entries of this node.
func (n *Node) TransferLeadership(to uint64) {
	if n.err != nil || !n.leading {
		return
	}
	n.raft.TransferLeader(to)
	n.processReady()
}

// send sends raft's messages to the other voters.
func (n *Node) send(messages []pb.Message) {
	for _, m := range messages {
		b, err := m.Marshal()
		if err != nil {
			continue // treated like a message that is lost on the way
		}
		if m.Type == pb.MsgVoteResp && !m.Reject {
			n.resetElectionTimer()
		}
		n.host.Send(m.To, b)
		if m.Type == pb.MsgSnap {
			n.raft.ReportSnapshot(m.To, raft.SnapshotFinish) // raft notices a lost snapshot by itself and sends it again
		}
	}
}
