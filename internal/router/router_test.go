package router

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math/rand"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/deployment"
	"magpiebank/internal/mysql"
	"magpiebank/internal/resp"
)

var keep = flag.Bool("keep", false, "keep the traces as they come out now")

// handClock stands still until a script moves it.
type handClock struct {
	mu     sync.Mutex
	now    admission.Time
	timers map[*handTimer]bool
}

type handTimer struct {
	at admission.Time
	f  func()
}

func (c *handClock) Now() admission.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *handClock) After(d admission.Time, f func()) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &handTimer{c.now + max(0, d), f}
	c.timers[t] = true
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.timers, t)
	}
}

// next takes out the earliest timer up to a time and moves the clock to it.
func (c *handClock) next(until admission.Time) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	var first *handTimer
	for t := range c.timers {
		if t.at <= until && (first == nil || t.at < first.at) {
			first = t
		}
	}
	if first == nil {
		c.now = until
		return nil
	}
	delete(c.timers, first)
	c.now = max(c.now, first.at)
	return first.f
}

// stage is a router on loopback between clients, engines and an engine list that a script plays.
type stage struct {
	t      *testing.T
	clock  *handClock
	o      *owner
	stop   chan struct{}
	ended  chan struct{}
	out    strings.Builder
	log    lockedBuffer
	addr   string
	list   chan string // events to come
	polls  chan string // polls that came
	held   int
	things []io.Closer

	start   *deployment.Start
	renewed chan *deployment.Start
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

const settings = `{"fleetSize":1,"zones":["hall"],"skus":["std"],
 "classes":[{"name":"look","sloUs":1000000,"worth":1,"effect":"read_like"},
  {"name":"load","sloUs":4000000,"lateWorth":0.5,"worth":10,"effect":"non_idempotent"}],
 "familyInfo":{"dop":[1,2],"kindCores":[8],"saysCost":true,"grants":true,"whenShort":"swap"},
 "limits":{"cancel":true,"maxAttempts":4,"multiplex":2,"keepaliveUs":30000000,"connectTimeoutUs":250000,
  "retryAfter":true,"maxRetryAfterUs":2000000},"rules":{}}`

// play starts a router that knows the given engines.
func play(t *testing.T, engines ...*standEngine) *stage { return playSettings(t, settings, engines...) }

func playSettings(t *testing.T, settings string, engines ...*standEngine) *stage {
	s := &stage{t: t, clock: &handClock{now: 17e12, timers: map[*handTimer]bool{}}, stop: make(chan struct{}),
		ended: make(chan struct{}), list: make(chan string, 8), polls: make(chan string, 8), held: 1,
		renewed: make(chan *deployment.Start)}
	var servers []string
	for _, e := range engines {
		e.s = s
		servers = append(servers, entry(e, "Ready"))
	}
	path := filepath.Join(t.TempDir(), "configuration.json")
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":{"memory_mb":192},
	 "coordinator":%q,"known":{"index":1,"updates":[%s]},"settings":%s}`, s.engineList(), event(1, true, servers), settings)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	start, err := deployment.ReadStart(path)
	if err != nil {
		t.Fatal(err)
	}
	s.start = start
	listener := s.listen()
	s.addr = listener.Addr().String()
	s.o = newOwner(start, s.clock, slog.New(slog.NewTextHandler(&s.log, nil)))
	go func() {
		s.o.serve(start, listener, s.stop, s.renewed)
		close(s.ended)
	}()
	return s
}

func (s *stage) listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.things = append(s.things, l)
	return l
}

func entry(e *standEngine, state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"hall","kind":"std","cell":0,"state":%q,"started_ms":0}`,
		e.name, e.l.Addr(), state)
}

func event(index int, full bool, servers []string) string {
	return fmt.Sprintf(`{"index":%d,"endpoints":{"full":%v,"servers":[%s]}}`, index, full, strings.Join(servers, ","))
}

// engineList answers polls with the events that the script tells, or with none before they are given up.
func (s *stage) engineList() string {
	l := s.listen()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					line, err := r.ReadString('\n')
					if err != nil {
						return
					}
					if !strings.HasPrefix(line, "GET ") {
						continue
					}
					s.polls <- line
					body := `{"index":1,"updates":[]}`
					select {
					case body = <-s.list:
					case <-time.After(200 * time.Millisecond):
					}
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
				}
			}()
		}
	}()
	go func() { // polls that nobody waits for
		for range s.polls {
		}
	}()
	return l.Addr().String()
}

