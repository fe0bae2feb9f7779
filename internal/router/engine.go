package router

import (
	"bufio"
	"errors"
	"net"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/resp"
)

// handOff is one hand-off of a task to an engine. The owner has n, over and stop; mu of the engine guards what
// stands below it.
type handOff struct {
	session   *session
	task      admission.TaskID
	n         int
	over      bool
	doubt     admission.Outcome // what the module is told once it is given up; Delivered: nothing
	stop      func()
	lane      string
	statement []byte
	patience  admission.Time
	memory    float64
	state     atomic.Int32

	rank    int
	link    *link
	undone  bool
	pages   [][]byte // of the result, once its first page is there
	missing int
	work    admission.Time // as its first page tells, and the memory in MB
	needs   float64
}

// The states of a hand-off on its way to the socket.
const (
	fresh int32 = iota
	written
	withdrawn
)

// withdraw keeps a hand-off that isn't written yet from being so.
func (h *handOff) withdraw() bool { return h.state.CompareAndSwap(fresh, withdrawn) }

// engine is one engine's connections. Hand-offs share them, as many on one as the site allows; probes have one
// of their own.
type engine struct {
	o       *owner
	name    admission.EngineID
	address string
	bell    chan struct{} // rung for a probe
	mu      sync.Mutex
	links   []*link
}

// link is a connection for hand-offs.
type link struct {
	e       *engine
	open    map[admission.TaskID]*handOff // also those undone, whose answers may still come
	waiting []*handOff                    // until it is up
	tcp     net.Conn
	used    time.Time
	asked   time.Time // when an undo went out; zero once anything is heard
	writing sync.Mutex
}

func newEngine(o *owner, name admission.EngineID, address string) *engine {
	e := &engine{o: o, name: name, address: address, bell: make(chan struct{}, 1)}
	go (&prober{e: e}).serve()
	return e
}

// retire ends the probes; connections end once they are idle.
func (e *engine) retire() { close(e.bell) }

// stop ends all connections.
func (e *engine) stop() {
	e.retire()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.links {
		if l.tcp != nil {
			l.tcp.Close()
		}
	}
}

// send puts a hand-off on a connection with room where its task's answers can't be mistaken for an earlier
// hand-off's, or on a new one.
func (e *engine) send(h *handOff) {
	e.mu.Lock()
	for _, l := range e.links {
		if len(l.open) < e.o.network.Streams && l.open[h.task] == nil && !l.silent() {
			h.link = l
			break
		}
	}
	if h.link == nil {
		h.link = &link{e: e, open: map[admission.TaskID]*handOff{}}
		e.links = append(e.links, h.link)
		e.o.connections.Add(1)
		go h.link.serve()
	}
	l := h.link
	l.open[h.task], l.used = h, time.Now()
	up := l.tcp != nil
	if !up {
		h.statement = append([]byte(nil), h.statement...) // the session may read on before it is written
		l.waiting = append(l.waiting, h)
	}
	e.mu.Unlock()
	if up {
		l.do(h)
	}
}

// silent tells of a connection on which nothing came after an undo, not even the word that it was heard: the
// machine behind it may be gone without a sign, and a new connection tells that sooner than a time-out.
func (l *link) silent() bool {
	return !l.asked.IsZero() && time.Since(l.asked) > l.e.o.network.ConnectWithin
}

func (l *link) do(h *handOff) {
	l.e.mu.Lock()
	rank := h.rank
	l.e.mu.Unlock()
	l.write(func() net.Buffers {
		if !h.state.CompareAndSwap(fresh, written) {
			return nil
		}
		return resp.Do(make([]byte, 0, 256), string(h.task), h.lane, max(1, int64(h.patience/admission.Millisecond)),
			h.memory, rank, h.statement)
	})
}

// write gathers buffers into the connection. One that takes no more within the time in which connections come
// up is given up, and its reader ends it.
func (l *link) write(make func() net.Buffers) {
	l.writing.Lock()
	defer l.writing.Unlock()
	if buffers := make(); buffers != nil {
		l.tcp.SetWriteDeadline(time.Now().Add(l.e.o.network.ConnectWithin))
		if _, err := buffers.WriteTo(l.tcp); err != nil {
			l.tcp.Close()
		}
	}
}

