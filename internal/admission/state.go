package admission

import (
	"hash/fnv"
	"math"
	"slices"
)

// heldRequest is a request in hand: held, or sent and without an outcome.
type heldRequest struct {
	id                        RequestID
	key                       string
	class, tenant, tables     int
	arrived, deadline, target Time
	Estimate
	seq                    uint64
	memory                 float64
	tries, errors          int
	out, gone, mayRan      bool
	queued                 bool
	engine                 int32 // of the last attempt
	sentAt, until, doubtAt Time
	heardAt                Time // of the attempt out: when it was sent or last had news
	doubtZone, doubtGroup  int
	rank                   int
}

// pool is a part of the fleet that an operator keeps for some classes; the first is all of it.
type pool struct {
	bar      float64 // least price of a request taken on, as a part of the best class's
	starving bool    // a held request has used up much of its time, since the bar last moved
	warm     bool    // an engine of it is live and not cold, as of the last tick
	wanted   Time    // when a held request was last given up for want of room
}

// turn is the line of requests that share a key: the first may be sent once the key has rested.
type turn struct {
	line []int32
	rest Time
}

// learned is what answers have told of a class.
type learned struct {
	run      float64 // time from attempt to answer
	work     float64 // time on one thread
	memory   float64
	answers  float64 // that the figures rest on, capped
	requests float64 // that the work rests on, capped
	ease     float64 // times its work that a request takes where nothing is crowded
	rank     int
}

type engine struct {
	Endpoint
	listed     bool
	cores      float64
	size       float64 // MB of memory
	bound      float64 // threads
	memory     float64 // MB that our attempts there usually need
	running    float64 // threads of our attempts without an outcome
	report     Report
	util       float64 // reported, smoothed
	reportAt   Time    // when it last changed
	sinceAt    Time
	since      float64 // threads sent since that are still running
	steppedAt  Time
	probedAt   Time
	probing    bool
	luck       float64 // drawn each tick, for the one query that a bound of zero allows
	failures   float64
	failuresAt Time
	heard      Report  // the latest of a peer's,
	heardAt    Time    // and when that one had it
	against    float64 // what peers' evidence says against it,
	until      Time    // and until when that counts
	saidAt     Time    // when its failure score was last logged
	hash       uint32  // of its id
	coldAt     Time    // this router's latest turn at a cold engine
	cold       float64 // and the work sent in it
}

// ownScore is what is left of the failure score that this router's own tries left.
func (e *engine) ownScore(now Time) float64 {
	if e.failures == 0 {
		return 0
	}
	return e.failures * math.Exp2(-float64(now-e.failuresAt)/float64(halfLife))
}

// span counts what happened in one part of the retry budget's window.
type span struct {
	index        Time
	taken, extra float64
}

const none = int32(-1) // no engine

// poolOf is the number of a request's pool, with room for what is kept of it.
func (r *Controller) poolOf(t *heldRequest) int {
	if t.PolicyClass == 0 {
		return 0
	}
	n := r.gate.Pool(t.PolicyClass)
	for len(r.pools) <= n {
		r.pools = append(r.pools, pool{wanted: r.now - Second})
	}
	return n
}

// in tells whether an engine belongs to a pool.
func (r *Controller) in(pool int, e *engine) bool {
	return pool == 0 || r.gate.InPool(pool, &e.Endpoint)
}

// anyWarm tells whether an engine of a pool is live and not cold.
func (r *Controller) anyWarm(pool int) bool {
	for i := range r.engines {
		if e := &r.engines[i]; e.State == Live && !r.isCold(e) && r.in(pool, e) {
			return true
		}
	}
	return false
}

// SetPolicyGate hands over what an operator's classes allow, before the first request that has one.
func (r *Controller) SetPolicyGate(g PolicyGate) { r.gate = g }

// HandleCapacityChange takes in that a class may use more than before, as the gate knows.
func (r *Controller) HandleCapacityChange(now Time) {
	r.now = now
	r.release()
}

// seat gives a request a place in the slab.
func (r *Controller) seat(t heldRequest) int32 {
	i := int32(len(r.requests))
	if n := len(r.free); n > 0 {
		i, r.free = r.free[n-1], r.free[:n-1]
	} else {
		r.requests = append(r.requests, heldRequest{})
	}
	r.requests[i] = t
	r.byID[t.id] = i
	return i
}

// HasRequest tells whether a request of that id is in hand.
func (r *Controller) HasRequest(id RequestID) bool {
	_, ok := r.byID[id]
	return ok
}

