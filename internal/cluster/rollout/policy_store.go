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
	chunkBytes = 900
	// So many pieces are asked for at a time: they fit a socket's buffer beside others'.
	maxChunksPerRequest = 32
	// An ask for pieces is repeated after this long: answers take milliseconds.
	chunkRetryAfter = 6 * second / 100
	// What nobody needs any more is let go after a while.
	unusedTextLifetime = 20 * second
	// A record of a text, so that it fits the store.
	recordBytes = 60 << 10
)

// shelf has the texts of policies.
type policyStore struct {
	texts      []*policyText
	storedKeys [][16]byte // keys of parts in the folder
}

type textState uint8

const (
	textMissing  textState = iota
	textChecking           // it is there, and is being looked at, or kept
	textUsable
	textUnusable
)

type policyText struct {
	digest      Digest
	size        int
	body        []byte
	received    []bool
	missing     int // pieces that are missing
	sources     []string
	sourceIndex int
	requestedAt Time
	outstanding int // pieces that are asked for and haven't come
	state       textState
	terms       Terms
	reason      string
	usedAt      Time
}

// nothing is the policy that there is before any.
var emptyPolicy = &policyText{state: textUsable}

func (s *policyStore) find(d Digest) *policyText {
	if (d == Digest{}) {
		return emptyPolicy
	}
	if i := slices.IndexFunc(s.texts, func(t *policyText) bool { return t.digest == d }); i >= 0 {
		return s.texts[i]
	}
	return nil
}

// good tells whether a policy is there and can be followed; that of none can.
func (s *policyStore) isUsable(d Digest) bool {
	t := s.find(d)
	return t != nil && t.state == textUsable
}

// put has a whole text.
func (s *policyStore) add(c *Core, d Digest, body []byte, kept bool) *policyText {
	t := s.find(d)
	if t == nil {
		t = &policyText{digest: d, size: len(body)}
		s.texts = append(s.texts, t)
	}
	if t.state == textMissing {
		t.body, t.size, t.missing, t.usedAt = body, len(body), 0, c.now
		s.check(c, t, kept)
	}
	return t
}

// look has a text looked at, and kept if it can be followed.
func (s *policyStore) check(c *Core, t *policyText, kept bool) {
	t.state = textChecking
	c.host.CheckPolicy(t.digest, t.body, func(terms Terms, err error) {
		done := func() {
			c.follower.policyChecked(c, t)
			if c.voter != nil {
				c.voter.policyChecked(c)
			}
			c.publishInForce()
		}
		if err != nil {
			t.state, t.reason = textUnusable, truncate(err.Error(), 200)
			done()
			return
		}
		t.terms = terms
		if kept || !c.config.Persistent {
			t.state = textUsable
			done()
			return
		}
		list := policyRecords(t.digest, t.body)
		for _, r := range list {
			if !slices.Contains(s.storedKeys, r.Key) {
				s.storedKeys = append(s.storedKeys, r.Key)
			}
		}
		c.saveRecords(list, func(err error) {
			if t.state = textUsable; err != nil {
				t.state, t.reason = textUnusable, truncate("no room to keep it: "+err.Error(), 200)
			}
			done()
		})
	})
}

// want has a text come from those that have it.
func (s *policyStore) fetch(c *Core, d Digest, size int, sources []string) {
	if (d == Digest{}) || size <= 0 || size > MaxPolicyBytes {
		return
	}
	t := s.find(d)
	if t == nil {
		n := (size + chunkBytes - 1) / chunkBytes
		t = &policyText{digest: d, size: size, body: make([]byte, size), received: make([]bool, n), missing: n, sourceIndex: c.random.IntN(8)}
		s.texts = append(s.texts, t)
	}
	t.usedAt = c.now
	for _, from := range sources {
		if from != "" && from != c.name && !slices.Contains(t.sources, from) && len(t.sources) < 8 {
			t.sources = append(t.sources, from)
		}
	}
	if t.state == textMissing && t.requestedAt == 0 {
		s.requestChunks(c, t)
	}
}

func (s *policyStore) requestChunks(c *Core, t *policyText) {
	if len(t.sources) == 0 {
		return
	}
	first := slices.Index(t.received, false)
	f := &ChunkRequest{Digest: t.digest, First: first}
	for i := range maxChunksPerRequest {
		if first+i < len(t.received) && !t.received[first+i] {
			f.Bitmap |= 1 << i
			t.outstanding++
		}
	}
	t.requestedAt = c.now
	c.send(t.sources[t.sourceIndex%len(t.sources)], Message{ChunkRequest: f})
}

func (s *policyStore) tick(c *Core) {
	for _, t := range s.texts {
		if c.needsPolicy(t.digest) {
			t.usedAt = c.now
		}
		if t.state == textMissing && c.now-t.requestedAt >= chunkRetryAfter {
			t.sourceIndex++
			t.outstanding = 0
			s.requestChunks(c, t)
		}
	}
	s.texts = slices.DeleteFunc(s.texts, func(t *policyText) bool { return c.now-t.usedAt >= unusedTextLifetime })
}

// needs tells whether a text is one to have at hand.
func (c *Core) needsPolicy(d Digest) bool {
	return slices.Contains(c.follower.neededPolicies(), d) || c.voter != nil && c.voter.needsPolicy(d) ||
		slices.ContainsFunc(c.proposals, func(a *localProposal) bool { return !a.ended && a.ProposalRequest.Digest == d })
}

