package admission

// All decisions are in this file. The router's protocol side makes one Router at start (New) and then calls
// one method for each thing that happens: Listed, Arrived, Ended, Noted, ClientGone, Probed, Due. Each acts
// at once through the Host of host.go; types and ids are in types.go, what is read at start in deployment.go.
// Calls of one Router come one at a time, with a clock that never goes back. docs/design.md has the reasons.

import (
	"cmp"
	"fmt"
	"math"
	"math/rand"
	"slices"
)

// Router decides for one gateway from what this gateway alone has seen.
type Router struct {
	host           Host
	d              *Deployment
	rng            *rand.Rand
	now            Time
	tasks          []task // the slab; places are reused
	free           []int32
	byID           map[TaskID]int32
	turns          map[string]turn
	spare          [][]int32 // lines of keys, to be used again
	engines        []engine
	named          map[EngineID]int32
	queues         [][]int32 // held tasks in order of arrival, by tenant and lane
	ladder         []int     // lanes, highest earnings first
	used           []float64 // threads running, by tenant
	tenants        []int     // in the order of release
	lanes          []learned
	held           int
	seq            uint64
	step           float64 // threads of one query: the mean declared for our lanes
	takes          []span  // tasks taken and further hand-offs, for the ration
	pace           Time    // between probes of an engine
	taken          float64 // tasks of the last ten seconds or so, fading
	bar, bestPrice float64 // least price of a task taken on, as a part of the best lane's
	askAt          Time    // when to ask for the list again; 0: not
	wanted         Time    // when a held task was last given up for want of room
}

// tick is the timer's pace: a held task is given up at most this late, well within the answer's slack.
const tick = 20 * Millisecond

// New makes a router that knows no engine yet.
func New(now Time, seed int64, d *Deployment, host Host) *Router {
	r := &Router{host: host, d: d, rng: rand.New(rand.NewSource(seed)), now: now, byID: map[TaskID]int32{},
		turns: map[string]turn{}, named: map[EngineID]int32{}, lanes: make([]learned, len(d.Lanes)),
		used: make([]float64, max(1, len(d.Tenants))), pace: slowestProbe, wanted: now - Second}
	for i := range d.Lanes {
		l := &d.Lanes[i]
		r.step += float64(l.Threads) / float64(len(d.Lanes))
		r.ladder = append(r.ladder, i)
		// Until answers tell, a task is taken to use up its quoted time: rather too much than too little.
		r.lanes[i] = learned{run: float64(l.Quoted), work: float64(l.Quoted) * float64(l.Threads), rank: 1}
	}
	slices.SortStableFunc(r.ladder, func(a, b int) int {
		return cmp.Compare(d.Lanes[b].Earnings, d.Lanes[a].Earnings)
	})
	for n := range r.used {
		r.tenants = append(r.tenants, n)
	}
	r.queues = make([][]int32, len(r.used)*len(d.Lanes))
	if d.ExtraSpan > 0 {
		r.takes = make([]span, spans+1)
	}
	if d.Asks {
		host.Subscribe()
	}
	host.Wake(now + tick)
	return r
}

// Listed takes in a delivery of the engine list.
func (r *Router) Listed(now Time, form Form, list []Listing) {
	r.now = now
	if form == NoAnswer {
		const again = Second // a list service that fails is asked no faster, and well within any deemed telling
		r.askAt = now + again
		return
	}
	if form != Changes {
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
		restarted := known && l.Since > e.Since
		e.Listing, e.listed = l, true
		if !known || restarted {
			e.cores = 1
			if l.Kind >= 0 && l.Kind < len(r.d.Cores) {
				e.cores = max(1, r.d.Cores[l.Kind])
			}
			if e.size = math.Inf(1); l.Kind >= 0 && l.Kind < len(r.d.Memory) {
				e.size = r.d.Memory[l.Kind]
			}
			e.bound, e.distrust, e.report = r.startBound(e), 0, NoReport
			e.reportAt, e.probedAt, e.cold = now, now-slowestProbe, e.cold[:0]
		}
	}
	for i := range r.engines {
		if e := &r.engines[i]; !e.listed {
			e.State = Gone
		}
	}
	r.release()
}

