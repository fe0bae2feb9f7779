package admission

// All decisions are in this file. The router's protocol side makes one Router at start (New) and then calls
// one method for each thing that happens: Listed, Arrived, Ended, Noted, ClientGone, Probed, Heard, Due. Each
// acts at once through the Host of host.go; types and ids are in types.go, settings in deployment.go.
// Calls of one Router come one at a time, with a clock that never goes back. docs/design.md has the reasons.

import (
	"cmp"
	"fmt"
	"math"
	"math/rand"
	"slices"
)

// Controller decides for one gateway from what it has seen, and from what peers tell of engines where they may.
type Controller struct {
	host       Host
	d          *Deployment
	rng        *rand.Rand
	now        Time
	requests   []heldRequest // the slab; places are reused
	free       []int32
	byID       map[RequestID]int32
	turns      map[string]turn
	spare      [][]int32 // lines of keys, to be used again
	engines    []engine
	named      map[EngineID]int32
	queues     [][]int32 // held requests in order of arrival, by tenant and class
	byValue    []int     // classes, highest value first
	used       []float64 // threads running, by tenant
	tenants    []int     // in the order of release
	classes    []learned
	held       int
	seq        uint64
	retries    []span  // requests taken and retries, for the retry budget
	credit     float64 // probes that the requests taken have paid for
	room       float64 // bytes to peers that they have paid for, not told of yet
	ran, asked float64 // thread time of requests that ended lately, and the work they asked for
	runs       float64 // and their time out: ran over it is the threads of one query, as held (query)
	usual      float64 // work of the requests sent lately
	expected   float64 // that of a usual one as the settings let expect: the same at all gateways
	busy       float64 // of engines by their latest reports: what one without a fresh report counts as
	bestPrice  float64 // of a usual request of the best class
	pools      []pool
	gate       PolicyGate // of requests that have a policy class
	snapshot   *Snapshot  // of a process before this one; nil: there is none
	askAt      Time       // when to ask for the list again; 0: not
	ticked     Time       // when the timer last went off
}

// tickInterval is the timer's pace: a held request is given up at most this late, well within the answer's slack.
const tickInterval = 20 * Millisecond

// New makes a router that knows no engine yet.
func New(now Time, seed int64, d *Deployment, host Host) *Controller {
	r := &Controller{host: host, d: d, rng: rand.New(rand.NewSource(seed)), now: now, byID: map[RequestID]int32{},
		turns: map[string]turn{}, named: map[EngineID]int32{}, classes: make([]learned, len(d.Classes)),
		used: make([]float64, max(1, len(d.Tenants))), busy: 0.5, credit: mostCredit,
		ticked: now, pools: []pool{{wanted: now - Second}}}
	for i := range d.Classes {
		l := &d.Classes[i]
		r.ran, r.asked = r.ran+float64(l.LatencyObjective), r.asked+float64(l.LatencyObjective)
		r.runs += float64(l.Threads) / float64(len(d.Classes)) // the classes' mean threads, until the loop ends
		r.byValue = append(r.byValue, i)
		run := float64(l.LatencyObjective) / 3 // until answers tell: users quote with room to wait
		r.classes[i] = learned{run: run, work: run * float64(l.Threads), ease: 1, rank: 1}
		r.usual += r.classes[i].work / float64(len(d.Classes))
	}
	r.expected = r.usual
	r.runs = r.ran / r.runs // so that a query begins at the classes' mean threads
	slices.SortStableFunc(r.byValue, func(a, b int) int {
		return cmp.Compare(d.Classes[b].Weight, d.Classes[a].Weight)
	})
	for n := range r.used {
		r.tenants = append(r.tenants, n)
	}
	r.queues = make([][]int32, len(r.used)*len(d.Classes))
	if d.RetryWindow > 0 {
		r.retries = make([]span, spans+1)
	}
	if !d.SupportsProbes {
		r.credit = math.Inf(-1)
	}
	if d.PollsEndpoints {
		host.SubscribeEndpoints()
	}
	host.ScheduleTick(now + tickInterval)
	return r
}

// RestoreSnapshot has it go on from what a process before it knew, told before the first delivery of the list. Old
// figures count for less. What that process did after it wrote this down is not known: so within twice the
// window the retry budget counts as used up, and this turn at cold engines as spent: two processes must not
// do together what one may not.
func (r *Controller) RestoreSnapshot(now Time, m *Snapshot) {
	const half = 60 * Second // after which what was learned of classes counts half: mixes change by the minute
	r.now, r.snapshot = now, m
	weight := math.Exp2(-float64(max(0, now-m.At)) / float64(half))
	for i := range m.Classes {
		if l := &m.Classes[i]; len(m.Classes) == len(r.classes) && l.Work > 0 && l.RunTime > 0 && l.CorrectionFactor > 0 {
			r.classes[i] = learned{run: l.RunTime, work: l.Work, memory: l.Memory, answers: l.Answers * weight,
				requests: l.Requests * weight, ease: l.CorrectionFactor, rank: 1}
		}
	}
	if m.RunTime > 0 && m.RequestedWork > 0 && m.MeanWork > 0 {
		r.runs, r.ran, r.asked, r.usual, r.busy = r.runs*m.RunTime/r.ran, m.RunTime, m.RequestedWork, m.MeanWork, m.MeanBusyShare
	}
	r.pools[0].bar = m.MinPrice * weight
	for _, s := range m.RetrySpans {
		if r.retries != nil {
			r.retries[s.Index%(spans+1)] = span{index: s.Index, taken: s.Requests, extra: s.Retries}
		}
	}
	if s := r.span(); s != nil && now-m.At < 2*r.d.RetryWindow {
		taken, extra := r.window(s)
		s.extra += max(0, r.d.RetryBurst+r.d.RetryRatio*taken-extra)
	}
	for _, k := range m.RestingKeys {
		r.turns[k.Key] = turn{rest: k.RestsUntil}
	}
}

