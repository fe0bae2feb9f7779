package mysql

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
	"unicode/utf8"

	"magpiebank/internal/sqltext"
)

// The fields that a statement's leading comment can lack or get wrong.
var (
	ErrFields = errors.New("no fields in a comment before the statement")
	ErrClass  = errors.New("field class: expected a name")
	ErrID     = errors.New("field id: expected 16 hex digits in lower case")
	ErrWait   = errors.New("field wait: expected milliseconds above 0, at most the class's longest wait")
	ErrField  = errors.New("a field stands twice, or is none of class, id, wait and retry=1")
	ErrText   = errors.New("expected the text of one statement")
)

// Statement reads the fields in the comment before a statement and returns the statement without it. The parts
// lie in the text. What no client of the protocol sends is an error: engines fail on it, or close.
func Statement(sql []byte) (class, id []byte, waitMS int64, body []byte, err error) {
	rest := bytes.TrimLeft(sql, " \t\r\n")
	rest, ok := bytes.CutPrefix(rest, []byte("/*"))
	if !ok {
		return nil, nil, 0, nil, ErrFields
	}
	fields, body, ok := bytes.Cut(rest, []byte("*/"))
	if !ok {
		return nil, nil, 0, nil, ErrFields
	}
	for len(fields) > 0 {
		var field []byte
		field, fields, _ = bytes.Cut(fields, []byte{','})
		name, value, _ := bytes.Cut(bytes.TrimSpace(field), []byte{'='})
		switch string(name) {
		case "class":
			if class != nil {
				return nil, nil, 0, nil, ErrField
			}
			class = value
		case "id":
			if id != nil {
				return nil, nil, 0, nil, ErrField
			}
			id = value
		case "wait":
			if waitMS != 0 {
				return nil, nil, 0, nil, ErrField
			}
			if waitMS, err = strconv.ParseInt(string(value), 10, 32); err != nil {
				return nil, nil, 0, nil, ErrWait
			}
		case "retry":
			if string(value) != "1" {
				return nil, nil, 0, nil, ErrField
			}
		default:
			return nil, nil, 0, nil, ErrField
		}
	}
	body = bytes.TrimLeft(body, " \t\r\n")
	switch {
	case len(body) == 0 || !utf8.Valid(body) || bytes.IndexByte(body, 0) >= 0 || !single(body):
		err = ErrText
	case len(class) == 0:
		err = ErrClass
	case !hex16(id):
		err = ErrID
	case waitMS <= 0:
		err = ErrWait
	}
	return class, id, waitMS, body, err
}

func hex16(id []byte) bool {
	if len(id) != 16 {
		return false
	}
	for _, c := range id {
		if !('0' <= c && c <= '9' || 'a' <= c && c <= 'f') {
			return false
		}
	}
	return true
}

// single tells whether a text is one statement; a semicolon may end it.
func single(sql []byte) bool {
	if bytes.IndexByte(sql, ';') < 0 { // as good as all
		return true
	}
	l := sqltext.Lexer{Text: sql}
	for t := l.Next(); t.Kind != sqltext.End; t = l.Next() {
		if t.Sign == ';' {
			return l.Next().Kind == sqltext.End
		}
	}
	return true
}

// Kill reads the connection id of a KILL QUERY statement.
func Kill(sql []byte) (connection uint32, ok bool) {
	if sql = bytes.TrimLeft(sql, " \t\r\n"); len(sql) == 0 || sql[0]|0x20 != 'k' { // as good as all
		return 0, false
	}
	words := strings.Fields(strings.TrimRight(string(sql[:min(len(sql), 64)]), "; \t\r\n"))
	if len(words) != 3 || !strings.EqualFold(words[0], "KILL") || !strings.EqualFold(words[1], "QUERY") {
		return 0, false
	}
	n, err := strconv.ParseUint(words[2], 10, 32)
	return uint32(n), err == nil
}

// Tables finds the group of tables that a statement reads or writes: the number behind the underscore in the
// name of the schema before a table's name. Strings, comments and the schema staging do not count, nor do
// columns qualified by a table's other name.
func Tables(sql []byte) int {
	l := sqltext.Lexer{Text: sql}
	place := false // a table's name may stand here
	from := false  // in a list of tables, where a comma brings the next
	for t := l.Next(); t.Kind != sqltext.End; t = l.Next() {
		switch {
		case t.Sign == ',' && from:
			place = true
		case t.Kind == sqltext.Word || t.Kind == sqltext.Quoted:
			name := l.Bytes(t)
			if l.Dotted() {
				l.Next()
				l.Next()
				if group, ok := schemaGroup(name); ok && place {
					return group
				}
				place = false
				continue
			}
			if t.Kind == sqltext.Quoted {
				continue
			}
			switch strings.ToUpper(string(name)) {
			case "FROM", "JOIN", "USING":
				place, from = true, true
			case "INTO", "UPDATE", "TABLE", "INSERT", "REPLACE", "DELETE":
				place = true
			case "SELECT", "SET", "VALUES", "VALUE", "WHERE", "GROUP", "ORDER", "HAVING", "LIMIT", "ON":
				place, from = false, false
			}
		}
	}
	return 0
}

func schemaGroup(schema []byte) (int, bool) {
	i := bytes.LastIndexByte(schema, '_')
	if i < 0 || bytes.EqualFold(schema, []byte("staging")) {
		return 0, false
	}
	n, err := strconv.ParseUint(string(schema[i+1:]), 10, 31)
	return int(n), err == nil
}

// Retried tells whether the fields of a query mark it as a client's own further try.
func Retried(sql []byte) bool {
	fields, _, ok := bytes.Cut(sql, []byte("*/"))
	if _, fields, _ = bytes.Cut(fields, []byte("/*")); !ok {
		return false
	}
	for field := range bytes.SplitSeq(fields, []byte{','}) {
		if string(bytes.TrimSpace(field)) == "retry=1" {
			return true
		}
	}
	return false
}
