package resourcegroup

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"magpiebank/internal/admission"
	"magpiebank/internal/query/costmodel"
)

var keep = flag.Bool("keep", false, "write the kept traces anew")

const ms, second = admission.Millisecond, admission.Second

// script plays a desk and the decisions together, and writes down what happens.
type script struct {
	*admission.Controller
	desk  *Limiter
	at    admission.Time
	out   strings.Builder
	class map[admission.RequestID]int // of tasks in hand
	sent  map[admission.RequestID]bool
}

func (s *script) say(format string, args ...any) {
	fmt.Fprintf(&s.out, "%6d ms  %s\n", s.at/ms, fmt.Sprintf(format, args...))
}

func (s *script) SendAttempt(t admission.RequestID, e admission.EngineID, _, _ admission.Time) {
	s.say("  -> hand %s to %s", t, e)
	if n := s.class[t]; n > 0 {
		s.desk.BeginAttempt(n, 2, 100)
	}
	s.sent[t] = true
}
func (s *script) RejectRequest(t admission.RequestID, _ admission.Time) { s.over(t, "nack") }
func (s *script) FailRequest(t admission.RequestID)                     { s.over(t, "write off") }
func (s *script) over(t admission.RequestID, how string) {
	s.say("  -> %s %s", how, t)
	if n := s.class[t]; n > 0 && !s.sent[t] {
		s.desk.EndWaiting(n)
	}
	delete(s.class, t)
}
func (s *script) CancelAttempt(admission.RequestID, int)            {}
func (s *script) SetAttemptTerms(admission.RequestID, float64, int) {}
func (s *script) ProbeEngine(admission.EngineID)                    {}
func (s *script) ReportObservation(admission.EngineID, admission.Observation, admission.Report, float64) {
}
func (s *script) SubscribeEndpoints() {}
func (s *script) HasSlowStartCapacity(admission.EngineID, float64) (room, shared bool) {
	return false, false
}
func (s *script) ScheduleTick(admission.Time) {}
func (s *script) LogEvent(text string)        { s.say("  -> log: %s", text) }

func engine(name string, zone int) admission.Endpoint {
	return admission.Endpoint{Engine: admission.EngineID(name), Zone: zone}
}

// begin starts with engines a1 and a2 in zone 0 and b1 in zone 1, and a plan.
func begin(p *Plan) *script {
	s := &script{class: map[admission.RequestID]int{}, sent: map[admission.RequestID]bool{}}
	var err error
	if s.desk, err = New(0, p, []float64{4}, []string{"norte", "sur"}, []string{"std"}); err != nil {
		panic(err)
	}
	s.Controller = admission.New(0, 7, &admission.Deployment{Gateways: 1, CoresByKind: []float64{4}, MaxAttempts: 4, Classes: []admission.Class{
		{Threads: 2, LatencyObjective: 2 * second, Weight: 1}, {Threads: 2, LatencyObjective: 2 * second, Weight: 3}}}, s)
	s.SetPolicy(s.desk)
	s.list(admission.CachedUpdate, engine("a1", 0), engine("a2", 0), engine("b1", 1))
	return s
}

func (s *script) list(form admission.UpdateKind, l ...admission.Endpoint) {
	s.desk.UpdateEndpoints(s.at, form, l)
	s.UpdateEndpoints(s.at, form, l)
}

func (s *script) tell(name string, zone int, state admission.EndpointState) {
	l := engine(name, zone)
	l.State = state
	s.say("%s is %s", name, [...]string{"live", "draining", "gone"}[state])
	s.list(admission.PartialUpdate, l)
}

func (s *script) pass(t admission.Time) {
	for s.at+20*ms <= t {
		s.at += 20 * ms
		s.desk.Tick(s.at)
		s.Tick(s.at)
	}
	s.at = t
}

// task brings one of the plan's n-th class.
func (s *script) task(id admission.RequestID, n int) {
	s.say("%s arrives, class %d of the plan", id, n)
	number, ruling, text := s.desk.Admit(n)
	switch ruling {
	case Rejected:
		s.say("  -> refuse: %s", text)
		return
	case OverCapacity:
		s.say("  -> nack, crowded")
		return
	}
	s.class[id] = number
	s.HandleRequest(s.at, admission.Request{ID: id, Deadline: s.at + 10*second, Estimate: admission.Estimate{PolicyClass: number}})
}

