package experiment

import (
	"fmt"
	"math"
	"runtime"
	"slices"
	"sort"
	"syscall"
	"time"

	"magpiebank/internal/protocol/mysql"
	"magpiebank/internal/testbed/fake"
	"magpiebank/internal/testbed/load/arrival"
	"magpiebank/internal/testbed/load/client"
	"magpiebank/internal/testbed/load/stats"
)

// verdicts judges a run by its bounds.
func (r *Result) verdicts(e *Experiment, log *fake.ExecutionLog) {
	b, f := &e.Bounds, r.Figures
	f.RecordMissing(r.Scheduled - r.NotSent - r.Unknown)
	own := f.GeneratorDelayQuantile(0.99)
	word := "in time"
	if own > b.GeneratorDelay {
		word = "late"
	}
	r.judge("generator", own <= b.GeneratorDelay, "%s: its own delay is %v at p99 and %v at most; the bound is %v at p99; "+
		"waits for a connection under its limit %v at p99", word, own, f.GeneratorDelayQuantile(1), b.GeneratorDelay, f.QueueDelayQuantile(0.99))
	if b.QueueDelay > 0 {
		r.judge("connections", f.QueueDelayQuantile(0.99) <= b.QueueDelay, "waits for a connection under the limit are %v at p99, the bound is %v",
			f.QueueDelayQuantile(0.99), b.QueueDelay)
	}
	worst, second := 0.0, 0
	for i, want := range r.bySecond {
		var got int64
		if i < len(f.Seconds) {
			got = f.Seconds[i].Offered
		}
		if want > 0 {
			if off := math.Abs(float64(got-want)) / float64(want); off > worst {
				worst, second = off, i
			}
		}
	}
	offered := f.Total()
	off := math.Abs(float64(offered-r.Scheduled)) / math.Max(1, float64(r.Scheduled))
	r.judge("offered", off <= b.Offered && worst <= b.Offered, "%d of %d tasks of the schedule were offered; the worst second "+
		"(%d) misses by %.3f%%; %d not offered and %d unknown by the loss of workers", offered, r.Scheduled, second, 100*worst,
		r.NotSent, r.Unknown)
	allowed := map[string]bool{}
	for _, o := range b.Allow {
		switch o {
		case client.ConnectionLost:
			allowed[stats.ViolationConnectionLost] = true
		case client.TimedOut:
			allowed[stats.ViolationNoAnswer] = true
		case client.MalformedAnswer:
			allowed[stats.ViolationIncompleteRows] = true
		}
	}
	broken := ""
	kinds := make([]string, 0, len(f.Violations))
	for kind := range f.Violations {
		kinds = append(kinds, kind)
	}
	sort.Strings(kinds)
	for _, kind := range kinds {
		if !allowed[kind] {
			broken += fmt.Sprintf("; %s: %d (task %d first)", kind, f.Violations[kind], f.Examples[kind])
		}
	}
	r.judge("rules", broken == "", "one whole answer a task%s", broken)
	if log != nil && e.Installation != nil {
		twice, lanes := 0, map[string]bool{}
		for i, l := range e.Installation.Classes {
			lanes[e.Classes[i].Name] = l.Effect == "unrepeatable"
		}
		r.eachTask(e, func(t *arrival.Request) {
			if !lanes[e.Classes[t.Class].Name] {
				return
			}
			for try := 1; try <= e.Behavior.MaxAttempts; try++ {
				if got, ok := log.Find(wireID(e.Seed, t.Number, try)); ok && got.Starts > 1 {
					twice++
				}
			}
		})
		r.judge("effects", twice == 0, "%d tries of unrepeatable tasks began to run more than once", twice)
	}
	for _, g := range b.Goals {
		l := &f.Classes[e.laneIndex(g.Class)]
		if g.Quantile > 0 {
			got := l.Quantile(client.Served, g.Quantile)
			r.judge("goal "+g.Class, got <= g.Within, "p%g is %v, the goal %v", 100*g.Quantile, got, g.Within)
		}
		if g.Share > 0 {
			share := float64(l.Outcomes[client.Served].TotalCount()) / math.Max(1, float64(l.Offered))
			r.judge("goal "+g.Class, share >= g.Share, "%.2f%% delivered, the goal %.2f%%", 100*share, 100*g.Share)
		}
	}
	if b.CheckTruth && log != nil {
		r.compare(e, log)
	}
}

func wireID(seed int64, n uint64, try int) string {
	var b [16]byte
	return string(mysql.AppendID(b[:0], client.ID(seed, n, try)))
}

