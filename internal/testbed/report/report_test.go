package report

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"magpiebank/internal/testbed/load/arrival"
	"magpiebank/internal/testbed/load/client"
	"magpiebank/internal/testbed/load/experiment"
	"magpiebank/internal/testbed/load/stats"
)

// newResult returns the result of a run of 2,000 requests with latencies from the given one to 49 ms more. Every hundredth request was
// rejected.
func newResult(name string, latency time.Duration) *experiment.Result {
	metrics := stats.New([]string{"look", "load"}, []time.Duration{50 * time.Millisecond, time.Second})
	for n := range uint64(2000) {
		at := time.Duration(n) * 5 * time.Millisecond
		outcome := client.Served
		if n%100 == 99 {
			outcome = client.Rejected
		}
		metrics.RecordOffered(at)
		metrics.RecordFinished(&client.Report{Request: &arrival.Request{Number: n, At: at, Class: int(n % 2)}, Outcome: outcome, FinishedAt: at + latency + time.Duration(n%50)*time.Millisecond,
			SentAt: at, Attempts: 1})
	}
	r := &experiment.Result{Name: name, Seed: 4, Scheduled: 2000, Took: 10 * time.Second, Length: 10 * time.Second, Metrics: metrics}
	r.Verdicts = []experiment.Verdict{{Name: "generator", Good: true, Text: "in time"}, {Name: "rules", Text: "broken <b>"}}
	r.Script = []experiment.ScriptEvent{{At: time.Second, What: "pause 0"}}
	r.Truth = []experiment.Comparison{{Class: "look", Requests: 10, Rows: []experiment.Row{{Quantile: 0.5, Reported: time.Second, True: time.Second, Good: true}}}}
	return r
}

func ExampleText() {
	Text(os.Stdout, newResult("some", 10*time.Millisecond))
	// Output:
	// some: seed 4, 2000 tasks in 10s, real sockets on loopback
	//
	// lane  offered  delivered  in quoted time  p50 ms   p90   p99  p99.9   max  tries
	// look     1000       1000          84.00%    34.0  54.0  58.0   58.0  58.0   1000
	// load     1000        980          98.00%    35.0  55.0  59.0   59.0  59.0   1000
	//
	// outcomes  delivered  nacked
	// look           1000       0
	// load            980      20
	//
	// at   1.00 s  pause 0
	//
	// look against the truth: 10 answers; a closed loop of 0 users would not have sent 0 of them
	// quantile  reported ms  true  off by  closed loop
	// p50              1000  1000    0.00         0.00  ok
	//
	// good   generator: in time
	// MISSED rules: broken <b>
}

