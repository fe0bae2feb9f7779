package costmodel

import "magpiebank/internal/query/sqltext"

func (r *reader) insert() *insert {
	i := &insert{Verb: r.now().key}
	r.at++
	for r.any("IGNORE", "LOW_PRIORITY", "DELAYED") {
	}
	r.take("INTO")
	i.Table = r.path(false)
	if r.is("(") && !r.isUnion() {
		i.Columns = inside(r, r.names)
	}
	switch {
	case r.any("VALUES", "VALUE"):
		i.Rows = series(r, r.row)
	case r.take("SET"):
		i.Set = r.exprs()
	default:
		i.Query = r.union()
	}
	if r.take("ON") {
		r.need("DUPLICATE", "KEY", "UPDATE")
		i.Update = r.exprs()
	}
	return i
}

func (r *reader) row() *row {
	return &row{Values: inside(r, func() []*expr {
		if r.is(")") {
			return nil
		}
		return r.exprs()
	})}
}

func (r *reader) load() *load {
	r.need("LOAD", "DATA")
	r.take("LOCAL")
	r.need("INFILE")
	l := &load{File: r.amount()}
	r.any("REPLACE", "IGNORE")
	r.need("INTO", "TABLE")
	l.Table = r.path(false)
	for !r.bad && !r.isKind(sqltext.End) && !r.is(";") { // how the file is laid out tells nothing of its cost
		r.at++
	}
	return l
}

func (r *reader) update() *update {
	r.need("UPDATE")
	for r.any("IGNORE", "LOW_PRIORITY") {
	}
	u := &update{From: series(r, r.from)}
	r.need("SET")
	u.Set, u.Where, u.Order, u.Limit = r.exprs(), r.after("WHERE"), r.order(), r.limit()
	return u
}

func (r *reader) remove() *remove {
	r.need("DELETE")
	for r.any("IGNORE", "QUICK", "LOW_PRIORITY") {
	}
	d := &remove{}
	if !r.is("FROM") {
		d.Names = r.path(true)
	}
	r.need("FROM")
	d.From, d.Where, d.Order, d.Limit = series(r, r.from), r.after("WHERE"), r.order(), r.limit()
	return d
}
