package resourcegroup

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"magpiebank/internal/admission"
)

// Whatever happens in whatever order, limits hold for each attempt, counts add up, and numbers are used again.
func TestLimitsHoldInAnyOrderOfEvents(t *testing.T) {
	flag.Set("rapid.seed", "7") // the same verdict every time
	rapid.Check(t, func(t *rapid.T) {
		plans := []*Plan{
			{Pools: northPool, Classes: []Class{{Name: "a", MaxThreads: 4, Pool: "n", MaxWaiting: 3}, {Name: "b", WorkMillisPerSecond: 200}}},
			{Pools: northPool, Classes: []Class{{Name: "a", MaxThreads: 2}, {Name: "c", MaxThreads: 8, Pool: "n"}}},
			{Classes: []Class{{Name: "c", MaxWaiting: 1}}}, {},
		}
		limiter, _ := New(0, plans[0], nil, []string{"norte", "sur"}, nil)
		type task struct {
			number  int
			threads float64
			out     bool
		}
		var requests []*task
		pick := func(inFlight bool) *task {
			var fit []*task
			for _, r := range requests {
				if r.out == inFlight {
					fit = append(fit, r)
				}
			}
			if len(fit) == 0 {
				t.Skip()
			}
			return rapid.SampledFrom(fit).Draw(t, "task")
		}
		drop := func(r *task) {
			for i := range requests {
				if requests[i] == r {
					requests = append(requests[:i], requests[i+1:]...)
					return
				}
			}
		}
		now := admission.Time(0)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				if n, r, _ := limiter.Admit(rapid.IntRange(0, 3).Draw(t, "class")); r == Admitted && n > 0 {
					requests = append(requests, &task{number: n, threads: float64(rapid.IntRange(1, 3).Draw(t, "threads"))})
				}
			},
			"send": func(t *rapid.T) {
				r := pick(false)
				c := &limiter.classes[r.number]
				if !limiter.AllowsAttempt(now, r.number, r.threads) {
					if c.MaxThreads == 0 && c.WorkMillisPerSecond == 0 {
						t.Fatal("closed without a limit")
					}
					return
				}
				if c.MaxThreads > 0 && c.inFlight > 0 && c.runningThreads+r.threads > min(c.threadLimit, c.MaxThreads) {
					t.Fatalf("%.0f threads and %.0f more under a limit of %.1f", c.runningThreads, r.threads, c.threadLimit)
				}
				limiter.BeginAttempt(r.number, r.threads, float64(rapid.IntRange(0, 500).Draw(t, "work")))
				r.out = true
			},
			"back": func(t *rapid.T) {
				r := pick(true)
				waits := rapid.Bool().Draw(t, "waits")
				limiter.EndAttempt(r.number, r.threads, 100, float64(rapid.IntRange(0, 500).Draw(t, "cost")), waits)
				if r.out = false; !waits {
					drop(r)
				}
			},
			"leave": func(t *rapid.T) { r := pick(false); limiter.EndWaiting(r.number); drop(r) },
			"pass":  func(t *rapid.T) { now += admission.Time(rapid.IntRange(0, 30000).Draw(t, "by")); limiter.Tick(now) },
			"renew": func(t *rapid.T) { limiter.ReplacePlan(now, rapid.SampledFrom(plans).Draw(t, "plan")) },
			"list": func(t *rapid.T) {
				endpoint := newEndpoint(fmt.Sprint("e", rapid.IntRange(0, 3).Draw(t, "engine")), rapid.IntRange(0, 1).Draw(t, "zone"))
				endpoint.State = admission.EndpointState(rapid.IntRange(0, 2).Draw(t, "state"))
				limiter.UpdateEndpoints(now, admission.PartialUpdate, []admission.Endpoint{endpoint})
			},
			"": func(t *rapid.T) {
				inFlight, waiting := make([]int, len(limiter.classes)), make([]int, len(limiter.classes))
				for _, r := range requests {
					if r.out {
						inFlight[r.number]++
					} else {
						waiting[r.number]++
					}
				}
				for n := range limiter.classes {
					c := &limiter.classes[n]
					if c.inFlight != inFlight[n] || c.waiting != waiting[n] || c.runningThreads < 0 || c.inFlight == 0 && c.runningThreads != 0 || c.threadLimit > c.MaxThreads {
						t.Fatalf("number %d: %+v, %d out, %d waiting", n, c, inFlight[n], waiting[n])
					}
				}
				if len(limiter.classes) > 1+6 || len(limiter.pools) > 3 {
					t.Fatalf("%d numbers, %d pools", len(limiter.classes), len(limiter.pools))
				}
			},
		})
	})
}
