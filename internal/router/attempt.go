package router

import (
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/protocol/resp"
)

// attempt is one attempt of a request to an engine. The owner has n, over, again, doubt and stop; mu of the engine
// guards what stands below state, which is its engineClient's.
type attempt struct {
	of        *request
	to        engineClient
	engine    admission.EngineID  // to's
	request   admission.RequestID // of's id
	n         int
	over      bool
	again     bool              // it was never written on its first connection
	doubt     admission.Outcome // what the module is told once it is given up; Delivered: nothing
	stop      func()
	class     string
	statement []byte
	token     []byte // by which engines tell a repeat; empty: none
	timeout   admission.Time
	sendBy    admission.Time // from then on it must not be written; 0: no limit
	memory    float64
	state     atomic.Int32
	carried   bool // the owner's: it was handed to its engineClient

	// As the desk counts it.
	foreseen         admission.Estimate
	threads, charged float64
	by               uint64 // the rules that had it go out; 0: none that may change

	rank    int
	conn    *engineConn
	rested  time.Duration // how long its connection was idle before
	sent    time.Time
	undone  bool
	done    bool     // nothing that comes for it counts any more
	pages   [][]byte // of the result, once its first page is there
	missing int
	notes   int // that came; its connection's reader counts them
	size    int
	work    admission.Time // as its first page tells, and the memory in MB
	needs   float64
	report  admission.Report // the engine's load as its answer tells, where the settings say that answers do
}

// The states of an attempt on its way to the socket.
const (
	fresh int32 = iota
	written
	withdrawn
)

// withdraw keeps an attempt that isn't written yet from being so.
func (h *attempt) withdraw() bool { return h.state.CompareAndSwap(fresh, withdrawn) }

// undo gives an attempt up, or the pages of its result that are still to come.
func (h *attempt) undo() {
	l := h.conn
	if l == nil { // it was withdrawn before it had a connection
		return
	}
	l.e.mu.Lock()
	open := l.open[h.request] == h && !h.undone && !h.done && h.state.Load() == written
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
			return net.Buffers{resp.AppendArray(nil, word, string(h.request)), resp.AppendArray(nil, "page", string(h.request), "1")}
		}, nothing)
	}
}

// bump gives an attempt another rank.
func (h *attempt) bump(rank int) {
	l := h.conn
	if l == nil {
		return
	}
	l.e.mu.Lock()
	h.rank = rank
	open := l.open[h.request] == h && !h.done && h.state.Load() == written
	l.e.mu.Unlock()
	if open {
		l.say("bump", string(h.request), strconv.Itoa(rank))
	}
}

// forget drops what was kept to tell late answers; the request is over, and its id doesn't come again.
func (h *attempt) forget() {
	l := h.conn
	if l == nil {
		return
	}
	l.e.mu.Lock()
	if l.open[h.request] == h {
		l.over(h)
		delete(l.open, h.request)
	}
	l.e.mu.Unlock()
}
