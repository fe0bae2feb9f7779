package report

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"math"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"magpiebank/internal/testbed/load/client"
	"magpiebank/internal/testbed/load/experiment"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"ms": ms, "first": func(rows [][]string) []string { return rows[0] }, "rest": func(rows [][]string) [][]string { return rows[1:] },
	"seconds": func(d time.Duration) string { return fmt.Sprintf("%.2f", d.Seconds()) },
	"quantile": func(q float64) string {
		if q == 1 {
			return "max"
		}
		return fmt.Sprintf("p%g", 100*q)
	},
}).Parse(pageText))

// Page writes a result as one HTML page that needs no other file.
func Page(w io.Writer, r *experiment.Result) error {
	type picture struct {
		Title, Text string
		SVG         template.HTML
	}
	view := struct {
		*experiment.Result
		Good     bool
		Lanes    [][]string
		Outcomes [][]string
		Pictures []picture
	}{Result: r, Good: r.Good(), Lanes: classRows(r.Figures), Outcomes: outcomeRows(r.Figures)}
	for _, p := range []struct {
		title, text string
		draw        func(*experiment.Result) (*plot.Plot, error)
	}{
		{"Offered against answered", "Tasks by the second in which they were intended.", offeredPlot},
		{"Latency over time", "Delivered tasks by the second in which they were intended; the cross marks the worst.", latencyPlot},
		{"Latency by quantile", "From the intended times, by lane; to the right ever fewer tasks are slower.", quantilePlot},
		{"Outcomes by second", "All ends but delivered.", outcomePlot},
		{"The generator's own delay", "What of the latencies is the generator's, by quantile; a run is late where p99 passes the bound.",
			generatorDelayPlot},
	} {
		drawn, err := p.draw(r)
		if err != nil {
			return fmt.Errorf("%s: %w", p.title, err)
		}
		svg, err := render(drawn)
		if err != nil {
			return fmt.Errorf("%s: %w", p.title, err)
		}
		view.Pictures = append(view.Pictures, picture{p.title, p.text, svg})
	}
	return pageTemplate.Execute(w, view)
}

// render draws a plot as an SVG element.
func render(p *plot.Plot) (template.HTML, error) {
	if _, log := p.Y.Scale.(plot.LogScale); log && !(p.Y.Min > 0 && p.Y.Max > p.Y.Min && !math.IsInf(p.Y.Min, 0)) {
		// With nothing to draw, or all at one height, the logarithmic axis has no range of its own.
		lowest := p.Y.Min
		if !(lowest > 0) || math.IsInf(lowest, 0) {
			lowest = 1
		}
		p.Y.Min, p.Y.Max = lowest/2, 2*lowest
	}
	c := vgsvg.New(22*vg.Centimeter, 8*vg.Centimeter)
	p.Draw(draw.New(c))
	var svg bytes.Buffer
	if _, err := c.WriteTo(&svg); err != nil {
		return "", err
	}
	text := svg.String()
	if i := strings.Index(text, "<svg"); i > 0 {
		text = text[i:]
	}
	return template.HTML(text), nil // made by the library from numbers and the names that it escapes
}

// colors can also be told apart by readers who don't distinguish red and green.
var colors = []color.Color{color.RGBA{0, 114, 178, 255}, color.RGBA{213, 94, 0, 255}, color.RGBA{0, 158, 115, 255},
	color.RGBA{204, 121, 167, 255}, color.RGBA{86, 180, 233, 255}, color.RGBA{230, 159, 0, 255}, color.RGBA{60, 60, 60, 255}}

