package report

import (
	"bytes"
	"html/template"
	"image/color"
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

const (
	pictureWidth  = 22 * vg.Centimeter
	pictureHeight = 8 * vg.Centimeter
)

// seriesColors are the colors of lines. Readers with red-green color blindness can distinguish them, too.
var seriesColors = []color.Color{color.RGBA{0, 114, 178, 255}, color.RGBA{213, 94, 0, 255}, color.RGBA{0, 158, 115, 255},
	color.RGBA{204, 121, 167, 255}, color.RGBA{86, 180, 233, 255}, color.RGBA{230, 159, 0, 255}, color.RGBA{60, 60, 60, 255}}

// Indexes into seriesColors for series and marks with a fixed color.
const (
	colorOffered = 0
	colorWorst   = 1
	colorServed  = 2
	colorNone    = 6
)

// renderSVG draws a plot as an SVG element, without the XML header before it.
func renderSVG(drawn *plot.Plot) (template.HTML, error) {
	boundLogAxis(&drawn.Y)
	canvas := vgsvg.New(pictureWidth, pictureHeight)
	drawn.Draw(draw.New(canvas))
	var buffer bytes.Buffer
	_, err := canvas.WriteTo(&buffer)
	if err != nil {
		return "", err
	}
	text := buffer.String()
	if start := strings.Index(text, "<svg"); start > 0 {
		text = text[start:]
	}
	return template.HTML(text), nil // safe: the library makes it from numbers and names, and escapes the names
}

// boundLogAxis sets the range of a logarithmic axis if the plotted values give none: there are no values, or all are equal.
func boundLogAxis(axis *plot.Axis) {
	_, isLog := axis.Scale.(plot.LogScale)
	if !isLog || axis.Min > 0 && axis.Max > axis.Min && !math.IsInf(axis.Min, 0) {
		return
	}
	height := axis.Min
	if !(height > 0) || math.IsInf(height, 0) {
		height = 1
	}
	axis.Min, axis.Max = height/2, 2*height
}

func newPlot(xLabel, yLabel string) *plot.Plot {
	created := plot.New()
	created.X.Label.Text, created.Y.Label.Text = xLabel, yLabel
	created.Legend.Top = true
	created.Add(plotter.NewGrid())
	return created
}

func useLogAxis(target *plot.Plot) {
	target.Y.Scale, target.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
}

// newQuantilePlot returns a plot for latencies by quantile.
func newQuantilePlot() *plot.Plot {
	created := newPlot("quantile", "milliseconds")
	useLogAxis(created)
	created.X.Tick.Marker = quantileTicks{}
	return created
}

// addLine adds a series as a line in a color of seriesColors, selected by colorIndex modulo their number. A series without points is
// left out.
func addLine(target *plot.Plot, name string, points plotter.XYs, colorIndex int) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color, line.Width = seriesColors[colorIndex%len(seriesColors)], vg.Points(1.5)
	target.Add(line)
	target.Legend.Add(name, line)
	return nil
}

// pointsBySecond returns one point for each second of a run, with the second as x and its value as y.
func pointsBySecond(result *experiment.Result, value func(second int) float64) (points plotter.XYs) {
	for second := range result.Metrics.Seconds {
		points = append(points, plotter.XY{X: float64(second), Y: value(second)})
	}
	return points
}

func plotOffered(result *experiment.Result) (*plot.Plot, error) {
	drawn := newPlot("second", "tasks")
	seconds := result.Metrics.Seconds
	offered := pointsBySecond(result, func(second int) float64 { return float64(seconds[second].Offered) })
	err := addLine(drawn, "offered", offered, colorOffered)
	if err != nil {
		return nil, err
	}
	served := pointsBySecond(result, func(second int) float64 { return float64(seconds[second].Outcomes[client.Served]) })
	return drawn, addLine(drawn, "delivered", served, colorServed)
}

// logMillis returns a latency in milliseconds for a logarithmic axis, and at least 0.01 because such an axis has no 0.
func logMillis(latency time.Duration) float64 {
	return math.Max(0.01, float64(latency)/float64(time.Millisecond))
}

func plotLatency(result *experiment.Result) (*plot.Plot, error) {
	drawn := newPlot("second", "milliseconds")
	useLogAxis(drawn)
	for index, series := range []struct {
		name     string
		quantile float64
	}{{"p50", 0.5}, {"p99", 0.99}, {"worst", 1}} {
		err := addLine(drawn, series.name, latencyBySecond(result, series.quantile), index)
		if err != nil {
			return nil, err
		}
	}
	return drawn, markWorst(drawn, result)
}

