package main

import (
	"fmt"
	"io"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"magpiebank/internal/testbed/fake"
	"magpiebank/internal/testbed/installation"
	"magpiebank/internal/testbed/load/arrival"
	"magpiebank/internal/testbed/load/classification"
	"magpiebank/internal/testbed/load/client"
	"magpiebank/internal/testbed/load/experiment"
)

// The operator's file of the run with classes: what reads a whole table goes to one zone, and few of it at a time.
const classesFile = `{ statements: { log_every: '5s',
  tables: [{ schema: 'actas_*', name: '*', rows: 1e6, keys: ['clave', 'distrito', 'dia'] }],
  pools: [{ name: 'scans', zones: ['norte'] }],
  classes: [{ name: 'scan', when: { full: true }, pool: 'scans', threads: 6, waiting: 12 }],
} }
`

// The load of the runs on sockets: look-ups at three quarters of what they leave of engines' time for reports, and for
// ten seconds whole tables read under the look-ups' name, at twice what all engines together can do.
const (
	statementsLength        = 40 * time.Second
	burstFrom, burstUntil   = 12 * time.Second, 22 * time.Second
	looksRate, reportsRate  = 250.0, 8.0
	scansRate               = 60.0
	statementEngines        = 6
	statementGroups         = 6
	measureForms            = 120
	measureGroups           = 3
	measureStatements       = 600000
	measureSeeds            = 3
	engineMemory            = 1500 // MB: six whole tables at a time are more
	engineCores, engineSlot = 8, 12
)

// statementsExperiment measures classes by simulation, and the same traffic on sockets without and with classes.
func statementsExperiment(c *cobra.Command, o *output, seed int64) error {
	out := c.OutOrStdout()
	m := classification.MeasureSeeds(seed, measureSeeds, measureForms, measureGroups, measureStatements)
	delays := classification.MeasureDelays(1000000, 20000)
	runs, err := classedRuns(c, o, seed)
	if err != nil {
		return err
	}
	good, lines := m.Verdict()
	quick, more := classification.CheckDelays(delays)
	good, lines = good && quick, append(lines, more...)
	if o.json {
		if err := writeJSON(out, map[string]any{"classes": m, "delays": delays, "runs": runs}); err != nil {
			return err
		}
	} else {
		m.Text(out)
		classification.ShowDelays(out, delays)
		showRuns(out, runs)
	}
	calm := runs[1].LooksP99 <= runs[0].LooksP99 && runs[1].Swapped <= runs[0].Swapped && runs[1].Earned >= runs[0].Earned
	lines = append(lines, fmt.Sprintf("%-5s  with classes look-ups' p99 in the burst, earnings and swaps are no worse", map[bool]string{true: "good", false: "BAD"}[calm]))
	for _, r := range runs {
		for _, v := range r.bad {
			lines, good = append(lines, "BAD    "+r.Name+": "+v), false
		}
	}
	if !o.json {
		fmt.Fprintln(out, "\n"+strings.Join(lines, "\n"))
	}
	if !good || !calm {
		return errMissed
	}
	return nil
}

// classedRun is one run on sockets.
type classedRun struct {
	Name     string           `json:"name"`
	Earned   float64          `json:"earned_in_quoted_time"` // of look-ups and reports
	Quick    map[string]int64 `json:"in_quoted_time"`
	Offered  map[string]int64 `json:"offered"`
	LooksP99 time.Duration    `json:"look_ups_p99_in_burst_ns"`
	LooksP50 time.Duration    `json:"look_ups_p50_in_burst_ns"`
	Swapped  int              `json:"tasks_begun_short_of_memory"`
	bad      []string
}

func classedRuns(c *cobra.Command, o *output, seed int64) (runs []*classedRun, err error) {
	if o.folder == "" {
		o.folder = experiment.DefaultFolder("statements")
	}
	if err := os.MkdirAll(o.folder, 0o755); err != nil {
		return nil, err
	}
	file := filepath.Join(o.folder, "operator.jsonnet")
	if err := os.WriteFile(file, []byte(classesFile), 0o644); err != nil {
		return nil, err
	}
	folder := o.folder
	for _, with := range []struct {
		name string
		more []string
	}{{"without classes", nil}, {"with classes", []string{"--operator", file}}} {
		planner := fake.NewPlanner(seed, measureForms)
		e := classedExperiment(seed, planner, with.more)
		e.Name = "statements, " + with.name
		one := *o
		one.json, one.page, one.folder = false, "", filepath.Join(folder, strings.Fields(with.name)[0])
		r, err := play(c.Context(), quietly(c), e, &one)
		if err != nil {
			return nil, err
		}
		run := &classedRun{Name: with.name, Quick: map[string]int64{}, Offered: map[string]int64{}, Swapped: r.Swapped}
		for i := range r.Metrics.Classes {
			l := &r.Metrics.Classes[i]
			run.Quick[l.Name], run.Offered[l.Name] = l.WithinObjective, l.Offered
			switch l.Name {
			case "look-ups":
				run.Earned += float64(l.WithinObjective)
			case "look-ups in the burst":
				run.Earned += float64(l.WithinObjective)
				run.LooksP50, run.LooksP99 = l.Quantile(client.Served, 0.5), l.Quantile(client.Served, 0.99)
			case "reports":
				run.Earned += reportEarnings * float64(l.WithinObjective)
			}
		}
		for _, v := range r.Verdicts {
			if !v.Good {
				run.bad = append(run.bad, v.Name+": "+v.Text)
			}
		}
		runs = append(runs, run)
	}
	return runs, nil
}

