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

// Archive stores runs in one file.
type Archive struct{ db *bbolt.DB }

// ArchivedRun is a run with what the archive knows of it.
type ArchivedRun struct {
	ID     uint64             `json:"id"`
	Note   string             `json:"note"`
	Result *experiment.Result `json:"result"`
}

var runsBucket = []byte("runs")

// openTimeout is how long another process that has the file open is waited for.
const openTimeout = 2 * time.Second

// OpenArchive opens an archive's file, or creates it. Another process that has it open is waited for.
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

// runKey is the key of a run; keys sort by number.
func runKey(id uint64) []byte { return binary.BigEndian.AppendUint64(nil, id) }

// ErrNoRun is the error for a number that the archive doesn't have.
var ErrNoRun = errors.New("no such run in the archive")

// Get returns the run of a number, or ErrNoRun.
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

// Each calls f for every run, oldest first, up to the first error.
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

// Remove deletes the run of a number, or returns ErrNoRun.
func (a *Archive) Remove(id uint64) error {
	return a.db.Update(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(runsBucket)
		if bucket.Get(runKey(id)) == nil {
			return fmt.Errorf("run %d: %w", id, ErrNoRun)
		}
		return bucket.Delete(runKey(id))
	})
}
