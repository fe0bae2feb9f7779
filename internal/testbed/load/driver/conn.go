package driver

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"magpiebank/internal/protocol/mysql"
	"magpiebank/internal/testbed/load/client"
)

const (
	user     = "app"
	database = "reports"
	// handshakeTimeout is for how long a gateway may take a connection and send nothing. A query's own attempt timeout
	// ends sooner as a rule; this bounds what is left behind.
	handshakeTimeout = 10 * time.Second
	// slowReadDelay is how long a slow client waits before each packet that it reads.
	slowReadDelay = 20 * time.Millisecond
	// readBufferSize is the size in bytes of a connection's read buffer.
	readBufferSize = 4096
)

var (
	quitPacket = mysql.AppendCommand(nil, mysql.Quit)
	errDenied  = errors.New("the login was not taken")
)

// conn is one connection. Its goroutine dials, logs in and reads; it ends when the connection does, which the loop
// brings about by leave.
type conn struct {
	loop         *loop
	sessionID    client.SessionID
	target       int
	connectionID uint32        // the server's id
	connected    bool          // of the loop's goroutine
	expectedID   atomic.Uint64 // id of the query whose answer is awaited; 0: none
	slow         atomic.Bool
	payload      []byte // of the packet that is read, reused; of the connection's goroutine

	mu            sync.Mutex
	tcp           net.Conn // set once, before eventConnected
	closedLocally bool
	reader        *bufio.Reader
}

// write sends bytes. Its errors are not looked at, because the reader finds the connection's end.
func (c *conn) write(packet []byte) { _, _ = c.tcp.Write(packet) }

// close closes the connection from this side, as soon as there is one.
func (c *conn) close() {
	c.mu.Lock()
	c.closedLocally = true
	tcp := c.tcp
	c.mu.Unlock()
	if tcp == nil {
		return
	}
	if c.expectedID.Load() == 0 {
		c.write(quitPacket)
	}
	tcp.Close()
}

func (c *conn) run() {
	refused, err := c.open()
	if err == nil {
		c.loop.enqueue(event{kind: eventConnected, at: c.loop.now(), conn: c})
		c.readAnswers()
	}
	if c.tcp != nil {
		c.tcp.Close()
	}
	c.loop.enqueue(event{kind: eventClosed, at: c.loop.now(), conn: c, refused: refused})
}

// open dials and logs in; refused tells that no query can have come through.
func (c *conn) open() (refused bool, err error) {
	tcp, connectionID, reader, err := dial(c.loop.driver.load.Targets[c.target])
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tcp, c.reader, c.connectionID = tcp, reader, connectionID
	if err == nil && c.closedLocally {
		err = net.ErrClosed
	}
	return err != nil, err
}

// dial opens a session: the greeting, a login, and the answer that it is accepted. The connection is returned also with
// an error, where there is one; the caller closes it.
func dial(target string) (net.Conn, uint32, *bufio.Reader, error) {
	dialer := net.Dialer{Timeout: handshakeTimeout}
	tcp, err := dialer.DialContext(context.Background(), "tcp", target)
	if err != nil {
		return nil, 0, nil, err
	}
	reader := bufio.NewReaderSize(tcp, readBufferSize)
	connectionID, err := logIn(tcp, reader)
	return tcp, connectionID, reader, err
}

// logIn returns the server's id of the connection.
func logIn(tcp net.Conn, reader *bufio.Reader) (connectionID uint32, err error) {
	tcp.SetDeadline(time.Now().Add(handshakeTimeout))
	payload, err := readPacket(reader, nil)
	if err != nil {
		return 0, err
	}
	connectionID, err = mysql.ReadGreeting(payload)
	if err != nil {
		return 0, err
	}
	_, err = tcp.Write(mysql.AppendLogin(nil, user, database))
	if err != nil {
		return 0, err
	}
	payload, err = readPacket(reader, payload)
	if err != nil {
		return 0, err
	}
	if len(payload) == 0 || payload[0] != 0 {
		return 0, errDenied
	}
	tcp.SetDeadline(time.Time{})
	return connectionID, nil
}

// readPacket reads the next packet's payload into a buffer, or into a new one where that is too small.
func readPacket(reader *bufio.Reader, buffer []byte) ([]byte, error) {
	header, err := reader.Peek(mysql.HeaderSize)
	if err != nil {
		return buffer[:0], err
	}
	length, _ := mysql.ParseHeader(header)
	_, err = reader.Discard(mysql.HeaderSize) // what was peeked at is there
	if err != nil {
		return buffer[:0], err
	}
	if cap(buffer) < length {
		buffer = make([]byte, length)
	}
	buffer = buffer[:length]
	_, err = io.ReadFull(reader, buffer)
	return buffer, err
}

// answer is what came for one query.
type answer struct {
	response mysql.Response
	rows     rowChecker
	readErr  error // of an answer that can't be read
}

func (a *answer) outcome() client.Outcome {
	switch {
	case a.readErr != nil || a.response.Code == 0 && !a.rows.isComplete():
		return client.MalformedAnswer
	case a.response.Code == 0:
		return client.Served
	case mysql.IsRejected(a.response.Code):
		return client.Rejected
	}
	return client.Failed
}

// readAnswer reads the answer to a query; err is the connection's.
func (c *conn) readAnswer(id uint64) (received answer, err error) {
	received.rows = rowChecker{id: id, enabled: c.loop.driver.load.CheckRows}
	for done := false; !done; {
		if c.slow.Load() {
			time.Sleep(slowReadDelay)
		}
		c.payload, err = readPacket(c.reader, c.payload)
		if err != nil {
			return received, err
		}
		done, received.readErr = received.response.ReadPacket(c.payload, received.rows.checkRow)
		if received.readErr != nil {
			return received, nil
		}
	}
	return received, nil
}

// readAnswers reads answers until the connection ends, or something comes that can't be read or was not asked for.
func (c *conn) readAnswers() {
	for {
		if _, err := c.reader.Peek(1); err != nil {
			return
		}
		id := c.expectedID.Load()
		if id == 0 {
			c.loop.enqueue(event{kind: eventUnexpectedAnswer, conn: c})
			return
		}
		received, err := c.readAnswer(id)
		if err != nil {
			return
		}
		at := c.loop.now()
		outcome := received.outcome()
		c.expectedID.Store(0)
		hasMore := c.reader.Buffered() > 0 // nothing more was asked for
		c.loop.enqueue(event{kind: eventAnswered, at: at, conn: c, id: id, outcome: outcome,
			retryAfter: time.Duration(received.response.RetryAfterMS) * time.Millisecond})
		if hasMore {
			c.loop.enqueue(event{kind: eventUnexpectedAnswer, conn: c, id: id})
			return
		}
		if received.readErr != nil {
			return
		}
	}
}

// killQuery sends KILL QUERY on a session of its own.
func killQuery(target string, connectionID uint32) {
	tcp, _, reader, err := dial(target)
	if tcp == nil {
		return
	}
	defer tcp.Close()
	if err != nil {
		return
	}
	tcp.SetDeadline(time.Now().Add(handshakeTimeout))
	// KILL QUERY is sent on a best effort: a client that leaves doesn't wait for its result.
	_, _ = tcp.Write(mysql.AppendKill(nil, connectionID))
	_, _ = readPacket(reader, nil)
	_, _ = tcp.Write(quitPacket)
}
