package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"magpiebank/internal/testbed/load/experiment"
	"magpiebank/internal/testbed/report"
)

// output holds the flags for the results and files of a run.
type output struct {
	json    bool
	page    string // path for the report's page; empty: none
	archive string // path of the archive; empty: none
	note    string
	folder  string // for logs; empty: a default one
	gateway string // path of the gateway's program; empty: a default one
}

func (o *output) flags(c *cobra.Command) {
	c.Flags().BoolVar(&o.json, "json", false, "print the result as JSON")
	c.Flags().StringVar(&o.page, "html", "", "write the report's page to this file")
	c.Flags().StringVar(&o.archive, "archive", "", "store the run in this archive (see magpiebank-testbed runs)")
	c.Flags().StringVar(&o.note, "note", "", "a line stored with the run in the archive")
	c.Flags().StringVar(&o.folder, "folder", "", "folder for the logs of gateways; default one under the temporary folder")
	c.Flags().StringVar(&o.gateway, "gateway", "", "the gateway's program; default magpiebank beside this one")
}

// runExperiment runs an experiment and shows its result.
func runExperiment(ctx context.Context, c *cobra.Command, e *experiment.Experiment, o *output) (*experiment.Result, error) {
	if o.folder == "" {
		o.folder = experiment.DefaultFolder(e.Name)
	}
	if e.Installation != nil && o.gateway != "" {
		e.Installation.Program = o.gateway
	}
	var send experiment.Sender // nil: this process sends the load itself
	if e.Workers > 0 {
		send = workerSender(e, o.folder)
	}
	bar := newProgress(c.ErrOrStderr(), e)
	result, err := e.Run(ctx, o.folder, send, bar.update)
	bar.done()
	if err != nil {
		return nil, err
	}
	return result, showResult(c, result, o)
}

// showResult prints a result, and writes it as a page and stores it in an archive if the flags request that.
func showResult(c *cobra.Command, result *experiment.Result, o *output) error {
	if o.json {
		if err := writeJSON(c.OutOrStdout(), result); err != nil {
			return err
		}
	} else {
		report.Text(c.OutOrStdout(), result)
	}
	if o.page != "" {
		if err := writePage(o.page, result); err != nil {
			return err
		}
	}
	if o.archive == "" {
		return nil
	}
	id, err := addToArchive(o.archive, result, o.note)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.ErrOrStderr(), "stored as run %d in %s\n", id, o.archive)
	return nil
}

// addToArchive adds a run to an archive and returns its number there.
func addToArchive(path string, result *experiment.Result, note string) (id uint64, err error) {
	archive, err := report.OpenArchive(path)
	if err != nil {
		return 0, err
	}
	defer func() { err = errors.Join(err, archive.Close()) }()
	return archive.Put(result, note)
}

func writePage(path string, result *experiment.Result) error {
	return writeFile(path, func(out io.Writer) error { return report.Page(out, result) })
}

// verdictError returns errReported if a result missed a bound.
func verdictError(r *experiment.Result) error {
	if !r.Good() {
		return errReported
	}
	return nil
}

// progress shows the progress of a run on a terminal. It shows nothing if the output is not a terminal.
type progress struct {
	w      io.Writer // nil: the output is not a terminal
	length time.Duration
	shown  bool
}

func newProgress(w io.Writer, e *experiment.Experiment) *progress {
	p := &progress{length: e.Length}
	if f, ok := w.(*os.File); ok {
		if info, err := f.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 {
			p.w = w
		}
	}
	return p
}

func (p *progress) update(now experiment.Progress) {
	if p.w == nil {
		return
	}
	p.shown = true
	fmt.Fprintf(p.w, "\r%5.1f s of %v  offered %d  open %d  connections %d   ", now.At.Seconds(), p.length, now.Offered,
		now.Offered-now.Finished, now.Open)
}

func (p *progress) done() {
	if p.shown {
		fmt.Fprint(p.w, "\r"+strings.Repeat(" ", 78)+"\r")
	}
}

