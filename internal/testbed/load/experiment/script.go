package experiment

import (
	"errors"
	"strconv"
	"syscall"
	"time"

	"magpiebank/internal/testbed/fake"
	"magpiebank/internal/testbed/installation"
)

// Step is an action on the installation, or on the fake frontend, at a time of the run.
type Step struct {
	At     time.Duration
	Do     string  // a verb of targetsByVerb
	Which  string  // all, an index (from 0) of an engine or a gateway, depending on the verb, or a zone of engines
	Share  float64 // for slow: the engine's speed; for fail: the share of its queries that fail
	target stepTarget
}

// stepTarget is what a step acts on.
type stepTarget uint8

const (
	targetEngines stepTarget = iota
	targetGateways
	targetDiscovery
	targetFrontend
)

// targetsByVerb maps the verbs of steps to what they act on.
var targetsByVerb = map[string]stepTarget{
	"pause": targetEngines, "resume": targetEngines, "refuse": targetEngines, "accept": targetEngines, "reset": targetEngines,
	"silent": targetEngines, "speak": targetEngines, "slow": targetEngines, "fail": targetEngines,
	"drain": targetEngines, "gone": targetEngines, "ready": targetEngines,
	"kill": targetGateways, "start": targetGateways, "stop": targetGateways, "reload": targetGateways,
	"break-list": targetDiscovery, "hold-list": targetDiscovery, "mend-list": targetDiscovery,
}

var errNoInstallation = errors.New("there is no site")

// runScript carries out the script's steps at their times, until stop is closed.
func (e *Experiment) runScript(result *Result, env *environment, stop <-chan struct{}) {
	for index := range e.Script {
		step := &e.Script[index]
		select {
		case <-stop:
			return
		case <-time.After(time.Until(result.Began.Add(step.At))):
		}
		at := time.Since(result.Began)
		what := step.Do + " " + step.Which
		err := step.run(env.site, env.frontend)
		if err != nil {
			what += ": " + err.Error()
		}
		result.Script = append(result.Script, ScriptEvent{at, what})
	}
}

// run carries out a step on the installation, or on the fake frontend.
func (s *Step) run(site *installation.Installation, frontend *fake.Frontend) error {
	if s.target == targetFrontend {
		if s.Do == "pause" {
			frontend.Pause()
		} else {
			frontend.Resume()
		}
		return nil
	}
	if site == nil {
		return errNoInstallation
	}
	switch s.target {
	case targetDiscovery:
		s.runOnDiscovery(site)
		return nil
	case targetGateways:
		return s.runOnGateways(site)
	default:
		return s.runOnEngines(site)
	}
}

func (s *Step) runOnDiscovery(site *installation.Installation) {
	switch s.Do {
	case "break-list":
		site.Discovery.TruncateAnswers()
	case "hold-list":
		site.Discovery.HoldPolls()
	default:
		site.Discovery.Recover()
	}
}

func (s *Step) runOnGateways(site *installation.Installation) error {
	for index, gateway := range site.Gateways {
		if s.Which != "all" && s.Which != strconv.Itoa(index) {
			continue
		}
		switch s.Do {
		case "kill":
			gateway.Kill()
		case "start":
			err := gateway.Start()
			if err != nil {
				return err
			}
		case "stop":
			gateway.Signal(syscall.SIGTERM)
		case "reload":
			gateway.Signal(syscall.SIGHUP)
		}
	}
	return nil
}

func (s *Step) runOnEngines(site *installation.Installation) error {
	for index, engine := range site.Engines {
		if s.Which != "all" && s.Which != strconv.Itoa(index) && s.Which != site.Zone(index) {
			continue
		}
		err := s.runOnEngine(site, index, engine)
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *Step) runOnEngine(site *installation.Installation, index int, engine *fake.Engine) error {
	switch s.Do {
	case "pause":
		engine.Pause()
	case "resume":
		engine.Resume()
	case "refuse":
		engine.RefuseConnections()
	case "accept":
		return engine.AcceptConnections()
	case "reset":
		engine.ResetConnections()
	case "silent":
		engine.StopAnswering()
	case "speak":
		engine.ResumeAnswering()
	case "slow":
		engine.SetSpeed(s.Share)
	case "fail":
		engine.FailQueries(s.Share)
	case "drain":
		site.PublishState(index, "Terminating")
	case "gone":
		site.PublishState(index, "Gone")
	case "ready":
		site.PublishState(index, "Ready")
	}
	return nil
}
