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
func (p *play) act(ctx context.Context) error {
	type deed struct {
		at time.Duration
		do func() error
	}
	var deeds []deed
	for i, t := range p.s.Steps {
		name := fmt.Sprint("step", i)
		deeds = append(deeds, deed{t.At, func() error { return p.begin(name, t) }})
		if t.Until > 0 {
			deeds = append(deeds, deed{t.Until, func() error { return p.end(name, t) }})
		}
	}
	slices.SortStableFunc(deeds, func(a, b deed) int { return int(a.at - b.at) })
	deeds = append(deeds, deed{p.s.Length, func() error { return nil }})
	for _, d := range deeds {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(p.began.Add(d.at))):
		}
		if err := d.do(); err != nil {
			return err
		}
	}
	for _, t := range p.s.Steps { // whoever is still stopped goes on
		if t.Do == "stop" && t.Until == 0 {
			p.each(t.Gateways, func(g *installation.Gateway) error { g.Signal(syscall.SIGCONT); return nil })
		}
	}
	return nil
}

// each calls f for the gateways that some names fit.
func (p *play) each(names []string, f func(*installation.Gateway) error) error {
	for _, g := range slices.Clone(p.site.Gateways) {
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

func (p *play) engines(names []string, f func(i int, e *fake.Engine) error) error {
	for i, e := range p.site.Engines {
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

func (p *play) gone(g *installation.Gateway, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.killed[g.Label()] = append(p.killed[g.Label()], time.Since(p.began))
	p.down[g.Label()] = down
}

func (p *play) begin(name string, t Step) error {
	switch t.Do {
	case "link":
		p.net.SetRule(name, t.From, t.To, t.Rule)
		if t.Both {
			p.net.SetRule(name, t.To, t.From, t.Rule)
		}
	case "kill":
		return p.each(t.Gateways, func(g *installation.Gateway) error {
			if t.Folder == "older" && !g.HasStateCopy() {
				g.CopyState()
			}
			p.gone(g, true)
			g.Kill()
			return nil
		})
	case "leave":
		return p.each(t.Gateways, func(g *installation.Gateway) error { p.gone(g, true); g.Signal(syscall.SIGTERM); return nil })
	case "start":
		return p.each(t.Gateways, p.start)
	case "stop":
		return p.each(t.Gateways, func(g *installation.Gateway) error { g.Signal(syscall.SIGSTOP); return nil })
	case "limit":
		var some []*installation.Gateway
		p.each(t.Gateways, func(g *installation.Gateway) error { some = append(some, g); return nil })
		w := t.Whole
		w.Version = 2
		for _, before := range p.s.Steps { // each change has a number of its own
			if before.Do == "limit" && before.At < t.At {
				w.Version++
			}
		}
		if t.Number > 0 {
			w.Version = t.Number
		}
		p.site.SetLimits(w, some)
	case "twin":
		return p.each(t.Gateways, func(g *installation.Gateway) error {
			for i, of := range p.site.Gateways {
				if of == g {
					_, err := p.site.StartTwin(i)
					return err
				}
			}
			return nil
		})
	case "revive": // whoever is not there, or stands still
		return p.each(t.Gateways, func(g *installation.Gateway) error {
			g.Signal(syscall.SIGCONT)
			if g.IsRunning() {
				return nil
			}
			p.gone(g, true)
			return p.start(g)
		})
	case "keep":
		return p.each(t.Gateways, (*installation.Gateway).CopyState)
	case "propose", "voters", "force":
		p.offer(t)
	case "list":
		for _, l := range p.site.Discoveries {
			if t.Be == "held" {
				l.HoldPolls()
			} else {
				l.TruncateAnswers()
			}
		}
	case "engine":
		return p.engines(t.Engines, func(i int, e *fake.Engine) error { return p.be(t.Be, i, e) })
	}
	return nil
}

func (p *play) start(g *installation.Gateway) error {
	if g.IsRunning() { // it is still leaving, or another step has started it
		p.gone(g, true)
		g.Kill()
	}
	p.mu.Lock()
	p.down[g.Label()] = false
	p.mu.Unlock()
	return g.Start()
}

func (p *play) be(what string, i int, e *fake.Engine) error {
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
		p.site.PublishState(i, "Ready")
		return e.AcceptConnections()
	case "drains":
		p.site.PublishState(i, "Terminating")
	case "gone":
		p.site.PublishState(i, "Gone")
	}
	return nil
}

func (p *play) end(name string, t Step) error {
	switch t.Do {
	case "link":
		p.net.RemoveRule(name)
	case "kill":
		return p.each(t.Gateways, func(g *installation.Gateway) error {
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
			return p.start(g)
		})
	case "leave":
		return p.each(t.Gateways, p.start)
	case "stop":
		return p.each(t.Gateways, func(g *installation.Gateway) error { g.Signal(syscall.SIGCONT); return nil })
	case "list":
		for _, l := range p.site.Discoveries {
			l.Recover()
		}
	case "engine":
		return p.engines(t.Engines, func(i int, e *fake.Engine) error {
			switch t.Be {
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
				p.site.PublishState(i, "Ready")
			}
			return nil
		})
	}
	return nil
}
