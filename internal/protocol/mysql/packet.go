// Package mysql encodes and decodes packets of the MySQL client protocol 4.1, for the server side and the client side. It works
// on byte slices and opens no connections.
package mysql

import (
	"bytes"
	"encoding/binary"
	"errors"
	"strconv"
)

// HeaderSize is the length of the header before each packet's payload.
const HeaderSize = 4

// ParseHeader parses a packet's header: the payload's length and the packet's number. b must have at least HeaderSize bytes.
func ParseHeader(b []byte) (length int, number byte) {
	return int(b[0]) | int(b[1])<<8 | int(b[2])<<16, b[3]
}

// The commands that a client may send.
const (
	Quit   byte = 0x01
	InitDB byte = 0x02
	Query  byte = 0x03
	Ping   byte = 0x0e
)

// Capability flags of the protocol 4.1, and other constants of the login. Sessions use EOF packets and no encryption.
const (
	longPassword          = 1 << 0
	connectWithDB         = 1 << 3
	protocol41            = 1 << 9
	transactions          = 1 << 13
	secureConnection      = 1 << 15
	pluginAuth            = 1 << 19
	lengthEncodedAuthData = 1 << 21
	capabilities          = longPassword | connectWithDB | protocol41 | transactions | secureConnection | pluginAuth
	charsetUTF8           = 33 // number of the collation utf8_general_ci
	statusAutocommit      = 2
	authPlugin            = "mysql_native_password"
	serverVersion         = "8.0.36-magpiebank"
	typeVarString         = 0xfd
	loginFixedSize        = 32
)

// beginPacket appends the header of a packet and returns the offset of the packet. endPacket sets the length in the header.
func beginPacket(dst []byte, number byte) ([]byte, int) {
	return append(dst, 0, 0, 0, number), len(dst)
}

// endPacket sets the length of the packet that begins at the offset start and extends to the end of dst.
func endPacket(dst []byte, start int) []byte {
	length := len(dst) - start - HeaderSize
	dst[start], dst[start+1], dst[start+2] = byte(length), byte(length>>8), byte(length>>16)
	return dst
}

// AppendGreeting appends the server's first packet.
func AppendGreeting(dst []byte, connection uint32, salt *[20]byte) []byte {
	dst, start := beginPacket(dst, 0)
	dst = append(append(append(dst, protocolVersion), serverVersion...), 0)
	dst = binary.LittleEndian.AppendUint32(dst, connection)
	dst = append(append(dst, salt[:8]...), 0)
	dst = binary.LittleEndian.AppendUint16(dst, capabilities&0xffff)
	dst = append(dst, charsetUTF8)
	dst = binary.LittleEndian.AppendUint16(dst, statusAutocommit)
	dst = binary.LittleEndian.AppendUint16(dst, capabilities>>16)
	dst = append(dst, byte(len(salt)+1))
	dst = append(dst, make([]byte, 10)...)
	dst = append(append(dst, salt[8:]...), 0)
	dst = append(append(dst, authPlugin...), 0)
	return endPacket(dst, start)
}

// ErrMalformedLogin is returned for a login that is not a packet of the protocol 4.1.
var ErrMalformedLogin = errors.New("malformed login")

// ParseLogin parses the payload of the client's first packet. The results point into the payload.
func ParseLogin(payload []byte) (user, password, database []byte, err error) {
	if len(payload) < loginFixedSize {
		return nil, nil, nil, ErrMalformedLogin
	}
	flags := binary.LittleEndian.Uint32(payload)
	if flags&protocol41 == 0 {
		return nil, nil, nil, ErrMalformedLogin
	}
	rest := payload[loginFixedSize:]
	user, rest, ok := bytes.Cut(rest, []byte{0})
	if !ok {
		return nil, nil, nil, ErrMalformedLogin
	}
	if flags&(secureConnection|lengthEncodedAuthData) != 0 { // one byte with the password's length precedes the password
		if len(rest) == 0 || len(rest)-1 < int(rest[0]) {
			return nil, nil, nil, ErrMalformedLogin
		}
		password, rest = rest[1:1+rest[0]], rest[1+rest[0]:]
	} else {
		password, rest, ok = bytes.Cut(rest, []byte{0})
		if !ok {
			return nil, nil, nil, ErrMalformedLogin
		}
	}
	if flags&connectWithDB != 0 && len(rest) > 0 {
		database, _, _ = bytes.Cut(rest, []byte{0})
	}
	return user, password, database, nil
}

// AppendOK appends an OK packet.
func AppendOK(dst []byte, number byte) []byte {
	dst, start := beginPacket(dst, number)
	dst = append(dst, okMarker, 0, 0, statusAutocommit, 0, 0, 0)
	return endPacket(dst, start)
}