func (s *script) end(id admission.RequestID, how admission.Outcome, cost float64) {
	s.say("%s ends: %s", id, map[admission.Outcome]string{admission.Served: "delivered", admission.Reset: "reset"}[how])
	if n := s.class[id]; n > 0 {
		s.desk.EndAttempt(n, 2, 100, cost, how != admission.Served)
	}
	s.sent[id] = false
	s.HandleAttemptEnd(s.at, admission.AttemptResult{Request: id, Outcome: how, Answered: how == admission.Served, Report: admission.NoReport})
	if how == admission.Served {
		delete(s.class, id)
	}
}

func (s *script) states() {
	for _, c := range s.desk.ClassStates() {
		s.say("class %s: retired %t, limit %.1f, running %.0f, out %d, waiting %d", c.Name, c.Retired, c.ThreadLimit, c.RunningThreads, c.InFlight, c.Waiting)
	}
}

func (s *script) renew(p *Plan) {
	if err := s.desk.ReplacePlan(s.at, p); err != nil {
		s.say("kept: %v", err)
		return
	}
	s.say("renewed")
}

var norte = []Pool{{Name: "n", Zones: []string{"norte"}}}

var scripts = map[string]func() *script{
	"limit": func() *script { // two of a class at a time, then in order; a third that waits is nacked at once
		s := begin(&Plan{Classes: []Class{{Name: "scan", MaxThreads: 4, MaxWaiting: 2}}})
		for _, id := range []admission.RequestID{"t1", "t2", "t3", "t4", "t5"} {
			s.task(id, 1)
		}
		s.task("other", 0)
		s.end("t1", admission.Served, 80)
		s.end("t2", admission.Reset, 0) // it waits again, ahead of the one that came later
		s.states()
		return s
	},
	"lowered": func() *script { // below what runs: nothing more goes out until enough has ended
		s := begin(&Plan{Classes: []Class{{Name: "scan", MaxThreads: 8}}})
		for _, id := range []admission.RequestID{"t1", "t2", "t3", "t4", "t5"} {
			s.task(id, 1)
		}
		s.renew(&Plan{Classes: []Class{{Name: "scan", MaxThreads: 4}}})
		s.states()
		for _, id := range []admission.RequestID{"t1", "t2", "t3"} {
			s.end(id, admission.Served, 80)
		}
		s.states()
		return s
	},
	"pool gone": func() *script { // its class waits and never leaves it, also again; nobody else is turned away for it
		s := begin(&Plan{Pools: norte, Classes: []Class{{Name: "scan", Pool: "n"}}})
		s.task("t1", 1)
		s.tell("a1", 0, admission.Draining)
		s.tell("a2", 0, admission.Gone)
		s.end("t1", admission.Reset, 0)
		s.task("t2", 1)
		s.task("free", 0)
		s.pass(1000 * ms)
		s.task("free2", 0)
		s.tell("a2", 0, admission.Live)
		s.pass(1500 * ms)
		s.end("t1", admission.Served, 80)
		s.tell("a2", 0, admission.Gone)
		s.task("t3", 1)
		s.pass(4 * second)
		s.states()
		return s
	},
	"limits by engines": func() *script { // down at once with the pool's engines, up again by steps
		s := begin(&Plan{Pools: norte, Classes: []Class{{Name: "scan", Pool: "n", MaxThreads: 16}}})
		s.states()
		s.tell("a1", 0, admission.Gone)
		s.states()
		s.tell("b1", 1, admission.Gone)
		s.tell("a1", 0, admission.Live)
		for range 5 {
			s.pass(s.at + second)
			s.states()
		}
		return s
	},
	"work a second": func() *script { // what costs more than foreseen is owed, what isn't used for a second is gone
		s := begin(&Plan{Classes: []Class{{Name: "scan", WorkMillisPerSecond: 150}}})
		s.pass(5 * second)
		for _, id := range []admission.RequestID{"t1", "t2", "t3"} {
			s.task(id, 1)
		}
		s.end("t1", admission.Served, 400)
		s.end("t2", admission.Served, 100)
		s.pass(8500 * ms)
		return s
	},
	"renewed": func() *script { // whole or not at all; what an older plan named stands until its tasks have ended
		s := begin(&Plan{Pools: norte, Classes: []Class{{Name: "scan", Pool: "n", MaxThreads: 2}, {Name: "never", RejectText: "a whole table"}}})
		s.task("t1", 1)
		s.task("t2", 1)
		s.task("t3", 2)
		s.renew(&Plan{Pools: []Pool{{Name: "n", Zones: []string{"oeste"}}}})
		s.renew(&Plan{Classes: []Class{{Name: "scan", Pool: "n"}}})
		s.renew(&Plan{Classes: []Class{{Name: "a"}, {Name: "a"}}})
		s.states()
		s.renew(&Plan{Classes: []Class{{Name: "new", MaxThreads: 6}}})
		s.task("t4", 1)
		s.states()
		s.end("t1", admission.Served, 80)
		s.end("t2", admission.Served, 80)
		s.pass(20 * ms)
		s.states()
		s.say("%d pools", len(s.desk.pools)-1)
		return s
	},
	"distrusted pool": func() *script { // what strikes all of a pool condemns none of it, though others are sound
		s := begin(&Plan{Pools: norte, Classes: []Class{{Name: "scan", Pool: "n"}}})
		for _, id := range []admission.RequestID{"t1", "t2", "t3", "t4"} {
			s.task(id, 1)
		}
		for _, id := range []admission.RequestID{"t1", "t2", "t3", "t4"} {
			s.end(id, admission.Reset, 0)
		}
		s.pass(200 * ms)
		return s
	},
}

