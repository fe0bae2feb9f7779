// Package driver sends a schedule over sockets at its intended times. It carries out what the clients of a load decide;
// each loop is one goroutine that owns its clients, its timers and its part of the schedule.
package driver

import (
	"bufio"
	"net"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"magpiebank/internal/testbed/load/arrival"
	"magpiebank/internal/testbed/load/client"
	"magpiebank/internal/testbed/load/stats"
	"magpiebank/internal/testbed/load/timerwheel"
)

// Load is what one process sends.
type Load struct {
	Targets    []string // gateways; sessions go to them in turn
	Shape      *arrival.Shape
	Classes    []arrival.Class `json:"Lanes"`
	Behavior   client.Behavior `json:"Manners"`
	Seed       int64
	Length     time.Duration // 0: until the shape ends
	Shard      int           // this process sends the arrivals whose number modulo ShardCount is Shard
	ShardCount int           `json:"Of"`
	Loops      int           // 0: as many as half the cores
	CheckRows  bool          // rows must be those of our own fakes: the request's id, then k/n
	// Owns tells, where it is given, whether this process sends an arrival, in place of Shard and ShardCount; the
	// answer may change until the arrival's time has come.
	Owns func(t *arrival.Request) bool `json:"-"`
	// OnFinished, where it is given, is called with each report by the loops' goroutines.
	OnFinished func(r *client.Report) `json:"-"`
}

// Driver is a run under way.
type Driver struct {
	load    Load
	start   time.Time
	loops   []*loop
	wg      sync.WaitGroup
	stop    chan struct{}
	stopped sync.Once

	Offered, Ended, Open atomic.Int64 // for progress
	Horizon              atomic.Int64 // ns from the start up to which all arrivals have been handed out
}

// Start begins to send at a time, which may lie a little ahead.
func Start(l Load, at time.Time) (*Driver, error) {
	if l.Loops <= 0 {
		l.Loops = max(1, runtime.GOMAXPROCS(0)/2)
	}
	if l.ShardCount <= 0 {
		l.ShardCount = 1
	}
	d := &Driver{load: l, start: at, stop: make(chan struct{})}
	names, quoted := make([]string, len(l.Classes)), make([]time.Duration, len(l.Classes))
	for i, lane := range l.Classes {
		names[i], quoted[i] = lane.Name, lane.LatencyObjective
	}
	for k := range l.Loops {
		schedule, err := arrival.NewSchedule(l.Shape, l.Classes, l.Seed, l.Length)
		if err != nil {
			return nil, err
		}
		m := l.Behavior
		if m.Connections > 0 { // the limit is the process's: each loop has its part of it
			m.Connections = max(1, (m.Connections+l.Loops-1-k)/l.Loops)
		}
		w := &loop{d: d, k: k, schedule: schedule, wheel: timerwheel.New(0), figures: stats.New(names, quoted),
			wake: make(chan struct{}, 1), targets: make([]time.Duration, len(l.Targets))}
		// Ids are drawn by the run's seed and the request's number, backoffs by a source of each loop's own.
		w.crowd = client.NewClients(w, m, l.Classes, l.Seed, int64(l.Shard*l.Loops+k))
		d.loops = append(d.loops, w)
	}
	for _, w := range d.loops {
		d.wg.Add(1)
		go func() {
			defer d.wg.Done()
			w.run()
		}()
	}
	return d, nil
}

// Stop ends the run: nothing more is sent, and what is out is given up.
func (d *Driver) Stop() { d.stopped.Do(func() { close(d.stop) }) }

// Wait returns the figures when all requests have their outcomes.
func (d *Driver) Wait() *stats.Metrics {
	d.wg.Wait()
	return d.merged()
}

func (d *Driver) merged() *stats.Metrics {
	all := stats.New(nil, nil)
	for i, w := range d.loops {
		if i == 0 {
			all = w.figures
		} else if err := all.Merge(w.figures); err != nil {
			panic(err) // they were made from the same classes
		}
	}
	return all
}

// event is what a connection's goroutine tells its loop.
type event struct {
	kind     eventKind
	at       time.Duration
	c        *conn
	id       uint64
	how      client.Outcome
	comeBack time.Duration
	refused  bool
}

