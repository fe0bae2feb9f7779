package main

import (
	"bytes"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"magpiebank/internal/testbed/load/experiment"
	"magpiebank/internal/traffic/importer"
)

// runClockJumps makes a log of a load with a clock that jumps, imports the log with its times repaired, compares the repaired times with
// the true ones, and replays the resulting trace.
func runClockJumps(c *cobra.Command, o *output) error {
	if o.folder == "" {
		o.folder = experiment.DefaultFolder("clock-jumps")
	}
	if err := os.MkdirAll(o.folder, 0o755); err != nil {
		return err
	}
	trueTimes, recorded := jumpingLog()
	entries, problems, err := importer.Read(bytes.NewReader(recorded), importer.JSONLines, importer.Options{Class: "look", Wait: 5 * time.Second})
	if err != nil {
		return err
	}
	t, repairs := importer.RepairClock(entries, importer.ClockRepair{})
	path := filepath.Join(o.folder, "mended.trace")
	if err := t.WriteFile(path); err != nil {
		return err
	}
	for _, r := range repairs {
		if r.Count > 1 || r.Kind != importer.RepeatedTimestamp {
			fmt.Fprintln(c.OutOrStdout(), "mended:", r)
		}
	}
	var worst time.Duration
	for i := range t.Records {
		worst = max(worst, (t.Records[i].Offset - trueTimes[i]).Abs())
	}
	// Repaired times deviate because the true gaps at the three faults of the clock are lost, and equal timestamps are spread evenly.
	const bound = 250 * time.Millisecond
	fmt.Fprintf(c.OutOrStdout(), "%d records, %d invalid entries; intended times differ from the true ones by at most %v, the bound is %v\n\n",
		len(t.Records), len(problems), worst.Round(time.Microsecond), bound)
	e, err := experiment.Parse(filepath.Join(o.folder, "clock-jumps.jsonnet"), `{
  name: 'clock-jumps',
  lanes: [{ name: 'look', patience: '5s', service: { kind: 'lognormal', mean: '5ms', cv: 1 } }],
  load: { kind: 'replay', trace: 'mended.trace' },
  front: true,
  bounds: { check_truth: true },
}`)
	if err != nil {
		return err
	}
	r, err := runExperiment(c.Context(), c, e, o)
	if err != nil {
		return err
	}
	if worst > bound || len(t.Records) != len(trueTimes) || len(problems) > 0 {
		return errReported
	}
	return verdictError(r)
}

// jumpingLog returns a JSON Lines log of a load of about 20 seconds, with timestamps of a clock that jumps back an hour, jumps forward
// a day, and stands still for ten thousand entries. trueTimes holds the true times of the entries, counted from the first one.
func jumpingLog() (trueTimes []time.Duration, recorded []byte) {
	r := rand.New(rand.NewSource(4))
	var b bytes.Buffer
	start := time.Date(2026, 11, 1, 18, 0, 0, 0, time.UTC)
	at, clockOffset := time.Duration(0), time.Duration(0)
	for i := range 30000 {
		if i > 0 {
			at += time.Duration(r.ExpFloat64() / 1500 * float64(time.Second))
		}
		at = at.Truncate(time.Microsecond)
		switch i {
		case 5000:
			clockOffset -= time.Hour
		case 10000:
			clockOffset += 24 * time.Hour
		}
		stamped := at
		if i >= 15000 && i < 25000 {
			stamped = trueTimes[15000-1]
		}
		trueTimes = append(trueTimes, at)
		fmt.Fprintf(&b, "{\"time\":%q,\"group\":%d}\n", start.Add(stamped+clockOffset).Format(time.RFC3339Nano), 1+i%9)
	}
	return trueTimes, b.Bytes()
}
