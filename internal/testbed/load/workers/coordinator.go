package workers

import (
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
	"magpiebank/internal/testbed/load/client"
	"magpiebank/internal/testbed/load/driver"
	"magpiebank/internal/testbed/load/stats"
)

// Run is what a coordinator writes down at its start, so that another can go on in its place.
type Run struct {
	ID      string      `json:"id"`
	Address string      `json:"address"`
	Start   time.Time   `json:"start"`
	Workers int         `json:"workers"`
	Drop    bool        `json:"drop"`
	Load    driver.Load `json:"load"`
}

const runFile = "run.json"

// Coordinator plays a run with workers.
type Coordinator struct {
	run      Run
	listener net.Listener
	resumed  bool
	Spawn    func(worker int, address string) error // starts a worker's process
	Log      func(string)
	Progress func(at time.Duration, offered, ended, open int64)

	mu      sync.Mutex // of all below: links bring events
	muster  *Registry
	links   []*link
	figures *stats.Metrics
	got     []int64 // reports taken in, by worker
	open    []int64
	skipped map[uint64]bool
	killed  bool
}

// NewCoordinator begins a run and writes it down in a folder.
func NewCoordinator(folder string, workers int, drop bool, l driver.Load, start time.Time) (*Coordinator, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	var id [8]byte
	rand.Read(id[:])
	c := &Coordinator{listener: listener, run: Run{ID: hex.EncodeToString(id[:]), Address: listener.Addr().String(), Start: start,
		Workers: workers, Drop: drop, Load: l}}
	b, err := json.Marshal(c.run)
	if err != nil {
		return nil, err
	}
	return c, os.WriteFile(filepath.Join(folder, runFile), b, 0o600)
}

// ResumeCoordinator goes on with a run whose coordinator has died.
func ResumeCoordinator(folder string) (*Coordinator, error) {
	b, err := os.ReadFile(filepath.Join(folder, runFile))
	if err != nil {
		return nil, err
	}
	c := &Coordinator{resumed: true}
	if err := json.Unmarshal(b, &c.run); err != nil {
		return nil, fmt.Errorf("%s: %w", runFile, err)
	}
	if c.listener, err = net.Listen("tcp", c.run.Address); err != nil {
		return nil, fmt.Errorf("the run's coordinator may be alive: %w", err)
	}
	return c, nil
}

// Run is what is being played.
func (c *Coordinator) Run() Run { return c.run }

func (c *Coordinator) now() time.Duration { return time.Since(c.run.Start) }

// Grant lets a worker offer its share until a time. It is a call of MusterHost, made under the lock as Losses and Say are. Links are written by goroutines of their own, so
// that one that takes nothing doesn't hold up the others.
func (c *Coordinator) Grant(worker int, until time.Duration) { c.send(worker, frameGrant, until) }

func (c *Coordinator) Losses(worker int, losses []Loss) {
	c.send(worker, frameLosses, append([]Loss{}, losses...))
}

type coordinatorHost struct{ *Coordinator }

func (h coordinatorHost) LogEvent(text string) {
	if h.Log != nil {
		h.Log(text)
	}
}

func (c *Coordinator) send(worker int, kind byte, v any) {
	if l := c.links[worker]; l != nil {
		b, err := json.Marshal(v)
		if err != nil {
			return
		}
		select {
		case l.out <- frame{kind, b}:
		default: // it has taken nothing for 256 frames, which is longer than a lease
			l.tcp.Close()
		}
	}
}

