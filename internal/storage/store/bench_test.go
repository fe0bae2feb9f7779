package store_test

import (
	"encoding/binary"
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"magpiebank/internal/storage/store"
)

// measureCommits calls commit about b.N times from the given number of concurrent writers, each of which waits for its previous call.
// It reports the commits per second and the 99th percentile of their latency.
func measureCommits(b *testing.B, writers int, commit func(n int) error) {
	b.Helper()
	commitsPerWriter := max(1, b.N/writers)
	allLatencies := make([]time.Duration, 0, commitsPerWriter*writers)
	var mu sync.Mutex
	var running sync.WaitGroup
	began := time.Now()
	for w := range writers {
		running.Add(1)
		go func() {
			defer running.Done()
			latencies := make([]time.Duration, commitsPerWriter)
			for n := range commitsPerWriter {
				start := time.Now()
				if err := commit(w*commitsPerWriter + n); err != nil {
					b.Error(err)
					return
				}
				latencies[n] = time.Since(start)
			}
			mu.Lock()
			allLatencies = append(allLatencies, latencies...)
			mu.Unlock()
		}()
	}
	running.Wait()
	duration := time.Since(began)
	slices.Sort(allLatencies)
	if len(allLatencies) > 0 {
		b.ReportMetric(float64(len(allLatencies))/duration.Seconds(), "commits/s")
		b.ReportMetric(float64(allLatencies[len(allLatencies)*99/100].Microseconds()), "us-p99")
	}
}

func BenchmarkCommits(b *testing.B) {
	for _, writers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("ours-%d", writers), func(b *testing.B) { benchmarkStore(b, writers) })
		b.Run(fmt.Sprintf("bbolt-%d", writers), func(b *testing.B) { benchmarkBolt(b, writers) })
	}
}

func benchmarkStore(b *testing.B, writers int) {
	b.Helper()
	folder, err := store.CreateFolder(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	s, _, err := store.Open(folder, "g1", store.Limits{MaxBytes: 1 << 30}, func(store.Key, []byte, bool) {})
	if err != nil {
		b.Fatal(err)
	}
	measureCommits(b, writers, func(n int) error {
		done := make(chan error, 1)
		s.Put(key(n), make([]byte, 100), func(err error) { done <- err })
		return <-done
	})
	c := s.Counts()
	b.ReportMetric(float64(c.Bytes)/float64(c.Writes*116), "bytes/kept")
	closeStore(b, s)
}

func benchmarkBolt(b *testing.B, writers int) {
	b.Helper()
	db, err := bbolt.Open(filepath.Join(b.TempDir(), "db"), 0o600, nil)
	if err != nil {
		b.Fatal(err)
	}
	defer func() {
		if err := db.Close(); err != nil {
			b.Error(err)
		}
	}()
	name := []byte("tasks")
	err = db.Update(func(tx *bbolt.Tx) error {
		_, err := tx.CreateBucket(name)
		return err
	})
	if err != nil {
		b.Fatal(err)
	}
	put := func(n int) func(tx *bbolt.Tx) error {
		return func(tx *bbolt.Tx) error {
			k := key(n)
			return tx.Bucket(name).Put(k[:], make([]byte, 100))
		}
	}
	measureCommits(b, writers, func(n int) error {
		if writers == 1 {
			return db.Update(put(n))
		}
		return db.Batch(put(n))
	})
	stats := db.Stats()
	b.ReportMetric(float64(stats.TxStats.GetPageAlloc())/float64(max(1, b.N)*116), "bytes/kept")
}

// BenchmarkRecovery measures how long it takes to open a log of a million live records.
func BenchmarkRecovery(b *testing.B) {
	folder := b.TempDir()
	d, err := store.CreateFolder(folder)
	if err != nil {
		b.Fatal(err)
	}
	limits := store.Limits{MaxBytes: 1 << 30, SegmentBytes: 64 << 20}
	s, _, err := store.Open(d, "g1", limits, func(store.Key, []byte, bool) {})
	if err != nil {
		b.Fatal(err)
	}
	const million = 1000000
	value := binary.LittleEndian.AppendUint64(make([]byte, 0, 60), 7)[:60]
	for n := range million {
		s.Put(key(n), value, nil)
	}
	if err := s.Close(); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		s, found, err := store.Open(d, "g1", limits, func(store.Key, []byte, bool) {})
		if err != nil || found.LiveKeys != million {
			b.Fatal(found, err)
		}
		b.ReportMetric(float64(found.Duration.Milliseconds()), "ms/million")
		closeStore(b, s)
	}
}
