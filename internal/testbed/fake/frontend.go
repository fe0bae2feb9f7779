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

// Frontend is a fake of a gateway: it speaks MySQL and answers each query itself after its service time, as many at
// a time as there are sessions. A load measured against it shows what the load generator itself adds.
type Frontend struct {
	Address string
	Log     *ExecutionLog // nil: none is kept

	works    []Work
	listener net.Listener
	lastConn atomic.Uint32 // id

	mu         sync.Mutex
	resumed    *sync.Cond
	paused     bool
	pausedAt   time.Time
	pausedTime time.Duration // in all pauses that are over
	conns      map[net.Conn]bool

	// Spoil, Double and Drop are faults for the checker of the load to find: one of so many answers has the rows of another request, is
	// sent twice, or is dropped with the connection. 0: none.
	CorruptEvery, DuplicateEvery, DropEvery atomic.Int64
	answers                                 atomic.Int64
}

// StartFrontend starts a frontend on a loopback address. log may be nil.
func StartFrontend(address string, works []Work, log *ExecutionLog) (*Frontend, error) {
	listener, err := listen(address)
	if err != nil {
		return nil, fmt.Errorf("front: %w", err)
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

// Pause stops it: all that runs takes as much longer. Resume ends a pause.
func (f *Frontend) Pause() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.paused {
		f.paused, f.pausedAt = true, time.Now()
	}
}

// Resume ends a pause.
func (f *Frontend) Resume() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.paused {
		f.paused = false
		f.pausedTime += time.Since(f.pausedAt)
		f.resumed.Broadcast()
	}
}

// Close ends it with all sessions.
func (f *Frontend) Close() {
	f.Resume()
	f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.Close()
	}
}

// work takes as long as the service does on the frontend's own clock, which stops in pauses.
func (f *Frontend) work(service time.Duration) {
	f.mu.Lock()
	for f.paused {
		f.resumed.Wait()
	}
	left, pausedBefore, began := service, f.pausedTime, time.Now()
	f.mu.Unlock()
	if left <= 0 {
		return
	}
	for {
		time.Sleep(left)
		f.mu.Lock()
		for f.paused {
			f.resumed.Wait()
		}
		left = service + f.pausedTime - pausedBefore - time.Since(began)
		f.mu.Unlock()
		if left <= 0 {
			return
		}
	}
}

// readBytes is the size of a session's read buffer.
const readBytes = 4096

// serve serves one session until it ends.
func (f *Frontend) serve(tcp net.Conn) {
	defer func() {
		tcp.Close()
		f.mu.Lock()
		delete(f.conns, tcp)
		f.mu.Unlock()
	}()
	session := &frontendSession{frontend: f, tcp: tcp, reader: bufio.NewReaderSize(tcp, readBytes)}
	var salt [20]byte
	if _, err := tcp.Write(mysql.AppendGreeting(nil, f.lastConn.Add(1), &salt)); err != nil {
		return
	}
	if number, ok := session.readPacket(); !ok || !session.write(mysql.AppendOK(nil, number+1)) { // the client's login
		return
	}
	for {
		number, ok := session.readPacket()
		if !ok || !session.handle(number) {
			return
		}
	}
}

// frontendSession is one client's session.
type frontendSession struct {
	frontend *Frontend
	tcp      net.Conn
	reader   *bufio.Reader
	payload  []byte // of the last packet
	out      []byte
}

// readPacket reads a packet and returns its number; ok is false at the end of the session.
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

// handle answers the last packet, and returns false if the session ends.
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

// otherRequestID is the id in spoilt answers.
const otherRequestID = "0000000000000000"

// handleQuery answers a query after its service time, and returns false if the session ends.
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
	f.work(work.Service.draw(id))
	answer := f.answers.Add(1)
	if isEvery(answer, f.DropEvery.Load()) {
		return false
	}
	rowsOf := id
	if isEvery(answer, f.CorruptEvery.Load()) {
		rowsOf = otherRequestID
	}
	s.out = appendResult(s.out[:0], number+1, resultPages(rowsOf, work.Rows))
	if isEvery(answer, f.DuplicateEvery.Load()) {
		s.out = append(s.out, s.out...)
	}
	ok := s.write(s.out)
	if f.Log != nil {
		f.Log.recordCompletion(id)
		f.Log.recordAnswer(id, "data", time.Now())
	}
	return ok
}

// isEvery tells whether the answer of a number is one of every so many; 0: none is.
func isEvery(answer, interval int64) bool { return interval > 0 && answer%interval == 0 }

// appendResult appends a result set of some pages.
func appendResult(out []byte, number byte, pages [][]byte) []byte {
	out, next := mysql.AppendColumns(out, number)
	for _, page := range pages {
		var err error
		out, next, err = mysql.AppendRows(out, next, page)
		if err != nil {
			panic(err) // of pages that it made itself
		}
	}
	return mysql.AppendEOF(out, next)
}
