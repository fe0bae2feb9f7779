// Package store keeps records by key so that they survive a crash: an append-only log in segments, with an index in memory.
// docs/store.md has the files' form byte by byte, what a crash may leave of them, and which test holds what.
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
	// Create makes a new file; that it is there survives a crash only after SyncNames.
	Create(name string) (File, error)
	// Open opens a file for reading, and for writing at its end.
	Open(name string) (File, error)
	Names() ([]string, error) // in order
	Rename(from, to string) error
	Remove(name string) error
	// SyncNames has survive which names there are.
	SyncNames() error
	// Lock keeps others out until the folder is unlocked, or this process ends.
	Lock() (unlock func() error, err error)
}

// File is one file of a folder. What is written survives a crash only after Sync; before, any part of it may.
type File interface {
	io.Writer // at the end
	io.ReaderAt
	Size() (int64, error)
	Truncate(size int64) error
	Sync() error
	Close() error
}

// ErrLocked tells that another process has the folder.
var ErrLocked = errors.New("another process has the folder")

// disk is a folder of the system's.
type diskFolder struct{ path string }

// Disk is a folder of the system's; it is made if it isn't there.
func CreateFolder(path string) (Folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	return diskFolder{path}, nil
}

// Existing is a folder of the system's that is there.
func OpenFolder(path string) (Folder, error) {
	if info, err := os.Stat(path); err != nil {
		return nil, err
	} else if !info.IsDir() {
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
	defer f.Close()
	return f.Sync()
}

func (d diskFolder) Lock() (func() error, error) {
	f, err := os.OpenFile(filepath.Join(d.path, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, ErrLocked
		}
		return nil, err
	}
	return f.Close, nil
}

// isFull tells of an error for want of room on the disk, or in the user's part of it.
func isDiskFull(err error) bool { return errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT) }
