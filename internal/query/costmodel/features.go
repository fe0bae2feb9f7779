// Package costmodel estimates what statements will cost. It reads the features of a statement once for each shape, and
// learns from the costs of finished queries. A statement that its parser does not take gets features from its tokens.
package costmodel

import (
	"strings"

	"magpiebank/internal/query/sqltext"
)

// Verb is the kind of a statement.
type Verb uint8

// The kinds of statements.
const (
	Other Verb = iota
	Select
	Insert
	InsertSelect
	Load
	Update
	Delete
	verbCount = iota
)

var verbNames = [verbCount]string{"other", "select", "insert", "insert-select", "load", "update", "delete"}

func (v Verb) String() string { return verbNames[v] }

// VerbNames returns the names of all verbs.
func VerbNames() []string { return verbNames[:] }

// Match is how a predicate narrows what is read.
type Match uint8

// The kinds of predicates on a column.
const (
	Equal      Match = iota // to a literal, or one of a list
	Range                   // between or beyond literals
	Prefix                  // LIKE 'x%'
	Wildcard                // LIKE '%x', REGEXP: no index helps
	Function                // over the column: no index helps
	Joined                  // equal to another column
	Unequal                 // not equal, not in, is not: narrows little
	matchCount = iota
)

var matchNames = [matchCount]string{"equal", "range", "prefix", "wildcard", "function", "joined", "unequal"}

func (m Match) String() string { return matchNames[m] }

// Predicate is a condition on a column that holds for all rows of a result.
type Predicate struct {
	Table   int // index of the column's table in Features.Tables; unknownTable: the statement does not say
	Column  string
	Match   Match
	Narrows bool // an engine finds the rows without reading the whole table, as far as is known
}

// unknownTable stands for the table of a column that may belong to any of the statement's tables.
const unknownTable = -1

// Table is a table that a statement reads or writes.
type Table struct {
	Schema, Name, Alias string
	Written             bool
	Scanned             bool // no predicate narrows what is read of it
}

// Features are what a statement's cost is estimated from.
type Features struct {
	Verb       Verb
	Parsed     bool   // by the grammar; otherwise the features are from the tokens alone
	ParseError string // why it was not parsed

	Tables     []Table
	Predicates []Predicate

	// Counts of parts of the statement.
	Joins        int
	UnboundJoins int // without a condition
	Subqueries   int
	Unions       int
	Aggregates   int
	Groups       int
	Sorts        int
	Windows      int
	ValueRows    int // in VALUES
	Tokens       int

	Distinct bool
	Limit    int64 // rows; noLimit: there is none
}

const noLimit = -1

// maxTables and maxPredicates bound what is kept of a statement; further ones say little of its cost.
const (
	maxTables     = 16
	maxPredicates = 32
)

// ReadFeatures returns the features of a statement, whatever it is.
func ReadFeatures(sql []byte) *Features {
	f := &Features{Limit: noLimit}
	parsed, err := parse(sql)
	if err != nil {
		f.ParseError = err.Error()
		f.readTokens(sql)
	} else {
		f.Parsed = true
		f.readStatement(parsed)
	}
	lexer := sqltext.Lexer{Text: sql}
	for lexer.Next().Kind != sqltext.End {
		f.Tokens++
	}
	f.markScans(nil)
	return f
}

// ReadFeaturesWithTables returns the features of a statement over tables of which an operator has declared keys; tables may be
// nil.
func ReadFeaturesWithTables(sql []byte, tables TableLookup) *Features {
	f := ReadFeatures(sql)
	if tables == nil {
		return f
	}
	f.markScans(func(t *Table) []string {
		_, keys, ok := tables(t)
		if !ok {
			return nil
		}
		return keys
	})
	return f
}

// String returns the table's name, behind its schema if it has one.
func (t *Table) String() string {
	if t.Schema == "" {
		return t.Name
	}
	return t.Schema + "." + t.Name
}

// maxCheapLimit is the limit up to which a plain SELECT without conditions is cheap: the engine stops reading early.
const maxCheapLimit = 1000

// FullScan returns a table that the statement reads completely, nil if there is none.
func (f *Features) FullScan() (table *Table) {
	if f.Verb != Select && f.Verb != InsertSelect && f.Verb != Update && f.Verb != Delete {
		return nil
	}
	if f.Limit >= 0 && f.Limit <= maxCheapLimit && f.isPlain() {
		return nil
	}
	for i := range f.Tables {
		if f.Tables[i].Scanned {
			return &f.Tables[i]
		}
	}
	return nil
}

// isPlain tells whether the statement needs no rows beyond those that it returns: it has no conditions, and nothing is
// joined, sorted or summed up.
func (f *Features) isPlain() bool {
	return f.Sorts == 0 && f.Aggregates == 0 && f.Groups == 0 && f.Windows == 0 && !f.Distinct && len(f.Predicates) == 0 && f.Joins == 0
}

// addTable adds a table by its name, the last of names, and its schema, the one before, if there is one. The names are
// copied, as they lie in the text of the whole statement.
func (f *Features) addTable(names []string, alias string, written bool) {
	if len(names) == 0 || len(f.Tables) >= maxTables {
		return
	}
	t := Table{Name: strings.Clone(names[len(names)-1]), Alias: strings.Clone(alias), Written: written}
	if len(names) > 1 {
		t.Schema = strings.Clone(names[len(names)-2])
	}
	f.Tables = append(f.Tables, t)
}

// addPredicate adds a predicate on a column, the last of names, with the table that qualifies it, if there is one.
// firstTable is the index of the first table of the query that the predicate belongs to.
func (f *Features) addPredicate(names []string, match Match, firstTable int) {
	if len(f.Predicates) >= maxPredicates || len(names) == 0 {
		return
	}
	p := Predicate{Table: unknownTable, Column: strings.Clone(names[len(names)-1]), Match: match}
	switch {
	case len(names) > 1:
		p.Table = f.findTable(names[len(names)-2])
	case len(f.Tables)-firstTable == 1: // the only table of its query
		p.Table = firstTable
	}
	f.Predicates = append(f.Predicates, p)
}

// findTable returns the index of the last table with an alias, or with a name and no alias.
func (f *Features) findTable(qualifier string) int {
	for i := len(f.Tables) - 1; i >= 0; i-- {
		t := &f.Tables[i]
		if strings.EqualFold(t.Alias, qualifier) || t.Alias == "" && strings.EqualFold(t.Name, qualifier) {
			return i
		}
	}
	return unknownTable
}
