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

// EngineBehavior is how an engine works.
type EngineBehavior struct {
	Threads        int           // requests that run at the same time; the others wait in a queue
	MaxHeld        int           // requests that it holds at all; more are answered full. 0: no limit
	Works          []Work        // by class or statement
	Cores          float64       // for the load it reports: running requests against cores
	NoticeInterval time.Duration // of notes on how far running requests are; 0: none
	ColdSpeed      float64       // speed just after its start, as a share; 0: always warm
	WarmUp         time.Duration // until it has come up to full speed

	Planner  *Planner // what statements of its templates take; nil: Works alone tell
	MemoryMB float64  // a request that begins while running requests need more than this swaps; 0: no limit
}

// swapSpeed is the share of its speed at which a request runs that began while memory was short: disks are several times slower
// than memory.
const swapSpeed = 0.2

// Engine is a fake of an engine, on the engines' wire. One goroutine owns its state; its clock stops while it is paused, so that a
// pause delays all that runs.
type Engine struct {
	Name    string
	Address string
	Log     *ExecutionLog

	behavior EngineBehavior
	listener net.Listener
	calls    chan func() // to be run by the owner
	closed   chan struct{}
	once     sync.Once

	// What follows belongs to the owner's goroutine.
	clock    engineClock
	wheel    *timerwheel.Wheel
	timers   timerTable
	conns    map[*engineConn]bool
	requests map[requestKey]*request
	queue    []*request // that wait for a thread
	deferred []message  // that came while it was paused
	faults   engineFaults
	random   *rand.Rand

	running  int
	held     int     // requests that wait or run; those whose pages lie here are over
	mostHeld int     // requests held at the same time so far
	memoryMB float64 // that running requests need
	swapped  int     // requests that began while it was short of memory
}

// engineClock is the clock of an engine, which stops while the engine is paused.
type engineClock struct {
	began     time.Time
	startedAt time.Duration // of the last start
	paused    bool
	pausedAt  time.Duration
	lag       time.Duration // by which the clock is behind
}

func (c *engineClock) now() time.Duration {
	if c.paused {
		return c.pausedAt
	}
	return time.Since(c.began) - c.lag
}

func (c *engineClock) pause() {
	if !c.paused {
		c.pausedAt, c.paused = c.now(), true
	}
}

func (c *engineClock) resume() {
	c.lag = time.Since(c.began) - c.pausedAt
	c.paused = false
}

// engineFaults are how an engine misbehaves.
type engineFaults struct {
	silent    bool
	speed     float64 // share of its speed
	failShare float64 // of requests that end with an error
	dropShare float64 // of answers that never leave
}

// message is a message from a connection, in its words.
type message struct {
	conn  *engineConn
	words []string
}

type engineConn struct {
	tcp net.Conn
}

type requestKey struct {
	conn *engineConn
	id   string
}

// request is a request that an engine holds, or whose pages it holds.
type request struct {
	key       requestKey
	work      Work
	class     string
	statement string        // of a planner's form; else empty
	service   time.Duration // that it takes at full speed
	beganAt   time.Duration // on the engine's clock
	endsAt    time.Duration // on the engine's clock
	isRunning bool
	isDone    bool
	timer     timerwheel.Timer
	timerID   int
	pages     [][]byte
	pagesSent int // that were asked for
}

// timerTable gives the requests with a timer the numbers by which the wheel knows them.
type timerTable struct {
	entries []timerEntry
	free    []int
}

// timerEntry is what a timer is for: the end of a request, or its next note.
type timerEntry struct {
	request *request
	isNote  bool
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

// StartEngine starts an engine on a loopback address ("127.0.0.1:0": any port).
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

// listen opens a listener for streams.
func listen(address string) (net.Listener, error) {
	return new(net.ListenConfig).Listen(context.Background(), "tcp", address)
}

// call has the owner run a function, and waits until it has.
func (e *Engine) call(f func()) {
	done := make(chan struct{})
	select {
	case e.calls <- func() { f(); close(done) }:
		<-done
	case <-e.closed:
	}
}

// send has the owner run a function, in its turn.
func (e *Engine) send(f func()) {
	select {
	case e.calls <- f:
	case <-e.closed:
	}
}

// Pause stops its clock: it reads, but does and answers nothing.
func (e *Engine) Pause() { e.call(e.clock.pause) }

// Resume ends a pause.
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

// minSpeed is the least share of its speed at which an engine runs.
const minSpeed = 1e-3

// SetSpeed has it run at a share of its speed from now on; what runs already is not slowed.
func (e *Engine) SetSpeed(share float64) {
	e.call(func() { e.faults.speed = max(share, minSpeed) })
}

// FailQueries has a share of all requests end with an error from now on.
func (e *Engine) FailQueries(share float64) { e.call(func() { e.faults.failShare = share }) }

// DropAnswers has a share of all results never leave from now on.
func (e *Engine) DropAnswers(share float64) { e.call(func() { e.faults.dropShare = share }) }

// StopAnswering has it answer nothing from now on, while it goes on with its work; ResumeAnswering ends that.
func (e *Engine) StopAnswering() { e.call(func() { e.faults.silent = true }) }

// ResumeAnswering ends StopAnswering.
func (e *Engine) ResumeAnswering() { e.call(func() { e.faults.silent = false }) }

// ResetConnections resets all its connections; what ran on them is abandoned.
func (e *Engine) ResetConnections() {
	e.call(func() {
		for c := range e.conns {
			if tcp, ok := c.tcp.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // fails on a closed connection, which needs no reset
			}
			c.tcp.Close()
			e.removeConn(c)
		}
	})
}

// RefuseConnections has it take no connection and resets those it has; AcceptConnections ends that, and it comes back cold.
func (e *Engine) RefuseConnections() {
	e.call(func() { e.listener.Close() })
	e.ResetConnections()
}

const (
	listenWithin     = time.Second
	listenRetryDelay = 10 * time.Millisecond
)

// AcceptConnections lets it take connections again, at the same address. Another process that looks for free ports may have it for a
// moment, so it is tried for a second.
func (e *Engine) AcceptConnections() error {
	deadline := time.Now().Add(listenWithin)
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

// Close ends it.
func (e *Engine) Close() {
	e.once.Do(func() {
		e.RefuseConnections()
		close(e.closed)
	})
}

// SwappedQueries is how many requests have begun while it was short of memory.
func (e *Engine) SwappedQueries() (count int) {
	e.call(func() { count = e.swapped })
	return count
}

// InFlight is how many requests it holds, and the most that it held so far.
func (e *Engine) InFlight() (now, most int) {
	e.call(func() { now, most = e.held, e.mostHeld })
	return now, most
}

// run is the owner's goroutine.
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

// advance fires the timers that are due, and returns how long it is until the next one.
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