type eventKind uint8

const (
	up eventKind = iota
	answered
	ended
	unasked
)

// tickSize is the wheel's unit: a tenth of a millisecond, as fine as sleeps are exact.
const tickSize = 100 * time.Microsecond

type loop struct {
	d        *Driver
	k        int
	schedule *arrival.Schedule
	crowd    *client.Clients
	wheel    *timerwheel.Wheel
	figures  *stats.Metrics
	conns    []*conn // by session
	buffer   []byte
	turn     int             // of the targets
	targets  []time.Duration // until when each is left out, as it refused
	tidied   time.Duration
	timers   []timer
	freeT    []int32

	mu     sync.Mutex
	inbox  []event
	spare  []event
	wake   chan struct{}
	asleep atomic.Bool
}

// timer is what a wheel's number stands for.
type timer struct {
	at   time.Duration
	q    int32
	turn uint32
}

func (w *loop) now() time.Duration { return time.Since(w.d.start) }

// tell queues an event; the loop is rung only where it sleeps.
func (w *loop) tell(e event) {
	w.mu.Lock()
	w.inbox = append(w.inbox, e)
	w.mu.Unlock()
	if w.asleep.Load() {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
}

func (w *loop) drain() {
	w.mu.Lock()
	events := w.inbox
	w.inbox = w.spare[:0]
	w.mu.Unlock()
	for i := range events {
		w.take(&events[i])
		events[i] = event{}
	}
	w.spare = events
}

func (w *loop) take(e *event) {
	c := e.c
	if e.kind == unasked {
		w.figures.RecordViolation(stats.ViolationUnexpectedAnswer, e.id)
		return
	}
	if w.conns[c.s] != c { // closed by this side meanwhile
		return
	}
	switch e.kind {
	case up:
		c.up = true
		w.crowd.HandleConnected(e.at, c.s, c.connection)
	case answered:
		w.crowd.HandleAnswer(e.at, c.s, e.id, e.how, e.comeBack)
	case ended:
		if e.refused {
			w.targets[c.target] = e.at + leftOut
		}
		w.conns[c.s] = nil
		w.d.Open.Add(-1)
		w.crowd.HandleClosed(e.at, c.s, e.refused)
	}
}

// leftOut is for how long a target that refused a connection gets none while others are there: as long as a load
// balancer's check takes to notice, as a rule.
const leftOut = time.Second

// mine tells whether an arrival is this loop's.
func (w *loop) mine(t *arrival.Request) bool {
	l := &w.d.load
	if int(t.Number/uint64(l.ShardCount))%l.Loops != w.k {
		return false
	}
	if l.Owns != nil {
		return l.Owns(t)
	}
	return arrival.Shard(t.Number, l.ShardCount) == l.Shard
}

// nap is the longest that a loop sleeps without looking at its inbox when it waits for a time that is close; longer
// waits are slept by the runtime, whose timers are exact to a millisecond or so.
const (
	nap  = 200 * time.Microsecond
	near = 2 * time.Millisecond
)

func (w *loop) run() {
	if time.Until(w.d.start) > 0 {
		time.Sleep(time.Until(w.d.start) - near)
	}
	stop := w.d.stop
	next, more := w.schedule.Next()
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		w.drain()
		now := w.now()
		w.wheel.Advance(timerwheel.Tick(now/tickSize), func(what uint64) { w.fire(now, int32(what)) })
		for more && next.At <= now {
			if w.mine(&next) {
				w.figures.RecordOffered(next.At)
				w.d.Offered.Add(1)
				w.crowd.HandleArrival(max(now, next.At), next)
				now = w.now()
			}
			next, more = w.schedule.Next()
		}
		if w.k == 0 {
			w.d.Horizon.Store(int64(now))
		}
		if now-w.tidied > 250*time.Millisecond {
			w.tidied = now
			w.crowd.CloseIdle(now)
		}
		if !more && w.crowd.Unfinished() == 0 {
			break
		}
		until := now + 250*time.Millisecond
		if more {
			until = min(until, next.At)
		}
		if at, ok := w.wheel.Next(); ok {
			until = min(until, time.Duration(at)*tickSize)
		}
		select {
		case <-stop:
			more, stop = false, nil
			w.crowd.Stop(now)
			continue
		default:
		}
		switch rest := until - w.now(); {
		case rest <= 0:
		case rest < near:
			sleep(min(rest, nap))
		default:
			w.asleep.Store(true)
			w.mu.Lock()
			waiting := len(w.inbox)
			w.mu.Unlock()
			if waiting == 0 {
				alarm.Reset(rest - near/2)
				select {
				case <-w.wake:
				case <-alarm.C:
				case <-stop:
					more, stop = false, nil
					w.crowd.Stop(w.now())
				}
			}
			w.asleep.Store(false)
		}
	}
	for _, c := range w.conns {
		if c != nil {
			c.leave()
		}
	}
}

