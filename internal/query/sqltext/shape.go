package sqltext

import (
	"github.com/cespare/xxhash/v2"
)

// MaxStatementBytes is the length of the longest statement that has a shape of its own. It is also the length of the
// longest statement that a gateway accepts.
const MaxStatementBytes = 1 << 18

// ShapeTooLong is the shape of all longer statements.
const ShapeTooLong = 1

// Shape returns a number that is equal for statements that differ only in literals, in the length of lists of
// literals and of VALUES, in the number in the name of a schema, in spacing, comments, and the case of words. It
// allocates nothing.
func Shape(sql []byte) uint64 {
	shape, _ := ShapeAndLiterals(sql)
	return shape
}

// Literals are the hashes of the first literals of a statement. Of a list, only the first literal counts.
type Literals struct {
	Count  int
	Hashes [4]uint32
}

func (l *Literals) add(text []byte) {
	if l.Count == len(l.Hashes) {
		return
	}
	hash := xxhash.Sum64(text)
	l.Hashes[l.Count] = uint32(hash ^ hash>>32)
	l.Count++
}

// ShapeAndLiterals returns a statement's shape and its first literals.
func ShapeAndLiterals(sql []byte) (uint64, Literals) {
	if len(sql) > MaxStatementBytes {
		return ShapeTooLong, Literals{}
	}
	var n normalizer
	n.hash.Reset()
	n.normalize(sql)
	n.flush()
	return n.hash.Sum64(), n.literals
}

// AppendNormalized appends the normal form of a statement. Its shape is the hash of this form.
func AppendNormalized(dst, sql []byte) []byte {
	if len(sql) > MaxStatementBytes {
		return append(dst, "a statement that is too long"...)
	}
	n := normalizer{output: output{text: dst, toText: true}}
	n.normalize(sql)
	n.flush()
	return n.text
}

// normalizer writes the normal form of a statement into a hash or a text. Each token is followed by a space. A
// literal is written as ?, the further literals of a list as one +, and the further rows of VALUES as one +.
type normalizer struct {
	lexer    Lexer
	literals Literals

	afterSign    bool // the previous token is a sign other than a closing bracket
	afterLiteral bool // the previous token in the normal form is a literal or belongs to a list of literals
	plusWritten  bool // the + of that list has been written
	commaPending bool // the comma after a literal is not written yet, because it may belong to a list of literals
	inValues     bool // VALUES was read, and a bracket at valuesDepth is its first row
	depth        int  // nesting depth of brackets
	valuesDepth  int  // nesting depth of the rows of VALUES

	output
}

// output collects the normal form in a buffer, and flushes the buffer to a hash or a text.
type output struct {
	hash     xxhash.Digest
	text     []byte
	toText   bool // flush to text instead of hash
	buffered int
	buffer   [256]byte
}

func (o *output) flush() {
	if o.toText {
		o.text = append(o.text, o.buffer[:o.buffered]...)
	} else {
		_, _ = o.hash.Write(o.buffer[:o.buffered]) // a hash never returns an error
	}
	o.buffered = 0
}

func (o *output) writeByte(c byte) {
	if o.buffered == len(o.buffer) {
		o.flush()
	}
	o.buffer[o.buffered] = c
	o.buffered++
}

// writeSign writes a token of one character, and a space.
func (o *output) writeSign(c byte) {
	if o.buffered+2 > len(o.buffer) {
		o.flush()
	}
	o.buffer[o.buffered], o.buffer[o.buffered+1] = c, ' '
	o.buffered += 2
}

// writeWord writes a token, and a space.
func (o *output) writeWord(text []byte, lower bool) {
	o.writeName(text, lower)
	o.writeByte(' ')
}

// lowerCase maps each byte to its lower case; bytes that are not capital letters map to themselves.
var lowerCase = func() (t [256]byte) {
	for i := range t {
		c := byte(i)
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		t[i] = c
	}
	return t
}()

// writeName writes a token without a space after it.
func (o *output) writeName(text []byte, lower bool) {
	for len(text) > 0 {
		if o.buffered == len(o.buffer) {
			o.flush()
		}
		free := o.buffer[o.buffered:]
		copied := copy(free, text)
		if lower {
			for i, c := range free[:copied] {
				free[i] = lowerCase[c]
			}
		}
		o.buffered += copied
		text = text[copied:]
	}
}

// normalize writes the normal form of a statement.
func (n *normalizer) normalize(sql []byte) {
	n.lexer = Lexer{Text: sql}
	for {
		token := n.lexer.Next()
		if n.commaPending && !mayContinueList(token) {
			n.writePendingComma()
		}
		switch token.Kind {
		case End:
			return
		case Text, Number:
			n.normalizeLiteral(token)
		case Sign:
			n.normalizeSign(token)
		case Word:
			n.normalizeWord(n.lexer.Bytes(token))
			n.afterLiteral, n.afterSign = false, false
		case Quoted:
			n.writeByte('`')
			n.writeQualified(n.lexer.Bytes(token), false)
			n.afterLiteral, n.afterSign = false, false
		case Hint:
			n.writeWord([]byte("/*+"), false)
			n.writeWord(n.lexer.Bytes(token), false)
			n.afterLiteral, n.afterSign = false, false
		}
	}
}