// restore has an engine begin as it was last known, if it has not been started again since: its bound from
// where it stood, less the longer ago; its report and its failure score with their age.
func (r *Controller) restore(e *engine) {
	const old = 10 * Second // by then a bound has been stepped to somewhere else
	for i := range r.snapshot.Engines {
		if m := &r.snapshot.Engines[i]; m.Engine == e.Engine && m.Since == e.Since {
			e.bound += (m.Bound - e.bound) * max(0, 1-float64(r.now-r.snapshot.At)/float64(old))
			e.util, e.report, e.reportAt = m.Utilization, m.Report, m.ReportAt
			e.failures, e.failuresAt = m.FailureScore, m.FailureScoreAt
			if r.isCold(e) {
				e.coldAt, e.cold = r.now/r.d.ColdOverloadTime, math.Inf(1)
			}
		}
	}
}

// UpdateEndpoints takes in a delivery of the engine list.
func (r *Controller) UpdateEndpoints(now Time, form UpdateKind, list []Endpoint) {
	r.now = now
	if form == FailedPoll {
		r.askAt = now + Second // a list service that fails is asked no faster, and well within any deemed telling
		return
	}
	if form != PartialUpdate {
		for i := range r.engines {
			r.engines[i].listed = false
		}
	}
	for _, l := range list {
		i, known := r.named[l.Engine]
		if !known {
			i = r.place(l)
		}
		e := &r.engines[i]
		started := !known || l.Since > e.Since
		if e.Endpoint, e.listed = l, true; started {
			if e.cores = 1; l.Kind >= 0 && l.Kind < len(r.d.CoresByKind) {
				e.cores = max(1, r.d.CoresByKind[l.Kind])
			}
			if e.size = math.Inf(1); l.Kind >= 0 && l.Kind < len(r.d.MemoryByKind) {
				e.size = r.d.MemoryByKind[l.Kind]
			}
			// Two threads a core over the gateways, the signal's own threshold: in a large fleet below a query.
			e.bound = threshold * e.cores / float64(r.d.Gateways)
			e.failures, e.report, e.reportAt, e.heardAt, e.until = 0, NoReport, now, 0, 0
			if r.snapshot != nil && !known {
				r.restore(e)
			}
			e.probedAt = now - fastestProbe - Time(r.rng.Int63n(int64(Second))) // each router in its own order
		}
	}
	for i := range r.engines {
		if e := &r.engines[i]; !e.listed {
			e.State = Gone
		}
	}
	r.release()
}

// HandleRequest takes a request from a client. From here on it is owed one final answer.
func (r *Controller) HandleRequest(now Time, request Request) {
	id, deadline, class, tenant, key, tables := request.ID, request.Deadline, request.Class, request.Tenant, request.Key, request.Tables
	f := request.Estimate
	r.now = now
	if tenant < 0 || tenant >= len(r.used) {
		tenant = 0
	}
	l := &r.d.Classes[class]
	r.seq++
	r.credit = min(mostCredit, r.credit+probeBudget/max(probeBudget/mostCredit, r.d.ProbePrice))
	r.room += peerBudget * 256 / max(peerBudget, r.d.PeerMessagePrice)
	i := r.seat(heldRequest{id: id, class: class, tenant: tenant, tables: tables, arrived: now, deadline: deadline,
		Estimate: f, seq: r.seq, engine: none, rank: 1})
	t := &r.requests[i]
	t.mayRan, t.doubtAt, t.doubtZone, t.doubtGroup = f.Prior.MayHaveRun, f.Prior.SentAt, f.Prior.Zone, f.Prior.Group
	length := r.classes[class].work
	if f.Work > 0 {
		length = float64(f.Work)
		r.learnWork(&r.classes[class], length)
	}
	t.target = min(deadline, now+l.LatencyObjective+Time(l.ObjectivePerWork*length/float64(l.Threads)))
	if s := r.span(); s != nil {
		s.taken++
	}
	if !r.mayRepeat(t) {
		r.giveUp(i) // a process before this one had sent it
		return
	}
	if l.Ordered && key != "" {
		t.key = key
		if !r.joinTurn(i) {
			return // held behind its key, in no queue yet
		}
	}
	r.hold(i)
	r.look()
	if n, p := r.poolOf(t), r.price(class, length); p < 0.99*r.bestPrice && p < r.pools[n].bar*r.bestPrice {
		r.pools[n].wanted = now
		r.giveUp(i)
		return
	}
	r.release()
	r.keepSeats()
	if t := &r.requests[i]; t.queued && now >= r.latest(t) {
		r.giveUp(i) // it came too late to wait for the next tick
	}
}

