package requestjournal_test

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"strings"
	"testing"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/storage/faultfs"
	"magpiebank/internal/storage/requestjournal"
	"magpiebank/internal/storage/store"
)

const second = admission.Second

// classes has one class of each effect; the tests put request n into class n%3.
var classes = []requestjournal.Class{
	{Effect: admission.Idempotent, LongestWait: 5 * second},
	{Effect: admission.NonIdempotent, LongestWait: 20 * second},
	{Effect: admission.Deduplicated, DedupWindow: 3 * second, LongestWait: 20 * second},
}

// storeLog is a journal's log in a store.
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
	if err == nil {
		log.store = logStore
		if err = replayErr; err == nil {
			journal.Recover(now)
		}
	}
	return journal, logStore, err
}

// waitDurable calls record and, if that asks for it, waits until the record is durable.
func waitDurable(record func(onDurable func(error)) bool) error {
	done := make(chan error, 1)
	if record(func(err error) { done <- err }) {
		return <-done
	}
	return nil
}

// observation is something that an engine or a client has seen: an attempt's first byte, the proof that nothing of an
// attempt ran, or an answer.
type observation struct {
	id           admission.RequestID
	sent         bool // an attempt's first byte
	provedNotRun bool // the attempt is known not to have run
	outcome      requestjournal.Outcome
	logBytes     int // size of the log by then
}

// segmentName is the log's only file: a workload is too short to fill it.
const segmentName = "0000000000000001.log"

// runWorkload takes requests of all classes through every course that they can take, and returns what engines and clients
// saw. It stops when power is lost. answerEarly is a mutation: clients see answers before these are on record.
func runWorkload(folder *faultfs.Folder, answerEarly bool) (observed []observation) {
	journal, logStore, err := openJournal(folder, 1000*second)
	if err != nil {
		return nil
	}
	defer logStore.Close()
	now := 1000 * second
	observe := func(o observation) { o.logBytes = len(folder.Contents(segmentName)); observed = append(observed, o) }
	for n := range 12 {
		id := admission.RequestID(fmt.Sprintf("%016x", n))
		class := n % 3
		now += second / 10
		journal.Accept(now, id, class, now+10*second)
		if n == 11 {
			break // accepted, and nothing more
		}
		answer := func(outcome requestjournal.Outcome, pages [][]byte) bool {
			if answerEarly {
				observe(observation{id: id, outcome: outcome})
			}
			if waitDurable(func(onDurable func(error)) bool { return journal.RecordAnswer(now, id, outcome, pages, onDurable) }) != nil {
				return false
			}
			observe(observation{id: id, outcome: outcome})
			return true
		}
		for attempt := range 1 + n%2 {
			if waitDurable(func(onDurable func(error)) bool { return journal.BeginAttempt(now, id, 1, n%4, onDurable) }) != nil {
				return observed
			}
			observe(observation{id: id, sent: true})
			if n >= 9 {
				break // the attempt is in flight at the end
			}
			if attempt < n%2 {
				journal.EndAttempt(now, id, true)
				observe(observation{id: id, provedNotRun: true})
			}
		}
		if n >= 9 {
			continue
		}
		outcome := []requestjournal.Outcome{requestjournal.Served, requestjournal.Failed, requestjournal.Served, requestjournal.Rejected}[n%4]
		journal.EndAttempt(now, id, outcome == requestjournal.Rejected)
		if outcome == requestjournal.Rejected {
			observe(observation{id: id, provedNotRun: true})
		}
		if !answer(outcome, [][]byte{[]byte("a\tb\tc\n")}) {
			return observed
		}
	}
	return observed
}

