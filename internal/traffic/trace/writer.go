package trace

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
	"time"
)

// Writer writes a trace.
type Writer struct {
	w            io.Writer
	block        []byte
	classNumbers map[string]uint64
	previous     time.Duration
	blockRecords uint32
	records      uint32
	written      int64
}

// NewWriter begins a trace.
func NewWriter(w io.Writer, start time.Time) (*Writer, error) {
	head := append(make([]byte, 0, headerBytes), Magic...)
	head = binary.LittleEndian.AppendUint16(head, version)
	head = binary.LittleEndian.AppendUint16(head, 0)
	head = binary.LittleEndian.AppendUint64(head, uint64(start.UnixMicro()))
	head = binary.LittleEndian.AppendUint32(head, crc32.Checksum(head, castagnoli))
	t := &Writer{w: w, classNumbers: map[string]uint64{}, written: headerBytes}
	_, err := w.Write(head)
	return t, err
}

// ErrOutOfOrder is a record that comes before the one ahead of it.
var ErrOutOfOrder = errors.New("a record before the last one")

// Write adds a record. Times are kept to whole microseconds.
func (t *Writer) Write(r *Record) error {
	if r.Offset < t.previous {
		return ErrOutOfOrder
	}
	b := binary.AppendUvarint(t.block, uint64(r.Offset/time.Microsecond-t.previous/time.Microsecond))
	t.previous = r.Offset
	n := t.classNumbers[r.Class]
	b = binary.AppendUvarint(b, n)
	if n == 0 {
		t.classNumbers[r.Class] = uint64(len(t.classNumbers) + 1)
		lane := r.Class[:min(len(r.Class), maxClassBytes)]
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
		text := r.Text[:min(len(r.Text), maxTextBytes)]
		b = append(binary.AppendUvarint(b, uint64(len(text))), text...)
	}
	t.block = b
	t.blockRecords++
	t.records++
	if len(t.block) >= flushBytes {
		return t.Flush()
	}
	return nil
}

// Size is how many bytes the trace has, with what is not written yet and the end.
func (t *Writer) Size() int64 { return t.written + int64(len(t.block)) + 2*blockHeaderBytes }

// Flush writes what is held as a block.
func (t *Writer) Flush() error {
	if t.blockRecords == 0 {
		return nil
	}
	head := binary.LittleEndian.AppendUint32(make([]byte, 0, blockHeaderBytes), uint32(len(t.block)))
	head = binary.LittleEndian.AppendUint32(head, t.blockRecords)
	head = binary.LittleEndian.AppendUint32(head, t.records-t.blockRecords)
	head = binary.LittleEndian.AppendUint32(head, blockChecksum(head, t.block))
	t.written += int64(len(head) + len(t.block))
	if _, err := t.w.Write(append(head, t.block...)); err != nil {
		return err
	}
	t.block, t.blockRecords = t.block[:0], 0
	clear(t.classNumbers)
	return nil
}

// Close writes what is held and the end.
func (t *Writer) Close() error {
	if err := t.Flush(); err != nil {
		return err
	}
	end := binary.LittleEndian.AppendUint32(make([]byte, 0, blockHeaderBytes), 0)
	end = binary.LittleEndian.AppendUint32(end, 0)
	end = binary.LittleEndian.AppendUint32(end, t.records)
	end = binary.LittleEndian.AppendUint32(end, crc32.Checksum(end, castagnoli))
	_, err := t.w.Write(end)
	return err
}
