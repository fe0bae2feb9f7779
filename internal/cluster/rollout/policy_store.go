package rollout

import (
	"slices"

	"magpiebank/internal/cluster/consensus"
)

const (
	// A chunk fits a datagram, with what its carriers add.
	chunkBytes = 900
	// So many chunks are asked for at a time; a socket's buffer holds them beside other messages. Their bits fit ChunkRequest.Bitmap.
	maxChunksPerRequest = 32
	// Chunks take milliseconds to come, so what hasn't come after this long is asked for again.
	chunkRetryAfter = 60 * millisecond
	// A text that nobody needs any more leaves the memory after this long.
	unusedTextLifetime = 20 * second
	// So many members are remembered as sources of a text.
	maxSources = 8
	// An error about a policy is cut to so many bytes.
	maxPolicyErrorBytes = 200
)

// policyStore has the texts of policies in memory, and knows which the folder has.
type policyStore struct {
	texts      []*policyText
	storedKeys [][16]byte // of the folder's records of texts
}

type textState uint8

const (
	textMissing  textState = iota // chunks of it are to come
	textChecking                  // it is complete, and being checked or saved
	textUsable
	textUnusable // this gateway can't follow it, or can't save it
)

// policyText is a policy's text, or what has come of it.
type policyText struct {
	digest Digest
	size   int
	body   []byte
	state  textState
	terms  Parameters
	reason string // why it is unusable
	usedAt Time

	// While chunks are missing:
	received    []bool
	missing     int
	sources     []string
	sourceIndex int
	requestedAt Time
	outstanding int // chunks that were asked for and haven't come
}

// emptyPolicy stands for having no policy, which every gateway can follow.
var emptyPolicy = &policyText{state: textUsable}

// find returns a text, or what has come of it; nil: nothing is known of it.
func (s *policyStore) find(digest Digest) *policyText {
	if (digest == Digest{}) {
		return emptyPolicy
	}
	i := slices.IndexFunc(s.texts, func(t *policyText) bool { return t.digest == digest })
	if i < 0 {
		return nil
	}
	return s.texts[i]
}

// isUsable tells whether a policy is here and can be followed.
func (s *policyStore) isUsable(digest Digest) bool {
	t := s.find(digest)
	return t != nil && t.state == textUsable
}

// add takes in a complete text, which the folder has if stored is set.
func (s *policyStore) add(c *Core, digest Digest, body []byte, stored bool) *policyText {
	t := s.find(digest)
	if t == nil {
		t = &policyText{digest: digest, size: len(body)}
		s.texts = append(s.texts, t)
	}
	if t.state == textMissing {
		t.body, t.size, t.missing, t.usedAt = body, len(body), 0, c.now
		s.check(c, t, stored)
	}
	return t
}

// check has the host check a text, and saves one that can be followed.
func (s *policyStore) check(c *Core, t *policyText, stored bool) {
	t.state = textChecking
	c.host.CheckPolicy(t.digest, t.body, func(terms Parameters, err error) {
		if err != nil {
			t.refuse(err.Error())
			c.policyChecked(t)
			return
		}
		t.terms = terms
		if stored || !c.config.Persistent {
			t.state = textUsable
			c.policyChecked(t)
			return
		}
		s.save(c, t)
	})
}

// save writes a text's records; it is usable once they survive a crash.
func (s *policyStore) save(c *Core, t *policyText) {
	records := policyRecords(t.digest, t.body)
	for _, r := range records {
		if !slices.Contains(s.storedKeys, r.Key) {
			s.storedKeys = append(s.storedKeys, r.Key)
		}
	}
	c.saveRecords(records, func(err error) {
		t.state = textUsable
		if err != nil {
			t.refuse("no room to keep it: " + err.Error())
		}
		c.policyChecked(t)
	})
}

func (t *policyText) refuse(reason string) {
	t.state, t.reason = textUnusable, truncate(reason, maxPolicyErrorBytes)
}

// policyChecked tells the gateway and the voter that a text was checked.
func (c *Core) policyChecked(t *policyText) {
	c.follower.policyChecked(c, t)
	if c.voter != nil {
		c.voter.policyChecked(c)
	}
	c.publishInForce()
}

// needsPolicy tells whether a text is to stay in memory.
func (c *Core) needsPolicy(digest Digest) bool {
	if slices.Contains(c.follower.neededPolicies(), digest) || c.voter != nil && c.voter.needsPolicy(digest) {
		return true
	}
	return slices.ContainsFunc(c.proposals, func(p *localProposal) bool { return !p.ended && p.Digest == digest })
}

