// Package trace reads and writes recorded load: what was asked when, in one versioned binary form.
//
// A file is a head, blocks and an end. All numbers are little-endian or varints as of encoding/binary.
//
//	head   "MPTRACE" 0x0a, version u16, flags u16, start i64 (Unix microseconds), CRC-32C u32 of the 20 bytes before it
//	block  length u32 of the payload (1 to 1 MiB), count u32 of its records, number u32 of its first record modulo
//	       2^32, CRC-32C u32 of those 12 bytes and the payload, payload
//	end    length u32 0, count u32 0, number u32 of all records modulo 2^32, CRC-32C u32 of those 12 bytes
//
// A record: microseconds since the one before it (the first: since the start), uvarint; number of the lane's name,
// uvarint, 0 for a new one, which follows as length and bytes and gets the next number from 1 on; group of tables,
// uvarint; milliseconds that the client waits, uvarint; flags, one byte (1: a client's own retry, 2: text follows);
// shape of the statement, u64; the text as length and bytes where there is one. Names are numbered anew in each block,
// so that each can be read by itself.
package trace

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"time"
)

// Record is one task that was asked for.
type Record struct {
	Offset time.Duration // from the trace's start
	Class  string
	Group  int // of tables; 0: none was found
	WaitMS int64
	Retry  bool
	Shape  uint64 // of the statement: equal for those that differ in literals and spacing only
	Text   string // empty: it was not recorded
}

const (
	Magic     = "MPTRACE\n" // what a trace begins with
	version   = 1
	headSize  = 24
	blockHead = 16
	mostBlock = 1 << 20
	someBlock = 1 << 15 // a block is written when it has come to this size
	mostText  = 1 << 18 // the longest statement that a gateway takes
	mostLane  = 256
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Writer writes a trace.
type Writer struct {
	w     io.Writer
	block []byte
	names map[string]uint64
	last  time.Duration
	count uint32
	total uint32
	size  int64
}

// NewWriter begins a trace.
func NewWriter(w io.Writer, start time.Time) (*Writer, error) {
	head := append(make([]byte, 0, headSize), Magic...)
	head = binary.LittleEndian.AppendUint16(head, version)
	head = binary.LittleEndian.AppendUint16(head, 0)
	head = binary.LittleEndian.AppendUint64(head, uint64(start.UnixMicro()))
	head = binary.LittleEndian.AppendUint32(head, crc32.Checksum(head, castagnoli))
	t := &Writer{w: w, names: map[string]uint64{}, size: headSize}
	_, err := w.Write(head)
	return t, err
}

// ErrOutOfOrder is a record that comes before the one ahead of it.
var ErrOutOfOrder = errors.New("a record before the last one")

// Write adds a record. Times are kept to whole microseconds.
func (t *Writer) Write(r *Record) error {
	if r.Offset < t.last {
		return ErrOutOfOrder
	}
	b := binary.AppendUvarint(t.block, uint64(r.Offset/time.Microsecond-t.last/time.Microsecond))
	t.last = r.Offset
	n := t.names[r.Class]
	b = binary.AppendUvarint(b, n)
	if n == 0 {
		t.names[r.Class] = uint64(len(t.names) + 1)
		lane := r.Class[:min(len(r.Class), mostLane)]
		b = append(binary.AppendUvarint(b, uint64(len(lane))), lane...)
	}
	b = binary.AppendUvarint(b, uint64(max(0, r.Group)))
	b = binary.AppendUvarint(b, uint64(max(0, r.WaitMS)))
	var flags byte
	if r.Retry {
		flags |= 1
	}
	if r.Text != "" {
		flags |= 2
	}
	b = binary.LittleEndian.AppendUint64(append(b, flags), r.Shape)
	if r.Text != "" {
		text := r.Text[:min(len(r.Text), mostText)]
		b = append(binary.AppendUvarint(b, uint64(len(text))), text...)
	}
	t.block = b
	t.count++
	t.total++
	if len(t.block) >= someBlock {
		return t.Flush()
	}
	return nil
}

// Size is how many bytes the trace has, with what is not written yet and the end.
func (t *Writer) Size() int64 { return t.size + int64(len(t.block)) + 2*blockHead }

// Flush writes what is held as a block.
func (t *Writer) Flush() error {
	if t.count == 0 {
		return nil
	}
	head := binary.LittleEndian.AppendUint32(make([]byte, 0, blockHead), uint32(len(t.block)))
	head = binary.LittleEndian.AppendUint32(head, t.count)
	head = binary.LittleEndian.AppendUint32(head, t.total-t.count)
	head = binary.LittleEndian.AppendUint32(head, blockSum(head, t.block))
	t.size += int64(len(head) + len(t.block))
	if _, err := t.w.Write(append(head, t.block...)); err != nil {
		return err
	}
	t.block, t.count = t.block[:0], 0
	clear(t.names)
	return nil
}

func blockSum(head, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(head[:blockHead-4], castagnoli), castagnoli, payload)
}

