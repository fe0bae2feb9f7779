package faulttest

import (
	"fmt"
	"path"
	"slices"
	"time"

	"magpiebank/internal/configfile"
	"magpiebank/internal/testbed/faultproxy"
	"magpiebank/internal/testbed/installation"
)

// Upper limits of a scenario's fields.
const (
	maxGateways    = 64
	maxEngines     = 100
	maxRequestRate = 1000 // requests per second at each gateway
	maxLimit       = 10000
	maxSeed        = 1 << 31
)

// actionsOnGateways lists the actions for which a step must name gateways.
var actionsOnGateways = []string{"kill", "stop", "leave", "start", "twin", "limit", "surge", "propose", "voters", "force", "keep", "revive"}

// decode reads a scenario. It returns an error if fields are invalid.
func decode(file *configfile.Object) (*Scenario, error) {
	scenario := &Scenario{
		Name:            file.RequiredText("name"),
		Gateways:        file.Int("gateways", 8, 1, maxGateways),
		Engines:         file.Int("engines", 6, 1, maxEngines),
		Zones:           file.Texts("zones"),
		Seed:            uint64(file.Int("seed", 1, 0, maxSeed)),
		Length:          file.Duration("length", 10*time.Second),
		ConvergeWithin:  file.Duration("settle", 20*time.Second),
		RequestRate:     file.Number("rate", 4, 0, maxRequestRate),
		LoadShare:       file.Fraction("loads", 0.2),
		Limits:          readLimits(file),
		ShareTerm:       file.Duration("term", 24*time.Second),
		MaxWait:         file.Duration("longest", defaultMaxWait),
		LoadService:     file.Duration("service", 0),
		WarmUp:          file.Duration("warm", 0),
		SharedSlowStart: file.Bool("cold", false),
		HealthReports:   file.Bool("sharing", true),
		Counters:        file.Bool("counts", true),
		Durable:         file.Bool("state", false),
		Mutation:        file.Text("planted", ""),
		NotStarted:      file.Texts("down"),
	}
	if len(scenario.Zones) == 0 {
		scenario.Zones = []string{"norte", "sur"}
	}
	scenario.decodeRollout(file)
	scenario.decodeMutations(file)
	scenario.decodeClocks(file)
	scenario.decodeDisks(file)
	for _, expectation := range file.Objects("expect") {
		scenario.Expectations = append(scenario.Expectations, decodeExpectation(expectation))
	}
	for _, phase := range file.Objects("phases") {
		scenario.Phases = append(scenario.Phases, Phase{
			Name:     phase.RequiredText("name"),
			At:       phase.Duration("at", 0),
			Until:    phase.Duration("until", scenario.Length),
			Gateways: phase.Texts("part"),
		})
	}
	for _, step := range file.Objects("steps") {
		scenario.Steps = append(scenario.Steps, scenario.decodeStep(step))
	}
	return scenario, file.Validate()
}

// readLimits reads the limits of the whole cluster.
func readLimits(file *configfile.Object) installation.ClusterLimits {
	return installation.ClusterLimits{
		Threads:    file.Int("threads", 0, 0, maxLimit),
		MaxWaiting: file.Int("waiting", 0, 0, maxLimit),
		Work:       file.Duration("work", 0),
		Version:    1,
	}
}

func (s *Scenario) decodeRollout(file *configfile.Object) {
	policy := file.Object("policy")
	if policy == nil {
		return
	}
	s.Rollout = installation.Rollout{
		Voters:       policy.Int("voters", 5, 1, 7),
		Lease:        policy.Duration("lease", 2*time.Second),
		DecideWithin: policy.Duration("within", 3*time.Second),
	}
	if s.Rollout.Voters > s.Gateways || s.Rollout.Voters%2 == 0 {
		policy.Reject("voters", "1, 3, 5 or 7 of the gateways")
	}
}

func (s *Scenario) decodeMutations(file *configfile.Object) {
	s.CrashPoint = file.Text("dies", "")
	for _, at := range file.Objects("planted_at") {
		if s.MutationAt == nil {
			s.MutationAt = map[string]string{}
		}
		s.MutationAt[at.RequiredText("gateway")] = at.RequiredText("defect")
	}
}

func (s *Scenario) decodeClocks(file *configfile.Object) {
	clocks := file.Objects("clocks")
	if len(clocks) == 0 {
		return
	}
	s.Clocks = map[string]string{}
	for _, clock := range clocks {
		gateway := clock.RequiredText("gateway")
		s.Clocks[gateway] = fmt.Sprintf("%g %s %s", clock.Number("rate", 1, 0.5, 2), clock.Text("jump", "0s"), clock.Duration("after", 0))
		if !clock.HasField("born") {
			continue
		}
		if s.ClockOffsets == nil {
			s.ClockOffsets = map[string]string{}
		}
		s.ClockOffsets[gateway] = clock.Text("born", "")
	}
}

