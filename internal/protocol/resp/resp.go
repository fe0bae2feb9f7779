// Package resp parses and writes the engines' wire, arrays of bulk strings in RESP, on bytes alone.
package resp

import (
	"bytes"
	"errors"
	"net"
	"strconv"

	"magpiebank/internal/admission"
	"magpiebank/internal/config"
)

// MaxBulkBytes is the longest array that Parse takes: a page of 6,000 bytes with its head has ample room.
const MaxBulkBytes = 1 << 14

// ErrMalformedArray is what is no array of bulk strings.
var ErrMalformedArray = errors.New("malformed array")

// Parse reads the array at the start of b into parts, which lie in b, and tells how long it is; 0 where b does
// not hold all of it.
func Parse(b []byte, parts [][]byte) ([][]byte, int, error) {
	count, at, err := readLength(b, 0, '*')
	if err != nil || at == 0 {
		return parts, 0, err
	}
	if count < 1 || count > 16 {
		return parts, 0, ErrMalformedArray
	}
	for range count {
		length, from, err := readLength(b, at, '$')
		if err != nil || from == 0 {
			return parts, 0, err
		}
		if length < 0 || length > MaxBulkBytes {
			return parts, 0, ErrMalformedArray
		}
		if at = from + length + 2; at > len(b) {
			return parts, 0, nil
		}
		if b[at-2] != '\r' || b[at-1] != '\n' {
			return parts, 0, ErrMalformedArray
		}
		parts = append(parts, b[from:at-2])
	}
	return parts, at, nil
}

// readLength reads a line of a mark and a number, and tells where the next one begins; 0 where it isn't all there.
func readLength(b []byte, at int, mark byte) (n, next int, err error) {
	if at >= len(b) {
		return 0, 0, nil
	}
	if b[at] != mark {
		return 0, 0, ErrMalformedArray
	}
	i := bytes.IndexByte(b[at:], '\n')
	if i < 0 {
		if len(b)-at > 16 {
			return 0, 0, ErrMalformedArray
		}
		return 0, 0, nil
	}
	if i < 3 || b[at+i-1] != '\r' {
		return 0, 0, ErrMalformedArray
	}
	n, err = strconv.Atoi(string(b[at+1 : at+i-1]))
	if err != nil {
		return 0, 0, ErrMalformedArray
	}
	return n, at + i + 1, nil
}

// AppendArray appends an array of bulk strings.
func AppendArray(dst []byte, parts ...string) []byte {
	dst = appendLength(dst, '*', len(parts))
	for _, p := range parts {
		dst = appendBulk(dst, p)
	}
	return dst
}

// Attempt is what an engine is told of one attempt at a request.
type Attempt struct {
	ID, Class string
	TimeoutMS int64
	MemoryMB  float64 // the grant; below 1: the engine's own choice
	Priority  int
	Token     []byte // by which engines tell a repeat; empty: none
	Statement []byte
}

// AppendAttempt gathers an attempt: a head made in dst, and the statement as it lies.
func AppendAttempt(dst []byte, a Attempt) net.Buffers {
	dst = append(appendLength(dst, '*', 4), "$2\r\ndo\r\n"...)
	dst = appendBulk(dst, a.ID)
	fields := make([]byte, 0, 144)
	fields = append(append(fields, "kind="...), a.Class...)
	fields = strconv.AppendInt(append(fields, ",ms="...), a.TimeoutMS, 10)
	if mb := int64(a.MemoryMB); mb > 0 {
		fields = strconv.AppendInt(append(fields, ",mem="...), mb, 10)
	}
	fields = strconv.AppendInt(append(fields, ",prio="...), int64(a.Priority), 10)
	if len(a.Token) > 0 {
		fields = append(append(fields, ",token="...), a.Token...)
	}
	dst = appendBulk(dst, fields)
	dst = appendLength(dst, '$', len(a.Statement))
	return net.Buffers{dst, a.Statement, []byte("\r\n")}
}

func appendLength(dst []byte, mark byte, n int) []byte {
	return append(strconv.AppendInt(append(dst, mark), int64(n), 10), '\r', '\n')
}

func appendBulk[T string | []byte](dst []byte, s T) []byte {
	return append(append(appendLength(dst, '$', len(s)), s...), '\r', '\n')
}

// FindField finds a field's value in a list name=value,name=value; - is the empty list.
func FindField(fields []byte, name string) []byte {
	for len(fields) > 0 {
		var field []byte
		field, fields, _ = bytes.Cut(fields, []byte{','})
		if n, value, ok := bytes.Cut(field, []byte{'='}); ok && string(n) == name {
			return value
		}
	}
	return nil
}

// maxAmount is more than any amount on the wire, milliseconds or MB, can be: years, or petabytes.
const maxAmount = 1e12

// ParseAmount is a field's value as a number from 0, 0 where there is none; ok tells whether it can be one.
func ParseAmount(fields []byte, name string) (v float64, ok bool) {
	text := FindField(fields, name)
	if len(text) == 0 {
		return 0, true
	}
	v, err := strconv.ParseFloat(string(text), 64)
	if err != nil || !(v >= 0 && v <= maxAmount) {
		return 0, false
	}
	return v, true
}

// ParseProgress reads a note about a running task; ok tells whether it is one we know.
func ParseProgress(fields []byte) (news admission.NoticeKind, value float64, ok bool) {
	switch string(FindField(fields, "res")) {
	case "so_far":
		news = admission.ProgressNotice
	case "lacking":
		news = admission.SpillNotice
	case "waiting":
		news = admission.WaitNotice
	default:
		return 0, 0, false
	}
	value, ok = ParseAmount(fields, "v")
	return news, value, ok
}

// ParseLoadReport reads an engine's load report, as in inflight:7;util:0.61.
func ParseLoadReport(fields []byte) admission.Report {
	r, _ := config.ParseReport(string(FindField(fields, "gauges")), ";")
	return r
}
