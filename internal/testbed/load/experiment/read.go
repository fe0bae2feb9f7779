// Package experiment reads an experiment from its file, plays it on loopback and judges what came of it.
package experiment

import (
	"fmt"
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
	"magpiebank/internal/traffic/trace"
)

// Experiment is what a file says.
type Experiment struct {
	Name         string
	Seed         int64
	Length       time.Duration
	Shape        arrival.Shape
	Classes      []arrival.Class
	Behavior     client.Behavior
	Works        []fake.Work
	Installation *installation.Plan // gateways between fakes; nil: none are started
	FakeFrontend bool               // a fake for the gateway takes the load
	Targets      []string           // or addresses that are there
	Script       []Step
	Bounds       Bounds
	Loops        int
	Workers      int // processes that send; 0: this one
	OnLoss       string
}

// Step is something that happens to the installation at a time.
type Step struct {
	At      time.Duration
	Do      string
	Which   string // all, a zone, or a number from 0 on: of engines, or of gateways for verbs that are theirs
	Share   float64
	verbFor verbKind
}

type verbKind uint8

const (
	ofEngines verbKind = iota
	ofGateways
	ofList
	ofFront
)

var verbs = map[string]verbKind{"pause": ofEngines, "resume": ofEngines, "refuse": ofEngines, "accept": ofEngines,
	"reset": ofEngines, "silent": ofEngines, "speak": ofEngines, "slow": ofEngines, "fail": ofEngines,
	"drain": ofEngines, "gone": ofEngines, "ready": ofEngines,
	"kill": ofGateways, "start": ofGateways, "stop": ofGateways, "reload": ofGateways,
	"break-list": ofList, "hold-list": ofList, "mend-list": ofList}

// Bounds are what a run must keep to be called good.
type Bounds struct {
	GeneratorDelay time.Duration    // of the generator's own delay at p99
	QueueDelay     time.Duration    // of waits for a connection under the limit at p99; 0: they are clients' own affair
	Offered        float64          // share by which what was offered may miss the schedule
	Truth          float64          // share by which reported quantiles may miss the true ones,
	TruthLeast     time.Duration    // or this, whichever is larger
	Allow          []client.Outcome // that would break a rule otherwise
	Goals          []Goal
	CheckTruth     bool
	ClosedUsers    int // that read the run the closed-loop way; 0: as many as it holds at its median
}

// Goal is a quantile that a class must reach.
type Goal struct {
	Class    string
	Quantile float64
	Within   time.Duration
	Share    float64 // of the class's requests that are served; 0: not asked
}

// The bounds where a file names none: the delay is a tenth of what the shortest quoted times leave for noise, the
// others are those that the testbed's own measurements hold (docs/load.md).
const (
	usualOwn     = time.Millisecond
	usualOffered = 0.001
	usualTruth   = 0.01
)

// Read reads an experiment's file.
func Read(path string) (*Experiment, error) {
	_, o, err := configfile.Read(path)
	if err != nil {
		return nil, err
	}
	return decode(o, filepath.Dir(path))
}

// Parse reads an experiment from a text that stands for a file of that name.
func Parse(name, text string) (*Experiment, error) {
	_, o, err := configfile.Parse(name, text)
	if err != nil {
		return nil, err
	}
	return decode(o, filepath.Dir(name))
}

func decode(o *configfile.Object, folder string) (*Experiment, error) {
	e := &Experiment{Name: o.RequiredText("name"), Seed: int64(o.Int("seed", 1, 0, 1<<31)),
		Length: o.Duration("length", 0), Targets: o.Texts("targets"), Loops: o.Int("loops", 0, 0, 256),
		Workers: o.Int("workers", 0, 0, 64), OnLoss: o.OneOf("on_loss", "share", "share", "drop")}
	var siteLanes []installation.Class
	for _, l := range o.Objects("lanes") {
		e.lane(l, &siteLanes)
	}
	if len(e.Classes) == 0 {
		o.Reject("lanes", "at least one lane")
	}
	if shape := o.Object("load"); shape != nil {
		e.Shape = e.decodeShape(shape, folder)
		if err := e.Shape.Check("load"); err != nil {
			o.RejectError(err)
		}
	} else {
		o.Reject("load", "a shape")
	}
	if c := o.Object("clients"); c != nil {
		e.Behavior = manners(c)
	} else {
		e.Behavior = client.Behavior{PooledShare: 1, MaxAttempts: 1}
	}
	if s := o.Object("site"); s != nil {
		e.Installation = decodeSite(s, siteLanes, e.Works, e.Seed)
	}
	e.FakeFrontend = o.Bool("front", false)
	for _, s := range o.Objects("script") {
		step := Step{At: s.Duration("at", 0), Do: s.RequiredText("do"), Which: s.Text("which", "all"), Share: s.Number("share", 0, 0, 100)}
		kind, ok := verbs[step.Do]
		if !ok {
			s.OneOf("do", "", slices.Sorted(maps.Keys(verbs))...)
		}
		if step.verbFor = kind; e.FakeFrontend && kind == ofEngines {
			if step.verbFor = ofFront; ok && step.Do != "pause" && step.Do != "resume" {
				s.Reject("do", "pause or resume, as there is no site")
			}
		}
		e.Script = append(e.Script, step)
	}
	e.bounds(o.Object("bounds"))
	there := 0
	for _, is := range []bool{e.Installation != nil, e.FakeFrontend, len(e.Targets) > 0} {
		if is {
			there++
		}
	}
	if there != 1 {
		o.Reject("site", "one of site, front: true, and targets")
	}
	if !o.HasField("length") && e.Shape.Kind != arrival.Replay && e.Shape.For <= 0 {
		o.Reject("length", "a time above 0")
	}
	for _, t := range e.Targets {
		if !strings.HasPrefix(t, "127.") && !strings.HasPrefix(t, "[::1]:") && !strings.HasPrefix(t, "localhost:") {
			o.Reject("targets", "addresses on loopback")
		}
	}
	if err := o.Validate(); err != nil {
		return nil, err
	}
	return e, nil
}

