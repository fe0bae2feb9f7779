package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"magpiebank/internal/traffic/importer"
	"magpiebank/internal/traffic/trace"
)

func traceCommand() *cobra.Command {
	c := &cobra.Command{Use: "trace", Short: "Import, show and edit traces of recorded load"}
	c.AddCommand(importCommand(), showTraceCommand(), editCommand())
	return c
}

// traceImport holds the flags of trace import.
type traceImport struct {
	format, out, columns string
	options              importer.Options
	clock                importer.ClockRepair
	json                 bool
}

func importCommand() *cobra.Command {
	var t traceImport
	c := &cobra.Command{Use: "import FILE", Short: "Import JSON lines, CSV, or MySQL's general or slow log as a trace, and repair its times",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error { return t.run(c.InOrStdin(), c.OutOrStdout(), args[0]) }}
	c.Flags().StringVar(&t.format, "form", "jsonl", "jsonl, csv, mysql-general or mysql-slow")
	c.Flags().StringVarP(&t.out, "out", "o", "", "file for the trace")
	c.Flags().StringVar(&t.options.Class, "lane", "lookup", "lane of entries without one")
	c.Flags().DurationVar(&t.options.Wait, "wait", 5*time.Second, "maximum wait of entries without one")
	c.Flags().StringVar(&t.columns, "columns", "", "names of the file's columns for time, lane, group, wait_ms, retry, statement: NAME=COLUMN,...")
	c.Flags().BoolVar(&t.options.KeepText, "keep-text", false, "store the text of statements, not only their shapes")
	c.Flags().BoolVar(&t.clock.KeepGaps, "keep-gaps", false, "treat long gaps as quiet times, not as jumps of the clock")
	c.Flags().DurationVar(&t.clock.MaxGap, "most-gap", time.Minute, "longest gap that is not treated as a jump of the clock")
	c.Flags().BoolVar(&t.json, "json", false, "print the report as JSON")
	requireFlag(c, "out")
	return c
}

// requireFlag marks a flag as required.
func requireFlag(c *cobra.Command, name string) {
	if err := c.MarkFlagRequired(name); err != nil {
		panic(err) // only if the command has no such flag
	}
}

// run imports the file at a path and prints a report. If the path is "-", it imports from in.
func (t *traceImport) run(in io.Reader, out io.Writer, path string) error {
	columns, err := parseColumns(t.columns)
	if err != nil {
		return err
	}
	t.options.Columns = columns
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return inputError{err}
		}
		defer func() { _ = file.Close() }() // the file was only read
		in = file
	}
	entries, problems, err := importer.Read(in, importer.Format(t.format), t.options)
	if err != nil {
		return inputError{fmt.Errorf("%s: %w", path, err)}
	}
	imported, repairs := importer.RepairClock(entries, t.clock)
	if err := imported.WriteFile(t.out); err != nil {
		return err
	}
	if t.json {
		return json.NewEncoder(out).Encode(map[string]any{"records": len(imported.Records), "repairs": repairs, "amiss": problems})
	}
	fmt.Fprintf(out, "%s: %d records over %v, from %s\n", t.out, len(imported.Records), span(imported), imported.Start.UTC().Format(time.RFC3339))
	for _, repair := range repairs {
		fmt.Fprintln(out, "mended:", repair)
	}
	for _, problem := range problems {
		fmt.Fprintln(out, "amiss:", problem)
	}
	return nil
}

// parseColumns parses a list such as time=at,lane=class.
func parseColumns(list string) (map[string]string, error) {
	columns := map[string]string{}
	for _, pair := range strings.Split(list, ",") {
		if pair == "" {
			continue
		}
		name, column, ok := strings.Cut(pair, "=")
		if !ok {
			return nil, inputError{fmt.Errorf("flag columns: expected NAME=COLUMN,..., found %q", pair)}
		}
		columns[name] = column
	}
	return columns, nil
}

// span returns the time from a trace's start to its last record.
func span(t *trace.Trace) time.Duration {
	if len(t.Records) == 0 {
		return 0
	}
	return t.Records[len(t.Records)-1].Offset
}

func showTraceCommand() *cobra.Command {
	var salvage bool
	var maxRecords int
	c := &cobra.Command{Use: "show FILE", Short: "Print a trace's records", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			t, err := trace.ReadFile(args[0], salvage)
			if t != nil {
				fmt.Fprintf(c.OutOrStdout(), "%d records over %v, from %s\n", len(t.Records), span(t), t.Start.UTC().Format(time.RFC3339Nano))
				for i, r := range t.Records {
					if i == maxRecords {
						fmt.Fprintf(c.OutOrStdout(), "and %d more\n", len(t.Records)-i)
						break
					}
					fmt.Fprintf(c.OutOrStdout(), "%12.6f s  %-16s group %-4d wait %d ms  retry %v  shape %016x  %s\n", r.Offset.Seconds(), r.Class,
						r.Group, r.WaitMS, r.Retry, r.Shape, r.Text)
				}
			}
			if err != nil {
				return inputError{err}
			}
			return nil
		}}
	c.Flags().BoolVar(&salvage, "salvage", false, "also show a damaged trace, up to the first damage")
	c.Flags().IntVar(&maxRecords, "most", 20, "maximum number of records shown")
	return c
}

func editCommand() *cobra.Command {
	var out string
	var from, to time.Duration
	var speed, thin float64
	var loop int
	var seed int64
	var salvage bool
	c := &cobra.Command{Use: "edit FILE", Short: "Cut, thin, speed up and loop a trace, in this order", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			t, err := trace.ReadFile(args[0], salvage)
			if err != nil && (!salvage || t == nil) {
				return inputError{err}
			}
			if err != nil {
				fmt.Fprintln(c.ErrOrStderr(), "magpiebank-testbed:", err)
			}
			if speed <= 0 || thin < 0 || thin > 1 || loop < 1 || from < 0 || to < 0 {
				return inputError{fmt.Errorf("expected speed above 0, thin from 0 to 1, loop from 1, and times from 0")}
			}
			if from > 0 || to > 0 {
				t = importer.Trim(t, from, to)
			}
			if thin < 1 {
				t = importer.Sample(t, thin, seed)
			}
			t = importer.Repeat(importer.Accelerate(t, speed), loop)
			if err := t.WriteFile(out); err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: %d records over %v\n", out, len(t.Records), span(t))
			return nil
		}}
	c.Flags().StringVarP(&out, "out", "o", "", "file for the trace")
	c.Flags().DurationVar(&from, "from", 0, "cut everything before this time")
	c.Flags().DurationVar(&to, "to", 0, "cut everything from this time on; 0: keep everything to the end")
	c.Flags().Float64Var(&speed, "speed", 1, "factor by which the trace is sped up")
	c.Flags().Float64Var(&thin, "thin", 1, "share of the records to keep")
	c.Flags().IntVar(&loop, "loop", 1, "how many times the trace is repeated")
	c.Flags().Int64Var(&seed, "seed", 1, "seed for thinning")
	c.Flags().BoolVar(&salvage, "salvage", false, "use a damaged trace, up to the first damage")
	requireFlag(c, "out")
	return c
}
