package workload

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"magpiebank/internal/query/costmodel"
)

// recover has the book know what a snapshot says; one that can't be used leaves it empty, with one line.
func (d *Manager) loadSnapshot(file string) {
	s, err := ReadSnapshot(file)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		d.log.Info("statements", "code", "cold", "snapshot", file)
	case err != nil:
		d.log.Warn("statements", "code", "cold", "error", err)
	default:
		d.costModel.Restore(s, d.requestClasses)
		records, answers := s.CountRecords()
		d.log.Info("statements", "code", "recovered", "snapshot", file, "shapes", records, "answers", answers)
	}
}

// Save writes what was learned, if the operator names a file for it; it may be called from any goroutine.
func (d *Manager) SaveSnapshot() {
	file := d.snapshotFile
	if file == "" {
		return
	}
	s := d.costModel.Snapshot(d.requestClasses)
	if err := WriteSnapshot(file, s); err != nil {
		d.log.Warn("statements", "code", "not_saved", "error", err)
		return
	}
	records, answers := s.CountRecords()
	d.log.Info("statements", "code", "saved", "snapshot", file, "shapes", records, "answers", answers)
}

// ReadSnapshot reads a snapshot's file.
func ReadSnapshot(file string) (*costmodel.Snapshot, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	s, err := costmodel.DecodeSnapshot(b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return s, nil
}

// WriteSnapshot puts a snapshot in the place of a file, whole or not at all: it is on the disk before the name is its own.
func WriteSnapshot(file string, s *costmodel.Snapshot) (err error) {
	folder := filepath.Dir(file)
	f, err := os.CreateTemp(folder, filepath.Base(file)+".*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			os.Remove(f.Name())
		}
	}()
	if _, err = f.Write(s.Encode()); err == nil {
		err = f.Sync()
	}
	if closed := f.Close(); err == nil {
		err = closed
	}
	if err == nil {
		err = os.Rename(f.Name(), file)
	}
	if err != nil {
		return err
	}
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
