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
	out            io.Writer
	previousOffset time.Duration // offset of the last record
	records        uint32        // number of records, modulo 2^32
	written        int64         // number of bytes

	// State of the block that is not written yet.
	block        []byte
	blockRecords uint32
	classNumbers map[string]uint64
}

// NewWriter writes the header of a trace and returns a Writer for its records.
func NewWriter(out io.Writer, start time.Time) (*Writer, error) {
	header := append(make([]byte, 0, headerBytes), Magic...)
	header = binary.LittleEndian.AppendUint16(header, version)
	header = binary.LittleEndian.AppendUint16(header, 0) // flags
	header = binary.LittleEndian.AppendUint64(header, uint64(start.UnixMicro()))
	header = binary.LittleEndian.AppendUint32(header, crc32.Checksum(header, castagnoli))
	w := &Writer{out: out, classNumbers: map[string]uint64{}, written: headerBytes}
	_, err := out.Write(header)
	return w, err
}

// ErrOutOfOrder is returned for a record that is earlier than the previous one.
var ErrOutOfOrder = errors.New("the record is earlier than the previous one")

// Write adds a record. It truncates the offset to whole microseconds, and a text or class that is too long to the
// maximum length. The error is ErrOutOfOrder or that of the underlying writer.
func (w *Writer) Write(r *Record) error {
	if r.Offset < w.previousOffset {
		return ErrOutOfOrder
	}
	w.appendNumber(uint64(r.Offset/time.Microsecond - w.previousOffset/time.Microsecond))
	w.previousOffset = r.Offset
	w.appendClass(r.Class)
	w.appendNumber(uint64(max(0, r.Group)))
	w.appendNumber(uint64(max(0, r.WaitMS)))
	var flags byte
	if r.Retry {
		flags |= flagRetry
	}
	if r.Text != "" {
		flags |= flagText
	}
	w.block = binary.LittleEndian.AppendUint64(append(w.block, flags), r.Shape)
	if r.Text != "" {
		w.appendText(r.Text, maxTextBytes)
	}
	w.blockRecords++
	w.records++
	if len(w.block) >= flushBytes {
		return w.Flush()
	}
	return nil
}

func (w *Writer) appendNumber(number uint64) { w.block = binary.AppendUvarint(w.block, number) }

func (w *Writer) appendText(text string, maxBytes int) {
	text = text[:min(len(text), maxBytes)]
	w.appendNumber(uint64(len(text)))
	w.block = append(w.block, text...)
}

// appendClass appends the number of a class in the block. For a class that is new in the block, it appends 0 and the
// name.
func (w *Writer) appendClass(class string) {
	number := w.classNumbers[class]
	w.appendNumber(number)
	if number == 0 {
		w.classNumbers[class] = uint64(len(w.classNumbers) + 1)
		w.appendText(class, maxClassBytes)
	}
}

// Size returns the number of bytes of the trace if it were closed now, including the records that are not written yet
// and the end.
func (w *Writer) Size() int64 { return w.written + int64(len(w.block)) + 2*blockHeaderBytes }

// Flush writes the records that are not written yet as a block.
func (w *Writer) Flush() error {
	if w.blockRecords == 0 {
		return nil
	}
	header := binary.LittleEndian.AppendUint32(make([]byte, 0, blockHeaderBytes), uint32(len(w.block)))
	header = binary.LittleEndian.AppendUint32(header, w.blockRecords)
	header = binary.LittleEndian.AppendUint32(header, w.records-w.blockRecords)
	header = binary.LittleEndian.AppendUint32(header, blockChecksum(header, w.block))
	w.written += int64(len(header) + len(w.block))
	if _, err := w.out.Write(append(header, w.block...)); err != nil {
		return err
	}
	w.block, w.blockRecords = w.block[:0], 0
	clear(w.classNumbers)
	return nil
}

// Close writes the last block and the end of the trace. It does not close the underlying writer.
func (w *Writer) Close() error {
	if err := w.Flush(); err != nil {
		return err
	}
	end := binary.LittleEndian.AppendUint32(make([]byte, 0, blockHeaderBytes), 0)
	end = binary.LittleEndian.AppendUint32(end, 0)
	end = binary.LittleEndian.AppendUint32(end, w.records)
	end = binary.LittleEndian.AppendUint32(end, crc32.Checksum(end, castagnoli))
	_, err := w.out.Write(end)
	return err
}
