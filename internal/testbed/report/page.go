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

// pageView is what the page's template reads.
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

// pagePlots are the plots of a page.
var pagePlots = []struct {
	title, text string
	draw        func(*experiment.Result) (*plot.Plot, error)
}{
	{"Offered against answered", "Tasks by the second in which they were intended.", plotOffered},
	{"Latency over time", "Delivered tasks by the second in which they were intended; the cross marks the worst.", plotLatency},
	{"Latency by quantile", "From the intended times, by lane; to the right ever fewer tasks are slower.", plotQuantiles},
	{"Outcomes by second", "All ends but delivered.", plotOutcomes},
	{"The generator's own delay", "What of the latencies is the generator's, by quantile; a run is late where p99 passes the bound.",
		plotGeneratorDelay},
}

// Page writes a result as one HTML page that needs no other file.
func Page(out io.Writer, result *experiment.Result) error {
	view := pageView{Result: result, Good: result.Good(), Lanes: classRows(result.Metrics), Outcomes: outcomeRows(result.Metrics)}
	for _, figure := range pagePlots {
		drawn, err := figure.draw(result)
		if err != nil {
			return fmt.Errorf("%s: %w", figure.title, err)
		}
		svg, err := renderSVG(drawn)
		if err != nil {
			return fmt.Errorf("%s: %w", figure.title, err)
		}
		view.Pictures = append(view.Pictures, picture{figure.title, figure.text, svg})
	}
	return pageTemplate.Execute(out, view)
}
