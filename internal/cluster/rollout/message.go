package rollout

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// ErrMalformedMessage is wrapped by errors about messages that can't be decoded.
var ErrMalformedMessage = errors.New("policy rollout: malformed message")

// Message is a message between members, encoded in CBOR. Exactly one of the payload fields after Incarnation is set. A receiver ignores
// fields that its version doesn't know. The meaning of a field's CBOR key must never change.
type Message struct {
	from            string
	Incarnation     uint64           `cbor:"1,keyasint"` // the sender's incarnation
	LeaseRequest    *LeaseRequest    `cbor:"2,keyasint,omitempty"`
	LeaseReply      *LeaseReply      `cbor:"3,keyasint,omitempty"`
	ProposalRequest *ProposalRequest `cbor:"4,keyasint,omitempty"`
	ProposalReply   *ProposalReply   `cbor:"5,keyasint,omitempty"`
	ChunkRequest    *ChunkRequest    `cbor:"6,keyasint,omitempty"`
	Chunk           *Chunk           `cbor:"7,keyasint,omitempty"`
	VoterHello      *VoterHello      `cbor:"8,keyasint,omitempty"`
	Log             []byte           `cbor:"9,keyasint,omitempty"` // an encoded message of the voters' log, for package consensus
}

// Version orders the policies that were in force: by era, which rises only when a new log is forced, then by number.
type Version struct {
	Era    uint64 `cbor:"1,keyasint,omitempty"`
	Number uint64 `cbor:"2,keyasint,omitempty"`
}

// Before reports whether v is older than other: it has a lower era, or the same era and a lower number.
func (v Version) Before(other Version) bool {
	return v.Era < other.Era || v.Era == other.Era && v.Number < other.Number
}

// LeaseRequest is a request for a lease that a member sends to a voter.
type LeaseRequest struct {
	Seq          uint32        `cbor:"1,keyasint"`
	LastVersion  Version       `cbor:"2,keyasint"`           // the latest version that this member has applied
	HoldsLease   bool          `cbor:"3,keyasint,omitempty"` // its lease on that version is still running by its own clock
	UsableDigest Digest        `cbor:"4,keyasint"`           // the policy that it can apply under a lease
	ReadyFor     uint64        `cbor:"5,keyasint,omitempty"` // the proposal that it can follow
	Unsupported  uint64        `cbor:"6,keyasint,omitempty"` // the proposal that it can't follow
	Reason       string        `cbor:"7,keyasint,omitempty"` // why it can't follow that proposal
	ReleasedFor  uint64        `cbor:"8,keyasint,omitempty"` // the proposal for which it has given up its lease
	Counts       RequestCounts `cbor:"9,keyasint,omitempty"`
	Leaving      bool          `cbor:"10,keyasint,omitempty"`
	MinValidSeq  uint32        `cbor:"13,keyasint,omitempty"` // the member ignores leases in replies to earlier requests
	AnsweredSeq  uint32        `cbor:"12,keyasint,omitempty"` // its latest request that the leader has answered
	OverlapWith  uint64        `cbor:"11,keyasint,omitempty"` // the proposal whose policy it applies together with the one in force
}

// LeaseReply is a voter's reply to a LeaseRequest, or a message that the leader sends without a request.
type LeaseReply struct {
	Seq            uint32          `cbor:"1,keyasint,omitempty"` // the request's Seq; 0: sent without a request
	Leader         string          `cbor:"2,keyasint,omitempty"` // if the leader isn't the sender, no field below is set
	Decided        Version         `cbor:"3,keyasint,omitempty"` // the version in force
	Digest         Digest          `cbor:"4,keyasint"`
	Size           int             `cbor:"5,keyasint,omitempty"`
	Lease          Time            `cbor:"6,keyasint,omitempty"` // the lease's length, counted from when the request was sent; 0: no lease
	Proposal       *ProposalNotice `cbor:"7,keyasint,omitempty"` // the open proposal
	Overlap        Time            `cbor:"8,keyasint,omitempty"` // how long it may apply both policies without a lease, counted like Lease
	YieldFor       uint64          `cbor:"9,keyasint,omitempty"` // the proposal for which the member must give up its lease
	Voters         []string        `cbor:"10,keyasint,omitempty"`
	Progress       string          `cbor:"11,keyasint,omitempty"` // the progress of the change, for operators
	WantedVoters   []string        `cbor:"14,keyasint,omitempty"` // the members that should vote, if they differ from Voters
	Confirmed      bool            `cbor:"12,keyasint,omitempty"` // a majority has confirmed the sender as leader after the request
	ForIncarnation uint64          `cbor:"13,keyasint,omitempty"` // the requesting process; other processes of its name ignore the reply
}

