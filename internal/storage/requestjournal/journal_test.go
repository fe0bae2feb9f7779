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

// lanes: 0 may run again, 1 must not, 2 is dropped as a repeat for three seconds.
var lanes = []requestjournal.Class{{Effect: admission.Idempotent, LongestWait: 5 * second}, {Effect: admission.Unrepeatable, LongestWait: 20 * second},
	{Effect: admission.Deduplicated, DedupWindow: 3 * second, LongestWait: 20 * second}}

// log joins a ledger to a store.
type log struct{ s *store.Store }

func (l log) Put(k requestjournal.Key, b []byte, done func(error)) { l.s.Put(store.Key(k), b, done) }
func (l log) Delete(k requestjournal.Key, done func(error))        { l.s.Delete(store.Key(k), done) }

// open opens a folder's ledger, recovered at a time.
func open(f store.Folder, now admission.Time) (*requestjournal.Journal, *store.Store, error) {
	var l *requestjournal.Journal
	var behind log
	l = requestjournal.New(&behind, lanes, 1000)
	var bad error
	s, _, err := store.Open(f, "g1", store.Limits{CompactionInterval: time.Hour}, func(k store.Key, b []byte, gone bool) {
		bad = errors.Join(bad, l.Replay(requestjournal.Key(k), b, gone))
	})
	if err == nil {
		behind.s = s
		if err = bad; err == nil {
			l.Recover(now)
		}
	}
	return l, s, err
}

// wait does what asks for leave and waits for it.
func wait(do func(may func(error)) bool) error {
	done := make(chan error, 1)
	if do(func(err error) { done <- err }) {
		return <-done
	}
	return nil
}

// told is what an engine or a client has seen.
type told struct {
	id     admission.RequestID
	sent   bool // a hand-off's first byte,
	proved bool // or proof that nothing of it ran; else an answer
	out    requestjournal.Outcome
	size   int // of the log by then
}

// segment is the log's one file: a day fills no more.
const segment = "0000000000000001.log"

// day plays tasks of all lanes through every way that they can go; it stops when power is lost.
func day(f *faultfs.Folder, planted bool) (seen []told) {
	l, s, err := open(f, 1000*second)
	if err != nil {
		return nil
	}
	defer s.Close()
	now := 1000 * second
	see := func(t told) { t.size = len(f.Contents(segment)); seen = append(seen, t) }
	for n := range 12 {
		id := admission.RequestID(fmt.Sprintf("%016x", n))
		lane := n % 3
		now += second / 10
		l.Accept(now, id, lane, now+10*second)
		if n == 11 {
			break // taken, and nothing more
		}
		answer := func(out requestjournal.Outcome, rows [][]byte) bool {
			if planted { // the defect: the client sees the answer before it is recorded
				see(told{id: id, out: out})
			}
			if wait(func(may func(error)) bool { return l.RecordAnswer(now, id, out, rows, may) }) != nil {
				return false
			}
			see(told{id: id, out: out})
			return true
		}
		for try := range 1 + n%2 {
			if wait(func(may func(error)) bool { return l.BeginAttempt(now, id, 1, n%4, may) }) != nil {
				return seen
			}
			see(told{id: id, sent: true})
			if n >= 9 {
				break // it is out when the day ends
			}
			if try < n%2 {
				l.EndAttempt(now, id, true)
				see(told{id: id, proved: true})
			}
		}
		if n >= 9 {
			continue
		}
		out := []requestjournal.Outcome{requestjournal.Served, requestjournal.Failed, requestjournal.Served, requestjournal.Rejected}[n%4]
		l.EndAttempt(now, id, out == requestjournal.Rejected)
		if out == requestjournal.Rejected {
			see(told{id: id, proved: true})
		}
		if !answer(out, [][]byte{[]byte("a\tb\tc\n")}) {
			return seen
		}
	}
	return seen
}

