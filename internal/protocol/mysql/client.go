package mysql

import (
	"bytes"
	"encoding/binary"
	"errors"
	"strconv"
)

// This file implements the client side of the protocol, for the features that the gateway serves: a greeting, a login without
// a password, and one command at a time.

// ErrMalformedGreeting is returned for a first packet that is not a greeting of the protocol 4.1.
var ErrMalformedGreeting = errors.New("malformed greeting")

// protocolVersion is the first byte of a greeting.
const protocolVersion = 10

// ReadGreeting parses the payload of the server's first packet and returns the connection's id, which KILL QUERY requires.
func ReadGreeting(payload []byte) (connection uint32, err error) {
	const idSize, saltSize, flagsSize = 4, 8 + 1, 2
	if len(payload) < 1 || payload[0] != protocolVersion {
		return 0, ErrMalformedGreeting
	}
	versionEnd := bytes.IndexByte(payload, 0)
	if versionEnd < 0 || len(payload) < versionEnd+1+idSize+saltSize+flagsSize {
		return 0, ErrMalformedGreeting
	}
	id, flags := payload[versionEnd+1:], payload[versionEnd+1+idSize+saltSize:]
	if binary.LittleEndian.Uint16(flags)&protocol41 == 0 {
		return 0, ErrMalformedGreeting
	}
	return binary.LittleEndian.Uint32(id), nil
}

// AppendLogin appends the client's first packet. The password is empty, encryption is not requested, and EOF packets stay in use.
func AppendLogin(dst []byte, user, database string) []byte {
	const maxPacketBytes = 1<<24 - 1
	const reservedBytes = loginFixedSize - 4 - 4 - 1
	const emptyPassword = 0 // the length of the password
	dst, start := beginPacket(dst, 1)
	dst = binary.LittleEndian.AppendUint32(dst, capabilities)
	dst = binary.LittleEndian.AppendUint32(dst, maxPacketBytes)
	dst = append(dst, charsetUTF8)
	dst = append(dst, make([]byte, reservedBytes)...)
	dst = append(append(dst, user...), 0, emptyPassword)
	dst = append(append(dst, database...), 0)
	dst = append(append(dst, authPlugin...), 0)
	return endPacket(dst, start)
}

// AppendCommand appends the packet of a command without an argument: Ping or Quit.
func AppendCommand(dst []byte, command byte) []byte {
	dst, start := beginPacket(dst, 0)
	return endPacket(append(dst, command), start)
}

// AppendKill appends the packet of a KILL QUERY statement for a connection.
func AppendKill(dst []byte, connection uint32) []byte {
	dst, start := beginPacket(dst, 0)
	dst = append(append(dst, Query), "KILL QUERY "...)
	return endPacket(strconv.AppendUint(dst, uint64(connection), 10), start)
}

// QueryFields contains the fields that AppendQuery writes in the comment before a statement.
type QueryFields struct {
	Class  string
	ID     uint64
	WaitMS int64 // how long the client waits for the complete response
	Retry  bool  // the client has sent the query before
}

// AppendQuery appends the packet of a query: a comment with the fields, and the statement, which appendStatement appends.
func AppendQuery(dst []byte, fields QueryFields, appendStatement func([]byte) []byte) []byte {
	dst, start := beginPacket(dst, 0)
	dst = append(append(dst, Query), "/* class="...)
	dst = append(append(dst, fields.Class...), ",id="...)
	dst = AppendID(dst, fields.ID)
	dst = strconv.AppendInt(append(dst, ",wait="...), fields.WaitMS, 10)
	if fields.Retry {
		dst = append(dst, ",retry=1"...)
	}
	return endPacket(appendStatement(append(dst, " */ "...)), start)
}

// AppendID appends an id in the format of the field id: 16 hexadecimal digits.
func AppendID(dst []byte, id uint64) []byte {
	const digits = "0123456789abcdef"
	const bitsPerDigit = 4
	for shift := (idDigits - 1) * bitsPerDigit; shift >= 0; shift -= bitsPerDigit {
		dst = append(dst, digits[id>>shift&15])
	}
	return dst
}