func (r *Result) eachTask(e *Experiment, f func(*arrival.Request)) {
	s, err := arrival.NewSchedule(&e.Shape, e.Classes, e.Seed, e.Length)
	if err != nil {
		return // it was made before
	}
	for t, ok := s.Next(); ok; t, ok = s.Next() {
		f(&t)
	}
}

// Comparison holds one class's reported latencies against the true ones.
type Comparison struct {
	Class    string `json:"lane"`
	Requests int    `json:"tasks"`
	Hidden   int    `json:"hidden"` // requests that a closed loop would not have sent
	Users    int    `json:"closed_loop_users"`
	Rows     []Row  `json:"rows"`
	Good     bool   `json:"good"`
}

// Row is one quantile of a comparison.
type Row struct {
	Quantile float64       `json:"quantile"` // 1: the longest
	Reported time.Duration `json:"reported_ns"`
	True     time.Duration `json:"true_ns"`
	Closed   time.Duration `json:"closed_loop_ns"` // what a closed loop would have reported
	Good     bool          `json:"good"`
}

type truthTask struct{ at, latency time.Duration }

// compare holds what the figures report against what the fakes' log says: an answer's latency is from the intended
// time to when its last byte left.
func (r *Result) compare(e *Experiment, log *fake.ExecutionLog) {
	r.truths = map[int][]truthTask{}
	unanswered := 0
	r.eachTask(e, func(t *arrival.Request) {
		for try := max(1, e.Behavior.MaxAttempts); try >= 1; try-- {
			got, ok := log.Find(wireID(e.Seed, t.Number, try))
			if !ok || got.AnsweredAt.IsZero() || got.Answer != "data" {
				continue
			}
			r.truths[t.Class] = append(r.truths[t.Class], truthTask{t.At, got.AnsweredAt.Sub(r.Began) - t.At})
			return
		}
		unanswered++
	})
	good := true
	for lane := range e.Classes {
		c := compareLane(&r.Figures.Classes[lane], r.truths[lane], &e.Bounds)
		good = good && c.Good
		r.Truth = append(r.Truth, c)
	}
	r.judge("truth", good, "reported quantiles against the true ones, within %g%% or %v; %d tasks have no true answer",
		100*e.Bounds.Truth, e.Bounds.TruthLeast, unanswered)
}

var compared = []float64{0.5, 0.9, 0.99, 0.999, 1}

func compareLane(l *stats.ClassMetrics, tasks []truthTask, b *Bounds) Comparison {
	c := Comparison{Class: l.Name, Requests: len(tasks), Good: int64(len(tasks)) == l.Outcomes[client.Served].TotalCount()}
	all := make([]time.Duration, len(tasks))
	for i, t := range tasks {
		all[i] = t.latency
	}
	slices.Sort(all)
	if c.Users = b.ClosedUsers; c.Users == 0 && len(tasks) > 1 {
		span := tasks[len(tasks)-1].at - tasks[0].at
		c.Users = max(1, int(math.Ceil(float64(len(tasks))/span.Seconds()*exact(all, 0.5).Seconds())))
	}
	closed := closedLoop(tasks, c.Users)
	c.Hidden = len(tasks) - len(closed)
	slices.Sort(closed)
	for _, q := range compared {
		row := Row{Quantile: q, Reported: l.Quantile(client.Served, q), True: exact(all, q), Closed: exact(closed, q)}
		slack := max(b.TruthLeast, time.Duration(b.Truth*float64(row.True)))
		row.Good = (row.Reported - row.True).Abs() <= slack
		c.Good = c.Good && row.Good
		c.Rows = append(c.Rows, row)
	}
	return c
}

// closedLoop gives the latencies that would have been seen by so many users who each send their next request only when the
// last is answered: whatever was due meanwhile they'd never have sent.
func closedLoop(tasks []truthTask, users int) (seen []time.Duration) {
	busy := make([]time.Duration, max(1, users))
	for _, t := range tasks {
		for u := range busy {
			if busy[u] <= t.at {
				busy[u] = t.at + t.latency
				seen = append(seen, t.latency)
				break
			}
		}
	}
	return seen
}

// exact is a quantile of sorted times: the one whose rank is the share of their number, rounded, as histograms have it.
func exact(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, max(0, int(q*float64(len(sorted))+0.5)-1))]
}

func usage() (p Process) {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) == nil {
		p.CPU = time.Duration(u.Utime.Nano() + u.Stime.Nano())
		p.PeakKB = u.Maxrss
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	p.Mallocs, p.AllocBytes = m.Mallocs, m.TotalAlloc
	return p
}

func (p Process) since(q Process) Process {
	return Process{p.CPU - q.CPU, p.PeakKB, p.Mallocs - q.Mallocs, p.AllocBytes - q.AllocBytes}
}
