package costmodel

import (
	"errors"
	"fmt"

	"magpiebank/internal/query/sqltext"
)

// The budget of a parse. Statements of people and tools have some hundred tokens and nest some ten deep. Features of a
// statement beyond the budget are read from its tokens, so that one parse takes well under a millisecond.
const (
	maxTokens  = 1200
	maxNesting = 24
)

// usualTokens is the capacity that a list of tokens begins with.
const usualTokens = 64

// token is a token of the lexer as the parser needs it.
type token struct {
	kind  sqltext.Kind
	sign  byte
	call  bool   // the keyword is a function's name here, as a bracket follows
	key   string // the keyword in capitals; empty: it is none
	text  string // it lies in the statement's text
	match int    // of an opening bracket: the index of the closing one; 0: there is none
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

// maxKeywordBytes is the length of the longest keyword.
const maxKeywordBytes = 13

// keywordOf returns a word in capitals if it is a keyword, and "" otherwise.
func keywordOf(word []byte) string {
	if len(word) > maxKeywordBytes {
		return ""
	}
	var upper [maxKeywordBytes]byte
	for i, c := range word {
		if 'a' <= c && c <= 'z' {
			c -= 'a' - 'A'
		}
		upper[i] = c
	}
	return keywords[string(upper[:len(word)])]
}

// parse parses a statement by the grammar.
func parse(sql []byte) (*statement, error) {
	tokens, err := tokenize(sql)
	if err != nil {
		return nil, err
	}
	p := parser{tokens: tokens}
	parsed := p.parseStatement()
	if p.failed {
		return nil, fmt.Errorf("nothing that is read begins at token %d", p.position+1)
	}
	return parsed, nil
}

// tokenizer makes the list of tokens for the parser.
type tokenizer struct {
	text     string
	lexer    sqltext.Lexer
	tokens   []token
	open     [maxNesting + 1]int // the indices of the brackets that are open, by depth
	depth    int
	afterDot bool
}

// tokenize returns the tokens of a statement; the last is of the kind End.
func tokenize(sql []byte) ([]token, error) {
	t := tokenizer{text: string(sql), lexer: sqltext.Lexer{Text: sql}, tokens: make([]token, 0, usualTokens)}
	for {
		next := t.lexer.Next()
		if next.Kind == sqltext.End {
			return append(t.tokens, token{kind: next.Kind}), nil
		}
		if len(t.tokens) >= maxTokens {
			return nil, errTooComplex
		}
		if err := t.add(next); err != nil {
			return nil, err
		}
	}
}

func (t *tokenizer) add(next sqltext.Token) error {
	added := token{kind: next.Kind, sign: next.Sign, text: t.text[next.From:next.To]}
	switch next.Kind {
	case sqltext.Word:
		if !t.afterDot { // any word behind a dot is a name
			added.key = keywordOf(t.lexer.Bytes(next))
		}
	case sqltext.Text:
		if next.Unterminated {
			return errUnterminated
		}
		if next.From > 0 && (t.text[next.From-1] == '\'' || t.text[next.From-1] == '"') {
			added.text = t.text[next.From-1 : next.To]
		}
	case sqltext.Sign:
		added.text = signTexts[next.Sign]
		if err := t.matchBracket(next.Sign); err != nil {
			return err
		}
	}
	t.afterDot = next.Sign == '.'
	t.tokens = append(t.tokens, added)
	return nil
}

// matchBracket notes that the next token is an opening or closing bracket, if it is one.
func (t *tokenizer) matchBracket(sign byte) error {
	index := len(t.tokens)
	switch sign {
	case '(':
		t.depth++
		if t.depth > maxNesting {
			return errTooComplex
		}
		t.open[t.depth] = index
		if index > 0 && functionKeywords[t.tokens[index-1].key] {
			t.tokens[index-1].call = true
		}
	case ')':
		if t.depth > 0 {
			t.tokens[t.open[t.depth]].match = index
			t.depth--
		}
	}
	return nil
}
