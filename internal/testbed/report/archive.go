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

// Archive keeps runs in one file.
type Archive struct{ db *bbolt.DB }

// ArchivedRun is a run with what the archive knows of it.
type ArchivedRun struct {
	ID     uint64             `json:"id"`
	Note   string             `json:"note"`
	Result *experiment.Result `json:"result"`
}

var runsBucket = []byte("runs")

// OpenArchive opens a file, or makes it.
func OpenArchive(path string) (*Archive, error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: 2 * time.Second})
	if err != nil {
		return nil, fmt.Errorf("archive %s: %w", path, err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		_, err := tx.CreateBucketIfNotExists(runsBucket)
		return err
	})
	if err != nil {
		db.Close()
		return nil, fmt.Errorf("archive %s: %w", path, err)
	}
	return &Archive{db}, nil
}

// Close closes the file.
func (a *Archive) Close() error { return a.db.Close() }

// Put keeps a run and returns its number.
func (a *Archive) Put(r *experiment.Result, note string) (id uint64, err error) {
	err = a.db.Update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(runsBucket)
		if id, err = b.NextSequence(); err != nil {
			return err
		}
		text, err := json.Marshal(ArchivedRun{id, note, r})
		if err != nil {
			return err
		}
		return b.Put(key(id), text)
	})
	return id, err
}

func key(id uint64) []byte { return binary.BigEndian.AppendUint64(nil, id) }

// ErrNoRun is a number that the archive doesn't have.
var ErrNoRun = errors.New("no such run in the archive")

// Get is one run.
func (a *Archive) Get(id uint64) (k *ArchivedRun, err error) {
	err = a.db.View(func(tx *bbolt.Tx) error {
		text := tx.Bucket(runsBucket).Get(key(id))
		if text == nil {
			return fmt.Errorf("run %d: %w", id, ErrNoRun)
		}
		return json.Unmarshal(text, &k)
	})
	return k, err
}

// Each calls f for every run, oldest first.
func (a *Archive) Each(f func(*ArchivedRun) error) error {
	return a.db.View(func(tx *bbolt.Tx) error {
		return tx.Bucket(runsBucket).ForEach(func(_, text []byte) error {
			var k *ArchivedRun
			if err := json.Unmarshal(text, &k); err != nil {
				return err
			}
			return f(k)
		})
	})
}

// Remove takes a run out.
func (a *Archive) Remove(id uint64) error {
	return a.db.Update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(runsBucket)
		if b.Get(key(id)) == nil {
			return fmt.Errorf("run %d: %w", id, ErrNoRun)
		}
		return b.Delete(key(id))
	})
}
