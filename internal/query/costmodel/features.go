// Package costmodel tells what statements will cost: it reads features once a shape, and learns from answers. What it
// can't make sense of still gets features from its tokens.
package costmodel

import (
	"strings"

	"magpiebank/internal/query/sqltext"
)

// Verb is what a statement does.
type Verb uint8

// The verbs.
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

// VerbNames are the names of all verbs.
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

// Predicate is one condition that holds for all rows of a result.
type Predicate struct {
	Table  int // that its column belongs to; -1: not told
	Column string
	Match  Match

	Narrows bool // a key finds the rows, as far as is known
}

// Table is one that a statement reads or writes.
type Table struct {
	Schema, Name, Alias string
	Written             bool
	Scanned             bool // nothing narrows what is read of it
}

// Features are what a statement's cost is estimated from.
type Features struct {
	Verb         Verb
	Parsed       bool // by the grammar; else they are from its tokens alone
	ParseError   string
	Tables       []Table
	Predicates   []Predicate
	Joins        int
	UnboundJoins int // joins of tables that no condition binds
	Subqueries   int
	Unions       int
	Aggregates   int
	Groups       int
	Sorts        int
	Windows      int
	Distinct     bool
	Limit        int64 // rows; -1: none
	ValueRows    int   // of VALUES
	Tokens       int
}

// maxTables and mostPredicates bound what is kept of a statement; there is no more to be learned from further ones.
const (
	maxTables     = 16
	maxPredicates = 32
)

// ReadFeatures is a statement's features; it never fails.
func ReadFeatures(sql []byte) *Features {
	f := &Features{Limit: -1}
	t, err := parse(sql)
	if err != nil {
		f.ParseError = err.Error()
		f.readTokens(sql)
	} else {
		f.Parsed = true
		f.readStatement(t)
	}
	l := sqltext.Lexer{Text: sql}
	for l.Next().Kind != sqltext.End {
		f.Tokens++
	}
	f.markScans(nil)
	return f
}

// ReadFeaturesWith is a statement's features by what an operator says of tables; nil: nothing.
func ReadFeaturesWith(sql []byte, tables TableLookup) *Features {
	f := ReadFeatures(sql)
	if tables != nil {
		f.markScans(func(t *Table) []string {
			_, keys, ok := tables(t)
			if !ok {
				return nil
			}
			return keys
		})
	}
	return f
}

// String is a table's name with its schema, where it has one.
func (t *Table) String() string {
	if t.Schema == "" {
		return t.Name
	}
	return t.Schema + "." + t.Name
}

// FullScan tells whether a statement reads a whole table and hands on more than a few rows of it or all it says of it.
func (f *Features) FullScan() (table *Table) {
	if f.Verb != Select && f.Verb != InsertSelect && f.Verb != Update && f.Verb != Delete {
		return nil
	}
	const few = 1000 // rows that an engine finds without reading on, when nothing must be sorted or summed up
	if f.Limit >= 0 && f.Limit <= few && f.Sorts == 0 && f.Aggregates == 0 && f.Groups == 0 && f.Windows == 0 && !f.Distinct &&
		len(f.Predicates) == 0 && f.Joins == 0 {
		return nil
	}
	for i := range f.Tables {
		if f.Tables[i].Scanned {
			return &f.Tables[i]
		}
	}
	return nil
}

func (f *Features) addTable(names []string, alias string, written bool) {
	if len(names) == 0 || len(f.Tables) >= maxTables {
		return
	}
	// What is kept is copied, as it lies in the whole statement's text.
	t := Table{Name: strings.Clone(names[len(names)-1]), Alias: strings.Clone(alias), Written: written}
	if len(names) > 1 {
		t.Schema = strings.Clone(names[len(names)-2])
	}
	f.Tables = append(f.Tables, t)
}

func (f *Features) addPredicate(names []string, m Match, from int) {
	if len(f.Predicates) >= maxPredicates || len(names) == 0 {
		return
	}
	p := Predicate{Table: -1, Column: strings.Clone(names[len(names)-1]), Match: m}
	if len(names) > 1 {
		q := names[len(names)-2]
		for i := len(f.Tables) - 1; i >= 0; i-- {
			if t := &f.Tables[i]; strings.EqualFold(t.Alias, q) || t.Alias == "" && strings.EqualFold(t.Name, q) {
				p.Table = i
				break
			}
		}
	} else if len(f.Tables)-from == 1 {
		p.Table = from // the only one of its query
	}
	f.Predicates = append(f.Predicates, p)
}

// The reading of a tree.