// sleep sleeps exactly: the runtime's own timers may be a millisecond late when nothing else goes on.
func sleep(d time.Duration) {
	t := syscall.NsecToTimespec(int64(d))
	syscall.Nanosleep(&t, nil)
}

func (w *loop) fire(now time.Duration, i int32) {
	t := w.timers[i]
	w.freeT = append(w.freeT, i)
	w.crowd.HandleTimer(max(now, t.at), t.q, t.turn)
}

// The calls of client.Host.

func (w *loop) SetTimer(at time.Duration, q int32, turn uint32) {
	var i int32
	if n := len(w.freeT); n > 0 {
		i, w.freeT = w.freeT[n-1], w.freeT[:n-1]
	} else {
		w.timers = append(w.timers, timer{})
		i = int32(len(w.timers) - 1)
	}
	w.timers[i] = timer{at, q, turn}
	w.wheel.Add(timerwheel.Tick((at+tickSize-1)/tickSize), uint64(i))
}

func (w *loop) Dial(s client.Session) {
	for len(w.conns) <= int(s) {
		w.conns = append(w.conns, nil)
	}
	c := &conn{w: w, s: s, target: w.pick()}
	w.conns[s] = c
	w.d.Open.Add(1)
	go c.run()
}

// pick takes the targets in turn and leaves out those that refused a moment ago, unless all did.
func (w *loop) pick() int {
	now := w.now()
	for range w.targets {
		w.turn = (w.turn + 1) % len(w.targets)
		if w.targets[w.turn] <= now {
			return w.turn
		}
	}
	w.turn = (w.turn + 1) % len(w.targets)
	return w.turn
}

func (w *loop) Send(s client.Session, a *client.Attempt) {
	c := w.conns[s]
	lane := &w.d.load.Classes[a.Request.Class]
	w.buffer = query(w.buffer[:0], lane, a)
	c.slow.Store(a.Slow)
	c.expect.Store(a.ID)
	if len(w.buffer) > someBytes { // may fill the socket's buffer
		text := slices.Clone(w.buffer)
		go c.tcp.Write(text)
		return
	}
	c.tcp.Write(w.buffer) // an error shows as the connection's end
	w.crowd.HandleSent(w.now(), s, a.ID)
}

// someBytes fit into a socket's buffer when nothing else is in it.
const someBytes = 1 << 14

func (w *loop) Close(s client.Session) {
	c := w.conns[s]
	w.conns[s] = nil
	w.d.Open.Add(-1)
	c.leave()
}

func (w *loop) KillQuery(connection uint32) {
	target := w.turn
	for _, c := range w.conns {
		if c != nil && c.up && c.connection == connection {
			target = c.target
			break
		}
	}
	go kill(w.d.load.Targets[target], connection)
}

func (w *loop) Finished(r *client.Report) {
	w.d.Ended.Add(1)
	w.figures.RecordFinished(r)
	if w.d.load.OnFinished != nil {
		w.d.load.OnFinished(r)
	}
}

// conn is one connection; its goroutine dials, logs in and reads.
type conn struct {
	w          *loop
	s          client.Session
	target     int
	connection uint32
	up         bool
	expect     atomic.Uint64 // id of the query whose answer is awaited; 0: none
	slow       atomic.Bool

	mu   sync.Mutex
	tcp  net.Conn // set once, before Up
	left bool
	r    *bufio.Reader
}
