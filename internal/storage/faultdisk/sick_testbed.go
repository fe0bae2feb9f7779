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
func Folder(f store.Folder) store.Folder {
	var how, after string
	if _, err := fmt.Sscan(os.Getenv("MAGPIEBANK_DISK"), &how, &after); err != nil {
		return f
	}
	wait, _ := time.ParseDuration(after)
	return folder{f, sickness{how, time.Now().Add(wait)}}
}

type sickness struct {
	how  string
	from time.Time
}

func (s sickness) is(how string) bool { return s.how == how && time.Now().After(s.from) }

var errSync = errors.New("sync failed, as the laboratory has it")

func (s sickness) sync() error {
	if s.is("slow") {
		time.Sleep(300 * time.Millisecond)
	}
	if s.is("unsynced") {
		return errSync
	}
	return nil
}

type folder struct {
	store.Folder
	sickness
}

func (f folder) Create(name string) (store.File, error) {
	if f.is("full") {
		return nil, syscall.ENOSPC
	}
	k, err := f.Folder.Create(name)
	return &file{File: k, sickness: f.sickness}, err
}

func (f folder) Open(name string) (store.File, error) {
	k, err := f.Folder.Open(name)
	return &file{File: k, sickness: f.sickness}, err
}

func (f folder) SyncNames() error { return errors.Join(f.sync(), f.Folder.SyncNames()) }

type file struct {
	store.File
	sickness
	mu    sync.Mutex
	held  []byte // written, and not on the disk
	since time.Time
}

func (f *file) Write(b []byte) (int, error) {
	if f.is("full") {
		return 0, syscall.ENOSPC
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.held) > 0 && time.Since(f.since) > 3*time.Second {
		if err := f.flush(); err != nil {
			return 0, err
		}
	}
	if f.is("lies") {
		if len(f.held) == 0 {
			f.since = time.Now()
		}
		f.held = append(f.held, b...)
		return len(b), nil
	}
	return f.File.Write(b)
}

func (f *file) flush() error {
	_, err := f.File.Write(f.held)
	f.held = nil
	return err
}

func (f *file) ReadAt(b []byte, at int64) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	size, err := f.File.Size()
	if err != nil || len(f.held) == 0 {
		return f.File.ReadAt(b, at)
	}
	n := 0
	if at < size {
		n, _ = f.File.ReadAt(b[:min(int64(len(b)), size-at)], at)
	}
	n += copy(b[n:], f.held[max(0, at+int64(n)-size):])
	return n, nil
}

func (f *file) Size() (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, err := f.File.Size()
	return n + int64(len(f.held)), err
}

func (f *file) Sync() error {
	f.mu.Lock()
	lies := len(f.held) > 0
	f.mu.Unlock()
	if lies {
		return nil
	}
	return errors.Join(f.sync(), f.File.Sync())
}

func (f *file) Close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return errors.Join(f.flush(), f.File.Close())
}
