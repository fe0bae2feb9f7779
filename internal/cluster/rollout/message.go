package rollout

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// message is what members say to each other: one of its parts, in CBOR. A field that a build doesn't know is passed over.
type message struct {
	from    string
	Start   uint64   `cbor:"1,keyasint"` // of the sender
	Ask     *ask     `cbor:"2,keyasint,omitempty"`
	Answer  *answer  `cbor:"3,keyasint,omitempty"`
	Propose *propose `cbor:"4,keyasint,omitempty"`
	Told    *told    `cbor:"5,keyasint,omitempty"`
	Fetch   *fetch   `cbor:"6,keyasint,omitempty"`
	Piece   *piece   `cbor:"7,keyasint,omitempty"`
	Born    *born    `cbor:"8,keyasint,omitempty"`
	Log     []byte   `cbor:"9,keyasint,omitempty"` // of the voters' log
}

// mark is a place in the history of policies; a later era counts before any number.
type mark struct {
	Era    uint64 `cbor:"1,keyasint,omitempty"`
	Number uint64 `cbor:"2,keyasint,omitempty"`
}

func (m mark) before(o mark) bool { return m.Era < o.Era || m.Era == o.Era && m.Number < o.Number }

// ask is a member's, for a lease.
type ask struct {
	Seq      uint32 `cbor:"1,keyasint"`
	Floor    mark   `cbor:"2,keyasint"`           // the highest that it has gone by
	Holds    bool   `cbor:"3,keyasint,omitempty"` // a lease on that runs, by its own clock
	Has      Digest `cbor:"4,keyasint"`           // whose text it has, and can follow
	Ready    uint64 `cbor:"5,keyasint,omitempty"` // for this proposal
	Refuses  uint64 `cbor:"6,keyasint,omitempty"` // this one,
	Why      string `cbor:"7,keyasint,omitempty"` // for a reason
	Released uint64 `cbor:"8,keyasint,omitempty"` // holds nothing any more, for this one's sake
	Count    Count  `cbor:"9,keyasint,omitempty"`
	Leaves   bool   `cbor:"10,keyasint,omitempty"`
	Least    uint32 `cbor:"13,keyasint,omitempty"` // answers to asks before this one don't count
	Got      uint32 `cbor:"12,keyasint,omitempty"` // its latest ask that was answered
	Both     uint64 `cbor:"11,keyasint,omitempty"` // may go by what this one allows as well, if it hears nothing
}

// answer is a voter's.
type answer struct {
	Seq     uint32   `cbor:"1,keyasint,omitempty"` // of the ask; 0: unasked
	Leader  string   `cbor:"2,keyasint,omitempty"` // whom to ask; what follows is the leader's own
	At      mark     `cbor:"3,keyasint,omitempty"` // what was decided
	Digest  Digest   `cbor:"4,keyasint"`
	Size    int      `cbor:"5,keyasint,omitempty"`
	Lease   Time     `cbor:"6,keyasint,omitempty"` // from when the ask went out; 0: none
	Open    *open    `cbor:"7,keyasint,omitempty"` // the proposal there is
	Both    Time     `cbor:"8,keyasint,omitempty"` // for which what it and the one in force both allow may be gone by without a lease
	Yield   uint64   `cbor:"9,keyasint,omitempty"` // give up what is held, for this proposal
	Voters  []string `cbor:"10,keyasint,omitempty"`
	State   string   `cbor:"11,keyasint,omitempty"` // of the change, for people
	Want    []string `cbor:"14,keyasint,omitempty"` // who is to vote, where that is others
	Confirm bool     `cbor:"12,keyasint,omitempty"` // a majority bore it out after the ask
	For     uint64   `cbor:"13,keyasint,omitempty"` // the start of the process that asked: another under its name takes nothing of it
}

// open is a proposal that is neither decided nor dropped.
type open struct {
	ID      uint64   `cbor:"1,keyasint"`
	Digest  Digest   `cbor:"2,keyasint"`
	Size    int      `cbor:"3,keyasint"`
	Trial   bool     `cbor:"4,keyasint,omitempty"` // it is tried on live tasks now
	Sources []string `cbor:"5,keyasint,omitempty"` // who has its text
}

// Kind is what a proposal is.
type Kind uint8

// The kinds of proposals.
const (
	Change Kind = iota + 1
	Rollback
	Rehearsal
)

func (k Kind) String() string {
	if k < Change || k > Rehearsal {
		return "nothing"
	}
	return [...]string{"change", "rollback", "rehearsal"}[k-Change]
}

// propose is a member's, to the leader; it is repeated until told.
type propose struct {
	ID     uint64 `cbor:"1,keyasint"`
	Digest Digest `cbor:"2,keyasint"`
	Size   int    `cbor:"3,keyasint"`
	Kind   Kind   `cbor:"4,keyasint"`
	Base   uint64 `cbor:"5,keyasint,omitempty"` // the number that it is to follow; 0: any
	Of     uint64 `cbor:"6,keyasint,omitempty"` // of a rollback: the number whose policy it is
	For    Time   `cbor:"7,keyasint,omitempty"` // of a rehearsal: how long
}

// told is what became of a proposal.
type told struct {
	ID     uint64  `cbor:"1,keyasint"`
	End    Outcome `cbor:"2,keyasint,omitempty"` // Pending: it is open, or on its way
	Number uint64  `cbor:"3,keyasint,omitempty"`
	Why    string  `cbor:"4,keyasint,omitempty"`
	Leader string  `cbor:"5,keyasint,omitempty"` // whom to ask
}

// Outcome is how a proposal ended.
type Outcome uint8

// The outcomes.
const (
	Pending Outcome = iota
	WasDecided
	WasDropped
	WasRefused // it was never open
	WasRehearsed
)

func (o Outcome) String() string {
	return [...]string{"pending", "decided", "dropped", "refused", "rehearsed"}[min(o, WasRehearsed)]
}

// fetch asks for pieces of a text: of those from First on the ones whose bit is set.
type fetch struct {
	Digest Digest `cbor:"1,keyasint"`
	First  int    `cbor:"2,keyasint,omitempty"`
	Bits   uint32 `cbor:"3,keyasint"`
}

type piece struct {
	Digest Digest `cbor:"1,keyasint"`
	N      int    `cbor:"2,keyasint,omitempty"`
	Size   int    `cbor:"3,keyasint"` // of the whole text
	Text   []byte `cbor:"4,keyasint"`
}

// born is a voter's, to the others: as whom it votes.
type born struct {
	Birth uint64 `cbor:"1,keyasint"`
	Lease Time   `cbor:"2,keyasint"`
	Era   uint64 `cbor:"3,keyasint,omitempty"`
	First bool   `cbor:"4,keyasint,omitempty"` // there is no log yet
	Reply bool   `cbor:"5,keyasint,omitempty"`
}

var coding, _ = cbor.CoreDetEncOptions().EncMode()

func encode(v any) []byte {
	b, err := coding.Marshal(v)
	if err != nil {
		panic(err) // of what is in memory there is nothing that can't be written
	}
	return b
}

func (m *message) encode() []byte { return encode(m) }

func decode(b []byte) (*message, error) {
	m := &message{}
	if err := cbor.Unmarshal(b, m); err != nil {
		return nil, fmt.Errorf("charter: no message of this version: %w", err)
	}
	parts := 0
	for _, there := range []bool{m.Ask != nil, m.Answer != nil, m.Propose != nil, m.Told != nil, m.Fetch != nil, m.Piece != nil, m.Born != nil, m.Log != nil} {
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
