// Package fake provides fakes that listen on loopback addresses: engines and a discovery service for a gateway to use, and a
// frontend in place of a gateway against which a load generator is measured. Tests inject faults into the fakes. Engines and
// frontends log the true times of requests.
package fake

import (
	"slices"
	"sync"
	"time"
)

// ExecutionRecord records the execution of one request. ReceivedAt is the time when its last byte arrived. AnsweredAt is the time when
// its answer was sent; for a result of several pages first the time of page 0, later that of the last page. A silent engine sets
// AnsweredAt although it sends nothing.
type ExecutionRecord struct {
	ID          string
	ReceivedAt  time.Time
	AnsweredAt  time.Time // zero: no answer yet
	Answer      string    // the answer's verb on the wire
	Starts      int       // how many times the request started to run
	Completions int       // how many times the request ran to its end
}

// ExecutionLog stores the execution records of fakes by request id.
type ExecutionLog struct {
	mu               sync.Mutex
	byID             map[string]*ExecutionRecord
	arrivals         int
	retainEvents     bool // retain runningChanges and acceptedRequests
	runningChanges   []RunningChange
	acceptedRequests []AcceptedRequest
}

// RunningChange records that a request of a class started to run (Delta 1) or stopped running (Delta -1).
type RunningChange struct {
	At    time.Time
	Class string
	Delta int
}

// AcceptedRequest records that an engine accepted a request. Work is the request's service time at full speed.
type AcceptedRequest struct {
	At     time.Time
	Engine string
	Work   time.Duration
}

// RetainEvents makes the log retain every AcceptedRequest and RunningChange from now on.
func (l *ExecutionLog) RetainEvents() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retainEvents = true
}

func (l *ExecutionLog) recordAccepted(engine string, work time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.retainEvents {
		l.acceptedRequests = append(l.acceptedRequests, AcceptedRequest{time.Now(), engine, work})
	}
}

// AcceptedRequests returns the retained records of the requests that engines accepted, oldest first.
func (l *ExecutionLog) AcceptedRequests() []AcceptedRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.acceptedRequests)
}

func (l *ExecutionLog) recordChange(class string, delta int) {
	if l.retainEvents {
		l.runningChanges = append(l.runningChanges, RunningChange{time.Now(), class, delta})
	}
}

// NewExecutionLog returns an empty log. Several fakes may share a log.
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

// recordStop records that a request of a class stopped running, either completed or abandoned.
func (l *ExecutionLog) recordStop(class string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordChange(class, -1)
}

// RunningChanges returns the retained starts and stops of requests, oldest first.
func (l *ExecutionLog) RunningChanges() []RunningChange {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runningChanges)
}

func (l *ExecutionLog) recordCompletion(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if record := l.byID[id]; record != nil {
		record.Completions++
	}
}

// Find returns the record of a request id, and whether there is one.
func (l *ExecutionLog) Find(id string) (ExecutionRecord, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	record := l.byID[id]
	if record == nil {
		return ExecutionRecord{}, false
	}
	return *record, true
}

// Each calls f for the record of every request id, in no particular order.
func (l *ExecutionLog) Each(f func(ExecutionRecord)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, record := range l.byID {
		f(*record)
	}
}

// Requests returns the number of requests that arrived; requests with the same id count separately.
func (l *ExecutionLog) Requests() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.arrivals
}
