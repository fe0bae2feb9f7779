package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"magpiebank/internal/testbed/load/experiment"
	"magpiebank/internal/testbed/report"
)

// defaultArchive is the default of --archive. Archives of earlier versions have this name.
const defaultArchive = "magpielab.runs"

// archiveCommand makes the subcommands of runs. path is the archive's file.
type archiveCommand struct{ path string }

// run returns a function for cobra that opens the archive, calls a command with it, and closes it.
func (a *archiveCommand) run(command func(c *cobra.Command, archive *report.Archive, args []string) error) func(*cobra.Command, []string) error {
	return func(c *cobra.Command, args []string) (err error) {
		archive, err := report.OpenArchive(a.path)
		if err != nil {
			return err
		}
		defer func() {
			if closeErr := archive.Close(); err == nil {
				err = closeErr
			}
		}()
		return command(c, archive, args)
	}
}

func runsCommand() *cobra.Command {
	var a archiveCommand
	c := &cobra.Command{Use: "runs", Short: "Manage the runs that were stored with --archive"}
	c.PersistentFlags().StringVar(&a.path, "archive", defaultArchive, "the archive's file")
	c.AddCommand(a.listCommand(), a.showCommand(), a.compareCommand(), a.removeCommand())
	return c
}

func (a *archiveCommand) listCommand() *cobra.Command {
	return &cobra.Command{Use: "list", Short: "List the runs", Args: cobra.NoArgs,
		RunE: a.run(func(c *cobra.Command, archive *report.Archive, _ []string) error {
			return archive.Each(func(run *report.ArchivedRun) error {
				verdict := "good"
				if !run.Result.Good() {
					verdict = "missed"
				}
				fmt.Fprintf(c.OutOrStdout(), "%4d  %s  %-14s seed %-6d %8d tasks  %-6s  %s\n", run.ID,
					run.Result.Began.Format("2006-01-02 15:04:05"), run.Result.Name, run.Result.Seed, run.Result.Scheduled, verdict, run.Note)
				return nil
			})
		})}
}

func (a *archiveCommand) showCommand() *cobra.Command {
	var asJSON bool
	var page string
	c := &cobra.Command{Use: "show N", Short: "Show runs", Args: cobra.ExactArgs(1),
		RunE: a.run(func(c *cobra.Command, archive *report.Archive, args []string) error {
			results, err := readRuns(archive, args[0])
			if err != nil {
				return err
			}
			for _, result := range results {
				if err := showRun(c.OutOrStdout(), result, page, asJSON); err != nil {
					return err
				}
			}
			return nil
		})}
	c.Flags().BoolVar(&asJSON, "json", false, "print it as JSON")
	c.Flags().StringVar(&page, "html", "", "write the report's page to this file")
	return c
}

// showRun prints a result, and also writes it as a page if page, a path, is not empty.
func showRun(out io.Writer, result *experiment.Result, page string, asJSON bool) error {
	if page != "" {
		if err := writePage(page, result); err != nil {
			return err
		}
	}
	if asJSON {
		return json.NewEncoder(out).Encode(result)
	}
	report.Text(out, result)
	return nil
}

func (a *archiveCommand) compareCommand() *cobra.Command {
	return &cobra.Command{Use: "compare BEFORE AFTER", Short: "Compare two sets of runs, as in: compare 1,2,3 4-6", Args: cobra.ExactArgs(2),
		RunE: a.run(func(c *cobra.Command, archive *report.Archive, args []string) error {
			before, err := readRuns(archive, args[0])
			if err != nil {
				return err
			}
			after, err := readRuns(archive, args[1])
			if err != nil {
				return err
			}
			return report.Compare(c.OutOrStdout(), before, after)
		})}
}

func (a *archiveCommand) removeCommand() *cobra.Command {
	return &cobra.Command{Use: "rm N...", Short: "Remove runs", Args: cobra.MinimumNArgs(1),
		RunE: a.run(func(_ *cobra.Command, archive *report.Archive, args []string) error {
			for _, arg := range args {
				ids, err := parseRunNumbers(arg)
				if err != nil {
					return err
				}
				for _, id := range ids {
					if err := archive.Remove(id); err != nil {
						return err
					}
				}
			}
			return nil
		})}
}

// maxRunRange limits the difference between the ends of a range such as 4-6.
const maxRunRange = 10000

// parseRunNumbers parses a list of run numbers and ranges, such as 1,4-6.
func parseRunNumbers(text string) (ids []uint64, err error) {
	for _, part := range strings.Split(text, ",") {
		firstText, lastText, isRange := strings.Cut(part, "-")
		if !isRange {
			lastText = firstText
		}
		first, firstErr := strconv.ParseUint(firstText, 10, 64)
		last, lastErr := strconv.ParseUint(lastText, 10, 64)
		if firstErr != nil || lastErr != nil || first > last || last-first > maxRunRange {
			return nil, inputError{fmt.Errorf("%q: expected numbers of runs, as in 1,4-6", text)}
		}
		for id := first; id <= last; id++ {
			ids = append(ids, id)
		}
	}
	return ids, nil
}

// readRuns reads the results of the runs in a list such as 1,4-6.
func readRuns(archive *report.Archive, list string) (results []*experiment.Result, err error) {
	ids, err := parseRunNumbers(list)
	if err != nil {
		return nil, err
	}
	for _, id := range ids {
		run, err := archive.Get(id)
		if err != nil {
			return nil, inputError{err}
		}
		results = append(results, run.Result)
	}
	return results, nil
}