// told lets the engine list tell an event, and waits until the router has it.
func (s *stage) told(e *standEngine, state string) {
	e.s = s
	s.held++
	s.say("the list tells: %s is %s", e.name, state)
	s.list <- fmt.Sprintf(`{"index":%d,"updates":[%s]}`, s.held, event(s.held, false, []string{entry(e, state)}))
	for line := range s.polls {
		if strings.Contains(line, fmt.Sprintf("follow=%d&", s.held)) {
			break
		}
	}
	s.sync()
}

func (s *stage) say(format string, args ...any) {
	what := strings.ReplaceAll(fmt.Sprintf(format, args...), "\n", "\\n")
	fmt.Fprintf(&s.out, "%8.1f ms  %s\n", float64(s.clock.Now()-17e12)/10, what)
}

// sync waits until the owner has done what is queued.
func (s *stage) sync() {
	done := make(chan struct{})
	s.o.tell(func(admission.Time) { close(done) })
	<-done
}

// pass moves the clock on.
func (s *stage) pass(d admission.Time) {
	until := s.clock.Now() + d
	for {
		s.sync()
		f := s.clock.next(until)
		if f == nil {
			break
		}
		f()
	}
	s.sync()
}

func (s *stage) close() {
	if s.o != nil {
		s.leave()
	}
	for _, c := range s.things {
		c.Close()
	}
}

// nobody listens as long as the tests run and never answers.
var nobody = sync.OnceValues(func() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") })

// leave has the router leave its engine list and stop with nothing in hand: else it would dial addresses that the next test's
// peers get.
func (s *stage) leave() {
	l, err := nobody()
	if err != nil {
		s.t.Fatal(err)
	}
	next := *s.start
	next.EngineList, next.Known = l.Addr().String(), nil
	select {
	case s.renewed <- &next:
	case <-s.ended:
		return
	}
	s.o.tell(func(now admission.Time) {
		for _, t := range s.o.tasks {
			s.o.left(now, t)
		}
	})
	select {
	case <-s.stop: // by the test
	default:
		close(s.stop)
	}
}

// end compares the trace with the kept one.
func (s *stage) end(name string) {
	s.t.Helper()
	s.close()
	path := "testdata/" + name + ".txt"
	if *keep {
		os.MkdirAll("testdata", 0o755)
		os.WriteFile(path, []byte(s.out.String()), 0o644)
	}
	if want, err := os.ReadFile(path); err != nil || s.out.String() != string(want) {
		s.t.Errorf("got:\n%s\nkept:\n%s\n%v\nlog:\n%s", s.out.String(), want, err, s.log.String())
	}
}

// standEngine is an engine that shows the script what it is sent; it answers probes by itself.
type standEngine struct {
	s     *stage
	name  string
	l     net.Listener
	heard chan heard
}

type heard struct {
	c     net.Conn
	parts []string
}

func newEngineStand(t *testing.T, name string) *standEngine {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	e := &standEngine{name: name, l: l, heard: make(chan heard, 16)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.read(c)
		}
	}()
	return e
}

func (e *standEngine) read(c net.Conn) {
	var buffer []byte
	b := make([]byte, 4096)
	for {
		parts, n, err := resp.Parse(buffer, nil)
		if err != nil {
			panic(err)
		}
		if n == 0 {
			k, err := c.Read(b)
			if err != nil {
				return
			}
			buffer = append(buffer, b[:k]...)
			continue
		}
		words := make([]string, len(parts))
		for i := range parts {
			words[i] = string(parts[i])
		}
		buffer = buffer[n:]
		if words[0] == "top" {
			c.Write(resp.Array(nil, words[1], "well", "gauges=util:0.2", ""))
			continue
		}
		e.heard <- heard{c, words}
	}
}

// hears waits for what the router sends next and returns the connection that brought it.
func (e *standEngine) hears() net.Conn {
	h := <-e.heard
	e.s.say("%s hears: %s", e.name, strings.Join(h.parts, " | "))
	return h.c
}

func (e *standEngine) says(c net.Conn, parts ...string) {
	e.s.say("%s says: %s", e.name, strings.Join(parts, " | "))
	c.Write(resp.Array(nil, parts...))
}

// client speaks the client's side, and logs in before it reads the greeting.
type client struct {
	s  *stage
	c  net.Conn
	r  *bufio.Reader
	id uint32
}

func (s *stage) client() *client {
	c := s.dial()
	c.login("app\x00\x00")
	greeting := c.packet()
	rest := greeting[bytes.IndexByte(greeting, 0)+1:]
	c.id = uint32(rest[0]) | uint32(rest[1])<<8 | uint32(rest[2])<<16 | uint32(rest[3])<<24
	if ok := c.packet(); ok[0] != 0 {
		s.t.Fatalf("login: %q", ok)
	}
	return c
}

