package costmodel

import (
	"errors"
	"fmt"
	"magpiebank/internal/query/sqltext"
)

// The budget of a parse. Statements of people and tools have some hundred tokens and nest some ten deep; what is beyond is
// classed from its tokens, so that one parse stays well within a millisecond.
const (
	maxTokens  = 1200
	maxNesting = 24
)

// token is a lexer's token as the reader needs it; names and literals lie in the statement's text.
type token struct {
	kind  sqltext.Kind
	sign  byte
	call  bool   // a keyword that is a function's name here, as a bracket follows
	key   string // a keyword, in capitals; empty: none
	text  string
	match int // of an opening bracket: where its closing one stands; 0: nowhere
}

var (
	errUnterminated = errors.New("a string that doesn't end")
	errTooComplex   = errors.New("more tokens or brackets than are parsed")
)

// signTexts are the texts of signs.
var signTexts = func() (t [256]string) {
	for c := range t {
		t[c] = string(rune(c))
	}
	return t
}()

// functionKeywords are keywords that are functions when a bracket follows.
var functionKeywords = map[string]bool{"LEFT": true, "RIGHT": true, "REPLACE": true, "MOD": true, "INSERT": true, "VALUES": true}

// keywordOf finds a keyword; longest is their longest.
func keywordOf(word []byte) string {
	const longest = 13
	if len(word) > longest {
		return ""
	}
	var upper [longest]byte
	for i, c := range word {
		if 'a' <= c && c <= 'z' {
			c -= 'a' - 'A'
		}
		upper[i] = c
	}
	return keywords[string(upper[:len(word)])]
}

// parse reads a statement by the grammar.
func parse(sql []byte) (*statement, error) {
	l := sqltext.Lexer{Text: sql}
	all := string(sql)
	p := parser{tokens: make([]token, 0, 64)}
	var open [maxNesting + 1]int
	depth, dot := 0, false
	for {
		t := l.Next()
		k := token{kind: t.Kind, sign: t.Sign}
		if t.Kind == sqltext.End {
			p.tokens = append(p.tokens, k)
			break
		}
		if len(p.tokens) >= maxTokens {
			return nil, errTooComplex
		}
		k.text = all[t.From:t.To]
		switch t.Kind {
		case sqltext.Word:
			if !dot { // any word behind a dot is a name
				k.key = keywordOf(l.Bytes(t))
			}
		case sqltext.Text:
			if t.Unterminated {
				return nil, errUnterminated
			}
			if t.From > 0 && (all[t.From-1] == '\'' || all[t.From-1] == '"') {
				k.text = all[t.From-1 : t.To]
			}
		case sqltext.Sign:
			k.text = signTexts[t.Sign]
			switch t.Sign {
			case '(':
				if depth++; depth > maxNesting {
					return nil, errTooComplex
				}
				open[depth] = len(p.tokens)
				if n := len(p.tokens); n > 0 && functionKeywords[p.tokens[n-1].key] {
					p.tokens[n-1].call = true
				}
			case ')':
				if depth > 0 {
					p.tokens[open[depth]].match = len(p.tokens)
					depth--
				}
			}
		}
		dot = t.Sign == '.'
		p.tokens = append(p.tokens, k)
	}
	tree := p.parseStatement()
	if p.failed {
		return nil, fmt.Errorf("nothing that is read begins at token %d", p.at+1)
	}
	return tree, nil
}
