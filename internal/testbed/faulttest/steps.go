package faulttest

import (
	"context"
	"fmt"
	"path"
	"slices"
	"syscall"
	"time"

	"magpiebank/internal/testbed/fake"
	"magpiebank/internal/testbed/installation"
)

// stepEvent is the start or the end of a step, at a time since the start of the load.
type stepEvent struct {
	at      time.Duration
	step    Step
	ruleSet string // name of the step's rules in the network
	isEnd   bool
}

// stepEvents returns the starts and ends of all steps in the order of time.
func stepEvents(steps []Step) []stepEvent {
	var events []stepEvent
	for i, step := range steps {
		name := fmt.Sprint("step", i)
		events = append(events, stepEvent{at: step.At, step: step, ruleSet: name})
		if step.Until > 0 {
			events = append(events, stepEvent{at: step.Until, step: step, ruleSet: name, isEnd: true})
		}
	}
	slices.SortStableFunc(events, func(a, b stepEvent) int { return int(a.at - b.at) })
	return events
}

// runSteps starts and ends each step at its time, and returns after the scenario's length. At the end it resumes the gateways that are
// still stopped.
func (p *run) runSteps(ctx context.Context) error {
	for _, event := range stepEvents(p.scenario.Steps) {
		if err := p.sleepUntil(ctx, event.at); err != nil {
			return err
		}
		apply := p.beginStep
		if event.isEnd {
			apply = p.endStep
		}
		if err := apply(event.ruleSet, event.step); err != nil {
			return err
		}
	}
	if err := p.sleepUntil(ctx, p.scenario.Length); err != nil {
		return err
	}
	for _, step := range p.scenario.Steps {
		if step.Action == "stop" && step.Until == 0 {
			p.signalGateways(step.Gateways, syscall.SIGCONT)
		}
	}
	return nil
}

// sleepUntil waits until a time since the start of the load, or until ctx ends.
func (p *run) sleepUntil(ctx context.Context, at time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Until(p.startedAt.Add(at))):
		return nil
	}
}

// matchesAny reports whether one of the patterns, in the syntax of path.Match, matches the name.
func matchesAny(patterns []string, name string) bool {
	return slices.ContainsFunc(patterns, func(pattern string) bool {
		fits, err := path.Match(pattern, name)
		return err == nil && fits
	})
}

// matchingGateways returns the gateways whose labels match one of the patterns.
func (p *run) matchingGateways(patterns []string) (gateways []*installation.Gateway) {
	for _, gateway := range p.installation.Gateways {
		if matchesAny(patterns, gateway.Label()) {
			gateways = append(gateways, gateway)
		}
	}
	return gateways
}

// eachGateway calls f for each gateway whose label matches one of the patterns, until f returns an error.
func (p *run) eachGateway(patterns []string, f func(*installation.Gateway) error) error {
	for _, gateway := range p.matchingGateways(patterns) {
		if err := f(gateway); err != nil {
			return err
		}
	}
	return nil
}

func (p *run) signalGateways(patterns []string, signal syscall.Signal) {
	for _, gateway := range p.matchingGateways(patterns) {
		gateway.Signal(signal)
	}
}

// eachEngine calls f for each engine whose name matches one of the patterns, until f returns an error.
func (p *run) eachEngine(patterns []string, f func(i int, e *fake.Engine) error) error {
	for i, engine := range p.installation.Engines {
		if !matchesAny(patterns, engine.Name) {
			continue
		}
		if err := f(i, engine); err != nil {
			return err
		}
	}
	return nil
}

// markDown records that a gateway ends now, and that it is not running until it is started again.
func (p *run) markDown(gateway *installation.Gateway) {
	p.mu.Lock()
	defer p.mu.Unlock()
	label := gateway.Label()
	p.killed[label] = append(p.killed[label], time.Since(p.startedAt))
	p.notRunning[label] = true
}

func (p *run) beginStep(ruleSet string, step Step) error {
	switch step.Action {
	case "link":
		p.network.SetRule(ruleSet, step.From, step.To, step.Rule)
		if step.BothWays {
			p.network.SetRule(ruleSet, step.To, step.From, step.Rule)
		}
	case "kill":
		p.killGateways(step)
	case "leave":
		for _, gateway := range p.matchingGateways(step.Gateways) {
			p.markDown(gateway)
			gateway.Signal(syscall.SIGTERM)
		}
	case "start":
		return p.eachGateway(step.Gateways, p.startGateway)
	case "stop":
		p.signalGateways(step.Gateways, syscall.SIGSTOP)
	case "limit":
		p.setLimits(step)
	case "twin":
		return p.eachGateway(step.Gateways, p.startTwin)
	case "revive":
		return p.eachGateway(step.Gateways, p.reviveGateway)
	case "keep":
		return p.eachGateway(step.Gateways, (*installation.Gateway).CopyState)
	case "propose", "voters", "force":
		p.propose(step)
	case "list":
		p.disturbDiscovery(step.EngineState)
	case "engine":
		return p.eachEngine(step.Engines, func(i int, e *fake.Engine) error { return p.setEngineState(step.EngineState, i, e) })
	}
	return nil
}

