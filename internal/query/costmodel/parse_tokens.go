package costmodel

import (
	"errors"
	"fmt"

	"magpiebank/internal/query/sqltext"
)

// The limits of a parse. Statements from people and tools have some hundred tokens and nest about ten levels deep.
// Beyond these limits, the features are read from the tokens alone, so that a parse takes well under a millisecond.
const (
	maxTokens  = 1200
	maxNesting = 24
)

// initialTokenCapacity is the initial capacity of the list of tokens.
const initialTokenCapacity = 64

// token is a lexer token with the information that the parser needs.
type token struct {
	kind           sqltext.Kind
	sign           byte
	isFunction     bool   // the keyword is the name of a function here, because a bracket follows
	keyword        string // the keyword in capitals; empty: the token is no keyword
	text           string // a substring of the statement, or the text of a sign
	closingBracket int    // of an opening bracket: index of the closing one; 0: there is none
}

var (
	errUnterminated = errors.New("unterminated string")
	errTooComplex   = errors.New("too many tokens, or brackets nested too deep")
)

// signTexts are the texts of signs, so that a sign needs no allocation.
var signTexts = func() (t [256]string) {
	for c := range t {
		t[c] = string(rune(c))
	}
	return t
}()

// functionKeywords are the keywords that are names of functions if a bracket follows.
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

// parse parses a statement according to the grammar.
func parse(sql []byte) (*statement, error) {
	tokens, err := tokenize(sql)
	if err != nil {
		return nil, err
	}
	p := parser{tokens: tokens}
	parsed := p.parseStatement()
	if p.failed {
		return nil, fmt.Errorf("unexpected token %d", p.position+1)
	}
	return parsed, nil
}

// tokenizer builds the list of tokens for the parser.
type tokenizer struct {
	text         string
	lexer        sqltext.Lexer
	tokens       []token
	openBrackets [maxNesting + 1]int // indices of the open brackets, by depth
	depth        int
	afterDot     bool // the previous token is a dot
}

// tokenize returns the tokens of a statement; the last one has the kind End.
func tokenize(sql []byte) ([]token, error) {
	t := tokenizer{text: string(sql), lexer: sqltext.Lexer{Text: sql}, tokens: make([]token, 0, initialTokenCapacity)}
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
		if !t.afterDot { // any word after a dot is a name
			added.keyword = keywordOf(t.lexer.Bytes(next))
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

// matchBracket processes the sign that is added next. It matches a closing bracket with its opening one, and marks a
// keyword before an opening bracket that is the name of a function.
func (t *tokenizer) matchBracket(sign byte) error {
	index := len(t.tokens)
	switch sign {
	case '(':
		t.depth++
		if t.depth > maxNesting {
			return errTooComplex
		}
		t.openBrackets[t.depth] = index
		if index > 0 && functionKeywords[t.tokens[index-1].keyword] {
			t.tokens[index-1].isFunction = true
		}
	case ')':
		if t.depth > 0 {
			t.tokens[t.openBrackets[t.depth]].closingBracket = index
			t.depth--
		}
	}
	return nil
}
