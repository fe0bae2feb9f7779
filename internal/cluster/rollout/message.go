package rollout

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// message is what members say to each other: one of its parts, in CBOR. A field that a build doesn't know is passed over.
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

// mark is a place in the history of policies; a later era counts before any number.
type Version struct {
	Era    uint64 `cbor:"1,keyasint,omitempty"`
	Number uint64 `cbor:"2,keyasint,omitempty"`
}

func (m Version) Before(o Version) bool {
	return m.Era < o.Era || m.Era == o.Era && m.Number < o.Number
}

// ask is a member's, for a lease.
type LeaseRequest struct {
	Seq         uint32        `cbor:"1,keyasint"`
	Floor       Version       `cbor:"2,keyasint"`           // the highest that it has gone by
	Holds       bool          `cbor:"3,keyasint,omitempty"` // a lease on that runs, by its own clock
	Has         Digest        `cbor:"4,keyasint"`           // whose text it has, and can follow
	ReadyFor    uint64        `cbor:"5,keyasint,omitempty"` // for this proposal
	Unsupported uint64        `cbor:"6,keyasint,omitempty"` // this one,
	Reason      string        `cbor:"7,keyasint,omitempty"` // for a reason
	ReleasedFor uint64        `cbor:"8,keyasint,omitempty"` // holds nothing any more, for this one's sake
	Counts      RequestCounts `cbor:"9,keyasint,omitempty"`
	Leaving     bool          `cbor:"10,keyasint,omitempty"`
	MinValidSeq uint32        `cbor:"13,keyasint,omitempty"` // answers to asks before this one don't count
	AnsweredSeq uint32        `cbor:"12,keyasint,omitempty"` // its latest ask that was answered
	OverlapWith uint64        `cbor:"11,keyasint,omitempty"` // may go by what this one allows as well, if it hears nothing
}

// answer is a voter's.
type LeaseReply struct {
	Seq            uint32          `cbor:"1,keyasint,omitempty"` // of the ask; 0: unasked
	Leader         string          `cbor:"2,keyasint,omitempty"` // whom to ask; what follows is the leader's own
	Decided        Version         `cbor:"3,keyasint,omitempty"` // what was decided
	Digest         Digest          `cbor:"4,keyasint"`
	Size           int             `cbor:"5,keyasint,omitempty"`
	Lease          Time            `cbor:"6,keyasint,omitempty"` // from when the ask went out; 0: none
	Proposal       *ProposalNotice `cbor:"7,keyasint,omitempty"` // the proposal there is
	Overlap        Time            `cbor:"8,keyasint,omitempty"` // for which what it and the one in force both allow may be gone by without a lease
	YieldFor       uint64          `cbor:"9,keyasint,omitempty"` // give up what is held, for this proposal
	Voters         []string        `cbor:"10,keyasint,omitempty"`
	Progress       string          `cbor:"11,keyasint,omitempty"` // of the change, for people
	WantedVoters   []string        `cbor:"14,keyasint,omitempty"` // who is to vote, where that is others
	Confirmed      bool            `cbor:"12,keyasint,omitempty"` // a majority bore it out after the ask
	ForIncarnation uint64          `cbor:"13,keyasint,omitempty"` // the start of the process that asked: another under its name takes nothing of it
}

// open is a proposal that is neither decided nor dropped.
type ProposalNotice struct {
	ID       uint64   `cbor:"1,keyasint"`
	Digest   Digest   `cbor:"2,keyasint"`
	Size     int      `cbor:"3,keyasint"`
	Rehearse bool     `cbor:"4,keyasint,omitempty"` // it is tried on live tasks now
	Sources  []string `cbor:"5,keyasint,omitempty"` // who has its text
}

// Kind is what a proposal is.
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

// propose is a member's, to the leader; it is repeated until told.
type ProposalRequest struct {
	ID              uint64       `cbor:"1,keyasint"`
	Digest          Digest       `cbor:"2,keyasint"`
	Size            int          `cbor:"3,keyasint"`
	Kind            ProposalKind `cbor:"4,keyasint"`
	BaseNumber      uint64       `cbor:"5,keyasint,omitempty"` // the number that it is to follow; 0: any
	RollbackTo      uint64       `cbor:"6,keyasint,omitempty"` // of a rollback: the number whose policy it is
	RehearsalLength Time         `cbor:"7,keyasint,omitempty"` // of a rehearsal: how long
}

// told is what became of a proposal.
type ProposalReply struct {
	ID      uint64  `cbor:"1,keyasint"`
	Outcome Outcome `cbor:"2,keyasint,omitempty"` // Pending: it is open, or on its way
	Number  uint64  `cbor:"3,keyasint,omitempty"`
	Reason  string  `cbor:"4,keyasint,omitempty"`
	Leader  string  `cbor:"5,keyasint,omitempty"` // whom to ask
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

// fetch asks for pieces of a text: of those from First on the ones whose bit is set.
type ChunkRequest struct {
	Digest Digest `cbor:"1,keyasint"`
	First  int    `cbor:"2,keyasint,omitempty"`
	Bitmap uint32 `cbor:"3,keyasint"`
}

type Chunk struct {
	Digest     Digest `cbor:"1,keyasint"`
	Index      int    `cbor:"2,keyasint,omitempty"`
	PolicySize int    `cbor:"3,keyasint"` // of the whole text
	Text       []byte `cbor:"4,keyasint"`
}

// born is a voter's, to the others: as whom it votes.
type VoterHello struct {
	ReplicaID  uint64 `cbor:"1,keyasint"`
	Lease      Time   `cbor:"2,keyasint"`
	Era        uint64 `cbor:"3,keyasint,omitempty"`
	WithoutLog bool   `cbor:"4,keyasint,omitempty"` // there is no log yet
	Reply      bool   `cbor:"5,keyasint,omitempty"`
}

var coding, _ = cbor.CoreDetEncOptions().EncMode()

func encode(v any) []byte {
	b, err := coding.Marshal(v)
	if err != nil {
		panic(err) // of what is in memory there is nothing that can't be written
	}
	return b
}

func (m *Message) encode() []byte { return encode(m) }

func decode(b []byte) (*Message, error) {
	m := &Message{}
	if err := cbor.Unmarshal(b, m); err != nil {
		return nil, fmt.Errorf("charter: no message of this version: %w", err)
	}
	parts := 0
	for _, there := range []bool{m.LeaseRequest != nil, m.LeaseReply != nil, m.ProposalRequest != nil, m.ProposalReply != nil, m.ChunkRequest != nil, m.Chunk != nil, m.VoterHello != nil, m.Log != nil} {
		if there {
			parts++
		}
	}
	if parts != 1 {
		return nil, fmt.Errorf("charter: expected one part, found %d", parts)
	}
	return m, nil
}

func unmarshal(b []byte, v any) error { return cbor.Unmarshal(b, v) }
