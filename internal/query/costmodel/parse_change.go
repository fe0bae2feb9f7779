package costmodel

import "magpiebank/internal/query/sqltext"

func (p *parser) parseInsert() *insertStatement {
	insert := &insertStatement{Verb: p.current().keyword}
	p.position++
	p.skipAll("IGNORE", "LOW_PRIORITY", "DELAYED")
	p.take("INTO")
	insert.Table = p.parsePath(false)
	if p.is("(") && !p.isQuery() {
		insert.Columns = parseInBrackets(p, p.parseNames)
	}
	switch {
	case p.takeAny("VALUES", "VALUE"):
		insert.Rows = parseList(p, p.parseRow)
	case p.take("SET"):
		insert.Set = p.parseExpressions()
	default:
		insert.Query = p.parseQuery()
	}
	if p.take("ON") {
		p.expect("DUPLICATE", "KEY", "UPDATE")
		insert.Update = p.parseExpressions()
	}
	return insert
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
	p.expect("LOAD", "DATA")
	p.take("LOCAL")
	p.expect("INFILE")
	load := &loadStatement{File: p.parseNumberOrText()}
	p.takeAny("REPLACE", "IGNORE")
	p.expect("INTO", "TABLE")
	load.Table = p.parsePath(false)
	for !p.failed && !p.isKind(sqltext.End) && !p.is(";") { // the format of the file does not affect the cost
		p.position++
	}
	return load
}

func (p *parser) parseUpdate() *updateStatement {
	p.expect("UPDATE")
	p.skipAll("IGNORE", "LOW_PRIORITY")
	update := &updateStatement{From: parseList(p, p.parseTableReference)}
	p.expect("SET")
	update.Set = p.parseExpressions()
	update.Where = p.parseOptionalClause("WHERE")
	update.Order, update.Limit = p.parseOrder(), p.parseLimit()
	return update
}

func (p *parser) parseDelete() *deleteStatement {
	p.expect("DELETE")
	p.skipAll("IGNORE", "QUICK", "LOW_PRIORITY")
	remove := &deleteStatement{}
	if !p.is("FROM") {
		remove.Names = p.parsePath(true)
	}
	p.expect("FROM")
	remove.From = parseList(p, p.parseTableReference)
	remove.Where = p.parseOptionalClause("WHERE")
	remove.Order, remove.Limit = p.parseOrder(), p.parseLimit()
	return remove
}
