package router

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/protocol/resp"
)

// Pages may arrive in any order, and one connection carries two requests.
func TestPagesAreAssembledInOrder(t *testing.T) {
	e := newFakeEngine(t, "e1")
	s := startFixture(t, e)
	s.onOwner(func(admission.Time) { s.owner.usage.engineConnectionLimit = 0 }) // makes attempts share connections
	a, b, c := s.newClient(), s.newClient(), s.newClient()
	a.sendIdempotentQuery("aa")
	conn := e.receive()
	b.sendIdempotentQuery("bb")
	if e.receive() != conn {
		t.Error("the second attempt arrived on another connection")
	}
	c.sendIdempotentQuery("cc")
	if e.receive() == conn {
		t.Error("the third attempt arrived on the same connection")
	}
	e.reply(conn, "00000000000000aa", "data", "pages=3,cost=120,need=64", "a\tb\tc\n")
	e.receive()
	e.receive()
	e.reply(conn, "00000000000000aa", "page", "page=2", "g\th\ti\n")
	e.reply(conn, "00000000000000bb", "data", "pages=1,cost=100,need=64", "")
	b.expectAnswer()
	e.reply(conn, "00000000000000aa", "page", "page=1", "d\te\tf\n")
	a.expectAnswer()
	a.sendIdempotentQuery("dd") // the session goes on
	e.receive()
	e.reply(conn, "00000000000000dd", "full", "-", "")
	e.receive()
	s.compareTrace("pages")
}

