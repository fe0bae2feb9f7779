// Package costmodel tells what statements will cost: it reads features once a shape, and learns from answers. What it
// can't make sense of still gets features from its tokens.
package costmodel

import (
	"strconv"
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
	verbs = iota
)

var verbNames = [verbs]string{"other", "select", "insert", "insert-select", "load", "update", "delete"}

func (v Verb) String() string { return verbNames[v] }

// VerbNames are the names of all verbs.
func VerbNames() []string { return verbNames[:] }

// Match is how a predicate narrows what is read.
type Match uint8

// The kinds of predicates on a column.
const (
	Equal    Match = iota // to a literal, or one of a list
	Range                 // between or beyond literals
	Prefix                // LIKE 'x%'
	Wildcard              // LIKE '%x', REGEXP: no index helps
	Function              // over the column: no index helps
	Joined                // equal to another column
	Unequal               // not equal, not in, is not: narrows little
	matches  = iota
)

var matchNames = [matches]string{"equal", "range", "prefix", "wildcard", "function", "joined", "unequal"}

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

// mostTables and mostPredicates bound what is kept of a statement; there is no more to be learned from further ones.
const (
	mostTables     = 16
	mostPredicates = 32
)

// ReadFeatures is a statement's features; it never fails.
func ReadFeatures(sql []byte) *Features {
	f := &Features{Limit: -1}
	t, err := parse(sql)
	if err != nil {
		f.ParseError = err.Error()
		f.scan(sql)
	} else {
		f.Parsed = true
		f.tree(t)
	}
	l := sqltext.Lexer{Text: sql}
	for l.Next().Kind != sqltext.End {
		f.Tokens++
	}
	f.narrow(nil)
	return f
}

