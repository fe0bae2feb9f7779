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
	e       *engine
	open    map[admission.RequestID]*attempt // until their requests are over, as late answers and second copies may come
	out     int                              // of those, without a last answer
	waiting []*attempt                       // until it is up
	tcp     net.Conn
	used    time.Time
	heard   time.Time // when an answer came, or the first attempt went out on it
	asked   time.Time // when an undo went out; zero once anything is heard
	begun   time.Time // when the first part of an answer came that isn't whole yet; zero: there is none
	grown   time.Time // and when the last part came
	unasked int       // answers in a row that nobody waits for
	writing sync.Mutex
}

// silent tells of a connection on which nothing came after an undo, not even the word that it was heard: the
// machine behind it may be gone without a sign, and a new connection tells that sooner than a time-out.
func (l *engineConn) silent() bool {
	return !l.asked.IsZero() && time.Since(l.asked) > l.e.o.network.ConnectTimeout
}

// mostPieces is how many times the wait for one part of an answer the whole of it may take, so that one that grows without an
// end is ended.
const mostPieces = 4

// arm sets the time until which the connection may bring nothing. An answer that is there in part, or the word that
// an undo was heard, has as long as a connection to come up. An attempt that isn't over brings notes at the engine's
// pace, which scatters by half of it: after twice the pace its answer is lost, and with it the connection. Else it
// rests until the engine would close it; one to a retired engine does not.
func (l *engineConn) arm() {
	if l.tcp == nil {
		return
	}
	n, now := l.e.o.network, time.Now()
	by := now.Add(l.e.o.idleAfter())
	if l.out == 0 {
		by = l.used.Add(l.e.fresh())
	}
	sooner := func(t time.Time, d time.Duration, ok bool) {
		if ok && t.Add(d).Before(by) {
			by = t.Add(d)
		}
	}
	sooner(now, 0, l.out == 0 && l.e.retired)
	pace := time.Duration(l.e.o.site.NoticeInterval) * tenth
	sooner(l.heard, 2*pace, l.out > 0 && pace > 0)
	sooner(l.asked, n.ConnectTimeout, !l.asked.IsZero())
	sooner(l.grown, n.ConnectTimeout, !l.begun.IsZero())
	sooner(l.begun, mostPieces*n.ConnectTimeout, !l.begun.IsZero())
	l.tcp.SetReadDeadline(by)
}

func (l *engineConn) do(h *attempt) {
	l.e.mu.Lock()
	rank := h.rank
	l.e.mu.Unlock()
	passed, late := false, false
	l.write(func() net.Buffers {
		if late = h.sendBy > 0 && l.e.o.clock.Now() >= h.sendBy; late {
			return nil
		}
		if h.by != 0 && !l.e.o.desk.BeginWrite(h.by, h.request) {
			l.revoke(h)
			return nil
		}
		if passed = h.by != 0; !h.state.CompareAndSwap(fresh, written) {
			return nil
		}
		return resp.AppendAttempt(make([]byte, 0, 320), resp.Attempt{ID: string(h.request), Class: h.class,
			TimeoutMS: max(1, int64(h.timeout/admission.Millisecond)), MemoryMB: h.memory, Priority: rank,
			Token: h.token, Statement: h.statement})
	}, func() { h.state.CompareAndSwap(written, fresh) })
	if passed {
		l.e.o.desk.EndWrite(h.by, h.request)
	}
	if late {
		l.revoke(h)
	}
}

// revoke ends an attempt that must not be written any more, as its time is over or the rules that had it go out are gone by no
// more: nothing ran, and the engine has no part in it.
func (l *engineConn) revoke(h *attempt) {
	if h.withdraw() {
		l.e.mu.Lock()
		if l.open[h.request] == h {
			l.over(h)
			delete(l.open, h.request)
		}
		l.e.mu.Unlock()
		l.e.o.tellEnded(h, admission.Unsent)
	}
}

// write gathers buffers into the connection. One that takes no more within the time in which connections come
// up is given up, and its reader ends it. unbegun is called if the first byte was refused already, as the connection was broken before:
// proof that nothing ran.
func (l *engineConn) write(make func() net.Buffers, unbegun func()) {
	l.writing.Lock()
	defer l.writing.Unlock()
	buffers := make()
	if buffers == nil {
		return
	}
	n, err := writeBy(l.tcp, time.Now().Add(l.e.o.network.ConnectTimeout), buffers)
	if err == nil {
		return
	}
	l.tcp.Close()
	if n == 0 {
		unbegun()
	}
}

// nothing is for writes of which it doesn't matter whether they were begun.
func nothing() {}

func (l *engineConn) say(words ...string) {
	l.write(func() net.Buffers { return net.Buffers{resp.AppendArray(nil, words...)} }, nothing)
}

