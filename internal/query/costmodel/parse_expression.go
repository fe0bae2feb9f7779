package costmodel

import "magpiebank/internal/query/sqltext"

// isOperator tells whether a word or sign is one that stands between two terms.
func (t *token) isOperator() bool {
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

func (p *parser) parseExpression() *expression {
	e := &expression{First: p.parseOperand()}
	for !p.failed && p.current().isOperator() {
		op := &operation{}
		for p.current().isOperator() {
			op.Op = append(op.Op, p.current().word())
			p.at++
		}
		op.Value = p.parseOperand()
		e.Rest = append(e.Rest, op)
	}
	return e
}

func (p *parser) parseOperand() *operand {
	v := &operand{}
	for !p.failed {
		t := p.current()
		switch t.key {
		case "NOT", "BINARY", "EXISTS", "DISTINCT", "ALL", "ANY":
		default:
			if t.sign != '-' && t.sign != '+' && t.sign != '~' && t.sign != '!' {
				return p.parseOperandBody(v)
			}
		}
		v.Prefix = append(v.Prefix, t.word())
		p.at++
	}
	return v
}

func (p *parser) parseOperandBody(v *operand) *operand {
	switch t := p.current(); {
	case t.kind == sqltext.Number, t.kind == sqltext.Text, t.key == "NULL", t.key == "TRUE", t.key == "FALSE":
		v.Literal = p.takeText()
	case p.take("CASE"):
		v.Case = p.parseCase()
	case p.take("INTERVAL"):
		v.Interval = &interval{Value: p.parseExpression(), Unit: p.takeName()}
	case p.isUnion():
		v.Query = parseInBrackets(p, p.parseQuery)
	case p.is("("):
		v.List = parseInBrackets(p, p.parseExpressions)
	default:
		v.Name = p.parsePath(true)
		if p.is("(") {
			v.Call = p.parseCall()
		}
	}
	return v
}

func (p *parser) parseExpressions() []*expression { return parseList(p, p.parseExpression) }

func (p *parser) parseCase() *caseExpression {
	k := &caseExpression{}
	if !p.is("WHEN") {
		k.Of = p.parseExpression()
	}
	for p.take("WHEN") {
		w := &caseBranch{If: p.parseExpression()}
		p.need("THEN")
		w.Then = p.parseExpression()
		k.When = append(k.When, w)
	}
	if len(k.When) == 0 {
		p.fail()
	}
	k.Else = p.parseAfter("ELSE")
	p.need("END")
	return k
}

func (p *parser) parseCall() *callSuffix {
	c := &callSuffix{Open: true}
	p.need("(")
	if c.Star = p.take("*"); !c.Star && !p.is(")") && !p.is("ORDER") && !p.is("SEPARATOR") {
		c.Args = parseList(p, p.parseArgument)
	}
	c.Order = p.parseOrder()
	if p.take("SEPARATOR") {
		if !p.isKind(sqltext.Text) {
			p.fail()
			return c
		}
		p.at++
	}
	p.need(")")
	if p.take("OVER") {
		if p.is("(") {
			c.Over = parseInBrackets(p, p.parseWindowSpec)
		} else {
			c.Named = p.takeName()
		}
	}
	return c
}

func (p *parser) parseArgument() *callArgument {
	a := &callArgument{Value: p.parseExpression()}
	if p.takeAny("AS", "USING", "FROM") {
		if a.As = p.takeName(); p.is("(") {
			parseInBrackets(p, func() []string { return parseList(p, p.parseAmount) })
		}
	}
	return a
}

func (p *parser) parseWindowSpec() *windowSpec {
	o := &windowSpec{}
	if p.isName() {
		o.Base = p.takeText()
	}
	if p.take("PARTITION") {
		p.need("BY")
		o.By = p.parseExpressions()
	}
	o.Order = p.parseOrder()
	if p.is("ROWS") || p.is("RANGE") {
		for o.Frame = append(o.Frame, p.takeText()); p.isName() || p.isKind(sqltext.Number) || p.is("BETWEEN") || p.is("AND"); {
			o.Frame = append(o.Frame, p.takeText())
		}
	}
	return o
}
