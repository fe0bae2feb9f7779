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

// healthChecker asks one engine for its load report, on a connection of its own.
type healthChecker struct {
	pool     *enginePool
	open     bool // there is a connection, or one is being dialled
	socket   net.Conn
	reader   *bufio.Reader
	lastUsed time.Time
	sequence int // of the last check, by which its answer is recognised
}

// run makes a health check each time that one is requested, until the engine is retired. It is the checker's goroutine.
func (h *healthChecker) run() {
	for range h.pool.checkRequested {
		outcome, report := h.checkRecovering()
		// A connection may break, and an answer be spoilt, once with a sound engine.
		if outcome != admission.Served && outcome != admission.Unreachable && !h.open {
			outcome, report = h.checkRecovering()
		}
		h.pool.owner.post(healthCheckFinished{engine: h.pool.name, outcome: outcome, report: report})
	}
	h.closeConnection("retired", nil)
}

// checkRecovering makes one health check. A panic in it ends the connection and counts as the engine's failure.
func (h *healthChecker) checkRecovering() (outcome admission.Outcome, report admission.Report) {
	defer func() {
		if fault := recover(); fault != nil {
			h.closeConnection("panic", fault)
			outcome, report = admission.Errored, admission.NoReport
		}
	}()
	return h.check()
}

// check makes one health check. Its answer has as long as a connection to come up, because the deployment states no other
// wait.
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

// connect dials a connection unless there is one.
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

// readReport reads until the answer with a tag has come. Answers to earlier checks are ignored.
func (h *healthChecker) readReport(tag string) (admission.Outcome, admission.Report, error) {
	var parts [][]byte
	for {
		var size int
		var err error
		parts, size, err = readAnswer(h.reader, parts, func() {})
		if errors.Is(err, os.ErrDeadlineExceeded) && hasInput(h.socket) { // it came while this process stood still
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

// parseHealthAnswer returns what an answer to a health check tells.
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

// checkFailure returns how a health check ended of which the answer could not be read.
func checkFailure(err error) admission.Outcome {
	switch {
	case errors.Is(err, resp.ErrMalformedArray):
		return admission.Errored
	case errors.Is(err, os.ErrDeadlineExceeded):
		return admission.TimedOut
	}
	return admission.Reset
}

// closeConnection closes the connection, if there is one, and logs its end.
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
