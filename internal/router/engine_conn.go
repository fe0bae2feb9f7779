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

// engineConn is a connection to an engine that carries attempts. The pool's mutex guards all its fields except writeMu and
// unexpectedAnswers.
type engineConn struct {
	pool *enginePool
	// attempts holds each attempt until its request has its final answer, to recognize late and repeated answers.
	attempts map[admission.RequestID]*attempt
	inFlight int        // number of attempts whose last answer is outstanding
	unsent   []*attempt // attempts that wait until the connection is established
	socket   net.Conn   // nil until the connection is established
	lastUsed time.Time
	// lastAnswerAt is when the last answer arrived. It is reset when the connection is established, and when an attempt is
	// assigned while none is in flight.
	lastAnswerAt time.Time
	// cancelSentAt is when a cancellation was sent. Any later answer resets it to zero.
	cancelSentAt time.Time
	// answerBegunAt is when the first bytes of an incomplete answer arrived, and answerGrewAt when its latest bytes did.
	// answerBegunAt is zero if there is no incomplete answer.
	answerBegunAt, answerGrewAt time.Time
	// unexpectedAnswers counts the answers in a row that no attempt waits for. Only the reading goroutine uses it.
	unexpectedAnswers int

	writeMu sync.Mutex // held while bytes are written
}

// isUnresponsive reports whether no answer followed a cancellation within the connect timeout, not even the one that confirms
// the cancellation. The engine's machine may be down, which a new connection detects sooner than a timeout does.
func (c *engineConn) isUnresponsive() bool {
	return !c.cancelSentAt.IsZero() && time.Since(c.cancelSentAt) > c.pool.owner.network.ConnectTimeout
}

const (
	// maxAnswerWaits limits the time until an answer is complete, in multiples of the time allowed for its next bytes. It
	// ends connections on which an answer grows without end.
	maxAnswerWaits = 4
	// silentNoticeIntervals is how many notice intervals may pass without an answer while an attempt is in flight. The time
	// between two notices deviates from the interval by up to half of it.
	silentNoticeIntervals = 2
)

// setReadDeadline sets the time until which the connection may receive nothing. The next bytes of an incomplete answer, and
// the first answer after a cancellation, must arrive within the connect timeout. While an attempt is in flight, several notice
// intervals without an answer mean that its answer is lost. An idle connection stays open for at most maxIdle, or is closed at
// once if the engine is retired. The caller holds the pool's mutex.
func (c *engineConn) setReadDeadline() {
	if c.socket == nil {
		return
	}
	connectTimeout, now := c.pool.owner.network.ConnectTimeout, time.Now()
	deadline := now.Add(c.pool.owner.engineIdleTimeout())
	if c.inFlight == 0 {
		deadline = c.lastUsed.Add(c.pool.maxIdle())
	}
	limitDeadline := func(since time.Time, wait time.Duration) {
		if candidate := since.Add(wait); candidate.Before(deadline) {
			deadline = candidate
		}
	}
	if c.inFlight == 0 && c.pool.retired {
		limitDeadline(now, 0)
	}
	if interval := c.pool.owner.noticeInterval(); c.inFlight > 0 && interval > 0 {
		limitDeadline(c.lastAnswerAt, silentNoticeIntervals*interval)
	}
	if !c.cancelSentAt.IsZero() {
		limitDeadline(c.cancelSentAt, connectTimeout)
	}
	if !c.answerBegunAt.IsZero() {
		limitDeadline(c.answerGrewAt, connectTimeout)
		limitDeadline(c.answerBegunAt, maxAnswerWaits*connectTimeout)
	}
	c.socket.SetReadDeadline(deadline)
}

// noticeInterval returns the interval at which engines send progress notices on a running attempt; 0 if they send none.
func (o *owner) noticeInterval() time.Duration {
	return time.Duration(o.deployment.NoticeInterval) * timeUnit
}

// usualAttemptBytes is the initial size of the buffer for an attempt's command without the statement, which is not copied.
const usualAttemptBytes = 320

