package rollout

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"slices"

	"magpiebank/internal/cluster/consensus"
)

const (
	// A piece fits a datagram with what is put round it.
	pieceSize = 900
	// So many pieces are asked for at a time: they fit a socket's buffer beside others'.
	pieces = 32
	// An ask for pieces is repeated after this long: answers take milliseconds.
	pieceSoon = 6 * second / 100
	// What nobody needs any more is let go after a while.
	shelfLife = 20 * second
	// A record of a text, so that it fits the store.
	partSize = 60 << 10
)

// shelf has the texts of policies.
type shelf struct {
	texts []*text
	kept  [][16]byte // keys of parts in the folder
}

type state uint8

const (
	missing state = iota
	looked        // it is there, and is being looked at, or kept
	good
	bad
)

type text struct {
	digest  Digest
	size    int
	body    []byte
	have    []bool
	left    int // pieces that are missing
	sources []string
	turn    int
	askedAt Time
	asked   int // pieces that are asked for and haven't come
	state   state
	terms   Terms
	why     string
	usedAt  Time
}

// nothing is the policy that there is before any.
var nothing = &text{state: good}

func (s *shelf) get(d Digest) *text {
	if (d == Digest{}) {
		return nothing
	}
	if i := slices.IndexFunc(s.texts, func(t *text) bool { return t.digest == d }); i >= 0 {
		return s.texts[i]
	}
	return nil
}

// good tells whether a policy is there and can be followed; that of none can.
func (s *shelf) good(d Digest) bool {
	t := s.get(d)
	return t != nil && t.state == good
}

// put has a whole text.
func (s *shelf) put(c *Core, d Digest, body []byte, kept bool) *text {
	t := s.get(d)
	if t == nil {
		t = &text{digest: d, size: len(body)}
		s.texts = append(s.texts, t)
	}
	if t.state == missing {
		t.body, t.size, t.left, t.usedAt = body, len(body), 0, c.now
		s.look(c, t, kept)
	}
	return t
}

// look has a text looked at, and kept if it can be followed.
func (s *shelf) look(c *Core, t *text, kept bool) {
	t.state = looked
	c.host.Check(t.digest, t.body, func(terms Terms, err error) {
		done := func() {
			c.own.shelved(c, t)
			if c.voter != nil {
				c.voter.shelved(c)
			}
			c.stand()
		}
		if err != nil {
			t.state, t.why = bad, clip(err.Error(), 200)
			done()
			return
		}
		t.terms = terms
		if kept || !c.plan.Folder {
			t.state = good
			done()
			return
		}
		list := records(t.digest, t.body)
		for _, r := range list {
			if !slices.Contains(s.kept, r.Key) {
				s.kept = append(s.kept, r.Key)
			}
		}
		c.keep(list, func(err error) {
			if t.state = good; err != nil {
				t.state, t.why = bad, clip("no room to keep it: "+err.Error(), 200)
			}
			done()
		})
	})
}

// want has a text come from those that have it.
func (s *shelf) want(c *Core, d Digest, size int, sources []string) {
	if (d == Digest{}) || size <= 0 || size > MostText {
		return
	}
	t := s.get(d)
	if t == nil {
		n := (size + pieceSize - 1) / pieceSize
		t = &text{digest: d, size: size, body: make([]byte, size), have: make([]bool, n), left: n, turn: c.chance.IntN(8)}
		s.texts = append(s.texts, t)
	}
	t.usedAt = c.now
	for _, from := range sources {
		if from != "" && from != c.name && !slices.Contains(t.sources, from) && len(t.sources) < 8 {
			t.sources = append(t.sources, from)
		}
	}
	if t.state == missing && t.askedAt == 0 {
		s.ask(c, t)
	}
}

func (s *shelf) ask(c *Core, t *text) {
	if len(t.sources) == 0 {
		return
	}
	first := slices.Index(t.have, false)
	f := &fetch{Digest: t.digest, First: first}
	for i := range pieces {
		if first+i < len(t.have) && !t.have[first+i] {
			f.Bits |= 1 << i
			t.asked++
		}
	}
	t.askedAt = c.now
	c.send(t.sources[t.turn%len(t.sources)], message{Fetch: f})
}

func (s *shelf) due(c *Core) {
	for _, t := range s.texts {
		if c.needs(t.digest) {
			t.usedAt = c.now
		}
		if t.state == missing && c.now-t.askedAt >= pieceSoon {
			t.turn++
			t.asked = 0
			s.ask(c, t)
		}
	}
	s.texts = slices.DeleteFunc(s.texts, func(t *text) bool { return c.now-t.usedAt >= shelfLife })
}

// needs tells whether a text is one to have at hand.
func (c *Core) needs(d Digest) bool {
	return slices.Contains(c.own.needs(), d) || c.voter != nil && c.voter.needs(d) ||
		slices.ContainsFunc(c.trying, func(a *attempt) bool { return !a.over && a.propose.Digest == d })
}

