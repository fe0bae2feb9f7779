package router

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"magpiebank/internal/protocol/mysql"
	"magpiebank/internal/protocol/resp"
)

// fakeEngine is an engine that passes the commands that it receives to the test. It answers health checks itself.
type fakeEngine struct {
	fixture  *fixture
	name     string
	listener net.Listener
	received chan receivedCommand
}

// receivedCommand is a command that a fakeEngine received, with the connection that it arrived on.
type receivedCommand struct {
	conn  net.Conn
	parts []string
}

// dialTCP connects to a TCP address. The caller closes the connection.
func dialTCP(address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(context.Background(), "tcp", address)
}

// listenTCP listens on a TCP address. The caller closes the listener.
func listenTCP(address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp", address)
}

// asTCP returns a test's connection as a TCP connection. It panics if the connection is of another type.
func asTCP(c net.Conn) *net.TCPConn {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		panic(fmt.Sprintf("a connection of type %T", c))
	}
	return tcp
}

// asTCPListener returns a test's listener as a TCP listener. It panics if the listener is of another type.
func asTCPListener(l net.Listener) *net.TCPListener {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		panic(fmt.Sprintf("a listener of type %T", l))
	}
	return tcp
}

// newFakeEngine starts a fake engine, whose listener is closed at the end of the test.
func newFakeEngine(t *testing.T, name string) *fakeEngine {
	t.Helper()
	l, err := listenTCP("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	e := &fakeEngine{name: name, listener: l, received: make(chan receivedCommand, 16)}
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

// read reads the commands on one connection until it ends.
func (e *fakeEngine) read(c net.Conn) {
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
			_, _ = c.Write(resp.AppendArray(nil, words[1], "well", "gauges=util:0.2", ""))
			continue
		}
		e.received <- receivedCommand{c, words}
	}
}

// receive waits for the gateway's next command, traces it, and returns the connection that it arrived on.
func (e *fakeEngine) receive() net.Conn {
	h := <-e.received
	e.fixture.tracef("%s hears: %s", e.name, strings.Join(h.parts, " | "))
	return h.conn
}

// reply traces an answer and writes it.
func (e *fakeEngine) reply(c net.Conn, parts ...string) {
	e.fixture.tracef("%s says: %s", e.name, strings.Join(parts, " | "))
	_, _ = c.Write(resp.AppendArray(nil, parts...))
}

// testClient is a client that speaks the MySQL protocol.
type testClient struct {
	fixture *fixture
	socket  net.Conn
	reader  *bufio.Reader
	id      uint32 // connection id from the greeting
}

// newClient connects a client and logs it in. The client sends its login before it reads the greeting.
func (s *fixture) newClient() *testClient {
	c := s.dial()
	c.login("app\x00\x00")
	greeting := c.readPacket()
	rest := greeting[bytes.IndexByte(greeting, 0)+1:]
	c.id = uint32(rest[0]) | uint32(rest[1])<<8 | uint32(rest[2])<<16 | uint32(rest[3])<<24
	if ok := c.readPacket(); ok[0] != 0 {
		s.t.Fatalf("login: %q", ok)
	}
	return c
}

// login sends a login packet of protocol 4.1. rest is the part after the fixed fields: the user name, the password and so on.
func (c *testClient) login(rest string) {
	c.send(1, append(append([]byte{0, 0x82, 0, 0}, make([]byte, 28)...), rest...))
}

// dial connects a client without a login.
func (s *fixture) dial() *testClient {
	c, err := dialTCP(s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.closers = append(s.closers, c)
	return &testClient{fixture: s, socket: c, reader: bufio.NewReader(c)}
}

// send writes a packet with the given sequence number.
func (c *testClient) send(number byte, payload []byte) {
	_, _ = c.socket.Write(append([]byte{byte(len(payload)), byte(len(payload) >> 8), 0, number}, payload...))
}

// readPacket reads the payload of the next packet, or returns a text if the connection has ended.
func (c *testClient) readPacket() []byte {
	head := make([]byte, mysql.HeaderSize)
	if _, err := io.ReadFull(c.reader, head); err != nil {
		return []byte("end of connection")
	}
	length, _ := mysql.ParseHeader(head)
	payload := make([]byte, length)
	_, _ = io.ReadFull(c.reader, payload)
	return payload
}

// sendStatement traces a statement and sends it, without waiting for the answer.
func (c *testClient) sendStatement(sql string) {
	c.fixture.tracef("client asks: %s", sql)
	c.send(0, append([]byte{mysql.Query}, sql...))
}

// sendIdempotentQuery sends a query of the class look, which may run again.
func (c *testClient) sendIdempotentQuery(id string) { c.sendRequest(id, "look", 5000) }

// sendNonIdempotentQuery sends a query of the class load, which must not run twice.
func (c *testClient) sendNonIdempotentQuery(id string) { c.sendRequest(id, "load", 20000) }

// sendRequest sends a query with the given class and wait in milliseconds. id holds the last two digits of the request id.
func (c *testClient) sendRequest(id, class string, wait int) {
	c.sendStatement(fmt.Sprintf("/* class=%s,id=00000000000000%s,wait=%d */ SELECT a FROM t_7.x", class, id, wait))
}

// expectAnswer waits for one answer and traces it.
func (c *testClient) expectAnswer() {
	switch p := c.readPacket(); {
	case p[0] == 0xff:
		c.fixture.tracef("client gets: error %d %s", int(p[1])|int(p[2])<<8, p[3:])
	case p[0] == 0:
		c.fixture.tracef("client gets: OK")
	case p[0] == 3 && len(p) == 1:
		for range 4 {
			c.readPacket()
		}
		var rows []string
		for p = c.readPacket(); p[0] != 0xfe; p = c.readPacket() {
			rows = append(rows, fmt.Sprintf("%q", p))
		}
		c.fixture.tracef("client gets: rows %s", strings.Join(rows, " "))
	default:
		c.fixture.tracef("client gets: %s", p)
	}
}