// checkRecovered recovers the journal in a folder and compares it with what was observed. A request that must not run twice
// and of which an engine has seen a byte is known as one that may have run, or has its answer. A repeat of an answered request
// gets the answer that its client has seen.
func checkRecovered(folder store.Folder, observed []observation, now admission.Time) error {
	journal, logStore, err := openJournal(folder, now)
	if err != nil {
		return err
	}
	defer logStore.Close()
	for i, seen := range observed {
		var n int
		fmt.Sscanf(string(seen.id), "%x", &n)
		class := n % 3
		if class == 0 {
			continue // records of idempotent requests need not be durable
		}
		status, entry := journal.Lookup(seen.id)
		if seen.sent {
			provedNotRun := false
			for _, later := range observed[i+1:] {
				provedNotRun = provedNotRun || later.id == seen.id && later.provedNotRun
			}
			switch {
			case provedNotRun:
			case status == requestjournal.Unknown:
				return fmt.Errorf("%s was sent, and nothing is known of it", seen.id)
			case status == requestjournal.Resumable && !entry.MayHaveRun:
				return fmt.Errorf("%s was sent, and would be sent as a new one", seen.id)
			case status == requestjournal.Resumable && class == 1:
				return fmt.Errorf("%s was sent and must not run twice, and has no answer", seen.id)
			case status == requestjournal.Resumable && now >= entry.UncertainSince+3*second:
				return fmt.Errorf("%s was sent, its deduplication window is over, and it has no answer", seen.id)
			}
			continue
		}
		if seen.provedNotRun {
			continue
		}
		if status != requestjournal.Answered || entry.Outcome != seen.outcome {
			return fmt.Errorf("%s was answered %v; after the recovery it is %v", seen.id, seen.outcome, entry)
		}
		if seen.outcome == requestjournal.Served && (!entry.Complete() || string(entry.Pages[0]) != "a\tb\tc\n") {
			return fmt.Errorf("%s was served, and its rows are %q", seen.id, entry.Pages)
		}
	}
	return nil
}

// exploreCrashes loses power at each operation of a workload, and once more at each of the first ten operations of the
// recovery. It checks the crash states that faultfs.Folder.ForEachCrashState explores with the bound maxExhaustive, and
// returns their number and the first error.
func exploreCrashes(maxExhaustive int, answerEarly bool) (states int, firstErr error) {
	for operation := 0; firstErr == nil; operation++ {
		folder := &faultfs.Folder{BeforeOperation: func(n int, _ string) error {
			if n >= operation {
				return faultfs.ErrPowerLost
			}
			return nil
		}}
		observed := runWorkload(folder, answerEarly)
		now := 1000*second + 2*second
		states += folder.ForEachCrashState(maxExhaustive, int64(operation), func(left *faultfs.Folder) {
			if err := checkRecovered(left, observed, now); err != nil && firstErr == nil {
				firstErr = fmt.Errorf("power lost at operation %d: %w", operation, err)
			}
		})
		for recoveryOperation := range 10 {
			left := folder.AfterPowerLoss(func(part int) bool { return (part+recoveryOperation)%2 == 0 }, -1)
			left.BeforeOperation = func(n int, _ string) error {
				if n >= recoveryOperation {
					return faultfs.ErrPowerLost
				}
				return nil
			}
			checkRecovered(left, nil, now)
			states += left.ForEachCrashState(maxExhaustive, int64(recoveryOperation), func(leftAgain *faultfs.Folder) {
				if err := checkRecovered(leftAgain, observed, now+5*second); err != nil && firstErr == nil {
					firstErr = fmt.Errorf("power lost at operation %d, and at operation %d of the recovery: %w", operation, recoveryOperation, err)
				}
			})
		}
		if folder.Operations < operation {
			break
		}
	}
	return states, firstErr
}

func TestRecoveryAfterPowerLoss(t *testing.T) {
	states, err := exploreCrashes(3, false)
	t.Logf("%d states", states)
	if err != nil {
		t.Error(err)
	}
	if _, err := exploreCrashes(3, true); err == nil {
		t.Error("answers that are seen before they are recorded are not found")
	} else {
		t.Log("mutation found: ", err)
	}
}

// A log cut at any byte, as by a power loss during a write, has all that engines and clients had seen by then.
func TestRecoveryOfLogCutAtEveryByte(t *testing.T) {
	folder := &faultfs.Folder{}
	observed := runWorkload(folder, false)
	whole := folder.Contents(segmentName)
	for cut := 48; cut <= len(whole); cut++ {
		left := &faultfs.Folder{}
		manifest := folder.Contents("manifest")
		copy(manifest[40:48], make([]byte, 8)) // as if it had not been closed
		left.SetFile("manifest", withChecksum(manifest))
		left.SetFile(segmentName, whole[:cut])
		var observedByThen []observation
		for _, seen := range observed {
			if seen.logBytes <= cut {
				observedByThen = append(observedByThen, seen)
			}
		}
		if err := checkRecovered(left, observedByThen, 1002*second); err != nil {
			t.Fatalf("cut to %d of %d bytes: %v", cut, len(whole), err)
		}
	}
	t.Logf("%d cuts, %d observations", len(whole)-47, len(observed))
}