// Close writes what is held and the end.
func (t *Writer) Close() error {
	if err := t.Flush(); err != nil {
		return err
	}
	end := binary.LittleEndian.AppendUint32(make([]byte, 0, blockHead), 0)
	end = binary.LittleEndian.AppendUint32(end, 0)
	end = binary.LittleEndian.AppendUint32(end, t.total)
	end = binary.LittleEndian.AppendUint32(end, crc32.Checksum(end, castagnoli))
	_, err := t.w.Write(end)
	return err
}

// CorruptError is where a trace can't be read any further.
type CorruptError struct {
	Offset int64 // of the part that is amiss
	Reason string
}

func (d *CorruptError) Error() string { return fmt.Sprintf("offset %d: %s", d.Offset, d.Reason) }

// Reader reads a trace block by block.
type Reader struct {
	Start  time.Time
	r      *bufio.Reader
	offset int64
	last   time.Duration
	total  uint32
	names  []string
	block  []byte
	rest   []byte
	left   uint32
	ended  bool
}

// NewReader reads a trace's head.
func NewReader(r io.Reader) (*Reader, error) {
	t := &Reader{r: bufio.NewReaderSize(r, 1<<16)}
	var head [headSize]byte
	if _, err := io.ReadFull(t.r, head[:]); err != nil {
		return nil, &CorruptError{0, "the head of a trace is not whole"}
	}
	switch sum := crc32.Checksum(head[:headSize-4], castagnoli); {
	case string(head[:8]) != Magic:
		return nil, &CorruptError{0, "this is no trace"}
	case sum != binary.LittleEndian.Uint32(head[headSize-4:]):
		return nil, &CorruptError{8, "the checksum of the head is wrong"}
	}
	if v := binary.LittleEndian.Uint16(head[8:]); v != version {
		return nil, &CorruptError{8, fmt.Sprintf("version %d, expected %d", v, version)}
	}
	t.Start = time.UnixMicro(int64(binary.LittleEndian.Uint64(head[12:])))
	t.offset = headSize
	return t, nil
}

// Next reads the next record; io.EOF tells that the trace has ended as it should, a *Damage where it can't be read on.
func (t *Reader) Next(r *Record) error {
	for t.left == 0 {
		if t.ended {
			return io.EOF
		}
		if err := t.readBlock(); err != nil {
			return err
		}
	}
	if why := t.record(r); why != "" {
		return &CorruptError{t.offset - int64(len(t.rest)), why}
	}
	t.left--
	t.total++
	if t.left == 0 && len(t.rest) > 0 {
		return &CorruptError{t.offset - int64(len(t.rest)), "a block holds more than its records"}
	}
	return nil
}

