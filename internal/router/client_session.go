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

// clientSession serves one client connection. Its goroutine reads a query, submits it to the owner as a request, and then
// handles events until the final answer is written.
type clientSession struct {
	owner           *owner
	socket          net.Conn
	input           *bufio.Reader
	connectionID    uint32
	payload         []byte // payload of the last packet read
	packetNumber    byte   // sequence number of the last packet read
	events          *sessionQueue
	statementReader StatementReader // nil if the gateway has no resource groups
	startedAt       time.Time

	endReason string // code by which the log reports why the session ended; empty until the session ends
	dismissed bool   // the client has received a last answer, so the session lingers before it closes

	protocolErrors int       // invalid commands in a row
	lastRequestID  [16]byte  // request id of the previous query
	rejections     int       // rejections since a result was last written
	rejectedAt     time.Time // time of the last rejection

	// State of the outstanding request.
	answerDeadline time.Time // a client that stopped waiting has closed its connection by then
	awaitingAnswer bool
	unanswered     bool // the request ended without an answer: the client disconnected or sent too much, or its query was killed
	attempts       []*attempt

	// Used by the connection limiter. Its mutex guards idleList, idleElement and evicted.
	idleList     *list.List
	idleElement  *list.Element // nil while the session is busy or evicted
	answeredOnce bool          // a command was answered
	evicted      bool

	request *request // the session's outstanding request; nil if there is none. Only the owner's goroutine uses it.
}

// The only user and database with which clients may log in.
const (
	user     = "app"
	database = "reports"
)

const (
	// clientCloseDelay is how long after its deadline a client that stopped waiting closes its connection.
	clientCloseDelay = 500 * time.Millisecond
	// maxStatementSize is the maximum payload size of a client's packet, in bytes. The protocol states no limit. The fields and
	// names of a statement take no more than a few hundred bytes.
	maxStatementSize = 1 << 18
	// usualStatementSize is the step in bytes by which a session grows its buffer as a packet arrives, so that a large length in
	// the header alone takes no memory. The session keeps a buffer of up to this size for the next packet.
	usualStatementSize = 1 << 13
	// packetTimeout is how long the rest of a packet may take to arrive after its header. The protocol requires the gateway to
	// close the connection of an incomplete packet within 3 s.
	packetTimeout = 2 * time.Second
	// maxProtocolErrors is the number of invalid commands in a row after which the session ends.
	maxProtocolErrors = 8
	// After maxQuickRejections rejections in a row, the session reads the next command no earlier than rejectionPause after the
	// last rejection. Usual clients wait several times as long by themselves. A client that doesn't wait causes no more than
	// fifty answers a second.
	maxQuickRejections = 4
	rejectionPause     = 20 * time.Millisecond
	// maxReadAhead is how many bytes the session reads from a client that sends before it has received its answer. The protocol
	// forbids clients to do so.
	maxReadAhead = 1 << 12
	// lingerTimeout and maxLingerBytes limit how long and how many bytes a session reads from a client after its last answer. It
	// reads them because closing a connection with unread input resets it, and the client would lose the answer.
	lingerTimeout  = 300 * time.Millisecond
	maxLingerBytes = 1 << 18
)

// run serves a session and logs its end. It runs on the session's own goroutine.
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

// serve logs the client in and handles its commands until the client or the gateway ends the session.
func (s *clientSession) serve() {
	s.logIn()
	for s.endReason == "" && s.readPacket() {
		s.handleCommand()
	}
	switch {
	case s.endReason == "displaced":
		s.linger(closeRaceWindow) // shorter than lingerTimeout, because the descriptor is needed
	case s.dismissed, s.endReason == "idle", s.endReason == "stopped":
		s.linger(lingerTimeout)
	}
}

// dismiss sends a client a last error packet and ends the session. code is the end reason for the log; number and text go
// into the error packet.
func (s *clientSession) dismiss(code string, number uint16, text string) {
	s.writePackets(mysql.AppendError(nil, s.packetNumber+1, number, text))
	s.endReason, s.dismissed = code, true
}

// linger closes the sending direction of the connection, and discards what the client still sends until the client closes
// too, the timeout passes, or maxLingerBytes are read. Closing a connection with unread input would reset it, and the client
// would lose the last answer.
func (s *clientSession) linger(timeout time.Duration) {
	closeWrite(s.socket)
	s.socket.SetReadDeadline(time.Now().Add(timeout))
	_, _ = io.CopyN(io.Discard, s.input, maxLingerBytes) // errors don't matter, because the connection is closed next
}

