package faulttest

import (
	"context"
	"fmt"
	"io"
	"path"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"magpiebank/internal/cluster/history"
	"magpiebank/internal/testbed/installation"
	"magpiebank/internal/testbed/load/sqlclient"
)

// QuotaMode is one way of sharing a budget, and what came of a run with it.
type QuotaMode struct {
	Name    string     `json:"name"`
	Planted string     `json:"-"`
	Result  *Result    `json:"result"`
	Phases  []PhaseUse `json:"phases"`
	Sent    float64    `json:"datagrams"` // a request more than without a limit
}

// PhaseUse is the use of the budgets in one phase.
type PhaseUse struct {
	Phase
	Used  float64       `json:"used"`  // share of the total, over the phase
	Least float64       `json:"least"` // in its least half second
	Own   float64       `json:"own"`   // share of its seats' own part that Phase.Part used, if it names any
	P50   time.Duration `json:"p50"`   // of requests that came in it and were served, beyond their service
	P99   time.Duration `json:"p99"`
	Tasks int           `json:"tasks"`
}

// CompareQuotaModes plays a scenario with each way of sharing its budget, or the first few, one after the other on the same machine; the last is without
// a limit: what it uses, up to the total, is what one that knows all could have.
func CompareQuotaModes(ctx context.Context, s *Scenario, folder, program string, few int) (list []*QuotaMode, err error) {
	list = []*QuotaMode{{Name: "lent"}, {Name: "equal parts", Planted: "equal-parts"}, {Name: "a quorum a task", Planted: "quorum"}, {Name: "no limit"}}
	if few > 0 && few < len(list) {
		list = append(list[:few], list[len(list)-1])
	}
	for i, w := range list {
		one := *s
		if one.Mutation = w.Planted; i == len(list)-1 {
			one.Limits = installation.ClusterLimits{}
		}
		if w.Result, err = Run(ctx, &one, filepath.Join(folder, fmt.Sprint("way", i)), program); err != nil {
			return nil, fmt.Errorf("%s: %w", w.Name, err)
		}
		w.Phases = w.Result.Uses(s.Limits.Threads)
	}
	rest := list[len(list)-1].Result
	for _, w := range list {
		perSecond := func(r *Result) float64 { return float64(r.Counts.Datagrams) / r.PlayTime.Seconds() }
		w.Sent = (perSecond(w.Result) - perSecond(rest)) * w.Result.PlayTime.Seconds() / float64(max(1, w.Result.Ends[sqlclient.Served]))
	}
	return list, nil
}

// sample is a tenth of a second, in which the use is taken for what it is at its end.
const sample = 100 * time.Millisecond

// use follows what each process uses of the budget of threads, by samples from the load's begin.
func (r *Result) use() (labels []string, used [][]float64) {
	labels = r.Processes
	of := r.labels()
	type taken struct {
		label string
		until int64
	}
	var open []taken
	row := make([]float64, len(labels))
	next := r.StartMonotonic + int64(sample)
	end := r.StartMonotonic + int64(r.Scenario.Length)
	flush := func(at int64) {
		for ; next <= min(at, end); next += int64(sample) {
			clear(row)
			open = slices.DeleteFunc(open, func(t taken) bool { return t.until <= next })
			for _, t := range open {
				if i := slices.Index(labels, t.label); i >= 0 {
					row[i]++
				}
			}
			used = append(used, slices.Clone(row))
		}
	}
	for i := range r.Events {
		e := &r.Events[i]
		if !strings.HasSuffix(e.Code, " threads") || e.Kind != history.BudgetUsed && e.Kind != history.BudgetReleased {
			continue
		}
		flush(e.At)
		label := of[process{e.Process, e.Start}]
		if e.Kind == history.BudgetUsed {
			open = append(open, taken{label, e.At + e.ValidNanos})
		} else if k := slices.IndexFunc(open, func(t taken) bool { return t.label == label }); k >= 0 {
			open = slices.Delete(open, k, k+1)
		}
	}
	flush(end)
	return labels, used
}

// running is how many loads engines say run there, up to the total, by samples.
func (r *Result) running(total int) (out [][]float64) {
	n, next := 0, sample
	for _, v := range r.Runs {
		if v.Class != "load" {
			continue
		}
		for ; next <= min(v.At.Sub(r.Began), r.Scenario.Length); next += sample {
			out = append(out, []float64{float64(min(n, total))})
		}
		n += v.Delta
	}
	return out
}