// keepSeats gives up the held request that would leave last, by value and arrival, while nearly all that the
// gateway can have in hand is taken. Guards against shedding by chance: who finds no seat, dear or cheap,
// does not come here. Harm: cuts short a queue that would have been served soon, where seats are few.
func (r *Controller) keepSeats() {
	const spare = 8 // a part of the seats: for what comes while answers are on their way, or in a stall of 50 ms
	for n := len(r.byValue) - 1; n >= 0 && r.d.MaxRequests > 0 && len(r.byID) > r.d.MaxRequests-r.d.MaxRequests/spare; n-- {
		for _, tenant := range r.tenants {
			if q := r.queues[tenant*len(r.d.Classes)+r.byValue[n]]; len(q) > 0 {
				last := q[len(q)-1]
				r.pools[r.poolOf(&r.requests[last])].wanted = r.now
				r.giveUp(last)
				return
			}
		}
	}
}

// moveBar sets the least price, in value for work, at which requests are taken on: up while a held one has
// used up half of its useful time, else down. By value alone cheap classes would starve behind dear ones.
// Each pool has its own: one that is crowded or gone turns nobody away elsewhere.
// Harm: where estimates are off beyond what answers correct, a class is shed before others.
func (p *pool) moveBar() {
	const rise, fall = 1.06, 0.97     // a tick: doubled in a quarter of a second, halved in twice that
	const lowest, highest = 0.02, 1.5 // of the best class's price, whose usual requests pass all the same
	if p.starving {
		p.bar, p.starving = min(highest, max(lowest, p.bar*rise)), false
	} else if p.bar *= fall; p.bar < lowest {
		p.bar = 0 // nobody waits long: what earns next to nothing for its work passes, too
	}
}

// release sends held requests while engines have room: by tenant fairness (the fewest threads in use for its
// share first), then value, then arrival.
func (r *Controller) release() {
	for r.held > 0 && r.releaseOne() {
	}
}

func (r *Controller) releaseOne() bool {
	if len(r.tenants) > 1 {
		slices.SortStableFunc(r.tenants, func(a, b int) int { return cmp.Compare(r.use(a), r.use(b)) })
	}
	for _, tenant := range r.tenants {
		for _, class := range r.byValue {
			tried := uint64(0) // policy classes of which one found no engine
			for _, i := range r.queues[tenant*len(r.d.Classes)+class] {
				t := &r.requests[i]
				if tried>>t.PolicyClass&1 == 1 && t.tries == 0 && t.key == "" {
					continue
				}
				if e := r.draw(t); e != none && r.send(i, e) {
					return true
				}
				if t.tries == 0 && t.key == "" {
					if r.gate == nil {
						break // what follows it in this class has no more choice than this one
					}
					tried |= 1 << t.PolicyClass // nor has what is of its policy class
				}
			}
		}
	}
	return false
}

func (r *Controller) use(n int) float64 { return r.used[n] / max(0.001, r.d.Tenants[n].Share) }

// draw picks an engine at random, weighted down by its busy share.
func (r *Controller) draw(t *heldRequest) int32 {
	if !r.mayTry(t) {
		return none
	}
	total, pick := 0.0, none
	least := r.leastScore(r.poolOf(t))
	for i := range r.engines {
		e := &r.engines[i]
		over := r.score(e) - least
		trust := math.Exp2(-over)
		if over >= shut || !r.mayUse(t, e) || !r.open(e, t, trust) {
			continue
		}
		// A square sets engines apart, noise in reports hardly; one that reports itself full keeps a chance.
		const steep, floor = 2, 0.05
		w := e.cores * math.Pow(max(floor, 1.1-r.load(e)), steep) * trust * r.suits(t, e)
		if int32(i) == t.engine {
			w *= floor // a retry rather goes elsewhere
		}
		total += w
		if r.rng.Float64()*total < w {
			pick = int32(i)
		}
	}
	return pick
}

// suits weighs an engine by the tables that a request reads: engines keep what they read last warm, and a
// load holds its tables against others. From the ids alone every gateway finds the same third of engines for
// a group's reads and another third for its loads. Harm: where one group is most of the traffic.
func (r *Controller) suits(t *heldRequest, e *engine) float64 {
	const strong = 4 // 2 warms less, 8 crowds the same few engines
	l := &r.d.Classes[t.class]
	h := (e.hash ^ uint32(t.tables)*2654435761) * 2246822519
	side := (h ^ h>>15) * 3266489917 >> 16 % 3
	switch {
	case side == 0 && !l.LoadsTables, side == 1 && l.LoadsTables:
		return strong
	case side == 1 && l.BlockedByLoads, side == 0 && l.LoadsTables:
		return 1.0 / strong
	}
	return 1
}

// load is an engine's busy share, plus what we sent since. One without a fresh report counts as those heard
// of last: our own threads there tell nothing where our part of it is below a query.
func (r *Controller) load(e *engine) float64 {
	if e.report != NoReport && r.now-e.reportAt < stale {
		return r.told(e, e.report, e.util) + e.since/e.cores
	}
	return r.busy + e.running/e.cores
}

// told is the busy share that an engine reports: of the queries that the threshold allows it, or of its
// cores, memory or disks, whichever is scarcest. Cores idle under requests that wait for the others, which
// then take long: where answers tell work, the share counts as many times as requests took of it lately.
func (r *Controller) told(e *engine, report Report, util float64) float64 {
	if report.InFlight >= 0 {
		return report.InFlight / e.cores * r.query() / threshold
	}
	share := max(util, report.Memory, report.Disks)
	if r.d.ReportsCost {
		share *= max(1, r.ran/r.asked)
	}
	return share
}

