//go:build testbed

// Package faultdisk has disks fail on purpose, in the laboratory's build alone.
package faultdisk

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"magpiebank/internal/storage/store"
)

// Folder is one on the disk of a laboratory's process, which fails from a time after its start on: MAGPIEBANK_DISK="full 5s" has no room,
// "slow 5s" takes a third of a second for each sync, "unsynced 5s" fails every sync, "lies 5s" says that what it was given is on the disk, and
// has it there only once something comes three seconds later: a kill takes the rest along.
func WrapFolder(f store.Folder) store.Folder {
	var how, after string
	if _, err := fmt.Sscan(os.Getenv("MAGPIEBANK_DISK"), &how, &after); err != nil {
		return f
	}
	wait, _ := time.ParseDuration(after)
	return faultyFolder{f, fault{how, time.Now().Add(wait)}}
}

type fault struct {
	kind string
	from time.Time
}

func (s fault) isActive(how string) bool { return s.kind == how && time.Now().After(s.from) }

var errInjectedSync = errors.New("sync failed, as the laboratory has it")

func (s fault) beforeSync() error {
	if s.isActive("slow") {
		time.Sleep(300 * time.Millisecond)
	}
	if s.isActive("unsynced") {
		return errInjectedSync
	}
	return nil
}

type faultyFolder struct {
	store.Folder
	fault
}

func (f faultyFolder) Create(name string) (store.File, error) {
	if f.isActive("full") {
		return nil, syscall.ENOSPC
	}
	k, err := f.Folder.Create(name)
	return &faultyFile{File: k, fault: f.fault}, err
}

func (f faultyFolder) Open(name string) (store.File, error) {
	k, err := f.Folder.Open(name)
	return &faultyFile{File: k, fault: f.fault}, err
}

func (f faultyFolder) SyncNames() error { return errors.Join(f.beforeSync(), f.Folder.SyncNames()) }

type faultyFile struct {
	store.File
	fault
	mu            sync.Mutex
	buffered      []byte // written, and not on the disk
	bufferedSince time.Time
}

func (f *faultyFile) Write(b []byte) (int, error) {
	if f.isActive("full") {
		return 0, syscall.ENOSPC
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.buffered) > 0 && time.Since(f.bufferedSince) > 3*time.Second {
		if err := f.flush(); err != nil {
			return 0, err
		}
	}
	if f.isActive("lies") {
		if len(f.buffered) == 0 {
			f.bufferedSince = time.Now()
		}
		f.buffered = append(f.buffered, b...)
		return len(b), nil
	}
	return f.File.Write(b)
}

func (f *faultyFile) flush() error {
	_, err := f.File.Write(f.buffered)
	f.buffered = nil
	return err
}

func (f *faultyFile) ReadAt(b []byte, at int64) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	size, err := f.File.Size()
	if err != nil || len(f.buffered) == 0 {
		return f.File.ReadAt(b, at)
	}
	n := 0
	if at < size {
		n, _ = f.File.ReadAt(b[:min(int64(len(b)), size-at)], at)
	}
	n += copy(b[n:], f.buffered[max(0, at+int64(n)-size):])
	return n, nil
}

func (f *faultyFile) Size() (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, err := f.File.Size()
	return n + int64(len(f.buffered)), err
}

func (f *faultyFile) Sync() error {
	f.mu.Lock()
	lies := len(f.buffered) > 0
	f.mu.Unlock()
	if lies {
		return nil
	}
	return errors.Join(f.beforeSync(), f.File.Sync())
}

func (f *faultyFile) Close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return errors.Join(f.flush(), f.File.Close())
}
