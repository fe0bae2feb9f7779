package router

import (
	"bufio"
	"container/list"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/protocol/mysql"
)

// session is one client's connection. Its goroutine reads a query, queues it as a request, and then does what its
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
	dismissed  bool   // and it is the client's fault, who was told so
	began      time.Time
	odd        int       // answers in a row to what is no query of the protocol
	lastID     [16]byte  // of the query before
	turns      int       // queries refused or given up in a row
	turnedAway time.Time // and when the last was

	// Guarded by the connection limiter.
	line      *list.List
	place     *list.Element
	asked     bool // it has had an answer to a command
	displaced bool

	// The request in hand.
	answerBy time.Time // when a client that stopped waiting closes
	waiting  bool
	// It ended without an answer, as its client left or was taken to have left.
	unanswered bool
	made       []*attempt

	reader StatementReader // nil: statements are not read

	taken *request // the owner's; nil: none
}

const (
	user     = "app"
	database = "reports"
	// A client that stops waiting closes its session half a second later.
	afterCutoff = 500 * time.Millisecond
	// The longest statement that a session takes: the protocol names none, and its fields and names fill no more
	// than some hundred bytes of it.
	mostStatement = 1 << 18
	// What a session sets aside for a statement before more of it has come, and what it keeps for the next one.
	someStatement = 1 << 13
	// A begun packet is owed an end, or its client a close, within 3 s.
	wholePacket = 2 * time.Second
	// Who asks for what can't be so often without one query of the protocol does not speak it.
	mostRefused = 8
	// The rest between two answers of a session that was turned away so often in a row: usual clients wait several
	// times as long, and one that does not costs no more than fifty answers a second.
	mostTurns = 4
	breath    = 20 * time.Millisecond
	// What is read ahead of a client that sends before it has its answer. The protocol has it send nothing then.
	mostAhead = 1 << 12
	// How long, and how much, is read from a client that was answered for the last time, as a close over unread
	// bytes would take the answer with it.
	lingering  = 300 * time.Millisecond
	mostLinger = 1 << 18
)

// serve speaks with a client until one of the two ends it.
func (s *session) serve() {
	s.login()
	for s.code == "" && s.read() {
		s.command()
	}
	switch {
	case s.code == "displaced":
		s.linger(crossing) // its descriptor is wanted
	case s.dismissed, s.code == "idle", s.code == "stopped":
		s.linger(lingering)
	}
}

// dismiss answers a client for the last time.
func (s *session) dismiss(code string, number uint16, text string) {
	s.write(mysql.AppendError(nil, s.number+1, number, text))
	s.code, s.dismissed = code, true
}

// linger tells the client that nothing more comes and reads until it has closed, for a while: a close over unread bytes would
// reset the connection and take the last answer with it. What is read now goes nowhere.
func (s *session) linger(most time.Duration) {
	closeWrite(s.tcp)
	s.tcp.SetReadDeadline(time.Now().Add(most))
	io.CopyN(io.Discard, s.r, mostLinger)
}

// closeWrite ends what a connection's peer reads.
func closeWrite(tcp net.Conn) {
	if half, ok := tcp.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
}

// newReader buffers what a client sends.
func newReader(tcp net.Conn) *bufio.Reader { return bufio.NewReaderSize(tcp, mostAhead) }

// read takes the next packet's payload in.
func (s *session) read() bool {
	if rest := breath - time.Since(s.turnedAway); rest > 0 && s.turns >= mostTurns {
		time.Sleep(rest)
	}
	s.shrink()
	s.o.clients.rest(s)
	head, err := s.peekHead()
	if !s.o.clients.work(s) {
		s.code = "displaced"
		return false
	}
	if err != nil {
		s.endUnread(err)
		return false
	}
	length, number := mysql.ParseHeader(head)
	s.number = number
	if length > mostStatement {
		s.dismiss("too_large", mysql.ErrTooLarge, "packet too large")
		return false
	}
	s.r.Discard(mysql.HeaderSize)
	s.tcp.SetReadDeadline(time.Now().Add(wholePacket))
	for s.payload = s.payload[:0]; len(s.payload) < length; {
		if !s.grow(min(length-len(s.payload), someStatement)) {
			s.dismiss("no_memory", mysql.ErrTooLarge, "no memory for the packet")
			return false
		}
		n, err := s.r.Read(s.payload[len(s.payload):min(length, cap(s.payload))])
		s.payload = s.payload[:len(s.payload)+n]
		if errors.Is(err, os.ErrDeadlineExceeded) && speaks(s.tcp) { // it came while this process stood still
			err = readArrived(s.tcp, s.r, 1)
		}
		if err != nil {
			s.endCutShort(err)
			return false
		}
	}
	return true
}

