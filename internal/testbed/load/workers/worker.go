package workers

import (
	"encoding/json"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"magpiebank/internal/testbed/load/arrival"
	"magpiebank/internal/testbed/load/client"
	"magpiebank/internal/testbed/load/driver"
)

// Worker is a process that sends its share of a run.
type Worker struct {
	address string
	me      int
	share   atomic.Pointer[Assignment]
	start   time.Time
	run     Run
	begun   bool
	drive   *driver.Driver
	done    atomic.Bool

	mu   sync.Mutex
	kept []byte // all reports, packed: another coordinator wants them from the first on
}

// leftAlone is how long a worker that has nothing to send any more looks for a coordinator to tell.
const leftAlone = 30 * time.Second

// RunWorker joins a coordinator and sends until the run is over.
func RunWorker(address string, me int) error {
	w := &Worker{address: address, me: me}
	var alone time.Time // since when there is no coordinator
	for {
		over, err := w.connect()
		if over {
			return nil
		}
		if !w.begun && err != nil {
			return err
		}
		now := time.Now()
		if alone.IsZero() || err == nil {
			alone = now
		}
		if errors.Is(err, syscall.ECONNREFUSED) && !w.start.IsZero() { // proof that no coordinator is there
			w.share.Store(w.share.Load().WithoutCoordinator(time.Since(w.start)))
			if w.done.Load() && now.Sub(alone) > leftAlone {
				return errors.New("no coordinator came back for the figures")
			}
		}
		time.Sleep(renewal)
	}
}

// connect serves one connection to the coordinator; it tells whether the run is over.
func (w *Worker) connect() (over bool, err error) {
	tcp, err := net.DialTimeout("tcp", w.address, LeasePeriod)
	if err != nil {
		return false, err
	}
	l := newLink(tcp)
	defer tcp.Close()
	h := hello{Run: w.run.ID, Worker: w.me}
	if s := w.share.Load(); s != nil {
		h.Losses, h.Until = s.Losses, s.LeaseUntil
	}
	if err := l.writeJSON(frameHello, h); err != nil {
		return false, err
	}
	kind, payload, err := l.read()
	if err != nil || kind != frameLoad {
		return false, err
	}
	var load struct {
		Run
		Got int64 `json:"got"`
	}
	if err := json.Unmarshal(payload, &load); err != nil {
		return false, err
	}
	if err := w.begin(load.Run); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	defer close(stop)
	go w.tell(l, load.Got, stop)
	for {
		kind, payload, err := l.read()
		if err != nil {
			return false, nil
		}
		switch kind {
		case frameGrant:
			var until time.Duration
			if json.Unmarshal(payload, &until) == nil {
				w.share.Store(w.share.Load().WithLease(until))
			}
		case frameLosses:
			var losses []Loss
			if json.Unmarshal(payload, &losses) == nil {
				next, took := w.share.Load().WithLosses(time.Since(w.start), losses)
				w.share.Store(next)
				if len(took) > 0 {
					l.writeJSON(frameTook, took)
				}
			}
		case frameEnd:
			return true, nil
		}
	}
}

// begin starts the load, once.
func (w *Worker) begin(run Run) error {
	if w.begun {
		return nil
	}
	w.run, w.start, w.begun = run, run.Start, true
	w.share.Store(&Assignment{Worker: w.me, Workers: run.Workers})
	l := run.Load
	l.Shard, l.ShardCount = w.me, run.Workers
	l.Owns = func(t *arrival.Request) bool {
		mine, missed := w.share.Load().Owns(t.Number, t.At)
		if missed {
			w.mu.Lock()
			w.kept = packSkipped(w.kept, t)
			w.mu.Unlock()
		}
		return mine
	}
	l.OnFinished = func(r *client.Report) {
		w.mu.Lock()
		w.kept = packReport(w.kept, r)
		w.mu.Unlock()
	}
	d, err := driver.Start(l, run.Start)
	if err != nil {
		return err
	}
	w.drive = d
	go func() {
		d.Wait()
		w.done.Store(true)
	}()
	return nil
}

// tell sends reports and beats until the connection ends.
func (w *Worker) tell(l *link, got int64, stop <-chan struct{}) {
	at := int(got) * reportSize
	for {
		done := w.done.Load() // before the reports are looked at, so that none is left out
		w.mu.Lock()
		batch := w.kept[min(at, len(w.kept)):]
		if len(batch) > mostFrame/reportSize*reportSize {
			batch = batch[:mostFrame/reportSize*reportSize]
		}
		batch = append([]byte(nil), batch...)
		rest := len(w.kept) - at - len(batch)
		w.mu.Unlock()
		if len(batch) > 0 {
			if l.write(frameReports, batch) != nil {
				return
			}
			at += len(batch)
		}
		if rest > 0 {
			continue
		}
		horizon := time.Duration(w.drive.Horizon.Load())
		if l.writeJSON(frameBeat, beat{horizon, done, w.drive.Open.Load()}) != nil {
			return
		}
		select {
		case <-stop:
			return
		case <-time.After(renewal / 2):
		}
	}
}
