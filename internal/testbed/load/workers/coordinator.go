package workers

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"magpiebank/internal/testbed/load/arrival"
	"magpiebank/internal/testbed/load/driver"
	"magpiebank/internal/testbed/load/stats"
)

// Run describes a run. The coordinator writes it to a file at its start, so that another coordinator can resume the run.
type Run struct {
	ID      string      `json:"id"`
	Address string      `json:"address"` // on which the coordinator listens
	Start   time.Time   `json:"start"`
	Workers int         `json:"workers"`
	Drop    bool        `json:"drop"` // a lost worker's requests are not sent, instead of going to other workers
	Load    driver.Load `json:"load"`
}

const runFile = "run.json"

// Coordinator runs a load with worker processes, and collects their reports.
type Coordinator struct {
	run      Run
	listener net.Listener
	resumed  bool                                   // another coordinator started the run
	Spawn    func(worker int, address string) error // starts a worker's process; nil: the workers are started by others
	Log      func(string)
	Progress func(at time.Duration, offered, ended, open int64)

	mu           sync.Mutex // guards the fields below, which the connections' goroutines use
	registry     *Registry
	connections  []*connection // by worker; nil: the worker is not connected
	metrics      *stats.Metrics
	received     []int64         // number of reports, by worker
	openSessions []int64         // by worker, as last reported
	skipped      map[uint64]bool // numbers of the requests that workers reported as skipped
	killed       bool            // Kill was called or Serve has ended: received frames are ignored
}

// progressInterval is the number of the registry's ticks between calls of Progress.
const progressInterval = 10

var errKilled = errors.New("the coordinator was killed")

// NewCoordinator creates a run and the listener for its workers, and writes the run to a file in a folder.
func NewCoordinator(folder string, workers int, drop bool, load driver.Load, start time.Time) (*Coordinator, error) {
	listener, err := listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	var id [8]byte
	rand.Read(id[:])
	coordinator := &Coordinator{listener: listener, run: Run{ID: hex.EncodeToString(id[:]), Address: listener.Addr().String(),
		Start: start, Workers: workers, Drop: drop, Load: load}}
	encoded, err := json.Marshal(coordinator.run)
	if err != nil {
		return nil, err
	}
	return coordinator, os.WriteFile(filepath.Join(folder, runFile), encoded, 0o600)
}

// ResumeCoordinator returns a coordinator that resumes the run in a folder after the run's coordinator has crashed. It fails
// if it can't listen on the run's address, on which the other coordinator may still be listening.
func ResumeCoordinator(folder string) (*Coordinator, error) {
	encoded, err := os.ReadFile(filepath.Join(folder, runFile))
	if err != nil {
		return nil, err
	}
	coordinator := &Coordinator{resumed: true}
	err = json.Unmarshal(encoded, &coordinator.run)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", runFile, err)
	}
	coordinator.listener, err = listen(coordinator.run.Address)
	if err != nil {
		return nil, fmt.Errorf("the run's coordinator may still be running: %w", err)
	}
	return coordinator, nil
}

func listen(address string) (net.Listener, error) {
	return new(net.ListenConfig).Listen(context.Background(), "tcp", address)
}

// Run returns the run that the coordinator serves.
func (c *Coordinator) Run() Run { return c.run }

func (c *Coordinator) now() time.Duration { return time.Since(c.run.Start) }

// Serve runs the load to its end. It returns the metrics, the number of requests that were not sent, and the number of
// unknown requests: those that a lost worker may have sent.
func (c *Coordinator) Serve() (metrics *stats.Metrics, notSent, unknown int64, err error) {
	c.prepare()
	go c.acceptConnections() // ends when the listener is closed
	defer c.listener.Close()
	if !c.resumed && c.Spawn != nil {
		for worker := range c.run.Workers {
			err := c.Spawn(worker, c.run.Address)
			if err != nil {
				return nil, 0, 0, fmt.Errorf("worker %d: %w", worker, err)
			}
		}
	}
	for tick := 0; ; tick++ {
		time.Sleep(renewalInterval / 2)
		finished, err := c.tick(tick%progressInterval == 0)
		if err != nil {
			return nil, 0, 0, err
		}
		if finished {
			break
		}
	}
	c.mu.Lock()
	for worker := range c.connections {
		c.send(worker, frameEnd, nil)
	}
	c.mu.Unlock()
	time.Sleep(renewalInterval) // lets frameEnd be written: a worker that doesn't receive it looks for another coordinator for a while
	c.mu.Lock()
	defer c.mu.Unlock()
	c.killed = true // reports that arrive from now on are not counted
	notSent, unknown, err = c.countUnreported()
	return c.metrics, notSent, unknown, err
}

func (c *Coordinator) prepare() {
	load := &c.run.Load
	names, objectives := make([]string, len(load.Classes)), make([]time.Duration, len(load.Classes))
	for index, class := range load.Classes {
		names[index], objectives[index] = class.Name, class.LatencyObjective
	}
	c.metrics = stats.New(names, objectives)
	c.connections = make([]*connection, c.run.Workers)
	c.received, c.openSessions = make([]int64, c.run.Workers), make([]int64, c.run.Workers)
	c.skipped = map[uint64]bool{}
	c.registry = NewRegistry(c.now(), c.run.Workers, c.run.Drop, c.resumed, registryHost{c})
}

// tick calls the registry's Tick, calls Progress if reportProgress is set, and reports whether the run is finished.
func (c *Coordinator) tick(reportProgress bool) (finished bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.killed {
		return false, errKilled
	}
	c.registry.Tick(c.now())
	finished = c.registry.Finished()
	if c.Progress != nil && reportProgress {
		var open int64
		for _, sessions := range c.openSessions {
			open += sessions
		}
		c.Progress(c.now(), c.metrics.Total(), c.metrics.Total(), open)
	}
	return finished, nil
}

// Kill stops the coordinator abruptly, as if its process had been killed: it closes the listener and all connections.
func (c *Coordinator) Kill() {
	c.listener.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.killed = true
	for _, conn := range c.connections {
		if conn != nil {
			conn.tcp.Close()
		}
	}
}

// countUnreported counts the requests that have no outcome: those that were not sent, and the unknown ones, which a worker
// may have sent without reporting them.
func (c *Coordinator) countUnreported() (notSent, unknown int64, err error) {
	load := &c.run.Load
	schedule, err := arrival.NewSchedule(load.Shape, load.Classes, load.Seed, load.Length)
	if err != nil {
		return 0, 0, err
	}
	for request, ok := schedule.Next(); ok; request, ok = schedule.Next() {
		switch {
		case c.metrics.HasOutcome(request.Number):
		case c.skipped[request.Number] || !c.registry.MayHaveBeenSent(request.Number, request.At):
			notSent++
		default:
			unknown++
		}
	}
	return notSent, unknown, nil
}
