package main

import (
	"fmt"
	"os"

	"github.com/google/go-jsonnet/formatter"
	"github.com/spf13/cobra"
)

// formattedFileMode is the mode for new files. An existing file, which is the usual case, keeps its mode.
const formattedFileMode = 0o644

// fmtCommand returns the command that formats Jsonnet files, such as experiments and operators' files.
func fmtCommand() *cobra.Command {
	var test bool
	c := &cobra.Command{Use: "fmt FILE...", Short: "Format Jsonnet files", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			differ := false
			for _, path := range args {
				changed, err := formatFile(path, !test)
				if err != nil {
					return err
				}
				if changed {
					differ = true
					fmt.Fprintln(c.OutOrStdout(), path)
				}
			}
			if test && differ {
				return errReported
			}
			return nil
		}}
	c.Flags().BoolVar(&test, "test", false, "write nothing; status 1 if a file is not formatted")
	return c
}

// formatFile formats a file, and writes the result if write is set. It returns whether formatting changes the file.
func formatFile(path string, write bool) (changed bool, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return false, inputError{err}
	}
	formatted, err := formatter.Format(path, string(text), formatter.DefaultOptions())
	if err != nil {
		return false, inputError{err}
	}
	if formatted == string(text) {
		return false, nil
	}
	if !write {
		return true, nil
	}
	return true, os.WriteFile(path, []byte(formatted), formattedFileMode)
}
