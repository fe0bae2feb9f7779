package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"magpiebank/internal/query/sqltext"
	"magpiebank/internal/workload"
	"magpiebank/internal/workload/source"
)

func statementCommand() *cobra.Command {
	c := &cobra.Command{Use: "statement", Short: "Show how statements are parsed and what the cost model learned from them"}
	c.AddCommand(explainCommand(), digestCommand(), checkFileCommand(), snapshotCommand())
	return c
}

// readStatements returns the statements section of an operator's file, or default settings if there is no file or no such section.
func readStatements(file string) (*workload.StatementConfig, error) {
	defaults := &workload.StatementConfig{MemoryBytes: 1 << 20}
	if file == "" {
		return defaults, nil
	}
	settings, err := source.Read(file)
	if err != nil {
		return nil, err
	}
	if settings.Statements == nil {
		return defaults, nil
	}
	return settings.Statements, nil
}

func explainCommand() *cobra.Command {
	var file, class string
	c := &cobra.Command{Use: "explain [TEXT]", Short: "Print a statement's tokens, shape, features, class and estimate, and why",
		Args: cobra.ArbitraryArgs,
		RunE: func(c *cobra.Command, args []string) error {
			text := strings.Join(args, " ")
			if len(args) == 0 {
				input, err := io.ReadAll(io.LimitReader(c.InOrStdin(), sqltext.MaxStatementBytes+1))
				if err != nil {
					return err
				}
				text = string(input)
			}
			settings, err := readStatements(file)
			if err != nil {
				return err
			}
			return explain(c.OutOrStdout(), settings, class, []byte(strings.TrimSpace(text)))
		}}
	c.Flags().StringVar(&file, "operator", "", "the operator's file, for its tables, classes and snapshot")
	c.Flags().StringVar(&class, "lane", "", "the statement's lane; by default the one in its comment")
	return c
}

func checkFileCommand() *cobra.Command {
	return &cobra.Command{Use: "check FILE", Short: "Print the rules in an operator's file, or its errors", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			settings, err := source.Read(args[0])
			if err != nil {
				return err
			}
			if settings.Statements == nil {
				fmt.Fprintln(c.OutOrStdout(), "nothing: statements are not parsed")
				return nil
			}
			describeStatements(c.OutOrStdout(), settings.Statements)
			return nil
		}}
}

// describeStatements writes a summary of the statements section of an operator's file.
func describeStatements(out io.Writer, s *workload.StatementConfig) {
	fmt.Fprintf(out, "statements: %d kB, %d tables, %d pools, %d classes; a line every %v; snapshot %q\n", s.MemoryBytes>>10, len(s.Tables),
		len(s.Plan.Pools), len(s.Plan.Classes), s.LogInterval, s.SnapshotFile)
	for i, class := range s.Plan.Classes {
		fmt.Fprintf(out, "%d. class %s: pool %q, %g threads, %d waiting, %g ms of work a second\n", i+1, class.Name, class.Pool, class.MaxThreads,
			class.MaxWaiting, class.WorkMillisPerSecond)
		if class.RejectText != "" {
			fmt.Fprintf(out, "   never sent: %s\n", class.RejectText)
		}
	}
}