// The error codes that sessions send. After ErrTooManyConnections and ErrRejected a retry is safe, because the query did not
// run.
const (
	ErrTooManyConnections = 1040 // ER_CON_COUNT_ERROR
	ErrRejected           = 1203 // ER_TOO_MANY_USER_CONNECTIONS
	ErrForbidden          = 1104 // ER_TOO_BIG_SELECT
	ErrInterrupted        = 1317 // ER_QUERY_INTERRUPTED
	ErrAccess             = 1045
	ErrNoDatabase         = 1049
	ErrUnknownCommand     = 1047
	ErrParse              = 1064
	ErrTooLarge           = 1153
)

// AppendError appends an error packet.
func AppendError(dst []byte, number byte, code uint16, text string) []byte {
	state := "HY000"
	switch code {
	case ErrAccess:
		state = "28000"
	case ErrNoDatabase, ErrParse, ErrRejected:
		state = "42000"
	case ErrUnknownCommand, ErrTooLarge, ErrTooManyConnections:
		state = "08S01"
	case ErrInterrupted:
		state = "70100"
	}
	dst, start := beginPacket(dst, number)
	dst = append(binary.LittleEndian.AppendUint16(append(dst, errorMarker), code), '#')
	return endPacket(append(append(dst, state...), text...), start)
}

// retryAfterPrefix precedes the number of milliseconds in the text of a rejection.
const retryAfterPrefix = "after="

// AppendRejection appends the error packet of a rejected query. If retryAfterMS is above 0, the error's text states the number
// of milliseconds after which the client may retry.
func AppendRejection(dst []byte, number byte, retryAfterMS int64) []byte {
	text := "no room now"
	if retryAfterMS > 0 {
		text += ", " + retryAfterPrefix + strconv.FormatInt(retryAfterMS, 10)
	}
	return AppendError(dst, number, ErrRejected, text)
}

// AppendEOF appends an EOF packet, which follows the column definitions and the rows of a result.
func AppendEOF(dst []byte, number byte) []byte {
	dst, start := beginPacket(dst, number)
	return endPacket(append(dst, eofMarker, 0, 0, statusAutocommit, 0), start)
}

// columns is the number of columns of every result.
const columns = 3

// AppendColumns appends the packets that precede the rows of a result. number is the number of the first packet; the result is
// the number of the next packet.
func AppendColumns(dst []byte, number byte) ([]byte, byte) {
	dst, start := beginPacket(dst, number)
	dst = endPacket(append(dst, columns), start)
	for _, name := range [columns]string{"c1", "c2", "c3"} {
		number++
		dst, start = beginPacket(dst, number)
		for _, field := range [...]string{"def", "", "", "", name, name} { // catalog, schema, table, original table, name, original name
			dst = appendLengthEncoded(dst, field)
		}
		dst = append(dst, 0x0c, charsetUTF8, 0)
		dst = binary.LittleEndian.AppendUint32(dst, 1<<16-1)
		dst = append(dst, typeVarString, 0, 0, 0, 0, 0)
		dst = endPacket(dst, start)
	}
	return AppendEOF(dst, number+1), number + 2
}

// ErrMalformedRows is returned for text that does not consist of complete rows of three columns.
var ErrMalformedRows = errors.New("malformed rows")

// ValidRows reports whether a page of a result consists of complete rows of three columns. A tab separates the columns, and a
// line feed ends each row.
func ValidRows(page []byte) bool {
	for len(page) > 0 {
		_, rest, ok := cutRow(page)
		if !ok {
			return false
		}
		page = rest
	}
	return true
}

// cutRow splits a page after its first row. ok reports whether the row is complete.
func cutRow(page []byte) (line, rest []byte, ok bool) {
	line, rest, ok = bytes.Cut(page, []byte{'\n'})
	return line, rest, ok && bytes.Count(line, []byte{'\t'}) == columns-1
}

// AppendRows appends a packet for each row of a page and returns the number of the next packet. Any error is ErrMalformedRows;
// the rows before the malformed row have then been appended.
func AppendRows(dst []byte, number byte, page []byte) ([]byte, byte, error) {
	for len(page) > 0 {
		line, rest, ok := cutRow(page)
		if !ok {
			return dst, number, ErrMalformedRows
		}
		var start int
		dst, start = beginPacket(dst, number)
		for range columns {
			var column []byte
			column, line, _ = bytes.Cut(line, []byte{'\t'})
			dst = appendLengthEncoded(dst, column)
		}
		dst = endPacket(dst, start)
		number++
		page = rest
	}
	return dst, number, nil
}

// appendLengthEncoded appends a length-encoded string.
func appendLengthEncoded[T string | []byte](dst []byte, text T) []byte {
	switch length := len(text); {
	case length < 251:
		dst = append(dst, byte(length))
	case length < 1<<16:
		dst = append(dst, 0xfc, byte(length), byte(length>>8))
	default:
		dst = append(dst, 0xfd, byte(length), byte(length>>8), byte(length>>16))
	}
	return append(dst, text...)
}
