package agent

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The share passes to the next process under the name only from one that has surely ended.
func TestShareHandover(t *testing.T) {
	folder := t.TempDir()
	var out strings.Builder
	start := uint64(0)
	begin := func(what, folder, name string) *shareHandover {
		s, err := openHandover(folder, name)
		if errors.Is(err, errHandoverLocked) {
			fmt.Fprintf(&out, "%s: still gone by\n", what)
			return nil
		} else if err != nil {
			t.Fatal(err)
		}
		start++
		after, err := s.beginClaim(start)
		fmt.Fprintf(&out, "%s: %d follows %v\n", what, start, after)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	file := filepath.Join(folder, handoverFileName)
	change := func(from, to string) {
		text, err := os.ReadFile(file)
		if err == nil {
			err = os.WriteFile(file, []byte(strings.Replace(string(text), from, to, 1)), 0o600) // the same file
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	s := begin("the first", folder, "g1")
	begin("a second process beside it", folder, "g1")
	copied := t.TempDir()
	if err := os.CopyFS(copied, os.DirFS(folder)); err != nil {
		t.Fatal(err)
	}
	begin("by a copy of the folder", copied, "g1").close()
	s.close()
	for range 6 {
		begin("it ended before it held the part", folder, "g1").close()
	}
	s = begin("and again", folder, "g1")
	s.confirmClaim()
	s.close()
	s = begin("it held the part", folder, "g1")
	s.release()
	s.close()
	s = begin("it left with nothing in use", folder, "g1")
	s.close()
	begin("under another name", folder, "g2").close()
	change(s.record.Boot, "before")
	begin("the machine was switched off", folder, "g2").close()
	change("}", "")
	begin("the file is cut short", folder, "g2").close()
	want := `the first: 1 follows []
a second process beside it: still gone by
by a copy of the folder: 2 follows []
it ended before it held the part: 3 follows [1]
it ended before it held the part: 4 follows [1 3]
it ended before it held the part: 5 follows [1 3 4]
it ended before it held the part: 6 follows [1 3 4 5]
it ended before it held the part: 7 follows [1 4 5 6]
it ended before it held the part: 8 follows [1 5 6 7]
and again: 9 follows [1 6 7 8]
it held the part: 10 follows [9]
it left with nothing in use: 11 follows []
under another name: 12 follows []
the machine was switched off: 13 follows []
the file is cut short: 14 follows []
`
	if out.String() != want {
		t.Errorf("found\n%s\nexpected\n%s", out.String(), want)
	}
	if _, err := openHandover(filepath.Join(file, "below"), "g1"); err == nil {
		t.Error("a folder that can't be made is taken")
	}
}
