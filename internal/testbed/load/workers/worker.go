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

// Worker is the state of a process that sends its share of a run's requests.
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
	reports []byte // packed reports of the whole run, because the next coordinator needs all of them
}

// maxOrphanSearch is how long a worker that has nothing left to send looks for a coordinator that collects its reports.
const maxOrphanSearch = 30 * time.Second

var errNoCoordinator = errors.New("no coordinator came back to collect the reports")

// RunWorker joins the coordinator at an address and sends requests until the run is over. When the connection ends, it joins
// again.
func RunWorker(address string, number int) error {
	worker := &Worker{address: address, number: number}
	var orphanedAt time.Time // start of the time without a coordinator
	for {
		finished, err := worker.serveConnection()
		if finished {
			return nil
		}
		if !worker.started && err != nil {
			return err
		}
		now := time.Now()
		if orphanedAt.IsZero() || err == nil {
			orphanedAt = now
		}
		if errors.Is(err, syscall.ECONNREFUSED) && !worker.start.IsZero() { // the refusal proves that no coordinator is running
			worker.assignment.Store(worker.assignment.Load().WithoutCoordinator(time.Since(worker.start)))
			if worker.done.Load() && now.Sub(orphanedAt) > maxOrphanSearch {
				return errNoCoordinator
			}
		}
		time.Sleep(renewalInterval)
	}
}

// serveConnection connects to the coordinator and serves the connection until it ends. It reports whether the run is over.
func (w *Worker) serveConnection() (finished bool, err error) {
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
		if err != nil { // the connection is lost, and the worker joins again: not an error
			return false, nil
		}
		if kind == frameEnd {
			return true, nil
		}
		w.handleFrame(coordinator, kind, payload)
	}
}

// join sends the worker's hello, and starts the load that the coordinator answers with. received is the number of this
// worker's reports that the coordinator has.
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

// handleFrame applies a lease or a list of losses. A frame that can't be decoded is ignored.
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
			// If the write fails, the connection is lost, and the next read returns an error.
			_ = coordinator.writeJSON(frameTakeovers, takeovers)
		}
	}
}

// startLoad starts the load. It does nothing if the load has been started before.
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

// owns reports whether this worker sends a request. A request that the worker skips, because its lease is over, is recorded
// among the reports.
func (w *Worker) owns(request *arrival.Request) bool {
	owned, skipped := w.assignment.Load().Owns(request.Number, request.At)
	if skipped {
		w.mu.Lock()
		w.reports = packSkipped(w.reports, request)
		w.mu.Unlock()
	}
	return owned
}

// maxBatchSize is the size in bytes of the largest batch of whole reports that fits into a frame.
const maxBatchSize = maxFrameSize / reportSize * reportSize

// sendReports sends heartbeats and the reports that the coordinator doesn't have, until the connection ends.
func (w *Worker) sendReports(coordinator *connection, received int64, stop <-chan struct{}) {
	sent := int(received) * reportSize
	for {
		done := w.done.Load() // loaded before the reports: if it is true, the batches hold all reports
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

// nextBatch returns a copy of the packed reports from the offset sent on, as many as fit into a frame, and the number of
// bytes that remain after them.
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
