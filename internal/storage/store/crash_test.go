package store_test

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"

	"magpiebank/internal/storage/faultfs"
	"magpiebank/internal/storage/store"
)

// smallLimits are so small that even a short run starts, compacts and removes segments.
var smallLimits = store.Limits{SegmentBytes: 600, MaxBytes: 1 << 20, CompactionInterval: 1}

// expectation describes the values that a store may have after a power loss: per key, the last durable value or one written later.
type expectation struct {
	allowed map[store.Key][]string // per key: the last durable value and the values written since, in order; "" means no value
}

func (e *expectation) recordWritten(key store.Key, value string) {
	if e.allowed[key] == nil {
		e.allowed[key] = []string{""} // the key had no value before
	}
	e.allowed[key] = append(e.allowed[key], value)
}

// recordDurable records that the last value written for a key is durable.
func (e *expectation) recordDurable(key store.Key) {
	allowed := e.allowed[key]
	e.allowed[key] = allowed[len(allowed)-1:]
}

// check opens the store in a folder after a power loss and compares its values with the expectation.
func (e *expectation) check(folder *faultfs.Folder) error {
	replayed := map[store.Key]string{}
	s, _, err := store.Open(folder, "g1", smallLimits, func(key store.Key, value []byte, deleted bool) {
		replayed[key] = string(value)
		if deleted {
			delete(replayed, key)
		}
	})
	if err != nil {
		return err
	}
	defer closeAfterFault(s)
	for key, allowed := range e.allowed {
		if !slices.Contains(allowed, replayed[key]) {
			return fmt.Errorf("%s has %q, expected one of %q", key, replayed[key], allowed)
		}
		value, present, err := s.Get(key)
		if err != nil {
			return fmt.Errorf("%s is replayed as %q, but can't be read: %w", key, replayed[key], err)
		}
		if string(value) != replayed[key] || present != (replayed[key] != "") {
			return fmt.Errorf("%s is replayed as %q, but read as %q", key, replayed[key], value)
		}
	}
	return nil
}

// runWorkload writes and deletes values, and stops after the given number of operations or at the first error.
func runWorkload(folder *faultfs.Folder, expected *expectation, operations int) error {
	s, _, err := store.Open(folder, "g1", smallLimits, func(store.Key, []byte, bool) {})
	if err != nil {
		return err
	}
	defer closeAfterFault(s)
	random := rand.New(rand.NewSource(3))
	for n := range operations {
		id := key(random.Intn(6))
		done := make(chan error, 1)
		switch {
		case n%5 == 3:
			expected.recordWritten(id, "")
			s.Delete(id, func(err error) { done <- err })
		case n%7 == 6: // a write without a callback
			expected.recordWritten(id, fmt.Sprintf("lazy %d", n))
			s.Put(id, []byte(fmt.Sprintf("lazy %d", n)), nil)
			continue
		default:
			value := fmt.Sprintf("value %d %0*d", n, 20+n%50, 0)
			expected.recordWritten(id, value)
			s.Put(id, []byte(value), func(err error) { done <- err })
		}
		if err := <-done; err != nil {
			return err
		}
		expected.recordDurable(id)
		if n%9 == 8 { // gives the store time to compact the oldest segment
			time.Sleep(time.Millisecond)
		}
	}
	return nil
}

// closeAfterFault closes a store that an injected fault may have failed, and ignores the error.
func closeAfterFault(s *store.Store) { _ = s.Close() }

// crashExplorer checks the states in which power losses leave a folder.
type crashExplorer struct {
	maxExhaustive int // argument of faultfs.Folder.ForEachCrashState
	skipSync      func(n int, description string) bool
	states        int // number of states checked
	firstErr      error
}

// explore runs the workload once per operation, loses power at that operation, and then a second time at each of the first eight
// operations of the recovery. It returns when the workload ends before power is lost, or at the first error.
func (e *crashExplorer) explore(operations int) {
	for operation := 0; e.firstErr == nil; operation++ {
		expected := &expectation{allowed: map[store.Key][]string{}}
		folder := &faultfs.Folder{SkipSync: e.skipSync, BeforeOperation: faultfs.LosePowerAt(operation)}
		err := runWorkload(folder, expected, operations)
		e.checkStates(folder, expected, operation, fmt.Sprintf("power lost at operation %d", operation))
		for recoveryOperation := 0; e.firstErr == nil && recoveryOperation < 8; recoveryOperation++ {
			crashState := folder.AfterPowerLoss(func(part int) bool { return part%2 == recoveryOperation%2 }, -1)
			crashState.SkipSync = e.skipSync
			crashState.BeforeOperation = faultfs.LosePowerAt(recoveryOperation)
			_ = expected.check(crashState) // power is lost during the recovery
			e.checkStates(crashState, expected, recoveryOperation,
				fmt.Sprintf("power lost at operation %d, and at operation %d of the recovery", operation, recoveryOperation))
		}
		if err == nil && folder.Operations < operation {
			return
		}
	}
}

// checkStates checks the states in which a power loss may leave a folder.
func (e *crashExplorer) checkStates(folder *faultfs.Folder, expected *expectation, seed int, when string) {
	e.states += folder.ForEachCrashState(e.maxExhaustive, int64(seed), func(crashState *faultfs.Folder) {
		if e.firstErr != nil {
			return
		}
		if err := expected.check(crashState); err != nil {
			e.firstErr = fmt.Errorf("%s: %w", when, err)
		}
	})
}

func TestRecoveryAfterPowerLoss(t *testing.T) {
	explorer := &crashExplorer{maxExhaustive: 4}
	explorer.explore(45)
	t.Logf("%d states", explorer.states)
	if explorer.firstErr != nil {
		t.Error(explorer.firstErr)
	}
}

// The crash explorer detects if syncs of names, of the log or of the manifest are skipped.
func TestCrashExplorerDetectsSkippedSyncs(t *testing.T) {
	syncs := 0
	for name, skipSync := range map[string]func(n int, description string) bool{
		"no sync at all":            func(int, string) bool { return true },
		"every third sync":          func(int, string) bool { syncs++; return syncs%3 == 0 },
		"names never":               func(_ int, description string) bool { return description == "sync names" },
		"the log never":             func(_ int, description string) bool { return strings.HasSuffix(description, ".log") },
		"the log from some time on": func(n int, description string) bool { return n > 60 && strings.HasSuffix(description, ".log") },
		"the manifest never":        func(_ int, description string) bool { return description == "sync manifest.new" },
	} {
		t.Run(name, func(t *testing.T) {
			explorer := &crashExplorer{maxExhaustive: 3, skipSync: skipSync}
			explorer.explore(45)
			if explorer.firstErr == nil {
				t.Fatal("the explorer found no error")
			}
			t.Log(explorer.firstErr)
		})
	}
}
