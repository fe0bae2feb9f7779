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

// classesFile is the operator's file of the run with classes. Statements that scan a whole table go to the engines of one zone, and are
// limited to 6 threads.
const classesFile = `{ statements: { log_every: '5s',
  tables: [{ schema: 'actas_*', name: '*', rows: 1e6, keys: ['clave', 'distrito', 'dia'] }],
  pools: [{ name: 'scans', zones: ['norte'] }],
  classes: [{ name: 'scan', when: { full: true }, pool: 'scans', threads: 6, waiting: 12 }],
} }
`

// The load of the runs on sockets. With the default seed, look-ups and reports keep about a tenth of the engines' threads busy. For
// ten seconds, scans of whole tables arrive in the class of look-ups, at about three times the rate that all engines together can serve.
const (
	statementsLength           = 40 * time.Second
	burstFrom, burstUntil      = 12 * time.Second, 22 * time.Second
	lookupsRate, reportsRate   = 250.0, 8.0
	scansRate                  = 60.0
	statementEngines           = 6
	statementGroups            = 6
	measureTemplates           = 120
	measureGroups              = 3
	measureStatements          = 600000
	measureSeeds               = 3
	engineMemory               = 1500 // MB; six scans of whole tables at a time need more
	engineCores, engineThreads = 8, 12
)

// statementsExperiment measures the classification of statements by simulation. It then runs the same traffic on sockets without and
// with classes, and returns errReported if a bound is missed or classes make the results worse.
func statementsExperiment(c *cobra.Command, o *output, seed int64) error {
	out := c.OutOrStdout()
	measurement := classification.MeasureSeeds(seed, measureSeeds, measureTemplates, measureGroups, measureStatements)
	delays := classification.MeasureDelays(1000000, 20000)
	runs, err := runStatements(c, o, seed)
	if err != nil {
		return err
	}
	good, lines := measurement.Verdict()
	delaysGood, delayLines := classification.CheckDelays(delays)
	good, lines = good && delaysGood, append(lines, delayLines...)
	if o.json {
		if err := writeJSON(out, map[string]any{"classes": measurement, "delays": delays, "runs": runs}); err != nil {
			return err
		}
	} else {
		measurement.Text(out)
		classification.ShowDelays(out, delays)
		writeStatementsRuns(out, runs)
	}
	noWorse := runs[1].LookupsP99 <= runs[0].LookupsP99 && runs[1].Swapped <= runs[0].Swapped && runs[1].Earned >= runs[0].Earned
	lines = append(lines, fmt.Sprintf("%-5s  with classes, look-ups' p99 in the burst, earnings and swaps are no worse", map[bool]string{true: "good", false: "BAD"}[noWorse]))
	for _, r := range runs {
		for _, v := range r.bad {
			lines, good = append(lines, "BAD    "+r.Name+": "+v), false
		}
	}
	if !o.json {
		fmt.Fprintln(out, "\n"+strings.Join(lines, "\n"))
	}
	if !good || !noWorse {
		return errReported
	}
	return nil
}

// statementsRun is the result of one run on sockets.
type statementsRun struct {
	Name            string           `json:"name"`
	Earned          float64          `json:"earned_in_quoted_time"` // by look-ups (1 each) and reports (reportEarnings each)
	WithinObjective map[string]int64 `json:"in_quoted_time"`
	Offered         map[string]int64 `json:"offered"`
	LookupsP99      time.Duration    `json:"look_ups_p99_in_burst_ns"`
	LookupsP50      time.Duration    `json:"look_ups_p50_in_burst_ns"`
	Swapped         int              `json:"tasks_begun_short_of_memory"`
	bad             []string
}

