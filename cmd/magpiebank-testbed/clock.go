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

// clockJumps records a load with a clock that jumps, imports it, and plays what was mended against what is true.
func clockJumps(c *cobra.Command, o *output) error {
	if o.folder == "" {
		o.folder = experiment.DefaultFolder("clock-jumps")
	}
	if err := os.MkdirAll(o.folder, 0o755); err != nil {
		return err
	}
	truth, recorded := jumpingLog()
	raws, amiss, err := importer.Read(bytes.NewReader(recorded), importer.JSONLines, importer.Options{Class: "look", Wait: 5 * time.Second})
	if err != nil {
		return err
	}
	t, repairs := importer.RepairClock(raws, importer.ClockRepair{})
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
		worst = max(worst, (t.Records[i].Offset - truth[i]).Abs())
	}
	const bound = 250 * time.Millisecond // three jumps whose true gaps nobody knows any more, and stamps spread evenly
	fmt.Fprintf(c.OutOrStdout(), "%d records, %d amiss; intended times differ from the true ones by %v at most, the bound is %v\n\n",
		len(t.Records), len(amiss), worst.Round(time.Microsecond), bound)
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
	r, err := play(c.Context(), c, e, o)
	if err != nil {
		return err
	}
	if worst > bound || len(t.Records) != len(truth) || len(amiss) > 0 {
		return errMissed
	}
	return verdict(r)
}

// jumpingLog is a load of some 20 seconds as a clock would record it that jumps back an hour, forward a day, and stands
// still for ten thousand entries; truth has the times from the first entry on.
func jumpingLog() (truth []time.Duration, recorded []byte) {
	r := rand.New(rand.NewSource(4))
	var b bytes.Buffer
	start := time.Date(2026, 11, 1, 18, 0, 0, 0, time.UTC)
	at, off := time.Duration(0), time.Duration(0)
	for i := range 30000 {
		if i > 0 {
			at += time.Duration(r.ExpFloat64() / 1500 * float64(time.Second))
		}
		at = at.Truncate(time.Microsecond)
		switch i {
		case 5000:
			off -= time.Hour
		case 10000:
			off += 24 * time.Hour
		}
		stood := at
		if i >= 15000 && i < 25000 {
			stood = truth[15000-1]
		}
		truth = append(truth, at)
		fmt.Fprintf(&b, "{\"time\":%q,\"group\":%d}\n", start.Add(stood+off).Format(time.RFC3339Nano), 1+i%9)
	}
	return truth, b.Bytes()
}
