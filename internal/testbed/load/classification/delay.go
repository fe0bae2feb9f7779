package classification

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"magpiebank/internal/protocol/mysql"
	"magpiebank/internal/query/costmodel"
	"magpiebank/internal/resourcegroup"
	"magpiebank/internal/testbed/fake"
)

// Delay is the time that parsing, cost estimation and classification add to a look-up, measured on this machine's clock.
type Delay struct {
	Name  string        `json:"name"`
	Count int           `json:"count"`
	P50   time.Duration `json:"p50_ns"`
	P99   time.Duration `json:"p99_ns"`
	P999  time.Duration `json:"p999_ns"`
	Max   time.Duration `json:"max_ns"`
}

// lookupStatement returns a look-up. All look-ups have the same shape, which the model knows.
func lookupStatement(number int) []byte {
	return fmt.Appendf(nil, "SELECT nota, mesa FROM actas_%d.mesas WHERE clave = 'v%d' AND distrito IN (%d, 7, 9) ORDER BY dia LIMIT 20", number%12+1, number, number)
}

// newShapeStatement returns a statement of a shape that no other number has.
func newShapeStatement(number int) []byte {
	return fmt.Appendf(nil, "SELECT c%d, count(*), max(nota) AS m FROM actas_%d.mesas WHERE clave = 'v' AND nota > 3 GROUP BY c%d ORDER BY m DESC LIMIT 5", number, number%12+1, number)
}

// floodInterval says that in a flood of new shapes, one statement in floodInterval has a new shape.
const floodInterval = 10

func floodStatement(number int) []byte {
	if number%floodInterval == 0 {
		return newShapeStatement(number)
	}
	return lookupStatement(number)
}

// MeasureDelays measures the delays of look-ups whose shape is known, of statements of new shapes, and of look-ups among which
// one statement in floodInterval has a new shape.
func MeasureDelays(lookups, newShapes int) []Delay {
	all := func(int) bool { return true }
	isLookup := func(number int) bool { return number%floodInterval != 0 }
	return []Delay{
		measureDelay("known", lookups, lookupStatement, all),
		measureDelay("never seen", newShapes, newShapeStatement, all),
		measureDelay("known, under a flood", lookups, floodStatement, isLookup),
	}
}

// observedLookups is the number of look-ups that the model observes before a measurement.
const observedLookups = 1000

// measureDelay runs count statements and measures the delays of those for which isTimed returns true.
func measureDelay(name string, count int, statementOf func(number int) []byte, isTimed func(number int) bool) Delay {
	plan := newPlan()
	tables := func(*costmodel.Table) (float64, []string, bool) { return tableRows, fake.KeyColumns, true }
	model := costmodel.NewModel(2<<20, 1, tables)
	for number := range observedLookups {
		statement := model.Inspect(lookupStatement(number), number%12+1, 0)
		model.Observe(&statement, 15, 8)
	}
	histogram := hdrhistogram.New(1, int64(10*time.Second), 3)
	delay := Delay{Name: name}
	var input resourcegroup.ClassificationInput
	for number := range count {
		sql := statementOf(number)
		startedAt := time.Now()
		statement := model.Inspect(sql, mysql.TableGroup(sql), 0)
		input = resourcegroup.ClassificationInput{Features: statement.Features(), Estimate: model.Estimate(&statement)}
		plan.Classify(&input)
		took := time.Since(startedAt)
		if isTimed(number) {
			delay.Count++
			_ = histogram.RecordValue(int64(took)) // a time above the histogram's range is left out
		}
	}
	quantile := func(percent float64) time.Duration { return time.Duration(histogram.ValueAtPercentile(percent)) }
	delay.P50, delay.P99, delay.P999, delay.Max = quantile(50), quantile(99), quantile(99.9), time.Duration(histogram.Max())
	return delay
}

// newPlan returns a plan with one class by what the statement reads and one by the statement's estimate, so that both kinds of
// conditions are evaluated in the measurement.
func newPlan() *resourcegroup.Plan {
	fullScan := true
	return &resourcegroup.Plan{Classes: []resourcegroup.Class{
		{Name: "scan", Conditions: resourcegroup.Conditions{FullScan: &fullScan, Tables: []resourcegroup.TablePattern{{Schema: "actas_*", Name: "mesas"}}}},
		{Name: "dear", Conditions: resourcegroup.Conditions{MinUpperMillis: 5000}},
	}}
}

// maxDelay bounds the delay of a look-up at p99.9. It is a hundredth of the slack that the shortest latency objectives
// leave.
const maxDelay = time.Millisecond

// CheckDelays reports whether all but one in a thousand delays are below maxDelay. The maximum is shown without a bound,
// because on a shared machine the scheduler usually causes it.
func CheckDelays(delays []Delay) (good bool, lines []string) {
	good = true
	for _, delay := range delays {
		verdict := "good"
		if delay.P999 >= maxDelay {
			verdict, good = "BAD ", false
		}
		lines = append(lines, fmt.Sprintf("%s   delay of a look-up, %s: p99.9 %v, the bound is %v; at most %v", verdict, delay.Name, delay.P999, maxDelay, delay.Max))
	}
	return good, lines
}

// ShowDelays writes the delays as a table.
func ShowDelays(out io.Writer, delays []Delay) {
	fmt.Fprintln(out, "delay added to a look-up by reading, costing and classing it, in microseconds (this machine)")
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, strings.Join([]string{"shape", "count", "p50", "p99", "p99.9", "max", ""}, "\t"))
	micros := func(length time.Duration) string { return fmt.Sprintf("%.1f", float64(length)/1000) }
	for _, delay := range delays {
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%s\t\n", delay.Name, delay.Count, micros(delay.P50), micros(delay.P99), micros(delay.P999), micros(delay.Max))
	}
	_ = table.Flush() // a write error is ignored, as on the lines around this one
	fmt.Fprintln(out)
}
