package faulttest

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"path"
	"slices"
	"strings"
	"time"

	"magpiebank/internal/cluster/history"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

// The picture's measures, in points.
const (
	rowHeight = 22
	leftEdge  = 70
	wide      = 1000
)

type band struct {
	X, Y, W, H float64
	Class, Say string
}

type mark struct {
	X, Y       float64
	Class, Say string
}

type row struct {
	Y    float64
	Name string
}

type axis struct {
	X    float64
	Text string
}

type picture struct {
	Title, Verdict string
	Good           bool
	Text           string
	File           string
	Rows           []row
	Bands          []band
	Marks          []mark
	Axis           []axis
	Width, Height  float64
}

// Page writes a run as a page: a row a process and an engine, faults as bands, decisions as marks.
func (r *Result) Page(out io.Writer) error {
	s := r.Scenario
	length := s.Length + r.ConvergedAgain + time.Second
	x := func(at time.Duration) float64 {
		return leftEdge + wide*float64(max(0, min(at, length)))/float64(length)
	}
	p := picture{Title: s.Name, Good: r.Good(), File: s.Text(), Width: leftEdge + wide + 20}
	rows := map[string]float64{}
	add := func(name string) {
		rows[name] = float64(len(p.Rows)*rowHeight) + 30
		p.Rows = append(p.Rows, row{rows[name] + rowHeight/2 + 4, name})
	}
	for _, g := range r.Processes {
		add(g)
	}
	for i := range s.Engines {
		add(fmt.Sprintf("e-%03d", i+1))
	}
	p.Height = float64(len(p.Rows)*rowHeight) + 60
	for at := time.Duration(0); at <= length; at += max(time.Second, (length / 12).Round(time.Second)) {
		p.Axis = append(p.Axis, axis{x(at), at.String()})
	}
	for _, t := range s.Steps {
		until := t.Until
		if until == 0 {
			until = min(s.Length, t.At+300*time.Millisecond)
			if t.Action == "link" || t.Action == "engine" {
				until = s.Length
			}
		}
		say := fmt.Sprintf("%s %s %v to %v: %+v", t.Action, t.EngineState, t.At, until, t.Rule)
		names := slices.Concat(t.From, t.Gateways, t.Engines)
		if t.Action == "link" {
			names = append(names, t.To...)
			if slices.Contains(t.To, "g*") || slices.Contains(t.To, "*") {
				names = t.From
			}
		}
		for name, y := range rows {
			for _, n := range names {
				if ok, _ := path.Match(n, name); ok {
					p.Bands = append(p.Bands, band{x(t.At), y, x(until) - x(t.At), rowHeight - 2, t.Action, say})
					break
				}
			}
		}
	}
	slices.SortFunc(p.Bands, func(a, b band) int { return int(100000*(a.Y-b.Y) + a.X - b.X) })
	labels := r.labels()
	for i := range r.Events {
		e := &r.Events[i]
		y, ok := rows[labels[process{e.Process, e.Start}]]
		if !ok {
			continue
		}
		at := x(time.Duration(e.At - r.StartMonotonic))
		m := mark{X: at, Y: y + rowHeight/2}
		switch e.Kind {
		case history.AttemptSent:
			m.Class, m.Say = "sent", e.Request+" to "+e.Engine
			if ey, ok := rows[e.Engine]; ok {
				p.Marks = append(p.Marks, mark{at, ey + rowHeight/2, "sent", "from " + e.Process})
			}
		case history.EngineAssessed:
			if !e.Out {
				continue
			}
			m.Class, m.Say = "found", fmt.Sprintf("%s: against %.1f by %d", e.Engine, e.FailureScore, e.Number)
		case history.MemberChanged:
			m.Class, m.Say = e.Code, e.Code+" "+e.Member
		default:
			continue
		}
		p.Marks = append(p.Marks, m)
	}
	var text strings.Builder
	r.Text(&text)
	p.Text = text.String()
	return page.Execute(out, p)
}

type process struct {
	name  string
	start uint64
}

// labels tells the row of each process: a twin's is its own, though it bears another's name.
func (r *Result) labels() map[process]string {
	out := map[process]string{}
	for _, e := range r.Events {
		k := process{e.Process, e.Start}
		if out[k] == "" {
			out[k] = e.Label
		}
	}
	return out
}
