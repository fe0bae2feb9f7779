package store_test

import (
	"errors"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"magpiebank/internal/storage/faultfs"
	"magpiebank/internal/storage/store"
)

func key(n int) (k store.Key) {
	copy(k[:], fmt.Sprintf("%016x", n))
	return k
}

// closeStore closes a store that has not failed.
func closeStore(tb testing.TB, s *store.Store) {
	tb.Helper()
	if err := s.Close(); err != nil {
		tb.Error(err)
	}
}

// After a failed sync, the store rejects all writes, and doesn't report a write as durable whose durability is unknown.
func TestStoreRejectsWritesAfterFailedSync(t *testing.T) {
	folder := &faultfs.Folder{}
	s, _, err := store.Open(folder, "g1", store.Limits{}, func(store.Key, []byte, bool) {})
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
	folder.BeforeOperation = func(_ int, description string) error {
		if failing && description[:4] == "sync" {
			failing = false
			return syscall.EIO
		}
		return nil
	}
	var failed *store.FailedError
	if err := put(2); !errors.As(err, &failed) || !errors.Is(err, syscall.EIO) {
		t.Errorf("expected a *FailedError with cause EIO, found %v", err)
	}
	if err := put(3); !errors.As(err, &failed) {
		t.Errorf("expected a *FailedError after the failed sync, found %v", err)
	}
	if s.Err() == nil || s.Close() == nil {
		t.Error("Err or Close returned nil after the failed sync")
	}
	if names, _ := folder.Names(); len(names) != 2 {
		t.Errorf("expected two files, found %v", names)
	}
}