// right opens what was left and holds it against what was seen: a task of a lane that may not run twice, of which an engine
// has seen a byte, is known as one that may have run, or has its answer; and an answer that a client has seen is the one
// that it gets again.
func right(left store.Folder, seen []told, now admission.Time) error {
	l, s, err := open(left, now)
	if err != nil {
		return err
	}
	defer s.Close()
	for i, t := range seen {
		var n int
		fmt.Sscanf(string(t.id), "%x", &n)
		lane := n % 3
		if lane == 0 {
			continue // look-ups' records are not waited for
		}
		standing, e := l.Lookup(t.id)
		if t.sent {
			proved := false
			for _, o := range seen[i+1:] {
				proved = proved || o.id == t.id && o.proved
			}
			switch {
			case proved:
			case standing == requestjournal.Unknown:
				return fmt.Errorf("%s went out, and nothing is known of it", t.id)
			case standing == requestjournal.Resumable && !e.MayHaveRun:
				return fmt.Errorf("%s went out, and would be sent as a new one", t.id)
			case standing == requestjournal.Resumable && lane == 1:
				return fmt.Errorf("%s went out and must not run twice, and has no answer", t.id)
			case standing == requestjournal.Resumable && now >= e.UncertainSince+3*second:
				return fmt.Errorf("%s went out, its window is past, and it has no answer", t.id)
			}
			continue
		}
		if t.proved {
			continue
		}
		if standing != requestjournal.Answered || e.Outcome != t.out {
			return fmt.Errorf("%s was answered: %v; asked for again it is %v", t.id, t.out, e)
		}
		if t.out == requestjournal.Served && (!e.Complete() || string(e.Pages[0]) != "a\tb\tc\n") {
			return fmt.Errorf("%s was delivered, and its rows are %q", t.id, e.Pages)
		}
	}
	return nil
}

// crashes loses power at each operation of a day, in every way up to a bound, and once more while it recovers.
func crashes(most int, planted bool) (states int, bad error) {
	for at := 0; bad == nil; at++ {
		f := &faultfs.Folder{BeforeOperation: func(n int, _ string) error {
			if n >= at {
				return faultfs.ErrPowerLost
			}
			return nil
		}}
		seen := day(f, planted)
		now := 1000*second + 2*second
		states += f.ForEachCrashState(most, int64(at), func(left *faultfs.Folder) {
			if err := right(left, seen, now); err != nil && bad == nil {
				bad = fmt.Errorf("power lost at operation %d: %w", at, err)
			}
		})
		for again := range 10 {
			left := f.AfterPowerLoss(func(part int) bool { return (part+again)%2 == 0 }, -1)
			left.BeforeOperation = func(n int, _ string) error {
				if n >= again {
					return faultfs.ErrPowerLost
				}
				return nil
			}
			right(left, nil, now)
			states += left.ForEachCrashState(most, int64(again), func(second_ *faultfs.Folder) {
				if err := right(second_, seen, now+5*second); err != nil && bad == nil {
					bad = fmt.Errorf("power lost at operation %d, and at operation %d of the recovery: %w", at, again, err)
				}
			})
		}
		if f.Operations < at {
			break
		}
	}
	return states, bad
}

func TestCrashes(t *testing.T) {
	states, bad := crashes(3, false)
	t.Logf("%d states", states)
	if bad != nil {
		t.Error(bad)
	}
	if _, bad := crashes(3, true); bad == nil {
		t.Error("answers that are seen before they are recorded are not found")
	} else {
		t.Log("planted: ", bad)
	}
}

// The log cut at every byte, as power lost while it was written may leave it, holds all that an engine or client had seen
// by then.
func TestEveryByte(t *testing.T) {
	f := &faultfs.Folder{}
	seen := day(f, false)
	whole := f.Contents(segment)
	for cut := 48; cut <= len(whole); cut++ {
		left := &faultfs.Folder{}
		b := f.Contents("manifest")
		copy(b[40:48], make([]byte, 8)) // not closed in order
		left.SetFile("manifest", withSum(b))
		left.SetFile(segment, whole[:cut])
		var by []told
		for _, s := range seen {
			if s.size <= cut {
				by = append(by, s)
			}
		}
		if err := right(left, by, 1002*second); err != nil {
			t.Fatalf("cut to %d of %d bytes: %v", cut, len(whole), err)
		}
	}
	t.Logf("%d cuts, %d things seen", len(whole)-47, len(seen))
}

func TestClockBack(t *testing.T) { // an hour back between two starts: nothing is younger for it, and no window is longer
	f := &faultfs.Folder{}
	l, s, err := open(f, 5000*second)
	if err != nil {
		t.Fatal(err)
	}
	l.Accept(5000*second, "0000000000000001", 2, 5010*second)
	wait(func(may func(error)) bool { return l.BeginAttempt(5000*second, "0000000000000001", 0, 0, may) })
	l.Accept(5004*second, "0000000000000002", 0, 5010*second)
	s.Close()
	l, s, err = open(f, 5004*second-3600*second)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if standing, e := l.Lookup("0000000000000001"); standing != requestjournal.Answered || e.Outcome != requestjournal.Failed {
		t.Errorf("%v %+v", standing, e)
	}
}