// Uses measures the phases.
func (r *Result) Uses(most int) (out []PhaseUse) {
	s := r.Scenario
	labels, used := r.use()
	total := float64(most)
	if s.Limits.Threads == 0 {
		labels, used = []string{""}, r.running(most)
	}
	for _, p := range s.Phases {
		u := PhaseUse{Phase: p, Least: 1}
		part := make([]bool, len(labels))
		seats := 0.0
		for i, l := range labels {
			for _, name := range p.Gateways {
				if ok, _ := path.Match(name, l); ok {
					part[i] = true
					seats++
				}
			}
		}
		n, window := 0.0, []float64{}
		for k := int(p.At / sample); k < min(len(used), int(p.Until/sample)) && total > 0; k++ {
			sum, own := 0.0, 0.0
			for i, v := range used[k] {
				if sum += v; part[i] {
					own += v
				}
			}
			n++
			u.Used += sum / total
			if window = append(window, sum/total); len(window) > 5 {
				window = window[1:]
			}
			if len(window) == 5 {
				u.Least = min(u.Least, mean(window))
			}
			if seats > 0 {
				u.Own += own / (total * seats / float64(len(labels)))
			}
		}
		u.Used, u.Own = u.Used/max(1, n), u.Own/max(1, n)
		var took []time.Duration
		for i := range r.Requests {
			if t := &r.Requests[i]; t.At >= p.At && t.At < p.Until {
				if u.Tasks++; t.End == sqlclient.Served {
					took = append(took, t.Took-s.LoadService)
				}
			}
		}
		slices.Sort(took)
		if len(took) > 0 {
			u.P50, u.P99 = took[len(took)/2], took[len(took)*99/100]
		}
		out = append(out, u)
	}
	return out
}

func mean(list []float64) (m float64) {
	for _, v := range list {
		m += v / float64(len(list))
	}
	return m
}

// WriteQuotaModes writes the ways side by side.
func WriteQuotaModes(out io.Writer, list []*QuotaMode) {
	s := list[0].Result.Scenario
	fmt.Fprintf(out, "%s: %d gateways, %d threads for all, %d engines; real processes and sockets on loopback, one way after the other\n", s.Name, s.Gateways, s.Limits.Threads, s.Engines)
	fmt.Fprintln(out, "share of the total in use, in its least half second, and tasks' time beyond their service, ms")
	fmt.Fprintf(out, "%-17s", "")
	for _, w := range list {
		fmt.Fprintf(out, "  %-29s", w.Name)
	}
	fmt.Fprintf(out, "\n%-17s", "phase")
	for range list {
		fmt.Fprintf(out, "  %5s %5s %8s %8s", "used", "least", "p50", "p99")
	}
	fmt.Fprintln(out)
	ms := func(d time.Duration) float64 { return d.Seconds() * 1000 }
	for i, p := range s.Phases {
		fmt.Fprintf(out, "%-17s", p.Name)
		for _, w := range list {
			if i < len(w.Phases) {
				u := w.Phases[i]
				fmt.Fprintf(out, "  %5.3f %5.3f %8.1f %8.1f", u.Used, u.Least, ms(u.P50), ms(u.P99))
			}
		}
		fmt.Fprintln(out)
		if len(p.Gateways) > 0 {
			fmt.Fprintf(out, "%-17s", "  its own part")
			for _, w := range list {
				if i < len(w.Phases) {
					fmt.Fprintf(out, "  %5.3f %5s %8s %8s", w.Phases[i].Own, "", "", "")
				}
			}
			fmt.Fprintln(out)
		}
	}
	fmt.Fprintf(out, "%-17s", "datagrams a task")
	for _, w := range list {
		fmt.Fprintf(out, "  %-29.1f", w.Sent)
	}
	fmt.Fprintf(out, "\n%-17s", "delivered")
	for _, w := range list {
		fmt.Fprintf(out, "  %-29s", fmt.Sprintf("%d of %d", w.Result.Ends[sqlclient.Served], len(w.Result.Requests)))
	}
	fmt.Fprintln(out)
	for _, w := range list {
		for _, v := range w.Result.Violations {
			fmt.Fprintf(out, "BAD    %s: %s\n", w.Name, v)
		}
	}
}

// PlotUse draws the total and what each member uses over time, one above the other, so that the outline is the sum.
func (r *Result) PlotUse(path, title string) error {
	labels, used := r.use()
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text, p.Y.Label.Text = "seconds", fmt.Sprintf("threads in use, of %d gateways one above the other", len(labels))
	colors := palette.Rainbow(max(2, len(labels)), palette.Blue, palette.Red, 0.7, 0.9, 1).Colors()
	below := make([]float64, len(used))
	for i := range labels {
		var up, down plotter.XYs
		for k := range used {
			x := float64(k+1) * sample.Seconds()
			down = append(down, plotter.XY{X: x, Y: below[k]})
			below[k] += used[k][i]
			up = append(up, plotter.XY{X: x, Y: below[k]})
		}
		slices.Reverse(down)
		area, err := plotter.NewPolygon(append(up, down...))
		if err != nil {
			return err
		}
		area.Color, area.Width = colors[i], 0
		p.Add(area)
	}
	total, err := plotter.NewLine(plotter.XYs{{X: 0, Y: float64(r.Scenario.Limits.Threads)}, {X: r.Scenario.Length.Seconds(), Y: float64(r.Scenario.Limits.Threads)}})
	if err != nil {
		return err
	}
	total.Width = vg.Points(1.5)
	p.Add(total)
	p.Legend.Add("total", total)
	for _, u := range r.Scenario.Phases {
		text, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: u.At.Seconds(), Y: 1.04 * float64(r.Scenario.Limits.Threads)}}, Labels: []string{u.Name}})
		if err != nil {
			return err
		}
		p.Add(text)
	}
	p.Y.Min, p.Y.Max = 0, 1.15*float64(r.Scenario.Limits.Threads)
	return p.Save(24*vg.Centimeter, 12*vg.Centimeter, path)
}
