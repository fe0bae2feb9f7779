// Package digest summarizes recorded statements by their shapes: which cost most, and why.
package digest

import (
	"cmp"
	"fmt"
	"html/template"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"magpiebank/internal/query/costmodel"
	"magpiebank/internal/query/sqltext"
)

// Entry is one recorded statement.
type Entry struct {
	Shape        uint64
	TableGroup   int
	Text         string // empty: not recorded
	Elapsed      time.Duration
	RowsExamined int64
}

// Row is the summary of one shape.
type Row struct {
	Shape            string   `json:"shape"`
	Count            int      `json:"count"`
	Share            float64  `json:"share"`    // of the time of all statements, or of their number if no times are known
	TotalMS          float64  `json:"total_ms"` // 0: unknown
	MeanMS           float64  `json:"mean_ms"`
	P50MS            float64  `json:"p50_ms"`
	P99MS            float64  `json:"p99_ms"`
	WorstMS          float64  `json:"worst_ms"`
	BadPlanShare     float64  `json:"bad_share"` // share of the statements that took more than five times the median
	MeanRowsExamined float64  `json:"rows_examined_mean"`
	TableGroups      int      `json:"groups"` // number of groups of tables
	Verb             string   `json:"verb"`   // empty: the text was not recorded
	FullScanOf       string   `json:"full_scan_of"`
	Parsed           bool     `json:"parsed"`
	Tables           []string `json:"tables"`
	Normalized       string   `json:"normal"`
}

// Digest is the summary of a recording.
type Digest struct {
	Statements           int     `json:"statements"`
	Shapes               int     `json:"shapes"`
	TotalMS              float64 `json:"total_ms"`
	StatementsBySnapshot int     `json:"statements_by_snapshot"` // statements whose time is the usual time in a snapshot
	Rows                 []Row   `json:"rows"`                   // the most expensive shapes, in descending order
	ShapesLeftOut        int     `json:"shapes_left_out"`
	ShareLeftOut         float64 `json:"share_left_out"`
}

// CostLookup returns the usual work, in milliseconds, of a shape on a group of tables. It is used for recordings
// without times. ok is false if the work is unknown.
type CostLookup func(shape uint64, group int) (millis float64, ok bool)

// shapeTotals holds the totals of the entries of one shape.
type shapeTotals struct {
	shape        uint64
	count        int
	totalMS      float64
	worstMS      float64
	rowsExamined int64
	sketch       costmodel.Sketch
	groups       map[int]bool
	text         string
}

// maxTableGroups limits the groups of tables that are counted for a shape. A shape with more groups is shown with this
// number.
const maxTableGroups = 1000

// Summarize summarizes entries by their shapes. The digest has a row for each of the most expensive shapes, up to
// maxShapes rows. tables returns what an operator has declared about tables, and costs the usual work in a snapshot;
// both may be nil.
func Summarize(entries []Entry, maxShapes int, tables costmodel.TableLookup, costs CostLookup) *Digest {
	s := summarizer{digest: &Digest{Statements: len(entries)}, costs: costs, totals: map[uint64]*shapeTotals{}}
	for i := range entries {
		s.add(&entries[i])
	}
	d := s.digest
	d.Shapes = len(s.shapes)
	slices.SortStableFunc(s.shapes, func(a, b *shapeTotals) int { return cmp.Compare(s.share(b), s.share(a)) })
	for n, totals := range s.shapes {
		if n >= maxShapes {
			d.ShapesLeftOut++
			d.ShareLeftOut += s.share(totals)
			continue
		}
		row := totals.row(tables)
		row.Share = s.share(totals)
		d.Rows = append(d.Rows, row)
	}
	return d
}

// summarizer collects the totals of each shape.
type summarizer struct {
	digest *Digest
	costs  CostLookup
	totals map[uint64]*shapeTotals
	shapes []*shapeTotals // the shapes in the order of their first entries, until Summarize sorts them by share
}

func (s *summarizer) add(e *Entry) {
	t := s.totals[e.Shape]
	if t == nil {
		t = &shapeTotals{shape: e.Shape, groups: map[int]bool{}}
		s.totals[e.Shape] = t
		s.shapes = append(s.shapes, t)
	}
	t.count++
	millis := s.millisOf(e)
	if millis > 0 {
		t.totalMS += millis
		t.worstMS = max(t.worstMS, millis)
		t.sketch.Add(millis)
	}
	t.rowsExamined += e.RowsExamined
	if len(t.groups) < maxTableGroups {
		t.groups[e.TableGroup] = true
	}
	if t.text == "" {
		t.text = e.Text
	}
	s.digest.TotalMS += millis
}

// millisOf returns how long an entry took: the recorded time, or else the usual time of its shape. It returns 0 if
// both are unknown.
func (s *summarizer) millisOf(e *Entry) float64 {
	if e.Elapsed != 0 || s.costs == nil {
		return float64(e.Elapsed) / float64(time.Millisecond)
	}
	usual, ok := s.costs(e.Shape, e.TableGroup)
	if !ok {
		return 0
	}
	s.digest.StatementsBySnapshot++
	return usual
}

// share returns the share of a shape in the time of all statements, or in their number if no times are known.
func (s *summarizer) share(t *shapeTotals) float64 {
	if s.digest.TotalMS > 0 {
		return t.totalMS / s.digest.TotalMS
	}
	return float64(t.count) / float64(max(1, s.digest.Statements))
}

