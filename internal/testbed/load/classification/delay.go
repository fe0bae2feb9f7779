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

// Delay is what reading, costing and classing adds to a look-up, on this machine's clock.
type Delay struct {
	Name  string        `json:"name"`
	Count int           `json:"count"`
	P50   time.Duration `json:"p50_ns"`
	P99   time.Duration `json:"p99_ns"`
	P999  time.Duration `json:"p999_ns"`
	Max   time.Duration `json:"max_ns"`
}

// lookUp is a statement whose shape is known, and newShape one whose shape never comes again.
func lookUp(number int) []byte {
	return fmt.Appendf(nil, "SELECT nota, mesa FROM actas_%d.mesas WHERE clave = 'v%d' AND distrito IN (%d, 7, 9) ORDER BY dia LIMIT 20", number%12+1, number, number)
}

func newShape(number int) []byte {
	return fmt.Appendf(nil, "SELECT c%d, count(*), max(nota) AS m FROM actas_%d.mesas WHERE clave = 'v' AND nota > 3 GROUP BY c%d ORDER BY m DESC LIMIT 5", number, number%12+1, number)
}

// floodInterval is how often a statement of a new shape comes under a flood of them.
const floodInterval = 10

func floodedLookUp(number int) []byte {
	if number%floodInterval == 0 {
		return newShape(number)
	}
	return lookUp(number)
}

// MeasureDelays times look-ups whose shape is known, some of shapes never seen, and known ones among which every tenth is of a
// shape that never comes again.
func MeasureDelays(known, fresh int) []Delay {
	all := func(int) bool { return true }
	isLookUp := func(number int) bool { return number%floodInterval != 0 }
	return []Delay{
		measureDelay("known", known, lookUp, all),
		measureDelay("never seen", fresh, newShape, all),
		measureDelay("known, under a flood", known, floodedLookUp, isLookUp),
	}
}

// knownLookUps is how many look-ups the model has observed before a measurement begins.
const knownLookUps = 1000

// measureDelay times so many statements of those that isTimed names.
func measureDelay(name string, count int, text func(number int) []byte, isTimed func(number int) bool) Delay {
	plan := newPlan()
	tables := func(*costmodel.Table) (float64, []string, bool) { return tableRows, fake.KeyColumns, true }
	model := costmodel.NewModel(2<<20, 1, tables)
	for number := range knownLookUps {
		statement := model.Inspect(lookUp(number), number%12+1, 0)
		model.Observe(&statement, 15, 8)
	}
	histogram := hdrhistogram.New(1, int64(10*time.Second), 3)
	delay := Delay{Name: name}
	var subject resourcegroup.ClassificationInput
	for number := range count {
		sql := text(number)
		startedAt := time.Now()
		statement := model.Inspect(sql, mysql.TableGroup(sql), 0)
		subject = resourcegroup.ClassificationInput{Features: statement.Features(), Estimate: model.Estimate(&statement)}
		plan.Classify(&subject)
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

// newPlan has one class by what the statement reads and one by its estimate, so that both kinds of conditions are timed.
func newPlan() *resourcegroup.Plan {
	fullScan := true
	return &resourcegroup.Plan{Classes: []resourcegroup.Class{
		{Name: "scan", Conditions: resourcegroup.Conditions{FullScan: &fullScan, Tables: []resourcegroup.TablePattern{{Schema: "actas_*", Name: "mesas"}}}},
		{Name: "dear", Conditions: resourcegroup.Conditions{MinUpperMillis: 5000}},
	}}
}

// maxDelay is what reading a statement may add to a look-up: a hundredth of what the shortest latency objectives leave.
const maxDelay = time.Millisecond

// CheckDelays tells whether all but one of a thousand delays stay under the bound. The longest one is shown alone, because
// on a shared machine it is the scheduler's as a rule.
func CheckDelays(delays []Delay) (good bool, text []string) {
	good = true
	for _, delay := range delays {
		verdict := "good"
		if delay.P999 >= maxDelay {
			verdict, good = "BAD ", false
		}
		text = append(text, fmt.Sprintf("%s   delay of a look-up, %s: p99.9 %v, the bound is %v; at most %v", verdict, delay.Name, delay.P999, maxDelay, delay.Max))
	}
	return good, text
}

// ShowDelays writes delays as a table.
func ShowDelays(out io.Writer, delays []Delay) {
	fmt.Fprintln(out, "delay added to a look-up by reading, costing and classing it, in microseconds (this machine)")
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, strings.Join([]string{"shape", "count", "p50", "p99", "p99.9", "max", ""}, "\t"))
	micros := func(length time.Duration) string { return fmt.Sprintf("%.1f", float64(length)/1000) }
	for _, delay := range delays {
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%s\t\n", delay.Name, delay.Count, micros(delay.P50), micros(delay.P99), micros(delay.P999), micros(delay.Max))
	}
	_ = table.Flush() // an error of the output, as those of the lines around it
	fmt.Fprintln(out)
}
