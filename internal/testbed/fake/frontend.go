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

// Frontend is a fake for a gateway: it speaks MySQL and answers each query by itself after its service time, as many at
// a time as there are sessions. A load measured against it shows what the load generator itself does.
type Frontend struct {
	Address string
	Log     *ExecutionLog // nil: none is kept

	works    []Work
	listener net.Listener
	next     atomic.Uint32

	mu     sync.Mutex
	cond   *sync.Cond
	paused bool
	since  time.Time
	stood  time.Duration // in all pauses that are over
	conns  map[net.Conn]bool

	// Faults, for the checker of the load to find.
	Spoil, Double, Drop atomic.Int64 // every so many answers are spoilt, given twice, or dropped with the connection; 0: none
	answers             atomic.Int64
}

// StartFrontend starts one.
func StartFrontend(address string, works []Work, log *ExecutionLog) (*Frontend, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("front: %w", err)
	}
	f := &Frontend{Address: l.Addr().String(), Log: log, works: works, listener: l, conns: map[net.Conn]bool{}}
	f.cond = sync.NewCond(&f.mu)
	go func() {
		for {
			tcp, err := l.Accept()
			if err != nil {
				return
			}
			f.mu.Lock()
			f.conns[tcp] = true
			f.mu.Unlock()
			go f.serve(tcp)
		}
	}()
	return f, nil
}

// Pause has it stand still: all that runs takes as much longer. Resume lets it go on.
func (f *Frontend) Pause() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.paused {
		f.paused, f.since = true, time.Now()
	}
}

func (f *Frontend) Resume() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.paused {
		f.paused = false
		f.stood += time.Since(f.since)
		f.cond.Broadcast()
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

// work takes as long as the service does on the front's own clock, which stops in pauses.
func (f *Frontend) work(service time.Duration) {
	f.mu.Lock()
	for f.paused {
		f.cond.Wait()
	}
	left, stood, from := service, f.stood, time.Now()
	f.mu.Unlock()
	if left <= 0 {
		return
	}
	for {
		time.Sleep(left)
		f.mu.Lock()
		for f.paused {
			f.cond.Wait()
		}
		left = service + f.stood - stood - time.Since(from)
		f.mu.Unlock()
		if left <= 0 {
			return
		}
	}
}

func (f *Frontend) serve(tcp net.Conn) {
	defer func() {
		tcp.Close()
		f.mu.Lock()
		delete(f.conns, tcp)
		f.mu.Unlock()
	}()
	r := bufio.NewReaderSize(tcp, 4096)
	var salt [20]byte
	tcp.Write(mysql.AppendGreeting(nil, f.next.Add(1), &salt))
	var payload, out []byte
	for n := 0; ; n++ {
		head, err := r.Peek(mysql.HeaderSize)
		if err != nil {
			return
		}
		length, number := mysql.ParseHeader(head)
		r.Discard(mysql.HeaderSize)
		if cap(payload) < length {
			payload = make([]byte, length)
		}
		payload = payload[:length]
		if _, err := io.ReadFull(r, payload); err != nil || length == 0 {
			return
		}
		came := time.Now()
		switch {
		case n == 0 || payload[0] == mysql.Ping || payload[0] == mysql.InitDB:
			out = mysql.AppendOK(out[:0], number+1)
		case payload[0] == mysql.Quit:
			return
		case payload[0] != mysql.Query:
			out = mysql.AppendError(out[:0], number+1, mysql.ErrUnknownCommand, "unknown command")
		default:
			if _, ok := mysql.ParseKillQuery(payload[1:]); ok {
				out = mysql.AppendOK(out[:0], number+1)
				break
			}
			if !f.query(tcp, &out, number, payload[1:], came) {
				return
			}
			continue
		}
		if _, err := tcp.Write(out); err != nil {
			return
		}
	}
}

// query answers one query; it tells whether the session goes on.
func (f *Frontend) query(tcp net.Conn, out *[]byte, number byte, sql []byte, came time.Time) bool {
	request, err := mysql.ReadRequest(sql)
	if err != nil {
		_, err := tcp.Write(mysql.AppendError((*out)[:0], number+1, mysql.ErrParse, err.Error()))
		return err == nil
	}
	if f.Log != nil {
		f.Log.came(string(request.ID), came)
	}
	w := find(f.works, string(request.Class), string(request.Statement))
	f.work(w.Service.draw(string(request.ID)))
	n := f.answers.Add(1)
	every := func(of *atomic.Int64) bool { k := of.Load(); return k > 0 && n%k == 0 }
	if every(&f.Drop) {
		return false
	}
	of := string(request.ID)
	if every(&f.Spoil) {
		of = "0000000000000000" // rows of another request
	}
	b, next := mysql.AppendColumns((*out)[:0], number+1)
	for _, page := range pages(of, w.Rows) {
		if b, next, err = mysql.AppendRows(b, next, page); err != nil {
			panic(err) // its own pages
		}
	}
	b = mysql.AppendEOF(b, next)
	if every(&f.Double) {
		b = append(b, b...)
	}
	*out = b
	_, err = tcp.Write(b)
	if f.Log != nil {
		f.Log.ran(string(request.ID))
		f.Log.left(string(request.ID), "data", time.Now())
	}
	return err == nil
}
