package main

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"magpiebank/internal/protocol/mysql"
	"magpiebank/internal/query/sqltext"
	"magpiebank/internal/resourcegroup"
	"magpiebank/internal/workload"
	"magpiebank/internal/workload/source"
)

func statementCommand() *cobra.Command {
	c := &cobra.Command{Use: "statement", Short: "What is read of statements, and what was learned of them"}
	c.AddCommand(explainCommand(), digestCommand(), checkFileCommand(), snapshotCommand())
	return c
}

// statements reads what an operator's file says of statements; no file says nothing.
func statements(file string) (*workload.Statements, error) {
	s := &workload.Statements{MemoryBytes: 1 << 20}
	if file == "" {
		return s, nil
	}
	f, err := source.Read(file)
	if err != nil {
		return nil, err
	}
	if f.Statements != nil {
		s = f.Statements
	}
	return s, nil
}

func explainCommand() *cobra.Command {
	var file, lane string
	c := &cobra.Command{Use: "explain [TEXT]", Short: "Print a statement's tokens, shape, features, class and estimate, and why",
		Args: cobra.ArbitraryArgs,
		RunE: func(c *cobra.Command, args []string) error {
			text := strings.Join(args, " ")
			if len(args) == 0 {
				b, err := io.ReadAll(io.LimitReader(c.InOrStdin(), sqltext.MaxStatementBytes+1))
				if err != nil {
					return err
				}
				text = string(b)
			}
			s, err := statements(file)
			if err != nil {
				return err
			}
			return explain(c.OutOrStdout(), s, lane, []byte(strings.TrimSpace(text)))
		}}
	c.Flags().StringVar(&file, "operator", "", "the operator's file, for its tables, classes and snapshot")
	c.Flags().StringVar(&lane, "lane", "", "the statement's lane; default the one in its comment")
	return c
}

func checkFileCommand() *cobra.Command {
	return &cobra.Command{Use: "check FILE", Short: "Say what an operator's file asks for, or what is amiss in it", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			f, err := source.Read(args[0])
			if err != nil {
				return err
			}
			out := c.OutOrStdout()
			if f.Statements == nil {
				fmt.Fprintln(out, "nothing: statements are not looked at")
				return nil
			}
			s := f.Statements
			fmt.Fprintf(out, "statements: %d kB, %d tables, %d pools, %d classes; a line every %v; snapshot %q\n", s.MemoryBytes>>10, len(s.Tables),
				len(s.Plan.Pools), len(s.Plan.Classes), s.LogInterval, s.SnapshotFile)
			for i, k := range s.Plan.Classes {
				fmt.Fprintf(out, "%d. class %s: pool %q, %g threads, %d waiting, %g ms of work a second\n", i+1, k.Name, k.Pool, k.MaxThreads,
					k.MaxWaiting, k.WorkMillisPerSecond)
				if k.RejectText != "" {
					fmt.Fprintf(out, "   never sent: %s\n", k.RejectText)
				}
			}
			return nil
		}}
}

func explain(out io.Writer, s *workload.Statements, lane string, sql []byte) error {
	if request, err := mysql.ReadRequest(sql); err == nil {
		if lane == "" {
			lane = string(request.Class)
		}
		sql = request.Statement
	}
	lanes := []string{lane}
	b := s.NewCostModel(len(lanes))
	if s.SnapshotFile != "" {
		known, err := workload.ReadSnapshot(s.SnapshotFile)
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		if err == nil {
			b.Restore(known, lanes)
		}
	}
	sight := b.Inspect(sql, mysql.TableGroup(sql), 0)
	f, e := sight.Features(), b.Estimate(&sight)
	if lane != "" {
		fmt.Fprintf(out, "lane       %s\n", lane)
	}
	fmt.Fprint(out, "tokens     ")
	const most = 40 // as many as fit on a few lines
	l := sqltext.Lexer{Text: sql}
	n := 0
	for t := l.Next(); t.Kind != sqltext.End && n < most; t = l.Next() {
		fmt.Fprintf(out, "%s ", t.Kind)
		n++
	}
	if f.Tokens > n {
		fmt.Fprintf(out, "and %d more", f.Tokens-n)
	}
	fmt.Fprintln(out)
	fmt.Fprintf(out, "shape      %016x\nnormal     %s\ngroup      %d\n", sight.Shape, sqltext.AppendNormalized(nil, sql), sight.Group)
	if f.Parsed {
		fmt.Fprintf(out, "read       by the grammar, %d tokens\n", f.Tokens)
	} else {
		fmt.Fprintf(out, "read       from its tokens alone: %s\n", f.ParseError)
	}
	fmt.Fprintf(out, "verb       %s\n", f.Verb)
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	for i, t := range f.Tables {
		what := "narrowed"
		if t.Scanned {
			what = "read as a whole"
		}
		if t.Written {
			what = "written"
		}
		fmt.Fprintf(w, "table %d\t%s.%s\t%s\t%s\n", i, t.Schema, t.Name, t.Alias, what)
	}
	for _, p := range f.Predicates {
		fmt.Fprintf(w, "predicate\t%s\ton table %d\t%s\n", p.Column, p.Table, p.Match)
	}
	w.Flush()
	fmt.Fprintf(out, "joins %d (%d loose), subqueries %d, unions %d, aggregates %d, groups %d, sorts %d, windows %d, limit %d\n", f.Joins,
		f.UnboundJoins, f.Subqueries, f.Unions, f.Aggregates, f.Groups, f.Sorts, f.Windows, f.Limit)
	if e.FullScan != "" {
		fmt.Fprintf(out, "full scan  of %s: no equality, range or prefix on a key narrows it\n", e.FullScan)
	}
	switch {
	case e.Observations > 0:
		fmt.Fprintf(out, "estimate   %.1f ms usually, nine of ten under %.1f ms, %.0f MB; by %d answers\n", e.WorkMillis, e.UpperMillis, e.MemoryMB, e.Observations)
		if e.BadPlanShare > 0 {
			fmt.Fprintf(out, "bad plans  %.0f%% of answers took %.0f times the usual\n", 100*e.BadPlanShare, e.BadPlanFactor)
		}
	case e.Known:
		fmt.Fprintf(out, "estimate   %.1f ms usually, nine of ten under %.1f ms; by its features and its lane's answers\n", e.WorkMillis, e.UpperMillis)
	default:
		fmt.Fprintf(out, "estimate   %.1f times its lane's usual work; no answer is known of the lane\n", e.WorkMillis)
	}
	if e.Uncertain {
		fmt.Fprintln(out, "doubt      a load ended on its tables, or its cost moved: the upper figure is doubled")
	}
	subject := resourcegroup.Subject{RequestClass: lane, Features: f, Estimate: e}
	n = s.Plan.Classify(&subject)
	if n == 0 {
		fmt.Fprintln(out, "class      none: no limits, all engines")
		return nil
	}
	k := s.Plan.Classes[n-1]
	fmt.Fprintf(out, "class      %s, the %d. of the file: pool %q, %g threads, %d waiting, %g ms of work a second\n", k.Name, n, k.Pool, k.MaxThreads,
		k.MaxWaiting, k.WorkMillisPerSecond)
	if k.RejectText != "" {
		fmt.Fprintf(out, "never sent: error %d, %s\n", mysql.ErrForbidden, k.RejectText)
	}
	return nil
}
