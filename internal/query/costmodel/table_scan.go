package costmodel

import (
	"slices"
	"strings"
)

// reach is how much of its tables a statement reads.
type reach uint8

const (
	reachAll   reach = iota // all rows of at least one table
	reachRange              // a range of keys, or a prefix
	reachKey                // rows with a given key, and what is joined to them
)

// reach returns the widest reach over the tables that the statement reads.
func (f *Features) reach() reach {
	if len(f.Tables) == 0 {
		return reachAll
	}
	widest := reachKey
	for i := range f.Tables {
		table := &f.Tables[i]
		if table.Written {
			continue
		}
		if table.Scanned {
			return reachAll
		}
		if !f.foundByKey(i) {
			widest = reachRange
		}
	}
	return widest
}

// foundByKey tells whether the rows of a table are found by an equality or by a join.
func (f *Features) foundByKey(table int) bool {
	return slices.ContainsFunc(f.Predicates, func(p Predicate) bool {
		if p.Table != table && p.Table != unknownTable {
			return false
		}
		return p.Match == Equal && p.Narrows || p.Match == Joined
	})
}

// markScans decides which predicates narrow what is read, and which tables are read completely because none does. keys
// returns the columns by which an engine finds a table's rows, nil if they are not known; a nil keys knows no table.
func (f *Features) markScans(keys func(*Table) []string) {
	narrowed := make(tableSet, len(f.Tables))
	for i := range f.Predicates {
		p := &f.Predicates[i]
		p.Narrows = f.narrows(p, keys)
		if p.Narrows {
			narrowed.add(p.Table)
		}
	}
	// A table that is joined by a column to one that is narrowed is looked up row by row.
	if slices.Contains(narrowed, true) {
		for _, p := range f.Predicates {
			if p.Match == Joined {
				narrowed.add(p.Table)
			}
		}
	}
	for i := range f.Tables {
		f.Tables[i].Scanned = !narrowed[i] && !f.Tables[i].Written
	}
}

// narrows tells whether an engine finds the rows of a predicate without reading the whole table, as far as is known.
func (f *Features) narrows(p *Predicate, keys func(*Table) []string) bool {
	if p.Match != Equal && p.Match != Range && p.Match != Prefix {
		return false
	}
	if keys == nil || p.Table == unknownTable {
		return true
	}
	columns := keys(&f.Tables[p.Table])
	if columns == nil {
		return true
	}
	return slices.ContainsFunc(columns, func(column string) bool { return strings.EqualFold(column, p.Column) })
}

// tableSet is a set of a statement's tables, by index.
type tableSet []bool

// add adds a table; an unknown one may be any, so it adds all of them.
func (s tableSet) add(table int) {
	if table != unknownTable {
		s[table] = true
		return
	}
	for i := range s {
		s[i] = true
	}
}
