package faulttest

import (
	"context"
	"database/sql"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"magpiebank/internal/cluster/agent"
	"magpiebank/internal/cluster/history"
	"magpiebank/internal/testbed/fake"
	"magpiebank/internal/testbed/faultproxy"
	"magpiebank/internal/testbed/installation"
)

// The load's classes. Look-ups may run again, loads may not; an engine has room for some times what the load asks.
const (
	lookService = 20 * time.Millisecond
	loadService = 60 * time.Millisecond
	quoted      = time.Second
	longest     = 4 * time.Second
	lookWorth   = 1.0
	loadWorth   = 5.0
)

// endWithin is how long a gateway without a request may take to end.
const endWithin = 20 * time.Second

// play is a scenario while it is played.
type play struct {
	s       *Scenario
	site    *installation.Installation
	net     *faultproxy.Network
	mu      sync.Mutex
	tasks   []Request
	killed  map[string][]time.Duration // by process: when it was killed or told to leave, from the begin
	down    map[string]bool            // by process: not to be there
	began   time.Time
	dbs     map[string]*sql.DB
	clients sync.WaitGroup
	folder  string
	offers  sync.WaitGroup // proposals that have not ended
	made    []Proposed
	drawn   map[string]uint64 // ids of proposals that have a name
	wrong   []string          // what did not come about in time
}

// Run plays a scenario. Files go to a folder; program is the gateway's, which must be of the testbed's build where clocks run
// off or a defect is planted.
func Run(ctx context.Context, s *Scenario, folder, program string) (*Result, error) {
	if err := checkProgram(s, program); err != nil {
		return nil, err
	}
	begun := time.Now()
	if err := clearFolder(folder); err != nil {
		return nil, err
	}
	p := &play{s: s, folder: folder, net: faultproxy.New(s.Seed), killed: map[string][]time.Duration{}, down: map[string]bool{}, dbs: map[string]*sql.DB{}}
	for _, g := range s.Down {
		p.down[g] = true
	}
	plan := p.plan(program)
	up, err := installation.Start(plan, folder)
	if err != nil {
		return nil, err
	}
	p.site = up
	defer up.Stop()
	up.Log.RetainEvents()
	r := &Result{Scenario: s, Folder: folder, Ends: map[string]int{}}
	meter := newWakeMeter()
	defer meter.stop()
	p.prepare(ctx, r)
	err = p.load(ctx, r)
	r.Counts, r.Played = p.net.Counts(), time.Since(begun)
	histories := p.endGateways(r)
	r.WakeDelay = meter.stop()
	if err != nil {
		return nil, err
	}
	if r.Events, err = history.MergeFiles(histories...); err != nil {
		return nil, err
	}
	r.WakeDelay = max(r.WakeDelay, s.wakeDelay(r.Events))
	p.judge(r, &plan)
	return r, nil
}

// checkProgram tells whether a gateway's program can do what a scenario asks of it.
func checkProgram(s *Scenario, program string) error {
	if s.Planted+s.Dies == "" && len(s.Clocks)+len(s.Disks)+len(s.Defects) == 0 {
		return nil
	}
	if out, err := exec.Command(program, "version").Output(); err != nil || !strings.Contains(string(out), "laboratory") {
		return fmt.Errorf("scenario %s: clocks that run off, disks that fail and planted defects need a gateway built with -tags testbed, %s is none", s.Name, program)
	}
	return nil
}

// clearFolder makes a folder, or takes out what a run before left there: its requests bear the same ids.
func clearFolder(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	for _, kind := range []string{"*.history", "*.state", "*.policy", "*.seat", "*.older", "died"} {
		old, _ := filepath.Glob(filepath.Join(folder, kind))
		for _, f := range old {
			os.RemoveAll(f)
		}
	}
	return nil
}

