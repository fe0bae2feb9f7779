package installation

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Gateway is a gateway of the installation. Its process may be started and killed several times.
type Gateway struct {
	Name    string
	Address string
	LogFile string
	History string // path of the history file; empty unless the gateways form a cluster
	Control string // path of the control socket; empty unless the gateways form a cluster

	listenUDP         string                 // address at which the process listens for datagrams
	advertisedAddress string                 // address at which the other gateways reach it; with proxies, that of its relay
	discoveryAddress  string                 // address of its discovery service
	snapshot          func() json.RawMessage // returns the events of its discovery service so far

	limits          ClusterLimits // limits of the whole cluster, as in the gateway's operator file
	engineAddresses []string      // with proxies: by engine, the address of the proxy between the gateway and the engine

	installation *Installation
	index        int

	mu           sync.Mutex // guards the fields below
	cmd          *exec.Cmd
	ended        chan struct{} // closed when the process has ended
	peakMemoryKB int64         // largest resident memory of any of its processes that has ended
}

// configuration returns the configuration that the platform would give the gateway, as JSON.
func (g *Gateway) configuration() ([]byte, error) {
	p := &g.installation.plan
	return json.MarshalIndent(map[string]any{
		"name": g.Name, "listen": g.Address, "seed": fmt.Sprintf("%016x", uint64(p.Seed)*0x9e3779b97f4a7c15+uint64(g.index)+1),
		"limits":      map[string]any{"memory_mb": p.MemoryMB, "sockets": p.Sockets, "cores": 1.0},
		"coordinator": g.discoveryAddress, "known": g.snapshot(),
		"settings": map[string]any{
			"fleetSize": p.Gateways, "me": g.index, "zones": p.Zones, "skus": []string{"std"}, "classes": p.classSettings(),
			"familyInfo": p.familySettings(),
			"limits": map[string]any{"cancel": true, "probes": true, "peerMessages": p.Cluster != nil, "maxAttempts": 4, "multiplex": 32,
				"connectTimeoutUs": p.ConnectWithin.Microseconds(), "keepaliveUs": p.IdleTimeout.Microseconds(), "retryAfter": true,
				"maxRetryAfterUs": (2 * time.Second).Microseconds()},
			"rules":     p.ruleSettings(),
			"penalties": map[string]any{"probe": 0.011},
		},
	}, "", " ")
}

func (p *Plan) classSettings() (settings []map[string]any) {
	for _, class := range p.Classes {
		settings = append(settings, map[string]any{"name": class.Name, "sloUs": class.LatencyObjective.Microseconds(), "deadlineUs": class.MaxWait.Microseconds(),
			"worth": class.Weight, "lateWorth": class.LateShare, "effect": effectNames[class.Effect], "aimStretch": 1.5})
	}
	return settings
}

func (p *Plan) familySettings() map[string]any {
	var threads []int
	var loads, blocked []bool
	for _, class := range p.Classes {
		threads = append(threads, max(1, class.Threads))
		loads = append(loads, class.Load)
		blocked = append(blocked, class.BlockedByLoads)
	}
	return map[string]any{"dop": threads, "kindCores": []float64{p.Cores}, "saysCost": true,
		"loads": loads, "blockedByLoads": blocked, "progressPaceUs": p.Behavior.NoticeInterval.Microseconds()}
}

func (p *Plan) ruleSettings() map[string]any {
	rules := map[string]any{"extraFree": 20, "resendRatio": 0.2, "ratioSpanUs": (10 * time.Second).Microseconds(), "settleAfterDoubtUs": time.Second.Microseconds()}
	if start := p.SlowStart; start.WarmUp > 0 {
		rules["coldShare"] = start.Share
		rules["warmAfterUs"] = start.WarmUp.Microseconds()
		rules["overloadFactor"] = start.OverloadFactor
		rules["tipAfterUs"] = start.OverloadAfter.Microseconds()
	}
	return rules
}

// Start starts the gateway's process. Its configuration contains the current endpoint list.
func (g *Gateway) Start() error {
	config, err := g.configuration()
	if err != nil {
		return err
	}
	path := filepath.Join(g.installation.Folder, g.Name+".json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(g.LogFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := g.command(path)
	cmd.Stdout, cmd.Stderr = log, log
	err = cmd.Start()
	_ = log.Close() // the process has its own file descriptor
	if err != nil {
		return fmt.Errorf("gateway %s: %w", g.Name, err)
	}
	ended := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.ended = cmd, ended
	g.mu.Unlock()
	go g.waitForEnd(cmd, ended)
	return nil
}

// command returns the command that runs the gateway's process. It does not start it.
func (g *Gateway) command(configFile string) *exec.Cmd {
	plan := &g.installation.plan
	args := append([]string{"serve", "--config", configFile}, plan.ExtraArguments...)
	if plan.Cluster != nil {
		args = append(args, "--operator", g.writeOperatorFile())
	}
	if plan.Durable {
		args = append(args, "--state", g.StateFolder())
	}
	cmd := exec.CommandContext(context.Background(), plan.Program, args...) // Kill ends it
	cmd.Env = os.Environ()
	if plan.Env != nil {
		cmd.Env = append(cmd.Env, plan.Env(g.Label())...)
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // the gateway must not outlive the testbed
	return cmd
}

// waitForEnd waits for the process to end, records its peak memory and closes ended.
func (g *Gateway) waitForEnd(cmd *exec.Cmd, ended chan struct{}) {
	defer close(ended)
	_ = cmd.Wait() // most processes are killed, for which Wait returns an error
	if usage, ok := cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
		g.mu.Lock()
		g.peakMemoryKB = max(g.peakMemoryKB, usage.Maxrss)
		g.mu.Unlock()
	}
}

const readyPollInterval = 5 * time.Millisecond

// waitUntilReady waits until the gateway accepts connections.
func (g *Gateway) waitUntilReady(within time.Duration) error {
	dialer := net.Dialer{Timeout: time.Second}
	for deadline := time.Now().Add(within); ; time.Sleep(readyPollInterval) {
		if conn, err := dialer.DialContext(context.Background(), "tcp", g.Address); err == nil {
			conn.Close()
			return nil
		}
		if !g.IsRunning() {
			return fmt.Errorf("gateway %s ended at start; its log: %s", g.Name, g.LogFile)
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("gateway %s accepts no connections after %v; its log: %s", g.Name, within, g.LogFile)
		}
	}
}

// Signal sends a signal to the process.
func (g *Gateway) Signal(s os.Signal) {
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

// PeakMemoryKB returns the peak resident memory of the gateway's processes so far, in kB.
func (g *Gateway) PeakMemoryKB() int64 {
	g.mu.Lock()
	peak, cmd := g.peakMemoryKB, g.cmd
	g.mu.Unlock()
	if cmd == nil || cmd.Process == nil {
		return peak
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return peak
	}
	for _, line := range strings.Split(string(status), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			peak = max(peak, kb)
		}
	}
	return peak
}

// Label returns the gateway's name in proxies and file names. It is unique, while the twin of a gateway has the same Name.
func (g *Gateway) Label() string { return "g" + strconv.Itoa(g.index) }

// IsRunning reports whether the gateway's process exists, even if it is stopped by a signal.
func (g *Gateway) IsRunning() bool {
	g.mu.Lock()
	ended := g.ended
	g.mu.Unlock()
	if ended == nil {
		return false
	}
	select {
	case <-ended:
		return false
	default:
		return true
	}
}
