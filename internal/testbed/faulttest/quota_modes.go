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

// QuotaMode is one way of sharing a quota, with the result of a run that uses it.
type QuotaMode struct {
	Name           string     `json:"name"`
	Mutation       string     `json:"-"` // mutation of the gateways that makes them share the quota in this way; empty: none
	Result         *Result    `json:"result"`
	Phases         []PhaseUse `json:"phases"`
	ExtraDatagrams float64    `json:"datagrams"` // additional datagrams per served request, compared with the run without a limit
}

// PhaseUse summarizes the use of the quota of threads, and the requests, in one phase.
type PhaseUse struct {
	Phase
	UsedShare      float64       `json:"used"`  // mean share of the total that was in use
	LeastUsedShare float64       `json:"least"` // mean share of the total in use in the half second with the least use
	OwnUsedShare   float64       `json:"own"`   // if the phase names gateways: their use, relative to an equal share of the total for each of them
	P50            time.Duration `json:"p50"`   // latency minus service time of requests that were sent in the phase and served
	P99            time.Duration `json:"p99"`
	Requests       int           `json:"tasks"`
}

// CompareQuotaModes runs a scenario with each way of sharing its quota, one after the other on the same machine. If maxModes is above 0,
// only the first maxModes ways are run. The last run has no limit. Its use, up to the total, is what ideal sharing could reach.
func CompareQuotaModes(ctx context.Context, s *Scenario, folder, program string, maxModes int) (list []*QuotaMode, err error) {
	list = []*QuotaMode{{Name: "lent"}, {Name: "equal parts", Mutation: "equal-parts"}, {Name: "a quorum a task", Mutation: "quorum"}, {Name: "no limit"}}
	if maxModes > 0 && maxModes < len(list) {
		list = append(list[:maxModes], list[len(list)-1])
	}
	unlimited := list[len(list)-1]
	for i, mode := range list {
		scenario := *s
		scenario.Mutation = mode.Mutation
		if mode == unlimited {
			scenario.Limits = installation.ClusterLimits{}
		}
		mode.Result, err = Run(ctx, &scenario, filepath.Join(folder, fmt.Sprint("way", i)), program)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", mode.Name, err)
		}
		mode.Phases = mode.Result.Uses(s.Limits.Threads)
	}
	for _, mode := range list {
		extra := mode.Result.datagramsPerSecond() - unlimited.Result.datagramsPerSecond()
		mode.ExtraDatagrams = extra * mode.Result.PlayTime.Seconds() / float64(max(1, mode.Result.Ends[sqlclient.Served]))
	}
	return list, nil
}

func (r *Result) datagramsPerSecond() float64 {
	return float64(r.Counts.Datagrams) / r.PlayTime.Seconds()
}

// sampleInterval is the time between two samples of the use.
const sampleInterval = 100 * time.Millisecond

// useSampler samples how many threads each process has in use, from the start of the load to the end of the scenario.
type useSampler struct {
	labels  []string
	active  []threadUse
	next    int64 // time of the next sample
	end     int64
	samples [][]float64 // by time and process: threads in use
}

// threadUse is one use of a thread by a process, until the thread is released or the validity of its use ends.
type threadUse struct {
	label string
	until int64
}

// sampleUntil takes all samples that are due up to the given time.
func (u *useSampler) sampleUntil(at int64) {
	for ; u.next <= min(at, u.end); u.next += int64(sampleInterval) {
		u.active = slices.DeleteFunc(u.active, func(use threadUse) bool { return use.until <= u.next })
		sample := make([]float64, len(u.labels))
		for _, use := range u.active {
			if i := slices.Index(u.labels, use.label); i >= 0 {
				sample[i]++
			}
		}
		u.samples = append(u.samples, sample)
	}
}

// release removes the earliest use of the process.
func (u *useSampler) release(label string) {
	i := slices.IndexFunc(u.active, func(use threadUse) bool { return use.label == label })
	if i >= 0 {
		u.active = slices.Delete(u.active, i, i+1)
	}
}

