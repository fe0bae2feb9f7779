package router

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/mysql"
)

// session is one client's connection. Its goroutine reads a query, queues it as a task, and then does what its
// mailbox says until the final answer is written.
type session struct {
	o          *owner
	tcp        net.Conn
	r          *bufio.Reader
	connection uint32
	payload    []byte
	number     byte // of the last packet read
	mail       *mailbox
	code       string // why it ends; empty: it doesn't

	// The task in hand, set before it is queued.
	lane      string
	statement []byte
	answerBy  time.Time // when a client that stopped waiting closes
	waiting   bool
	made      []*handOff

	// The owner's part of it.
	taken  admission.TaskID // empty: none
	cutoff admission.Time
	tries  int
	out    *handOff
	memory float64
	rank   int
}

const (
	user     = "app"
	database = "reports"
	// Clients close connections that were idle for 4 s; one that is there for twice that is stuck.
	idleClient = 8 * time.Second
	// A client that stops waiting closes its session half a second later.
	afterCutoff = 500 * time.Millisecond
	// The longest statement that a session takes.
	mostStatement = 1 << 20
)

// serve speaks with a client until one of the two ends it.
func (s *session) serve() {
	s.login()
	for s.code == "" && s.read() {
		s.command()
	}
}

// read takes the next packet's payload in.
func (s *session) read() bool {
	s.tcp.SetReadDeadline(time.Now().Add(idleClient))
	head, err := s.r.Peek(mysql.HeadSize)
	if err != nil {
		if s.code = endCode(err); errors.Is(err, os.ErrDeadlineExceeded) {
			s.code = "idle"
		}
		return false
	}
	length, number := mysql.Head(head)
	s.number = number
	if length > mostStatement {
		s.write(mysql.Error(nil, number+1, mysql.ErrTooLarge, "packet too large"))
		s.code = "too_large"
		return false
	}
	s.r.Discard(mysql.HeadSize)
	s.payload = slices.Grow(s.payload[:0], length)[:length]
	if _, err := io.ReadFull(s.r, s.payload); err != nil {
		s.code = "cut_short"
		return false
	}
	return true
}

// write sends packets, gathered; it must be through when a client that stopped waiting would be gone.
func (s *session) write(packets ...[]byte) {
	by := time.Now().Add(afterCutoff)
	if s.answerBy.After(by) {
		by = s.answerBy
	}
	s.tcp.SetWriteDeadline(by)
	buffers := net.Buffers(packets)
	if _, err := buffers.WriteTo(s.tcp); err != nil && s.code == "" {
		s.code = "write_failed"
	}
}

func (s *session) login() {
	var salt [20]byte
	for i := range salt { // passwords are empty, so there is nothing for it to guard
		salt[i] = byte('a' + (int(s.connection)+i)%26)
	}
	s.write(mysql.Greeting(nil, s.connection, &salt))
	if s.code != "" || !s.read() {
		return
	}
	name, password, db, err := mysql.Login(s.payload)
	switch {
	case err != nil:
		s.write(mysql.Error(nil, s.number+1, mysql.ErrParse, err.Error()))
		s.code = "bad_login"
	case string(name) != user || len(password) > 0:
		s.write(mysql.Error(nil, s.number+1, mysql.ErrAccess, "access denied"))
		s.code = "denied"
	case len(db) > 0 && string(db) != database:
		s.write(mysql.Error(nil, s.number+1, mysql.ErrNoDatabase, "unknown database"))
		s.code = "denied"
	default:
		s.write(mysql.OK(nil, s.number+1))
	}
}

func (s *session) command() {
	if len(s.payload) == 0 {
		s.code = "bad_packet"
		return
	}
	arg := s.payload[1:]
	switch s.payload[0] {
	case mysql.Quit:
		s.code = "quit"
	case mysql.Ping:
		s.write(mysql.OK(nil, s.number+1))
	case mysql.InitDB:
		if string(arg) == database {
			s.write(mysql.OK(nil, s.number+1))
		} else {
			s.write(mysql.Error(nil, s.number+1, mysql.ErrNoDatabase, "unknown database"))
		}
	case mysql.Query:
		if connection, ok := mysql.Kill(arg); ok {
			s.o.tell(func(now admission.Time) { s.o.killed(now, connection) })
			s.write(mysql.OK(nil, s.number+1))
			return
		}
		s.query(arg)
	default:
		s.write(mysql.Error(nil, s.number+1, mysql.ErrUnknownCommand, "unknown command"))
	}
}

// query queues a statement as a task and sees it through.
func (s *session) query(sql []byte) {
	class, id, waitMS, statement, err := mysql.Statement(sql)
	lane := slices.Index(s.o.network.Lanes, string(class))
	if err == nil && lane < 0 {
		err = mysql.ErrClass
	}
	if err != nil {
		s.write(mysql.Error(nil, s.number+1, mysql.ErrParse, err.Error()))
		return
	}
	task := admission.TaskID(id)
	s.lane, s.statement = s.o.network.Lanes[lane], statement
	s.answerBy = time.Now().Add(time.Duration(waitMS)*time.Millisecond + afterCutoff)
	s.waiting = true
	tables := mysql.Tables(statement)
	s.o.tell(func(now admission.Time) {
		s.o.arrived(now, s, task, lane, now+admission.Time(waitMS)*admission.Millisecond, tables)
	})
	s.o.open.Add(1)
	defer s.o.open.Add(-1)
	for s.waiting {
		<-s.mail.wake
		s.mail.run()
	}
	for _, h := range s.made {
		h.forget()
	}
	s.made = s.made[:0]
}

// deliver writes a result.
func (s *session) deliver(pages [][]byte) {
	s.waiting = false
	head, number := mysql.Columns(make([]byte, 0, 512), s.number+1)
	size := 0
	for _, page := range pages {
		size += len(page) + len(page)/2
	}
	rows, err := make([]byte, 0, size), error(nil)
	for _, page := range pages {
		if rows, number, err = mysql.Rows(rows, number, page); err != nil {
			s.write(mysql.Error(nil, s.number+1, mysql.ErrWrittenOff, "the engine's answer can't be read"))
			return
		}
	}
	s.write(head, rows, mysql.EOF(nil, number))
}

func (s *session) nack(comeBackMS int64) {
	s.waiting = false
	s.write(mysql.Nack(nil, s.number+1, comeBackMS))
}

func (s *session) writeOff() {
	s.waiting = false
	s.write(mysql.Error(nil, s.number+1, mysql.ErrWrittenOff, "written off"))
}

// refuse answers a query that never became a task.
func (s *session) refuse(why string) {
	s.waiting = false
	s.write(mysql.Error(nil, s.number+1, mysql.ErrParse, why))
}

// leave ends a task whose client stopped waiting; no answer is owed.
func (s *session) leave() { s.waiting = false }
