package router

import (
	"bufio"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/protocol/resp"
)

// engineConn is a connection for attempts. The pool's mutex guards its fields, but for writeMu and unexpectedAnswers.
type engineConn struct {
	pool *enginePool
	// attempts holds attempts until their requests are over, because late and repeated answers may come for them.
	attempts map[admission.RequestID]*attempt
	inFlight int        // attempts without a last answer
	unsent   []*attempt // that wait for the connection to come up
	socket   net.Conn   // nil until it is up
	lastUsed time.Time
	// lastAnswerAt is when an answer came, or when the first of the attempts in flight was sent.
	lastAnswerAt time.Time
	// cancelSentAt is when a cancellation was sent; zero once any answer has come.
	cancelSentAt time.Time
	// answerBegunAt is when the first bytes of an incomplete answer came, answerGrewAt when its last ones did. The first is
	// zero if there is none.
	answerBegunAt, answerGrewAt time.Time
	// unexpectedAnswers counts answers in a row that nobody waits for; it is the reader's.
	unexpectedAnswers int

	writeMu sync.Mutex // held while bytes are written
}

// isUnresponsive tells whether nothing came after a cancellation, not even the answer that shows that it arrived. The
// machine behind the connection may be gone, which a new connection tells sooner than a timeout.
func (c *engineConn) isUnresponsive() bool {
	return !c.cancelSentAt.IsZero() && time.Since(c.cancelSentAt) > c.pool.owner.network.ConnectTimeout
}

const (
	// maxAnswerWaits bounds the time that a whole answer may take to come, in multiples of the time that its next bytes may
	// take, so that an answer that grows without an end is ended.
	maxAnswerWaits = 4
	// silentNoticeIntervals is how many notice intervals may pass without an answer while an attempt is in flight. Engines
	// send notices at the interval give or take half of it.
	silentNoticeIntervals = 2
)

// setReadDeadline sets the time until which nothing need come on the connection. The next bytes of an incomplete answer,
// and the first after a cancellation, have as long as a connection may take to come up. While an attempt is in flight,
// silence over several notice intervals means that its answer is lost. Otherwise an idle connection stays open until the
// engine would close it, and to a retired engine not at all. The caller holds the pool's mutex.
func (c *engineConn) setReadDeadline() {
	if c.socket == nil {
		return
	}
	connectTimeout, now := c.pool.owner.network.ConnectTimeout, time.Now()
	deadline := now.Add(c.pool.owner.engineIdleTimeout())
	if c.inFlight == 0 {
		deadline = c.lastUsed.Add(c.pool.maxIdle())
	}
	limit := func(since time.Time, wait time.Duration) {
		if by := since.Add(wait); by.Before(deadline) {
			deadline = by
		}
	}
	if c.inFlight == 0 && c.pool.retired {
		limit(now, 0)
	}
	if interval := c.pool.owner.noticeInterval(); c.inFlight > 0 && interval > 0 {
		limit(c.lastAnswerAt, silentNoticeIntervals*interval)
	}
	if !c.cancelSentAt.IsZero() {
		limit(c.cancelSentAt, connectTimeout)
	}
	if !c.answerBegunAt.IsZero() {
		limit(c.answerGrewAt, connectTimeout)
		limit(c.answerBegunAt, maxAnswerWaits*connectTimeout)
	}
	c.socket.SetReadDeadline(deadline)
}

// noticeInterval is how often engines send a notice on an attempt that runs; 0 if they don't.
func (o *owner) noticeInterval() time.Duration {
	return time.Duration(o.deployment.NoticeInterval) * timeUnit
}

// usualAttemptBytes is room for an attempt's command but for long statements, which are copied.
const usualAttemptBytes = 320

// writeAttempt writes an attempt, unless it was withdrawn, its time to be sent is over, or the rules that allowed it are
// no longer in force. In the last two cases it ends the attempt.
func (c *engineConn) writeAttempt(attempt *attempt) {
	owner := c.pool.owner
	c.pool.mu.Lock()
	priority := attempt.priority
	c.pool.mu.Unlock()
	revision := attempt.charge.policyRevision
	allowed, late := false, false
	c.write(func() net.Buffers {
		late = attempt.sendBy > 0 && owner.clock.Now() >= attempt.sendBy
		if late {
			return nil
		}
		if revision != 0 {
			allowed = owner.resourceGroups.BeginWrite(revision, attempt.requestID)
			if !allowed {
				c.revokeAttempt(attempt)
				return nil
			}
		}
		if !attempt.state.CompareAndSwap(attemptUnwritten, attemptWritten) {
			return nil
		}
		return resp.AppendAttempt(make([]byte, 0, usualAttemptBytes), resp.Attempt{
			ID: string(attempt.requestID), Class: attempt.class,
			TimeoutMS: max(1, int64(attempt.timeout/admission.Millisecond)), MemoryMB: attempt.memoryMB, Priority: priority,
			Token: attempt.idempotencyToken, Statement: attempt.statement,
		})
	}, func() { attempt.state.CompareAndSwap(attemptWritten, attemptUnwritten) })
	if allowed {
		owner.resourceGroups.EndWrite(revision, attempt.requestID)
	}
	if late {
		c.revokeAttempt(attempt)
	}
}

