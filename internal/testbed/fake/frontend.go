package fake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"magpiebank/internal/protocol/mysql"
)

// Frontend is a fake gateway. It speaks the MySQL protocol and answers each query itself after the query's service time. All
// sessions run at the same time, without a queue, so latencies measured against it show the delay that the load generator adds.
type Frontend struct {
	Address string
	Log     *ExecutionLog // nil: requests are not logged

	works      []Work
	listener   net.Listener
	lastConnID atomic.Uint32

	mu         sync.Mutex
	resumed    *sync.Cond
	paused     bool
	pausedAt   time.Time
	pausedTime time.Duration // total time in pauses that are over
	conns      map[net.Conn]bool

	// CorruptEvery, DuplicateEvery and DropEvery inject faults that the load's checker has to find. Every n-th answer has the rows of
	// another request (CorruptEvery n), is sent twice (DuplicateEvery n), or is replaced by closing the connection (DropEvery n). 0
	// disables a fault.
	CorruptEvery, DuplicateEvery, DropEvery atomic.Int64
	answerCount                             atomic.Int64
}

// StartFrontend starts a frontend on a loopback address. log may be nil.
func StartFrontend(address string, works []Work, log *ExecutionLog) (*Frontend, error) {
	listener, err := listen(address)
	if err != nil {
		return nil, fmt.Errorf("fake frontend: %w", err)
	}
	f := &Frontend{Address: listener.Addr().String(), Log: log, works: works, listener: listener, conns: map[net.Conn]bool{}}
	f.resumed = sync.NewCond(&f.mu)
	go f.accept()
	return f, nil
}

func (f *Frontend) accept() {
	for {
		tcp, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.mu.Lock()
		f.conns[tcp] = true
		f.mu.Unlock()
		go f.serve(tcp)
	}
}

// Pause stops the frontend's clock: running queries take longer by the length of the pause. Resume ends a pause.
func (f *Frontend) Pause() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.paused {
		f.paused, f.pausedAt = true, time.Now()
	}
}

// Resume ends a pause and lets the queries go on.
func (f *Frontend) Resume() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.paused {
		f.paused = false
		f.pausedTime += time.Since(f.pausedAt)
		f.resumed.Broadcast()
	}
}

// Close stops the frontend and closes all sessions.
func (f *Frontend) Close() {
	f.Resume()
	f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.Close()
	}
}

// simulateService sleeps for a service time on the frontend's clock, which stops during pauses.
func (f *Frontend) simulateService(service time.Duration) {
	f.mu.Lock()
	for f.paused {
		f.resumed.Wait()
	}
	remaining, pausedBefore, began := service, f.pausedTime, time.Now()
	f.mu.Unlock()
	if remaining <= 0 {
		return
	}
	for {
		time.Sleep(remaining)
		f.mu.Lock()
		for f.paused {
			f.resumed.Wait()
		}
		remaining = service + f.pausedTime - pausedBefore - time.Since(began)
		f.mu.Unlock()
		if remaining <= 0 {
			return
		}
	}
}

// frontendReadBufferBytes is the size of a session's read buffer.
const frontendReadBufferBytes = 4096

// serve handles one session until it ends.
func (f *Frontend) serve(tcp net.Conn) {
	defer func() {
		tcp.Close()
		f.mu.Lock()
		delete(f.conns, tcp)
		f.mu.Unlock()
	}()
	session := &frontendSession{frontend: f, tcp: tcp, reader: bufio.NewReaderSize(tcp, frontendReadBufferBytes)}
	var salt [20]byte
	if _, err := tcp.Write(mysql.AppendGreeting(nil, f.lastConnID.Add(1), &salt)); err != nil {
		return
	}
	// The first packet is the client's login, which is always accepted.
	if number, ok := session.readPacket(); !ok || !session.write(mysql.AppendOK(nil, number+1)) {
		return
	}
	for {
		number, ok := session.readPacket()
		if !ok || !session.handle(number) {
			return
		}
	}
}

