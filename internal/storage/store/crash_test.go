package store_test

import (
	"flag"
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"magpiebank/internal/storage/faultfs"
	"magpiebank/internal/storage/store"
)

// smallLimits have a short run start, compact and remove segments.
var smallLimits = store.Limits{SegmentBytes: 600, MaxBytes: 1 << 20, CompactionInterval: 1}

// expectation is what a store must have: of each key a value that was written after the last durable one, or that one.
type expectation struct {
	allowed map[store.Key][]string // the last durable value and those written since, in order; "" is a deletion
}

func (e *expectation) noteWritten(key store.Key, value string) {
	if e.allowed[key] == nil {
		e.allowed[key] = []string{""} // it had none before
	}
	e.allowed[key] = append(e.allowed[key], value)
}

// noteDurable notes that the last value written of a key is durable.
func (e *expectation) noteDurable(key store.Key) {
	allowed := e.allowed[key]
	e.allowed[key] = allowed[len(allowed)-1:]
}

// check opens a folder after a power loss and compares it with the expectation.
func (e *expectation) check(folder *faultfs.Folder) error {
	got := map[store.Key]string{}
	s, _, err := store.Open(folder, "g1", smallLimits, func(key store.Key, value []byte, deleted bool) {
		got[key] = string(value)
		if deleted {
			delete(got, key)
		}
	})
	if err != nil {
		return err
	}
	defer s.Close()
	for key, allowed := range e.allowed {
		ok := false
		for _, v := range allowed {
			ok = ok || got[key] == v
		}
		if !ok {
			return fmt.Errorf("%s has %q, expected one of %q", key, got[key], allowed)
		}
		value, present, err := s.Get(key)
		if err != nil || string(value) != got[key] || present != (got[key] != "") {
			return fmt.Errorf("%s is told as %q and read as %q, %v", key, got[key], value, err)
		}
	}
	return nil
}

// runWorkload writes and deletes until an operation fails or all steps are done.
func runWorkload(folder *faultfs.Folder, expected *expectation, steps int) error {
	s, _, err := store.Open(folder, "g1", smallLimits, func(store.Key, []byte, bool) {})
	if err != nil {
		return err
	}
	defer s.Close()
	random := rand.New(rand.NewSource(3))
	for n := range steps {
		id := key(random.Intn(6))
		done := make(chan error, 1)
		switch {
		case n%5 == 3:
			expected.noteWritten(id, "")
			s.Delete(id, func(err error) { done <- err })
		case n%7 == 6: // nobody waits
			expected.noteWritten(id, fmt.Sprintf("lazy %d", n))
			s.Put(id, []byte(fmt.Sprintf("lazy %d", n)), nil)
			continue
		default:
			value := fmt.Sprintf("value %d %0*d", n, 20+n%50, 0)
			expected.noteWritten(id, value)
			s.Put(id, []byte(value), func(err error) { done <- err })
		}
		if err := <-done; err != nil {
			return err
		}
		expected.noteDurable(id)
		if n%9 == 8 { // so that the oldest segment is compacted
			time.Sleep(time.Millisecond)
		}
	}
	return nil
}

// exploreCrashes loses power at each operation of a workload, and once more at each of the first eight operations of the
// recovery. It checks the crash states that faultfs.Folder.ForEachCrashState explores with the bound maxExhaustive, and
// returns their number and the first error.
func exploreCrashes(steps, maxExhaustive int, syncLies func(n int, what string) bool) (states int, firstErr error) {
	for operation := 0; firstErr == nil; operation++ {
		expected := &expectation{allowed: map[store.Key][]string{}}
		folder := &faultfs.Folder{SyncLies: syncLies}
		folder.BeforeOperation = func(n int, _ string) error {
			if n >= operation {
				return faultfs.ErrPowerLost
			}
			return nil
		}
		err := runWorkload(folder, expected, steps)
		states += folder.ForEachCrashState(maxExhaustive, int64(operation), func(left *faultfs.Folder) {
			if firstErr != nil {
				return
			}
			if err := expected.check(left); err != nil {
				firstErr = fmt.Errorf("power lost at operation %d: %w", operation, err)
			}
		})
		// Again while it recovers.
		for recoveryOperation := 0; firstErr == nil && recoveryOperation < 8; recoveryOperation++ {
			left := folder.AfterPowerLoss(func(part int) bool { return part%2 == recoveryOperation%2 }, -1)
			left.SyncLies = syncLies
			left.BeforeOperation = func(n int, _ string) error {
				if n >= recoveryOperation {
					return faultfs.ErrPowerLost
				}
				return nil
			}
			expected.check(left)
			states += left.ForEachCrashState(maxExhaustive, int64(recoveryOperation), func(second *faultfs.Folder) {
				if err := expected.check(second); err != nil && firstErr == nil {
					firstErr = fmt.Errorf("power lost at operation %d, and at operation %d of the recovery: %w", operation, recoveryOperation, err)
				}
			})
		}
		if err == nil && folder.Operations < operation {
			return states, firstErr
		}
	}
	return states, firstErr
}

func TestRecoveryAfterPowerLoss(t *testing.T) {
	states, err := exploreCrashes(45, 4, nil)
	t.Logf("%d states", states)
	if err != nil {
		t.Error(err)
	}
}

// Exploring crashes finds syncs of names, log or manifest that are missing.
func TestLyingSyncsAreFound(t *testing.T) {
	syncs := 0
	for name, syncLies := range map[string]func(syncs int, what string) bool{
		"no sync at all":            func(int, string) bool { return true },
		"every third sync":          func(int, string) bool { syncs++; return syncs%3 == 0 },
		"names never":               func(_ int, what string) bool { return what == "sync names" },
		"the log never":             func(_ int, what string) bool { return strings.HasSuffix(what, ".log") },
		"the log from some time on": func(syncs int, what string) bool { return syncs > 60 && strings.HasSuffix(what, ".log") },
		"the manifest never":        func(_ int, what string) bool { return what == "sync manifest.new" },
	} {
		t.Run(name, func(t *testing.T) {
			_, err := exploreCrashes(45, 3, syncLies)
			if err == nil {
				t.Fatal("nothing was found")
			}
			t.Log(err)
		})
	}
}

// The store has what a map has after writes, deletions, power losses and restarts in any order.
func TestStoreAgainstModel(t *testing.T) {
	flag.Set("rapid.seed", "11")
	rapid.Check(t, func(t *rapid.T) {
		folder := &faultfs.Folder{}
		expected := &expectation{allowed: map[store.Key][]string{}}
		open := func() *store.Store {
			if err := expected.check(folder); err != nil {
				t.Fatal(err)
			}
			s, _, err := store.Open(folder, "g1", smallLimits, func(store.Key, []byte, bool) {})
			if err != nil {
				t.Fatal(err)
			}
			return s
		}
		s := open()
		n := 0
		do := func(id store.Key, value string, wait bool) {
			expected.noteWritten(id, value)
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
				expected.noteDurable(id)
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
				for id := range expected.allowed {
					expected.noteDurable(id)
				}
				s = open()
			},
			"lose power": func(t *rapid.T) {
				bits := rapid.Uint64().Draw(t, "kept")
				left := folder.AfterPowerLoss(func(part int) bool { return bits>>(part%64)&1 == 1 }, rapid.IntRange(-1, 500).Draw(t, "tear"))
				old := s
				folder = left
				s = open()
				old.Close()
				for id := range expected.allowed { // what is there now is what there is
					value, _, err := s.Get(id)
					if err != nil {
						t.Fatal(err)
					}
					expected.allowed[id] = []string{string(value)}
				}
			},
		})
		s.Close()
	})
}
