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
const MaxClasses = 30

// Rest is the class of tasks that no other class takes, where they are to be asked about as well; it has no limits, and doesn't count among
// those.
const RestClass = "(rest)"

// WithRest is a plan that has it, and the number of it, counted from 1.
func (p *Plan) WithRestClass() (*Plan, int) {
	out := &Plan{Pools: p.Pools, Classes: append(slices.Clone(p.Classes), Class{Name: RestClass, Conditions: Conditions{RequestClasses: []string{RestClass}}})}
	return out, len(out.Classes)
}

// Pool is a part of the fleet; what is empty is not asked for.
type Pool struct {
	Name         string
	Zones, Kinds []string
}

// Class is what holds for statements that fit; figures are each gateway's own, and 0 is no limit.
type Class struct {
	Name                string
	Conditions          Conditions
	Pool                string  // empty: all engines
	MaxThreads          float64 // that run at the same time
	FleetWide           bool    // threads are those of all gateways together
	MaxWaiting          int     // tasks that are held at the same time
	WorkMillisPerSecond float64 // ms of work handed off a second
	RejectText          string  // the error in place of a hand-off; empty: it is sent
}

// Fits is what a class asks of a statement; all that is asked must hold.
type Conditions struct {
	RequestClasses []string
	Verbs          []string
	Tables         []TablePattern // one of them is read or written
	FullScan       *bool          // a table is read as a whole
	HasLimit       *bool          // it has a LIMIT
	Uncertain      *bool          // its cost has moved, or a load ended on its tables, since it was sure
	MinWorkMillis  float64        // ms, usual
	MinUpperMillis float64        // ms that nine of ten stay under
	MinMemoryMB    float64        // MB
	MinBadShare    float64        // share of answers that took several times the usual
	MinJoins       int
	MinLooseTables int // tables that no condition binds to the others
}

// Table is a pattern of tables' names, with * for any letters.
type TablePattern struct{ Schema, Name string }

// Is tells whether a table is meant.
func (p TablePattern) Matches(t *costmodel.Table) bool {
	schema, _ := path.Match(p.Schema, t.Schema)
	name, _ := path.Match(p.Name, t.Name)
	return schema && name
}

// Subject is a statement as classes see it.
type Subject struct {
	RequestClass string
	Features     *costmodel.Features
	Estimate     costmodel.Estimate
}

// Find is the number of the first class that fits, counted from 1; 0: none. It is meant for the goroutine that read the
// statement.
func (p *Plan) Classify(s *Subject) int {
	for i := range p.Classes {
		if p.Classes[i].Conditions.match(s) {
			return i + 1
		}
	}
	return 0
}

func (w *Conditions) match(s *Subject) bool {
	f, e := s.Features, &s.Estimate
	asked := func(want *bool, is bool) bool { return want == nil || *want == is }
	switch {
	case len(w.RequestClasses) > 0 && !slices.Contains(w.RequestClasses, s.RequestClass),
		len(w.Verbs) > 0 && !slices.Contains(w.Verbs, f.Verb.String()),
		!asked(w.FullScan, e.FullScan != ""), !asked(w.HasLimit, f.Limit >= 0), !asked(w.Uncertain, e.Uncertain),
		e.BadPlanShare < w.MinBadShare, e.MemoryMB < w.MinMemoryMB, f.Joins < w.MinJoins, f.UnboundJoins < w.MinLooseTables:
		return false
	case (w.MinWorkMillis > 0 || w.MinUpperMillis > 0) && !e.Known, e.WorkMillis < w.MinWorkMillis, e.UpperMillis < w.MinUpperMillis:
		return false // before the first answers of a lane nothing is known of its work
	}
	if len(w.Tables) == 0 {
		return true
	}
	for _, t := range w.Tables {
		for i := range f.Tables {
			// Where a whole table is asked for, that table is meant.
			if t.Matches(&f.Tables[i]) && (w.FullScan == nil || !*w.FullScan || f.Tables[i].Scanned) {
				return true
			}
		}
	}
	return false
}