// open tells whether an engine has room under its bound, which its failure score narrows. At zero one query
// may go if none of ours runs there, with a chance of one over the gateways each tick. This tick is the time
// that the engine needs for the work of a request like those sent lately, shorter the less of the engine is
// busy: all gateways together let in what it can take, however many they are, and the order says which goes.
// In its turn at a cold engine a gateway has all parts of its bound.
func (r *Controller) open(e *engine, t *heldRequest, trust float64) bool {
	if e.bound >= 1 {
		return e.running < e.bound*trust
	}
	if r.isCold(e) {
		return e.running < threshold*e.cores*r.d.ColdCapacityShare*trust
	} else if e.running > 0 {
		return false
	}
	need := e.luck * r.usual / (e.cores * trust * r.suits(t, e))
	if r.credit >= 1 && r.d.Classes[t.class].Threads > 1 && r.now-e.probedAt >= fastestProbe &&
		need < 2*eager(e, r.busy) {
		r.probe(e) // one of several threads placed wrongly costs more than a look first
	}
	return !e.probing && need < eager(e, r.load(e))
}

// eager is how many times an engine's work all gateways together may let in at zero by its busy share: about
// as much as it can do at three quarters, and still some on one that reports itself full, as reports grow
// old. Where memory and disks are told too, less hides behind idle cores: 3 there kept long requests waiting,
// 8 elsewhere filled engines before it showed. Where held queries are told, a fill shows in the next report:
// no pace while it tells room, as 8, 14 and 30 held back the more, the lower they were.
func eager(e *engine, busy float64) float64 {
	pace := 3.0
	if e.report.InFlight >= 0 && busy < 1 {
		return math.Inf(1)
	} else if e.report.Memory >= 0 && e.report.Disks >= 0 {
		pace = 8
	}
	return max(0.06, pace*(1-busy)/(0.1+busy))
}

// mayTry is the part of the rules that doesn't depend on the engine: one attempt at a time, none after the
// end, the order of keys, the most attempts of a request, the retry budget of further ones.
func (r *Controller) mayTry(t *heldRequest) bool {
	if t.out || t.gone || r.now >= t.deadline || r.spent(t) ||
		t.PolicyClass > 0 && !r.gate.AllowsAttempt(r.now, t.PolicyClass, float64(r.d.Classes[t.class].Threads)) {
		return false
	}
	if t.key != "" {
		if turn := r.turns[t.key]; r.requests[turn.line[0]].id != t.id || r.now < turn.rest && t.tries == 0 {
			return false
		}
	}
	return r.mayRepeat(t) && (t.tries == 0 || r.withinRetryBudget())
}

func (r *Controller) spent(t *heldRequest) bool {
	return r.d.MaxAttempts > 0 && t.tries >= r.d.MaxAttempts
}

// mayRepeat tells whether the request's class allows an attempt at any engine; after two errors none does.
func (r *Controller) mayRepeat(t *heldRequest) bool {
	l := &r.d.Classes[t.class]
	return !t.mayRan ||
		t.errors < 2 && (l.Effect == Idempotent || l.Effect == Deduplicated && r.now < t.doubtAt+l.DedupWindow)
}

// mayUse is the part of the rules that depends on the engine: drains, placement, the group that drops repeats
// and the care for cold engines.
func (r *Controller) mayUse(t *heldRequest, e *engine) bool {
	l := &r.d.Classes[t.class]
	if e.State != Live || l.Zones != nil && !slices.Contains(l.Zones, e.Zone) ||
		l.Kinds != nil && !slices.Contains(l.Kinds, e.Kind) || !r.in(r.poolOf(t), e) {
		return false
	}
	if t.mayRan && l.Effect == Deduplicated && (l.DedupScope == SameZone && e.Zone != t.doubtZone ||
		l.DedupScope == SameCell && (e.Group != t.doubtGroup || e.Zone != t.doubtZone)) {
		return false
	}
	return !r.isCold(e) || r.coldRoom(e, t)
}

func (r *Controller) isCold(e *engine) bool {
	return r.d.ColdOverloadTime > 0 && e.Since > 0 && r.now < e.Since+r.d.WarmUpTime
}

// coldRoom tells whether a cold engine can be sent some work. All routers together may send a multiple of its
// present capacity, of which only the least is known. Where they share no budget by messages they take turns
// by their numbers, in spans as long as the engine takes to fall: so many at a time that each one's part
// holds a usual request. Deployment and clock alone say whose turn it is, and a window sees two spans at most.
// What needs more than a part goes to warm engines. Where none is, every other span is one router's alone.
// Harm: classes far heavier than usual ones wait for warm engines.
func (r *Controller) coldRoom(e *engine, t *heldRequest) bool {
	const careful = 0.5        // of the budget: so two spans together stay within it
	d := &r.d.Classes[t.class] // its work is taken for rather too much until it is learned
	work := r.coldWork(t) + float64(d.LatencyObjective)*float64(d.Threads)/(r.classes[t.class].requests+1)
	all := careful * r.d.ColdOverloadFactor * r.d.ColdCapacityShare * e.cores * float64(r.d.ColdOverloadTime)
	if room, shared := r.host.HasColdCapacity(e.Engine, work/all); shared {
		return room
	}
	span := r.now / r.d.ColdOverloadTime
	turn, parts := span, Time(max(1, min(r.d.Gateways, int(all/r.expected))))
	if !r.pools[r.poolOf(t)].warm {
		if turn = span / 2; span%2 == 0 {
			parts = 1
		}
	}
	if ((turn+Time(e.hash))*parts+Time(r.d.GatewayIndex))%Time(r.d.Gateways) >= parts {
		return false
	}
	if e.coldAt != span {
		e.coldAt, e.cold = span, 0
	}
	return e.cold+work <= all/float64(parts)
}

