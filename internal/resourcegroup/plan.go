// Package resourcegroup decides what an operator's rules make of statements: of which class one is, which engines a class may use,
// how much of it may run and wait at the same time, and what is never sent. Which engine, whether again and whom to turn
// away stays with the decisions (package admission), which ask the Desk here as their Gate. There is no I/O; the clock
// comes with each call.
package resourcegroup

import (
	"path"
	"slices"

	"magpiebank/internal/query/costmodel"
)

// Plan is what an operator's file says of classes and pools.
type Plan struct {
	Pools   []Pool
	Classes []Class
}

// MostClasses is how many classes a plan may have: the decisions pass over a class of which one task found no room by
// a bit each in 64, and classes of an older plan still stand while their tasks run.
const MostClasses = 30

// Rest is the class of tasks that no other class takes, where they are to be asked about as well; it has no limits, and doesn't count among
// those.
const Rest = "(rest)"

// WithRest is a plan that has it, and the number of it, counted from 1.
func (p *Plan) WithRest() (*Plan, int) {
	out := &Plan{Pools: p.Pools, Classes: append(slices.Clone(p.Classes), Class{Name: Rest, When: Fits{Lanes: []string{Rest}}})}
	return out, len(out.Classes)
}

// Pool is a part of the fleet; what is empty is not asked for.
type Pool struct {
	Name         string
	Zones, Kinds []string
}

// Class is what holds for statements that fit; figures are each gateway's own, and 0 is no limit.
type Class struct {
	Name    string
	When    Fits
	Pool    string  // empty: all engines
	Threads float64 // that run at the same time
	Fleet   bool    // threads are those of all gateways together
	Waiting int     // tasks that are held at the same time
	Work    float64 // ms of work handed off a second
	Refuse  string  // the error in place of a hand-off; empty: it is sent
}

// Fits is what a class asks of a statement; all that is asked must hold.
type Fits struct {
	Lanes      []string
	Verbs      []string
	Tables     []Table // one of them is read or written
	Full       *bool   // a table is read as a whole
	Limited    *bool   // it has a LIMIT
	Doubt      *bool   // its cost has moved, or a load ended on its tables, since it was sure
	WorkFrom   float64 // ms, usual
	UpperFrom  float64 // ms that nine of ten stay under
	MemoryFrom float64 // MB
	BadFrom    float64 // share of answers that took several times the usual
	JoinsFrom  int
	LooseFrom  int // tables that no condition binds to the others
}

// Table is a pattern of tables' names, with * for any letters.
type Table struct{ Schema, Name string }

// Is tells whether a table is meant.
func (p Table) Is(t *costmodel.Table) bool {
	schema, _ := path.Match(p.Schema, t.Schema)
	name, _ := path.Match(p.Name, t.Name)
	return schema && name
}

// Subject is a statement as classes see it.
type Subject struct {
	Lane     string
	Features *costmodel.Features
	Estimate costmodel.Estimate
}

// Find is the number of the first class that fits, counted from 1; 0: none. It is meant for the goroutine that read the
// statement.
func (p *Plan) Find(s *Subject) int {
	for i := range p.Classes {
		if p.Classes[i].When.fits(s) {
			return i + 1
		}
	}
	return 0
}

func (w *Fits) fits(s *Subject) bool {
	f, e := s.Features, &s.Estimate
	asked := func(want *bool, is bool) bool { return want == nil || *want == is }
	switch {
	case len(w.Lanes) > 0 && !slices.Contains(w.Lanes, s.Lane),
		len(w.Verbs) > 0 && !slices.Contains(w.Verbs, f.Verb.String()),
		!asked(w.Full, e.FullScan != ""), !asked(w.Limited, f.Limit >= 0), !asked(w.Doubt, e.Uncertain),
		e.BadPlanShare < w.BadFrom, e.MemoryMB < w.MemoryFrom, f.Joins < w.JoinsFrom, f.UnboundJoins < w.LooseFrom:
		return false
	case (w.WorkFrom > 0 || w.UpperFrom > 0) && !e.Known, e.WorkMillis < w.WorkFrom, e.UpperMillis < w.UpperFrom:
		return false // before the first answers of a lane nothing is known of its work
	}
	if len(w.Tables) == 0 {
		return true
	}
	for _, t := range w.Tables {
		for i := range f.Tables {
			// Where a whole table is asked for, that table is meant.
			if t.Is(&f.Tables[i]) && (w.Full == nil || !*w.Full || f.Tables[i].Scanned) {
				return true
			}
		}
	}
	return false
}
