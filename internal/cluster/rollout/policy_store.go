package rollout

import (
	"slices"

	"magpiebank/internal/cluster/consensus"
)

const (
	// A chunk of chunkBytes fits a datagram together with the headers of the layers below.
	chunkBytes = 900
	// maxChunksPerRequest limits the chunks of one request. They fit a socket's buffer together with other messages, and
	// ChunkRequest.Bitmap has one bit for each.
	maxChunksPerRequest = 32
	// Chunks usually arrive within milliseconds, so missing ones are requested again after chunkRetryAfter.
	chunkRetryAfter = 60 * millisecond
	// unusedTextLifetime is how long a text stays in memory after its last use.
	unusedTextLifetime = 20 * second
	// maxSources limits the members that are stored as sources of a text.
	maxSources = 8
	// maxPolicyErrorBytes limits the length of an error about a policy.
	maxPolicyErrorBytes = 200
)

// policyStore holds the texts of policies in memory, fetches missing ones from other members, and knows which texts are in the folder.
type policyStore struct {
	texts      []*policyText
	storedKeys [][16]byte // the keys of the text records in the folder
}

type textState uint8

const (
	textMissing  textState = iota // chunks of the text are missing
	textChecking                  // the text is complete, and being checked or saved
	textUsable
	textUnusable // this gateway can't follow the policy, or can't save its text
)

// policyText is a policy's text, or the part of it that has been received so far.
type policyText struct {
	digest     Digest
	size       int
	body       []byte
	state      textState
	parameters Parameters
	reason     string // why the text is unusable
	lastUsedAt Time

	// The following fields are used only while chunks are missing.
	received    []bool
	missing     int
	sources     []string
	sourceIndex int
	requestedAt Time
	outstanding int // chunks that were requested and haven't arrived
}

// emptyPolicy stands for no policy, which every gateway can follow.
var emptyPolicy = &policyText{state: textUsable}

// find returns a text, which may be incomplete, or nil if the text is unknown.
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

// isUsable reports whether a policy's text is here and this gateway can follow the policy.
func (s *policyStore) isUsable(digest Digest) bool {
	t := s.find(digest)
	return t != nil && t.state == textUsable
}

// add adds a complete text and has it checked. The folder has the text already if stored is set.
func (s *policyStore) add(c *Core, digest Digest, body []byte, stored bool) *policyText {
	t := s.find(digest)
	if t == nil {
		t = &policyText{digest: digest, size: len(body)}
		s.texts = append(s.texts, t)
	}
	if t.state == textMissing {
		t.body, t.size, t.missing, t.lastUsedAt = body, len(body), 0, c.now
		s.check(c, t, stored)
	}
	return t
}

// check has the host check a text, and saves the text if this gateway can follow the policy and the folder doesn't have the text.
func (s *policyStore) check(c *Core, t *policyText, stored bool) {
	t.state = textChecking
	c.host.CheckPolicy(t.digest, t.body, func(parameters Parameters, err error) {
		if err != nil {
			t.markUnusable(err.Error())
			c.policyChecked(t)
			return
		}
		t.parameters = parameters
		if stored || !c.config.Persistent {
			t.state = textUsable
			c.policyChecked(t)
			return
		}
		s.save(c, t)
	})
}

// save writes the records of a text. The text is usable once they survive a crash.
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
			t.markUnusable("no room to keep it: " + err.Error())
		}
		c.policyChecked(t)
	})
}

func (t *policyText) markUnusable(reason string) {
	t.state, t.reason = textUnusable, truncate(reason, maxPolicyErrorBytes)
}

// policyChecked passes the result of a check to the gateway and the voter of this process.
func (c *Core) policyChecked(t *policyText) {
	c.follower.policyChecked(c, t)
	if c.voter != nil {
		c.voter.policyChecked(c)
	}
	c.publishInForce()
}

// needsPolicy reports whether a policy's text must stay in memory.
func (c *Core) needsPolicy(digest Digest) bool {
	if slices.Contains(c.follower.neededPolicies(), digest) || c.voter != nil && c.voter.needsPolicy(digest) {
		return true
	}
	return slices.ContainsFunc(c.proposals, func(p *localProposal) bool { return !p.ended && p.Digest == digest })
}

// fetch requests a text, unless it is here already, from members that have it.
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
	t.lastUsedAt = c.now
	for _, from := range sources {
		if from != "" && from != c.name && !slices.Contains(t.sources, from) && len(t.sources) < maxSources {
			t.sources = append(t.sources, from)
		}
	}
	if t.state == textMissing && t.requestedAt == 0 {
		t.requestChunks(c)
	}
}

// requestChunks requests the next missing chunks from the current source.
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

// retryChunks requests the missing chunks from the next source.
func (t *policyText) retryChunks(c *Core) {
	t.sourceIndex++
	t.outstanding = 0
	t.requestChunks(c)
}

func (s *policyStore) tick(c *Core) {
	for _, t := range s.texts {
		if c.needsPolicy(t.digest) {
			t.lastUsedAt = c.now
		}
		if t.state == textMissing && c.now-t.requestedAt >= chunkRetryAfter {
			t.retryChunks(c)
		}
	}
	s.texts = slices.DeleteFunc(s.texts, func(t *policyText) bool { return c.now-t.lastUsedAt >= unusedTextLifetime })
}

// handleChunkRequest sends the chunks that a member has requested, if the text is in memory or in the folder.
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
	t.lastUsedAt = c.now
	if request.First < 0 {
		return
	}
	for i := range maxChunksPerRequest {
		index := request.First + i
		offset := index * chunkBytes
		if request.Bitmap>>i&1 == 1 && offset < len(t.body) {
			c.send(m.from, Message{Chunk: &Chunk{t.digest, index, len(t.body), t.body[offset:min(len(t.body), offset+chunkBytes)]}})
		}
	}
}

// handleChunk stores a chunk. If the complete text doesn't match its digest, one of the chunks was wrong, and all are fetched again.
func (s *policyStore) handleChunk(c *Core, chunk *Chunk) {
	t := s.find(chunk.Digest)
	if t == nil || !t.isMissingChunk(chunk) {
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

// isMissingChunk reports whether a chunk is one of the missing ones, by its index and sizes.
func (t *policyText) isMissingChunk(chunk *Chunk) bool {
	if t.state != textMissing || chunk.PolicySize != t.size || chunk.Index < 0 || chunk.Index >= len(t.received) || t.received[chunk.Index] {
		return false
	}
	return len(chunk.Text) == min(chunkBytes, t.size-chunk.Index*chunkBytes)
}

// deleteExcept deletes the texts of all policies except those in keep from the folder.
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
