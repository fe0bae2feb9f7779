package router

import (
	"bufio"
	"errors"
	"net"
	"strconv"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/protocol/mysql"
	"magpiebank/internal/protocol/resp"
)

// Commands of engines, the second part of an answer.
const (
	answerNotice    = "news"   // on an attempt that runs
	answerFirstPage = "data"   // the first page of a result, with what it cost
	answerPage      = "page"   // a further page
	answerFull      = "full"   // the engine has no capacity
	answerNotRun    = "moot"   // the engine did not begin
	answerFailed    = "failed" // the attempt failed, or the engine does not know it
)

// By the protocol, the most that a result and a page of it may hold.
const (
	maxResultBytes = 48000
	maxPageBytes   = 6000
	maxPages       = 64 // more than the longest result has, as pages end at rows
)

const (
	// maxUnexpectedAnswers is how many answers in a row may come that nobody waits for: all pages of the results that a
	// connection's requests may have asked for and given up meanwhile.
	maxUnexpectedAnswers = 16 * maxPages
	// progressNoteBurst is how many notices an attempt may bring at once, and progressNotesPerInterval how many in the
	// interval in which one is usual.
	progressNoteBurst        = 64
	progressNotesPerInterval = 8
)

// minAnswerParts is the least that an answer has: a request's id and a command.
const minAnswerParts = 2

// readAnswer reads until an engine's next answer is complete. It returns the answer's parts, which lie in the reader's
// buffer until size bytes are discarded. beforeWait is called each time that it may have to wait.
func readAnswer(reader *bufio.Reader, parts [][]byte, beforeWait func()) (answer [][]byte, size int, err error) {
	for {
		buffered, _ := reader.Peek(reader.Buffered())
		parts, size, err = resp.Parse(buffered, parts[:0])
		if err == nil && size > 0 && len(parts) < minAnswerParts {
			err = resp.ErrMalformedArray
		}
		if err != nil || size > 0 {
			return parts, size, err
		}
		beforeWait()
		_, err = reader.Peek(len(buffered) + 1)
		if errors.Is(err, bufio.ErrBufferFull) {
			err = resp.ErrMalformedArray
		}
		if err != nil {
			return parts, 0, err
		}
	}
}

// handleAnswer handles one answer: a request's id, a command, and fields and a body where it has them. It reports whether
// the answer could be read; otherwise nothing that follows on the connection can be trusted.
func (c *engineConn) handleAnswer(parts [][]byte) bool {
	requestID := admission.RequestID(parts[0])
	command := string(parts[1])
	var fields, body []byte
	if len(parts) > 2 {
		fields = parts[2]
	}
	if len(parts) > 3 {
		body = parts[3]
	}
	attempt, cancelled := c.recordAnswer(requestID)
	if attempt == nil { // it came late, twice or for nobody
		return c.tolerateUnexpected()
	}
	if cancelled { // only that the engine doesn't know it any more counts
		if command == answerFailed {
			c.endAttempt(attempt, admission.Errored)
			return true
		}
		return c.tolerateUnexpected()
	}
	if command != answerNotice && command != answerPage && c.pool.owner.network.ReportsInAnswers {
		attempt.loadReport = resp.ParseLoadReport(fields)
	}
	switch command {
	case answerNotice:
		return c.handleNotice(attempt, fields)
	case answerFirstPage:
		return c.handleFirstPage(attempt, fields, body)
	case answerPage:
		return c.handlePage(attempt, fields, body)
	case answerFull:
		c.endAttempt(attempt, admission.EngineFull)
	case answerNotRun:
		c.endAttempt(attempt, admission.Unsent)
	case answerFailed:
		c.endAttempt(attempt, admission.Errored)
	default:
		return false
	}
	return true
}

// recordAnswer records that an answer came. It returns the attempt that waits for it, nil if none does, and whether the
// attempt was cancelled.
func (c *engineConn) recordAnswer(id admission.RequestID) (waiting *attempt, cancelled bool) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.cancelSentAt, c.lastAnswerAt, c.answerBegunAt = time.Time{}, time.Now(), time.Time{}
	waiting = c.attempts[id]
	if waiting == nil || waiting.finished {
		return nil, false
	}
	return waiting, waiting.cancelled
}

