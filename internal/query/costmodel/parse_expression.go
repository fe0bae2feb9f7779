package costmodel

import "magpiebank/internal/query/sqltext"

// operator tells whether a word or sign is one that stands between two terms.
func (t *token) operator() bool {
	switch t.key {
	case "AND", "OR", "XOR", "NOT", "IN", "LIKE", "REGEXP", "RLIKE", "BETWEEN", "IS", "DIV", "MOD", "COLLATE", "ESCAPE":
		return !t.call
	}
	switch t.sign {
	case '=', '<', '>', '!', '+', '-', '*', '/', '%', '|', '&', '^', ':':
		return true
	}
	return false
}

// word is a keyword in capitals, or a sign.
func (t *token) word() string {
	if t.key != "" {
		return t.key
	}
	return t.text
}

func (r *reader) expr() *expr {
	e := &expr{First: r.value()}
	for !r.bad && r.now().operator() {
		p := &pair{}
		for r.now().operator() {
			p.Op = append(p.Op, r.now().word())
			r.at++
		}
		p.Value = r.value()
		e.Rest = append(e.Rest, p)
	}
	return e
}

func (r *reader) value() *value {
	v := &value{}
	for !r.bad {
		t := r.now()
		switch t.key {
		case "NOT", "BINARY", "EXISTS", "DISTINCT", "ALL", "ANY":
		default:
			if t.sign != '-' && t.sign != '+' && t.sign != '~' && t.sign != '!' {
				return r.operand(v)
			}
		}
		v.Prefix = append(v.Prefix, t.word())
		r.at++
	}
	return v
}

func (r *reader) operand(v *value) *value {
	switch t := r.now(); {
	case t.kind == sqltext.Number, t.kind == sqltext.Text, t.key == "NULL", t.key == "TRUE", t.key == "FALSE":
		v.Literal = r.text()
	case r.take("CASE"):
		v.Case = r.kase()
	case r.take("INTERVAL"):
		v.Gap = &gap{Value: r.expr(), Unit: r.name()}
	case r.isUnion():
		v.Query = inside(r, r.union)
	case r.is("("):
		v.List = inside(r, r.exprs)
	default:
		v.Name = r.path(true)
		if r.is("(") {
			v.Call = r.call()
		}
	}
	return v
}

func (r *reader) exprs() []*expr { return series(r, r.expr) }

func (r *reader) kase() *kase {
	k := &kase{}
	if !r.is("WHEN") {
		k.Of = r.expr()
	}
	for r.take("WHEN") {
		w := &when{If: r.expr()}
		r.need("THEN")
		w.Then = r.expr()
		k.When = append(k.When, w)
	}
	if len(k.When) == 0 {
		r.fail()
	}
	k.Else = r.after("ELSE")
	r.need("END")
	return k
}

func (r *reader) call() *call {
	c := &call{Open: true}
	r.need("(")
	if c.Star = r.take("*"); !c.Star && !r.is(")") && !r.is("ORDER") && !r.is("SEPARATOR") {
		c.Args = series(r, r.arg)
	}
	c.Order = r.order()
	if r.take("SEPARATOR") {
		if !r.isKind(sqltext.Text) {
			r.fail()
			return c
		}
		r.at++
	}
	r.need(")")
	if r.take("OVER") {
		if r.is("(") {
			c.Over = inside(r, r.over)
		} else {
			c.Named = r.name()
		}
	}
	return c
}

func (r *reader) arg() *arg {
	a := &arg{Value: r.expr()}
	if r.any("AS", "USING", "FROM") {
		if a.As = r.name(); r.is("(") {
			inside(r, func() []string { return series(r, r.amount) })
		}
	}
	return a
}

func (r *reader) over() *over {
	o := &over{}
	if r.isName() {
		o.Base = r.text()
	}
	if r.take("PARTITION") {
		r.need("BY")
		o.By = r.exprs()
	}
	o.Order = r.order()
	if r.is("ROWS") || r.is("RANGE") {
		for o.Frame = append(o.Frame, r.text()); r.isName() || r.isKind(sqltext.Number) || r.is("BETWEEN") || r.is("AND"); {
			o.Frame = append(o.Frame, r.text())
		}
	}
	return o
}
