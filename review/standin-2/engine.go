//go:build review

package lab

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Run is one execution of a request by an engine.
type Run struct {
	Engine    string
	ID        string
	Class     string
	Token     string // the mark by which a repeat is known; the id where the request has none
	Statement string
	ArrivedAt time.Time
	EndedAt   time.Time // zero while it runs
	End       string    // "done", "called off" or "connection closed"; empty while it runs
}

// Engine is a stand-in of an engine. It runs all that it is sent at once, as the briefs say, and stops a request that is called off, that
// runs out of its time or whose connection closes.
type Engine struct {
	ID, Address string
	Zone        string
	Cell        int
	Work        func(class, statement string) time.Duration // how long a request runs
	NoteEvery   time.Duration                               // pace of the notes of progress; 0: none
	Drops       *Repeats                                    // drops repeats of a request; nil: this engine drops none

	lab      *Lab
	listener net.Listener
	mu       sync.Mutex
	runs     []*Run
}

// Repeats is what a group of engines remembers of deduplicated requests. A repeat within the window runs nothing: it is answered with the
// first one's result.
type Repeats struct {
	Window time.Duration
	mu     sync.Mutex
	seen   map[string]time.Time
}

// isRepeat reports whether a request was seen within the window, and else remembers it.
func (r *Repeats) isRepeat(token string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.seen == nil {
		r.seen = map[string]time.Time{}
	}
	if at, ok := r.seen[token]; ok && time.Since(at) < r.Window {
		return true
	}
	r.seen[token] = time.Now()
	return false
}

// StartEngine starts an engine at a free loopback address.
func (l *Lab) StartEngine(id, zone string, cell int, work func(class, statement string) time.Duration) (*Engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Engine{ID: id, Address: listener.Addr().String(), Zone: zone, Cell: cell, Work: work, lab: l, listener: listener}
	l.atEnd(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e, nil
}

// Runs returns copies of the executions so far, oldest first.
func (e *Engine) Runs() (runs []Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, run := range e.runs {
		runs = append(runs, *run)
	}
	return runs
}

// Running returns the number of requests of a class that run now.
func (e *Engine) Running(class string) (n int) {
	for _, run := range e.Runs() {
		if run.Class == class && run.End == "" {
			n++
		}
	}
	return n
}

// engineConn is a connection of a gateway to an engine.
type engineConn struct {
	engine  *Engine
	conn    net.Conn
	writeMu sync.Mutex
	mu      sync.Mutex
	open    map[string]chan struct{} // closed when the request is called off
}

func (e *Engine) serve(conn net.Conn) {
	c := &engineConn{engine: e, conn: conn, open: map[string]chan struct{}{}}
	defer conn.Close()
	defer c.callOffAll()
	reader := bufio.NewReader(conn)
	for {
		parts, err := readArray(reader)
		if err != nil {
			return
		}
		c.handle(parts)
	}
}

func (c *engineConn) handle(parts []string) {
	arg := func(i int) string {
		if i < len(parts) {
			return parts[i]
		}
		return ""
	}
	switch parts[0] {
	case "ping", "top":
		c.answer(arg(1), "well", c.engine.report(), "")
	case "do":
		c.begin(arg(1), arg(2), arg(3))
	case "undo", "forget":
		c.callOff(arg(1))
	case "page": // results here have one page, and a request that was called off is not known any more
		c.answer(arg(1), "failed", "-", "")
	}
}

// report is a load report in the fields of an answer.
func (e *Engine) report() string {
	return fmt.Sprintf("gauges=util:%.2f", min(1, float64(e.Running("carga-actas")+e.Running("consulta-corta"))/16))
}

func (c *engineConn) callOff(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if stop := c.open[id]; stop != nil {
		close(stop)
		delete(c.open, id)
	}
}

func (c *engineConn) callOffAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, stop := range c.open {
		close(stop)
		delete(c.open, id)
	}
}

// begin runs a request.
func (c *engineConn) begin(id, fields, statement string) {
	e := c.engine
	class, token := field(fields, "kind"), field(fields, "token")
	if token == "" {
		token = id
	}
	run := &Run{Engine: e.ID, ID: id, Class: class, Token: token, Statement: statement, ArrivedAt: time.Now()}
	repeat := e.Drops != nil && e.Drops.isRepeat(token)
	if !repeat {
		e.mu.Lock()
		e.runs = append(e.runs, run)
		e.mu.Unlock()
		e.lab.Note(e.ID, "runs %s (%s)", id, class)
	} else {
		e.lab.Note(e.ID, "drops the repeat %s (%s)", id, class)
	}
	stop := make(chan struct{})
	c.mu.Lock()
	c.open[id] = stop
	c.mu.Unlock()
	go c.execute(run, stop)
}

func (c *engineConn) execute(run *Run, stop chan struct{}) {
	e := c.engine
	length := e.Work(run.Class, run.Statement)
	done := time.After(length)
	var notes <-chan time.Time
	if e.NoteEvery > 0 {
		ticker := time.NewTicker(e.NoteEvery)
		defer ticker.Stop()
		notes = ticker.C
	}
	for {
		select {
		case <-notes:
			c.answer(run.ID, "news", fmt.Sprintf("res=so_far,v=%.3f", min(1, time.Since(run.ArrivedAt).Seconds()/length.Seconds())), "")
		case <-stop:
			e.end(run, "called off")
			return
		case <-done:
			e.end(run, "done")
			c.callOff(run.ID)
			c.answer(run.ID, "data", fmt.Sprintf("pages=1,cost=%.1f,need=100", float64(length.Milliseconds())), run.ID+"\tdone\t"+e.ID+"\n")
			return
		}
	}
}

func (e *Engine) end(run *Run, how string) {
	e.mu.Lock()
	run.EndedAt, run.End = time.Now(), how
	e.mu.Unlock()
	e.lab.Note(e.ID, "%s %s after %.2f s", how, run.ID, time.Since(run.ArrivedAt).Seconds())
}

func (c *engineConn) answer(parts ...string) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(parts))
	for _, part := range parts {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(part), part)
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = io.WriteString(c.conn, b.String()) // a connection that has ended is noticed by its reader
}

// field returns the value of a field in a list name=value,name=value.
func field(fields, name string) string {
	for item := range strings.SplitSeq(fields, ",") {
		if key, value, ok := strings.Cut(item, "="); ok && key == name {
			return value
		}
	}
	return ""
}

// readArray reads a RESP array of bulk strings.
func readArray(reader *bufio.Reader) ([]string, error) {
	count, err := readLength(reader, '*')
	if err != nil || count < 1 || count > 64 {
		return nil, fmt.Errorf("not an array: %d, %w", count, err)
	}
	parts := make([]string, count)
	for i := range parts {
		size, err := readLength(reader, '$')
		if err != nil || size < 0 || size > 1<<20 {
			return nil, fmt.Errorf("not a bulk string: %d, %w", size, err)
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(reader, b); err != nil {
			return nil, err
		}
		parts[i] = string(b[:size])
	}
	return parts, nil
}

func readLength(reader *bufio.Reader, mark byte) (int, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return 0, err
	}
	line = strings.TrimRight(line, "\r\n")
	if len(line) < 2 || line[0] != mark {
		return 0, fmt.Errorf("expected a line with %q, found %q", string(mark), line)
	}
	return strconv.Atoi(line[1:])
}