// coldWork is what a request counts against a cold engine's budget: what nine of ten stay under, where told.
func (r *Controller) coldWork(t *heldRequest) float64 {
	return max(r.classes[t.class].work, float64(t.WorkP90))
}

// The retry budget's window is counted in this many spans; one more is kept, so that whole ones cover it.
const spans = 50

// withinRetryBudget tells whether one more retry is within the budget: all retries that may fall into the
// window count, and only the requests that surely do.
func (r *Controller) withinRetryBudget() bool {
	last := r.span()
	taken, extra := r.window(last)
	return last == nil || extra+1 <= r.d.RetryBurst+r.d.RetryRatio*taken
}

// send is the only place that sends a request to an engine. It holds the rules whatever was decided before.
func (r *Controller) send(i, to int32) bool {
	t, e := &r.requests[i], &r.engines[to]
	if !r.mayTry(t) || !r.mayUse(t, e) {
		return false
	}
	r.unhold(i)
	l, learned := &r.d.Classes[t.class], &r.classes[t.class]
	threads := float64(l.Threads)
	if s := r.span(); s != nil && t.tries > 0 {
		s.extra++
	}
	t.out, t.engine, t.sentAt, t.heardAt = true, to, r.now, r.now
	r.usual += 0.2 * (learned.work - r.usual) // some five attempts
	t.tries++
	if r.isCold(e) {
		e.cold += r.coldWork(t)
	}
	if t.memory = learned.memory; t.Memory > 0 {
		t.memory = t.Memory
	}
	e.memory += t.memory
	e.running += threads
	e.since += threads
	e.luck = math.Inf(1)
	r.used[t.tenant] += threads
	grant := 0.0
	if r.d.SupportsMemoryGrants && r.d.EnginesSwap && t.memory > 0 {
		// Where an engine swaps, memory granted and not needed costs nothing and too little spills; needs
		// scatter, and three times the mean covers nearly all.
		const ample = 3
		grant = ample * t.memory
	}
	if rank := learned.rank; grant > 0 || rank != t.rank {
		t.rank = rank
		r.host.SetAttemptTerms(t.id, grant, rank)
	}
	t.until = t.deadline
	if r.d.SupportsCancel {
		// Past the latency target a request is let run for the part of its time that matches what it still earns;
		// an engine that stops work at a time-out is freed for others. Guards against jams that feed themselves.
		t.until = min(t.deadline, max(t.target, r.now+1)+Time(l.LateWeightShare*float64(t.deadline-t.target)))
	}
	sendBy := Time(0)
	if t.mayRan && l.Effect == Deduplicated {
		sendBy = t.doubtAt + l.DedupWindow // a connection may take longer to come up than engines remember
	}
	r.host.SendAttempt(t.id, e.Engine, t.until-r.now, sendBy)
	return true
}

// HandleAttemptEnd takes in how a request's attempt ended, and what the answer told of work, memory and the engine's
// load; over: the client has its answer.
func (r *Controller) HandleAttemptEnd(now Time, result AttemptResult) {
	id, how, over, work, memory, load := result.Request, result.Outcome, result.Answered, result.Work, result.Memory, result.Report
	r.now = now
	i, ok := r.byID[id]
	if !ok || !r.requests[i].out {
		return
	}
	t := &r.requests[i]
	e, l := &r.engines[t.engine], &r.d.Classes[t.class]
	threads := float64(l.Threads)
	t.out = false
	const fade = 0.95 // some twenty answers; what ends in the tick that it went out tells of no time held
	if run := float64(now - t.sentAt); run > 0 {
		r.ran, r.asked, r.runs = fade*r.ran+run*threads, fade*r.asked+r.cost(t, work), fade*r.runs+run
	}
	e.running -= threads
	e.memory -= t.memory
	r.used[t.tenant] -= threads
	if t.sentAt >= e.sinceAt {
		e.since -= threads
	}
	switch how {
	case Served:
		r.learn(t, work, memory)
		r.tell(e, Answered)
	case Unreachable, Reset:
		r.addFailure(e, 2, Unreached)
	case Errored, Lost: // spoilt answers come from any engine alike, one that is gone fails dials and probes too
		r.addFailure(e, 0.5*float64(1-t.errors), Erred) // a second one tells of the request: no engine has it
		t.errors++
	case TimedOut, Cancelled:
		if e.bound < 1 { // which has no step left to take
			r.addFailure(e, 1, Unanswered)
		}
	case Full:
		r.stepBound(e, threshold, Second)
	}
	if how != Served && !how.NeverRan() {
		if !t.mayRan {
			t.mayRan, t.doubtAt, t.doubtZone, t.doubtGroup = true, t.sentAt, e.Zone, e.Group
		}
		if t.key != "" && r.d.KeySettleTime > 0 {
			turn := r.turns[t.key]
			turn.rest = now + r.d.KeySettleTime
			r.turns[t.key] = turn
		}
	}
	r.reported(t.engine, load)
	if over || t.gone {
		r.drop(i)
	} else if how == Unsent || now >= r.latest(t) || !r.mayRepeat(t) || r.spent(t) {
		r.giveUp(i)
	} else {
		r.hold(i)
	}
	r.release()
}

