package router

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/protocol/mysql"
)

func TestRequestWithoutAnEngineIsRejected(t *testing.T) { // no engine, so it is held while that is of use
	s := startFixture(t)
	a := s.newClient()
	a.sendIdempotentQuery("aa")
	s.awaitRequests(1)
	s.advanceClock(2 * admission.Second)
	a.expectAnswer()
	s.compareTrace("nacked")
}

func TestKillQueryWithdrawsTheRequest(t *testing.T) { // nothing is owed then, the engine is told, and the session can go on
	e := newFakeEngine(t, "e1")
	s := startFixture(t, e)
	a, b := s.newClient(), s.newClient()
	a.sendIdempotentQuery("aa")
	k := e.receive()
	b.sendStatement("KILL QUERY 0")
	b.expectAnswer()
	b.send(0, fmt.Appendf([]byte{mysql.Query}, "KILL QUERY %d", a.id))
	s.tracef("client kills the query of another session")
	b.expectAnswer()
	e.receive()
	e.receive()
	e.reply(k, "00000000000000aa", "data", "pages=1,cost=120,need=64", "too\tlate\t.\n")
	a.sendIdempotentQuery("bb")
	k = e.receive()
	e.reply(k, "00000000000000bb", "data", "pages=1,cost=120,need=64", "in\ttime\t.\n")
	a.expectAnswer()
	s.compareTrace("killed")
}

// The owner looked at what a session writes as it reads its next query, which the race detector tells.
func TestKillQueryBetweenTwoRequests(t *testing.T) {
	s := startFixture(t)
	a, b := s.newClient(), s.newClient()
	nacked := 0
	for i := range 50 {
		a.send(0, fmt.Appendf([]byte{mysql.Query}, "/* class=look,id=%016x,wait=1 */ SELECT a FROM t_7.x", i))
		b.send(0, fmt.Appendf([]byte{mysql.Query}, "KILL QUERY %d", a.id))
		b.readPacket()
		if p := a.readPacket(); p[0] == 0xff { // its time is too short to hold it, so no KILL finds it in hand
			nacked++
		}
	}
	s.tracef("%d of 50 nacked", nacked)
	s.compareTrace("killed between")
}

// Who speaks no protocol gets an error or a close, with a code, and no engine hears of it.
func TestBadClientsAreToldAndEnded(t *testing.T) {
	e := newFakeEngine(t, "e1")
	s := startFixture(t, e)
	s.onOwner(func(admission.Time) {
		s.owner.network.LongestWaits = []time.Duration{5 * time.Second, 20 * time.Second}
	})
	query := func(sql string) []byte {
		return append([]byte{byte(len(sql) + 1), byte((len(sql) + 1) >> 8), 0, 0, mysql.Query}, sql...)
	}
	request := func(id, wait string) []byte {
		return query("/* class=look,id=00000000000000" + id + ",wait=" + wait + " */ SELECT a FROM t_7.x")
	}
	odd := query("SELECT 1")
	for _, c := range []struct {
		what, code string
		login      bool
		sends      []byte
	}{
		{"60 MB", "too_large", true, append([]byte{0xff, 0xff, 0xff, 0}, make([]byte, 1<<16)...)},
		{"noise for a login", "bad_login", false, []byte("\x05\x00\x00\x01noise")},
		{"an empty packet", "bad_packet", true, []byte{0, 0, 0, 0}},
		{"a wait above any", "closed", true, request("b0", "1000000")},
		{"two queries at once", "pipelined", true, append(request("b1", "5000"), request("b2", "5000")...)},
		{"errors without an end", "no_protocol", true, bytes.Repeat(odd, 20)},
		{"half a head", "idle", true, []byte{9, 0}},
		{"half a statement", "cut_short", true, odd[:9]},
		{"nothing after the login", "idle", true, nil},
		{"nothing", "idle", false, nil},
	} {
		b := s.dial()
		if b.readPacket(); c.login {
			b.login("app\x00\x00")
			b.readPacket()
		}
		s.tracef("client sends %s", c.what)
		_, _ = b.socket.Write(c.sends)
		if b.expectAnswer(); c.code == "closed" {
			b.socket.Close()
		}
		s.awaitLog("peer=" + b.socket.LocalAddr().String() + " code=" + c.code)
	}
	if len(e.received) > 0 {
		t.Error("the engine heard of it")
	}
	s.compareTrace("bad clients")
}

func TestOddCommandsReachNoEngine(t *testing.T) { // errors and codes; nothing of it reaches an engine
	e := newFakeEngine(t, "e1")
	s := startFixture(t, e)
	a := s.newClient()
	a.sendStatement("SELECT 1")
	a.expectAnswer()
	a.sendRequest("xx", "look", 5000)
	a.expectAnswer()
	a.sendRequest("aa", "other", 5000)
	a.expectAnswer()
	a.send(0, []byte{mysql.Ping})
	a.expectAnswer()
	a.send(0, append([]byte{mysql.InitDB}, "reports"...))
	a.expectAnswer()
	a.send(0, append([]byte{mysql.InitDB}, "mysql"...))
	a.expectAnswer()
	a.send(0, []byte{0x16})
	a.expectAnswer()
	a.send(0, []byte{mysql.Quit})
	a.expectAnswer()
	for _, login := range []string{"root\x00\x00", "app\x00\x01x", "app"} {
		b := s.dial()
		b.readPacket()
		b.login(login)
		b.expectAnswer()
		b.expectAnswer()
	}
	b := s.newClient()
	_, _ = b.socket.Write([]byte{0xff, 0xff, 0xff, 0})
	b.expectAnswer()
	b.expectAnswer()
	b = s.newClient()
	b.send(0, nil)
	b.expectAnswer()
	b = s.newClient()
	_, _ = b.socket.Write([]byte{9, 0})
	b.socket.Close()
	for _, code := range []string{"quit", "denied", "bad_login", "too_large", "bad_packet", "closed"} {
		s.awaitLog("code=" + code)
	}
	if len(e.received) > 0 {
		t.Error("the engine heard of it")
	}
	s.compareTrace("odd clients")
}
