package costmodel

import (
	"slices"
	"strconv"
	"strings"
)

// readStatement reads the features of a parsed statement.
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

// readChange reads the clauses that UPDATE and DELETE have in common.
func (f *Features) readChange(from []*tableReference, where *expression, limit []string) {
	firstTable := len(f.Tables)
	f.readFrom(from)
	f.readWhere(where, firstTable)
	f.setLimit(limit)
}

// setLimit sets the limit from the numbers of a LIMIT clause, the last of which is the number of rows.
func (f *Features) setLimit(limit []string) {
	if len(limit) == 0 {
		return
	}
	rows, err := strconv.ParseInt(limit[len(limit)-1], 10, 64)
	if err == nil {
		f.Limit = rows
	}
}

func (f *Features) readQuery(q *queryExpression) {
	if q == nil {
		return
	}
	f.readSelect(q.First)
	for _, s := range q.Rest {
		f.Unions++
		f.readSelect(s)
	}
	f.Sorts += len(q.Order)
	f.setLimit(q.Limit)
}

func (f *Features) readSelect(s *selectQuery) {
	if s.Nested != nil {
		f.readQuery(s.Nested)
		return
	}
	firstTable, joins := len(f.Tables), f.Joins
	f.readFrom(s.From)
	tablesToJoin := len(f.Tables) - firstTable - 1
	firstPredicate := len(f.Predicates)
	f.readWhere(s.Where, firstTable)
	for _, column := range s.Columns {
		f.readExpression(column.Value)
	}
	for _, group := range s.Group {
		f.Groups++
		f.readExpression(group)
	}
	f.readExpression(s.Having)
	f.Sorts += len(s.Order)
	f.Distinct = f.Distinct || s.Distinct
	if isNested := firstTable > 0; !isNested { // the limit of a nested query has little effect on the cost of the statement
		f.setLimit(s.Limit)
	}
	if tablesToJoin > 0 {
		f.UnboundJoins += max(0, tablesToJoin-(f.Joins-joins)-f.countJoined(firstPredicate))
	}
}

// countJoined returns the number of predicates that join tables, among those from the index firstPredicate on.
func (f *Features) countJoined(firstPredicate int) int {
	count := 0
	for _, p := range f.Predicates[firstPredicate:] {
		if p.Match == Joined {
			count++
		}
	}
	return count
}

func (f *Features) readFrom(list []*tableReference) {
	firstTable := len(f.Tables)
	for _, reference := range list {
		f.readTable(reference.Table)
		for _, join := range reference.Joins {
			f.readTable(join.Table)
			if join.On != nil || len(join.Using) > 0 || containsFold(join.Kind, "NATURAL") {
				f.Joins++
			}
			f.readWhere(join.On, firstTable)
			for _, column := range join.Using {
				f.addPredicate([]string{column}, Joined, firstTable)
			}
		}
	}
}

func containsFold(words []string, word string) bool {
	return slices.ContainsFunc(words, func(w string) bool { return strings.EqualFold(w, word) })
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