// fetched serves pieces of a text.
func (s *shelf) fetched(c *Core, m *message) {
	f := m.Fetch
	t := s.get(f.Digest)
	if t == nil || t.state == missing {
		body := c.host.Load(f.Digest)
		if Of(body) != f.Digest || len(body) == 0 {
			return
		}
		t = s.put(c, f.Digest, body, true)
	}
	t.usedAt = c.now
	for i := range pieces {
		if at := (f.First + i) * pieceSize; f.Bits>>i&1 == 1 && f.First >= 0 && at < len(t.body) {
			c.send(m.from, message{Piece: &piece{t.digest, f.First + i, len(t.body), t.body[at:min(len(t.body), at+pieceSize)]}})
		}
	}
}

func (s *shelf) piece(c *Core, p *piece) {
	t := s.get(p.Digest)
	if t == nil || t.state != missing || p.Size != t.size || p.N < 0 || p.N >= len(t.have) || t.have[p.N] {
		return
	}
	at := p.N * pieceSize
	if len(p.Text) != min(pieceSize, t.size-at) {
		return
	}
	copy(t.body[at:], p.Text)
	t.have[p.N] = true
	t.left--
	t.asked--
	switch {
	case t.left == 0 && Of(t.body) == t.digest:
		t.have = nil
		s.look(c, t, false)
	case t.left == 0: // one was of another text: all again, from another
		t.have, t.left = make([]bool, len(t.have)), len(t.have)
		t.turn++
		s.ask(c, t)
	case t.asked <= 0:
		t.asked = 0
		s.ask(c, t)
	}
}

// The keys of records: what was gone by, this voter's birth, and texts by the first bytes of their digest and the number of a part.
var (
	floorKey = key("charter floor")
	birthKey = key("charter birth")
)

const textBegin = "txt\x00"

func key(s string) (k [16]byte) {
	copy(k[:], s)
	return k
}

func partKey(d Digest, n int) (k [16]byte) {
	copy(k[:], textBegin)
	copy(k[4:14], d[:])
	binary.BigEndian.PutUint16(k[14:], uint16(n))
	return k
}

func records(d Digest, body []byte) (out []consensus.Record) {
	for n := 0; n*partSize < len(body); n++ {
		out = append(out, consensus.Record{Key: partKey(d, n), Value: append([]byte{1}, body[n*partSize:min(len(body), (n+1)*partSize)]...)})
	}
	return out
}

// Text reads a text from its records; get is nil for a key that has none.
func Text(d Digest, get func(key [16]byte) []byte) (body []byte) {
	for n := range MostText/partSize + 1 {
		b := get(partKey(d, n))
		if len(b) == 0 || b[0] != 1 {
			break
		}
		body = append(body, b[1:]...)
	}
	if Of(body) != d {
		return nil
	}
	return body
}

// tidy has the folder lose texts but some.
func (s *shelf) tidy(c *Core, keep []Digest) {
	var drop []consensus.Record
	s.kept = slices.DeleteFunc(s.kept, func(k [16]byte) bool {
		if slices.ContainsFunc(keep, func(d Digest) bool { return string(k[4:14]) == string(d[:10]) }) {
			return false
		}
		drop = append(drop, consensus.Record{Key: k})
		return true
	})
	if len(drop) > 0 {
		c.keep(drop, func(error) {})
	}
}

// Kept is what a folder holds.
type Kept struct {
	floor *floorRecord
	birth *birthRecord
	log   consensus.Found
	texts map[[16]byte]bool // keys of parts
	err   error
}

// Take takes in a record, in the order in which they were written.
func (k *Kept) Take(key [16]byte, value []byte, gone bool) {
	var err error
	switch {
	case k.log.Take(key, value, gone):
	case string(key[:len(textBegin)]) == textBegin:
		if k.texts == nil {
			k.texts = map[[16]byte]bool{}
		}
		if k.texts[key] = true; gone {
			delete(k.texts, key)
		}
	case gone:
	case key == floorKey:
		k.floor = &floorRecord{}
		err = unmarshal(value, k.floor)
	case key == birthKey:
		k.birth = &birthRecord{}
		err = unmarshal(value, k.birth)
	default:
		err = fmt.Errorf("no record of a charter has the key %q", key[:])
	}
	if err != nil && k.err == nil {
		k.err = fmt.Errorf("charter: %w", err)
	}
}

// keys are those of texts' parts, in order.
func (k *Kept) keys() (out [][16]byte) {
	for key := range k.texts {
		out = append(out, key)
	}
	slices.SortFunc(out, func(a, b [16]byte) int { return bytes.Compare(a[:], b[:]) })
	return out
}

// Err is what can't be read.
func (k *Kept) Err() error { return k.err }

// keep has records survive, where there is a folder.
func (c *Core) keep(list []consensus.Record, then func(error)) {
	if !c.plan.Folder || len(list) == 0 {
		then(nil)
		return
	}
	c.host.Keep(list, func(err error) {
		if err != nil {
			c.host.Say(CantKeep, "error", err.Error())
		}
		then(err)
	})
}

func clip(s string, most int) string {
	if len(s) <= most {
		return s
	}
	return s[:most-3] + "..."
}

func name(id uint64) string { return fmt.Sprintf("%08x", uint32(id>>32)) }