// sampleUse samples, from the histories, how many threads of the quota each process uses. The first sample is one sampleInterval after the
// start of the load.
func (r *Result) sampleUse() (labels []string, samples [][]float64) {
	labelOf := r.labels()
	sampler := &useSampler{
		labels: r.Processes,
		next:   r.StartMonotonic + int64(sampleInterval),
		end:    r.StartMonotonic + int64(r.Scenario.Length),
	}
	for i := range r.Events {
		e := &r.Events[i]
		if !strings.HasSuffix(e.Code, " threads") {
			continue
		}
		label := labelOf[incarnationOf(e)]
		switch e.Kind {
		case history.BudgetUsed:
			sampler.sampleUntil(e.At)
			sampler.active = append(sampler.active, threadUse{label, e.At + e.ValidNanos})
		case history.BudgetReleased:
			sampler.sampleUntil(e.At)
			sampler.release(label)
		}
	}
	sampler.sampleUntil(sampler.end)
	return sampler.labels, sampler.samples
}

// sampleRunning samples how many loads run on the engines, by the engines' own count. Higher numbers than the total count as the total.
func (r *Result) sampleRunning(total int) (samples [][]float64) {
	running, next := 0, sampleInterval
	for _, change := range r.RunningChanges {
		if change.Class != "load" {
			continue
		}
		for ; next <= min(change.At.Sub(r.StartedAt), r.Scenario.Length); next += sampleInterval {
			samples = append(samples, []float64{float64(min(running, total))})
		}
		running += change.Delta
	}
	return samples
}

// Uses returns the use of the quota in each phase. In a run without a limit, the use is the number of loads that run on the engines, up to
// the total.
func (r *Result) Uses(total int) (uses []PhaseUse) {
	labels, samples := r.sampleUse()
	if r.Scenario.Limits.Threads == 0 {
		labels, samples = []string{""}, r.sampleRunning(total)
	}
	for _, phase := range r.Scenario.Phases {
		use := PhaseUse{Phase: phase, LeastUsedShare: 1}
		use.measureSamples(labels, samples, float64(total))
		use.measureRequests(r.Requests, r.Scenario.LoadService)
		uses = append(uses, use)
	}
	return uses
}

// leastWindow is the number of samples in half a second, over which LeastUsedShare is averaged.
const leastWindow = 5

// measureSamples computes the shares of the total that were in use in the phase.
func (u *PhaseUse) measureSamples(labels []string, samples [][]float64, total float64) {
	if total <= 0 {
		return
	}
	isOwn := make([]bool, len(labels))
	owners := 0.0
	for i, label := range labels {
		for _, pattern := range u.Gateways {
			if fits, _ := path.Match(pattern, label); fits {
				isOwn[i] = true
				owners++
			}
		}
	}
	count := 0.0
	var window []float64
	for k := int(u.At / sampleInterval); k < min(len(samples), int(u.Until/sampleInterval)); k++ {
		sum, own := sumUse(samples[k], isOwn)
		count++
		u.UsedShare += sum / total
		window = append(window, sum/total)
		if len(window) > leastWindow {
			window = window[1:]
		}
		if len(window) == leastWindow {
			u.LeastUsedShare = min(u.LeastUsedShare, mean(window))
		}
		if owners > 0 {
			u.OwnUsedShare += own / (total * owners / float64(len(labels)))
		}
	}
	u.UsedShare /= max(1, count)
	u.OwnUsedShare /= max(1, count)
}

// sumUse returns the sum of a sample, and the sum over those of its processes that isOwn marks.
func sumUse(sample []float64, isOwn []bool) (sum, own float64) {
	for i, used := range sample {
		sum += used
		if isOwn[i] {
			own += used
		}
	}
	return sum, own
}

// measureRequests computes the metrics of the requests that were sent in the phase.
func (u *PhaseUse) measureRequests(requests []Request, service time.Duration) {
	var took []time.Duration
	for i := range requests {
		request := &requests[i]
		if !u.contains(request.At) {
			continue
		}
		u.Requests++
		if request.End == sqlclient.Served {
			took = append(took, request.Took-service)
		}
	}
	u.P50, u.P99 = percentiles(took)
}

func mean(list []float64) (m float64) {
	for _, v := range list {
		m += v / float64(len(list))
	}
	return m
}

