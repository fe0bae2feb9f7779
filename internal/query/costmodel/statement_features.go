package costmodel

import (
	"strconv"
	"strings"
)

func (f *Features) readStatement(t *statement) {
	for _, c := range t.With {
		f.Subqueries++
		f.readQuery(c.Query)
	}
	switch {
	case t.Query != nil:
		f.Verb = Select
		f.readQuery(t.Query)
	case t.Insert != nil:
		f.Verb, f.ValueRows = Insert, len(t.Insert.Rows)
		f.addTable(t.Insert.Table, "", true)
		if t.Insert.Query != nil {
			f.Verb = InsertSelect
			f.readQuery(t.Insert.Query)
		}
	case t.Load != nil:
		f.Verb = Load
		f.addTable(t.Load.Table, "", true)
	case t.Update != nil:
		f.Verb = Update
		f.readChange(t.Update.From, t.Update.Where, t.Update.Limit)
	case t.Delete != nil:
		f.Verb = Delete
		f.readChange(t.Delete.From, t.Delete.Where, t.Delete.Limit)
	}
}

func (f *Features) readChange(from []*tableReference, where *expression, limit []string) {
	first := len(f.Tables)
	f.readFrom(from)
	f.readWhere(where, first)
	f.setLimit(limit)
}

func (f *Features) setLimit(limit []string) {
	if len(limit) > 0 {
		if n, err := strconv.ParseInt(limit[len(limit)-1], 10, 64); err == nil {
			f.Limit = n
		}
	}
}

func (f *Features) readQuery(u *queryExpression) {
	if u == nil {
		return
	}
	f.readSelect(u.First)
	for _, s := range u.Rest {
		f.Unions++
		f.readSelect(s)
	}
	f.Sorts += len(u.Order)
	f.setLimit(u.Limit)
}

func (f *Features) readSelect(s *selectQuery) {
	if s.Nested != nil {
		f.readQuery(s.Nested)
		return
	}
	first, joins := len(f.Tables), f.Joins
	f.readFrom(s.From)
	loose := len(f.Tables) - first - 1 // tables that a condition must bind
	before := len(f.Predicates)
	f.readWhere(s.Where, first)
	for _, c := range s.Columns {
		f.readExpression(c.Value)
	}
	for _, g := range s.Group {
		f.Groups++
		f.readExpression(g)
	}
	f.readExpression(s.Having)
	f.Sorts += len(s.Order)
	f.Distinct = f.Distinct || s.Distinct
	if limit := f.Limit; len(s.Limit) > 0 {
		f.setLimit(s.Limit)
		if first > 0 { // of a query inside another
			f.Limit = limit
		}
	}
	if loose > 0 {
		for _, p := range f.Predicates[before:] {
			if p.Match == Joined {
				loose--
			}
		}
		loose -= f.Joins - joins // those with ON or USING were counted there
		f.UnboundJoins += max(0, loose)
	}
}

func (f *Features) readFrom(list []*tableReference) {
	first := len(f.Tables)
	for _, fr := range list {
		f.readTable(fr.Table)
		for _, j := range fr.Joins {
			f.readTable(j.Table)
			if j.On != nil || len(j.Using) > 0 || containsFold(j.Kind, "NATURAL") {
				f.Joins++
			}
			f.readWhere(j.On, first)
			for _, c := range j.Using {
				f.addPredicate([]string{c}, Joined, first)
			}
		}
	}
}

func containsFold(words []string, word string) bool {
	for _, w := range words {
		if strings.EqualFold(w, word) {
			return true
		}
	}
	return false
}

func (f *Features) readTable(t *tableFactor) {
	switch {
	case t.Query != nil:
		f.Subqueries++
		f.readQuery(t.Query)
	case len(t.Group) > 0:
		f.readFrom(t.Group)
	default:
		f.addTable(t.Name, t.Alias, false)
	}
}