func (t *Reader) readBlock() error {
	var head [blockHead]byte
	if n, err := io.ReadFull(t.r, head[:]); err != nil {
		return &CorruptError{t.offset + int64(n), "the trace breaks off"}
	}
	length, count := binary.LittleEndian.Uint32(head[:]), binary.LittleEndian.Uint32(head[4:])
	first, sum := binary.LittleEndian.Uint32(head[8:]), binary.LittleEndian.Uint32(head[12:])
	if length == 0 {
		switch {
		case sum != blockSum(head[:], nil):
			return &CorruptError{t.offset, "the checksum of the end is wrong"}
		case first != t.total:
			return &CorruptError{t.offset, fmt.Sprintf("%d records were written, %d are here", first, t.total)}
		}
		if _, err := t.r.ReadByte(); err == nil {
			return &CorruptError{t.offset + blockHead, "something stands behind the end"}
		}
		t.ended = true
		return nil
	}
	if length > mostBlock || count == 0 || count > length {
		return &CorruptError{t.offset, fmt.Sprintf("a block of %d bytes with %d records can't be", length, count)}
	}
	if cap(t.block) < int(length) {
		t.block = make([]byte, length)
	}
	t.block = t.block[:length]
	if n, err := io.ReadFull(t.r, t.block); err != nil {
		return &CorruptError{t.offset + blockHead + int64(n), "the trace breaks off"}
	}
	if sum != blockSum(head[:], t.block) {
		return &CorruptError{t.offset, "the checksum of a block is wrong"}
	}
	if first != t.total {
		return &CorruptError{t.offset, fmt.Sprintf("a block from record %d on, expected %d", first, t.total)}
	}
	t.offset += blockHead + int64(length)
	t.rest, t.left, t.names = t.block, count, t.names[:0]
	return nil
}

// record takes one record off the block; it returns why it can't.
func (t *Reader) record(r *Record) string {
	short := false
	number := func() uint64 {
		v, n := binary.Uvarint(t.rest)
		if n <= 0 {
			short = true
			return 0
		}
		t.rest = t.rest[n:]
		return v
	}
	bytes := func(most int) []byte {
		n := number()
		if n > uint64(most) || n > uint64(len(t.rest)) {
			short = true
			return nil
		}
		b := t.rest[:n]
		t.rest = t.rest[n:]
		return b
	}
	gap := number()
	if gap > 1<<50 {
		return "a time that can't be"
	}
	t.last += time.Duration(gap) * time.Microsecond
	*r = Record{Offset: t.last}
	switch n := number(); {
	case n == 0:
		t.names = append(t.names, string(bytes(mostLane)))
		r.Class = t.names[len(t.names)-1]
	case n <= uint64(len(t.names)):
		r.Class = t.names[n-1]
	default:
		return "a lane that was not named"
	}
	r.Group = int(number() & (1<<31 - 1))
	r.WaitMS = int64(number() & (1<<40 - 1))
	if len(t.rest) < 9 {
		return "a record is not whole"
	}
	flags := t.rest[0]
	r.Retry, r.Shape = flags&1 != 0, binary.LittleEndian.Uint64(t.rest[1:])
	t.rest = t.rest[9:]
	if flags&2 != 0 {
		r.Text = string(bytes(mostText))
	}
	if short || flags > 3 {
		return "a record is not whole"
	}
	return ""
}

// Trace is a whole one in memory.
type Trace struct {
	Start   time.Time
	Records []Record
}

// ReadFile reads a trace. salvage: what stood before the first damage is returned beside the error.
func ReadFile(path string, salvage bool) (*Trace, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	t, err := Read(f)
	if err != nil {
		err = fmt.Errorf("%s: %w", path, err)
		if !salvage {
			t = nil
		}
	}
	return t, err
}

// Read reads a trace; with an error it returns what stood before the damage.
func Read(r io.Reader) (*Trace, error) {
	in, err := NewReader(r)
	if err != nil {
		return &Trace{}, err
	}
	t := &Trace{Start: in.Start}
	for {
		var one Record
		switch err := in.Next(&one); err {
		case nil:
			t.Records = append(t.Records, one)
		case io.EOF:
			return t, nil
		default:
			return t, err
		}
	}
}

// WriteFile writes a trace: whole, or the file that was there stays.
func (t *Trace) WriteFile(path string) (err error) {
	f, err := os.CreateTemp(dir(path), ".trace-*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			f.Close()
			os.Remove(f.Name())
		}
	}()
	b := bufio.NewWriterSize(f, 1<<16)
	w, err := NewWriter(b, t.Start)
	if err != nil {
		return err
	}
	for i := range t.Records {
		if err := w.Write(&t.Records[i]); err != nil {
			return fmt.Errorf("record %d: %w", i, err)
		}
	}
	if err := w.Close(); err != nil {
		return err
	}
	if err := b.Flush(); err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}

func dir(path string) string {
	for i := len(path) - 1; i >= 0; i-- {
		if os.IsPathSeparator(path[i]) {
			return path[:i+1]
		}
	}
	return "."
}
