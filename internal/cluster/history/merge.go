package history

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// MergeFiles reads histories and returns their events in the order of their times. It skips files that don't exist. The last line of
// a process may be incomplete, because the process was killed while it wrote; any other malformed line is an error.
func MergeFiles(paths ...string) ([]Event, error) {
	var merged []Event
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, err
		}
		events, err := parseLines(path, text)
		if err != nil {
			return nil, err
		}
		merged = append(merged, events...)
	}
	slices.SortStableFunc(merged, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return merged, nil
}

// parseLines reads the events of one file.
func parseLines(path string, text []byte) (events []Event, err error) {
	label := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	var truncatedLineErr error // error of the previous line, accepted only if a new process starts after it
	for i, line := range bytes.Split(text, []byte{'\n'}) {
		if len(line) == 0 {
			continue
		}
		var event Event
		err := json.Unmarshal(line, &event)
		if truncatedLineErr != nil && event.Kind != ProcessStarted {
			return nil, truncatedLineErr
		}
		truncatedLineErr = nil
		if err != nil {
			truncatedLineErr = fmt.Errorf("%s:%d: expected an event, found %w", path, i+1, err)
			continue
		}
		event.Label = label
		events = append(events, event)
	}
	return events, nil
}
