package store_test

import (
	"errors"
	"flag"
	"fmt"
	"math/rand"
	"strings"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"magpiebank/internal/storage/faultfs"
	"magpiebank/internal/storage/store"
)

func key(n int) (k store.Key) {
	copy(k[:], fmt.Sprintf("%016x", n))
	return k
}

// small limits, so that a short run has segments begun, rewritten and removed.
var small = store.Limits{SegmentBytes: 600, MaxBytes: 1 << 20, CompactionInterval: 1}

// kept is what a store must have: of each key the last value that was said to survive, or one that was written after it.
type kept struct {
	values map[store.Key][]string // written since, and with the one said to survive; "" is deleted
}

func (k *kept) wrote(key store.Key, value string) {
	if k.values[key] == nil {
		k.values[key] = []string{""} // it had none before
	}
	k.values[key] = append(k.values[key], value)
}

// survives notes that the last value written of a key does.
func (k *kept) survives(key store.Key) {
	v := k.values[key]
	k.values[key] = v[len(v)-1:]
}

// check opens what is left of a folder and holds it against what must be there.
func (k *kept) check(f *faultfs.Folder) error {
	got := map[store.Key]string{}
	s, _, err := store.Open(f, "g1", small, func(key store.Key, value []byte, gone bool) {
		if got[key] = string(value); gone {
			delete(got, key)
		}
	})
	if err != nil {
		return err
	}
	defer s.Close()
	for key, may := range k.values {
		ok := false
		for _, v := range may {
			ok = ok || got[key] == v
		}
		if !ok {
			return fmt.Errorf("%s has %q, expected one of %q", key, got[key], may)
		}
		value, there, err := s.Get(key)
		if err != nil || string(value) != got[key] || there != (got[key] != "") {
			return fmt.Errorf("%s is told as %q and read as %q, %v", key, got[key], value, err)
		}
	}
	return nil
}

// work writes and deletes until an operation fails, or it is through.
func work(f *faultfs.Folder, k *kept, steps int) error {
	s, _, err := store.Open(f, "g1", small, func(store.Key, []byte, bool) {})
	if err != nil {
		return err
	}
	defer s.Close()
	r := rand.New(rand.NewSource(3))
	for n := range steps {
		id := key(r.Intn(6))
		done := make(chan error, 1)
		switch {
		case n%5 == 3:
			k.wrote(id, "")
			s.Delete(id, func(err error) { done <- err })
		case n%7 == 6: // nobody waits
			k.wrote(id, fmt.Sprintf("lazy %d", n))
			s.Put(id, []byte(fmt.Sprintf("lazy %d", n)), nil)
			continue
		default:
			v := fmt.Sprintf("value %d %0*d", n, 20+n%50, 0)
			k.wrote(id, v)
			s.Put(id, []byte(v), func(err error) { done <- err })
		}
		if err := <-done; err != nil {
			return err
		}
		k.survives(id)
		if n%9 == 8 { // time for the oldest segment to be rewritten
			time.Sleep(time.Millisecond)
		}
	}
	return nil
}

// crashes loses power at every operation of a run, in every way up to a bound, opens what is left, loses power again at
// every operation of that, and returns how many states it has seen and the first that is not right.
func crashes(steps, most int, lies func(n int, what string) bool) (states int, bad error) {
	for at := 0; bad == nil; at++ {
		k := &kept{values: map[store.Key][]string{}}
		f := &faultfs.Folder{SyncLies: lies}
		f.BeforeOperation = func(n int, _ string) error {
			if n >= at {
				return faultfs.ErrPowerLost
			}
			return nil
		}
		err := work(f, k, steps)
		states += f.ForEachCrashState(most, int64(at), func(left *faultfs.Folder) {
			if bad != nil {
				return
			}
			if err := k.check(left); err != nil {
				bad = fmt.Errorf("power lost at operation %d: %w", at, err)
			}
		})
		// Again while it recovers.
		for again := 0; bad == nil && again < 8; again++ {
			left := f.AfterPowerLoss(func(part int) bool { return part%2 == again%2 }, -1)
			left.SyncLies = lies
			left.BeforeOperation = func(n int, _ string) error {
				if n >= again {
					return faultfs.ErrPowerLost
				}
				return nil
			}
			k.check(left)
			states += left.ForEachCrashState(most, int64(again), func(second *faultfs.Folder) {
				if err := k.check(second); err != nil && bad == nil {
					bad = fmt.Errorf("power lost at operation %d, and at operation %d of the recovery: %w", at, again, err)
				}
			})
		}
		if err == nil && f.Operations < at {
			return states, bad
		}
	}
	return states, bad
}

