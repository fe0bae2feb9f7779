package rollout

import (
	"fmt"
	"slices"
)

const (
	// So many policies can be gone back to, and so many proposals' ends are known to who asks again.
	mostPast = 16
	mostEnds = 32
	// A reason, and a name, in bytes.
	mostWhy  = 400
	mostName = 40
)

// Book is what the voters' log has decided: each entry moves it on, at all voters alike.
type Book struct {
	Era    uint64   `cbor:"1,keyasint,omitempty"` // raised by force alone
	Number uint64   `cbor:"2,keyasint,omitempty"` // of the policy in force
	Digest Digest   `cbor:"3,keyasint"`
	Size   int      `cbor:"4,keyasint,omitempty"`
	Last   uint64   `cbor:"5,keyasint,omitempty"` // the proposal that it came by
	Lease  Time     `cbor:"6,keyasint,omitempty"`
	Both   Time     `cbor:"7,keyasint,omitempty"`  // the longest that anyone may go on by what two policies allow
	Open   *Offer   `cbor:"8,keyasint,omitempty"`  // the proposal that is neither decided nor dropped
	Past   []Act    `cbor:"9,keyasint,omitempty"`  // policies, the one in force last
	Ends   []End    `cbor:"10,keyasint,omitempty"` // of proposals, the latest last
	Trial  *Trial   `cbor:"11,keyasint,omitempty"` // the probation that runs
	Voters []Voter  `cbor:"12,keyasint,omitempty"`
	Want   []string `cbor:"13,keyasint,omitempty"` // who is to vote
}

// Act is one policy that was in force.
type Act struct {
	Number uint64 `cbor:"1,keyasint"`
	Digest Digest `cbor:"2,keyasint"`
	Size   int    `cbor:"3,keyasint"`
	Kind   Kind   `cbor:"4,keyasint"`
	By     string `cbor:"5,keyasint"`
	At     int64  `cbor:"6,keyasint"` // seconds, the leader's wall clock
	Of     uint64 `cbor:"7,keyasint,omitempty"`
}

// Offer is a proposal as the log has it.
type Offer struct {
	ID     uint64 `cbor:"1,keyasint"`
	Digest Digest `cbor:"2,keyasint"`
	Size   int    `cbor:"3,keyasint"`
	Kind   Kind   `cbor:"4,keyasint"`
	By     string `cbor:"5,keyasint"`
	Base   uint64 `cbor:"6,keyasint,omitempty"` // the number that it is to follow; 0: any
	Of     uint64 `cbor:"7,keyasint,omitempty"`
	For    Time   `cbor:"8,keyasint,omitempty"`
	Both   Time   `cbor:"9,keyasint,omitempty"`
	Back   bool   `cbor:"10,keyasint,omitempty"` // of itself, after a probation
}

// End is what became of a proposal.
type End struct {
	ID     uint64  `cbor:"1,keyasint"`
	End    Outcome `cbor:"2,keyasint"`
	Number uint64  `cbor:"3,keyasint,omitempty"`
	Why    string  `cbor:"4,keyasint,omitempty"`
}

// Trial is a probation.
type Trial struct {
	Number uint64 `cbor:"1,keyasint"`
	Back   uint64 `cbor:"2,keyasint"` // the number whose policy is gone back to
}

// Voter is one of those that decide.
type Voter struct {
	Name  string `cbor:"1,keyasint"`
	Birth uint64 `cbor:"2,keyasint"`
}

// entry is one of the log: one of its parts.
type entry struct {
	Open   *Offer   `cbor:"1,keyasint,omitempty"`
	Drop   *End     `cbor:"2,keyasint,omitempty"`
	Decide *decide  `cbor:"3,keyasint,omitempty"`
	Kept   uint64   `cbor:"4,keyasint,omitempty"` // the probation of this number has ended well
	Want   []string `cbor:"5,keyasint,omitempty"`
}

type decide struct {
	ID        uint64 `cbor:"1,keyasint"`
	At        int64  `cbor:"2,keyasint"`
	Probation bool   `cbor:"3,keyasint,omitempty"`
}

// apply moves the book on.
func (b *Book) apply(e *entry) {
	switch {
	case e.Open != nil:
		p := *e.Open
		switch {
		case b.knows(p.ID):
		case b.Open != nil:
			b.end(End{p.ID, WasRefused, 0, fmt.Sprintf("proposal %s of %s is open", name(b.Open.ID), b.Open.By)})
		case p.Base != 0 && p.Base != b.Number:
			b.end(End{p.ID, WasRefused, 0, fmt.Sprintf("it is meant to follow number %d, and %d is in force", p.Base, b.Number)})
		case p.Kind != Rehearsal && p.Digest == b.Digest:
			b.end(End{p.ID, WasRefused, b.Number, fmt.Sprintf("number %d in force is the same", b.Number)})
		default:
			b.Open, b.Both = &p, max(b.Both, p.Both)
		}
	case e.Drop != nil:
		if b.Open != nil && b.Open.ID == e.Drop.ID {
			b.Open = nil
			b.end(*e.Drop)
		}
	case e.Decide != nil:
		p := b.Open
		if p == nil || p.ID != e.Decide.ID {
			return
		}
		was := b.Number
		b.Number++
		b.Digest, b.Size, b.Last, b.Open = p.Digest, p.Size, p.ID, nil
		b.Both = p.Both // whoever still goes on by two goes by this one and the one before it
		b.Past = append(b.Past, Act{b.Number, p.Digest, p.Size, p.Kind, p.By, e.Decide.At, p.Of})
		b.Past = b.Past[max(0, len(b.Past)-mostPast):]
		b.Trial = nil
		if e.Decide.Probation && !p.Back {
			b.Trial = &Trial{b.Number, was}
		}
		b.end(End{p.ID, WasDecided, b.Number, ""})
	case e.Kept != 0:
		if b.Trial != nil && b.Trial.Number == e.Kept {
			b.Trial = nil
		}
	case len(e.Want) > 0:
		b.Want = e.Want
	}
}

// knows tells whether a proposal is open or has ended.
func (b *Book) knows(id uint64) bool {
	return b.Open != nil && b.Open.ID == id || slices.ContainsFunc(b.Ends, func(e End) bool { return e.ID == id })
}

func (b *Book) end(e End) {
	e.Why = clip(e.Why, mostWhy)
	b.Ends = append(b.Ends, e)
	b.Ends = b.Ends[max(0, len(b.Ends)-mostEnds):]
}

// told is what is known of a proposal; nil: nothing.
func (b *Book) told(id uint64) *told {
	if b.Open != nil && b.Open.ID == id {
		return &told{ID: id}
	}
	for _, e := range b.Ends {
		if e.ID == id {
			return &told{ID: id, End: e.End, Number: e.Number, Why: e.Why}
		}
	}
	return nil
}

// act is a policy that was in force, by its number.
func (b *Book) act(number uint64) *Act {
	for i := range b.Past {
		if b.Past[i].Number == number {
			return &b.Past[i]
		}
	}
	return nil
}

func (b *Book) mark() mark { return mark{b.Era, b.Number} }

// voter is one by its name.
func (b *Book) voter(name string) *Voter {
	for i := range b.Voters {
		if b.Voters[i].Name == name {
			return &b.Voters[i]
		}
	}
	return nil
}

// clone is a book of its own.
func (b *Book) clone() *Book {
	n := *b
	n.Past, n.Ends, n.Voters, n.Want = slices.Clone(b.Past), slices.Clone(b.Ends), slices.Clone(b.Voters), slices.Clone(b.Want)
	return &n
}
