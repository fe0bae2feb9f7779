package counters

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"

	"magpiebank/internal/admission"
)

const second = admission.Second

// recordingHost is a host that stores the last message to each member.
type recordingHost struct{ sent map[string][]byte }

func (p *recordingHost) Send(to string, m []byte) { p.sent[to] = m }
func (p *recordingHost) Peers() []string          { return []string{"g0", "g1", "g2"} }

// testCluster is a cluster of processes, and a text of the readings of the first one.
type testCluster struct {
	hosts    []*recordingHost
	cores    []*Core
	readings strings.Builder
}

func newTestCluster(n int) *testCluster {
	f := &testCluster{}
	for i := range n {
		f.hosts = append(f.hosts, &recordingHost{map[string][]byte{}})
		f.cores = append(f.cores, newTestCore(0, i, n, f.hosts[i]))
	}
	return f
}

func (f *testCluster) advance(now Time) {
	for _, c := range f.cores {
		c.ApplyChanges(now)
	}
}

// deliverRound delivers the messages of all processes to all others, except for those to and from the processes that are cut off.
func (f *testCluster) deliverRound(now Time, cut ...int) {
	for i, c := range f.cores {
		c.Tick(now)
		for to, m := range f.hosts[i].sent {
			k := int(to[1] - '0')
			if k == i || strings.Contains(fmt.Sprint(cut), fmt.Sprint(i)) || strings.Contains(fmt.Sprint(cut), fmt.Sprint(k)) {
				continue
			}
			if err := f.cores[k].HandleMessage(now, fmt.Sprint("g", i), 1, m); err != nil {
				panic(err)
			}
		}
	}
}

func (f *testCluster) writeReading(now Time, what string, keys ...Key) {
	r := f.cores[0].TakeReading(now, append([]Key{{}}, keys...)...)
	fmt.Fprintf(&f.readings, "%s: %.1f s old, %d heard, %d silent\n", what, float64(r.Age)/float64(second), r.Known, r.Unknown)
	for _, c := range r.Counts {
		fmt.Fprintf(&f.readings, "  %s waits %v runs %v handed %v\n", strings.TrimSpace(c.Kind.String()+" "+c.Name), c.Ranges[Waiting], c.Ranges[Running], c.Ranges[Attempted])
	}
}

const expectedReadings = `nobody heard of: 0.0 s old, 1 heard, 2 silent
  all waits {0 200} runs {0 200} handed {0 -1}
all idle: 0.0 s old, 3 heard, 0 silent
  all waits {0 0} runs {0 0} handed {0 0}
seven came, heard of once: 0.0 s old, 3 heard, 0 silent
  all waits {0 5} runs {0 2} handed {0 2}
two seconds later: 0.0 s old, 3 heard, 0 silent
  all waits {5 5} runs {2 2} handed {2 2}
  lane look waits {5 5} runs {0 0} handed {0 0}
  engine e-1 waits {0 0} runs {2 2} handed {2 2}
g2 cut off for two seconds: 0.0 s old, 2 heard, 1 silent
  all waits {5 105} runs {0 100} handed {2 -1}
  engine e-1 waits {0 100} runs {0 100} handed {2 -1}
and back: 0.0 s old, 3 heard, 0 silent
  all waits {5 5} runs {2 2} handed {2 2}
  engine e-1 waits {0 0} runs {2 2} handed {2 2}
g1 has left: 0.0 s old, 3 heard, 0 silent
  all waits {0 0} runs {2 2} handed {2 2}
g2 was started anew: 0.0 s old, 2 heard, 2 silent
  all waits {0 200} runs {0 200} handed {0 -1}
five seconds later: 0.0 s old, 3 heard, 0 silent
  all waits {0 0} runs {0 0} handed {0 0}
`

// Guards against intervals that do not contain the true counts when processes are cut off, stop or restart. A member that is cut off widens
// the interval. A member that has left has no requests. A restarted member counts as two processes until the requests of the
// earlier process have certainly ended.
func TestReadingsContainTrueCounts(t *testing.T) {
	f := newTestCluster(3)
	engine := Key{KindEngine, "e-1"}
	at := Time(0)
	rounds := func(n int, cut ...int) {
		for range n {
			for range 10 {
				at += roundInterval / 10
				f.advance(at)
			}
			f.deliverRound(at, cut...)
		}
	}
	f.writeReading(at, "nobody heard of")
	rounds(3)
	f.writeReading(at, "all idle")
	f.cores[1].ApplyChanges(at, Change{Delta: [3]int64{5}}, Change{Key: Key{KindClass, "look"}, Delta: [3]int64{5}})
	f.cores[2].ApplyChanges(at, Change{Delta: [3]int64{0, 2, 2}}, Change{Key: engine, Delta: [3]int64{0, 2, 2}})
	rounds(1)
	f.writeReading(at, "seven came, heard of once")
	rounds(4)
	f.writeReading(at, "two seconds later", Key{KindClass, "look"}, engine)
	rounds(4, 2)
	f.writeReading(at, "g2 cut off for two seconds", engine)
	rounds(3)
	f.writeReading(at, "and back", engine)
	f.cores[1].ApplyChanges(at, Change{Delta: [3]int64{-5}})
	rounds(4)
	f.cores[0].MarkStopped("g1", 1)
	f.writeReading(at, "g1 has left")
	f.hosts[2] = &recordingHost{map[string][]byte{}}
	f.cores[2] = newTestCore(at, 2, 3, f.hosts[2])
	f.cores[2].Tick(at)
	receive(t, f.cores[0], at, "g2", 2, f.hosts[2].sent["g0"])
	f.writeReading(at, "g2 was started anew")
	for range 11 {
		for range 10 {
			at += roundInterval / 10
			f.advance(at)
		}
		f.cores[0].Tick(at)
		receive(t, f.cores[2], at, "g0", 1, f.hosts[0].sent["g2"])
		f.cores[2].Tick(at)
		receive(t, f.cores[0], at, "g2", 2, f.hosts[2].sent["g0"])
	}
	f.writeReading(at, "five seconds later")
	if got := f.readings.String(); got != expectedReadings {
		t.Errorf("readings differ, got\n%s", got)
	}
}

