package admission

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
)

var concurrencyScripts = map[string]func() *script{
	"steps": func() *script { // kvSlotAdjuster's rule: down, not down when idle, up when full, no step in between, lowest limit zero
		s := startScript(testDeployment(), "e1")
		e := &s.engines.items[0]
		for _, c := range []struct{ limit, running, signal float64 }{
			{6, 4, 2}, {6, 0, 2}, {6, 6, 1}, {6, 5, 1}, {6, 6, 1.5}, {1, 1, 3}, {0, 1, 3}, {0, 0, 0}} {
			e.concurrency.limit, e.concurrency.running = c.limit, c.running
			s.adjustSlots(e, c.signal, Second)
			s.record("signal %.2g, %g of %g in use: bound %.3g", c.signal, c.running, c.limit, e.concurrency.limit)
		}
		return s
	},
	"signals": func() *script { // from queries in flight, else from utilization, else from this gateway's own threads
		s := startScript(testDeployment(), "e1")
		e := &s.engines.items[0]
		show := func(why string) { s.record("%s: signal %.3g", why, s.loadSignal(e)) }
		s.clock, s.now = Second, Second
		e.load.reportAt, e.load.report = s.clock, Report{8, -1, -1, -1}
		show("8 held on 4 cores, 1.75 threads each")
		for _, u := range []float64{0.95, 0.6, 0.3} {
			e.load.report, e.load.utilization = Report{-1, u, -1, -1}, u
			show(fmt.Sprintf("utilisation %.2f", u))
		}
		e.load.utilization, e.concurrency.running, s.pools.list[0].shortageAt = 0.6, 4, s.clock
		show("utilisation 0.60 while requests are given up for want of room")
		e.concurrency.running = 8
		show("the same with two threads of ours a core")
		e.load.report, e.concurrency.running = Report{3.5, -1, -1, -1}, 4
		show("3.5 held on 4 cores, 4 threads of ours, while requests are given up")
		s.pools.list[0].shortageAt = 0
		show("the same while none is given up")
		e.concurrency.running = 8
		s.now += staleReportAge
		show("no report, 8 threads of ours")
		return s
	},
	"chance at zero": func() *script { // at a limit of zero, one query is sent with a probability of 1/gateways per tick
		d := testDeployment()
		d.Gateways = 4
		s := startScript(d, "e1")
		s.engines.items[0].concurrency.limit = 0
		s.sendRequest("a", 1, 0, "")
		s.sendRequest("b", 1, 0, "")
		s.advanceTo(400 * Millisecond)
		return s
	},
	"many gateways": func() *script { // limits far below one query: few engines admit one, and fewer after long requests
		d := testDeployment()
		d.Gateways, d.SupportsProbes = 300, false
		var names []EngineID
		for i := range 200 {
			names = append(names, EngineID(fmt.Sprint("e", i)))
		}
		s := startScript(d, names...)
		s.record("bound %.3g", s.engines.items[0].concurrency.limit)
		show := func(why string) {
			n := 0
			for i := range s.engines.items {
				if s.hasCapacity(&s.engines.items[i], &activeRequest{class: 1}, 1) {
					n++
				}
			}
			s.record("%s: of 200 engines %d are open", why, n)
		}
		s.estimates.meanWork = float64(600 * Millisecond)
		s.advanceTo(tickInterval)
		show("a tick, half busy")
		s.clock += 50 * tickInterval
		s.Tick(s.clock)
		show("a stall of 50 ticks")
		s.estimates.meanBusyShare = 0.9
		show("the same, 0.9 busy")
		s.estimates.meanBusyShare, s.estimates.meanWork = 0.5, float64(6*Second)
		show("half busy, after requests of ten times the work")
		return s
	},
	"step by time held": func() *script { // one query counts as the mean threads of attempts, weighted by run time
		s := startScript(testDeployment(), "e1")
		s.engines.items[0].concurrency.limit = 8
		s.record("step %.2f: the mean of the classes", s.estimates.querySlots())
		s.sendRequest("long", 1, 0, "")
		s.sendRequest("short", 0, 0, "")
		s.advanceTo(100 * Millisecond)
		s.endAttempt("short", Served)
		s.advanceTo(2 * Second)
		s.endAttempt("long", Served)
		s.record("step %.2f: nearer to the three threads held most of the time", s.estimates.querySlots())
		return s
	},
	"held at zero": func() *script { // at a limit near zero, an engine that reports queries in flight gets one while it has capacity
		d := testDeployment()
		d.Gateways = 300
		s := startScript(d, "e1")
		s.HandleAttemptEnd(0, AttemptResult{Request: "none", Outcome: Served, Answered: true, Report: NoReport})
		s.engines.items[0].load.report, s.engines.items[0].load.reportAt = Report{InFlight: 2, Utilization: -1, Memory: -1, Disks: -1}, 0
		s.engines.items[0].concurrency.randomFactor = 1 // with a finite admission rate, this factor would prevent the query
		s.record("e1 holds 2 queries on 4 cores, bound %.3g", s.engines.items[0].concurrency.limit)
		s.sendRequest("a", 0, 0, "")
		s.endAttempt("a", Served)
		s.engines.items[0].load.report, s.engines.items[0].load.reportAt = Report{InFlight: 9, Utilization: -1, Memory: -1, Disks: -1}, s.clock
		s.engines.items[0].concurrency.randomFactor = 1
		s.record("e1 holds 9 queries: full")
		s.sendRequest("b", 0, 0, "")
		return s
	},
	"memory for utilisation": func() *script { // without a report on cores, the scarcer of memory and disks steps the limit
		s := startScript(testDeployment(), "e1")
		e := &s.engines.items[0]
		e.concurrency.limit, e.concurrency.running = 3, 3
		s.endProbe("e1", Served, Report{InFlight: -1, Utilization: -1, Memory: 0.97, Disks: 0.4})
		s.advanceTo(2 * Second)
		s.endProbe("e1", Served, Report{InFlight: -1, Utilization: -1, Memory: 0.2, Disks: 0.3})
		return s
	},
}