// Serve plays the run to its end.
func (c *Coordinator) Serve() (*stats.Metrics, int64, int64, error) {
	names, quoted := make([]string, len(c.run.Load.Classes)), make([]time.Duration, len(c.run.Load.Classes))
	for i, l := range c.run.Load.Classes {
		names[i], quoted[i] = l.Name, l.LatencyObjective
	}
	c.figures = stats.New(names, quoted)
	c.links, c.got, c.open = make([]*link, c.run.Workers), make([]int64, c.run.Workers), make([]int64, c.run.Workers)
	c.skipped = map[uint64]bool{}
	c.muster = NewRegistry(c.now(), c.run.Workers, c.run.Drop, c.resumed, coordinatorHost{c})
	go c.accept()
	defer c.listener.Close()
	if !c.resumed && c.Spawn != nil {
		for i := range c.run.Workers {
			if err := c.Spawn(i, c.run.Address); err != nil {
				return nil, 0, 0, fmt.Errorf("worker %d: %w", i, err)
			}
		}
	}
	for tick := 0; ; tick++ {
		time.Sleep(renewal / 2)
		c.mu.Lock()
		if c.killed {
			c.mu.Unlock()
			return nil, 0, 0, errKilled
		}
		c.muster.Tick(c.now())
		over := c.muster.Finished()
		if c.Progress != nil && tick%10 == 0 {
			var open int64
			for _, n := range c.open {
				open += n
			}
			c.Progress(c.now(), c.figures.Total(), c.figures.Total(), open)
		}
		c.mu.Unlock()
		if over {
			break
		}
	}
	c.mu.Lock()
	for i := range c.links {
		c.send(i, frameEnd, nil)
	}
	c.mu.Unlock()
	time.Sleep(renewal) // workers that don't hear of the end look for another coordinator for a while
	c.mu.Lock()
	defer c.mu.Unlock()
	c.killed = true // what comes now is no part of it
	notSent, unknown, err := c.settle()
	return c.figures, notSent, unknown, err
}

var errKilled = errors.New("the coordinator was killed")

// Kill ends a coordinator as its process's death would.
func (c *Coordinator) Kill() {
	c.listener.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.killed = true
	for _, l := range c.links {
		if l != nil {
			l.tcp.Close()
		}
	}
}

// settle counts what nobody reported.
func (c *Coordinator) settle() (notSent, unknown int64, err error) {
	l := &c.run.Load
	s, err := arrival.NewSchedule(l.Shape, l.Classes, l.Seed, l.Length)
	if err != nil {
		return 0, 0, err
	}
	for t, ok := s.Next(); ok; t, ok = s.Next() {
		switch {
		case c.figures.HasOutcome(t.Number):
		case c.skipped[t.Number] || !c.muster.MayHaveBeenSent(t.Number, t.At):
			notSent++
		default:
			unknown++
		}
	}
	return notSent, unknown, nil
}

func (c *Coordinator) accept() {
	for {
		tcp, err := c.listener.Accept()
		if err != nil {
			return
		}
		go c.serve(newLink(tcp))
	}
}

// serve takes a worker's frames.
func (c *Coordinator) serve(l *link) {
	defer l.tcp.Close()
	kind, payload, err := l.read()
	var h hello
	if err != nil || kind != frameHello || json.Unmarshal(payload, &h) != nil || h.Run != c.run.ID && h.Run != "" ||
		h.Worker < 0 || h.Worker >= c.run.Workers {
		return
	}
	w := h.Worker
	go l.writer()
	defer close(l.out)
	c.mu.Lock()
	if c.killed {
		c.mu.Unlock()
		return
	}
	if old := c.links[w]; old != nil {
		old.tcp.Close()
	}
	c.links[w] = l
	c.send(w, frameLoad, struct {
		Run
		Got int64 `json:"got"`
	}{c.run, c.got[w]})
	c.muster.HandleJoin(c.now(), w, h.Losses, h.Until)
	c.mu.Unlock()
	for {
		kind, payload, err := l.read()
		c.mu.Lock()
		if err != nil || c.killed || c.links[w] != l {
			if c.links[w] == l {
				c.links[w] = nil
				if !c.killed {
					c.muster.HandleDisconnect(c.now(), w)
				}
			}
			c.mu.Unlock()
			return
		}
		c.take(w, kind, payload)
		c.mu.Unlock()
	}
}

func (c *Coordinator) take(w int, kind byte, payload []byte) {
	switch kind {
	case frameBeat:
		var b beat
		if json.Unmarshal(payload, &b) == nil {
			c.open[w] = b.Open
			c.muster.HandleHeartbeat(c.now(), w, b.Horizon, b.Done)
		}
	case frameTook:
		took := map[int]time.Duration{}
		if json.Unmarshal(payload, &took) == nil {
			for loss, from := range took {
				c.muster.HandleTakeover(w, loss, from)
			}
		}
	case frameReports:
		var r client.Report
		var t arrival.Request
		for ; len(payload) >= reportSize; payload = payload[reportSize:] {
			unpackReport(payload, &r, &t)
			c.got[w]++
			if t.Class >= len(c.figures.Classes) {
				continue
			}
			if r.Outcome == skipped {
				c.skipped[t.Number] = true
				continue
			}
			c.figures.RecordOffered(t.At)
			c.figures.RecordFinished(&r)
		}
	}
}
