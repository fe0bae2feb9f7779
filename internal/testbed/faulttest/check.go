package faulttest

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"magpiebank/internal/cluster/healthreport"
	"magpiebank/internal/cluster/history"
	"magpiebank/internal/testbed/fake"
)

// slack is how far an age that was told may be off: the steps in which ages are told, a tenth of the longest age for clocks that run
// a twentieth off on both sides, and the spread of the links.
const slack = int64(1500 * time.Millisecond)

// use is the longest that evidence counts anywhere.
const use = int64(healthreport.ConfirmedFailureLifetime * 1e5)

// totals are what budgets had for totals, under which numbers, and from when on.
type totals struct {
	of      map[string][]total
	since   map[uint64]map[string]int64 // by number: by replica, when it first went by it
	keepers []string
	lowered int64
}

type total struct {
	number uint64
	amount int
}

func readTotals(events []history.Event, keepers []string, lowered time.Duration) *totals {
	t := &totals{map[string][]total{}, map[uint64]map[string]int64{}, keepers, int64(lowered)}
	for i := range events {
		e := &events[i]
		if e.Kind != history.TotalChanged {
			continue
		}
		if !slices.Contains(t.of[e.Code], total{e.Of, e.Number}) {
			t.of[e.Code] = append(t.of[e.Code], total{e.Of, e.Number})
		}
		if t.since[e.Of] == nil {
			t.since[e.Of] = map[string]int64{}
		}
		if _, ok := t.since[e.Of][e.Process]; !ok && slices.Contains(keepers, e.Process) {
			t.since[e.Of][e.Process] = e.At
		}
	}
	return t
}

// allowed is the most that may be in use of a budget at a time: the highest total of numbers that may still be gone by.
func (t *totals) allowed(code string, at int64) (most int) {
	least := uint64(0)
	for number, began := range t.since {
		n := 0
		for _, b := range began {
			if b+t.lowered <= at {
				n++
			}
		}
		if 2*n > len(t.keepers) {
			least = max(least, number)
		}
	}
	for _, o := range t.of[code] {
		if o.number >= least {
			most = max(most, o.amount)
		}
	}
	return most
}

// CheckEngines holds the loads that the engines themselves say run against the total of threads. What a gateway gave up, and the engine
// couldn't hear of it, still runs there: a scenario in which engines are out of reach, or stand still, is not read.
func CheckEngines(s *Scenario, runs []fake.RunningChange, began time.Time, zero int64, t *totals) (out []string) {
	if s.Limits.Threads == 0 || slices.ContainsFunc(s.Steps, func(k Step) bool {
		return k.Action == "engine" && k.EngineState != "gone" && k.EngineState != "drains" || slices.ContainsFunc(slices.Concat(k.To, k.From), func(n string) bool { return n == "*" || strings.HasPrefix(n, "e") })
	}) {
		return nil
	}
	n := 0
	for _, r := range runs {
		if r.Class != "load" {
			continue
		}
		n += r.Delta
		if most := t.allowed("loads threads", zero+int64(r.At.Sub(began))); n > most {
			out = append(out, fmt.Sprintf("%.3f s: engines: %d loads run there, of %d that may", r.At.Sub(began).Seconds(), n, most))
		}
	}
	return out
}

// CheckQuotas reads a merged history for what all processes use of each budget at every instant. What a process that died had
// counts until it would have ended: nobody else may use it before. A total that was lowered counts a stated time after a majority of
// the replicas first went by its number; until then the larger counts.
func CheckQuotas(events []history.Event, totals *totals) (out []string) {
	type owner struct {
		name  string
		start uint64
		code  string
	}
	type use struct {
		amount int
		until  int64
	}
	uses, rates := map[owner][]use{}, map[owner]use{}
	for i := range events {
		e := &events[i]
		k := owner{e.Process, e.Start, e.Code}
		switch e.Kind {
		case history.BudgetUsed:
			uses[k] = append(uses[k], use{e.Number, e.At + e.ValidNanos})
		case history.RateGranted:
			rates[k] = use{e.Number, e.At + e.ValidNanos}
		case history.BudgetReleased:
			first := -1
			for n, u := range uses[k] {
				if u.amount == e.Number && (first < 0 || u.until < uses[k][first].until) {
					first = n
				}
			}
			if first >= 0 {
				uses[k] = append(uses[k][:first], uses[k][first+1:]...)
			}
			continue
		default:
			continue
		}
		sum := 0
		for o, list := range uses {
			for _, u := range list {
				if o.code == e.Code && u.until > e.At {
					sum += u.amount
				}
			}
		}
		for o, u := range rates {
			if o.code == e.Code && u.until > e.At {
				sum += u.amount
			}
		}
		if most := totals.allowed(e.Code, e.At); sum > most {
			out = append(out, fmt.Sprintf("%.3f s, %s: budget: %d of %s are in use by all together, of %d", float64(e.At-events[0].At)/1e9, e.Process, sum, e.Code, most))
		}
	}
	return out
}