// The verdict is better or worse only if the difference exceeds the differences between repeated runs, and there are enough runs.
func ExampleCompare() {
	runs := func(n int, latency, step time.Duration) (out []*experiment.Result) {
		for i := range n {
			out = append(out, newResult("some", latency+time.Duration(i)*step))
		}
		return out
	}
	ms := time.Millisecond
	fmt.Println(Compare(os.Stdout, runs(5, 20*ms, ms), runs(5, 21*ms, ms)))
	fmt.Println(Compare(os.Stdout, runs(5, 40*ms, ms), runs(6, 10*ms, ms)))
	fmt.Println(Compare(os.Stdout, runs(2, 40*ms, ms), runs(6, 10*ms, ms)))
	fmt.Println(Compare(os.Stdout, runs(1, ms, ms), []*experiment.Result{newResult("other", ms)}))
	// Output:
	// some                   before (5)      interval  after (5)      interval  difference           verdict
	// look p50 ms                 46.02  44.03..48.03      47.01  45.02..49.02       +0.99  within the noise
	// look p99 ms                 70.02  68.03..72.06      71.04  69.06..73.02       +1.02  within the noise
	// look p99.9 ms               70.02  68.03..72.06      71.04  69.06..73.02       +1.02  within the noise
	// look in quoted time %       60.00  56.00..64.00      56.00  52.00..60.00       -4.00  within the noise
	// load p50 ms                 47.01  45.02..49.02      48.03  46.02..50.01       +1.02  within the noise
	// load p99 ms                 71.04  69.06..73.02      72.06  70.02..74.05       +1.02  within the noise
	// load p99.9 ms               71.04  69.06..73.02      72.06  70.02..74.05       +1.02  within the noise
	// load in quoted time %       98.00  98.00..98.00      98.00  98.00..98.00       +0.00  within the noise
	// <nil>
	// some                   before (5)      interval  after (6)      interval  difference           verdict
	// look p50 ms                 66.05  64.03..68.03      36.53  34.01..39.01      -29.52            better
	// look p99 ms                 90.05  88.06..92.03      60.53  58.02..63.01      -29.52            better
	// look p99.9 ms               90.05  88.06..92.03      60.53  58.02..63.01      -29.52            better
	// look in quoted time %       20.00  16.00..24.00      78.00  72.00..84.00      +58.00            better
	// load p50 ms                 67.01  65.02..69.06      37.52  35.01..40.03      -29.49            better
	// load p99 ms                 91.01  89.02..93.05      61.52  59.01..64.03      -29.49            better
	// load p99.9 ms               91.01  89.02..93.05      61.52  59.01..64.03      -29.49            better
	// load in quoted time %       98.00  98.00..98.00      98.00  98.00..98.00       +0.00  within the noise
	// <nil>
	// some                   before (2)      interval  after (6)      interval  difference               verdict
	// look p50 ms                 64.53  64.03..65.02      36.53  34.01..39.01      -28.00  too few runs to tell
	// look p99 ms                 88.54  88.06..89.02      60.53  58.02..63.01      -28.02  too few runs to tell
	// look p99.9 ms               88.54  88.06..89.02      60.53  58.02..63.01      -28.02  too few runs to tell
	// look in quoted time %       22.00  20.00..24.00      78.00  72.00..84.00      +56.00  too few runs to tell
	// load p50 ms                 65.53  65.02..66.05      37.52  35.01..40.03      -28.02  too few runs to tell
	// load p99 ms                 89.53  89.02..90.05      61.52  59.01..64.03      -28.02  too few runs to tell
	// load p99.9 ms               89.53  89.02..90.05      61.52  59.01..64.03      -28.02  too few runs to tell
	// load in quoted time %       98.00  98.00..98.00      98.00  98.00..98.00       +0.00  too few runs to tell
	// <nil>
	// runs of some and of other can't be compared
}

// The page has all parts of the result and refers to no other file.
func TestPage(t *testing.T) {
	var b bytes.Buffer
	if err := Page(&b, newResult("some", 10*time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	page := b.String()
	for _, want := range []string{"a bound was missed", "broken &lt;b&gt;", "pause 0", "Latency by quantile", "99.9%"} {
		if !strings.Contains(page, want) {
			t.Errorf("the page lacks %q", want)
		}
	}
	if n := strings.Count(page, "<svg"); n != 5 || strings.Contains(page, "src=") || strings.Contains(page, "href=\"http") {
		t.Errorf("expected 5 pictures and no links to other files, found %d pictures", n)
	}
	empty := &experiment.Result{Name: "empty", Metrics: stats.New([]string{"look"}, []time.Duration{1})}
	if err := Page(&bytes.Buffer{}, empty); err != nil {
		t.Errorf("page of a run without requests: %v", err)
	}
}

func TestArchive(t *testing.T) {
	path := filepath.Join(t.TempDir(), "runs")
	a, err := OpenArchive(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		if id, err := a.Put(newResult("some", time.Duration(i)*time.Millisecond), "note"); err != nil || id != uint64(i+1) {
			t.Fatalf("expected numbers from 1 for stored runs, found %d, error %v", id, err)
		}
	}
	if err := a.Remove(2); err != nil {
		t.Error(err)
	}
	if err := a.Remove(2); err == nil {
		t.Error("expected an error when a run is removed twice")
	}
	if err := a.Close(); err != nil {
		t.Fatal(err)
	}
	a, err = OpenArchive(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = a.Close() })
	n := 0
	if err := a.Each(func(k *ArchivedRun) error { n += int(k.ID); return nil }); err != nil {
		t.Error(err)
	}
	run, err := a.Get(3)
	if err != nil || n != 4 || run.Note != "note" || run.Result.Metrics.Total() != 2000 || run.Result.Good() {
		t.Errorf("expected run 3 and a sum of numbers of 4, found a sum of %d, error %v, run %+v", n, err, run)
	}
	if _, err := a.Get(2); err == nil {
		t.Error("expected an error for a removed run, but it was found")
	}
}
