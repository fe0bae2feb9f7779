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

// act carries out the steps, each begin and end in its turn.
func (p *run) runSteps(ctx context.Context) error {
	type deed struct {
		at time.Duration
		do func() error
	}
	var deeds []deed
	for i, t := range p.scenario.Steps {
		name := fmt.Sprint("step", i)
		deeds = append(deeds, deed{t.At, func() error { return p.beginStep(name, t) }})
		if t.Until > 0 {
			deeds = append(deeds, deed{t.Until, func() error { return p.endStep(name, t) }})
		}
	}
	slices.SortStableFunc(deeds, func(a, b deed) int { return int(a.at - b.at) })
	deeds = append(deeds, deed{p.scenario.Length, func() error { return nil }})
	for _, d := range deeds {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(p.startedAt.Add(d.at))):
		}
		if err := d.do(); err != nil {
			return err
		}
	}
	for _, t := range p.scenario.Steps { // whoever is still stopped goes on
		if t.Action == "stop" && t.Until == 0 {
			p.eachGateway(t.Gateways, func(g *installation.Gateway) error { g.Signal(syscall.SIGCONT); return nil })
		}
	}
	return nil
}

// each calls f for the gateways that some names fit.
func (p *run) eachGateway(names []string, f func(*installation.Gateway) error) error {
	for _, g := range slices.Clone(p.installation.Gateways) {
		for _, n := range names {
			if ok, _ := path.Match(n, g.Label()); ok {
				if err := f(g); err != nil {
					return err
				}
				break
			}
		}
	}
	return nil
}

func (p *run) eachEngine(names []string, f func(i int, e *fake.Engine) error) error {
	for i, e := range p.installation.Engines {
		for _, n := range names {
			if ok, _ := path.Match(n, e.Name); ok {
				if err := f(i, e); err != nil {
					return err
				}
				break
			}
		}
	}
	return nil
}

func (p *run) markDown(g *installation.Gateway, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.killed[g.Label()] = append(p.killed[g.Label()], time.Since(p.startedAt))
	p.notRunning[g.Label()] = down
}

func (p *run) beginStep(name string, t Step) error {
	switch t.Action {
	case "link":
		p.network.SetRule(name, t.From, t.To, t.Rule)
		if t.BothWays {
			p.network.SetRule(name, t.To, t.From, t.Rule)
		}
	case "kill":
		return p.eachGateway(t.Gateways, func(g *installation.Gateway) error {
			if t.Folder == "older" && !g.HasStateCopy() {
				g.CopyState()
			}
			p.markDown(g, true)
			g.Kill()
			return nil
		})
	case "leave":
		return p.eachGateway(t.Gateways, func(g *installation.Gateway) error { p.markDown(g, true); g.Signal(syscall.SIGTERM); return nil })
	case "start":
		return p.eachGateway(t.Gateways, p.startGateway)
	case "stop":
		return p.eachGateway(t.Gateways, func(g *installation.Gateway) error { g.Signal(syscall.SIGSTOP); return nil })
	case "limit":
		var some []*installation.Gateway
		p.eachGateway(t.Gateways, func(g *installation.Gateway) error { some = append(some, g); return nil })
		w := t.Limits
		w.Version = 2
		for _, before := range p.scenario.Steps { // each change has a number of its own
			if before.Action == "limit" && before.At < t.At {
				w.Version++
			}
		}
		if t.PolicyNumber > 0 {
			w.Version = t.PolicyNumber
		}
		p.installation.SetLimits(w, some)
	case "twin":
		return p.eachGateway(t.Gateways, func(g *installation.Gateway) error {
			for i, of := range p.installation.Gateways {
				if of == g {
					_, err := p.installation.StartTwin(i)
					return err
				}
			}
			return nil
		})
	case "revive": // whoever is not there, or stands still
		return p.eachGateway(t.Gateways, func(g *installation.Gateway) error {
			g.Signal(syscall.SIGCONT)
			if g.IsRunning() {
				return nil
			}
			p.markDown(g, true)
			return p.startGateway(g)
		})
	case "keep":
		return p.eachGateway(t.Gateways, (*installation.Gateway).CopyState)
	case "propose", "voters", "force":
		p.propose(t)
	case "list":
		for _, l := range p.installation.Discoveries {
			if t.EngineState == "held" {
				l.HoldPolls()
			} else {
				l.TruncateAnswers()
			}
		}
	case "engine":
		return p.eachEngine(t.Engines, func(i int, e *fake.Engine) error { return p.setEngineState(t.EngineState, i, e) })
	}
	return nil
}

func (p *run) startGateway(g *installation.Gateway) error {
	if g.IsRunning() { // it is still leaving, or another step has started it
		p.markDown(g, true)
		g.Kill()
	}
	p.mu.Lock()
	p.notRunning[g.Label()] = false
	p.mu.Unlock()
	return g.Start()
}

func (p *run) setEngineState(what string, i int, e *fake.Engine) error {
	switch what {
	case "silent":
		e.StopAnswering()
	case "errs":
		e.FailQueries(1)
	case "loses":
		e.DropAnswers(1)
	case "slow":
		e.SetSpeed(0.02)
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

func (p *run) endStep(name string, t Step) error {
	switch t.Action {
	case "link":
		p.network.RemoveRule(name)
	case "kill":
		return p.eachGateway(t.Gateways, func(g *installation.Gateway) error {
			var err error
			switch t.Folder {
			case "none":
				err = g.DeleteState()
			case "older":
				err = g.RestoreState()
			}
			if err != nil {
				return err
			}
			return p.startGateway(g)
		})
	case "leave":
		return p.eachGateway(t.Gateways, p.startGateway)
	case "stop":
		return p.eachGateway(t.Gateways, func(g *installation.Gateway) error { g.Signal(syscall.SIGCONT); return nil })
	case "list":
		for _, l := range p.installation.Discoveries {
			l.Recover()
		}
	case "engine":
		return p.eachEngine(t.Engines, func(i int, e *fake.Engine) error {
			switch t.EngineState {
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
		})
	}
	return nil
}
