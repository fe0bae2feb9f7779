package costmodel

import "strings"

// reach is how much of its tables a statement reads.
type reach uint8

const (
	reachAll   reach = iota // of one of them all
	reachRange              // a range, or what begins alike
	reachKey                // what equals a literal, and what is joined to that
)

// reach takes the widest of the tables, by the predicates that narrow them.
func (f *Features) reach() reach {
	out := reachKey
	for i := range f.Tables {
		t := &f.Tables[i]
		if t.Written {
			continue
		}
		if t.Scanned {
			return reachAll
		}
		equal, joined := false, false
		for _, p := range f.Predicates {
			if p.Table == i || p.Table < 0 {
				equal = equal || p.Match == Equal && p.Narrows
				joined = joined || p.Match == Joined
			}
		}
		if !equal && !joined {
			out = reachRange
		}
	}
	if len(f.Tables) == 0 {
		return reachAll
	}
	return out
}

// markScans finds the tables that nothing narrows. keys tells the columns by which a table can be looked up; nil: any.
func (f *Features) markScans(keys func(*Table) []string) {
	bound := make([]bool, len(f.Tables))
	narrows := func(p *Predicate) bool {
		switch p.Match {
		case Equal, Range, Prefix:
		default:
			return false
		}
		if keys == nil || p.Table < 0 {
			return true
		}
		list := keys(&f.Tables[p.Table])
		if list == nil {
			return true
		}
		for _, k := range list {
			if strings.EqualFold(k, p.Column) {
				return true
			}
		}
		return false
	}
	for i := range f.Predicates {
		p := &f.Predicates[i]
		p.Narrows = narrows(p)
		switch {
		case !p.Narrows:
		case p.Table >= 0:
			bound[p.Table] = true
		default: // of a column whose table is not told: it may be any
			for k := range bound {
				bound[k] = true
			}
		}
	}
	any := false
	for _, b := range bound {
		any = any || b
	}
	for i := range f.Predicates { // a table joined by a column to one that is narrowed is looked up row by row
		if p := &f.Predicates[i]; p.Match == Joined && any {
			if p.Table >= 0 {
				bound[p.Table] = true
			} else {
				for k := range bound {
					bound[k] = true
				}
			}
		}
	}
	for i := range f.Tables {
		f.Tables[i].Scanned = !bound[i] && !f.Tables[i].Written
	}
}
