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

// The load's classes. Look-ups are idempotent, loads are not; engines have the capacity for several times the load.
const (
	lookService      = 20 * time.Millisecond
	loadService      = 60 * time.Millisecond
	latencyObjective = time.Second
	defaultMaxWait   = 4 * time.Second
	lookWeight       = 1.0
	loadWeight       = 5.0
)

// endWithin is how long a gateway without requests may take to end after SIGTERM.
const endWithin = 20 * time.Second

// run is a scenario while it is played.
type run struct {
	scenario     *Scenario
	installation *installation.Installation
	network      *faultproxy.Network
	mu           sync.Mutex
	requests     []Request
	killed       map[string][]time.Duration // by process: when it was killed or told to leave, from the begin
	notRunning   map[string]bool            // by process: not to be there
	startedAt    time.Time
	dbs          map[string]*sql.DB
	clients      sync.WaitGroup
	folder       string
	proposals    sync.WaitGroup // proposals that have not ended
	proposed     []Proposed
	proposalIDs  map[string]uint64 // ids of proposals that have a name
	failures     []string          // what did not come about in time
}

// Run plays a scenario. Files go to a folder; program is the gateway's, which must be built with -tags testbed where clocks drift,
// disks fail or a mutation is on.
func Run(ctx context.Context, s *Scenario, folder, program string) (*Result, error) {
	if err := checkProgram(ctx, s, program); err != nil {
		return nil, err
	}
	begun := time.Now()
	if err := clearFolder(folder); err != nil {
		return nil, err
	}
	p := &run{scenario: s, folder: folder, network: faultproxy.New(s.Seed), killed: map[string][]time.Duration{}, notRunning: map[string]bool{}, dbs: map[string]*sql.DB{}}
	for _, name := range s.NotStarted {
		p.notRunning[name] = true
	}
	plan := p.plan(program)
	up, err := installation.Start(plan, folder)
	if err != nil {
		return nil, err
	}
	p.installation = up
	defer up.Stop()
	up.Log.RetainEvents()
	r := &Result{Scenario: s, Folder: folder, Ends: map[string]int{}}
	meter := newWakeMeter()
	defer meter.stop()
	p.prepare(ctx, r)
	err = p.runLoad(ctx, r)
	r.Counts, r.PlayTime = p.network.Counts(), time.Since(begun)
	histories := p.endGateways(r)
	r.WakeDelay = meter.stop()
	if err != nil {
		return nil, err
	}
	if r.Events, err = history.MergeFiles(histories...); err != nil {
		return nil, err
	}
	r.WakeDelay = max(r.WakeDelay, s.wakeDelay(r.Events))
	p.check(r, &plan)
	return r, nil
}

// checkProgram tells whether a gateway's program can do what a scenario asks of it.
func checkProgram(ctx context.Context, s *Scenario, program string) error {
	if s.Mutation+s.CrashPoint == "" && len(s.Clocks)+len(s.Disks)+len(s.MutationAt) == 0 {
		return nil
	}
	version, err := exec.CommandContext(ctx, program, "version").Output()
	if err != nil || !strings.Contains(string(version), "laboratory") {
		return fmt.Errorf("scenario %s: clocks that run off, disks that fail and planted defects need a gateway built with -tags testbed, %s is none", s.Name, program)
	}
	return nil
}

// clearFolder makes a folder, or removes what an earlier run left there, whose requests bear the same ids.
func clearFolder(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	for _, kind := range []string{"*.history", "*.state", "*.policy", "*.seat", "*.older", "died"} {
		old, err := filepath.Glob(filepath.Join(folder, kind))
		if err != nil {
			return err
		}
		for _, file := range old {
			if err := os.RemoveAll(file); err != nil {
				return err
			}
		}
	}
	return nil
}

// plan is the installation on which a scenario is played.
func (p *run) plan(program string) installation.Plan {
	s := p.scenario
	loads := fake.ServiceTime{Kind: "exponential", Mean: loadService}
	if s.LoadService > 0 {
		loads = fake.ServiceTime{Kind: "constant", Mean: s.LoadService}
	}
	plan := installation.Plan{
		Gateways: s.Gateways, Engines: s.Engines, Zones: s.Zones, Down: s.NotStarted, Durable: s.Durable,
		Cores: 8, MemoryMB: 96, Sockets: 384, ConnectWithin: connectWithin, IdleTimeout: 30 * time.Second,
		Seed: int64(s.Seed), Program: program, Env: p.env, Proxies: p.network,
		Cluster: &installation.Cluster{Seeds: 2, HealthReports: s.HealthReports, Counts: s.Counters, Limits: s.Limits, ShareTerm: s.ShareTerm, Rollout: s.Rollout},
		Classes: []installation.Class{
			{Name: "look", LatencyObjective: latencyObjective, MaxWait: s.MaxWait, Weight: lookWeight, Effect: "idempotent", Threads: 1},
			{Name: "load", LatencyObjective: latencyObjective, MaxWait: s.MaxWait, Weight: loadWeight, Effect: "unrepeatable", Threads: 1}},
		Behavior: fake.EngineBehavior{Threads: 16, Cores: 8, NoticeInterval: 250 * time.Millisecond, Works: []fake.Work{
			{Class: "load", Rows: 1, Service: loads},
			{Class: "look", Rows: 1, Service: fake.ServiceTime{Kind: "exponential", Mean: lookService}}}},
	}
	if s.WarmUp > 0 { // a third of the speed at first; twice what they can do for a second overloads them
		plan.SlowStart = installation.SlowStart{Share: 0.32, Factor: 2, Warm: s.WarmUp, Tip: time.Second}
		plan.Behavior.ColdSpeed, plan.Behavior.WarmUp, plan.Cluster.SlowStart = plan.SlowStart.Share, s.WarmUp, s.SharedSlowStart
	}
	return plan
}

