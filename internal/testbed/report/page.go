package report

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"time"

	"gonum.org/v1/plot"

	"magpiebank/internal/testbed/load/experiment"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"ms": formatMillis, "first": func(rows [][]string) []string { return rows[0] }, "rest": func(rows [][]string) [][]string { return rows[1:] },
	"seconds":  func(length time.Duration) string { return fmt.Sprintf("%.2f", length.Seconds()) },
	"quantile": quantileName,
}).Parse(pageText))

// pageView holds the data for the page's template. The template refers to the fields by name.
type pageView struct {
	*experiment.Result
	Good     bool
	Lanes    [][]string
	Outcomes [][]string
	Pictures []picture
}

type picture struct {
	Title, Text string
	SVG         template.HTML
}

// pagePlots lists the plots of a page with their titles and explanations.
var pagePlots = []struct {
	title, text string
	draw        func(*experiment.Result) (*plot.Plot, error)
}{
	{"Offered and delivered tasks", "Tasks by the second of their intended time.", plotOffered},
	{"Latency over time", "Delivered tasks by the second of their intended time. The cross marks the longest latency.", plotLatency},
	{"Latency by quantile", "Latencies from the intended times, by lane. Each step to the right divides the share of slower tasks by 10.", plotQuantiles},
	{"Outcomes by second", "All outcomes except delivered.", plotOutcomes},
	{"The generator's own delay", "The delay that the load generator adds to latencies, by quantile. A run is late if p99 exceeds the bound.",
		plotGeneratorDelay},
}

// Page writes a result as an HTML page that refers to no other file.
func Page(out io.Writer, result *experiment.Result) error {
	view := pageView{Result: result, Good: result.Good(), Lanes: classRows(result.Metrics), Outcomes: outcomeRows(result.Metrics)}
	for _, pagePlot := range pagePlots {
		drawn, err := pagePlot.draw(result)
		if err != nil {
			return fmt.Errorf("%s: %w", pagePlot.title, err)
		}
		svg, err := renderSVG(drawn)
		if err != nil {
			return fmt.Errorf("%s: %w", pagePlot.title, err)
		}
		view.Pictures = append(view.Pictures, picture{pagePlot.title, pagePlot.text, svg})
	}
	return pageTemplate.Execute(out, view)
}