// startBound is an engine's first bound: the signal's threshold in threads a core, shared by the gateways;
// a cold engine gets its share of that.
func (r *Router) startBound(e *engine) float64 {
	b := threshold * e.cores / float64(r.d.Gateways)
	if r.isCold(e) {
		b *= r.d.ColdShare
	}
	return max(1, math.Round(b))
}

// Arrived takes a task from a client. From here on it is owed one final answer.
func (r *Router) Arrived(now Time, id TaskID, cutoff Time, lane, tenant int, key string, tables int,
	work Time) {
	r.now = now
	if tenant < 0 || tenant >= len(r.used) {
		tenant = 0
	}
	l := &r.d.Lanes[lane]
	r.seq++
	r.taken++
	i := r.seat(task{id: id, lane: lane, tenant: tenant, tables: tables, arrived: now, cutoff: cutoff,
		work: work, seq: r.seq, engine: none, rank: 1})
	t := &r.tasks[i]
	length := float64(work)
	if work == 0 {
		length = r.lanes[lane].work
	} else {
		r.learnWork(&r.lanes[lane], length)
	}
	t.quoted = min(cutoff, now+l.Quoted+Time(l.Stretch*length/float64(l.Threads)))
	if s := r.span(); s != nil {
		s.taken++
	}
	if l.InOrder && key != "" {
		t.key = key
		if !r.joinTurn(i) {
			return // held behind its key, in no queue yet
		}
	}
	r.hold(i)
	if p := r.price(lane, length); p < 0.99*r.bestPrice && p*r.spread(work) < r.bar*r.bestPrice {
		r.wanted = now
		r.giveUp(i)
		return
	}
	r.release()
	if t := &r.tasks[i]; t.queued && now >= r.latest(t) {
		r.giveUp(i) // it came too late to wait for the next tick
	}
}

// spread sets tasks of unknown length apart by chance, so that a rising bar takes a lane's tasks bit by bit.
// Its width is a factor of eight; four and sixteen did no better.
func (r *Router) spread(work Time) float64 {
	if work > 0 {
		return 1
	}
	return math.Exp2(3*r.rng.Float64() - 1.5)
}

// moveBar sets the least price, in earnings for work, at which tasks are taken on. It rises while some held
// task has used up half of the time for which holding it makes sense, and falls otherwise. In an order by
// earnings, short cheap lanes would starve behind a standing queue of long dear ones, and what is held
// longest would run too late to earn; so under overload what earns least for its work is given up at once.
// Harm: where a lane's estimates are off beyond what its answers correct, it is shed before others.
func (r *Router) moveBar(starving bool) {
	const rise, fall = 1.06, 0.97     // a tick: doubled in a quarter of a second, halved in twice that
	const lowest, highest = 0.02, 1.5 // of the best lane's price, whose usual tasks pass all the same
	if starving {
		r.bar = min(highest, r.bar*rise)
	} else {
		r.bar = max(lowest, r.bar*fall)
	}
}

// release hands off held tasks while engines have room: by tenant fairness (the fewest threads in use for its
// share first), then earnings, then arrival.
func (r *Router) release() {
	for r.held > 0 && r.releaseOne() {
	}
}

func (r *Router) releaseOne() bool {
	if len(r.tenants) > 1 {
		slices.SortStableFunc(r.tenants, func(a, b int) int { return cmp.Compare(r.use(a), r.use(b)) })
	}
	for _, tenant := range r.tenants {
		for _, lane := range r.ladder {
			if r.releaseFrom(r.queues[tenant*len(r.d.Lanes)+lane]) {
				return true
			}
		}
	}
	return false
}