// Check reads a merged history for what must hold at every instant, whatever was lost, doubled, late, stopped or killed. It knows
// nothing of the code: only what processes wrote down. What was heard is dated as of when it was written down, so late tells what
// holds but for a process that is woken later than slack.
func Check(events []history.Event) (broken, late []string) {
	type process struct {
		name  string
		start uint64
	}
	type sight struct {
		process
		engine string
		since  int64
	}
	type view struct {
		share  float64
		listed map[string]int64
		starts map[string]uint64           // the latest start of each member
		heard  map[string]map[string]int64 // by engine: by gateway, when its evidence of failure was last taken in
		out    map[string]int64            // engines that hearsay holds something against, and until when
	}
	failed, began := map[sight][]int64{}, map[process]process{} // by the start that one goes by: the one that it began with
	for _, e := range events {
		if e.Kind == history.OutcomeObserved && !e.Success {
			k := sight{process{e.Process, e.Start}, e.Engine, e.EngineStart}
			failed[k] = append(failed[k], e.At)
		} else if e.Kind == history.StartChanged {
			began[process{e.Process, e.Of}] = process{e.Process, e.Start}
		}
	}
	first := int64(math.MaxInt64)
	if len(events) > 0 {
		first = events[0].At
	}
	views := map[process]*view{}
	text := func(e *history.Event, format string, args ...any) string {
		return fmt.Sprintf("%.3f s, %s: %s", float64(e.At-first)/1e9, e.Process, fmt.Sprintf(format, args...))
	}
	for i := range events {
		e := &events[i]
		v := views[process{e.Process, e.Start}]
		if v == nil {
			v = &view{listed: map[string]int64{}, starts: map[string]uint64{}, heard: map[string]map[string]int64{}, out: map[string]int64{}}
			views[process{e.Process, e.Start}] = v
		}
		switch e.Kind {
		case history.ProcessStarted:
			v.share = float64(e.Number) / 1000
		case history.EngineListed:
			if e.State == "gone" {
				delete(v.listed, e.Engine)
			} else {
				v.listed[e.Engine] = e.EngineStart
			}
			delete(v.heard, e.Engine)
			delete(v.out, e.Engine)
		case history.AttemptSent:
			if _, ok := v.listed[e.Engine]; !ok {
				broken = append(broken, text(e, "list: a hand-off went to %s, which its own list doesn't name", e.Engine))
			}
		case history.MemberChanged:
			if e.Code == "displaced" {
				break
			}
			if e.Of < v.starts[e.Member] {
				broken = append(broken, text(e, "start: %s under start %d is %s, after start %d was known", e.Member, e.Of, e.Code, v.starts[e.Member]))
			}
			v.starts[e.Member] = max(v.starts[e.Member], e.Of)
		case history.PeerOutcomeReceived:
			if e.Of < v.starts[e.Member] {
				broken = append(broken, text(e, "start: evidence of %s under start %d was taken in, after start %d was known", e.Member, e.Of, v.starts[e.Member]))
			}
			if since, ok := v.listed[e.Engine]; !ok || since != e.EngineStart {
				broken = append(broken, text(e, "engine's start: evidence on %s of start %d was taken in, its own list has %d", e.Engine, e.EngineStart, since))
			}
			if e.Success {
				break
			}
			if v.heard[e.Engine] == nil {
				v.heard[e.Engine] = map[string]int64{}
			}
			v.heard[e.Engine][e.Member] = e.At
			at, own, teller := e.At-e.AgeNanos, false, process{e.Member, e.Of}
			if b, ok := began[teller]; ok {
				teller = b
			}
			for _, saw := range failed[sight{teller, e.Engine, e.EngineStart}] {
				own = own || at >= saw-slack && at <= saw+slack
			}
			if !own {
				late = append(late, text(e, "evidence: %s is said to have failed at %s some %.1f s ago, and wrote down no such failure", e.Member, e.Engine, float64(e.AgeNanos)/1e9))
			}
		case history.EngineAssessed:
			witnesses := 0
			for _, at := range v.heard[e.Engine] {
				if e.ObservedAt-at <= use+slack {
					witnesses++
				}
			}
			for _, saw := range failed[sight{process{e.Process, e.Start}, e.Engine, e.EngineStart}] {
				if e.ObservedAt-saw <= use+slack && saw <= e.At {
					witnesses++ // its own word counts beside others'
					break
				}
			}
			if e.FailureScore > 0 && e.Number > witnesses || e.FailureScore > float64(e.Number)+1e-9 {
				late = append(late, text(e, "witnesses: %.2f is held against %s by %d witnesses, and %d were heard", e.FailureScore, e.Engine, e.Number, witnesses))
			}
			if delete(v.out, e.Engine); e.FailureScore > 0 {
				v.out[e.Engine] = e.ObservedAt + e.ValidNanos // the decisions let it end by their own clock, however late they hear of it
			}
			n := 0
			for _, until := range v.out {
				if until > e.At {
					n++
				}
			}
			if most := max(1, int(v.share*float64(len(v.listed)))); n > most {
				late = append(late, text(e, "part: hearsay holds something against %d engines at a time, of %d at most %d", n, len(v.listed), most))
			}
		}
	}
	return broken, late
}

