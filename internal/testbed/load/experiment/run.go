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

const (
	// loopStartup is the time that the loops have to start before the load begins.
	loopStartup = 200 * time.Millisecond
	// workerStartup is the further time that worker processes have to start.
	workerStartup = time.Second
	// progressInterval is the time between calls of onProgress if this process sends the load.
	progressInterval = 500 * time.Millisecond
)

// Sender sends a load in place of this process, for example from worker processes. It returns the metrics, the number of
// requests that were not sent, and the number of unknown requests, which a lost worker may have sent.
type Sender func(ctx context.Context, load driver.Load, start time.Time, onProgress func(Progress)) (metrics *stats.Metrics, notSent, unknown int64, err error)

// Progress is the state of a run: the time since its start, and the numbers of requests and of open sessions.
type Progress struct {
	At                      time.Duration
	Offered, Finished, Open int64
}

// environment holds the targets of an experiment's load, and the log of the fakes among them.
type environment struct {
	targets  []string
	site     *installation.Installation // nil: no installation was started
	frontend *fake.Frontend             // nil: no fake frontend was started
	log      *fake.ExecutionLog         // nil: there are no fakes, or the fake frontend's latencies are not checked
}

// startEnvironment starts the gateways and fakes of the experiment. The caller stops them.
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

func (env *environment) stop() {
	if env.site != nil {
		env.site.Stop()
	}
	if env.frontend != nil {
		env.frontend.Close()
	}
}

// recordUsage adds to a run's result the peak memory of the gateways and the number of queries that started while their engine
// was short of memory.
func (env *environment) recordUsage(result *Result) {
	if env.site == nil {
		return
	}
	for _, gateway := range env.site.Gateways {
		result.Gateways = append(result.Gateways, GatewayMetrics{gateway.Name, gateway.PeakMemoryKB()})
	}
	for _, engine := range env.site.Engines {
		result.Swapped += engine.SwappedQueries()
	}
}

// Run runs an experiment until it is over or ctx is done, and checks the result. The gateways' files go to folder. If send is
// nil, this process sends the load. onProgress, if not nil, is called by the sender a few times a second.
func (e *Experiment) Run(ctx context.Context, folder string, send Sender, onProgress func(Progress)) (*Result, error) {
	if send == nil {
		send = sendFromThisProcess
	}
	result := &Result{Name: e.Name, Seed: e.Seed, Length: e.Length}
	err := os.MkdirAll(folder, 0o755)
	if err != nil {
		return nil, err
	}
	env, err := e.startEnvironment(folder)
	if err != nil {
		return nil, err
	}
	defer env.stop()
	err = result.countSchedule(e)
	if err != nil {
		return nil, err
	}
	load := driver.Load{Targets: env.targets, Shape: &e.Shape, Classes: e.Classes, Behavior: e.Behavior, Seed: e.Seed,
		Length: e.Length, Loops: e.Loops, CheckRows: e.Installation != nil || e.FakeFrontend}
	before := currentUsage()
	result.Began = time.Now().Add(loopStartup)
	if e.Workers > 0 {
		result.Began = result.Began.Add(workerStartup)
	}
	stop := make(chan struct{})
	var script sync.WaitGroup
	script.Go(func() { e.runScript(result, env, stop) })
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
	env.recordUsage(result)
	result.checkBounds(e, env.log)
	return result, nil
}

// Finish completes a run that another process started: it gets the metrics from serve and checks the result.
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
	result.checkBounds(e, nil)
	return result, nil
}

// sendFromThisProcess is the Sender for experiments without workers.
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

func reportProgress(started *driver.Driver, start time.Time, onProgress func(Progress), done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(progressInterval):
			onProgress(Progress{time.Since(start), started.Offered.Load(), started.Finished.Load(), started.OpenSessions.Load()})
		}
	}
}

// DefaultFolder returns the default folder for a run's files.
func DefaultFolder(name string) string {
	return filepath.Join(os.TempDir(), fmt.Sprintf("magpiebank-testbed-%s-%d", name, os.Getpid()))
}
