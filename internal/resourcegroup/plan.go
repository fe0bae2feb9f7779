// Package resourcegroup applies an operator's rules to statements: to which class a statement belongs, which engines a class may
// use, how many of its requests may run and wait at the same time, and which statements are rejected. Package admission selects engines
// and decides on retries and load shedding; it calls the Limiter of this package before it sends an attempt of a class.
//
// The package does no I/O. The caller passes the time to each call that needs it.
package resourcegroup

import (
	"path"
	"slices"

	"magpiebank/internal/query/costmodel"
)

// Plan holds the classes and pools of an operator's file.
type Plan struct {
	Pools   []Pool
	Classes []Class
}

// MaxClasses is the maximum number of classes in a plan. Package admission stores the set of classes without free capacity in 64 bits,
// which must also hold the classes of an earlier plan, because these remain while their requests run.
const MaxClasses = 30

// UnclassifiedClass is the name of the class for requests that match no other class of a plan, for callers that apply the plan to these
// requests as well. It has no limits, and does not count towards MaxClasses.
const UnclassifiedClass = "(rest)"

// WithUnclassifiedClass returns a copy of the plan with the class UnclassifiedClass at its end, and that class's position, counted from 1.
func (p *Plan) WithUnclassifiedClass() (*Plan, int) {
	unclassified := Class{Name: UnclassifiedClass, Conditions: Conditions{RequestClasses: []string{UnclassifiedClass}}}
	out := &Plan{Pools: p.Pools, Classes: append(slices.Clone(p.Classes), unclassified)}
	return out, len(out.Classes)
}

// Pool is a subset of an installation's engines: those whose zone is in Zones and whose machine kind is in Kinds. An empty list allows
// all zones or kinds.
type Pool struct {
	Name         string
	Zones, Kinds []string
}

// Class limits the statements that meet its conditions. Each gateway applies the limits on its own unless the class is ClusterWide. A
// limit of 0 means no limit.
type Class struct {
	Name                string
	Conditions          Conditions
	Pool                string  // empty: all engines
	MaxThreads          float64 // of engines, running at the same time
	ClusterWide         bool    // the limits apply to all gateways together
	MaxWaiting          int     // requests waiting at the same time; in a ClusterWide class, waiting or running
	WorkMillisPerSecond float64 // ms of work sent to engines per second
	RejectText          string  // if not empty, all statements of the class are rejected with this error
}

// Conditions select the statements of a class. All conditions that are set must hold.
type Conditions struct {
	RequestClasses    []string
	Verbs             []string
	Tables            []TablePattern // the statement reads or writes a table that matches one of them
	FullScan          *bool          // whether a full table scan is expected
	HasLimit          *bool          // whether the statement has a LIMIT
	Uncertain         *bool          // whether the estimate is unreliable, as the cost changed or a load ended on the tables recently
	MinWorkMillis     float64        // lower limit of the usual work
	MinUpperMillis    float64        // lower limit of the work that nine of ten executions stay under
	MinMemoryMB       float64
	MinBadPlanShare   float64 // lower limit of the share, 0 to 1, of executions that took several times the usual work
	MinJoins          int
	MinUnjoinedTables int // lower limit of the tables that no condition of the statement joins to the others
}

// TablePattern matches tables by schema and name. An asterisk stands for any characters, as in path.Match.
type TablePattern struct{ Schema, Name string }

// Matches reports whether the pattern matches a table.
func (p TablePattern) Matches(table *costmodel.Table) bool {
	schema, _ := path.Match(p.Schema, table.Schema)
	name, _ := path.Match(p.Name, table.Name)
	return schema && name
}

// ClassificationInput describes a statement to the conditions of classes.
type ClassificationInput struct {
	RequestClass string
	Features     *costmodel.Features
	Estimate     costmodel.Estimate
}

// Classify returns the position, counted from 1, of the first class whose conditions hold, or 0 if there is none. Any goroutine may
// call it, since it only reads the plan.
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

// matchFlag reports whether a condition on a flag holds. A condition that is nil always holds.
func matchFlag(want *bool, is bool) bool { return want == nil || *want == is }

func (c *Conditions) matchEstimate(estimate *costmodel.Estimate) bool {
	switch {
	case !matchFlag(c.Uncertain, estimate.Uncertain),
		estimate.BadPlanShare < c.MinBadPlanShare,
		estimate.MemoryMB < c.MinMemoryMB,
		// The work of a request class is unknown before its first answers.
		(c.MinWorkMillis > 0 || c.MinUpperMillis > 0) && !estimate.Known,
		estimate.WorkMillis < c.MinWorkMillis,
		estimate.UpperMillis < c.MinUpperMillis:
		return false
	}
	return true
}

// matchTables reports whether a pattern matches one of the statement's tables. If the conditions require a full scan, the matching table
// must be one that is scanned.
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