// CheckCounts holds what processes read of the fleet's counts against what each of them wrote down of its own: as of the instant of a
// reading the true sum must lie in its interval. A process that was killed has nothing from its last word on; as nobody can know that,
// what it had last may count or not. Nor is a process counted of which another has the name, though it may still serve.
func CheckCounts(events []history.Event) (out []string) {
	type owner struct {
		name  string
		start uint64
	}
	type point struct {
		at int64
		of [2]int
	}
	truth, last, ended := map[owner][]point{}, map[owner]int64{}, map[owner]bool{}
	var owners []owner
	for i := range events {
		e := &events[i]
		k := owner{e.Process, e.Start}
		if last[k] = e.At; e.Kind == history.ProcessStopped {
			ended[k] = true
		}
		if e.Kind == history.RequestsCounted {
			if truth[k] == nil {
				owners = append(owners, k)
			}
			truth[k] = append(truth[k], point{e.At, [2]int{e.Number, e.High}})
		}
	}
	// A count is written down some time after it changed; a reading's age is by a clock that runs up to a twentieth off.
	const written = int64(30 * time.Millisecond)
	for i := range events {
		e := &events[i]
		if e.Kind != history.CountersRead {
			continue
		}
		figure := btoi(e.Code == "runs")
		at := e.At - e.AgeNanos
		spread := written + e.AgeNanos/18
		least, most := 0, 0
		for _, k := range owners {
			list := truth[k]
			n, _ := slices.BinarySearchFunc(list, at-spread, func(p point, at int64) int { return int(max(-1, min(1, p.at-at))) })
			low, high := math.MaxInt, 0
			see := func(v int) { low, high = min(low, v), max(high, v) }
			if n == 0 {
				see(0)
			} else {
				see(list[n-1].of[figure])
			}
			for ; n < len(list) && list[n].at <= at+spread; n++ {
				see(list[n].of[figure])
			}
			later := slices.ContainsFunc(owners, func(o owner) bool { return o.name == k.name && o.start > k.start })
			if later || ended[k] && at+spread >= last[k] || !ended[k] && at+spread >= last[k]-int64(time.Second) {
				see(0)
			}
			least, most = least+low, most+high
		}
		if e.Number > most || e.High >= 0 && e.High < least {
			out = append(out, fmt.Sprintf("%.3f s, %s: count: as of %.3f s ago %d to %d tasks were read that %s, in truth %d to %d", float64(e.At-events[0].At)/1e9, e.Process,
				float64(e.AgeNanos)/1e9, e.Number, e.High, e.Code[:len(e.Code)-1], least, most))
		}
	}
	return out
}
