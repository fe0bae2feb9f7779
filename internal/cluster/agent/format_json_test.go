package agent

import (
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"magpiebank/internal/testbed/golden"
)

// Covers the output of `fleet status --json`, and the requests and replies of the control socket.
func TestControlMessagesOfEarlierVersionRoundTrip(t *testing.T) {
	t.Run("status", func(t *testing.T) {
		golden.CheckRoundTrip(t, "status", golden.DecodeJSON[Status], golden.EncodeJSON)
	})
	t.Run("request", func(t *testing.T) {
		golden.CheckRoundTrip(t, "request", golden.DecodeJSON[controlRequest], golden.EncodeJSON)
	})
	t.Run("answer", func(t *testing.T) {
		golden.CheckRoundTrip(t, "answer", golden.DecodeJSON[PolicyReply], golden.EncodeJSON)
	})
}

func TestHandoverOfEarlierVersionRoundTrips(t *testing.T) {
	golden.CheckRoundTrip(t, "succession", golden.DecodeJSON[handoverRecord], func(record *handoverRecord) []byte {
		folder := t.TempDir()
		handover, err := openHandover(folder, record.Name)
		if err != nil {
			t.Fatal(err)
		}
		defer closeHandover(t, handover)
		handover.record = *record
		if err := handover.write(); err != nil {
			t.Fatal(err)
		}
		written, err := os.ReadFile(filepath.Join(folder, "succession"))
		if err != nil {
			t.Fatal(err)
		}
		return written
	})
}

// The earlier version's file contains a boot ID, device and inode. The test replaces them with those of this machine and file, so that
// the file is accepted.
func TestHandoverOfEarlierVersionIsAccepted(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "succession")
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	var file unix.Stat_t
	if err := unix.Stat(path, &file); err != nil {
		t.Fatal(err)
	}
	boot, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.NewReplacer("01234567-89ab-cdef-0123-456789abcdef", strings.TrimSpace(string(boot)),
		"1111", strconv.FormatUint(file.Dev, 10), "2222", strconv.FormatUint(file.Ino, 10)).Replace(string(golden.Read(t, "succession.form")))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	handover, err := openHandover(folder, "gateway-a")
	if err != nil {
		t.Fatal(err)
	}
	defer closeHandover(t, handover)
	after, err := handover.beginClaim(7)
	if expected := []uint64{1<<60 + 3, 1<<60 + 4}; err != nil || !slices.Equal(after, expected) {
		t.Errorf("expected the ended incarnations %d, found %d, error %v", expected, after, err)
	}
}