// revokeAttempt ends an attempt that must not be written any more. Nothing ran, and it tells nothing of the engine.
func (c *engineConn) revokeAttempt(attempt *attempt) {
	if !attempt.withdraw() {
		return
	}
	c.pool.mu.Lock()
	if c.attempts[attempt.requestID] == attempt {
		c.finishAttempt(attempt)
		delete(c.attempts, attempt.requestID)
	}
	c.pool.mu.Unlock()
	c.pool.owner.postAttemptEnd(attempt, admission.Unsent)
}

// write writes the buffers that build returns, if any. A connection that doesn't take them within the time in which
// connections come up is closed, and its reader ends it. notBegun is called if not even the first byte was taken, because
// the connection was broken before: that proves that nothing ran.
func (c *engineConn) write(build func() net.Buffers, notBegun func()) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	buffers := build()
	if buffers == nil {
		return
	}
	written, err := writeWithDeadline(c.socket, time.Now().Add(c.pool.owner.network.ConnectTimeout), buffers)
	if err == nil {
		return
	}
	c.socket.Close()
	if written == 0 {
		notBegun()
	}
}

// ignoreFailure is for writes of which it doesn't matter whether they were begun.
func ignoreFailure() {}

func (c *engineConn) writeCommand(words ...string) {
	c.write(func() net.Buffers { return net.Buffers{resp.AppendArray(nil, words...)} }, ignoreFailure)
}

// finishAttempt counts an attempt out that has its last answer or needs none. The caller holds the pool's mutex.
func (c *engineConn) finishAttempt(attempt *attempt) {
	if attempt.finished {
		return
	}
	attempt.finished = true
	c.inFlight--
	c.lastUsed = time.Now()
}

// serve dials the connection, writes the attempts that waited for it and reads answers until the connection ends. It is
// the connection's goroutine.
func (c *engineConn) serve() {
	code := "panic"
	var dialError error
	defer func() {
		fault := recover()
		inFlight := c.end(code, dialError)
		c.pool.owner.connectionEnded("engine", string(c.pool.name), code, inFlight, fault)
	}()
	socket, err := c.pool.owner.dial(c.pool.address)
	if err != nil {
		dialError = err
		code = endCode(err)
		return
	}
	defer socket.Close()
	c.writeUnsent(socket)
	code = c.readAnswers()
}

// writeUnsent puts the connection into use and writes the attempts that waited for it.
func (c *engineConn) writeUnsent(socket net.Conn) {
	c.pool.mu.Lock()
	c.socket, c.lastAnswerAt = socket, time.Now()
	unsent := c.unsent
	c.unsent = nil
	c.pool.mu.Unlock()
	for _, attempt := range unsent {
		if attempt.request.responder.hasClientLeft() {
			c.pool.owner.post(clientLeft{attempt.request})
			continue
		}
		c.writeAttempt(attempt)
	}
}

// end takes the connection out of the pool and ends the attempts that were in flight on it. It returns their number.
func (c *engineConn) end(code string, dialError error) (inFlight int) {
	written, unwritten, inFlight := c.takeAttempts()
	c.pool.owner.usage.engineConnections.Add(-1)
	c.endUnwritten(unwritten, dialError)
	c.endWritten(written, code)
	return inFlight
}

// takeAttempts takes the connection out of the pool and withdraws what was not written. It waits for a write in progress,
// because the writer then knows whether it had begun.
func (c *engineConn) takeAttempts() (written, unwritten []*attempt, inFlight int) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	inFlight = c.inFlight
	for _, attempt := range c.attempts {
		switch {
		case attempt.finished:
		case attempt.withdraw():
			unwritten = append(unwritten, attempt)
		default:
			written = append(written, attempt)
		}
	}
	c.attempts, c.inFlight = nil, 0
	c.leavePool()
	return written, unwritten, inFlight
}

