// Package client decides what the clients of a load do: when they send, on which session, how long they wait, whether
// they try again. It does no I/O and has no clock; a driver brings events and carries out what the Host is told.
package client

import (
	"math/rand"
	"time"

	"magpiebank/internal/testbed/load/arrival"
)

// Outcome is how a request ended for the client that wanted it.
type Outcome uint8

// The outcomes. Every request of a schedule gets exactly one.
const (
	Served          Outcome = iota
	Rejected                // the last attempt was turned away
	Failed                  // the last try got an error that promises nothing
	TimedOut                // attempt timeout was over while a attempt was out, or rested
	NotSent                 // attempt timeout was over before a connection was free
	NoConnection            // the last try found nobody there
	ConnectionLost          // the connection ended without a whole answer
	MalformedAnswer         // the answer couldn't be read, or its rows aren't whole
	ClientLeft              // the client went away on purpose
	OutcomeCount    = iota
)

var outcomeNames = [OutcomeCount]string{"delivered", "nacked", "written off", "given up", "unsent", "no connection", "lost",
	"spoilt", "left"}

func (o Outcome) String() string { return outcomeNames[o] }

// Behavior are how the clients of a load behave.
type Behavior struct {
	Connections int // that may be open at once; 0: no limit. Requests that find none free wait, first come first served.
	// PooledShare of the sessions goes back to a pool, last in first out; HeldOpenShare stays open and is not used
	// again; the others end with their query.
	PooledShare   float64       `json:"Reused"`
	HeldOpenShare float64       `json:"Kept"`
	IdleTimeout   time.Duration `json:"Idle"` // after which a pooled session is closed

	MaxAttempts     int           `json:"Tries"`       // in all, the first included
	Backoff         time.Duration `json:"BackOff"`     // before the second attempt; doubled each time
	MaxBackoff      time.Duration `json:"MostBackOff"` // bound of the doubled backoff
	Jitter          float64       // share of a backoff that is drawn
	HonorRetryAfter float64       `json:"Honour"` // chance that a retry-after time is kept to

	// The retry budget allows in each RetryWindow RetryBurst retries and RetryRatio of the first attempts in it.
	RetryRatio  float64       `json:"Budget"`
	RetryBurst  int           `json:"BudgetFree"`
	RetryWindow time.Duration `json:"BudgetWindow"`

	// Shares of clients that misbehave.
	SlowShare    float64 `json:"Slow"`  // read slowly
	LeavingShare float64 `json:"Leave"` // leave without a word
	SilentShare  float64 `json:"Mute"`  // connect and never speak
}

// The protocol's figures.
const (
	crossing = 50 * time.Millisecond  // a close that crosses a request by so little has it sent again once
	afterEnd = 500 * time.Millisecond // from KILL QUERY to the close
	mostIdle = 4 * time.Second        // clients close sessions that were idle for so long
	maxTries = 63                     // ids are drawn by request and try
)

// Session names a connection of a load; places are used again.
type Session int32

// Attempt is what a try sends.
type Attempt struct {
	Request *arrival.Request
	ID      uint64
	WaitMS  int64
	Retry   bool
	Slow    bool
}

// Report is how one request ended.
type Report struct {
	Request        *arrival.Request
	Outcome        Outcome
	FinishedAt     time.Duration // when, from the start of the run
	GeneratorDelay time.Duration // part of the latency that is the generator's: it woke late, or wrote late
	QueueDelay     time.Duration // part of it that was spent waiting for a connection under the limit
	SentAt         time.Duration // when the last attempt was written
	Attempts       int
	Misbehaving    bool // of a slow, leaving or mute client, whose figures are kept apart
}

// Transport is what clients act on. Every call is answered by events, later.
type Transport interface {
	Dial(s Session)                                  // then Up or Ended
	Send(s Session, a *Attempt)                      // then Answered or Ended
	Close(s Session)                                 // then nothing more of this session
	KillQuery(connection uint32)                     // KILL QUERY on a session of its own; nothing comes of it
	SetTimer(at time.Duration, q int32, turn uint32) // then Due
	Finished(r *Report)
}

type state uint8

const (
	free state = iota
	queued
	dialling
	out
	resting
	leaving // KILL QUERY is sent, the close comes half a second later
	mute
)

type query struct {
	task        arrival.Request
	state       state
	session     Session
	turn        uint32 // tells a timer whether it is still meant
	tries       int
	id          uint64
	odd         oddity
	crossed     bool // it was sent again after a close that crossed it
	since       time.Duration
	sent        time.Duration
	own, waited time.Duration
	patience    time.Duration // when it is over, from the start of the run
	next        int32         // in the free list
}

type oddity uint8

const (
	usual oddity = iota
	slow
	leaves
	says0
)

