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
	"syscall"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/mysql"
	"magpiebank/internal/resp"
)

// handOff is one hand-off of a task to an engine. The owner has n, over, again, doubt and stop; mu of the engine
// guards what stands below state.
type handOff struct {
	session   *session
	task      admission.TaskID
	n         int
	over      bool
	again     bool              // it was never written on its first connection
	doubt     admission.Outcome // what the module is told once it is given up; Delivered: nothing
	stop      func()
	lane      string
	statement []byte
	patience  admission.Time
	memory    float64
	state     atomic.Int32

	// As the desk counts it.
	class            int
	threads, charged float64

	rank    int
	link    *link
	rested  time.Duration // how long its connection was idle before
	sent    time.Time
	undone  bool
	done    bool     // nothing that comes for it counts any more
	pages   [][]byte // of the result, once its first page is there
	missing int
	size    int
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

// engine is one engine's connections. A hand-off has one of its own while descriptors allow, else it shares one with as
// many as the site allows; probes have one of their own.
type engine struct {
	o       *owner
	name    admission.EngineID
	address string
	bell    chan struct{} // rung for a probe
	mu      sync.Mutex
	links   []*link
	retired bool

	staleAfter time.Duration // the rest that connections are kept to since one broke at a request; 0: none did
	staleAt    time.Time     // and when one last did
}

// link is a connection for hand-offs.
type link struct {
	e       *engine
	open    map[admission.TaskID]*handOff // until their tasks are over, as late answers and second copies may come
	out     int                           // of those, without a last answer
	waiting []*handOff                    // until it is up
	tcp     net.Conn
	used    time.Time
	heard   time.Time // when an answer came, or the first hand-off went out on it
	asked   time.Time // when an undo went out; zero once anything is heard
	begun   time.Time // when an answer was there in part; zero: none is
	writing sync.Mutex
}

func newEngine(o *owner, name admission.EngineID, address string) *engine {
	e := &engine{o: o, name: name, address: address, bell: make(chan struct{}, 1)}
	go (&prober{e: e}).serve()
	return e
}

// retire ends the probes, and the connections once nothing is out on them.
func (e *engine) retire() {
	close(e.bell)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.retired = true
	for _, l := range e.links {
		l.arm()
	}
}

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

// send puts a hand-off on a connection of its own while descriptors allow: one that breaks takes the others on
// it along. It is one that was idle, the last used of those; else a new one; else the one with the least on it.
// A task goes out once on a connection, so that no copy of an answer is taken for a later hand-off's.
func (e *engine) send(h *handOff) {
	e.mu.Lock()
	var best *link
	longest := e.fresh()
	for _, l := range e.links {
		if l.out >= e.o.network.Streams || l.open[h.task] != nil || l.silent() ||
			l.out == 0 && time.Since(l.used) >= longest {
			continue
		}
		if best == nil || l.out < best.out || l.out == best.out && l.used.After(best.used) {
			best = l
		}
	}
	if best == nil || best.out > 0 && e.o.engineLinks.Load() < e.o.engineRoom {
		best = &link{e: e, open: map[admission.TaskID]*handOff{}}
		e.links = append(e.links, best)
		e.o.connections.Add(1)
		e.o.engineLinks.Add(1)
		go best.serve()
	}
	l := best
	h.link, h.sent, h.rested = l, time.Now(), 0
	if l.out == 0 {
		if l.heard = h.sent; l.tcp != nil {
			h.rested = h.sent.Sub(l.used)
		}
	}
	l.open[h.task], l.used = h, h.sent
	l.out++
	up := l.tcp != nil
	if up {
		l.arm()
	} else {
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

// fresh is how long a connection may have been idle to be used again: until the engine would close it, or less where
// connections were seen to break at a request after a shorter rest. What was seen counts for half every restTrust.
func (e *engine) fresh() time.Duration {
	const restTrust = 10 * time.Second // some hundred hand-offs, of which few are then lost to look again
	most := e.o.idleAfter()
	if e.staleAfter > 0 {
		return min(most, e.staleAfter<<min(20, time.Since(e.staleAt)/restTrust))
	}
	return most
}

// stale tells of a hand-off at which an idle connection broke: the engine, or what stands between, had dropped it, and
// that says nothing of the engine now. Rests are kept to half of that one from then on.
func (e *engine) stale(h *handOff) bool {
	const least = 20 * time.Millisecond // of a rest: one as short is no cause
	if h.rested < least || time.Since(h.sent) > e.o.network.ConnectWithin {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staleAfter, e.staleAt = max(least, min(h.rested, e.fresh())/2), time.Now()
	return true
}

// arm sets the time until which the connection may bring nothing. An answer that is there in part, or the word that
// an undo was heard, has as long as a connection to come up. A hand-off that isn't over brings notes at the engine's
// pace, which scatters by half of it: after twice the pace its answer is lost, and with it the connection. Else it
// rests until the engine would close it; one to a retired engine does not.
func (l *link) arm() {
	if l.tcp == nil {
		return
	}
	n, now := l.e.o.network, time.Now()
	by := now.Add(l.e.o.idleAfter())
	if l.out == 0 {
		by = l.used.Add(l.e.fresh())
	}
	sooner := func(t time.Time, d time.Duration, ok bool) {
		if ok && t.Add(d).Before(by) {
			by = t.Add(d)
		}
	}
	sooner(now, 0, l.out == 0 && l.e.retired)
	sooner(l.heard, 2*n.Pace, l.out > 0 && n.Pace > 0)
	sooner(l.asked, n.ConnectWithin, !l.asked.IsZero())
	sooner(l.begun, n.ConnectWithin, !l.begun.IsZero())
	l.tcp.SetReadDeadline(by)
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
	open := l.open[h.task] == h && !h.undone && !h.done && h.state.Load() == written
	if h.undone = true; open && l.asked.IsZero() {
		l.asked = time.Now()
		l.arm()
	} else if h.state.Load() == withdrawn {
		l.over(h)
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
	open := l.open[h.task] == h && !h.done && h.state.Load() == written
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
		l.over(h)
		delete(l.open, h.task)
	}
	l.e.mu.Unlock()
}

// over counts a hand-off out that has its last answer or needs none.
func (l *link) over(h *handOff) {
	if !h.done {
		h.done = true
		l.out--
		l.used = time.Now()
	}
}

// crossing is how long the protocol lets a request cross a close.
const crossing = 50 * time.Millisecond

// serve dials the connection, writes what waited for it and reads answers until it ends.
func (l *link) serve() {
	e := l.e
	code, err := "panic", error(nil)
	defer func() {
		fault := recover()
		e.mu.Lock()
		left := l.out
		var open, unwritten []*handOff
		for _, h := range l.open {
			switch {
			case h.done:
			case h.withdraw():
				unwritten = append(unwritten, h)
			default:
				open = append(open, h)
			}
		}
		up := l.tcp != nil
		l.open, l.out = nil, 0
		e.links = slices.DeleteFunc(e.links, func(k *link) bool { return k == l })
		e.mu.Unlock()
		e.o.engineLinks.Add(-1)
		for _, h := range unwritten { // proof that nothing ran
			switch {
			case up:
				e.o.tell(func(now admission.Time) { e.o.again(now, h) })
			case ours(err):
				e.o.tellEnded(h, admission.Moot)
			default:
				e.o.tellEnded(h, admission.Unreachable)
			}
		}
		how := admission.Reset
		if code == "bad_answer" || code == "cut_short" || code == "mute" {
			how = admission.Lost
			if len(open) > 0 {
				time.Sleep(crossing) // the engine hears of the close before another one hears of the task
			}
		}
		for _, h := range open {
			if how == admission.Reset && e.stale(h) {
				how = admission.Lost
			}
			e.o.tellEnded(h, how)
			how = admission.Lost // one event is one doubt
		}
		e.o.connectionEnded("engine", string(e.name), code, left, fault)
	}()
	tcp, err := net.DialTimeout("tcp", e.address, e.o.network.ConnectWithin)
	if err != nil {
		code = endCode(err)
		return
	}
	defer tcp.Close()
	e.mu.Lock()
	l.tcp, l.heard = tcp, time.Now()
	waiting := l.waiting
	l.waiting = nil
	e.mu.Unlock()
	for _, h := range waiting {
		l.do(h)
	}
	code = l.read()
}

// ours tells of a dial that failed for want of something here.
func ours(err error) bool {
	for _, want := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, want) {
			return true
		}
	}
	return false
}

// read takes in answers until the connection ends, has been idle, or brings nothing where it should.
func (l *link) read() (code string) {
	r := bufio.NewReaderSize(l.tcp, resp.MostArray)
	var parts [][]byte
	last := false // look: its time is over, but what came while this process stood still counts
	for {
		var n int
		var err error
		parts, n, err = nextAnswer(r, parts, func() {
			l.e.mu.Lock()
			defer l.e.mu.Unlock()
			if l.begun = (time.Time{}); r.Buffered() > 0 {
				l.begun = time.Now()
			}
			if l.arm(); last {
				l.tcp.SetReadDeadline(time.Now().Add(lastLook))
			}
		})
		switch {
		case err == nil:
			last = false
			if !l.answer(parts) {
				return "bad_answer"
			}
			r.Discard(n)
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return endCode(err)
		case last:
			if code := l.rest(); code != "" {
				return code
			}
			last = false
		default:
			last = true
		}
	}
}

// rest takes a connection whose time is over out of use, and tells why; empty: it was used meanwhile.
func (l *link) rest() (code string) {
	l.e.mu.Lock()
	defer l.e.mu.Unlock()
	n := l.e.o.network
	switch {
	case !l.begun.IsZero():
		code = "cut_short"
	case l.silent() || l.out > 0 && n.Pace > 0 && time.Since(l.heard) >= 2*n.Pace:
		code = "mute"
	case l.out == 0 && (l.e.retired || time.Since(l.used) >= l.e.fresh()):
		code = "idle"
	default:
		return ""
	}
	l.e.links = slices.DeleteFunc(l.e.links, func(k *link) bool { return k == l })
	return code
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
		if _, err = r.Peek(len(b) + 1); errors.Is(err, bufio.ErrBufferFull) {
			err = resp.ErrArray
		}
		if err != nil {
			return parts, 0, err
		}
	}
}

// idleAfter is when a connection without use is closed: before the engine would, so that nothing crosses its close.
func (o *owner) idleAfter() time.Duration {
	return max(o.network.IdleClose-o.network.ConnectWithin, o.network.IdleClose/2)
}

// answer takes in one answer: its id, its word, and fields and body where it has them. It tells whether it could
// be read; where one can't, what follows on the connection is of no more use.
func (l *link) answer(parts [][]byte) bool {
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
	l.asked, l.heard = time.Time{}, time.Now()
	h := l.open[task]
	done := h == nil || h.done
	undone := !done && h.undone
	e.mu.Unlock()
	word := string(parts[1])
	switch {
	case done: // it came too late, once more, or for nobody
		return true
	case undone: // only the word that it is known no more counts
		if word == "failed" {
			l.ended(h, admission.Errored)
		}
		return true
	}
	switch word {
	case "news":
		news, value, ok := resp.News(fields)
		if ok {
			e.o.tell(func(now admission.Time) { e.o.module.Noted(now, task, h.n, news, value) })
		}
	case "data":
		return l.first(h, fields, body)
	case "page":
		n, err := strconv.Atoi(string(resp.Field(fields, "page")))
		if h.pages == nil || err == nil && (n < 1 || n >= len(h.pages)) {
			return true // not one that it was asked for
		}
		return err == nil && l.keep(h, n, body)
	case "full":
		l.ended(h, admission.Full)
	case "moot":
		l.ended(h, admission.Moot)
	case "failed":
		l.ended(h, admission.Errored)
	default:
		return false
	}
	return true
}

// By the protocol a result holds at most so many bytes, and a page of it so many.
const (
	mostResult = 48000
	mostPage   = 6000
	mostPages  = 64 // more than the longest result has, which pages break at rows
)

// first keeps the first page of a result and asks for the others at once.
func (l *link) first(h *handOff, fields, body []byte) bool {
	if h.pages != nil {
		return true // once is enough
	}
	all, err := strconv.Atoi(string(resp.Field(fields, "pages")))
	work, ok := resp.Amount(fields, "cost")
	memory, too := resp.Amount(fields, "need")
	if err != nil || all < 1 || all > mostPages || !ok || !too {
		return false
	}
	h.work, h.needs = admission.Time(work*float64(admission.Millisecond)), memory
	l.e.mu.Lock()
	h.pages, h.missing = make([][]byte, all), all
	l.e.mu.Unlock()
	if !l.keep(h, 0, body) {
		return false
	}
	if all > 1 {
		l.write(func() net.Buffers {
			var asks []byte
			for n := 1; n < all; n++ {
				asks = append(asks, resp.Array(nil, "page", string(h.task), strconv.Itoa(n))...)
			}
			return net.Buffers{asks}
		})
	}
	return true
}

// keep puts a page into its place, if it is one. With the last one missing the result is whole.
func (l *link) keep(h *handOff, n int, body []byte) bool {
	if h.pages[n] != nil {
		return true
	}
	if h.size += len(body); len(body) > mostPage || h.size > mostResult || !mysql.WholeRows(body) {
		return false
	}
	h.pages[n] = append([]byte{}, body...)
	if h.missing--; h.missing == 0 {
		l.ended(h, admission.Delivered)
	}
	return true
}

// ended takes a hand-off that has its last answer off the connection.
func (l *link) ended(h *handOff, how admission.Outcome) {
	l.e.mu.Lock()
	l.over(h)
	l.e.mu.Unlock()
	l.e.o.tellEnded(h, how)
}