func (l *link) say(words ...string) {
	l.write(func() net.Buffers { return net.Buffers{resp.Array(nil, words...)} })
}

// undo gives a hand-off up, or the pages of its result that are still to come.
func (h *handOff) undo() {
	l := h.link
	l.e.mu.Lock()
	open := l.open[h.task] == h && !h.undone && h.state.Load() == written
	if h.undone = true; open && l.asked.IsZero() {
		l.asked = time.Now()
	}
	word := "undo"
	if h.pages != nil {
		word = "forget"
	}
	l.e.mu.Unlock()
	if open { // nothing answers this, but a page that the engine doesn't know is failed: then it has heard it
		l.write(func() net.Buffers {
			return net.Buffers{resp.Array(nil, word, string(h.task)), resp.Array(nil, "page", string(h.task), "1")}
		})
	}
}

// bump gives a hand-off another rank.
func (h *handOff) bump(rank int) {
	l := h.link
	l.e.mu.Lock()
	h.rank = rank
	open := l.open[h.task] == h && h.state.Load() == written
	l.e.mu.Unlock()
	if open {
		l.say("bump", string(h.task), strconv.Itoa(rank))
	}
}

// forget drops what was kept to tell late answers; the task is over, and its id doesn't come again.
func (h *handOff) forget() {
	l := h.link
	l.e.mu.Lock()
	if l.open[h.task] == h {
		delete(l.open, h.task)
	}
	l.e.mu.Unlock()
}

// serve dials the connection, writes what waited for it and reads answers until it ends.
func (l *link) serve() {
	e := l.e
	code := "panic"
	defer func() {
		e.mu.Lock()
		open := l.open
		l.open = nil
		e.links = slices.DeleteFunc(e.links, func(k *link) bool { return k == l })
		e.mu.Unlock()
		for _, h := range open {
			how := admission.Reset
			if h.withdraw() {
				how = admission.Unreachable
			}
			e.o.tell(func(now admission.Time) { e.o.ended(now, h, how) })
		}
		e.o.connectionEnded("engine", string(e.name), code, len(open), recover())
	}()
	tcp, err := net.DialTimeout("tcp", e.address, e.o.network.ConnectWithin)
	if err != nil {
		code = endCode(err)
		return
	}
	defer tcp.Close()
	e.mu.Lock()
	l.tcp = tcp
	waiting := l.waiting
	l.waiting = nil
	e.mu.Unlock()
	for _, h := range waiting {
		l.do(h)
	}
	code = l.read()
}

// read takes in answers until the connection ends or has been idle.
func (l *link) read() (code string) {
	idle := l.e.o.idleAfter()
	r := bufio.NewReaderSize(l.tcp, 2*resp.MostArray)
	var parts [][]byte
	for {
		var n int
		var err error
		parts, n, err = nextAnswer(r, parts, func() { l.tcp.SetReadDeadline(l.restAt(idle)) })
		switch {
		case err == nil:
			l.answer(parts)
			r.Discard(n)
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return endCode(err)
		case l.restUnused(idle):
			return "idle"
		}
	}
}

// nextAnswer reads until an engine's next answer is whole: its parts, which lie in the reader's buffer until its n
// bytes are discarded. before is called each time that it may have to wait.
func nextAnswer(r *bufio.Reader, parts [][]byte, before func()) (answer [][]byte, n int, err error) {
	for {
		b, _ := r.Peek(r.Buffered())
		parts, n, err = resp.Parse(b, parts[:0])
		if err == nil && n > 0 && len(parts) < 2 {
			err = resp.ErrArray
		}
		if err != nil || n > 0 {
			return parts, n, err
		}
		before()
		if _, err = r.Peek(len(b) + 1); err != nil {
			return parts, 0, err
		}
	}
}