func (r *Router) releaseFrom(q []int32) bool {
	for _, i := range q {
		t := &r.tasks[i]
		if e := r.draw(t); e != none && r.handOff(i, e) {
			return true
		}
		if t.tries == 0 && t.key == "" {
			break // what follows it in this lane has no more choice than this one
		}
	}
	return false
}

// use is a tenant's threads running over its share.
func (r *Router) use(n int) float64 { return r.used[n] / max(0.001, r.d.Tenants[n].Share) }

// draw picks an engine at random, weighted down by the utilisation it reported, or by our own busy share of
// its bound, plus what we sent since.
func (r *Router) draw(t *task) int32 {
	if !r.mayTry(t) {
		return none
	}
	total, pick := 0.0, none
	least := r.leastDistrust()
	for i := range r.engines {
		e := &r.engines[i]
		over := r.score(e) - least
		trust := math.Exp2(-over)
		if over >= shut || !open(e, trust) || !r.mayUse(t, e) {
			continue
		}
		// A square sets engines apart clearly while a few per cent of noise in reports matters little;
		// one that reports itself full keeps a small chance, so that an old report doesn't shut it out.
		const steep, floor = 2, 0.05
		w := e.cores * math.Pow(max(floor, 1.1-r.load(e)), steep) * trust * r.suits(t, e)
		if int32(i) == t.engine {
			w *= floor // a further hand-off rather goes elsewhere
		}
		total += w
		if r.rng.Float64()*total < w {
			pick = int32(i)
		}
	}
	return pick
}

// suits weighs an engine by the tables that a task reads. Engines keep what they read last warm, and a load
// holds its tables on its engine against others. From the ids of engine and tables alone every gateway finds
// the same third of engines for a group's reads and another third for its loads, without a word between them.
// It is a weight: a busy engine still loses the draw. Harm: where one group is most of the traffic.
func (r *Router) suits(t *task, e *engine) float64 {
	const strong = 4 // 2 warms less, 8 crowds the same few engines
	l := &r.d.Lanes[t.lane]
	if (l.Load || l.HeldByLoads) && slices.Contains(e.loads, t.tables) {
		return 1.0 / strong / strong // our own load holds them there now: worse than another's that may
	}
	h := (e.hash ^ uint32(t.tables)*2654435761) * 2246822519
	side := (h ^ h>>15) * 3266489917 >> 16 % 3
	switch {
	case side == 0 && !l.Load, side == 1 && l.Load:
		return strong
	case side == 1 && l.HeldByLoads, side == 0 && l.Load:
		return 1.0 / strong
	}
	return 1
}

// load is the share of an engine that is busy as far as we know.
func (r *Router) load(e *engine) float64 {
	if e.report.Util >= 0 && r.now-e.reportAt < stale {
		return e.report.Util + e.since/e.cores
	}
	return e.running / max(1, e.bound)
}

// open tells whether an engine has room under its bound, which distrust narrows.
func open(e *engine, trust float64) bool {
	if e.bound < 1 {
		return e.running == 0 && e.lucky
	}
	return e.running < e.bound*trust
}

// mayTry is the part of the rules that doesn't depend on the engine: one hand-off at a time, none after the
// end, the order of keys, the most hand-offs of a task, the ration of further ones.
func (r *Router) mayTry(t *task) bool {
	if t.out || t.gone || r.now >= t.cutoff || r.spent(t) {
		return false
	}
	if t.key != "" {
		if turn := r.turns[t.key]; r.tasks[turn.line[0]].id != t.id || r.now < turn.rest && t.tries == 0 {
			return false
		}
	}
	return r.mayRepeat(t) && (t.tries == 0 || r.rationed())
}

// spent tells whether a task has had all its hand-offs.
func (r *Router) spent(t *task) bool { return r.d.MaxTries > 0 && t.tries >= r.d.MaxTries }

