package agent

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func writeKey(tb testing.TB, path, digits string) {
	tb.Helper()
	if err := os.WriteFile(path, []byte(digits+"\n"), 0o600); err != nil {
		tb.Fatal(err)
	}
}

func newTestSealer(tb testing.TB, digits string) *sealer {
	tb.Helper()
	path := filepath.Join(tb.TempDir(), "key")
	writeKey(tb, path, digits)
	s, err := readKey(path)
	if err != nil {
		tb.Fatal(err)
	}
	return s
}

var ownKey, otherKey = strings.Repeat("0f", 32), strings.Repeat("a1", 32)

func TestDatagramIsOpenedAsSealed(t *testing.T) {
	s := newTestSealer(t, ownKey)
	datagram, err := s.seal(&envelope{sender: "g1", incarnation: 7, sequence: 9, sections: []section{{membershipSection, []byte("abc")}, {healthReportSection, nil}}})
	if err != nil {
		t.Fatal(err)
	}
	opened, err := s.open(datagram)
	if err != nil || opened.sender != "g1" || opened.incarnation != 7 || opened.sequence != 9 || len(opened.sections) != 2 || string(opened.sections[0].payload) != "abc" {
		t.Errorf("expected the sealed envelope, found error %v and %+v", err, opened)
	}
}

func TestDatagramIsRejected(t *testing.T) {
	s := newTestSealer(t, ownKey)
	datagram, err := s.seal(&envelope{sender: "g1", incarnation: 7, sequence: 9, sections: []section{{membershipSection, []byte("abc")}, {healthReportSection, nil}}})
	if err != nil {
		t.Fatal(err)
	}
	flipped := func(index int) []byte {
		changed := append([]byte(nil), datagram...)
		changed[index] ^= 4
		return changed
	}
	for _, c := range []struct {
		name     string
		opener   *sealer
		datagram []byte
		expected error
	}{
		{"another key", newTestSealer(t, otherKey), datagram, errWrongKey},
		{"another version", s, flipped(0), errOtherVersion},
		{"a flipped bit of the nonce", s, flipped(5), errWrongKey},
		{"a flipped bit of what is sealed", s, flipped(len(datagram) - 20), errWrongKey},
		{"cut short", s, datagram[:30], errMalformed},
		{"empty", s, nil, errMalformed},
		{"too long", s, make([]byte, maxDatagramBytes+1), errMalformed},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := c.opener.open(c.datagram); !errors.Is(err, c.expected) {
				t.Errorf("expected %v, found %v", c.expected, err)
			}
		})
	}
}

func TestMissingKeyFileIsAnError(t *testing.T) {
	if _, err := readKey(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("expected an error, found none")
	}
}

// Each sequence number of a process is accepted once, in whatever order they arrive, and none of an earlier process is.
func TestReplayWindowAcceptsEachNumberOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var window replayWindow
		accepted := map[uint64]bool{}
		highest := uint64(0)
		for _, number := range rapid.SliceOfN(rapid.Uint64Range(1, 200), 1, 60).Draw(t, "numbers") {
			ok := window.accept(5, number)
			if ok && accepted[number] {
				t.Fatalf("%d was accepted twice", number)
			}
			if !ok && !accepted[number] && number+replayWindowBits > highest {
				t.Fatalf("%d is new and within the window of %d, and was rejected", number, replayWindowBits)
			}
			accepted[number] = accepted[number] || ok
			highest = max(highest, number)
		}
		if window.accept(4, 1000) || !window.accept(6, 1) || window.accept(5, 1000) {
			t.Fatal("an earlier process was accepted, or a later one was not")
		}
	})
}

func FuzzOpen(f *testing.F) {
	s := newTestSealer(f, ownKey)
	datagram, err := s.seal(&envelope{sender: "g1", incarnation: 7, sequence: 9, sections: []section{{membershipSection, []byte("abc")}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(datagram)
	f.Fuzz(func(t *testing.T, datagram []byte) {
		if opened, err := s.open(datagram); (opened == nil) == (err == nil) {
			t.Fatal("expected either an envelope or an error")
		}
	})
}

func BenchmarkDatagram(b *testing.B) {
	s := newTestSealer(b, ownKey)
	e := &envelope{sender: "g1", incarnation: 7, sequence: 9, sections: []section{{healthReportSection, make([]byte, 200)}}}
	b.ReportAllocs()
	for b.Loop() {
		d, _ := s.seal(e)
		if _, err := s.open(d); err != nil {
			b.Fatal(err)
		}
	}
}
