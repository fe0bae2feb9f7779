package costmodel

import "magpiebank/internal/query/sqltext"

// isUnion tells whether the bracket here holds a query. One in which another stands holds one if that does and what
// follows it goes on with a query.
func (r *reader) isUnion() bool {
	for at := r.at; r.is("(") && r.tokens[at].sign == '('; at++ {
		switch next := &r.tokens[at+1]; {
		case next.key == "SELECT":
			return true
		case next.sign != '(' || next.match == 0:
			return false
		default:
			switch behind := &r.tokens[next.match+1]; {
			case behind.key == "UNION", behind.key == "EXCEPT", behind.key == "INTERSECT", behind.key == "ORDER", behind.key == "LIMIT":
				return true
			case behind.sign != ')':
				return false
			}
		}
	}
	return false
}

func (r *reader) tree() *tree {
	t := &tree{}
	if r.take("WITH") {
		r.take("RECURSIVE")
		t.With = series(r, r.cte)
	}
	switch {
	case r.is("INSERT"), r.is("REPLACE"):
		t.Insert = r.insert()
	case r.is("LOAD"):
		t.Load = r.load()
	case r.is("UPDATE"):
		t.Update = r.update()
	case r.is("DELETE"):
		t.Delete = r.remove()
	default:
		t.Query = r.union()
	}
	r.take(";")
	if !r.isKind(sqltext.End) {
		r.fail()
	}
	return t
}

func (r *reader) cte() *cte {
	c := &cte{Name: r.name()}
	if r.is("(") {
		c.Columns = inside(r, r.names)
	}
	r.need("AS")
	c.Query = inside(r, r.union)
	return c
}

func (r *reader) union() *union {
	u := &union{First: r.selected()}
	for r.any("UNION", "EXCEPT", "INTERSECT") {
		r.any("ALL", "DISTINCT")
		u.Rest = append(u.Rest, r.selected())
	}
	u.Order, u.Limit = r.order(), r.limit()
	return u
}

func (r *reader) order() []*term {
	if !r.take("ORDER") {
		return nil
	}
	r.need("BY")
	return series(r, r.term)
}

func (r *reader) term() *term {
	t := &term{Value: r.expr()}
	r.any("ASC", "DESC")
	return t
}

// limit takes a limit; the last of what is kept is the number of rows.
func (r *reader) limit() (out []string) {
	if !r.take("LIMIT") {
		return nil
	}
	out = append(out, r.amount())
	if r.take(",") {
		out = append(out, r.amount())
	} else if r.take("OFFSET") {
		r.amount()
	}
	return out
}

func (r *reader) amount() string {
	if !r.isKind(sqltext.Number) && !r.isKind(sqltext.Text) {
		r.fail()
		return ""
	}
	return r.text()
}

func (r *reader) selected() *selected {
	s := &selected{}
	if r.is("(") {
		s.Nested = inside(r, r.union)
		return s
	}
	r.need("SELECT")
	for r.isKind(sqltext.Hint) {
		s.Hints = append(s.Hints, r.text())
	}
	for r.any("DISTINCT", "ALL", "STRAIGHT_JOIN") {
		s.Distinct = true
	}
	s.Columns = series(r, r.item)
	if r.take("FROM") {
		s.From = series(r, r.from)
	}
	s.Where = r.after("WHERE")
	if r.take("GROUP") {
		r.need("BY")
		s.Group = series(r, r.expr)
		if r.take("WITH") {
			r.need("ROLLUP")
		}
	}
	s.Having = r.after("HAVING")
	if r.take("WINDOW") {
		s.Window = series(r, r.win)
	}
	s.Order, s.Limit = r.order(), r.limit()
	if r.take("FOR") {
		for n := 0; r.is("UPDATE") || r.isName(); n++ {
			s.Lock = append(s.Lock, r.text())
		}
		if len(s.Lock) == 0 {
			r.fail()
		}
	}
	return s
}

// after is the expression behind a keyword, nil where that doesn't stand here.
func (r *reader) after(word string) *expr {
	if !r.take(word) {
		return nil
	}
	return r.expr()
}

func (r *reader) item() *item {
	i := &item{}
	if i.Star = r.take("*"); !i.Star {
		i.Value = r.expr()
	}
	if r.take("AS") {
		if !r.isName() && !r.isKind(sqltext.Text) {
			r.fail()
			return i
		}
		i.Name = r.text()
	} else if r.isName() || r.isKind(sqltext.Text) {
		i.Name = r.text()
	}
	return i
}

func (r *reader) win() *win {
	w := &win{Name: r.name()}
	r.need("AS")
	w.Spec = inside(r, r.over)
	return w
}

func (r *reader) from() *from {
	f := &from{Table: r.table()}
	for !r.bad {
		var kind []string
		for r.joining() {
			kind = append(kind, r.now().key)
			r.at++
		}
		if kind == nil {
			break
		}
		j := &join{Kind: kind, Table: r.table()}
		if j.On = r.after("ON"); j.On == nil && r.take("USING") {
			j.Using = inside(r, r.names)
		}
		f.Joins = append(f.Joins, j)
	}
	return f
}

func (r *reader) joining() bool {
	switch r.now().key {
	case "JOIN", "INNER", "LEFT", "RIGHT", "OUTER", "CROSS", "NATURAL", "STRAIGHT_JOIN":
		return !r.bad
	}
	return false
}

func (r *reader) table() *table {
	t := &table{}
	switch lateral := r.take("LATERAL"); {
	case lateral, r.isUnion():
		t.Query = inside(r, r.union)
	case r.is("("):
		t.Group = inside(r, func() []*from { return series(r, r.from) })
	default:
		t.Name = r.path(false)
	}
	if r.take("AS") || r.isName() {
		t.Alias = r.name()
	}
	if r.any("USE", "FORCE", "IGNORE") {
		if !r.any("INDEX", "KEY") {
			r.fail()
		}
		t.Index = inside(r, r.names)
	}
	return t
}
