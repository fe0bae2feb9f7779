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

// The commands of engines. A command is the second part of an answer.
const (
	answerNotice    = "news"   // a progress notice on a running attempt
	answerFirstPage = "data"   // the first page of a result, with the result's cost
	answerPage      = "page"   // a further page
	answerFull      = "full"   // the engine has no capacity
	answerNotRun    = "moot"   // the engine did not start the attempt
	answerFailed    = "failed" // the attempt failed, or the engine doesn't know it
)

// Size limits of the protocol for a result and for each of its pages.
const (
	maxResultBytes = 48000
	maxPageBytes   = 6000
	maxPages       = 64 // more than the longest result has, although pages hold whole rows and may be shorter than the limit
)

const (
	// maxUnexpectedAnswers limits the answers in a row that no attempt waits for. It covers all pages of the results that
	// the attempts on a connection may have requested and then abandoned.
	maxUnexpectedAnswers = 16 * maxPages
	// An engine normally sends one notice per notice interval on an attempt. noticeBurst is the number of notices
	// allowed at any time, and noticesPerInterval the additional number for each interval since the attempt was sent.
	noticeBurst        = 64
	noticesPerInterval = 8
)

// minAnswerParts is the minimum number of parts of an answer: the request id and the command.
const minAnswerParts = 2

// readAnswer reads until an engine's next answer is complete. The returned parts point into the reader's buffer and are valid
// until the caller discards the answer's size bytes. beforeWait is called before each read that may block.
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

// handleAnswer handles one answer, which consists of a request id, a command, and optionally fields and a body. It reports
// false if the answer is invalid, or exceeds a limit on notices or unexpected answers. The connection can't be trusted after that.
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
	if attempt == nil { // a late or repeated answer, or one for an unknown request
		return c.tolerateUnexpected()
	}
	if cancelled { // a failure shows that the engine has handled the cancellation; other answers don't matter
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

// recordAnswer records the arrival of an answer. It returns the attempt that waits for the answer, or nil if there is none, and
// whether that attempt is cancelled.
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

// tolerateUnexpected counts an answer that no attempt waits for. It reports false after too many of them in a row.
func (c *engineConn) tolerateUnexpected() bool {
	c.unexpectedAnswers++
	return c.unexpectedAnswers <= maxUnexpectedAnswers
}

// handleNotice posts a progress notice to the owner. An invalid notice is ignored. It reports false after too many notices.
func (c *engineConn) handleNotice(attempt *attempt, fields []byte) bool {
	if !attempt.acceptNotice(time.Now(), c.pool.owner.noticeInterval()) {
		return false
	}
	if notice, value, ok := resp.ParseProgress(fields); ok {
		c.pool.owner.post(progressReceived{request: attempt.requestID, attempt: attempt.number, notice: notice, value: value})
	}
	return true
}

// acceptNotice counts a progress notice, and reports whether the count is within the limit. interval is the usual time between
// two notices.
func (a *attempt) acceptNotice(now time.Time, interval time.Duration) bool {
	a.noticeCount++
	limit := noticeBurst
	if interval > 0 {
		limit += noticesPerInterval * int(now.Sub(a.sentAt)/interval)
	}
	return a.noticeCount <= limit
}

// handleFirstPage stores the first page of a result and requests all further pages at once.
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

// requestPages requests all pages of a result except the first.
func (c *engineConn) requestPages(attempt *attempt, pages int) {
	c.write(func() net.Buffers {
		var commands []byte
		for page := 1; page < pages; page++ {
			commands = append(commands, resp.AppendArray(nil, "page", string(attempt.requestID), strconv.Itoa(page))...)
		}
		return net.Buffers{commands}
	}, ignoreFailure)
}

// handlePage stores a further page of a result. A page that was not requested counts as an unexpected answer.
func (c *engineConn) handlePage(attempt *attempt, fields, body []byte) bool {
	page, err := strconv.Atoi(string(resp.FindField(fields, "page")))
	pages := attempt.result.pages
	if pages == nil || err == nil && (page < 1 || page >= len(pages)) {
		return c.tolerateUnexpected()
	}
	return err == nil && c.storePage(attempt, page, body)
}

// storePage stores a copy of a page, and reports false if the page is invalid. The attempt is served once no page is missing.
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

// endAttempt ends an attempt whose last answer has arrived.
func (c *engineConn) endAttempt(attempt *attempt, outcome admission.Outcome) {
	c.unexpectedAnswers = 0
	c.pool.mu.Lock()
	c.finishAttempt(attempt)
	c.pool.mu.Unlock()
	c.pool.owner.postAttemptEnd(attempt, outcome)
}