// row returns the row of a shape, in which Share is not set.
func (t *shapeTotals) row(tables costmodel.TableLookup) Row {
	row := Row{Shape: fmt.Sprintf("%016x", t.shape), Count: t.count, TotalMS: t.totalMS, WorstMS: t.worstMS,
		MeanRowsExamined: float64(t.rowsExamined) / float64(t.count), TableGroups: len(t.groups)}
	if t.sketch.Count() > 0 {
		row.MeanMS = t.totalMS / float64(t.count)
		row.P50MS = min(t.worstMS, t.sketch.Quantile(0.5))
		row.P99MS = min(t.worstMS, t.sketch.Quantile(0.99))
		_, _, row.BadPlanShare, _ = t.sketch.SplitModes()
	}
	if t.text == "" {
		return row
	}
	features := costmodel.ReadFeaturesWithTables([]byte(t.text), tables)
	row.Verb, row.Parsed = features.Verb.String(), features.Parsed
	if table := features.FullScan(); table != nil {
		row.FullScanOf = table.String()
	}
	for i := range features.Tables {
		row.Tables = append(row.Tables, features.Tables[i].String())
	}
	row.Normalized = strings.TrimSpace(string(sqltext.AppendNormalized(nil, []byte(t.text))))
	return row
}

// WriteText writes a digest as plain text: a table of the rows, and the statement of each row.
func (d *Digest) WriteText(out io.Writer) error {
	fmt.Fprintf(out, "%d statements of %d shapes, %.1f s in all\n", d.Statements, d.Shapes, d.TotalMS/1000)
	if d.StatementsBySnapshot > 0 {
		fmt.Fprintf(out, "%d of them with the usual time from the snapshot\n", d.StatementsBySnapshot)
	}
	fmt.Fprintln(out)
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "share\tcount\tmean ms\tp50\tp99\tworst\tbad\trows read\tgroups\tverb\t")
	for _, row := range d.Rows {
		fmt.Fprintf(table, "%.1f%%\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.0f%%\t%.0f\t%d\t%s\t\n", 100*row.Share, row.Count, row.MeanMS, row.P50MS, row.P99MS,
			row.WorstMS, 100*row.BadPlanShare, row.MeanRowsExamined, row.TableGroups, row.Verb)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if d.ShapesLeftOut > 0 {
		fmt.Fprintf(out, "%d more shapes, %.1f%%\n", d.ShapesLeftOut, 100*d.ShareLeftOut)
	}
	for i, row := range d.Rows {
		fmt.Fprintf(out, "\n%d. shape %s\n", i+1, row.Shape)
		if row.Normalized == "" {
			fmt.Fprintln(out, "   its text was not recorded")
			continue
		}
		fmt.Fprintf(out, "   %s\n", truncate(row.Normalized, 400))
		if row.FullScanOf != "" {
			fmt.Fprintf(out, "   reads the whole of %s\n", row.FullScanOf)
		}
	}
	return nil
}

// truncate shortens a text to at most maxCharacters characters and appends " ..." if it was longer.
func truncate(text string, maxCharacters int) string {
	if characters := []rune(text); len(characters) > maxCharacters {
		return string(characters[:maxCharacters]) + " ..."
	}
	return text
}

var htmlPage = template.Must(template.New("digest").Funcs(template.FuncMap{
	"percent": func(v float64) string { return fmt.Sprintf("%.1f%%", 100*v) },
	"one":     func(v float64) string { return fmt.Sprintf("%.1f", v) },
	"seconds": func(ms float64) string { return fmt.Sprintf("%.1f", ms/1000) },
	"cut":     func(s string) string { return truncate(s, 2000) },
}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Statements by cost</title>
<style>body{font:15px/1.5 sans-serif;margin:2em;max-width:80em}table{border-collapse:collapse}th,td{padding:.3em .7em;text-align:right;
border-bottom:1px solid #ccc;vertical-align:top}td.t,th.t{text-align:left}code{white-space:pre-wrap;word-break:break-word}.f{color:#a33}</style></head>
<body><h1>Statements by cost</h1>
<p>{{.Statements}} statements of {{.Shapes}} shapes, {{seconds .TotalMS}} s in all.{{if .StatementsBySnapshot}} {{.StatementsBySnapshot}} of them with the usual
time from the snapshot.{{end}}{{if .ShapesLeftOut}} {{.ShapesLeftOut}} further shapes, {{percent .ShareLeftOut}}, are left out.{{end}}</p>
<table><tr><th>share</th><th>count</th><th>mean ms</th><th>p50</th><th>p99</th><th>worst</th><th>bad plans</th><th>rows read</th><th>groups</th><th class="t">statement</th></tr>
{{range .Rows}}<tr><td>{{percent .Share}}</td><td>{{.Count}}</td><td>{{one .MeanMS}}</td><td>{{one .P50MS}}</td><td>{{one .P99MS}}</td><td>{{one .WorstMS}}</td>
<td>{{percent .BadPlanShare}}</td><td>{{one .MeanRowsExamined}}</td><td>{{.TableGroups}}</td><td class="t"><code>{{if .Normalized}}{{cut .Normalized}}{{else}}shape {{.Shape}}, text not recorded{{end}}</code>
{{if .FullScanOf}}<br><span class="f">reads the whole of {{.FullScanOf}}</span>{{end}}</td></tr>
{{end}}</table></body></html>
`))

// WriteHTML writes a digest as an HTML page.
func (d *Digest) WriteHTML(out io.Writer) error { return htmlPage.Execute(out, d) }