// If a page is lost, the client has received nothing yet, so the admission controller decides what happens. Here it starts another
// attempt.
func TestLostPageIsRetried(t *testing.T) {
	e := newFakeEngine(t, "e1")
	s := startFixture(t, e)
	a := s.newClient()
	a.sendIdempotentQuery("aa")
	conn := e.receive()
	e.reply(conn, "00000000000000aa", "data", "pages=2,cost=120,need=64", "a\tb\tc\n")
	e.receive()
	e.reply(conn, "00000000000000aa", "failed", "-", "")
	conn = e.receive()
	e.reply(conn, "00000000000000aa", "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
	a.expectAnswer()
	s.compareTrace("lost pages")
}

// An idempotent request is retried; the other may have run, so it fails.
func TestResetIsRetriedWhereTheClassAllows(t *testing.T) {
	e, f := newFakeEngine(t, "e1"), newFakeEngine(t, "e2")
	s := startFixture(t, e, f)
	s.announceEngine(f, "Terminating")
	a, b := s.newClient(), s.newClient()
	a.sendIdempotentQuery("aa")
	conn := e.receive()
	s.announceEngine(e, "Terminating")
	s.announceEngine(f, "Ready")
	conn.Close()
	conn = f.receive()
	f.reply(conn, "00000000000000aa", "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
	a.expectAnswer()
	b.sendNonIdempotentQuery("bb")
	f.receive().Close()
	b.expectAnswer()
	s.compareTrace("reset")
}

// A refused connection proves that nothing ran, so even a request that must not run twice goes to another engine.
func TestRefusedConnectionProvesThatNothingRan(t *testing.T) {
	e, f := newFakeEngine(t, "e2"), newFakeEngine(t, "e1")
	e.listener.Close()
	s := startFixture(t)
	f.fixture = s
	a := s.newClient()
	a.sendNonIdempotentQuery("aa")
	s.awaitRequests(1)
	s.listEvents <- fmt.Sprintf(`{"index":2,"updates":[%s]}`, watchEvent(2, false, []string{serverJSON(f, "Ready"), serverJSON(e, "Ready")}))
	conn := f.receive()
	f.reply(conn, "00000000000000aa", "data", "pages=1,cost=120,need=64", "")
	a.expectAnswer()
	s.tracef("connections refused: %d", strings.Count(s.log.String(), "code=refused"))
	s.compareTrace("refused")
}

// An attempt times out, its answer arrives too late, and the session's next request is served.
func TestSilentEngineTimesOut(t *testing.T) {
	e := newFakeEngine(t, "e1")
	s := startFixture(t, e)
	a := s.newClient()
	a.sendNonIdempotentQuery("aa")
	conn := e.receive()
	s.advanceClock(12100 * admission.Millisecond)
	e.receive()
	e.receive()
	s.advanceClock(150 * admission.Millisecond)
	a.expectAnswer()
	e.reply(conn, "00000000000000aa", "data", "pages=1,cost=120,need=64", "too\tlate\t.\n")
	a.sendIdempotentQuery("bb")
	conn = e.receive()
	e.reply(conn, "00000000000000bb", "data", "pages=1,cost=120,need=64", "in\ttime\t.\n")
	a.expectAnswer()
	s.compareTrace("silent")
}

// The client gets no part of pages that were not requested.
func TestUnrequestedPagesAreIgnored(t *testing.T) {
	e := newFakeEngine(t, "e1")
	s := startFixture(t, e)
	a := s.newClient()
	a.sendNonIdempotentQuery("bb")
	conn := e.receive()
	e.reply(conn, "00000000000000ff", "data", "pages=1", "of\tnobody\t.\n")
	e.reply(conn, "00000000000000bb", "page", "page=0", "too\tearly\t.\n")
	e.reply(conn, "00000000000000bb", "data", "pages=2,cost=5,need=-0", "a\tb\tc\n")
	e.receive()
	e.reply(conn, "00000000000000bb", "page", "page=2", "too\tmany\t.\n")
	e.reply(conn, "00000000000000bb", "data", "pages=1", "once\tmore\t.\n")
	e.reply(conn, "00000000000000bb", "page", "page=1", "d\te\tf\n")
	e.reply(conn, "00000000000000bb", "page", "page=1", "once\tmore\t.\n")
	a.expectAnswer()
	e.reply(conn, "00000000000000bb", "full", "-", "")
	a.sendIdempotentQuery("cc")
	e.reply(e.receive(), "00000000000000cc", "data", "pages=1", "a\tb\tc\n")
	a.expectAnswer()
	s.compareTrace("odd pages")
}

// If answers contain load reports, an answer for no request is ignored together with its report.
func TestReportForUnknownRequestIsIgnored(t *testing.T) {
	e := newFakeEngine(t, "e1")
	s := startFixture(t, e)
	s.onOwner(func(admission.Time) { s.owner.network.ReportsInAnswers = true })
	a := s.newClient()
	a.sendIdempotentQuery("aa")
	conn := e.receive()
	e.reply(conn, "00000000000000ff", "failed", "gauges=inflight:3", "")
	e.reply(conn, "00000000000000aa", "data", "pages=1,cost=5,need=1,gauges=inflight:2", "a\tb\tc\n")
	a.expectAnswer()
	s.compareTrace("gauges of nobody")
}

// An invalid or missing answer ends its connection with a log code. It says little about the engine's health. A request that may
// run again is sent again, and one that must not run twice fails. Other requests are not affected, because they have connections of
// their own.
func TestInvalidAnswerEndsItsConnection(t *testing.T) {
	const id = "00000000000000aa"
	var out strings.Builder
	whole := string(resp.AppendArray(nil, id, "data", "pages=1,cost=120,need=64", "a\tb\tc\n"))
	for _, c := range []struct{ what, answer, code string }{
		{"noise", "\x00\x17%&\r\n", "bad_answer"},
		{"an unending line", "*" + strings.Repeat("4", 99), "bad_answer"},
		{"3 GB to come", "*4\r\n$16\r\n" + id + "\r\n$4\r\ndata\r\n$7\r\npages=1\r\n$3000000000\r\n", "bad_answer"},
		{"a length that doesn't fit", strings.Replace(whole, "$6", "$5", 1), "bad_answer"},
		{"an odd word", strings.Replace(whole, "data", "dada", 1), "bad_answer"},
		{"an odd number of pages", strings.Replace(whole, "pages=1", "pages=x", 1), "bad_answer"},
		{"no cost", strings.Replace(whole, "cost=120", "cost=NaN", 1), "bad_answer"},
		{"half a row", strings.Replace(whole, "\n\r", " \r", 1), "bad_answer"},
		{"a column too few", strings.Replace(whole, "a\tb", "a b", 1), "bad_answer"},
		{"a page too long", string(resp.AppendArray(nil, id, "data", "pages=1", strings.Repeat("a\tb\tc\n", 1001))), "bad_answer"},
		{"half an answer and no more", whole[:40], "cut_short"},
		{"half an answer and the end", whole[:40], "closed"},
		{"nothing at all", "", "mute"},
	} {
		e := newFakeEngine(t, "e1")
		s := startFixture(t, e)
		s.onOwner(func(admission.Time) { s.owner.deployment.NoticeInterval = 50 * admission.Millisecond })
		a := s.newClient()
		a.sendIdempotentQuery("aa")
		conn := e.receive()
		_, _ = io.WriteString(conn, c.answer)
		if c.code == "closed" {
			conn.Close()
		}
		s.awaitLog("code=" + c.code)
		e.reply(e.receive(), id, "data", "pages=1,cost=120,need=64", "d\te\tf\n")
		a.expectAnswer()
		out.WriteString("after " + c.what + ", code " + c.code + "\n" + s.trace.String())
		s.close()
	}
	s := &fixture{t: t}
	s.trace.WriteString(out.String())
	s.compareTrace("spoilt")
}

// A connection on which a cancellation was not confirmed is replaced by a new one.
func TestSilentConnectionIsNotUsedAgain(t *testing.T) {
	e := newFakeEngine(t, "e1")
	s := startFixture(t, e)
	a := s.newClient()
	a.sendIdempotentQuery("aa")
	conn := e.receive()
	s.advanceClock(1100 * admission.Millisecond)
	e.receive()
	e.receive()
	s.advanceClock(250 * admission.Millisecond)
	a.expectAnswer()
	time.Sleep(s.owner.network.ConnectTimeout + time.Millisecond)
	a.sendIdempotentQuery("bb")
	if e.receive() == conn {
		t.Error("the next attempt arrived on the silent connection")
	}
	s.compareTrace("gone without a sign")
}

// A retry must not overtake the cancellation (undo) of the previous attempt on another connection, because the engines would then
// hold two copies of the request.
func TestRetryWaitsForTheCancellation(t *testing.T) {
	e, f := newFakeEngine(t, "e1"), newFakeEngine(t, "e2")
	s := startFixture(t, e)
	a := s.newClient()
	a.sendIdempotentQuery("aa")
	conn := e.receive()
	s.announceEngine(f, "Ready")
	s.advanceClock(100 * admission.Millisecond)
	e.reply(conn, "00000000000000aa", "news", "res=so_far,v=0.01", "")
	e.receive()
	e.receive()
	s.advanceClock(10 * admission.Millisecond)
	if len(f.received) > 0 {
		t.Error("a second copy was sent before the engine confirmed the cancellation of the first")
	}
	s.announceEngine(e, "Terminating")
	e.reply(conn, "00000000000000aa", "failed", "-", "")
	conn = f.receive()
	f.reply(conn, "00000000000000aa", "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
	a.expectAnswer()
	s.compareTrace("called off")
}

// A connection that breaks at the first request after an idle time was dropped while it was idle. The idle time of later
// connections is limited to half of that, and the break doesn't count as a failure of the engine.
func TestIdleTimeIsLimitedAfterABreak(t *testing.T) {
	e := newFakeEngine(t, "e1")
	s := startFixture(t, e)
	a := s.newClient()
	sendAndReceive := func(id string) net.Conn {
		a.sendIdempotentQuery(id)
		return e.receive()
	}
	answer := func(conn net.Conn, id string) {
		e.reply(conn, "00000000000000"+id, "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
		a.expectAnswer()
	}
	conn := sendAndReceive("aa")
	answer(conn, "aa")
	time.Sleep(100 * time.Millisecond)
	if sendAndReceive("bb") != conn {
		t.Error("an idle connection was not used again")
	}
	_ = asTCP(conn).SetLinger(0)
	conn.Close()
	conn = e.receive()
	answer(conn, "bb")
	limits := make(chan time.Duration)
	s.onOwner(func(admission.Time) {
		engine, ok := s.owner.engines["e1"].(*enginePool)
		if !ok {
			t.Errorf("the client of the engine is %T", s.owner.engines["e1"])
			limits <- 0
			return
		}
		engine.mu.Lock()
		defer engine.mu.Unlock()
		limits <- engine.maxIdle()
	})
	idleLimit := <-limits
	if idleLimit >= s.owner.engineIdleTimeout() {
		t.Errorf("the limit on idle times is %v", idleLimit)
	}
	time.Sleep(idleLimit)
	next := sendAndReceive("cc")
	if next == conn {
		t.Error("a connection was used again after the idle time that broke another one")
	}
	answer(next, "cc")
	s.compareTrace("stale")
}

// A dial that fails because this machine is out of descriptors or ports is not a failure of the engine.
func TestLocalShortageIsNotTheEnginesFailure(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.EADDRNOTAVAIL, syscall.ECONNREFUSED, syscall.ECONNRESET} {
		err := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)}
		if got, want := isLocalShortage(err), errno == syscall.EMFILE || errno == syscall.EADDRNOTAVAIL; got != want {
			t.Errorf("%v: got %v", err, got)
		}
	}
}
