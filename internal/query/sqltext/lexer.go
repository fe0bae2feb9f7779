// Package sqltext splits statements into tokens and finds their shapes, which are the same for statements that differ in
// literals only. It works on bytes alone, allocates nothing and reads any text; it is the one lexer of the project.
package sqltext

import "bytes"

// Kind is a token's kind.
type Kind uint8

// The kinds of tokens.
const (
	End    Kind = iota
	Word        // a name or keyword
	Quoted      // a name in back quotes; the token's text is without them
	Text        // a string in single or double quotes, or a placeholder
	Number      // also in hexadecimal
	Hint        // /*+ ... */, text without the marks
	Sign        // any other character, one by one
)

var kindNames = [...]string{"end", "word", "quoted", "text", "number", "hint", "sign"}

func (k Kind) String() string { return kindNames[k] }

// Token is a piece of a statement; its text is the statement's bytes From to To.
type Token struct {
	Kind         Kind
	Sign         byte // of a Sign, the character
	Unterminated bool // a string, name or comment that doesn't end
	From, To     int
}

// Lexer splits a statement into tokens, without comments and white space. It looks at each byte a bounded number of
// times, whatever they are.
type Lexer struct {
	Text     []byte
	At       int
	previous Kind // of the token before
}

// byteClass tells what a byte can begin or go on with.
var byteClass = func() (t [256]byte) {
	for c := range t {
		switch {
		case c >= '0' && c <= '9':
			t[c] = digit | letter
		case c == '_' || c == '$' || c >= 0x80 || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z':
			t[c] = letter
		case c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' || c == '\v':
			t[c] = space
		}
	}
	return t
}()

const (
	letter = 1 << iota
	digit
	space
)

// Next is the next token.
func (l *Lexer) Next() (t Token) {
	for l.At < len(l.Text) {
		from := l.At
		c := l.Text[from]
		switch kind := byteClass[c]; {
		case kind == space:
			l.At++
			continue
		case kind == letter: // as good as every third token
			at := from + 1
			for at < len(l.Text) && byteClass[l.Text[at]]&letter != 0 {
				at++
			}
			l.At = at
			l.previous = Word
			return Token{Kind: Word, From: from, To: at}
		case c == '#', c == '-' && l.byteAhead(1) == '-' && (from+2 >= len(l.Text) || l.Text[from+2] <= ' '):
			l.skipPast(from, "\n")
			continue
		case c == '/' && l.byteAhead(1) == '*':
			if l.byteAhead(2) == '+' {
				t = Token{Kind: Hint, From: from + 3}
				t.Unterminated = !l.skipPast(from+3, "*/")
				t.To = max(t.From, l.At-2)
				if t.Unterminated {
					t.To = l.At
				}
				return l.finish(t)
			}
			if l.byteAhead(2) == '!' { // what stands in such a comment is read by the server
				for l.At = from + 3; l.At < len(l.Text) && byteClass[l.Text[l.At]]&digit != 0; {
					l.At++
				}
				continue
			}
			l.skipPast(from+2, "*/")
			continue
		case c == '*' && l.byteAhead(1) == '/': // the end of one that is read
			l.At += 2
			continue
		case c == '\'' || c == '"':
			return l.finish(l.readString(from, c))
		case c == '`':
			t = Token{Kind: Quoted, From: from + 1}
			if t.Unterminated = !l.skipPast(from+1, "`"); t.Unterminated {
				t.To = l.At
			} else {
				t.To = l.At - 1
			}
			return l.finish(t)
		case c == '?':
			l.At++
			return l.finish(Token{Kind: Text, From: from, To: l.At})
		case byteClass[c]&digit != 0, c == '.' && l.byteAhead(1) >= '0' && l.byteAhead(1) <= '9' && l.previous != Word && l.previous != Quoted:
			return l.finish(l.readNumber(from))
		}
		l.At++
		return l.finish(Token{Kind: Sign, Sign: c, From: from, To: l.At})
	}
	return Token{From: l.At, To: l.At}
}

func (l *Lexer) finish(t Token) Token {
	l.previous = t.Kind
	return t
}

// Peek is the next token, which comes again.
func (l *Lexer) Peek() Token {
	ahead := *l
	return ahead.Next()
}

// NextIsDot tells whether the next token is a dot: the name before it qualifies another.
func (l *Lexer) NextIsDot() bool {
	at := l.At
	for at < len(l.Text) && byteClass[l.Text[at]] == space {
		at++
	}
	if at >= len(l.Text) {
		return false
	}
	switch c := l.Text[at]; c {
	case '/', '*', '#', '-': // a comment may stand between
		return l.Peek().Sign == '.'
	default:
		return c == '.'
	}
}

// Bytes is a token's text.
func (l *Lexer) Bytes(t Token) []byte { return l.Text[t.From:t.To] }

// byteAhead is a byte some places on, 0 where there is none.
func (l *Lexer) byteAhead(n int) byte {
	if l.At+n < len(l.Text) {
		return l.Text[l.At+n]
	}
	return 0
}

// skipPast moves behind the next place where a mark stands, or to the end; it tells whether it was there.
func (l *Lexer) skipPast(from int, mark string) bool {
	if from > len(l.Text) {
		l.At = len(l.Text)
		return false
	}
	i := bytes.Index(l.Text[from:], []byte(mark))
	if i < 0 {
		l.At = len(l.Text)
		return false
	}
	l.At = from + i + len(mark)
	return true
}

// readString reads a string; a doubled quote and what stands behind a backslash belong to it.
func (l *Lexer) readString(from int, quote byte) Token {
	for l.At = from + 1; l.At < len(l.Text); l.At++ {
		switch l.Text[l.At] {
		case '\\':
			l.At++
		case quote:
			if l.byteAhead(1) != quote {
				l.At++
				return Token{Kind: Text, From: from + 1, To: l.At - 1}
			}
			l.At++
		}
	}
	l.At = len(l.Text)
	return Token{Kind: Text, Unterminated: true, From: min(from+1, l.At), To: l.At}
}

// readNumber reads a number; letters that belong to none make a word of it, as names may begin with a digit.
func (l *Lexer) readNumber(from int) Token {
	at := from
	run := func(ok func(c byte) bool) {
		for at < len(l.Text) && ok(l.Text[at]) {
			at++
		}
	}
	isDigit := func(c byte) bool { return byteClass[c]&digit != 0 }
	if l.Text[at] == '0' && at+1 < len(l.Text) && l.Text[at+1]|0x20 == 'x' {
		at += 2
		run(func(c byte) bool { return isDigit(c) || c|0x20 >= 'a' && c|0x20 <= 'f' })
	} else {
		run(isDigit)
		if at < len(l.Text) && l.Text[at] == '.' {
			at++
			run(isDigit)
		}
		if at < len(l.Text) && l.Text[at]|0x20 == 'e' {
			mark := at
			if at++; at < len(l.Text) && (l.Text[at] == '+' || l.Text[at] == '-') {
				at++
			}
			first := at
			if run(isDigit); at == first {
				at = mark // no exponent follows
			}
		}
	}
	kind := Number
	if at < len(l.Text) && byteClass[l.Text[at]]&letter != 0 && bytes.IndexByte(l.Text[from:at], '.') < 0 {
		kind = Word
		for at < len(l.Text) && byteClass[l.Text[at]]&letter != 0 {
			at++
		}
	}
	l.At = at
	return Token{Kind: kind, From: from, To: at}
}
