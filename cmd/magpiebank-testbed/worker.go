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
		RunE: func(*cobra.Command, []string) error { return workers.RunWorker(join, index) }}
	c.Flags().StringVar(&join, "join", "", "address of the coordinator")
	c.Flags().IntVar(&index, "index", 0, "number of this worker, from 0")
	requireFlag(c, "join")
	return c
}

// workerSender returns a sender that distributes the load over worker processes. Their logs are in the folder.
func workerSender(e *experiment.Experiment, folder string) experiment.Sender {
	return func(ctx context.Context, load driver.Load, start time.Time, report func(experiment.Progress)) (*stats.Metrics, int64, int64, error) {
		coordinator, err := workers.NewCoordinator(folder, e.Workers, e.OnLoss == "drop", load, start)
		if err != nil {
			return nil, 0, 0, err
		}
		self, err := os.Executable()
		if err != nil {
			return nil, 0, 0, err
		}
		processes := &workerProcesses{program: self, folder: folder}
		coordinator.Spawn = processes.start
		coordinator.Log = func(text string) { fmt.Fprintln(os.Stderr, "magpiebank-testbed:", text) }
		coordinator.Progress = func(at time.Duration, offered, ended, open int64) {
			report(experiment.Progress{At: at, Offered: offered, Finished: ended, Open: open})
		}
		defer context.AfterFunc(ctx, coordinator.Kill)()
		defer processes.kill()
		return coordinator.Serve()
	}
}

// workerProcesses holds the worker processes of a run.
type workerProcesses struct {
	program  string
	folder   string
	commands []*exec.Cmd
}

// start starts a worker process, and creates its log file and a file with its process id.
func (p *workerProcesses) start(worker int, address string) error {
	log, err := os.Create(filepath.Join(p.folder, fmt.Sprintf("worker-%d.log", worker)))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	// The process isn't bound to the run's context: kill ends it.
	cmd := exec.CommandContext(context.Background(), p.program, "worker", "--join", address, "--index", strconv.Itoa(worker))
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.commands = append(p.commands, cmd)
	go func() { _ = cmd.Wait() }() // only reaps the process; the coordinator notices its end by its connection
	return os.WriteFile(filepath.Join(p.folder, fmt.Sprintf("worker-%d.pid", worker)), []byte(strconv.Itoa(cmd.Process.Pid)), 0o600)
}

// kill kills the worker processes that are still there, for example stopped ones. The others have ended by themselves.
func (p *workerProcesses) kill() {
	for _, cmd := range p.commands {
		_ = cmd.Process.Kill() // fails for processes that have ended
	}
}

// resumeRun continues a run whose coordinator process died, from the files in the run's folder.
func resumeRun(c *cobra.Command, name, folder string, o *output) error {
	e, err := experiment.Find(name)
	if err != nil {
		return inputError{err}
	}
	if len(e.Targets) == 0 {
		return inputError{fmt.Errorf("only a run against targets can be resumed: engines and gateways that the coordinator started ended with it")}
	}
	coordinator, err := workers.ResumeCoordinator(folder)
	if err != nil {
		return err
	}
	e.Workers, o.folder = coordinator.Run().Workers, folder
	coordinator.Log = func(text string) { fmt.Fprintln(c.ErrOrStderr(), "magpiebank-testbed:", text) }
	r, err := e.Finish(coordinator.Run().Start, func() (*stats.Metrics, int64, int64, error) { return coordinator.Serve() })
	if err != nil {
		return err
	}
	if err := showResult(c, r, o); err != nil {
		return err
	}
	return verdictError(r)
}
