package costmodel

import (
	"magpiebank/internal/query/sqltext"
)

// parser reads a tree from tokens. Its methods take what they can from where it stands; the first that finds something
// else than it needs has the rest come to nothing.
type parser struct {
	tokens []token
	at     int
	failed bool
}

func (p *parser) current() *token { return &p.tokens[p.at] }

// fail has nothing more be taken.
func (p *parser) fail() {
	p.failed = true
	p.at = min(p.at, len(p.tokens)-1)
}

// is tells whether a keyword or sign stands here.
func (p *parser) is(word string) bool {
	t := p.current()
	return !p.failed && (t.key == word || t.kind == sqltext.Sign && t.text == word)
}

// take passes over a keyword or sign, if it stands here.
func (p *parser) take(word string) bool {
	if p.is(word) {
		p.at++
		return true
	}
	return false
}

// takeAny passes over one of some keywords or signs.
func (p *parser) takeAny(words ...string) bool {
	for _, w := range words {
		if p.take(w) {
			return true
		}
	}
	return false
}

// need passes over keywords or signs that must stand here.
func (p *parser) need(words ...string) {
	for _, w := range words {
		if !p.take(w) {
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

// takeText takes whatever token stands here.
func (p *parser) takeText() string {
	t := p.current()
	p.at++
	return t.text
}

func (p *parser) takeName() string {
	if !p.isName() {
		p.fail()
		return ""
	}
	return p.takeText()
}

// parsePath takes names with dots between them; star: the last may be a star.
func (p *parser) parsePath(star bool) (out []string) {
	out = append(out, p.takeName())
	for p.take(".") {
		if star && p.is("*") {
			return append(out, p.takeText())
		}
		out = append(out, p.takeName())
	}
	return out
}

// parseList takes one thing and, after each comma, another.
func parseList[T any](p *parser, parseElement func() T) (out []T) {
	for {
		out = append(out, parseElement())
		if p.failed || !p.take(",") {
			return out
		}
	}
}

// parseInBrackets takes what stands in brackets.
func parseInBrackets[T any](p *parser, parseContent func() T) T {
	p.need("(")
	v := parseContent()
	p.need(")")
	return v
}

func (p *parser) parseNames() []string { return parseList(p, p.takeName) }