// idleAfter is when a connection without use is closed: before the engine would, so that nothing crosses its close.
func (o *owner) idleAfter() time.Duration {
	return max(o.network.IdleClose-o.network.ConnectWithin, o.network.IdleClose/2)
}

// restAt is when to look whether a connection is idle: not before what is out on it could be over.
func (l *link) restAt(idle time.Duration) time.Time {
	l.e.mu.Lock()
	defer l.e.mu.Unlock()
	if len(l.open) > 0 {
		return time.Now().Add(idle)
	}
	return l.used.Add(idle)
}

// restUnused takes a connection out of use if nothing was on it for a while.
func (l *link) restUnused(idle time.Duration) bool {
	l.e.mu.Lock()
	defer l.e.mu.Unlock()
	if len(l.open) > 0 || time.Since(l.used) < idle {
		return false
	}
	l.e.links = slices.DeleteFunc(l.e.links, func(k *link) bool { return k == l })
	return true
}

// answer takes in one answer: its id, its word, and fields and body where it has them.
func (l *link) answer(parts [][]byte) {
	e := l.e
	task := admission.TaskID(parts[0])
	var fields, body []byte
	if len(parts) > 2 {
		fields = parts[2]
	}
	if len(parts) > 3 {
		body = parts[3]
	}
	e.mu.Lock()
	l.asked = time.Time{}
	h := l.open[task]
	undone := h != nil && h.undone
	e.mu.Unlock()
	if h == nil {
		return // it came too late
	}
	if undone { // only the word that it is known no more counts
		if string(parts[1]) == "failed" {
			l.ended(h, admission.Errored)
		}
		return
	}
	switch string(parts[1]) {
	case "news":
		if news, value, ok := resp.News(fields); ok {
			e.o.tell(func(now admission.Time) { e.o.module.Noted(now, task, h.n, news, value) })
		}
	case "data":
		l.first(h, fields, body)
	case "page":
		l.page(h, fields, body)
	case "full":
		l.ended(h, admission.Full)
	case "moot":
		l.ended(h, admission.Moot)
	default: // failed, and what we don't know
		l.ended(h, admission.Errored)
	}
}

// mostPages is how many pages a result may have: eight hold the longest, and a wrong number costs no memory.
const mostPages = 64

// first keeps the first page of a result and asks for the others at once.
func (l *link) first(h *handOff, fields, body []byte) {
	if h.pages != nil {
		return // once is enough
	}
	all, err := strconv.Atoi(string(resp.Field(fields, "pages")))
	if err != nil || all < 1 || all > mostPages {
		l.ended(h, admission.Errored)
		return
	}
	h.work = admission.Time(resp.Number(fields, "cost") * float64(admission.Millisecond))
	h.needs = resp.Number(fields, "need")
	l.e.mu.Lock()
	h.pages, h.missing = make([][]byte, all), all
	l.e.mu.Unlock()
	if l.keep(h, 0, body); all > 1 {
		l.write(func() net.Buffers {
			var asks []byte
			for n := 1; n < all; n++ {
				asks = append(asks, resp.Array(nil, "page", string(h.task), strconv.Itoa(n))...)
			}
			return net.Buffers{asks}
		})
	}
}

// page keeps a further page.
func (l *link) page(h *handOff, fields, body []byte) {
	if n, err := strconv.Atoi(string(resp.Field(fields, "page"))); err == nil && n > 0 && n < len(h.pages) {
		l.keep(h, n, body)
	}
}

// keep puts a page into its place. With the last one missing the result is whole.
func (l *link) keep(h *handOff, n int, body []byte) {
	if h.pages[n] != nil {
		return
	}
	h.pages[n] = append([]byte{}, body...)
	if h.missing--; h.missing == 0 {
		l.ended(h, admission.Delivered)
	}
}

// ended takes a hand-off that has its last answer off the connection.
func (l *link) ended(h *handOff, how admission.Outcome) {
	l.e.mu.Lock()
	delete(l.open, h.task)
	l.used = time.Now()
	l.e.mu.Unlock()
	l.e.o.tell(func(now admission.Time) { l.e.o.ended(now, h, how) })
}