// mayContinueList reports whether a token after a comma may belong to a list of literals.
func mayContinueList(token Token) bool {
	return token.Kind == Text || token.Kind == Number || token.Kind == Sign && token.Sign == '-'
}

func (n *normalizer) writePendingComma() {
	n.writeSign(',')
	n.commaPending = false
}

func (n *normalizer) normalizeLiteral(token Token) {
	n.afterSign = false
	if n.afterLiteral && n.commaPending { // a further literal of a list
		n.commaPending = false
		if !n.plusWritten {
			n.writeSign('+')
			n.plusWritten = true
		}
		return
	}
	n.literals.add(n.lexer.Bytes(token))
	if token.Unterminated {
		n.writeWord([]byte("'..."), false)
	} else {
		n.writeSign('?')
	}
	n.afterLiteral, n.plusWritten = true, false
}

func (n *normalizer) normalizeSign(token Token) {
	switch token.Sign {
	case ',':
		if n.afterLiteral {
			n.commaPending = true
			return
		}
	case '-', '+':
		if n.beginsNumber(token) {
			return
		}
		if n.commaPending {
			n.writePendingComma()
		}
	case '(':
		n.depth++
	case ')':
		n.depth--
		if n.inValues && n.depth == n.valuesDepth {
			n.endRow()
			return
		}
	case ';':
		if n.lexer.Peek().Kind == End { // a semicolon at the end is not part of the normal form
			return
		}
	}
	n.writeSign(token.Sign)
	n.afterLiteral, n.afterSign = false, token.Sign != ')'
}

// beginsNumber reports whether a plus or minus is the sign of the number after it, and not an operator between two
// terms.
func (n *normalizer) beginsNumber(sign Token) bool {
	next := n.lexer.Peek()
	return next.Kind == Number && next.From == sign.To && (n.commaPending || n.afterSign)
}

// endRow ends the first row of VALUES and skips the others.
func (n *normalizer) endRow() {
	n.writeSign(')')
	if n.skipRows() {
		n.writeSign('+')
	}
	n.afterLiteral, n.afterSign = false, false
}

func (n *normalizer) normalizeWord(word []byte) {
	if n.lexer.NextIsDot() {
		n.writeSchema(word, true)
		return
	}
	n.writeWord(word, true)
	switch len(word) { // most words have another length, so this check is cheap
	case len("VALUES"), len("VALUE"):
		if isKeyword(word, "VALUES") || isKeyword(word, "VALUE") {
			n.inValues, n.valuesDepth = true, n.depth
		} else if n.inValues && isKeyword(word, "SELECT") {
			n.inValues = false
		}
	case len("ON"):
		if n.inValues && isKeyword(word, "ON") {
			n.inValues = false
		}
	}
}

// writeQualified writes a name. If a dot follows, the name is written as that of a schema.
func (n *normalizer) writeQualified(name []byte, lower bool) {
	if n.lexer.NextIsDot() {
		n.writeSchema(name, lower)
	} else {
		n.writeWord(name, lower)
	}
}

// writeSchema writes a name before a dot. If it ends with an underscore and the number of a group of tables, the
// number is written as a literal.
func (n *normalizer) writeSchema(name []byte, lower bool) {
	end := len(name)
	for end > 0 && byteClass[name[end-1]]&digit != 0 {
		end--
	}
	if end > 0 && end < len(name) && name[end-1] == '_' {
		n.writeName(name[:end], lower)
		n.writeSign('?')
		return
	}
	n.writeWord(name, lower)
}

// skipRows skips the rows of VALUES after the first, and reports whether there are any.
func (n *normalizer) skipRows() (skipped bool) {
	for {
		ahead := n.lexer
		if ahead.Next().Sign != ',' || ahead.Next().Sign != '(' {
			return skipped
		}
		complete := ahead.skipBrackets()
		n.lexer, skipped = ahead, true
		if !complete {
			return true
		}
	}
}

// skipBrackets skips the rest of a bracket that has been opened, and reports whether the bracket is closed.
func (l *Lexer) skipBrackets() bool {
	for depth := 1; depth > 0; {
		switch token := l.Next(); {
		case token.Kind == End:
			return false
		case token.Sign == '(':
			depth++
		case token.Sign == ')':
			depth--
		}
	}
	return true
}

// isKeyword reports whether a word is the given keyword, regardless of case.
func isKeyword(word []byte, keyword string) bool {
	if len(word) != len(keyword) {
		return false
	}
	for i, c := range word {
		if lowerCase[c] != lowerCase[keyword[i]] {
			return false
		}
	}
	return true
}
