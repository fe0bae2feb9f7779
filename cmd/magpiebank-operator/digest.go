package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"magpiebank/internal/query/costmodel"
	"magpiebank/internal/query/digest"
	"magpiebank/internal/traffic/importer"
	"magpiebank/internal/traffic/trace"
	"magpiebank/internal/workload"
)

func digestCommand() *cobra.Command {
	var form, file, snapshot, page string
	var most int
	var asJSON bool
	c := &cobra.Command{Use: "digest FILE", Short: "Print the shapes that cost most in a trace, or in MySQL's slow log", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := statements(file)
			if err != nil {
				return err
			}
			var costs digest.CostLookup
			if snapshot != "" {
				known, err := workload.ReadSnapshot(snapshot)
				if err != nil {
					return err
				}
				costs = known.UsualMillis
			}
			entries, amiss, err := recorded(args[0], form)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			for _, line := range amiss {
				fmt.Fprintf(c.ErrOrStderr(), "%s: %s\n", args[0], line)
			}
			if len(entries) == 0 {
				return fmt.Errorf("%s: expected statements, found none", args[0])
			}
			d := digest.Summarize(entries, most, s.TableLookup(), costs)
			if page != "" {
				f, err := os.Create(page)
				if err != nil {
					return err
				}
				if err := errors.Join(d.WriteHTML(f), f.Close()); err != nil {
					return err
				}
			}
			if asJSON {
				out := json.NewEncoder(c.OutOrStdout())
				out.SetIndent("", " ")
				return out.Encode(d)
			}
			return d.WriteText(c.OutOrStdout())
		}}
	c.Flags().StringVar(&form, "form", "", "trace, mysql-slow, mysql-general, jsonl or csv; default told from the file's beginning: a trace, or a slow log")
	c.Flags().StringVar(&file, "operator", "", "the operator's file, for what it says of tables")
	c.Flags().StringVar(&snapshot, "snapshot", "", "a gateway's snapshot, for what statements without a time usually take")
	c.Flags().StringVar(&page, "html", "", "write the digest's page to this file")
	c.Flags().IntVar(&most, "most", 20, "how many shapes")
	c.Flags().BoolVar(&asJSON, "json", false, "print the digest as JSON")
	return c
}

// recorded reads a recording in any form that is known.
func recorded(path, form string) (entries []digest.Entry, amiss []string, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, nil, err
	}
	defer f.Close()
	if form == "" {
		head := make([]byte, len(trace.Magic))
		io.ReadFull(f, head)
		if _, err := f.Seek(0, io.SeekStart); err != nil {
			return nil, nil, err
		}
		if form = string(importer.SlowLog); string(head) == trace.Magic {
			form = "trace"
		}
	}
	var raws []importer.Entry
	if form == "trace" {
		t, err := trace.Read(f)
		if err != nil {
			return nil, nil, err
		}
		for _, r := range t.Records {
			raws = append(raws, importer.Entry{Record: r})
		}
	} else if raws, amiss, err = importer.Read(f, importer.Format(form), importer.Options{KeepText: true}); err != nil {
		return nil, nil, err
	}
	for i := range raws {
		r := &raws[i]
		if r.Record.Shape == 0 {
			continue // nothing of its statement was recorded
		}
		entries = append(entries, digest.Entry{Shape: r.Record.Shape, Group: r.Record.Group, Text: r.Record.Text, Elapsed: r.Elapsed, RowsExamined: r.RowsExamined})
	}
	return entries, amiss, nil
}

func snapshotCommand() *cobra.Command {
	c := &cobra.Command{Use: "snapshot", Short: "What gateways have learned, as they wrote it"}
	show := &cobra.Command{Use: "show FILE...", Short: "Say what snapshots hold, or what is amiss with them", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			for _, file := range args {
				s, err := workload.ReadSnapshot(file)
				if err != nil {
					return err
				}
				shapes, answers := s.CountRecords()
				fmt.Fprintf(c.OutOrStdout(), "%s: lanes %q, %d shapes on groups of tables, %d answers\n", file, s.ClassNames(), shapes, answers)
			}
			return nil
		}}
	var out string
	merge := &cobra.Command{Use: "merge FILE...", Short: "Make one snapshot of those of several gateways", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if out == "" {
				return errors.New("flag out: expected the file to write")
			}
			var list []*costmodel.Snapshot
			for _, file := range args {
				s, err := workload.ReadSnapshot(file)
				if err != nil {
					return err
				}
				list = append(list, s)
			}
			one := costmodel.MergeSnapshots(list...)
			if err := workload.WriteSnapshot(out, one); err != nil {
				return err
			}
			shapes, answers := one.CountRecords()
			fmt.Fprintf(c.OutOrStdout(), "%s: %d shapes on groups of tables, %d answers\n", out, shapes, answers)
			return nil
		}}
	merge.Flags().StringVar(&out, "out", "", "the file to write")
	c.AddCommand(show, merge)
	return c
}
