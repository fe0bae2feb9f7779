package fake

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"magpiebank/internal/testbed/load/timerwheel"
)

// EngineBehavior configures a fake engine.
type EngineBehavior struct {
	Threads        int           // maximum number of requests that run at the same time; others wait in a queue
	MaxHeld        int           // maximum number of waiting and running requests; further ones are rejected as full; 0: no limit
	Works          []Work        // the cost of requests by class and statement; the first match applies
	Cores          float64       // the reported utilization is running requests divided by Cores, at most 1
	NoticeInterval time.Duration // interval between progress notices of a running request; 0: no notices
	ColdSpeed      float64       // speed right after a start, as a fraction of full speed; 0: no warm-up
	WarmUp         time.Duration // time from a start until full speed; 0: no warm-up

	Planner  *Planner // gives the service time and memory of statements made from its templates; nil: Works gives them
	MemoryMB float64  // a request swaps if it and the requests running when it starts need more than this; 0: no limit
}

// swapSpeed is the speed of a request that started while memory was short, as a fraction of the speed it would have had. Disks are
// several times slower than memory.
const swapSpeed = 0.2

// Engine is a fake engine that speaks the engines' wire protocol. One goroutine, the owner, has exclusive access to its state. The
// engine's clock stops while the engine is paused, so a pause delays all running requests.
type Engine struct {
	Name    string
	Address string
	Log     *ExecutionLog

	behavior  EngineBehavior
	listener  net.Listener
	calls     chan func() // functions that the owner runs
	closed    chan struct{}
	closeOnce sync.Once

	// Only the owner's goroutine accesses the fields below.
	clock    engineClock
	wheel    *timerwheel.Wheel
	timers   timerTable
	conns    map[*engineConn]bool
	requests map[requestKey]*request
	queue    []*request // requests that wait for a thread, and abandoned ones that startQueued skips
	deferred []message  // messages that arrived during a pause
	faults   engineFaults
	random   *rand.Rand

	running  int
	held     int     // requests that wait or run; completed ones with unsent pages are not included
	mostHeld int     // highest value of held so far
	memoryMB float64 // memory that the running requests need
	swapped  int     // requests that started while memory was short
}

// engineClock is the clock of an engine, which stops while the engine is paused.
type engineClock struct {
	began      time.Time
	startedAt  time.Duration // when the engine last started or accepted connections again
	paused     bool
	pausedAt   time.Duration
	pausedTime time.Duration // total time in pauses that are over
}

func (c *engineClock) now() time.Duration {
	if c.paused {
		return c.pausedAt
	}
	return time.Since(c.began) - c.pausedTime
}

func (c *engineClock) pause() {
	if !c.paused {
		c.pausedAt, c.paused = c.now(), true
	}
}

func (c *engineClock) resume() {
	c.pausedTime = time.Since(c.began) - c.pausedAt
	c.paused = false
}

// engineFaults holds the faults that are injected into an engine.
type engineFaults struct {
	silent    bool    // the engine sends no answers
	speed     float64 // fraction of the normal speed
	failShare float64 // share of completed requests that are answered with an error
	dropShare float64 // share of completed requests that are never answered
}

// message is a message received on a connection: a RESP array, split into its elements.
type message struct {
	conn     *engineConn
	elements []string
}

type engineConn struct {
	tcp net.Conn
}

type requestKey struct {
	conn *engineConn
	id   string
}

// request is a request that waits or runs, or a completed one with pages that are still to be sent.
type request struct {
	key       requestKey
	work      Work
	class     string
	statement string        // the statement if it matches a template of the planner; otherwise empty
	service   time.Duration // service time at full speed
	beganAt   time.Duration // on the engine's clock
	endsAt    time.Duration // on the engine's clock
	isRunning bool
	isDone    bool             // the request ran to its end
	timer     timerwheel.Timer // fires at endsAt
	timerID   int              // id of timer in Engine.timers
	pages     [][]byte
	pagesSent int // pages that were sent on request; the first page is sent with the result and not included
}

// timerTable assigns the ids under which the timer wheel stores an engine's timers. It reuses ids of removed timers.
type timerTable struct {
	entries []timerEntry
	free    []int
}

// timerEntry is the purpose of a timer: the end of a request, or its next progress notice.
type timerEntry struct {
	request  *request // nil: the timer was removed
	isNotice bool
}

func (t *timerTable) add(entry timerEntry) int {
	if n := len(t.free); n > 0 {
		id := t.free[n-1]
		t.free = t.free[:n-1]
		t.entries[id] = entry
		return id
	}
	t.entries = append(t.entries, entry)
	return len(t.entries) - 1
}

func (t *timerTable) remove(id int) timerEntry {
	entry := t.entries[id]
	t.entries[id] = timerEntry{}
	t.free = append(t.free, id)
	return entry
}

// engineTick is the resolution of an engine's timers.
const engineTick = 100 * time.Microsecond