// tolerateUnexpected counts an answer that nobody waits for, and reports whether the connection can still be trusted.
func (c *engineConn) tolerateUnexpected() bool {
	c.unexpectedAnswers++
	return c.unexpectedAnswers <= maxUnexpectedAnswers
}

// handleNotice passes on a notice on an attempt. A notice that can't be read is ignored.
func (c *engineConn) handleNotice(attempt *attempt, fields []byte) bool {
	if !attempt.acceptNotice(time.Now(), c.pool.owner.noticeInterval()) {
		return false
	}
	if notice, value, ok := resp.ParseProgress(fields); ok {
		c.pool.owner.post(progressReceived{request: attempt.requestID, attempt: attempt.number, notice: notice, value: value})
	}
	return true
}

// acceptNotice counts a notice and reports whether an engine may have sent so many, where one in each interval is usual.
func (a *attempt) acceptNotice(now time.Time, interval time.Duration) bool {
	a.progressNotes++
	limit := progressNoteBurst
	if interval > 0 {
		limit += progressNotesPerInterval * int(now.Sub(a.sentAt)/interval)
	}
	return a.progressNotes <= limit
}

// handleFirstPage stores the first page of a result and asks for all others at once.
func (c *engineConn) handleFirstPage(attempt *attempt, fields, body []byte) bool {
	if attempt.result.pages != nil {
		return c.tolerateUnexpected()
	}
	pages, err := strconv.Atoi(string(resp.FindField(fields, "pages")))
	workMillis, workFound := resp.ParseAmount(fields, "cost")
	memoryMB, memoryFound := resp.ParseAmount(fields, "need")
	if err != nil || pages < 1 || pages > maxPages || !workFound || !memoryFound {
		return false
	}
	attempt.result.work, attempt.result.memoryMB = admission.Time(workMillis*float64(admission.Millisecond)), memoryMB
	c.pool.mu.Lock()
	attempt.result.pages, attempt.result.missingPages = make([][]byte, pages), pages
	c.pool.mu.Unlock()
	if !c.storePage(attempt, 0, body) {
		return false
	}
	if pages > 1 {
		c.requestPages(attempt, pages)
	}
	return true
}

// requestPages asks for all pages of a result but the first.
func (c *engineConn) requestPages(attempt *attempt, pages int) {
	c.write(func() net.Buffers {
		var commands []byte
		for page := 1; page < pages; page++ {
			commands = append(commands, resp.AppendArray(nil, "page", string(attempt.requestID), strconv.Itoa(page))...)
		}
		return net.Buffers{commands}
	}, ignoreFailure)
}

// handlePage stores a further page of a result. One that was not asked for is ignored.
func (c *engineConn) handlePage(attempt *attempt, fields, body []byte) bool {
	page, err := strconv.Atoi(string(resp.FindField(fields, "page")))
	pages := attempt.result.pages
	if pages == nil || err == nil && (page < 1 || page >= len(pages)) {
		return c.tolerateUnexpected()
	}
	return err == nil && c.storePage(attempt, page, body)
}

// storePage stores a copy of a page, and reports whether it can be one. The attempt is served once no page is missing.
func (c *engineConn) storePage(attempt *attempt, page int, body []byte) bool {
	result := &attempt.result
	if result.pages[page] != nil {
		return c.tolerateUnexpected()
	}
	c.unexpectedAnswers = 0
	result.bytes += len(body)
	if len(body) > maxPageBytes || result.bytes > maxResultBytes || !mysql.ValidRows(body) {
		return false
	}
	result.pages[page] = append([]byte{}, body...)
	result.missingPages--
	if result.missingPages == 0 {
		c.endAttempt(attempt, admission.Served)
	}
	return true
}

// endAttempt ends an attempt that has its last answer.
func (c *engineConn) endAttempt(attempt *attempt, outcome admission.Outcome) {
	c.unexpectedAnswers = 0
	c.pool.mu.Lock()
	c.finishAttempt(attempt)
	c.pool.mu.Unlock()
	c.pool.owner.postAttemptEnd(attempt, outcome)
}