// over counts an attempt out that has its last answer or needs none.
func (l *engineConn) over(h *attempt) {
	if !h.done {
		h.done = true
		l.out--
		l.used = time.Now()
	}
}

// crossing is how long the protocol lets a request cross a close.
const crossing = 50 * time.Millisecond

// serve dials the connection, writes what waited for it and reads answers until it ends.
func (l *engineConn) serve() {
	e := l.e
	code, err := "panic", error(nil)
	defer func() {
		fault := recover()
		l.writing.Lock() // who writes knows by then whether it had begun
		e.mu.Lock()
		left := l.out
		var open, unwritten []*attempt
		for _, h := range l.open {
			switch {
			case h.done:
			case h.withdraw():
				unwritten = append(unwritten, h)
			default:
				open = append(open, h)
			}
		}
		up := l.tcp != nil
		l.open, l.out = nil, 0
		e.conns = slices.DeleteFunc(e.conns, func(k *engineConn) bool { return k == l })
		e.mu.Unlock()
		l.writing.Unlock()
		e.o.engineConns.Add(-1)
		for _, h := range unwritten { // proof that nothing ran
			switch {
			case up:
				e.o.tell(func(now admission.Time) { e.o.again(now, h) })
			case ours(err):
				e.o.tellEnded(h, admission.Unsent)
			default:
				e.o.tellEnded(h, admission.Unreachable)
			}
		}
		how := admission.Reset
		if code == "bad_answer" || code == "cut_short" || code == "mute" {
			how = admission.Lost
			if len(open) > 0 {
				time.Sleep(crossing) // the engine hears of the close before another one hears of the request
			}
		}
		for _, h := range open {
			if how == admission.Reset && e.stale(h) {
				how = admission.Lost
			}
			e.o.tellEnded(h, how)
			how = admission.Lost // one event is one doubt
		}
		e.o.connectionEnded("engine", string(e.name), code, left, fault)
	}()
	tcp, err := e.o.dial(e.address)
	if err != nil {
		code = endCode(err)
		return
	}
	defer tcp.Close()
	e.mu.Lock()
	l.tcp, l.heard = tcp, time.Now()
	waiting := l.waiting
	l.waiting = nil
	e.mu.Unlock()
	for _, h := range waiting {
		if h.of.by.gone() {
			e.o.tell(func(now admission.Time) { e.o.left(now, h.of) })
			continue
		}
		l.do(h)
	}
	code = l.read()
}

// ours tells of a dial that failed for want of something here.
func ours(err error) bool {
	for _, want := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, want) {
			return true
		}
	}
	return false
}

// read takes in answers until the connection ends, has been idle, or brings nothing where it should.
func (l *engineConn) read() (code string) {
	r := bufio.NewReaderSize(l.tcp, resp.MaxBulkBytes)
	var parts [][]byte
	var last time.Time // until when it looks once more: its time is over, but what came while this process stood still counts
	for {
		var n int
		var err error
		parts, n, err = nextAnswer(r, parts, func() {
			l.e.mu.Lock()
			defer l.e.mu.Unlock()
			l.note(r.Buffered())
			if l.arm(); !last.IsZero() {
				l.tcp.SetReadDeadline(last)
			}
		})
		switch {
		case err == nil:
			last = time.Time{}
			if !l.answer(parts) {
				return "bad_answer"
			}
			r.Discard(n)
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return endCode(err)
		case speaks(l.tcp): // it came while this process stood still
			if err := readArrived(l.tcp, r, r.Buffered()+1); err != nil {
				return endCode(err)
			}
		case !last.IsZero():
			if code := l.rest(); code != "" {
				return code
			}
			last = time.Time{}
		default:
			last = time.Now().Add(lastLook)
		}
	}
}

// note takes down how many bytes of the next answer are there.
func (l *engineConn) note(bytes int) {
	switch {
	case bytes == 0:
		l.begun = time.Time{}
	case l.begun.IsZero():
		l.begun = time.Now()
		l.grown = l.begun
	default:
		l.grown = time.Now()
	}
}

// rest takes a connection whose time is over out of use, and tells why; empty: it was used meanwhile.
func (l *engineConn) rest() (code string) {
	l.e.mu.Lock()
	defer l.e.mu.Unlock()
	pace := time.Duration(l.e.o.site.NoticeInterval) * tenth
	switch {
	case !l.begun.IsZero():
		code = "cut_short"
	case l.silent() || l.out > 0 && pace > 0 && time.Since(l.heard) >= 2*pace:
		code = "mute"
	case l.out == 0 && (l.e.retired || time.Since(l.used) >= l.e.fresh()):
		code = "idle"
	default:
		return ""
	}
	l.e.conns = slices.DeleteFunc(l.e.conns, func(k *engineConn) bool { return k == l })
	return code
}
