// Package costmodel estimates the costs of statements. It reads the features of a statement once for each shape, and
// learns from the costs of finished queries. The features of a statement that its parser rejects are read from the
// tokens alone.
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

// Match is the kind of a predicate: how it narrows the rows that are read.
type Match uint8

// The kinds of predicates on a column.
const (
	Equal      Match = iota // equal to a literal, or to one of a list
	Range                   // between literals, or above or below one
	Prefix                  // LIKE 'x%'
	Wildcard                // LIKE '%x', REGEXP: no index can be used
	Function                // a function or calculation on the column is compared: no index can be used
	Joined                  // equal to another column, or to a value of a subquery
	Unequal                 // not equal, NOT IN, IS NOT: excludes few rows
	matchCount = iota
)

var matchNames = [matchCount]string{"equal", "range", "prefix", "wildcard", "function", "joined", "unequal"}

func (m Match) String() string { return matchNames[m] }

// Predicate is a condition on a column that holds for all rows of a result.
type Predicate struct {
	Table   int // index of the column's table in Features.Tables, or unknownTable
	Column  string
	Match   Match
	Narrows bool // as far as is known, an engine finds the rows without reading the whole table
}

// unknownTable is the Table of a predicate on a column that may belong to any of the statement's tables.
const unknownTable = -1

// Table is a table that a statement reads or writes.
type Table struct {
	Schema, Name, Alias string
	Written             bool
	Scanned             bool // no predicate narrows the rows that are read from it
}

// Features are the properties of a statement from which its cost is estimated.
type Features struct {
	Verb       Verb
	Parsed     bool   // the parser accepted the statement; otherwise the features are from the tokens alone
	ParseError string // why the parser rejected the statement

	Tables     []Table
	Predicates []Predicate

	// The numbers of these elements in the statement.
	Joins        int
	UnboundJoins int // joins without a condition
	Subqueries   int
	Unions       int
	Aggregates   int
	Groups       int
	Sorts        int
	Windows      int
	ValueRows    int // rows in VALUES
	Tokens       int

	Distinct bool
	Limit    int64 // number of rows; noLimit: the statement has no LIMIT
}

const noLimit = -1

// maxTables and maxPredicates limit the tables and predicates that are stored of a statement. Further ones have
// little effect on its cost.
const (
	maxTables     = 16
	maxPredicates = 32
)

// ReadFeatures returns the features of a statement. It accepts any text.
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

// ReadFeaturesWithTables returns the features of a statement, using the keys that an operator has declared for its tables.
// tables may be nil.
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

// String returns the table's name, qualified by its schema if it has one.
func (t *Table) String() string {
	if t.Schema == "" {
		return t.Name
	}
	return t.Schema + "." + t.Name
}

// maxCheapLimit is the highest LIMIT with which a plain SELECT without conditions is cheap, because the engine stops
// reading early.
const maxCheapLimit = 1000

// FullScan returns a table that the statement reads completely, or nil if there is none.
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

// isPlain reports whether the engine needs to read no rows but those that it returns: the statement has no
// conditions, and does not join, sort or aggregate.
func (f *Features) isPlain() bool {
	return f.Sorts == 0 && f.Aggregates == 0 && f.Groups == 0 && f.Windows == 0 && !f.Distinct && len(f.Predicates) == 0 && f.Joins == 0
}

// addTable adds a table. The last of names is the table's name, and the one before it, if any, is its schema. The
// names are cloned because they are substrings of the text of the whole statement, which must not stay in memory.
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

// addPredicate adds a predicate on a column. The last of names is the column's name, and the one before it, if any,
// is the table that qualifies it. firstTable is the index of the first table of the query that the predicate belongs
// to.
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

// findTable returns the index of the last table whose alias, or name if it has no alias, is the qualifier. If there
// is none, it returns unknownTable.
func (f *Features) findTable(qualifier string) int {
	for i := len(f.Tables) - 1; i >= 0; i-- {
		t := &f.Tables[i]
		if strings.EqualFold(t.Alias, qualifier) || t.Alias == "" && strings.EqualFold(t.Name, qualifier) {
			return i
		}
	}
	return unknownTable
}
