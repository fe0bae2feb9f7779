// Package installation is one installation on loopback: fakes of engines and of their list, and gateways as processes of
// their own between them and a load.
package installation

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"magpiebank/internal/testbed/fake"
	"magpiebank/internal/testbed/faultproxy"
)

// Class is a class as gateways are told of it.
type Class struct {
	Name             string
	LatencyObjective time.Duration
	MaxWait          time.Duration // that its clients wait
	Weight           float64
	LateShare        float64 // share of the earnings after the latency objective
	Effect           string  // idempotent, deduplicated or unrepeatable
	Threads          int     // of one of its requests on an engine
	Load             bool    // it loads tables, so that others wait for it
	HeldByLoads      bool    // its requests wait for loads
}

// Plan is what an installation consists of.
type Plan struct {
	Gateways       int
	Engines        int
	Zones          []string // engines stand in them in turn
	Cores          float64  // of an engine
	Classes        []Class
	Behavior       fake.EngineBehavior
	MemoryMB       int // of a gateway
	Sockets        int
	ConnectWithin  time.Duration
	Idle           time.Duration // after which engines close connections
	Seed           int64
	Program        string   // the gateway's; empty: magpiebank beside this program
	ExtraArguments []string // arguments after serve --config FILE

	Cluster   *Cluster                    // the gateways speak to each other; nil: they don't
	Proxies   *faultproxy.Network         // all that passes between processes passes it; nil: they reach each other directly
	Durable   bool                        // each keeps a record of its requests in a folder of its own
	Down      []string                    // gateways that are not started
	SlowStart SlowStart                   // engines that have just started are slow, and tip over
	Env       func(label string) []string // what a process gets besides; a twin has a label of its own
}

// SlowStart is how engines start: at a share of their speed, warm after a time; sent more than a multiple of what they can do for so long, they
// tip over.
type SlowStart struct {
	Share, Factor float64
	Warm, Tip     time.Duration
}

// The platform's words for effects.
var effects = map[string]string{"idempotent": "read_like", "deduplicated": "idempotency_key", "unrepeatable": "non_idempotent"}

// Check tells the first thing amiss.
func (p *Plan) Check() error {
	if p.Gateways < 1 || p.Gateways > 64 || p.Engines < 1 || p.Engines > 1000 || len(p.Zones) == 0 || len(p.Classes) == 0 {
		return errors.New("site: expected 1 to 64 gateways, 1 to 1000 engines, and at least one zone and one lane")
	}
	for i, l := range p.Classes {
		if effects[l.Effect] == "" {
			return fmt.Errorf("site.lanes[%d].effect: expected idempotent, deduplicated or unrepeatable, found %q", i, l.Effect)
		}
	}
	return nil
}

// Installation is an installation that is up.
type Installation struct {
	Engines     []*fake.Engine
	Discovery   *fake.Discovery
	Discoveries []*fake.Discovery // where relays stand between, one for each gateway, as each reaches engines by its own; else the one
	Log         *fake.ExecutionLog
	Gateways    []*Gateway
	Folder      string
	plan        Plan
	entries     []fake.Endpoint
}

// Gateway is one gateway's process.
type Gateway struct {
	Name    string
	Address string
	LogFile string
	History string // file, where the gateways are a fleet
	Control string // Unix socket, the same

	udp     string // where it listens for datagrams
	reached string // by which the others reach it
	list    string // its discovery service's address
	known   func() json.RawMessage

	whole   ClusterLimits // limits of the fleet that its file has
	engines []string      // addresses by which it reaches them, where relays stand between

	site *Installation
	n    int
	mu   sync.Mutex
	cmd  *exec.Cmd
	died chan struct{}
	peak int64 // kB resident, of processes that have ended
}