// latencyBySecond returns a quantile of the latencies in each second that has served requests. The quantile 1 is the exact maximum.
func latencyBySecond(result *experiment.Result, quantile float64) (points plotter.XYs) {
	for index := range result.Metrics.Seconds {
		second := &result.Metrics.Seconds[index]
		if second.Outcomes[client.Served] == 0 {
			continue
		}
		latency := second.Worst
		if quantile < 1 {
			latency = second.Quantile(quantile)
		}
		points = append(points, plotter.XY{X: float64(index), Y: logMillis(latency)})
	}
	return points
}

// markWorst marks the longest latency of a run with a cross.
func markWorst(target *plot.Plot, result *experiment.Result) error {
	worst, worstSecond := time.Duration(0), 0
	for index := range result.Metrics.Seconds {
		second := &result.Metrics.Seconds[index]
		if second.Outcomes[client.Served] > 0 && second.Worst > worst {
			worst, worstSecond = second.Worst, index
		}
	}
	if worst <= 0 {
		return nil
	}
	cross, err := plotter.NewScatter(plotter.XYs{{X: float64(worstSecond), Y: logMillis(worst)}})
	if err != nil {
		return err
	}
	cross.Shape, cross.Radius, cross.Color = draw.CrossGlyph{}, vg.Points(6), seriesColors[colorWorst]
	target.Add(cross)
	return nil
}

// The axis of quantiles is logarithmic: the quantiles 90%, 99%, 99.9% and so on are at equal distances of 1.
const (
	maxNines  = 5    // the end of the axis, at 99.999%
	ninesStep = 0.05 // distance between points of a line
)

// nines returns the position of a quantile on the axis of quantiles: its number of nines, 2 for 0.99.
func nines(quantile float64) float64 { return -math.Log10(1 - quantile) }

// quantileTicks labels the axis of quantiles.
type quantileTicks struct{}

// Ticks implements plot.Ticker.
func (quantileTicks) Ticks(low, high float64) (ticks []plot.Tick) {
	for _, tick := range []struct {
		quantile float64
		label    string
	}{{0, "0"}, {0.5, "50%"}, {0.9, "90%"}, {0.99, "99%"}, {0.999, "99.9%"}, {0.9999, "99.99%"}, {0.99999, "99.999%"}} {
		if value := nines(tick.quantile); value >= low && value <= high {
			ticks = append(ticks, plot.Tick{Value: value, Label: tick.label})
		}
	}
	return ticks
}

// pointsByQuantile returns points for the quantiles of a distribution of count latencies. It leaves out the quantiles above which the
// distribution has no latency.
func pointsByQuantile(count int64, latency func(quantile float64) time.Duration) (points plotter.XYs) {
	for x := 0.0; x <= maxNines; x += ninesStep {
		quantile := 1 - math.Pow(10, -x)
		if float64(count)*(1-quantile) < 0.5 { // no latency is above this quantile
			break
		}
		points = append(points, plotter.XY{X: x, Y: logMillis(latency(quantile))})
	}
	return points
}

func plotQuantiles(result *experiment.Result) (*plot.Plot, error) {
	drawn := newQuantilePlot()
	for index := range result.Metrics.Classes {
		class := &result.Metrics.Classes[index]
		points := pointsByQuantile(class.Outcomes[client.Served].TotalCount(),
			func(quantile float64) time.Duration { return class.Quantile(client.Served, quantile) })
		err := addLine(drawn, class.Name, points, index)
		if err != nil {
			return nil, err
		}
	}
	return drawn, nil
}

func plotOutcomes(result *experiment.Result) (*plot.Plot, error) {
	drawn := newPlot("second", "tasks")
	lines := 0
	for outcome := client.Served + 1; outcome < client.Outcome(client.OutcomeCount); outcome++ {
		if result.Metrics.Count(outcome) == 0 {
			continue
		}
		points := pointsBySecond(result, func(second int) float64 { return float64(result.Metrics.Seconds[second].Outcomes[outcome]) })
		err := addLine(drawn, outcome.String(), points, lines)
		if err != nil {
			return nil, err
		}
		lines++
	}
	if lines == 0 {
		return drawn, addLine(drawn, "none", pointsBySecond(result, func(int) float64 { return 0 }), colorNone)
	}
	return drawn, nil
}

func plotGeneratorDelay(result *experiment.Result) (*plot.Plot, error) {
	drawn := newQuantilePlot()
	metrics := result.Metrics
	err := addLine(drawn, "own delay", pointsByQuantile(metrics.Total(), metrics.GeneratorDelayQuantile), 0)
	if err != nil {
		return nil, err
	}
	return drawn, addLine(drawn, "waits for a connection", pointsByQuantile(metrics.Total(), metrics.QueueDelayQuantile), 1)
}