// Messages that are delivered again, late or in another order change nothing.
func TestMessageOrderAndDuplicatesDoNotMatter(t *testing.T) {
	f := newTestCluster(3)
	var messages [][]byte
	for at := roundInterval; at < 20*roundInterval; at += roundInterval {
		f.cores[1].ApplyChanges(at, Change{Delta: [3]int64{1, 0, 0}})
		f.deliverRound(at, 2)
		messages = append(messages, f.hosts[1].sent["g0"])
	}
	at := 20 * roundInterval
	want := f.cores[0].TakeReading(at, Key{})
	random := rand.New(rand.NewPCG(1, 1))
	for range 100 {
		if err := f.cores[0].HandleMessage(at, "g1", 1, messages[random.IntN(len(messages))]); err != nil {
			t.Fatal(err)
		}
	}
	if got := f.cores[0].TakeReading(at, Key{}); !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, expected %v", got, want)
	}
}

// Guards against readings that assign old counts to a later time because the clock offset comes from an old echo. The sender's clock runs a
// twentieth fast, the receiver's a twentieth slow, and from 10 s to 21 s messages arrive in one direction only. The sender's waiting
// requests must not be read for a time after they ended.
func TestOldClockEchoesDoNotDateCountsTooLate(t *testing.T) {
	newHost := func() *recordingHost { return &recordingHost{map[string][]byte{}} }
	receiverHost, senderHost := newHost(), newHost()
	receiver, sender := newTestCore(0, 0, 2, receiverHost), newTestCore(0, 1, 2, senderHost)
	fast := func(t Time) Time { return t + t/20 }
	slow := func(t Time) Time { return t - t/20 }
	sender.ApplyChanges(0, Change{Delta: [3]int64{9}})
	endedAt := 20 * second
	for trueTime := Time(0); trueTime < 21*second; trueTime += second / 20 {
		sender.Tick(fast(trueTime))
		receiver.Tick(slow(trueTime))
		if m := senderHost.sent["g0"]; m != nil {
			receive(t, receiver, slow(trueTime), "g1", 1, m)
		}
		if m := receiverHost.sent["g1"]; m != nil && trueTime < 10*second {
			receive(t, sender, fast(trueTime), "g0", 1, m)
		}
		if trueTime == endedAt {
			sender.ApplyChanges(fast(trueTime), Change{Delta: [3]int64{-9}})
		}
		r := receiver.TakeReading(slow(trueTime), Key{})
		if at := trueTime - r.Age*20/19; at > endedAt+second/50 && r.Counts[0].Ranges[Waiting].Low > 0 {
			t.Fatalf("the reading for %.2f s has %v waiting requests, but they ended at %.2f s", float64(at)/float64(second), r.Counts[0].Ranges[Waiting], float64(endedAt)/float64(second))
		}
	}
}

// Counts that do not fit into a message are read as unknown, not as 0.
func TestCountersThatDoNotFitAreUnknown(t *testing.T) {
	f := newTestCluster(3)
	for i := range 300 {
		f.cores[1].ApplyChanges(0, Change{Key: Key{KindEngine, fmt.Sprint("e-", i)}, Delta: [3]int64{0, 1, 1}})
	}
	f.deliverRound(roundInterval)
	f.deliverRound(2 * roundInterval)
	if n := len(f.hosts[1].sent["g0"]); n > MaxMessageBytes {
		t.Errorf("the message is too long: %d bytes", n)
	}
	r := f.cores[0].TakeReading(2*roundInterval, Key{KindEngine, "e-0"}, Key{KindEngine, "e-299"})
	if got := fmt.Sprint(r.Counts[0].Ranges[Running], r.Counts[1].Ranges[Running]); got != "{0 1} {0 100}" {
		t.Errorf("running requests: got %s", got)
	}
}

func FuzzDecode(f *testing.F) {
	c := newTestCore(0, 0, 3, &recordingHost{map[string][]byte{}})
	c.ApplyChanges(5, Change{Delta: [3]int64{3, 1, 1}})
	f.Add(c.encodeMessage("g1"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if m, err := decode(b); err != nil && (m.until != 0 || m.counts != nil) {
			t.Fatal("decode returned a partial message with an error")
		}
	})
}

func BenchmarkApplyChanges(b *testing.B) {
	c := newTestCore(0, 0, 32, &recordingHost{map[string][]byte{}})
	changes := []Change{{Delta: [3]int64{1}}, {Key: Key{KindClass, "look"}, Delta: [3]int64{1}}, {Key: Key{KindEngine, "e-1"}, Delta: [3]int64{0, 1, 1}}}
	b.ReportAllocs()
	for b.Loop() {
		c.ApplyChanges(5, changes...)
	}
}

// receive makes a core process a message that must be valid.
func receive(t *testing.T, c *Core, now Time, from string, incarnation uint64, message []byte) {
	t.Helper()
	if err := c.HandleMessage(now, from, incarnation, message); err != nil {
		t.Fatal(err)
	}
}

// newTestCore returns the core of process n in a cluster of the given number of processes. A process has up to 100 requests in flight, each
// for up to four seconds.
func newTestCore(now Time, n, processes int, host Host) *Core {
	return New(now, Options{Name: fmt.Sprint("g", n), MaxProcesses: processes, MaxInFlight: 100, LongestRequest: 4 * second, Host: host})
}
