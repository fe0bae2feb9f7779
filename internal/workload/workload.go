// Package workload applies the rules of an operator's file to a gateway's requests: it parses statements, estimates their cost, learns
// from the cost of executed ones, and puts them into classes with pools of engines and limits. Only the program
// cmd/magpiebank-operator contains it, so that a gateway without an operator's file doesn't. Package source reads the file, which is
// Jsonnet with units.
package workload

import (
	"path"
	"time"

	"magpiebank/internal/cluster/agent"
	"magpiebank/internal/query/costmodel"
	"magpiebank/internal/resourcegroup"
)

// File holds the content of an operator's file.
type File struct {
	Statements        *StatementConfig // nil: statements are not parsed
	Cluster           *agent.Config    // nil: this gateway does not communicate with others
	PlanNeedsProposal bool             // the file has pools or classes, which take effect only after they are proposed and the cluster accepts them
}

// StatementConfig is the section of an operator's file on statements.
type StatementConfig struct {
	MemoryBytes  int64 // memory limit of the cost model
	Tables       []Table
	LogInterval  time.Duration // time between log lines with counts
	SnapshotFile string        // file to which the cost model is saved; empty: it is lost when the gateway stops
	Plan         resourcegroup.Plan
}

// Table holds the operator's information on the tables that match a pattern.
type Table struct {
	Schema, Name string   // patterns; * stands for any characters, as in path.Match
	Rows         float64  // number of rows in one table
	Keys         []string // key columns, by which rows can be found without a full scan; empty: unknown
}

// NewCostModel returns an empty cost model for the given number of request classes.
func (s *StatementConfig) NewCostModel(requestClasses int) *costmodel.Model {
	return costmodel.NewModel(s.MemoryBytes, requestClasses, s.TableLookup())
}

// TableLookup returns a function that looks up the file's information on a table, or nil if the file lists no tables.
func (s *StatementConfig) TableLookup() costmodel.TableLookup {
	if len(s.Tables) == 0 {
		return nil
	}
	return s.lookUpTable
}

// lookUpTable returns the rows and keys of the first entry that matches the table.
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
