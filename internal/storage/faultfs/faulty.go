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
const sector = 512

// ErrLost is what operations return after power was lost.
var ErrLost = errors.New("power is lost")

// Folder is a folder whose files are in memory. The zero Folder is empty and sound.
type Folder struct {
	mu    sync.Mutex
	names map[string]*inode // as the process sees them
	disk  map[string]*inode // as they survive
	ops   []nameOp          // since names were synced
	lost  bool
	held  bool

	// At, where it is set, is asked before each operation that changes something; an error is what it returns. After
	// ErrLost nothing works any more.
	At func(n int, what string) error
	// Lies tells whether a sync is to do nothing and say that it did.
	Lies func(n int, what string) bool
	N    int // operations so far
	// Short has a write keep only a part of its bytes when At returns an error for it.
	Short func(n int) int
}

type nameOp struct {
	from, to string // "" is none: create, or remove
	file     *inode
}

type inode struct {
	now  []byte // as the process sees it
	disk []byte // as it survives
	ops  []op   // since it was synced
}

type op struct {
	at   int64
	data []byte // nil: a truncation to at
}

var _ store.Folder = (*Folder)(nil)

// step counts an operation and has it fail if it is to.
func (f *Folder) step(what string) error {
	if f.lost {
		return ErrLost
	}
	n := f.N
	f.N++
	if f.At != nil {
		if err := f.At(n, what); err != nil {
			f.lost = f.lost || errors.Is(err, ErrLost)
			return err
		}
	}
	return nil
}

func (f *Folder) begin() {
	if f.names == nil {
		f.names, f.disk = map[string]*inode{}, map[string]*inode{}
	}
}

// Create makes a file.
func (f *Folder) Create(name string) (store.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.begin()
	if err := f.step("create " + name); err != nil {
		return nil, err
	}
	if f.names[name] != nil {
		return nil, fmt.Errorf("%s exists", name)
	}
	i := &inode{}
	f.names[name] = i
	f.ops = append(f.ops, nameOp{to: name, file: i})
	return &file{f, i, name}, nil
}

// Open opens a file.
func (f *Folder) Open(name string) (store.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.begin()
	if f.lost {
		return nil, ErrLost
	}
	i := f.names[name]
	if i == nil {
		return nil, fmt.Errorf("%s is not there", name)
	}
	return &file{f, i, name}, nil
}

// Names are the files' names, in order.
func (f *Folder) Names() (out []string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost {
		return nil, ErrLost
	}
	for name := range f.names {
		out = append(out, name)
	}
	slices.Sort(out)
	return out, nil
}

// Rename gives a file another name, in the place of one that has it.
func (f *Folder) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.step("rename " + from); err != nil {
		return err
	}
	i := f.names[from]
	if i == nil {
		return fmt.Errorf("%s is not there", from)
	}
	delete(f.names, from)
	f.names[to] = i
	f.ops = append(f.ops, nameOp{from: from, to: to, file: i})
	return nil
}

// Remove removes a file.
func (f *Folder) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.step("remove " + name); err != nil {
		return err
	}
	if f.names[name] == nil {
		return fmt.Errorf("%s is not there", name)
	}
	delete(f.names, name)
	f.ops = append(f.ops, nameOp{from: name})
	return nil
}

// SyncNames has the names survive.
func (f *Folder) SyncNames() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.step("sync names"); err != nil {
		return err
	}
	if f.Lies != nil && f.Lies(f.N-1, "sync names") {
		return nil
	}
	for _, o := range f.ops {
		o.do(f.disk)
	}
	f.ops = nil
	return nil
}

func (o *nameOp) do(names map[string]*inode) {
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
	f.begin()
	if f.held {
		return nil, store.ErrLocked
	}
	f.held = true
	return func() error {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.held = false
		return nil
	}, nil
}

// Flip changes a bit of a file, as it is and as it survives.
func (f *Folder) Flip(name string, at int64, bit uint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := f.names[name]
	i.now[at] ^= 1 << bit
	i.disk = slices.Clone(i.now)
}

// Bytes is a file as it is.
func (f *Folder) Bytes(name string) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.names[name] == nil {
		return nil
	}
	return slices.Clone(f.names[name].now)
}

// Put sets a file, so that it survives.
func (f *Folder) Put(name string, b []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.begin()
	i := &inode{now: slices.Clone(b), disk: slices.Clone(b)}
	f.names[name], f.disk[name] = i, i
}

type file struct {
	f    *Folder
	i    *inode
	name string
}

