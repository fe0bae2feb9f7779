package workers

import (
	"context"
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
	address    string
	number     int
	assignment atomic.Pointer[Assignment]
	start      time.Time
	run        Run
	started    bool
	driver     *driver.Driver
	done       atomic.Bool

	mu      sync.Mutex
	reports []byte // all of the run, packed: another coordinator wants them from the first on
}

// maxOrphanSearch is how long a worker that has nothing to send any more looks for a coordinator to report to.
const maxOrphanSearch = 30 * time.Second

var errNoCoordinator = errors.New("no coordinator came back for the figures")

// RunWorker joins a coordinator and sends until the run is over.
func RunWorker(address string, number int) error {
	worker := &Worker{address: address, number: number}
	var orphanedAt time.Time // since when there is no coordinator
	for {
		over, err := worker.serveConnection()
		if over {
			return nil
		}
		if !worker.started && err != nil {
			return err
		}
		now := time.Now()
		if orphanedAt.IsZero() || err == nil {
			orphanedAt = now
		}
		if errors.Is(err, syscall.ECONNREFUSED) && !worker.start.IsZero() { // proof that no coordinator is there
			worker.assignment.Store(worker.assignment.Load().WithoutCoordinator(time.Since(worker.start)))
			if worker.done.Load() && now.Sub(orphanedAt) > maxOrphanSearch {
				return errNoCoordinator
			}
		}
		time.Sleep(renewalInterval)
	}
}

// serveConnection serves one connection to the coordinator; it tells whether the run is over.
func (w *Worker) serveConnection() (over bool, err error) {
	dialer := net.Dialer{Timeout: LeasePeriod}
	tcp, err := dialer.DialContext(context.Background(), "tcp", w.address)
	if err != nil {
		return false, err
	}
	defer tcp.Close()
	coordinator := newConnection(tcp)
	received, joined, err := w.join(coordinator)
	if !joined {
		return false, err
	}
	stop := make(chan struct{})
	defer close(stop)
	go w.sendReports(coordinator, received, stop)
	for {
		kind, payload, err := coordinator.read()
		if err != nil { // the connection is lost, which is no error of this worker: it joins again
			return false, nil
		}
		if kind == frameEnd {
			return true, nil
		}
		w.handleFrame(coordinator, kind, payload)
	}
}

// join introduces the worker, and starts the load that the coordinator names. It returns how many of this worker's
// reports the coordinator has.
func (w *Worker) join(coordinator *connection) (received int64, joined bool, err error) {
	greeting := hello{Run: w.run.ID, Worker: w.number}
	if current := w.assignment.Load(); current != nil {
		greeting.Losses, greeting.Until = current.Losses, current.LeaseUntil
	}
	err = coordinator.writeJSON(frameHello, greeting)
	if err != nil {
		return 0, false, err
	}
	kind, payload, err := coordinator.read()
	if err != nil || kind != frameLoad {
		return 0, false, err
	}
	var message loadMessage
	err = json.Unmarshal(payload, &message)
	if err != nil {
		return 0, false, err
	}
	err = w.startLoad(message.Run)
	return message.Received, err == nil, err
}

// handleFrame applies a lease or a list of losses; a frame that can't be read is ignored.
func (w *Worker) handleFrame(coordinator *connection, kind byte, payload []byte) {
	switch kind {
	case frameGrant:
		var until time.Duration
		if json.Unmarshal(payload, &until) == nil {
			w.assignment.Store(w.assignment.Load().WithLease(until))
		}
	case frameLosses:
		var losses []Loss
		if json.Unmarshal(payload, &losses) != nil {
			return
		}
		next, takeovers := w.assignment.Load().WithLosses(time.Since(w.start), losses)
		w.assignment.Store(next)
		if len(takeovers) > 0 {
			// Where the write fails, the connection is lost, and the read after this finds that.
			_ = coordinator.writeJSON(frameTakeovers, takeovers)
		}
	}
}

// startLoad starts the load, once.
func (w *Worker) startLoad(run Run) error {
	if w.started {
		return nil
	}
	w.run, w.start, w.started = run, run.Start, true
	w.assignment.Store(&Assignment{Worker: w.number, Workers: run.Workers})
	load := run.Load
	load.Shard, load.ShardCount = w.number, run.Workers
	load.Owns = w.owns
	load.OnFinished = func(report *client.Report) {
		w.mu.Lock()
		w.reports = packReport(w.reports, report)
		w.mu.Unlock()
	}
	started, err := driver.Start(load, run.Start)
	if err != nil {
		return err
	}
	w.driver = started
	go func() { // ends with the load
		started.Wait()
		w.done.Store(true)
	}()
	return nil
}

// owns tells whether this worker sends a request, and records one that it would send if its lease were not over.
func (w *Worker) owns(request *arrival.Request) bool {
	owned, missed := w.assignment.Load().Owns(request.Number, request.At)
	if missed {
		w.mu.Lock()
		w.reports = packSkipped(w.reports, request)
		w.mu.Unlock()
	}
	return owned
}

// maxBatchSize is how many bytes of whole reports fit into a frame.
const maxBatchSize = maxFrameSize / reportSize * reportSize

// sendReports sends the reports that the coordinator doesn't have, and heartbeats, until the connection ends.
func (w *Worker) sendReports(coordinator *connection, received int64, stop <-chan struct{}) {
	sent := int(received) * reportSize
	for {
		done := w.done.Load() // before the reports are looked at, so that none is left out
		batch, remaining := w.nextBatch(sent)
		if len(batch) > 0 {
			if coordinator.write(frameReports, batch) != nil {
				return
			}
			sent += len(batch)
		}
		if remaining > 0 {
			continue
		}
		horizon := time.Duration(w.driver.OfferedUntil.Load())
		if coordinator.writeJSON(frameHeartbeat, heartbeat{horizon, done, w.driver.OpenSessions.Load()}) != nil {
			return
		}
		select {
		case <-stop:
			return
		case <-time.After(renewalInterval / 2):
		}
	}
}

// nextBatch returns a copy of the reports from an offset on, as many as fit into a frame, and how many bytes remain after
// them.
func (w *Worker) nextBatch(sent int) (batch []byte, remaining int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	batch = w.reports[min(sent, len(w.reports)):]
	if len(batch) > maxBatchSize {
		batch = batch[:maxBatchSize]
	}
	batch = append([]byte(nil), batch...)
	return batch, len(w.reports) - sent - len(batch)
}
