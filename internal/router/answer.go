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
func nextAnswer(r *bufio.Reader, parts [][]byte, before func()) (answer [][]byte, n int, err error) {
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
func (l *engineConn) answer(parts [][]byte) bool {
	e := l.e
	request := admission.RequestID(parts[0])
	var fields, body []byte
	if len(parts) > 2 {
		fields = parts[2]
	}
	if len(parts) > 3 {
		body = parts[3]
	}
	e.mu.Lock()
	l.asked, l.heard, l.begun = time.Time{}, time.Now(), time.Time{}
	h := l.open[request]
	done := h == nil || h.done
	undone := !done && h.undone
	e.mu.Unlock()
	word := string(parts[1])
	switch {
	case done: // it came too late, once more, or for nobody
		return l.passOver()
	case undone: // only the word that it is known no more counts
		if word == "failed" {
			l.ended(h, admission.Errored)
			return true
		}
		return l.passOver()
	}
	if word != "news" && word != "page" && e.o.network.ReportsInAnswers { // the owner reads it once the end is told
		h.report = resp.ParseLoadReport(fields)
	}
	switch word {
	case "news":
		if !h.mayNote(time.Now(), time.Duration(e.o.site.NoticeInterval)*tenth) {
			return false
		}
		news, value, ok := resp.ParseProgress(fields)
		if ok {
			e.o.tell(func(now admission.Time) { e.o.module.HandleNotice(now, request, h.n, news, value) })
		}
	case "data":
		return l.first(h, fields, body)
	case "page":
		n, err := strconv.Atoi(string(resp.FindField(fields, "page")))
		if h.pages == nil || err == nil && (n < 1 || n >= len(h.pages)) {
			return l.passOver() // not one that it was asked for
		}
		return err == nil && l.keep(h, n, body)
	case "full":
		l.ended(h, admission.Full)
	case "moot":
		l.ended(h, admission.Unsent)
	case "failed":
		l.ended(h, admission.Errored)
	default:
		return false
	}
	return true
}

// By the protocol a result holds at most so many bytes, and a page of it so many.
const (
	mostResult = 48000
	mostPage   = 6000
	mostPages  = 64 // more than the longest result has, which pages break at rows
)

// Whole answers without an end are no answers either.
const (
	// How many answers in a row that nobody waits for are passed over: the pages of all results that a connection's requests may
	// have asked for and given up meanwhile.
	mostUnasked = 16 * mostPages
	// How many notes an attempt may bring at once, and how many in the time in which one is usual.
	mostNotes    = 64
	notesPerPace = 8
)

// passOver takes in an answer that nobody waits for. It tells whether the connection can still be believed.
func (l *engineConn) passOver() bool {
	l.unasked++
	return l.unasked <= mostUnasked
}

// mayNote counts a note and tells whether an engine may bring so many, where one each pace is usual.
func (h *attempt) mayNote(now time.Time, pace time.Duration) bool {
	h.notes++
	most := mostNotes
	if pace > 0 {
		most += notesPerPace * int(now.Sub(h.sent)/pace)
	}
	return h.notes <= most
}

// first keeps the first page of a result and asks for the others at once.
func (l *engineConn) first(h *attempt, fields, body []byte) bool {
	if h.pages != nil {
		return l.passOver() // once is enough
	}
	all, err := strconv.Atoi(string(resp.FindField(fields, "pages")))
	work, ok := resp.ParseAmount(fields, "cost")
	memory, too := resp.ParseAmount(fields, "need")
	if err != nil || all < 1 || all > mostPages || !ok || !too {
		return false
	}
	h.work, h.needs = admission.Time(work*float64(admission.Millisecond)), memory
	l.e.mu.Lock()
	h.pages, h.missing = make([][]byte, all), all
	l.e.mu.Unlock()
	if !l.keep(h, 0, body) {
		return false
	}
	if all > 1 {
		l.write(func() net.Buffers {
			var asks []byte
			for n := 1; n < all; n++ {
				asks = append(asks, resp.AppendArray(nil, "page", string(h.request), strconv.Itoa(n))...)
			}
			return net.Buffers{asks}
		}, nothing)
	}
	return true
}

// keep puts a page into its place, if it is one. With the last one missing the result is whole.
func (l *engineConn) keep(h *attempt, n int, body []byte) bool {
	if h.pages[n] != nil {
		return l.passOver()
	}
	l.unasked = 0
	if h.size += len(body); len(body) > mostPage || h.size > mostResult || !mysql.ValidRows(body) {
		return false
	}
	h.pages[n] = append([]byte{}, body...)
	if h.missing--; h.missing == 0 {
		l.ended(h, admission.Served)
	}
	return true
}

// ended takes an attempt that has its last answer off the connection.
func (l *engineConn) ended(h *attempt, how admission.Outcome) {
	l.unasked = 0
	l.e.mu.Lock()
	l.over(h)
	l.e.mu.Unlock()
	l.e.o.tellEnded(h, how)
}