func TestCrashes(t *testing.T) {
	states, bad := crashes(45, 4, nil)
	t.Logf("%d states", states)
	if bad != nil {
		t.Error(bad)
	}
}

// The test above finds a store that doesn't have names survive, and one that doesn't have the log survive.
func TestPlanted(t *testing.T) {
	n := 0
	for name, lies := range map[string]func(n int, what string) bool{
		"no sync at all":            func(int, string) bool { return true },
		"every third sync":          func(int, string) bool { n++; return n%3 == 0 },
		"names never":               func(_ int, what string) bool { return what == "sync names" },
		"the log never":             func(_ int, what string) bool { return strings.HasSuffix(what, ".log") },
		"the log from some time on": func(n int, what string) bool { return n > 60 && strings.HasSuffix(what, ".log") },
		"the manifest never":        func(_ int, what string) bool { return what == "sync manifest.new" },
	} {
		if _, bad := crashes(45, 3, lies); bad == nil {
			t.Errorf("%s: nothing was found", name)
		} else {
			t.Logf("%s: %v", name, bad)
		}
	}
}

// recorded is a run's folder, with the values that hold after each record.
func recorded(t *testing.T) *faultfs.Folder {
	f := &faultfs.Folder{}
	if err := work(f, &kept{values: map[store.Key][]string{}}, 30); err != nil {
		t.Fatal(err)
	}
	return f
}

func copyOf(f *faultfs.Folder) *faultfs.Folder {
	return f.AfterPowerLoss(func(int) bool { return true }, -1)
}

// Cut at any byte the last segment is either read up to a whole record, or, as the store was closed in order and records
// are missing, refused. A bit flipped anywhere in the log is refused, or is in what nobody reads.
func TestEveryByte(t *testing.T) {
	f := recorded(t)
	names, _ := f.Names()
	cut, flipped, read := 0, 0, 0
	for _, name := range names {
		b := f.Contents(name)
		for at := range b {
			g := copyOf(f)
			g.SetFile(name, b[:at])
			if _, _, err := store.Open(g, "g1", small, func(store.Key, []byte, bool) {}); err == nil {
				t.Fatalf("%s cut to %d bytes was read, though it was closed in order", name, at)
			}
			cut++
			g = copyOf(f)
			g.FlipBit(name, int64(at), uint(at%8))
			s, _, err := store.Open(g, "g1", small, func(store.Key, []byte, bool) {})
			if err == nil {
				read++
				s.Close()
				t.Errorf("%s with byte %d changed was read", name, at)
				continue
			}
			var d *store.CorruptionError
			if !errors.As(err, &d) {
				t.Fatalf("%s with byte %d changed: %v", name, at, err)
			}
			flipped++
		}
	}
	t.Logf("%d cuts, %d flips refused, %d read", cut, flipped, read)
}

// A hole before what is known to survive is refused with its place, and nothing is changed.
func TestHole(t *testing.T) {
	f := recorded(t)
	names, _ := f.Names()
	last := names[len(names)-2] // before the manifest
	before := f.Contents(last)
	f.FlipBit(last, 60, 1)
	_, _, err := store.Open(f, "g1", small, func(store.Key, []byte, bool) {})
	var d *store.CorruptionError
	if !errors.As(err, &d) || d.File != last || d.Offset != 48 {
		t.Errorf("%v", err)
	}
	if len(f.Contents(last)) != len(before) {
		t.Error("it was cut")
	}
	f.FlipBit(last, 60, 1)
	if s, _, err := store.Open(f, "g2", small, func(store.Key, []byte, bool) {}); err == nil {
		s.Close()
		t.Error("another gateway took the folder")
	}
	s, _, err := store.Open(f, "g1", small, func(store.Key, []byte, bool) {})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := store.Open(f, "g1", small, nil); !errors.Is(err, store.ErrLocked) {
		t.Errorf("opened twice: %v", err)
	}
	s.Close()
}

