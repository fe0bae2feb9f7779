package costmodel

import "magpiebank/internal/query/sqltext"

// isUnion tells whether the bracket here holds a query. One in which another stands holds one if that does and what
// follows it goes on with a query.
func (p *parser) isUnion() bool {
	for at := p.at; p.is("(") && p.tokens[at].sign == '('; at++ {
		switch next := &p.tokens[at+1]; {
		case next.key == "SELECT":
			return true
		case next.sign != '(' || next.match == 0:
			return false
		default:
			switch behind := &p.tokens[next.match+1]; {
			case behind.key == "UNION", behind.key == "EXCEPT", behind.key == "INTERSECT", behind.key == "ORDER", behind.key == "LIMIT":
				return true
			case behind.sign != ')':
				return false
			}
		}
	}
	return false
}

func (p *parser) parseStatement() *statement {
	t := &statement{}
	if p.take("WITH") {
		p.take("RECURSIVE")
		t.With = parseList(p, p.parseCTE)
	}
	switch {
	case p.is("INSERT"), p.is("REPLACE"):
		t.Insert = p.parseInsert()
	case p.is("LOAD"):
		t.Load = p.parseLoad()
	case p.is("UPDATE"):
		t.Update = p.parseUpdate()
	case p.is("DELETE"):
		t.Delete = p.parseDelete()
	default:
		t.Query = p.parseQuery()
	}
	p.take(";")
	if !p.isKind(sqltext.End) {
		p.fail()
	}
	return t
}

func (p *parser) parseCTE() *cte {
	c := &cte{Name: p.takeName()}
	if p.is("(") {
		c.Columns = parseInBrackets(p, p.parseNames)
	}
	p.need("AS")
	c.Query = parseInBrackets(p, p.parseQuery)
	return c
}

func (p *parser) parseQuery() *queryExpression {
	u := &queryExpression{First: p.parseSelect()}
	for p.takeAny("UNION", "EXCEPT", "INTERSECT") {
		p.takeAny("ALL", "DISTINCT")
		u.Rest = append(u.Rest, p.parseSelect())
	}
	u.Order, u.Limit = p.parseOrder(), p.parseLimit()
	return u
}

func (p *parser) parseOrder() []*orderTerm {
	if !p.take("ORDER") {
		return nil
	}
	p.need("BY")
	return parseList(p, p.parseOrderTerm)
}

func (p *parser) parseOrderTerm() *orderTerm {
	t := &orderTerm{Value: p.parseExpression()}
	p.takeAny("ASC", "DESC")
	return t
}

// parseLimit takes a limit; the last of what is kept is the number of rows.
func (p *parser) parseLimit() (out []string) {
	if !p.take("LIMIT") {
		return nil
	}
	out = append(out, p.parseAmount())
	if p.take(",") {
		out = append(out, p.parseAmount())
	} else if p.take("OFFSET") {
		p.parseAmount()
	}
	return out
}

func (p *parser) parseAmount() string {
	if !p.isKind(sqltext.Number) && !p.isKind(sqltext.Text) {
		p.fail()
		return ""
	}
	return p.takeText()
}

func (p *parser) parseSelect() *selectQuery {
	s := &selectQuery{}
	if p.is("(") {
		s.Nested = parseInBrackets(p, p.parseQuery)
		return s
	}
	p.need("SELECT")
	for p.isKind(sqltext.Hint) {
		s.Hints = append(s.Hints, p.takeText())
	}
	for p.takeAny("DISTINCT", "ALL", "STRAIGHT_JOIN") {
		s.Distinct = true
	}
	s.Columns = parseList(p, p.parseItem)
	if p.take("FROM") {
		s.From = parseList(p, p.parseTableReference)
	}
	s.Where = p.parseAfter("WHERE")
	if p.take("GROUP") {
		p.need("BY")
		s.Group = parseList(p, p.parseExpression)
		if p.take("WITH") {
			p.need("ROLLUP")
		}
	}
	s.Having = p.parseAfter("HAVING")
	if p.take("WINDOW") {
		s.Window = parseList(p, p.parseNamedWindow)
	}
	s.Order, s.Limit = p.parseOrder(), p.parseLimit()
	if p.take("FOR") {
		for n := 0; p.is("UPDATE") || p.isName(); n++ {
			s.Lock = append(s.Lock, p.takeText())
		}
		if len(s.Lock) == 0 {
			p.fail()
		}
	}
	return s
}

// parseAfter is the expression behind a keyword, nil where that doesn't stand here.
func (p *parser) parseAfter(word string) *expression {
	if !p.take(word) {
		return nil
	}
	return p.parseExpression()
}

func (p *parser) parseItem() *selectItem {
	i := &selectItem{}
	if i.Star = p.take("*"); !i.Star {
		i.Value = p.parseExpression()
	}
	if p.take("AS") {
		if !p.isName() && !p.isKind(sqltext.Text) {
			p.fail()
			return i
		}
		i.Name = p.takeText()
	} else if p.isName() || p.isKind(sqltext.Text) {
		i.Name = p.takeText()
	}
	return i
}

func (p *parser) parseNamedWindow() *namedWindow {
	w := &namedWindow{Name: p.takeName()}
	p.need("AS")
	w.Spec = parseInBrackets(p, p.parseWindowSpec)
	return w
}

func (p *parser) parseTableReference() *tableReference {
	f := &tableReference{Table: p.parseTableFactor()}
	for !p.failed {
		var kind []string
		for p.isJoin() {
			kind = append(kind, p.current().key)
			p.at++
		}
		if kind == nil {
			break
		}
		j := &joinedTable{Kind: kind, Table: p.parseTableFactor()}
		if j.On = p.parseAfter("ON"); j.On == nil && p.take("USING") {
			j.Using = parseInBrackets(p, p.parseNames)
		}
		f.Joins = append(f.Joins, j)
	}
	return f
}

func (p *parser) isJoin() bool {
	switch p.current().key {
	case "JOIN", "INNER", "LEFT", "RIGHT", "OUTER", "CROSS", "NATURAL", "STRAIGHT_JOIN":
		return !p.failed
	}
	return false
}

func (p *parser) parseTableFactor() *tableFactor {
	t := &tableFactor{}
	switch lateral := p.take("LATERAL"); {
	case lateral, p.isUnion():
		t.Query = parseInBrackets(p, p.parseQuery)
	case p.is("("):
		t.Group = parseInBrackets(p, func() []*tableReference { return parseList(p, p.parseTableReference) })
	default:
		t.Name = p.parsePath(false)
	}
	if p.take("AS") || p.isName() {
		t.Alias = p.takeName()
	}
	if p.takeAny("USE", "FORCE", "IGNORE") {
		if !p.takeAny("INDEX", "KEY") {
			p.fail()
		}
		t.Index = parseInBrackets(p, p.parseNames)
	}
	return t
}