// prepare waits until the gateways know each other and hold what they need for the load.
func (p *run) prepare(ctx context.Context, r *Result) {
	s := p.scenario
	if len(s.NotStarted) == 0 { // else whoever is up may know nobody
		var ok bool
		if r.Joined, ok = p.waitForMembership(ctx, s.ConvergeWithin); !ok {
			r.addTimedViolations(fmt.Sprintf("eventual: at the start the members did not know each other after %v: %s", s.ConvergeWithin, p.membershipDifference()))
		}
	}
	if s.Rollout.Voters > 0 {
		if err := p.proposeFirst(ctx); err != nil {
			r.addTimedViolations(err.Error())
		}
	}
	if s.Limits.Any() || s.SharedSlowStart {
		p.waitForShares(ctx, s.ConvergeWithin) // replicas confirm nothing for a term and some after they have started
	}
}

// runLoad plays the load with its faults, and waits until the members know each other after the last one.
func (p *run) runLoad(ctx context.Context, r *Result) error {
	p.startedAt, r.StartMonotonic = time.Now(), history.Now()
	r.Began = p.startedAt
	stop, cancel := context.WithCancel(ctx)
	for _, gateway := range p.installation.Gateways {
		p.runClient(stop, gateway)
	}
	err := p.runSteps(ctx)
	cancel()
	p.clients.Wait()
	p.proposals.Wait()
	p.network.RemoveRule("")
	if err != nil {
		return err
	}
	var ok bool
	if r.ConvergedAgain, ok = p.waitForMembership(ctx, p.scenario.ConvergeWithin); !ok {
		r.addTimedViolations(fmt.Sprintf("eventual: %v after the last fault the members did not know each other: %s", p.scenario.ConvergeWithin, p.membershipDifference()))
	}
	if p.scenario.Rollout.Voters > 0 {
		r.Voters = p.voters(ctx)
	}
	return nil
}

// voters are the gateways that say of themselves that they vote on policies.
func (p *run) voters(ctx context.Context) (names []string) {
	for _, gateway := range p.installation.Gateways {
		answer, err := agent.SendPolicyRequest(ctx, gateway.Control, &agent.PolicyRequest{Operation: agent.StatusOperation})
		if err == nil && answer.Status != nil && answer.Status.IsVoter {
			names = append(names, gateway.Name)
		}
	}
	return names
}

// endGateways ends all processes, and returns the files of their histories.
func (p *run) endGateways(r *Result) (histories []string) {
	for _, gateway := range p.installation.Gateways {
		r.Processes = append(r.Processes, gateway.Label())
		histories = append(histories, gateway.History)
		gateway.Signal(syscall.SIGTERM)
	}
	deadline := time.Now().Add(endWithin)
	for time.Now().Before(deadline) && slices.ContainsFunc(p.installation.Gateways, (*installation.Gateway).IsRunning) {
		time.Sleep(10 * time.Millisecond)
	}
	for _, gateway := range p.installation.Gateways {
		if gateway.IsRunning() { // and its history is not whole
			r.addTimedViolations(fmt.Sprintf("eventual: %s had not ended %v after SIGTERM, with nothing in its hands", gateway.Label(), endWithin))
		}
	}
	return histories
}

// env are the environment variables that a process gets besides the testbed's own.
func (p *run) env(name string) (out []string) {
	if p.scenario.Mutation != "" {
		out = append(out, "MAGPIEBANK_PLANTED="+p.scenario.Mutation)
	}
	if d := p.scenario.MutationAt[name]; d != "" {
		out = append(out, "MAGPIEBANK_PLANTED="+p.scenario.Mutation+d)
	}
	if p.scenario.CrashPoint != "" {
		out = append(out, "MAGPIEBANK_DIE="+p.scenario.CrashPoint+" "+filepath.Join(p.folder, "died"))
	}
	if c := p.scenario.Clocks[name]; c != "" {
		out = append(out, "MAGPIEBANK_CLOCK="+c)
	}
	if b := p.scenario.ClockOffsets[name]; b != "" {
		out = append(out, "MAGPIEBANK_BORN="+b)
	}
	if d := p.scenario.Disks[name]; d != "" {
		out = append(out, "MAGPIEBANK_DISK="+d)
	}
	return out
}
