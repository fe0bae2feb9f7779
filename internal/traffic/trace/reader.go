package trace

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"time"
)

// CorruptError reports where a trace can't be read further, and why.
type CorruptError struct {
	Offset int64 // of the corrupt part, in bytes
	Reason string
}

func (e *CorruptError) Error() string { return fmt.Sprintf("offset %d: %s", e.Offset, e.Reason) }

// Reader reads a trace block by block.
type Reader struct {
	Start time.Time

	in             *bufio.Reader
	offset         int64         // of the next block, in bytes
	previousOffset time.Duration // offset of the last record
	records        uint32        // number of records that have been read, modulo 2^32
	ended          bool

	// State of the current block.
	block       []byte
	blockRest   []byte
	recordsLeft uint32
	classNames  []string
}

// NewReader reads the header of a trace. The error is a *CorruptError.
func NewReader(in io.Reader) (*Reader, error) {
	r := &Reader{in: bufio.NewReaderSize(in, ioBufferBytes)}
	var header [headerBytes]byte
	if _, err := io.ReadFull(r.in, header[:]); err != nil {
		return nil, &CorruptError{0, "the header of the trace is incomplete"}
	}
	if string(header[:len(Magic)]) != Magic {
		return nil, &CorruptError{0, "this is not a trace"}
	}
	const checksumOffset = headerBytes - checksumBytes
	if crc32.Checksum(header[:checksumOffset], castagnoli) != binary.LittleEndian.Uint32(header[checksumOffset:]) {
		return nil, &CorruptError{versionOffset, "the checksum of the header does not match"}
	}
	if found := binary.LittleEndian.Uint16(header[versionOffset:]); found != version {
		return nil, &CorruptError{versionOffset, fmt.Sprintf("version %d, expected %d", found, version)}
	}
	r.Start = time.UnixMicro(int64(binary.LittleEndian.Uint64(header[startOffset:])))
	r.offset = headerBytes
	return r, nil
}

// Next reads the next record. The error is io.EOF at the end of a complete trace, and a *CorruptError otherwise.
func (r *Reader) Next(into *Record) error {
	for r.recordsLeft == 0 {
		if r.ended {
			return io.EOF
		}
		if err := r.readBlock(); err != nil {
			return err
		}
	}
	if reason := r.readRecord(into); reason != "" {
		return r.corruptRecord(reason)
	}
	r.recordsLeft--
	r.records++
	if r.recordsLeft == 0 && len(r.blockRest) > 0 {
		return r.corruptRecord("a block has bytes after its last record")
	}
	return nil
}

// corruptRecord returns an error at the offset of the unread rest of the block.
func (r *Reader) corruptRecord(reason string) error {
	return &CorruptError{r.offset - int64(len(r.blockRest)), reason}
}

// blockHeader is the header of a block. The end of a trace consists of one whose length is 0.
type blockHeader struct {
	raw                              [blockHeaderBytes]byte
	length, records, first, checksum uint32
}

// readBlock reads the next block, or the end of the trace.
func (r *Reader) readBlock() error {
	var header blockHeader
	if n, err := io.ReadFull(r.in, header.raw[:]); err != nil {
		return &CorruptError{r.offset + int64(n), "the trace is truncated"}
	}
	for i, field := range []*uint32{&header.length, &header.records, &header.first, &header.checksum} {
		*field = binary.LittleEndian.Uint32(header.raw[4*i:])
	}
	if header.length == 0 {
		return r.readEnd(&header)
	}
	length := int(header.length)
	if header.length > maxBlockBytes || header.records == 0 || header.records > header.length {
		return &CorruptError{r.offset, fmt.Sprintf("invalid block of %d bytes with %d records", header.length, header.records)}
	}
	if cap(r.block) < length {
		r.block = make([]byte, length)
	}
	r.block = r.block[:length]
	if n, err := io.ReadFull(r.in, r.block); err != nil {
		return &CorruptError{r.offset + blockHeaderBytes + int64(n), "the trace is truncated"}
	}
	if header.checksum != blockChecksum(header.raw[:], r.block) {
		return &CorruptError{r.offset, "the checksum of a block does not match"}
	}
	if header.first != r.records {
		return &CorruptError{r.offset, fmt.Sprintf("the block begins with record %d, expected %d", header.first, r.records)}
	}
	r.offset += blockHeaderBytes + int64(length)
	r.blockRest, r.recordsLeft, r.classNames = r.block, header.records, r.classNames[:0]
	return nil
}

// readEnd checks the end of the trace, in which the field first is the number of all records.
func (r *Reader) readEnd(header *blockHeader) error {
	if header.checksum != blockChecksum(header.raw[:], nil) {
		return &CorruptError{r.offset, "the checksum of the end does not match"}
	}
	if header.first != r.records {
		return &CorruptError{r.offset, fmt.Sprintf("the trace ends with a count of %d records, but contains %d", header.first, r.records)}
	}
	if _, err := r.in.ReadByte(); err == nil {
		return &CorruptError{r.offset + blockHeaderBytes, "there are bytes after the end of the trace"}
	}
	r.ended = true
	return nil
}

const incompleteRecord = "a record is incomplete"

// maxGapMicros is the longest time between two records, about 35 years.
const maxGapMicros = 1 << 50

// The highest values of numbers in a record. Higher bits are ignored.
const (
	maxGroup  = 1<<31 - 1
	maxWaitMS = 1<<40 - 1
)

// readRecord reads one record from the block. It returns the reason if it can't, and "" otherwise.
func (r *Reader) readRecord(into *Record) string {
	fields := fieldReader{rest: r.blockRest}
	defer func() { r.blockRest = fields.rest }()
	gapMicros := fields.number()
	if gapMicros > maxGapMicros {
		return "the time of a record is out of range"
	}
	r.previousOffset += time.Duration(gapMicros) * time.Microsecond
	*into = Record{Offset: r.previousOffset}
	switch number := fields.number(); {
	case number == 0:
		into.Class = string(fields.bytes(maxClassBytes))
		r.classNames = append(r.classNames, into.Class)
	case number <= uint64(len(r.classNames)):
		into.Class = r.classNames[number-1]
	default:
		return "a record has an unknown class number"
	}
	into.Group = int(fields.number() & maxGroup)
	into.WaitMS = int64(fields.number() & maxWaitMS)
	const flagsAndShapeBytes = 1 + 8
	if len(fields.rest) < flagsAndShapeBytes {
		return incompleteRecord
	}
	flags := fields.rest[0]
	into.Retry, into.Shape = flags&flagRetry != 0, binary.LittleEndian.Uint64(fields.rest[1:])
	fields.rest = fields.rest[flagsAndShapeBytes:]
	if flags&flagText != 0 {
		into.Text = string(fields.bytes(maxTextBytes))
	}
	if fields.incomplete || flags >= flagsEnd {
		return incompleteRecord
	}
	return ""
}

// fieldReader reads fields from a block.
type fieldReader struct {
	rest       []byte
	incomplete bool
}

func (f *fieldReader) number() uint64 {
	number, length := binary.Uvarint(f.rest)
	if length <= 0 {
		f.incomplete = true
		return 0
	}
	f.rest = f.rest[length:]
	return number
}

func (f *fieldReader) bytes(maxBytes int) []byte {
	length := f.number()
	if length > uint64(maxBytes) || length > uint64(len(f.rest)) {
		f.incomplete = true
		return nil
	}
	taken := f.rest[:length]
	f.rest = f.rest[length:]
	return taken
}
