// Package report presents the results of runs: as tables for a terminal and as an HTML page. It also archives results and compares
// those of several runs.
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

// shownQuantiles are the latency quantiles in the table of classes; 1 is the maximum.
var shownQuantiles = []float64{0.5, 0.9, 0.99, 0.999, 1}

// formatMillis formats a latency in milliseconds, with two decimals below 10 ms, one below 1000 ms, and none from there on.
func formatMillis(latency time.Duration) string {
	millis := float64(latency) / float64(time.Millisecond)
	switch {
	case millis >= 1000:
		return fmt.Sprintf("%.0f", millis)
	case millis >= 10:
		return fmt.Sprintf("%.1f", millis)
	}
	return fmt.Sprintf("%.2f", millis)
}

// quantileName returns the short name of a quantile: "p99" for 0.99, and "max" for 1.
func quantileName(quantile float64) string {
	if quantile == 1 {
		return "max"
	}
	return fmt.Sprintf("p%g", 100*quantile)
}

// writeTable writes rows as a table with aligned columns: the first column to the left, the others to the right.
func writeTable(out io.Writer, rows [][]string) {
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
		var line strings.Builder
		for i, cell := range row {
			padding := strings.Repeat(" ", widths[i]-len([]rune(cell)))
			if i == 0 {
				line.WriteString(cell + padding)
			} else {
				line.WriteString("  " + padding + cell)
			}
		}
		fmt.Fprintln(out, strings.TrimRight(line.String(), " "))
	}
}

// classRows returns a table with a header and the metrics of each class. Requests of misbehaving clients have a row of their own.
func classRows(metrics *stats.Metrics) [][]string {
	rows := [][]string{{"lane", "offered", "delivered", "in quoted time", "p50 ms", "p90", "p99", "p99.9", "max", "tries"}}
	classes := slices.Clone(metrics.Classes)
	if metrics.Misbehaving.Offered > 0 {
		classes = append(classes, metrics.Misbehaving)
	}
	for i := range classes {
		class := &classes[i]
		served := class.Outcomes[client.Served].TotalCount()
		row := []string{class.Name, fmt.Sprint(class.Offered), fmt.Sprint(served), formatPercent(class.WithinObjective, class.Offered)}
		for _, quantile := range shownQuantiles {
			row = append(row, formatMillis(class.Quantile(client.Served, quantile)))
		}
		rows = append(rows, append(row, fmt.Sprint(class.Attempts)))
	}
	return rows
}

func formatPercent(count, total int64) string {
	if total == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f%%", 100*float64(count)/float64(total))
}

// outcomeRows returns a table with a header and, for each class, the number of requests by outcome. Outcomes that didn't occur have no
// column.
func outcomeRows(metrics *stats.Metrics) [][]string {
	header := []string{"outcomes"}
	var shown []client.Outcome
	for outcome := range client.Outcome(client.OutcomeCount) {
		if metrics.Count(outcome) > 0 {
			shown = append(shown, outcome)
			header = append(header, outcome.String())
		}
	}
	rows := [][]string{header}
	for i := range metrics.Classes {
		row := []string{metrics.Classes[i].Name}
		for _, outcome := range shown {
			row = append(row, fmt.Sprint(metrics.Classes[i].Outcomes[outcome].TotalCount()))
		}
		rows = append(rows, row)
	}
	return rows
}

// Text writes a result as tables.
func Text(out io.Writer, result *experiment.Result) {
	fmt.Fprintf(out, "%s: seed %d, %d tasks in %v, real sockets on loopback\n\n", result.Name, result.Seed, result.Scheduled,
		result.Took.Round(100*time.Millisecond))
	writeTable(out, classRows(result.Metrics))
	fmt.Fprintln(out)
	writeTable(out, outcomeRows(result.Metrics))
	if len(result.Script) > 0 {
		fmt.Fprintln(out)
		for _, event := range result.Script {
			fmt.Fprintf(out, "at %6.2f s  %s\n", event.At.Seconds(), event.What)
		}
	}
	for i := range result.Truth {
		writeComparison(out, &result.Truth[i])
	}
	fmt.Fprintln(out)
	for _, gateway := range result.Gateways {
		fmt.Fprintf(out, "gateway %s: %.1f MB resident at its peak\n", gateway.Name, float64(gateway.PeakKB)/1024)
	}
	for _, verdict := range result.Verdicts {
		grade := "good"
		if !verdict.Good {
			grade = "MISSED"
		}
		fmt.Fprintf(out, "%-6s %s: %s\n", grade, verdict.Name, verdict.Text)
	}
}

// writeComparison writes a table of the reported latencies of a class, the true ones, and those that a closed loop would have measured.
func writeComparison(out io.Writer, comparison *experiment.Comparison) {
	fmt.Fprintf(out, "\n%s against the truth: %d answers; a closed loop of %d users would not have sent %d of them\n", comparison.Class,
		comparison.Requests, comparison.Users, comparison.Hidden)
	rows := [][]string{{"quantile", "reported ms", "true", "off by", "closed loop", ""}}
	for _, row := range comparison.Rows {
		grade := "ok"
		if !row.Good {
			grade = "OUT OF BOUND"
		}
		rows = append(rows, []string{quantileName(row.Quantile), formatMillis(row.Reported), formatMillis(row.True),
			formatMillis((row.Reported - row.True).Abs()), formatMillis(row.Closed), grade})
	}
	writeTable(out, rows)
}
