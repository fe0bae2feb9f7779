package client

import (
	"math/rand"
	"time"

	"magpiebank/internal/testbed/load/arrival"
)

const (
	// closeRaceWindow is how soon after a send a close of a reused session counts as a race: the server closed the idle
	// session while the request was on its way. Such a request is sent again, once.
	closeRaceWindow = 50 * time.Millisecond
	// killGrace is the time between KILL QUERY and closing the connection.
	killGrace = 500 * time.Millisecond
	// maxIdleTimeout is the largest Behavior.IdleTimeout, and its default.
	maxIdleTimeout = 4 * time.Second
	// maxAttempts is the largest Behavior.MaxAttempts. The limit exists because ID packs request number and attempt
	// into one number.
	maxAttempts = 63
	// maxBackoffDoublings prevents an overflow when the backoff is shifted left.
	maxBackoffDoublings = 20
)

// requestState is the state of an entry in the table of requests.
type requestState uint8

const (
	stateFree    requestState = iota
	stateQueued               // waiting for a connection under the limit
	stateDialing              // its session is connecting
	stateSent                 // waiting for the answer
	stateBackoff              // waiting for the next attempt
	stateKilled               // outcome reported and KILL QUERY sent; the session is closed after killGrace
	stateSilent               // holds a session and never sends
)

// misbehavior is how the client of a request deviates from a well-behaved client.
type misbehavior uint8

const (
	wellBehaved misbehavior = iota
	readsSlowly
	leavesEarly
	neverSends
)

// pendingRequest is an entry in the table of requests. All times count from the start of the run.
type pendingRequest struct {
	request        arrival.Request
	state          requestState
	session        SessionID // -1: none
	timerSequence  uint32    // number of the current timer; timers with other numbers are out of date
	attempts       int
	id             uint64 // of the current attempt
	misbehavior    misbehavior
	resent         bool          // already sent again after a close race
	queuedSince    time.Duration // when it last requested a session
	sentAt         time.Duration // when the last attempt was sent
	generatorDelay time.Duration
	queueDelay     time.Duration
	deadline       time.Duration // when the client stops waiting: MaxWait after the intended time
	nextFree       int32         // next entry of the free list; -1: none
}

// Clients simulates the clients of one driver loop.
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
	openSessions    int              // counted against the limit
	queue           sequencedQueue   // requests that wait for a connection
	pool            []sequencedIndex // idle sessions that may be used again
	heldOpen        sequencedQueue   // idle sessions that are not used again, the longest idle first
	retryBudget     retryBudget
	unfinished      int     // number of requests without an outcome
	attempt         Attempt // passed to the transport, reused to avoid an allocation
	report          Report  // passed to the transport, reused to avoid an allocation
}

// NewClients returns the clients of a load, or of a shard of it. Attempt ids depend on the seed of the load and the
// number of the request. Other random values, such as backoffs, come from a random source that belongs to the shard.
func NewClients(transport Transport, behavior Behavior, classes []arrival.Class, seed, shard int64) *Clients {
	behavior.MaxAttempts = min(max(1, behavior.MaxAttempts), maxAttempts)
	if behavior.IdleTimeout <= 0 || behavior.IdleTimeout > maxIdleTimeout {
		behavior.IdleTimeout = maxIdleTimeout
	}
	return &Clients{transport: transport, behavior: behavior, classes: classes, random: rand.New(rand.NewSource(seed + shard)),
		seed: seed, freeRequestHead: -1, retryBudget: retryBudget{window: behavior.RetryWindow}}
}

// Unfinished returns the number of requests without an outcome.
func (c *Clients) Unfinished() int { return c.unfinished }

// OpenSessions returns the number of open sessions.
func (c *Clients) OpenSessions() int { return c.openSessions }

// HandleArrival starts a request at its intended time, or later if the driver is late.
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

// misbehaviorOf maps the random bits of a request to one of the shares of misbehaving clients, or to wellBehaved.
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

// ID returns the id that identifies an attempt at a request on the wire. It is a bijection of the request number and
// the attempt (from 1), so no two attempts have the same id.
func ID(seed int64, request uint64, attempt int) uint64 {
	x := request*(maxAttempts+1) + uint64(attempt) + uint64(seed)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// startAttempt begins the next attempt at a request.
func (c *Clients) startAttempt(now time.Duration, index int32) {
	pending := &c.requests[index]
	pending.attempts++
	pending.id = ID(c.seed, pending.request.Number, pending.attempts)
	c.acquireSession(now, index)
}

// setTimer replaces the timer of a request.
func (c *Clients) setTimer(index int32, at time.Duration) {
	pending := &c.requests[index]
	pending.timerSequence++
	c.transport.SetTimer(at, index, pending.timerSequence)
}

// useSession sends an attempt on a session that is connected and idle. A silent client only holds the session.
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
	if pending.misbehavior == leavesEarly { // the client leaves at a random time within the latency objective
		objective := c.classes[pending.request.Class].LatencyObjective
		endsAt = min(endsAt, now+time.Duration(c.random.Int63n(int64(max(objective, 1)))))
	}
	c.setTimer(index, endsAt)
	c.attempt = Attempt{Request: &pending.request, ID: pending.id, WaitMS: max(1, (pending.deadline - now).Milliseconds()),
		Retry: pending.attempts > 1 && c.classes[pending.request.Class].MarkRetry, Slow: pending.misbehavior == readsSlowly}
	c.transport.Send(sessionID, &c.attempt)
}