func TestSlotAdjusterSteps(t *testing.T) {
	tests := []struct {
		name           string
		limit, running float64
		signal         float64
		want           float64
	}{
		{"down at the threshold", 4, 1, loadThreshold, 2.5},
		{"not below zero", 1, 1, 2 * loadThreshold, 0},
		{"not down while nothing runs", 4, 0, loadThreshold, 4},
		{"up at half of the threshold with every slot in use", 4, 4, loadThreshold / 2.0, 5.5},
		{"not up with a free slot", 4, 3, 0, 4},
		{"still between", 4, 4, 0.75 * loadThreshold, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := slotAdjuster{deployment: &Deployment{Gateways: 1}, random: rand.New(rand.NewSource(1))}
			l := concurrencyState{limit: test.limit, running: test.running}
			a.adjust(&l, test.signal, 1.5, Second, 7*Second)
			if l.limit != test.want {
				t.Errorf("limit %g, want %g", l.limit, test.want)
			}
			if l.steppedAt != 7*Second {
				t.Errorf("stepped at %d, want %d", l.steppedAt, 7*Second)
			}
		})
	}
}

func TestAdmissionRateDependsOnReportAndBusyShare(t *testing.T) {
	tests := []struct {
		name      string
		report    Report
		busyShare float64
		want      float64
	}{
		{"cores alone", Report{-1, 0.5, -1, -1}, 0.5, 2.5},
		{"memory and disks beside", Report{-1, 0.5, 0.5, 0.5}, 0.5, 8 * 0.5 / 0.6},
		{"no pace while queries in flight tell room", Report{4, -1, -1, -1}, 0.5, math.Inf(1)},
		{"the least where queries in flight tell none", Report{9, -1, -1, -1}, 1, 0.06},
		{"the least where it is full", Report{-1, 1, -1, -1}, 1, 0.06},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := admissionRate(test.report, test.busyShare); math.Abs(got-test.want) > 1e-9 && got != test.want {
				t.Errorf("rate %g, want %g", got, test.want)
			}
		})
	}
}