// Repair says what must be lost, changes nothing without being told to, loses just that, and keeps the files.
func TestRepair(t *testing.T) {
	f := recorded(t)
	names, _ := f.Names()
	first := names[0]
	before := f.Contents(first)
	f.FlipBit(first, 48+3, 1) // the first record of the first segment
	lost, err := store.Repair(f, false)
	if err != nil || len(lost) != len(names)-1 || len(f.Contents(first)) != len(before) {
		t.Errorf("%q, %v", lost, err)
	}
	if lost, err = store.Repair(f, true); err != nil || len(f.Contents(first)) != 48 || len(f.Contents(first+".lost")) != len(before) {
		t.Errorf("%q, %v; %d bytes", lost, err, len(f.Contents(first)))
	}
	got := 0
	s, _, err := store.Open(f, "g1", small, func(store.Key, []byte, bool) { got++ })
	if err != nil || got != 0 {
		t.Fatal(got, err)
	}
	s.Close()
	if lost, err = store.Repair(f, true); err != nil || len(lost) != 0 {
		t.Errorf("sound again: %q, %v", lost, err)
	}
}

// After a sync that failed nothing is taken any more, and what was not said to survive is not claimed to.
func TestFailedSync(t *testing.T) {
	f := &faultfs.Folder{}
	s, _, err := store.Open(f, "g1", store.Limits{}, func(store.Key, []byte, bool) {})
	if err != nil {
		t.Fatal(err)
	}
	put := func(n int) error {
		done := make(chan error, 1)
		s.Put(key(n), []byte("x"), func(err error) { done <- err })
		return <-done
	}
	if err := put(1); err != nil {
		t.Fatal(err)
	}
	failing := true
	f.BeforeOperation = func(_ int, what string) error {
		if failing && what[:4] == "sync" {
			failing = false
			return syscall.EIO
		}
		return nil
	}
	var failed *store.FailedError
	if err := put(2); !errors.As(err, &failed) || !errors.Is(err, syscall.EIO) {
		t.Errorf("%v", err)
	}
	if err := put(3); !errors.As(err, &failed) {
		t.Errorf("%v", err)
	}
	if s.Err() == nil || s.Close() == nil {
		t.Error("it goes on as if nothing had happened")
	}
	if n, _ := f.Names(); len(n) != 2 {
		t.Errorf("%v", n)
	}
}