// mayRepeat tells whether the task's lane allows a hand-off to any engine at all.
func (r *Router) mayRepeat(t *task) bool {
	l := &r.d.Lanes[t.lane]
	return !t.mayRan || l.Effect == Idempotent || l.Effect == Deduplicated && r.now < t.doubtAt+l.Remember
}

// mayUse is the part of the rules that depends on the engine: drains, placement, the group that drops repeats
// and the care for cold engines.
func (r *Router) mayUse(t *task, e *engine) bool {
	l := &r.d.Lanes[t.lane]
	if e.State != Live || l.Zones != nil && !slices.Contains(l.Zones, e.Zone) ||
		l.Kinds != nil && !slices.Contains(l.Kinds, e.Kind) {
		return false
	}
	if t.mayRan && l.Effect == Deduplicated && (l.Within == SameZone && e.Zone != t.doubtZone ||
		l.Within == SameCell && (e.Group != t.doubtGroup || e.Zone != t.doubtZone)) {
		return false
	}
	return !r.isCold(e) || r.coldRoom(e, r.lanes[t.lane].work)
}

func (r *Router) isCold(e *engine) bool { return e.Since > 0 && r.now < e.Since+r.d.WarmAfter }

// coldRoom tells whether a cold engine can be sent some work. All routers together may send a multiple of its
// present capacity, of which only the least is known; each takes an equal part. Half of that is used: engines
// are slower than their cores tell, and a lane's usual work is learned. A part too small for one task lets
// one through in a span if the part itself holds it.
func (r *Router) coldRoom(e *engine, work float64) bool {
	const careful = 0.5
	part := r.d.TipFactor * r.d.ColdShare * e.cores * float64(r.d.TipAfter) / float64(r.d.Gateways)
	gone, sum := 0, 0.0
	for _, s := range e.cold {
		if s.at+r.d.TipAfter < r.now {
			gone++
		} else {
			sum += s.work
		}
	}
	e.cold = append(e.cold[:0], e.cold[gone:]...)
	return sum+work <= part*careful || sum == 0 && work <= part*0.8
}

// The ration's window is counted in this many spans; one more is kept, so that whole spans cover the window.
const spans = 50

// rationed tells whether one more further hand-off is within the ration: all further ones that may fall into
// the window count, and only the tasks that surely do.
func (r *Router) rationed() bool {
	last := r.span()
	if last == nil {
		return true
	}
	taken, extra := 0.0, 1.0
	for i := range r.takes {
		s := &r.takes[i]
		if s.index >= last.index-spans {
			extra += s.extra
			if s.index > last.index-spans+1 {
				taken += s.taken
			}
		}
	}
	return extra <= r.d.ExtraFree+r.d.ExtraShare*taken
}

// handOff is the only place that sends a task to an engine. It holds the rules whatever was decided before.
func (r *Router) handOff(i, to int32) bool {
	t, e := &r.tasks[i], &r.engines[to]
	if !r.mayTry(t) || !r.mayUse(t, e) {
		return false
	}
	r.unhold(i)
	l, learned := &r.d.Lanes[t.lane], &r.lanes[t.lane]
	threads := float64(l.Threads)
	if s := r.span(); s != nil && t.tries > 0 {
		s.extra++
	}
	t.out, t.engine, t.sentAt = true, to, r.now
	t.tries++
	if r.isCold(e) {
		e.cold = append(e.cold, sent{r.now, learned.work})
	}
	t.memory = learned.memory
	e.memory += t.memory
	e.running += threads
	e.since += threads
	e.lucky = false
	if l.Load {
		e.loads = append(e.loads, t.tables)
	}
	r.used[t.tenant] += threads
	grant := 0.0
	if r.d.Grants && r.d.Swaps && learned.memory > 0 {
		// Where an engine swaps, memory granted and not needed costs nothing and too little spills; needs
		// scatter, and three times the mean covers nearly all.
		const ample = 3
		grant = ample * learned.memory
	}
	if rank := learned.rank; grant > 0 || rank != t.rank {
		t.rank = rank
		r.host.Terms(t.id, grant, rank)
	}
	patience := t.cutoff - r.now
	if r.d.Cancels {
		// Past the quoted time a task is let run for the part of its time that matches what it still earns;
		// an engine that stops work at a time-out is freed for others. Guards against jams that feed themselves.
		patience = min(patience, max(t.quoted-r.now, 1)+Time(l.LateShare*float64(t.cutoff-t.quoted)))
	}
	r.host.HandOff(t.id, e.Engine, patience)
	return true
}