// quietly is a command whose output is thrown away, for runs that are shown together.
func quietly(c *cobra.Command) *cobra.Command {
	q := &cobra.Command{}
	q.SetContext(c.Context())
	q.SetOut(io.Discard)
	q.SetErr(c.ErrOrStderr())
	return q
}

const reportEarnings = 10

func classedExperiment(seed int64, p *fake.Planner, more []string) *experiment.Experiment {
	texts := func(kinds ...fake.Kind) (out []string) {
		for i := range p.Templates {
			if slices.Contains(kinds, p.Templates[i].Kind) {
				out = append(out, p.Templates[i].Text)
			}
		}
		return out
	}
	class := func(name, as string, objective, maxWait time.Duration, statements []string) arrival.Class {
		return arrival.Class{Name: name, GatewayClass: as, Share: 1, Statements: statements, Groups: statementGroups, Literals: 40, LatencyObjective: objective,
			MaxWait: maxWait, Idempotent: true, MarkRetry: true}
	}
	looks := texts(fake.PointLookup)
	e := &experiment.Experiment{Seed: seed, Length: statementsLength, Behavior: client.Behavior{PooledShare: 1, MaxAttempts: 1},
		Classes: []arrival.Class{
			class("look-ups", "look", time.Second, 5*time.Second, looks),
			class("look-ups in the burst", "look", time.Second, 5*time.Second, looks),
			class("reports", "report", 4*time.Second, 12*time.Second, texts(fake.RangeScan, fake.IndexJoin)),
			class("whole tables", "look", time.Second, 5*time.Second, texts(fake.FullScan)),
		},
		Bounds: experiment.Bounds{GeneratorDelay: 10 * time.Millisecond, OfferedTolerance: 0.01, AllowedOutcomes: []client.Outcome{client.TimedOut}},
	}
	e.Shape = arrival.Shape{Kind: arrival.Replay}
	r := rand.New(rand.NewSource(seed))
	type scheduledRequest struct {
		at    time.Duration
		class int
	}
	var all []scheduledRequest
	draw := func(rate float64, from, until time.Duration, class func(at time.Duration) int) {
		for at := from; ; {
			at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
			if at >= until {
				return
			}
			all = append(all, scheduledRequest{at, class(at)})
		}
	}
	draw(looksRate, 0, statementsLength, func(at time.Duration) int {
		if at >= burstFrom && at < burstUntil {
			return 1
		}
		return 0
	})
	draw(reportsRate, 0, statementsLength, func(time.Duration) int { return 2 })
	draw(scansRate, burstFrom, burstUntil, func(time.Duration) int { return 3 })
	slices.SortStableFunc(all, func(a, b scheduledRequest) int { return int(a.at - b.at) })
	for _, t := range all {
		e.Shape.Times = append(e.Shape.Times, t.at)
		e.Shape.Marks = append(e.Shape.Marks, arrival.Mark{Class: t.class, Group: 1 + r.Intn(statementGroups)})
	}
	e.Installation = &installation.Plan{Gateways: 2, Engines: statementEngines, Zones: []string{"norte", "sur"}, Cores: engineCores, MemoryMB: 192, Sockets: 1024,
		ConnectWithin: 250 * time.Millisecond, IdleTimeout: 30 * time.Second, Seed: seed, ExtraArguments: more,
		Classes: []installation.Class{
			{Name: "look", LatencyObjective: time.Second, MaxWait: 5 * time.Second, Weight: 1, Effect: "idempotent", Threads: 1},
			{Name: "report", LatencyObjective: 4 * time.Second, MaxWait: 12 * time.Second, Weight: reportEarnings, LateShare: 0.4, Effect: "idempotent", Threads: 1}},
		Behavior: fake.EngineBehavior{Threads: engineSlot, Cores: engineCores, Works: []fake.Work{{Rows: 3}}, Planner: p, MemoryMB: engineMemory,
			NoticeInterval: 300 * time.Millisecond}}
	return e
}

func showRuns(out io.Writer, runs []*classedRun) {
	fmt.Fprintf(out, "the same traffic without and with classes, %d whole tables a second under the look-ups' name from %v to %v (real sockets on loopback)\n",
		int(scansRate), burstFrom, burstUntil)
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "\tearned in quoted time\tlook-ups in the burst\tin quoted time\tp50 ms\tp99\treports in quoted time\twhole tables\ttasks begun short of memory\t")
	for _, r := range runs {
		share := func(class string) string {
			return fmt.Sprintf("%.1f%%", 100*float64(r.Quick[class])/max(1, float64(r.Offered[class])))
		}
		fmt.Fprintf(w, "%s\t%.0f\t%d\t%s\t%.1f\t%.1f\t%s\t%s\t%d\t\n", r.Name, r.Earned, r.Offered["look-ups in the burst"], share("look-ups in the burst"),
			float64(r.LooksP50)/1e6, float64(r.LooksP99)/1e6, share("reports"), share("whole tables"), r.Swapped)
	}
	_ = w.Flush() // output to a terminal, as of the other tables
}
