package costmodel

import "magpiebank/internal/query/sqltext"

// parser parses a statement from tokens by recursive descent. Its parse methods consume tokens from the current one
// on. After the first unexpected token, failed is set and all further methods consume nothing.
type parser struct {
	tokens   []token
	position int
	failed   bool
}

func (p *parser) current() *token { return &p.tokens[p.position] }

// fail marks the parse as failed.
func (p *parser) fail() {
	p.failed = true
	p.position = min(p.position, len(p.tokens)-1)
}

// is reports whether the current token is a keyword or sign.
func (p *parser) is(word string) bool {
	t := p.current()
	return !p.failed && (t.keyword == word || t.kind == sqltext.Sign && t.text == word)
}

// take consumes the current token if it is the given keyword or sign, and reports whether it did.
func (p *parser) take(word string) bool {
	if p.is(word) {
		p.position++
		return true
	}
	return false
}

// takeAny consumes the current token if it is one of the given keywords or signs, and reports whether it did.
func (p *parser) takeAny(words ...string) bool {
	for _, word := range words {
		if p.take(word) {
			return true
		}
	}
	return false
}

// skipAll consumes tokens as long as they are among the given keywords.
func (p *parser) skipAll(words ...string) {
	for p.takeAny(words...) {
		continue
	}
}

// expect consumes the given keywords or signs, in this order. The parse fails if one is missing.
func (p *parser) expect(words ...string) {
	for _, word := range words {
		if !p.take(word) {
			p.fail()
			return
		}
	}
}

func (p *parser) isName() bool {
	t := p.current()
	return !p.failed && (t.kind == sqltext.Word && (t.keyword == "" || t.isFunction) || t.kind == sqltext.Quoted)
}

func (p *parser) isKind(kind sqltext.Kind) bool { return !p.failed && p.current().kind == kind }

// takeText consumes the current token, whatever it is, and returns its text.
func (p *parser) takeText() string {
	t := p.current()
	p.position++
	return t.text
}

func (p *parser) takeName() string {
	if !p.isName() {
		p.fail()
		return ""
	}
	return p.takeText()
}

// parsePath parses names separated by dots. If allowStar is set, the last name may be an asterisk.
func (p *parser) parsePath(allowStar bool) (names []string) {
	names = append(names, p.takeName())
	for p.take(".") {
		if allowStar && p.is("*") {
			return append(names, p.takeText())
		}
		names = append(names, p.takeName())
	}
	return names
}

// parseList parses one or more elements separated by commas.
func parseList[T any](p *parser, parseElement func() T) (list []T) {
	for {
		list = append(list, parseElement())
		if p.failed || !p.take(",") {
			return list
		}
	}
}

// parseInBrackets parses an opening bracket, the content and a closing bracket, and returns the content.
func parseInBrackets[T any](p *parser, parseContent func() T) T {
	p.expect("(")
	content := parseContent()
	p.expect(")")
	return content
}

func (p *parser) parseNames() []string { return parseList(p, p.takeName) }
