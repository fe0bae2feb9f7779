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

// engineConn is a connection for attempts.
type engineConn struct {
	pool              *enginePool
	attempts          map[admission.RequestID]*attempt // until their requests are over, as late answers and second copies may come
	inFlight          int                              // of those, without a last answer
	unsent            []*attempt                       // until it is up
	socket            net.Conn
	lastUsed          time.Time
	lastHeard         time.Time // when an answer came, or the first attempt went out on it
	cancelSentAt      time.Time // when an undo went out; zero once anything is heard
	answerBegunAt     time.Time // when the first part of an answer came that isn't whole yet; zero: there is none
	answerGrewAt      time.Time // and when the last part came
	unexpectedAnswers int       // answers in a row that nobody waits for
	writeMu           sync.Mutex
}

// silent tells of a connection on which nothing came after an undo, not even the word that it was heard: the
// machine behind it may be gone without a sign, and a new connection tells that sooner than a time-out.
func (c *engineConn) isUnresponsive() bool {
	return !c.cancelSentAt.IsZero() && time.Since(c.cancelSentAt) > c.pool.owner.network.ConnectTimeout
}

// mostPieces is how many times the wait for one part of an answer the whole of it may take, so that one that grows without an
// end is ended.
const maxAnswerWaits = 4

// arm sets the time until which the connection may bring nothing. An answer that is there in part, or the word that
// an undo was heard, has as long as a connection to come up. An attempt that isn't over brings notes at the engine's
// pace, which scatters by half of it: after twice the pace its answer is lost, and with it the connection. Else it
// rests until the engine would close it; one to a retired engine does not.
func (c *engineConn) setReadDeadline() {
	if c.socket == nil {
		return
	}
	n, now := c.pool.owner.network, time.Now()
	by := now.Add(c.pool.owner.engineIdleTimeout())
	if c.inFlight == 0 {
		by = c.lastUsed.Add(c.pool.maxIdle())
	}
	sooner := func(t time.Time, d time.Duration, ok bool) {
		if ok && t.Add(d).Before(by) {
			by = t.Add(d)
		}
	}
	sooner(now, 0, c.inFlight == 0 && c.pool.retired)
	pace := time.Duration(c.pool.owner.deployment.NoticeInterval) * timeUnit
	sooner(c.lastHeard, 2*pace, c.inFlight > 0 && pace > 0)
	sooner(c.cancelSentAt, n.ConnectTimeout, !c.cancelSentAt.IsZero())
	sooner(c.answerGrewAt, n.ConnectTimeout, !c.answerBegunAt.IsZero())
	sooner(c.answerBegunAt, maxAnswerWaits*n.ConnectTimeout, !c.answerBegunAt.IsZero())
	c.socket.SetReadDeadline(by)
}

func (c *engineConn) writeAttempt(attempt *attempt) {
	c.pool.mu.Lock()
	rank := attempt.priority
	c.pool.mu.Unlock()
	passed, late := false, false
	c.write(func() net.Buffers {
		if late = attempt.sendBy > 0 && c.pool.owner.clock.Now() >= attempt.sendBy; late {
			return nil
		}
		if attempt.policyRevision != 0 && !c.pool.owner.resourceGroups.BeginWrite(attempt.policyRevision, attempt.requestID) {
			c.revokeAttempt(attempt)
			return nil
		}
		if passed = attempt.policyRevision != 0; !attempt.state.CompareAndSwap(attemptUnwritten, attemptWritten) {
			return nil
		}
		return resp.AppendAttempt(make([]byte, 0, 320), resp.Attempt{ID: string(attempt.requestID), Class: attempt.class,
			TimeoutMS: max(1, int64(attempt.timeout/admission.Millisecond)), MemoryMB: attempt.memoryMB, Priority: rank,
			Token: attempt.idempotencyToken, Statement: attempt.statement})
	}, func() { attempt.state.CompareAndSwap(attemptWritten, attemptUnwritten) })
	if passed {
		c.pool.owner.resourceGroups.EndWrite(attempt.policyRevision, attempt.requestID)
	}
	if late {
		c.revokeAttempt(attempt)
	}
}

// revoke ends an attempt that must not be written any more, as its time is over or the rules that had it go out are gone by no
// more: nothing ran, and the engine has no part in it.
func (c *engineConn) revokeAttempt(attempt *attempt) {
	if attempt.withdraw() {
		c.pool.mu.Lock()
		if c.attempts[attempt.requestID] == attempt {
			c.finishAttempt(attempt)
			delete(c.attempts, attempt.requestID)
		}
		c.pool.mu.Unlock()
		c.pool.owner.postAttemptEnd(attempt, admission.Unsent)
	}
}

// write gathers buffers into the connection. One that takes no more within the time in which connections come
// up is given up, and its reader ends it. unbegun is called if the first byte was refused already, as the connection was broken before:
// proof that nothing ran.
func (c *engineConn) write(make func() net.Buffers, unbegun func()) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	buffers := make()
	if buffers == nil {
		return
	}
	n, err := writeBy(c.socket, time.Now().Add(c.pool.owner.network.ConnectTimeout), buffers)
	if err == nil {
		return
	}
	c.socket.Close()
	if n == 0 {
		unbegun()
	}
}