func (s *Scenario) decodeDisks(file *configfile.Object) {
	disks := file.Objects("disks")
	if len(disks) == 0 {
		return
	}
	s.Disks = map[string]string{}
	for _, disk := range disks {
		s.Disks[disk.RequiredText("gateway")] = disk.OneOf("be", "full", "full", "slow", "unsynced", "lies") + " " + disk.Duration("after", 0).String()
	}
	if !s.Durable && s.Rollout.Voters == 0 {
		file.Reject("state", "true, or a policy, if disks fail")
	}
}

func decodeExpectation(file *configfile.Object) Expectation {
	expectation := Expectation{
		MinServed:      file.Fraction("served", 0),
		Displaced:      file.Int("displaced", 0, 0, maxGateways),
		EjectedEngine:  file.Text("engine", ""),
		Within:         file.Duration("within", 0),
		MinDecided:     file.Int("decided", 0, 0, 1000),
		ProposalEnd:    file.Text("ends", ""),
		ProposalReason: file.Text("why", ""),
		Voters:         file.Texts("voters"),
	}
	if (expectation.EjectedEngine == "") != (expectation.Within == 0) {
		file.Reject("engine", "an engine that becomes faulty, and within, the time after which it is left alone")
	}
	return expectation
}

func (s *Scenario) decodeStep(file *configfile.Object) Step {
	step := Step{
		At:       file.Duration("at", 0),
		Until:    file.Duration("until", 0),
		Action:   file.OneOf("do", "link", actions...),
		From:     file.Texts("from"),
		To:       file.Texts("to"),
		BothWays: file.Bool("both", false),
		Gateways: file.Texts("gateways"),
		Folder:   file.OneOf("folder", "same", "same", "none", "older"),
		Engines:  file.Texts("engines"),
		Rule:     decodeRule(file),
	}
	switch step.Action {
	case "limit":
		step.Limits = readLimits(file)
	case "propose":
		step.decodeProposal(file)
		if s.Rollout.Voters == 0 {
			file.Reject("do", "policy in the file, which configures the voters")
		}
	}
	step.ExtraRate = file.Number("more", 0, 0, maxRequestRate)
	if file.HasField("be") {
		step.EngineState = file.OneOf("be", "", states...)
	}
	step.validate(file)
	return step
}

func decodeRule(file *configfile.Object) faultproxy.Rule {
	return faultproxy.Rule{
		Cut:       file.Bool("cut", false),
		Refuse:    file.Bool("refuse", false),
		Loss:      file.Fraction("loss", 0),
		Duplicate: file.Fraction("double", 0),
		Reorder:   file.Fraction("reorder", 0),
		Corrupt:   file.Fraction("flip", 0),
		Delay:     file.Duration("delay", 0),
		Jitter:    file.Duration("spread", 0),
		Rate:      file.Size("rate", 0),
	}
}

func (t *Step) decodeProposal(file *configfile.Object) {
	t.ProposalKind = file.OneOf("kind", "change", "change", "rollback", "rehearse")
	t.PolicyNumber = file.Int("number", 0, 0, 1e6)
	t.ProposalName = file.Text("as", "")
	t.Policy = installation.Policy{
		ClusterLimits:    readLimits(file),
		Refuse:           file.Bool("refuse", false),
		LookClass:        file.Bool("looks", false),
		Zones:            file.Texts("zones"),
		UnknownField:     file.Text("field", ""),
		BothFor:          file.Duration("both_for", 0),
		Rehearse:         file.Duration("rehearse", 0),
		MaxRejectedShare: file.Fraction("guard", 0),
		Probation:        file.Duration("probation", 0),
		MaxShedShare:     file.Fraction("bound", 0),
		FillerBytes:      file.Size("size", 0),
	}
}

func (t *Step) validate(file *configfile.Object) {
	onEngines, onDiscovery := t.Action == "engine", t.Action == "list"
	switch {
	case t.Until != 0 && t.Until <= t.At:
		file.Reject("until", "a time after at")
	case t.Action == "link" && (len(t.From) == 0 || len(t.To) == 0 || t.Rule == faultproxy.Rule{}):
		file.Reject("do", "from, to, and what such a link does, as in cut: true")
	case onEngines != (len(t.Engines) > 0) || (onEngines || onDiscovery) != (t.EngineState != ""):
		file.Reject("do", "engines and be where engines are told to be something, be where the list is")
	case slices.Contains(actionsOnGateways, t.Action) && len(t.Gateways) == 0:
		file.Reject("gateways", "at least one gateway, as in ['g1']")
	}
	for _, pattern := range slices.Concat(t.From, t.To, t.Gateways, t.Engines) {
		if _, err := path.Match(pattern, ""); err != nil {
			file.Reject("do", "patterns of names, with * for any characters; "+pattern+" is invalid")
		}
	}
}
