package rollout

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// ErrMalformedMessage is wrapped by errors about messages that can't be decoded.
var ErrMalformedMessage = errors.New("policy rollout: malformed message")

// Message is what members send each other in CBOR: one of its parts is set. Fields that a build doesn't know are passed over, and the
// keys of fields never change their meaning.
type Message struct {
	from            string
	Incarnation     uint64           `cbor:"1,keyasint"` // of the sender
	LeaseRequest    *LeaseRequest    `cbor:"2,keyasint,omitempty"`
	LeaseReply      *LeaseReply      `cbor:"3,keyasint,omitempty"`
	ProposalRequest *ProposalRequest `cbor:"4,keyasint,omitempty"`
	ProposalReply   *ProposalReply   `cbor:"5,keyasint,omitempty"`
	ChunkRequest    *ChunkRequest    `cbor:"6,keyasint,omitempty"`
	Chunk           *Chunk           `cbor:"7,keyasint,omitempty"`
	VoterHello      *VoterHello      `cbor:"8,keyasint,omitempty"`
	Log             []byte           `cbor:"9,keyasint,omitempty"` // of the voters' log
}

// Version is a place in the history of policies: their number, and the era, which only a forced log raises.
type Version struct {
	Era    uint64 `cbor:"1,keyasint,omitempty"`
	Number uint64 `cbor:"2,keyasint,omitempty"`
}

// Before tells whether v comes earlier: an earlier era, or a lower number of the same one.
func (v Version) Before(other Version) bool {
	return v.Era < other.Era || v.Era == other.Era && v.Number < other.Number
}

// LeaseRequest is a member's request for a lease, to a voter.
type LeaseRequest struct {
	Seq         uint32        `cbor:"1,keyasint"`
	Floor       Version       `cbor:"2,keyasint"`           // the latest version that it has gone by
	Holds       bool          `cbor:"3,keyasint,omitempty"` // its lease on that version runs by its own clock
	Has         Digest        `cbor:"4,keyasint"`           // the policy that it can hold a lease on
	ReadyFor    uint64        `cbor:"5,keyasint,omitempty"` // the proposal that it can follow
	Unsupported uint64        `cbor:"6,keyasint,omitempty"` // the proposal that it can't follow,
	Reason      string        `cbor:"7,keyasint,omitempty"` // and why
	ReleasedFor uint64        `cbor:"8,keyasint,omitempty"` // the proposal for which it has given up its lease
	Counts      RequestCounts `cbor:"9,keyasint,omitempty"`
	Leaving     bool          `cbor:"10,keyasint,omitempty"`
	MinValidSeq uint32        `cbor:"13,keyasint,omitempty"` // replies to earlier requests don't count
	AnsweredSeq uint32        `cbor:"12,keyasint,omitempty"` // its latest request that was answered
	OverlapWith uint64        `cbor:"11,keyasint,omitempty"` // the proposal of its overlap
}

// LeaseReply is a voter's reply, or what a leader says unasked.
type LeaseReply struct {
	Seq            uint32          `cbor:"1,keyasint,omitempty"` // of the request; 0: unasked
	Leader         string          `cbor:"2,keyasint,omitempty"` // if it isn't the sender, no field below is set
	Decided        Version         `cbor:"3,keyasint,omitempty"` // the version in force
	Digest         Digest          `cbor:"4,keyasint"`
	Size           int             `cbor:"5,keyasint,omitempty"`
	Lease          Time            `cbor:"6,keyasint,omitempty"` // its length, from when the request was sent; 0: none
	Proposal       *ProposalNotice `cbor:"7,keyasint,omitempty"` // the open one
	Overlap        Time            `cbor:"8,keyasint,omitempty"` // for how long, from then, a member without a lease may go by what both policies allow
	YieldFor       uint64          `cbor:"9,keyasint,omitempty"` // the proposal for which to give up the lease
	Voters         []string        `cbor:"10,keyasint,omitempty"`
	Progress       string          `cbor:"11,keyasint,omitempty"` // of the change, for operators
	WantedVoters   []string        `cbor:"14,keyasint,omitempty"` // who is to vote, where these are others
	Confirmed      bool            `cbor:"12,keyasint,omitempty"` // a majority confirmed the sender as leader after the request
	ForIncarnation uint64          `cbor:"13,keyasint,omitempty"` // of the process that asked: another one of its name ignores the reply
}