func experimentCommand() *cobra.Command {
	c := &cobra.Command{Use: "experiment", Short: "List and run built-in experiments"}
	list := &cobra.Command{Use: "list", Short: "List the built-in experiments", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			for _, name := range append(experiment.BuiltinNames(), "clock-jumps", "starved", "statements", "restart") {
				fmt.Fprintln(c.OutOrStdout(), name)
			}
			return nil
		}}
	var o output
	var repeat int
	var seed int64
	var noJournal bool
	run := &cobra.Command{Use: "run NAME", Short: "Run a built-in experiment; status 1 if a bound is missed", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			switch args[0] {
			case "clock-jumps":
				return runClockJumps(c, &o)
			case "starved":
				return runStarved(c, &o)
			case "restart":
				return runRestarts(c, &o, seed, noJournal)
			case "statements":
				return statementsExperiment(c, &o, seed)
			}
			return runNamed(c, args[0], &o, repeat, -1)
		}}
	o.flags(run)
	run.Flags().IntVar(&repeat, "repeat", 1, "how many times to run, each time with the next seed")
	run.Flags().Int64Var(&seed, "seed", 101, "for statements and restart: the seed of random values")
	run.Flags().BoolVar(&noJournal, "without-state", false, "for restart: run gateways without a request journal, for comparison")
	c.AddCommand(list, run)
	return c
}

// runNamed runs an experiment, given by its name or file, once or several times, each time with the next seed. workers below 0 leaves
// the number of workers as the experiment sets it.
func runNamed(c *cobra.Command, name string, o *output, repeat, workers int) error {
	var bad error
	for k := range max(1, repeat) {
		e, err := experiment.Find(name)
		if err != nil {
			return inputError{err}
		}
		e.Seed += int64(k)
		if workers >= 0 {
			e.Workers = workers
		}
		r, err := runExperiment(c.Context(), c, e, o)
		if err != nil {
			return err
		}
		if err := verdictError(r); err != nil {
			bad = err
		}
	}
	return bad
}

func runCommand() *cobra.Command {
	var o output
	var repeat, workers int
	var resume string
	c := &cobra.Command{Use: "run FILE", Short: "Run an experiment from its file; status 1 if a bound is missed, 2 if the file is invalid",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if resume != "" {
				return resumeRun(c, args[0], resume, &o)
			}
			return runNamed(c, args[0], &o, repeat, workers)
		}}
	o.flags(c)
	c.Flags().IntVar(&repeat, "repeat", 1, "how many times to run, each time with the next seed")
	c.Flags().IntVar(&workers, "workers", -1, "number of processes that send; below 0: as the file sets it")
	c.Flags().StringVar(&resume, "resume", "", "resume the run in this folder, whose coordinator died")
	return c
}

func checkCommand() *cobra.Command {
	return &cobra.Command{Use: "check FILE...", Short: "Check the files of experiments and report errors", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var first error
			for _, path := range args {
				e, err := experiment.Find(path)
				if err != nil {
					fmt.Fprintln(c.ErrOrStderr(), err)
					first = inputError{fmt.Errorf("some files are invalid")}
					continue
				}
				fmt.Fprintf(c.OutOrStdout(), "%s: %s, %v, %d lanes\n", filepath.Base(path), e.Name, e.Length, len(e.Classes))
			}
			return first
		}}
}

func demoCommand() *cobra.Command {
	var o output
	var length time.Duration
	c := &cobra.Command{Use: "demo", Short: "A minute of load through two gateways, with a pause in it", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			e, err := experiment.Find("demo")
			if err != nil {
				return err
			}
			if length > 0 {
				e.Length = length
			}
			if o.folder == "" {
				o.folder = experiment.DefaultFolder(e.Name)
			}
			if o.page == "" {
				o.page = filepath.Join(o.folder, "report.html")
			}
			fmt.Fprintf(c.OutOrStdout(), "%d engines and a discovery service, %d gateways, %v of load; engine 0 is paused from 20 s to 25 s\n\n",
				e.Installation.Engines, e.Installation.Gateways, e.Length)
			r, err := runExperiment(c.Context(), c, e, &o)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "\nThe report's page: %s\nLogs of the gateways: %s\n", o.page, o.folder)
			return verdictError(r)
		}}
	o.flags(c)
	c.Flags().DurationVar(&length, "length", 0, "length of the load; 0: a minute")
	return c
}