func (e *Experiment) lane(l *configfile.Object, lanes *[]installation.Class) {
	a := arrival.Class{Name: l.RequiredText("name"), GatewayClass: l.Text("as", ""), Share: l.Number("share", 1, 0, 1e6), Statements: l.Texts("statements"),
		Groups: l.Int("groups", 1, 1, 1<<20), Zipf: l.Number("zipf", 0, 0, 10), Literals: l.Int("literals", 0, 0, 1<<30),
		LatencyObjective: l.Duration("quoted", time.Second), MaxWait: l.Duration("patience", 5*time.Second),
		MarkRetry: l.Bool("mark_retry", true)}
	s := installation.Class{Name: a.Name, LatencyObjective: a.LatencyObjective, MaxWait: a.MaxWait, Weight: l.Number("earnings", 1, 0, 1e6),
		LateShare: l.Fraction("late", 0), Effect: l.OneOf("effect", "idempotent", "idempotent", "deduplicated", "unrepeatable"),
		Threads: l.Int("threads", 1, 1, 64), Load: l.Bool("loads", false), HeldByLoads: l.Bool("held_by_loads", false)}
	a.Idempotent = l.Bool("repeat", s.Effect == "idempotent")
	if len(a.Statements) == 0 {
		a.Statements = []string{"SELECT dia, count(*), max(nota) FROM actas_{group}.mesas WHERE clave = '{literal}' GROUP BY dia"}
	}
	w := fake.Work{Class: a.WireName(), Rows: l.Int("rows", 3, 1, 2000), MemoryMB: float64(l.Size("memory", 64<<20)) / (1 << 20),
		Fails: l.Fraction("fails", 0)}
	if v := l.Object("service"); v != nil {
		w.Service = spread(v)
	}
	for _, v := range l.Objects("heavy") { // statements that are not what their class is as a rule
		h := w
		if h.Contains = v.RequiredText("contains"); v.HasField("rows") {
			h.Rows = v.Int("rows", 1, 1, 2000)
		}
		if s := v.Object("service"); s != nil {
			h.Service = spread(s)
		}
		e.Works = append(e.Works, h)
	}
	e.Works = append(e.Works, w)
	e.Classes = append(e.Classes, a)
	if a.GatewayClass == "" {
		*lanes = append(*lanes, s)
	} else if !slices.ContainsFunc(*lanes, func(o installation.Class) bool { return o.Name == a.GatewayClass }) {
		l.Reject("as", "the name of a lane before it")
	}
}

func spread(v *configfile.Object) fake.ServiceTime {
	s := fake.ServiceTime{Kind: v.OneOf("kind", "constant", "constant", "exponential", "lognormal", "pareto"),
		Mean: v.Duration("mean", 0), CV: v.Number("cv", 1, 0, 100), Tail: v.Number("tail", 2, 1.01, 100)}
	if s.Mean > time.Hour {
		v.Reject("mean", "a time up to 1h")
	}
	return s
}

