package agent

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// claimShare opens the handover file and claims the share like a process with the incarnation start. It checks which incarnations
// the file lists as ended.
func claimShare(t *testing.T, folder, name string, incarnation uint64, expected ...uint64) *shareHandover {
	t.Helper()
	handover, err := openHandover(folder, name)
	if err != nil {
		t.Fatal(err)
	}
	ended, err := handover.beginClaim(incarnation)
	if err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(ended, expected) {
		t.Errorf("incarnation %d: expected the ended incarnations %d, found %d", incarnation, expected, ended)
	}
	return handover
}

func closeHandover(t *testing.T, handover *shareHandover) {
	t.Helper()
	if err := handover.close(); err != nil {
		t.Fatal(err)
	}
}

func TestShareHandoverIsLockedByOneProcess(t *testing.T) {
	folder := t.TempDir()
	first := claimShare(t, folder, "g1", 1)
	if _, err := openHandover(folder, "g1"); !errors.Is(err, errHandoverLocked) {
		t.Errorf("a second process while the first one runs: expected %v, found %v", errHandoverLocked, err)
	}
	copied := t.TempDir()
	if err := os.CopyFS(copied, os.DirFS(folder)); err != nil {
		t.Fatal(err)
	}
	closeHandover(t, claimShare(t, copied, "g1", 2)) // the list in a copied file is ignored
	closeHandover(t, first)
	closeHandover(t, claimShare(t, folder, "g1", 3, 1))
}

// The next process under the same name takes over the share only from processes that have surely ended.
func TestShareHandover(t *testing.T) {
	folder := t.TempDir()
	for _, process := range []struct {
		name        string
		incarnation uint64
		ended       []uint64
		beforeClose func(*shareHandover) error // called before the process ends
	}{
		{"first", 1, nil, nil},
		{"after one that ended before it held the share", 3, []uint64{1}, nil},
		{"after two", 4, []uint64{1, 3}, nil},
		{"after three", 5, []uint64{1, 3, 4}, nil},
		{"after four", 6, []uint64{1, 3, 4, 5}, nil},
		{"after five, of which the first and the last count", 7, []uint64{1, 4, 5, 6}, nil},
		{"after six", 8, []uint64{1, 5, 6, 7}, nil},
		{"after seven, and holds the share", 9, []uint64{1, 6, 7, 8}, (*shareHandover).confirmClaim},
		{"after one that held the share, and releases it", 10, []uint64{9}, (*shareHandover).release},
		{"after one that released the share", 11, nil, nil},
	} {
		t.Run(process.name, func(t *testing.T) {
			handover := claimShare(t, folder, "g1", process.incarnation, process.ended...)
			if process.beforeClose != nil {
				if err := process.beforeClose(handover); err != nil {
					t.Fatal(err)
				}
			}
			closeHandover(t, handover)
		})
	}
}

func TestShareHandoverIgnoresUnreliableFile(t *testing.T) {
	replace := func(from, to string) func(*testing.T, string, *shareHandover) {
		return func(t *testing.T, path string, _ *shareHandover) {
			t.Helper()
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, []byte(strings.Replace(string(text), from, to, 1)), 0o600); err != nil { // keeps the inode
				t.Fatal(err)
			}
		}
	}
	for _, c := range []struct {
		name   string
		reader string // name of the gateway that opens the file
		change func(t *testing.T, path string, written *shareHandover)
	}{
		{"under another name", "g2", nil},
		{"once the machine was switched off", "g1", func(t *testing.T, path string, written *shareHandover) {
			t.Helper()
			replace(written.record.Boot, "before")(t, path, written)
		}},
		{"when the file is cut short", "g1", replace("}", "")},
	} {
		t.Run(c.name, func(t *testing.T) {
			folder := t.TempDir()
			written := claimShare(t, folder, "g1", 1)
			closeHandover(t, written)
			if c.change != nil {
				c.change(t, filepath.Join(folder, handoverFileName), written)
			}
			closeHandover(t, claimShare(t, folder, c.reader, 2))
		})
	}
	t.Run("when the folder can't be made", func(t *testing.T) {
		file := filepath.Join(t.TempDir(), "file")
		if err := os.WriteFile(file, nil, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := openHandover(filepath.Join(file, "below"), "g1"); err == nil {
			t.Error("expected an error, found none")
		}
	})
}
