package router

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/protocol/mysql"
)

// A request is held while no engine is available, and is rejected when holding it any longer is of no use.
func TestRequestWithoutAnEngineIsRejected(t *testing.T) {
	s := startFixture(t)
	a := s.newClient()
	a.sendIdempotentQuery("aa")
	s.awaitRequests(1)
	s.advanceClock(2 * admission.Second)
	a.expectAnswer()
	s.compareTrace("nacked")
}

// KILL QUERY ends a request without an answer and cancels its attempt at the engine. The session remains usable.
func TestKillQueryEndsTheRequest(t *testing.T) {
	e := newFakeEngine(t, "e1")
	s := startFixture(t, e)
	a, b := s.newClient(), s.newClient()
	a.sendIdempotentQuery("aa")
	conn := e.receive()
	b.sendStatement("KILL QUERY 0")
	b.expectAnswer()
	b.send(0, fmt.Appendf([]byte{mysql.Query}, "KILL QUERY %d", a.id))
	s.tracef("client kills the query of another session")
	b.expectAnswer()
	e.receive()
	e.receive()
	e.reply(conn, "00000000000000aa", "data", "pages=1,cost=120,need=64", "too\tlate\t.\n")
	a.sendIdempotentQuery("bb")
	conn = e.receive()
	e.reply(conn, "00000000000000bb", "data", "pages=1,cost=120,need=64", "in\ttime\t.\n")
	a.expectAnswer()
	s.compareTrace("killed")
}

// A KILL QUERY may arrive while the session reads its next query. The owner must not access the fields that the session writes
// then, as it once did. The race detector reports such an access.
func TestKillQueryBetweenTwoRequests(t *testing.T) {
	s := startFixture(t)
	a, b := s.newClient(), s.newClient()
	rejected := 0
	for i := range 50 {
		a.send(0, fmt.Appendf([]byte{mysql.Query}, "/* class=look,id=%016x,wait=1 */ SELECT a FROM t_7.x", i))
		b.send(0, fmt.Appendf([]byte{mysql.Query}, "KILL QUERY %d", a.id))
		b.readPacket()
		if p := a.readPacket(); p[0] == 0xff { // its wait of 1 ms is too short to hold it, so no KILL QUERY finds it outstanding
			rejected++
		}
	}
	s.tracef("%d of 50 nacked", rejected)
	s.compareTrace("killed between")
}

// A client that violates the protocol gets an error packet, or its connection is closed. The log has a code for the end of its
// session. Nothing is sent to the engine.
func TestProtocolViolationsEndTheSession(t *testing.T) {
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
	queryWithoutFields := query("SELECT 1")
	for _, violation := range []struct {
		what, code string
		login      bool
		sends      []byte
	}{
		{"60 MB", "too_large", true, append([]byte{0xff, 0xff, 0xff, 0}, make([]byte, 1<<16)...)},
		{"noise for a login", "bad_login", false, []byte("\x05\x00\x00\x01noise")},
		{"an empty packet", "bad_packet", true, []byte{0, 0, 0, 0}},
		{"a wait above any", "closed", true, request("b0", "1000000")},
		{"two queries at once", "pipelined", true, append(request("b1", "5000"), request("b2", "5000")...)},
		{"errors without an end", "no_protocol", true, bytes.Repeat(queryWithoutFields, 20)},
		{"half a head", "idle", true, []byte{9, 0}},
		{"half a statement", "cut_short", true, queryWithoutFields[:9]},
		{"nothing after the login", "idle", true, nil},
		{"nothing", "idle", false, nil},
	} {
		client := s.dial()
		if client.readPacket(); violation.login {
			client.login("app\x00\x00")
			client.readPacket()
		}
		s.tracef("client sends %s", violation.what)
		_, _ = client.socket.Write(violation.sends)
		if client.expectAnswer(); violation.code == "closed" {
			client.socket.Close()
		}
		s.awaitLog("peer=" + client.socket.LocalAddr().String() + " code=" + violation.code)
	}
	if len(e.received) > 0 {
		t.Error("the engine received a command")
	}
	s.compareTrace("bad clients")
}

// Invalid and unusual commands get errors, and the ends of their sessions get codes in the log. Nothing is sent to the engine.
func TestInvalidCommandsReachNoEngine(t *testing.T) {
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
		t.Error("the engine received a command")
	}
	s.compareTrace("odd clients")
}