// plan is the installation that a scenario is played on.
func (p *play) plan(program string) installation.Plan {
	s := p.s
	loads := fake.ServiceTime{Kind: "exponential", Mean: loadService}
	if s.Service > 0 {
		loads = fake.ServiceTime{Kind: "constant", Mean: s.Service}
	}
	plan := installation.Plan{
		Gateways: s.Gateways, Engines: s.Engines, Zones: s.Zones, Down: s.Down, Durable: s.State,
		Cores: 8, MemoryMB: 96, Sockets: 384, ConnectWithin: connectWithin, Idle: 30 * time.Second,
		Seed: int64(s.Seed), Program: program, Env: p.env, Proxies: p.net,
		Cluster: &installation.Cluster{Seeds: 2, HealthReports: s.Sharing, Counts: s.Counts, Limits: s.Whole, ShareTerm: s.Term, Rollout: s.Charter},
		Classes: []installation.Class{
			{Name: "look", LatencyObjective: quoted, MaxWait: s.Longest, Weight: lookWorth, Effect: "idempotent", Threads: 1},
			{Name: "load", LatencyObjective: quoted, MaxWait: s.Longest, Weight: loadWorth, Effect: "unrepeatable", Threads: 1}},
		Behavior: fake.EngineBehavior{Threads: 16, Cores: 8, NoteInterval: 250 * time.Millisecond, Works: []fake.Work{
			{Class: "load", Rows: 1, Service: loads},
			{Class: "look", Rows: 1, Service: fake.ServiceTime{Kind: "exponential", Mean: lookService}}}},
	}
	if s.Warm > 0 { // a third of the speed at first; twice what they can do for a second has them tip over
		plan.SlowStart = installation.SlowStart{Share: 0.32, Factor: 2, Warm: s.Warm, Tip: time.Second}
		plan.Behavior.ColdSpeed, plan.Behavior.WarmUp, plan.Cluster.SlowStart = plan.SlowStart.Share, s.Warm, s.Cold
	}
	return plan
}

// prepare waits until the gateways know each other and hold what they need for the load.
func (p *play) prepare(ctx context.Context, r *Result) {
	s := p.s
	if len(s.Down) == 0 { // else whoever is up may know nobody
		var ok bool
		if r.Joined, ok = p.settle(ctx, s.Settle); !ok {
			r.miss(fmt.Sprintf("eventual: at the start the members did not know each other after %v: %s", s.Settle, p.apart()))
		}
	}
	if s.Charter.Voters > 0 {
		if err := p.first(ctx); err != nil {
			r.miss(err.Error())
		}
	}
	if s.Whole.Any() || s.Cold {
		p.seated(ctx, s.Settle) // replicas confirm nothing for a term and some after they have started
	}
}

// load plays the load with its faults, and waits until the members know each other after the last one.
func (p *play) load(ctx context.Context, r *Result) error {
	p.began, r.Zero = time.Now(), history.Now()
	r.Began = p.began
	stop, cancel := context.WithCancel(ctx)
	for _, g := range p.site.Gateways {
		p.client(stop, g)
	}
	err := p.act(ctx)
	cancel()
	p.clients.Wait()
	p.offers.Wait()
	p.net.RemoveRule("")
	if err != nil {
		return err
	}
	var ok bool
	if r.Settled, ok = p.settle(ctx, p.s.Settle); !ok {
		r.miss(fmt.Sprintf("eventual: %v after the last fault the members did not know each other: %s", p.s.Settle, p.apart()))
	}
	if p.s.Charter.Voters > 0 {
		r.Voters = p.voters(ctx)
	}
	return nil
}

// voters are the gateways that say of themselves that they vote on policies.
func (p *play) voters(ctx context.Context) (names []string) {
	for _, g := range p.site.Gateways {
		answer, err := agent.SendPolicyRequest(ctx, g.Control, &agent.PolicyRequest{Operation: agent.StatusOperation})
		if err == nil && answer.Status != nil && answer.Status.IsVoter {
			names = append(names, g.Name)
		}
	}
	return names
}

// endGateways ends all processes, and tells where their histories are.
func (p *play) endGateways(r *Result) (histories []string) {
	for _, g := range p.site.Gateways {
		r.Processes = append(r.Processes, g.Label())
		histories = append(histories, g.History)
		g.Signal(syscall.SIGTERM)
	}
	for by := time.Now().Add(endWithin); time.Now().Before(by) && slices.ContainsFunc(p.site.Gateways, (*installation.Gateway).IsRunning); {
		time.Sleep(10 * time.Millisecond)
	}
	for _, g := range p.site.Gateways {
		if g.IsRunning() { // and its history is not whole
			r.miss(fmt.Sprintf("eventual: %s had not ended %v after SIGTERM, with nothing in its hands", g.Label(), endWithin))
		}
	}
	return histories
}

// env is what a process gets besides.
func (p *play) env(name string) (out []string) {
	if p.s.Planted != "" {
		out = append(out, "MAGPIEBANK_PLANTED="+p.s.Planted)
	}
	if d := p.s.Defects[name]; d != "" {
		out = append(out, "MAGPIEBANK_PLANTED="+p.s.Planted+d)
	}
	if p.s.Dies != "" {
		out = append(out, "MAGPIEBANK_DIE="+p.s.Dies+" "+filepath.Join(p.folder, "died"))
	}
	if c := p.s.Clocks[name]; c != "" {
		out = append(out, "MAGPIEBANK_CLOCK="+c)
	}
	if b := p.s.Born[name]; b != "" {
		out = append(out, "MAGPIEBANK_BORN="+b)
	}
	if d := p.s.Disks[name]; d != "" {
		out = append(out, "MAGPIEBANK_DISK="+d)
	}
	return out
}
