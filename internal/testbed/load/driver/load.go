// Package driver sends the requests of a schedule over TCP connections at their intended times, and carries out the
// decisions of package client. Each loop is one goroutine that owns its clients, its timers and its part of the
// schedule.
package driver

import (
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"magpiebank/internal/testbed/load/arrival"
	"magpiebank/internal/testbed/load/client"
	"magpiebank/internal/testbed/load/stats"
)

// Load describes what one process sends.
type Load struct {
	Targets    []string // addresses of gateways; new sessions use them in turn
	Shape      *arrival.Shape
	Classes    []arrival.Class `json:"Lanes"`
	Behavior   client.Behavior `json:"Manners"`
	Seed       int64
	Length     time.Duration // 0: until the shape ends
	Shard      int           // this process sends the arrivals whose number modulo ShardCount is Shard
	ShardCount int           `json:"Of"`
	Loops      int           // 0: half the number of cores
	CheckRows  bool          // expect the rows of the testbed's own fakes: the id of the request, then k/n
	// Owns, if it is set, replaces Shard: it reports whether this process sends an arrival. ShardCount still determines
	// which loop sends it. The result for an arrival may change until the time of the arrival.
	Owns func(request *arrival.Request) bool `json:"-"`
	// OnFinished, if it is set, is called with each report, in the goroutines of the loops.
	OnFinished func(report *client.Report) `json:"-"`
}

// Driver is a running load.
type Driver struct {
	load     Load
	start    time.Time
	loops    []*loop
	running  sync.WaitGroup
	stop     chan struct{}
	stopOnce sync.Once

	// Offered and Finished count requests; OpenSessions is the number of open sessions. They are for progress reports.
	Offered, Finished, OpenSessions atomic.Int64
	OfferedUntil                    atomic.Int64 // ns from the start of the run up to which loop 0 has handed out all its arrivals
}

// Start begins to send at a time, which may be slightly in the future. The goroutines of the loops end after Stop, or
// when the schedule has ended and all requests have outcomes. The caller waits for them with Wait.
func Start(load Load, at time.Time) (*Driver, error) {
	if load.Loops <= 0 {
		load.Loops = max(1, runtime.GOMAXPROCS(0)/2)
	}
	if load.ShardCount <= 0 {
		load.ShardCount = 1
	}
	driver := &Driver{load: load, start: at, stop: make(chan struct{})}
	names, objectives := make([]string, len(load.Classes)), make([]time.Duration, len(load.Classes))
	for i, class := range load.Classes {
		names[i], objectives[i] = class.Name, class.LatencyObjective
	}
	for index := range load.Loops {
		schedule, err := arrival.NewSchedule(load.Shape, load.Classes, load.Seed, load.Length)
		if err != nil {
			return nil, err
		}
		driver.loops = append(driver.loops, newLoop(driver, index, schedule, stats.New(names, objectives)))
	}
	for _, started := range driver.loops {
		driver.running.Go(started.run)
	}
	return driver, nil
}

// Stop ends the run: nothing more is sent, and requests in flight are abandoned.
func (d *Driver) Stop() { d.stopOnce.Do(func() { close(d.stop) }) }

// Wait waits until all requests have outcomes and returns the metrics.
func (d *Driver) Wait() *stats.Metrics {
	d.running.Wait()
	return d.mergeMetrics()
}

func (d *Driver) mergeMetrics() *stats.Metrics {
	all := stats.New(nil, nil)
	for i, ended := range d.loops {
		if i == 0 {
			all = ended.metrics
		} else if err := all.Merge(ended.metrics); err != nil {
			panic(err) // can't happen: all loops have the same classes
		}
	}
	return all
}
