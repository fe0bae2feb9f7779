package trace

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"
)

// makeTrace returns a trace with n records.
func makeTrace(n int) *Trace {
	t := &Trace{Start: time.UnixMicro(1764600000_000001)}
	for i := range n {
		r := Record{Offset: time.Duration(i*i) * time.Microsecond, Class: []string{"look", "report", "load"}[i%3], Group: i % 20,
			WaitMS: int64(1000 + i), Retry: i%7 == 0, Shape: uint64(i) * 0x9e3779b97f4a7c15}
		if i%4 == 0 {
			r.Text = fmt.Sprintf("SELECT %d FROM actas_%d.mesas", i, i%20)
		}
		t.Records = append(t.Records, r)
	}
	return t
}

// encodeTrace returns the bytes of a trace that is written with a flush after every flushEach records.
func encodeTrace(t *testing.T, tr *Trace, flushEach int) []byte {
	t.Helper()
	var b bytes.Buffer
	w, err := NewWriter(&b, tr.Start)
	if err != nil {
		t.Fatal(err)
	}
	for i := range tr.Records {
		if err := w.Write(&tr.Records[i]); err != nil {
			t.Fatal(err)
		}
		if i%flushEach == flushEach-1 {
			if err := w.Flush(); err != nil {
				t.Fatal(err)
			}
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

// A trace that is truncated at any byte, or has any byte changed, gives an error with an offset, and the records
// before that offset are unchanged.
func TestCorruptTraceIsReported(t *testing.T) {
	want := makeTrace(60)
	file := encodeTrace(t, want, 11)
	got, err := Read(bytes.NewReader(file))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("the complete file: %v, %d records", err, len(got.Records))
	}
	check := func(what string, b []byte) {
		got, err := Read(bytes.NewReader(b))
		var corrupt *CorruptError
		if !errors.As(err, &corrupt) || corrupt.Offset < 0 || corrupt.Offset > int64(len(file))+blockHeaderBytes {
			t.Fatalf("%s: %v", what, err)
		}
		if len(got.Records) > len(want.Records) {
			t.Fatalf("%s: %d records", what, len(got.Records))
		}
		for i := range got.Records {
			if got.Records[i] != want.Records[i] {
				t.Fatalf("%s: record %d is %+v", what, i, got.Records[i])
			}
		}
	}
	for i := range file {
		check(fmt.Sprintf("cut at %d", i), file[:i])
		altered := bytes.Clone(file)
		altered[i] ^= 0x41
		check(fmt.Sprintf("byte %d changed", i), altered)
	}
	check("a byte after the end", append(bytes.Clone(file), 0))
	// A missing block is detected by the numbers of the first records in the next block and the end.
	first := headerBytes + blockHeaderBytes + int(file[headerBytes]) + int(file[headerBytes+1])<<8
	check("a block missing", append(bytes.Clone(file[:headerBytes]), file[first:]...))
}

// A write that fails leaves the old file as it was.
func TestFailedWriteKeepsFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.trace")
	if err := makeTrace(5000).WriteFile(path); err != nil {
		t.Fatal(err)
	}
	bad := makeTrace(3)
	bad.Records[2].Offset = 0
	if err := bad.WriteFile(path); !errors.Is(err, ErrOutOfOrder) {
		t.Errorf("records out of order: %v", err)
	}
	got, err := ReadFile(path, false)
	if err != nil || len(got.Records) != 5000 {
		t.Errorf("%v, %d records", err, len(got.Records))
	}
	b, _ := os.ReadFile(path)
	if err := os.WriteFile(path, b[:len(b)-20], 0o600); err != nil {
		t.Fatal(err)
	}
	if got, err := ReadFile(path, true); err == nil || got == nil || len(got.Records) < 4000 {
		t.Errorf("salvage: %v", err)
	}
	if got, err := ReadFile(path, false); err == nil || got != nil {
		t.Errorf("a corrupt file was read: %v", err)
	}
}

// FuzzRead checks that any trace that can be read is the same after it is written and read again.
func FuzzRead(f *testing.F) {
	var b bytes.Buffer
	w, _ := NewWriter(&b, time.UnixMicro(5))
	if err := errors.Join(w.Write(&Record{Offset: time.Second, Class: "look", Text: "SELECT 1"}), w.Close()); err != nil {
		f.Fatal(err)
	}
	f.Add(b.Bytes())
	f.Fuzz(func(t *testing.T, file []byte) {
		got, err := Read(bytes.NewReader(file))
		if err != nil {
			return
		}
		var rewritten bytes.Buffer // a trace that can be read can also be written and read again
		w, _ := NewWriter(&rewritten, got.Start)
		for i := range got.Records {
			if err := w.Write(&got.Records[i]); err != nil {
				t.Fatal(err)
			}
		}
		if err := w.Close(); err != nil {
			t.Fatal(err)
		}
		if back, err := Read(&rewritten); err != nil || !reflect.DeepEqual(back, got) {
			t.Fatalf("%v", err)
		}
	})
}

func BenchmarkRead(b *testing.B) {
	var file bytes.Buffer
	w, _ := NewWriter(&file, time.Now())
	const n = 10000
	for i := range n {
		if err := w.Write(&Record{Offset: time.Duration(i) * time.Millisecond, Class: "look", Group: 3, WaitMS: 5000, Shape: 7}); err != nil {
			b.Fatal(err)
		}
	}
	if err := w.Close(); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	b.SetBytes(int64(file.Len()))
	for b.Loop() {
		r, _ := NewReader(bytes.NewReader(file.Bytes()))
		var record Record
		var err error
		for err == nil {
			err = r.Next(&record)
		}
	}
}
