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

// defaultCaptureMB is the default maximum size of a recording, which is enough for a few million requests without their text.
const defaultCaptureMB = 256

// serveFlags are the flags of the serve command.
type serveFlags struct {
	configuration configurationFlags
	captureFile   string // empty: requests are not recorded
	captureMB     int64
	captureText   bool
	stateFolder   string // empty: there is no request journal
	stateMB       int64
}

// serveCommand returns the command that runs the gateway.
func (p Program) serveCommand(env func(string) string, errs io.Writer) *cobra.Command {
	var flags serveFlags
	command := &cobra.Command{Use: "serve", Short: "Serve clients until SIGTERM; on SIGHUP, read the configuration again",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return p.serve(&flags, errs) }}
	flags.configuration.register(command, env)
	set := command.Flags()
	set.StringVar(&flags.captureFile, "capture", "", "new file in which requests are recorded, for replay by magpiebank-testbed")
	set.Int64Var(&flags.captureMB, "capture-mb", defaultCaptureMB, "maximum size of the file in megabytes")
	set.StringVar(&flags.stateFolder, "state", "", "folder of the request journal, which survives a crash; default no journal")
	set.Int64Var(&flags.stateMB, "state-mb", defaultStateMB, "maximum size of the folder in megabytes")
	set.BoolVar(&flags.captureText, "capture-text", false, "record statements with their literals instead of their shapes only")
	return command
}

// serve runs the gateway until SIGTERM or SIGINT, and then shuts it down.
func (p Program) serve(flags *serveFlags, errs io.Writer) error {
	if flags.configuration.operator != "" && p.LoadOperatorRules == nil {
		return execOperatorProgram()
	}
	// Signals are caught before the gateway starts, so that no signal kills the process during startup.
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

// startCapture starts a recording if the flags name a file; otherwise it returns nil.
func (f *serveFlags) startCapture(log *slog.Logger) (*capture.Recorder, error) {
	if f.captureFile == "" {
		return nil, nil
	}
	return capture.Start(f.captureFile, f.captureMB<<20, f.captureText, log)
}

// signals receives the signals that the process gets. Its methods awaitStop, saveOnRequest and reloadOnRequest run in goroutines, which
// end when release is called.
type signals struct {
	stop, reload, save chan os.Signal
	released           chan struct{}
}

// catchSignals starts to catch SIGTERM, SIGINT and SIGHUP. They stay caught after release, so that no signal kills the process while it
// shuts down.
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

// catchSave starts to catch SIGUSR1.
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

// saveOnRequest saves the cost model at each SIGUSR1.
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

// reloadOnRequest reads the operator's file, if rules is not nil, and the configuration again at each SIGHUP, and sends the new
// configuration to reloads. If a file is invalid, it logs a warning, and the settings from that file stay in force.
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
