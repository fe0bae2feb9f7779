package fake

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"magpiebank/internal/protocol/resp"
)

// testClient sends single messages to an engine and reads its answers.
type testClient struct {
	t   *testing.T
	tcp net.Conn
	buf []byte
}

func connect(t *testing.T, e *Engine) *testClient {
	t.Helper()
	tcp, err := dial(t, e.Address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { tcp.Close() })
	return &testClient{t: t, tcp: tcp}
}

func dial(t *testing.T, address string) (net.Conn, error) {
	t.Helper()
	return new(net.Dialer).DialContext(t.Context(), "tcp", address)
}

func (c *testClient) send(words ...string) {
	c.t.Helper()
	if _, err := c.tcp.Write(resp.AppendArray(nil, words...)); err != nil {
		c.t.Fatal(err)
	}
}

// skipTo reads answers up to and including an expected one.
func (c *testClient) skipTo(answer string) {
	c.t.Helper()
	c.skipUntil(answer, func(got string) bool { return got == answer })
}

// skipToPrefix reads answers up to and including one that begins with a prefix.
func (c *testClient) skipToPrefix(prefix string) {
	c.t.Helper()
	c.skipUntil(prefix, func(got string) bool { return strings.HasPrefix(got, prefix) })
}

func (c *testClient) skipUntil(what string, matches func(string) bool) {
	c.t.Helper()
	for got := c.receive(receiveTimeout); !matches(got); got = c.receive(receiveTimeout) {
		if got == "end" || got == "nothing" {
			c.t.Fatalf("found %s before the answer %q", got, what)
		}
	}
}

// receive returns the next answer with its long elements shortened. Without an answer it returns "nothing" after the timeout, or "end"
// if the connection ended.
func (c *testClient) receive(timeout time.Duration) string {
	b := make([]byte, 4096)
	for {
		parts, n, err := resp.Parse(c.buf, nil)
		if err != nil {
			c.t.Fatal(err)
		}
		if n > 0 {
			var words []string
			for i, p := range parts {
				if i == 2 { // only the first field; the others hold varying times and loads
					p = []byte(strings.Split(string(p), ",")[0])
				}
				if len(p) > 40 {
					p = p[:40]
				}
				words = append(words, string(p))
			}
			c.buf = c.buf[n:]
			return strings.ReplaceAll(strings.Join(words, " "), "\n", "\\n")
		}
		c.tcp.SetReadDeadline(time.Now().Add(timeout))
		k, err := c.tcp.Read(b)
		var e net.Error
		if errors.As(err, &e) && e.Timeout() {
			return "nothing"
		} else if err != nil {
			return "end"
		}
		c.buf = append(c.buf, b[:k]...)
	}
}

func checkEqual(t *testing.T, what, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %q, want %q", what, got, want)
	}
}

const receiveTimeout = 5 * time.Second

