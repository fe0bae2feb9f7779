package requestjournal_test

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"slices"
	"strconv"
	"testing"

	"magpiebank/internal/admission"
	"magpiebank/internal/storage/faultfs"
	"magpiebank/internal/storage/requestjournal"
	"magpiebank/internal/storage/store"
)

// observation is an event outside the gateway that the recovered journal must not contradict: an engine received an attempt, an attempt
// was proved not to have run, or a client received an answer.
type observation struct {
	id           admission.RequestID
	sent         bool // the first byte of an attempt reached the engine
	provedNotRun bool // the attempt is known not to have run
	outcome      requestjournal.Outcome
	logBytes     int // size of the log at the time of the event
}

// segmentName is the name of the log's only segment: the workload is too short to fill it.
const segmentName = "0000000000000001.log"

// workload runs requests of all classes through various sequences of attempts and answers, and records what engines and clients
// observe.
type workload struct {
	folder      *faultfs.Folder
	journal     *requestjournal.Journal
	now         admission.Time
	answerEarly bool // a mutation: clients receive answers before the answers are recorded
	observed    []observation
}

// runWorkload returns what engines and clients observed until the workload ended or power was lost.
func runWorkload(folder *faultfs.Folder, answerEarly bool) []observation {
	journal, logStore, err := openJournal(folder, 1000*second)
	if err != nil {
		return nil
	}
	defer closeAfterFault(logStore)
	w := &workload{folder: folder, journal: journal, now: 1000 * second, answerEarly: answerEarly}
	for n := range 12 {
		w.now += second / 10
		if !w.runRequest(n) {
			break
		}
	}
	return w.observed
}

func (w *workload) observe(o observation) {
	o.logBytes = len(w.folder.Contents(segmentName))
	w.observed = append(w.observed, o)
}

// runRequest runs request n, and returns false if the workload ends with it.
func (w *workload) runRequest(n int) bool {
	id := admission.RequestID(fmt.Sprintf("%016x", n))
	w.journal.Accept(w.now, id, n%3, w.now+10*second)
	if n == 11 {
		return false // the last request is accepted, but no attempt begins
	}
	staysInFlight := n >= 9
	for attempt := range 1 + n%2 {
		if waitDurable(func(onDurable func(error)) bool { return w.journal.BeginAttempt(w.now, id, 1, n%4, onDurable) }) != nil {
			return false
		}
		w.observe(observation{id: id, sent: true})
		if staysInFlight {
			return true
		}
		if attempt < n%2 {
			w.journal.EndAttempt(w.now, id, true)
			w.observe(observation{id: id, provedNotRun: true})
		}
	}
	outcome := []requestjournal.Outcome{requestjournal.Served, requestjournal.Failed, requestjournal.Served, requestjournal.Rejected}[n%4]
	w.journal.EndAttempt(w.now, id, outcome == requestjournal.Rejected)
	if outcome == requestjournal.Rejected {
		w.observe(observation{id: id, provedNotRun: true})
	}
	return w.answer(id, outcome, [][]byte{[]byte("a\tb\tc\n")})
}

func (w *workload) answer(id admission.RequestID, outcome requestjournal.Outcome, pages [][]byte) bool {
	seen := observation{id: id, outcome: outcome}
	if w.answerEarly {
		w.observe(seen)
	}
	if waitDurable(func(onDurable func(error)) bool { return w.journal.RecordAnswer(w.now, id, outcome, pages, onDurable) }) != nil {
		return false
	}
	w.observe(seen)
	return true
}

// classOf returns the index of the class into which the workload puts a request.
func classOf(id admission.RequestID) int {
	n, err := strconv.ParseUint(string(id), 16, 64)
	if err != nil {
		panic(err)
	}
	return int(n % 3)
}

