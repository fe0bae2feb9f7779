package report

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"go.etcd.io/bbolt"

	"magpiebank/internal/testbed/load/experiment"
)

// Archive stores the results of runs in one database file.
type Archive struct{ db *bbolt.DB }

// ArchivedRun is the result of a run with its number and note in the archive.
type ArchivedRun struct {
	ID     uint64             `json:"id"`
	Note   string             `json:"note"`
	Result *experiment.Result `json:"result"`
}

var runsBucket = []byte("runs")

// openTimeout limits the wait for another process that has the file open.
const openTimeout = 2 * time.Second

// OpenArchive opens an archive's file, or creates it. If another process has the file open, it waits for up to openTimeout.
func OpenArchive(path string) (*Archive, error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: openTimeout})
	if err != nil {
		return nil, fmt.Errorf("archive %s: %w", path, err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		_, err := tx.CreateBucketIfNotExists(runsBucket)
		return err
	})
	if err != nil {
		return nil, errors.Join(fmt.Errorf("archive %s: %w", path, err), db.Close())
	}
	return &Archive{db}, nil
}

// Close closes the file.
func (a *Archive) Close() error { return a.db.Close() }

// Put stores a run and returns its number.
func (a *Archive) Put(r *experiment.Result, note string) (id uint64, err error) {
	err = a.db.Update(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(runsBucket)
		id, err = bucket.NextSequence()
		if err != nil {
			return err
		}
		text, err := json.Marshal(ArchivedRun{id, note, r})
		if err != nil {
			return err
		}
		return bucket.Put(runKey(id), text)
	})
	return id, err
}

// runKey returns the database key of a run. Keys are big-endian, so they sort by number.
func runKey(id uint64) []byte { return binary.BigEndian.AppendUint64(nil, id) }

// ErrNoRun is the error for a number that no run in the archive has.
var ErrNoRun = errors.New("no such run in the archive")

// Get returns the run with a number, or an error that wraps ErrNoRun if there is none.
func (a *Archive) Get(id uint64) (run *ArchivedRun, err error) {
	err = a.db.View(func(tx *bbolt.Tx) error {
		text := tx.Bucket(runsBucket).Get(runKey(id))
		if text == nil {
			return fmt.Errorf("run %d: %w", id, ErrNoRun)
		}
		return json.Unmarshal(text, &run)
	})
	return run, err
}

// Each calls f for every run, oldest first, and stops at the first error.
func (a *Archive) Each(f func(*ArchivedRun) error) error {
	return a.db.View(func(tx *bbolt.Tx) error {
		return tx.Bucket(runsBucket).ForEach(func(_, text []byte) error {
			var run *ArchivedRun
			if err := json.Unmarshal(text, &run); err != nil {
				return err
			}
			return f(run)
		})
	})
}

// Remove deletes the run with a number, or returns an error that wraps ErrNoRun if there is none.
func (a *Archive) Remove(id uint64) error {
	return a.db.Update(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(runsBucket)
		if bucket.Get(runKey(id)) == nil {
			return fmt.Errorf("run %d: %w", id, ErrNoRun)
		}
		return bucket.Delete(runKey(id))
	})
}
