// Package experiment reads an experiment from a file, runs it on loopback and checks the result against the file's bounds.
package experiment

import (
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"magpiebank/internal/configfile"
	"magpiebank/internal/testbed/fake"
	"magpiebank/internal/testbed/installation"
	"magpiebank/internal/testbed/load/arrival"
	"magpiebank/internal/testbed/load/client"
)

// Experiment is the content of an experiment's file. Its load goes to an installation, to a fake frontend or to given
// addresses, whichever is set.
type Experiment struct {
	Name         string
	Seed         int64
	Length       time.Duration // duration of the load; 0: until the shape ends
	Shape        arrival.Shape
	Classes      []arrival.Class
	Behavior     client.Behavior
	Works        []fake.Work        // how the fakes run requests
	Installation *installation.Plan // gateways with fake engines and a fake discovery
	FakeFrontend bool               // a fake takes the gateways' place
	Targets      []string           // loopback addresses of programs that are already running
	Script       []Step
	Bounds       Bounds
	Loops        int    // goroutines that send, in each process; 0: as many as half the cores
	Workers      int    // processes that send; 0: this process sends
	OnLoss       string // what happens to a lost worker's requests: share (others send them) or drop
}

// Bounds are the conditions that a good run meets.
type Bounds struct {
	GeneratorDelay    time.Duration    // most at p99 that the generator itself adds to latencies
	QueueDelay        time.Duration    // most at p99 of the wait for a connection under the clients' limit; 0: not checked
	OfferedTolerance  float64          // relative error of the offered requests against the schedule
	TruthTolerance    float64          // relative error of reported quantiles against the true ones
	MinTruthTolerance time.Duration    // absolute error of reported quantiles that is always tolerated
	AllowedOutcomes   []client.Outcome // outcomes that don't count as violations
	Goals             []Goal
	CheckTruth        bool // compare reported latencies with those in the fakes' log
	ClosedUsers       int  // users of the closed loop that the run is compared with; 0: chosen by closedLoopUsers
}

// Goal is a latency quantile or a share of served requests that a class must reach.
type Goal struct {
	Class    string
	Quantile float64 // 0: the latency is not checked
	Within   time.Duration
	Share    float64 // least share of the class's requests that are served; 0: not checked
}

// The bounds if a file names none. The delay is a tenth of the noise that the shortest latency objectives allow. The
// testbed's own measurements meet the others (docs/load.md).
const (
	defaultGeneratorDelay   = time.Millisecond
	defaultOfferedTolerance = 0.001
	defaultTruthTolerance   = 0.01
)

// Read reads an experiment's file.
func Read(path string) (*Experiment, error) {
	_, file, err := configfile.Read(path)
	if err != nil {
		return nil, err
	}
	return decode(file, filepath.Dir(path))
}

// Parse reads an experiment from a text as if it were in a file of the given name.
func Parse(name, text string) (*Experiment, error) {
	_, file, err := configfile.Parse(name, text)
	if err != nil {
		return nil, err
	}
	return decode(file, filepath.Dir(name))
}

// decoder reads one experiment.
type decoder struct {
	experiment     *Experiment
	folder         string               // folder that relative paths start from
	gatewayClasses []installation.Class // classes that the gateways are configured with
}

func decode(file *configfile.Object, folder string) (*Experiment, error) {
	e := &Experiment{Name: file.RequiredText("name"), Seed: int64(file.Int("seed", 1, 0, 1<<31)),
		Length: file.Duration("length", 0), Targets: file.Texts("targets"), Loops: file.Int("loops", 0, 0, 256),
		Workers: file.Int("workers", 0, 0, 64), OnLoss: file.OneOf("on_loss", "share", "share", "drop")}
	d := &decoder{experiment: e, folder: folder}
	for _, class := range file.Objects("lanes") {
		d.decodeClass(class)
	}
	if len(e.Classes) == 0 {
		file.Reject("lanes", "at least one lane")
	}
	d.decodeLoad(file)
	if clients := file.Object("clients"); clients != nil {
		e.Behavior = decodeBehavior(clients)
	} else {
		e.Behavior = client.Behavior{PooledShare: 1, MaxAttempts: 1}
	}
	if site := file.Object("site"); site != nil {
		e.Installation = d.decodeSite(site)
	}
	e.FakeFrontend = file.Bool("front", false)
	for _, step := range file.Objects("script") {
		d.decodeStep(step)
	}
	d.decodeBounds(file.Object("bounds"))
	d.checkTargets(file)
	err := file.Validate()
	if err != nil {
		return nil, err
	}
	return e, nil
}

func (d *decoder) decodeLoad(file *configfile.Object) {
	shape := file.Object("load")
	if shape == nil {
		file.Reject("load", "a shape")
		return
	}
	d.experiment.Shape = d.decodeShape(shape)
	err := d.experiment.Shape.Check("load")
	if err != nil {
		file.RejectError(err)
	}
}

func (d *decoder) decodeStep(o *configfile.Object) {
	step := Step{At: o.Duration("at", 0), Do: o.RequiredText("do"), Which: o.Text("which", "all"), Share: o.Number("share", 0, 0, 100)}
	target, ok := targetsByVerb[step.Do]
	if !ok {
		o.OneOf("do", "", slices.Sorted(maps.Keys(targetsByVerb))...)
	}
	step.target = target
	if d.experiment.FakeFrontend && target == targetEngines {
		step.target = targetFrontend
		if ok && step.Do != "pause" && step.Do != "resume" {
			o.Reject("do", "pause or resume, as there is no site")
		}
	}
	d.experiment.Script = append(d.experiment.Script, step)
}

