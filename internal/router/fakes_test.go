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

// fakeEngine is an engine that hands a test what it receives. It answers health checks by itself.
type fakeEngine struct {
	fixture  *fixture
	name     string
	listener net.Listener
	received chan receivedCommand
}

type receivedCommand struct {
	conn  net.Conn
	parts []string
}

// dialTCP and listenTCP leave the end of what they open to the caller.
func dialTCP(address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(context.Background(), "tcp", address)
}

func listenTCP(address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp", address)
}

// asTCP and asTCPListener panic if a test's connection or listener is not of TCP.
func asTCP(c net.Conn) *net.TCPConn {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		panic(fmt.Sprintf("a connection of type %T", c))
	}
	return tcp
}

func asTCPListener(l net.Listener) *net.TCPListener {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		panic(fmt.Sprintf("a listener of type %T", l))
	}
	return tcp
}

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

// receive waits for the gateway's next command, and returns the connection that brought it.
func (e *fakeEngine) receive() net.Conn {
	h := <-e.received
	e.fixture.tracef("%s hears: %s", e.name, strings.Join(h.parts, " | "))
	return h.conn
}

func (e *fakeEngine) reply(c net.Conn, parts ...string) {
	e.fixture.tracef("%s says: %s", e.name, strings.Join(parts, " | "))
	_, _ = c.Write(resp.AppendArray(nil, parts...))
}

// newClient connects a client, which logs in before it reads the greeting.
type testClient struct {
	fixture *fixture
	socket  net.Conn
	reader  *bufio.Reader
	id      uint32
}

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

// login sends a login of the protocol 4.1 with what follows its fixed part.
func (c *testClient) login(rest string) {
	c.send(1, append(append([]byte{0, 0x82, 0, 0}, make([]byte, 28)...), rest...))
}

func (s *fixture) dial() *testClient {
	c, err := dialTCP(s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.closers = append(s.closers, c)
	return &testClient{fixture: s, socket: c, reader: bufio.NewReader(c)}
}

func (c *testClient) send(number byte, payload []byte) {
	_, _ = c.socket.Write(append([]byte{byte(len(payload)), byte(len(payload) >> 8), 0, number}, payload...))
}

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

func (c *testClient) sendStatement(sql string) {
	c.fixture.tracef("client asks: %s", sql)
	c.send(0, append([]byte{mysql.Query}, sql...))
}

// sendIdempotentQuery sends a query that may run again, sendLoad one that may not.
func (c *testClient) sendIdempotentQuery(id string) { c.sendRequest(id, "look", 5000) }

func (c *testClient) sendLoad(id string) { c.sendRequest(id, "load", 20000) }

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