// While a sync is slow, writes without a callback don't block, and the number of queued writes is limited.
func TestQueuedWritesAreLimited(t *testing.T) {
	folder := &faultfs.Folder{}
	syncBegun, finishSync := make(chan bool, 1000), make(chan bool)
	s, _, err := store.Open(folder, "g1", store.Limits{}, func(store.Key, []byte, bool) {})
	if err != nil {
		t.Fatal(err)
	}
	folder.BeforeOperation = func(_ int, description string) error {
		if strings.HasPrefix(description, "sync ") {
			syncBegun <- true
			<-finishSync
		}
		return nil
	}
	first := make(chan error, 1)
	s.Put(key(0), []byte("x"), func(err error) { first <- err })
	<-syncBegun
	for n := range 70000 {
		s.Put(key(1+n%100), []byte("x"), nil)
	}
	if c := s.Counts(); c.Rejected != 70000-1<<16 {
		t.Errorf("%d writes rejected", c.Rejected)
	}
	late := make(chan error, 1)
	s.Put(key(1), []byte("y"), func(err error) { late <- err })
	if err := <-late; !errors.Is(err, store.ErrBacklogFull) {
		t.Errorf("expected ErrBacklogFull, found %v", err)
	}
	close(finishSync)
	if err := <-first; err != nil {
		t.Error(err)
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}

// await calls write, waits until write calls done, and returns the error.
func await(write func(done func(error))) error {
	done := make(chan error, 1)
	write(func(err error) { done <- err })
	return <-done
}

func putHundredBytes(s *store.Store, n int) error {
	return await(func(done func(error)) { s.Put(key(n), make([]byte, 100), done) })
}

var tinyLimits = store.Limits{SegmentBytes: 2000, MaxBytes: 6000}

// On a full disk, the store rejects writes with an error and accepts later ones once the disk has space. The same holds when the store
// reaches MaxBytes, except that deletions may exceed it.
func TestStoreRejectsWritesWhileFull(t *testing.T) {
	folder := &faultfs.Folder{}
	diskFull, shortBytes := false, 0
	folder.BeforeOperation = func(_ int, description string) error {
		if diskFull && (description[:5] == "write" || description[:6] == "create") {
			return syscall.ENOSPC
		}
		return nil
	}
	folder.ShortWrite = func(int) int { shortBytes += 7; return shortBytes }
	s, _, err := store.Open(folder, "g1", tinyLimits, func(store.Key, []byte, bool) {})
	if err != nil {
		t.Fatal(err)
	}
	for n := range 30 {
		diskFull = n%3 == 1
		if rejected := putHundredBytes(s, n) != nil; rejected != diskFull {
			t.Fatalf("write %d must be rejected if and only if the disk is full; it is full: %t", n, diskFull)
		}
	}
	diskFull = false
	n := 30
	for n < 100 && putHundredBytes(s, n) == nil {
		n++
	}
	if err := putHundredBytes(s, n); !errors.Is(err, store.ErrFull) || n > 60 {
		t.Errorf("after %d writes (at most 60 are expected to fit), expected ErrFull, found %v", n, err)
	}
	for k := range n {
		if err := await(func(done func(error)) { s.Delete(key(k), done) }); err != nil {
			t.Fatalf("deletion %d: %v", k, err)
		}
	}
	for deadline := time.Now().Add(5 * time.Second); putHundredBytes(s, 200) != nil; time.Sleep(10 * time.Millisecond) { // until space is freed
		if time.Now().After(deadline) {
			t.Fatal("the compaction freed no space")
		}
	}
	closeStore(t, s)
	checkOnlyKey(t, folder, key(200))
}

// checkOnlyKey opens the store in a folder and checks that only one key has a value, and that the last replayed record of every other
// key is a deletion.
func checkOnlyKey(t *testing.T, folder *faultfs.Folder, only store.Key) {
	t.Helper()
	live := map[store.Key]bool{}
	s, _, err := store.Open(folder, "g1", tinyLimits, func(k store.Key, _ []byte, deleted bool) {
		live[k] = true
		if deleted {
			delete(live, k)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, keys := s.Size(); keys != 1 || len(live) != 1 || !live[only] {
		t.Errorf("the store has %d keys; %v have a value after the replay", keys, live)
	}
	closeStore(t, s)
}

// Concurrent writers share syncs: there is at most one sync per four writes.
func TestConcurrentWritersShareSyncs(t *testing.T) {
	folder, err := store.CreateFolder(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	s, _, err := store.Open(folder, "g1", store.Limits{}, func(store.Key, []byte, bool) {})
	if err != nil {
		t.Fatal(err)
	}
	const writers, writesPerWriter = 32, 20
	done := make(chan error)
	for w := range writers {
		go func() {
			for n := range writesPerWriter {
				written := make(chan error, 1)
				s.Put(key(w*writesPerWriter+n), []byte("value"), func(err error) { written <- err })
				if err := <-written; err != nil {
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
	if c := s.Counts(); c.Writes != writers*writesPerWriter || c.Syncs > c.Writes/4 {
		t.Errorf("expected at most one sync per four writes, found counts %+v", c)
	}
	closeStore(t, s)
	n := 0
	s, _, err = store.Open(folder, "g1", store.Limits{}, func(store.Key, []byte, bool) { n++ })
	if err != nil || n != writers*writesPerWriter {
		t.Fatal(n, err)
	}
	closeStore(t, s)
}

// A value that is too long and a write after Close are rejected with errors that callers can distinguish.
func TestRejectedWritesHaveTypedErrors(t *testing.T) {
	s, _, err := store.Open(&faultfs.Folder{}, "g1", store.Limits{}, func(store.Key, []byte, bool) {})
	if err != nil {
		t.Fatal(err)
	}
	put := func(value []byte) error {
		done := make(chan error, 1)
		s.Put(key(1), value, func(err error) { done <- err })
		return <-done
	}
	var size *store.ValueSizeError
	if err := put(make([]byte, 1<<16+1)); !errors.As(err, &size) || size.Bytes != 1<<16+1 {
		t.Errorf("error for a value that is too long: %v", err)
	}
	if err := put(make([]byte, 1<<16)); err != nil {
		t.Errorf("a value of the maximum size was rejected: %v", err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if err := put([]byte("x")); !errors.Is(err, store.ErrClosed) {
		t.Errorf("expected ErrClosed after Close, found %v", err)
	}
}
