// Package trace reads and writes recorded load, which is the received queries with their times, in a versioned binary
// format.
//
// A file consists of a header, blocks and an end. All numbers are little-endian, or varints as in encoding/binary.
//
//	header  "MPTRACE" 0x0a, version u16, flags u16, start i64 (Unix microseconds), CRC-32C u32 of the 20 bytes before it
//	block   length u32 of the payload (1 to 1 MiB), count u32 of its records, number u32 of its first record modulo
//	        2^32, CRC-32C u32 of those 12 bytes and the payload, payload
//	end     length u32 0, count u32 0, number u32 of all records modulo 2^32, CRC-32C u32 of those 12 bytes
//
// A record consists of these fields:
//   - microseconds since the previous record, or since the start for the first one: uvarint
//   - number of the class: uvarint; 0 for a class that is new in the block, whose name follows as length and bytes, and
//     which gets the next number from 1 on
//   - group of tables: uvarint
//   - milliseconds that the client waits: uvarint
//   - flags: one byte (1: a client's own retry, 2: the text follows)
//   - shape of the statement: u64
//   - text of the statement, if flag 2 is set: length and bytes
//
// The numbers of classes start anew in each block, so that a block can be decoded without the blocks before it.
package trace

import (
	"hash/crc32"
	"time"
)

// Record is one query that a gateway received.
type Record struct {
	Offset time.Duration // time from the start of the trace
	Class  string
	Group  int // group of tables; 0: none was found
	WaitMS int64
	Retry  bool
	Shape  uint64 // of the statement: equal for statements that differ only in literals and spacing
	Text   string // empty: not recorded
}

// Magic is the first bytes of a trace.
const Magic = "MPTRACE\n"

const version = 1

// The layout of the header.
const (
	versionOffset = 8
	startOffset   = 12
	headerBytes   = 24
)

const (
	blockHeaderBytes = 16
	checksumBytes    = 4
	maxBlockBytes    = 1 << 20
	flushBytes       = 1 << 15 // size at which a block is written
	maxTextBytes     = 1 << 18 // length of the longest statement that a gateway accepts
	maxClassBytes    = 256
	ioBufferBytes    = 1 << 16
)

// The flags of a record.
const (
	flagRetry = 1 << iota
	flagText
	flagsEnd
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// blockChecksum returns the checksum of a block, or that of the end of a trace, which has no payload.
func blockChecksum(header, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(header[:blockHeaderBytes-checksumBytes], castagnoli), castagnoli, payload)
}
