package costmodel

import "magpiebank/internal/query/sqltext"

func (p *parser) parseInsert() *insertStatement {
	i := &insertStatement{Verb: p.current().key}
	p.at++
	for p.takeAny("IGNORE", "LOW_PRIORITY", "DELAYED") {
	}
	p.take("INTO")
	i.Table = p.parsePath(false)
	if p.is("(") && !p.isUnion() {
		i.Columns = parseInBrackets(p, p.parseNames)
	}
	switch {
	case p.takeAny("VALUES", "VALUE"):
		i.Rows = parseList(p, p.parseRow)
	case p.take("SET"):
		i.Set = p.parseExpressions()
	default:
		i.Query = p.parseQuery()
	}
	if p.take("ON") {
		p.need("DUPLICATE", "KEY", "UPDATE")
		i.Update = p.parseExpressions()
	}
	return i
}

func (p *parser) parseRow() *valueRow {
	return &valueRow{Values: parseInBrackets(p, func() []*expression {
		if p.is(")") {
			return nil
		}
		return p.parseExpressions()
	})}
}

func (p *parser) parseLoad() *loadStatement {
	p.need("LOAD", "DATA")
	p.take("LOCAL")
	p.need("INFILE")
	l := &loadStatement{File: p.parseAmount()}
	p.takeAny("REPLACE", "IGNORE")
	p.need("INTO", "TABLE")
	l.Table = p.parsePath(false)
	for !p.failed && !p.isKind(sqltext.End) && !p.is(";") { // how the file is laid out tells nothing of its cost
		p.at++
	}
	return l
}

func (p *parser) parseUpdate() *updateStatement {
	p.need("UPDATE")
	for p.takeAny("IGNORE", "LOW_PRIORITY") {
	}
	u := &updateStatement{From: parseList(p, p.parseTableReference)}
	p.need("SET")
	u.Set, u.Where, u.Order, u.Limit = p.parseExpressions(), p.parseAfter("WHERE"), p.parseOrder(), p.parseLimit()
	return u
}

func (p *parser) parseDelete() *deleteStatement {
	p.need("DELETE")
	for p.takeAny("IGNORE", "QUICK", "LOW_PRIORITY") {
	}
	d := &deleteStatement{}
	if !p.is("FROM") {
		d.Names = p.parsePath(true)
	}
	p.need("FROM")
	d.From, d.Where, d.Order, d.Limit = parseList(p, p.parseTableReference), p.parseAfter("WHERE"), p.parseOrder(), p.parseLimit()
	return d
}
