package experiment

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func TestShippedFilesCanBeRead(t *testing.T) {
	for _, name := range BuiltinNames() {
		if _, err := Find(name); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	files, _ := filepath.Glob("../../../../examples/*.jsonnet")
	for _, path := range files {
		if _, err := Read(path); err != nil {
			t.Errorf("%v", err)
		}
	}
	if len(files) < 10 {
		t.Errorf("expected at least 10 examples, found %d", len(files))
	}
}

// Shows the errors for files with mistakes. Each error names the line.
func ExampleParse() {
	for _, text := range []string{
		"{ name: 'x' }",
		"{ name: 'x', length: 5, lanes: [{ name: 'a' }], load: { rate: 5 }, front: true }",
		"{ name: 'x', length: '5s', lanes: [{ name: 'a', patience: '5' }], load: { kind: 'bursts', levels: [5] }, front: true }",
		"{ name: 'x', length: '5s', lanes: [{ name: 'a' }], load: { rate: 5 }, front: true,\n script: [{ at: '1s', 'do': 'puase' }] }",
		"{ name: 'x', length: '5s', lanes: [{ name: 'a' }], load: { kind: 'bursts', levels: [5] }, front: true }",
		"{ name: 'x', length: '5s', lanes: [{ name: 'a' }], load: { rate: 5 }, targets: ['10.0.0.1:3306'] }",
		"{ name: 'x', length: '5s', lanes: [{ name: 'a' }], load: { rate: 5 }, front: true,\n bounds: { goals: [{ lane: 'b' }],\n allow: ['gone'] } }",
		"{ name: 'x', length: '5s', lanes: [{ name: 'a' }], load: { kind: 'replay', trace: 'none.trace' }, front: true }",
	} {
		_, err := Parse("x.jsonnet", text)
		fmt.Println(err)
	}
	// Output:
	// x.jsonnet:1: lanes: expected at least one lane, found nothing
	// x.jsonnet:1: load: expected a shape, found nothing
	// x.jsonnet:1: site: expected one of site, front: true, and targets, found nothing
	// x.jsonnet:1: length: expected a time above 0, found nothing
	// x.jsonnet:1: length: expected a time with its unit, as in "250ms" or "1m30s", found 5
	// x.jsonnet:1: lanes[0].patience: expected a time with its unit, as in "250ms" or "1m30s", found "5"
	// x.jsonnet:1: load.dwell: expected a time above 0, found 0s
	// x.jsonnet:2: script[0].do: expected "pause" (the nearest of accept, break-list, drain, fail, gone, hold-list, kill, mend-list, pause, ready, refuse, reload, reset, resume, silent, slow, speak, start, stop), found "puase"
	// x.jsonnet:1: load.dwell: expected a time above 0, found 0s
	// x.jsonnet:1: targets: expected addresses on loopback, found ["10.0.0.1:3306"]
	// x.jsonnet:2: bounds.goals[0].lane: expected the name of a lane, found "b"
	// x.jsonnet:3: bounds.allow: expected names of outcomes, as in "given up", found ["gone"]
	// x.jsonnet:1: load.trace: expected a trace that can be read (open none.trace: no such file or directory), found "none.trace"
}

// Shows coordinated omission: a closed loop of one user doesn't measure the requests that are due while the user waits.
func Example_closedLoop() {
	var truths []trueLatency
	for i := range 100 {
		at := time.Duration(i) * 10 * time.Millisecond
		latency := time.Millisecond
		if at >= 300*time.Millisecond && at < 800*time.Millisecond { // the server is stalled
			latency = 800*time.Millisecond - at
		}
		truths = append(truths, trueLatency{at, latency})
	}
	slow := 0
	seen := closedLoopLatencies(truths, 1)
	for _, l := range seen {
		if l > time.Millisecond {
			slow++
		}
	}
	fmt.Println(len(truths), "tasks, 50 of them slow; a closed loop sees", len(seen), "and", slow)
	// Output: 100 tasks, 50 of them slow; a closed loop sees 51 and 1
}

const shortExperiment = `{
  name: 'short', seed: 2, length: '2s',
  lanes: [{ name: 'look', patience: '5s', service: { kind: 'exponential', mean: '5ms' } }],
  load: { kind: 'poisson', rate: 300 },
  front: true,
  script: [{ at: '500ms', 'do': 'pause' }, { at: '1s', 'do': 'resume' }],
  bounds: { own: '1s', check_truth: true, truth_least: '%s' },
}`

// A complete run against a frontend that is paused in between must offer the whole schedule and report the true latencies.
// With a tolerance of zero, which no run can meet, the run must miss the bound.
func TestRun(t *testing.T) {
	for tolerance, good := range map[string]bool{"100ms": true, "0s": false} {
		e, err := Parse("short.jsonnet", fmt.Sprintf(shortExperiment, tolerance))
		if err != nil {
			t.Fatal(err)
		}
		if !good {
			e.Bounds.TruthTolerance = 0
		}
		r, err := e.Run(context.Background(), t.TempDir(), nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		if r.Good() != good || r.Metrics.Total() != r.Scheduled || len(r.Script) != 2 {
			t.Errorf("bound %s: %+v", tolerance, r.Verdicts)
		}
	}
}

// A run must end early with the context's error when its context is done.
func TestCanceledRun(t *testing.T) {
	e, err := Parse("short.jsonnet", strings.Replace(fmt.Sprintf(shortExperiment, "1s"), "'2s'", "'10m'", 1))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
	defer cancel()
	if r, err := e.Run(ctx, t.TempDir(), nil, nil); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("%+v, %v", r, err)
	}
}

func TestStepsFailWithoutSite(t *testing.T) {
	for verb, target := range targetsByVerb {
		step := Step{Do: verb, Which: "all", target: target}
		if err := step.run(nil, nil); target != targetFrontend && err == nil {
			t.Errorf("step %s succeeded without an installation", verb)
		}
	}
}
