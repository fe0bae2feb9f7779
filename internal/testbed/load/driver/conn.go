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
	// handshakeTimeout limits the time to connect and the time to log in, because a gateway may accept a connection and
	// send nothing. The deadline of a query usually ends the wait sooner; the timeout limits how long abandoned
	// connections remain.
	handshakeTimeout = 10 * time.Second
	// slowReadDelay is how long a slow client waits before it reads a packet.
	slowReadDelay = 20 * time.Millisecond
	// readBufferSize is the size of a connection's read buffer in bytes.
	readBufferSize = 4096
)

var (
	quitPacket = mysql.AppendCommand(nil, mysql.Quit)
	errDenied  = errors.New("the server rejected the login")
)

// conn is one connection. Its goroutine dials, logs in and reads answers. The goroutine ends when the connection is
// closed; the loop closes it by calling disconnect.
type conn struct {
	loop         *loop
	sessionID    client.SessionID
	target       int
	connectionID uint32        // id that the server gave to the connection
	connected    bool          // logged in; used only by the goroutine of the loop
	expectedID   atomic.Uint64 // id of the attempt whose answer is expected; 0: none
	slow         atomic.Bool   // read answers slowly
	payload      []byte        // packet that is being read; reused; used only by the goroutine of the connection

	mu            sync.Mutex
	tcp           net.Conn // set once, before eventConnected
	closedLocally bool     // disconnect was called
	reader        *bufio.Reader
}

// write sends a packet. It ignores errors, because the reading goroutine detects the end of the connection.
func (c *conn) write(packet []byte) { _, _ = c.tcp.Write(packet) }

// disconnect closes the connection from the client's side. If the connection isn't open yet, open fails and run closes it.
func (c *conn) disconnect() {
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

// run opens the connection, reads its answers and closes it, and notifies the loop.
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

// open dials and logs in. refused reports whether it failed, so that the connection can't have carried a query.
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

// dial opens a session: it reads the greeting, logs in and checks that the login is accepted. If it fails after
// connecting, it returns the connection with the error; the caller closes the connection.
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

// logIn performs the handshake and returns the id that the server gave to the connection.
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

// readPacket reads the payload of the next packet into buffer, or into a new one if buffer is too small.
func readPacket(reader *bufio.Reader, buffer []byte) ([]byte, error) {
	header, err := reader.Peek(mysql.HeaderSize)
	if err != nil {
		return buffer[:0], err
	}
	length, _ := mysql.ParseHeader(header)
	_, err = reader.Discard(mysql.HeaderSize) // the header is buffered, because Peek has read it
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

// answer is what the server sent for one query.
type answer struct {
	response mysql.Response
	rows     rowChecker
	readErr  error // why the answer can't be parsed
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

// readAnswer reads the answer to the query with an id. err is an error of the connection.
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

// readAnswers reads answers until the connection ends, an answer can't be parsed, or data arrives that no query
// expects.
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
		hasMore := c.reader.Buffered() > 0 // data after the answer belongs to no query
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

// killQuery sends KILL QUERY on a separate connection.
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
	// Errors are ignored, because KILL QUERY is a best effort: the request already has its outcome.
	_, _ = tcp.Write(mysql.AppendKill(nil, connectionID))
	_, _ = readPacket(reader, nil)
	_, _ = tcp.Write(quitPacket)
}
