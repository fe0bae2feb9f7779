//go:build review

package standin

import (
	"bufio"
	"net"
	"slices"
	"sync"
	"time"

	"magpiebank/internal/protocol/resp"
)

// Run is what became of one request at an engine.
type Run struct {
	Engine, ID, Statement string
	Token                 string // by which the engines of a zone drop repeats; empty: none
	At                    time.Time
	Committed             bool // the effect of its statement is there
}

// Work says how long an engine takes for a statement of a class.
type Work struct {
	Commit time.Duration // until the effect is there; what is given up before has none
	Answer time.Duration // until the answer goes out
}

// Engine is a stand-in of an engine. It runs what comes at once, and answers each request once. What is given up before its effect
// is there has no effect; what is given up later is answered no more. A request whose token has had its effect at an engine of the
// same zone is answered without a second effect.
type Engine struct {
	Name, Address string
	Zone          string // empty: the deployment's first

	c        *Case
	works    map[string]Work // by class
	listener net.Listener

	mu   sync.Mutex
	runs []*Run
	open map[*engineRequest]bool
}

type engineRequest struct {
	conn net.Conn
	id   string
	run  *Run
	ends []*time.Timer
}

// StartEngine starts an engine, which ends with the case.
func StartEngine(c *Case, name string, works map[string]Work) *Engine {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.Fatal("%v", err)
	}
	e := &Engine{Name: name, Address: listener.Addr().String(), c: c, works: works, listener: listener, open: map[*engineRequest]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	c.AtEnd(func() { listener.Close() })
	return e
}

// Runs returns what came to the engine so far.
func (e *Engine) Runs() (runs []Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.runs {
		runs = append(runs, *r)
	}
	return runs
}

func (e *Engine) serve(conn net.Conn) {
	defer e.dropAll(conn)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var buffer []byte
	for {
		parts, length, err := resp.Parse(buffer, nil)
		if err != nil {
			e.c.Log("%s got what it can't read", e.Name)
			return
		}
		if length > 0 {
			elements := make([]string, len(parts))
			for i := range parts {
				elements[i] = string(parts[i])
			}
			buffer = buffer[length:]
			e.handle(conn, elements)
			continue
		}
		chunk := make([]byte, 4096)
		n, err := reader.Read(chunk)
		if err != nil {
			return
		}
		buffer = append(buffer, chunk[:n]...)
	}
}

func (e *Engine) handle(conn net.Conn, m []string) {
	switch {
	case len(m) >= 2 && (m[0] == "ping" || m[0] == "top"):
		e.write(conn, m[1], "well", "gauges=inflight:0;util:0.1", "")
	case len(m) == 4 && m[0] == "do":
		e.begin(conn, m[1], m[2], m[3])
	case len(m) >= 2 && (m[0] == "undo" || m[0] == "forget"):
		e.c.Log("%s is told %s %s", e.Name, m[0], m[1])
		e.drop(conn, m[1])
	case len(m) >= 2 && m[0] == "page": // no result here has a second page
		e.write(conn, m[1], "failed", "-", "")
	}
}

func (e *Engine) write(conn net.Conn, parts ...string) {
	_, _ = conn.Write(resp.AppendArray(nil, parts...)) // who has gone needs no answer
}

func (e *Engine) begin(conn net.Conn, id, fields, statement string) {
	class := string(resp.FindField([]byte(fields), "kind"))
	work := e.works[class]
	run := &Run{Engine: e.Name, ID: id, Statement: statement, Token: string(resp.FindField([]byte(fields), "token")), At: time.Now()}
	r := &engineRequest{conn: conn, id: id, run: run}
	e.c.Log("%s begins %s, class %s: %s", e.Name, id, class, statement)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = append(e.runs, run)
	e.open[r] = true
	r.ends = []*time.Timer{
		time.AfterFunc(work.Commit, func() { e.commit(r) }),
		time.AfterFunc(max(work.Commit, work.Answer)+time.Millisecond, func() { e.finish(r) }),
	}
}

func (e *Engine) commit(r *engineRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.open[r] && e.hadEffect(r.run.Token) {
		e.c.Log("%s drops the repeat of %s: its token had its effect", e.Name, r.id)
	} else if e.open[r] {
		r.run.Committed = true
		e.c.Log("%s has done %s: its effect is there", e.Name, r.id)
	}
}

// hadEffect reports whether a token has had its effect here. Each zone of a case that has tokens has one engine.
func (e *Engine) hadEffect(token string) bool {
	return token != "" && slices.ContainsFunc(e.runs, func(r *Run) bool { return r.Token == token && r.Committed })
}

func (e *Engine) finish(r *engineRequest) {
	e.mu.Lock()
	alive := e.open[r]
	delete(e.open, r)
	e.mu.Unlock()
	if alive {
		e.c.Log("%s answers %s", e.Name, r.id)
		e.write(r.conn, r.id, "data", "pages=1,cost=100.0,need=64", r.id+"\t1 of 1\tdone\n")
	}
}

// drop gives a request up.
func (e *Engine) drop(conn net.Conn, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for r := range e.open {
		if r.conn == conn && (id == "" || r.id == id) {
			delete(e.open, r)
			for _, timer := range r.ends {
				timer.Stop()
			}
		}
	}
}

// dropAll gives up all that is open on a connection that has ended.
func (e *Engine) dropAll(conn net.Conn) { e.drop(conn, "") }
