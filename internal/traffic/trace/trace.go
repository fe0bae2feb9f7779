// Package trace reads and writes recorded load: what was asked when, in one versioned binary form.
//
// A file is a head, blocks and an end. All numbers are little-endian or varints as of encoding/binary.
//
//	head   "MPTRACE" 0x0a, version u16, flags u16, start i64 (Unix microseconds), CRC-32C u32 of the 20 bytes before it
//	block  length u32 of the payload (1 to 1 MiB), count u32 of its records, number u32 of its first record modulo
//	       2^32, CRC-32C u32 of those 12 bytes and the payload, payload
//	end    length u32 0, count u32 0, number u32 of all records modulo 2^32, CRC-32C u32 of those 12 bytes
//
// A record: microseconds since the one before it (the first: since the start), uvarint; number of the class's name,
// uvarint, 0 for a new one, which follows as length and bytes and gets the next number from 1 on; group of tables,
// uvarint; milliseconds that the client waits, uvarint; flags, one byte (1: a client's own retry, 2: text follows);
// shape of the statement, u64; the text as length and bytes where there is one. Names are numbered anew in each block,
// so that each can be read by itself.
package trace

import (
	"hash/crc32"
	"time"
)

// Record is one query that was asked for.
type Record struct {
	Offset time.Duration // from the trace's start
	Class  string
	Group  int // of tables; 0: none was found
	WaitMS int64
	Retry  bool
	Shape  uint64 // of the statement: equal for those that differ only in literals and spacing
	Text   string // empty: it was not recorded
}

// Magic is what a trace begins with.
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
	flushBytes       = 1 << 15 // the size at which a block is written
	maxTextBytes     = 1 << 18 // the longest statement that a gateway takes
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

// blockChecksum returns the checksum of a block, or of the end, which has no payload.
func blockChecksum(header, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(header[:blockHeaderBytes-checksumBytes], castagnoli), castagnoli, payload)
}
