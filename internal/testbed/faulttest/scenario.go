// Package faulttest runs scenarios with faults on a cluster of real gateways, fake engines and a load. The steps of a scenario cut links,
// lose or delay messages, and kill, stop and restart processes at given times. Rules that must hold at every instant are checked
// afterwards in the merged history of all processes. Conditions that must hold in the end, such as a converged membership, have a time
// limit. Scenarios are read from files or generated from a seed; a generated scenario can be printed as a file.
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

// Scenario describes a cluster, its load, and the faults and expectations of a run.
type Scenario struct {
	Name            string
	Gateways        int
	Engines         int
	Zones           []string
	Seed            uint64
	Length          time.Duration
	ConvergeWithin  time.Duration              // time within which all gateways must know each other, after the start and after the last fault
	RequestRate     float64                    // requests per second at each gateway
	LoadShare       float64                    // share of the requests that are loads
	LoadService     time.Duration              // constant service time of loads; 0: it varies
	WarmUp          time.Duration              // time that an engine warms up after a start; 0: it has full speed at once
	SharedSlowStart bool                       // the gateways share a quota of what may be sent to each engine that is warming up
	Limits          installation.ClusterLimits // limits of loads in the whole cluster
	ShareTerm       time.Duration              // time for which a gateway holds its share of a quota without a renewal
	MaxWait         time.Duration              // deadline of the clients
	HealthReports   bool                       // the gateways send each other health reports on engines
	Counters        bool                       // the gateways send each other the counts of their requests
	Durable         bool                       // each gateway has a request journal
	Rollout         installation.Rollout       // how the gateways decide on policies; without voters, each gateway applies its operator file
	Mutation        string                     // mutation of all gateways, with which a test checks that violations are found
	Clocks          map[string]string          // by label of a gateway: rate and jump of its clock, in the format of MAGPIEBANK_CLOCK
	ClockOffsets    map[string]string          // by label of a gateway: initial offset of its wall clock, as in MAGPIEBANK_BORN
	MutationAt      map[string]string          // by label of a gateway: additional mutation of this gateway alone
	CrashPoint      string                     // where the first voter to get there kills or stops itself, as in MAGPIEBANK_DIE without the file
	Disks           map[string]string          // by label of a gateway: how and when its disk fails, in the format of MAGPIEBANK_DISK
	NotStarted      []string                   // gateways that do not run until a step starts them
	Steps           []Step
	Expectations    []Expectation
	Phases          []Phase // periods that are measured separately
}

// Phase is a period of a run that is measured separately.
type Phase struct {
	Name     string        `json:"name"`
	At       time.Duration `json:"at"`
	Until    time.Duration `json:"until"`
	Gateways []string      `json:"part,omitempty"` // patterns of gateways whose own use is also measured
}

// Expectation lists what a run of this scenario must achieve, in addition to the rules for all runs. Zero fields expect nothing.
type Expectation struct {
	MinServed      float64       // least share of the priority weight of all requests that is served within the latency objective
	Displaced      int           // number of processes that find their name taken by a later process
	EjectedEngine  string        // engine that 95 % of the gateways stop using, until its outage ends
	Within         time.Duration // time after the start of the outage at which they must have stopped
	MinDecided     int           // least number of proposals that are decided
	ProposalEnd    string        // outcome of at least one proposal, as in "dropped"
	ProposalReason string        // text that the reason of the same proposal contains
	Voters         []string      // gateways that vote on policies at the end
}

// Step is a fault or another action at a given time. Most fields are used by some actions only.
type Step struct {
	At, Until    time.Duration // Until 0: the step lasts to the end, or has no length
	Action       string        // link, kill, stop, leave, start, twin, engine, list, limit, surge, propose, voters, force, keep or revive
	From, To     []string      // patterns of the processes at the ends of a link
	BothWays     bool          // the rule also applies to the other direction of the link
	Rule         faultproxy.Rule
	Gateways     []string
	Folder       string // state after a kill: same, none, or older, which is the copy made by keep or, without one, at the kill
	ProposalKind string // change, rollback or rehearse
	Policy       installation.Policy
	PolicyNumber int    // of a rollback: number of the earlier policy; of limit: version of the new limits, 0: derived from the earlier steps
	ProposalName string // steps with the same name propose with the same id, like one proposal that is sent again
	Engines      []string
	Limits       installation.ClusterLimits // new limits in the operator files of the gateways
	ExtraRate    float64                    // additional requests per second at the gateways during the step
	EngineState  string                     // one of states; held and broken are states of the discovery services, all others of engines
}

// The values of the fields Action and EngineState of a step.
var (
	actions = []string{"link", "kill", "stop", "leave", "start", "twin", "engine", "list", "limit", "surge", "propose", "voters", "force", "keep", "revive"}
	states  = []string{"silent", "errs", "loses", "slow", "refuses", "paused", "restarts", "drains", "gone", "held", "broken"}
)

//go:embed builtin/*.jsonnet
var builtins embed.FS

// Builtin returns the names of the built-in scenarios.
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

// Read reads the built-in scenario with the name or, if there is none, the file with this path.
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
		// The only import in built-in files is replaced by the imported text, because the evaluator does not read embedded files.
		return Parse(name+".jsonnet", strings.ReplaceAll(string(text), "import 'judgement.jsonnet'", "("+string(importedText)+")"))
	}
	if _, err := os.Stat(name); err != nil {
		return nil, fmt.Errorf("%s is neither a file nor one of the built-in scenarios %s", name, strings.Join(Builtin(), ", "))
	}
	_, file, err := configfile.Read(name)
	if err != nil {
		return nil, err
	}
	return decode(file)
}

// Parse reads a scenario from a text. Errors refer to the text as a file with the given name.
func Parse(name, text string) (*Scenario, error) {
	_, file, err := configfile.Parse(name, text)
	if err != nil {
		return nil, err
	}
	return decode(file)
}
