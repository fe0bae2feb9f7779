package faultfs

import (
	"io"
	"slices"
)

// inode is the content of a file.
type inode struct {
	current  []byte       // content that the process sees
	durable  []byte       // content that survives a power loss
	unsynced []dataChange // changes since the last sync, oldest first
}

// dataChange is a write of data at offset, or a truncation to offset bytes if data is nil.
type dataChange struct {
	offset int64
	data   []byte
}

func (i *inode) write(b []byte) {
	if len(b) > 0 {
		i.unsynced = append(i.unsynced, dataChange{int64(len(i.current)), slices.Clone(b)})
		i.current = append(i.current, b...)
	}
}

// file is an open file. The mutex of the folder guards its content.
type file struct {
	folder *Folder
	inode  *inode
	name   string
}

func (f *file) Write(b []byte) (int, error) {
	f.folder.mu.Lock()
	defer f.folder.mu.Unlock()
	if err := f.folder.beginOperation("write " + f.name); err != nil {
		n := 0
		if f.folder.ShortWrite != nil {
			n = min(len(b), f.folder.ShortWrite(f.folder.Operations-1))
		}
		f.inode.write(b[:n])
		return n, err
	}
	f.inode.write(b)
	return len(b), nil
}

func (f *file) ReadAt(b []byte, offset int64) (int, error) {
	f.folder.mu.Lock()
	defer f.folder.mu.Unlock()
	if f.folder.powerLost {
		return 0, ErrPowerLost
	}
	n := copy(b, f.inode.current[min(offset, int64(len(f.inode.current))):])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

func (f *file) Size() (int64, error) {
	f.folder.mu.Lock()
	defer f.folder.mu.Unlock()
	return int64(len(f.inode.current)), nil
}

func (f *file) Truncate(size int64) error {
	f.folder.mu.Lock()
	defer f.folder.mu.Unlock()
	if err := f.folder.beginOperation("truncate " + f.name); err != nil {
		return err
	}
	f.inode.current = f.inode.current[:size:size]
	f.inode.unsynced = append(f.inode.unsynced, dataChange{offset: size})
	return nil
}

func (f *file) Sync() error {
	f.folder.mu.Lock()
	defer f.folder.mu.Unlock()
	description := "sync " + f.name
	if err := f.folder.beginOperation(description); err != nil {
		return err
	}
	if f.folder.skipsSync(description) {
		return nil
	}
	f.inode.durable, f.inode.unsynced = slices.Clone(f.inode.current), nil
	return nil
}

func (f *file) Close() error { return nil }