func startTestEngine(t *testing.T, log *ExecutionLog) *Engine {
	t.Helper()
	e, err := StartEngine("e", "127.0.0.1:0", EngineBehavior{Threads: 1, MaxHeld: 2, Cores: 4, NoticeInterval: 50 * time.Millisecond, Works: []Work{
		{Contains: "slow", Service: ServiceTime{Mean: 10 * time.Minute}}, {Contains: "some", Service: ServiceTime{Mean: 120 * time.Millisecond}, Rows: 1},
		{Rows: 400}}}, log, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

// TestEngine checks how an engine handles requests, pauses and injected faults. All stages use the same engine, one after the other.
func TestEngine(t *testing.T) {
	log := NewExecutionLog()
	e := startTestEngine(t, log)
	c := connect(t, e)
	checkPages(t, c)
	checkQueue(t, c)
	checkPause(t, e, c, log)
	checkDuplicateID(t, e, c, log)
	checkFaults(t, e, c)
}

func checkPages(t *testing.T, c *testClient) {
	t.Helper()
	c.send("top", "t1")
	checkEqual(t, "top", c.receive(receiveTimeout), "t1 well gauges=inflight:0;util:0.000 ")
	c.send("do", "a1", "kind=look,ms=900,prio=1", "SELECT 1")
	checkEqual(t, "pages", c.receive(receiveTimeout), "a1 data pages=2 a1\t1/400\tacta\\na1\t2/400\tacta\\na1\t3/400\tact")
	c.send("page", "a1", "2")
	checkEqual(t, "answer for a page that does not exist", c.receive(receiveTimeout), "a1 failed - ")
	c.send("page", "a1", "1")
	if got := c.receive(receiveTimeout); !strings.HasPrefix(got, "a1 page page=1 a1\t") {
		t.Errorf("expected page 1 of a1, found %q", got)
	}
	c.send("page", "a1", "1")
	checkEqual(t, "answer for a page after all pages were sent", c.receive(receiveTimeout), "a1 failed - ")
}

func checkQueue(t *testing.T, c *testClient) {
	t.Helper()
	c.send("do", "a2", "kind=look", "some")
	checkEqual(t, "a progress notice", c.receive(receiveTimeout)[:17], "a2 news res=so_fa")
	c.skipTo("a2 data pages=1 a2\t1/1\tacta\\n")
	c.send("do", "a3", "kind=look", "slow")
	c.send("do", "a4", "kind=look", "quick")
	c.send("do", "a5", "kind=look", "quick")
	c.skipTo("a5 full - ") // a3 runs and a4 waits, which is MaxHeld
	c.send("undo", "a3")
	c.skipToPrefix("a4 data") // a4 runs on the thread of a3
	c.send("forget", "a4")
}

func checkPause(t *testing.T, e *Engine, c *testClient, log *ExecutionLog) {
	t.Helper()
	e.Pause()
	c.send("do", "a6", "kind=look", "some")
	checkEqual(t, "paused", c.receive(150*time.Millisecond), "nothing")
	if held, _ := e.InFlight(); held != 0 {
		t.Errorf("expected no request in flight during a pause, found %d", held)
	}
	e.Resume()
	c.skipToPrefix("a6 data")
	if record, ok := log.Find("a6"); !ok || record.AnsweredAt.Sub(record.ReceivedAt) < 250*time.Millisecond || record.Completions != 1 {
		t.Errorf("expected one completion and at least 250 ms for a request that arrived in a pause, found %+v", record)
	}
}

// checkDuplicateID checks that the log counts both starts of an id that is sent on two connections, so that tests can find a gateway
// that runs a request twice.
func checkDuplicateID(t *testing.T, e *Engine, c *testClient, log *ExecutionLog) {
	t.Helper()
	for _, client := range []*testClient{c, connect(t, e)} {
		client.send("do", "a9", "kind=load", "quick")
		client.skipToPrefix("a9 data")
	}
	if got, _ := log.Find("a9"); got.Starts != 2 {
		t.Errorf("expected two starts of a request that was sent twice, found %d", got.Starts)
	}
}

func checkFaults(t *testing.T, e *Engine, c *testClient) {
	t.Helper()
	e.FailQueries(1)
	c.send("do", "a7", "kind=look", "quick")
	checkEqual(t, "fails", c.receive(receiveTimeout), "a7 failed - ")
	e.FailQueries(0)
	e.StopAnswering()
	c.send("do", "a8", "kind=look", "quick")
	checkEqual(t, "silent", c.receive(100*time.Millisecond), "nothing")
	e.ResumeAnswering()
	e.ResetConnections()
	checkEqual(t, "reset", c.receive(receiveTimeout), "end")
	c = connect(t, e)
	c.send("ping", "p")
	checkEqual(t, "ping", c.receive(receiveTimeout), "p well gauges=inflight:0;util:0.000 ")
	e.RefuseConnections()
	checkEqual(t, "refuses", c.receive(receiveTimeout), "end")
	if _, err := dial(t, e.Address); err == nil {
		t.Error("expected an engine that refuses connections to accept none, but it accepted one")
	}
	if err := e.AcceptConnections(); err != nil {
		t.Fatal(err)
	}
	connect(t, e)
}

// TestDiscovery checks the answers to polls: without events, with a published event, cut off in the middle, and for invalid parameters.
func TestDiscovery(t *testing.T) {
	l, err := StartDiscovery("127.0.0.1:0", []Endpoint{{ID: "e-1", State: "Ready"}})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	poll := func(follow, wait int) string {
		url := fmt.Sprintf("http://%s/v2/stream?follow=%d&wait_ms=%d", l.Address, follow, wait)
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
		if err != nil {
			t.Fatal(err)
		}
		r, err := http.DefaultClient.Do(request)
		if err != nil {
			return "no answer"
		}
		defer func() { _ = r.Body.Close() }()
		b, err := io.ReadAll(r.Body)
		if err != nil {
			return "breaks off"
		}
		return string(b)
	}
	checkEqual(t, "nothing new", poll(1, 10), `{"index":1,"updates":[]}`)
	go func() {
		time.Sleep(20 * time.Millisecond)
		l.Publish(Endpoint{ID: "e-1", State: "Gone"})
	}()
	checkEqual(t, "an event", poll(1, 5000), `{"index":2,"updates":[{"index":2,"endpoints":{"version":2,"full":false,"servers":[`+
		`{"id":"e-1","addr":"","zone":"","kind":"","cell":0,"state":"Gone","weight":0,"started_ms":0}]}}]}`)
	l.TruncateAnswers()
	checkEqual(t, "broken", poll(0, 10), "breaks off")
	l.Recover()
	checkEqual(t, "amiss", poll(-1, 10), "follow and wait_ms: expected numbers from 0\n")
}
