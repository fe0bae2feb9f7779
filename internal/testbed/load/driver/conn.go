package driver

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"strconv"
	"time"

	"magpiebank/internal/protocol/mysql"
	"magpiebank/internal/testbed/load/arrival"
	"magpiebank/internal/testbed/load/client"
)

const (
	user     = "app"
	database = "reports"
	// A gateway that takes a connection and says nothing for so long is none. A query's own attempt timeout ends sooner as a
	// rule; this bounds what is left behind.
	handshake = 10 * time.Second
	// How long a slow client rests before each packet that it reads.
	slowRest = 20 * time.Millisecond
)

// query writes a try's packet.
func query(dst []byte, lane *arrival.Class, a *client.Attempt) []byte {
	return mysql.AppendQuery(dst, mysql.QueryFields{Class: lane.WireName(), ID: a.ID, WaitMS: a.WaitMS, Retry: a.Retry}, func(dst []byte) []byte {
		return lane.Statement(dst, a.Request)
	})
}

// leave closes the connection from this side, as soon as there is one.
func (c *conn) leave() {
	c.mu.Lock()
	c.left = true
	tcp := c.tcp
	c.mu.Unlock()
	if tcp == nil {
		return
	}
	if c.expect.Load() == 0 {
		tcp.Write(quit)
	}
	tcp.Close()
}

var quit = mysql.AppendCommand(nil, mysql.Quit)

func (c *conn) run() {
	refused, err := c.open()
	if err == nil {
		c.w.tell(event{kind: up, at: c.w.now(), c: c})
		c.read() // its end is told below, whatever it was
	}
	if c.tcp != nil {
		c.tcp.Close()
	}
	c.w.tell(event{kind: ended, at: c.w.now(), c: c, refused: refused})
}

// open dials and logs in; refused tells that no query can have come through.
func (c *conn) open() (refused bool, err error) {
	tcp, connection, r, err := dial(c.w.d.load.Targets[c.target])
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tcp, c.r, c.connection = tcp, r, connection
	if err == nil && c.left {
		err = net.ErrClosed
	}
	return err != nil, err
}

// dial opens a session: the greeting, a login, and the word that it is taken.
func dial(target string) (net.Conn, uint32, *bufio.Reader, error) {
	tcp, err := net.DialTimeout("tcp", target, handshake)
	if err != nil {
		return nil, 0, nil, err
	}
	r := bufio.NewReaderSize(tcp, 4096)
	tcp.SetDeadline(time.Now().Add(handshake))
	var payload []byte
	if payload, err = packet(r, payload); err != nil {
		return tcp, 0, r, err
	}
	connection, err := mysql.ReadGreeting(payload)
	if err != nil {
		return tcp, 0, r, err
	}
	if _, err = tcp.Write(mysql.AppendLogin(nil, user, database)); err != nil {
		return tcp, 0, r, err
	}
	if payload, err = packet(r, payload); err != nil {
		return tcp, 0, r, err
	}
	if len(payload) == 0 || payload[0] != 0 {
		return tcp, 0, r, errDenied
	}
	tcp.SetDeadline(time.Time{})
	return tcp, connection, r, nil
}

var errDenied = errors.New("the login was not taken")

// packet reads the next packet's payload into a buffer.
func packet(r *bufio.Reader, into []byte) ([]byte, error) {
	head, err := r.Peek(mysql.HeaderSize)
	if err != nil {
		return into[:0], err
	}
	length, _ := mysql.ParseHeader(head)
	r.Discard(mysql.HeaderSize)
	if cap(into) < length {
		into = make([]byte, length)
	}
	into = into[:length]
	_, err = io.ReadFull(r, into)
	return into, err
}

// read takes answers until the connection ends.
func (c *conn) read() error {
	var payload []byte
	var err error
	var check rows
	for {
		var a mysql.Response
		if _, err := c.r.Peek(1); err != nil {
			return err
		}
		id := c.expect.Load()
		if id == 0 {
			c.w.tell(event{kind: unasked, c: c})
			return mysql.ErrMalformedResponse
		}
		check = rows{id: id, check: c.w.d.load.CheckRows}
		for whole := false; !whole; {
			if c.slow.Load() {
				time.Sleep(slowRest)
			}
			if payload, err = packet(c.r, payload); err != nil {
				return err
			}
			if whole, err = a.ReadPacket(payload, check.row); err != nil {
				break
			}
		}
		at := c.w.now()
		how := client.Served
		switch {
		case err != nil || a.Code == 0 && !check.whole():
			how = client.MalformedAnswer
		case a.Code == 0:
		case mysql.IsRejected(a.Code):
			how = client.Rejected
		default:
			how = client.Failed
		}
		c.expect.Store(0)
		extra := c.r.Buffered() > 0 // nothing more was asked for
		c.w.tell(event{kind: answered, at: at, c: c, id: id, how: how, comeBack: time.Duration(a.RetryAfterMS) * time.Millisecond})
		if extra {
			c.w.tell(event{kind: unasked, c: c, id: id})
			return mysql.ErrMalformedResponse
		}
		if err != nil {
			return err
		}
	}
}

// rows checks that a result is that of a request, whole and in order: the fakes' rows hold the id and k/n.
type rows struct {
	id    uint64
	check bool
	k, n  int
	wrong bool
}

func (r *rows) row(columns [3][]byte) {
	if !r.check || r.wrong {
		return
	}
	var id [16]byte
	first, of, ok := bytes.Cut(columns[1], []byte{'/'})
	k, err1 := strconv.Atoi(string(first))
	n, err2 := strconv.Atoi(string(of))
	r.wrong = !bytes.Equal(mysql.AppendID(id[:0], r.id), columns[0]) || !ok || err1 != nil || err2 != nil ||
		k != r.k+1 || r.k > 0 && n != r.n
	r.k, r.n = k, n
}

func (r *rows) whole() bool { return !r.check || !r.wrong && r.k > 0 && r.k == r.n }

// kill sends KILL QUERY on a session of its own.
func kill(target string, connection uint32) {
	tcp, _, r, err := dial(target)
	if tcp == nil {
		return
	}
	defer tcp.Close()
	if err != nil {
		return
	}
	tcp.SetDeadline(time.Now().Add(handshake))
	tcp.Write(mysql.AppendKill(nil, connection))
	packet(r, nil)
	tcp.Write(quit)
}
