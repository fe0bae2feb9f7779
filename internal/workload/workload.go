// Package workload is what a gateway does besides what the platform asks for, as the operator's own file says: statements are
// read and costed, put into classes, and held to pools and limits. All of it is off unless it is asked for, and stands in a
// program of its own (cmd/magpiebank-operator), so that a gateway without it carries nothing of it. Package source reads the
// file, which is Jsonnet with units.
package workload

import (
	"path"
	"time"

	"magpiebank/internal/cluster/agent"
	"magpiebank/internal/query/costmodel"
	"magpiebank/internal/resourcegroup"
)

// File is what the operator asks for.
type File struct {
	Statements     *Statements   // nil: statements are not looked at
	Fleet          *agent.Config // nil: this gateway speaks to no other
	PolicyProposed bool          // it has classes or pools that are gone by only once the fleet has decided so
}

// Statements has statements estimated before they are handed to the decisions.
type Statements struct {
	MemoryBytes  int64 // bytes that what is learned may take
	Tables       []Table
	LogInterval  time.Duration
	SnapshotFile string // file that what is learned is kept in; empty: it is lost at the end
	Plan         resourcegroup.Plan
}

// Table is what is known of tables before any answer.
type Table struct {
	Schema, Name string   // with * for any
	Rows         float64  // of one of them
	Keys         []string // columns by which rows are found; none: not told
}

// Book is an empty book of statements for so many lanes.
func (s *Statements) NewCostModel(lanes int) *costmodel.Model {
	return costmodel.NewModel(s.MemoryBytes, lanes, s.TableLookup())
}

// Known is what the file says of tables; nil: nothing.
func (s *Statements) TableLookup() costmodel.TableLookup {
	if len(s.Tables) == 0 {
		return nil
	}
	return s.lookUpTable
}

// lookUp finds the first entry that a table fits.
func (s *Statements) lookUpTable(t *costmodel.Table) (rows float64, keys []string, ok bool) {
	for i := range s.Tables {
		e := &s.Tables[i]
		schema, _ := path.Match(e.Schema, t.Schema)
		if name, _ := path.Match(e.Name, t.Name); schema && name {
			return e.Rows, e.Keys, true
		}
	}
	return 0, nil, false
}
