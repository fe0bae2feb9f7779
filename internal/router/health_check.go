package router

import (
	"bufio"
	"errors"
	"net"
	"os"
	"strconv"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/protocol/resp"
)

// healthChecker requests load reports from one engine, on a separate connection.
type healthChecker struct {
	pool     *enginePool
	open     bool // a connection is established or being dialled
	socket   net.Conn
	reader   *bufio.Reader
	lastUsed time.Time
	sequence int // number of the last check; its answer is recognized by it
}

// run performs a health check for each request until the engine is retired. It runs on the checker's own goroutine.
func (h *healthChecker) run() {
	for range h.pool.checkRequested {
		outcome, report := h.checkRecovering()
		// A connection can break, or an answer be invalid, even if the engine is healthy, so the check is repeated once.
		if outcome != admission.Served && outcome != admission.Unreachable && !h.open {
			outcome, report = h.checkRecovering()
		}
		h.pool.owner.post(healthCheckFinished{engine: h.pool.name, outcome: outcome, report: report})
	}
	h.closeConnection("retired", nil)
}

// checkRecovering performs one health check. It recovers from a panic, which ends the connection and counts as a failure of the
// engine.
func (h *healthChecker) checkRecovering() (outcome admission.Outcome, report admission.Report) {
	defer func() {
		if fault := recover(); fault != nil {
			h.closeConnection("panic", fault)
			outcome, report = admission.Errored, admission.NoReport
		}
	}()
	return h.check()
}

// check performs one health check. The answer must arrive within the connect timeout, because the deployment defines no timeout
// for health checks.
func (h *healthChecker) check() (admission.Outcome, admission.Report) {
	if time.Since(h.lastUsed) > h.pool.owner.engineIdleTimeout() {
		h.closeConnection("idle", nil)
	}
	if err := h.connect(); err != nil {
		h.closeConnection(endCode(err), nil)
		return admission.Unreachable, admission.NoReport
	}
	h.lastUsed = time.Now()
	h.socket.SetDeadline(h.lastUsed.Add(h.pool.owner.network.ConnectTimeout))
	h.sequence++
	tag := "top" + strconv.Itoa(h.sequence)
	if _, err := h.socket.Write(resp.AppendArray(nil, "top", tag)); err != nil {
		h.closeConnection(endCode(err), nil)
		return admission.Reset, admission.NoReport
	}
	outcome, report, err := h.readReport(tag)
	if err != nil {
		h.closeConnection(endCode(err), nil)
		return checkFailure(err), admission.NoReport
	}
	return outcome, report
}

// connect dials a connection unless one is open.
func (h *healthChecker) connect() error {
	if h.open {
		return nil
	}
	h.open = true
	h.pool.owner.usage.openConnections.Add(1)
	h.pool.owner.usage.engineConnections.Add(1)
	socket, err := h.pool.owner.dial(h.pool.address)
	if err != nil {
		return err
	}
	h.socket, h.reader = socket, bufio.NewReaderSize(socket, resp.MaxBulkBytes)
	return nil
}

// readReport reads until the answer with the given tag arrives. Answers to earlier checks are ignored.
func (h *healthChecker) readReport(tag string) (admission.Outcome, admission.Report, error) {
	var parts [][]byte
	for {
		var size int
		var err error
		parts, size, err = readAnswer(h.reader, parts, func() {})
		if errors.Is(err, os.ErrDeadlineExceeded) && hasInput(h.socket) { // it arrived while this process was stalled
			err = readAvailable(h.socket, h.reader, h.reader.Buffered()+1)
			if err == nil {
				continue
			}
		}
		if err != nil {
			return admission.Errored, admission.NoReport, err
		}
		if string(parts[0]) != tag {
			discard(h.reader, size)
			continue
		}
		outcome, report := parseHealthAnswer(parts)
		discard(h.reader, size)
		return outcome, report, nil
	}
}

// parseHealthAnswer returns the outcome and the load report of an answer to a health check.
func parseHealthAnswer(parts [][]byte) (admission.Outcome, admission.Report) {
	status := string(parts[1])
	if status == "ill" || status == "failed" {
		return admission.Errored, admission.NoReport
	}
	if len(parts) > 2 {
		return admission.Served, resp.ParseLoadReport(parts[2])
	}
	return admission.Served, admission.NoReport
}

// checkFailure returns the outcome of a health check whose answer could not be read.
func checkFailure(err error) admission.Outcome {
	switch {
	case errors.Is(err, resp.ErrMalformedArray):
		return admission.Errored
	case errors.Is(err, os.ErrDeadlineExceeded):
		return admission.TimedOut
	}
	return admission.Reset
}

// closeConnection closes the connection, if one is open, and logs its end.
func (h *healthChecker) closeConnection(code string, fault any) {
	if !h.open {
		return
	}
	h.open = false
	h.pool.owner.usage.engineConnections.Add(-1)
	if h.socket != nil {
		h.socket.Close()
		h.socket = nil
	}
	h.pool.owner.connectionEnded("probe", string(h.pool.name), code, 0, fault)
}