// Start starts an installation; files go to a folder.
func Start(p Plan, folder string) (s *Installation, err error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	if p.Program == "" {
		self, err := os.Executable()
		if err != nil {
			return nil, err
		}
		p.Program = filepath.Join(filepath.Dir(self), "magpiebank")
	}
	if _, err := os.Stat(p.Program); err != nil {
		return nil, fmt.Errorf("the gateway's program: %w (build both with: go build -o bin/ ./cmd/...)", err)
	}
	s = &Installation{plan: p, Folder: folder, Log: fake.NewExecutionLog()}
	defer func() {
		if err != nil {
			s.Stop()
		}
	}()
	for i := range p.Engines {
		name := fmt.Sprintf("e-%03d", i+1)
		var e *fake.Engine
		for range 3 { // another process may take the address first
			address, none := freeAddress() // one that refuses for a while comes back to it
			if none != nil {
				return s, none
			}
			if e, err = fake.StartEngine(name, address, p.Behavior, s.Log, uint64(p.Seed)+uint64(i)); err == nil {
				break
			}
		}
		if err != nil {
			return s, err
		}
		s.Engines = append(s.Engines, e)
		s.entries = append(s.entries, fake.Endpoint{ID: name, Address: e.Address, Zone: p.Zones[i%len(p.Zones)], Kind: "std",
			Cell: i / 4, State: "Ready", Weight: int(p.Cores)})
	}
	if p.Proxies == nil {
		if s.Discovery, err = fake.StartDiscovery("127.0.0.1:0", s.entries); err != nil {
			return s, err
		}
		s.Discoveries = []*fake.Discovery{s.Discovery}
	}
	for i := range p.Gateways {
		g, err := s.gateway("g"+strconv.Itoa(i), i)
		if err != nil {
			return s, err
		}
		s.Gateways = append(s.Gateways, g)
	}
	if s.Discovery == nil {
		s.Discovery = s.Discoveries[0]
	}
	if p.Cluster != nil {
		if err := s.introduce(); err != nil {
			return s, err
		}
	}
	for _, g := range s.Gateways {
		if slices.Contains(p.Down, g.Name) {
			continue
		}
		if err := g.Start(); err != nil {
			return s, err
		}
	}
	for _, g := range s.Gateways {
		if slices.Contains(p.Down, g.Name) {
			continue
		}
		if err := g.ready(5 * time.Second); err != nil {
			return s, err
		}
	}
	return s, nil
}

// ports are tried in turn, from a place that follows from the process: below those that the system gives to whoever connects, so
// that no connection of the testbed's takes one before its gateway does.
var ports atomic.Int32

func init() { ports.Store(int32(os.Getpid()) * 331 % 20000) }

// freeAddress is one on loopback that nobody listens on, for streams and datagrams; gateways come back to it after a restart.
func freeAddress() (string, error) {
	for range 20000 {
		address := fmt.Sprintf("127.0.0.1:%d", 10000+ports.Add(1)%20000)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		l.Close()
		if c, err := net.ListenPacket("udp", address); err == nil {
			c.Close()
			return address, nil
		}
	}
	return "", errors.New("site: no port between 10000 and 30000 is free")
}

// Targets are the gateways' addresses.
func (s *Installation) Targets() (out []string) {
	for _, g := range s.Gateways {
		out = append(out, g.Address)
	}
	return out
}

// PublishState has the discovery service tell a state of an engine: Ready, Terminating or Gone.
func (s *Installation) PublishState(engine int, state string) {
	e := s.entries[engine]
	e.State = state
	if state == "Ready" {
		e.Started = time.Now().UnixMilli()
	}
	for i, l := range s.Discoveries {
		told := e
		if s.plan.Proxies != nil {
			told.Address = s.Gateways[i].engines[engine]
		}
		l.Publish(told)
	}
}

// Stop ends all of it.
func (s *Installation) Stop() {
	for _, g := range s.Gateways {
		g.Kill()
	}
	for _, e := range s.Engines {
		e.Close()
	}
	for _, l := range s.Discoveries {
		l.Close()
	}
	if s.plan.Proxies != nil {
		s.plan.Proxies.Close()
	}
}

