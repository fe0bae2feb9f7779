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

// succession is a file in a folder that survives the process. It has the starts under which this gateway held its part of the budgets, for
// the process that follows: which may have that part at once only if it can be sure that those have ended. It can: who writes the file
// holds a lock on it, and the file says which one it is, and since when its machine runs. A copy is another file, a machine that was switched
// off is another boot; both prove nothing.
type succession struct {
	file *os.File
	ours deed
}

type deed struct {
	Boot   string   `json:"boot"`
	Device uint64   `json:"device"`
	Inode  uint64   `json:"inode"`
	Name   string   `json:"name"`
	Starts []uint64 `json:"starts"` // the one that held the part last first, then those that ended before they did
}

const (
	deedName = "succession"
	mostDeed = 4096 // bytes
)

var errFollowed = errors.New("another process goes by it")

// follow opens the file, or makes it. An error that is errFollowed: the process before this one, or a second one, still goes by it.
func follow(folder, name string) (*succession, error) {
	boot, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, err
	}
	file, err := os.OpenFile(filepath.Join(folder, deedName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	fail := func(err error) (*succession, error) { return nil, errors.Join(err, file.Close()) }
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); errors.Is(err, unix.EWOULDBLOCK) {
		return fail(fmt.Errorf("%s: %w", file.Name(), errFollowed))
	} else if err != nil {
		return fail(err)
	}
	var is unix.Stat_t
	if err := unix.Fstat(int(file.Fd()), &is); err != nil {
		return fail(err)
	}
	s := &succession{file: file, ours: deed{Boot: strings.TrimSpace(string(boot)), Device: uint64(is.Dev), Inode: is.Ino, Name: name}}
	text, err := io.ReadAll(io.LimitReader(file, mostDeed))
	if err != nil {
		return fail(err)
	}
	var found deed
	if json.Unmarshal(text, &found) == nil && found.Boot == s.ours.Boot && found.Device == s.ours.Device && found.Inode == s.ours.Inode && found.Name == name {
		s.ours.Starts = found.Starts
	}
	return s, nil
}

// begin writes down the start under which the part is claimed from now on, and tells those that have ended. No sync: what a process has
// written outlives it, and after a loss of power the file proves nothing anyway.
func (s *succession) begin(start uint64) (after []uint64, err error) {
	after = slices.Clone(s.ours.Starts)
	if len(after) > quota.MaxPredecessors {
		after = append(after[:1], after[len(after)-quota.MaxPredecessors+1:]...)
	}
	s.ours.Starts = append(slices.Clone(after), start)
	return after, s.write()
}

// held takes in that the part is this process's: those before it are of no more use.
func (s *succession) held() error {
	if len(s.ours.Starts) < 2 {
		return nil
	}
	s.ours.Starts = s.ours.Starts[len(s.ours.Starts)-1:]
	return s.write()
}

// left takes in that the part is nobody's: who follows needn't wait for anything.
func (s *succession) left() error {
	s.ours.Starts = nil
	return s.write()
}

func (s *succession) write() error {
	text, err := json.Marshal(s.ours)
	if err == nil {
		err = s.file.Truncate(0) // a file that is cut short here proves nothing
	}
	if err == nil {
		_, err = s.file.WriteAt(append(text, '\n'), 0)
	}
	return err
}

func (s *succession) close() error { return s.file.Close() }