// fetch has a text come from members that have it.
func (s *policyStore) fetch(c *Core, digest Digest, size int, sources []string) {
	if (digest == Digest{}) || size <= 0 || size > MaxPolicyBytes {
		return
	}
	t := s.find(digest)
	if t == nil {
		chunks := (size + chunkBytes - 1) / chunkBytes
		t = &policyText{
			digest: digest, size: size, body: make([]byte, size), received: make([]bool, chunks), missing: chunks,
			sourceIndex: c.random.IntN(maxSources),
		}
		s.texts = append(s.texts, t)
	}
	t.usedAt = c.now
	for _, from := range sources {
		if from != "" && from != c.name && !slices.Contains(t.sources, from) && len(t.sources) < maxSources {
			t.sources = append(t.sources, from)
		}
	}
	if t.state == textMissing && t.requestedAt == 0 {
		t.requestChunks(c)
	}
}

// requestChunks asks a source for the next chunks that are missing.
func (t *policyText) requestChunks(c *Core) {
	if len(t.sources) == 0 {
		return
	}
	first := slices.Index(t.received, false)
	request := &ChunkRequest{Digest: t.digest, First: first}
	for i := range maxChunksPerRequest {
		if first+i < len(t.received) && !t.received[first+i] {
			request.Bitmap |= 1 << i
			t.outstanding++
		}
	}
	t.requestedAt = c.now
	c.send(t.sources[t.sourceIndex%len(t.sources)], Message{ChunkRequest: request})
}

// retryChunks asks the next source for what hasn't come.
func (t *policyText) retryChunks(c *Core) {
	t.sourceIndex++
	t.outstanding = 0
	t.requestChunks(c)
}

func (s *policyStore) tick(c *Core) {
	for _, t := range s.texts {
		if c.needsPolicy(t.digest) {
			t.usedAt = c.now
		}
		if t.state == textMissing && c.now-t.requestedAt >= chunkRetryAfter {
			t.retryChunks(c)
		}
	}
	s.texts = slices.DeleteFunc(s.texts, func(t *policyText) bool { return c.now-t.usedAt >= unusedTextLifetime })
}

// handleChunkRequest sends the chunks of a text that a member asks for, if the text is here or in the folder.
func (s *policyStore) handleChunkRequest(c *Core, m *Message) {
	request := m.ChunkRequest
	t := s.find(request.Digest)
	if t == nil || t.state == textMissing {
		body := c.host.LoadPolicy(request.Digest)
		if DigestOf(body) != request.Digest || len(body) == 0 {
			return
		}
		t = s.add(c, request.Digest, body, true)
	}
	t.usedAt = c.now
	if request.First < 0 {
		return
	}
	for i := range maxChunksPerRequest {
		index := request.First + i
		at := index * chunkBytes
		if request.Bitmap>>i&1 == 1 && at < len(t.body) {
			c.send(m.from, Message{Chunk: &Chunk{t.digest, index, len(t.body), t.body[at:min(len(t.body), at+chunkBytes)]}})
		}
	}
}

// handleChunk takes in a chunk. If the complete text has another digest, a chunk was of another text, and all are fetched again.
func (s *policyStore) handleChunk(c *Core, chunk *Chunk) {
	t := s.find(chunk.Digest)
	if t == nil || !t.lacks(chunk) {
		return
	}
	copy(t.body[chunk.Index*chunkBytes:], chunk.Text)
	t.received[chunk.Index] = true
	t.missing--
	t.outstanding--
	switch {
	case t.missing == 0 && DigestOf(t.body) == t.digest:
		t.received = nil
		s.check(c, t, false)
	case t.missing == 0:
		t.received, t.missing = make([]bool, len(t.received)), len(t.received)
		t.sourceIndex++
		t.requestChunks(c)
	case t.outstanding <= 0:
		t.outstanding = 0
		t.requestChunks(c)
	}
}

// lacks tells whether a chunk has the form of one that is missing.
func (t *policyText) lacks(chunk *Chunk) bool {
	if t.state != textMissing || chunk.PolicySize != t.size || chunk.Index < 0 || chunk.Index >= len(t.received) || t.received[chunk.Index] {
		return false
	}
	return len(chunk.Text) == min(chunkBytes, t.size-chunk.Index*chunkBytes)
}

// deleteExcept has the folder lose all texts but some.
func (s *policyStore) deleteExcept(c *Core, keep []Digest) {
	var deletions []consensus.Record
	s.storedKeys = slices.DeleteFunc(s.storedKeys, func(key [16]byte) bool {
		if slices.ContainsFunc(keep, func(d Digest) bool { return isPolicyRecordKey(key, d) }) {
			return false
		}
		deletions = append(deletions, consensus.Record{Key: key})
		return true
	})
	if len(deletions) > 0 {
		c.saveRecords(deletions, func(error) {})
	}
}