// WriteQuotaModes writes a table with the modes side by side.
func WriteQuotaModes(out io.Writer, list []*QuotaMode) {
	s := list[0].Result.Scenario
	fmt.Fprintf(out, "%s: %d gateways, %d threads for all, %d engines; real processes and sockets on loopback, one way after the other\n", s.Name, s.Gateways, s.Limits.Threads, s.Engines)
	fmt.Fprintln(out, "share of the total in use, in its least half second, and tasks' time beyond their service, ms")
	writeModeRow(out, "", list, func(mode *QuotaMode) string { return fmt.Sprintf("  %-29s", mode.Name) })
	writeModeRow(out, "phase", list, func(*QuotaMode) string { return fmt.Sprintf("  %5s %5s %8s %8s", "used", "least", "p50", "p99") })
	for i, phase := range s.Phases {
		writeModeRow(out, phase.Name, list, func(mode *QuotaMode) string { return mode.phaseCell(i) })
		if len(phase.Gateways) > 0 {
			writeModeRow(out, "  its own part", list, func(mode *QuotaMode) string { return mode.ownShareCell(i) })
		}
	}
	writeModeRow(out, "datagrams a task", list, func(mode *QuotaMode) string { return fmt.Sprintf("  %-29.1f", mode.ExtraDatagrams) })
	writeModeRow(out, "delivered", list, func(mode *QuotaMode) string {
		return fmt.Sprintf("  %-29s", fmt.Sprintf("%d of %d", mode.Result.Ends[sqlclient.Served], len(mode.Result.Requests)))
	})
	for _, mode := range list {
		for _, violation := range mode.Result.Violations {
			fmt.Fprintf(out, "BAD    %s: %s\n", mode.Name, violation)
		}
	}
}

// writeModeRow writes one row of the table: a name, and a cell for each mode.
func writeModeRow(out io.Writer, name string, list []*QuotaMode, cell func(*QuotaMode) string) {
	fmt.Fprintf(out, "%-17s", name)
	for _, mode := range list {
		fmt.Fprint(out, cell(mode))
	}
	fmt.Fprintln(out)
}

// phaseCell returns the cell of a phase. It is empty if the mode does not have the phase.
func (m *QuotaMode) phaseCell(phase int) string {
	if phase >= len(m.Phases) {
		return ""
	}
	use := m.Phases[phase]
	return fmt.Sprintf("  %5.3f %5.3f %8.1f %8.1f", use.UsedShare, use.LeastUsedShare, milliseconds(use.P50), milliseconds(use.P99))
}

func (m *QuotaMode) ownShareCell(phase int) string {
	if phase >= len(m.Phases) {
		return ""
	}
	return fmt.Sprintf("  %5.3f %5s %8s %8s", m.Phases[phase].OwnUsedShare, "", "", "")
}

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1000 }

// PlotUse draws the total and each gateway's use over time, and saves the picture to a file. The gateways' areas are stacked, so that
// the upper edge shows the sum.
func (r *Result) PlotUse(path, title string) error {
	labels, samples := r.sampleUse()
	picture := plot.New()
	picture.Title.Text = title
	picture.X.Label.Text, picture.Y.Label.Text = "seconds", fmt.Sprintf("threads in use, of %d gateways one above the other", len(labels))
	if err := plotAreas(picture, len(labels), samples); err != nil {
		return err
	}
	threads := float64(r.Scenario.Limits.Threads)
	total, err := plotter.NewLine(plotter.XYs{{X: 0, Y: threads}, {X: r.Scenario.Length.Seconds(), Y: threads}})
	if err != nil {
		return err
	}
	total.Width = vg.Points(1.5)
	picture.Add(total)
	picture.Legend.Add("total", total)
	for _, phase := range r.Scenario.Phases {
		name, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: phase.At.Seconds(), Y: 1.04 * threads}}, Labels: []string{phase.Name}})
		if err != nil {
			return err
		}
		picture.Add(name)
	}
	picture.Y.Min, picture.Y.Max = 0, 1.15*threads
	return picture.Save(24*vg.Centimeter, 12*vg.Centimeter, path)
}

// plotAreas adds an area for each gateway, on top of the areas of the gateways before it.
func plotAreas(picture *plot.Plot, gateways int, samples [][]float64) error {
	colors := palette.Rainbow(max(2, gateways), palette.Blue, palette.Red, 0.7, 0.9, 1).Colors()
	base := make([]float64, len(samples))
	for gateway := range gateways {
		var upper, lower plotter.XYs
		for i, sample := range samples {
			seconds := float64(i+1) * sampleInterval.Seconds()
			lower = append(lower, plotter.XY{X: seconds, Y: base[i]})
			base[i] += sample[gateway]
			upper = append(upper, plotter.XY{X: seconds, Y: base[i]})
		}
		slices.Reverse(lower)
		area, err := plotter.NewPolygon(append(upper, lower...))
		if err != nil {
			return err
		}
		area.Color, area.Width = colors[gateway], 0
		picture.Add(area)
	}
	return nil
}
