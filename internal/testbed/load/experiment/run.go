package experiment

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"magpiebank/internal/testbed/fake"
	"magpiebank/internal/testbed/installation"
	"magpiebank/internal/testbed/load/driver"
	"magpiebank/internal/testbed/load/stats"
)

// headStart and workersStart are the times that loops and workers have to be ready before the first arrival.
const (
	headStart    = 200 * time.Millisecond
	workersStart = time.Second
	// progressInterval is the time between reports of the progress.
	progressInterval = 500 * time.Millisecond
)

// Sender sends a load in place of this process: workers do.
type Sender func(ctx context.Context, load driver.Load, start time.Time, onProgress func(Progress)) (metrics *stats.Metrics, notSent, unknown int64, err error)

// Progress is how far a run is.
type Progress struct {
	At                      time.Duration
	Offered, Finished, Open int64
}

// environment is what an experiment sends its load to, and the log of the fakes in it.
type environment struct {
	targets  []string
	site     *installation.Installation // nil: none
	frontend *fake.Frontend             // nil: none
	log      *fake.ExecutionLog         // nil: none
}

// startEnvironment starts the gateways and fakes that the experiment names; the caller stops them.
func (e *Experiment) startEnvironment(folder string) (*environment, error) {
	started := &environment{targets: e.Targets}
	var err error
	switch {
	case e.Installation != nil:
		started.site, err = installation.Start(*e.Installation, folder)
		if err != nil {
			return nil, err
		}
		started.targets, started.log = started.site.Targets(), started.site.Log
	case e.FakeFrontend:
		if e.Bounds.CheckTruth {
			started.log = fake.NewExecutionLog()
		}
		started.frontend, err = fake.StartFrontend("127.0.0.1:0", e.Works, started.log)
		if err != nil {
			return nil, err
		}
		started.targets = []string{started.frontend.Address}
	}
	return started, nil
}

func (v *environment) stop() {
	if v.site != nil {
		v.site.Stop()
	}
	if v.frontend != nil {
		v.frontend.Close()
	}
}

// recordUsage adds what gateways and engines tell of a run to its result.
func (v *environment) recordUsage(result *Result) {
	if v.site == nil {
		return
	}
	for _, gateway := range v.site.Gateways {
		result.Gateways = append(result.Gateways, GatewayMetrics{gateway.Name, gateway.PeakMemoryKB()})
	}
	for _, engine := range v.site.Engines {
		result.Swapped += engine.SwappedQueries()
	}
}

// Run runs an experiment until it is over or ctx is done. The gateways' files go to a folder; onProgress, where it is
// given, is called some times a second.
func (e *Experiment) Run(ctx context.Context, folder string, send Sender, onProgress func(Progress)) (*Result, error) {
	if send == nil {
		send = sendFromThisProcess
	}
	result := &Result{Name: e.Name, Seed: e.Seed, Length: e.Length}
	err := os.MkdirAll(folder, 0o755)
	if err != nil {
		return nil, err
	}
	running, err := e.startEnvironment(folder)
	if err != nil {
		return nil, err
	}
	defer running.stop()
	err = result.countSchedule(e)
	if err != nil {
		return nil, err
	}
	load := driver.Load{Targets: running.targets, Shape: &e.Shape, Classes: e.Classes, Behavior: e.Behavior, Seed: e.Seed,
		Length: e.Length, Loops: e.Loops, CheckRows: e.Installation != nil || e.FakeFrontend}
	before := currentUsage()
	result.Began = time.Now().Add(headStart)
	if e.Workers > 0 {
		result.Began = result.Began.Add(workersStart)
	}
	stop := make(chan struct{})
	var script sync.WaitGroup
	script.Go(func() { e.runScript(result, running, stop) })
	result.Metrics, result.NotSent, result.Unknown, err = send(ctx, load, result.Began, onProgress)
	result.Took = time.Since(result.Began)
	close(stop)
	script.Wait()
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	result.Process = currentUsage().since(before)
	running.recordUsage(result)
	result.judge(e, running.log)
	return result, nil
}

// Finish judges a run that another process had begun: its metrics come from serve.
func (e *Experiment) Finish(began time.Time, serve func() (*stats.Metrics, int64, int64, error)) (*Result, error) {
	result := &Result{Name: e.Name, Seed: e.Seed, Length: e.Length, Began: began}
	err := result.countSchedule(e)
	if err != nil {
		return nil, err
	}
	before := currentUsage()
	result.Metrics, result.NotSent, result.Unknown, err = serve()
	if err != nil {
		return nil, err
	}
	result.Took, result.Process = time.Since(began), currentUsage().since(before)
	result.judge(e, nil)
	return result, nil
}

// sendFromThisProcess is the Sender where no workers are asked for.
func sendFromThisProcess(ctx context.Context, load driver.Load, start time.Time, onProgress func(Progress)) (*stats.Metrics, int64, int64, error) {
	started, err := driver.Start(load, start)
	if err != nil {
		return nil, 0, 0, err
	}
	defer context.AfterFunc(ctx, started.Stop)()
	done := make(chan struct{})
	var watcher sync.WaitGroup
	if onProgress != nil {
		watcher.Go(func() { reportProgress(started, start, onProgress, done) })
	}
	metrics := started.Wait()
	close(done)
	watcher.Wait()
	return metrics, 0, 0, nil
}

func reportProgress(running *driver.Driver, start time.Time, onProgress func(Progress), done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(progressInterval):
			onProgress(Progress{time.Since(start), running.Offered.Load(), running.Finished.Load(), running.OpenSessions.Load()})
		}
	}
}

// DefaultFolder is where a run's files go when no other place is named.
func DefaultFolder(name string) string {
	return filepath.Join(os.TempDir(), fmt.Sprintf("magpiebank-testbed-%s-%d", name, os.Getpid()))
}