// A disk that stands still holds nobody up who doesn't wait for it, and what waits for it is bounded.
func TestBehind(t *testing.T) {
	f := &faultfs.Folder{}
	begun, through := make(chan bool, 1000), make(chan bool)
	s, _, err := store.Open(f, "g1", store.Limits{}, func(store.Key, []byte, bool) {})
	if err != nil {
		t.Fatal(err)
	}
	f.BeforeOperation = func(_ int, what string) error {
		if strings.HasPrefix(what, "sync ") {
			begun <- true
			<-through
		}
		return nil
	}
	first := make(chan error, 1)
	s.Put(key(0), []byte("x"), func(err error) { first <- err })
	<-begun
	for n := range 70000 {
		s.Put(key(1+n%100), []byte("x"), nil)
	}
	if c := s.Counts(); c.Refused != 70000-1<<16 {
		t.Errorf("%d refused", c.Refused)
	}
	late := make(chan error, 1)
	s.Put(key(1), []byte("y"), func(err error) { late <- err })
	if err := <-late; !errors.Is(err, store.ErrBacklogFull) {
		t.Errorf("%v", err)
	}
	close(through)
	if err := <-first; err != nil {
		t.Error(err)
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}

// A full disk refuses what finds no room and takes the rest; so does the store's own bound, which deletions may pass.
func TestFull(t *testing.T) {
	f := &faultfs.Folder{}
	full, part := false, 0
	f.BeforeOperation = func(_ int, what string) error {
		if full && (what[:5] == "write" || what[:6] == "create") {
			return syscall.ENOSPC
		}
		return nil
	}
	f.ShortWrite = func(int) int { part += 7; return part }
	limits := store.Limits{SegmentBytes: 2000, MaxBytes: 6000}
	s, _, err := store.Open(f, "g1", limits, func(store.Key, []byte, bool) {})
	if err != nil {
		t.Fatal(err)
	}
	wait := func(do func(done func(error))) error {
		done := make(chan error, 1)
		do(func(err error) { done <- err })
		return <-done
	}
	put := func(n int) error {
		return wait(func(done func(error)) { s.Put(key(n), make([]byte, 100), done) })
	}
	for n := range 30 {
		if full = n%3 == 1; (put(n) != nil) != full {
			t.Fatalf("write %d with a full disk %t", n, full)
		}
	}
	full = false
	n := 30
	for ; n < 100 && put(n) == nil; n++ {
	}
	if err := put(n); !errors.Is(err, store.ErrFull) || n > 60 {
		t.Errorf("%d written, then %v", n, err)
	}
	for k := range n {
		if err := wait(func(done func(error)) { s.Delete(key(k), done) }); err != nil {
			t.Fatalf("deletion %d: %v", k, err)
		}
	}
	for by := time.Now().Add(5 * time.Second); put(200) != nil; time.Sleep(10 * time.Millisecond) { // until room is made
		if time.Now().After(by) {
			t.Fatal("no room was made")
		}
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	got := 0
	s, _, err = store.Open(f, "g1", limits, func(k store.Key, _ []byte, gone bool) {
		if got++; !gone && k != key(200) {
			got += 1000 // was deleted, and what said so must still be there
		} else if gone {
			got -= 1
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, keys := s.Size(); keys != 1 {
		t.Errorf("%d keys", keys)
	}
	s.Close()
}

// Writers that come together share a sync.
func TestGroups(t *testing.T) {
	d, err := store.CreateFolder(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	s, _, err := store.Open(d, "g1", store.Limits{}, func(store.Key, []byte, bool) {})
	if err != nil {
		t.Fatal(err)
	}
	const writers, each = 32, 20
	done := make(chan error)
	for w := range writers {
		go func() {
			for n := range each {
				one := make(chan error, 1)
				s.Put(key(w*each+n), []byte("value"), func(err error) { one <- err })
				if err := <-one; err != nil {
					done <- err
					return
				}
			}
			done <- nil
		}()
	}
	for range writers {
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	if c := s.Counts(); c.Writes != writers*each || c.Syncs > c.Writes/4 {
		t.Errorf("%+v", c)
	}
	s.Close()
	n := 0
	if s, _, err = store.Open(d, "g1", store.Limits{}, func(store.Key, []byte, bool) { n++ }); err != nil || n != writers*each {
		t.Fatal(n, err)
	}
	s.Close()
}

// Against a map: write, delete, lose power, open again, in any order.
func TestModel(t *testing.T) {
	flag.Set("rapid.seed", "11")
	rapid.Check(t, func(t *rapid.T) {
		f := &faultfs.Folder{}
		k := &kept{values: map[store.Key][]string{}}
		open := func() *store.Store {
			if err := k.check(f); err != nil {
				t.Fatal(err)
			}
			s, _, err := store.Open(f, "g1", small, func(store.Key, []byte, bool) {})
			if err != nil {
				t.Fatal(err)
			}
			return s
		}
		s := open()
		n := 0
		do := func(id store.Key, value string, wait bool) {
			k.wrote(id, value)
			var told chan error
			var done func(error)
			if wait {
				told = make(chan error, 1)
				done = func(err error) { told <- err }
			}
			if value == "" {
				s.Delete(id, done)
			} else {
				s.Put(id, []byte(value), done)
			}
			if wait {
				if err := <-told; err != nil {
					t.Fatal(err)
				}
				k.survives(id)
			}
		}
		ids := rapid.IntRange(0, 20)
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				n++
				do(key(ids.Draw(t, "id")), fmt.Sprintf("%d %0*d", n, rapid.IntRange(1, 200).Draw(t, "size"), 0), rapid.Bool().Draw(t, "wait"))
			},
			"delete": func(t *rapid.T) { do(key(ids.Draw(t, "id")), "", rapid.Bool().Draw(t, "wait")) },
			"close": func(t *rapid.T) {
				if err := s.Close(); err != nil {
					t.Fatal(err)
				}
				for id := range k.values {
					k.survives(id)
				}
				s = open()
			},
			"lose power": func(t *rapid.T) {
				bits := rapid.Uint64().Draw(t, "kept")
				left := f.AfterPowerLoss(func(part int) bool { return bits>>(part%64)&1 == 1 }, rapid.IntRange(-1, 500).Draw(t, "tear"))
				old := s
				f = left
				s = open()
				old.Close()
				for id := range k.values { // what is there now is what there is
					value, _, err := s.Get(id)
					if err != nil {
						t.Fatal(err)
					}
					k.values[id] = []string{string(value)}
				}
			},
		})
		s.Close()
	})
}
