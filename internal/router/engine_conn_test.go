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

func TestPagesAreGatheredInOrder(t *testing.T) { // gathered in order, whatever order they come in; one connection carries two requests
	e := newFakeEngine(t, "e1")
	s := startFixture(t, e)
	s.onOwner(func(admission.Time) { s.owner.usage.engineConnectionLimit = 0 }) // so that attempts share connections
	a, b, c := s.newClient(), s.newClient(), s.newClient()
	a.sendIdempotentQuery("aa")
	k := e.receive()
	b.sendIdempotentQuery("bb")
	if e.receive() != k {
		t.Error("the second attempt came on another connection")
	}
	c.sendIdempotentQuery("cc")
	if e.receive() == k {
		t.Error("the third attempt came on the same connection")
	}
	e.reply(k, "00000000000000aa", "data", "pages=3,cost=120,need=64", "a\tb\tc\n")
	e.receive()
	e.receive()
	e.reply(k, "00000000000000aa", "page", "page=2", "g\th\ti\n")
	e.reply(k, "00000000000000bb", "data", "pages=1,cost=100,need=64", "")
	b.expectAnswer()
	e.reply(k, "00000000000000aa", "page", "page=1", "d\te\tf\n")
	a.expectAnswer()
	a.sendIdempotentQuery("dd") // the session goes on
	e.receive()
	e.reply(k, "00000000000000dd", "full", "-", "")
	e.receive()
	s.compareTrace("pages")
}

