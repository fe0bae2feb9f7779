package admission

import (
	"flag"
	"fmt"
	"math"
	"os"
	"regexp"
	"testing"
)

var keep = flag.Bool("keep", false, "keep the traces as they come out now")

// Each script's trace is kept in testdata/NAME.txt.
var scripts = map[string]func() *script{
	"ordinary": func() *script { // one attempt each while there is room, then by value, then arrival
		s := start(deployment(), "e1")
		s.engines.items[0].limit.bound = 2
		s.arrives("a", 0, 0, "")
		s.arrives("b", 0, 0, "")
		s.arrives("cheap1", 0, 0, "")
		s.arrives("cheap2", 0, 0, "")
		s.arrives("dear", 1, 0, "")
		for i, id := range []RequestID{"a", "b", "dear", "cheap1", "cheap2"} {
			s.pass(Time(i+1) * 20 * Millisecond)
			s.end(id, Served)
		}
		return s
	},
	"peers": func() *script { // three witnesses shut an engine and two don't; of its start alone, and not for ever
		d := deployment()
		d.Gateways, d.PeerMessages = 4, true
		s := start(d, "e1", "e2")
		hear := func(f PeerReport) {
			f.Engine, f.ScoreUntil, f.ReportAt = "e1", s.at+10*Second, s.at
			s.HandlePeerReport(s.at, &f)
			e := &s.engines.items[0]
			s.say("heard of e1: against %.1f, score %.1f, own %.1f, busy %.2f, signal %.2f", f.FailureScore, s.failureScore(e), e.failures.decayed(s.at), s.estimates.meanBusyShare, s.loadSignal(e))
		}
		hear(PeerReport{Since: 7, FailureScore: 3, Report: NoReport})
		hear(PeerReport{FailureScore: 2, Report: Report{-1, 0.95, -1, -1}})
		s.arrives("a", 0, 0, "")
		hear(PeerReport{FailureScore: 3, Report: NoReport})
		s.arrives("b", 0, 0, "")
		s.end("b", Errored)
		s.end("a", Served)
		s.at += 4 * Second
		hear(PeerReport{FailureScore: 3, Report: Report{-1, 0.95, -1, -1}})
		s.pass(s.at + 10*Second)
		s.say("ten seconds later: score %.1f, signal %.2f", s.failureScore(&s.engines.items[0]), s.loadSignal(&s.engines.items[0]))
		return s
	},
	"seats": func() *script { // of eight, seven are used; the dear one goes before the cheap ones that it leaves behind
		d := deployment()
		d.MaxRequests = 8
		s := start(d, "e1")
		s.engines.items[0].limit.bound = 1
		s.arrives("runs", 0, 0, "")
		for i := range 6 {
			s.arrives(RequestID(fmt.Sprint("cheap", i+1)), 0, 0, "")
		}
		s.arrives("dear", 1, 0, "")
		s.arrives("cheap7", 0, 0, "")
		s.end("runs", Served)
		return s
	},
	"tenants": func() *script { // the tenant with the fewest threads for its share goes first
		d := deployment()
		d.Tenants = []Tenant{{Share: 0.75}, {Share: 0.25}}
		s := start(d, "e1")
		s.engines.items[0].limit.bound = 1
		for i, id := range []RequestID{"first0", "x0", "y0", "x1"} {
			s.HandleRequest(s.at, Request{ID: id, Deadline: 10 * Second, Tenant: i / 3})
		}
		s.tenants.threads[0] = 2
		s.end("first0", Served)
		return s
	},
	"steps": func() *script { // the paper's rule: down, not when idle, up when full, still between, floor zero
		s := start(deployment(), "e1")
		e := &s.engines.items[0]
		for _, c := range []struct{ bound, running, signal float64 }{
			{6, 4, 2}, {6, 0, 2}, {6, 6, 1}, {6, 5, 1}, {6, 6, 1.5}, {1, 1, 3}, {0, 1, 3}, {0, 0, 0}} {
			e.limit.bound, e.limit.running = c.bound, c.running
			s.adjustSlots(e, c.signal, Second)
			s.say("signal %.2g, %g of %g in use: bound %.3g", c.signal, c.running, c.bound, e.limit.bound)
		}
		return s
	},
	"signals": func() *script { // held queries first, then utilisation, then our own count
		s := start(deployment(), "e1")
		e := &s.engines.items[0]
		show := func(why string) { s.say("%s: signal %.3g", why, s.loadSignal(e)) }
		s.at, s.now = Second, Second
		e.load.reportAt, e.load.report = s.at, Report{8, -1, -1, -1}
		show("8 held on 4 cores, 1.75 threads each")
		for _, u := range []float64{0.95, 0.6, 0.3} {
			e.load.report, e.load.utilization = Report{-1, u, -1, -1}, u
			show(fmt.Sprintf("utilisation %.2f", u))
		}
		e.load.utilization, e.limit.running, s.pools.list[0].shortageAt = 0.6, 4, s.at
		show("utilisation 0.60 while requests are given up for want of room")
		e.limit.running = 8
		show("the same with two threads of ours a core")
		e.load.report, e.limit.running = Report{3.5, -1, -1, -1}, 4
		show("3.5 held on 4 cores, 4 threads of ours, while requests are given up")
		s.pools.list[0].shortageAt = 0
		show("the same while none is given up")
		e.limit.running = 8
		s.now += staleReportAge
		show("no report, 8 threads of ours")
		return s
	},
	"chance at zero": func() *script { // at a bound of zero: one query, with chance 1/gateways a tick
		d := deployment()
		d.Gateways = 4
		s := start(d, "e1")
		s.engines.items[0].limit.bound = 0
		s.arrives("a", 1, 0, "")
		s.arrives("b", 1, 0, "")
		s.pass(400 * Millisecond)
		return s
	},
	"effects": func() *script { // a request that may have run goes on only as its class allows
		s := start(deployment(), "e1", "e2")
		s.arrives("idempotent", 0, 0, "")
		s.end("idempotent", Reset)
		s.arrives("unrepeatable", 2, 0, "")
		s.end("unrepeatable", Full)
		s.end("unrepeatable", Reset)
		s.end("idempotent", Errored)
		return s
	},
	"deduplicated": func() *script { // within its group and its window; without the group of all no rejection
		d := deployment()
		d.Classes[3].DedupScope, d.Classes[3].DedupWindow = SameZone, 500*Millisecond
		s := start(d)
		s.list(FullUpdate, Endpoint{Engine: "z0"}, Endpoint{Engine: "z1", Zone: 1})
		s.arrives("a", 3, 0, "k")
		first := s.engineOf("a").Zone
		s.end("a", Errored)
		s.say("same zone: %t", s.engineOf("a").Zone == first)
		s.pass(600 * Millisecond)
		s.end("a", Errored)
		return s
	},
	"order": func() *script { // one at a time by key, with the rest after doubt; a give-up may come out of turn
		d := deployment()
		d.KeySettleTime = 300 * Millisecond
		d.Classes[3].LatencyObjective = 5 * Second
		s := start(d, "e1", "e2")
		s.arrives("k1", 3, 0, "k")
		s.arrives("k2", 3, 0, "k")
		s.arrives("other", 3, 0, "x")
		s.end("k1", TimedOut)
		s.end("k1", Served)
		s.pass(400 * Millisecond)
		s.end("k2", TimedOut)
		s.end("k2", Served)
		s.end("other", Served)
		s.say("%d keys known", len(s.keys.queues))
		s.pass(800 * Millisecond)
		s.say("%d keys known", len(s.keys.queues))
		return s
	},
	"placement": func() *script { // bound classes stay where they may go, however full that is
		d := deployment()
		d.Classes[0].Zones, d.Classes[1].Kinds = []int{1}, []int{5}
		s := start(d)
		s.list(FullUpdate, Endpoint{Engine: "z0"}, Endpoint{Engine: "z1", Zone: 1})
		s.arrives("a", 0, 0, "")
		s.end("a", Full)
		s.arrives("nowhere", 1, 0, "")
		s.pass(5 * Second)
		return s
	},
	"retry budget": func() *script { // one free retry and a tenth of the requests taken
		d := deployment()
		d.RetryBurst, d.RetryRatio, d.RetryWindow = 1, 0.1, 5*Second
		s := start(d, "e1", "e2")
		for _, id := range []RequestID{"a", "b"} {
			s.arrives(id, 0, 0, "")
			s.end(id, Full)
		}
		s.pass(6 * Second)
		s.arrives("c", 0, 0, "")
		s.end("c", Full)
		return s
	},
	"most attempts": func() *script {
		s := start(deployment(), "e1", "e2")
		s.arrives("a", 0, 0, "")
		for range 4 {
			s.end("a", Full)
		}
		return s
	},
	"lists": func() *script { // drains at once; an old list; what a full list lacks is gone; a failure keeps it
		s := start(deployment(), "e1", "e2", "e3")
		s.list(PartialUpdate, Endpoint{Engine: "e1", State: Draining}, Endpoint{Engine: "e2", State: Gone})
		s.engines.items[2].limit.bound = 0
		s.arrives("a", 0, 0, "")
		s.say("the guard lets a go to e1: %t", s.sendAttempt(s.requests.byID["a"], 0))
		s.list(FullUpdate, Endpoint{Engine: "e1"})
		s.list(FailedPoll)
		s.pass(20 * Second)
		s.list(PartialUpdate, Endpoint{Engine: "e1", Since: 19 * Second})
		return s
	},
	"asked list": func() *script { // a call that failed is made again a second later, not at once
		d := deployment()
		d.PollsEndpoints = true
		s := start(d, "e1")
		s.list(FailedPoll)
		s.pass(3 * Second)
		return s
	},
	"too late": func() *script { // what comes just before its deadline and finds no room is answered at once
		s := start(deployment())
		s.HandleRequest(0, Request{ID: "a", Deadline: 5 * Millisecond})
		return s
	},
	"cold": func() *script { // where no engine is warm, every other span at a cold one is one router's alone, within the budget
		d := deployment()
		d.Gateways, d.WarmUpTime = 3, 30*Second
		s := start(d)
		s.pass(Second)
		s.list(CachedUpdate, Endpoint{Engine: "cold", Since: Second})
		e := &s.engines.items[0]
		s.estimates.classes[0].work, s.estimates.classes[0].requests = float64(300*Millisecond), 20
		for range 13 {
			s.now = s.at
			for d.GatewayIndex = range 3 {
				if s.hasSlowStartCapacity(e, &activeRequest{class: 0}) {
					s.say("gateway %d has its turn; more work than its budget: %t", d.GatewayIndex, s.hasSlowStartCapacity(e, &activeRequest{class: 1}))
				}
			}
			s.at += 500 * Millisecond
		}
		s.say("warm: %t", !s.slowStart.isWarmingUp(e, s.now))
		return s
	},
	"cold beside warm": func() *script { // as many routers at a time as the budget has parts for a usual request, others' turns after them
		d := deployment()
		d.Gateways, d.WarmUpTime, d.CoresByKind = 5, 30*Second, []float64{16}
		s := start(d, "warm")
		s.pass(Second)
		s.list(PartialUpdate, Endpoint{Engine: "cold", Since: Second})
		s.pass(Second + tickInterval)
		e := &s.engines.items[1]
		s.estimates.classes[0].work, s.estimates.classes[0].requests = float64(300*Millisecond), 20
		for range 6 {
			s.now = s.at
			var turn []int
			for d.GatewayIndex = range 5 {
				if s.hasSlowStartCapacity(e, &activeRequest{class: 0}) {
					turn = append(turn, d.GatewayIndex)
				}
			}
			s.say("gateways %v have their turn", turn)
			s.at += d.WarmUpOverloadTime
		}
		d.GatewayIndex = 0
		for !s.hasSlowStartCapacity(e, &activeRequest{class: 0}) {
			s.now += d.WarmUpOverloadTime
		}
		sent := 0
		for ; s.hasSlowStartCapacity(e, &activeRequest{class: 0}); sent++ {
			e.slowStartUse.work += 300 * float64(Millisecond)
		}
		s.say("gateway 0 sends %d of 300 ms in its turn", sent)
		e.slowStartUse.work = 0
		s.say("a request of 1.5 s, above a part: %t beside a warm engine", s.hasSlowStartCapacity(e, &activeRequest{class: 0, estimate: Estimate{WorkP90: 1500 * Millisecond}}))
		return s
	},
	"no engine": func() *script { // held while there is a chance, then answered at once
		s := start(deployment())
		s.arrives("a", 0, 0, "")
		s.arrives("b", 2, 0, "")
		s.pass(3 * Second)
		return s
	},
	"deadline": func() *script { // a time-out at the deadline is answered at once; nothing after the client left
		s := start(deployment(), "e1")
		s.arrives("a", 2, 0, "")
		s.arrives("b", 0, 0, "")
		s.HandleDisconnect(s.at, "b")
		s.pass(10 * Second)
		s.end("b", Errored)
		s.end("a", TimedOut)
		return s
	},
	"failure score": func() *script { // a silent engine gets nothing, then trust fades back; all silent condemns none
		s := start(deployment(), "e1", "e2")
		s.pass(100 * Millisecond)
		for range 3 {
			s.probed("e1", TimedOut, NoReport)
		}
		for _, id := range []RequestID{"a", "b", "c"} {
			s.arrives(id, 0, 0, "")
		}
		for range 3 {
			s.probed("e2", TimedOut, NoReport)
		}
		s.pass(4 * Second)
		s.probed("e1", Served, Report{-1, 0.5, -1, -1})
		return s
	},
	"time-outs": func() *script { // incident: at zero they turn a router from a jammed engine, above it the bound does
		s := start(deployment(), "e1")
		e := &s.engines.items[0]
		for i, bound := range []float64{8, 0} {
			id := RequestID(fmt.Sprint("t", i))
			s.arrives(id, 0, 0, "")
			e.limit.bound = bound
			s.end(id, TimedOut)
			s.say("bound %g: failure score %.1f", bound, s.failureScore(e))
			e.limit.bound = 8
			s.HandleDisconnect(s.at, id)
			s.end(id, TimedOut)
		}
		return s
	},
	"reports": func() *script { // the same report twice is one sight; two steps need two reports
		s := start(deployment(), "e1")
		s.arrives("a", 0, 0, "")
		for _, u := range []float64{0.99, 0.99, 0.98} {
			s.pass(s.at + 200*Millisecond)
			s.probed("e1", Served, Report{-1, u, -1, -1})
		}
		return s
	},
	"probes": func() *script { // paid for by requests, one out at a time, no faster than reports are made
		s := start(deployment(), "e1")
		s.Controller.probes.credit = maxProbeCredit / 2
		s.probes = true
		s.pass(40 * Millisecond)
		s.probed("e1", Served, Report{-1, 0.5, -1, -1})
		s.pass(3 * Second)
		s.say("credit %.1f", s.Controller.probes.credit)
		s.arrives("a", 0, 0, "")
		s.arrives("b", 0, 0, "")
		s.probed("e1", Served, Report{-1, 0.6, -1, -1})
		s.arrives("c", 0, 0, "")
		return s
	},
	"bar": func() *script { // under overload what earns least for its work is given up when it comes
		s := start(deployment(), "e1")
		s.engines.items[0].limit.bound = 1
		s.estimates.updatePrices()
		s.arrives("a", 1, 800*Millisecond, "")
		s.arrives("held", 1, 800*Millisecond, "")
		s.pass(1560 * Millisecond)
		s.say("bar %.2f of the best class's price", s.pools.list[0].minPrice)
		s.arrives("short", 1, 800*Millisecond, "")
		s.arrives("long", 1, 60*Second, "")
		return s
	},
	"idle": func() *script { // what earns a hundredth for its work passes where nobody waits
		s := start(deployment(), "e1")
		s.answer(20, 100*Millisecond, 100*Millisecond)
		s.pass(s.at + Second)
		s.estimates.updatePrices()
		s.say("bar %.2f, price of the long one %.3f of the best", s.pools.list[0].minPrice, s.estimates.price(0, 10000*float64(Millisecond))/s.estimates.bestPrice)
		s.arrives("long", 0, 10*Second, "")
		return s
	},
	"estimates too high": func() *script { // incident: a class told twice its work is not shed for it
		s := start(deployment(), "e1")
		s.answer(20, 200*Millisecond, 100*Millisecond)
		s.say("price over that of the work told: %.2f", s.estimates.price(0, 1)/s.d.Classes[0].Weight)
		return s
	},
	"crowded": func() *script { // where answers tell work, idle cores under slow requests are no room
		d := deployment()
		d.ReportsCost = true
		s := start(d, "e1")
		e := &s.engines.items[0]
		s.probed("e1", Served, Report{-1, 0.4, -1, -1})
		s.say("busy share %.2f", s.estimates.reportedBusyShare(e.cores, e.load.report, e.load.utilization))
		for i := range 20 {
			id := RequestID(fmt.Sprint("t", i))
			s.HandleRequest(s.at, Request{ID: id, Deadline: s.at + 10*Second})
			s.at += 300 * Millisecond
			s.HandleAttemptEnd(s.at, AttemptResult{Request: id, Outcome: Served, Answered: true, Work: 100 * Millisecond, Report: NoReport})
		}
		s.out.Reset()
		s.say("busy share %.2f when requests take three times their work", s.estimates.reportedBusyShare(e.cores, e.load.report, e.load.utilization))
		return s
	},
	"hopeless": func() *script { // called off when by its progress it would end in a time-out
		d := deployment()
		d.SupportsCancel = true
		s := start(d, "e1", "e2")
		s.arrives("a", 1, 0, "")
		s.pass(Second)
		s.HandleNotice(s.at, "a", 0, ProgressNotice, 0.2)
		s.HandleNotice(s.at, "a", 0, ProgressNotice, 0.1)
		s.end("a", Cancelled)
		s.arrives("unrepeatable", 2, 0, "")
		s.pass(2 * Second)
		s.HandleNotice(s.at, "unrepeatable", 0, ProgressNotice, 0.01)
		return s
	},
	"errors": func() *script { // bad clients' requests fail everywhere, and make no engine distrusted
		s := start(deployment(), "e1")
		e := &s.engines.items[0]
		for _, how := range []Outcome{Errored, Lost} {
			s.arrives("a", 0, 0, "")
			s.end("a", how)
			s.say("failure score %.1f", s.failureScore(e))
			s.end("a", Errored)
			s.say("failure score %.1f", s.failureScore(e))
		}
		return s
	},
	"many gateways": func() *script { // a part far below a query: engines open by chance, seldom after long requests
		d := deployment()
		d.Gateways, d.SupportsProbes = 300, false
		var names []EngineID
		for i := range 200 {
			names = append(names, EngineID(fmt.Sprint("e", i)))
		}
		s := start(d, names...)
		s.say("bound %.3g", s.engines.items[0].limit.bound)
		show := func(why string) {
			n := 0
			for i := range s.engines.items {
				if s.hasRoom(&s.engines.items[i], &activeRequest{class: 1}, 1) {
					n++
				}
			}
			s.say("%s: of 200 engines %d are open", why, n)
		}
		s.estimates.meanWork = float64(600 * Millisecond)
		s.pass(tickInterval)
		show("a tick, half busy")
		s.at += 50 * tickInterval
		s.Tick(s.at)
		show("a stall of 50 ticks")
		s.estimates.meanBusyShare = 0.9
		show("the same, 0.9 busy")
		s.estimates.meanBusyShare, s.estimates.meanWork = 0.5, float64(6*Second)
		show("half busy, after requests of ten times the work")
		return s
	},
	"worth first": func() *script { // at zero too the dearest goes first, whatever its work
		d := deployment()
		d.Gateways, d.SupportsProbes = 300, false
		s := start(d, "e1", "e2", "e3")
		s.estimates.updatePrices()
		for i := range s.engines.items {
			s.engines.items[i].limit.chance = math.Inf(1)
		}
		s.arrives("short", 0, 0, "")
		s.arrives("dear", 1, 0, "")
		s.estimates.meanWork = 1
		s.pass(20 * Millisecond)
		return s
	},
	"silence": func() *script { // notes every 500 ms; one that stops is called off, and the request goes elsewhere
		d := deployment()
		d.NoticeInterval, d.SupportsCancel = 500*Millisecond, true
		s := start(d, "e1", "e2")
		s.engines.items[0].limit.bound, s.engines.items[1].limit.bound = 3, 3
		s.arrives("a", 1, 0, "")
		for _, at := range []Time{500, 1000} {
			s.pass(at * Millisecond)
			s.say("note on a: it spills")
			s.HandleNotice(s.at, "a", 0, SpillNotice, 10)
		}
		s.pass(1740 * Millisecond)
		s.say("nothing since the last note")
		s.pass(1760 * Millisecond)
		s.end("a", Cancelled)
		s.say("where nothing may be called off, a silent attempt runs to its timeout")
		d.SupportsCancel = false
		s.pass(3700 * Millisecond)
		return s
	},
	"step by time held": func() *script { // a query is the threads of attempts by their time at the engine
		s := start(deployment(), "e1")
		s.engines.items[0].limit.bound = 8
		s.say("step %.2f: the mean of the classes", s.estimates.querySlots())
		s.arrives("long", 1, 0, "")
		s.arrives("short", 0, 0, "")
		s.pass(100 * Millisecond)
		s.end("short", Served)
		s.pass(2 * Second)
		s.end("long", Served)
		s.say("step %.2f: nearer to the three threads held most of the time", s.estimates.querySlots())
		return s
	},
	"held at zero": func() *script { // an engine that tells held queries lets one in at zero while it has room
		d := deployment()
		d.Gateways = 300
		s := start(d, "e1")
		s.HandleAttemptEnd(0, AttemptResult{Request: "none", Outcome: Served, Answered: true, Report: NoReport})
		s.engines.items[0].load.report, s.engines.items[0].load.reportAt = Report{InFlight: 2, Utilization: -1, Memory: -1, Disks: -1}, 0
		s.engines.items[0].limit.chance = 1 // a draw that the chance of a pace would turn down
		s.say("e1 holds 2 queries on 4 cores, bound %.3g", s.engines.items[0].limit.bound)
		s.arrives("a", 0, 0, "")
		s.end("a", Served)
		s.engines.items[0].load.report, s.engines.items[0].load.reportAt = Report{InFlight: 9, Utilization: -1, Memory: -1, Disks: -1}, s.at
		s.engines.items[0].limit.chance = 1
		s.say("e1 holds 9 queries: full")
		s.arrives("b", 0, 0, "")
		return s
	},
	"memory for utilisation": func() *script { // without utilisation, the scarcer of memory and disks steps the bound
		s := start(deployment(), "e1")
		e := &s.engines.items[0]
		e.limit.bound, e.limit.running = 3, 3
		s.probed("e1", Served, Report{InFlight: -1, Utilization: -1, Memory: 0.97, Disks: 0.4})
		s.pass(2 * Second)
		s.probed("e1", Served, Report{InFlight: -1, Utilization: -1, Memory: 0.2, Disks: 0.3})
		return s
	},
	"ranks": func() *script { // by value for work
		d := deployment()
		d.SupportsRanks = true
		s := start(d, "e1")
		s.estimates.updatePrices()
		for class, id := range []RequestID{"l0", "l1", "l2"} {
			s.arrives(id, class, 0, "")
		}
		return s
	},
}