func newPlot(x, y string) *plot.Plot {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = x, y
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

// addLine adds a line in one of the colors, unless it has no points.
func addLine(p *plot.Plot, name string, xy plotter.XYs, color int) error {
	if len(xy) == 0 {
		return nil
	}
	line, err := plotter.NewLine(xy)
	if err != nil {
		return err
	}
	line.Color, line.Width = colors[color%len(colors)], vg.Points(1.5)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

// bySecond are the points of a value for each second of a run.
func bySecond(r *experiment.Result, value func(second int) float64) (xy plotter.XYs) {
	for i := range r.Figures.Seconds {
		xy = append(xy, plotter.XY{X: float64(i), Y: value(i)})
	}
	return xy
}

func offeredPlot(r *experiment.Result) (*plot.Plot, error) {
	p := newPlot("second", "tasks")
	s := r.Figures.Seconds
	if err := addLine(p, "offered", bySecond(r, func(i int) float64 { return float64(s[i].Offered) }), 0); err != nil {
		return nil, err
	}
	return p, addLine(p, "delivered", bySecond(r, func(i int) float64 { return float64(s[i].Outcomes[client.Served]) }), 2)
}

// logMS is a latency in milliseconds on a logarithmic axis, which has no 0.
func logMS(d time.Duration) float64 { return math.Max(0.01, float64(d)/float64(time.Millisecond)) }

func logAxis(p *plot.Plot) {
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
}

func latencyPlot(r *experiment.Result) (*plot.Plot, error) {
	p := newPlot("second", "milliseconds")
	logAxis(p)
	worst, at := time.Duration(0), 0
	for n, q := range []float64{0.5, 0.99, 1} {
		var xy plotter.XYs
		for i := range r.Figures.Seconds {
			s := &r.Figures.Seconds[i]
			if s.Outcomes[client.Served] == 0 {
				continue
			}
			d := s.Quantile(q)
			if q == 1 {
				if d = s.Worst; d > worst {
					worst, at = d, i
				}
			}
			xy = append(xy, plotter.XY{X: float64(i), Y: logMS(d)})
		}
		if err := addLine(p, []string{"p50", "p99", "worst"}[n], xy, n); err != nil {
			return nil, err
		}
	}
	if worst > 0 {
		mark, err := plotter.NewScatter(plotter.XYs{{X: float64(at), Y: logMS(worst)}})
		if err != nil {
			return nil, err
		}
		mark.Shape, mark.Radius, mark.Color = draw.CrossGlyph{}, vg.Points(6), colors[1]
		p.Add(mark)
	}
	return p, nil
}

// nines is the position of a quantile on an axis with equal steps from each nine to the next.
func nines(q float64) float64 { return -math.Log10(1 - q) }

type nineTicks struct{}

func (nineTicks) Ticks(lo, hi float64) (out []plot.Tick) {
	for _, t := range []struct {
		q    float64
		name string
	}{{0, "0"}, {0.5, "50%"}, {0.9, "90%"}, {0.99, "99%"}, {0.999, "99.9%"}, {0.9999, "99.99%"}, {0.99999, "99.999%"}} {
		if v := nines(t.q); v >= lo && v <= hi {
			out = append(out, plot.Tick{Value: v, Label: t.name})
		}
	}
	return out
}

// byQuantile are the points of a distribution of so many values, up to its last one.
func byQuantile(count int64, quantile func(q float64) time.Duration) (xy plotter.XYs) {
	for x := 0.0; x <= 5; x += 0.05 {
		q := 1 - math.Pow(10, -x)
		if float64(count)*(1-q) < 0.5 { // no request lies beyond
			break
		}
		xy = append(xy, plotter.XY{X: x, Y: logMS(quantile(q))})
	}
	return xy
}

func quantilePlot(r *experiment.Result) (*plot.Plot, error) {
	p := newPlot("quantile", "milliseconds")
	logAxis(p)
	p.X.Tick.Marker = nineTicks{}
	for i := range r.Figures.Classes {
		l := &r.Figures.Classes[i]
		xy := byQuantile(l.Outcomes[client.Served].TotalCount(), func(q float64) time.Duration { return l.Quantile(client.Served, q) })
		if err := addLine(p, l.Name, xy, i); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func outcomePlot(r *experiment.Result) (*plot.Plot, error) {
	p := newPlot("second", "tasks")
	n := 0
	for o := client.Served + 1; o < client.Outcome(client.OutcomeCount); o++ {
		if r.Figures.Count(o) == 0 {
			continue
		}
		if err := addLine(p, o.String(), bySecond(r, func(i int) float64 { return float64(r.Figures.Seconds[i].Outcomes[o]) }), n); err != nil {
			return nil, err
		}
		n++
	}
	if n == 0 {
		return p, addLine(p, "none", bySecond(r, func(int) float64 { return 0 }), 6)
	}
	return p, nil
}

func generatorDelayPlot(r *experiment.Result) (*plot.Plot, error) {
	p := newPlot("quantile", "milliseconds")
	logAxis(p)
	p.X.Tick.Marker = nineTicks{}
	if err := addLine(p, "own delay", byQuantile(r.Figures.Total(), r.Figures.GeneratorDelayQuantile), 0); err != nil {
		return nil, err
	}
	return p, addLine(p, "waits for a connection", byQuantile(r.Figures.Total(), r.Figures.QueueDelayQuantile), 1)
}