// checkRecovered recovers the journal in a folder and compares it with the observations. If an engine received a byte of a request that
// is not idempotent, the journal must know that the request may have run, or have its answer. If a client received an answer, a repeat
// of the request must get the same answer.
func checkRecovered(folder store.Folder, observed []observation, now admission.Time) error {
	journal, logStore, err := openJournal(folder, now)
	if err != nil {
		return err
	}
	defer closeAfterFault(logStore)
	for i, seen := range observed {
		if classes[classOf(seen.id)].Effect == admission.Idempotent {
			continue // records of idempotent requests need not be durable
		}
		switch {
		case seen.sent && !isProvedNotRun(seen.id, observed[i+1:]):
			err = checkSent(journal, seen, now)
		case !seen.sent && !seen.provedNotRun:
			err = checkAnswer(journal, seen)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// isProvedNotRun reports whether the observations contain the proof that an attempt of the request did not run.
func isProvedNotRun(id admission.RequestID, observed []observation) bool {
	return slices.ContainsFunc(observed, func(o observation) bool { return o.id == id && o.provedNotRun })
}

func checkSent(journal *requestjournal.Journal, seen observation, now admission.Time) error {
	status, entry := journal.Lookup(seen.id)
	switch {
	case status == requestjournal.Unknown:
		return fmt.Errorf("%s was sent, but the journal has no record of it", seen.id)
	case status == requestjournal.Resumable && !entry.MayHaveRun:
		return fmt.Errorf("%s was sent, but the journal doesn't know that it may have run", seen.id)
	case status == requestjournal.Resumable && classOf(seen.id) == 1:
		return fmt.Errorf("%s was sent and must not run twice, but it is still pending", seen.id)
	case status == requestjournal.Resumable && now >= entry.UncertainSince+3*second:
		return fmt.Errorf("%s was sent and its deduplication window is over, but it is still pending", seen.id)
	}
	return nil
}

func checkAnswer(journal *requestjournal.Journal, seen observation) error {
	status, entry := journal.Lookup(seen.id)
	if status != requestjournal.Answered || entry.Outcome != seen.outcome {
		return fmt.Errorf("%s was answered %v, but after the recovery its entry is %v", seen.id, seen.outcome, entry)
	}
	if seen.outcome == requestjournal.Served && (!entry.Complete() || string(entry.Pages[0]) != "a\tb\tc\n") {
		return fmt.Errorf("%s was served, but after the recovery its rows are %q", seen.id, entry.Pages)
	}
	return nil
}

// exploreCrashes loses power at each operation of the workload, and then a second time at each of the first ten operations of the
// recovery. After each power loss it checks the crash states that faultfs.Folder.ForEachCrashState visits for maxExhaustive. It returns
// their number and the first error.
func exploreCrashes(maxExhaustive int, answerEarly bool) (states int, firstErr error) {
	check := func(folder *faultfs.Folder, observed []observation, now admission.Time, seed int, when string) {
		states += folder.ForEachCrashState(maxExhaustive, int64(seed), func(crashState *faultfs.Folder) {
			if err := checkRecovered(crashState, observed, now); err != nil && firstErr == nil {
				firstErr = fmt.Errorf("%s: %w", when, err)
			}
		})
	}
	for operation := 0; firstErr == nil; operation++ {
		folder := &faultfs.Folder{BeforeOperation: faultfs.LosePowerAt(operation)}
		observed := runWorkload(folder, answerEarly)
		now := 1000*second + 2*second
		check(folder, observed, now, operation, fmt.Sprintf("power lost at operation %d", operation))
		for recoveryOperation := range 10 {
			crashState := folder.AfterPowerLoss(func(part int) bool { return (part+recoveryOperation)%2 == 0 }, -1)
			crashState.BeforeOperation = faultfs.LosePowerAt(recoveryOperation)
			_ = checkRecovered(crashState, nil, now) // power is lost during the recovery
			check(crashState, observed, now+5*second, recoveryOperation,
				fmt.Sprintf("power lost at operation %d, and at operation %d of the recovery", operation, recoveryOperation))
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
		t.Error("the checks don't detect that clients receive answers before the answers are recorded")
	} else {
		t.Log("mutation detected: ", err)
	}
}

// If the log is cut at any byte, as by a power loss during a write, the recovered journal agrees with everything that engines and clients
// had observed when the log had that size.
func TestRecoveryOfLogCutAtEveryByte(t *testing.T) {
	folder := &faultfs.Folder{}
	observed := runWorkload(folder, false)
	log := folder.Contents(segmentName)
	for cut := 48; cut <= len(log); cut++ {
		cutFolder := &faultfs.Folder{}
		manifest := folder.Contents("manifest")
		copy(manifest[40:48], make([]byte, 8)) // clears closedAtSequence, as if the store had not been closed
		cutFolder.SetFile("manifest", withChecksum(manifest))
		cutFolder.SetFile(segmentName, log[:cut])
		var observedByThen []observation
		for _, seen := range observed {
			if seen.logBytes <= cut {
				observedByThen = append(observedByThen, seen)
			}
		}
		if err := checkRecovered(cutFolder, observedByThen, 1002*second); err != nil {
			t.Fatalf("log cut to %d of %d bytes: %v", cut, len(log), err)
		}
	}
	t.Logf("%d cuts, %d observations", len(log)-47, len(observed))
}

// withChecksum updates the checksum at the end of a changed manifest and returns the manifest.
func withChecksum(b []byte) []byte {
	binary.LittleEndian.PutUint32(b[len(b)-4:], crc32.Checksum(b[:len(b)-4], crc32.MakeTable(crc32.Castagnoli)))
	return b
}
