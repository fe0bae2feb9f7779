// Package faultfs is a folder in memory that fails on purpose: power is lost at any operation, and of what was not synced any
// part is kept, by sectors and torn at any byte; operations return errors; syncs lie; bits flip. It is for tests.
package faultfs

import (
	"errors"
	"fmt"
	"io"
	"math/rand"
	"slices"
	"sync"

	"magpiebank/internal/storage/store"
)

// sector is the unit in which what was not synced may come to the disk. Real ones are as large or larger.
const sectorSize = 512

// ErrLost is what operations return after power was lost.
var ErrPowerLost = errors.New("power is lost")

// Folder is a folder whose files are in memory. The zero Folder is empty and sound.
type Folder struct {
	mu            sync.Mutex
	current       map[string]*inode // as the process sees them
	durable       map[string]*inode // as they survive
	unsyncedNames []nameChange      // since names were synced
	powerLost     bool
	locked        bool

	// At, where it is set, is asked before each operation that changes something; an error is what it returns. After
	// ErrLost nothing works any more.
	BeforeOperation func(n int, what string) error
	// Lies tells whether a sync is to do nothing and say that it did.
	SyncLies   func(n int, what string) bool
	Operations int // operations so far
	// Short has a write keep only a part of its bytes when At returns an error for it.
	ShortWrite func(n int) int
}

type nameChange struct {
	from, to string // "" is none: create, or remove
	file     *inode
}

type inode struct {
	current  []byte       // as the process sees it
	durable  []byte       // as it survives
	unsynced []dataChange // since it was synced
}

type dataChange struct {
	offset int64
	data   []byte // nil: a truncation to at
}

var _ store.Folder = (*Folder)(nil)

// step counts an operation and has it fail if it is to.
func (f *Folder) beginOperation(what string) error {
	if f.powerLost {
		return ErrPowerLost
	}
	n := f.Operations
	f.Operations++
	if f.BeforeOperation != nil {
		if err := f.BeforeOperation(n, what); err != nil {
			f.powerLost = f.powerLost || errors.Is(err, ErrPowerLost)
			return err
		}
	}
	return nil
}

func (f *Folder) init() {
	if f.current == nil {
		f.current, f.durable = map[string]*inode{}, map[string]*inode{}
	}
}

// Create makes a file.
func (f *Folder) Create(name string) (store.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	if err := f.beginOperation("create " + name); err != nil {
		return nil, err
	}
	if f.current[name] != nil {
		return nil, fmt.Errorf("%s exists", name)
	}
	i := &inode{}
	f.current[name] = i
	f.unsyncedNames = append(f.unsyncedNames, nameChange{to: name, file: i})
	return &file{f, i, name}, nil
}

// Open opens a file.
func (f *Folder) Open(name string) (store.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	if f.powerLost {
		return nil, ErrPowerLost
	}
	i := f.current[name]
	if i == nil {
		return nil, fmt.Errorf("%s is not there", name)
	}
	return &file{f, i, name}, nil
}

// Names are the files' names, in order.
func (f *Folder) Names() (out []string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.powerLost {
		return nil, ErrPowerLost
	}
	for name := range f.current {
		out = append(out, name)
	}
	slices.Sort(out)
	return out, nil
}

// Rename gives a file another name, in the place of one that has it.
func (f *Folder) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.beginOperation("rename " + from); err != nil {
		return err
	}
	i := f.current[from]
	if i == nil {
		return fmt.Errorf("%s is not there", from)
	}
	delete(f.current, from)
	f.current[to] = i
	f.unsyncedNames = append(f.unsyncedNames, nameChange{from: from, to: to, file: i})
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
		return fmt.Errorf("%s is not there", name)
	}
	delete(f.current, name)
	f.unsyncedNames = append(f.unsyncedNames, nameChange{from: name})
	return nil
}

// SyncNames has the names survive.
func (f *Folder) SyncNames() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.beginOperation("sync names"); err != nil {
		return err
	}
	if f.SyncLies != nil && f.SyncLies(f.Operations-1, "sync names") {
		return nil
	}
	for _, o := range f.unsyncedNames {
		o.apply(f.durable)
	}
	f.unsyncedNames = nil
	return nil
}

func (o *nameChange) apply(names map[string]*inode) {
	if o.from != "" {
		delete(names, o.from)
	}
	if o.to != "" {
		names[o.to] = o.file
	}
}

// Lock keeps others out.
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

// Flip changes a bit of a file, as it is and as it survives.
func (f *Folder) FlipBit(name string, at int64, bit uint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := f.current[name]
	i.current[at] ^= 1 << bit
	i.durable = slices.Clone(i.current)
}

// Bytes is a file as it is.
func (f *Folder) Contents(name string) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current[name] == nil {
		return nil
	}
	return slices.Clone(f.current[name].current)
}

// Put sets a file, so that it survives.
func (f *Folder) SetFile(name string, b []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	i := &inode{current: slices.Clone(b), durable: slices.Clone(b)}
	f.current[name], f.durable[name] = i, i
}

type file struct {
	folder *Folder
	inode  *inode
	name   string
}

func (k *file) Write(b []byte) (int, error) {
	k.folder.mu.Lock()
	defer k.folder.mu.Unlock()
	if err := k.folder.beginOperation("write " + k.name); err != nil {
		n := 0
		if k.folder.ShortWrite != nil {
			n = min(len(b), k.folder.ShortWrite(k.folder.Operations-1))
		}
		k.inode.write(b[:n])
		return n, err
	}
	k.inode.write(b)
	return len(b), nil
}

