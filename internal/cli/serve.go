package cli

import (
	"errors"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"magpiebank/internal/config"
	"magpiebank/internal/router"
	"magpiebank/internal/traffic/capture"
)

// defaultCaptureMB limits a recording: some millions of requests without their text.
const defaultCaptureMB = 256

// serveFlags are the flags of the serve command.
type serveFlags struct {
	configuration configurationFlags
	captureFile   string // empty: nothing is recorded
	captureMB     int64
	captureText   bool
	stateFolder   string // empty: no request journal is kept
	stateMB       int64
}

// serveCommand returns the command that runs the gateway.
func (p Program) serveCommand(env func(string) string, errs io.Writer) *cobra.Command {
	var flags serveFlags
	command := &cobra.Command{Use: "serve", Short: "Serve clients until told to stop by SIGTERM; SIGHUP has the configuration read again",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return p.serve(&flags, errs) }}
	flags.configuration.register(command, env)
	set := command.Flags()
	set.StringVar(&flags.captureFile, "capture", "", "record the requests that come to this new file, for magpiebank-testbed to replay")
	set.Int64Var(&flags.captureMB, "capture-mb", defaultCaptureMB, "most megabytes that the file grows to")
	set.StringVar(&flags.stateFolder, "state", "", "folder of the request journal, which survives a crash; default none is kept")
	set.Int64Var(&flags.stateMB, "state-mb", defaultStateMB, "most megabytes that the folder takes")
	set.BoolVar(&flags.captureText, "capture-text", false, "record statements with their literals, not their shapes only")
	return command
}

// serve runs the gateway until SIGTERM or SIGINT, and the shutdown after it.
func (p Program) serve(flags *serveFlags, errs io.Writer) error {
	if flags.configuration.operator != "" && p.LoadOperatorRules == nil {
		return becomeOperatorProgram()
	}
	// Signals are caught before anything else, so that none ends a gateway that is starting.
	signals := catchSignals()
	defer signals.release()
	start, level, err := flags.configuration.read()
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(errs, &slog.HandlerOptions{Level: level}))
	recorder, err := flags.startCapture(log)
	if err != nil {
		return runError{err}
	}
	defer recorder.Stop()
	options := router.Options{Capture: recorder}
	var rules OperatorRules
	if flags.configuration.operator != "" {
		rules, err = p.LoadOperatorRules(flags.configuration.operator, start, log)
		if err != nil {
			return err
		}
		options.ResourceGroups, options.Peers = rules.ResourceGroups(), rules.Peers()
		signals.catchSave()
		go signals.saveOnRequest(rules)
		defer rules.SaveCostModel()
	}
	stop, reloads := make(chan struct{}), make(chan *config.Config)
	go signals.awaitStop(stop)
	go signals.reloadOnRequest(&flags.configuration, rules, reloads, log)
	journal, closeJournal, err := openState(flags.stateFolder, flags.stateMB, start, log)
	if err != nil {
		return runError{err}
	}
	options.Journal = journal
	if err := errors.Join(router.Serve(start, options, log, stop, reloads), closeJournal()); err != nil {
		return runError{err}
	}
	return nil
}

// startCapture begins a recording if one is asked for; otherwise it returns nil.
func (f *serveFlags) startCapture(log *slog.Logger) (*capture.Recorder, error) {
	if f.captureFile == "" {
		return nil, nil
	}
	return capture.Start(f.captureFile, f.captureMB<<20, f.captureText, log)
}

// signals are the process's signals to the gateway. Each of its goroutines ends at release.
type signals struct {
	stop, reload, save chan os.Signal
	released           chan struct{}
}

// catchSignals catches SIGTERM, SIGINT and SIGHUP from now on, which stay caught after release, so that none
// cuts the end of the process short.
func catchSignals() *signals {
	s := &signals{
		stop:     make(chan os.Signal, 1),
		reload:   make(chan os.Signal, 1),
		save:     make(chan os.Signal, 1),
		released: make(chan struct{}),
	}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// catchSave catches SIGUSR1 from now on.
func (s *signals) catchSave() { signal.Notify(s.save, syscall.SIGUSR1) }

// release ends the goroutines that wait for signals.
func (s *signals) release() { close(s.released) }

// awaitStop closes stop at the first SIGTERM or SIGINT.
func (s *signals) awaitStop(stop chan<- struct{}) {
	select {
	case <-s.stop:
		close(stop)
	case <-s.released:
	}
}

// saveOnRequest has what was learned saved at each SIGUSR1.
func (s *signals) saveOnRequest(rules OperatorRules) {
	for {
		select {
		case <-s.save:
			rules.SaveCostModel()
		case <-s.released:
			return
		}
	}
}

// reloadOnRequest reads the operator's file, if there are rules, and the configuration again at each SIGHUP.
func (s *signals) reloadOnRequest(flags *configurationFlags, rules OperatorRules, reloads chan<- *config.Config, log *slog.Logger) {
	for {
		select {
		case <-s.reload:
		case <-s.released:
			return
		}
		if rules != nil {
			if err := rules.Reload(); err != nil {
				log.Warn("operator's file", "code", "kept", "error", err)
			}
		}
		next, _, err := flags.read()
		if err != nil {
			log.Warn("configuration", "code", "kept", "error", err)
			continue
		}
		select {
		case reloads <- next:
		case <-s.released:
			return
		}
	}
}
