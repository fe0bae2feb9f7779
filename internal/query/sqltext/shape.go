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
	var n normal
	n.hash.Reset()
	n.run(sql)
	n.hash.Write(n.buffer[:n.held])
	return n.hash.Sum64(), n.literals
}

// AppendNormalized appends a statement's normal form, which its shape is the hash of.
func AppendNormalized(dst, sql []byte) []byte {
	if len(sql) > MaxStatementBytes {
		return append(dst, "a statement that is too long"...)
	}
	n := normal{text: dst, keep: true}
	n.hash.Reset()
	n.run(sql)
	return append(n.text, n.buffer[:n.held]...)
}

// normal writes a normal form piece by piece, into a hash or a text.
type normal struct {
	hash   xxhash.Digest
	text   []byte
	keep   bool
	held   int
	buffer [256]byte

	literals Literals
}

func (n *normal) flush() {
	if n.keep {
		n.text = append(n.text, n.buffer[:n.held]...)
	} else {
		n.hash.Write(n.buffer[:n.held])
	}
	n.held = 0
}

func (n *normal) byte(c byte) {
	if n.held == len(n.buffer) {
		n.flush()
	}
	n.buffer[n.held] = c
	n.held++
}

// sign writes a token of one character.
func (n *normal) sign(c byte) {
	if n.held+2 > len(n.buffer) {
		n.flush()
	}
	n.buffer[n.held], n.buffer[n.held+1] = c, ' '
	n.held += 2
}

func (n *normal) word(text []byte, lower bool) {
	n.name(text, lower)
	n.byte(' ')
}

// folded has each byte, capitals as small letters.
var folded = func() (t [256]byte) {
	for c := range t {
		if t[c] = byte(c); 'A' <= c && c <= 'Z' {
			t[c] += 'a' - 'A'
		}
	}
	return t
}()

func (n *normal) name(text []byte, lower bool) {
	for len(text) > 0 {
		if n.held == len(n.buffer) {
			n.flush()
		}
		room := n.buffer[n.held:]
		m := copy(room, text)
		if lower {
			for i, c := range room[:m] {
				room[i] = folded[c]
			}
		}
		n.held += m
		text = text[m:]
	}
}

// run writes the normal form: tokens with one space behind each, literals as ?, further ones of a list as one +.
func (n *normal) run(sql []byte) {
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
			n.sign(',')
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
				n.sign('+')
				list = true
				break
			}
			n.literals.add(l.Bytes(t))
			if t.Unterminated {
				n.word([]byte("'..."), false)
			} else {
				n.sign('?')
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
					n.sign(',')
					comma = false
				}
			case '(':
				depth++
			case ')':
				if depth--; values && depth == row {
					n.sign(')')
					literal = false
					if n.rows(&l) {
						n.sign('+')
					}
					sign = false
					continue
				}
			case ';':
				if l.Peek().Kind == End { // may end a statement or not
					continue
				}
			}
			n.sign(t.Sign)
		case Word:
			text := l.Bytes(t)
			if l.NextIsDot() {
				n.schema(text, true)
			} else {
				n.word(text, true)
				switch len(text) {
				case 5, 6:
					if is(text, "VALUES") || is(text, "VALUE") {
						values, row = true, depth
					} else if values && is(text, "SELECT") {
						values = false
					}
				case 2:
					if values && is(text, "ON") {
						values = false
					}
				}
			}
		case Quoted:
			n.byte('`')
			if l.NextIsDot() {
				n.schema(l.Bytes(t), false)
			} else {
				n.word(l.Bytes(t), false)
			}
		case Hint:
			n.word([]byte("/*+"), false)
			n.word(l.Bytes(t), false)
		}
		if t.Kind != Text && t.Kind != Number {
			literal, list = false, false
		}
		sign = t.Kind == Sign && t.Sign != ')'
	}
}

// schema writes a name before a dot, its group's number folded.
func (n *normal) schema(name []byte, lower bool) {
	end := len(name)
	for end > 0 && class[name[end-1]]&digit != 0 {
		end--
	}
	if end > 0 && end < len(name) && name[end-1] == '_' {
		n.name(name[:end], lower)
		n.sign('?')
		return
	}
	n.word(name, lower)
}

// rows passes over the rows of VALUES behind the first, and tells whether there were any.
func (n *normal) rows(l *Lexer) (any bool) {
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

// is tells whether a word is a keyword, which is given in capitals.
func is(word []byte, keyword string) bool {
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
