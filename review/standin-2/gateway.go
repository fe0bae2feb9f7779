//go:build review

package lab

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Gateway is a gateway process. It may be killed and started again.
type Gateway struct {
	Name   string
	Listen string
	Config map[string]any // the configuration but for name, listen and seed
	Flags  []string       // flags after the deploy file's run command

	lab   *Lab
	label string // distinguishes two processes of the same name
	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	state string // how the last process ended
}

// runCommand is the line run of deploy/balancer.toml.
const runCommand = "exec bin/magpiebank serve"

// NewGateway describes a gateway; Start starts it. label is the name of its files.
func (l *Lab) NewGateway(name, label string, config map[string]any, flags ...string) (*Gateway, error) {
	listen, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	g := &Gateway{Name: name, Listen: listen, Config: config, Flags: flags, lab: l, label: label}
	l.atEnd(func() {
		g.Signal(syscall.SIGCONT)
		g.Kill()
		g.copyLog()
	})
	return g, nil
}

// copyLog writes the gateway's log lines, but for those on single connections, to the record.
func (g *Gateway) copyLog() {
	text, err := os.ReadFile(g.logPath())
	if err != nil {
		return
	}
	lines := 0
	for line := range strings.Lines(string(text)) {
		if strings.Contains(line, "msg=connection") || lines > 120 {
			continue
		}
		lines++
		g.lab.Note("log "+g.label, "%s", strings.TrimRight(line, "\n"))
	}
}

func (g *Gateway) logPath() string { return g.lab.path(g.label + ".log") }

// WriteConfig writes the configuration file, as the platform does before a start and before SIGHUP.
func (g *Gateway) WriteConfig() error {
	config := map[string]any{"name": g.Name, "listen": g.Listen, "seed": fmt.Sprintf("%016x", time.Now().UnixNano())}
	for key, value := range g.Config {
		if f, ok := value.(func() json.RawMessage); ok {
			value = f()
		}
		config[key] = value
	}
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(g.lab.path(g.label+".json"), text, 0o600)
}

// Start starts the process and waits until it answers COM_PING with OK, as the front does.
func (g *Gateway) Start() error {
	if err := g.WriteConfig(); err != nil {
		return err
	}
	log, err := os.OpenFile(g.logPath(), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := runCommand
	for _, flag := range g.Flags {
		command += " " + flag
	}
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), "RELAY_NAME="+g.Name, "RELAY_LISTEN="+g.Listen, "RELAY_CONFIG="+g.lab.path(g.label+".json"), "TMPDIR="+g.lab.Folder)
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.ended, g.state = cmd, ended, "runs"
	g.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		g.mu.Lock()
		g.state = cmd.ProcessState.String()
		g.mu.Unlock()
		close(ended)
	}()
	g.lab.Note(g.label, "started: %s", command)
	if !g.lab.Await(10*time.Second, func() bool { return !g.Runs() || Ping(g.Listen) == nil }) || !g.Runs() {
		return fmt.Errorf("%s is not ready: %s", g.label, g.State())
	}
	return nil
}

// Runs reports whether the process runs.
func (g *Gateway) Runs() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended == nil {
		return false
	}
	select {
	case <-g.ended:
		return false
	default:
		return true
	}
}

// State tells how the process ended, or that it runs.
func (g *Gateway) State() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state
}

// Signal sends a signal to the process.
func (g *Gateway) Signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd != nil && g.cmd.Process != nil {
		_ = g.cmd.Process.Signal(s) // fails only if the process has ended
	}
}

// Kill kills the process and waits for its end.
func (g *Gateway) Kill() {
	g.Signal(syscall.SIGKILL)
	g.mu.Lock()
	ended := g.ended
	g.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// Run runs another command of the program, as in "policy propose FILE", and returns its output.
func (l *Lab) Run(args ...string) (string, error) {
	out, err := exec.CommandContext(l.Context, "bin/magpiebank", args...).CombinedOutput()
	l.Note("command", "magpiebank %s: %v: %s", strings.Join(args, " "), err, strings.TrimSpace(string(out)))
	return string(out), err
}

// WriteFile writes a file of the temporary folder and returns its path.
func (l *Lab) WriteFile(name string, value any) (string, error) {
	text, isText := value.(string)
	if !isText {
		b, err := json.MarshalIndent(value, "", " ")
		if err != nil {
			return "", err
		}
		text = string(b)
	}
	return l.path(name), os.WriteFile(l.path(name), []byte(text), 0o600)
}