type session struct {
	q          int32 // that uses it; -1: idle
	connection uint32
	up, used   bool
	since      time.Duration // idle
	turn       uint32
	open       bool
}

// Clients is all clients of one driver.
type Clients struct {
	host  Transport
	m     Behavior
	lanes []arrival.Class
	r     *rand.Rand
	seed  int64

	queries  []query
	freeQ    int32
	sessions []session
	freeS    []Session
	open     int // sessions that count under the limit
	line     fifo
	pool     []placeTurn
	kept     fifo // of sessions that are idle for good, oldest first
	budget   window
	live     int
	asked    Attempt
	report   Report
}

// NewClients is a load's clients, or a part of them: ids come from the load's seed and the request's number, backoffs
// from the part's own source.
func NewClients(host Transport, m Behavior, lanes []arrival.Class, seed, part int64) *Clients {
	m.MaxAttempts = min(max(1, m.MaxAttempts), maxTries)
	if m.IdleTimeout <= 0 || m.IdleTimeout > mostIdle {
		m.IdleTimeout = mostIdle
	}
	return &Clients{host: host, m: m, lanes: lanes, r: rand.New(rand.NewSource(seed + part)), seed: seed, freeQ: -1,
		budget: window{span: m.RetryWindow}}
}

// Unfinished is how many requests have no outcome yet.
func (c *Clients) Unfinished() int { return c.live }

// OpenSessions is how many sessions are open.
func (c *Clients) OpenSessions() int { return c.open }

// HandleArrival takes a request in at its intended time, or later when the driver is late.
func (c *Clients) HandleArrival(now time.Duration, t arrival.Request) {
	i := c.freeQ
	if i < 0 {
		c.queries = append(c.queries, query{})
		i = int32(len(c.queries) - 1)
	} else {
		c.freeQ = c.queries[i].next
	}
	q := &c.queries[i]
	turn := q.turn + 1
	*q = query{task: t, turn: turn, session: -1, own: max(0, now-t.At), patience: t.At + c.lanes[t.Class].MaxWait}
	switch share := float64(t.Draw>>11) / (1 << 53); {
	case share < c.m.SlowShare:
		q.odd = slow
	case share < c.m.SlowShare+c.m.LeavingShare:
		q.odd = leaves
	case share < c.m.SlowShare+c.m.LeavingShare+c.m.SilentShare:
		q.odd = says0
	}
	c.live++
	c.budget.first(now)
	c.want(now, i)
}