// ReadFeaturesWith is a statement's features by what an operator says of tables; nil: nothing.
func ReadFeaturesWith(sql []byte, tables TableLookup) *Features {
	f := ReadFeatures(sql)
	if tables != nil {
		f.narrow(func(t *Table) []string {
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

// reach is how much of its tables a statement reads.
type reach uint8

const (
	toAll  reach = iota // of one of them all
	toSome              // a range, or what begins alike
	toOne               // what equals a literal, and what is joined to that
)

// reach takes the widest of the tables, by the predicates that narrow them.
func (f *Features) reach() reach {
	out := toOne
	for i := range f.Tables {
		t := &f.Tables[i]
		if t.Written {
			continue
		}
		if t.Scanned {
			return toAll
		}
		equal, joined := false, false
		for _, p := range f.Predicates {
			if p.Table == i || p.Table < 0 {
				equal = equal || p.Match == Equal && p.Narrows
				joined = joined || p.Match == Joined
			}
		}
		if !equal && !joined {
			out = toSome
		}
	}
	if len(f.Tables) == 0 {
		return toAll
	}
	return out
}

// narrow finds the tables that nothing narrows. keys tells the columns by which a table can be looked up; nil: any.
func (f *Features) narrow(keys func(*Table) []string) {
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

func (f *Features) table(names []string, alias string, written bool) {
	if len(names) == 0 || len(f.Tables) >= mostTables {
		return
	}
	// What is kept is copied, as it lies in the whole statement's text.
	t := Table{Name: strings.Clone(names[len(names)-1]), Alias: strings.Clone(alias), Written: written}
	if len(names) > 1 {
		t.Schema = strings.Clone(names[len(names)-2])
	}
	f.Tables = append(f.Tables, t)
}

func (f *Features) predicate(names []string, m Match, from int) {
	if len(f.Predicates) >= mostPredicates || len(names) == 0 {
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

func (f *Features) tree(t *tree) {
	for _, c := range t.With {
		f.Subqueries++
		f.union(c.Query)
	}
	switch {
	case t.Query != nil:
		f.Verb = Select
		f.union(t.Query)
	case t.Insert != nil:
		f.Verb, f.ValueRows = Insert, len(t.Insert.Rows)
		f.table(t.Insert.Table, "", true)
		if t.Insert.Query != nil {
			f.Verb = InsertSelect
			f.union(t.Insert.Query)
		}
	case t.Load != nil:
		f.Verb = Load
		f.table(t.Load.Table, "", true)
	case t.Update != nil:
		f.Verb = Update
		f.change(t.Update.From, t.Update.Where, t.Update.Limit)
	case t.Delete != nil:
		f.Verb = Delete
		f.change(t.Delete.From, t.Delete.Where, t.Delete.Limit)
	}
}

func (f *Features) change(from []*from, where *expr, limit []string) {
	first := len(f.Tables)
	f.from(from)
	f.where(where, first)
	f.limit(limit)
}

func (f *Features) limit(limit []string) {
	if len(limit) > 0 {
		if n, err := strconv.ParseInt(limit[len(limit)-1], 10, 64); err == nil {
			f.Limit = n
		}
	}
}

func (f *Features) union(u *union) {
	if u == nil {
		return
	}
	f.selected(u.First)
	for _, s := range u.Rest {
		f.Unions++
		f.selected(s)
	}
	f.Sorts += len(u.Order)
	f.limit(u.Limit)
}

func (f *Features) selected(s *selected) {
	if s.Nested != nil {
		f.union(s.Nested)
		return
	}
	first, joins := len(f.Tables), f.Joins
	f.from(s.From)
	loose := len(f.Tables) - first - 1 // tables that a condition must bind
	before := len(f.Predicates)
	f.where(s.Where, first)
	for _, c := range s.Columns {
		f.value(c.Value)
	}
	for _, g := range s.Group {
		f.Groups++
		f.value(g)
	}
	f.value(s.Having)
	f.Sorts += len(s.Order)
	f.Distinct = f.Distinct || s.Distinct
	if limit := f.Limit; len(s.Limit) > 0 {
		f.limit(s.Limit)
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

func (f *Features) from(list []*from) {
	first := len(f.Tables)
	for _, fr := range list {
		f.source(fr.Table)
		for _, j := range fr.Joins {
			f.source(j.Table)
			if j.On != nil || len(j.Using) > 0 || containsFold(j.Kind, "NATURAL") {
				f.Joins++
			}
			f.where(j.On, first)
			for _, c := range j.Using {
				f.predicate([]string{c}, Joined, first)
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

func (f *Features) source(t *table) {
	switch {
	case t.Query != nil:
		f.Subqueries++
		f.union(t.Query)
	case len(t.Group) > 0:
		f.from(t.Group)
	default:
		f.table(t.Name, t.Alias, false)
	}
}

// where splits a condition at AND; what stands under OR or NOT holds for no row by itself, so it is only looked into.
func (f *Features) where(e *expr, first int) {
	if e == nil {
		return
	}
	for _, p := range e.Rest {
		if containsFold(p.Op, "OR") || containsFold(p.Op, "XOR") || containsFold(p.Op, "|") {
			f.value(e)
			return
		}
	}
	part := []*pair{{Value: e.First}}
	between := false
	for _, p := range e.Rest {
		if len(p.Op) > 0 && p.Op[0] == "AND" && !between {
			f.condition(part, first)
			part = []*pair{{Op: p.Op[1:], Value: p.Value}}
			continue
		}
		between = containsFold(p.Op, "BETWEEN") // whose AND is its own
		part = append(part, p)
	}
	f.condition(part, first)
}

// condition reads terms and operators between two ANDs.
func (f *Features) condition(part []*pair, first int) {
	for _, p := range part {
		f.term(p.Value)
	}
	left := part[0].Value
	if len(part[0].Op) > 0 || containsFold(left.Prefix, "NOT") {
		return
	}
	if len(part) == 1 {
		if len(left.List) == 1 { // (a = 1 AND b = 2)
			f.where(left.List[0], first)
		}
		return
	}
	op := strings.Join(part[1].Op, "")
	right := part[1].Value
	column := func(v *value) bool { return len(v.Name) > 0 && v.Call == nil && len(v.Prefix) == 0 }
	fixed := func(v *value) bool { return v.Literal != "" || v.Gap != nil || len(v.Name) > 0 && v.Call != nil }
	not := strings.HasPrefix(op, "NOT")
	if not {
		op = op[3:]
	}
	if !column(left) {
		switch {
		case column(right) && len(part) == 2 && fixed(left) && left.Call == nil: // 5 = a
			left, right = right, left
		case left.Call != nil && len(left.Call.Args) > 0: // f(a) = 5
			if arg := left.Call.Args[0].Value; arg != nil && column(arg.First) {
				f.predicate(arg.First.Name, Function, first)
			}
			return
		case column(right): // a joined to something computed
			f.predicate(right.Name, Function, first)
			return
		default:
			return
		}
	}
	m := Unequal
	switch {
	case not, op == "<>", op == "!=":
	case len(part) > 2 && op != "BETWEEN" && arithmetic(op): // a + 1 = 5
		m = Function
	case op == "=" || op == "<=>":
		if m = Equal; column(right) {
			f.predicate(right.Name, Joined, first)
			m = Joined
		} else if right.Query != nil {
			m = Joined
		}
	case op == "IN":
		if m = Equal; right.Query != nil {
			m = Joined
		}
	case op == "IS":
		m = Equal
	case op == "BETWEEN", op == "<", op == ">", op == "<=", op == ">=":
		m = Range
	case op == "LIKE":
		if m = Prefix; len(right.Literal) < 2 || right.Literal[1] == '%' || right.Literal[1] == '_' {
			m = Wildcard
		}
	case op == "REGEXP", op == "RLIKE":
		m = Wildcard
	case arithmetic(op):
		m = Function
	}
	f.predicate(left.Name, m, first)
}

func arithmetic(op string) bool {
	return strings.ContainsAny(op, "+-*/%&^") || op == "DIV" || op == "MOD"
}

func (f *Features) value(e *expr) {
	if e == nil {
		return
	}
	f.term(e.First)
	for _, p := range e.Rest {
		f.term(p.Value)
	}
}

func (f *Features) term(v *value) {
	switch {
	case v == nil:
	case v.Query != nil:
		f.Subqueries++
		f.union(v.Query)
	case v.Case != nil:
		f.value(v.Case.Of)
		for _, w := range v.Case.When {
			f.value(w.If)
			f.value(w.Then)
		}
		f.value(v.Case.Else)
	case v.Gap != nil:
		f.value(v.Gap.Value)
	}
	if v == nil {
		return
	}
	for _, e := range v.List {
		f.value(e)
	}
	if v.Call != nil {
		if v.Call.Over != nil || v.Call.Named != "" {
			f.Windows++
		} else if aggregate(v.Name[len(v.Name)-1]) {
			f.Aggregates++
		}
		for _, a := range v.Call.Args {
			f.value(a.Value)
		}
	}
}

var aggregates = map[string]bool{"COUNT": true, "SUM": true, "AVG": true, "MIN": true, "MAX": true, "GROUP_CONCAT": true, "STD": true,
	"STDDEV": true, "VARIANCE": true, "BIT_OR": true, "BIT_AND": true, "JSON_ARRAYAGG": true, "ANY_VALUE": true}

func aggregate(name string) bool { return aggregates[strings.ToUpper(name)] }

// scan reads what can be read from tokens alone.
func (f *Features) scan(sql []byte) {
	l := sqltext.Lexer{Text: sql}
	place, from, where := false, false, false
	first := true
	var column []string // the last name, with what it is qualified by
	var before sqltext.Token
	for t := l.Next(); t.Kind != sqltext.End; t = l.Next() {
		text := l.Bytes(t)
		switch {
		case t.Kind == sqltext.Sign && t.Sign == ',' && from:
			place = true
		case t.Kind == sqltext.Sign && (t.Sign == '=' || t.Sign == '<' || t.Sign == '>') && where && before.Kind != sqltext.Sign && column != nil:
			m := Range
			if next := l.Peek(); t.Sign == '=' {
				if m = Equal; next.Kind == sqltext.Word || next.Kind == sqltext.Quoted {
					m = Joined
				}
			} else if next.Sign == '>' {
				m = Unequal
			}
			f.predicate(column, m, 0)
			column = nil
		case t.Kind == sqltext.Word || t.Kind == sqltext.Quoted:
			names := []string{string(text)}
			for l.Peek().Sign == '.' {
				l.Next()
				if next := l.Peek(); next.Kind != sqltext.Word && next.Kind != sqltext.Quoted {
					break
				}
				names = append(names, string(l.Bytes(l.Next())))
			}
			upper := ""
			if t.Kind == sqltext.Word && len(names) == 1 {
				upper = strings.ToUpper(names[0])
			}
			if first {
				first = false
				switch upper {
				case "SELECT", "WITH":
					f.Verb = Select
				case "INSERT", "REPLACE":
					f.Verb = Insert
				case "LOAD":
					f.Verb = Load
				case "UPDATE":
					f.Verb = Update
				case "DELETE":
					f.Verb = Delete
				}
			}
			switch upper {
			case "FROM", "JOIN":
				place, from, where = true, true, false
				if upper == "JOIN" {
					f.Joins++
				}
			case "INTO", "UPDATE", "TABLE":
				place = true
			case "WHERE", "ON", "HAVING":
				place, from, where = false, false, true
			case "SELECT":
				if f.Verb == Insert {
					f.Verb = InsertSelect
				} else if len(f.Tables) > 0 {
					f.Subqueries++
				}
				place, from, where = false, false, false
			case "GROUP":
				f.Groups++
				where = false
			case "ORDER":
				f.Sorts++
				where = false
			case "UNION":
				f.Unions++
			case "OVER":
				f.Windows++
			case "DISTINCT":
				f.Distinct = true
			case "IN", "LIKE", "BETWEEN":
				if where && column != nil {
					f.predicate(column, map[string]Match{"IN": Equal, "LIKE": Prefix, "BETWEEN": Range}[upper], 0)
					column = nil
				}
			case "LIMIT":
				if next := l.Peek(); next.Kind == sqltext.Number {
					f.limit([]string{string(l.Bytes(next))})
				}
			default:
				if place && keywords[upper] == "" {
					f.table(names, "", f.Verb == Insert || f.Verb == Load)
					place = false
				} else if aggregate(names[len(names)-1]) && l.Peek().Sign == '(' {
					f.Aggregates++
				} else if keywords[upper] == "" {
					column = names
				}
			}
		}
		before = t
	}
}
