// Package faulttest injects faults between the processes of a cluster: real gateways before fake engines, a load, and steps at
// stated times that cut, lose, delay, kill, stop and restart. What must hold at every instant is read from the merged history
// afterwards; what must come about in the end, within a stated time. A scenario that was drawn from a seed prints as a file.
package faulttest

import (
	"embed"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"magpiebank/internal/configfile"
	"magpiebank/internal/testbed/faultproxy"
	"magpiebank/internal/testbed/installation"
)

// Scenario is what is played.
type Scenario struct {
	Name            string
	Gateways        int
	Engines         int
	Zones           []string
	Seed            uint64
	Length          time.Duration
	ConvergeWithin  time.Duration              // within which all must know each other again, once the last fault has ended
	RequestRate     float64                    // requests a second at each gateway
	LoadShare       float64                    // share of them that are loads
	LoadService     time.Duration              // of a load, always the same; 0: as it comes
	WarmUp          time.Duration              // until an engine that has started is warm; 0: it is at once
	SharedSlowStart bool                       // what engines that are warming up may be sent is shared
	Limits          installation.ClusterLimits // that loads may use over the whole cluster
	ShareTerm       time.Duration              // for which a share of it is held without a renewal
	MaxWait         time.Duration              // that a client waits
	HealthReports   bool
	Counters        bool // are shared
	Durable         bool
	Rollout         installation.Rollout // how policies are decided on; without voters each gateway goes by its file
	Mutation        string               // a mutation of the gateways, to see that it is found
	Clocks          map[string]string    // by process: rate, jump and when, as MAGPIEBANK_CLOCK
	ClockOffsets    map[string]string    // by process: how far its wall clock is off at its start, as MAGPIEBANK_BORN
	MutationAt      map[string]string    // by process: a mutation of it alone
	CrashPoint      string               // where the first voter that reaches it ends or stops itself, as MAGPIEBANK_DIE without its file
	Disks           map[string]string    // by gateway: how the disk under its journal fails and when, as MAGPIEBANK_DISK
	NotStarted      []string             // gateways that are not started before a step does it
	Steps           []Step
	Expectations    []Expectation
	Phases          []Phase // in which the use of quotas is measured
}

// Phase is a part of a run.
type Phase struct {
	Name     string        `json:"name"`
	At       time.Duration `json:"at"`
	Until    time.Duration `json:"until"`
	Gateways []string      `json:"part,omitempty"` // gateways that are measured by themselves as well
}

// Expectation is what must come about besides what must hold always.
type Expectation struct {
	MinServed      float64       // least share of the priority weight asked for that is served within the latency objective
	Displaced      int           // processes that find their name taken by a later one
	EjectedEngine  string        // that is sent nothing new
	Within         time.Duration // this long after it turned faulty, by 95% of the gateways, to the end of the outage
	MinDecided     int           // least number of proposals that are decided
	ProposalEnd    string        // how one of them ends, as in "dropped", and why: words that stand in it
	ProposalReason string
	Voters         []string // at the end
}

// Step is a fault, or the end of one.
type Step struct {
	At, Until    time.Duration // Until 0: to the end, or it has no length
	Action       string        // link, kill, stop, leave, start, twin, engine, list, limit, surge, propose, voters, force, keep or revive
	From, To     []string      // of a link
	BothWays     bool          // the other direction too
	Rule         faultproxy.Rule
	Gateways     []string
	Folder       string // after a kill: same, none or older, which is as it was kept, or at the kill
	ProposalKind string // of what is proposed: change, rollback or rehearse
	Policy       installation.Policy
	PolicyNumber int    // of the policy gone back to
	ProposalName string // proposals of one name are one, proposed again
	Engines      []string
	Limits       installation.ClusterLimits // the limits that some go by from then on
	ExtraRate    float64                    // requests a second more at some, while it lasts
	EngineState  string                     // of engines: silent, errs, loses, slow, refuses, paused, restarts, drains, gone; of the list: held or broken
}

// The values of a step's fields.
var (
	actions = []string{"link", "kill", "stop", "leave", "start", "twin", "engine", "list", "limit", "surge", "propose", "voters", "force", "keep", "revive"}
	states  = []string{"silent", "errs", "loses", "slow", "refuses", "paused", "restarts", "drains", "gone", "held", "broken"}
)

//go:embed builtin/*.jsonnet
var builtins embed.FS

// Builtin are the names of those that are built in.
func Builtin() (names []string) {
	entries, err := builtins.ReadDir("builtin")
	if err != nil {
		return nil
	}
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".jsonnet"))
	}
	return names
}

// Read reads a built-in scenario by its name, or a file.
func Read(name string) (*Scenario, error) {
	if slices.Contains(Builtin(), name) {
		text, err := builtins.ReadFile("builtin/" + name + ".jsonnet")
		if err != nil {
			return nil, err
		}
		importedText, err := builtins.ReadFile("builtin/judgement.jsonnet")
		if err != nil {
			return nil, err
		}
		// The one import that built-in files have is put in its place, as the evaluator reads no embedded files.
		return Parse(name+".jsonnet", strings.ReplaceAll(string(text), "import 'judgement.jsonnet'", "("+string(importedText)+")"))
	}
	if _, err := os.Stat(name); err != nil {
		return nil, fmt.Errorf("%s: no such file, nor one of the built-in scenarios %s", name, strings.Join(Builtin(), ", "))
	}
	_, file, err := configfile.Read(name)
	if err != nil {
		return nil, err
	}
	return decode(file)
}

// Parse reads a text that stands for a file of that name.
func Parse(name, text string) (*Scenario, error) {
	_, file, err := configfile.Parse(name, text)
	if err != nil {
		return nil, err
	}
	return decode(file)
}
