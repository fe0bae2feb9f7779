package driver

import (
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"magpiebank/internal/testbed/load/arrival"
	"magpiebank/internal/testbed/load/client"
	"magpiebank/internal/testbed/load/stats"
	"magpiebank/internal/testbed/load/timerwheel"
)

const (
	// tickSize is the timer wheel's unit: a tenth of a millisecond, as fine as sleeps are exact.
	tickSize = 100 * time.Microsecond
	// maxNap is the longest that a loop sleeps without looking at its inbox when it waits for a time that is closer
	// than napBelow; longer waits are slept by the runtime, whose timers are exact to a millisecond or so.
	maxNap   = 200 * time.Microsecond
	napBelow = 2 * time.Millisecond
	// housekeepingInterval is how often idle sessions are closed, and the longest that a loop waits.
	housekeepingInterval = 250 * time.Millisecond
)

// loop sends one share of the process's arrivals. Its goroutine owns all fields but those of the inbox.
type loop struct {
	driver       *Driver
	index        int
	schedule     *arrival.Schedule
	clients      *client.Clients
	metrics      *stats.Metrics
	next         arrival.Request // the schedule's next arrival
	more         bool            // next is one
	stop         <-chan struct{} // nil once the loop has stopped
	alarm        *time.Timer
	idleClosedAt time.Duration

	connections  []*conn // by session
	buffer       []byte  // of the packet that is sent, reused
	lastTarget   int
	avoidTargets []time.Duration // by target: until when it gets no connection, as it refused one

	wheel      *timerwheel.Wheel
	timers     []timer // by the number that the wheel holds
	freeTimers []int32

	mu     sync.Mutex // of inbox
	inbox  []event
	spare  []event
	wake   chan struct{}
	asleep atomic.Bool
}

// timer is what a number in the wheel stands for.
type timer struct {
	at       time.Duration
	request  int32
	sequence uint32
}

func newLoop(driver *Driver, index int, schedule *arrival.Schedule, metrics *stats.Metrics) *loop {
	load := &driver.load
	behavior := load.Behavior
	if behavior.Connections > 0 { // the limit is the process's: each loop gets its share of it
		behavior.Connections = max(1, (behavior.Connections+load.Loops-1-index)/load.Loops)
	}
	created := &loop{driver: driver, index: index, schedule: schedule, wheel: timerwheel.New(0), metrics: metrics, stop: driver.stop,
		wake: make(chan struct{}, 1), avoidTargets: make([]time.Duration, len(load.Targets))}
	// Ids are drawn by the run's seed and the request's number, backoffs by a random source of each loop's own.
	created.clients = client.NewClients(created, behavior, load.Classes, load.Seed, int64(load.Shard*load.Loops+index))
	return created
}

// now is the time from the start of the run.
func (w *loop) now() time.Duration { return time.Since(w.driver.start) }

func (w *loop) run() {
	if time.Until(w.driver.start) > 0 {
		time.Sleep(time.Until(w.driver.start) - napBelow)
	}
	w.next, w.more = w.schedule.Next()
	w.alarm = time.NewTimer(time.Hour)
	defer w.alarm.Stop()
	for {
		w.drainInbox()
		now := w.now()
		w.fireTimers(now)
		now = w.offerArrivals(now)
		if w.index == 0 {
			w.driver.OfferedUntil.Store(int64(now))
		}
		if now-w.idleClosedAt > housekeepingInterval {
			w.idleClosedAt = now
			w.clients.CloseIdle(now)
		}
		if !w.more && w.clients.Unfinished() == 0 {
			break
		}
		until := w.nextWakeUp(now)
		select {
		case <-w.stop:
			w.stopOffering(now)
			continue
		default:
		}
		w.waitUntil(until)
	}
	for _, open := range w.connections {
		if open != nil {
			open.leave()
		}
	}
}

func (w *loop) fireTimers(now time.Duration) {
	w.wheel.Advance(timerwheel.Tick(now/tickSize), func(number uint64) { w.fire(now, int32(number)) })
}

func (w *loop) fire(now time.Duration, number int32) {
	fired := w.timers[number]
	w.freeTimers = append(w.freeTimers, number)
	w.clients.HandleTimer(max(now, fired.at), fired.request, fired.sequence)
}

// offerArrivals hands out the arrivals whose time has come, and returns the time after the last one.
func (w *loop) offerArrivals(now time.Duration) time.Duration {
	for w.more && w.next.At <= now {
		if w.owns(&w.next) {
			w.metrics.RecordOffered(w.next.At)
			w.driver.Offered.Add(1)
			w.clients.HandleArrival(max(now, w.next.At), w.next)
			now = w.now()
		}
		w.next, w.more = w.schedule.Next()
	}
	return now
}

// owns tells whether an arrival is this loop's.
func (w *loop) owns(request *arrival.Request) bool {
	load := &w.driver.load
	if int(request.Number/uint64(load.ShardCount))%load.Loops != w.index {
		return false
	}
	if load.Owns != nil {
		return load.Owns(request)
	}
	return arrival.Shard(request.Number, load.ShardCount) == load.Shard
}

// nextWakeUp is when the loop has something to do next, events aside.
func (w *loop) nextWakeUp(now time.Duration) time.Duration {
	until := now + housekeepingInterval
	if w.more {
		until = min(until, w.next.At)
	}
	if at, ok := w.wheel.Next(); ok {
		until = min(until, time.Duration(at)*tickSize)
	}
	return until
}

// stopOffering ends the schedule and gives all requests their outcomes.
func (w *loop) stopOffering(now time.Duration) {
	w.more, w.stop = false, nil
	w.clients.Stop(now)
}

// waitUntil sleeps until a time or, where that is not close, an event.
func (w *loop) waitUntil(until time.Duration) {
	remaining := until - w.now()
	switch {
	case remaining <= 0:
	case remaining < napBelow:
		sleepExactly(min(remaining, maxNap))
	default:
		w.asleep.Store(true)
		w.mu.Lock()
		waiting := len(w.inbox)
		w.mu.Unlock()
		if waiting == 0 {
			w.waitForEvent(remaining - napBelow/2)
		}
		w.asleep.Store(false)
	}
}

func (w *loop) waitForEvent(timeout time.Duration) {
	w.alarm.Reset(timeout)
	select {
	case <-w.wake:
	case <-w.alarm.C:
	case <-w.stop:
		w.stopOffering(w.now())
	}
}

// sleepExactly sleeps by the system call, because the runtime's own timers may be a millisecond late when nothing else
// goes on. A signal may end the sleep early; the loop then looks at the clock again.
func sleepExactly(duration time.Duration) {
	spec := syscall.NsecToTimespec(int64(duration))
	_ = syscall.Nanosleep(&spec, nil)
}
