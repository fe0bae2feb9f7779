package cli

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/config"
	"magpiebank/internal/router"
	"magpiebank/internal/storage/faultdisk"
	"magpiebank/internal/storage/requestjournal"
	"magpiebank/internal/storage/store"
)

const (
	// defaultStateMB equals the store's own default. It holds the records of one day at one load per second.
	defaultStateMB = 64
	minStateMB     = 16
	// requestsPerMB is the maximum number of requests in the journal per megabyte of the folder. A request's record takes about
	// 60 bytes on disk, and as many in memory, so a megabyte holds about 10,000 records. The journal keeps at most a quarter of
	// that number, so that half of the folder may consist of records that were replaced or deleted.
	requestsPerMB = 2500
)

// journalLog implements requestjournal.Log with a store. The field store is set only after the store's records have been replayed.
type journalLog struct{ store *store.Store }

func (l *journalLog) Put(key requestjournal.Key, record []byte, done func(error)) {
	l.store.Put(store.Key(key), record, done)
}

func (l *journalLog) Delete(key requestjournal.Key, done func(error)) {
	l.store.Delete(store.Key(key), done)
}

// openState opens the request journal in a folder and recovers it. If folder is empty, journal is nil. closeState closes the store.
func openState(folder string, megabytes int64, start *config.Config, log *slog.Logger) (journal *router.Journal, closeState func() error, err error) {
	if folder == "" {
		return nil, func() error { return nil }, nil
	}
	if megabytes < minStateMB {
		return nil, nil, fmt.Errorf("flag state-mb: expected at least %d, found %d", minStateMB, megabytes)
	}
	begun := time.Now()
	disk, err := store.CreateFolder(folder)
	if err != nil {
		return nil, nil, fmt.Errorf("state: %w", err)
	}
	journalLog := &journalLog{}
	requests := requestjournal.New(journalLog, journalClasses(start), int(megabytes)*requestsPerMB)
	replay := recordReplay{requests: requests, snapshot: snapshotParts{}}
	records, recovery, err := store.Open(faultdisk.WrapFolder(disk), start.Name, store.Limits{MaxBytes: megabytes << 20}, replay.handle)
	if err != nil {
		return nil, nil, fmt.Errorf("state: %s: %w", folder, err)
	}
	if replay.err != nil {
		return nil, nil, errors.Join(fmt.Errorf("state: %s: %w", folder, replay.err), records.Close())
	}
	journalLog.store = records
	snapshot, err := replay.snapshot.decode()
	if err != nil {
		log.Warn("state", "code", "cold", "error", err)
	}
	requests.Recover(admission.Time(time.Now().UnixNano() / int64(timeUnit)))
	log.Info("state", "code", "recovered", "folder", folder, "fresh", recovery.Fresh, "segments", recovery.Segments,
		"records", recovery.Records, "tasks", requests.Len(), "open", requests.Counts.Recovered,
		"may_have_run", requests.Counts.Uncertain, "cut_bytes", recovery.TornBytes, "warm", snapshot != nil, "took", time.Since(begun))
	journal = &router.Journal{Requests: requests, Err: records.Err, Snapshot: snapshot,
		SaveSnapshot: func(encoded []byte) { saveSnapshot(records, encoded) }}
	closeState = func() error {
		if err := records.Close(); err != nil {
			return fmt.Errorf("state: %s: %w", folder, err)
		}
		return nil
	}
	return journal, closeState, nil
}

// journalClasses returns the properties of the deployment's classes that the request journal needs.
func journalClasses(start *config.Config) []requestjournal.Class {
	var classes []requestjournal.Class
	for i, class := range start.Deployment.Classes {
		classes = append(classes, requestjournal.Class{
			Effect: class.RepeatEffect, DedupWindow: class.DedupWindow,
			LongestWait: admission.Time(start.Network.LongestWaits[i] / timeUnit),
		})
	}
	return classes
}

// recordReplay collects the records of a store while it is opened: requests go to the journal, parts of the snapshot into snapshot.
type recordReplay struct {
	requests *requestjournal.Journal
	snapshot snapshotParts
	err      error // error of the first record that can't be replayed
}

func (r *recordReplay) handle(key store.Key, record []byte, deleted bool) {
	if part, ok := snapshotPart(key); ok {
		r.snapshot[part] = append([]byte(nil), record...)
		return
	}
	if err := r.requests.Replay(requestjournal.Key(key), record, deleted); err != nil && r.err == nil {
		r.err = fmt.Errorf("task %s: %w", key[:], err)
	}
}
