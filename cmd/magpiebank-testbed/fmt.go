package main

import (
	"fmt"
	"os"

	"github.com/google/go-jsonnet/formatter"
	"github.com/spf13/cobra"
)

// fmtCommand writes operators' files in their usual form.
func fmtCommand() *cobra.Command {
	var test bool
	c := &cobra.Command{Use: "fmt FILE...", Short: "Write Jsonnet files in their usual form", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			differ := false
			for _, path := range args {
				text, err := os.ReadFile(path)
				if err != nil {
					return badFile{err}
				}
				out, err := formatter.Format(path, string(text), formatter.DefaultOptions())
				if err != nil {
					return badFile{err}
				}
				if out == string(text) {
					continue
				}
				differ = true
				fmt.Fprintln(c.OutOrStdout(), path)
				if !test {
					if err := os.WriteFile(path, []byte(out), 0o644); err != nil {
						return err
					}
				}
			}
			if test && differ {
				return errMissed
			}
			return nil
		}}
	c.Flags().BoolVar(&test, "test", false, "write nothing; status 1 when a file is not in its usual form")
	return c
}
