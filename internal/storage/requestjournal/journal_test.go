package requestjournal_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/storage/faultfs"
	"magpiebank/internal/storage/requestjournal"
	"magpiebank/internal/storage/store"
)

const second = admission.Second

// classes contains one class per repeat effect; the tests put request n into class n%3.
var classes = []requestjournal.Class{
	{Effect: admission.Idempotent, LongestWait: 5 * second},
	{Effect: admission.NonIdempotent, LongestWait: 20 * second},
	{Effect: admission.Deduplicated, DedupWindow: 3 * second, LongestWait: 20 * second},
}

// storeLog implements requestjournal.Log with a store.
type storeLog struct{ store *store.Store }

func (l storeLog) Put(k requestjournal.Key, b []byte, done func(error)) {
	l.store.Put(store.Key(k), b, done)
}
func (l storeLog) Delete(k requestjournal.Key, done func(error)) { l.store.Delete(store.Key(k), done) }

// openJournal opens the journal in a folder and recovers it at the given time.
func openJournal(folder store.Folder, now admission.Time) (*requestjournal.Journal, *store.Store, error) {
	var journal *requestjournal.Journal
	var log storeLog
	journal = requestjournal.New(&log, classes, 1000)
	var replayErr error
	logStore, _, err := store.Open(folder, "g1", store.Limits{CompactionInterval: time.Hour}, func(key store.Key, record []byte, deleted bool) {
		replayErr = errors.Join(replayErr, journal.Replay(requestjournal.Key(key), record, deleted))
	})
	if err != nil {
		return nil, nil, err
	}
	log.store = logStore
	if replayErr != nil {
		return nil, nil, errors.Join(replayErr, logStore.Close())
	}
	journal.Recover(now)
	return journal, logStore, nil
}

// waitDurable calls record and, if it returns true, waits until the record is durable.
func waitDurable(record func(onDurable func(error)) bool) error {
	done := make(chan error, 1)
	if record(func(err error) { done <- err }) {
		return <-done
	}
	return nil
}

// closeAfterFault closes a store that an injected fault may have failed, and ignores the error.
func closeAfterFault(s *store.Store) { _ = s.Close() }

// closeStore closes a store that has not failed.
func closeStore(t *testing.T, s *store.Store) {
	t.Helper()
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}

// If the clock is set back by an hour between two starts, records don't become younger and deduplication windows don't become longer.
func TestClockSetBackBetweenStarts(t *testing.T) {
	folder := &faultfs.Folder{}
	journal, logStore, err := openJournal(folder, 5000*second)
	if err != nil {
		t.Fatal(err)
	}
	journal.Accept(5000*second, "0000000000000001", 2, 5010*second)
	if err := waitDurable(func(onDurable func(error)) bool {
		return journal.BeginAttempt(5000*second, "0000000000000001", 0, 0, onDurable)
	}); err != nil {
		t.Fatal(err)
	}
	journal.Accept(5004*second, "0000000000000002", 0, 5010*second)
	closeStore(t, logStore)
	journal, logStore, err = openJournal(folder, 5004*second-3600*second)
	if err != nil {
		t.Fatal(err)
	}
	defer closeStore(t, logStore)
	if status, entry := journal.Lookup("0000000000000001"); status != requestjournal.Answered || entry.Outcome != requestjournal.Failed {
		t.Errorf("expected the request to be answered as failed, found status %v, entry %+v", status, entry)
	}
}

