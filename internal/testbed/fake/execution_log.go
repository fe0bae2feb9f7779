// Package fake has fakes of the systems around a gateway on loopback: engines, a discovery service, and a gateway's own
// frontend for a load to be measured against. Each does what it is told, and keeps a log of when things truly happened.
package fake

import (
	"slices"
	"sync"
	"time"
)

// ExecutionRecord is what happened to one request: when its last byte arrived, and when the last byte of its answer left.
type ExecutionRecord struct {
	ID          string
	ReceivedAt  time.Time
	AnsweredAt  time.Time // zero: no answer left
	Answer      string    // the answer's verb on the wire
	Starts      int       // how many times it began to run
	Completions int       // and ran to its end
}

// ExecutionLog keeps records by request id.
type ExecutionLog struct {
	mu       sync.Mutex
	byID     map[string]*ExecutionRecord
	arrivals int
	retain   bool // runs and sent
	runs     []RunningChange
	sent     []AcceptedRequest
}

// RunningChange is that a request of a class began to run (Delta 1), or stopped (Delta -1).
type RunningChange struct {
	At    time.Time
	Class string
	Delta int
}

// AcceptedRequest is that an engine took a request, which is that much work.
type AcceptedRequest struct {
	At     time.Time
	Engine string
	Work   time.Duration
}

// RetainEvents has the log keep each Sent and RunningChange from now on.
func (l *ExecutionLog) RetainEvents() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retain = true
}

func (l *ExecutionLog) recordSent(engine string, work time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.retain {
		l.sent = append(l.sent, AcceptedRequest{time.Now(), engine, work})
	}
}

// AcceptedRequests is all that engines took, in order.
func (l *ExecutionLog) AcceptedRequests() []AcceptedRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.sent)
}

func (l *ExecutionLog) recordChange(class string, delta int) {
	if l.retain {
		l.runs = append(l.runs, RunningChange{time.Now(), class, delta})
	}
}

// NewExecutionLog is an empty log; several fakes may share one.
func NewExecutionLog() *ExecutionLog { return &ExecutionLog{byID: map[string]*ExecutionRecord{}} }

func (l *ExecutionLog) recordArrival(id string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	record := l.byID[id]
	if record == nil {
		record = &ExecutionRecord{ID: id}
		l.byID[id] = record
	}
	l.arrivals++
	record.ReceivedAt = at
}

func (l *ExecutionLog) recordAnswer(id, answer string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if record := l.byID[id]; record != nil {
		record.AnsweredAt, record.Answer = at, answer
	}
}

func (l *ExecutionLog) recordStart(id, class string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordChange(class, 1)
	if record := l.byID[id]; record != nil {
		record.Starts++
	}
}

// recordStop takes down that a request runs no more, to its end or not.
func (l *ExecutionLog) recordStop(class string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordChange(class, -1)
}

// RunningChanges are all changes of what runs, in order, as far as they were retained.
func (l *ExecutionLog) RunningChanges() []RunningChange {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runs)
}

func (l *ExecutionLog) recordCompletion(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if record := l.byID[id]; record != nil {
		record.Completions++
	}
}

// Find returns the record of an id, and whether there is one.
func (l *ExecutionLog) Find(id string) (ExecutionRecord, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	record := l.byID[id]
	if record == nil {
		return ExecutionRecord{}, false
	}
	return *record, true
}

// Each calls f for the record of every id, in no order.
func (l *ExecutionLog) Each(f func(ExecutionRecord)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, record := range l.byID {
		f(*record)
	}
}

// Requests is how many requests arrived.
func (l *ExecutionLog) Requests() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.arrivals
}