func (k *file) Write(b []byte) (int, error) {
	k.f.mu.Lock()
	defer k.f.mu.Unlock()
	if err := k.f.step("write " + k.name); err != nil {
		n := 0
		if k.f.Short != nil {
			n = min(len(b), k.f.Short(k.f.N-1))
		}
		k.i.write(b[:n])
		return n, err
	}
	k.i.write(b)
	return len(b), nil
}

func (i *inode) write(b []byte) {
	if len(b) > 0 {
		i.ops = append(i.ops, op{int64(len(i.now)), slices.Clone(b)})
		i.now = append(i.now, b...)
	}
}

func (k *file) ReadAt(b []byte, at int64) (int, error) {
	k.f.mu.Lock()
	defer k.f.mu.Unlock()
	if k.f.lost {
		return 0, ErrLost
	}
	n := copy(b, k.i.now[min(at, int64(len(k.i.now))):])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

func (k *file) Size() (int64, error) {
	k.f.mu.Lock()
	defer k.f.mu.Unlock()
	return int64(len(k.i.now)), nil
}

func (k *file) Truncate(size int64) error {
	k.f.mu.Lock()
	defer k.f.mu.Unlock()
	if err := k.f.step("truncate " + k.name); err != nil {
		return err
	}
	k.i.now = k.i.now[:size:size]
	k.i.ops = append(k.i.ops, op{at: size})
	return nil
}

func (k *file) Sync() error {
	k.f.mu.Lock()
	defer k.f.mu.Unlock()
	if err := k.f.step("sync " + k.name); err != nil {
		return err
	}
	if k.f.Lies != nil && k.f.Lies(k.f.N-1, "sync "+k.name) {
		return nil
	}
	k.i.disk, k.i.ops = slices.Clone(k.i.now), nil
	return nil
}

func (k *file) Close() error { return nil }

// Unsynced counts what may or may not have come to the disk: operations on names, truncations, and sectors of writes.
func (f *Folder) Unsynced() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.ops)
	for _, name := range f.reachable() {
		for _, o := range f.file(name).ops {
			n += o.parts()
		}
	}
	return n
}

func (o *op) parts() int {
	if o.data == nil {
		return 1
	}
	return int((o.at+int64(len(o.data))-1)/sector-o.at/sector) + 1
}

// reachable are the names of all files, as they survive or as the process sees them, in order.
func (f *Folder) reachable() (out []string) {
	for name := range f.names {
		out = append(out, name)
	}
	for name, i := range f.disk {
		if f.names[name] != i {
			out = append(out, name+"\x00disk")
		}
	}
	slices.Sort(out)
	return out
}

func (f *Folder) file(name string) *inode {
	if n := len(name) - 5; n > 0 && name[n:] == "\x00disk" {
		return f.disk[name[:n]]
	}
	return f.names[name]
}

// Left is what is found after power was lost: of each unsynced part, in order, keep says whether it came to the disk; tear,
// where it isn't negative, is how many bytes of the last kept sector did.
func (f *Folder) Left(keep func(part int) bool, tear int) *Folder {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := &Folder{}
	out.begin()
	part := 0
	kept := func() bool { part++; return keep(part - 1) }
	names := map[string]*inode{}
	for name, i := range f.disk {
		names[name] = i
	}
	for _, o := range f.ops {
		if kept() {
			o.do(names)
		}
	}
	contents := map[*inode][]byte{}
	for _, name := range f.reachable() {
		i := f.file(name)
		if contents[i] != nil {
			continue
		}
		b := append(make([]byte, 0, len(i.now)+1), i.disk...)
		for _, o := range i.ops {
			if o.data == nil {
				if kept() && o.at < int64(len(b)) {
					b = b[:o.at]
				}
				continue
			}
			for from := o.at; from < o.at+int64(len(o.data)); {
				to := min((from/sector+1)*sector, o.at+int64(len(o.data)))
				if kept() {
					data := o.data[from-o.at : to-o.at]
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
			b = slices.Clone(i.disk)
		}
		out.Put(name, b)
	}
	return out
}

// Each calls f with what may be found after power was lost: all combinations of unsynced parts where they are at most most,
// else none, all, and as many drawn; each also with the parts torn.
func (f *Folder) Each(most int, seed int64, each func(left *Folder)) (states int) {
	parts := f.Unsynced()
	r := rand.New(rand.NewSource(seed))
	one := func(keep func(int) bool, tear int) {
		states++
		each(f.Left(keep, tear))
	}
	if parts <= most {
		for bits := range 1 << parts {
			one(func(part int) bool { return bits>>part&1 == 1 }, -1)
			if bits > 0 {
				one(func(part int) bool { return bits>>part&1 == 1 }, r.Intn(sector))
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
			tear = draw.Intn(sector)
		}
		one(func(part int) bool { return chosen[part] }, tear)
	}
	return states
}
