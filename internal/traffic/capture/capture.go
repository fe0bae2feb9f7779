// Package capture records the queries that a gateway receives, as a trace that can be replayed. It never delays a query:
// what can't be written in time is counted and dropped.
package capture

import (
	"bufio"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"magpiebank/internal/protocol/mysql"
	"magpiebank/internal/query/sqltext"
	"magpiebank/internal/traffic/trace"
)

const (
	// queueLength is how many queries may wait to be written. At ten times the load of a first installation 60 would do
	// for a tenth of a second, and a disk can stand still for several; the statements are most of the memory.
	queueLength = 512
	// flushInterval is how often what has been recorded is written out, so that little is lost with the process.
	flushInterval = time.Second
	// recordOverhead is ample for a record without its statement.
	recordOverhead = 64
	fileBuffer     = 1 << 15
)

// Recorder is a recording under way. A nil Recorder records nothing.
type Recorder struct {
	start    time.Time
	withText bool
	records  chan trace.Record
	done     chan struct{} // closed when the file is complete
	stop     sync.Once
	dropped  atomic.Int64
}

// Start begins a recording to a new file of up to maxBytes. If withText is set, it records statements and not only their
// shapes. The error is that of the file, which must not exist. The caller must call Stop.
func Start(path string, maxBytes int64, withText bool, log *slog.Logger) (*Recorder, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	r := &Recorder{start: time.Now(), withText: withText, records: make(chan trace.Record, queueLength), done: make(chan struct{})}
	buffered := bufio.NewWriterSize(f, fileBuffer)
	writer, err := trace.NewWriter(buffered, r.start)
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	w := &fileWriter{recorder: r, trace: writer, buffered: buffered, maxBytes: maxBytes}
	go func() {
		defer close(r.done)
		err := w.run()
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
		log.Info("capture", "code", "ended", "file", path, "tasks", w.count, "dropped", r.dropped.Load(), "error", err)
	}()
	return r, nil
}

// fileWriter writes the records of a recorder to its file.
type fileWriter struct {
	recorder *Recorder
	trace    *trace.Writer
	buffered *bufio.Writer
	maxBytes int64
	previous time.Duration // the offset of the last record
	count    int
	full     bool // nothing more is written, as the file is full or a write has failed
}

// run writes records until the recording is stopped, and completes the file.
func (w *fileWriter) run() error {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case record, more := <-w.recorder.records:
			if !more {
				return w.complete()
			}
			w.write(&record)
		case <-ticker.C:
			w.flush()
		}
	}
}

// write writes a record, or drops it. Sessions put records in an order of their own, so a record may come a little before
// the last one; then it gets the last one's time.
func (w *fileWriter) write(record *trace.Record) {
	if w.trace.Size()+int64(len(record.Text))+recordOverhead > w.maxBytes {
		w.full = true
	}
	if w.full {
		w.recorder.dropped.Add(1)
		return
	}
	record.Offset = max(record.Offset, w.previous)
	if err := w.trace.Write(record); err != nil {
		w.full = true
		w.recorder.dropped.Add(1)
		return
	}
	w.previous = record.Offset
	w.count++
}

func (w *fileWriter) flush() {
	if w.full {
		return
	}
	err := w.trace.Flush()
	if err == nil {
		err = w.buffered.Flush()
	}
	w.full = err != nil
}

func (w *fileWriter) complete() error {
	if err := w.trace.Close(); err != nil {
		return err
	}
	return w.buffered.Flush()
}

// Query is a query that a gateway has received.
type Query struct {
	Class     string
	Group     int   // of tables; 0: none
	WaitMS    int64 // how long the client waits
	SQL       []byte
	Statement []byte // the SQL without the fields in front
}

// RecordQuery records a query that has just arrived. It copies what it keeps, and returns at once.
func (r *Recorder) RecordQuery(q Query) {
	if r == nil {
		return
	}
	record := trace.Record{Offset: time.Since(r.start), Class: q.Class, Group: q.Group, WaitMS: q.WaitMS, Retry: mysql.IsRetry(q.SQL),
		Shape: sqltext.Shape(q.Statement)}
	if r.withText {
		record.Text = string(q.Statement)
	}
	defer func() {
		if recover() != nil { // the recording was stopped meanwhile, and its channel is closed
			r.dropped.Add(1)
		}
	}()
	select {
	case r.records <- record:
	default:
		r.dropped.Add(1)
	}
}

// Stop ends a recording, and returns when the file is complete. It may be called more than once.
func (r *Recorder) Stop() {
	if r == nil {
		return
	}
	r.stop.Do(func() { close(r.records) })
	<-r.done
}
