//go:build review

package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"magpiebank/internal/protocol/mysql"
)

// Answer is what a client got for a query.
type Answer struct {
	Lost  error  // the connection ended, or nothing came in time; nil: there is a whole answer
	Code  uint16 // error code; 0: rows
	Text  string // text of the error
	Rows  []string
	After time.Duration // time for which a refused client is to stay away
}

// Refused reports whether the answer says that trying again is harmless.
func (a *Answer) Refused() bool { return a.Lost == nil && mysql.IsRejected(a.Code) }

func (a *Answer) String() string {
	switch {
	case a.Lost != nil:
		return "no answer: " + a.Lost.Error()
	case a.Refused():
		return fmt.Sprintf("refused, trying again is harmless: error %d %q", a.Code, a.Text)
	case a.Code != 0:
		return fmt.Sprintf("failed: error %d %q", a.Code, a.Text)
	}
	return fmt.Sprintf("served: %q", strings.Join(a.Rows, "|"))
}

// Session is a client's connection that is logged in.
type Session struct {
	socket net.Conn
	input  *bufio.Reader
}

// Dial connects and logs in.
func Dial(address string, within time.Duration) (*Session, error) {
	deadline := time.Now().Add(within)
	socket, err := net.DialTimeout("tcp", address, within)
	if err != nil {
		return nil, err
	}
	s := &Session{socket, bufio.NewReader(socket)}
	socket.SetDeadline(deadline)
	payload, err := s.readPacket()
	if err == nil {
		_, err = mysql.ReadGreeting(payload)
	}
	if err == nil {
		_, err = socket.Write(mysql.AppendLogin(nil, "app", "reports"))
	}
	if err == nil {
		payload, err = s.readPacket()
	}
	if err == nil && (len(payload) == 0 || payload[0] != 0) {
		err = fmt.Errorf("login: %q", payload)
	}
	if err != nil {
		socket.Close()
		return nil, err
	}
	return s, nil
}

// Ping sends COM_PING and reports whether OK came.
func (s *Session) Ping(within time.Duration) bool {
	s.socket.SetDeadline(time.Now().Add(within))
	if _, err := s.socket.Write(mysql.AppendCommand(nil, mysql.Ping)); err != nil {
		return false
	}
	payload, err := s.readPacket()
	return err == nil && len(payload) > 0 && payload[0] == 0
}

// Close ends the session.
func (s *Session) Close() { s.socket.Close() }

func (s *Session) readPacket() ([]byte, error) {
	var head [mysql.HeaderSize]byte
	if _, err := io.ReadFull(s.input, head[:]); err != nil {
		return nil, err
	}
	length, _ := mysql.ParseHeader(head[:])
	payload := make([]byte, length)
	_, err := io.ReadFull(s.input, payload)
	return payload, err
}

// Query is what a client asks.
type Query struct {
	Class     string
	ID        uint64
	Wait      time.Duration
	Retry     bool   // the mark of a client's retry, which has a new id
	Once      string // the token by which engines drop repeats; empty: none
	Statement string
}

func (q *Query) packet() []byte {
	fields := fmt.Sprintf("class=%s,id=%s,wait=%d", q.Class, IDText(q.ID), q.Wait.Milliseconds())
	if q.Retry {
		fields += ",retry=1"
	}
	if q.Once != "" {
		fields += ",once=" + q.Once
	}
	payload := string(mysql.Query) + "/* " + fields + " */ " + q.Statement
	length := len(payload)
	return append([]byte{byte(length), byte(length >> 8), byte(length >> 16), 0}, payload...)
}

// Ask sends a query and waits for its answer, up to the time that the client waits and half a second.
func (s *Session) Ask(q Query) *Answer {
	s.socket.SetDeadline(time.Now().Add(q.Wait + 500*time.Millisecond))
	if _, err := s.socket.Write(q.packet()); err != nil {
		return &Answer{Lost: err}
	}
	a := &Answer{}
	var response mysql.Response
	for {
		payload, err := s.readPacket()
		if err != nil {
			return &Answer{Lost: err}
		}
		if len(payload) > 9 && payload[0] == 0xff {
			a.Text = string(payload[9:])
		}
		done, err := response.ReadPacket(payload, func(columns [3][]byte) {
			a.Rows = append(a.Rows, fmt.Sprintf("%s %s %s", columns[0], columns[1], columns[2]))
		})
		if err != nil {
			return &Answer{Lost: err}
		}
		if done {
			a.Code, a.After = response.Code, time.Duration(response.RetryAfterMS)*time.Millisecond
			return a
		}
	}
}

// IDText returns an id as it stands in a query.
func IDText(id uint64) string { return fmt.Sprintf("%016x", id) }

// FreeAddress returns a loopback address whose port is free for TCP and UDP.
func FreeAddress() (string, error) {
	for range 100 {
		tcp, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		address := "127.0.0.1:" + strconv.Itoa(tcp.Addr().(*net.TCPAddr).Port)
		udp, err := net.ListenPacket("udp", address)
		tcp.Close()
		if err == nil {
			udp.Close()
			return address, nil
		}
	}
	return "", fmt.Errorf("no free address")
}