// runStatements runs the traffic on sockets: first without classes, then with them.
func runStatements(c *cobra.Command, o *output, seed int64) (runs []*statementsRun, err error) {
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
	for _, variant := range []struct {
		name      string
		arguments []string
	}{{"without classes", nil}, {"with classes", []string{"--operator", file}}} {
		planner := fake.NewPlanner(seed, measureTemplates)
		e := newStatementsExperiment(seed, planner, variant.arguments)
		e.Name = "statements, " + variant.name
		variantOutput := *o
		variantOutput.json, variantOutput.page, variantOutput.folder = false, "", filepath.Join(folder, strings.Fields(variant.name)[0])
		r, err := runExperiment(c.Context(), silentCommand(c), e, &variantOutput)
		if err != nil {
			return nil, err
		}
		run := &statementsRun{Name: variant.name, WithinObjective: map[string]int64{}, Offered: map[string]int64{}, Swapped: r.Swapped}
		for i := range r.Metrics.Classes {
			l := &r.Metrics.Classes[i]
			run.WithinObjective[l.Name], run.Offered[l.Name] = l.WithinObjective, l.Offered
			switch l.Name {
			case "look-ups":
				run.Earned += float64(l.WithinObjective)
			case "look-ups in the burst":
				run.Earned += float64(l.WithinObjective)
				run.LookupsP50, run.LookupsP99 = l.Quantile(client.Served, 0.5), l.Quantile(client.Served, 0.99)
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

// silentCommand returns a command with the context and error output of c, and without output. The results of the runs are shown together
// later.
func silentCommand(c *cobra.Command) *cobra.Command {
	q := &cobra.Command{}
	q.SetContext(c.Context())
	q.SetOut(io.Discard)
	q.SetErr(c.ErrOrStderr())
	return q
}

// reportEarnings is how much a report within its latency objective earns. A look-up earns 1.
const reportEarnings = 10

// newStatementsExperiment returns the experiment for one run on sockets. arguments are further arguments of the gateways.
func newStatementsExperiment(seed int64, p *fake.Planner, arguments []string) *experiment.Experiment {
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
	lookups := texts(fake.PointLookup)
	e := &experiment.Experiment{Seed: seed, Length: statementsLength, Behavior: client.Behavior{PooledShare: 1, MaxAttempts: 1},
		Classes: []arrival.Class{
			class("look-ups", "look", time.Second, 5*time.Second, lookups),
			class("look-ups in the burst", "look", time.Second, 5*time.Second, lookups),
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
	draw(lookupsRate, 0, statementsLength, func(at time.Duration) int {
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
		ConnectWithin: 250 * time.Millisecond, IdleTimeout: 30 * time.Second, Seed: seed, ExtraArguments: arguments,
		Classes: []installation.Class{
			{Name: "look", LatencyObjective: time.Second, MaxWait: 5 * time.Second, Weight: 1, Effect: "idempotent", Threads: 1},
			{Name: "report", LatencyObjective: 4 * time.Second, MaxWait: 12 * time.Second, Weight: reportEarnings, LateShare: 0.4, Effect: "idempotent", Threads: 1}},
		Behavior: fake.EngineBehavior{Threads: engineThreads, Cores: engineCores, Works: []fake.Work{{Rows: 3}}, Planner: p, MemoryMB: engineMemory,
			NoticeInterval: 300 * time.Millisecond}}
	return e
}

// writeStatementsRuns writes the results of the runs on sockets as a table.
func writeStatementsRuns(out io.Writer, runs []*statementsRun) {
	fmt.Fprintf(out, "the same traffic without and with classes, %d whole tables a second under the look-ups' name from %v to %v (real sockets on loopback)\n",
		int(scansRate), burstFrom, burstUntil)
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "\tearned in quoted time\tlook-ups in the burst\tin quoted time\tp50 ms\tp99\treports in quoted time\twhole tables\ttasks begun short of memory\t")
	for _, r := range runs {
		share := func(class string) string {
			return fmt.Sprintf("%.1f%%", 100*float64(r.WithinObjective[class])/max(1, float64(r.Offered[class])))
		}
		fmt.Fprintf(w, "%s\t%.0f\t%d\t%s\t%.1f\t%.1f\t%s\t%s\t%d\t\n", r.Name, r.Earned, r.Offered["look-ups in the burst"], share("look-ups in the burst"),
			float64(r.LookupsP50)/1e6, float64(r.LookupsP99)/1e6, share("reports"), share("whole tables"), r.Swapped)
	}
	_ = w.Flush() // output to a terminal, as of the other tables
}