func (i *inode) write(b []byte) {
	if len(b) > 0 {
		i.unsynced = append(i.unsynced, dataChange{int64(len(i.current)), slices.Clone(b)})
		i.current = append(i.current, b...)
	}
}

func (k *file) ReadAt(b []byte, at int64) (int, error) {
	k.folder.mu.Lock()
	defer k.folder.mu.Unlock()
	if k.folder.powerLost {
		return 0, ErrPowerLost
	}
	n := copy(b, k.inode.current[min(at, int64(len(k.inode.current))):])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

func (k *file) Size() (int64, error) {
	k.folder.mu.Lock()
	defer k.folder.mu.Unlock()
	return int64(len(k.inode.current)), nil
}

func (k *file) Truncate(size int64) error {
	k.folder.mu.Lock()
	defer k.folder.mu.Unlock()
	if err := k.folder.beginOperation("truncate " + k.name); err != nil {
		return err
	}
	k.inode.current = k.inode.current[:size:size]
	k.inode.unsynced = append(k.inode.unsynced, dataChange{offset: size})
	return nil
}

func (k *file) Sync() error {
	k.folder.mu.Lock()
	defer k.folder.mu.Unlock()
	if err := k.folder.beginOperation("sync " + k.name); err != nil {
		return err
	}
	if k.folder.SyncLies != nil && k.folder.SyncLies(k.folder.Operations-1, "sync "+k.name) {
		return nil
	}
	k.inode.durable, k.inode.unsynced = slices.Clone(k.inode.current), nil
	return nil
}

func (k *file) Close() error { return nil }

// Unsynced counts what may or may not have come to the disk: operations on names, truncations, and sectors of writes.
func (f *Folder) CountUnsynced() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.unsyncedNames)
	for _, name := range f.reachable() {
		for _, o := range f.inodeByName(name).unsynced {
			n += o.parts()
		}
	}
	return n
}

func (o *dataChange) parts() int {
	if o.data == nil {
		return 1
	}
	return int((o.offset+int64(len(o.data))-1)/sectorSize-o.offset/sectorSize) + 1
}

// reachable are the names of all files, as they survive or as the process sees them, in order.
func (f *Folder) reachable() (out []string) {
	for name := range f.current {
		out = append(out, name)
	}
	for name, i := range f.durable {
		if f.current[name] != i {
			out = append(out, name+"\x00disk")
		}
	}
	slices.Sort(out)
	return out
}

func (f *Folder) inodeByName(name string) *inode {
	if n := len(name) - 5; n > 0 && name[n:] == "\x00disk" {
		return f.durable[name[:n]]
	}
	return f.current[name]
}

// Left is what is found after power was lost: of each unsynced part, in order, keep says whether it came to the disk; tear,
// where it isn't negative, is how many bytes of the last kept sector did.
func (f *Folder) AfterPowerLoss(keep func(part int) bool, tear int) *Folder {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := &Folder{}
	out.init()
	part := 0
	kept := func() bool { part++; return keep(part - 1) }
	names := map[string]*inode{}
	for name, i := range f.durable {
		names[name] = i
	}
	for _, o := range f.unsyncedNames {
		if kept() {
			o.apply(names)
		}
	}
	contents := map[*inode][]byte{}
	for _, name := range f.reachable() {
		i := f.inodeByName(name)
		if contents[i] != nil {
			continue
		}
		b := append(make([]byte, 0, len(i.current)+1), i.durable...)
		for _, o := range i.unsynced {
			if o.data == nil {
				if kept() && o.offset < int64(len(b)) {
					b = b[:o.offset]
				}
				continue
			}
			for from := o.offset; from < o.offset+int64(len(o.data)); {
				to := min((from/sectorSize+1)*sectorSize, o.offset+int64(len(o.data)))
				if kept() {
					data := o.data[from-o.offset : to-o.offset]
					if tear >= 0 && tear < len(data) {
						data = data[:tear]
					}
					for int64(len(b)) < from+int64(len(data)) {
						b = append(b, 0)
					}
					copy(b[from:], data)
				}
				from = to
			}
		}
		contents[i] = b
	}
	for name, i := range names {
		b := contents[i]
		if b == nil {
			b = slices.Clone(i.durable)
		}
		out.SetFile(name, b)
	}
	return out
}

// Each calls f with what may be found after power was lost: all combinations of unsynced parts where they are at most most,
// else none, all, and as many drawn; each also with the parts torn.
func (f *Folder) ForEachCrashState(most int, seed int64, each func(left *Folder)) (states int) {
	parts := f.CountUnsynced()
	r := rand.New(rand.NewSource(seed))
	one := func(keep func(int) bool, tear int) {
		states++
		each(f.AfterPowerLoss(keep, tear))
	}
	if parts <= most {
		for bits := range 1 << parts {
			one(func(part int) bool { return bits>>part&1 == 1 }, -1)
			if bits > 0 {
				one(func(part int) bool { return bits>>part&1 == 1 }, r.Intn(sectorSize))
			}
		}
		return states
	}
	one(func(int) bool { return false }, -1)
	one(func(int) bool { return true }, -1)
	for range 1 << most {
		draw := rand.New(rand.NewSource(r.Int63()))
		chosen := make([]bool, parts)
		for i := range chosen {
			chosen[i] = draw.Intn(2) == 0
		}
		tear := -1
		if draw.Intn(2) == 0 {
			tear = draw.Intn(sectorSize)
		}
		one(func(part int) bool { return chosen[part] }, tear)
	}
	return states
}
