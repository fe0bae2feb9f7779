package trace

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"time"
)

// CorruptError is where a trace can't be read any further.
type CorruptError struct {
	Offset int64 // of the part that is amiss
	Reason string
}

func (d *CorruptError) Error() string { return fmt.Sprintf("offset %d: %s", d.Offset, d.Reason) }

// Reader reads a trace block by block.
type Reader struct {
	Start       time.Time
	r           *bufio.Reader
	offset      int64
	previous    time.Duration
	records     uint32
	classNames  []string
	block       []byte
	blockRest   []byte
	recordsLeft uint32
	ended       bool
}

// NewReader reads a trace's head.
func NewReader(r io.Reader) (*Reader, error) {
	t := &Reader{r: bufio.NewReaderSize(r, 1<<16)}
	var head [headerBytes]byte
	if _, err := io.ReadFull(t.r, head[:]); err != nil {
		return nil, &CorruptError{0, "the head of a trace is not whole"}
	}
	switch sum := crc32.Checksum(head[:headerBytes-4], castagnoli); {
	case string(head[:8]) != Magic:
		return nil, &CorruptError{0, "this is no trace"}
	case sum != binary.LittleEndian.Uint32(head[headerBytes-4:]):
		return nil, &CorruptError{8, "the checksum of the head is wrong"}
	}
	if v := binary.LittleEndian.Uint16(head[8:]); v != version {
		return nil, &CorruptError{8, fmt.Sprintf("version %d, expected %d", v, version)}
	}
	t.Start = time.UnixMicro(int64(binary.LittleEndian.Uint64(head[12:])))
	t.offset = headerBytes
	return t, nil
}

// Next reads the next record; io.EOF tells that the trace has ended as it should, a *Damage where it can't be read on.
func (t *Reader) Next(r *Record) error {
	for t.recordsLeft == 0 {
		if t.ended {
			return io.EOF
		}
		if err := t.readBlock(); err != nil {
			return err
		}
	}
	if why := t.readRecord(r); why != "" {
		return &CorruptError{t.offset - int64(len(t.blockRest)), why}
	}
	t.recordsLeft--
	t.records++
	if t.recordsLeft == 0 && len(t.blockRest) > 0 {
		return &CorruptError{t.offset - int64(len(t.blockRest)), "a block holds more than its records"}
	}
	return nil
}

func (t *Reader) readBlock() error {
	var head [blockHeaderBytes]byte
	if n, err := io.ReadFull(t.r, head[:]); err != nil {
		return &CorruptError{t.offset + int64(n), "the trace breaks off"}
	}
	length, count := binary.LittleEndian.Uint32(head[:]), binary.LittleEndian.Uint32(head[4:])
	first, sum := binary.LittleEndian.Uint32(head[8:]), binary.LittleEndian.Uint32(head[12:])
	if length == 0 {
		switch {
		case sum != blockChecksum(head[:], nil):
			return &CorruptError{t.offset, "the checksum of the end is wrong"}
		case first != t.records:
			return &CorruptError{t.offset, fmt.Sprintf("%d records were written, %d are here", first, t.records)}
		}
		if _, err := t.r.ReadByte(); err == nil {
			return &CorruptError{t.offset + blockHeaderBytes, "something stands behind the end"}
		}
		t.ended = true
		return nil
	}
	if length > maxBlockBytes || count == 0 || count > length {
		return &CorruptError{t.offset, fmt.Sprintf("a block of %d bytes with %d records can't be", length, count)}
	}
	if cap(t.block) < int(length) {
		t.block = make([]byte, length)
	}
	t.block = t.block[:length]
	if n, err := io.ReadFull(t.r, t.block); err != nil {
		return &CorruptError{t.offset + blockHeaderBytes + int64(n), "the trace breaks off"}
	}
	if sum != blockChecksum(head[:], t.block) {
		return &CorruptError{t.offset, "the checksum of a block is wrong"}
	}
	if first != t.records {
		return &CorruptError{t.offset, fmt.Sprintf("a block from record %d on, expected %d", first, t.records)}
	}
	t.offset += blockHeaderBytes + int64(length)
	t.blockRest, t.recordsLeft, t.classNames = t.block, count, t.classNames[:0]
	return nil
}

// readRecord takes one record off the block; it returns why it can't.
func (t *Reader) readRecord(r *Record) string {
	short := false
	number := func() uint64 {
		v, n := binary.Uvarint(t.blockRest)
		if n <= 0 {
			short = true
			return 0
		}
		t.blockRest = t.blockRest[n:]
		return v
	}
	bytes := func(most int) []byte {
		n := number()
		if n > uint64(most) || n > uint64(len(t.blockRest)) {
			short = true
			return nil
		}
		b := t.blockRest[:n]
		t.blockRest = t.blockRest[n:]
		return b
	}
	gap := number()
	if gap > 1<<50 {
		return "a time that can't be"
	}
	t.previous += time.Duration(gap) * time.Microsecond
	*r = Record{Offset: t.previous}
	switch n := number(); {
	case n == 0:
		t.classNames = append(t.classNames, string(bytes(maxClassBytes)))
		r.Class = t.classNames[len(t.classNames)-1]
	case n <= uint64(len(t.classNames)):
		r.Class = t.classNames[n-1]
	default:
		return "a lane that was not named"
	}
	r.Group = int(number() & (1<<31 - 1))
	r.WaitMS = int64(number() & (1<<40 - 1))
	if len(t.blockRest) < 9 {
		return "a record is not whole"
	}
	flags := t.blockRest[0]
	r.Retry, r.Shape = flags&1 != 0, binary.LittleEndian.Uint64(t.blockRest[1:])
	t.blockRest = t.blockRest[9:]
	if flags&2 != 0 {
		r.Text = string(bytes(maxTextBytes))
	}
	if short || flags > 3 {
		return "a record is not whole"
	}
	return ""
}
