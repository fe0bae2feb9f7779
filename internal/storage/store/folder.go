// Package store is a key-value store whose values survive a crash. It consists of an append-only log, which is divided into segments,
// and an index in memory. docs/store.md describes the files byte by byte, the states in which a crash may leave them, and the tests.
//
// A write is durable once it is synced. Writes are synced in batches. The callback of a write is called after its batch is synced; a
// write without a callback is synced within 50 ms.
package store

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"

	"golang.org/x/sys/unix"
)

// Folder is the part of a file system that a store needs: the files in one folder, identified by name.
type Folder interface {
	// Create creates a file and fails if the name exists. The name survives a crash only after SyncNames.
	Create(name string) (File, error)
	// Open opens an existing file for reading and appending.
	Open(name string) (File, error)
	// Names returns the names of all files in lexical order.
	Names() ([]string, error)
	// Rename renames a file and replaces an existing file of the new name. The change survives a crash only after SyncNames.
	Rename(from, to string) error
	// Remove removes a file. The change survives a crash only after SyncNames.
	Remove(name string) error
	// SyncNames syncs the directory: when it returns, the current names of the files survive a crash. It does not sync the files'
	// content.
	SyncNames() error
	// Lock excludes other processes until unlock is called or this process ends. It returns ErrLocked if another process holds the
	// lock.
	Lock() (unlock func() error, err error)
}

// File is an open file of a Folder.
type File interface {
	// Write appends to the file. If a crash happens before Sync, any part of the written bytes may survive.
	io.Writer
	io.ReaderAt
	// Size returns the file's size in bytes.
	Size() (int64, error)
	// Truncate shortens the file to a size in bytes. The change survives a crash only after Sync.
	Truncate(size int64) error
	// Sync returns nil once the current content of the file survives a crash. After an error it is unknown which part survives.
	Sync() error
	Close() error
}

// diskFolder is a Folder in the operating system's file system.
type diskFolder struct{ path string }

// CreateFolder returns a folder in the operating system's file system, and creates it if it doesn't exist.
func CreateFolder(path string) (Folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	return diskFolder{path}, nil
}

// OpenFolder returns an existing folder in the operating system's file system.
func OpenFolder(path string) (Folder, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return nil, fmt.Errorf("%s: expected a folder, found a file", path)
	}
	return diskFolder{path}, nil
}

type diskFile struct{ *os.File }

func (f diskFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

func (d diskFolder) Create(name string) (File, error) {
	f, err := os.OpenFile(filepath.Join(d.path, name), os.O_RDWR|os.O_CREATE|os.O_EXCL|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	return diskFile{f}, nil
}

func (d diskFolder) Open(name string) (File, error) {
	f, err := os.OpenFile(filepath.Join(d.path, name), os.O_RDWR|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	return diskFile{f}, nil
}

func (d diskFolder) Names() (names []string, err error) {
	entries, err := os.ReadDir(d.path)
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, err
}

func (d diskFolder) Rename(from, to string) error {
	return os.Rename(filepath.Join(d.path, from), filepath.Join(d.path, to))
}

func (d diskFolder) Remove(name string) error { return os.Remove(filepath.Join(d.path, name)) }

func (d diskFolder) SyncNames() error {
	f, err := os.Open(d.path)
	if err != nil {
		return err
	}
	defer closeIgnoringError(f)
	return f.Sync()
}

func (d diskFolder) Lock() (func() error, error) {
	f, err := os.OpenFile(filepath.Join(d.path, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		closeIgnoringError(f)
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, ErrLocked
		}
		return nil, err
	}
	return f.Close, nil
}

// readFile returns the content of a file in a folder.
func readFile(folder Folder, name string) ([]byte, error) {
	file, err := folder.Open(name)
	if err != nil {
		return nil, err
	}
	defer closeIgnoringError(file)
	return readOpenFile(file, name)
}

func readOpenFile(file File, name string) ([]byte, error) {
	size, err := file.Size()
	if err != nil {
		return nil, err
	}
	b := make([]byte, size)
	if n, err := file.ReadAt(b, 0); n < len(b) {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return b, nil
}

func removeIfPresent(folder Folder, name string) error {
	names, err := folder.Names()
	if err != nil {
		return err
	}
	if !slices.Contains(names, name) {
		return nil
	}
	return folder.Remove(name)
}

// closeIgnoringError closes a file and ignores the error. It is used where an error of Close doesn't matter, because nobody relies on bytes
// that were written to the file.
func closeIgnoringError(file io.Closer) { _ = file.Close() }