// login sends a login of the protocol 4.1 with what stands behind its fixed part.
func (c *client) login(rest string) {
	c.send(1, append(append([]byte{0, 0x82, 0, 0}, make([]byte, 28)...), rest...))
}

func (s *stage) dial() *client {
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.things = append(s.things, c)
	return &client{s: s, c: c, r: bufio.NewReader(c)}
}

func (c *client) send(number byte, payload []byte) {
	c.c.Write(append([]byte{byte(len(payload)), byte(len(payload) >> 8), 0, number}, payload...))
}

func (c *client) packet() []byte {
	head := make([]byte, mysql.HeadSize)
	if _, err := io.ReadFull(c.r, head); err != nil {
		return []byte("end of connection")
	}
	length, _ := mysql.Head(head)
	payload := make([]byte, length)
	io.ReadFull(c.r, payload)
	return payload
}

func (c *client) asks(sql string) {
	c.s.say("client asks: %s", sql)
	c.send(0, append([]byte{mysql.Query}, sql...))
}

// look and load ask for a task that may run again and for one that may not.
func (c *client) look(id string) { c.task(id, "look", 5000) }
func (c *client) load(id string) { c.task(id, "load", 20000) }

func (c *client) task(id, lane string, wait int) {
	c.asks(fmt.Sprintf("/* class=%s,id=00000000000000%s,wait=%d */ SELECT a FROM t_7.x", lane, id, wait))
}

// gets waits for one answer.
func (c *client) gets() {
	switch p := c.packet(); {
	case p[0] == 0xff:
		c.s.say("client gets: error %d %s", int(p[1])|int(p[2])<<8, p[3:])
	case p[0] == 0:
		c.s.say("client gets: OK")
	case p[0] == 3 && len(p) == 1:
		for range 4 {
			c.packet()
		}
		var rows []string
		for p = c.packet(); p[0] != 0xfe; p = c.packet() {
			rows = append(rows, fmt.Sprintf("%q", p))
		}
		c.s.say("client gets: rows %s", strings.Join(rows, " "))
	default:
		c.s.say("client gets: %s", p)
	}
}

func TestPages(t *testing.T) { // gathered in order, whatever order they come in; one connection carries two tasks
	e := newEngineStand(t, "e1")
	s := play(t, e)
	s.o.tell(func(admission.Time) { s.o.engineRoom = 0 }) // so that attempts share connections
	a, b, c := s.client(), s.client(), s.client()
	a.look("aa")
	k := e.hears()
	b.look("bb")
	if e.hears() != k {
		t.Error("the second hand-off came on another connection")
	}
	c.look("cc")
	if e.hears() == k {
		t.Error("the third hand-off came on the same connection")
	}
	e.says(k, "00000000000000aa", "data", "pages=3,cost=120,need=64", "a\tb\tc\n")
	e.hears()
	e.hears()
	e.says(k, "00000000000000aa", "page", "page=2", "g\th\ti\n")
	e.says(k, "00000000000000bb", "data", "pages=1,cost=100,need=64", "")
	b.gets()
	e.says(k, "00000000000000aa", "page", "page=1", "d\te\tf\n")
	a.gets()
	a.look("dd") // the session goes on
	e.hears()
	e.says(k, "00000000000000dd", "full", "-", "")
	e.hears()
	s.end("pages")
}

