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

func key(t testing.TB, digits string) *seal {
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
	b, err := s.close(&letter{name: "g1", start: 7, number: 9, parts: []part{{partMembers, []byte("abc")}, {partJudgement, nil}}})
	if err != nil {
		t.Fatal(err)
	}
	l, err := s.open(b)
	if err != nil || l.name != "g1" || l.start != 7 || l.number != 9 || len(l.parts) != 2 || string(l.parts[0].bytes) != "abc" {
		t.Errorf("%v %+v", err, l)
	}
	turned := func(i int) []byte {
		c := append([]byte(nil), b...)
		c[i] ^= 4
		return c
	}
	for _, c := range []struct {
		what string
		by   *seal
		b    []byte
		want error
	}{
		{"another key", key(t, theirs), b, errStranger},
		{"another version", s, turned(0), errOther},
		{"a bit of the nonce", s, turned(5), errStranger},
		{"a bit of what is sealed", s, turned(len(b) - 20), errStranger},
		{"cut short", s, b[:30], errBroken},
		{"nothing", s, nil, errBroken},
		{"too long", s, make([]byte, mostDatagram+1), errBroken},
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
		var s seen
		came := map[uint64]bool{}
		top := uint64(0)
		for _, n := range rapid.SliceOfN(rapid.Uint64Range(1, 200), 1, 60).Draw(t, "numbers") {
			fresh := s.fresh(5, n)
			if fresh && came[n] {
				t.Fatalf("%d counted twice", n)
			}
			if !fresh && !came[n] && n+64 > top {
				t.Fatalf("%d is new, and not %d old, and was dropped", n, 64)
			}
			came[n] = came[n] || fresh
			top = max(top, n)
		}
		if s.fresh(4, 1000) || !s.fresh(6, 1) || s.fresh(5, 1000) {
			t.Fatal("an earlier process counted, or a later one didn't")
		}
	})
}

func FuzzOpen(f *testing.F) {
	s := key(f, ours)
	b, _ := s.close(&letter{name: "g1", start: 7, number: 9, parts: []part{{partMembers, []byte("abc")}}})
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		if l, err := s.open(b); (l == nil) == (err == nil) {
			t.Fatal("neither a letter nor an error")
		}
	})
}

func BenchmarkDatagram(b *testing.B) {
	s := key(b, ours)
	l := &letter{name: "g1", start: 7, number: 9, parts: []part{{partJudgement, make([]byte, 200)}}}
	b.ReportAllocs()
	for b.Loop() {
		d, _ := s.close(l)
		if _, err := s.open(d); err != nil {
			b.Fatal(err)
		}
	}
}
