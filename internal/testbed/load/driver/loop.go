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
	// tickSize is the unit of the timer wheel: 0.1 ms, which is as precise as a sleep.
	tickSize = 100 * time.Microsecond
	// If the next action of a loop is closer than shortSleepBelow, the loop sleeps for at most maxShortSleep before it
	// checks its inbox. Longer waits use the runtime's timers, which are only precise to about a millisecond.
	maxShortSleep   = 200 * time.Microsecond
	shortSleepBelow = 2 * time.Millisecond
	// housekeepingInterval is the time between checks for idle sessions, and the longest wait of a loop.
	housekeepingInterval = 250 * time.Millisecond
)

// loop sends a part of the arrivals of the process. Its goroutine owns all fields except inbox, wake and waitsForEvent,
// which the goroutines of the connections use to deliver events.
type loop struct {
	driver       *Driver
	index        int
	schedule     *arrival.Schedule
	clients      *client.Clients
	metrics      *stats.Metrics
	next         arrival.Request // next arrival of the schedule
	hasNext      bool            // next is valid
	stop         <-chan struct{} // nil after stopOffering
	waitTimer    *time.Timer     // limits waitForEvent
	idleClosedAt time.Duration   // when idle sessions were last closed

	connections      []*conn         // by session
	buffer           []byte          // packet that is being sent; reused
	lastTarget       int             // index of the target that was chosen last
	avoidTargetUntil []time.Duration // by target: after a refused connection, when the target may get connections again

	wheel      *timerwheel.Wheel
	timers     []timer // by the number that the wheel stores
	freeTimers []int32 // indexes of unused timers

	mu            sync.Mutex // guards inbox
	inbox         []event
	spareInbox    []event       // an empty inbox whose memory is reused
	wake          chan struct{} // ends waitForEvent when an event arrives
	waitsForEvent atomic.Bool   // set while the loop is in waitForEvent, or about to be
}

// timer is a timer of a request. The wheel stores its index in loop.timers.
type timer struct {
	at       time.Duration
	request  int32
	sequence uint32
}

func newLoop(driver *Driver, index int, schedule *arrival.Schedule, metrics *stats.Metrics) *loop {
	load := &driver.load
	behavior := load.Behavior
	// The limit is for the whole process: each loop gets an equal part of it.
	if behavior.Connections > 0 {
		behavior.Connections = max(1, (behavior.Connections+load.Loops-1-index)/load.Loops)
	}
	created := &loop{driver: driver, index: index, schedule: schedule, wheel: timerwheel.New(0), metrics: metrics, stop: driver.stop,
		wake: make(chan struct{}, 1), avoidTargetUntil: make([]time.Duration, len(load.Targets))}
	// Attempt ids depend on the seed of the run and the number of the request; backoffs come from the loop's own random source.
	created.clients = client.NewClients(created, behavior, load.Classes, load.Seed, int64(load.Shard*load.Loops+index))
	return created
}

// now returns the time since the start of the run.
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
			open.disconnect()
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

// offerArrivals hands the arrivals that are due to the clients. It returns the time after the last of them.
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

// owns reports whether this loop sends an arrival.
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

// nextWakeUp returns the time of the loop's next action if no event arrives.
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

// waitUntil sleeps until a time. A short wait is limited to maxShortSleep; a longer one ends when an event arrives.
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

// sleepPrecisely calls nanosleep, because the runtime's timers may be a millisecond late while the process is otherwise
// idle. A signal may end the sleep early; the loop then reads the clock again.
func sleepPrecisely(duration time.Duration) {
	spec := syscall.NsecToTimespec(int64(duration))
	_ = syscall.Nanosleep(&spec, nil)
}
