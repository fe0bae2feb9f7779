package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"magpiebank/internal/testbed/load/driver"
	"magpiebank/internal/testbed/load/experiment"
	"magpiebank/internal/testbed/load/stats"
	"magpiebank/internal/testbed/load/workers"
)

func workerCommand() *cobra.Command {
	var join string
	var index int
	c := &cobra.Command{Use: "worker", Short: "Send a share of a run; magpiebank-testbed run --workers starts these", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return workers.RunWorker(join, index) }}
	c.Flags().StringVar(&join, "join", "", "address of the coordinator")
	c.Flags().IntVar(&index, "index", 0, "number of this worker, from 0")
	c.MarkFlagRequired("join")
	return c
}

// crewSender sends a run by worker processes.
func crewSender(e *experiment.Experiment, folder string) experiment.Sender {
	return func(ctx context.Context, l driver.Load, start time.Time, say func(experiment.Progress)) (*stats.Metrics, int64, int64, error) {
		co, err := workers.NewCoordinator(folder, e.Workers, e.OnLoss == "drop", l, start)
		if err != nil {
			return nil, 0, 0, err
		}
		self, err := os.Executable()
		if err != nil {
			return nil, 0, 0, err
		}
		var started []*exec.Cmd
		co.Spawn = func(worker int, address string) error {
			log, err := os.Create(filepath.Join(folder, fmt.Sprintf("worker-%d.log", worker)))
			if err != nil {
				return err
			}
			defer log.Close()
			cmd := exec.Command(self, "worker", "--join", address, "--index", strconv.Itoa(worker))
			cmd.Stdout, cmd.Stderr = log, log
			if err := cmd.Start(); err != nil {
				return err
			}
			started = append(started, cmd)
			os.WriteFile(filepath.Join(folder, fmt.Sprintf("worker-%d.pid", worker)), []byte(strconv.Itoa(cmd.Process.Pid)), 0o600)
			go cmd.Wait()
			return nil
		}
		co.Log = func(text string) { fmt.Fprintln(os.Stderr, "magpiebank-testbed:", text) }
		co.Progress = func(at time.Duration, offered, ended, open int64) {
			say(experiment.Progress{At: at, Offered: offered, Finished: ended, Open: open})
		}
		defer context.AfterFunc(ctx, co.Kill)()
		f, notSent, unknown, err := co.Serve()
		for _, cmd := range started {
			cmd.Process.Kill() // those that are stopped or lost; the others have ended
		}
		return f, notSent, unknown, err
	}
}

// resumeRun goes on in place of a coordinator that died.
func resumeRun(c *cobra.Command, name, folder string, o *output) error {
	e, err := experiment.Find(name)
	if err != nil {
		return badFile{err}
	}
	if len(e.Targets) == 0 {
		return badFile{fmt.Errorf("only a run against targets can be gone on with: what the coordinator itself had started died with it")}
	}
	co, err := workers.ResumeCoordinator(folder)
	if err != nil {
		return err
	}
	e.Workers, o.folder = co.Run().Workers, folder
	co.Log = func(text string) { fmt.Fprintln(c.ErrOrStderr(), "magpiebank-testbed:", text) }
	r, err := e.Finish(co.Run().Start, func() (*stats.Metrics, int64, int64, error) { return co.Serve() })
	if err != nil {
		return err
	}
	if err := show(c, r, o); err != nil {
		return err
	}
	return verdict(r)
}