// ID names a try of a request on the wire. It is a bijection of request and try (from 1), so that no two are the same.
func ID(seed int64, task uint64, try int) uint64 {
	x := task*(maxTries+1) + uint64(try) + uint64(seed)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// want begins a try.
func (c *Clients) want(now time.Duration, i int32) {
	q := &c.queries[i]
	q.tries++
	q.id = ID(c.seed, q.task.Number, q.tries)
	c.seek(now, i)
}

// seek finds a session for a try: a pooled one, a new one while the limit allows, else a place in the line.
func (c *Clients) seek(now time.Duration, i int32) {
	q := &c.queries[i]
	q.since = now
	if q.odd != says0 && !q.crossed { // what was crossed goes on a new connection
		for len(c.pool) > 0 {
			p := c.pool[len(c.pool)-1]
			c.pool = c.pool[:len(c.pool)-1]
			if c.idle(p) {
				c.take(now, i, Session(p.place))
				return
			}
		}
	}
	if c.full() && !c.makeRoom() {
		q.state = queued
		c.wake(i, q.patience)
		c.line.put(i, q.turn)
		return
	}
	c.dial(now, i)
}

func (c *Clients) full() bool { return c.m.Connections > 0 && c.open >= c.m.Connections }

// makeRoom closes the session that has been idle for good the longest; a pooled one where there is none.
func (c *Clients) makeRoom() bool {
	for {
		k, turn, ok := c.kept.take()
		if !ok {
			break
		}
		if c.idle(placeTurn{k, turn}) {
			c.close(Session(k))
			return true
		}
	}
	for n, p := range c.pool {
		if c.idle(p) {
			c.pool = append(c.pool[:n], c.pool[n+1:]...)
			c.close(Session(p.place))
			return true
		}
	}
	return false
}

// idle tells whether a session has been idle since it was put aside.
func (c *Clients) idle(p placeTurn) bool {
	t := &c.sessions[p.place]
	return t.open && t.q < 0 && t.turn == p.turn
}

func (c *Clients) dial(now time.Duration, i int32) {
	var s Session
	if n := len(c.freeS); n > 0 {
		s, c.freeS = c.freeS[n-1], c.freeS[:n-1]
	} else {
		c.sessions = append(c.sessions, session{})
		s = Session(len(c.sessions) - 1)
	}
	c.sessions[s] = session{q: i, open: true, turn: c.sessions[s].turn + 1}
	c.open++
	q := &c.queries[i]
	q.state, q.session = dialling, s
	c.wake(i, q.patience)
	c.host.Dial(s)
}

// close ends a session from this side.
func (c *Clients) close(s Session) {
	c.gone(s)
	c.host.Close(s)
}

func (c *Clients) gone(s Session) {
	c.sessions[s].open = false
	c.sessions[s].q = -1
	c.freeS = append(c.freeS, s)
	c.open--
}

// room tells whether a try would find a session, or a place for one.
func (c *Clients) room() bool {
	for n := len(c.pool); n > 0 && !c.idle(c.pool[n-1]); n-- {
		c.pool = c.pool[:n-1]
	}
	for c.kept.len() > 0 && !c.idle(c.kept.first()) {
		c.kept.take()
	}
	return !c.full() || len(c.pool) > 0 || c.kept.len() > 0
}

// serveLine lets those who wait in the line have what has become free.
func (c *Clients) serveLine(now time.Duration) {
	for c.line.len() > 0 && c.room() {
		i, turn, ok := c.line.take()
		if !ok {
			return
		}
		q := &c.queries[i]
		if q.state != queued || q.turn != turn {
			continue // it waits no more
		}
		q.waited += now - q.since
		c.seek(now, i)
	}
}

func (c *Clients) wake(i int32, at time.Duration) {
	q := &c.queries[i]
	q.turn++
	c.host.SetTimer(at, i, q.turn)
}

// HandleConnected takes in that a session is logged in; connection is its id.
func (c *Clients) HandleConnected(now time.Duration, s Session, connection uint32) {
	t := &c.sessions[s]
	if !t.open || t.q < 0 {
		return
	}
	t.up, t.connection = true, connection
	c.take(now, t.q, s)
}

// take uses a session for a try.
func (c *Clients) take(now time.Duration, i int32, s Session) {
	q, t := &c.queries[i], &c.sessions[s]
	t.q = i
	t.turn++
	q.session = s
	if now >= q.patience {
		c.over(now, i, NotSent)
		return
	}
	if q.odd == says0 {
		q.state = mute
		c.wake(i, q.patience)
		return
	}
	q.state, q.sent = out, now
	by := q.patience
	if q.odd == leaves { // somewhere in the latency objective
		by = min(by, now+time.Duration(c.r.Int63n(int64(max(c.lanes[q.task.Class].LatencyObjective, 1)))))
	}
	c.wake(i, by)
	c.asked = Attempt{Request: &q.task, ID: q.id, WaitMS: max(1, (q.patience - now).Milliseconds()),
		Retry: q.tries > 1 && c.lanes[q.task.Class].MarkRetry, Slow: q.odd == slow}
	c.host.Send(s, &c.asked)
}

// HandleSent takes in when a try's last byte was written, as that may be later than it was decided.
func (c *Clients) HandleSent(at time.Duration, s Session, id uint64) {
	if t := &c.sessions[s]; t.open && t.q >= 0 {
		if q := &c.queries[t.q]; q.id == id && q.state == out {
			q.own += max(0, at-q.sent)
			q.sent = at
		}
	}
}

// HandleAnswer takes in a whole answer to what is out on a session, or one that can't be read.
func (c *Clients) HandleAnswer(now time.Duration, s Session, id uint64, how Outcome, comeBack time.Duration) {
	t := &c.sessions[s]
	if !t.open || t.q < 0 {
		return
	}
	i := t.q
	q := &c.queries[i]
	if q.id != id {
		return
	}
	if q.state == leaving { // it was given up before; what comes now is nobody's
		return
	}
	if q.state != out {
		return
	}
	c.release(now, s, how)
	c.ended(now, i, how, comeBack)
	c.serveLine(now)
}

// release decides what becomes of a session whose query is answered.
func (c *Clients) release(now time.Duration, s Session, how Outcome) {
	t := &c.sessions[s]
	t.q, t.used, t.since = -1, true, now
	if how == MalformedAnswer {
		c.close(s)
		return
	}
	switch share := c.r.Float64(); {
	case share < c.m.PooledShare:
		c.pool = append(c.pool, placeTurn{int32(s), t.turn})
	case share < c.m.PooledShare+c.m.HeldOpenShare:
		c.kept.put(int32(s), t.turn)
	default:
		c.close(s)
	}
}

// HandleClosed takes in that a session ended from the other side, or never came up (refused).
func (c *Clients) HandleClosed(now time.Duration, s Session, refused bool) {
	t := &c.sessions[s]
	if !t.open {
		return
	}
	i, used := t.q, t.used
	c.gone(s)
	if i >= 0 {
		q := &c.queries[i]
		q.session = -1
		switch q.state {
		case mute:
			c.over(now, i, ClientLeft)
		case leaving:
			c.done(i)
		case dialling:
			c.ended(now, i, NoConnection, 0)
		case out:
			if used && !q.crossed && now-q.sent <= crossing {
				q.crossed = true
				c.seek(now, i)
				break
			}
			how := ConnectionLost
			if refused {
				how = NoConnection
			}
			c.ended(now, i, how, 0)
		}
	}
	c.serveLine(now)
}

// ended decides, at the end of a try, whether there is another.
func (c *Clients) ended(now time.Duration, i int32, how Outcome, comeBack time.Duration) {
	q := &c.queries[i]
	q.session = -1
	again := how == Rejected || how == NoConnection ||
		(how == Failed || how == ConnectionLost || how == MalformedAnswer) && c.lanes[q.task.Class].Idempotent
	if !again || q.tries >= c.m.MaxAttempts || q.odd != usual || !c.budget.allows(now, c.m.RetryRatio, c.m.RetryBurst) {
		c.over(now, i, how)
		return
	}
	rest := c.m.Backoff << min(q.tries-1, 20)
	if c.m.MaxBackoff > 0 {
		rest = min(rest, c.m.MaxBackoff)
	}
	rest -= time.Duration(c.m.Jitter * c.r.Float64() * float64(rest))
	if comeBack > 0 && c.r.Float64() < c.m.HonorRetryAfter {
		rest = max(rest, comeBack)
	}
	if now+rest >= q.patience { // nobody would be there for the answer
		c.over(now, i, how)
		return
	}
	c.budget.further(now)
	q.state, q.crossed = resting, false
	c.wake(i, now+rest)
}

// HandleTimer takes in that a timer has come.
func (c *Clients) HandleTimer(now time.Duration, i int32, turn uint32) {
	q := &c.queries[i]
	if q.turn != turn || q.state == free {
		return
	}
	switch q.state {
	case queued:
		q.waited += now - q.since
		c.over(now, i, NotSent)
	case resting:
		c.want(now, i)
	case dialling:
		c.close(q.session)
		q.session = -1
		c.over(now, i, TimedOut)
		c.serveLine(now)
	case mute:
		c.close(q.session)
		q.session = -1
		c.over(now, i, ClientLeft)
		c.serveLine(now)
	case out:
		if q.odd == leaves {
			c.close(q.session)
			q.session = -1
			c.over(now, i, ClientLeft)
			c.serveLine(now)
			return
		}
		c.host.KillQuery(c.sessions[q.session].connection)
		c.tell(now, q, TimedOut)
		q.state = leaving
		c.wake(i, now+afterEnd)
	case leaving:
		s := q.session
		c.done(i)
		c.close(s)
		c.serveLine(now)
	}
}

// tell reports a request's one outcome.
func (c *Clients) tell(now time.Duration, q *query, how Outcome) {
	c.live--
	c.report = Report{Request: &q.task, Outcome: how, FinishedAt: now, GeneratorDelay: q.own, QueueDelay: q.waited, SentAt: q.sent, Attempts: q.tries,
		Misbehaving: q.odd != usual}
	c.host.Finished(&c.report)
}

func (c *Clients) over(now time.Duration, i int32, how Outcome) {
	q := &c.queries[i]
	c.tell(now, q, how)
	if s := q.session; s >= 0 && how == NotSent { // it came up too late
		q.session = -1
		c.close(s)
	}
	c.done(i)
}

// done frees a query's place.
func (c *Clients) done(i int32) {
	q := &c.queries[i]
	q.state, q.session = free, -1
	q.turn++
	q.next, c.freeQ = c.freeQ, i
}

// CloseIdle closes pooled sessions that were idle for too long; a driver calls it some times a second.
func (c *Clients) CloseIdle(now time.Duration) {
	keep := c.pool[:0]
	for _, p := range c.pool {
		switch {
		case !c.idle(p):
		case now-c.sessions[p.place].since >= c.m.IdleTimeout:
			c.close(Session(p.place))
		default:
			keep = append(keep, p)
		}
	}
	c.pool = keep
}

// Stop gives every request that has no outcome the one that it would have if attempt timeout were over now.
func (c *Clients) Stop(now time.Duration) {
	for i := range c.queries {
		q := &c.queries[i]
		switch q.state {
		case queued:
			c.over(now, int32(i), NotSent)
		case dialling, out, resting:
			s := q.session
			c.tell(now, q, TimedOut)
			c.done(int32(i))
			if s >= 0 {
				c.close(s)
			}
		case mute:
			s := q.session
			c.tell(now, q, ClientLeft)
			c.done(int32(i))
			c.close(s)
		}
	}
}
