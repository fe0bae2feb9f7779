package mysql

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
	"unicode/utf8"

	"magpiebank/internal/query/sqltext"
)

// The errors of ReadRequest. Most are about one field in the comment before a statement.
var (
	ErrNoFields         = errors.New("no fields in a comment before the statement")
	ErrClass            = errors.New("field class: expected a name")
	ErrID               = errors.New("field id: expected 16 hex digits in lower case")
	ErrWait             = errors.New("field wait: expected milliseconds above 0, at most the class's longest wait")
	ErrTenant           = errors.New("field tenant: expected a name of the settings")
	ErrIdempotencyToken = errors.New("field once: expected 32 hex digits in lower case")
	ErrKey              = errors.New("field key: expected 16 hex digits in lower case")
	ErrCost             = errors.New("field cost: expected milliseconds of 0 or more")
	ErrMemory           = errors.New("field mb: expected megabytes of 0 or more")
	ErrUnexpectedField  = errors.New("a field stands twice, or is none of class, id, wait, retry=1, tenant, key, once, cost and mb")
	ErrStatement        = errors.New("expected the text of one statement")
)

// The lengths of the fields that consist of hexadecimal digits, and the maximum estimate that is accepted, in milliseconds
// (days) or megabytes (a petabyte).
const (
	idDigits    = 16
	keyDigits   = 16
	tokenDigits = 32
	maxEstimate = 1e9
)

// Request is a client's query: the fields in the comment before its statement, and the statement without the comment. The
// slices point into the text that the request was read from.
type Request struct {
	Class, ID []byte
	WaitMS    int64 // how long the client waits for the complete response
	Retry     bool  // the client has sent the query before

	// Optional fields. A field that the client did not send is empty or 0.
	Tenant           []byte
	Key              []byte  // in an ordered class, requests with the same key run one after another
	IdempotencyToken []byte  // the same in all retries by the client, so that engines recognize a repeated query
	WorkMS           float64 // the client's estimate of the work, in milliseconds on one thread
	MemoryMB         float64 // the client's estimate of the memory

	Statement []byte
}

// whitespace contains the characters that are allowed before and after the comment with the fields.
const whitespace = " \t\r\n"

// ReadRequest parses the comment with the fields and the statement after it. Any error is one of the variables above. If the
// error is about the content of a field, the request contains the fields before it.
func ReadRequest(sql []byte) (r Request, err error) {
	rest := bytes.TrimLeft(sql, whitespace)
	rest, ok := bytes.CutPrefix(rest, []byte("/*"))
	if !ok {
		return r, ErrNoFields
	}
	fields, body, ok := bytes.Cut(rest, []byte("*/"))
	if !ok {
		return r, ErrNoFields
	}
	for len(fields) > 0 {
		var field []byte
		field, fields, _ = bytes.Cut(fields, []byte{','})
		name, value, _ := bytes.Cut(bytes.TrimSpace(field), []byte{'='})
		if err := r.setField(string(name), value); err != nil {
			return r, err
		}
	}
	r.Statement = bytes.TrimLeft(body, whitespace)
	return r, r.validate()
}

// setField parses and sets the field with the given name.
func (r *Request) setField(name string, value []byte) (err error) {
	switch name {
	case "class":
		return setOnce(&r.Class, value)
	case "id":
		return setOnce(&r.ID, value)
	case "wait":
		if r.WaitMS != 0 {
			return ErrUnexpectedField
		}
		r.WaitMS, err = strconv.ParseInt(string(value), 10, 32)
		if err != nil {
			return ErrWait
		}
	case "retry":
		if r.Retry || string(value) != "1" {
			return ErrUnexpectedField
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
		if !isHexDigits(value, tokenDigits) {
			return ErrIdempotencyToken
		}
		return setOnce(&r.IdempotencyToken, value)
	case "cost":
		return setEstimate(&r.WorkMS, value, ErrCost)
	case "mb":
		return setEstimate(&r.MemoryMB, value, ErrMemory)
	default:
		return ErrUnexpectedField
	}
	return nil
}

// setOnce sets a field that may occur only once.
func setOnce(field *[]byte, value []byte) error {
	if *field != nil {
		return ErrUnexpectedField
	}
	*field = value
	return nil
}

// setEstimate parses and sets a field that is an estimate and may occur only once. It returns malformed for an invalid value.
func setEstimate(field *float64, value []byte, malformed error) error {
	if *field != 0 {
		return ErrUnexpectedField
	}
	amount, err := strconv.ParseFloat(string(value), 64)
	if err != nil || !(amount >= 0 && amount <= maxEstimate) {
		return malformed
	}
	*field = amount
	return nil
}

// validate checks the statement and the fields that every request must have.
func (r *Request) validate() error {
	statement := r.Statement
	switch {
	case len(statement) == 0 || !utf8.Valid(statement) || bytes.IndexByte(statement, 0) >= 0 || !isSingleStatement(statement):
		return ErrStatement
	case len(r.Class) == 0:
		return ErrClass
	case !isHexDigits(r.ID, idDigits):
		return ErrID
	case r.WaitMS <= 0:
		return ErrWait
	}
	return nil
}

// isHexDigits reports whether a text consists of exactly count hexadecimal digits in lower case.
func isHexDigits(text []byte, count int) bool {
	if len(text) != count {
		return false
	}
	for _, c := range text {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

// isSingleStatement reports whether a text is a single statement, which may end with a semicolon.
func isSingleStatement(sql []byte) bool {
	if bytes.IndexByte(sql, ';') < 0 { // most statements have no semicolon at all
		return true
	}
	lexer := sqltext.Lexer{Text: sql}
	for token := lexer.Next(); token.Kind != sqltext.End; token = lexer.Next() {
		if token.Sign == ';' {
			return lexer.Next().Kind == sqltext.End
		}
	}
	return true
}

// ParseKillQuery parses the connection id in a KILL QUERY statement. ok reports whether the text is a KILL QUERY statement.
func ParseKillQuery(sql []byte) (connection uint32, ok bool) {
	const maxBytes = 64 // only the first bytes are parsed, because no KILL QUERY statement is longer
	sql = bytes.TrimLeft(sql, whitespace)
	if len(sql) == 0 || sql[0]|0x20 != 'k' { // most statements begin with another letter
		return 0, false
	}
	words := strings.Fields(strings.TrimRight(string(sql[:min(len(sql), maxBytes)]), ";"+whitespace))
	if len(words) != 3 || !strings.EqualFold(words[0], "KILL") || !strings.EqualFold(words[1], "QUERY") {
		return 0, false
	}
	id, err := strconv.ParseUint(words[2], 10, 32)
	return uint32(id), err == nil
}

// IsRetry reports whether a query's fields mark it as one that the client has sent before.
func IsRetry(sql []byte) bool {
	comment, _, ok := bytes.Cut(sql, []byte("*/"))
	if !ok {
		return false
	}
	_, fields, _ := bytes.Cut(comment, []byte("/*"))
	for field := range bytes.SplitSeq(fields, []byte{','}) {
		if string(bytes.TrimSpace(field)) == "retry=1" {
			return true
		}
	}
	return false
}