// frontendSession is the session of one client connection.
type frontendSession struct {
	frontend *Frontend
	tcp      net.Conn
	reader   *bufio.Reader
	payload  []byte // of the last packet read
	out      []byte // buffer for the answer
}

// readPacket reads a packet into payload and returns its sequence number. ok is false if the connection ended or the packet is empty.
func (s *frontendSession) readPacket() (number byte, ok bool) {
	header, err := s.reader.Peek(mysql.HeaderSize)
	if err != nil {
		return 0, false
	}
	length, number := mysql.ParseHeader(header)
	if _, err := s.reader.Discard(mysql.HeaderSize); err != nil {
		return 0, false
	}
	if cap(s.payload) < length {
		s.payload = make([]byte, length)
	}
	s.payload = s.payload[:length]
	_, err = io.ReadFull(s.reader, s.payload)
	return number, err == nil && length > 0
}

func (s *frontendSession) write(bytes []byte) bool {
	_, err := s.tcp.Write(bytes)
	return err == nil
}

// handle executes the command in the last packet, and returns false if the session is to end. KILL QUERY succeeds without an effect.
func (s *frontendSession) handle(number byte) bool {
	receivedAt := time.Now()
	switch s.payload[0] {
	case mysql.Quit:
		return false
	case mysql.Ping, mysql.InitDB:
		s.out = mysql.AppendOK(s.out[:0], number+1)
	case mysql.Query:
		if _, ok := mysql.ParseKillQuery(s.payload[1:]); !ok {
			return s.handleQuery(number, s.payload[1:], receivedAt)
		}
		s.out = mysql.AppendOK(s.out[:0], number+1)
	default:
		s.out = mysql.AppendError(s.out[:0], number+1, mysql.ErrUnknownCommand, "unknown command")
	}
	return s.write(s.out)
}

// otherRequestID is the request id in the rows of corrupted answers.
const otherRequestID = "0000000000000000"

// handleQuery answers a query after its service time, and returns false if the session is to end.
func (s *frontendSession) handleQuery(number byte, sql []byte, receivedAt time.Time) bool {
	f := s.frontend
	request, err := mysql.ReadRequest(sql)
	if err != nil {
		return s.write(mysql.AppendError(s.out[:0], number+1, mysql.ErrParse, err.Error()))
	}
	id := string(request.ID)
	if f.Log != nil {
		f.Log.recordArrival(id, receivedAt)
	}
	work := findWork(f.works, string(request.Class), string(request.Statement))
	f.simulateService(work.Service.draw(id))
	answer := f.answerCount.Add(1)
	if isNth(answer, f.DropEvery.Load()) {
		return false
	}
	rowRequestID := id
	if isNth(answer, f.CorruptEvery.Load()) {
		rowRequestID = otherRequestID
	}
	s.out = appendResult(s.out[:0], number+1, resultPages(rowRequestID, work.Rows))
	if isNth(answer, f.DuplicateEvery.Load()) {
		s.out = append(s.out, s.out...)
	}
	ok := s.write(s.out)
	if f.Log != nil {
		f.Log.recordCompletion(id)
		f.Log.recordAnswer(id, "data", time.Now())
	}
	return ok
}

// isNth reports whether a fault with the given interval applies to an answer; answers are numbered from 1. An interval of 0 means never.
func isNth(answer, interval int64) bool { return interval > 0 && answer%interval == 0 }

// appendResult appends a MySQL result set with the rows of all pages. number is the sequence number of its first packet.
func appendResult(out []byte, number byte, pages [][]byte) []byte {
	out, next := mysql.AppendColumns(out, number)
	for _, page := range pages {
		var err error
		out, next, err = mysql.AppendRows(out, next, page)
		if err != nil {
			panic(err) // resultPages makes valid pages
		}
	}
	return mysql.AppendEOF(out, next)
}