// latest is until when holding a request has a useful chance: started then, it is answered within its quoted
// time if it runs as its class usually does. It is always answered before its deadline.
func (r *Controller) latest(t *heldRequest) Time {
	usual := r.classes[t.class].run
	if t.Work > 0 {
		usual *= float64(t.Work) / r.classes[t.class].work
	}
	const slack, most = 1.5, 2.0 / 3 // usual runs kept free, and at most this part of the time to the target
	free := min(slack*usual, most*float64(t.target-t.arrived))
	return min(t.target-Time(free), t.deadline-2*tickInterval)
}

// giveUp is the only place that answers a request without an engine: by a rejection where a further try is
// harmless.
func (r *Controller) giveUp(i int32) {
	t, l := &r.requests[i], &r.d.Classes[r.requests[i].class]
	if t.out || t.gone {
		return
	}
	if !t.mayRan || l.Effect == Idempotent || l.Effect == Deduplicated && l.DedupScope == AllEngines {
		r.host.RejectRequest(t.id, r.d.RetryAfter)
	} else {
		r.host.FailRequest(t.id)
	}
	r.drop(i)
}

// HandleDisconnect ends a request whose client left. A attempt that is out still gets its outcome.
func (r *Controller) HandleDisconnect(now Time, id RequestID) {
	r.now = now
	if i, ok := r.byID[id]; ok {
		if t := &r.requests[i]; t.out {
			t.gone = true
		} else {
			r.drop(i)
			r.release()
		}
	}
}

// learn's usual run follows the engines' state, some twenty answers back; work and memory are long means.
const recent, many = 0.05, 300

func (r *Controller) learn(t *heldRequest, work Time, memory float64) {
	l, run := &r.classes[t.class], float64(r.now-t.sentAt)
	l.answers = min(l.answers+1, many)
	l.run += max(recent, 1/l.answers) * (run - l.run)
	l.memory += 1 / l.answers * (memory - l.memory)
	cost := r.cost(t, work)
	if t.Work == 0 {
		r.learnWork(l, cost)
	}
	// How many times its work a request takes where nothing is crowded: falls with answers and hardly rises.
	if ratio := run * float64(r.d.Classes[t.class].Threads) / max(1, cost); l.answers == 1 || ratio < l.ease {
		l.ease += max(recent, 1/l.answers) * (ratio - l.ease)
	} else {
		l.ease += recent / many * (min(ratio, 3*l.ease) - l.ease)
	}
}

// cost is a request's work, as its answer tells, else as estimated; else it took what it ran.
func (r *Controller) cost(t *heldRequest, work Time) float64 {
	run := float64(r.now-t.sentAt) * float64(r.d.Classes[t.class].Threads)
	if told := max(work, t.Work); told > 0 {
		return float64(told)
	} else if r.d.ReportsCost {
		return min(run, r.classes[t.class].work) // no answer came
	}
	return run
}

// learnWork takes a request's work into its class's mean: estimates on arrival, else what answers tell.
func (r *Controller) learnWork(l *learned, work float64) {
	l.requests = min(l.requests+1, many)
	l.work += 1 / (l.requests + 1) * (work - l.work) // what it started from counts as one
}

// price is what a request earns for its work, as far as the class's answers bear out what was told of it:
// estimates can be far too high or too low for a class as a whole, but none is trusted to be five times too
// high.
func (r *Controller) price(class int, work float64) float64 {
	return r.d.Classes[class].Weight / work / max(0.2, r.classes[class].ease)
}

// rankLanes orders classes by value for the work they take. Shares go up by steps of two to four, so a class
// with half of the best price gets the next lower rank.
func (r *Controller) rankLanes() {
	r.bestPrice = 0
	for i := range r.classes {
		r.bestPrice = max(r.bestPrice, r.price(i, r.classes[i].work))
	}
	for i := range r.classes {
		if l := &r.classes[i]; r.d.SupportsRanks {
			l.rank = 1 + min(2, int(r.price(i, l.work)/r.bestPrice/0.35))
		}
	}
}

// HandleNotice takes in news of a running attempt.
func (r *Controller) HandleNotice(now Time, id RequestID, n int, news NoticeKind, value float64) {
	r.now = now
	i, ok := r.byID[id]
	if !ok {
		return
	}
	t := &r.requests[i]
	if t.out && t.tries == n+1 {
		t.heardAt = now
	}
	if news != ProgressNotice || !t.out || t.gone || t.tries != n+1 || !r.d.SupportsCancel ||
		r.d.Classes[t.class].Effect != Idempotent || r.spent(t) {
		return
	}
	// What by its progress needs nearly all that is left of its timeout, or more, is called off: it would end
	// in a time-out, and hold room till then. Guards against bad plans, drawn anew at each attempt, engines
	// that slow down or swap, and loads in the way. Harm: work done for nothing where it would have sped up
	// again.
	const hopeless = 0.8 // progress is rough; 1 did as well, 1.5 let more engines jam
	if left := float64(now-t.sentAt) * (1 - value) / max(value, 0.001); left > hopeless*float64(t.until-now) {
		r.host.CancelAttempt(id, n)
	}
}

