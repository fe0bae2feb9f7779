package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"golang.org/x/sys/unix"

	"magpiebank/internal/cluster/quota"
)

// shareHandover is a file in a folder that outlives the process. It lists the starts under which this gateway held its
// share of the budgets, so that the next process under the same name may have that share at once. The next process may
// rely on those starts only if it can be sure that their processes have ended: the writer holds a lock on the file, and
// the file records its own device and inode and the boot of its machine. A copy is another file, and a machine that was
// switched off is another boot, so neither proves anything.
type shareHandover struct {
	file   *os.File
	record handoverRecord
}

// handoverRecord is the content of the file.
type handoverRecord struct {
	Boot   string   `json:"boot"`
	Device uint64   `json:"device"`
	Inode  uint64   `json:"inode"`
	Name   string   `json:"name"`
	Starts []uint64 `json:"starts"` // first the last one that held the share, then those that ended before they did
}

const (
	handoverFileName = "succession"
	maxHandoverBytes = 4096
)

// errHandoverLocked says that another process holds the share: the one before this one, or a second one under its name.
var errHandoverLocked = errors.New("another process goes by it")

// openHandover opens the file for a gateway, or creates it. Where another process holds the lock, the error wraps
// errHandoverLocked.
func openHandover(folder, name string) (*shareHandover, error) {
	boot, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, err
	}
	file, err := os.OpenFile(filepath.Join(folder, handoverFileName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	h := &shareHandover{file: file, record: handoverRecord{Boot: strings.TrimSpace(string(boot)), Name: name}}
	if err := h.lockAndRead(); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return h, nil
}

// lockAndRead locks the file and takes over the starts that it lists, if it proves that their processes have ended.
func (h *shareHandover) lockAndRead() error {
	descriptor := int(h.file.Fd())
	err := unix.Flock(descriptor, unix.LOCK_EX|unix.LOCK_NB)
	if errors.Is(err, unix.EWOULDBLOCK) {
		return fmt.Errorf("%s: %w", h.file.Name(), errHandoverLocked)
	}
	if err != nil {
		return err
	}
	var stat unix.Stat_t
	if err := unix.Fstat(descriptor, &stat); err != nil {
		return err
	}
	h.record.Device = uint64(stat.Dev)
	h.record.Inode = stat.Ino
	text, err := io.ReadAll(io.LimitReader(h.file, maxHandoverBytes))
	if err != nil {
		return err
	}
	var found handoverRecord
	if json.Unmarshal(text, &found) != nil {
		return nil // a file that is cut short proves nothing
	}
	own := &h.record
	if found.Boot == own.Boot && found.Device == own.Device && found.Inode == own.Inode && found.Name == own.Name {
		own.Starts = found.Starts
	}
	return nil
}

// beginClaim records the start under which the share is claimed from now on, and returns the starts that have ended.
// The file isn't synchronized to the disk: what a process has written outlives it, and after a loss of power the file
// proves nothing anyway.
func (h *shareHandover) beginClaim(start uint64) (ended []uint64, err error) {
	ended = slices.Clone(h.record.Starts)
	if len(ended) > quota.MaxPredecessors {
		ended = append(ended[:1], ended[len(ended)-quota.MaxPredecessors+1:]...)
	}
	h.record.Starts = append(slices.Clone(ended), start)
	return ended, h.write()
}

// confirmClaim records that this process holds the share, after which the starts before it are of no more use.
func (h *shareHandover) confirmClaim() error {
	if len(h.record.Starts) < 2 {
		return nil
	}
	h.record.Starts = h.record.Starts[len(h.record.Starts)-1:]
	return h.write()
}

// release records that nobody holds the share, so that the next process needn't wait for anything.
func (h *shareHandover) release() error {
	h.record.Starts = nil
	return h.write()
}

func (h *shareHandover) write() error {
	text, err := json.Marshal(h.record)
	if err != nil {
		return err
	}
	if err := h.file.Truncate(0); err != nil { // a file that is cut short here proves nothing
		return err
	}
	_, err = h.file.WriteAt(append(text, '\n'), 0)
	return err
}

func (h *shareHandover) close() error { return h.file.Close() }