// Ended takes in how a task's hand-off ended, and what the answer told of work, memory and the engine's load;
// over: the client has its answer.
func (r *Router) Ended(now Time, id TaskID, how Outcome, over bool, work Time, memory float64, load Report) {
	r.now = now
	i, ok := r.byID[id]
	if !ok || !r.tasks[i].out {
		return
	}
	t := &r.tasks[i]
	e, l := &r.engines[t.engine], &r.d.Lanes[t.lane]
	threads := float64(l.Threads)
	t.out = false
	if k := slices.Index(e.loads, t.tables); l.Load && k >= 0 {
		e.loads = slices.Delete(e.loads, k, k+1)
	}
	e.running -= threads
	e.memory -= t.memory
	r.used[t.tenant] -= threads
	if t.sentAt >= e.sinceAt {
		e.since -= threads
	}
	switch how {
	case Delivered:
		r.learn(t, work, memory)
	case Unreachable, Reset:
		r.doubt(e, 2)
	case Errored:
		r.doubt(e, 0.5)
	case Full:
		r.stepBound(e, threshold)
	}
	if how != Delivered && !how.NeverRan() {
		if !t.mayRan {
			t.mayRan, t.doubtAt, t.doubtZone, t.doubtGroup = true, t.sentAt, e.Zone, e.Group
		}
		if t.key != "" && r.d.Settle > 0 {
			turn := r.turns[t.key]
			turn.rest = now + r.d.Settle
			r.turns[t.key] = turn
		}
	}
	r.reported(t.engine, load)
	if over || t.gone {
		r.drop(i)
	} else if how == Moot || !r.worthHolding(t) {
		r.giveUp(i)
	} else {
		r.hold(i)
	}
	r.release()
}

// worthHolding tells whether a task can still be handed off in time.
func (r *Router) worthHolding(t *task) bool {
	return r.now < r.latest(t) && r.mayRepeat(t) && !r.spent(t)
}

// latest is until when holding a task has a useful chance: started then, it is answered within its quoted
// time if it runs as its lane usually does. Holding it longer would make all behind it late as well. It is
// always answered before its cut-off.
func (r *Router) latest(t *task) Time {
	usual := r.lanes[t.lane].run
	if t.work > 0 {
		usual *= float64(t.work) / r.lanes[t.lane].work
	}
	const slack, most = 1.5, 2.0 / 3 // usual runs kept free, and at most this part of the time to the quoted one
	free := min(slack*usual, most*float64(t.quoted-t.arrived))
	return min(t.quoted-Time(free), t.cutoff-2*tick)
}

// giveUp is the only place that answers a task without an engine, and it does so at once: a nack where a
// further try is harmless, else a write-off.
func (r *Router) giveUp(i int32) {
	t, l := &r.tasks[i], &r.d.Lanes[r.tasks[i].lane]
	if t.out || t.gone {
		return
	}
	if !t.mayRan || l.Effect == Idempotent || l.Effect == Deduplicated && l.Within == AllEngines {
		r.host.Nack(t.id, r.d.ComeBack)
	} else {
		r.host.WriteOff(t.id)
	}
	r.drop(i)
}

