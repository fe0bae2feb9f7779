package costmodel

import (
	"slices"
	"strings"
)

// accessType is how much of its tables a statement reads.
type accessType uint8

const (
	accessAll   accessType = iota // all rows of at least one table
	accessRange                   // a range of keys, or the keys with a prefix
	accessKey                     // rows with a given key, and rows that are joined to them
)

// widestAccess returns the widest access over the tables that the statement reads.
func (f *Features) widestAccess() accessType {
	if len(f.Tables) == 0 {
		return accessAll
	}
	widest := accessKey
	for i := range f.Tables {
		table := &f.Tables[i]
		if table.Written {
			continue
		}
		if table.Scanned {
			return accessAll
		}
		if !f.foundByKey(i) {
			widest = accessRange
		}
	}
	return widest
}

// foundByKey reports whether an engine finds the rows of a table by an equality or by a join.
func (f *Features) foundByKey(table int) bool {
	return slices.ContainsFunc(f.Predicates, func(p Predicate) bool {
		if p.Table != table && p.Table != unknownTable {
			return false
		}
		return p.Match == Equal && p.Narrows || p.Match == Joined
	})
}

// markScans determines which predicates narrow what is read, and which tables are read completely because no
// predicate narrows them. keys returns the columns by which an engine finds the rows of a table, or nil if they are
// unknown. If keys is nil, they are unknown for all tables.
func (f *Features) markScans(keys func(*Table) []string) {
	narrowed := make(tableSet, len(f.Tables))
	for i := range f.Predicates {
		p := &f.Predicates[i]
		p.Narrows = f.narrows(p, keys)
		if p.Narrows {
			narrowed.add(p.Table)
		}
	}
	// If a predicate narrows one table, the rows of the tables that are joined to it by a column are looked up one by one.
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

// narrows reports whether an engine finds the rows of a predicate without reading the whole table, as far as is
// known.
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

// tableSet is a set of the tables of a statement: the element at a table's index is true if the table is in the set.
type tableSet []bool

// add adds a table. An unknown table may be any of them, so it adds all.
func (s tableSet) add(table int) {
	if table != unknownTable {
		s[table] = true
		return
	}
	for i := range s {
		s[i] = true
	}
}