// nothing is for writes of which it doesn't matter whether they were begun.
func ignoreFailure() {}

func (c *engineConn) writeCommand(words ...string) {
	c.write(func() net.Buffers { return net.Buffers{resp.AppendArray(nil, words...)} }, ignoreFailure)
}

// over counts an attempt out that has its last answer or needs none.
func (c *engineConn) finishAttempt(attempt *attempt) {
	if !attempt.finished {
		attempt.finished = true
		c.inFlight--
		c.lastUsed = time.Now()
	}
}

// crossing is how long the protocol lets a request cross a close.
const closeCrossingTime = 50 * time.Millisecond

// serve dials the connection, writes what waited for it and reads answers until it ends.
func (c *engineConn) serve() {
	e := c.pool
	code, err := "panic", error(nil)
	defer func() {
		fault := recover()
		c.writeMu.Lock() // who writes knows by then whether it had begun
		e.mu.Lock()
		left := c.inFlight
		var open, unwritten []*attempt
		for _, attempt := range c.attempts {
			switch {
			case attempt.finished:
			case attempt.withdraw():
				unwritten = append(unwritten, attempt)
			default:
				open = append(open, attempt)
			}
		}
		up := c.socket != nil
		c.attempts, c.inFlight = nil, 0
		e.conns = slices.DeleteFunc(e.conns, func(k *engineConn) bool { return k == c })
		e.mu.Unlock()
		c.writeMu.Unlock()
		e.owner.usage.engineConnections.Add(-1)
		for _, attempt := range unwritten { // proof that nothing ran
			switch {
			case up:
				e.owner.post(attemptNotWritten{attempt})
			case isLocalShortage(err):
				e.owner.postAttemptEnd(attempt, admission.Unsent)
			default:
				e.owner.postAttemptEnd(attempt, admission.Unreachable)
			}
		}
		how := admission.Reset
		if code == "bad_answer" || code == "cut_short" || code == "mute" {
			how = admission.Lost
			if len(open) > 0 {
				time.Sleep(closeCrossingTime) // the engine hears of the close before another one hears of the request
			}
		}
		for _, attempt := range open {
			if how == admission.Reset && e.noteStaleConnection(attempt) {
				how = admission.Lost
			}
			e.owner.postAttemptEnd(attempt, how)
			how = admission.Lost // one event is one doubt
		}
		e.owner.connectionEnded("engine", string(e.name), code, left, fault)
	}()
	tcp, err := e.owner.dial(e.address)
	if err != nil {
		code = endCode(err)
		return
	}
	defer tcp.Close()
	e.mu.Lock()
	c.socket, c.lastHeard = tcp, time.Now()
	waiting := c.unsent
	c.unsent = nil
	e.mu.Unlock()
	for _, attempt := range waiting {
		if attempt.request.responder.clientGone() {
			e.owner.post(clientClosed{attempt.request})
			continue
		}
		c.writeAttempt(attempt)
	}
	code = c.readAnswers()
}

// ours tells of a dial that failed for want of something here.
func isLocalShortage(err error) bool {
	for _, want := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, want) {
			return true
		}
	}
	return false
}

// read takes in answers until the connection ends, has been idle, or brings nothing where it should.
func (c *engineConn) readAnswers() (code string) {
	r := bufio.NewReaderSize(c.socket, resp.MaxBulkBytes)
	var parts [][]byte
	var last time.Time // until when it looks once more: its time is over, but what came while this process stood still counts
	for {
		var n int
		var err error
		parts, n, err = readAnswer(r, parts, func() {
			c.pool.mu.Lock()
			defer c.pool.mu.Unlock()
			c.noteAnswerBytes(r.Buffered())
			if c.setReadDeadline(); !last.IsZero() {
				c.socket.SetReadDeadline(last)
			}
		})
		switch {
		case err == nil:
			last = time.Time{}
			if !c.handleAnswer(parts) {
				return "bad_answer"
			}
			r.Discard(n)
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return endCode(err)
		case hasInput(c.socket): // it came while this process stood still
			if err := readArrived(c.socket, r, r.Buffered()+1); err != nil {
				return endCode(err)
			}
		case !last.IsZero():
			if code := c.expire(); code != "" {
				return code
			}
			last = time.Time{}
		default:
			last = time.Now().Add(finalReadWait)
		}
	}
}

// note takes down how many bytes of the next answer are there.
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

// rest takes a connection whose time is over out of use, and tells why; empty: it was used meanwhile.
func (c *engineConn) expire() (code string) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	pace := time.Duration(c.pool.owner.deployment.NoticeInterval) * timeUnit
	switch {
	case !c.answerBegunAt.IsZero():
		code = "cut_short"
	case c.isUnresponsive() || c.inFlight > 0 && pace > 0 && time.Since(c.lastHeard) >= 2*pace:
		code = "mute"
	case c.inFlight == 0 && (c.pool.retired || time.Since(c.lastUsed) >= c.pool.maxIdle()):
		code = "idle"
	default:
		return ""
	}
	c.pool.conns = slices.DeleteFunc(c.pool.conns, func(k *engineConn) bool { return k == c })
	return code
}