// A disk that takes long for a sync: look-ups don't ask for leave at all, a load gets it once the disk is through.
func TestSlowDisk(t *testing.T) {
	f := &faultfs.Folder{}
	l, s, err := open(f, 1000*second)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	begun, through := make(chan bool, 100), make(chan bool)
	f.BeforeOperation = func(_ int, what string) error {
		if strings.HasPrefix(what, "sync ") {
			begun <- true
			<-through
		}
		return nil
	}
	l.Accept(1000*second, "0000000000000001", 1, 1020*second)
	leave := make(chan error, 1)
	if !l.BeginAttempt(1000*second, "0000000000000001", 0, 0, func(err error) { leave <- err }) {
		t.Fatal("a load may go out before its record survives")
	}
	<-begun
	for n := range 1000 {
		id := admission.RequestID(fmt.Sprintf("%016x", 100+n))
		l.Accept(1000*second, id, 0, 1010*second)
		if l.BeginAttempt(1000*second, id, 0, 0, nil) {
			t.Fatal("a look-up waits for the disk")
		}
		l.EndAttempt(1000*second, id, false)
		if l.RecordAnswer(1000*second, id, requestjournal.Served, nil, nil) {
			t.Fatal("a look-up's answer waits for the disk")
		}
	}
	select {
	case <-leave:
		t.Fatal("leave before the sync was through")
	default:
	}
	close(through)
	if err := <-leave; err != nil {
		t.Error(err)
	}
}

func TestLeft(t *testing.T) { // what was open at a start and is not asked for again ends at its cut-off, and is forgotten later
	f := &faultfs.Folder{}
	l, s, err := open(f, 1000*second)
	if err != nil {
		t.Fatal(err)
	}
	for n := range 6 {
		id := admission.RequestID(fmt.Sprintf("%016x", n))
		l.Accept(1000*second, id, n%3, 1010*second)
		if n < 3 {
			wait(func(may func(error)) bool { return l.BeginAttempt(1000*second, id, 0, 0, may) })
		}
	}
	s.Close()
	if l, s, err = open(f, 1001*second); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	l.Accept(1002*second, "0000000000000005", 2, 1020*second)
	l.Tick(1011 * second)
	for n, want := range []requestjournal.Outcome{requestjournal.Rejected, requestjournal.Failed, requestjournal.Failed, requestjournal.Rejected, requestjournal.Rejected, requestjournal.Pending} {
		if _, e := l.Lookup(admission.RequestID(fmt.Sprintf("%016x", n))); e == nil || e.Outcome != want {
			t.Errorf("task %d: %+v, expected %v", n, e, want)
		}
	}
	l.Tick(1200 * second)
	if l.Len() != 1 {
		t.Errorf("%d are known", l.Len())
	}
}

func TestForgotten(t *testing.T) { // by time, never before the windows are past; by space the oldest first
	f := &faultfs.Folder{}
	l, s, err := open(f, 1000*second)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for n := range 1500 {
		id := admission.RequestID(fmt.Sprintf("%016x", n))
		now := 1000*second + admission.Time(n)
		l.Accept(now, id, 0, now+second)
		l.RecordAnswer(now, id, requestjournal.Rejected, nil, func(error) {})
	}
	if l.Len() != 1000 || l.Counts.Evicted != 500 {
		t.Errorf("%d kept, %d dropped", l.Len(), l.Counts.Evicted)
	}
	l.Tick(1000*second + 59*second)
	if l.Len() != 1000 {
		t.Errorf("%d kept after 59 s", l.Len())
	}
	l.Tick(1000*second + 70*second)
	if l.Len() != 0 {
		t.Errorf("%d kept after 70 s", l.Len())
	}
}

// withSum gives a manifest the checksum of what it says now.
func withSum(b []byte) []byte {
	binary.LittleEndian.PutUint32(b[len(b)-4:], crc32.Checksum(b[:len(b)-4], crc32.MakeTable(crc32.Castagnoli)))
	return b
}
