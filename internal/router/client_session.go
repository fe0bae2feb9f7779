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

// session is one client's connection. Its goroutine reads a query, queues it as a request, and then does what its
// mailbox says until the final answer is written.
type clientSession struct {
	owner          *owner
	socket         net.Conn
	input          *bufio.Reader
	connectionID   uint32
	payload        []byte
	packetNumber   byte // of the last packet read
	events         *sessionQueue
	endReason      string // why it ends; empty: it doesn't
	dismissed      bool   // and it is the client's fault, who was told so
	startedAt      time.Time
	protocolErrors int       // answers in a row to what is no query of the protocol
	lastRequestID  [16]byte  // of the query before
	rejections     int       // queries refused or given up in a row
	rejectedAt     time.Time // and when the last was

	// Guarded by the connection limiter.
	idleList     *list.List
	idleElement  *list.Element
	answeredOnce bool // it has had an answer to a command
	evicted      bool

	// The request in hand.
	answerDeadline time.Time // when a client that stopped waiting closes
	awaitingAnswer bool
	// It ended without an answer, as its client left or was taken to have left.
	unanswered bool
	attempts   []*attempt

	statementReader StatementReader // nil: statements are not read

	request *request // the owner's; nil: none
}

const (
	user     = "app"
	database = "reports"
	// A client that stops waiting closes its session half a second later.
	clientCloseDelay = 500 * time.Millisecond
	// The longest statement that a session takes: the protocol names none, and its fields and names fill no more
	// than some hundred bytes of it.
	maxStatementSize = 1 << 18
	// What a session sets aside for a statement before more of it has come, and what it keeps for the next one.
	usualStatementSize = 1 << 13
	// A begun packet is owed an end, or its client a close, within 3 s.
	packetTimeout = 2 * time.Second
	// Who asks for what can't be so often without one query of the protocol does not speak it.
	maxProtocolErrors = 8
	// The rest between two answers of a session that was turned away so often in a row: usual clients wait several
	// times as long, and one that does not costs no more than fifty answers a second.
	maxQuickRejections = 4
	rejectionPause     = 20 * time.Millisecond
	// What is read ahead of a client that sends before it has its answer. The protocol has it send nothing then.
	maxReadAhead = 1 << 12
	// How long, and how much, is read from a client that was answered for the last time, as a close over unread
	// bytes would take the answer with it.
	lingerTimeout  = 300 * time.Millisecond
	maxLingerBytes = 1 << 18
)

// serve speaks with a client until one of the two ends it.
func (s *clientSession) serve() {
	s.logIn()
	for s.endReason == "" && s.readPacket() {
		s.handleCommand()
	}
	switch {
	case s.endReason == "displaced":
		s.linger(closeCrossingTime) // its descriptor is wanted
	case s.dismissed, s.endReason == "idle", s.endReason == "stopped":
		s.linger(lingerTimeout)
	}
}

// dismiss answers a client for the last time.
func (s *clientSession) dismiss(code string, number uint16, text string) {
	s.writePackets(mysql.AppendError(nil, s.packetNumber+1, number, text))
	s.endReason, s.dismissed = code, true
}

// linger tells the client that nothing more comes and reads until it has closed, for a while: a close over unread bytes would
// reset the connection and take the last answer with it. What is read now goes nowhere.
func (s *clientSession) linger(most time.Duration) {
	closeWrite(s.socket)
	s.socket.SetReadDeadline(time.Now().Add(most))
	io.CopyN(io.Discard, s.input, maxLingerBytes)
}

// closeWrite ends what a connection's peer reads.
func closeWrite(tcp net.Conn) {
	if half, ok := tcp.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
}

// newReader buffers what a client sends.
func newClientReader(tcp net.Conn) *bufio.Reader { return bufio.NewReaderSize(tcp, maxReadAhead) }

// read takes the next packet's payload in.
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
	s.input.Discard(mysql.HeaderSize)
	s.socket.SetReadDeadline(time.Now().Add(packetTimeout))
	for s.payload = s.payload[:0]; len(s.payload) < length; {
		if !s.growPayload(min(length-len(s.payload), usualStatementSize)) {
			s.dismiss("no_memory", mysql.ErrTooLarge, "no memory for the packet")
			return false
		}
		n, err := s.input.Read(s.payload[len(s.payload):min(length, cap(s.payload))])
		s.payload = s.payload[:len(s.payload)+n]
		if errors.Is(err, os.ErrDeadlineExceeded) && hasInput(s.socket) { // it came while this process stood still
			err = readArrived(s.socket, s.input, 1)
		}
		if err != nil {
			s.endCutShort(err)
			return false
		}
	}
	return true
}

// peekHead waits for the head of the next packet. One that has begun to come as the time runs out has lastLook to become whole.
func (s *clientSession) peekHeader() ([]byte, error) {
	head, err := s.input.Peek(mysql.HeaderSize)
	if !errors.Is(err, os.ErrDeadlineExceeded) || !hasInput(s.socket) {
		return head, err
	}
	if err := readArrived(s.socket, s.input, mysql.HeaderSize); err != nil {
		return nil, err
	}
	s.socket.SetReadDeadline(time.Now().Add(finalReadWait))
	return s.input.Peek(mysql.HeaderSize)
}

// endUnread ends a session that waited for a packet, of which nothing or less than its head came.
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

// endCutShort ends a session of which a begun packet did not become whole.
func (s *clientSession) endCutShort(err error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) { // the client is gone
		s.endReason = "cut_short"
		return
	}
	s.dismiss("cut_short", mysql.ErrParse, "a packet was cut short")
}

// shrink lets a large statement go, with its part of the memory for such.
func (s *clientSession) releaseStatementBuffer() {
	if cap(s.payload) > usualStatementSize {
		s.owner.usage.statementBytes.Add(-int64(cap(s.payload)))
		s.payload = nil
	}
}

// grow makes room for more of a statement, as long as all that wait for their ends fit into a part of the memory.
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

// write sends packets, gathered; it must be through when a client that stopped waiting would be gone.
func (s *clientSession) writePackets(packets ...[]byte) {
	by := time.Now().Add(clientCloseDelay)
	if s.answerDeadline.After(by) {
		by = s.answerDeadline
	}
	if _, err := writeBy(s.socket, by, packets); err != nil && s.endReason == "" {
		s.endReason = "write_failed"
	}
}

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

func (s *clientSession) noteRejection() { s.rejections, s.rejectedAt = s.rejections+1, time.Now() }

// amiss answers what is no query of the protocol.
func (s *clientSession) rejectCommand(code uint16, text string) {
	s.noteRejection()
	if s.protocolErrors++; s.protocolErrors >= maxProtocolErrors {
		s.dismiss("no_protocol", code, text)
		return
	}
	s.writePackets(mysql.AppendError(nil, s.packetNumber+1, code, text))
}

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