// peekHead waits for the head of the next packet. One that has begun to come as the time runs out has lastLook to become whole.
func (s *session) peekHead() ([]byte, error) {
	head, err := s.r.Peek(mysql.HeaderSize)
	if !errors.Is(err, os.ErrDeadlineExceeded) || !speaks(s.tcp) {
		return head, err
	}
	if err := readArrived(s.tcp, s.r, mysql.HeaderSize); err != nil {
		return nil, err
	}
	s.tcp.SetReadDeadline(time.Now().Add(lastLook))
	return s.r.Peek(mysql.HeaderSize)
}

// endUnread ends a session that waited for a packet, of which nothing or less than its head came.
func (s *session) endUnread(err error) {
	switch {
	case !errors.Is(err, os.ErrDeadlineExceeded):
		s.code = endCode(err)
	case s.o.clients.shutting():
		s.code = "stopped"
	case s.r.Buffered() > 0:
		s.dismiss("idle", mysql.ErrParse, "the head of a packet was cut short")
	default:
		s.code = "idle"
	}
}

// endCutShort ends a session of which a begun packet did not become whole.
func (s *session) endCutShort(err error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) { // the client is gone
		s.code = "cut_short"
		return
	}
	s.dismiss("cut_short", mysql.ErrParse, "a packet was cut short")
}

// shrink lets a large statement go, with its part of the memory for such.
func (s *session) shrink() {
	if cap(s.payload) > someStatement {
		s.o.statements.Add(-int64(cap(s.payload)))
		s.payload = nil
	}
}

// grow makes room for more of a statement, as long as all that wait for their ends fit into a part of the memory.
func (s *session) grow(n int) bool {
	old := cap(s.payload)
	s.payload = slices.Grow(s.payload, n)
	size := cap(s.payload)
	if size <= someStatement || size == old {
		return true
	}
	if old <= someStatement {
		old = 0 // that is not counted
	}
	all := s.o.statements.Add(int64(size - old))
	return s.o.mostStatements == 0 || all <= s.o.mostStatements
}

// write sends packets, gathered; it must be through when a client that stopped waiting would be gone.
func (s *session) write(packets ...[]byte) {
	by := time.Now().Add(afterCutoff)
	if s.answerBy.After(by) {
		by = s.answerBy
	}
	if _, err := writeBy(s.tcp, by, packets); err != nil && s.code == "" {
		s.code = "write_failed"
	}
}

func (s *session) login() {
	var salt [20]byte
	for i := range salt { // passwords are empty, so there is nothing for it to guard
		salt[i] = byte('a' + (int(s.connection)+i)%26)
	}
	s.write(mysql.AppendGreeting(nil, s.connection, &salt))
	if s.code != "" || !s.read() {
		return
	}
	name, password, db, err := mysql.ParseLogin(s.payload)
	switch {
	case err != nil:
		s.dismiss("bad_login", mysql.ErrParse, err.Error())
	case string(name) != user || len(password) > 0:
		s.dismiss("denied", mysql.ErrAccess, "access denied")
	case len(db) > 0 && string(db) != database:
		s.dismiss("denied", mysql.ErrNoDatabase, "unknown database")
	default:
		s.write(mysql.AppendOK(nil, s.number+1))
	}
}

func (s *session) turnAway() { s.turns, s.turnedAway = s.turns+1, time.Now() }

// amiss answers what is no query of the protocol.
func (s *session) amiss(code uint16, text string) {
	s.turnAway()
	if s.odd++; s.odd >= mostRefused {
		s.dismiss("no_protocol", code, text)
		return
	}
	s.write(mysql.AppendError(nil, s.number+1, code, text))
}

func (s *session) command() {
	if len(s.payload) == 0 {
		s.dismiss("bad_packet", mysql.ErrParse, "empty packet")
		return
	}
	defer func() { s.asked = true }()
	arg := s.payload[1:]
	switch s.payload[0] {
	case mysql.Quit:
		s.code = "quit"
	case mysql.Ping:
		s.write(mysql.AppendOK(nil, s.number+1))
	case mysql.InitDB:
		if string(arg) == database {
			s.write(mysql.AppendOK(nil, s.number+1))
		} else {
			s.amiss(mysql.ErrNoDatabase, "unknown database")
		}
	case mysql.Query:
		if connection, ok := mysql.ParseKillQuery(arg); ok {
			s.o.tell(func(now admission.Time) { s.o.killed(now, connection) })
			s.write(mysql.AppendOK(nil, s.number+1))
			return
		}
		s.query(arg)
	default:
		s.amiss(mysql.ErrUnknownCommand, "unknown command")
	}
}

// killed ends the request of the session whose client stopped waiting.
func (o *owner) killed(now admission.Time, connection uint32) {
	if s := o.sessions[connection]; s != nil && s.taken != nil {
		o.left(now, s.taken)
	}
}