// leavePool keeps the pool from assigning attempts to the connection. The caller holds the pool's mutex.
func (c *engineConn) leavePool() {
	c.pool.conns = slices.DeleteFunc(c.pool.conns, func(other *engineConn) bool { return other == c })
}

// endUnwritten ends attempts of which nothing ran.
func (c *engineConn) endUnwritten(attempts []*attempt, dialError error) {
	for _, attempt := range attempts {
		switch {
		case c.socket != nil:
			c.pool.owner.post(attemptNotWritten{attempt})
		case isLocalShortage(dialError):
			c.pool.owner.postAttemptEnd(attempt, admission.Unsent)
		default:
			c.pool.owner.postAttemptEnd(attempt, admission.Unreachable)
		}
	}
}

// closeRaceWindow is how long the protocol lets a request cross a close.
const closeRaceWindow = 50 * time.Millisecond

// endWritten ends attempts that may have run. Only the first of them counts as a reset, because all were lost by one fault,
// and none does if the engine's answers were at fault or the connection had been idle for too long.
func (c *engineConn) endWritten(attempts []*attempt, code string) {
	outcome := admission.Reset
	if code == "bad_answer" || code == "cut_short" || code == "mute" {
		outcome = admission.AnswerLost
		if len(attempts) > 0 {
			time.Sleep(closeRaceWindow) // the engine notices the close before another engine gets a retry
		}
	}
	for _, attempt := range attempts {
		if outcome == admission.Reset && c.pool.noteStaleConnection(attempt) {
			outcome = admission.AnswerLost
		}
		c.pool.owner.postAttemptEnd(attempt, outcome)
		outcome = admission.AnswerLost
	}
}

// isLocalShortage tells whether a dial failed because this machine lacks descriptors, memory or ports.
func isLocalShortage(err error) bool {
	for _, want := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, want) {
			return true
		}
	}
	return false
}

// readAnswers reads answers until the connection ends, was idle for too long, or brings nothing where it should. It
// returns the reason, as the log has it.
func (c *engineConn) readAnswers() (code string) {
	reader := bufio.NewReaderSize(c.socket, resp.MaxBulkBytes)
	var parts [][]byte
	// finalDeadline is when a connection whose deadline has passed is ended, as bytes that came while this process stood
	// still still count. It is zero before the deadline.
	var finalDeadline time.Time
	beforeWait := func() {
		c.pool.mu.Lock()
		defer c.pool.mu.Unlock()
		c.noteAnswerBytes(reader.Buffered())
		c.setReadDeadline()
		if !finalDeadline.IsZero() {
			c.socket.SetReadDeadline(finalDeadline)
		}
	}
	for {
		var size int
		var err error
		parts, size, err = readAnswer(reader, parts, beforeWait)
		switch {
		case err == nil:
			finalDeadline = time.Time{}
			if !c.handleAnswer(parts) {
				return "bad_answer"
			}
			discard(reader, size)
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return endCode(err)
		case hasInput(c.socket):
			if err := readAvailable(c.socket, reader, reader.Buffered()+1); err != nil {
				return endCode(err)
			}
		case !finalDeadline.IsZero():
			if code := c.expire(); code != "" {
				return code
			}
			finalDeadline = time.Time{}
		default:
			finalDeadline = time.Now().Add(finalReadWait)
		}
	}
}

// discard drops bytes that the reader has buffered, which can't fail.
func discard(reader *bufio.Reader, buffered int) { _, _ = reader.Discard(buffered) }

// noteAnswerBytes records how many bytes of the next answer are there. The caller holds the pool's mutex.
func (c *engineConn) noteAnswerBytes(bytes int) {
	switch {
	case bytes == 0:
		c.answerBegunAt = time.Time{}
	case c.answerBegunAt.IsZero():
		c.answerBegunAt = time.Now()
		c.answerGrewAt = c.answerBegunAt
	default:
		c.answerGrewAt = time.Now()
	}
}

// expire takes a connection out of the pool whose deadline has passed, and returns the reason; empty if the connection
// was used meanwhile.
func (c *engineConn) expire() (code string) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	interval := c.pool.owner.noticeInterval()
	silent := c.inFlight > 0 && interval > 0 && time.Since(c.lastAnswerAt) >= silentNoticeIntervals*interval
	switch {
	case !c.answerBegunAt.IsZero():
		code = "cut_short"
	case c.isUnresponsive() || silent:
		code = "mute"
	case c.inFlight == 0 && (c.pool.retired || time.Since(c.lastUsed) >= c.pool.maxIdle()):
		code = "idle"
	default:
		return ""
	}
	c.leavePool()
	return code
}
