// Package capture records the tasks that a gateway takes, as a trace that can be played again. It never holds a task
// up: what can't be written in time is counted and left out.
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
	// How many tasks may wait to be written: a tenth of a second at ten times the load of a first installation would be
	// 60, and a disk can stand still for several; statements are the larger part of the memory that this holds.
	queueLength = 512
	// How often what is held is written out, so that little is lost with the process.
	flushInterval = time.Second
)

// Recorder is a recording under way. A nil one records nothing.
type Recorder struct {
	start   time.Time
	text    bool
	records chan trace.Record
	done    chan struct{}
	once    sync.Once
	dropped atomic.Int64
}

// Start begins a recording to a new file of at most so many bytes; text: statements are recorded, too, and not only
// their shapes.
func Start(path string, maxBytes int64, text bool, log *slog.Logger) (*Recorder, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	c := &Recorder{start: time.Now(), text: text, records: make(chan trace.Record, queueLength), done: make(chan struct{})}
	b := bufio.NewWriterSize(f, 1<<15)
	w, err := trace.NewWriter(b, c.start)
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	go func() {
		defer close(c.done)
		count, err := c.write(w, b, maxBytes)
		if cut := f.Close(); err == nil {
			err = cut
		}
		log.Info("capture", "code", "ended", "file", path, "tasks", count, "dropped", c.dropped.Load(), "error", err)
	}()
	return c, nil
}

// write takes tasks until the file is full or the recording is stopped. Sessions put them in order of their own, so
// one may come a little before the last.
func (c *Recorder) write(w *trace.Writer, b *bufio.Writer, maxBytes int64) (count int, err error) {
	tick := time.NewTicker(flushInterval)
	defer tick.Stop()
	var last time.Duration
	full := false
	for {
		select {
		case r, more := <-c.records:
			if !more {
				if err = w.Close(); err == nil {
					err = b.Flush()
				}
				return count, err
			}
			if full = full || w.Size()+int64(len(r.Text))+64 > maxBytes; full {
				c.dropped.Add(1)
				continue
			}
			r.Offset = max(r.Offset, last)
			if err = w.Write(&r); err != nil {
				full = true
				c.dropped.Add(1)
				continue
			}
			last = r.Offset
			count++
		case <-tick.C:
			if full {
				continue
			}
			if err = w.Flush(); err == nil {
				err = b.Flush()
			}
			full = err != nil
		}
	}
}

// RecordQuery records a task that has just come. sql is the query with its fields, statement without.
func (c *Recorder) RecordQuery(lane string, group int, waitMS int64, sql, statement []byte) {
	if c == nil {
		return
	}
	r := trace.Record{Offset: time.Since(c.start), Class: lane, Group: group, WaitMS: waitMS, Retry: mysql.IsRetry(sql),
		Shape: sqltext.Shape(statement)}
	if c.text {
		r.Text = string(statement)
	}
	defer func() {
		if recover() != nil { // it was stopped meanwhile
			c.dropped.Add(1)
		}
	}()
	select {
	case c.records <- r:
	default:
		c.dropped.Add(1)
	}
}

// Stop ends a recording; the file is whole when it returns.
func (c *Recorder) Stop() {
	if c == nil {
		return
	}
	c.once.Do(func() { close(c.records) })
	<-c.done
}
