package experiment

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"magpiebank/internal/testbed/fake"
	"magpiebank/internal/testbed/installation"
	"magpiebank/internal/testbed/load/arrival"
	"magpiebank/internal/testbed/load/driver"
	"magpiebank/internal/testbed/load/stats"
)

// ScriptEvent is a step of the script as it was done.
type ScriptEvent struct {
	At   time.Duration `json:"at_ns"`
	What string        `json:"what"`
}

// Result is what came of a run.
type Result struct {
	Name      string              `json:"name"`
	Seed      int64               `json:"seed"`
	Began     time.Time           `json:"began"`
	Length    time.Duration       `json:"length_ns"`
	Took      time.Duration       `json:"took_ns"`
	Scheduled int64               `json:"scheduled"`
	NotSent   int64               `json:"not_offered"` // counted as such when a worker was lost
	Unknown   int64               `json:"unknown"`     // of a lost worker: whether they were sent can't be told
	Figures   *stats.Metrics      `json:"figures"`
	Script    []ScriptEvent       `json:"script"`
	Verdicts  []Verdict           `json:"verdicts"`
	Truth     []Comparison        `json:"truth,omitempty"`
	Gateways  []GatewayMetrics    `json:"gateways,omitempty"`
	Swapped   int                 `json:"swapped,omitempty"` // requests that began while their engine was short of memory
	Process   Process             `json:"process"`
	bySecond  []int64             // the schedule's
	truths    map[int][]truthTask // by class
}

// GatewayMetrics are of one gateway's process.
type GatewayMetrics struct {
	Name   string `json:"name"`
	PeakKB int64  `json:"peak_kb"`
}

// Process is what the generator itself used.
type Process struct {
	CPU        time.Duration `json:"cpu_ns"`
	PeakKB     int64         `json:"peak_kb"`
	Mallocs    uint64        `json:"allocations"`
	AllocBytes uint64        `json:"allocated_bytes"`
}

// Verdict is whether a run kept one bound.
type Verdict struct {
	Name string `json:"name"`
	Good bool   `json:"good"`
	Text string `json:"text"`
}

// Good tells whether all bounds were kept.
func (r *Result) Good() bool {
	for _, v := range r.Verdicts {
		if !v.Good {
			return false
		}
	}
	return true
}

func (r *Result) judge(name string, good bool, format string, args ...any) {
	r.Verdicts = append(r.Verdicts, Verdict{name, good, fmt.Sprintf(format, args...)})
}

// Sender sends a load in place of this process: workers do.
type Sender func(ctx context.Context, l driver.Load, start time.Time, say func(Progress)) (f *stats.Metrics, notSent, unknown int64, err error)

// Progress is how far a run is.
type Progress struct {
	At                      time.Duration
	Offered, Finished, Open int64
}

// Run plays an experiment until it is over or called off. Files of gateways go to a folder; say is told the progress some
// times a second.
func (e *Experiment) Run(ctx context.Context, folder string, send Sender, say func(Progress)) (*Result, error) {
	if send == nil {
		send = alone
	}
	r := &Result{Name: e.Name, Seed: e.Seed, Length: e.Length}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, err
	}
	l := driver.Load{Targets: e.Targets, Shape: &e.Shape, Classes: e.Classes, Behavior: e.Behavior, Seed: e.Seed, Length: e.Length,
		Loops: e.Loops, CheckRows: e.Installation != nil || e.FakeFrontend}
	var s *installation.Installation
	var front *fake.Frontend
	var log *fake.ExecutionLog
	var err error
	switch {
	case e.Installation != nil:
		if s, err = installation.Start(*e.Installation, folder); err != nil {
			return nil, err
		}
		defer s.Stop()
		l.Targets, log = s.Targets(), s.Log
	case e.FakeFrontend:
		if e.Bounds.CheckTruth {
			log = fake.NewExecutionLog()
		}
		if front, err = fake.StartFrontend("127.0.0.1:0", e.Works, log); err != nil {
			return nil, err
		}
		defer front.Close()
		l.Targets = []string{front.Address}
	}
	if err := r.schedule(e); err != nil {
		return nil, err
	}
	before := usage()
	r.Began = time.Now().Add(headStart)
	if e.Workers > 0 {
		r.Began = r.Began.Add(workersStart)
	}
	stop := make(chan struct{})
	var script sync.WaitGroup
	script.Add(1)
	go func() {
		defer script.Done()
		e.play(r, s, front, stop)
	}()
	r.Figures, r.NotSent, r.Unknown, err = send(ctx, l, r.Began, say)
	r.Took = time.Since(r.Began)
	close(stop)
	script.Wait()
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	r.Process = usage().since(before)
	if s != nil {
		for _, g := range s.Gateways {
			r.Gateways = append(r.Gateways, GatewayMetrics{g.Name, g.PeakMemoryKB()})
		}
		for _, en := range s.Engines {
			r.Swapped += en.SwappedQueries()
		}
	}
	r.verdicts(e, log)
	return r, nil
}

