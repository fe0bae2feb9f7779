package costmodel

import "magpiebank/internal/query/sqltext"

// isQuery reports whether the bracket at the current token contains a query. A bracket that begins with an inner
// bracket contains one if a set operation, ORDER or LIMIT follows the inner bracket, or if there is nothing after the
// inner bracket and that contains a query.
func (p *parser) isQuery() bool {
	for at := p.position; p.is("(") && p.tokens[at].sign == '('; at++ {
		next := &p.tokens[at+1]
		if next.keyword == "SELECT" {
			return true
		}
		if next.sign != '(' || next.closingBracket == 0 {
			return false
		}
		afterInner := &p.tokens[next.closingBracket+1]
		switch afterInner.keyword {
		case "UNION", "EXCEPT", "INTERSECT", "ORDER", "LIMIT":
			return true
		}
		if afterInner.sign != ')' {
			return false
		}
	}
	return false
}

// parseStatement parses the whole statement, which may end with a semicolon.
func (p *parser) parseStatement() *statement {
	parsed := &statement{}
	if p.take("WITH") {
		p.take("RECURSIVE")
		parsed.With = parseList(p, p.parseCommonTable)
	}
	switch {
	case p.is("INSERT"), p.is("REPLACE"):
		parsed.Insert = p.parseInsert()
	case p.is("LOAD"):
		parsed.Load = p.parseLoad()
	case p.is("UPDATE"):
		parsed.Update = p.parseUpdate()
	case p.is("DELETE"):
		parsed.Delete = p.parseDelete()
	default:
		parsed.Query = p.parseQuery()
	}
	p.take(";")
	if !p.isKind(sqltext.End) {
		p.fail()
	}
	return parsed
}

func (p *parser) parseCommonTable() *commonTable {
	table := &commonTable{Name: p.takeName()}
	if p.is("(") {
		table.Columns = parseInBrackets(p, p.parseNames)
	}
	p.expect("AS")
	table.Query = parseInBrackets(p, p.parseQuery)
	return table
}

func (p *parser) parseQuery() *queryExpression {
	query := &queryExpression{First: p.parseSelect()}
	for p.takeAny("UNION", "EXCEPT", "INTERSECT") {
		p.takeAny("ALL", "DISTINCT")
		query.Rest = append(query.Rest, p.parseSelect())
	}
	query.Order, query.Limit = p.parseOrder(), p.parseLimit()
	return query
}

func (p *parser) parseOrder() []*orderTerm {
	if !p.take("ORDER") {
		return nil
	}
	p.expect("BY")
	return parseList(p, p.parseOrderTerm)
}

func (p *parser) parseOrderTerm() *orderTerm {
	term := &orderTerm{Value: p.parseExpression()}
	p.takeAny("ASC", "DESC")
	return term
}

// parseLimit parses a LIMIT clause if there is one. The last number returned is the number of rows; a number after
// OFFSET is not returned.
func (p *parser) parseLimit() (numbers []string) {
	if !p.take("LIMIT") {
		return nil
	}
	numbers = append(numbers, p.parseNumberOrText())
	if p.take(",") {
		numbers = append(numbers, p.parseNumberOrText())
	} else if p.take("OFFSET") {
		p.parseNumberOrText()
	}
	return numbers
}

// parseNumberOrText consumes a number, or a string or placeholder in place of one.
func (p *parser) parseNumberOrText() string {
	if !p.isKind(sqltext.Number) && !p.isKind(sqltext.Text) {
		p.fail()
		return ""
	}
	return p.takeText()
}

func (p *parser) parseSelect() *selectQuery {
	query := &selectQuery{}
	if p.is("(") {
		query.Nested = parseInBrackets(p, p.parseQuery)
		return query
	}
	p.expect("SELECT")
	for p.isKind(sqltext.Hint) {
		query.Hints = append(query.Hints, p.takeText())
	}
	for p.takeAny("DISTINCT", "ALL", "STRAIGHT_JOIN") {
		query.Distinct = true
	}
	query.Columns = parseList(p, p.parseSelectItem)
	if p.take("FROM") {
		query.From = parseList(p, p.parseTableReference)
	}
	query.Where = p.parseOptionalClause("WHERE")
	if p.take("GROUP") {
		p.expect("BY")
		query.Group = parseList(p, p.parseExpression)
		if p.take("WITH") {
			p.expect("ROLLUP")
		}
	}
	query.Having = p.parseOptionalClause("HAVING")
	if p.take("WINDOW") {
		query.Window = parseList(p, p.parseNamedWindow)
	}
	query.Order, query.Limit = p.parseOrder(), p.parseLimit()
	if p.take("FOR") {
		for p.is("UPDATE") || p.isName() {
			query.Lock = append(query.Lock, p.takeText())
		}
		if len(query.Lock) == 0 {
			p.fail()
		}
	}
	return query
}

// parseOptionalClause parses a keyword and the expression after it. It returns nil if the current token is not the keyword.
func (p *parser) parseOptionalClause(word string) *expression {
	if !p.take(word) {
		return nil
	}
	return p.parseExpression()
}

func (p *parser) parseSelectItem() *selectItem {
	item := &selectItem{Star: p.take("*")}
	if !item.Star {
		item.Value = p.parseExpression()
	}
	if p.take("AS") {
		if !p.isName() && !p.isKind(sqltext.Text) {
			p.fail()
			return item
		}
		item.Name = p.takeText()
	} else if p.isName() || p.isKind(sqltext.Text) {
		item.Name = p.takeText()
	}
	return item
}

func (p *parser) parseNamedWindow() *namedWindow {
	window := &namedWindow{Name: p.takeName()}
	p.expect("AS")
	window.Spec = parseInBrackets(p, p.parseWindowSpec)
	return window
}

func (p *parser) parseTableReference() *tableReference {
	reference := &tableReference{Table: p.parseTableFactor()}
	for !p.failed {
		var kind []string
		for p.isJoin() {
			kind = append(kind, p.current().keyword)
			p.position++
		}
		if kind == nil {
			break
		}
		join := &joinedTable{Kind: kind, Table: p.parseTableFactor()}
		join.On = p.parseOptionalClause("ON")
		if join.On == nil && p.take("USING") {
			join.Using = parseInBrackets(p, p.parseNames)
		}
		reference.Joins = append(reference.Joins, join)
	}
	return reference
}

// isJoin reports whether the current token is a keyword of a join.
func (p *parser) isJoin() bool {
	switch p.current().keyword {
	case "JOIN", "INNER", "LEFT", "RIGHT", "OUTER", "CROSS", "NATURAL", "STRAIGHT_JOIN":
		return !p.failed
	}
	return false
}

func (p *parser) parseTableFactor() *tableFactor {
	factor := &tableFactor{}
	switch lateral := p.take("LATERAL"); {
	case lateral, p.isQuery():
		factor.Query = parseInBrackets(p, p.parseQuery)
	case p.is("("):
		factor.Group = parseInBrackets(p, func() []*tableReference { return parseList(p, p.parseTableReference) })
	default:
		factor.Name = p.parsePath(false)
	}
	if p.take("AS") || p.isName() {
		factor.Alias = p.takeName()
	}
	if p.takeAny("USE", "FORCE", "IGNORE") {
		if !p.takeAny("INDEX", "KEY") {
			p.fail()
		}
		factor.Index = parseInBrackets(p, p.parseNames)
	}
	return factor
}