// fetched serves pieces of a text.
func (s *policyStore) handleChunkRequest(c *Core, m *Message) {
	f := m.ChunkRequest
	t := s.find(f.Digest)
	if t == nil || t.state == textMissing {
		body := c.host.LoadPolicy(f.Digest)
		if DigestOf(body) != f.Digest || len(body) == 0 {
			return
		}
		t = s.add(c, f.Digest, body, true)
	}
	t.usedAt = c.now
	for i := range maxChunksPerRequest {
		if at := (f.First + i) * chunkBytes; f.Bitmap>>i&1 == 1 && f.First >= 0 && at < len(t.body) {
			c.send(m.from, Message{Chunk: &Chunk{t.digest, f.First + i, len(t.body), t.body[at:min(len(t.body), at+chunkBytes)]}})
		}
	}
}

func (s *policyStore) handleChunk(c *Core, p *Chunk) {
	t := s.find(p.Digest)
	if t == nil || t.state != textMissing || p.PolicySize != t.size || p.Index < 0 || p.Index >= len(t.received) || t.received[p.Index] {
		return
	}
	at := p.Index * chunkBytes
	if len(p.Text) != min(chunkBytes, t.size-at) {
		return
	}
	copy(t.body[at:], p.Text)
	t.received[p.Index] = true
	t.missing--
	t.outstanding--
	switch {
	case t.missing == 0 && DigestOf(t.body) == t.digest:
		t.received = nil
		s.check(c, t, false)
	case t.missing == 0: // one was of another text: all again, from another
		t.received, t.missing = make([]bool, len(t.received)), len(t.received)
		t.sourceIndex++
		s.requestChunks(c, t)
	case t.outstanding <= 0:
		t.outstanding = 0
		s.requestChunks(c, t)
	}
}

// The keys of records: what was gone by, this voter's birth, and texts by the first bytes of their digest and the number of a part.
var (
	floorKey   = recordKey("charter floor")
	replicaKey = recordKey("charter birth")
)

const policyKeyPrefix = "txt\x00"

func recordKey(s string) (k [16]byte) {
	copy(k[:], s)
	return k
}

func policyRecordKey(d Digest, n int) (k [16]byte) {
	copy(k[:], policyKeyPrefix)
	copy(k[4:14], d[:])
	binary.BigEndian.PutUint16(k[14:], uint16(n))
	return k
}

func policyRecords(d Digest, body []byte) (out []consensus.Record) {
	for n := 0; n*recordBytes < len(body); n++ {
		out = append(out, consensus.Record{Key: policyRecordKey(d, n), Value: append([]byte{1}, body[n*recordBytes:min(len(body), (n+1)*recordBytes)]...)})
	}
	return out
}

// Text reads a text from its records; get is nil for a key that has none.
func ReadPolicyText(d Digest, get func(key [16]byte) []byte) (body []byte) {
	for n := range MaxPolicyBytes/recordBytes + 1 {
		b := get(policyRecordKey(d, n))
		if len(b) == 0 || b[0] != 1 {
			break
		}
		body = append(body, b[1:]...)
	}
	if DigestOf(body) != d {
		return nil
	}
	return body
}

// tidy has the folder lose texts but some.
func (s *policyStore) deleteExcept(c *Core, keep []Digest) {
	var drop []consensus.Record
	s.storedKeys = slices.DeleteFunc(s.storedKeys, func(k [16]byte) bool {
		if slices.ContainsFunc(keep, func(d Digest) bool { return string(k[4:14]) == string(d[:10]) }) {
			return false
		}
		drop = append(drop, consensus.Record{Key: k})
		return true
	})
	if len(drop) > 0 {
		c.saveRecords(drop, func(error) {})
	}
}

// Kept is what a folder holds.
type StoredState struct {
	floor      *floorRecord
	replica    *replicaRecord
	log        consensus.StoredLog
	policyKeys map[[16]byte]bool // keys of parts
	err        error
}

// Take takes in a record, in the order in which they were written.
func (k *StoredState) AddRecord(key [16]byte, value []byte, gone bool) {
	var err error
	switch {
	case k.log.AddRecord(key, value, gone):
	case string(key[:len(policyKeyPrefix)]) == policyKeyPrefix:
		if k.policyKeys == nil {
			k.policyKeys = map[[16]byte]bool{}
		}
		if k.policyKeys[key] = true; gone {
			delete(k.policyKeys, key)
		}
	case gone:
	case key == floorKey:
		k.floor = &floorRecord{}
		err = unmarshal(value, k.floor)
	case key == replicaKey:
		k.replica = &replicaRecord{}
		err = unmarshal(value, k.replica)
	default:
		err = fmt.Errorf("no record of a charter has the key %q", key[:])
	}
	if err != nil && k.err == nil {
		k.err = fmt.Errorf("charter: %w", err)
	}
}

// keys are those of texts' parts, in order.
func (k *StoredState) sortedPolicyKeys() (out [][16]byte) {
	for key := range k.policyKeys {
		out = append(out, key)
	}
	slices.SortFunc(out, func(a, b [16]byte) int { return bytes.Compare(a[:], b[:]) })
	return out
}

// Err is what can't be read.
func (k *StoredState) Err() error { return k.err }

// keep has records survive, where there is a folder.
func (c *Core) saveRecords(list []consensus.Record, then func(error)) {
	if !c.config.Persistent || len(list) == 0 {
		then(nil)
		return
	}
	c.host.SaveRecords(list, func(err error) {
		if err != nil {
			c.host.LogEvent(SaveFailed, "error", err.Error())
		}
		then(err)
	})
}

func truncate(s string, most int) string {
	if len(s) <= most {
		return s
	}
	return s[:most-3] + "..."
}

func proposalName(id uint64) string { return fmt.Sprintf("%08x", uint32(id>>32)) }
