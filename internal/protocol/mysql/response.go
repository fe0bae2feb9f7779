package mysql

import (
	"bytes"
	"encoding/binary"
	"errors"
	"math"
)

// ErrMalformedResponse is returned for a packet that is invalid at its position in a response.
var ErrMalformedResponse = errors.New("malformed answer")

// The first byte of a packet.
const (
	okMarker    = 0x00
	eofMarker   = 0xfe
	errorMarker = 0xff
)

// maxEOFBytes is the length that the payload of an EOF packet must be below. A longer payload that begins with eofMarker is a
// row with a long first column.
const maxEOFBytes = 9

// Response parses the response to one command, packet by packet. The zero Response is ready for the first packet.
type Response struct {
	Code         uint16 // error code; 0: the response is not an error
	RetryAfterMS int64  // time that the client should wait before a retry, from the error's text; 0: not stated
	Rows         int

	state       responseState
	columnsLeft uint64 // number of column definitions that have not been read yet
	columnCount int
}

type responseState uint8

const (
	expectFirst responseState = iota
	expectColumns
	expectColumnsEnd
	expectRows
	complete
)

// ReadPacket parses the next packet's payload. done reports whether the response is complete. For a row, ReadPacket calls
// handleRow; the columns point into the payload. Any error is ErrMalformedResponse.
func (r *Response) ReadPacket(payload []byte, handleRow func(columns [3][]byte)) (done bool, err error) {
	if len(payload) == 0 || r.state == complete {
		return false, ErrMalformedResponse
	}
	if payload[0] == errorMarker && r.state != expectColumns { // an error packet may also follow some rows
		return r.readError(payload)
	}
	switch r.state {
	case expectFirst:
		return r.readFirst(payload)
	case expectColumns:
		r.columnsLeft--
		if r.columnsLeft == 0 {
			r.state = expectColumnsEnd
		}
		return false, nil
	case expectColumnsEnd:
		if !isEOF(payload) {
			return false, ErrMalformedResponse
		}
		r.state = expectRows
		return false, nil
	default:
		return r.readRow(payload, handleRow)
	}
}

// readFirst parses the first packet of a response: an OK packet, or the number of columns of a result.
func (r *Response) readFirst(payload []byte) (done bool, err error) {
	if payload[0] == okMarker {
		r.state = complete
		return true, nil
	}
	count, rest, ok := readLengthEncoded(payload)
	if !ok || len(rest) > 0 || count != columns {
		return false, ErrMalformedResponse
	}
	r.columnsLeft, r.columnCount, r.state = count, int(count), expectColumns
	return false, nil
}

func (r *Response) readRow(payload []byte, handleRow func(columns [3][]byte)) (done bool, err error) {
	if isEOF(payload) {
		r.state = complete
		return true, nil
	}
	var row [columns][]byte
	for i := range row {
		length, rest, ok := readLengthEncoded(payload)
		if !ok || length > uint64(len(rest)) {
			return false, ErrMalformedResponse
		}
		row[i], payload = rest[:length], rest[length:]
	}
	if len(payload) > 0 {
		return false, ErrMalformedResponse
	}
	r.Rows++
	handleRow(row)
	return false, nil
}

func (r *Response) readError(payload []byte) (done bool, err error) {
	const codeEnd = 3
	if len(payload) < codeEnd {
		return false, ErrMalformedResponse
	}
	r.state = complete
	r.Code = binary.LittleEndian.Uint16(payload[1:])
	_, digits, found := bytes.Cut(payload, []byte(retryAfterPrefix))
	if !found {
		return true, nil
	}
	for _, c := range digits {
		if c < '0' || c > '9' || r.RetryAfterMS > math.MaxInt32+1 {
			break
		}
		r.RetryAfterMS = r.RetryAfterMS*10 + int64(c-'0')
	}
	return true, nil
}

// IsRejected reports whether an error code means that the query was rejected before it ran, so that a retry is safe.
func IsRejected(code uint16) bool {
	return code == ErrTooManyConnections || code == ErrRejected || code == ErrUserLimitReached
}

// ErrUserLimitReached is the third error code of a rejection, which other servers send (ER_USER_LIMIT_REACHED).
const ErrUserLimitReached = 1226

func isEOF(payload []byte) bool { return payload[0] == eofMarker && len(payload) < maxEOFBytes }

// readLengthEncoded parses a length-encoded integer and returns the bytes after it.
func readLengthEncoded(b []byte) (number uint64, rest []byte, ok bool) {
	if len(b) == 0 {
		return 0, nil, false
	}
	var size int
	switch b[0] {
	case 0xfc:
		size = 2
	case 0xfd:
		size = 3
	case 0xfe:
		size = 8
	case 0xfb, 0xff:
		return 0, nil, false
	default:
		return uint64(b[0]), b[1:], true
	}
	if len(b) < 1+size {
		return 0, nil, false
	}
	for i := size; i > 0; i-- {
		number = number<<8 | uint64(b[i])
	}
	return number, b[1+size:], true
}
