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

// stalledConn is a connection that simulates a process that stalls right after it has set a deadline, until after that deadline.
// expireDeadlines selects which deadlines have already passed when they are set.
type stalledConn struct {
	*net.TCPConn
	mu              sync.Mutex
	expireReads     bool      // read deadlines have passed when they are set
	expireNextWrite bool      // the next write deadline has passed when it is set
	deadline        time.Time // the read deadline that was set last
	deadlinesSet    int       // number of read deadlines set
	// If stalls holds a channel, the next SetReadDeadline takes it, sends on it when it stalls, and resumes once it receives
	// a value from it.
	stalls chan chan bool
}

// SetReadDeadline sets the read deadline, or an expired one if expireReads is set. It stalls first if the test has requested a stall.
func (c *stalledConn) SetReadDeadline(t time.Time) error {
	select {
	case resume := <-c.stalls:
		resume <- true
		<-resume
	default:
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	c.deadlinesSet++
	if c.expireReads && !t.IsZero() {
		t = expiredDeadline
	}
	return c.TCPConn.SetReadDeadline(t)
}

func (c *stalledConn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

func (c *stalledConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expireNextWrite {
		t = expiredDeadline
	}
	c.expireNextWrite = false
	return c.TCPConn.SetWriteDeadline(t)
}

// expireDeadlines sets whether read deadlines, and the next write deadline, have passed when they are set.
func (c *stalledConn) expireDeadlines(reads, writes bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expireReads, c.expireNextWrite = reads, writes
}

// awaitsFirstQuery reports whether a session waits for its first query. By then it has set three read deadlines: for the
// header of the login, for the rest of the login, and for the query.
func (c *stalledConn) awaitsFirstQuery() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deadlinesSet == 3
}

// stallNextDeadline makes the next SetReadDeadline stall before it sets the deadline. awaitStall waits until the stall has
// begun. resume ends it, and from then on read deadlines have passed when they are set.
func (c *stalledConn) stallNextDeadline() (awaitStall, resume func()) {
	there := make(chan bool)
	c.stalls <- there
	return func() { <-there }, func() {
		c.expireDeadlines(true, false)
		there <- true
	}
}

// newStalledConn wraps a connection in a stalledConn.
func newStalledConn(tcp net.Conn) *stalledConn {
	return &stalledConn{TCPConn: asTCP(tcp), stalls: make(chan chan bool, 1)}
}

// newStalledClient logs in a client whose connection is a stalledConn on the router's side, and returns both.
func (s *fixture) newStalledClient() (*testClient, *stalledConn) {
	listener := s.listen()
	accepted := make(chan *stalledConn)
	go func() {
		tcp, err := listener.Accept()
		if err != nil {
			s.t.Error(err)
		}
		conn := newStalledConn(tcp)
		(&acceptor{owner: s.owner}).startSession(conn)
		accepted <- conn
	}()
	address := s.address
	s.address = listener.Addr().String()
	c := s.newClient()
	s.address = address
	return c, <-accepted
}

// awaitInput waits until a connection has unread bytes.
func awaitInput(t *testing.T, tcp net.Conn) {
	t.Helper()
	eventually(t, "unread bytes have arrived", func() bool { return hasInput(tcp) })
}

// requireServed waits for an attempt at the engine, has the engine answer it, and requires that the client gets a result.
func (s *fixture) requireServed(c *testClient, e *fakeEngine, id string) {
	s.t.Helper()
	select {
	case command := <-e.received:
		e.reply(command.conn, "00000000000000"+id, "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
	case <-time.After(eventuallyTimeout):
		s.t.Fatalf("the engine received nothing, log:\n%s", s.log.String())
	}
	c.requireResult()
}

// requireResult waits for a packet and requires that it is the first one of a result.
func (c *testClient) requireResult() {
	c.fixture.t.Helper()
	c.socket.SetReadDeadline(time.Now().Add(eventuallyTimeout))
	if p := c.readPacket(); p[0] != 3 {
		c.fixture.t.Fatalf("the client got %q, log:\n%s", p, c.fixture.log.String())
	}
}

// A request that arrives while the process is stalled, and is still unread when the session's read deadline passes, is served. The
// process may stall before any of the reads.
func TestRequestThatArrivesDuringAStallIsServed(t *testing.T) {
	long := bytes.Repeat([]byte("x"), 3*maxReadAhead)
	for what, statement := range map[string]string{"short": "SELECT a FROM t_7.x", "longer than what is read ahead": "SELECT '" + string(long) + "' FROM t_7.x"} {
		t.Run(what, func(t *testing.T) {
			e := newFakeEngine(t, "e1")
			s := startFixture(t, e)
			defer s.close()
			c, conn := s.newStalledClient()
			eventually(t, "the session waits for its first query", conn.awaitsFirstQuery)
			awaitStall, resume := conn.stallNextDeadline()
			c.send(0, []byte{mysql.Ping})
			awaitStall()
			c.send(0, append([]byte{mysql.Query}, "/* class=look,id=00000000000000aa,wait=5000 */ "+statement...))
			awaitInput(t, conn)
			resume()
			if p := c.readPacket(); p[0] != 0 {
				t.Fatalf("the client got %q", p)
			}
			s.requireServed(c, e, "aa")
		})
	}
}

// If the router was slow to read a client's login, the client still gets at least finalReadWait for its first query.
func TestFirstQueryTimeoutAfterASlowLogin(t *testing.T) {
	s := startFixture(t)
	defer s.close()
	_, conn := s.newStalledClient()
	eventually(t, "the session waits for its first query", conn.awaitsFirstQuery)
	// The login of this session took longer than firstQueryTimeout.
	session := &clientSession{owner: s.owner, socket: conn, input: newClientReader(conn), startedAt: time.Now().Add(-2 * firstQueryTimeout)}
	before := time.Now()
	s.owner.clients.markIdle(session)
	s.owner.clients.markBusy(session)
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if got := conn.deadline.Sub(before); got < finalReadWait {
		t.Errorf("the client has %v for its first query", got)
	}
}

// An answer is written even if the process stalls right before the write until after the write deadline.
func TestAnswerIsWrittenAfterAStall(t *testing.T) {
	e := newFakeEngine(t, "e1")
	s := startFixture(t, e)
	defer s.close()
	c, conn := s.newStalledClient()
	c.sendIdempotentQuery("aa")
	engineSide := e.receive()
	conn.expireDeadlines(false, true)
	e.reply(engineSide, "00000000000000aa", "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
	c.requireResult()
}

// stallEngineConns wraps the router's connections to engines in stalledConns, and returns a channel that receives each of them.
func (s *fixture) stallEngineConns() <-chan *stalledConn {
	conns := make(chan *stalledConn, 8)
	s.onOwner(func(admission.Time) {
		dial := s.owner.dial
		s.owner.dial = func(address string) (net.Conn, error) {
			tcp, err := dial(address)
			if err != nil {
				return nil, err
			}
			conn := newStalledConn(tcp)
			conns <- conn
			return conn, nil
		}
	})
	s.sync()
	return conns
}

// An attempt is written to its connection even if the process stalls right before the write until after the write deadline.
func TestAttemptIsWrittenAfterAStall(t *testing.T) {
	e := newFakeEngine(t, "e1")
	s := startFixture(t, e)
	defer s.close()
	conns := s.stallEngineConns()
	c := s.newClient()
	c.sendIdempotentQuery("aa")
	s.requireServed(c, e, "aa")
	c.discardResult()
	(<-conns).expireDeadlines(false, true)
	c.sendIdempotentQuery("bb")
	s.requireServed(c, e, "bb")
	if len(conns) > 0 {
		t.Error("the attempt was written on another connection")
	}
}

// discardResult reads the rest of a result whose first packet was read.
func (c *testClient) discardResult() {
	for ends := 0; ends < 2; {
		if p := c.readPacket(); p[0] == 0xfe {
			ends++
		}
	}
}

// The rest of an answer that arrives while the process is stalled, and is still unread when the read deadline passes, is accepted.
// The process may stall before any of the reads.
func TestAnswerThatArrivesDuringAStallIsAccepted(t *testing.T) {
	e := newFakeEngine(t, "e1")
	s := startFixture(t, e)
	defer s.close()
	conns := s.stallEngineConns()
	c := s.newClient()
	c.sendIdempotentQuery("aa")
	engineSide := e.receive()
	conn := <-conns
	answer := resp.AppendArray(nil, "00000000000000aa", "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
	awaitStall, resume := conn.stallNextDeadline()
	_, _ = engineSide.Write(answer[:9])
	awaitStall()
	_, _ = engineSide.Write(answer[9:])
	awaitInput(t, conn)
	resume()
	c.requireResult()
}

// The answer to a health check that is still unread when the read deadline passes is accepted.
func TestHealthCheckAnswerDuringAStallIsAccepted(t *testing.T) {
	listener, err := listenTCP("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	engineConns := make(chan net.Conn, 1)
	go func() {
		tcp, err := listener.Accept()
		if err == nil {
			engineConns <- tcp
		}
	}()
	s := startFixture(t)
	defer s.close()
	dialled := make(chan *stalledConn, 1)
	s.owner.dial = func(address string) (net.Conn, error) {
		tcp, err := dialTCP(address)
		if err != nil {
			return nil, err
		}
		conn := newStalledConn(tcp)
		engine := <-engineConns
		defer func() { engineConns <- engine }()
		_, _ = engine.Write(resp.AppendArray(nil, "top1", "well", "gauges=util:0.2", "")) // arrives before the health check waits for it
		awaitInput(t, conn)
		conn.expireDeadlines(true, false)
		dialled <- conn
		return conn, nil
	}
	checker := &healthChecker{pool: &enginePool{owner: s.owner, name: "e1", address: listener.Addr().String()}}
	outcome, report := checker.check()
	if outcome != admission.Served || report.Utilization != 0.2 {
		t.Errorf("the health check ended as %v with %+v", outcome, report)
	}
	_ = (<-dialled).Close()
	(<-engineConns).Close()
}