// A clock set back by an hour between two starts makes no record younger and no deduplication window longer.
func TestClockSetBackBetweenStarts(t *testing.T) {
	folder := &faultfs.Folder{}
	journal, logStore, err := openJournal(folder, 5000*second)
	if err != nil {
		t.Fatal(err)
	}
	journal.Accept(5000*second, "0000000000000001", 2, 5010*second)
	waitDurable(func(onDurable func(error)) bool {
		return journal.BeginAttempt(5000*second, "0000000000000001", 0, 0, onDurable)
	})
	journal.Accept(5004*second, "0000000000000002", 0, 5010*second)
	logStore.Close()
	journal, logStore, err = openJournal(folder, 5004*second-3600*second)
	if err != nil {
		t.Fatal(err)
	}
	defer logStore.Close()
	if status, entry := journal.Lookup("0000000000000001"); status != requestjournal.Answered || entry.Outcome != requestjournal.Failed {
		t.Errorf("%v %+v", status, entry)
	}
}

// While a sync takes long, idempotent requests do not wait for it; a non-idempotent one goes on once the sync is done.
func TestSlowSyncDelaysNonIdempotentRequestsOnly(t *testing.T) {
	folder := &faultfs.Folder{}
	journal, logStore, err := openJournal(folder, 1000*second)
	if err != nil {
		t.Fatal(err)
	}
	defer logStore.Close()
	syncBegun, finishSync := make(chan bool, 100), make(chan bool)
	folder.BeforeOperation = func(_ int, what string) error {
		if strings.HasPrefix(what, "sync ") {
			syncBegun <- true
			<-finishSync
		}
		return nil
	}
	journal.Accept(1000*second, "0000000000000001", 1, 1020*second)
	durable := make(chan error, 1)
	if !journal.BeginAttempt(1000*second, "0000000000000001", 0, 0, func(err error) { durable <- err }) {
		t.Fatal("a non-idempotent request does not wait for its record")
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
	case <-durable:
		t.Fatal("durable before the sync was done")
	default:
	}
	close(finishSync)
	if err := <-durable; err != nil {
		t.Error(err)
	}
}

// A recovered request that no client repeats is answered at its deadline, and forgotten later.
func TestRecoveredRequestsEndAtTheirDeadlines(t *testing.T) {
	folder := &faultfs.Folder{}
	journal, logStore, err := openJournal(folder, 1000*second)
	if err != nil {
		t.Fatal(err)
	}
	for n := range 6 {
		id := admission.RequestID(fmt.Sprintf("%016x", n))
		journal.Accept(1000*second, id, n%3, 1010*second)
		if n < 3 {
			waitDurable(func(onDurable func(error)) bool { return journal.BeginAttempt(1000*second, id, 0, 0, onDurable) })
		}
	}
	logStore.Close()
	if journal, logStore, err = openJournal(folder, 1001*second); err != nil {
		t.Fatal(err)
	}
	defer logStore.Close()
	journal.Accept(1002*second, "0000000000000005", 2, 1020*second)
	journal.Tick(1011 * second)
	for n, want := range []requestjournal.Outcome{requestjournal.Rejected, requestjournal.Failed, requestjournal.Failed, requestjournal.Rejected, requestjournal.Rejected, requestjournal.Pending} {
		if _, entry := journal.Lookup(admission.RequestID(fmt.Sprintf("%016x", n))); entry == nil || entry.Outcome != want {
			t.Errorf("request %d: %+v, expected %v", n, entry, want)
		}
	}
	journal.Tick(1200 * second)
	if journal.Len() != 1 {
		t.Errorf("%d are known", journal.Len())
	}
}

// Answers are kept until deduplication windows are over; if there are too many, the oldest are forgotten first.
func TestAnswersAreForgottenByAgeAndByNumber(t *testing.T) {
	folder := &faultfs.Folder{}
	journal, logStore, err := openJournal(folder, 1000*second)
	if err != nil {
		t.Fatal(err)
	}
	defer logStore.Close()
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

// withChecksum sets the checksum of a changed manifest.
func withChecksum(b []byte) []byte {
	binary.LittleEndian.PutUint32(b[len(b)-4:], crc32.Checksum(b[:len(b)-4], crc32.MakeTable(crc32.Castagnoli)))
	return b
}
