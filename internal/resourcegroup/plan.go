// Package resourcegroup applies an operator's rules to statements: to which class a statement belongs, which engines a class may
// use, how much of it may run and wait at the same time, and which statements are rejected. Package admission selects engines
// and decides on retries and load shedding; it asks the Limiter here before it sends an attempt of a class.
//
// The package does no I/O. The caller passes the time to each call.
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

// MaxClasses is how many classes a plan may have. Package admission keeps a set of classes without capacity in 64 bits, and
// classes of an earlier plan remain while their requests run.
const MaxClasses = 30

// UnclassifiedClass is the class of requests that no class of a plan takes, where these are to be limited as well. It has no limits, and
// does not count towards MaxClasses.
const UnclassifiedClass = "(rest)"

// WithUnclassifiedClass returns a copy of the plan with the class UnclassifiedClass at its end, and that class's number, counted from 1.
func (p *Plan) WithUnclassifiedClass() (*Plan, int) {
	unclassified := Class{Name: UnclassifiedClass, Conditions: Conditions{RequestClasses: []string{UnclassifiedClass}}}
	out := &Plan{Pools: p.Pools, Classes: append(slices.Clone(p.Classes), unclassified)}
	return out, len(out.Classes)
}

// Pool is a part of an installation's engines: those of any of the zones that are of any of the machine kinds. An empty list
// allows all.
type Pool struct {
	Name         string
	Zones, Kinds []string
}

// Class limits the statements that meet its conditions. Limits are each gateway's own unless the class is ClusterWide; 0 is none.
type Class struct {
	Name                string
	Conditions          Conditions
	Pool                string  // empty: all engines
	MaxThreads          float64 // of engines, that run at the same time
	ClusterWide         bool    // the limits are those of all gateways together
	MaxWaiting          int     // requests that wait at the same time; of a ClusterWide class, those that wait or run
	WorkMillisPerSecond float64 // ms of engines' work sent out a second
	RejectText          string  // the error that clients get; empty: statements of the class are not rejected
}

// Conditions select statements. All conditions that are set must hold.
type Conditions struct {
	RequestClasses    []string
	Verbs             []string
	Tables            []TablePattern // at least one of them is read or written
	FullScan          *bool          // a table is read as a whole
	HasLimit          *bool          // the statement has a LIMIT
	Uncertain         *bool          // its cost has changed, or a load ended on its tables, since it was known well
	MinWorkMillis     float64        // its usual work
	MinUpperMillis    float64        // the work that nine of ten executions stay below
	MinMemoryMB       float64
	MinBadPlanShare   float64 // share of executions that took several times the usual work, 0 to 1
	MinJoins          int
	MinUnjoinedTables int // tables that no condition of the statement joins to the others
}

// TablePattern matches names of tables; * stands for any letters.
type TablePattern struct{ Schema, Name string }

// Matches reports whether the pattern matches a table.
func (p TablePattern) Matches(table *costmodel.Table) bool {
	schema, _ := path.Match(p.Schema, table.Schema)
	name, _ := path.Match(p.Name, table.Name)
	return schema && name
}

// ClassificationInput is what the conditions of classes are applied to.
type ClassificationInput struct {
	RequestClass string
	Features     *costmodel.Features
	Estimate     costmodel.Estimate
}

// Classify returns the number of the first class whose conditions hold, counted from 1, or 0. It only reads the plan, and so may
// be called by any goroutine.
func (p *Plan) Classify(input *ClassificationInput) int {
	for i := range p.Classes {
		if p.Classes[i].Conditions.match(input) {
			return i + 1
		}
	}
	return 0
}

func (c *Conditions) match(input *ClassificationInput) bool {
	return c.matchFeatures(input) && c.matchEstimate(&input.Estimate) && c.matchTables(input.Features)
}

func (c *Conditions) matchFeatures(input *ClassificationInput) bool {
	features := input.Features
	switch {
	case len(c.RequestClasses) > 0 && !slices.Contains(c.RequestClasses, input.RequestClass),
		len(c.Verbs) > 0 && !slices.Contains(c.Verbs, features.Verb.String()),
		!matchFlag(c.FullScan, input.Estimate.FullScan != ""),
		!matchFlag(c.HasLimit, features.Limit >= 0),
		features.Joins < c.MinJoins,
		features.UnboundJoins < c.MinUnjoinedTables:
		return false
	}
	return true
}

// matchFlag reports whether a condition holds; nil always does.
func matchFlag(want *bool, is bool) bool { return want == nil || *want == is }

func (c *Conditions) matchEstimate(estimate *costmodel.Estimate) bool {
	switch {
	case !matchFlag(c.Uncertain, estimate.Uncertain),
		estimate.BadPlanShare < c.MinBadPlanShare,
		estimate.MemoryMB < c.MinMemoryMB,
		// Before the first answers of a request class nothing is known of its work.
		(c.MinWorkMillis > 0 || c.MinUpperMillis > 0) && !estimate.Known,
		estimate.WorkMillis < c.MinWorkMillis,
		estimate.UpperMillis < c.MinUpperMillis:
		return false
	}
	return true
}

// matchTables reports whether a pattern matches one of the statement's tables. If a full scan is a condition, that table must be
// the one that is scanned.
func (c *Conditions) matchTables(features *costmodel.Features) bool {
	if len(c.Tables) == 0 {
		return true
	}
	mustBeScanned := c.FullScan != nil && *c.FullScan
	for _, pattern := range c.Tables {
		for i := range features.Tables {
			table := &features.Tables[i]
			if pattern.Matches(table) && (!mustBeScanned || table.Scanned) {
				return true
			}
		}
	}
	return false
}