// newClientReader returns a buffered reader of a client connection.
func newClientReader(socket net.Conn) *bufio.Reader { return bufio.NewReaderSize(socket, maxReadAhead) }

// readPacket reads the payload of the next packet. It reports false, and sets the end reason, if the session must end.
func (s *clientSession) readPacket() bool {
	if delay := rejectionPause - time.Since(s.rejectedAt); delay > 0 && s.rejections >= maxQuickRejections {
		time.Sleep(delay)
	}
	s.releaseStatementBuffer()
	s.owner.clients.markIdle(s)
	header, err := s.peekHeader()
	if !s.owner.clients.markBusy(s) {
		s.endReason = "displaced"
		return false
	}
	if err != nil {
		s.endUnread(err)
		return false
	}
	length, number := mysql.ParseHeader(header)
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
		if errors.Is(err, os.ErrDeadlineExceeded) && hasInput(s.socket) { // the bytes arrived during a stall of this process
			err = readAvailable(s.socket, s.input, 1)
		}
		if err != nil {
			s.endCutShort(err)
			return false
		}
	}
	return true
}

// peekHeader waits for the header of the next packet. If the deadline passes when some of the header has arrived, the rest
// may take up to finalReadWait.
func (s *clientSession) peekHeader() ([]byte, error) {
	header, err := s.input.Peek(mysql.HeaderSize)
	if !errors.Is(err, os.ErrDeadlineExceeded) || !hasInput(s.socket) {
		return header, err
	}
	if err := readAvailable(s.socket, s.input, mysql.HeaderSize); err != nil {
		return nil, err
	}
	s.socket.SetReadDeadline(time.Now().Add(finalReadWait))
	return s.input.Peek(mysql.HeaderSize)
}

// endUnread ends a session that waited for a packet but received no complete header.
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

// endCutShort ends a session that received an incomplete packet.
func (s *clientSession) endCutShort(err error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) { // the client has disconnected
		s.endReason = "cut_short"
		return
	}
	s.dismiss("cut_short", mysql.ErrParse, "a packet was cut short")
}

// releaseStatementBuffer frees the payload buffer if it is larger than usualStatementSize.
func (s *clientSession) releaseStatementBuffer() {
	if cap(s.payload) > usualStatementSize {
		s.owner.usage.statementBytes.Add(-int64(cap(s.payload)))
		s.payload = nil
	}
}

// growPayload grows the payload buffer by n bytes of capacity. It reports false if the large buffers of all sessions together
// exceed the memory limit for statements.
func (s *clientSession) growPayload(n int) bool {
	oldSize := cap(s.payload)
	s.payload = slices.Grow(s.payload, n)
	size := cap(s.payload)
	if size <= usualStatementSize || size == oldSize {
		return true
	}
	if oldSize <= usualStatementSize {
		oldSize = 0 // statementBytes doesn't include buffers up to usualStatementSize
	}
	total := s.owner.usage.statementBytes.Add(int64(size - oldSize))
	return s.owner.usage.maxStatementBytes == 0 || total <= s.owner.usage.maxStatementBytes
}

// writePackets writes packets to the client. The write deadline is clientCloseDelay from now, or answerDeadline if that is
// later: by then a client that stopped waiting has closed its connection.
func (s *clientSession) writePackets(packets ...[]byte) {
	deadline := time.Now().Add(clientCloseDelay)
	if s.answerDeadline.After(deadline) {
		deadline = s.answerDeadline
	}
	if _, err := writeWithDeadline(s.socket, deadline, packets); err != nil && s.endReason == "" {
		s.endReason = "write_failed"
	}
}

// logIn sends the greeting to a client and checks the client's login.
func (s *clientSession) logIn() {
	var salt [20]byte
	for i := range salt { // a predictable salt is enough, because passwords are empty
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

// noteRejection counts a rejection. After too many in a row, readPacket delays the next command.
func (s *clientSession) noteRejection() {
	s.rejections++
	s.rejectedAt = time.Now()
}

// rejectCommand answers an invalid command with an error. It ends the session after maxProtocolErrors of them in a row.
func (s *clientSession) rejectCommand(code uint16, text string) {
	s.noteRejection()
	s.protocolErrors++
	if s.protocolErrors >= maxProtocolErrors {
		s.dismiss("no_protocol", code, text)
		return
	}
	s.writePackets(mysql.AppendError(nil, s.packetNumber+1, code, text))
}

// handleCommand executes the command in the last packet read.
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
