// Package faultfs implements a store.Folder in memory that injects faults, for tests. Power can be lost at any operation. Afterwards any
// combination of the unsynced changes may have survived: any of the written sectors, and each of them torn at any byte. Operations can
// return errors, syncs can do nothing and report success, and bits can be flipped.
package faultfs

import (
	"errors"
	"fmt"
	"slices"
	"sync"

	"magpiebank/internal/storage/store"
)

// ErrPowerLost is returned by operations after a power loss.
var ErrPowerLost = errors.New("power is lost")

// Folder is a folder whose files are in memory. The zero Folder is empty and does not fail.
type Folder struct {
	mu            sync.Mutex
	current       map[string]*inode // files by the names that the process sees
	durable       map[string]*inode // files by the names that survive a power loss
	unsyncedNames []nameChange      // changes of names since the last SyncNames, oldest first
	powerLost     bool
	locked        bool

	// BeforeOperation, if set, is called before each operation that changes or syncs something, with the operation's number, counted
	// from 0, and a description such as "write manifest". If it returns an error, the operation fails with that error. Once it has
	// returned ErrPowerLost, all further operations fail, and so do Open, Names and reads.
	BeforeOperation func(n int, description string) error
	// SkipSync, if set, reports whether a sync does nothing and returns success.
	SkipSync func(n int, description string) bool
	// ShortWrite, if set, returns how many bytes a write for which BeforeOperation returns an error writes nevertheless.
	ShortWrite func(n int) int
	// Operations is the number of operations so far that change or sync something.
	Operations int
}

// nameChange is a creation (from is empty), a removal (to is empty) or a renaming.
type nameChange struct {
	from, to string
	file     *inode
}

func (c *nameChange) apply(names map[string]*inode) {
	if c.from != "" {
		delete(names, c.from)
	}
	if c.to != "" {
		names[c.to] = c.file
	}
}

var _ store.Folder = (*Folder)(nil)

// beginOperation counts an operation, and returns an error if the operation has to fail. The caller holds mu.
func (f *Folder) beginOperation(description string) error {
	if f.powerLost {
		return ErrPowerLost
	}
	n := f.Operations
	f.Operations++
	if f.BeforeOperation == nil {
		return nil
	}
	err := f.BeforeOperation(n, description)
	if errors.Is(err, ErrPowerLost) {
		f.powerLost = true
	}
	return err
}

// skipsSync reports whether the latest operation, which is a sync, has to do nothing. The caller holds mu.
func (f *Folder) skipsSync(description string) bool {
	return f.SkipSync != nil && f.SkipSync(f.Operations-1, description)
}

func (f *Folder) init() {
	if f.current == nil {
		f.current, f.durable = map[string]*inode{}, map[string]*inode{}
	}
}

func errNotFound(name string) error { return fmt.Errorf("file %s does not exist", name) }

// LosePowerAt returns a function for Folder.BeforeOperation that loses power at the operation with the given number.
func LosePowerAt(operation int) func(n int, description string) error {
	return func(n int, _ string) error {
		if n >= operation {
			return ErrPowerLost
		}
		return nil
	}
}

// Create creates a file and fails if the name exists.
func (f *Folder) Create(name string) (store.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	if err := f.beginOperation("create " + name); err != nil {
		return nil, err
	}
	if f.current[name] != nil {
		return nil, fmt.Errorf("file %s exists", name)
	}
	created := &inode{}
	f.current[name] = created
	f.unsyncedNames = append(f.unsyncedNames, nameChange{to: name, file: created})
	return &file{f, created, name}, nil
}

// Open opens an existing file.
func (f *Folder) Open(name string) (store.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	if f.powerLost {
		return nil, ErrPowerLost
	}
	opened := f.current[name]
	if opened == nil {
		return nil, errNotFound(name)
	}
	return &file{f, opened, name}, nil
}

// Names returns the names of all files in lexical order.
func (f *Folder) Names() (names []string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.powerLost {
		return nil, ErrPowerLost
	}
	for name := range f.current {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, nil
}

// Rename renames a file and replaces an existing file of the new name.
func (f *Folder) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.beginOperation("rename " + from); err != nil {
		return err
	}
	renamed := f.current[from]
	if renamed == nil {
		return errNotFound(from)
	}
	delete(f.current, from)
	f.current[to] = renamed
	f.unsyncedNames = append(f.unsyncedNames, nameChange{from: from, to: to, file: renamed})
	return nil
}

// Remove removes a file.
func (f *Folder) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.beginOperation("remove " + name); err != nil {
		return err
	}
	if f.current[name] == nil {
		return errNotFound(name)
	}
	delete(f.current, name)
	f.unsyncedNames = append(f.unsyncedNames, nameChange{from: name})
	return nil
}

const syncNames = "sync names"

// SyncNames makes the names of the files durable, unless SkipSync returns true.
func (f *Folder) SyncNames() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.beginOperation(syncNames); err != nil {
		return err
	}
	if f.skipsSync(syncNames) {
		return nil
	}
	for _, change := range f.unsyncedNames {
		change.apply(f.durable)
	}
	f.unsyncedNames = nil
	return nil
}

// Lock locks the folder, or returns store.ErrLocked if it is locked.
func (f *Folder) Lock() (func() error, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	if f.locked {
		return nil, store.ErrLocked
	}
	f.locked = true
	return func() error {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.locked = false
		return nil
	}, nil
}

// FlipBit flips a bit, numbered from 0 to 7, of the byte at an offset of a file. Afterwards the whole content of the file is durable.
func (f *Folder) FlipBit(name string, offset int64, bit uint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	flipped := f.current[name]
	flipped.current[offset] ^= 1 << bit
	flipped.durable = slices.Clone(flipped.current)
}

// Contents returns a copy of a file as the process sees it, or nil if there is none.
func (f *Folder) Contents(name string) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current[name] == nil {
		return nil
	}
	return slices.Clone(f.current[name].current)
}

// SetFile creates or replaces a file with the given content. The name and the content are durable.
func (f *Folder) SetFile(name string, content []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	set := &inode{current: slices.Clone(content), durable: slices.Clone(content)}
	f.current[name], f.durable[name] = set, set
}
