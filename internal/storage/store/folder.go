// Package store keeps values by key so that they survive a crash: an append-only log in segments, with an index in memory.
// docs/store.md describes the files byte by byte, what a crash may leave of them, and the tests.
//
// A write is durable once it is synced. Those who wait for their writes are called after the sync of all records of their
// batch; all other writes are synced within 50 ms.
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

// Folder is the part of a file system that a store needs: the files of one folder, by name.
type Folder interface {
	// Create makes a new file and fails if there is one of that name. The name survives a crash only after SyncNames.
	Create(name string) (File, error)
	// Open opens a file for reading, and for writing at its end.
	Open(name string) (File, error)
	// Names returns the names of all files in lexical order.
	Names() ([]string, error)
	// Rename gives a file another name, in place of a file that has that name. It survives a crash only after SyncNames.
	Rename(from, to string) error
	// Remove removes a file. It stays removed after a crash only after SyncNames.
	Remove(name string) error
	// SyncNames returns once the names of the folder's files, as they are now, survive a crash. It does not sync the files.
	SyncNames() error
	// Lock keeps other processes out until unlock is called or this process ends. It returns ErrLocked if one has the lock.
	Lock() (unlock func() error, err error)
}

// File is one file of a folder.
type File interface {
	// Write appends to the file. Any part of what was written may survive a crash before Sync.
	io.Writer
	io.ReaderAt
	// Size returns the file's size in bytes.
	Size() (int64, error)
	// Truncate cuts the file to a size in bytes. It survives a crash only after Sync.
	Truncate(size int64) error
	// Sync returns once the content of the file, as it is now, survives a crash. After an error it is unknown what does.
	Sync() error
	Close() error
}

// diskFolder is a folder of the operating system.
type diskFolder struct{ path string }

// CreateFolder returns a folder of the operating system, which it makes if it is not there.
func CreateFolder(path string) (Folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	return diskFolder{path}, nil
}

// OpenFolder returns an existing folder of the operating system.
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

func (d diskFolder) Names() (out []string, err error) {
	entries, err := os.ReadDir(d.path)
	for _, e := range entries {
		if e.Type().IsRegular() {
			out = append(out, e.Name())
		}
	}
	slices.Sort(out)
	return out, err
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
	defer closeUnchanged(f)
	return f.Sync()
}

func (d diskFolder) Lock() (func() error, error) {
	f, err := os.OpenFile(filepath.Join(d.path, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		closeUnchanged(f)
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, ErrLocked
		}
		return nil, err
	}
	return f.Close, nil
}

// readFile returns the content of one of a folder's files.
func readFile(folder Folder, name string) ([]byte, error) {
	file, err := folder.Open(name)
	if err != nil {
		return nil, err
	}
	defer closeUnchanged(file)
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

// closeUnchanged closes a file of which nothing written is relied on, so that an error of the close has no meaning.
func closeUnchanged(file io.Closer) { _ = file.Close() }