func TestLostPageIsRetried(t *testing.T) { // nothing was passed on yet, so the module decides: here it hands off again
	e := newFakeEngine(t, "e1")
	s := startFixture(t, e)
	a := s.newClient()
	a.sendIdempotentQuery("aa")
	k := e.receive()
	e.reply(k, "00000000000000aa", "data", "pages=2,cost=120,need=64", "a\tb\tc\n")
	e.receive()
	e.reply(k, "00000000000000aa", "failed", "-", "")
	k = e.receive()
	e.reply(k, "00000000000000aa", "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
	a.expectAnswer()
	s.compareTrace("lost pages")
}

func TestResetIsRetriedWhereTheClassAllows(t *testing.T) { // the one may run again, of the other nothing is known
	e, f := newFakeEngine(t, "e1"), newFakeEngine(t, "e2")
	s := startFixture(t, e, f)
	s.announceEngine(f, "Terminating")
	a, b := s.newClient(), s.newClient()
	a.sendIdempotentQuery("aa")
	k := e.receive()
	s.announceEngine(e, "Terminating")
	s.announceEngine(f, "Ready")
	k.Close()
	k = f.receive()
	f.reply(k, "00000000000000aa", "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
	a.expectAnswer()
	b.sendLoad("bb")
	f.receive().Close()
	b.expectAnswer()
	s.compareTrace("reset")
}

func TestRefusedConnectionProvesThatNothingRan(t *testing.T) { // proof that nothing ran: even a request that must not run twice goes elsewhere
	e, f := newFakeEngine(t, "e2"), newFakeEngine(t, "e1")
	e.listener.Close()
	s := startFixture(t)
	f.fixture = s
	a := s.newClient()
	a.sendLoad("aa")
	s.awaitRequests(1)
	s.listEvents <- fmt.Sprintf(`{"index":2,"updates":[%s]}`, watchEvent(2, false, []string{serverJSON(f, "Ready"), serverJSON(e, "Ready")}))
	k := f.receive()
	f.reply(k, "00000000000000aa", "data", "pages=1,cost=120,need=64", "")
	a.expectAnswer()
	s.tracef("connections refused: %d", strings.Count(s.log.String(), "code=refused"))
	s.compareTrace("refused")
}

func TestSilentEngineTimesOut(t *testing.T) { // a time-out, an answer after it, and another request on the same session
	e := newFakeEngine(t, "e1")
	s := startFixture(t, e)
	a := s.newClient()
	a.sendLoad("aa")
	k := e.receive()
	s.advanceClock(12100 * admission.Millisecond)
	e.receive()
	e.receive()
	s.advanceClock(150 * admission.Millisecond)
	a.expectAnswer()
	e.reply(k, "00000000000000aa", "data", "pages=1,cost=120,need=64", "too\tlate\t.\n")
	a.sendIdempotentQuery("bb")
	k = e.receive()
	e.reply(k, "00000000000000bb", "data", "pages=1,cost=120,need=64", "in\ttime\t.\n")
	a.expectAnswer()
	s.compareTrace("silent")
}

func TestUnaskedPagesArePassedOver(t *testing.T) { // what nobody asked for is passed over, and the client gets no part of it
	e := newFakeEngine(t, "e1")
	s := startFixture(t, e)
	a := s.newClient()
	a.sendLoad("bb")
	k := e.receive()
	e.reply(k, "00000000000000ff", "data", "pages=1", "of\tnobody\t.\n")
	e.reply(k, "00000000000000bb", "page", "page=0", "too\tearly\t.\n")
	e.reply(k, "00000000000000bb", "data", "pages=2,cost=5,need=-0", "a\tb\tc\n")
	e.receive()
	e.reply(k, "00000000000000bb", "page", "page=2", "too\tmany\t.\n")
	e.reply(k, "00000000000000bb", "data", "pages=1", "once\tmore\t.\n")
	e.reply(k, "00000000000000bb", "page", "page=1", "d\te\tf\n")
	e.reply(k, "00000000000000bb", "page", "page=1", "once\tmore\t.\n")
	a.expectAnswer()
	e.reply(k, "00000000000000bb", "full", "-", "")
	a.sendIdempotentQuery("cc")
	e.reply(e.receive(), "00000000000000cc", "data", "pages=1", "a\tb\tc\n")
	a.expectAnswer()
	s.compareTrace("odd pages")
}

func TestReportOfNobodyIsPassedOver(t *testing.T) { // where answers hold reports, one for no request is passed over like its rows
	e := newFakeEngine(t, "e1")
	s := startFixture(t, e)
	s.onOwner(func(admission.Time) { s.owner.network.ReportsInAnswers = true })
	a := s.newClient()
	a.sendIdempotentQuery("aa")
	k := e.receive()
	e.reply(k, "00000000000000ff", "failed", "gauges=inflight:3", "")
	e.reply(k, "00000000000000aa", "data", "pages=1,cost=5,need=1,gauges=inflight:2", "a\tb\tc\n")
	a.expectAnswer()
	s.compareTrace("gauges of nobody")
}

// A spoilt or missing answer ends its connection, with a code; it says little of the engine, and a request that may run
// again goes out once more while one that may not is written off. Other requests have connections of their own.
func TestSpoiltAnswerEndsItsConnection(t *testing.T) {
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
		k := e.receive()
		_, _ = io.WriteString(k, c.answer)
		if c.code == "closed" {
			k.Close()
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

func TestSilentConnectionIsNotUsedAgain(t *testing.T) { // after an undo that was never heard of, a new connection is tried
	e := newFakeEngine(t, "e1")
	s := startFixture(t, e)
	a := s.newClient()
	a.sendIdempotentQuery("aa")
	k := e.receive()
	s.advanceClock(1100 * admission.Millisecond)
	e.receive()
	e.receive()
	s.advanceClock(250 * admission.Millisecond)
	a.expectAnswer()
	time.Sleep(s.owner.network.ConnectTimeout + time.Millisecond)
	a.sendIdempotentQuery("bb")
	if e.receive() == k {
		t.Error("the next attempt came on the silent connection")
	}
	s.compareTrace("gone without a sign")
}

// Where the next do overtook the undo on another connection, the engines held two copies of a request.
func TestRetryWaitsForTheUndo(t *testing.T) {
	e, f := newFakeEngine(t, "e1"), newFakeEngine(t, "e2")
	s := startFixture(t, e)
	a := s.newClient()
	a.sendIdempotentQuery("aa")
	k := e.receive()
	s.announceEngine(f, "Ready")
	s.advanceClock(100 * admission.Millisecond)
	e.reply(k, "00000000000000aa", "news", "res=so_far,v=0.01", "")
	e.receive()
	e.receive()
	s.advanceClock(10 * admission.Millisecond)
	if len(f.received) > 0 {
		t.Error("a second copy went out before the first was known to be given up")
	}
	s.announceEngine(e, "Terminating")
	e.reply(k, "00000000000000aa", "failed", "-", "")
	k = f.receive()
	f.reply(k, "00000000000000aa", "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
	a.expectAnswer()
	s.compareTrace("called off")
}

// A connection that breaks at the request after a rest was dropped by then: later ones rest for half as long at most,
// and the engine is not held at fault.
func TestIdleConnectionsRestShorterAfterABreak(t *testing.T) {
	e := newFakeEngine(t, "e1")
	s := startFixture(t, e)
	a := s.newClient()
	ask := func(id string) net.Conn {
		a.sendIdempotentQuery(id)
		return e.receive()
	}
	answer := func(k net.Conn, id string) {
		e.reply(k, "00000000000000"+id, "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
		a.expectAnswer()
	}
	k := ask("aa")
	answer(k, "aa")
	time.Sleep(100 * time.Millisecond)
	if ask("bb") != k {
		t.Error("an idle connection was not used again")
	}
	_ = asTCP(k).SetLinger(0)
	k.Close()
	k = e.receive()
	answer(k, "bb")
	fresh := make(chan time.Duration)
	s.onOwner(func(admission.Time) {
		engine, ok := s.owner.engines["e1"].(*enginePool)
		if !ok {
			t.Errorf("the client of the engine is %T", s.owner.engines["e1"])
			fresh <- 0
			return
		}
		engine.mu.Lock()
		defer engine.mu.Unlock()
		fresh <- engine.maxIdle()
	})
	d := <-fresh
	if d >= s.owner.engineIdleTimeout() {
		t.Errorf("rests of %v", d)
	}
	time.Sleep(d)
	m := ask("cc")
	if m == k {
		t.Error("a connection was used again after the rest that broke one")
	}
	answer(m, "cc")
	s.compareTrace("stale")
}

// What this process lacks is not the engine's failure.
func TestLackOfDescriptorsIsNotTheEnginesFailure(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.EADDRNOTAVAIL, syscall.ECONNREFUSED, syscall.ECONNRESET} {
		err := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)}
		if got, want := isLocalShortage(err), errno == syscall.EMFILE || errno == syscall.EADDRNOTAVAIL; got != want {
			t.Errorf("%v: got %v", err, got)
		}
	}
}
