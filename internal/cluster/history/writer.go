package history

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"sync"
)

// Writer writes a process's history, each event at once, so that what was decided before the process is killed is there.
// A nil Writer writes nothing. Any goroutine may use it.
type Writer struct {
	process string
	start   uint64 // of the process

	lock    sync.Mutex
	file    *os.File // nil once it is closed
	failure error    // the first one
}

// Open opens a file to append the history of a process.
func Open(path, process string, start uint64) (*Writer, error) {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	w := &Writer{process: process, start: start, file: file}
	if err := w.endCutLine(); err != nil {
		return nil, errors.Join(fmt.Errorf("history: %w", err), file.Close())
	}
	return w, nil
}

// endCutLine ends the last line of a process before, which may be cut where that process was killed. Readers pass over
// empty lines.
func (w *Writer) endCutLine() error {
	info, err := w.file.Stat()
	if err != nil {
		return err
	}
	if info.Size() == 0 {
		return nil
	}
	_, err = w.file.Write([]byte{'\n'})
	return err
}

// Write appends an event that happens now. Close returns the first error.
func (w *Writer) Write(event Event) {
	if w == nil {
		return
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.file == nil {
		return
	}
	event.At, event.Process, event.Start = Now(), w.process, w.start
	line, err := json.Marshal(event)
	if err == nil {
		_, err = w.file.Write(append(line, '\n'))
	}
	if err != nil && w.failure == nil {
		w.failure = err
	}
}

// Close closes the file and returns the first error of all writes. Later events aren't written.
func (w *Writer) Close() error {
	if w == nil {
		return nil
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	if err := w.file.Close(); w.failure == nil {
		w.failure = err
	}
	w.file = nil
	return w.failure
}