func TestScripts(t *testing.T) {
	for name, run := range scripts {
		t.Run(name, func(t *testing.T) {
			file, got := "testdata/"+name+".txt", run().out.String()
			if *keep {
				if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			if got != string(want) {
				t.Errorf("trace differs\ngot:\n%s\nkept:\n%s", got, want)
			}
			if again := run().out.String(); again != got {
				t.Errorf("the same events gave another trace:\n%s", again)
			}
		})
	}
}

// A gateway that hears nothing decides as one that has never had peers: every kept trace is the same, but for what it tells.
func TestHearsNothing(t *testing.T) {
	told := regexp.MustCompile(`(?m)^ *[0-9.]+ ms    -> tell peers of .*\n`)
	for name, run := range scripts {
		want, err := os.ReadFile("testdata/" + name + ".txt")
		if err != nil {
			t.Fatal(err)
		}
		everyPeers = true
		got := run().out.String()
		everyPeers = false
		if told.ReplaceAllString(got, "") != told.ReplaceAllString(string(want), "") {
			t.Errorf("%s: with peers that say nothing\n%s\nkept:\n%s", name, got, want)
		}
	}
}

// A long day: engines with new ids all day, some gone while a request is out there. What is kept stays small.
func TestLongDay(t *testing.T) {
	s := start(deployment())
	for n := range 5000 {
		name, id := EngineID(fmt.Sprint("e", n)), RequestID(fmt.Sprint("t", n))
		s.UpdateEndpoints(s.at, PartialUpdate, []Endpoint{{Engine: name}})
		s.HandleRequest(s.at, Request{ID: id, Deadline: s.at + 10*Second})
		s.HandleProbeResult(s.at, name, Served, Report{-1, 0.1, -1, -1})
		s.UpdateEndpoints(s.at, PartialUpdate, []Endpoint{{Engine: name, State: Gone}})
		s.HandleAttemptEnd(s.at, AttemptResult{Request: id, Outcome: Outcome(n % 9), Answered: n%9 == 0, Report: NoReport})
		s.pass(s.at + 2*Second)
	}
	if len(s.engines.items) > 4 || len(s.engines.byName) > 4 || len(s.requests.items) > 4 || len(s.requests.byID) > 0 || s.queues.waiting > 0 {
		t.Errorf("%d engines, %d names, %d places, %d requests, %d held", len(s.engines.items), len(s.engines.byName), len(s.requests.items),
			len(s.requests.byID), s.queues.waiting)
	}
}

// A router made from what one before it knew: classes, bounds, reports and failure score with their age; the retry budget and this turn at
// a cold engine as used up; an engine that was started since is new.
func ExampleController_RestoreSnapshot() {
	d := deployment()
	d.RetryBurst, d.RetryRatio, d.RetryWindow = 2, 0.1, 10*Second
	d.KeySettleTime = 2 * Second
	s := start(d, "e1", "e2")
	s.answer(30, 0, 120*Millisecond)
	s.UpdateEndpoints(s.at, PartialUpdate, []Endpoint{{Engine: "e3", Since: s.at}})
	s.probed("e1", Served, Report{-1, 0.2, -1, -1})
	s.probed("e2", Reset, NoReport)
	s.arrives("k", 3, 0, "key")
	s.end("k", TimedOut)
	b := s.TakeSnapshot(s.at).Encode()
	m, err := DecodeSnapshot(b)
	fmt.Print(s.out.String(), err, "\n")
	for _, later := range []Time{500 * Millisecond, 30 * Second} {
		n := &script{d: d, at: s.at + later}
		n.Controller = New(n.at, 8, d, n)
		n.RestoreSnapshot(n.at, m)
		n.UpdateEndpoints(n.at, FullUpdate, []Endpoint{{Engine: "e1", Since: s.at + 1}, {Engine: "e2"}, {Engine: "e3", Since: m.Engines[2].Since}})
		fmt.Printf("%v later: run %.0f ms by %.0f answers, retries allowed %t, key rests %t\n", ms(later), n.estimates.classes[0].runTime/10,
			n.estimates.classes[0].answers, n.retries.allows(n.now), n.keys.queues["key"].restsUntil > n.at)
		for i := range n.engines.items {
			e := &n.engines.items[i]
			fmt.Printf("  %s bound %.1f, failure score %.1f, busy %.2f, room while cold %t\n", e.Engine, e.limit.bound, n.failureScore(e), n.busyShare(e), !n.slowStart.isWarmingUp(e, n.now) || n.hasSlowStartCapacity(e, &activeRequest{}))
		}
	}
	if _, err := DecodeSnapshot([]byte(`{"Version":9}`)); err != nil {
		fmt.Println(err)
	}
	// Output:
	//   3600 ms  probe of e1: bound 8, failure score 0.0
	//   3600 ms  probe of e2: bound 8, failure score 1.5
	//   3600 ms  k arrives in class 3
	//   3600 ms    -> send k to e1, timeout 10000 ms
	//   3600 ms  k ends: timed out
	//   3600 ms    -> send k to e2, timeout 10000 ms, before 6600 ms
	// <nil>
	// 500 ms later: run 120 ms by 30 answers, retries allowed false, key rests true
	//   e1 bound 8.0, failure score 0.0, busy 0.44, room while cold true
	//   e2 bound 8.0, failure score 1.2, busy 0.44, room while cold true
	//   e3 bound 8.0, failure score 0.0, busy 0.44, room while cold false
	// 30000 ms later: run 120 ms by 21 answers, retries allowed true, key rests false
	//   e1 bound 8.0, failure score 0.0, busy 0.44, room while cold true
	//   e2 bound 8.0, failure score 0.0, busy 0.44, room while cold true
	//   e3 bound 8.0, failure score 0.0, busy 0.44, room while cold true
	// version 9 of the form, this program knows 1
}

func TestOrdinaryPathAllocatesNothing(t *testing.T) {
	d := deployment()
	d.SupportsRanks = true
	r := New(0, 1, d, quiet{})
	r.UpdateEndpoints(0, FullUpdate, []Endpoint{{Engine: "e1"}, {Engine: "e2"}})
	now := Time(0)
	round := func() {
		now += 5 * Millisecond
		r.HandleRequest(now, Request{ID: "a", Deadline: now + Second, Tables: 3, Estimate: Estimate{Work: 50 * Millisecond}})
		r.HandleRequest(now, Request{ID: "b", Deadline: now + Second, Class: 3, Key: "key", Tables: 3})
		r.Tick(now)
		r.HandleProbeResult(now, "e1", Served, Report{-1, float64(now%100) / 100, -1, -1})
		r.HandleAttemptEnd(now, AttemptResult{Request: "a", Outcome: Served, Answered: true, Report: NoReport})
		r.HandleAttemptEnd(now, AttemptResult{Request: "b", Outcome: Served, Answered: true, Report: NoReport})
	}
	round()
	if n := testing.AllocsPerRun(1000, round); n != 0 {
		t.Errorf("%v allocations a round", n)
	}
	if len(r.requests.byID) != 0 || len(r.keys.queues) != 0 {
		t.Errorf("%d requests and %d keys left", len(r.requests.byID), len(r.keys.queues))
	}
}

type quiet struct{}

func (quiet) SendAttempt(RequestID, EngineID, Time, Time)                {}
func (quiet) CancelAttempt(RequestID, int)                               {}
func (quiet) RejectRequest(RequestID, Time)                              {}
func (quiet) FailRequest(RequestID)                                      {}
func (quiet) SetAttemptTerms(RequestID, float64, int)                    {}
func (quiet) ProbeEngine(EngineID)                                       {}
func (quiet) SubscribeEndpoints()                                        {}
func (quiet) HasSlowStartCapacity(EngineID, float64) (room, shared bool) { return false, false }
func (quiet) ReportObservation(EngineID, Observation, Report, float64)   {}
func (quiet) ScheduleTick(Time)                                          {}
func (quiet) LogEvent(string)                                            {}

func ExampleController() {
	s := start(deployment(), "e1")
	s.arrives("t1", 0, 0, "")
	s.pass(80 * Millisecond)
	s.end("t1", Served)
	fmt.Print(s.out.String())
	// Output:
	//      0 ms  t1 arrives in class 0
	//      0 ms    -> send t1 to e1, timeout 10000 ms
	//     80 ms  t1 ends: served
}