// checkTargets checks that the file names exactly one target of the load, that it is on loopback, and that the file says how
// long the load lasts.
func (d *decoder) checkTargets(file *configfile.Object) {
	e := d.experiment
	targetCount := 0
	for _, isGiven := range []bool{e.Installation != nil, e.FakeFrontend, len(e.Targets) > 0} {
		if isGiven {
			targetCount++
		}
	}
	if targetCount != 1 {
		file.Reject("site", "one of site, front: true, and targets")
	}
	if !file.HasField("length") && e.Shape.Kind != arrival.Replay && e.Shape.For <= 0 {
		file.Reject("length", "a time above 0")
	}
	for _, target := range e.Targets {
		if !strings.HasPrefix(target, "127.") && !strings.HasPrefix(target, "[::1]:") && !strings.HasPrefix(target, "localhost:") {
			file.Reject("targets", "addresses on loopback")
		}
	}
}

func decodeBehavior(o *configfile.Object) client.Behavior {
	return client.Behavior{Connections: o.Int("connections", 0, 0, 1<<20), PooledShare: o.Fraction("reused", 1), HeldOpenShare: o.Fraction("kept", 0),
		IdleTimeout: o.Duration("idle", 4*time.Second), MaxAttempts: o.Int("tries", 1, 1, 60), Backoff: o.Duration("back_off", 100*time.Millisecond),
		MaxBackoff: o.Duration("most_back_off", 2*time.Second), Jitter: o.Fraction("jitter", 0.5), HonorRetryAfterProbability: o.Fraction("honour", 1),
		RetryRatio: o.Number("budget", 0.2, 0, 10), RetryBurst: o.Int("budget_free", 10, 0, 1<<20),
		RetryWindow: o.Duration("budget_window", 10*time.Second),
		SlowShare:   o.Fraction("slow", 0), LeavingShare: o.Fraction("leave", 0), SilentShare: o.Fraction("mute", 0)}
}

func (d *decoder) decodeSite(o *configfile.Object) *installation.Plan {
	plan := &installation.Plan{Gateways: o.Int("gateways", 1, 1, 64), Engines: o.Int("engines", 4, 1, 1000), Zones: o.Texts("zones"),
		Cores: o.Number("cores", 8, 1, 1024), Classes: d.gatewayClasses, MemoryMB: int(o.Size("memory", 192<<20) >> 20),
		Sockets: o.Int("sockets", 1024, 64, 1<<20), ConnectWithin: o.Duration("connect_within", 250*time.Millisecond),
		IdleTimeout: o.Duration("idle", 30*time.Second), Seed: d.experiment.Seed, Program: o.Text("program", ""), ExtraArguments: o.Texts("arguments"),
		Behavior: fake.EngineBehavior{Threads: o.Int("threads", 32, 1, 1<<16), MaxHeld: o.Int("most", 0, 0, 1<<20), Works: d.experiment.Works,
			ColdSpeed: o.Fraction("cold", 0), WarmUp: o.Duration("warm", 0), NoticeInterval: o.Duration("notes", 0)}}
	plan.Behavior.Cores = plan.Cores
	if len(plan.Zones) == 0 {
		plan.Zones = []string{"norte", "sur"}
	}
	return plan
}

// decodeBounds reads the bounds. o is nil if the file has none.
func (d *decoder) decodeBounds(o *configfile.Object) {
	bounds := &d.experiment.Bounds
	*bounds = Bounds{GeneratorDelay: defaultGeneratorDelay, OfferedTolerance: defaultOfferedTolerance, TruthTolerance: defaultTruthTolerance, MinTruthTolerance: time.Millisecond}
	if o == nil {
		return
	}
	bounds.GeneratorDelay = o.Duration("own", bounds.GeneratorDelay)
	bounds.QueueDelay = o.Duration("queued", 0)
	bounds.OfferedTolerance = o.Fraction("offered", bounds.OfferedTolerance)
	bounds.CheckTruth = o.Bool("check_truth", false)
	bounds.TruthTolerance = o.Fraction("truth", bounds.TruthTolerance)
	bounds.MinTruthTolerance = o.Duration("truth_least", bounds.MinTruthTolerance)
	bounds.ClosedUsers = o.Int("closed_users", 0, 0, 1<<20)
	for _, name := range o.Texts("allow") {
		outcome, ok := outcomeByName(name)
		if !ok {
			o.Reject("allow", "names of outcomes, as in \"given up\"")
			continue
		}
		bounds.AllowedOutcomes = append(bounds.AllowedOutcomes, outcome)
	}
	for _, goal := range o.Objects("goals") {
		bounds.Goals = append(bounds.Goals, d.decodeGoal(goal))
	}
}

func outcomeByName(name string) (outcome client.Outcome, ok bool) {
	for outcome := range client.Outcome(client.OutcomeCount) {
		if outcome.String() == name {
			return outcome, true
		}
	}
	return 0, false
}

func (d *decoder) decodeGoal(o *configfile.Object) Goal {
	goal := Goal{Class: o.RequiredText("lane"), Quantile: o.Fraction("quantile", 0), Within: o.Duration("within", 0),
		Share: o.Fraction("delivered", 0)}
	if d.experiment.classIndex(goal.Class) < 0 {
		o.Reject("lane", "the name of a lane")
	}
	return goal
}

// classIndex returns the index of the class of a name, or -1 if there is none.
func (e *Experiment) classIndex(name string) int {
	return slices.IndexFunc(e.Classes, func(class arrival.Class) bool { return class.Name == name })
}
