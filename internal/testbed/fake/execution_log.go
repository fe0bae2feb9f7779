// Package fake plays the outside systems of a gateway on loopback: engines, an discovery service, and a gateway's own
// front for a load to be measured against. Each does what a script or a call says, and keeps a log of when things
// truly happened.
package fake

import (
	"slices"
	"sync"
	"time"
)

// ExecutionRecord is one answer as it truly was: when the last byte of the request came, and when the answer's last byte left.
type ExecutionRecord struct {
	ID          string
	ReceivedAt  time.Time
	AnsweredAt  time.Time // zero: no answer left
	Answer      string    // of the answer, in the wire's own form
	Starts      int       // how many times it began to run
	Completions int       // and ran to its end
}

// ExecutionLog keeps truths by id.
type ExecutionLog struct {
	mu   sync.Mutex
	byID map[string]*ExecutionRecord
	n    int
	keep bool
	runs []RunningChange
	sent []Sent
}

// RunningChange is that a request of a class began to run, or runs no more.
type RunningChange struct {
	At    time.Time
	Class string
	Delta int
}

// Sent is that an engine took a request in, with what work.
type Sent struct {
	At     time.Time
	Engine string
	Work   time.Duration
}

// RetainEvents has all that is sent to engines and runs there be kept, one by one.
func (l *ExecutionLog) RetainEvents() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keep = true
}

func (l *ExecutionLog) took(engine string, work time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.keep {
		l.sent = append(l.sent, Sent{time.Now(), engine, work})
	}
}

// Sent is all that engines took in, in order.
func (l *ExecutionLog) Sent() []Sent {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.sent)
}

func (l *ExecutionLog) run(lane string, by int) {
	if l.keep {
		l.runs = append(l.runs, RunningChange{time.Now(), lane, by})
	}
}

// NewExecutionLog is an empty log; several fakes may share one.
func NewExecutionLog() *ExecutionLog { return &ExecutionLog{byID: map[string]*ExecutionRecord{}} }

func (l *ExecutionLog) came(id string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.byID[id]
	if t == nil {
		t = &ExecutionRecord{ID: id}
		l.byID[id] = t
	}
	l.n++
	t.ReceivedAt = at
}

func (l *ExecutionLog) left(id, word string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.byID[id]; t != nil {
		t.AnsweredAt, t.Answer = at, word
	}
}

func (l *ExecutionLog) began(id, lane string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.run(lane, 1)
	if t := l.byID[id]; t != nil {
		t.Starts++
	}
}

// ended is that one runs no more, to its end or not.
func (l *ExecutionLog) ended(lane string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.run(lane, -1)
}

// Runs are all that began and ended, in order, as far as they were kept.
func (l *ExecutionLog) Runs() []RunningChange {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runs)
}

func (l *ExecutionLog) ran(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.byID[id]; t != nil {
		t.Completions++
	}
}

// Find is the truth about an id.
func (l *ExecutionLog) Find(id string) (ExecutionRecord, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.byID[id]
	if t == nil {
		return ExecutionRecord{}, false
	}
	return *t, true
}

// Each calls f for every id that came, in no order.
func (l *ExecutionLog) Each(f func(ExecutionRecord)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.byID {
		f(*t)
	}
}

// Requests is how many requests came.
func (l *ExecutionLog) Requests() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.n
}