// ProposalNotice is an open proposal, as the leader announces it.
type ProposalNotice struct {
	ID       uint64   `cbor:"1,keyasint"`
	Digest   Digest   `cbor:"2,keyasint"`
	Size     int      `cbor:"3,keyasint"`
	Rehearse bool     `cbor:"4,keyasint,omitempty"` // it is tried on live requests now
	Sources  []string `cbor:"5,keyasint,omitempty"` // who has its text
}

// ProposalKind is what a proposal asks for.
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

// ProposalRequest is a member's proposal to the leader. It is repeated until its outcome comes.
type ProposalRequest struct {
	ID              uint64       `cbor:"1,keyasint"`
	Digest          Digest       `cbor:"2,keyasint"`
	Size            int          `cbor:"3,keyasint"`
	Kind            ProposalKind `cbor:"4,keyasint"`
	BaseNumber      uint64       `cbor:"5,keyasint,omitempty"` // the number that it is to follow; 0: any
	RollbackTo      uint64       `cbor:"6,keyasint,omitempty"` // of a rollback: the number whose policy it is
	RehearsalLength Time         `cbor:"7,keyasint,omitempty"` // of a rehearsal: how long
}

// ProposalReply is how far a proposal is, or its outcome.
type ProposalReply struct {
	ID      uint64  `cbor:"1,keyasint"`
	Outcome Outcome `cbor:"2,keyasint,omitempty"` // OutcomePending: it is open, or on its way
	Number  uint64  `cbor:"3,keyasint,omitempty"`
	Reason  string  `cbor:"4,keyasint,omitempty"`
	Leader  string  `cbor:"5,keyasint,omitempty"` // set by a voter that doesn't lead
}

// Outcome is how a proposal ended.
type Outcome uint8

// The outcomes.
const (
	OutcomePending Outcome = iota
	OutcomeDecided
	OutcomeDropped
	OutcomeRejected // it was never open
	OutcomeRehearsed
)

func (o Outcome) String() string {
	return [...]string{"pending", "decided", "dropped", "refused", "rehearsed"}[min(o, OutcomeRehearsed)]
}

// ChunkRequest asks for chunks of a text: of those from First on the ones whose bit is set.
type ChunkRequest struct {
	Digest Digest `cbor:"1,keyasint"`
	First  int    `cbor:"2,keyasint,omitempty"`
	Bitmap uint32 `cbor:"3,keyasint"`
}

// Chunk is a part of a policy's text, of chunkBytes but for the last one.
type Chunk struct {
	Digest     Digest `cbor:"1,keyasint"`
	Index      int    `cbor:"2,keyasint,omitempty"`
	PolicySize int    `cbor:"3,keyasint"` // of the whole text
	Text       []byte `cbor:"4,keyasint"`
}

// VoterHello is what a process that is to vote tells the other voters: its replica ID, which it drew when its folder was new.
type VoterHello struct {
	ReplicaID  uint64 `cbor:"1,keyasint"`
	Lease      Time   `cbor:"2,keyasint"`
	Era        uint64 `cbor:"3,keyasint,omitempty"`
	WithoutLog bool   `cbor:"4,keyasint,omitempty"` // there is no log yet
	Reply      bool   `cbor:"5,keyasint,omitempty"`
}

// deterministic has equal values encoded to equal bytes.
var deterministic, _ = cbor.CoreDetEncOptions().EncMode()

func encode(v any) []byte {
	b, err := deterministic.Marshal(v)
	if err != nil {
		panic(err) // no type here has a value that can't be encoded
	}
	return b
}

func (m *Message) encode() []byte { return encode(m) }

func decode(b []byte) (*Message, error) {
	m := &Message{}
	if err := cbor.Unmarshal(b, m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformedMessage, err)
	}
	parts := 0
	for _, isSet := range []bool{
		m.LeaseRequest != nil, m.LeaseReply != nil, m.ProposalRequest != nil, m.ProposalReply != nil,
		m.ChunkRequest != nil, m.Chunk != nil, m.VoterHello != nil, m.Log != nil,
	} {
		if isSet {
			parts++
		}
	}
	if parts != 1 {
		return nil, fmt.Errorf("%w: expected one part, found %d", ErrMalformedMessage, parts)
	}
	return m, nil
}

func unmarshal(b []byte, v any) error { return cbor.Unmarshal(b, v) }
