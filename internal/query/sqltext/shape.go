package sqltext

import (
	"github.com/cespare/xxhash/v2"
)

// MaxStatementBytes is the longest statement that has a shape: what a gateway takes at the most.
const MaxStatementBytes = 1 << 18

// ShapeTooLong is the shape of all statements that are longer.
const ShapeTooLong = 1

// Shape is the same number for statements that differ only in literals, the length of lists of literals and of VALUES, the
// number in a schema's name, spacing, comments and the case of words. It allocates nothing.
func Shape(sql []byte) uint64 {
	shape, _ := ShapeAndLiterals(sql)
	return shape
}

// Literals are the first of a statement's literals, of a list the first one, as numbers that are the same for the same text.
type Literals struct {
	Count  int
	Hashes [4]uint32
}

func (l *Literals) add(text []byte) {
	if l.Count == len(l.Hashes) {
		return
	}
	h := xxhash.Sum64(text)
	l.Hashes[l.Count] = uint32(h ^ h>>32)
	l.Count++
}

// ShapeAndLiterals is a statement's shape, and its literals.
func ShapeAndLiterals(sql []byte) (uint64, Literals) {
	if len(sql) > MaxStatementBytes {
		return ShapeTooLong, Literals{}
	}
	var n normalizer
	n.hash.Reset()
	n.normalize(sql)
	n.hash.Write(n.buffer[:n.buffered])
	return n.hash.Sum64(), n.literals
}

// AppendNormalized appends a statement's normal form, which its shape is the hash of.
func AppendNormalized(dst, sql []byte) []byte {
	if len(sql) > MaxStatementBytes {
		return append(dst, "a statement that is too long"...)
	}
	n := normalizer{text: dst, keepText: true}
	n.hash.Reset()
	n.normalize(sql)
	return append(n.text, n.buffer[:n.buffered]...)
}

// normalizer writes a normal form piece by piece, into a hash or a text.
type normalizer struct {
	hash     xxhash.Digest
	text     []byte
	keepText bool
	buffered int
	buffer   [256]byte

	literals Literals
}

func (n *normalizer) flush() {
	if n.keepText {
		n.text = append(n.text, n.buffer[:n.buffered]...)
	} else {
		n.hash.Write(n.buffer[:n.buffered])
	}
	n.buffered = 0
}

func (n *normalizer) writeByte(c byte) {
	if n.buffered == len(n.buffer) {
		n.flush()
	}
	n.buffer[n.buffered] = c
	n.buffered++
}

// writeSign writes a token of one character.
func (n *normalizer) writeSign(c byte) {
	if n.buffered+2 > len(n.buffer) {
		n.flush()
	}
	n.buffer[n.buffered], n.buffer[n.buffered+1] = c, ' '
	n.buffered += 2
}

func (n *normalizer) writeWord(text []byte, lower bool) {
	n.writeName(text, lower)
	n.writeByte(' ')
}

// lowerCase has each byte, capitals as small letters.
var lowerCase = func() (t [256]byte) {
	for c := range t {
		if t[c] = byte(c); 'A' <= c && c <= 'Z' {
			t[c] += 'a' - 'A'
		}
	}
	return t
}()

func (n *normalizer) writeName(text []byte, lower bool) {
	for len(text) > 0 {
		if n.buffered == len(n.buffer) {
			n.flush()
		}
		room := n.buffer[n.buffered:]
		m := copy(room, text)
		if lower {
			for i, c := range room[:m] {
				room[i] = lowerCase[c]
			}
		}
		n.buffered += m
		text = text[m:]
	}
}

// normalize writes the normal form: tokens with one space behind each, literals as ?, further ones of a list as one +.
func (n *normalizer) normalize(sql []byte) {
	l := Lexer{Text: sql}
	sign := false    // the token before is a sign other than a closing bracket
	literal := false // the last thing written was a literal, or a list of them
	list := false    // and its + is written
	comma := false   // a comma behind a literal is held back: it may go on as a list
	values := false  // in the rows of VALUES, of which the first is written
	depth, row := 0, -1
	for {
		t := l.Next()
		if comma && t.Kind != Text && t.Kind != Number && !(t.Kind == Sign && t.Sign == '-') {
			n.writeSign(',')
			comma = false
		}
		switch t.Kind {
		case End:
			return
		case Text, Number:
			if literal && comma {
				comma = false
				if list {
					continue
				}
				n.writeSign('+')
				list = true
				break
			}
			n.literals.add(l.Bytes(t))
			if t.Unterminated {
				n.writeWord([]byte("'..."), false)
			} else {
				n.writeSign('?')
			}
			literal, list = true, false
			sign = false
			continue
		case Sign:
			switch t.Sign {
			case ',':
				if literal {
					comma = true
					continue
				}
			case '-', '+':
				// A sign before a number belongs to it, unless it stands between two terms.
				if next := l.Peek(); next.Kind == Number && next.From == t.To &&
					(comma || sign) {
					continue
				}
				if comma {
					n.writeSign(',')
					comma = false
				}
			case '(':
				depth++
			case ')':
				if depth--; values && depth == row {
					n.writeSign(')')
					literal = false
					if n.skipRows(&l) {
						n.writeSign('+')
					}
					sign = false
					continue
				}
			case ';':
				if l.Peek().Kind == End { // may end a statement or not
					continue
				}
			}
			n.writeSign(t.Sign)
		case Word:
			text := l.Bytes(t)
			if l.NextIsDot() {
				n.writeSchema(text, true)
			} else {
				n.writeWord(text, true)
				switch len(text) {
				case 5, 6:
					if isKeyword(text, "VALUES") || isKeyword(text, "VALUE") {
						values, row = true, depth
					} else if values && isKeyword(text, "SELECT") {
						values = false
					}
				case 2:
					if values && isKeyword(text, "ON") {
						values = false
					}
				}
			}
		case Quoted:
			n.writeByte('`')
			if l.NextIsDot() {
				n.writeSchema(l.Bytes(t), false)
			} else {
				n.writeWord(l.Bytes(t), false)
			}
		case Hint:
			n.writeWord([]byte("/*+"), false)
			n.writeWord(l.Bytes(t), false)
		}
		if t.Kind != Text && t.Kind != Number {
			literal, list = false, false
		}
		sign = t.Kind == Sign && t.Sign != ')'
	}
}

// writeSchema writes a name before a dot, its group's number folded.
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

// skipRows passes over the rows of VALUES behind the first, and tells whether there were any.
func (n *normalizer) skipRows(l *Lexer) (any bool) {
	for {
		ahead := *l
		if ahead.Next().Sign != ',' || ahead.Next().Sign != '(' {
			return any
		}
		for depth := 1; depth > 0; {
			switch t := ahead.Next(); {
			case t.Kind == End:
				*l = ahead
				return true
			case t.Sign == '(':
				depth++
			case t.Sign == ')':
				depth--
			}
		}
		*l, any = ahead, true
	}
}

// isKeyword tells whether a word is a keyword, which is given in capitals.
func isKeyword(word []byte, keyword string) bool {
	if len(word) != len(keyword) {
		return false
	}
	for i := range word {
		c := word[i]
		if 'a' <= c && c <= 'z' {
			c -= 'a' - 'A'
		}
		if c != keyword[i] {
			return false
		}
	}
	return true
}
