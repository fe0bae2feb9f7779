// Package report shows the result of a run: as a table for a terminal, as JSON, and as one page.
package report

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"magpiebank/internal/testbed/load/client"
	"magpiebank/internal/testbed/load/experiment"
	"magpiebank/internal/testbed/load/stats"
)

// quantiles that the tables show.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999, 1}

// ms formats a latency in milliseconds with three digits or more.
func ms(d time.Duration) string {
	v := float64(d) / float64(time.Millisecond)
	switch {
	case v >= 1000:
		return fmt.Sprintf("%.0f", v)
	case v >= 10:
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprintf("%.2f", v)
}

// table writes rows with their columns below each other; the first column is aligned left, the others right.
func table(w io.Writer, rows [][]string) {
	var widths []int
	for _, row := range rows {
		for i, cell := range row {
			if i == len(widths) {
				widths = append(widths, 0)
			}
			widths[i] = max(widths[i], len([]rune(cell)))
		}
	}
	for _, row := range rows {
		var b strings.Builder
		for i, cell := range row {
			pad := strings.Repeat(" ", widths[i]-len([]rune(cell)))
			if i == 0 {
				b.WriteString(cell + pad)
			} else {
				b.WriteString("  " + pad + cell)
			}
		}
		fmt.Fprintln(w, strings.TrimRight(b.String(), " "))
	}
}

// classRows are the metrics by class.
func classRows(metrics *stats.Metrics) [][]string {
	rows := [][]string{{"lane", "offered", "delivered", "in quoted time", "p50 ms", "p90", "p99", "p99.9", "max", "tries"}}
	classes := slices.Clone(metrics.Classes)
	if metrics.Misbehaving.Offered > 0 {
		classes = append(classes, metrics.Misbehaving)
	}
	for i := range classes {
		class := &classes[i]
		served := class.Outcomes[client.Served].TotalCount()
		row := []string{class.Name, fmt.Sprint(class.Offered), fmt.Sprint(served), percent(class.WithinObjective, class.Offered)}
		for _, q := range quantiles {
			row = append(row, ms(class.Quantile(client.Served, q)))
		}
		rows = append(rows, append(row, fmt.Sprint(class.Attempts)))
	}
	return rows
}

func percent(part, whole int64) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f%%", 100*float64(part)/float64(whole))
}

// outcomeRows are the counts of the outcomes that occurred, by class.
func outcomeRows(metrics *stats.Metrics) [][]string {
	header := []string{"outcomes"}
	var shown []client.Outcome
	for o := range client.Outcome(client.OutcomeCount) {
		if metrics.Count(o) > 0 {
			shown = append(shown, o)
			header = append(header, o.String())
		}
	}
	rows := [][]string{header}
	for i := range metrics.Classes {
		row := []string{metrics.Classes[i].Name}
		for _, o := range shown {
			row = append(row, fmt.Sprint(metrics.Classes[i].Outcomes[o].TotalCount()))
		}
		rows = append(rows, row)
	}
	return rows
}

// Text writes a result as tables.
func Text(w io.Writer, r *experiment.Result) {
	fmt.Fprintf(w, "%s: seed %d, %d tasks in %v, real sockets on loopback\n\n", r.Name, r.Seed, r.Scheduled,
		r.Took.Round(100*time.Millisecond))
	table(w, classRows(r.Figures))
	fmt.Fprintln(w)
	table(w, outcomeRows(r.Figures))
	if len(r.Script) > 0 {
		fmt.Fprintln(w)
		for _, h := range r.Script {
			fmt.Fprintf(w, "at %6.2f s  %s\n", h.At.Seconds(), h.What)
		}
	}
	for i := range r.Truth {
		writeComparison(w, &r.Truth[i])
	}
	fmt.Fprintln(w)
	for _, g := range r.Gateways {
		fmt.Fprintf(w, "gateway %s: %.1f MB resident at its peak\n", g.Name, float64(g.PeakKB)/1024)
	}
	for _, v := range r.Verdicts {
		word := "good"
		if !v.Good {
			word = "MISSED"
		}
		fmt.Fprintf(w, "%-6s %s: %s\n", word, v.Name, v.Text)
	}
}

// writeComparison writes the measured latencies of a class beside the true ones.
func writeComparison(w io.Writer, c *experiment.Comparison) {
	fmt.Fprintf(w, "\n%s against the truth: %d answers; a closed loop of %d users would not have sent %d of them\n", c.Class,
		c.Requests, c.Users, c.Hidden)
	rows := [][]string{{"quantile", "reported ms", "true", "off by", "closed loop", ""}}
	for _, row := range c.Rows {
		mark := "ok"
		if !row.Good {
			mark = "OUT OF BOUND"
		}
		name := fmt.Sprintf("p%g", 100*row.Quantile)
		if row.Quantile == 1 {
			name = "max"
		}
		rows = append(rows, []string{name, ms(row.Reported), ms(row.True), ms((row.Reported - row.True).Abs()), ms(row.Closed), mark})
	}
	table(w, rows)
}
