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

	"magpiebank/internal/protocol/mysql"
)

// clientSession is one client's connection. Its goroutine reads a query, hands it in as a request, and then handles events
// until the final answer is written.
type clientSession struct {
	owner           *owner
	socket          net.Conn
	input           *bufio.Reader
	connectionID    uint32
	payload         []byte // of the packet read last
	packetNumber    byte   // of the packet read last
	events          *sessionQueue
	statementReader StatementReader // nil if statements are not read
	startedAt       time.Time

	// endReason is the code with which the end of the session is logged; empty while it goes on. dismissed tells that the
	// client was told why.
	endReason string
	dismissed bool

	protocolErrors int       // in a row
	lastRequestID  [16]byte  // of the query before
	rejections     int       // queries rejected or given up in a row
	rejectedAt     time.Time // when the last one was

	// The request in hand.
	answerDeadline time.Time // when a client that stopped waiting has closed
	awaitingAnswer bool
	unanswered     bool // it ended without an answer, because its client left or seemed to
	attempts       []*attempt

	// Guarded by the connection limiter.
	idleList     *list.List
	idleElement  *list.Element // nil while the session is busy
	answeredOnce bool          // a command was answered
	evicted      bool

	request *request // in hand, as the owner knows it; nil: none
}

const (
	user     = "app"
	database = "reports"
)

const (
	// clientCloseDelay is how long after its deadline a client that stopped waiting closes its connection.
	clientCloseDelay = 500 * time.Millisecond
	// maxStatementSize is the size of the longest statement in bytes. The protocol names none, and its fields and names fill no
	// more than some hundred bytes.
	maxStatementSize = 1 << 18
	// usualStatementSize is what a session allocates for a statement before more of it has come, and keeps for the next one.
	usualStatementSize = 1 << 13
	// packetTimeout is how long a begun packet may take to become complete. The protocol owes a client a close within 3 s.
	packetTimeout = 2 * time.Second
	// maxProtocolErrors is how many commands in a row may be none of the protocol's before the session ends.
	maxProtocolErrors = 8
	// maxQuickRejections is how many rejections in a row a client may have without a pause of rejectionPause before the next
	// one. Usual clients wait several times as long, and one that does not costs no more than fifty answers a second.
	maxQuickRejections = 4
	rejectionPause     = 20 * time.Millisecond
	// maxReadAhead is how many bytes are read from a client that sends before it has its answer. The protocol has it send
	// nothing then.
	maxReadAhead = 1 << 12
	// lingerTimeout and maxLingerBytes limit what is read from a client after its last answer, because a close over unread
	// bytes would take the answer with it.
	lingerTimeout  = 300 * time.Millisecond
	maxLingerBytes = 1 << 18
)

// run serves a session and logs its end. It is the session's goroutine.
func (s *clientSession) run() {
	o := s.owner
	o.post(sessionOpened{s})
	defer func() {
		fault := recover()
		o.post(sessionClosed{s})
		s.releaseStatementBuffer()
		s.socket.Close()
		o.connectionEnded("client", s.socket.RemoteAddr().String(), s.endReason, 0, fault)
		o.clients.remove(s)
	}()
	s.serve()
}

// serve speaks with a client until one of the two ends the session.
func (s *clientSession) serve() {
	s.logIn()
	for s.endReason == "" && s.readPacket() {
		s.handleCommand()
	}
	switch {
	case s.endReason == "displaced":
		s.linger(closeRaceWindow) // its descriptor is wanted
	case s.dismissed, s.endReason == "idle", s.endReason == "stopped":
		s.linger(lingerTimeout)
	}
}

// dismiss answers a client for the last time.
func (s *clientSession) dismiss(code string, number uint16, text string) {
	s.writePackets(mysql.AppendError(nil, s.packetNumber+1, number, text))
	s.endReason, s.dismissed = code, true
}

// linger ends what the client reads, and reads and discards what it sends until it has closed, for a time at most. A close
// over unread bytes would reset the connection and take the last answer with it.
func (s *clientSession) linger(timeout time.Duration) {
	closeWrite(s.socket)
	s.socket.SetReadDeadline(time.Now().Add(timeout))
	_, _ = io.CopyN(io.Discard, s.input, maxLingerBytes) // however it ends, the connection is closed next
}

// newClientReader returns a buffered reader of what a client sends.
func newClientReader(socket net.Conn) *bufio.Reader { return bufio.NewReaderSize(socket, maxReadAhead) }

// readPacket reads the next packet's payload. It reports false if the session ends instead.
func (s *clientSession) readPacket() bool {
	if rest := rejectionPause - time.Since(s.rejectedAt); rest > 0 && s.rejections >= maxQuickRejections {
		time.Sleep(rest)
	}
	s.releaseStatementBuffer()
	s.owner.clients.markIdle(s)
	head, err := s.peekHeader()
	if !s.owner.clients.markBusy(s) {
		s.endReason = "displaced"
		return false
	}
	if err != nil {
		s.endUnread(err)
		return false
	}
	length, number := mysql.ParseHeader(head)
	s.packetNumber = number
	if length > maxStatementSize {
		s.dismiss("too_large", mysql.ErrTooLarge, "packet too large")
		return false
	}
	discard(s.input, mysql.HeaderSize)
	s.socket.SetReadDeadline(time.Now().Add(packetTimeout))
	for s.payload = s.payload[:0]; len(s.payload) < length; {
		if !s.growPayload(min(length-len(s.payload), usualStatementSize)) {
			s.dismiss("no_memory", mysql.ErrTooLarge, "no memory for the packet")
			return false
		}
		n, err := s.input.Read(s.payload[len(s.payload):min(length, cap(s.payload))])
		s.payload = s.payload[:len(s.payload)+n]
		if errors.Is(err, os.ErrDeadlineExceeded) && hasInput(s.socket) { // it came while this process stood still
			err = readAvailable(s.socket, s.input, 1)
		}
		if err != nil {
			s.endCutShort(err)
			return false
		}
	}
	return true
}

