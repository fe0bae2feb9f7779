package experiment

import (
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"magpiebank/internal/configfile"
	"magpiebank/internal/testbed/fake"
	"magpiebank/internal/testbed/installation"
	"magpiebank/internal/testbed/load/arrival"
	"magpiebank/internal/traffic/trace"
)

// defaultStatement is the statement of classes for which the file names no statements.
const defaultStatement = "SELECT dia, count(*), max(nota) FROM actas_{group}.mesas WHERE clave = '{literal}' GROUP BY dia"

// decodeClass reads one class of the load, the class of the same name in the gateways' configuration, and how the fakes run
// the class's requests. A class with the field "as" uses the gateways' class of an earlier one.
func (d *decoder) decodeClass(o *configfile.Object) {
	e := d.experiment
	class := arrival.Class{Name: o.RequiredText("name"), GatewayClass: o.Text("as", ""), Share: o.Number("share", 1, 0, 1e6), Statements: o.Texts("statements"),
		Groups: o.Int("groups", 1, 1, 1<<20), Zipf: o.Number("zipf", 0, 0, 10), Literals: o.Int("literals", 0, 0, 1<<30),
		LatencyObjective: o.Duration("quoted", time.Second), MaxWait: o.Duration("patience", 5*time.Second),
		MarkRetry: o.Bool("mark_retry", true)}
	gatewayClass := installation.Class{Name: class.Name, LatencyObjective: class.LatencyObjective, MaxWait: class.MaxWait, Weight: o.Number("earnings", 1, 0, 1e6),
		LateShare: o.Fraction("late", 0), Effect: o.OneOf("effect", "idempotent", "idempotent", "deduplicated", "unrepeatable"),
		Threads: o.Int("threads", 1, 1, 64), Load: o.Bool("loads", false), BlockedByLoads: o.Bool("held_by_loads", false)}
	class.Idempotent = o.Bool("repeat", gatewayClass.Effect == "idempotent")
	if len(class.Statements) == 0 {
		class.Statements = []string{defaultStatement}
	}
	d.decodeWorks(o, class.WireName())
	e.Classes = append(e.Classes, class)
	if class.GatewayClass == "" {
		d.gatewayClasses = append(d.gatewayClasses, gatewayClass)
		return
	}
	isGatewayClass := func(earlier installation.Class) bool { return earlier.Name == class.GatewayClass }
	if !slices.ContainsFunc(d.gatewayClasses, isGatewayClass) {
		o.Reject("as", "the name of a lane before it")
	}
}

// decodeWorks reads how the fakes run a class's requests.
func (d *decoder) decodeWorks(o *configfile.Object, wireName string) {
	work := fake.Work{Class: wireName, Rows: o.Int("rows", 3, 1, 2000), MemoryMB: float64(o.Size("memory", 64<<20)) / (1 << 20),
		FailureShare: o.Fraction("fails", 0)}
	if service := o.Object("service"); service != nil {
		work.Service = decodeServiceTime(service)
	}
	for _, heavy := range o.Objects("heavy") { // statements whose cost differs from the rest of their class
		heavyWork := work
		heavyWork.Contains = heavy.RequiredText("contains")
		if heavy.HasField("rows") {
			heavyWork.Rows = heavy.Int("rows", 1, 1, 2000)
		}
		if service := heavy.Object("service"); service != nil {
			heavyWork.Service = decodeServiceTime(service)
		}
		d.experiment.Works = append(d.experiment.Works, heavyWork)
	}
	d.experiment.Works = append(d.experiment.Works, work)
}

func decodeServiceTime(o *configfile.Object) fake.ServiceTime {
	service := fake.ServiceTime{Kind: o.OneOf("kind", "constant", "constant", "exponential", "lognormal", "pareto"),
		Mean: o.Duration("mean", 0), CV: o.Number("cv", 1, 0, 100), Tail: o.Number("tail", 2, 1.01, 100)}
	if service.Mean > time.Hour {
		o.Reject("mean", "a time up to 1h")
	}
	return service
}

// decodeShape reads a shape of arrivals and the shapes that it consists of.
func (d *decoder) decodeShape(o *configfile.Object) arrival.Shape {
	shape := arrival.Shape{Kind: arrival.Kind(o.OneOf("kind", "poisson", "poisson", "steady", "bursts", "on-off", "ramp", "step",
		"diurnal", "flash", "replay", "sum", "scale", "thin", "sequence")),
		Rate: o.Number("rate", 0, 0, 1e7), Peak: o.Number("peak", 0, 0, 1e7), Swing: o.Fraction("swing", 0),
		Factor: o.Number("factor", 1, 0, 1e4), Levels: o.Numbers("levels", 0, 1e7), Tail: o.Number("tail", 1.5, 1.01, 100),
		On: o.Duration("on", 0), Off: o.Duration("off", 0), Dwell: o.Duration("dwell", 0), Over: o.Duration("over", 0),
		Period: o.Duration("period", 0), Peaks: o.Duration("peaks", 0), From: o.Duration("from", 0),
		Half: o.Duration("half", 0), For: o.Duration("for", 0)}
	for _, part := range o.Objects("parts") {
		shape.Parts = append(shape.Parts, d.decodeShape(part))
	}
	if shape.Kind == arrival.Replay {
		d.decodeReplay(o, &shape)
	}
	return shape
}

// decodeReplay reads the trace that a shape replays, and divides the times in it by the speed.
func (d *decoder) decodeReplay(o *configfile.Object, shape *arrival.Shape) {
	path := o.RequiredText("trace")
	if !filepath.IsAbs(path) {
		path = filepath.Join(d.folder, path)
	}
	recorded, err := trace.ReadFile(path, false)
	if err != nil {
		o.Reject("trace", fmt.Sprintf("a trace that can be read (%v)", err))
		return
	}
	for _, record := range recorded.Records {
		shape.Times = append(shape.Times, record.Offset)
		class := d.experiment.classIndex(record.Class)
		if class < 0 {
			o.Reject("trace", fmt.Sprintf("tasks of lanes that the experiment names; the trace has lane %q", record.Class))
			return
		}
		shape.Marks = append(shape.Marks, arrival.Mark{Class: class, Group: record.Group})
	}
	speed := o.Number("speed", 1, 1e-3, 1e3)
	if speed == 1 {
		return
	}
	for i := range shape.Times {
		shape.Times[i] = time.Duration(float64(shape.Times[i]) / speed)
	}
}
