package main

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"text/tabwriter"

	"magpiebank/internal/protocol/mysql"
	"magpiebank/internal/query/costmodel"
	"magpiebank/internal/query/sqltext"
	"magpiebank/internal/resourcegroup"
	"magpiebank/internal/workload"
)

// maxExplainedTokens is the number of tokens that fit on a few lines.
const maxExplainedTokens = 40

// explain writes a statement's tokens, shape, features, estimated cost and class in the operator's file. If requestClass is empty, the
// request class is taken from the statement's comment.
func explain(out io.Writer, s *workload.StatementConfig, requestClass string, sql []byte) error {
	if request, err := mysql.ReadRequest(sql); err == nil {
		if requestClass == "" {
			requestClass = string(request.Class)
		}
		sql = request.Statement
	}
	model, err := restoreCostModel(s, requestClass)
	if err != nil {
		return err
	}
	statement := model.Inspect(sql, mysql.TableGroup(sql), 0)
	features := statement.Features()
	estimate := model.Estimate(&statement)
	if requestClass != "" {
		fmt.Fprintf(out, "lane       %s\n", requestClass)
	}
	explainTokens(out, sql, features.Tokens)
	fmt.Fprintf(out, "shape      %016x\nnormal     %s\ngroup      %d\n", statement.Shape, sqltext.AppendNormalized(nil, sql), statement.Group)
	if err := explainFeatures(out, features); err != nil {
		return err
	}
	explainEstimate(out, &estimate)
	input := resourcegroup.ClassificationInput{RequestClass: requestClass, Features: features, Estimate: estimate}
	explainClass(out, &s.Plan, s.Plan.Classify(&input))
	return nil
}

// restoreCostModel returns a cost model of one request class, restored from the snapshot file if there is one.
func restoreCostModel(s *workload.StatementConfig, requestClass string) (*costmodel.Model, error) {
	classes := []string{requestClass}
	model := s.NewCostModel(len(classes))
	if s.SnapshotFile == "" {
		return model, nil
	}
	snapshot, err := workload.ReadSnapshot(s.SnapshotFile)
	if errors.Is(err, fs.ErrNotExist) {
		return model, nil
	}
	if err != nil {
		return nil, err
	}
	model.Restore(snapshot, classes)
	return model, nil
}

func explainTokens(out io.Writer, sql []byte, tokens int) {
	fmt.Fprint(out, "tokens     ")
	lexer := sqltext.Lexer{Text: sql}
	written := 0
	for token := lexer.Next(); token.Kind != sqltext.End && written < maxExplainedTokens; token = lexer.Next() {
		fmt.Fprintf(out, "%s ", token.Kind)
		written++
	}
	if tokens > written {
		fmt.Fprintf(out, "and %d more", tokens-written)
	}
	fmt.Fprintln(out)
}

func explainFeatures(out io.Writer, f *costmodel.Features) error {
	if f.Parsed {
		fmt.Fprintf(out, "read       by the grammar, %d tokens\n", f.Tokens)
	} else {
		fmt.Fprintf(out, "read       from its tokens alone: %s\n", f.ParseError)
	}
	fmt.Fprintf(out, "verb       %s\n", f.Verb)
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	for i, t := range f.Tables {
		access := "narrowed"
		if t.Scanned {
			access = "read as a whole"
		}
		if t.Written {
			access = "written"
		}
		fmt.Fprintf(table, "table %d\t%s.%s\t%s\t%s\n", i, t.Schema, t.Name, t.Alias, access)
	}
	for _, p := range f.Predicates {
		fmt.Fprintf(table, "predicate\t%s\ton table %d\t%s\n", p.Column, p.Table, p.Match)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "joins %d (%d loose), subqueries %d, unions %d, aggregates %d, groups %d, sorts %d, windows %d, limit %d\n", f.Joins,
		f.UnboundJoins, f.Subqueries, f.Unions, f.Aggregates, f.Groups, f.Sorts, f.Windows, f.Limit)
	return nil
}

func explainEstimate(out io.Writer, e *costmodel.Estimate) {
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
		fmt.Fprintln(out, "doubt      data was loaded into its tables, or its cost changed: the upper estimate is doubled")
	}
}

// explainClass writes the class at the position number in the plan, counted from 1; 0 means that the statement has no class.
func explainClass(out io.Writer, plan *resourcegroup.Plan, number int) {
	if number == 0 {
		fmt.Fprintln(out, "class      none: no limits, all engines")
		return
	}
	class := &plan.Classes[number-1]
	fmt.Fprintf(out, "class      %s, the %d. of the file: pool %q, %g threads, %d waiting, %g ms of work a second\n", class.Name, number, class.Pool, class.MaxThreads,
		class.MaxWaiting, class.WorkMillisPerSecond)
	if class.RejectText != "" {
		fmt.Fprintf(out, "never sent: error %d, %s\n", mysql.ErrForbidden, class.RejectText)
	}
}