// writeAttempt writes an attempt, unless the attempt is withdrawn, its sendBy time has passed, or the rules that allowed it are
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

// revokeAttempt ends an attempt that must no longer be written. Nothing ran, and the outcome says nothing about the engine's
// health.
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

// write writes the buffers that build returns, if any. If they can't be written within the connect timeout, write closes the
// socket, and the reading goroutine ends the connection. notBegun is called if not even the first byte was written, which
// proves that nothing ran.
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

// ignoreFailure is the notBegun callback of writes for which it doesn't matter whether any byte was written.
func ignoreFailure() {}

func (c *engineConn) writeCommand(words ...string) {
	c.write(func() net.Buffers { return net.Buffers{resp.AppendArray(nil, words...)} }, ignoreFailure)
}

// finishAttempt marks an attempt as finished, because its last answer has arrived or is no longer needed, and decrements
// inFlight. The caller holds the pool's mutex.
func (c *engineConn) finishAttempt(attempt *attempt) {
	if attempt.finished {
		return
	}
	attempt.finished = true
	c.inFlight--
	c.lastUsed = time.Now()
}

// serve dials the connection, writes the attempts that waited for it, and reads answers until the connection ends. It runs on
// the connection's own goroutine.
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

// writeUnsent makes the connection available to the pool and writes the attempts that waited for it.
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

// end removes the connection from the pool, ends the attempts that are in flight on it and returns their number.
func (c *engineConn) end(code string, dialError error) (inFlight int) {
	written, unwritten, inFlight := c.takeAttempts()
	c.pool.owner.usage.engineConnections.Add(-1)
	c.endUnwritten(unwritten, dialError)
	c.endWritten(written, code)
	return inFlight
}

// takeAttempts removes the connection from the pool and withdraws its unwritten attempts. It first waits for a write in
// progress, because only then is it known whether any byte of that attempt was written.
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

// leavePool removes the connection from the pool, so that it gets no further attempts. The caller holds the pool's mutex.
func (c *engineConn) leavePool() {
	c.pool.conns = slices.DeleteFunc(c.pool.conns, func(other *engineConn) bool { return other == c })
}

// endUnwritten ends attempts that were not written, so nothing ran. If the connection was established before it broke, the
// owner decides whether to send them again.
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

// closeRaceWindow is the time in which, according to the protocol, a request and the close of its connection may cross.
const closeRaceWindow = 50 * time.Millisecond

// endWritten ends attempts that may have run. At most the first of them counts as a reset, because a single fault broke them
// all. None does if the connection ended because of invalid or missing answers, or because it had been idle for too long.
func (c *engineConn) endWritten(attempts []*attempt, code string) {
	outcome := admission.Reset
	if code == "bad_answer" || code == "cut_short" || code == "mute" {
		outcome = admission.AnswerLost
		if len(attempts) > 0 {
			time.Sleep(closeRaceWindow) // lets the engine detect the close before another engine gets a retry
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

// isLocalShortage reports whether a dial failed because this machine is out of descriptors, memory or ports.
func isLocalShortage(err error) bool {
	for _, want := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, want) {
			return true
		}
	}
	return false
}

// readAnswers reads answers until the connection ends, has been idle for too long, or is silent although an answer is due. It
// returns the reason as a log code.
func (c *engineConn) readAnswers() (code string) {
	reader := bufio.NewReaderSize(c.socket, resp.MaxBulkBytes)
	var parts [][]byte
	// finalDeadline is when a connection whose read deadline has passed is ended. The delay gives a last chance to bytes that
	// arrived while this process was stalled. It is zero until the read deadline has passed.
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

// discard discards bytes that the reader has buffered. It can't fail, because they are already in the buffer.
func discard(reader *bufio.Reader, buffered int) { _, _ = reader.Discard(buffered) }

// noteAnswerBytes records the progress of an incomplete answer, of which the given number of bytes is buffered. The caller
// holds the pool's mutex.
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

// expire removes a connection whose read deadline has passed from the pool, and returns the reason as a log code. It returns an
// empty code, and keeps the connection, if the connection was used in the meantime.
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
