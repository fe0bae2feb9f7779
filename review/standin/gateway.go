//go:build review

package standin

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"magpiebank/internal/testbed/fake"
)

// Class is a request class of the deployment.
type Class struct {
	Name    string
	Effect  string // read_like, idempotency_key or non_idempotent
	Aim     time.Duration
	Wait    time.Duration
	Group   string        // of engines that drop repeats, where the effect is idempotency_key
	Window  time.Duration // in which they do
	Worth   float64
	Threads int
}

// Deployment is a small deployment: engines, their list, and gateways.
type Deployment struct {
	Classes      []Class
	Gateways     int
	PeerMessages bool
	Zones        []string
	Engines      []*Engine

	c         *Case
	discovery *fake.Discovery
}

// StartDiscovery starts the list of the deployment's engines, which ends with the case.
func (d *Deployment) StartDiscovery(c *Case) {
	d.c = c
	var endpoints []fake.Endpoint
	for _, e := range d.Engines {
		zone := cmp.Or(e.Zone, d.Zones[0])
		endpoints = append(endpoints, fake.Endpoint{ID: e.Name, Address: e.Address, Zone: zone, Kind: "std-8", State: "Ready", Weight: 8})
	}
	discovery, err := fake.StartDiscovery("127.0.0.1:0", endpoints)
	if err != nil {
		c.Fatal("%v", err)
	}
	d.discovery = discovery
	c.AtEnd(discovery.Close)
}

// settings returns the settings that a gateway starts with from now on, with the figures of a small deployment.
func (d *Deployment) settings(me int) map[string]any {
	var classes []map[string]any
	var threads []int
	var loads []bool
	for _, class := range d.Classes {
		settings := map[string]any{"name": class.Name, "effect": class.Effect, "sloUs": class.Aim.Microseconds(),
			"deadlineUs": class.Wait.Microseconds(), "worth": class.Worth, "lateWorth": 0.5, "aimStretch": 3}
		if class.Group != "" {
			settings["group"], settings["windowUs"] = class.Group, class.Window.Microseconds()
		}
		classes = append(classes, settings)
		threads = append(threads, class.Threads)
		loads = append(loads, false)
	}
	return map[string]any{
		"fleetSize": d.Gateways, "me": me, "zones": d.Zones, "skus": []string{"std-8"}, "classes": classes,
		"familyInfo": map[string]any{"dop": threads, "kindCores": []float64{8}, "saysCost": true, "loads": loads, "blockedByLoads": loads,
			"progressPaceUs": 0},
		"limits": map[string]any{"cancel": true, "probes": true, "peerMessages": d.PeerMessages, "maxAttempts": 4, "multiplex": 32,
			"connectTimeoutUs": 250_000, "keepaliveUs": 30_000_000, "retryAfter": true, "maxRetryAfterUs": 2_000_000},
		"rules":     map[string]any{"answerSlackUs": 20_000, "stopSendingWithinUs": 2_000_000},
		"penalties": map[string]any{"probe": 0.011},
	}
}

// Gateway is a gateway of the deployment. Its process may be started several times.
type Gateway struct {
	Name, Address string
	Control       string // its control socket, if it has one

	d         *Deployment
	me        int
	arguments string // after "serve"

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// NewGateway returns a gateway that is not started yet. arguments follow the deploy file's run command.
func (d *Deployment) NewGateway(me int, arguments string) *Gateway {
	address, err := FreeAddress()
	if err != nil {
		d.c.Fatal("%v", err)
	}
	g := &Gateway{Name: fmt.Sprintf("g%d", me), Address: address, d: d, me: me, arguments: arguments}
	d.c.AtEnd(g.Kill)
	return g
}

// runCommand returns the run command of the deploy file.
func (d *Deployment) runCommand() string {
	text, err := os.ReadFile(filepath.Join(d.c.Root, "deploy", "balancer.toml"))
	if err != nil {
		d.c.Fatal("%v", err)
	}
	for _, line := range strings.Split(string(text), "\n") {
		if command, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Trim(strings.TrimSpace(command), `"`)
		}
	}
	d.c.Fatal("deploy/balancer.toml has no run command")
	return ""
}

// Start starts the gateway's process and waits until it answers COM_PING.
func (g *Gateway) Start() {
	c := g.d.c
	config, err := json.MarshalIndent(map[string]any{"name": g.Name, "listen": g.Address, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "coordinator": g.d.discovery.Address,
		"known": g.d.discovery.Snapshot(), "settings": g.d.settings(g.me)}, "", " ")
	if err != nil {
		c.Fatal("%v", err)
	}
	file := filepath.Join(c.Folder, g.Name+".json")
	if err := os.WriteFile(file, config, 0o600); err != nil {
		c.Fatal("%v", err)
	}
	log, err := os.OpenFile(filepath.Join(c.Folder, g.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		c.Fatal("%v", err)
	}
	command := exec.Command("/bin/sh", "-c", g.d.runCommand()+" "+g.arguments)
	command.Dir, command.Stdout, command.Stderr = c.Root, log, log
	command.Env = append(os.Environ(), "RELAY_NAME="+g.Name, "RELAY_LISTEN="+g.Address, "RELAY_CONFIG="+file)
	if err := command.Start(); err != nil {
		c.Fatal("%v", err)
	}
	_ = log.Close() // the process has its own descriptor
	ended := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	g.mu.Lock()
	g.command, g.ended = command, ended
	g.mu.Unlock()
	c.Log("%s is started, process %d", g.Name, command.Process.Pid)
	g.awaitReady(ended)
}

func (g *Gateway) awaitReady(ended chan struct{}) {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		select {
		case <-ended:
			g.d.c.Fatal("%s has ended:\n%s", g.Name, g.LogText())
		default:
		}
		session, err := Dial(g.Address, time.Second)
		if err != nil {
			continue
		}
		ready := session.Ping(time.Second)
		session.Close()
		if ready {
			g.d.c.Log("%s answers COM_PING", g.Name)
			return
		}
	}
	g.d.c.Fatal("%s is not ready:\n%s", g.Name, g.LogText())
}

// Signal sends a signal to the gateway's process.
func (g *Gateway) Signal(signal syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.command != nil {
		_ = g.command.Process.Signal(signal) // a process that has ended gets none
	}
}

// Kill kills the gateway's process, if it runs, and waits for its end.
func (g *Gateway) Kill() {
	g.Signal(syscall.SIGKILL)
	g.mu.Lock()
	ended := g.ended
	g.command, g.ended = nil, nil
	g.mu.Unlock()
	if ended != nil {
		<-ended
		g.d.c.Log("%s has ended", g.Name)
	}
}

// LogText returns what the gateway's processes have logged.
func (g *Gateway) LogText() string {
	text, err := os.ReadFile(filepath.Join(g.d.c.Folder, g.Name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(text)
}
