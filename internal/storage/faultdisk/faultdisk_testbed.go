//go:build testbed

// Package faultdisk is the hook through which a build with the tag testbed injects disk faults into a gateway's process. In all other
// builds it does nothing.
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

// environmentVariable contains the kind of fault and the time from the call of WrapFolder until the fault becomes active, as in
// "full 5s".
const environmentVariable = "MAGPIEBANK_DISK"

// The kinds of faults.
const (
	diskFull      = "full"     // writes and creations fail with ENOSPC
	slowSyncs     = "slow"     // each sync takes slowSyncTime longer
	failedSyncs   = "unsynced" // each sync fails
	delayedWrites = "lies"     // writes are buffered for at least writeDelay though syncs report success, so a kill loses them
)

const (
	slowSyncTime = 300 * time.Millisecond
	writeDelay   = 3 * time.Second
)

var errInjectedSync = errors.New("sync failed on purpose, in the testbed's build")

// WrapFolder returns a folder with the fault that MAGPIEBANK_DISK describes, or the folder itself if the variable is not set.
func WrapFolder(folder store.Folder) store.Folder {
	var kind, after string
	if _, err := fmt.Sscan(os.Getenv(environmentVariable), &kind, &after); err != nil {
		return folder
	}
	wait, _ := time.ParseDuration(after)
	return faultyFolder{folder, fault{kind: kind, from: time.Now().Add(wait)}}
}

// fault is a kind of fault and the time at which it becomes active.
type fault struct {
	kind string
	from time.Time
}

func (f fault) isActive(kind string) bool { return f.kind == kind && time.Now().After(f.from) }

// beforeSync delays a sync if the fault is slowSyncs, and returns an error if the fault is failedSyncs.
func (f fault) beforeSync() error {
	if f.isActive(slowSyncs) {
		time.Sleep(slowSyncTime)
	}
	if f.isActive(failedSyncs) {
		return errInjectedSync
	}
	return nil
}

type faultyFolder struct {
	store.Folder
	fault
}

func (f faultyFolder) Create(name string) (store.File, error) {
	if f.isActive(diskFull) {
		return nil, syscall.ENOSPC
	}
	file, err := f.Folder.Create(name)
	return &faultyFile{File: file, fault: f.fault}, err
}

func (f faultyFolder) Open(name string) (store.File, error) {
	file, err := f.Folder.Open(name)
	return &faultyFile{File: file, fault: f.fault}, err
}

func (f faultyFolder) SyncNames() error { return errors.Join(f.beforeSync(), f.Folder.SyncNames()) }

type faultyFile struct {
	store.File
	fault

	mu            sync.Mutex // guards buffered and bufferedSince
	buffered      []byte     // bytes that the process has written but that are not in the file yet
	bufferedSince time.Time  // when the oldest of the buffered bytes were written
}

func (f *faultyFile) Write(b []byte) (int, error) {
	if f.isActive(diskFull) {
		return 0, syscall.ENOSPC
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.buffered) > 0 && time.Since(f.bufferedSince) > writeDelay {
		if err := f.flush(); err != nil {
			return 0, err
		}
	}
	if !f.isActive(delayedWrites) {
		return f.File.Write(b)
	}
	if len(f.buffered) == 0 {
		f.bufferedSince = time.Now()
	}
	f.buffered = append(f.buffered, b...)
	return len(b), nil
}

// flush writes the buffered bytes to the file. The caller holds mu.
func (f *faultyFile) flush() error {
	_, err := f.File.Write(f.buffered)
	f.buffered = nil
	return err
}

func (f *faultyFile) ReadAt(b []byte, offset int64) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	size, err := f.File.Size()
	if err != nil || len(f.buffered) == 0 {
		return f.File.ReadAt(b, offset)
	}
	n := 0
	if offset < size {
		n, _ = f.File.ReadAt(b[:min(int64(len(b)), size-offset)], offset)
	}
	n += copy(b[n:], f.buffered[max(0, offset+int64(n)-size):])
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
	hasBuffered := len(f.buffered) > 0
	f.mu.Unlock()
	if hasBuffered {
		return nil
	}
	return errors.Join(f.beforeSync(), f.File.Sync())
}

func (f *faultyFile) Close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return errors.Join(f.flush(), f.File.Close())
}