// The signal's threshold: held queries a core times the threads of one (query).
const threshold = 2

// query is what a held query stands for: threads of our attempts by their time out; the classes' at first.
func (r *Controller) query() float64 { return r.ran / r.runs }

// wanted tells whether a request of an engine's pools was given up for want of room within the last second.
func (r *Controller) wanted(e *engine) bool {
	for n := range r.pools {
		if r.now-r.pools[n].wanted < Second && r.in(n, e) {
			return true
		}
	}
	return false
}

// signal is how loaded an engine is, in units of the threshold. Where it reports no held queries, its
// utilisation stands in; where nobody hears a report, our own held count there does, for all gateways.
func (r *Controller) signal(e *engine) float64 {
	const high, low, still, halfPart = 0.9, 0.45, 0.75 * threshold, 0.5
	signal, report, util := still, e.report, e.util
	if r.now-e.reportAt >= stale { // a peer's report stands in for ours while it is fresh
		report, util = e.heard, e.heard.scarcest()
	}
	switch {
	case r.now-max(e.reportAt, e.heardAt) >= stale:
		return e.running * float64(r.d.Gateways) / e.cores
	case report.InFlight >= 0:
		signal = report.InFlight / e.cores * r.query()
	case util > high:
		return threshold
	case e.memory*float64(r.d.Gateways) > halfPart*e.size:
		// No room either, though cores idle: what our attempts there need is half of our equal part of the
		// memory, which is taken for full as needs scatter: more came too late, less held back sound engines.
		return still
	case util <= low:
		return 0
	}
	if part := threshold * e.cores / float64(r.d.Gateways); signal < threshold && r.wanted(e) &&
		e.running-e.since < part {
		// An exception to the still band: while held requests are given up for want of room and our own count is
		// under our part of the threshold, room is taken: the band is wide, and a bound stepped down in a burst,
		// or a gateway that came to less than its part, would stay there. Harm: where a shortage hides.
		return 0
	}
	return signal
}

// stepBound is the step rule of the paper's CPULoad, one query at a time: down at the threshold unless none
// is in use, up at half of it or less with every slot in use, and still between. The floor is zero. A step up
// is taken with chance one over the gateways that hear the engine in the second that a step takes to show,
// each as often as we: together they add about one query. Harm: a lone busy gateway climbs more slowly.
func (r *Controller) stepBound(e *engine, signal float64, heard Time) {
	if signal >= threshold {
		if e.running > 0 {
			e.bound = max(0, e.bound-r.query())
		}
	} else if signal <= threshold/2.0 && e.running >= e.bound &&
		r.rng.Float64()*float64(r.d.Gateways)*min(1, float64(Second)/float64(heard)) < 1 {
		e.bound += r.query()
	}
	e.steppedAt = r.now
}

// Probes are paid for by the requests taken: their price stays at probeBudget of the service, too small to be
// seen in it, however many gateways there are, and reports come when there is something to send.
const (
	probeBudget  = 0.005
	mostCredit   = 8.0               // a stalled router doesn't probe for all that came meanwhile
	fastestProbe = 200 * Millisecond // reports are made anew no faster
	turnover     = 800 * Millisecond // of an engine's load, by and large; a look each 200 or 400 ms told no more
	stale        = 3 * Second        // a report that has not changed for so long says nothing of now
)

// look probes the engine unseen for longest while there is credit to spare.
func (r *Controller) look() {
	for r.credit >= mostCredit/2 {
		next, oldest := none, r.now-turnover+1
		for i := range r.engines {
			if e := &r.engines[i]; e.State == Live && !e.probing && e.probedAt < oldest {
				next, oldest = int32(i), e.probedAt
			}
		}
		if next == none {
			return
		}
		r.probe(&r.engines[next])
	}
}

func (r *Controller) probe(e *engine) {
	r.credit--
	e.probing, e.probedAt = true, r.now
	r.host.ProbeEngine(e.Engine)
}

// HandleProbeResult takes in the result of a probe.
func (r *Controller) HandleProbeResult(now Time, name EngineID, how Outcome, report Report) {
	r.now = now
	i, ok := r.named[name]
	if !ok {
		return
	}
	if r.engines[i].probing = false; how != Served {
		r.addFailure(&r.engines[i], 1.5, Unanswered)
		return
	}
	r.reported(i, report)
	r.release()
}

const peerBudget = 0.0003 // what messages to peers may cost; at 0.001 and 0.005 what more was told lost

// HandlePeerReport takes in what peers saw of an engine. Their reports tell how busy engines are as a whole, and step a
// bound where ours is stale; in the draw they had all routers run to the same engines. What is said against
// one adds to its failure score until it is old: who hears nothing decides as one without peers.
func (r *Controller) HandlePeerReport(now Time, f *PeerReport) {
	r.now = now
	if i, ok := r.named[f.Engine]; ok && r.engines[i].Since == f.Since {
		e := &r.engines[i]
		e.against, e.until = f.FailureScore, f.ScoreUntil
		if f.ReportAt > e.heardAt {
			e.heard, e.heardAt = f.Report, f.ReportAt
			r.busy += 0.2 * (min(1, r.told(e, f.Report, f.Report.scarcest())) - r.busy)
		}
		r.release()
	}
}

