package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"magpiebank/internal/query/digest"
	"magpiebank/internal/traffic/importer"
	"magpiebank/internal/traffic/trace"
	"magpiebank/internal/workload"
)

// traceFormat is the recording format that package trace reads. Package importer reads the others.
const traceFormat = "trace"

// digestOptions holds the arguments of the command "digest".
type digestOptions struct {
	format        string // of the recording; empty: detected from its first bytes
	operatorFile  string
	snapshot      string
	htmlFile      string
	maxShapes     int
	asJSON        bool
	recordingFile string
}

func digestCommand() *cobra.Command {
	var options digestOptions
	c := &cobra.Command{Use: "digest FILE", Short: "Print the shapes that cost most in a trace, or in MySQL's slow log", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			options.recordingFile = args[0]
			summary, err := options.summarize(c.ErrOrStderr())
			if err != nil {
				return err
			}
			return options.write(c.OutOrStdout(), summary)
		}}
	c.Flags().StringVar(&options.format, "form", "", "trace, mysql-slow, mysql-general, jsonl or csv; by default detected from the file's first bytes: a trace, or else a slow log")
	c.Flags().StringVar(&options.operatorFile, "operator", "", "an operator's file with information on tables")
	c.Flags().StringVar(&options.snapshot, "snapshot", "", "a gateway's snapshot, which provides the usual time of statements without a recorded time")
	c.Flags().StringVar(&options.htmlFile, "html", "", "write the digest's page to this file")
	c.Flags().IntVar(&options.maxShapes, "most", 20, "maximum number of shapes")
	c.Flags().BoolVar(&options.asJSON, "json", false, "print the digest as JSON")
	return c
}

// summarize reads the recording and returns its digest. It writes a warning for each part of the recording that it can't read.
func (o *digestOptions) summarize(warnings io.Writer) (*digest.Digest, error) {
	statements, err := readStatements(o.operatorFile)
	if err != nil {
		return nil, err
	}
	var costs digest.CostLookup
	if o.snapshot != "" {
		snapshot, err := workload.ReadSnapshot(o.snapshot)
		if err != nil {
			return nil, err
		}
		costs = snapshot.UsualMillis
	}
	entries, faults, err := readRecording(o.recordingFile, o.format)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", o.recordingFile, err)
	}
	for _, fault := range faults {
		fmt.Fprintf(warnings, "%s: %s\n", o.recordingFile, fault)
	}
	if len(entries) == 0 {
		return nil, fmt.Errorf("%s: expected statements, found none", o.recordingFile)
	}
	return digest.Summarize(entries, o.maxShapes, statements.TableLookup(), costs), nil
}

// write writes the digest as text or JSON, and also as an HTML page if the flag --html names a file.
func (o *digestOptions) write(out io.Writer, summary *digest.Digest) error {
	if o.htmlFile != "" {
		page, err := os.Create(o.htmlFile)
		if err != nil {
			return err
		}
		if err := errors.Join(summary.WriteHTML(page), page.Close()); err != nil {
			return err
		}
	}
	if !o.asJSON {
		return summary.WriteText(out)
	}
	return writeJSON(out, summary, " ")
}

// readRecording returns the statements of a recording, and descriptions of the parts that it can't read.
func readRecording(path, format string) (entries []digest.Entry, faults []string, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = file.Close() }() // an error doesn't matter for a file that was only read
	if format == "" {
		format, err = detectFormat(file)
		if err != nil {
			return nil, nil, err
		}
	}
	imported, faults, err := importRecording(file, format)
	if err != nil {
		return nil, nil, err
	}
	for i := range imported {
		entry := &imported[i]
		if entry.Record.Shape == 0 {
			continue // the statement was not recorded
		}
		entries = append(entries, digest.Entry{Shape: entry.Record.Shape, TableGroup: entry.Record.Group, Text: entry.Record.Text, Elapsed: entry.Elapsed, RowsExamined: entry.RowsExamined})
	}
	return entries, faults, nil
}

// detectFormat detects the format of a recording from its first bytes: a trace begins with trace.Magic, and any other file is assumed to be
// a slow log.
func detectFormat(file io.ReadSeeker) (string, error) {
	head := make([]byte, len(trace.Magic))
	_, err := io.ReadFull(file, head)
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) { // a file shorter than the magic is not a trace
		return "", err
	}
	if _, err := file.Seek(0, io.SeekStart); err != nil {
		return "", err
	}
	if string(head) == trace.Magic {
		return traceFormat, nil
	}
	return string(importer.SlowLog), nil
}

// importRecording returns the entries of a recording in the given format, and descriptions of the parts that it can't read.
func importRecording(file io.Reader, format string) (entries []importer.Entry, faults []string, err error) {
	if format != traceFormat {
		return importer.Read(file, importer.Format(format), importer.Options{KeepText: true})
	}
	recorded, err := trace.Read(file)
	if err != nil {
		return nil, nil, err
	}
	for _, record := range recorded.Records {
		entries = append(entries, importer.Entry{Record: record})
	}
	return entries, nil, nil
}