func TestScripts(t *testing.T) {
	for name, play := range scripts {
		got := play().out.String()
		path := filepath.Join("testdata", name+".txt")
		if *keep {
			os.MkdirAll("testdata", 0o755)
			os.WriteFile(path, []byte(got), 0o644)
			continue
		}
		want, _ := os.ReadFile(path)
		if got != string(want) {
			t.Errorf("%s: expected\n%sgot\n%s", name, want, got)
		}
	}
}

func ExamplePlan_Classify() {
	yes, no := true, false
	p := &Plan{Classes: []Class{
		{Name: "never", Conditions: Conditions{FullScan: &yes, HasLimit: &no, Tables: []TablePattern{{"actas_*", "mesas"}}}},
		{Name: "dear", Conditions: Conditions{MinUpperMillis: 5000}},
		{Name: "loads", Conditions: Conditions{Verbs: []string{"load", "insert-select"}}},
		{Name: "look", Conditions: Conditions{RequestClasses: []string{"look"}, FullScan: &no}},
	}}
	for _, sql := range []string{"SELECT a FROM actas_3.mesas", "SELECT a FROM actas_3.mesas LIMIT 5", "SELECT a FROM actas_3.mesas ORDER BY a LIMIT 5",
		"SELECT a FROM actas_3.mesas m, actas_3.otra WHERE m.b = 1", "INSERT INTO actas_3.mesas SELECT * FROM staging.l", "SELECT 1"} {
		book := costmodel.NewModel(1<<20, 1, nil)
		for _, cost := range []float64{0, 20000} {
			s := book.Inspect([]byte(sql), 3, 0)
			for range 8 {
				book.Observe(&s, cost, 0)
			}
			n := p.Classify(&Subject{"look", s.Features(), book.Estimate(&s)})
			fmt.Printf("%d ", n)
		}
		fmt.Println(sql)
	}
	// Output:
	// 1 1 SELECT a FROM actas_3.mesas
	// 4 2 SELECT a FROM actas_3.mesas LIMIT 5
	// 0 2 SELECT a FROM actas_3.mesas ORDER BY a LIMIT 5
	// 0 2 SELECT a FROM actas_3.mesas m, actas_3.otra WHERE m.b = 1
	// 3 2 INSERT INTO actas_3.mesas SELECT * FROM staging.l
	// 4 2 SELECT 1
}

