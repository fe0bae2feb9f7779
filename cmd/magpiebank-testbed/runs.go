package main

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"magpiebank/internal/testbed/load/experiment"
	"magpiebank/internal/testbed/report"
)

// usualArchive is the default of --archive; archives of earlier versions lie under this name.
const usualArchive = "magpielab.runs"

func runsCommand() *cobra.Command {
	var path string
	c := &cobra.Command{Use: "runs", Short: "Runs that were kept with --archive"}
	c.PersistentFlags().StringVar(&path, "archive", usualArchive, "the archive's file")
	with := func(f func(c *cobra.Command, a *report.Archive, args []string) error) func(*cobra.Command, []string) error {
		return func(c *cobra.Command, args []string) error {
			a, err := report.OpenArchive(path)
			if err != nil {
				return err
			}
			defer a.Close()
			return f(c, a, args)
		}
	}
	list := &cobra.Command{Use: "list", Short: "List them", Args: cobra.NoArgs,
		RunE: with(func(c *cobra.Command, a *report.Archive, _ []string) error {
			return a.Each(func(k *report.ArchivedRun) error {
				word := "good"
				if !k.Result.Good() {
					word = "missed"
				}
				fmt.Fprintf(c.OutOrStdout(), "%4d  %s  %-14s seed %-6d %8d tasks  %-6s  %s\n", k.ID,
					k.Result.Began.Format("2006-01-02 15:04:05"), k.Result.Name, k.Result.Seed, k.Result.Scheduled, word, k.Note)
				return nil
			})
		})}
	var asJSON bool
	var page string
	show := &cobra.Command{Use: "show N", Short: "Show one", Args: cobra.ExactArgs(1),
		RunE: with(func(c *cobra.Command, a *report.Archive, args []string) error {
			kept, err := pick(a, args[0])
			if err != nil {
				return err
			}
			for _, k := range kept {
				if page != "" {
					if err := writePage(page, k); err != nil {
						return err
					}
				}
				if asJSON {
					if err := json.NewEncoder(c.OutOrStdout()).Encode(k); err != nil {
						return err
					}
					continue
				}
				report.Text(c.OutOrStdout(), k)
			}
			return nil
		})}
	show.Flags().BoolVar(&asJSON, "json", false, "print it as JSON")
	show.Flags().StringVar(&page, "html", "", "write the report's page to this file")
	compare := &cobra.Command{Use: "compare BEFORE AFTER", Short: "Compare two sets of runs, as in: compare 1,2,3 4-6", Args: cobra.ExactArgs(2),
		RunE: with(func(c *cobra.Command, a *report.Archive, args []string) error {
			before, err := pick(a, args[0])
			if err != nil {
				return err
			}
			after, err := pick(a, args[1])
			if err != nil {
				return err
			}
			return report.Compare(c.OutOrStdout(), before, after)
		})}
	rm := &cobra.Command{Use: "rm N...", Short: "Take runs out", Args: cobra.MinimumNArgs(1),
		RunE: with(func(c *cobra.Command, a *report.Archive, args []string) error {
			for _, arg := range args {
				ids, err := numbers(arg)
				if err != nil {
					return err
				}
				for _, id := range ids {
					if err := a.Remove(id); err != nil {
						return err
					}
				}
			}
			return nil
		})}
	c.AddCommand(list, show, compare, rm)
	return c
}

// numbers reads a list as in 1,4-6.
func numbers(text string) (out []uint64, err error) {
	for _, part := range strings.Split(text, ",") {
		first, last, ok := strings.Cut(part, "-")
		if !ok {
			last = first
		}
		a, err1 := strconv.ParseUint(first, 10, 64)
		b, err2 := strconv.ParseUint(last, 10, 64)
		if err1 != nil || err2 != nil || a > b || b-a > 10000 {
			return nil, badFile{fmt.Errorf("%q: expected numbers of runs, as in 1,4-6", text)}
		}
		for ; a <= b; a++ {
			out = append(out, a)
		}
	}
	return out, nil
}

func pick(a *report.Archive, text string) (out []*experiment.Result, err error) {
	ids, err := numbers(text)
	if err != nil {
		return nil, err
	}
	for _, id := range ids {
		k, err := a.Get(id)
		if err != nil {
			return nil, badFile{err}
		}
		out = append(out, k.Result)
	}
	return out, nil
}