// ProposalNotice announces the open proposal to members.
type ProposalNotice struct {
	ID       uint64   `cbor:"1,keyasint"`
	Digest   Digest   `cbor:"2,keyasint"`
	Size     int      `cbor:"3,keyasint"`
	Rehearse bool     `cbor:"4,keyasint,omitempty"` // members evaluate it on live requests now
	Sources  []string `cbor:"5,keyasint,omitempty"` // members that have its text
}

// ProposalKind is the kind of a proposal.
type ProposalKind uint8

// The kinds of proposals.
const (
	KindChange ProposalKind = iota + 1
	KindRollback
	KindRehearsal
)

func (k ProposalKind) String() string {
	if k < KindChange || k > KindRehearsal {
		return "nothing"
	}
	return [...]string{"change", "rollback", "rehearsal"}[k-KindChange]
}

// ProposalRequest submits a member's proposal to the leader. The member repeats it until it receives the outcome.
type ProposalRequest struct {
	ID              uint64       `cbor:"1,keyasint"`
	Digest          Digest       `cbor:"2,keyasint"`
	Size            int          `cbor:"3,keyasint"`
	Kind            ProposalKind `cbor:"4,keyasint"`
	BaseNumber      uint64       `cbor:"5,keyasint,omitempty"` // the number that must be in force when the proposal is opened; 0: any
	RollbackTo      uint64       `cbor:"6,keyasint,omitempty"` // of a rollback: the number of the past policy to return to; 0: no policy
	RehearsalLength Time         `cbor:"7,keyasint,omitempty"` // of a rehearsal: its duration
}

// ProposalReply reports the state of a proposal, or names the leader to send it to.
type ProposalReply struct {
	ID      uint64  `cbor:"1,keyasint"`
	Outcome Outcome `cbor:"2,keyasint,omitempty"` // OutcomePending: it is open, or waits to be opened
	Number  uint64  `cbor:"3,keyasint,omitempty"`
	Reason  string  `cbor:"4,keyasint,omitempty"`
	Leader  string  `cbor:"5,keyasint,omitempty"` // the leader, if the sender is another voter; no other field but ID is set
}

// Outcome is the result of a proposal.
type Outcome uint8

// The outcomes of proposals.
const (
	OutcomePending Outcome = iota
	OutcomeDecided
	OutcomeDropped
	OutcomeRejected // the proposal was not opened
	OutcomeRehearsed
)

func (o Outcome) String() string {
	return [...]string{"pending", "decided", "dropped", "refused", "rehearsed"}[min(o, OutcomeRehearsed)]
}

// ChunkRequest requests chunks of a policy's text. Bit i of Bitmap requests the chunk with index First+i.
type ChunkRequest struct {
	Digest Digest `cbor:"1,keyasint"`
	First  int    `cbor:"2,keyasint,omitempty"`
	Bitmap uint32 `cbor:"3,keyasint"`
}

// Chunk is a piece of a policy's text. All chunks have chunkBytes bytes, except for the last one, which may be shorter.
type Chunk struct {
	Digest     Digest `cbor:"1,keyasint"`
	Index      int    `cbor:"2,keyasint,omitempty"`
	PolicySize int    `cbor:"3,keyasint"` // the length of the whole text
	Text       []byte `cbor:"4,keyasint"`
}

// VoterHello announces a process that should vote, but doesn't yet, to the other voters. ReplicaID is the random ID of the process's
// replica of the log.
type VoterHello struct {
	ReplicaID  uint64 `cbor:"1,keyasint"`
	Lease      Time   `cbor:"2,keyasint"` // the lease duration in the sender's table or, without a log, in its settings
	Era        uint64 `cbor:"3,keyasint,omitempty"`
	WithoutLog bool   `cbor:"4,keyasint,omitempty"` // the sender has no log yet
	Reply      bool   `cbor:"5,keyasint,omitempty"` // this hello answers one of the receiver, and needs no reply
}

// deterministic encodes equal values to equal bytes.
var deterministic, _ = cbor.CoreDetEncOptions().EncMode()

func encode(v any) []byte {
	b, err := deterministic.Marshal(v)
	if err != nil {
		panic(err) // can't happen: every value of this package's types can be encoded
	}
	return b
}

func (m *Message) encode() []byte { return encode(m) }

func decode(b []byte) (*Message, error) {
	m := &Message{}
	if err := cbor.Unmarshal(b, m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformedMessage, err)
	}
	payloads := 0
	for _, isSet := range []bool{
		m.LeaseRequest != nil, m.LeaseReply != nil, m.ProposalRequest != nil, m.ProposalReply != nil,
		m.ChunkRequest != nil, m.Chunk != nil, m.VoterHello != nil, m.Log != nil,
	} {
		if isSet {
			payloads++
		}
	}
	if payloads != 1 {
		return nil, fmt.Errorf("%w: expected one payload, found %d", ErrMalformedMessage, payloads)
	}
	return m, nil
}

func unmarshal(b []byte, v any) error { return cbor.Unmarshal(b, v) }
