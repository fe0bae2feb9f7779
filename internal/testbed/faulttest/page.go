package faulttest

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"slices"
	"strings"
	"time"

	"magpiebank/internal/cluster/history"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

// Sizes in the picture, in units of the SVG.
const (
	rowHeight = 22
	leftEdge  = 70   // x of the start of the load
	plotWidth = 1000 // from the start of the load to the end of the picture's time
)

// band is a rectangle that shows a fault: X and Y are its top left corner, W and H its width and height, Say its tooltip.
type band struct {
	X, Y, W, H float64
	Class, Say string
}

// mark is a circle that shows an event of a history, such as an attempt or a decision. Say is its tooltip.
type mark struct {
	X, Y       float64
	Class, Say string
}

// row is the label of a process's or an engine's row.
type row struct {
	Y    float64
	Name string
}

// axisLabel is a labeled time on the time axis.
type axisLabel struct {
	X    float64
	Text string
}

// picture holds the values for the page's template.
type picture struct {
	Title, Verdict string
	Good           bool
	Text           string
	File           string
	Rows           []row
	Bands          []band
	Marks          []mark
	Axis           []axisLabel
	Width, Height  float64
}

// pageWriter computes the positions of a run's faults and events on its page.
type pageWriter struct {
	picture picture
	length  time.Duration      // time that the width of the picture represents
	rows    map[string]float64 // by process or engine: y of the top of its row
	labels  map[incarnation]string
}

// x returns the horizontal position of a time since the start of the load.
func (w *pageWriter) x(at time.Duration) float64 {
	return leftEdge + plotWidth*float64(max(0, min(at, w.length)))/float64(w.length)
}

func (w *pageWriter) addRow(name string) {
	top := float64(len(w.picture.Rows)*rowHeight) + 30
	w.rows[name] = top
	w.picture.Rows = append(w.picture.Rows, row{top + rowHeight/2 + 4, name})
}

func (w *pageWriter) addMark(at float64, top float64, class, tooltip string) {
	w.picture.Marks = append(w.picture.Marks, mark{at, top + rowHeight/2, class, tooltip})
}

// Page writes an HTML page about a run. Its picture has a row for each process and engine, with faults as bands and events as marks.
func (r *Result) Page(out io.Writer) error {
	s := r.Scenario
	w := &pageWriter{
		picture: picture{Title: s.Name, Good: r.Good(), File: s.Text(), Width: leftEdge + plotWidth + 20},
		length:  s.Length + r.ConvergedAgain + time.Second,
		rows:    map[string]float64{},
		labels:  r.labels(),
	}
	for _, gateway := range r.Processes {
		w.addRow(gateway)
	}
	for i := range s.Engines {
		w.addRow(fmt.Sprintf("e-%03d", i+1))
	}
	w.picture.Height = float64(len(w.picture.Rows)*rowHeight) + 60
	tick := max(time.Second, (w.length / 12).Round(time.Second))
	for at := time.Duration(0); at <= w.length; at += tick {
		w.picture.Axis = append(w.picture.Axis, axisLabel{w.x(at), at.String()})
	}
	for i := range s.Steps {
		w.addStep(&s.Steps[i], s.Length)
	}
	slices.SortFunc(w.picture.Bands, func(a, b band) int { return int(100000*(a.Y-b.Y) + a.X - b.X) })
	for i := range r.Events {
		w.addEvent(&r.Events[i], r.StartMonotonic)
	}
	var text strings.Builder
	r.Text(&text)
	w.picture.Text = text.String()
	return page.Execute(out, w.picture)
}

// instantWidth is the length of time with which a step without a length is drawn.
const instantWidth = 300 * time.Millisecond

// addStep draws a step as a band in the row of each process and engine that the step names.
func (w *pageWriter) addStep(step *Step, length time.Duration) {
	until := step.Until
	switch {
	case until != 0:
	case step.Action == "link" || step.Action == "engine":
		until = length
	default:
		until = min(length, step.At+instantWidth)
	}
	tooltip := fmt.Sprintf("%s %s %v to %v: %+v", step.Action, step.EngineState, step.At, until, step.Rule)
	names := step.rowPatterns()
	for name, top := range w.rows {
		if matchesAny(names, name) {
			w.picture.Bands = append(w.picture.Bands, band{w.x(step.At), top, w.x(until) - w.x(step.At), rowHeight - 2, step.Action, tooltip})
		}
	}
}

// rowPatterns returns the patterns of the processes and engines in whose rows a step is drawn. For a link to all gateways or to
// everything, these are only the senders.
func (t *Step) rowPatterns() []string {
	if t.Action != "link" {
		return slices.Concat(t.From, t.Gateways, t.Engines)
	}
	if slices.Contains(t.To, "g*") || slices.Contains(t.To, "*") {
		return t.From
	}
	return slices.Concat(t.From, t.Gateways, t.Engines, t.To)
}

// addEvent draws an event as a mark in the row of its process, and an attempt also in the row of its engine. Other kinds of events than
// attempts, ejections and membership changes are not drawn.
func (w *pageWriter) addEvent(e *history.Event, startMonotonic int64) {
	top, ok := w.rows[w.labels[incarnationOf(e)]]
	if !ok {
		return
	}
	at := w.x(time.Duration(e.At - startMonotonic))
	switch e.Kind {
	case history.AttemptSent:
		if engineTop, ok := w.rows[e.Engine]; ok {
			w.addMark(at, engineTop, "sent", "from "+e.Process)
		}
		w.addMark(at, top, "sent", e.Request+" to "+e.Engine)
	case history.EngineAssessed:
		if e.Ejects {
			w.addMark(at, top, "found", fmt.Sprintf("%s: against %.1f by %d", e.Engine, e.FailureScore, e.Number))
		}
	case history.MemberChanged:
		w.addMark(at, top, e.Code, e.Code+" "+e.Member)
	}
}

// labels returns the label of each incarnation's process, which names its row. A twin has its own label, although it has the name of
// another process.
func (r *Result) labels() map[incarnation]string {
	labels := map[incarnation]string{}
	for i := range r.Events {
		e := &r.Events[i]
		if labels[incarnationOf(e)] == "" {
			labels[incarnationOf(e)] = e.Label
		}
	}
	return labels
}