// While a sync is slow, idempotent requests don't wait for it, and a non-idempotent request continues once the sync has ended.
func TestSlowSyncDelaysNonIdempotentRequestsOnly(t *testing.T) {
	folder := &faultfs.Folder{}
	journal, logStore, err := openJournal(folder, 1000*second)
	if err != nil {
		t.Fatal(err)
	}
	defer closeStore(t, logStore)
	syncBegun, finishSync := make(chan bool, 100), make(chan bool)
	folder.BeforeOperation = func(_ int, description string) error {
		if strings.HasPrefix(description, "sync ") {
			syncBegun <- true
			<-finishSync
		}
		return nil
	}
	journal.Accept(1000*second, "0000000000000001", 1, 1020*second)
	durable := make(chan error, 1)
	if !journal.BeginAttempt(1000*second, "0000000000000001", 0, 0, func(err error) { durable <- err }) {
		t.Fatal("a non-idempotent request doesn't wait until its record is durable")
	}
	<-syncBegun
	for n := range 1000 {
		id := admission.RequestID(fmt.Sprintf("%016x", 100+n))
		journal.Accept(1000*second, id, 0, 1010*second)
		if journal.BeginAttempt(1000*second, id, 0, 0, nil) {
			t.Fatal("an idempotent request waits for the disk")
		}
		journal.EndAttempt(1000*second, id, false)
		if journal.RecordAnswer(1000*second, id, requestjournal.Served, nil, nil) {
			t.Fatal("an idempotent request's answer waits for the disk")
		}
	}
	select {
	case err := <-durable:
		t.Fatalf("the record was reported as durable before the sync ended: %v", err)
	default:
	}
	close(finishSync)
	if err := <-durable; err != nil {
		t.Error(err)
	}
}

// A recovered request that its client doesn't repeat is answered at its deadline and forgotten after the retention.
func TestRecoveredRequestsAreAnsweredAtTheirDeadlines(t *testing.T) {
	folder := &faultfs.Folder{}
	journal, logStore, err := openJournal(folder, 1000*second)
	if err != nil {
		t.Fatal(err)
	}
	for n := range 6 {
		id := admission.RequestID(fmt.Sprintf("%016x", n))
		journal.Accept(1000*second, id, n%3, 1010*second)
		if n < 3 {
			begin := func(onDurable func(error)) bool { return journal.BeginAttempt(1000*second, id, 0, 0, onDurable) }
			if err := waitDurable(begin); err != nil {
				t.Fatal(err)
			}
		}
	}
	closeStore(t, logStore)
	journal, logStore, err = openJournal(folder, 1001*second)
	if err != nil {
		t.Fatal(err)
	}
	defer closeStore(t, logStore)
	journal.Accept(1002*second, "0000000000000005", 2, 1020*second)
	journal.Tick(1011 * second)
	for n, want := range []requestjournal.Outcome{requestjournal.Rejected, requestjournal.Failed, requestjournal.Failed, requestjournal.Rejected, requestjournal.Rejected, requestjournal.Pending} {
		if _, entry := journal.Lookup(admission.RequestID(fmt.Sprintf("%016x", n))); entry == nil || entry.Outcome != want {
			t.Errorf("request %d: %+v, expected %v", n, entry, want)
		}
	}
	journal.Tick(1200 * second)
	if journal.Len() != 1 {
		t.Errorf("the journal has %d entries, expected only the pending request", journal.Len())
	}
}

// Answers are kept for at least a minute and until the deduplication windows are over. If the journal is full, the oldest answers are
// forgotten earlier.
func TestAnswersAreForgottenByAgeAndByNumber(t *testing.T) {
	folder := &faultfs.Folder{}
	journal, logStore, err := openJournal(folder, 1000*second)
	if err != nil {
		t.Fatal(err)
	}
	defer closeStore(t, logStore)
	for n := range 1500 {
		id := admission.RequestID(fmt.Sprintf("%016x", n))
		now := 1000*second + admission.Time(n)
		journal.Accept(now, id, 0, now+second)
		journal.RecordAnswer(now, id, requestjournal.Rejected, nil, func(error) {})
	}
	if journal.Len() != 1000 || journal.Counts.Evicted != 500 {
		t.Errorf("%d kept, %d evicted", journal.Len(), journal.Counts.Evicted)
	}
	journal.Tick(1000*second + 59*second)
	if journal.Len() != 1000 {
		t.Errorf("%d kept after 59 s", journal.Len())
	}
	journal.Tick(1000*second + 70*second)
	if journal.Len() != 0 {
		t.Errorf("%d kept after 70 s", journal.Len())
	}
}
