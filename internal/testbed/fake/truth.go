// Package fake plays the outside systems of a gateway on loopback: engines, an engine list, and a gateway's own
// front for a load to be measured against. Each does what a script or a call says, and keeps a log of when things
// truly happened.
package fake

import (
	"slices"
	"sync"
	"time"
)

// Truth is one answer as it truly was: when the last byte of the request came, and when the answer's last byte left.
type Truth struct {
	ID    string
	Came  time.Time
	Left  time.Time // zero: no answer left
	Word  string    // of the answer, in the wire's own form
	Began int       // how many times it began to run
	Runs  int       // and ran to its end
}

// Log keeps truths by id.
type Log struct {
	mu   sync.Mutex
	byID map[string]*Truth
	n    int
	keep bool
	runs []Run
	sent []Sent
}

// Run is that a task of a lane began to run, or runs no more.
type Run struct {
	At   time.Time
	Lane string
	By   int
}

// Sent is that an engine took a task in, with what work.
type Sent struct {
	At     time.Time
	Engine string
	Work   time.Duration
}

// Keep has all that is sent to engines and runs there be kept, one by one.
func (l *Log) Keep() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keep = true
}

func (l *Log) took(engine string, work time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.keep {
		l.sent = append(l.sent, Sent{time.Now(), engine, work})
	}
}

// Sent is all that engines took in, in order.
func (l *Log) Sent() []Sent {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.sent)
}

func (l *Log) run(lane string, by int) {
	if l.keep {
		l.runs = append(l.runs, Run{time.Now(), lane, by})
	}
}

// NewLog is an empty log; several stand-ins may share one.
func NewLog() *Log { return &Log{byID: map[string]*Truth{}} }

func (l *Log) came(id string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.byID[id]
	if t == nil {
		t = &Truth{ID: id}
		l.byID[id] = t
	}
	l.n++
	t.Came = at
}

func (l *Log) left(id, word string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.byID[id]; t != nil {
		t.Left, t.Word = at, word
	}
}

func (l *Log) began(id, lane string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.run(lane, 1)
	if t := l.byID[id]; t != nil {
		t.Began++
	}
}

// ended is that one runs no more, to its end or not.
func (l *Log) ended(lane string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.run(lane, -1)
}

// Runs are all that began and ended, in order, as far as they were kept.
func (l *Log) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runs)
}

func (l *Log) ran(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.byID[id]; t != nil {
		t.Runs++
	}
}

// Of is the truth about an id.
func (l *Log) Of(id string) (Truth, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.byID[id]
	if t == nil {
		return Truth{}, false
	}
	return *t, true
}

// Each calls f for every id that came, in no order.
func (l *Log) Each(f func(Truth)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.byID {
		f(*t)
	}
}

// Requests is how many requests came.
func (l *Log) Requests() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.n
}
