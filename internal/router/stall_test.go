package router

import (
	"bytes"
	"net"
	"sync"
	"testing"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/protocol/mysql"
	"magpiebank/internal/protocol/resp"
)

// lateConn is a connection of a process that stands still right after it has set a deadline, for longer than that: while it is armed,
// each deadline has passed once it is set.
type lateConn struct {
	*net.TCPConn
	mu       sync.Mutex
	reads    bool // read deadlines are late
	writes   bool // the next write deadline is late
	deadline time.Time
	set      int            // how often a read deadline was set
	standing chan chan bool // holds where the next read deadline waits to be let go on, if it is to stand still before it is set
}

func (c *lateConn) SetReadDeadline(t time.Time) error {
	select {
	case goOn := <-c.standing:
		goOn <- true
		<-goOn
	default:
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	c.set++
	if c.reads && !t.IsZero() {
		t = expiredDeadline
	}
	return c.TCPConn.SetReadDeadline(t)
}

func (c *lateConn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

func (c *lateConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes {
		t = expiredDeadline
	}
	c.writes = false
	return c.TCPConn.SetWriteDeadline(t)
}

// arm has deadlines be late from now on, or not any more.
func (c *lateConn) arm(reads, writes bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads, c.writes = reads, writes
}

// rests tells whether a session waits for its first query: it has set deadlines for the head of the login, its rest, and that.
func (c *lateConn) rests() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.set == 3
}

// standStill has the process stand still before the next line that sets a read deadline. stands returns once it is there; goOn has it go on,
// with deadlines that are late from then on.
func (c *lateConn) standStill() (stands, goOn func()) {
	there := make(chan bool)
	c.standing <- there
	return func() { <-there }, func() {
		c.arm(true, false)
		there <- true
	}
}

// late returns a connection as one of a process that can stand still.
func late(tcp net.Conn) *lateConn {
	return &lateConn{TCPConn: asTCP(tcp), standing: make(chan chan bool, 1)}
}

// lateClient logs in on a connection whose router may stand still.
func (s *fixture) lateClient() (*testClient, *lateConn) {
	listener := s.listen()
	accepted := make(chan *lateConn)
	go func() {
		tcp, err := listener.Accept()
		if err != nil {
			s.t.Error(err)
		}
		conn := late(tcp)
		(&acceptor{owner: s.owner}).startSession(conn)
		accepted <- conn
	}()
	address := s.address
	s.address = listener.Addr().String()
	c := s.newClient()
	s.address = address
	return c, <-accepted
}

// arrived waits until a connection has unread input.
func arrived(t *testing.T, tcp net.Conn) {
	t.Helper()
	eventually(t, "the bytes are there", func() bool { return hasInput(tcp) })
}

// served sends one query and has the engine answer it.
func (s *fixture) served(c *testClient, e *fakeEngine, id string) {
	s.t.Helper()
	select {
	case h := <-e.received:
		e.reply(h.conn, "00000000000000"+id, "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
	case <-time.After(eventuallyTimeout):
		s.t.Fatalf("the engine heard nothing, log:\n%s", s.log.String())
	}
	c.isServed()
}

// isServed waits for the first packet of a result.
func (c *testClient) isServed() {
	c.fixture.t.Helper()
	c.socket.SetReadDeadline(time.Now().Add(eventuallyTimeout))
	if p := c.readPacket(); p[0] != 3 {
		c.fixture.t.Fatalf("the client got %q, log:\n%s", p, c.fixture.log.String())
	}
}

// A request that lies unread as its session's time runs out is served, however long the process stands still before each of the reads.
func TestRequestThatCameDuringAStallIsServed(t *testing.T) {
	long := bytes.Repeat([]byte("x"), 3*maxReadAhead)
	for what, statement := range map[string]string{"short": "SELECT a FROM t_7.x", "longer than what is read ahead": "SELECT '" + string(long) + "' FROM t_7.x"} {
		t.Run(what, func(t *testing.T) {
			e := newFakeEngine(t, "e1")
			s := startFixture(t, e)
			defer s.close()
			c, conn := s.lateClient()
			eventually(t, "the session rests", conn.rests)
			stands, goOn := conn.standStill()
			c.send(0, []byte{mysql.Ping})
			stands()
			c.send(0, append([]byte{mysql.Query}, "/* class=look,id=00000000000000aa,wait=5000 */ "+statement...))
			arrived(t, conn)
			goOn()
			if p := c.readPacket(); p[0] != 0 {
				t.Fatalf("the client got %q", p)
			}
			s.served(c, e, "aa")
		})
	}
}

// Whoever logs in to a router that is slow to read it still has a while for the first query.
func TestSlowRouterLeavesTimeForTheFirstQuery(t *testing.T) {
	s := startFixture(t)
	defer s.close()
	_, conn := s.lateClient()
	eventually(t, "the session waits for its first query", conn.rests)
	rested := &clientSession{owner: s.owner, socket: conn, input: newClientReader(conn), startedAt: time.Now().Add(-2 * firstQueryTimeout)} // its login took so long
	before := time.Now()
	s.owner.clients.markIdle(rested)
	s.owner.clients.markBusy(rested)
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if got := conn.deadline.Sub(before); got < finalReadWait {
		t.Errorf("it has %v", got)
	}
}

// An answer goes out although the process stands still right before the write for longer than that may take.
func TestAnswerIsWrittenAfterAStall(t *testing.T) {
	e := newFakeEngine(t, "e1")
	s := startFixture(t, e)
	defer s.close()
	c, conn := s.lateClient()
	c.sendIdempotentQuery("aa")
	k := e.receive()
	conn.arm(false, true)
	e.reply(k, "00000000000000aa", "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
	c.isServed()
}

// lateEngine has the router reach an engine by connections that it may stand still with; it tells of each.
func (s *fixture) lateEngine() <-chan *lateConn {
	conns := make(chan *lateConn, 8)
	s.onOwner(func(admission.Time) {
		dial := s.owner.dial
		s.owner.dial = func(address string) (net.Conn, error) {
			tcp, err := dial(address)
			if err != nil {
				return nil, err
			}
			conn := late(tcp)
			conns <- conn
			return conn, nil
		}
	})
	s.sync()
	return conns
}

// An attempt goes out on a connection although the process stands still right before the write.
func TestAttemptIsWrittenAfterAStall(t *testing.T) {
	e := newFakeEngine(t, "e1")
	s := startFixture(t, e)
	defer s.close()
	conns := s.lateEngine()
	c := s.newClient()
	c.sendIdempotentQuery("aa")
	s.served(c, e, "aa")
	c.drain()
	(<-conns).arm(false, true)
	c.sendIdempotentQuery("bb")
	s.served(c, e, "bb")
	if len(conns) > 0 {
		t.Error("it was written on another connection")
	}
}

// drain reads the rest of an answer whose first packet was read.
func (c *testClient) drain() {
	for ends := 0; ends < 2; {
		if p := c.readPacket(); p[0] == 0xfe {
			ends++
		}
	}
}

// The rest of an answer that lies unread as its time runs out counts, however long the process stands still before each of the reads.
func TestAnswerThatCameDuringAStallCounts(t *testing.T) {
	e := newFakeEngine(t, "e1")
	s := startFixture(t, e)
	defer s.close()
	conns := s.lateEngine()
	c := s.newClient()
	c.sendIdempotentQuery("aa")
	k := e.receive()
	conn := <-conns
	answer := resp.AppendArray(nil, "00000000000000aa", "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
	stands, goOn := conn.standStill()
	_, _ = k.Write(answer[:9])
	stands()
	_, _ = k.Write(answer[9:])
	arrived(t, conn)
	goOn()
	c.isServed()
}

// A probe's answer that lies unread as its time runs out counts.
func TestProbeAnsweredDuringAStallCounts(t *testing.T) {
	listener, err := listenTCP("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	far := make(chan net.Conn, 1)
	go func() {
		tcp, err := listener.Accept()
		if err == nil {
			far <- tcp
		}
	}()
	s := startFixture(t)
	defer s.close()
	dialled := make(chan *lateConn, 1)
	s.owner.dial = func(address string) (net.Conn, error) {
		tcp, err := dialTCP(address)
		if err != nil {
			return nil, err
		}
		conn := late(tcp)
		engine := <-far
		defer func() { far <- engine }()
		_, _ = engine.Write(resp.AppendArray(nil, "top1", "well", "gauges=util:0.2", "")) // it is there before the wait begins
		arrived(t, conn)
		conn.arm(true, false)
		dialled <- conn
		return conn, nil
	}
	p := &healthChecker{pool: &enginePool{owner: s.owner, name: "e1", address: listener.Addr().String()}}
	how, report := p.check()
	if how != admission.Served || report.Utilization != 0.2 {
		t.Errorf("the probe ended as %v with %+v", how, report)
	}
	_ = (<-dialled).Close()
	(<-far).Close()
}