// peekHeader waits for the header of the next packet. One that has begun to come when the time runs out has finalReadWait to
// become complete.
func (s *clientSession) peekHeader() ([]byte, error) {
	head, err := s.input.Peek(mysql.HeaderSize)
	if !errors.Is(err, os.ErrDeadlineExceeded) || !hasInput(s.socket) {
		return head, err
	}
	if err := readAvailable(s.socket, s.input, mysql.HeaderSize); err != nil {
		return nil, err
	}
	s.socket.SetReadDeadline(time.Now().Add(finalReadWait))
	return s.input.Peek(mysql.HeaderSize)
}

// endUnread ends a session that waited for a packet, of which nothing or less than its header came.
func (s *clientSession) endUnread(err error) {
	switch {
	case !errors.Is(err, os.ErrDeadlineExceeded):
		s.endReason = endCode(err)
	case s.owner.clients.isShuttingDown():
		s.endReason = "stopped"
	case s.input.Buffered() > 0:
		s.dismiss("idle", mysql.ErrParse, "the head of a packet was cut short")
	default:
		s.endReason = "idle"
	}
}

// endCutShort ends a session of which a begun packet did not become complete.
func (s *clientSession) endCutShort(err error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) { // the client is gone
		s.endReason = "cut_short"
		return
	}
	s.dismiss("cut_short", mysql.ErrParse, "a packet was cut short")
}

// releaseStatementBuffer frees the buffer of a long statement.
func (s *clientSession) releaseStatementBuffer() {
	if cap(s.payload) > usualStatementSize {
		s.owner.usage.statementBytes.Add(-int64(cap(s.payload)))
		s.payload = nil
	}
}

// growPayload makes room for n more bytes of a statement. It reports false if long statements hold too much memory.
func (s *clientSession) growPayload(n int) bool {
	old := cap(s.payload)
	s.payload = slices.Grow(s.payload, n)
	size := cap(s.payload)
	if size <= usualStatementSize || size == old {
		return true
	}
	if old <= usualStatementSize {
		old = 0 // that is not counted
	}
	all := s.owner.usage.statementBytes.Add(int64(size - old))
	return s.owner.usage.maxStatementBytes == 0 || all <= s.owner.usage.maxStatementBytes
}

// writePackets writes packets. They must be written by the time at which a client that stopped waiting has closed.
func (s *clientSession) writePackets(packets ...[]byte) {
	by := time.Now().Add(clientCloseDelay)
	if s.answerDeadline.After(by) {
		by = s.answerDeadline
	}
	if _, err := writeWithDeadline(s.socket, by, packets); err != nil && s.endReason == "" {
		s.endReason = "write_failed"
	}
}

// logIn greets a client and checks its login.
func (s *clientSession) logIn() {
	var salt [20]byte
	for i := range salt { // passwords are empty, so there is nothing for it to guard
		salt[i] = byte('a' + (int(s.connectionID)+i)%26)
	}
	s.writePackets(mysql.AppendGreeting(nil, s.connectionID, &salt))
	if s.endReason != "" || !s.readPacket() {
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
		s.writePackets(mysql.AppendOK(nil, s.packetNumber+1))
	}
}

// noteRejection counts a rejection, by which the next command may be delayed.
func (s *clientSession) noteRejection() {
	s.rejections++
	s.rejectedAt = time.Now()
}

// rejectCommand answers a command that is none of the protocol's, and ends the session after too many of them.
func (s *clientSession) rejectCommand(code uint16, text string) {
	s.noteRejection()
	s.protocolErrors++
	if s.protocolErrors >= maxProtocolErrors {
		s.dismiss("no_protocol", code, text)
		return
	}
	s.writePackets(mysql.AppendError(nil, s.packetNumber+1, code, text))
}

// handleCommand carries out the command in the packet read last.
func (s *clientSession) handleCommand() {
	if len(s.payload) == 0 {
		s.dismiss("bad_packet", mysql.ErrParse, "empty packet")
		return
	}
	defer func() { s.answeredOnce = true }()
	arg := s.payload[1:]
	switch s.payload[0] {
	case mysql.Quit:
		s.endReason = "quit"
	case mysql.Ping:
		s.writePackets(mysql.AppendOK(nil, s.packetNumber+1))
	case mysql.InitDB:
		if string(arg) == database {
			s.writePackets(mysql.AppendOK(nil, s.packetNumber+1))
		} else {
			s.rejectCommand(mysql.ErrNoDatabase, "unknown database")
		}
	case mysql.Query:
		if connection, ok := mysql.ParseKillQuery(arg); ok {
			s.owner.post(killRequested{connectionID: connection})
			s.writePackets(mysql.AppendOK(nil, s.packetNumber+1))
			return
		}
		s.handleQuery(arg)
	default:
		s.rejectCommand(mysql.ErrUnknownCommand, "unknown command")
	}
}
