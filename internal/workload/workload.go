// Package workload adds to a gateway what its operator asks for in a file: statements are parsed, their cost is estimated and
// learned, and they are put into classes with pools of engines and limits. It is part of a program of its own
// (cmd/magpiebank-operator), so that a gateway without it carries none of it. Package source reads the file, which is Jsonnet
// with units.
package workload

import (
	"path"
	"time"

	"magpiebank/internal/cluster/agent"
	"magpiebank/internal/query/costmodel"
	"magpiebank/internal/resourcegroup"
)

// File is an operator's file.
type File struct {
	Statements        *StatementConfig // nil: statements are not parsed
	Cluster           *agent.Config    // nil: this gateway does not communicate with others
	PlanNeedsProposal bool             // the file has pools or classes that are in force only once the fleet has decided on them
}

// StatementConfig is what an operator asks for with regard to statements.
type StatementConfig struct {
	MemoryBytes  int64 // that the cost model may take
	Tables       []Table
	LogInterval  time.Duration // between lines of counts
	SnapshotFile string        // that the cost model is saved to; empty: it is lost when the gateway ends
	Plan         resourcegroup.Plan
}

// Table is what the operator knows of tables.
type Table struct {
	Schema, Name string   // patterns; * stands for any letters
	Rows         float64  // of one table
	Keys         []string // columns by which rows are found; none: not known
}

// NewCostModel returns an empty cost model for so many request classes.
func (s *StatementConfig) NewCostModel(requestClasses int) *costmodel.Model {
	return costmodel.NewModel(s.MemoryBytes, requestClasses, s.TableLookup())
}

// TableLookup returns the lookup of what the file says of tables, or nil if it says nothing.
func (s *StatementConfig) TableLookup() costmodel.TableLookup {
	if len(s.Tables) == 0 {
		return nil
	}
	return s.lookUpTable
}

// lookUpTable returns what the first entry says that matches the table.
func (s *StatementConfig) lookUpTable(table *costmodel.Table) (rows float64, keys []string, ok bool) {
	for i := range s.Tables {
		entry := &s.Tables[i]
		schema, _ := path.Match(entry.Schema, table.Schema)
		name, _ := path.Match(entry.Name, table.Name)
		if schema && name {
			return entry.Rows, entry.Keys, true
		}
	}
	return 0, nil, false
}
