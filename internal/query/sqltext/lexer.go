// Package sqltext splits statements into tokens and computes their shapes, which are equal for statements that differ
// only in literals. It contains the only SQL lexer of the project. It works on bytes, allocates nothing and accepts any
// text.
package sqltext

import "bytes"

// Kind is the kind of a token.
type Kind uint8

// The kinds of tokens.
const (
	End    Kind = iota
	Word        // a name or keyword
	Quoted      // a name in back quotes; the text of the token does not include them
	Text        // a string in single or double quotes, or a placeholder; the text of the token does not include quotes
	Number      // a number, decimal or hexadecimal
	Hint        // /*+ ... */; the text of the token does not include the delimiters
	Sign        // any other character; each one is a token of its own
)

var kindNames = [...]string{"end", "word", "quoted", "text", "number", "hint", "sign"}

func (k Kind) String() string { return kindNames[k] }

// Token is a token of a statement. Its text is the bytes of the statement from From to before To.
type Token struct {
	Kind         Kind
	Sign         byte // the character of a Sign
	Unterminated bool // a string, quoted name or hint whose end is missing
	From, To     int
}

// Lexer splits a statement into tokens, without comments and white space. It reads each byte a bounded number of
// times. A copy of a Lexer can be used to look ahead.
type Lexer struct {
	Text     []byte
	Offset   int  // of the next byte to read
	previous Kind // kind of the previous token
}

// The classes of bytes. A digit is also a letter, because names may contain it. A byte without a class is always a
// Sign at the start of a token.
const (
	letter = 1 << iota
	digit
	space
	special // it may begin a comment, a string, a quoted name, a placeholder or a fraction
)

// byteClass is the class of each byte.
var byteClass = func() (t [256]byte) {
	for c := range t {
		switch {
		case c >= '0' && c <= '9':
			t[c] = digit | letter
		case c == '_' || c == '$' || c >= 0x80 || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z':
			t[c] = letter
		case c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' || c == '\v':
			t[c] = space
		case bytes.IndexByte([]byte("#-/*'\"`?."), byte(c)) >= 0:
			t[c] = special
		}
	}
	return t
}()

// Next returns the next token. At the end of the text, its kind is End.
func (l *Lexer) Next() Token {
	for l.Offset < len(l.Text) {
		from := l.Offset
		c := l.Text[from]
		switch byteClass[c] {
		case space:
			l.Offset++
			continue
		case letter: // about every third token, so it is checked early
			l.Offset = l.skipLetters(from + 1)
			l.previous = Word
			return Token{Kind: Word, From: from, To: l.Offset}
		case 0:
			l.Offset++
			l.previous = Sign
			return Token{Kind: Sign, Sign: c, From: from, To: l.Offset}
		case special:
			if l.skipComment(c) {
				continue
			}
		}
		token := l.readOther(c)
		l.previous = token.Kind
		return token
	}
	return Token{From: l.Offset, To: l.Offset}
}

// skipLetters returns the offset of the first byte, from the given offset on, that can't be part of a name.
func (l *Lexer) skipLetters(offset int) int {
	for offset < len(l.Text) && byteClass[l.Text[offset]]&letter != 0 {
		offset++
	}
	return offset
}

// skipComment skips a comment that begins at the current byte, which is c, and reports whether there is one. Of a
// comment that the server executes (/*! ... */), it skips only the delimiters, so that the content is read.
func (l *Lexer) skipComment(c byte) bool {
	from := l.Offset
	switch {
	case c == '#', c == '-' && l.byteAhead(1) == '-' && (from+2 >= len(l.Text) || l.Text[from+2] <= ' '):
		l.skipPast(from, "\n")
	case c == '/' && l.byteAhead(1) == '*' && l.byteAhead(2) == '!':
		l.Offset = from + len("/*!")
		for l.Offset < len(l.Text) && byteClass[l.Text[l.Offset]]&digit != 0 { // the version of the server from which on the content is executed
			l.Offset++
		}
	case c == '/' && l.byteAhead(1) == '*' && l.byteAhead(2) != '+':
		l.skipPast(from+len("/*"), "*/")
	case c == '*' && l.byteAhead(1) == '/': // the end of a comment that is executed
		l.Offset += len("*/")
	default:
		return false
	}
	return true
}

// readOther reads a token that begins with c, which is a digit or a special byte.
func (l *Lexer) readOther(c byte) Token {
	from := l.Offset
	switch {
	case c == '\'' || c == '"':
		return l.readString(from, c)
	case c == '`':
		return l.readDelimited(Quoted, from+1, "`")
	case c == '/' && l.byteAhead(1) == '*': // a hint, because comments have been skipped
		return l.readDelimited(Hint, from+len("/*+"), "*/")
	case c == '?':
		l.Offset++
		return Token{Kind: Text, From: from, To: l.Offset}
	case byteClass[c]&digit != 0, c == '.' && l.isFraction():
		return l.readNumber(from)
	}
	l.Offset++
	return Token{Kind: Sign, Sign: c, From: from, To: l.Offset}
}