func TestLostPages(t *testing.T) { // nothing was passed on yet, so the module decides: here it hands off again
	e := newEngineStand(t, "e1")
	s := play(t, e)
	a := s.client()
	a.look("aa")
	k := e.hears()
	e.says(k, "00000000000000aa", "data", "pages=2,cost=120,need=64", "a\tb\tc\n")
	e.hears()
	e.says(k, "00000000000000aa", "failed", "-", "")
	k = e.hears()
	e.says(k, "00000000000000aa", "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
	a.gets()
	s.end("lost pages")
}

func TestNacked(t *testing.T) { // no engine, so it is held while that is of use
	s := play(t)
	a := s.client()
	a.look("aa")
	s.wait(1)
	s.pass(2 * admission.Second)
	a.gets()
	s.end("nacked")
}

// wait waits until the router has taken n tasks.
func (s *stage) wait(n int) {
	for got := -1; got != n; {
		answer := make(chan int)
		s.o.tell(func(admission.Time) { answer <- len(s.o.tasks) })
		got = <-answer
	}
}

// logged waits until the log holds a text.
func (s *stage) logged(text string) {
	for !strings.Contains(s.log.String(), text) {
		time.Sleep(time.Millisecond)
	}
}

func TestReset(t *testing.T) { // the one may run again, of the other nothing is known
	e, f := newEngineStand(t, "e1"), newEngineStand(t, "e2")
	s := play(t, e, f)
	s.told(f, "Terminating")
	a, b := s.client(), s.client()
	a.look("aa")
	k := e.hears()
	s.told(e, "Terminating")
	s.told(f, "Ready")
	k.Close()
	k = f.hears()
	f.says(k, "00000000000000aa", "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
	a.gets()
	b.load("bb")
	f.hears().Close()
	b.gets()
	s.end("reset")
}

func TestRefused(t *testing.T) { // proof that nothing ran: even a task that must not run twice goes elsewhere
	e, f := newEngineStand(t, "e2"), newEngineStand(t, "e1")
	e.l.Close()
	s := play(t)
	f.s = s
	a := s.client()
	a.load("aa")
	s.wait(1)
	s.list <- fmt.Sprintf(`{"index":2,"updates":[%s]}`, event(2, false, []string{entry(f, "Ready"), entry(e, "Ready")}))
	k := f.hears()
	f.says(k, "00000000000000aa", "data", "pages=1,cost=120,need=64", "")
	a.gets()
	s.say("connections refused: %d", strings.Count(s.log.String(), "code=refused"))
	s.end("refused")
}

func TestKilled(t *testing.T) { // nothing is owed then, the engine is told, and the session can go on
	e := newEngineStand(t, "e1")
	s := play(t, e)
	a, b := s.client(), s.client()
	a.look("aa")
	k := e.hears()
	b.asks("KILL QUERY 0")
	b.gets()
	b.send(0, fmt.Appendf([]byte{mysql.Query}, "KILL QUERY %d", a.id))
	s.say("client kills the query of another session")
	b.gets()
	e.hears()
	e.hears()
	e.says(k, "00000000000000aa", "data", "pages=1,cost=120,need=64", "too\tlate\t.\n")
	a.look("bb")
	k = e.hears()
	e.says(k, "00000000000000bb", "data", "pages=1,cost=120,need=64", "in\ttime\t.\n")
	a.gets()
	s.end("killed")
}

// The owner looked at what a session writes as it reads its next query, which the race detector tells.
func TestKilledBetween(t *testing.T) {
	s := play(t)
	a, b := s.client(), s.client()
	nacked := 0
	for i := range 50 {
		a.send(0, fmt.Appendf([]byte{mysql.Query}, "/* class=look,id=%016x,wait=1 */ SELECT a FROM t_7.x", i))
		b.send(0, fmt.Appendf([]byte{mysql.Query}, "KILL QUERY %d", a.id))
		b.packet()
		if p := a.packet(); p[0] == 0xff { // its time is too short to hold it, so no KILL finds it in hand
			nacked++
		}
	}
	s.say("%d of 50 nacked", nacked)
	s.end("killed between")
}

func TestSilent(t *testing.T) { // a time-out, an answer after it, and another task on the same session
	e := newEngineStand(t, "e1")
	s := play(t, e)
	a := s.client()
	a.load("aa")
	k := e.hears()
	s.pass(12100 * admission.Millisecond)
	e.hears()
	e.hears()
	s.pass(150 * admission.Millisecond)
	a.gets()
	e.says(k, "00000000000000aa", "data", "pages=1,cost=120,need=64", "too\tlate\t.\n")
	a.look("bb")
	k = e.hears()
	e.says(k, "00000000000000bb", "data", "pages=1,cost=120,need=64", "in\ttime\t.\n")
	a.gets()
	s.end("silent")
}

func TestOddPages(t *testing.T) { // what nobody asked for is passed over, and the client gets no part of it
	e := newEngineStand(t, "e1")
	s := play(t, e)
	a := s.client()
	a.load("bb")
	k := e.hears()
	e.says(k, "00000000000000ff", "data", "pages=1", "of\tnobody\t.\n")
	e.says(k, "00000000000000bb", "page", "page=0", "too\tearly\t.\n")
	e.says(k, "00000000000000bb", "data", "pages=2,cost=5,need=-0", "a\tb\tc\n")
	e.hears()
	e.says(k, "00000000000000bb", "page", "page=2", "too\tmany\t.\n")
	e.says(k, "00000000000000bb", "data", "pages=1", "once\tmore\t.\n")
	e.says(k, "00000000000000bb", "page", "page=1", "d\te\tf\n")
	e.says(k, "00000000000000bb", "page", "page=1", "once\tmore\t.\n")
	a.gets()
	e.says(k, "00000000000000bb", "full", "-", "")
	a.look("cc")
	e.says(e.hears(), "00000000000000cc", "data", "pages=1", "a\tb\tc\n")
	a.gets()
	s.end("odd pages")
}

func TestGaugesOfNobody(t *testing.T) { // where answers hold reports, one for no task is passed over like its rows
	e := newEngineStand(t, "e1")
	s := play(t, e)
	s.o.tell(func(admission.Time) { s.o.network.AnswersTell = true })
	a := s.client()
	a.look("aa")
	k := e.hears()
	e.says(k, "00000000000000ff", "failed", "gauges=inflight:3", "")
	e.says(k, "00000000000000aa", "data", "pages=1,cost=5,need=1,gauges=inflight:2", "a\tb\tc\n")
	a.gets()
	s.end("gauges of nobody")
}

// A spoilt or missing answer ends its connection, with a code; it says little of the engine, and a task that may run
// again goes out once more while one that may not is written off. Other tasks have connections of their own.
func TestSpoilt(t *testing.T) {
	const id = "00000000000000aa"
	var out strings.Builder
	whole := string(resp.Array(nil, id, "data", "pages=1,cost=120,need=64", "a\tb\tc\n"))
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
		{"a page too long", string(resp.Array(nil, id, "data", "pages=1", strings.Repeat("a\tb\tc\n", 1001))), "bad_answer"},
		{"half an answer and no more", whole[:40], "cut_short"},
		{"half an answer and the end", whole[:40], "closed"},
		{"nothing at all", "", "mute"},
	} {
		e := newEngineStand(t, "e1")
		s := play(t, e)
		s.o.tell(func(admission.Time) { s.o.site.Pace = 50 * admission.Millisecond })
		a := s.client()
		a.look("aa")
		k := e.hears()
		io.WriteString(k, c.answer)
		if c.code == "closed" {
			k.Close()
		}
		s.logged("code=" + c.code)
		e.says(e.hears(), id, "data", "pages=1,cost=120,need=64", "d\te\tf\n")
		a.gets()
		out.WriteString("after " + c.what + ", code " + c.code + "\n" + s.out.String())
		s.close()
	}
	s := &stage{t: t}
	s.out.WriteString(out.String())
	s.end("spoilt")
}

func TestGoneWithoutASign(t *testing.T) { // after an undo that was never heard of, a new connection is tried
	e := newEngineStand(t, "e1")
	s := play(t, e)
	a := s.client()
	a.look("aa")
	k := e.hears()
	s.pass(1100 * admission.Millisecond)
	e.hears()
	e.hears()
	s.pass(250 * admission.Millisecond)
	a.gets()
	time.Sleep(s.o.network.ConnectWithin + time.Millisecond)
	a.look("bb")
	if e.hears() == k {
		t.Error("the next hand-off came on the silent connection")
	}
	s.end("gone without a sign")
}

// Where the next do overtook the undo on another connection, the engines held two copies of a task.
func TestCalledOff(t *testing.T) {
	e, f := newEngineStand(t, "e1"), newEngineStand(t, "e2")
	s := play(t, e)
	a := s.client()
	a.look("aa")
	k := e.hears()
	s.told(f, "Ready")
	s.pass(100 * admission.Millisecond)
	e.says(k, "00000000000000aa", "news", "res=so_far,v=0.01", "")
	e.hears()
	e.hears()
	s.pass(10 * admission.Millisecond)
	if len(f.heard) > 0 {
		t.Error("a second copy went out before the first was known to be given up")
	}
	s.told(e, "Terminating")
	e.says(k, "00000000000000aa", "failed", "-", "")
	k = f.hears()
	f.says(k, "00000000000000aa", "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
	a.gets()
	s.end("called off")
}

// The list breaks off, is spoilt, brings more than was asked for, or goes away for good: what it told before counts,
// and the rest is asked for again under the last number, on a new connection.
func TestListAmiss(t *testing.T) {
	e := newEngineStand(t, "e1")
	s := play(t)
	e.s = s
	l := s.listen()
	next := *s.start
	next.EngineList = l.Addr().String()
	s.renewed <- &next
	ready := fmt.Sprintf(`{"index":2,"updates":[%s]}`, event(2, false, []string{entry(e, "Ready")}))
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(ready), ready)
	for _, c := range []struct{ what, answer string }{
		{"breaks off", whole[:len(whole)-30]},
		{"is spoilt", strings.Replace(whole, `"id":`, `"\x00d":`, 1)},
		{"lacks an id", strings.Replace(whole, `"id"`, `"ID"`, 1)},
		{"has an odd state", strings.Replace(whole, `Ready`, `Reedy`, 1)},
		{"leaves an event out", "HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\n" + `{"index":2,"updates":[]}`},
		{"claims too much", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n{"},
		{"has no end of its head", "HTTP/1.1 200 OK\r\n" + strings.Repeat("x", 9000)},
		{"comes twice", whole + whole},
	} {
		k, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		line, _ := bufio.NewReader(k).ReadString('\n')
		s.say("polled: %.26s, the answer %s", line, c.what)
		io.WriteString(k, c.answer)
		if c.what == "breaks off" {
			k.Close()
		}
	}
	k, _ := l.Accept()
	line, _ := bufio.NewReader(k).ReadString('\n')
	s.say("polled: %.26s", line)
	a := s.client()
	a.look("aa")
	e.says(e.hears(), "00000000000000aa", "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
	a.gets()
	s.end("list amiss")
}

func TestDrain(t *testing.T) { // nothing new goes there, and what is out is still delivered
	e := newEngineStand(t, "e1")
	s := play(t, e)
	a, b := s.client(), s.client()
	a.look("aa")
	k := e.hears()
	s.told(e, "Terminating")
	b.look("bb")
	s.wait(2)
	s.pass(900 * admission.Millisecond)
	b.gets()
	e.says(k, "00000000000000aa", "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
	a.gets()
	s.end("drain")
}

func TestStop(t *testing.T) { // new tasks are still taken for a while, and all are answered before the end
	e := newEngineStand(t, "e1")
	s := play(t, e)
	a, b := s.client(), s.client()
	a.look("aa")
	k := e.hears()
	close(s.stop)
	b.look("bb")
	e.says(e.hears(), "00000000000000bb", "data", "pages=1,cost=120,need=64", "d\te\tf\n")
	b.gets()
	select {
	case <-s.ended:
		t.Error("it ended with a task open")
	case <-time.After(lastRequests + 100*time.Millisecond):
	}
	e.says(k, "00000000000000aa", "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
	a.gets()
	<-s.ended
	for _, side := range []string{"client", "engine", `"engine list"`} {
		s.say("the router ended, %d lines of side %s", strings.Count(s.log.String(), "side="+side+" "), side)
	}
	if strings.Count(s.log.String(), "code=stopped") < 4 {
		t.Errorf("log:\n%s", s.log.String())
	}
	s.end("stop")
}

// Who speaks no protocol gets an error or a close, with a code, and no engine hears of it.
func TestBadClients(t *testing.T) {
	e := newEngineStand(t, "e1")
	s := play(t, e)
	s.o.tell(func(admission.Time) { s.o.network.Longest = []time.Duration{5 * time.Second, 20 * time.Second} })
	query := func(sql string) []byte {
		return append([]byte{byte(len(sql) + 1), byte((len(sql) + 1) >> 8), 0, 0, mysql.Query}, sql...)
	}
	task := func(id, wait string) []byte {
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
		{"a wait above any", "closed", true, task("b0", "1000000")},
		{"two queries at once", "pipelined", true, append(task("b1", "5000"), task("b2", "5000")...)},
		{"errors without an end", "no_protocol", true, bytes.Repeat(odd, 20)},
		{"half a head", "idle", true, []byte{9, 0}},
		{"half a statement", "cut_short", true, odd[:9]},
		{"nothing after the login", "idle", true, nil},
		{"nothing", "idle", false, nil},
	} {
		b := s.dial()
		if b.packet(); c.login {
			b.login("app\x00\x00")
			b.packet()
		}
		s.say("client sends %s", c.what)
		b.c.Write(c.sends)
		if b.gets(); c.code == "closed" {
			b.c.Close()
		}
		s.logged("peer=" + b.c.LocalAddr().String() + " code=" + c.code)
	}
	if len(e.heard) > 0 {
		t.Error("the engine heard of it")
	}
	s.end("bad clients")
}

// Beyond the descriptors for clients a newcomer takes the place of one without a query, strangers first.
func TestDoor(t *testing.T) {
	e := newEngineStand(t, "e1")
	s := play(t, e)
	s.o.clients.mu.Lock()
	s.o.clients.room = 2
	s.o.clients.mu.Unlock()
	// The session is in its place some time after its client has heard.
	until := func(there func(d *connectionLimiter) bool) {
		for ok := false; !ok; time.Sleep(time.Millisecond) {
			s.o.clients.mu.Lock()
			ok = there(&s.o.clients)
			s.o.clients.mu.Unlock()
		}
	}
	stranger := s.dial()
	until(func(d *connectionLimiter) bool { return d.in == 1 })
	a := s.client()
	a.look("aa")
	k := e.hears()
	b := s.client()
	stranger.packet()
	s.say("the stranger has the %s", stranger.packet())
	b.look("bb")
	m := e.hears()
	s.say("a third client has error %d", int(s.dial().packet()[1])|4<<8)
	e.says(k, "00000000000000aa", "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
	a.gets()
	until(func(d *connectionLimiter) bool { return d.known.Len() == 1 })
	c := s.client()
	s.say("the first client has the %s", a.packet())
	e.says(m, "00000000000000bb", "data", "pages=1,cost=120,need=64", "d\te\tf\n")
	b.gets()
	c.send(0, []byte{mysql.Ping})
	c.gets()
	s.end("door")
}

// In a burst, or while this process stands still, newcomers have spoken and are not read yet: the silent go first.
func TestBurst(t *testing.T) {
	s := &stage{t: t}
	l := s.listen()
	d := connectionLimiter{room: 3}
	var in []*session
	for n, says := range []string{"hello", "", "", "hello", "hello", "hello"} {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		s.things = append(s.things, c)
		tcp, _ := l.Accept()
		if io.WriteString(c, says); says != "" {
			for !speaks(tcp) {
				time.Sleep(time.Millisecond)
			}
		}
		in = append(in, &session{tcp: tcp, connection: uint32(n)})
		before := displacedOf(in)
		result := d.enter(in[n])
		after := slices.DeleteFunc(displacedOf(in), func(s *session) bool { return slices.Contains(before, s) })
		if len(after) == 0 {
			fmt.Fprintf(&s.out, "client %d is let in: %v\n", n, result == entered)
		}
		for _, displaced := range after {
			fmt.Fprintf(&s.out, "client %d takes the place of client %d\n", n, displaced.connection)
		}
	}
	s.end("burst")
}

// displacedOf finds the sessions that lost their places.
func displacedOf(all []*session) (displaced []*session) {
	for _, s := range all {
		if s.displaced {
			displaced = append(displaced, s)
		}
	}
	return displaced
}

// No order of events brings the owner down, and nothing is kept of what is over.
func TestAnyOrder(t *testing.T) {
	s := play(t)
	done := make(chan struct{})
	s.o.tell(func(now admission.Time) {
		defer close(done)
		o, rng := s.o, rand.New(rand.NewSource(1))
		var out []*attempt
		for n := range 20000 {
			name := admission.EngineID(fmt.Sprint("e", rng.Intn(5)))
			switch rng.Intn(8) {
			case 0, 1:
				l := []admission.Listing{{Engine: name, State: admission.State(rng.Intn(3))},
					{Engine: name, State: admission.State(rng.Intn(3))}}
				o.listed(now, admission.Form(rng.Intn(3)), l, []string{"127.0.0.1:1", "127.0.0.1:2"})
			case 2, 3:
				c := uint32(rng.Intn(20))
				if o.sessions[c] == nil || o.sessions[c].taken == nil {
					k := &session{o: o, connection: c, mail: newMailbox()}
					o.sessions[c] = k
					k.taken = &task{id: admission.TaskID(fmt.Sprint(rng.Intn(30))), by: k, lane: rng.Intn(2), cutoff: now + admission.Second}
					o.arrived(now, k.taken)
				}
			case 4:
				o.killed(now, uint32(rng.Intn(25)))
			case 5, 6:
				if len(out) > 0 {
					o.ended(now, out[rng.Intn(len(out))], admission.Outcome(rng.Intn(9)))
				}
			default:
				o.module.Probed(now, name, admission.Outcome(rng.Intn(9)), admission.NoReport)
				now += admission.Time(rng.Intn(50))
			}
			if n%1000 == 0 { // each goes on by itself
				o.module.Due(now)
			}
			for _, c := range o.sessions {
				if c.taken == nil {
					continue
				}
				if h := c.taken.out; h != nil && !slices.Contains(out, h) {
					h.state.Store([]int32{fresh, written}[n%2])
					out = append(out, h)
				}
			}
			out = slices.DeleteFunc(out, func(h *attempt) bool { return h.over && h.doubt == admission.Delivered })
			copies := map[admission.TaskID]int{}
			for _, h := range out {
				if copies[h.task]++; copies[h.task] == 2 {
					t.Errorf("event %d: two hand-offs of task %s are out", n, h.task)
				}
			}
		}
	})
	<-done
	s.pass(20 * admission.Second)
	s.o.tell(func(admission.Time) { s.say("%d tasks in hand", len(s.o.tasks)) })
	s.sync()
	s.end("any order")
}

// A connection that breaks at the request after a rest was dropped by then: later ones rest for half as long at most,
// and the engine is not held at fault.
func TestStale(t *testing.T) {
	e := newEngineStand(t, "e1")
	s := play(t, e)
	a := s.client()
	ask := func(id string) net.Conn {
		a.look(id)
		return e.hears()
	}
	answer := func(k net.Conn, id string) {
		e.says(k, "00000000000000"+id, "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
		a.gets()
	}
	k := ask("aa")
	answer(k, "aa")
	time.Sleep(100 * time.Millisecond)
	if ask("bb") != k {
		t.Error("an idle connection was not used again")
	}
	k.(*net.TCPConn).SetLinger(0)
	k.Close()
	k = e.hears()
	answer(k, "bb")
	fresh := make(chan time.Duration)
	s.o.tell(func(admission.Time) {
		engine := s.o.engines["e1"].(*engine)
		engine.mu.Lock()
		defer engine.mu.Unlock()
		fresh <- engine.fresh()
	})
	d := <-fresh
	if d >= s.o.idleAfter() {
		t.Errorf("rests of %v", d)
	}
	time.Sleep(d)
	m := ask("cc")
	if m == k {
		t.Error("a connection was used again after the rest that broke one")
	}
	answer(m, "cc")
	s.end("stale")
}

// A long day: engines with new ids and clients that are always new come and go, and nothing of them is kept.
func TestLongDay(t *testing.T) {
	e := newEngineStand(t, "e")
	s := play(t)
	e.s = s
	s.logged("serving") // the list of the start is told by then
	before := runtime.NumGoroutine()
	for n := range 200 {
		name := admission.EngineID(fmt.Sprint("e", n))
		list := func(state admission.State) {
			s.o.tell(func(now admission.Time) {
				s.o.listed(now, admission.Changes, []admission.Listing{{Engine: name, State: state}},
					[]string{e.l.Addr().String()})
			})
		}
		list(admission.Live)
		a := s.client()
		a.task(fmt.Sprintf("%02x", n), "look", 5000)
		k := e.hears()
		s.pass(100 * admission.Millisecond)
		e.says(k, fmt.Sprintf("00000000000000%02x", n), "data", "pages=1,cost=100,need=64", "a\tb\tc\n")
		a.gets()
		a.c.Close()
		list(admission.Gone)
	}
	for kept := -1; kept != 0; time.Sleep(time.Millisecond) {
		s.o.tell(func(admission.Time) {
			kept = len(s.o.sessions) + len(s.o.tasks) + len(s.o.engines) + int(s.o.engineConns.Load())
			s.o.clients.mu.Lock()
			kept += s.o.clients.in
			s.o.clients.mu.Unlock()
			s.clock.mu.Lock()
			kept += len(s.clock.timers) - 1 // the module's own
			s.clock.mu.Unlock()
			kept += max(0, runtime.NumGoroutine()-before-8) // those of the stand-ins, as they end
		})
		s.sync()
	}
}

// What this process lacks is not the engine's failure.
func TestOurs(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.EADDRNOTAVAIL, syscall.ECONNREFUSED, syscall.ECONNRESET} {
		err := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)}
		if got, want := ours(err), errno == syscall.EMFILE || errno == syscall.EADDRNOTAVAIL; got != want {
			t.Errorf("%v: got %v", err, got)
		}
	}
}

func TestOddClients(t *testing.T) { // errors and codes; nothing of it reaches an engine
	e := newEngineStand(t, "e1")
	s := play(t, e)
	a := s.client()
	a.asks("SELECT 1")
	a.gets()
	a.task("xx", "look", 5000)
	a.gets()
	a.task("aa", "other", 5000)
	a.gets()
	a.send(0, []byte{mysql.Ping})
	a.gets()
	a.send(0, append([]byte{mysql.InitDB}, "reports"...))
	a.gets()
	a.send(0, append([]byte{mysql.InitDB}, "mysql"...))
	a.gets()
	a.send(0, []byte{0x16})
	a.gets()
	a.send(0, []byte{mysql.Quit})
	a.gets()
	for _, login := range []string{"root\x00\x00", "app\x00\x01x", "app"} {
		b := s.dial()
		b.packet()
		b.login(login)
		b.gets()
		b.gets()
	}
	b := s.client()
	b.c.Write([]byte{0xff, 0xff, 0xff, 0})
	b.gets()
	b.gets()
	b = s.client()
	b.send(0, nil)
	b.gets()
	b = s.client()
	b.c.Write([]byte{9, 0})
	b.c.Close()
	for _, code := range []string{"quit", "denied", "bad_login", "too_large", "bad_packet", "closed"} {
		s.logged("code=" + code)
	}
	if len(e.heard) > 0 {
		t.Error("the engine heard of it")
	}
	s.end("odd clients")
}
