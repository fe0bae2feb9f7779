// Package driver sends a schedule over sockets at its intended times. It carries out what the clients of a load decide;
// each loop is one goroutine that owns its clients, its timers and its share of the schedule.
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

// Load is what one process sends.
type Load struct {
	Targets    []string // gateways; sessions go to them in turn
	Shape      *arrival.Shape
	Classes    []arrival.Class `json:"Lanes"`
	Behavior   client.Behavior `json:"Manners"`
	Seed       int64
	Length     time.Duration // 0: until the shape ends
	Shard      int           // this process sends the arrivals whose number modulo ShardCount is Shard
	ShardCount int           `json:"Of"`
	Loops      int           // 0: as many as half the cores
	CheckRows  bool          // rows must be those of our own fakes: the request's id, then k/n
	// Owns tells, where it is given, whether this process sends an arrival, in place of Shard and ShardCount; the
	// answer may change until the arrival's time has come.
	Owns func(t *arrival.Request) bool `json:"-"`
	// OnFinished, where it is given, is called with each report by the loops' goroutines.
	OnFinished func(r *client.Report) `json:"-"`
}

// Driver is a run under way.
type Driver struct {
	load     Load
	start    time.Time
	loops    []*loop
	running  sync.WaitGroup
	stop     chan struct{}
	stopOnce sync.Once

	Offered, Finished, OpenSessions atomic.Int64 // for progress
	OfferedUntil                    atomic.Int64 // ns from the start up to which all arrivals have been handed out
}

// Start begins to send at a time, which may lie a little ahead. The caller ends the loops' goroutines by Stop, or lets
// the schedule end, and waits for them by Wait.
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

// Wait returns the metrics when all requests have their outcomes.
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
			panic(err) // they were made from the same classes
		}
	}
	return all
}
