package trace

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"
)

// Trace is a complete trace in memory.
type Trace struct {
	Start   time.Time
	Records []Record
}

// ReadFile reads a trace from a file. If salvage is set, it returns the records before the first corrupt one together
// with the error.
func ReadFile(path string, salvage bool) (*Trace, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // the file was only read
	t, err := Read(f)
	if err == nil {
		return t, nil
	}
	if !salvage {
		t = nil
	}
	return t, fmt.Errorf("%s: %w", path, err)
}

// Read reads a trace. If it returns an error, it also returns the records before the corrupt one.
func Read(in io.Reader) (*Trace, error) {
	r, err := NewReader(in)
	if err != nil {
		return &Trace{}, err
	}
	t := &Trace{Start: r.Start}
	for {
		var record Record
		err := r.Next(&record)
		if errors.Is(err, io.EOF) {
			return t, nil
		}
		if err != nil {
			return t, err
		}
		t.Records = append(t.Records, record)
	}
}

// WriteFile writes a trace to a file. An existing file is replaced only after everything has been written.
func (t *Trace) WriteFile(path string) (err error) {
	f, err := os.CreateTemp(filepath.Dir(path), ".trace-*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil { // the first error is reported, later ones are ignored
			_ = f.Close()
			_ = os.Remove(f.Name())
		}
	}()
	buffered := bufio.NewWriterSize(f, ioBufferBytes)
	if err := t.write(buffered); err != nil {
		return err
	}
	if err := buffered.Flush(); err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}

func (t *Trace) write(out io.Writer) error {
	w, err := NewWriter(out, t.Start)
	if err != nil {
		return err
	}
	for i := range t.Records {
		if err := w.Write(&t.Records[i]); err != nil {
			return fmt.Errorf("record %d: %w", i, err)
		}
	}
	return w.Close()
}
