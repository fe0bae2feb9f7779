package mysql

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
	"unicode/utf8"

	"magpiebank/internal/query/sqltext"
)

// The fields that a statement's leading comment can lack or get wrong.
var (
	ErrFields           = errors.New("no fields in a comment before the statement")
	ErrClass            = errors.New("field class: expected a name")
	ErrID               = errors.New("field id: expected 16 hex digits in lower case")
	ErrWait             = errors.New("field wait: expected milliseconds above 0, at most the class's longest wait")
	ErrTenant           = errors.New("field tenant: expected a name of the settings")
	ErrIdempotencyToken = errors.New("field once: expected 32 hex digits in lower case")
	ErrKey              = errors.New("field key: expected 16 hex digits in lower case")
	ErrCost             = errors.New("field cost: expected milliseconds of 0 or more")
	ErrMemory           = errors.New("field mb: expected megabytes of 0 or more")
	ErrField            = errors.New("a field stands twice, or is none of class, id, wait, retry=1, tenant, key, once, cost and mb")
	ErrText             = errors.New("expected the text of one statement")
)

// The lengths of the fields that are hexadecimal digits, and the longest estimate that is taken: days, or a petabyte.
const (
	idDigits    = 16
	keyDigits   = 16
	onceDigits  = 32
	maxEstimate = 1e9
)

// Request is a client's query: the fields in the comment before its statement, and the statement without it. The slices lie in
// the text that it was read from.
type Request struct {
	Class, ID []byte
	WaitMS    int64 // how long the client waits for the whole answer
	Retry     bool  // it is a client's own further try

	// What clients of some deployments send besides; empty or 0 where they don't.
	Tenant           []byte
	Key              []byte  // requests with the same key may have to run in order
	IdempotencyToken []byte  // the idempotency token, by which engines tell a repeat; the same for all tries of a client
	WorkMS           float64 // the client's estimate of the work, in milliseconds on one thread
	MemoryMB         float64 // and of the memory

	Statement []byte
}

// ReadRequest reads the fields in the comment before a statement, and the statement. What no client of the protocol sends is an
// error: engines fail on it, or close.
func ReadRequest(sql []byte) (r Request, err error) {
	rest := bytes.TrimLeft(sql, " \t\r\n")
	rest, ok := bytes.CutPrefix(rest, []byte("/*"))
	if !ok {
		return r, ErrFields
	}
	fields, body, ok := bytes.Cut(rest, []byte("*/"))
	if !ok {
		return r, ErrFields
	}
	for len(fields) > 0 {
		var field []byte
		field, fields, _ = bytes.Cut(fields, []byte{','})
		name, value, _ := bytes.Cut(bytes.TrimSpace(field), []byte{'='})
		if err := r.setField(string(name), value); err != nil {
			return r, err
		}
	}
	r.Statement = bytes.TrimLeft(body, " \t\r\n")
	return r, r.validate()
}

// setField takes in one field.
func (r *Request) setField(name string, value []byte) (err error) {
	switch name {
	case "class":
		return setOnce(&r.Class, value)
	case "id":
		return setOnce(&r.ID, value)
	case "wait":
		if r.WaitMS != 0 {
			return ErrField
		}
		if r.WaitMS, err = strconv.ParseInt(string(value), 10, 32); err != nil {
			return ErrWait
		}
	case "retry":
		if r.Retry || string(value) != "1" {
			return ErrField
		}
		r.Retry = true
	case "tenant":
		if len(value) == 0 {
			return ErrTenant
		}
		return setOnce(&r.Tenant, value)
	case "key":
		if !isHexDigits(value, keyDigits) {
			return ErrKey
		}
		return setOnce(&r.Key, value)
	case "once":
		if !isHexDigits(value, onceDigits) {
			return ErrIdempotencyToken
		}
		return setOnce(&r.IdempotencyToken, value)
	case "cost":
		return setEstimate(&r.WorkMS, value, ErrCost)
	case "mb":
		return setEstimate(&r.MemoryMB, value, ErrMemory)
	default:
		return ErrField
	}
	return nil
}

// setOnce keeps the value of a field that may stand only once.
func setOnce(field *[]byte, value []byte) error {
	if *field != nil {
		return ErrField
	}
	*field = value
	return nil
}

// setEstimate keeps the value of a field that is an amount.
func setEstimate(field *float64, value []byte, malformed error) error {
	if *field != 0 {
		return ErrField
	}
	amount, err := strconv.ParseFloat(string(value), 64)
	if err != nil || !(amount >= 0 && amount <= maxEstimate) {
		return malformed
	}
	*field = amount
	return nil
}

// validate tells what a request lacks.
func (r *Request) validate() error {
	body := r.Statement
	switch {
	case len(body) == 0 || !utf8.Valid(body) || bytes.IndexByte(body, 0) >= 0 || !isSingleStatement(body):
		return ErrText
	case len(r.Class) == 0:
		return ErrClass
	case !isHexDigits(r.ID, idDigits):
		return ErrID
	case r.WaitMS <= 0:
		return ErrWait
	}
	return nil
}

// isHexDigits tells whether a text is so many hexadecimal digits in lower case.
func isHexDigits(text []byte, count int) bool {
	if len(text) != count {
		return false
	}
	for _, c := range text {
		if !('0' <= c && c <= '9' || 'a' <= c && c <= 'f') {
			return false
		}
	}
	return true
}

// isSingleStatement tells whether a text is one statement; a semicolon may end it.
func isSingleStatement(sql []byte) bool {
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

// ParseKillQuery reads the connection id of a KILL QUERY statement.
func ParseKillQuery(sql []byte) (connection uint32, ok bool) {
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

// TableGroup finds the group of tables that a statement reads or writes: the number behind the underscore in the
// name of the schema before a table's name. Strings, comments and the schema staging do not count, nor do
// columns qualified by a table's other name.
func TableGroup(sql []byte) int {
	l := sqltext.Lexer{Text: sql}
	place := false // a table's name may stand here
	from := false  // in a list of tables, where a comma brings the next
	for t := l.Next(); t.Kind != sqltext.End; t = l.Next() {
		switch {
		case t.Sign == ',' && from:
			place = true
		case t.Kind == sqltext.Word || t.Kind == sqltext.Quoted:
			name := l.Bytes(t)
			if l.NextIsDot() {
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

// IsRetry tells whether the fields of a query mark it as a client's own further try.
func IsRetry(sql []byte) bool {
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
