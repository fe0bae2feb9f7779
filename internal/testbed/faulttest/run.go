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

// Parameters of the load's two classes, look-ups and loads. Look-ups are idempotent, loads are not. The engines have capacity for several
// times the load.
const (
	lookService      = 20 * time.Millisecond
	loadService      = 60 * time.Millisecond
	latencyObjective = time.Second
	defaultMaxWait   = 4 * time.Second
	lookWeight       = 1.0
	loadWeight       = 5.0
)

// endWithin is the time within which a gateway without requests must end after SIGTERM.
const endWithin = 20 * time.Second

// run holds the state of a scenario while it runs.
type run struct {
	scenario        *Scenario
	installation    *installation.Installation
	network         *faultproxy.Network
	mu              sync.Mutex
	requests        []Request
	killed          map[string][]time.Duration // by process: times since the start of the load at which it was killed or told to leave
	notRunning      map[string]bool            // by process: according to the scenario, it is not running
	startedAt       time.Time
	dbs             map[string]*sql.DB
	clients         sync.WaitGroup
	folder          string
	proposals       sync.WaitGroup    // proposals whose outcome is not known yet
	proposalResults []ProposalResult  // proposals whose outcome is known
	proposalIDs     map[string]uint64 // by name of a proposal; see Step.ProposalName
	missedDeadlines []string          // descriptions of what did not happen in time, or failed
}

// Run runs a scenario, which writes its files to the folder. program is the path of the gateway's program. It must be built with -tags
// testbed if the scenario has skewed clocks, failing disks, a crash point or mutations.
func Run(ctx context.Context, s *Scenario, folder, program string) (*Result, error) {
	if err := checkProgram(ctx, s, program); err != nil {
		return nil, err
	}
	startedAt := time.Now()
	if err := clearFolder(folder); err != nil {
		return nil, err
	}
	p := &run{scenario: s, folder: folder, network: faultproxy.New(s.Seed), killed: map[string][]time.Duration{}, notRunning: map[string]bool{}, dbs: map[string]*sql.DB{}}
	for _, name := range s.NotStarted {
		p.notRunning[name] = true
	}
	plan := p.plan(program)
	started, err := installation.Start(plan, folder)
	if err != nil {
		return nil, err
	}
	p.installation = started
	defer started.Stop()
	started.Log.RetainEvents()
	r := &Result{Scenario: s, Folder: folder, Ends: map[string]int{}}
	meter := newWakeMeter()
	defer meter.stop()
	p.prepare(ctx, r)
	err = p.runLoad(ctx, r)
	r.Counts, r.PlayTime = p.network.Counts(), time.Since(startedAt)
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

// checkProgram returns an error if the scenario needs a gateway built with -tags testbed, and program is not one.
func checkProgram(ctx context.Context, s *Scenario, program string) error {
	if s.Mutation+s.CrashPoint == "" && len(s.Clocks)+len(s.Disks)+len(s.MutationAt) == 0 {
		return nil
	}
	version, err := exec.CommandContext(ctx, program, "version").Output()
	if err != nil || !strings.Contains(string(version), "laboratory") {
		return fmt.Errorf("scenario %s: skewed clocks, failing disks, crash points and mutations need a gateway built with -tags testbed, which %s is not", s.Name, program)
	}
	return nil
}

// clearFolder creates the folder if it does not exist, and removes the state and histories of an earlier run from it, because the
// requests of both runs have the same ids.
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

// plan returns the plan of the installation on which the scenario runs.
func (p *run) plan(program string) installation.Plan {
	s := p.scenario
	loads := fake.ServiceTime{Kind: "exponential", Mean: loadService}
	if s.LoadService > 0 {
		loads = fake.ServiceTime{Kind: "constant", Mean: s.LoadService}
	}
	plan := installation.Plan{
		Gateways: s.Gateways, Engines: s.Engines, Zones: s.Zones, NotStarted: s.NotStarted, Durable: s.Durable,
		Cores: 8, MemoryMB: 96, Sockets: 384, ConnectWithin: connectWithin, IdleTimeout: 30 * time.Second,
		Seed: int64(s.Seed), Program: program, Env: p.env, Proxies: p.network,
		Cluster: &installation.Cluster{SeedCount: 2, HealthReports: s.HealthReports, Counts: s.Counters, Limits: s.Limits, ShareTerm: s.ShareTerm, Rollout: s.Rollout},
		Classes: []installation.Class{
			{Name: "look", LatencyObjective: latencyObjective, MaxWait: s.MaxWait, Weight: lookWeight, Effect: "idempotent", Threads: 1},
			{Name: "load", LatencyObjective: latencyObjective, MaxWait: s.MaxWait, Weight: loadWeight, Effect: "unrepeatable", Threads: 1}},
		Behavior: fake.EngineBehavior{Threads: 16, Cores: 8, NoticeInterval: 250 * time.Millisecond, Works: []fake.Work{
			{Class: "load", Rows: 1, Service: loads},
			{Class: "look", Rows: 1, Service: fake.ServiceTime{Kind: "exponential", Mean: lookService}}}},
	}
	if s.WarmUp > 0 { // engines start with a third of their speed, and twice the work that they can do, for a second, overloads them
		plan.SlowStart = installation.SlowStart{Share: 0.32, OverloadFactor: 2, WarmUp: s.WarmUp, OverloadAfter: time.Second}
		plan.Behavior.ColdSpeed, plan.Behavior.WarmUp, plan.Cluster.SlowStart = plan.SlowStart.Share, s.WarmUp, s.SharedSlowStart
	}
	return plan
}

// prepare waits until the gateways know each other, apply the first policy and hold their shares of the quotas, as far as the scenario has
// these.
func (p *run) prepare(ctx context.Context, r *Result) {
	s := p.scenario
	if len(s.NotStarted) == 0 { // otherwise the gateways that run may be unable to find each other
		var ok bool
		if r.ConvergedAtStart, ok = p.waitForMembership(ctx, s.ConvergeWithin); !ok {
			r.addTimedViolations(fmt.Sprintf("eventual: at the start the members did not know each other after %v: %s", s.ConvergeWithin, p.membershipDifference()))
		}
	}
	if s.Rollout.Voters > 0 {
		if err := p.proposeFirst(ctx); err != nil {
			r.addTimedViolations(err.Error())
		}
	}
	if s.Limits.Any() || s.SharedSlowStart {
		p.waitForShares(ctx, s.ConvergeWithin) // replicas confirm no shares until somewhat more than a term after they have started
	}
}

// runLoad runs the load and the steps, and then waits until the members know each other again.
func (p *run) runLoad(ctx context.Context, r *Result) error {
	p.startedAt, r.StartMonotonic = time.Now(), history.Now()
	r.StartedAt = p.startedAt
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

// voters returns the names of the gateways that report that they vote on policies.
func (p *run) voters(ctx context.Context) (names []string) {
	for _, gateway := range p.installation.Gateways {
		answer, err := agent.SendPolicyRequest(ctx, gateway.Control, &agent.PolicyRequest{Operation: agent.StatusOperation})
		if err == nil && answer.Status != nil && answer.Status.IsVoter {
			names = append(names, gateway.Name)
		}
	}
	return names
}

// endGateways ends all gateways with SIGTERM, and returns the paths of their histories.
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
		if gateway.IsRunning() { // then its history is not complete either
			r.addTimedViolations(fmt.Sprintf("eventual: %s had not ended %v after SIGTERM, although all requests had ended", gateway.Label(), endWithin))
		}
	}
	return histories
}

// env returns the environment variables with which the scenario's faults are set at a gateway.
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
