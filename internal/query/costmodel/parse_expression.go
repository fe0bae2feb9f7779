package costmodel

import "magpiebank/internal/query/sqltext"

// isOperator reports whether a token is an operator between two operands, or a part of one, such as NOT in NOT IN.
func (t *token) isOperator() bool {
	switch t.keyword {
	case "AND", "OR", "XOR", "NOT", "IN", "LIKE", "REGEXP", "RLIKE", "BETWEEN", "IS", "DIV", "MOD", "COLLATE", "ESCAPE":
		return !t.isFunction
	}
	switch t.sign {
	case '=', '<', '>', '!', '+', '-', '*', '/', '%', '|', '&', '^', ':':
		return true
	}
	return false
}

// keywordOrText returns a keyword in capitals, or the token's text.
func (t *token) keywordOrText() string {
	if t.keyword != "" {
		return t.keyword
	}
	return t.text
}

// parseExpression parses operands and the operators between them, without regard to precedence.
func (p *parser) parseExpression() *expression {
	parsed := &expression{First: p.parseOperand()}
	for !p.failed && p.current().isOperator() {
		op := &operation{}
		for p.current().isOperator() {
			op.Op = append(op.Op, p.current().keywordOrText())
			p.position++
		}
		op.Value = p.parseOperand()
		parsed.Rest = append(parsed.Rest, op)
	}
	return parsed
}

// parseOperand parses an operand with its prefixes.
func (p *parser) parseOperand() *operand {
	parsed := &operand{}
	for !p.failed {
		t := p.current()
		switch t.keyword {
		case "NOT", "BINARY", "EXISTS", "DISTINCT", "ALL", "ANY":
		default:
			if t.sign != '-' && t.sign != '+' && t.sign != '~' && t.sign != '!' {
				return p.parseOperandBody(parsed)
			}
		}
		parsed.Prefix = append(parsed.Prefix, t.keywordOrText())
		p.position++
	}
	return parsed
}

// parseOperandBody parses an operand after its prefixes.
func (p *parser) parseOperandBody(parsed *operand) *operand {
	switch t := p.current(); {
	case t.kind == sqltext.Number, t.kind == sqltext.Text, t.keyword == "NULL", t.keyword == "TRUE", t.keyword == "FALSE":
		parsed.Literal = p.takeText()
	case p.take("CASE"):
		parsed.Case = p.parseCase()
	case p.take("INTERVAL"):
		parsed.Interval = &interval{Value: p.parseExpression(), Unit: p.takeName()}
	case p.isQuery():
		parsed.Query = parseInBrackets(p, p.parseQuery)
	case p.is("("):
		parsed.List = parseInBrackets(p, p.parseExpressions)
	default:
		parsed.Name = p.parsePath(true)
		if p.is("(") {
			parsed.Call = p.parseCall()
		}
	}
	return parsed
}

func (p *parser) parseExpressions() []*expression { return parseList(p, p.parseExpression) }

func (p *parser) parseCase() *caseExpression {
	parsed := &caseExpression{}
	if !p.is("WHEN") {
		parsed.Of = p.parseExpression()
	}
	for p.take("WHEN") {
		branch := &caseBranch{If: p.parseExpression()}
		p.expect("THEN")
		branch.Then = p.parseExpression()
		parsed.When = append(parsed.When, branch)
	}
	if len(parsed.When) == 0 {
		p.fail()
	}
	parsed.Else = p.parseOptionalClause("ELSE")
	p.expect("END")
	return parsed
}

// parseCall parses the arguments of a function and the clauses after them.
func (p *parser) parseCall() *callSuffix {
	call := &callSuffix{Open: true}
	p.expect("(")
	call.Star = p.take("*")
	if !call.Star && !p.is(")") && !p.is("ORDER") && !p.is("SEPARATOR") {
		call.Args = parseList(p, p.parseArgument)
	}
	call.Order = p.parseOrder()
	if p.take("SEPARATOR") {
		if !p.isKind(sqltext.Text) {
			p.fail()
			return call
		}
		p.position++
	}
	p.expect(")")
	if p.take("OVER") {
		if p.is("(") {
			call.Over = parseInBrackets(p, p.parseWindowSpec)
		} else {
			call.Named = p.takeName()
		}
	}
	return call
}

func (p *parser) parseArgument() *callArgument {
	argument := &callArgument{Value: p.parseExpression()}
	if p.takeAny("AS", "USING", "FROM") {
		argument.As = p.takeName()
		if p.is("(") { // the parameters of a type, such as decimal(10, 2)
			parseInBrackets(p, func() []string { return parseList(p, p.parseNumberOrText) })
		}
	}
	return argument
}

func (p *parser) parseWindowSpec() *windowSpec {
	spec := &windowSpec{}
	if p.isName() {
		spec.Base = p.takeText()
	}
	if p.take("PARTITION") {
		p.expect("BY")
		spec.By = p.parseExpressions()
	}
	spec.Order = p.parseOrder()
	if p.is("ROWS") || p.is("RANGE") {
		spec.Frame = append(spec.Frame, p.takeText())
		for p.isName() || p.isKind(sqltext.Number) || p.is("BETWEEN") || p.is("AND") {
			spec.Frame = append(spec.Frame, p.takeText())
		}
	}
	return spec
}
