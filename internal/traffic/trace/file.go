package trace

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"time"
)

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
	f, err := os.CreateTemp(directoryOf(path), ".trace-*")
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

func directoryOf(path string) string {
	for i := len(path) - 1; i >= 0; i-- {
		if os.IsPathSeparator(path[i]) {
			return path[:i+1]
		}
	}
	return "."
}
