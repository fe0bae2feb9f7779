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

// caller speaks to an engine by hand.
type caller struct {
	t   *testing.T
	tcp net.Conn
	buf []byte
}

func call(t *testing.T, e *Engine) *caller {
	t.Helper()
	tcp, err := dial(t, e.Address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { tcp.Close() })
	return &caller{t: t, tcp: tcp}
}

func dial(t *testing.T, address string) (net.Conn, error) {
	t.Helper()
	return new(net.Dialer).DialContext(t.Context(), "tcp", address)
}

func (c *caller) say(words ...string) {
	c.t.Helper()
	if _, err := c.tcp.Write(resp.AppendArray(nil, words...)); err != nil {
		c.t.Fatal(err)
	}
}

// skipTo reads answers up to an expected one.
func (c *caller) skipTo(answer string) {
	c.t.Helper()
	c.skipUntil(answer, func(got string) bool { return got == answer })
}

// skipToPrefix reads answers up to one that begins with a prefix.
func (c *caller) skipToPrefix(prefix string) {
	c.t.Helper()
	c.skipUntil(prefix, func(got string) bool { return strings.HasPrefix(got, prefix) })
}

func (c *caller) skipUntil(what string, fits func(string) bool) {
	c.t.Helper()
	for got := c.hear(long); !fits(got); got = c.hear(long) {
		if got == "end" || got == "nothing" {
			c.t.Fatalf("%s before %q", got, what)
		}
	}
}

// hear is the next answer, or why there is none within a time.
func (c *caller) hear(within time.Duration) string {
	b := make([]byte, 4096)
	for {
		parts, n, err := resp.Parse(c.buf, nil)
		if err != nil {
			c.t.Fatal(err)
		}
		if n > 0 {
			var words []string
			for i, p := range parts {
				if i == 2 { // figures of time and load
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
		c.tcp.SetReadDeadline(time.Now().Add(within))
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

func want(t *testing.T, what, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %q, want %q", what, got, want)
	}
}

const long = 5 * time.Second

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

// What an engine does with requests, and what it is told to do: the stages go by the same engine, one after the other.
func TestEngine(t *testing.T) {
	log := NewExecutionLog()
	e := startTestEngine(t, log)
	c := call(t, e)
	checkPages(t, c)
	checkQueue(t, c)
	checkPause(t, e, c, log)
	checkTwice(t, e, c, log)
	checkFaults(t, e, c)
}

func checkPages(t *testing.T, c *caller) {
	t.Helper()
	c.say("top", "t1")
	want(t, "top", c.hear(long), "t1 well gauges=inflight:0;util:0.000 ")
	c.say("do", "a1", "kind=look,ms=900,prio=1", "SELECT 1")
	want(t, "pages", c.hear(long), "a1 data pages=2 a1\t1/400\tacta\\na1\t2/400\tacta\\na1\t3/400\tact")
	c.say("page", "a1", "2")
	want(t, "a page that is not there", c.hear(long), "a1 failed - ")
	c.say("page", "a1", "1")
	if got := c.hear(long); !strings.HasPrefix(got, "a1 page page=1 a1\t") {
		t.Errorf("page: %q", got)
	}
	c.say("page", "a1", "1")
	want(t, "after all pages have left", c.hear(long), "a1 failed - ")
}

func checkQueue(t *testing.T, c *caller) {
	t.Helper()
	c.say("do", "a2", "kind=look", "some")
	want(t, "a note", c.hear(long)[:17], "a2 news res=so_fa")
	c.skipTo("a2 data pages=1 a2\t1/1\tacta\\n")
	c.say("do", "a3", "kind=look", "slow")
	c.say("do", "a4", "kind=look", "quick")
	c.say("do", "a5", "kind=look", "quick")
	c.skipTo("a5 full - ") // one runs, one waits
	c.say("undo", "a3")
	c.skipToPrefix("a4 data") // its thread is free
	c.say("forget", "a4")
}

func checkPause(t *testing.T, e *Engine, c *caller, log *ExecutionLog) {
	t.Helper()
	e.Pause()
	c.say("do", "a6", "kind=look", "some")
	want(t, "paused", c.hear(150*time.Millisecond), "nothing")
	if held, _ := e.InFlight(); held != 0 {
		t.Errorf("%d held while it stands still", held)
	}
	e.Resume()
	c.skipToPrefix("a6 data")
	if came, ok := log.Find("a6"); !ok || came.AnsweredAt.Sub(came.ReceivedAt) < 250*time.Millisecond || came.Completions != 1 {
		t.Errorf("the truth of what waited out a pause: %+v", came)
	}
}

// checkTwice sends one id on two connections, which a gateway must not do; the log tells.
func checkTwice(t *testing.T, e *Engine, c *caller, log *ExecutionLog) {
	t.Helper()
	for _, twice := range []*caller{c, call(t, e)} {
		twice.say("do", "a9", "kind=load", "quick")
		twice.skipToPrefix("a9 data")
	}
	if got, _ := log.Find("a9"); got.Starts != 2 {
		t.Errorf("began %d times, sent twice", got.Starts)
	}
}

func checkFaults(t *testing.T, e *Engine, c *caller) {
	t.Helper()
	e.FailQueries(1)
	c.say("do", "a7", "kind=look", "quick")
	want(t, "fails", c.hear(long), "a7 failed - ")
	e.FailQueries(0)
	e.StopAnswering()
	c.say("do", "a8", "kind=look", "quick")
	want(t, "silent", c.hear(100*time.Millisecond), "nothing")
	e.ResumeAnswering()
	e.ResetConnections()
	want(t, "reset", c.hear(long), "end")
	c = call(t, e)
	c.say("ping", "p")
	want(t, "ping", c.hear(long), "p well gauges=inflight:0;util:0.000 ")
	e.RefuseConnections()
	want(t, "refuses", c.hear(long), "end")
	if _, err := dial(t, e.Address); err == nil {
		t.Error("a connection came up to an engine that refuses them")
	}
	if err := e.AcceptConnections(); err != nil {
		t.Fatal(err)
	}
	call(t, e)
}

// Polls of the list: what was told, an empty one, an answer that breaks off.
func TestList(t *testing.T) {
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
	want(t, "nothing new", poll(1, 10), `{"index":1,"updates":[]}`)
	go func() {
		time.Sleep(20 * time.Millisecond)
		l.Publish(Endpoint{ID: "e-1", State: "Gone"})
	}()
	want(t, "an event", poll(1, 5000), `{"index":2,"updates":[{"index":2,"endpoints":{"version":2,"full":false,"servers":[`+
		`{"id":"e-1","addr":"","zone":"","kind":"","cell":0,"state":"Gone","weight":0,"started_ms":0}]}}]}`)
	l.TruncateAnswers()
	want(t, "broken", poll(0, 10), "breaks off")
	l.Recover()
	want(t, "amiss", poll(-1, 10), "follow and wait_ms: expected numbers from 0\n")
}
