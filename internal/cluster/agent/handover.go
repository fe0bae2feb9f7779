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

// shareHandover is a file that outlives the process. It lists the incarnations under which this gateway claimed its share of
// the budgets, so that the next process under the same name can take over that share at once. The next process may use the
// list only if the listed processes have surely ended. Two checks ensure that: a process locks the file until it ends, and the
// file records its own device and inode and the boot ID of its machine. A copied file has another inode, and
// after a reboot the boot ID differs; the list is ignored in both cases.
type shareHandover struct {
	file   *os.File
	record handoverRecord
}

// handoverRecord is the content of the handover file.
type handoverRecord struct {
	Boot         string   `json:"boot"`
	Device       uint64   `json:"device"`
	Inode        uint64   `json:"inode"`
	Name         string   `json:"name"`
	Incarnations []uint64 `json:"starts"` // first the last one that held the share, then later ones that ended before they held it
}

const (
	handoverFileName = "succession"
	maxHandoverBytes = 4096
)

// errHandoverLocked means that another process holds the lock on the handover file: an earlier process of this gateway that
// still runs, or a second process under its name.
var errHandoverLocked = errors.New("another process holds the lock on this file")

// openHandover opens or creates the handover file of a gateway. If another process holds the lock, the error wraps
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

// lockAndRead locks the file and reads the incarnations that it lists, unless a copy, a reboot or another gateway's name makes
// them unreliable.
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
		return nil // a new file is empty; a process that was killed in write leaves an incomplete one
	}
	own := &h.record
	if found.Boot == own.Boot && found.Device == own.Device && found.Inode == own.Inode && found.Name == own.Name {
		own.Incarnations = found.Incarnations
	}
	return nil
}

// beginClaim records the incarnation that claims the share from now on, and returns the incarnations that have ended. The file
// isn't synced to disk: written data outlives the process, and after a power loss the boot ID differs, so that the next process
// ignores the list anyway.
func (h *shareHandover) beginClaim(incarnation uint64) (ended []uint64, err error) {
	ended = slices.Clone(h.record.Incarnations)
	if len(ended) > quota.MaxPredecessors {
		ended = append(ended[:1], ended[len(ended)-quota.MaxPredecessors+1:]...)
	}
	h.record.Incarnations = append(slices.Clone(ended), incarnation)
	return ended, h.write()
}

// confirmClaim records that this process holds the share. It removes the earlier incarnations, because the next process needs
// only the one that held the share last and those after it.
func (h *shareHandover) confirmClaim() error {
	if len(h.record.Incarnations) < 2 {
		return nil
	}
	h.record.Incarnations = h.record.Incarnations[len(h.record.Incarnations)-1:]
	return h.write()
}

// release records that no process holds the share, so that the next one has no predecessor to wait for.
func (h *shareHandover) release() error {
	h.record.Incarnations = nil
	return h.write()
}

func (h *shareHandover) write() error {
	text, err := json.Marshal(h.record)
	if err != nil {
		return err
	}
	if err := h.file.Truncate(0); err != nil { // a process that is killed here leaves an empty file, which lockAndRead ignores
		return err
	}
	_, err = h.file.WriteAt(append(text, '\n'), 0)
	return err
}

func (h *shareHandover) close() error { return h.file.Close() }
