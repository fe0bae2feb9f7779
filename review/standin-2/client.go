//go:build review

package lab

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// Client is a client's session with a gateway: MySQL protocol 4.1, user app, database reports, no password.
type Client struct {
	conn   net.Conn
	reader *bufio.Reader
	ID     uint32 // connection id of the greeting
}

// Answer is a gateway's answer to a request.
type Answer struct {
	Rows []string // first columns of the rows of a served request
	Code int      // number of the error; 0: served
	Text string   // text of the error
	Err  error    // the connection ended without a whole answer
}

// Refused reports whether the answer tells the client that trying again is harmless.
func (a *Answer) Refused() bool { return a.Code == 1040 || a.Code == 1203 || a.Code == 1226 }

// Served reports whether the answer is a whole result.
func (a *Answer) Served() bool { return a.Err == nil && a.Code == 0 }

func (a *Answer) String() string {
	switch {
	case a.Err != nil:
		return "no answer: " + a.Err.Error()
	case a.Code != 0:
		return fmt.Sprintf("error %d %q", a.Code, a.Text)
	}
	return fmt.Sprintf("served, %d rows", len(a.Rows))
}

// Connect opens a session and logs in.
func Connect(address string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &Client{conn: conn, reader: bufio.NewReader(conn)}
	if err := c.logIn(); err != nil {
		conn.Close()
		return nil, err
	}
	return c, nil
}

func (c *Client) logIn() error {
	_ = c.conn.SetDeadline(time.Now().Add(3 * time.Second))
	greeting, err := c.readPacket()
	if err != nil {
		return err
	}
	if greeting[0] == 0xff {
		return fmt.Errorf("refused at the login: error %d", binary.LittleEndian.Uint16(greeting[1:]))
	}
	version := 1
	for version < len(greeting) && greeting[version] != 0 {
		version++
	}
	if len(greeting) < version+5 {
		return errors.New("the greeting is too short")
	}
	c.ID = binary.LittleEndian.Uint32(greeting[version+1:])
	const flags = 1 | 1<<3 | 1<<9 | 1<<13 | 1<<15 // long password, database, protocol 4.1, transactions, secure connection
	login := binary.LittleEndian.AppendUint32(nil, flags)
	login = binary.LittleEndian.AppendUint32(login, 1<<24-1)
	login = append(login, 33)
	login = append(login, make([]byte, 23)...)
	login = append(login, "app\x00\x00reports\x00"...)
	if err := c.writePacket(1, login); err != nil {
		return err
	}
	return c.readOK()
}

func (c *Client) readOK() error {
	b, err := c.readPacket()
	if err != nil {
		return err
	}
	if b[0] != 0 {
		return fmt.Errorf("expected OK, found %x", b)
	}
	return nil
}

// Ping opens a session and sends COM_PING, as the front does before it admits a gateway.
func Ping(address string) error {
	c, err := Connect(address)
	if err != nil {
		return err
	}
	defer c.Close()
	if err := c.writePacket(0, []byte{0x0e}); err != nil {
		return err
	}
	return c.readOK()
}

// Close closes the session's connection.
func (c *Client) Close() { c.conn.Close() }

// Send sends a request without waiting for its answer. more is further fields, as in ",once=...".
func (c *Client) Send(class, id string, wait time.Duration, more, statement string) error {
	_ = c.conn.SetDeadline(time.Now().Add(wait + 2*time.Second))
	text := fmt.Sprintf("/* class=%s,id=%s,wait=%d%s */ %s", class, id, wait.Milliseconds(), more, statement)
	return c.writePacket(0, append([]byte{0x03}, text...))
}

// Receive reads the answer to the request.
func (c *Client) Receive() *Answer {
	a := &Answer{}
	first, err := c.readPacket()
	if err != nil {
		a.Err = err
		return a
	}
	if first[0] == 0xff {
		a.readError(first)
		return a
	}
	for ends := 0; ends < 2; { // one EOF packet follows the columns, and one the rows
		b, err := c.readPacket()
		switch {
		case err != nil:
			a.Err = err
			return a
		case b[0] == 0xff && ends == 1:
			a.readError(b)
			return a
		case b[0] == 0xfe && len(b) < 9:
			ends++
		case ends == 1 && int(b[0]) < len(b):
			a.Rows = append(a.Rows, string(b[1:1+int(b[0])]))
		}
	}
	return a
}

func (a *Answer) readError(b []byte) {
	if len(b) < 9 {
		a.Err = errors.New("the error packet is too short")
		return
	}
	a.Code, a.Text = int(binary.LittleEndian.Uint16(b[1:])), string(b[9:])
}

// Ask opens a session, sends a request, waits for its answer and closes the session.
func Ask(address, class, id string, wait time.Duration, more, statement string) *Answer {
	c, err := Connect(address)
	if err != nil {
		return &Answer{Err: err}
	}
	defer c.Close()
	if err := c.Send(class, id, wait, more, statement); err != nil {
		return &Answer{Err: err}
	}
	return c.Receive()
}

func (c *Client) writePacket(number byte, payload []byte) error {
	head := []byte{byte(len(payload)), byte(len(payload) >> 8), byte(len(payload) >> 16), number}
	_, err := c.conn.Write(append(head, payload...))
	return err
}

func (c *Client) readPacket() ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(c.reader, head[:]); err != nil {
		return nil, err
	}
	b := make([]byte, int(head[0])|int(head[1])<<8|int(head[2])<<16)
	if _, err := io.ReadFull(c.reader, b); err != nil {
		return nil, err
	}
	if len(b) == 0 {
		return nil, errors.New("empty packet")
	}
	return b, nil
}
