package agent

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func writeKey(t testing.TB, path, digits string) {
	if err := os.WriteFile(path, []byte(digits+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
}

func key(t testing.TB, digits string) *sealer {
	path := filepath.Join(t.TempDir(), "key")
	writeKey(t, path, digits)
	s, err := readKey(path)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

var ours, theirs = strings.Repeat("0f", 32), strings.Repeat("a1", 32)

func TestDatagrams(t *testing.T) {
	s := key(t, ours)
	b, err := s.seal(&envelope{sender: "g1", start: 7, sequence: 9, sections: []section{{membershipSection, []byte("abc")}, {healthReportSection, nil}}})
	if err != nil {
		t.Fatal(err)
	}
	l, err := s.open(b)
	if err != nil || l.sender != "g1" || l.start != 7 || l.sequence != 9 || len(l.sections) != 2 || string(l.sections[0].payload) != "abc" {
		t.Errorf("%v %+v", err, l)
	}
	turned := func(i int) []byte {
		c := append([]byte(nil), b...)
		c[i] ^= 4
		return c
	}
	for _, c := range []struct {
		what string
		by   *sealer
		b    []byte
		want error
	}{
		{"another key", key(t, theirs), b, errWrongKey},
		{"another version", s, turned(0), errOtherVersion},
		{"a bit of the nonce", s, turned(5), errWrongKey},
		{"a bit of what is sealed", s, turned(len(b) - 20), errWrongKey},
		{"cut short", s, b[:30], errMalformed},
		{"nothing", s, nil, errMalformed},
		{"too long", s, make([]byte, maxDatagramBytes+1), errMalformed},
	} {
		if _, err := c.by.open(c.b); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, expected %v", c.what, err, c.want)
		}
	}
	if _, err := readKey(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("a key that isn't there was read")
	}
}

// Each number of a process counts once, in whatever order they come; those of an earlier process don't.
func TestReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s replayWindow
		came := map[uint64]bool{}
		top := uint64(0)
		for _, n := range rapid.SliceOfN(rapid.Uint64Range(1, 200), 1, 60).Draw(t, "numbers") {
			fresh := s.accept(5, n)
			if fresh && came[n] {
				t.Fatalf("%d counted twice", n)
			}
			if !fresh && !came[n] && n+64 > top {
				t.Fatalf("%d is new, and not %d old, and was dropped", n, 64)
			}
			came[n] = came[n] || fresh
			top = max(top, n)
		}
		if s.accept(4, 1000) || !s.accept(6, 1) || s.accept(5, 1000) {
			t.Fatal("an earlier process counted, or a later one didn't")
		}
	})
}

func FuzzOpen(f *testing.F) {
	s := key(f, ours)
	b, _ := s.seal(&envelope{sender: "g1", start: 7, sequence: 9, sections: []section{{membershipSection, []byte("abc")}}})
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		if l, err := s.open(b); (l == nil) == (err == nil) {
			t.Fatal("neither an envelope nor an error")
		}
	})
}

func BenchmarkDatagram(b *testing.B) {
	s := key(b, ours)
	l := &envelope{sender: "g1", start: 7, sequence: 9, sections: []section{{healthReportSection, make([]byte, 200)}}}
	b.ReportAllocs()
	for b.Loop() {
		d, _ := s.seal(l)
		if _, err := s.open(d); err != nil {
			b.Fatal(err)
		}
	}
}