// configuration is the JSON object that the platform would give the gateway.
func (g *Gateway) configuration() ([]byte, error) {
	p := &g.site.plan
	us := func(d time.Duration) int64 { return d.Microseconds() }
	var classes []map[string]any
	var threads []int
	var loads, blocked []bool
	var longest time.Duration
	for _, l := range p.Classes {
		classes = append(classes, map[string]any{"name": l.Name, "sloUs": us(l.LatencyObjective), "deadlineUs": us(l.MaxWait),
			"worth": l.Weight, "lateWorth": l.LateShare, "effect": effects[l.Effect], "aimStretch": 1.5})
		threads = append(threads, max(1, l.Threads))
		loads, blocked = append(loads, l.Load), append(blocked, l.HeldByLoads)
		longest = max(longest, l.MaxWait)
	}
	rules := map[string]any{"extraFree": 20, "resendRatio": 0.2, "ratioSpanUs": us(10 * time.Second), "settleAfterDoubtUs": us(time.Second)}
	if c := p.SlowStart; c.Warm > 0 {
		rules["coldShare"], rules["warmAfterUs"], rules["overloadFactor"], rules["tipAfterUs"] = c.Share, us(c.Warm), c.Factor, us(c.Tip)
	}
	return json.MarshalIndent(map[string]any{
		"name": g.Name, "listen": g.Address, "seed": fmt.Sprintf("%016x", uint64(p.Seed)*0x9e3779b97f4a7c15+uint64(g.n)+1),
		"limits":      map[string]any{"memory_mb": p.MemoryMB, "sockets": p.Sockets, "cores": 1.0},
		"coordinator": g.list, "known": g.known(),
		"settings": map[string]any{
			"fleetSize": p.Gateways, "me": g.n, "zones": p.Zones, "skus": []string{"std"}, "classes": classes,
			"familyInfo": map[string]any{"dop": threads, "kindCores": []float64{p.Cores}, "saysCost": true,
				"loads": loads, "blockedByLoads": blocked, "progressPaceUs": us(p.Behavior.NoteInterval)},
			"limits": map[string]any{"cancel": true, "probes": true, "peerMessages": p.Cluster != nil, "maxAttempts": 4, "multiplex": 32,
				"connectTimeoutUs": us(p.ConnectWithin), "keepaliveUs": us(p.Idle), "retryAfter": true,
				"maxRetryAfterUs": us(2 * time.Second)},
			"rules":     rules,
			"penalties": map[string]any{"probe": 0.011},
		},
	}, "", " ")
}

// Start starts the gateway's process, with the events of the list as they are by now.
func (g *Gateway) Start() error {
	text, err := g.configuration()
	if err != nil {
		return err
	}
	path := filepath.Join(g.site.Folder, g.Name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(g.LogFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	args := append([]string{"serve", "--config", path}, g.site.plan.ExtraArguments...)
	if g.site.plan.Cluster != nil {
		args = append(args, "--operator", g.operatorFile())
	}
	if g.site.plan.Durable {
		args = append(args, "--state", g.StateFolder())
	}
	cmd := exec.Command(g.site.plan.Program, args...)
	if cmd.Env = os.Environ(); g.site.plan.Env != nil {
		cmd.Env = append(cmd.Env, g.site.plan.Env(g.Label())...)
	}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it must not outlive the testbed
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("gateway %s: %w", g.Name, err)
	}
	died := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.died = cmd, died
	g.mu.Unlock()
	go func() {
		cmd.Wait()
		if usage, ok := cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
			g.mu.Lock()
			g.peak = max(g.peak, usage.Maxrss)
			g.mu.Unlock()
		}
		close(died)
	}()
	return nil
}

// ready waits until it takes connections.
func (g *Gateway) ready(within time.Duration) error {
	for by := time.Now().Add(within); ; time.Sleep(5 * time.Millisecond) {
		if c, err := net.DialTimeout("tcp", g.Address, time.Second); err == nil {
			c.Close()
			return nil
		}
		select {
		case <-g.died:
			return fmt.Errorf("gateway %s ended at start; its log: %s", g.Name, g.LogFile)
		default:
		}
		if time.Now().After(by) {
			return fmt.Errorf("gateway %s takes no connection after %v; its log: %s", g.Name, within, g.LogFile)
		}
	}
}

// Signal sends a signal to the process.
func (g *Gateway) Signal(s os.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd != nil && g.cmd.Process != nil {
		g.cmd.Process.Signal(s)
	}
}

// Kill kills the process and waits for its end.
func (g *Gateway) Kill() {
	g.Signal(syscall.SIGKILL)
	g.mu.Lock()
	died := g.died
	g.mu.Unlock()
	if died != nil {
		<-died
	}
}

// PeakMemoryKB is the most memory that its process has held so far, in kB resident.
func (g *Gateway) PeakMemoryKB() int64 {
	g.mu.Lock()
	peak, cmd := g.peak, g.cmd
	g.mu.Unlock()
	if cmd == nil || cmd.Process == nil {
		return peak
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return peak
	}
	for _, line := range strings.Split(string(b), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			peak = max(peak, kb)
		}
	}
	return peak
}

// Zone is where an engine stands.
func (s *Installation) Zone(engine int) string { return s.entries[engine].Zone }