// decodeShape reads one shape of arrivals with its parts.
func (e *Experiment) decodeShape(o *configfile.Object, folder string) arrival.Shape {
	s := arrival.Shape{Kind: arrival.Kind(o.OneOf("kind", "poisson", "poisson", "steady", "bursts", "on-off", "ramp", "step",
		"diurnal", "flash", "replay", "sum", "scale", "thin", "sequence")),
		Rate: o.Number("rate", 0, 0, 1e7), Peak: o.Number("peak", 0, 0, 1e7), Swing: o.Fraction("swing", 0),
		Factor: o.Number("factor", 1, 0, 1e4), Levels: o.Numbers("levels", 0, 1e7), Tail: o.Number("tail", 1.5, 1.01, 100),
		On: o.Duration("on", 0), Off: o.Duration("off", 0), Dwell: o.Duration("dwell", 0), Over: o.Duration("over", 0),
		Period: o.Duration("period", 0), Peaks: o.Duration("peaks", 0), From: o.Duration("from", 0),
		Half: o.Duration("half", 0), For: o.Duration("for", 0)}
	for _, p := range o.Objects("parts") {
		s.Parts = append(s.Parts, e.decodeShape(p, folder))
	}
	if s.Kind == arrival.Replay {
		path := o.RequiredText("trace")
		if !filepath.IsAbs(path) {
			path = filepath.Join(folder, path)
		}
		t, err := trace.ReadFile(path, false)
		if err != nil {
			o.Reject("trace", fmt.Sprintf("a trace that can be read (%v)", err))
			return s
		}
		for _, r := range t.Records {
			s.Times = append(s.Times, r.Offset)
			lane := e.laneIndex(r.Class)
			if lane < 0 {
				o.Reject("trace", fmt.Sprintf("tasks of lanes that the experiment names; the trace has lane %q", r.Class))
				return s
			}
			s.Marks = append(s.Marks, arrival.Mark{Class: lane, Group: r.Group})
		}
		if speed := o.Number("speed", 1, 1e-3, 1e3); speed != 1 {
			for i := range s.Times {
				s.Times[i] = time.Duration(float64(s.Times[i]) / speed)
			}
		}
	}
	return s
}

func manners(c *configfile.Object) client.Behavior {
	return client.Behavior{Connections: c.Int("connections", 0, 0, 1<<20), PooledShare: c.Fraction("reused", 1), HeldOpenShare: c.Fraction("kept", 0),
		IdleTimeout: c.Duration("idle", 4*time.Second), MaxAttempts: c.Int("tries", 1, 1, 60), Backoff: c.Duration("back_off", 100*time.Millisecond),
		MaxBackoff: c.Duration("most_back_off", 2*time.Second), Jitter: c.Fraction("jitter", 0.5), HonorRetryAfter: c.Fraction("honour", 1),
		RetryRatio: c.Number("budget", 0.2, 0, 10), RetryBurst: c.Int("budget_free", 10, 0, 1<<20),
		RetryWindow: c.Duration("budget_window", 10*time.Second),
		SlowShare:   c.Fraction("slow", 0), LeavingShare: c.Fraction("leave", 0), SilentShare: c.Fraction("mute", 0)}
}

func decodeSite(s *configfile.Object, lanes []installation.Class, works []fake.Work, seed int64) *installation.Plan {
	p := &installation.Plan{Gateways: s.Int("gateways", 1, 1, 64), Engines: s.Int("engines", 4, 1, 1000), Zones: s.Texts("zones"),
		Cores: s.Number("cores", 8, 1, 1024), Classes: lanes, MemoryMB: int(s.Size("memory", 192<<20) >> 20),
		Sockets: s.Int("sockets", 1024, 64, 1<<20), ConnectWithin: s.Duration("connect_within", 250*time.Millisecond),
		Idle: s.Duration("idle", 30*time.Second), Seed: seed, Program: s.Text("program", ""), ExtraArguments: s.Texts("arguments"),
		Behavior: fake.EngineBehavior{Threads: s.Int("threads", 32, 1, 1<<16), MaxHeld: s.Int("most", 0, 0, 1<<20), Works: works,
			ColdSpeed: s.Fraction("cold", 0), WarmUp: s.Duration("warm", 0), NoteInterval: s.Duration("notes", 0)}}
	if p.Behavior.Cores = p.Cores; len(p.Zones) == 0 {
		p.Zones = []string{"norte", "sur"}
	}
	return p
}

func (e *Experiment) bounds(b *configfile.Object) {
	e.Bounds = Bounds{GeneratorDelay: usualOwn, Offered: usualOffered, Truth: usualTruth, TruthLeast: time.Millisecond}
	if b == nil {
		return
	}
	v := &e.Bounds
	v.GeneratorDelay = b.Duration("own", v.GeneratorDelay)
	v.QueueDelay = b.Duration("queued", 0)
	v.Offered = b.Fraction("offered", v.Offered)
	v.CheckTruth = b.Bool("check_truth", false)
	v.Truth = b.Fraction("truth", v.Truth)
	v.TruthLeast = b.Duration("truth_least", v.TruthLeast)
	v.ClosedUsers = b.Int("closed_users", 0, 0, 1<<20)
	for _, word := range b.Texts("allow") {
		found := false
		for o := range client.Outcome(client.OutcomeCount) {
			if o.String() == word {
				v.Allow, found = append(v.Allow, o), true
			}
		}
		if !found {
			b.Reject("allow", "names of outcomes, as in \"given up\"")
		}
	}
	for _, g := range b.Objects("goals") {
		goal := Goal{Class: g.RequiredText("lane"), Quantile: g.Fraction("quantile", 0), Within: g.Duration("within", 0),
			Share: g.Fraction("delivered", 0)}
		if e.laneIndex(goal.Class) < 0 {
			g.Reject("lane", "the name of a lane")
		}
		v.Goals = append(v.Goals, goal)
	}
}

func (e *Experiment) laneIndex(name string) int {
	for i, l := range e.Classes {
		if l.Name == name {
			return i
		}
	}
	return -1
}