// joinTurn puts a request at the end of its key's line and tells whether it is the first there.
func (r *Controller) joinTurn(i int32) bool {
	turn := r.turns[r.requests[i].key]
	if n := len(r.spare); turn.line == nil && n > 0 {
		turn.line, r.spare = r.spare[n-1], r.spare[:n-1]
	}
	turn.line = append(turn.line, i)
	r.turns[r.requests[i].key] = turn
	return len(turn.line) == 1
}

// restTurns forgets keys without requests whose rest is over.
func (r *Controller) restTurns() {
	if r.d.KeySettleTime == 0 {
		return // drop forgets them at once
	}
	for key, turn := range r.turns {
		r.forgetRested(key, turn)
	}
}

// forgetRested forgets a key that has no request and no rest before it, and keeps its line for another.
func (r *Controller) forgetRested(key string, turn turn) {
	if len(turn.line) == 0 && turn.rest <= r.now {
		r.spare = append(r.spare, turn.line)
		delete(r.turns, key)
	}
}

// drop forgets a request that is over and has no attempt out, and lets the next of its key have its turn.
func (r *Controller) drop(i int32) {
	t := &r.requests[i]
	r.unhold(i)
	delete(r.byID, t.id)
	if t.key != "" {
		turn := r.turns[t.key]
		k := slices.Index(turn.line, i)
		turn.line = slices.Delete(turn.line, k, k+1)
		r.turns[t.key] = turn
		r.forgetRested(t.key, turn)
		if k == 0 && len(turn.line) > 0 {
			r.hold(turn.line[0])
		}
	}
	*t = heldRequest{}
	r.free = append(r.free, i)
}

// queue is where a request is held.
func (r *Controller) queue(t *heldRequest) *[]int32 {
	return &r.queues[t.tenant*len(r.d.Classes)+t.class]
}

// hold puts a request into its queue, in the order of arrival.
func (r *Controller) hold(i int32) {
	q := r.queue(&r.requests[i])
	k := len(*q)
	for k > 0 && r.requests[(*q)[k-1]].seq > r.requests[i].seq {
		k--
	}
	*q = slices.Insert(*q, k, i)
	r.requests[i].queued = true
	r.held++
}

// unhold takes a request out of its queue.
func (r *Controller) unhold(i int32) {
	if t := &r.requests[i]; t.queued {
		q := r.queue(t)
		k := slices.Index(*q, i)
		*q = slices.Delete(*q, k, k+1)
		t.queued = false
		r.held--
	}
}

// place finds room for a new engine; that of one which is gone and owes nothing is used again.
func (r *Controller) place(l Endpoint) int32 {
	i := slices.IndexFunc(r.engines, func(e engine) bool {
		return e.State == Gone && e.running == 0 && !e.probing
	})
	if i < 0 {
		i = len(r.engines)
		r.engines = append(r.engines, engine{})
	} else {
		delete(r.named, r.engines[i].Engine)
		r.engines[i] = engine{}
	}
	r.named[l.Engine] = int32(i)
	h := fnv.New32a()
	h.Write([]byte(l.Engine))
	r.engines[i].hash = h.Sum32()
	return int32(i)
}

// span is the count for the present part of the retry budget's window; nil where there is no retry budget.
func (r *Controller) span() *span {
	if r.retries == nil {
		return nil
	}
	index := r.now / (r.d.RetryWindow/spans + 1)
	s := &r.retries[index%(spans+1)]
	if s.index != index {
		*s = span{index: index}
	}
	return s
}

// window counts, for the retry budget's window up to a span, the requests that surely fall into it and the further
// attempts that may.
func (r *Controller) window(last *span) (taken, extra float64) {
	for i := range r.retries {
		s := &r.retries[i]
		if s.index >= last.index-spans {
			extra += s.extra
			if s.index > last.index-spans+1 {
				taken += s.taken
			}
		}
	}
	return taken, extra
}

// tell hands on what this router saw of an engine itself, and the bytes that the requests taken since have paid for.
func (r *Controller) tell(e *engine, saw Observation) {
	if r.d.PeerMessages {
		r.host.ReportObservation(e.Engine, saw, e.report, r.room)
		r.room = 0
	}
}

// sentTo counts the threads sent to an engine since a time that are still running.
func (r *Controller) sentTo(engine int32, since Time) (threads float64) {
	for i := range r.requests {
		if t := &r.requests[i]; t.out && t.engine == engine && t.sentAt >= since {
			threads += float64(r.d.Classes[t.class].Threads)
		}
	}
	return threads
}