// reported takes in an engine's report, and steps the bound if it is a new one: a step on the one we had
// would count one sight twice.
func (r *Controller) reported(i int32, report Report) {
	e, now := &r.engines[i], r.now
	if report == NoReport || report == e.report {
		return
	}
	heard, util := now-e.reportAt, report.scarcest()
	if e.report == NoReport {
		heard, e.util = Second, util
	}
	// Some three reports make the figure, as one is noisy; one that comes after a long time stands alone.
	e.util += min(1, max(0.3, float64(heard)/float64(stale))) * (util - e.util)
	e.report, e.reportAt = report, now
	r.busy += 0.2 * (min(1, r.told(e, report, e.util)) - r.busy)
	const age = 400 * Millisecond // of what a report tells, by and large: made now and then, and under way
	e.sinceAt, e.since = now-age, r.sentTo(i, now-age)
	r.stepBound(e, r.signal(e), heard)
	r.tell(e, Reported)
}

// Failures add to an engine's score, which halves every halfLife; its bound and its weight in the
// draw halve with each point, and at shut it gets nothing. It counts above the least of the fleet's: what
// strikes all condemns none. A broken or refused connection adds 2, so that two in a row shut an engine; a
// silent probe 1.5, as one may be chance; an error 0.5, as single errors are common. A time-out or a hopeless
// attempt adds 1 where the bound is at zero: it can't step down from an engine that others have jammed.
const (
	halfLife    = 1500 * Millisecond // a struck engine is back under shut within some three seconds
	shut        = 3.0
	mostDoubted = 8.0
)

func (r *Controller) addFailure(e *engine, points float64, saw Observation) {
	e.failures, e.failuresAt = min(mostDoubted, e.ownScore(r.now)+points), r.now
	if points > 0 {
		r.tell(e, saw)
	}
	if e.failures-r.leastScore(0) >= shut && (e.saidAt == 0 || r.now-e.saidAt >= 10*Second) {
		e.saidAt = r.now // a person acts on the first line
		r.host.LogEvent(fmt.Sprintf("engine %s distrusted: no new requests until the score fades", e.Engine))
	}
}

// Ejects tells whether what peers say shuts an engine by itself, where all others are sound.
func (f *PeerReport) Ejects() bool { return f.FailureScore >= shut }

// score is our own failure score and, while it counts, what peers say: one point a witness, so three shut.
func (r *Controller) score(e *engine) float64 {
	if r.now < e.until {
		return e.ownScore(r.now) + e.against
	}
	return e.ownScore(r.now)
}

func (r *Controller) leastScore(pool int) float64 {
	least := mostDoubted
	for i := range r.engines {
		if e := &r.engines[i]; e.State == Live && r.in(pool, e) {
			least = min(least, r.score(e))
		}
	}
	return least
}

// Tick is the timer: probes, steps where no report comes, the chance at a bound of zero, requests given up.
func (r *Controller) Tick(now Time) {
	r.now = now
	if r.d.PollsEndpoints && r.askAt > 0 && now >= r.askAt {
		r.askAt = 0
		r.host.SubscribeEndpoints()
	}
	r.look()
	for n := range r.pools {
		r.pools[n].warm = r.anyWarm(n)
	}
	for i := range r.engines {
		e := &r.engines[i]
		if e.State != Live {
			continue
		}
		if !e.probing { // what a probe was sent for waits for it
			e.luck = r.rng.Float64() * float64(r.d.Gateways) / float64(now-r.ticked)
		}
		if now-e.reportAt >= stale && now-e.steppedAt >= stale/3 {
			r.stepBound(e, r.signal(e), Second)
		}
	}
	for i := range r.requests {
		t := &r.requests[i]
		// Notes come at their pace while work runs: one without any for a pace and a half has hung, or its answer
		// is lost; it is cancelled, to go again as its class allows. Two paces lost (leerkaart quick 0.735, 0.725).
		if t.out && r.d.NoticeInterval > 0 && r.d.SupportsCancel && 2*(now-t.heardAt) > 3*r.d.NoticeInterval {
			t.heardAt = t.until
			r.addFailure(&r.engines[t.engine], 1.5, Unanswered) // as a silent probe
			r.host.CancelAttempt(t.id, t.tries-1)
		}
		if t.id == "" || t.out {
			continue
		}
		last, p, can := r.latest(t), r.poolOf(t), t.PolicyClass == 0 || r.mayTry(t)
		r.pools[p].starving = r.pools[p].starving || t.queued && now-t.arrived > (last-t.arrived)/2 && r.mayTry(t)
		if now >= last {
			if can { // not for its class's limit alone
				r.pools[p].wanted = now
			}
			r.giveUp(int32(i))
		}
	}
	r.ticked = now
	for n := range r.pools {
		r.pools[n].moveBar()
	}
	r.rankLanes()
	r.restTurns()
	r.release()
	r.host.ScheduleTick(now + tickInterval)
}
