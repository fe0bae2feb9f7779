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

// Delays times a million look-ups whose shape is known, some ten thousand of shapes never seen, and a million known ones
// among which every tenth is of a shape that never comes again.
func Delays(known, fresh int) []Delay {
	yes := true
	plan := &resourcegroup.Plan{Classes: []resourcegroup.Class{{Name: "scan", Conditions: resourcegroup.Conditions{FullScan: &yes, Tables: []resourcegroup.TablePattern{{Schema: "actas_*", Name: "mesas"}}}},
		{Name: "dear", Conditions: resourcegroup.Conditions{MinUpperMillis: 5000}}}}
	tables := func(*costmodel.Table) (float64, []string, bool) { return 1e6, fake.Keys, true }
	look := func(n int) []byte {
		return fmt.Appendf(nil, "SELECT nota, mesa FROM actas_%d.mesas WHERE clave = 'v%d' AND distrito IN (%d, 7, 9) ORDER BY dia LIMIT 20", n%12+1, n, n)
	}
	other := func(n int) []byte {
		return fmt.Appendf(nil, "SELECT c%d, count(*), max(nota) AS m FROM actas_%d.mesas WHERE clave = 'v' AND nota > 3 GROUP BY c%d ORDER BY m DESC LIMIT 5", n, n%12+1, n)
	}
	measure := func(name string, count int, text func(n int) []byte, timed func(n int) bool) Delay {
		book := costmodel.NewModel(2<<20, 1, tables)
		for n := range 1000 {
			s := book.Inspect(look(n), n%12+1, 0)
			book.Observe(&s, 15, 8)
		}
		h := hdrhistogram.New(1, int64(10*time.Second), 3)
		d := Delay{Name: name}
		var subject resourcegroup.Subject
		for n := range count {
			sql := text(n)
			began := time.Now()
			s := book.Inspect(sql, mysql.TableGroup(sql), 0)
			subject = resourcegroup.Subject{Features: s.Features(), Estimate: book.Estimate(&s)}
			plan.Classify(&subject)
			if took := time.Since(began); timed(n) {
				d.Count++
				h.RecordValue(int64(took))
			}
		}
		quantile := func(q float64) time.Duration { return time.Duration(h.ValueAtPercentile(q)) }
		d.P50, d.P99, d.P999, d.Max = quantile(50), quantile(99), quantile(99.9), time.Duration(h.Max())
		return d
	}
	all := func(int) bool { return true }
	return []Delay{
		measure("known", known, look, all),
		measure("never seen", fresh, other, all),
		measure("known, under a flood", known, func(n int) []byte {
			if n%10 == 0 {
				return other(n)
			}
			return look(n)
		}, func(n int) bool { return n%10 != 0 }),
	}
}

// mostDelay is what reading a statement may add to a look-up: a hundredth of what the shortest quoted times leave.
const mostDelay = time.Millisecond

// JudgeDelays tells whether all but one of a thousand stay under it; the most is shown, which on a shared machine is the
// scheduler's as a rule.
func JudgeDelays(list []Delay) (good bool, text []string) {
	good = true
	for _, d := range list {
		ok := d.P999 < mostDelay
		word := "good"
		if !ok {
			word, good = "BAD ", false
		}
		text = append(text, fmt.Sprintf("%s   delay of a look-up, %s: p99.9 %v, the bound is %v; at most %v", word, d.Name, d.P999, mostDelay, d.Max))
	}
	return good, text
}

// ShowDelays writes them as a table.
func ShowDelays(out io.Writer, list []Delay) {
	fmt.Fprintln(out, "delay added to a look-up by reading, costing and classing it, in microseconds (this machine)")
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, strings.Join([]string{"shape", "count", "p50", "p99", "p99.9", "max", ""}, "\t"))
	us := func(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d)/1000) }
	for _, d := range list {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\t\n", d.Name, d.Count, us(d.P50), us(d.P99), us(d.P999), us(d.Max))
	}
	w.Flush()
	fmt.Fprintln(out)
}
