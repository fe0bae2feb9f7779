package client

import (
	"math/rand"
	"time"

	"magpiebank/internal/testbed/load/arrival"
)

const (
	// closeRaceWindow is how long after a send a close still counts as having crossed the request, which is sent again once.
	closeRaceWindow = 50 * time.Millisecond
	// killGrace is the time from KILL QUERY to the close.
	killGrace = 500 * time.Millisecond
	// maxIdleTimeout bounds Behavior.IdleTimeout.
	maxIdleTimeout = 4 * time.Second
	// maxAttempts bounds Behavior.MaxAttempts, because ids are drawn by request and attempt.
	maxAttempts = 63
	// maxBackoffDoublings keeps the shift of a doubled backoff from overflowing.
	maxBackoffDoublings = 20
)

type requestState uint8

const (
	stateFree    requestState = iota
	stateQueued               // waits for a connection under the limit
	stateDialing              // its session is connecting
	stateSent
	stateBackoff
	stateKilled // KILL QUERY is sent, the close follows after killGrace
	stateSilent // holds a session and never sends
)

// misbehavior is how the client of a request differs from a well-behaved one.
type misbehavior uint8

const (
	wellBehaved misbehavior = iota
	readsSlowly
	leavesEarly
	neverSends
)

// pendingRequest is a request that has no outcome yet. All times count from the start of the run.
type pendingRequest struct {
	request        arrival.Request
	state          requestState
	session        SessionID // -1: none
	timerSequence  uint32    // a timer that was set with another one is out of date
	attempts       int
	id             uint64
	misbehavior    misbehavior
	resent         bool          // sent again after a close that crossed it
	queuedSince    time.Duration // when it last asked for a session
	sentAt         time.Duration
	generatorDelay time.Duration
	queueDelay     time.Duration
	deadline       time.Duration // when the attempt timeout ends
	nextFree       int32         // in the free list; -1: the last
}

// Clients is all clients of one driver.
type Clients struct {
	transport Transport
	behavior  Behavior
	classes   []arrival.Class
	random    *rand.Rand
	seed      int64

	requests        []pendingRequest
	freeRequestHead int32 // head of the free list; -1: none
	sessions        []session
	freeSessions    []SessionID
	openSessions    int              // that count under the limit
	queue           sequencedQueue   // of requests that wait for a connection
	pool            []sequencedIndex // of idle sessions that may be used again
	heldOpen        sequencedQueue   // of sessions that are not used again, the longest idle first
	retryBudget     retryBudget
	unfinished      int
	attempt         Attempt // passed to the transport, reused to avoid an allocation
	report          Report  // passed to the transport, reused to avoid an allocation
}

// NewClients returns a load's clients, or a shard of them: ids come from the load's seed and the request's number,
// backoffs from the shard's own random source.
func NewClients(transport Transport, behavior Behavior, classes []arrival.Class, seed, shard int64) *Clients {
	behavior.MaxAttempts = min(max(1, behavior.MaxAttempts), maxAttempts)
	if behavior.IdleTimeout <= 0 || behavior.IdleTimeout > maxIdleTimeout {
		behavior.IdleTimeout = maxIdleTimeout
	}
	return &Clients{transport: transport, behavior: behavior, classes: classes, random: rand.New(rand.NewSource(seed + shard)),
		seed: seed, freeRequestHead: -1, retryBudget: retryBudget{window: behavior.RetryWindow}}
}

// Unfinished is how many requests have no outcome yet.
func (c *Clients) Unfinished() int { return c.unfinished }

// OpenSessions is how many sessions are open.
func (c *Clients) OpenSessions() int { return c.openSessions }

// HandleArrival begins a request at its intended time, or later when the driver is late.
func (c *Clients) HandleArrival(now time.Duration, request arrival.Request) {
	index := c.freeRequestHead
	if index < 0 {
		c.requests = append(c.requests, pendingRequest{})
		index = int32(len(c.requests) - 1)
	} else {
		c.freeRequestHead = c.requests[index].nextFree
	}
	pending := &c.requests[index]
	sequence := pending.timerSequence + 1
	*pending = pendingRequest{request: request, timerSequence: sequence, session: -1, generatorDelay: max(0, now-request.At),
		deadline: request.At + c.classes[request.Class].MaxWait, misbehavior: c.behavior.misbehaviorOf(request.RandomBits)}
	c.unfinished++
	c.retryBudget.recordFirstAttempt(now)
	c.startAttempt(now, index)
}

// misbehaviorOf maps a request's random draw to one of the shares of misbehaving clients.
func (b *Behavior) misbehaviorOf(draw uint64) misbehavior {
	switch fraction := float64(draw>>11) / (1 << 53); {
	case fraction < b.SlowShare:
		return readsSlowly
	case fraction < b.SlowShare+b.LeavingShare:
		return leavesEarly
	case fraction < b.SlowShare+b.LeavingShare+b.SilentShare:
		return neverSends
	}
	return wellBehaved
}

// ID names an attempt at a request on the wire. It is a bijection of request and attempt (from 1), so that no two are
// the same.
func ID(seed int64, request uint64, attempt int) uint64 {
	x := request*(maxAttempts+1) + uint64(attempt) + uint64(seed)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (c *Clients) startAttempt(now time.Duration, index int32) {
	pending := &c.requests[index]
	pending.attempts++
	pending.id = ID(c.seed, pending.request.Number, pending.attempts)
	c.acquireSession(now, index)
}

// setTimer replaces a request's timer.
func (c *Clients) setTimer(index int32, at time.Duration) {
	pending := &c.requests[index]
	pending.timerSequence++
	c.transport.SetTimer(at, index, pending.timerSequence)
}

// useSession sends an attempt on a session that is connected and idle.
func (c *Clients) useSession(now time.Duration, index int32, sessionID SessionID) {
	pending, acquired := &c.requests[index], &c.sessions[sessionID]
	acquired.request = index
	acquired.sequence++
	pending.session = sessionID
	if now >= pending.deadline {
		c.finish(now, index, NotSent)
		return
	}
	if pending.misbehavior == neverSends {
		pending.state = stateSilent
		c.setTimer(index, pending.deadline)
		return
	}
	pending.state, pending.sentAt = stateSent, now
	endsAt := pending.deadline
	if pending.misbehavior == leavesEarly { // somewhere in the latency objective
		objective := c.classes[pending.request.Class].LatencyObjective
		endsAt = min(endsAt, now+time.Duration(c.random.Int63n(int64(max(objective, 1)))))
	}
	c.setTimer(index, endsAt)
	c.attempt = Attempt{Request: &pending.request, ID: pending.id, WaitMS: max(1, (pending.deadline - now).Milliseconds()),
		Retry: pending.attempts > 1 && c.classes[pending.request.Class].MarkRetry, Slow: pending.misbehavior == readsSlowly}
	c.transport.Send(sessionID, &c.attempt)
}
