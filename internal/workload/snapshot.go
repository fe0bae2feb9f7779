package workload

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"magpiebank/internal/query/costmodel"
)

// loadSnapshot restores the cost model from a snapshot. If the snapshot can't be used, it logs that and leaves the model empty.
func (m *Manager) loadSnapshot(file string) {
	snapshot, err := ReadSnapshot(file)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		m.log.Info("statements", "code", "cold", "snapshot", file)
	case err != nil:
		m.log.Warn("statements", "code", "cold", "error", err)
	default:
		m.costModel.Restore(snapshot, m.requestClasses)
		shapes, answers := snapshot.CountRecords()
		m.log.Info("statements", "code", "recovered", "snapshot", file, "shapes", shapes, "answers", answers)
	}
}

// SaveSnapshot saves the cost model if the operator's file names a snapshot file. It logs errors. Any goroutine may call it.
func (m *Manager) SaveSnapshot() {
	file := m.snapshotFile
	if file == "" {
		return
	}
	snapshot := m.costModel.Snapshot(m.requestClasses)
	if err := WriteSnapshot(file, snapshot); err != nil {
		m.log.Warn("statements", "code", "not_saved", "error", err)
		return
	}
	shapes, answers := snapshot.CountRecords()
	m.log.Info("statements", "code", "saved", "snapshot", file, "shapes", shapes, "answers", answers)
}

// ReadSnapshot reads a snapshot file. If there is no such file, the error matches fs.ErrNotExist.
func ReadSnapshot(file string) (*costmodel.Snapshot, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	snapshot, err := costmodel.DecodeSnapshot(b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return snapshot, nil
}

// WriteSnapshot replaces a snapshot file atomically: it writes and syncs a temporary file, renames it, and syncs the folder. A crash
// leaves either the old file or the new one, and only the new one after WriteSnapshot has returned nil.
func WriteSnapshot(file string, snapshot *costmodel.Snapshot) error {
	folder := filepath.Dir(file)
	temporary, err := writeTemporary(folder, filepath.Base(file)+".*", snapshot.Encode())
	if err != nil {
		return err
	}
	if err := os.Rename(temporary, file); err != nil {
		return errors.Join(err, os.Remove(temporary))
	}
	return syncFolder(folder)
}

// writeTemporary writes and syncs a new file and returns its name. If it fails, it removes the file.
func writeTemporary(folder, pattern string, content []byte) (name string, err error) {
	f, err := os.CreateTemp(folder, pattern)
	if err != nil {
		return "", err
	}
	_, err = f.Write(content)
	if err == nil {
		err = f.Sync()
	}
	closeErr := f.Close()
	if err == nil {
		err = closeErr
	}
	if err != nil {
		return "", errors.Join(err, os.Remove(f.Name()))
	}
	return f.Name(), nil
}

func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}
