// Package resp encodes and decodes the messages between gateways and engines, which are arrays of bulk strings in RESP. It
// works on byte slices and opens no connections.
package resp

import (
	"bytes"
	"errors"
	"math"
	"net"
	"strconv"

	"magpiebank/internal/admission"
	"magpiebank/internal/config"
)

// MaxBulkBytes is the maximum length of a bulk string that Parse accepts. A page of 6,000 bytes and its fields fit easily.
const MaxBulkBytes = 1 << 14

// maxElements is the maximum number of bulk strings in an array that Parse accepts.
const maxElements = 16

// maxLengthLineBytes is the maximum number of bytes of an incomplete line with a length. Beyond it, Parse rejects the line
// without waiting for its end.
const maxLengthLineBytes = 16

// lineEnd ends each line and each bulk string.
const lineEnd = "\r\n"

// ErrMalformedArray is returned for bytes that are not an array of bulk strings, and for an array beyond the limits of Parse.
var ErrMalformedArray = errors.New("malformed array")

// Parse parses the array at the start of b. It appends the elements to dst; they point into b. It returns the length of the
// array in bytes, or 0 if the array has not arrived completely. Any error is ErrMalformedArray.
func Parse(b []byte, dst [][]byte) (elements [][]byte, length int, err error) {
	elements = dst
	count, next, err := readLength(b, 0, '*')
	if err != nil || next == 0 {
		return elements, 0, err
	}
	if count < 1 || count > maxElements {
		return elements, 0, ErrMalformedArray
	}
	for range count {
		size, start, err := readLength(b, next, '$')
		if err != nil || start == 0 {
			return elements, 0, err
		}
		if size < 0 || size > MaxBulkBytes {
			return elements, 0, ErrMalformedArray
		}
		next = start + size + len(lineEnd)
		if next > len(b) {
			return elements, 0, nil
		}
		if b[next-2] != '\r' || b[next-1] != '\n' {
			return elements, 0, ErrMalformedArray
		}
		elements = append(elements, b[start:start+size])
	}
	return elements, next, nil
}

// readLength reads the line at an offset, which consists of a marker and a number. It returns the number and the offset of the
// next line, or 0 if the line has not arrived completely.
func readLength(b []byte, offset int, marker byte) (length, next int, err error) {
	if offset >= len(b) {
		return 0, 0, nil
	}
	if b[offset] != marker {
		return 0, 0, ErrMalformedArray
	}
	newline := bytes.IndexByte(b[offset:], '\n')
	if newline < 0 {
		if len(b)-offset > maxLengthLineBytes {
			return 0, 0, ErrMalformedArray
		}
		return 0, 0, nil
	}
	const minLineBytes = len("*1\r")
	if newline < minLineBytes || b[offset+newline-1] != '\r' {
		return 0, 0, ErrMalformedArray
	}
	length, err = strconv.Atoi(string(b[offset+1 : offset+newline-1]))
	if err != nil {
		return 0, 0, ErrMalformedArray
	}
	return length, offset + newline + 1, nil
}

// AppendArray appends elements as an array of bulk strings.
func AppendArray(dst []byte, elements ...string) []byte {
	dst = appendLength(dst, '*', len(elements))
	for _, element := range elements {
		dst = appendBulk(dst, element)
	}
	return dst
}

// Attempt is an attempt of a request in the format in which it is sent to an engine.
type Attempt struct {
	ID, Class string
	TimeoutMS int64
	MemoryMB  float64 // memory grant; below 1: the engine chooses
	Priority  int
	Token     []byte // idempotency token; empty: the request has none
	Statement []byte
}

// attemptFieldsBytes is a buffer size that is sufficient for the usual fields of an attempt.
const attemptFieldsBytes = 144

// AppendAttempt encodes an attempt. It appends everything before the statement to dst, and returns buffers of dst, the
// statement, which is not copied, and the end of the line.
func AppendAttempt(dst []byte, a Attempt) net.Buffers {
	dst = append(appendLength(dst, '*', 4), "$2\r\ndo\r\n"...)
	dst = appendBulk(dst, a.ID)
	fields := make([]byte, 0, attemptFieldsBytes)
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
	return net.Buffers{dst, a.Statement, []byte(lineEnd)}
}

func appendLength(dst []byte, marker byte, length int) []byte {
	return append(strconv.AppendInt(append(dst, marker), int64(length), 10), lineEnd...)
}

func appendBulk[T string | []byte](dst []byte, text T) []byte {
	return append(append(appendLength(dst, '$', len(text)), text...), lineEnd...)
}

// FindField returns a field's value from a list such as name=value,name=value, or nil if the list has no such field. The empty
// list is written as "-".
func FindField(fields []byte, name string) []byte {
	for len(fields) > 0 {
		var field []byte
		field, fields, _ = bytes.Cut(fields, []byte{','})
		if found, value, ok := bytes.Cut(field, []byte{'='}); ok && string(found) == name {
			return value
		}
	}
	return nil
}

// maxAmount is the maximum of an amount that ParseAmount accepts, in milliseconds (decades) or MB (an exabyte).
const maxAmount = 1e12

// ParseAmount returns a field's value as a number of 0 or more, or 0 if the field is absent or empty. ok is false if the value
// is not a valid amount.
func ParseAmount(fields []byte, name string) (amount float64, ok bool) {
	text := FindField(fields, name)
	if len(text) == 0 {
		return 0, true
	}
	amount, err := strconv.ParseFloat(string(text), 64)
	if err != nil || math.IsNaN(amount) || amount < 0 || amount > maxAmount {
		return 0, false
	}
	return amount, true
}

// ParseProgress parses an engine's notice about a running attempt. ok reports whether its kind is known and its value valid.
func ParseProgress(fields []byte) (kind admission.NoticeKind, value float64, ok bool) {
	switch string(FindField(fields, "res")) {
	case "so_far":
		kind = admission.ProgressNotice
	case "lacking":
		kind = admission.SpillNotice
	case "waiting":
		kind = admission.WaitNotice
	default:
		return 0, 0, false
	}
	value, ok = ParseAmount(fields, "v")
	return kind, value, ok
}

// ParseLoadReport parses an engine's load report, such as gauges=inflight:7;util:0.61, among the fields of a message. It leaves
// out gauges that are unknown or malformed.
func ParseLoadReport(fields []byte) admission.Report {
	report, _ := config.ParseReport(string(FindField(fields, "gauges")), ";")
	return report
}