// ClientGone ends a task whose client left. A hand-off that is out still gets its outcome.
func (r *Router) ClientGone(now Time, id TaskID) {
	r.now = now
	if i, ok := r.byID[id]; ok {
		if t := &r.tasks[i]; t.out {
			t.gone = true
		} else {
			r.drop(i)
			r.release()
		}
	}
}

// The usual run follows the engines' state, some twenty answers back; work and memory are the lane's own and
// widely spread, so they are means of a few hundred.
const recent, many = 0.05, 300

// learn takes a delivered task into its lane's usual figures.
func (r *Router) learn(t *task, work Time, memory float64) {
	l, run := &r.lanes[t.lane], float64(r.now-t.sentAt)
	threads := float64(r.d.Lanes[t.lane].Threads)
	l.answers = min(l.answers+1, many)
	l.run += max(recent, 1/l.answers) * (run - l.run)
	l.memory += 1 / l.answers * (memory - l.memory)
	cost := float64(t.work)
	if t.work == 0 {
		if cost = float64(work); !r.d.TellsCost {
			cost = run * threads
		}
		r.learnWork(l, cost)
	}
	// How many times its work a task takes where nothing is crowded: it falls with the answers and hardly rises.
	if ratio := run * threads / max(1, cost); l.ease == 0 || ratio < l.ease {
		l.ease += max(recent, 1/l.answers) * (ratio - l.ease)
	} else {
		l.ease += recent / many * (min(ratio, 3*l.ease) - l.ease)
	}
}

// learnWork takes a task's work into its lane's mean: estimates when tasks come, since what is answered under
// a bar is no fair sample, else what answers tell.
func (r *Router) learnWork(l *learned, work float64) {
	l.tasks = min(l.tasks+1, many)
	l.work += 1 / (l.tasks + 1) * (work - l.work) // what it started from counts as one
}

// price is what a task earns for its work, as far as the lane's answers bear out what was told of it:
// estimates can be far too high or too low for a lane as a whole.
func (r *Router) price(lane int, work float64) float64 {
	ease := r.lanes[lane].ease
	if ease == 0 {
		ease = 1 // no answer yet
	}
	return r.d.Lanes[lane].Earnings / work / max(0.2, ease) // no estimate is trusted to be five times too high
}

// rankLanes orders lanes by earnings for the work they take. Shares go up by steps of two to four, so a lane
// with half the price gets the next lower rank.
func (r *Router) rankLanes() {
	r.bestPrice = 0
	for i := range r.lanes {
		r.bestPrice = max(r.bestPrice, r.price(i, r.lanes[i].work))
	}
	for i := range r.lanes {
		switch v := r.price(i, r.lanes[i].work) / r.bestPrice; {
		case !r.d.Ranked || v < 0.35:
			r.lanes[i].rank = 1
		case v < 0.7:
			r.lanes[i].rank = 2
		default:
			r.lanes[i].rank = 3
		}
	}
}

// Noted takes in news of a running hand-off.
func (r *Router) Noted(now Time, id TaskID, n int, news News, value float64) {
	r.now = now
	i, ok := r.byID[id]
	if !ok {
		return
	}
	t := &r.tasks[i]
	if news != Progress || !t.out || t.gone || t.tries != n+1 || !r.d.Cancels || t.drawn ||
		r.d.Lanes[t.lane].Effect != Idempotent || r.spent(t) {
		return
	}
	// A bad plan is drawn anew at each hand-off. One that will take this many usual runs more is called off,
	// once a task: what is slow again is long by itself. Harm: work done for nothing where it was long.
	const badPlan = 4 // far above the spread of a lane's work; 2.5 and 6 did no better
	run, left := r.lanes[t.lane].run, float64(now-t.sentAt)*(1-value)/max(value, 0.001)
	if left > badPlan*run && t.cutoff-now > Time(run) {
		t.drawn = true
		r.host.Cancel(id, n)
	}
}

