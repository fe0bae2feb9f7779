package mysql

import (
	"bytes"
	"encoding/binary"
	"errors"
	"strconv"
)

// The client's side of the protocol, as far as the gateway serves it: a greeting, a login without a password, one
// command at a time.

// ErrMalformedGreeting and ErrAnswer are what no server of the protocol 4.1 sends.
var (
	ErrMalformedGreeting = errors.New("malformed greeting")
	ErrMalformedResponse = errors.New("malformed answer")
)

// ReadGreeting reads the server's first packet and returns the connection's id, which KILL QUERY takes.
func ReadGreeting(payload []byte) (connection uint32, err error) {
	if len(payload) < 1 || payload[0] != 10 {
		return 0, ErrMalformedGreeting
	}
	end := bytes.IndexByte(payload, 0)
	if end < 0 || len(payload) < end+1+4+8+1+2 {
		return 0, ErrMalformedGreeting
	}
	if flags := binary.LittleEndian.Uint16(payload[end+14:]); flags&protocol41 == 0 {
		return 0, ErrMalformedGreeting
	}
	return binary.LittleEndian.Uint32(payload[end+1:]), nil
}

// AppendLogin appends the client's first packet: an empty password, no encryption, EOF packets in use.
func AppendLogin(dst []byte, user, database string) []byte {
	dst, at := beginPacket(dst, 1)
	dst = binary.LittleEndian.AppendUint32(dst, capabilities)
	dst = binary.LittleEndian.AppendUint32(dst, 1<<24-1)
	dst = append(dst, charset)
	dst = append(dst, make([]byte, loginFixedSize-9)...)
	dst = append(append(dst, user...), 0, 0) // the second is the password's length
	dst = append(append(dst, database...), 0)
	dst = append(append(dst, plugin...), 0)
	return endPacket(dst, at)
}

// AppendCommand appends a command without an argument: Ping or Quit.
func AppendCommand(dst []byte, command byte) []byte {
	dst, at := beginPacket(dst, 0)
	return endPacket(append(dst, command), at)
}

// AppendKill appends a KILL QUERY for a connection.
func AppendKill(dst []byte, connection uint32) []byte {
	dst, at := beginPacket(dst, 0)
	dst = append(append(dst, Query), "KILL QUERY "...)
	return endPacket(strconv.AppendUint(dst, uint64(connection), 10), at)
}

// AppendQuery appends a query with its fields in the comment before the statement, which text writes.
func AppendQuery(dst []byte, class string, id uint64, waitMS int64, retry bool, text func([]byte) []byte) []byte {
	dst, at := beginPacket(dst, 0)
	dst = append(append(dst, Query), "/* class="...)
	dst = append(append(dst, class...), ",id="...)
	dst = AppendID(dst, id)
	dst = strconv.AppendInt(append(dst, ",wait="...), waitMS, 10)
	if retry {
		dst = append(dst, ",retry=1"...)
	}
	return endPacket(text(append(dst, " */ "...)), at)
}

// AppendID appends an id as the fields carry it: 16 hex digits.
func AppendID(dst []byte, id uint64) []byte {
	const digits = "0123456789abcdef"
	for shift := 60; shift >= 0; shift -= 4 {
		dst = append(dst, digits[id>>shift&15])
	}
	return dst
}

// Response reads what comes back on one command, packet by packet. The zero Answer is ready for the next command.
type Response struct {
	Code         uint16 // of an error; 0: it is none
	RetryAfterMS int64  // milliseconds to stay away that the error's text states; 0: none
	Rows         int
	state        responseState
	columnsLeft  uint64 // columns still to come
	columnCount  int
}

type responseState uint8

const (
	expectFirst responseState = iota
	expectColumns
	expectColumnsEnd
	expectRows
	complete
)

// ReadPacket reads the next packet; row is called for each row, its columns lying in the payload. It tells whether the
// answer is whole.
func (a *Response) ReadPacket(payload []byte, row func(columns [3][]byte)) (whole bool, err error) {
	if len(payload) == 0 || a.state == complete {
		return false, ErrMalformedResponse
	}
	if payload[0] == 0xff && a.state != expectColumns { // also instead of further rows
		return a.readError(payload)
	}
	switch a.state {
	case expectFirst:
		if payload[0] == 0 {
			a.state = complete
			return true, nil
		}
		n, rest, ok := lengthEncoded(payload)
		if !ok || len(rest) > 0 || n != columns {
			return false, ErrMalformedResponse
		}
		a.columnsLeft, a.columnCount, a.state = n, int(n), expectColumns
	case expectColumns:
		if a.columnsLeft--; a.columnsLeft == 0 {
			a.state = expectColumnsEnd
		}
	case expectColumnsEnd:
		if !isEOF(payload) {
			return false, ErrMalformedResponse
		}
		a.state = expectRows
	case expectRows:
		if isEOF(payload) {
			a.state = complete
			return true, nil
		}
		var parts [columns][]byte
		for i := range parts {
			n, rest, ok := lengthEncoded(payload)
			if !ok || n > uint64(len(rest)) {
				return false, ErrMalformedResponse
			}
			parts[i], payload = rest[:n], rest[n:]
		}
		if len(payload) > 0 {
			return false, ErrMalformedResponse
		}
		a.Rows++
		row(parts)
	}
	return false, nil
}

func (a *Response) readError(payload []byte) (bool, error) {
	if len(payload) < 3 {
		return false, ErrMalformedResponse
	}
	a.state, a.Code = complete, binary.LittleEndian.Uint16(payload[1:])
	if _, after, ok := bytes.Cut(payload, []byte("after=")); ok {
		for _, c := range after {
			if c < '0' || c > '9' || a.RetryAfterMS > 1<<31 {
				break
			}
			a.RetryAfterMS = a.RetryAfterMS*10 + int64(c-'0')
		}
	}
	return true, nil
}

// IsRejected tells whether an error's code says that trying again is harmless.
func IsRejected(code uint16) bool {
	return code == ErrTooManyConnections || code == ErrRejected || code == ErrUserLimitReached
}

// ErrUserLimitReached is the third code of a nack; this gateway doesn't use it.
const ErrUserLimitReached = 1226 // ER_USER_LIMIT_REACHED

func isEOF(payload []byte) bool { return payload[0] == 0xfe && len(payload) < 9 }

// lengthEncoded reads a length-encoded number.
func lengthEncoded(b []byte) (n uint64, rest []byte, ok bool) {
	if len(b) == 0 {
		return 0, nil, false
	}
	size := 0
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
		n = n<<8 | uint64(b[i])
	}
	return n, b[1+size:], true
}
