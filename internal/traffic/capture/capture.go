// Package capture records the queries that a gateway receives as a trace, which can be replayed. It never delays a
// query: queries that can't be written in time are dropped and counted.
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
	// queueLength is the number of queries that may wait to be written. At ten times the load of a first
	// installation, 60 cover a tenth of a second, and a disk can stall for several tenths. The statements take most
	// of the memory of the queue.
	queueLength = 512
	// flushInterval is the interval at which records are written to the file, so that few are lost if the process
	// dies.
	flushInterval = time.Second
	// recordOverheadBytes is more than the size of any record without its statement.
	recordOverheadBytes = 64
	fileBufferBytes     = 1 << 15
)

// Recorder is a recording in progress. A nil Recorder records nothing.
type Recorder struct {
	start    time.Time
	withText bool
	records  chan trace.Record
	done     chan struct{} // closed when the file is complete
	stop     sync.Once
	dropped  atomic.Int64
}

// Start begins a recording to a new file of up to maxBytes. If withText is set, it records statements in addition to
// their shapes. It returns an error if the file exists or can't be written. The caller must call Stop.
func Start(path string, maxBytes int64, withText bool, log *slog.Logger) (*Recorder, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	r := &Recorder{start: time.Now(), withText: withText, records: make(chan trace.Record, queueLength), done: make(chan struct{})}
	buffered := bufio.NewWriterSize(f, fileBufferBytes)
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

// fileWriter writes the records of a Recorder to its file.
type fileWriter struct {
	recorder       *Recorder
	trace          *trace.Writer
	buffered       *bufio.Writer
	maxBytes       int64
	previousOffset time.Duration // offset of the last record
	count          int
	full           bool // no more records are written, because the file is full or a write has failed
}

// run writes records until the recording is stopped, and then completes the file.
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

// write writes a record, or drops it if the file is full. Sessions add records concurrently, so a record may be
// slightly earlier than the previous one. Such a record gets the time of the previous one.
func (w *fileWriter) write(record *trace.Record) {
	if w.trace.Size()+int64(len(record.Text))+recordOverheadBytes > w.maxBytes {
		w.full = true
	}
	if w.full {
		w.recorder.dropped.Add(1)
		return
	}
	record.Offset = max(record.Offset, w.previousOffset)
	if err := w.trace.Write(record); err != nil {
		w.full = true
		w.recorder.dropped.Add(1)
		return
	}
	w.previousOffset = record.Offset
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
	Group     int   // group of tables; 0: none
	WaitMS    int64 // how long the client waits for an answer
	SQL       []byte
	Statement []byte // SQL without the comment with the client's fields
}

// RecordQuery records a query that has just arrived. It copies the data that it stores, and never blocks.
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
		if recover() != nil { // the recording was stopped concurrently, which closes its channel
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