// The signal's threshold: held queries a core times the mean declared threads.
const threshold = 2

// signal is how loaded an engine is, in units of the threshold. Where it reports no held queries, its
// utilisation stands in; where it reports nothing, our own held count there does, for all gateways.
func (r *Router) signal(e *engine) float64 {
	const high, low, still = 0.9, 0.45, 0.75 * threshold
	own := e.running - e.since
	signal := still
	switch {
	case r.now-e.reportAt >= stale:
		return e.running * float64(r.d.Gateways) / e.cores
	case e.report.Held >= 0:
		signal = e.report.Held / e.cores * r.step
	case e.util > high:
		return threshold
	case own*float64(r.d.Gateways) >= e.cores && e.overdue >= crowded*own:
		// Cores that idle while most of what we have there, a thread a core or more, runs far longer than its
		// work asks for are no room: tasks wait for disks, memory or loads, and a step up would crowd them more.
		// Harm: below a thread a core a few long tasks would look the same, so there it must not act.
		return threshold
	case e.memory*float64(r.d.Gateways) > halfPart*e.size:
		// No room either, though cores idle: what our hand-offs there need is half of our equal part of the
		// memory. Needs scatter widely and the others' are not seen, so half a part is taken for full.
		return still
	case e.util <= low:
		return 0
	}
	if signal < threshold && r.now-r.wanted < Second && own*float64(r.d.Gateways) < threshold*e.cores {
		// An exception to the still band: while held tasks are given up for want of room and our own count is
		// under our part of the threshold, room is taken. The band is wide, and a bound stepped down in a burst
		// would stay there; and a gateway that came to less than its part would. Harm: where a shortage hides.
		return 0
	}
	return signal
}

// What tells a crowded engine: half of our threads overdue, or half of our part of its memory needed. More of
// either came too late to keep engines from swapping, less held back sound ones.
const crowded, halfPart = 0.5, 0.5

// stepBound is the step rule of the paper's CPULoad, one query at a time: down at the threshold unless none
// is in use, up at half of it or less with every slot in use, and still between. The floor is zero. An engine
// hears all gateways at once: each takes a step up only with the chance that the design gives it at zero, so
// that together they add about one query a report. Harm: a lone busy gateway climbs more slowly.
func (r *Router) stepBound(e *engine, signal float64) {
	if signal >= threshold {
		if e.running > 0 {
			e.bound = max(0, e.bound-r.step)
		}
	} else if signal <= threshold/2.0 && e.running >= e.bound && r.rng.Float64()*float64(r.d.Gateways) < 1 {
		e.bound += r.step
	}
	e.steppedAt = r.now
}

// Probes are paced so that their price stays under probeBudget of the service (a figure too small to see in
// it), within what keeps a signal useful: no more often than reports are commonly made anew, no less often
// than an engine's load turns over.
const (
	probeBudget  = 0.003
	fastestProbe = 200 * Millisecond
	slowestProbe = 1 * Second
	stale        = 3 * Second // a report that has not changed for so long says nothing of now
)

// Probed takes in the result of a probe.
func (r *Router) Probed(now Time, name EngineID, how Outcome, report Report) {
	r.now = now
	i, ok := r.named[name]
	if !ok {
		return
	}
	e := &r.engines[i]
	e.probing = false
	if how != Delivered {
		r.doubt(e, 1.5)
		return
	}
	r.reported(i, report)
	r.release()
}