// Whatever comes in whatever order, limits hold at each hand-off, what is in hand adds up, and numbers are used again.
func TestAnyOrder(t *testing.T) {
	flag.Set("rapid.seed", "7") // the same verdict every time
	rapid.Check(t, func(t *rapid.T) {
		plans := []*Plan{
			{Pools: norte, Classes: []Class{{Name: "a", MaxThreads: 4, Pool: "n", MaxWaiting: 3}, {Name: "b", WorkMillisPerSecond: 200}}},
			{Pools: norte, Classes: []Class{{Name: "a", MaxThreads: 2}, {Name: "c", MaxThreads: 8, Pool: "n"}}},
			{Classes: []Class{{Name: "c", MaxWaiting: 1}}}, {},
		}
		d, _ := New(0, plans[0], nil, []string{"norte", "sur"}, nil)
		type task struct {
			number  int
			threads float64
			out     bool
		}
		var tasks []*task
		pick := func(out bool) *task {
			var fit []*task
			for _, k := range tasks {
				if k.out == out {
					fit = append(fit, k)
				}
			}
			if len(fit) == 0 {
				t.Skip()
			}
			return rapid.SampledFrom(fit).Draw(t, "task")
		}
		drop := func(k *task) {
			for i := range tasks {
				if tasks[i] == k {
					tasks = append(tasks[:i], tasks[i+1:]...)
					return
				}
			}
		}
		now := admission.Time(0)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				if n, r, _ := d.Admit(rapid.IntRange(0, 3).Draw(t, "class")); r == Admitted && n > 0 {
					tasks = append(tasks, &task{number: n, threads: float64(rapid.IntRange(1, 3).Draw(t, "threads"))})
				}
			},
			"send": func(t *rapid.T) {
				k := pick(false)
				c := &d.classes[k.number]
				if !d.AllowsAttempt(now, k.number, k.threads) {
					if c.MaxThreads == 0 && c.WorkMillisPerSecond == 0 {
						t.Fatal("closed without a limit")
					}
					return
				}
				if c.MaxThreads > 0 && c.inFlight > 0 && c.runningThreads+k.threads > min(c.threadLimit, c.MaxThreads) {
					t.Fatalf("%.0f threads and %.0f more under a limit of %.1f", c.runningThreads, k.threads, c.threadLimit)
				}
				d.BeginAttempt(k.number, k.threads, float64(rapid.IntRange(0, 500).Draw(t, "work")))
				k.out = true
			},
			"back": func(t *rapid.T) {
				k := pick(true)
				waits := rapid.Bool().Draw(t, "waits")
				d.EndAttempt(k.number, k.threads, 100, float64(rapid.IntRange(0, 500).Draw(t, "cost")), waits)
				if k.out = false; !waits {
					drop(k)
				}
			},
			"leave": func(t *rapid.T) { k := pick(false); d.EndWaiting(k.number); drop(k) },
			"pass":  func(t *rapid.T) { now += admission.Time(rapid.IntRange(0, 30000).Draw(t, "by")); d.Tick(now) },
			"renew": func(t *rapid.T) { d.ReplacePlan(now, rapid.SampledFrom(plans).Draw(t, "plan")) },
			"list": func(t *rapid.T) {
				l := engine(fmt.Sprint("e", rapid.IntRange(0, 3).Draw(t, "engine")), rapid.IntRange(0, 1).Draw(t, "zone"))
				l.State = admission.EndpointState(rapid.IntRange(0, 2).Draw(t, "state"))
				d.UpdateEndpoints(now, admission.PartialUpdate, []admission.Endpoint{l})
			},
			"": func(t *rapid.T) {
				out, waiting := make([]int, len(d.classes)), make([]int, len(d.classes))
				for _, k := range tasks {
					if k.out {
						out[k.number]++
					} else {
						waiting[k.number]++
					}
				}
				for n := range d.classes {
					c := &d.classes[n]
					if c.inFlight != out[n] || c.waiting != waiting[n] || c.runningThreads < 0 || c.inFlight == 0 && c.runningThreads != 0 || c.threadLimit > c.MaxThreads {
						t.Fatalf("number %d: %+v, %d out, %d waiting", n, c, out[n], waiting[n])
					}
				}
				if len(d.classes) > 1+6 || len(d.pools) > 3 {
					t.Fatalf("%d numbers, %d pools", len(d.classes), len(d.pools))
				}
			},
		})
	})
}

// What two plans both allow.
func ExampleIntersect() {
	a := &Plan{Pools: []Pool{{Name: "n", Zones: []string{"norte", "sur"}}, {Name: "o", Zones: []string{"norte"}}},
		Classes: []Class{{Name: "loads", MaxThreads: 8, Pool: "n"}, {Name: "reports", MaxWaiting: 9}, {Name: "gone", MaxThreads: 1}, {Name: "apart", Pool: "o"}}}
	b := &Plan{Pools: []Pool{{Name: "s", Zones: []string{"sur", "este"}}}, Classes: []Class{{Name: "reports", MaxThreads: 3, MaxWaiting: 5, RejectText: "not now"}, {Name: "loads", MaxThreads: 5, Pool: "s"},
		{Name: "apart", Pool: "s"}}}
	out := Intersect(a, b)
	for _, c := range out.Classes {
		fmt.Printf("%s: %g threads, %d waiting, pool %q, refuse %q\n", c.Name, c.MaxThreads, c.MaxWaiting, c.Pool, c.RejectText)
	}
	fmt.Println(out.Pools, out.Check([]string{"norte", "sur"}, nil))
	// Output:
	// loads: 5 threads, 0 waiting, pool "both of loads", refuse ""
	// reports: 3 threads, 5 waiting, pool "", refuse "not now"
	// gone: 1 threads, 0 waiting, pool "", refuse "its class is changing"
	// apart: 0 threads, 0 waiting, pool "", refuse "its engines are changing"
	// [{both of loads [sur] []}] <nil>
}
