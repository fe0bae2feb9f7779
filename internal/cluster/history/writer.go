package history

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"sync"
)

// Writer writes the history of a process. It writes each event to the file at once, so that a process that is killed leaves all
// earlier events. A nil Writer writes nothing. A Writer may be used by any goroutine.
type Writer struct {
	process     string
	incarnation uint64 // incarnation of the process

	lock     sync.Mutex
	file     *os.File // nil: closed
	firstErr error    // first error of a write
}

// Open opens or creates a file and returns a Writer that appends the history of a process to it.
func Open(path, process string, incarnation uint64) (*Writer, error) {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	w := &Writer{process: process, incarnation: incarnation, file: file}
	if err := w.endTruncatedLine(); err != nil {
		return nil, errors.Join(fmt.Errorf("history: %w", err), file.Close())
	}
	return w, nil
}

// endTruncatedLine appends a line break to a file that isn't empty, because the last line of an earlier process that was killed may be
// incomplete. Readers skip empty lines.
func (w *Writer) endTruncatedLine() error {
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

// Write appends an event with the current time. Close returns the first error of a write.
func (w *Writer) Write(event Event) {
	if w == nil {
		return
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.file == nil {
		return
	}
	event.At, event.Process, event.Start = Now(), w.process, w.incarnation
	line, err := json.Marshal(event)
	if err == nil {
		_, err = w.file.Write(append(line, '\n'))
	}
	if err != nil && w.firstErr == nil {
		w.firstErr = err
	}
}

// Close closes the file and returns the first error of a write or, if there is none, that of closing. Later events aren't written.
func (w *Writer) Close() error {
	if w == nil {
		return nil
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	if err := w.file.Close(); w.firstErr == nil {
		w.firstErr = err
	}
	w.file = nil
	return w.firstErr
}
