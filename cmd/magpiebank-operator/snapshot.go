package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"magpiebank/internal/query/costmodel"
	"magpiebank/internal/workload"
)

func snapshotCommand() *cobra.Command {
	c := &cobra.Command{Use: "snapshot", Short: "The cost models that gateways have saved"}
	c.AddCommand(snapshotShowCommand(), snapshotMergeCommand())
	return c
}

func snapshotShowCommand() *cobra.Command {
	return &cobra.Command{Use: "show FILE...", Short: "Print what snapshots contain, or why they can't be read", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			for _, file := range args {
				snapshot, err := workload.ReadSnapshot(file)
				if err != nil {
					return err
				}
				shapes, answers := snapshot.CountRecords()
				fmt.Fprintf(c.OutOrStdout(), "%s: lanes %q, %d shapes on groups of tables, %d answers\n", file, snapshot.ClassNames(), shapes, answers)
			}
			return nil
		}}
}

func snapshotMergeCommand() *cobra.Command {
	var out string
	c := &cobra.Command{Use: "merge FILE...", Short: "Merge the snapshots of several gateways into one", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if out == "" {
				return errors.New("flag out: expected the file to write")
			}
			var snapshots []*costmodel.Snapshot
			for _, file := range args {
				snapshot, err := workload.ReadSnapshot(file)
				if err != nil {
					return err
				}
				snapshots = append(snapshots, snapshot)
			}
			merged := costmodel.MergeSnapshots(snapshots...)
			if err := workload.WriteSnapshot(out, merged); err != nil {
				return err
			}
			shapes, answers := merged.CountRecords()
			fmt.Fprintf(c.OutOrStdout(), "%s: %d shapes on groups of tables, %d answers\n", out, shapes, answers)
			return nil
		}}
	c.Flags().StringVar(&out, "out", "", "the file to write")
	return c
}
