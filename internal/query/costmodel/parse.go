package costmodel

import "magpiebank/internal/query/sqltext"

// parser parses a statement from tokens by recursive descent. Its parse methods take tokens from the current one on. After
// the first token that does not fit the parser has failed, and all further methods take nothing.
type parser struct {
	tokens   []token
	position int
	failed   bool
}

func (p *parser) current() *token { return &p.tokens[p.position] }

// fail ends the parse.
func (p *parser) fail() {
	p.failed = true
	p.position = min(p.position, len(p.tokens)-1)
}

// is tells whether the current token is a keyword or sign.
func (p *parser) is(word string) bool {
	t := p.current()
	return !p.failed && (t.key == word || t.kind == sqltext.Sign && t.text == word)
}

// take takes a keyword or sign if it is the current token, and tells whether it did.
func (p *parser) take(word string) bool {
	if p.is(word) {
		p.position++
		return true
	}
	return false
}

// takeAny takes one of some keywords or signs, and tells whether it did.
func (p *parser) takeAny(words ...string) bool {
	for _, word := range words {
		if p.take(word) {
			return true
		}
	}
	return false
}

// skipAll takes as many of some keywords as there are.
func (p *parser) skipAll(words ...string) {
	for p.takeAny(words...) {
		continue
	}
}

// expect takes keywords or signs that must stand here, one after the other.
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
	return !p.failed && (t.kind == sqltext.Word && (t.key == "" || t.call) || t.kind == sqltext.Quoted)
}

func (p *parser) isKind(kind sqltext.Kind) bool { return !p.failed && p.current().kind == kind }

// takeText takes the current token, whatever it is, and returns its text.
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

// parsePath takes names with dots between them. If star is set, the last may be a star.
func (p *parser) parsePath(star bool) (names []string) {
	names = append(names, p.takeName())
	for p.take(".") {
		if star && p.is("*") {
			return append(names, p.takeText())
		}
		names = append(names, p.takeName())
	}
	return names
}

// parseList parses one or more elements with commas between them.
func parseList[T any](p *parser, parseElement func() T) (list []T) {
	for {
		list = append(list, parseElement())
		if p.failed || !p.take(",") {
			return list
		}
	}
}

// parseInBrackets parses what stands in brackets.
func parseInBrackets[T any](p *parser, parseContent func() T) T {
	p.expect("(")
	content := parseContent()
	p.expect(")")
	return content
}

func (p *parser) parseNames() []string { return parseList(p, p.takeName) }