// Finish judges a run that another process had begun: its figures come from serve.
func (e *Experiment) Finish(began time.Time, serve func() (*stats.Metrics, int64, int64, error)) (*Result, error) {
	r := &Result{Name: e.Name, Seed: e.Seed, Length: e.Length, Began: began}
	err := r.schedule(e)
	if err != nil {
		return nil, err
	}
	before := usage()
	if r.Figures, r.NotSent, r.Unknown, err = serve(); err != nil {
		return nil, err
	}
	r.Took, r.Process = time.Since(began), usage().since(before)
	r.verdicts(e, nil)
	return r, nil
}

// headStart is what loops and workers have to be ready before the first arrival.
const (
	headStart    = 200 * time.Millisecond
	workersStart = time.Second
)

// alone sends a load from this process.
func alone(ctx context.Context, l driver.Load, start time.Time, say func(Progress)) (*stats.Metrics, int64, int64, error) {
	d, err := driver.Start(l, start)
	if err != nil {
		return nil, 0, 0, err
	}
	defer context.AfterFunc(ctx, d.Stop)()
	done := make(chan struct{})
	var watch sync.WaitGroup
	if say != nil {
		watch.Add(1)
		go func() {
			defer watch.Done()
			for {
				select {
				case <-done:
					return
				case <-time.After(500 * time.Millisecond):
					say(Progress{time.Since(start), d.Offered.Load(), d.Ended.Load(), d.Open.Load()})
				}
			}
		}()
	}
	f := d.Wait()
	close(done)
	watch.Wait()
	return f, 0, 0, nil
}

// schedule counts what the schedule holds, second by second.
func (r *Result) schedule(e *Experiment) error {
	s, err := arrival.NewSchedule(&e.Shape, e.Classes, e.Seed, e.Length)
	if err != nil {
		return err
	}
	for t, ok := s.Next(); ok; t, ok = s.Next() {
		r.Scheduled++
		for len(r.bySecond) <= int(t.At/time.Second) {
			r.bySecond = append(r.bySecond, 0)
		}
		r.bySecond[t.At/time.Second]++
	}
	return nil
}

// play does the script's steps at their times.
func (e *Experiment) play(r *Result, s *installation.Installation, front *fake.Frontend, stop <-chan struct{}) {
	for _, step := range e.Script {
		select {
		case <-stop:
			return
		case <-time.After(time.Until(r.Began.Add(step.At))):
		}
		at := time.Since(r.Began)
		what := step.Do + " " + step.Which
		if err := step.do(s, front); err != nil {
			what += ": " + err.Error()
		}
		r.Script = append(r.Script, ScriptEvent{at, what})
	}
}

func (s *Step) do(site *installation.Installation, front *fake.Frontend) error {
	switch s.verbFor {
	case ofFront:
		if s.Do == "pause" {
			front.Pause()
		} else {
			front.Resume()
		}
		return nil
	case ofList:
		if site == nil {
			return errNoSite
		}
		switch s.Do {
		case "break-list":
			site.Discovery.TruncateAnswers()
		case "hold-list":
			site.Discovery.HoldPolls()
		default:
			site.Discovery.Recover()
		}
		return nil
	}
	if site == nil {
		return errNoSite
	}
	if s.verbFor == ofGateways {
		for i, g := range site.Gateways {
			if s.Which != "all" && s.Which != strconv.Itoa(i) {
				continue
			}
			switch s.Do {
			case "kill":
				g.Kill()
			case "start":
				if err := g.Start(); err != nil {
					return err
				}
			case "stop":
				g.Signal(syscall.SIGTERM)
			case "reload":
				g.Signal(syscall.SIGHUP)
			}
		}
		return nil
	}
	for i, en := range site.Engines {
		if s.Which != "all" && s.Which != strconv.Itoa(i) && s.Which != site.Zone(i) {
			continue
		}
		if err := s.engine(site, i, en); err != nil {
			return err
		}
	}
	return nil
}

var errNoSite = fmt.Errorf("there is no site")

func (s *Step) engine(site *installation.Installation, i int, e *fake.Engine) error {
	switch s.Do {
	case "pause":
		e.Pause()
	case "resume":
		e.Resume()
	case "refuse":
		e.RefuseConnections()
	case "accept":
		return e.AcceptConnections()
	case "reset":
		e.ResetConnections()
	case "silent":
		e.StopAnswering()
	case "speak":
		e.ResumeAnswering()
	case "slow":
		e.SetSpeed(s.Share)
	case "fail":
		e.FailQueries(s.Share)
	case "drain":
		site.PublishState(i, "Terminating")
	case "gone":
		site.PublishState(i, "Gone")
	case "ready":
		site.PublishState(i, "Ready")
	}
	return nil
}

// Folder is where a run's files go when no other place is named.
func Folder(name string) string {
	return filepath.Join(os.TempDir(), fmt.Sprintf("magpiebank-testbed-%s-%d", name, os.Getpid()))
}