// reported takes in an engine's report, and steps the bound if it is a new one: a step on the one we had
// would count one sight twice.
func (r *Router) reported(i int32, report Report) {
	e, now := &r.engines[i], r.now
	if report == NoReport || report == e.report {
		return
	}
	if e.report.Util < 0 {
		e.util = report.Util
	}
	e.util += 0.3 * (report.Util - e.util) // some three reports make the figure: one is noisy
	e.report, e.reportAt = report, now
	e.sinceAt, e.since, e.overdue = now-r.pace, 0, 0
	for k := range r.tasks {
		t := &r.tasks[k]
		if !t.out || t.engine != i {
			continue
		}
		const far = 4 // times the usual: in lanes widely spread, few tasks are that long by themselves
		l := &r.lanes[t.lane]
		threads := float64(r.d.Lanes[t.lane].Threads)
		if t.sentAt >= e.sinceAt {
			e.since += threads
		} else if float64(now-t.sentAt)*threads > far*max(l.work, float64(t.work))*max(1, l.ease) {
			e.overdue += threads
		}
	}
	r.stepBound(e, r.signal(e))
}

// Distrust: failures add to an engine's score, which halves every halfLife; its bound and its weight in the
// draw halve with each point, and at shut it gets nothing. The score counts above the least of the fleet's:
// what strikes all engines alike condemns none. A broken or refused connection adds 2, so that two in a row
// shut an engine; a silent probe 1.5, as one may be chance; an error 0.5, as single errors are common.
const (
	halfLife    = 1500 * Millisecond // a struck engine is back under shut within some three seconds
	shut        = 3.0
	mostDoubted = 8.0
)

func (r *Router) doubt(e *engine, points float64) {
	e.distrust = min(mostDoubted, r.score(e)+points)
	e.distrustAt = r.now
	// Said at most so often for an engine: a person acts on the first line.
	const again = 10 * Second
	if e.distrust-r.leastDistrust() >= shut && (e.saidAt == 0 || r.now-e.saidAt >= again) {
		e.saidAt = r.now
		r.host.Say(fmt.Sprintf("engine %s distrusted: no new tasks until the score fades", e.Engine))
	}
}

func (r *Router) score(e *engine) float64 {
	if e.distrust == 0 {
		return 0
	}
	return e.distrust * math.Exp2(-float64(r.now-e.distrustAt)/float64(halfLife))
}

func (r *Router) leastDistrust() float64 {
	least := mostDoubted
	for i := range r.engines {
		if e := &r.engines[i]; e.State == Live {
			least = min(least, r.score(e))
		}
	}
	return least
}

// Due is the timer: probes, steps where no report comes, the chance at a bound of zero, tasks given up.
func (r *Router) Due(now Time) {
	r.now = now
	live := 0.0
	for i := range r.engines {
		if r.engines[i].State == Live {
			live++
		}
	}
	if r.d.Asks && r.askAt > 0 && now >= r.askAt {
		r.askAt = 0
		r.host.Subscribe()
	}
	// A steady pace keeps the price: probes a second over tasks a second, times their price.
	r.taken -= r.taken * float64(tick) / float64(10*Second)
	rate := max(0.1, r.taken/10)
	r.pace = Time(float64(Second) * live * r.d.ProbePrice / (probeBudget * rate))
	r.pace = min(max(r.pace, fastestProbe), slowestProbe)
	for i := range r.engines {
		e := &r.engines[i]
		if e.State != Live {
			continue
		}
		e.lucky = e.bound < 1 && r.rng.Float64()*float64(r.d.Gateways) < 1
		if r.d.Probes && !e.probing && now-e.probedAt >= r.pace {
			e.probing, e.probedAt = true, now
			r.host.Probe(e.Engine)
		}
		if now-e.reportAt >= stale && now-e.steppedAt >= stale/3 {
			r.stepBound(e, r.signal(e))
		}
	}
	starving := false
	for i := range r.tasks {
		t := &r.tasks[i]
		if t.id == "" || t.out {
			continue
		}
		last := r.latest(t)
		starving = starving || t.queued && now-t.arrived > (last-t.arrived)/2 && r.mayTry(t)
		if now >= last {
			r.wanted = now
			r.giveUp(int32(i))
		}
	}
	r.moveBar(starving)
	r.rankLanes()
	r.restTurns()
	r.release()
	r.host.Wake(now + tick)
}