func (p *run) killGateways(step Step) {
	for _, gateway := range p.matchingGateways(step.Gateways) {
		if step.Folder == "older" && !gateway.HasStateCopy() {
			_ = gateway.CopyState() // the running gateway may remove files during the copy; it restarts from what was copied
		}
		p.markDown(gateway)
		gateway.Kill()
	}
}

// setLimits writes new limits into the operator files of the gateways that the step names. Each change has a new version, unless the step
// sets the version.
func (p *run) setLimits(step Step) {
	limits := step.Limits
	limits.Version = 2
	for _, before := range p.scenario.Steps {
		if before.Action == "limit" && before.At < step.At {
			limits.Version++
		}
	}
	if step.PolicyNumber > 0 {
		limits.Version = step.PolicyNumber
	}
	p.installation.SetLimits(limits, p.matchingGateways(step.Gateways))
}

// startTwin starts a second process with the gateway's name.
func (p *run) startTwin(gateway *installation.Gateway) error {
	i := slices.Index(p.installation.Gateways, gateway)
	_, err := p.installation.StartTwin(i)
	return err
}

// reviveGateway resumes the gateway if it is stopped, and starts it if it has ended.
func (p *run) reviveGateway(gateway *installation.Gateway) error {
	gateway.Signal(syscall.SIGCONT)
	if gateway.IsRunning() {
		return nil
	}
	p.markDown(gateway)
	return p.startGateway(gateway)
}

func (p *run) startGateway(gateway *installation.Gateway) error {
	if gateway.IsRunning() { // it has not left yet, or another step has started it
		p.markDown(gateway)
		gateway.Kill()
	}
	p.mu.Lock()
	p.notRunning[gateway.Label()] = false
	p.mu.Unlock()
	return gateway.Start()
}

// disturbDiscovery makes the discovery services hold polls (state "held") or truncate their answers.
func (p *run) disturbDiscovery(state string) {
	for _, discovery := range p.installation.Discoveries {
		if state == "held" {
			discovery.HoldPolls()
		} else {
			discovery.TruncateAnswers()
		}
	}
}

// slowSpeed is the speed of a slow engine, as a share of its normal speed.
const slowSpeed = 0.02

func (p *run) setEngineState(state string, i int, e *fake.Engine) error {
	switch state {
	case "silent":
		e.StopAnswering()
	case "errs":
		e.FailQueries(1)
	case "loses":
		e.DropAnswers(1)
	case "slow":
		e.SetSpeed(slowSpeed)
	case "refuses":
		e.RefuseConnections()
	case "paused":
		e.Pause()
	case "restarts":
		e.RefuseConnections()
		p.installation.PublishState(i, "Ready")
		return e.AcceptConnections()
	case "drains":
		p.installation.PublishState(i, "Terminating")
	case "gone":
		p.installation.PublishState(i, "Gone")
	}
	return nil
}

// resetEngineState ends the state that setEngineState has set.
func (p *run) resetEngineState(state string, i int, e *fake.Engine) error {
	switch state {
	case "silent":
		e.ResumeAnswering()
	case "errs":
		e.FailQueries(0)
	case "loses":
		e.DropAnswers(0)
	case "slow":
		e.SetSpeed(1)
	case "paused":
		e.Resume()
	case "refuses":
		return e.AcceptConnections()
	case "drains", "gone":
		p.installation.PublishState(i, "Ready")
	}
	return nil
}

func (p *run) endStep(ruleSet string, step Step) error {
	switch step.Action {
	case "link":
		p.network.RemoveRule(ruleSet)
	case "kill":
		return p.eachGateway(step.Gateways, func(gateway *installation.Gateway) error { return p.restartAfterKill(gateway, step.Folder) })
	case "leave":
		return p.eachGateway(step.Gateways, p.startGateway)
	case "stop":
		p.signalGateways(step.Gateways, syscall.SIGCONT)
	case "list":
		for _, discovery := range p.installation.Discoveries {
			discovery.Recover()
		}
	case "engine":
		return p.eachEngine(step.Engines, func(i int, e *fake.Engine) error { return p.resetEngineState(step.EngineState, i, e) })
	}
	return nil
}

// restartAfterKill starts a killed gateway with its state at the kill, without state, or with an older copy of its state.
func (p *run) restartAfterKill(gateway *installation.Gateway, folder string) error {
	var err error
	switch folder {
	case "none":
		err = gateway.DeleteState()
	case "older":
		err = gateway.RestoreState()
	}
	if err != nil {
		return err
	}
	return p.startGateway(gateway)
}