// StartEngine starts an engine that listens on a loopback address; "127.0.0.1:0" selects a free port.
func StartEngine(name, address string, behavior EngineBehavior, log *ExecutionLog, seed uint64) (*Engine, error) {
	listener, err := listen(address)
	if err != nil {
		return nil, fmt.Errorf("engine %s: %w", name, err)
	}
	behavior.Threads = max(1, behavior.Threads)
	e := &Engine{
		Name:     name,
		Address:  listener.Addr().String(),
		Log:      log,
		behavior: behavior,
		listener: listener,
		calls:    make(chan func(), 1024),
		closed:   make(chan struct{}),
		clock:    engineClock{began: time.Now()},
		wheel:    timerwheel.New(0),
		conns:    map[*engineConn]bool{},
		requests: map[requestKey]*request{},
		faults:   engineFaults{speed: 1},
		random:   rand.New(rand.NewPCG(seed, 7)),
	}
	go e.run()
	go e.accept(listener)
	return e, nil
}

// listen opens a TCP listener.
func listen(address string) (net.Listener, error) {
	return new(net.ListenConfig).Listen(context.Background(), "tcp", address)
}

// call runs a function on the owner's goroutine and waits until it has returned. It does nothing once the engine is closed.
func (e *Engine) call(f func()) {
	done := make(chan struct{})
	select {
	case e.calls <- func() { f(); close(done) }:
		<-done
	case <-e.closed:
	}
}

// send queues a function for the owner's goroutine and doesn't wait for it to run.
func (e *Engine) send(f func()) {
	select {
	case e.calls <- f:
	case <-e.closed:
	}
}

// Pause stops the engine's clock. The engine reads messages, but handles and answers none until Resume.
func (e *Engine) Pause() { e.call(e.clock.pause) }

// Resume ends a pause, and handles the messages that arrived during it.
func (e *Engine) Resume() {
	e.call(func() {
		if !e.clock.paused {
			return
		}
		e.clock.resume()
		deferred := e.deferred
		e.deferred = nil
		for _, m := range deferred {
			e.handleMessage(m)
		}
	})
}

// minSpeed is the lowest speed that SetSpeed sets, as a fraction of the normal speed. A speed of 0 would mean endless requests.
const minSpeed = 1e-3

// SetSpeed makes requests that start from now on run at a fraction of the normal speed. Running requests keep their speed.
func (e *Engine) SetSpeed(share float64) {
	e.call(func() { e.faults.speed = max(share, minSpeed) })
}

// FailQueries makes the engine answer a share of the requests that complete from now on with an error.
func (e *Engine) FailQueries(share float64) { e.call(func() { e.faults.failShare = share }) }

// DropAnswers makes the engine leave a share of the requests that complete from now on unanswered.
func (e *Engine) DropAnswers(share float64) { e.call(func() { e.faults.dropShare = share }) }

// StopAnswering makes the engine discard all answers from now on, while it continues to run requests. ResumeAnswering ends this.
func (e *Engine) StopAnswering() { e.call(func() { e.faults.silent = true }) }

// ResumeAnswering ends StopAnswering.
func (e *Engine) ResumeAnswering() { e.call(func() { e.faults.silent = false }) }

// ResetConnections resets all connections of the engine and abandons their requests.
func (e *Engine) ResetConnections() {
	e.call(func() {
		for c := range e.conns {
			if tcp, ok := c.tcp.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // close with a reset; the call fails on a closed connection, which needs none
			}
			c.tcp.Close()
			e.removeConn(c)
		}
	})
}

// RefuseConnections closes the engine's listener and resets its connections. AcceptConnections ends this.
func (e *Engine) RefuseConnections() {
	e.call(func() { e.listener.Close() })
	e.ResetConnections()
}

const (
	listenTimeout    = time.Second
	listenRetryDelay = 10 * time.Millisecond
)

// AcceptConnections makes the engine listen again at the same address. The warm-up starts over. Another process that looks for free
// ports may hold the port for a moment, so AcceptConnections retries for listenTimeout.
func (e *Engine) AcceptConnections() error {
	deadline := time.Now().Add(listenTimeout)
	listener, err := listen(e.Address)
	for err != nil && time.Now().Before(deadline) {
		time.Sleep(listenRetryDelay)
		listener, err = listen(e.Address)
	}
	if err != nil {
		return fmt.Errorf("engine %s: %w", e.Name, err)
	}
	e.call(func() { e.listener, e.clock.startedAt = listener, e.clock.now() })
	go e.accept(listener)
	return nil
}

// Close stops the engine and resets its connections.
func (e *Engine) Close() {
	e.closeOnce.Do(func() {
		e.RefuseConnections()
		close(e.closed)
	})
}

// SwappedQueries returns the number of requests that started while memory was short.
func (e *Engine) SwappedQueries() (count int) {
	e.call(func() { count = e.swapped })
	return count
}

// InFlight returns the current and the highest number of waiting and running requests.
func (e *Engine) InFlight() (now, most int) {
	e.call(func() { now, most = e.held, e.mostHeld })
	return now, most
}

// run is the body of the owner's goroutine: it runs the queued functions and fires timers until the engine is closed.
func (e *Engine) run() {
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		alarm.Reset(e.advance())
		select {
		case f := <-e.calls:
			f()
		case <-alarm.C:
		case <-e.closed:
			return
		}
	}
}

// advance fires the timers that are due, and returns the time until the next one; an hour if there is none or the engine is paused.
func (e *Engine) advance() time.Duration {
	if e.clock.paused {
		return time.Hour
	}
	e.wheel.Advance(timerwheel.Tick(e.clock.now()/engineTick), func(id uint64) { e.fireTimer(int(id)) })
	if next, ok := e.wheel.Next(); ok {
		return max(0, time.Duration(next)*engineTick-e.clock.now())
	}
	return time.Hour
}