// isFraction reports whether the dot at the current byte begins a number, and is not the separator of a qualified
// name.
func (l *Lexer) isFraction() bool {
	next := l.byteAhead(1)
	return next >= '0' && next <= '9' && l.previous != Word && l.previous != Quoted
}

// readDelimited reads a token whose text begins at an offset and ends before a delimiter.
func (l *Lexer) readDelimited(kind Kind, from int, delimiter string) Token {
	token := Token{Kind: kind, From: from, Unterminated: !l.skipPast(from, delimiter)}
	token.To = l.Offset
	if !token.Unterminated {
		token.To = max(from, l.Offset-len(delimiter))
	}
	return token
}

// Peek returns the next token without consuming it.
func (l *Lexer) Peek() Token {
	ahead := *l
	return ahead.Next()
}

// NextIsDot reports whether the next token is a dot, so that the name before the dot qualifies the one after it.
func (l *Lexer) NextIsDot() bool {
	offset := l.Offset
	for offset < len(l.Text) && byteClass[l.Text[offset]] == space {
		offset++
	}
	if offset >= len(l.Text) {
		return false
	}
	switch c := l.Text[offset]; c {
	case '/', '*', '#', '-': // there may be a comment before the dot
		return l.Peek().Sign == '.'
	default:
		return c == '.'
	}
}

// Bytes returns the text of a token.
func (l *Lexer) Bytes(t Token) []byte { return l.Text[t.From:t.To] }

// byteAhead returns the byte at the given distance after the current one, or 0 after the end of the text.
func (l *Lexer) byteAhead(distance int) byte {
	if l.Offset+distance < len(l.Text) {
		return l.Text[l.Offset+distance]
	}
	return 0
}

// skipPast moves to after the first delimiter from an offset on, and reports whether there is one. If there is none,
// it moves to the end of the text.
func (l *Lexer) skipPast(from int, delimiter string) bool {
	if from > len(l.Text) {
		l.Offset = len(l.Text)
		return false
	}
	distance := bytes.Index(l.Text[from:], []byte(delimiter))
	if distance < 0 {
		l.Offset = len(l.Text)
		return false
	}
	l.Offset = from + distance + len(delimiter)
	return true
}

// readString reads a string. A doubled quote and a character after a backslash do not end it.
func (l *Lexer) readString(from int, quote byte) Token {
	for l.Offset = from + 1; l.Offset < len(l.Text); l.Offset++ {
		switch l.Text[l.Offset] {
		case '\\':
			l.Offset++
		case quote:
			if l.byteAhead(1) != quote {
				l.Offset++
				return Token{Kind: Text, From: from + 1, To: l.Offset - 1}
			}
			l.Offset++
		}
	}
	l.Offset = len(l.Text)
	return Token{Kind: Text, Unterminated: true, From: min(from+1, l.Offset), To: l.Offset}
}

// readNumber reads a number. If letters follow that can't be part of the number, the token is a word, because names
// may begin with a digit.
func (l *Lexer) readNumber(from int) Token {
	var end int
	if l.Text[from] == '0' && from+1 < len(l.Text) && l.Text[from+1]|0x20 == 'x' {
		end = l.skipDigits(from+len("0x"), true)
	} else {
		end = l.skipDecimal(from)
	}
	kind := Number
	if end < len(l.Text) && byteClass[l.Text[end]]&letter != 0 && bytes.IndexByte(l.Text[from:end], '.') < 0 {
		kind = Word
		end = l.skipLetters(end)
	}
	l.Offset = end
	return Token{Kind: kind, From: from, To: end}
}

// skipDigits returns the offset of the first byte, from the given offset on, that is not a digit.
func (l *Lexer) skipDigits(offset int, hexadecimal bool) int {
	for ; offset < len(l.Text); offset++ {
		c := l.Text[offset]
		isDigit := byteClass[c]&digit != 0 || hexadecimal && c|0x20 >= 'a' && c|0x20 <= 'f'
		if !isDigit {
			break
		}
	}
	return offset
}

// skipDecimal returns the offset after a decimal number, which may have a fraction and an exponent.
func (l *Lexer) skipDecimal(from int) int {
	end := l.skipDigits(from, false)
	if end < len(l.Text) && l.Text[end] == '.' {
		end = l.skipDigits(end+1, false)
	}
	if end >= len(l.Text) || l.Text[end]|0x20 != 'e' {
		return end
	}
	exponent := end + 1
	if exponent < len(l.Text) && (l.Text[exponent] == '+' || l.Text[exponent] == '-') {
		exponent++
	}
	if exponentEnd := l.skipDigits(exponent, false); exponentEnd > exponent {
		return exponentEnd
	}
	return end
}
