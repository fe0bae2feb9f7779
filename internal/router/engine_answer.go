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

// nextAnswer reads until an engine's next answer is whole: its parts, which lie in the reader's buffer until its n
// bytes are discarded. before is called each time that it may have to wait.
func readAnswer(r *bufio.Reader, parts [][]byte, before func()) (answer [][]byte, n int, err error) {
	for {
		b, _ := r.Peek(r.Buffered())
		parts, n, err = resp.Parse(b, parts[:0])
		if err == nil && n > 0 && len(parts) < 2 {
			err = resp.ErrMalformedArray
		}
		if err != nil || n > 0 {
			return parts, n, err
		}
		before()
		if _, err = r.Peek(len(b) + 1); errors.Is(err, bufio.ErrBufferFull) {
			err = resp.ErrMalformedArray
		}
		if err != nil {
			return parts, 0, err
		}
	}
}

// answer takes in one answer: its id, its word, and fields and body where it has them. It tells whether it could
// be read; where one can't, what follows on the connection is of no more use.
func (c *engineConn) handleAnswer(parts [][]byte) bool {
	e := c.pool
	requestID := admission.RequestID(parts[0])
	var fields, body []byte
	if len(parts) > 2 {
		fields = parts[2]
	}
	if len(parts) > 3 {
		body = parts[3]
	}
	e.mu.Lock()
	c.cancelSentAt, c.lastHeard, c.answerBegunAt = time.Time{}, time.Now(), time.Time{}
	attempt := c.attempts[requestID]
	done := attempt == nil || attempt.finished
	undone := !done && attempt.cancelled
	e.mu.Unlock()
	word := string(parts[1])
	switch {
	case done: // it came too late, once more, or for nobody
		return c.tolerateUnexpected()
	case undone: // only the word that it is known no more counts
		if word == "failed" {
			c.endAttempt(attempt, admission.Errored)
			return true
		}
		return c.tolerateUnexpected()
	}
	if word != "news" && word != "page" && e.owner.network.ReportsInAnswers { // the owner reads it once the end is told
		attempt.report = resp.ParseLoadReport(fields)
	}
	switch word {
	case "news":
		if !attempt.acceptProgress(time.Now(), time.Duration(e.owner.deployment.NoticeInterval)*timeUnit) {
			return false
		}
		news, value, ok := resp.ParseProgress(fields)
		if ok {
			e.owner.post(progressReceived{request: requestID, attempt: attempt.number, notice: news, value: value})
		}
	case "data":
		return c.handleFirstPage(attempt, fields, body)
	case "page":
		n, err := strconv.Atoi(string(resp.FindField(fields, "page")))
		if attempt.pages == nil || err == nil && (n < 1 || n >= len(attempt.pages)) {
			return c.tolerateUnexpected() // not one that it was asked for
		}
		return err == nil && c.storePage(attempt, n, body)
	case "full":
		c.endAttempt(attempt, admission.Full)
	case "moot":
		c.endAttempt(attempt, admission.Unsent)
	case "failed":
		c.endAttempt(attempt, admission.Errored)
	default:
		return false
	}
	return true
}

// By the protocol a result holds at most so many bytes, and a page of it so many.
const (
	maxResultBytes = 48000
	maxPageBytes   = 6000
	maxPages       = 64 // more than the longest result has, which pages break at rows
)

// Whole answers without an end are no answers either.
const (
	// How many answers in a row that nobody waits for are passed over: the pages of all results that a connection's requests may
	// have asked for and given up meanwhile.
	maxUnexpectedAnswers = 16 * maxPages
	// How many notes an attempt may bring at once, and how many in the time in which one is usual.
	progressNoteBurst    = 64
	progressNotesPerPace = 8
)

// passOver takes in an answer that nobody waits for. It tells whether the connection can still be believed.
func (c *engineConn) tolerateUnexpected() bool {
	c.unexpectedAnswers++
	return c.unexpectedAnswers <= maxUnexpectedAnswers
}

// mayNote counts a note and tells whether an engine may bring so many, where one each pace is usual.
func (a *attempt) acceptProgress(now time.Time, pace time.Duration) bool {
	a.progressNotes++
	most := progressNoteBurst
	if pace > 0 {
		most += progressNotesPerPace * int(now.Sub(a.sentAt)/pace)
	}
	return a.progressNotes <= most
}

// first keeps the first page of a result and asks for the others at once.
func (c *engineConn) handleFirstPage(attempt *attempt, fields, body []byte) bool {
	if attempt.pages != nil {
		return c.tolerateUnexpected() // once is enough
	}
	all, err := strconv.Atoi(string(resp.FindField(fields, "pages")))
	work, ok := resp.ParseAmount(fields, "cost")
	memory, too := resp.ParseAmount(fields, "need")
	if err != nil || all < 1 || all > maxPages || !ok || !too {
		return false
	}
	attempt.work, attempt.memoryUsedMB = admission.Time(work*float64(admission.Millisecond)), memory
	c.pool.mu.Lock()
	attempt.pages, attempt.missingPages = make([][]byte, all), all
	c.pool.mu.Unlock()
	if !c.storePage(attempt, 0, body) {
		return false
	}
	if all > 1 {
		c.write(func() net.Buffers {
			var asks []byte
			for n := 1; n < all; n++ {
				asks = append(asks, resp.AppendArray(nil, "page", string(attempt.requestID), strconv.Itoa(n))...)
			}
			return net.Buffers{asks}
		}, ignoreFailure)
	}
	return true
}

// keep puts a page into its place, if it is one. With the last one missing the result is whole.
func (c *engineConn) storePage(attempt *attempt, n int, body []byte) bool {
	if attempt.pages[n] != nil {
		return c.tolerateUnexpected()
	}
	c.unexpectedAnswers = 0
	if attempt.resultBytes += len(body); len(body) > maxPageBytes || attempt.resultBytes > maxResultBytes || !mysql.ValidRows(body) {
		return false
	}
	attempt.pages[n] = append([]byte{}, body...)
	if attempt.missingPages--; attempt.missingPages == 0 {
		c.endAttempt(attempt, admission.Served)
	}
	return true
}

// ended takes an attempt that has its last answer off the connection.
func (c *engineConn) endAttempt(attempt *attempt, how admission.Outcome) {
	c.unexpectedAnswers = 0
	c.pool.mu.Lock()
	c.finishAttempt(attempt)
	c.pool.mu.Unlock()
	c.pool.owner.postAttemptEnd(attempt, how)
}
