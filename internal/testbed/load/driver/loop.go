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
	// maxShortSleep is the longest that a loop sleeps without looking at its inbox when it waits for a time that is closer
	// than shortSleepBelow; longer waits are slept by the runtime, whose timers are exact to a millisecond or so.
	maxShortSleep   = 200 * time.Microsecond
	shortSleepBelow = 2 * time.Millisecond
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
	hasNext      bool            // next is one
	stop         <-chan struct{} // nil once the loop has stopped
	waitTimer    *time.Timer
	idleClosedAt time.Duration

	connections      []*conn // by session
	buffer           []byte  // of the packet that is sent, reused
	lastTarget       int
	avoidTargetUntil []time.Duration // by target: until when it gets no connection, as it refused one

	wheel      *timerwheel.Wheel
	timers     []timer // by the number that the wheel holds
	freeTimers []int32

	mu            sync.Mutex // of inbox
	inbox         []event
	spareInbox    []event
	wake          chan struct{}
	waitsForEvent atomic.Bool
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
		wake: make(chan struct{}, 1), avoidTargetUntil: make([]time.Duration, len(load.Targets))}
	// Ids are drawn by the run's seed and the request's number, backoffs by a random source of each loop's own.
	created.clients = client.NewClients(created, behavior, load.Classes, load.Seed, int64(load.Shard*load.Loops+index))
	return created
}

// now is the time from the start of the run.
func (l *loop) now() time.Duration { return time.Since(l.driver.start) }

func (l *loop) run() {
	if time.Until(l.driver.start) > 0 {
		time.Sleep(time.Until(l.driver.start) - shortSleepBelow)
	}
	l.next, l.hasNext = l.schedule.Next()
	l.waitTimer = time.NewTimer(time.Hour)
	defer l.waitTimer.Stop()
	for {
		l.drainInbox()
		now := l.now()
		l.fireTimers(now)
		now = l.offerArrivals(now)
		if l.index == 0 {
			l.driver.OfferedUntil.Store(int64(now))
		}
		if now-l.idleClosedAt > housekeepingInterval {
			l.idleClosedAt = now
			l.clients.CloseIdle(now)
		}
		if !l.hasNext && l.clients.Unfinished() == 0 {
			break
		}
		until := l.nextWakeUp(now)
		select {
		case <-l.stop:
			l.stopOffering(now)
			continue
		default:
		}
		l.waitUntil(until)
	}
	for _, open := range l.connections {
		if open != nil {
			open.close()
		}
	}
}

func (l *loop) fireTimers(now time.Duration) {
	l.wheel.Advance(timerwheel.Tick(now/tickSize), func(number uint64) { l.fireTimer(now, int32(number)) })
}

func (l *loop) fireTimer(now time.Duration, number int32) {
	fired := l.timers[number]
	l.freeTimers = append(l.freeTimers, number)
	l.clients.HandleTimer(max(now, fired.at), fired.request, fired.sequence)
}

// offerArrivals hands out the arrivals whose time has come, and returns the time after the last one.
func (l *loop) offerArrivals(now time.Duration) time.Duration {
	for l.hasNext && l.next.At <= now {
		if l.owns(&l.next) {
			l.metrics.RecordOffered(l.next.At)
			l.driver.Offered.Add(1)
			l.clients.HandleArrival(max(now, l.next.At), l.next)
			now = l.now()
		}
		l.next, l.hasNext = l.schedule.Next()
	}
	return now
}

// owns tells whether an arrival is this loop's.
func (l *loop) owns(request *arrival.Request) bool {
	load := &l.driver.load
	if int(request.Number/uint64(load.ShardCount))%load.Loops != l.index {
		return false
	}
	if load.Owns != nil {
		return load.Owns(request)
	}
	return arrival.Shard(request.Number, load.ShardCount) == load.Shard
}

// nextWakeUp is when the loop has something to do next, events aside.
func (l *loop) nextWakeUp(now time.Duration) time.Duration {
	until := now + housekeepingInterval
	if l.hasNext {
		until = min(until, l.next.At)
	}
	if at, ok := l.wheel.Next(); ok {
		until = min(until, time.Duration(at)*tickSize)
	}
	return until
}

// stopOffering ends the schedule and gives all requests their outcomes.
func (l *loop) stopOffering(now time.Duration) {
	l.hasNext, l.stop = false, nil
	l.clients.Stop(now)
}

// waitUntil sleeps until a time or, where that is not close, an event.
func (l *loop) waitUntil(until time.Duration) {
	remaining := until - l.now()
	switch {
	case remaining <= 0:
	case remaining < shortSleepBelow:
		sleepPrecisely(min(remaining, maxShortSleep))
	default:
		l.waitsForEvent.Store(true)
		l.mu.Lock()
		waiting := len(l.inbox)
		l.mu.Unlock()
		if waiting == 0 {
			l.waitForEvent(remaining - shortSleepBelow/2)
		}
		l.waitsForEvent.Store(false)
	}
}

func (l *loop) waitForEvent(timeout time.Duration) {
	l.waitTimer.Reset(timeout)
	select {
	case <-l.wake:
	case <-l.waitTimer.C:
	case <-l.stop:
		l.stopOffering(l.now())
	}
}

// sleepPrecisely sleeps by the system call, because the runtime's own timers may be a millisecond late when nothing else
// goes on. A signal may end the sleep early; the loop then looks at the clock again.
func sleepPrecisely(duration time.Duration) {
	spec := syscall.NsecToTimespec(int64(duration))
	_ = syscall.Nanosleep(&spec, nil)
}
