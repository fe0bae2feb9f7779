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

// prober asks one engine for its report on a connection of its own.
type healthChecker struct {
	pool       *enginePool
	connecting bool // there is a connection, or one is being dialled
	socket     net.Conn
	reader     *bufio.Reader
	lastUsed   time.Time
	sequence   int
}

func (h *healthChecker) serve() {
	o := h.pool.owner
	for range h.pool.checkRequested {
		how, report := h.checkRecovering()
		if how != admission.Served && how != admission.Unreachable && !h.connecting {
			how, report = h.checkRecovering() // a connection may break and an answer be spoilt once, from a sound engine
		}
		o.post(healthCheckFinished{engine: h.pool.name, outcome: how, report: report})
	}
	h.closeConnection("retired", nil)
}

// end closes the connection, if there is one, down to its line in the log.
func (h *healthChecker) closeConnection(code string, fault any) {
	if !h.connecting {
		return
	}
	h.connecting = false
	h.pool.owner.usage.engineConnections.Add(-1)
	if h.socket != nil {
		h.socket.Close()
		h.socket = nil
	}
	h.pool.owner.connectionEnded("probe", string(h.pool.name), code, 0, fault)
}

// guarded makes one probe; a fault of ours in it ends the connection and counts as the engine's error.
func (h *healthChecker) checkRecovering() (how admission.Outcome, report admission.Report) {
	defer func() {
		if fault := recover(); fault != nil {
			h.closeConnection("panic", fault)
			how, report = admission.Errored, admission.NoReport
		}
	}()
	return h.check()
}

// ask makes one probe. Its answer has as long as a connection to come up: the site states no other wait.
func (h *healthChecker) check() (admission.Outcome, admission.Report) {
	within := h.pool.owner.network.ConnectTimeout
	if time.Since(h.lastUsed) > h.pool.owner.engineIdleTimeout() {
		h.closeConnection("idle", nil)
	}
	if !h.connecting {
		h.connecting = true
		h.pool.owner.usage.openConnections.Add(1)
		h.pool.owner.usage.engineConnections.Add(1)
		tcp, err := h.pool.owner.dial(h.pool.address)
		if err != nil {
			h.closeConnection(endCode(err), nil)
			return admission.Unreachable, admission.NoReport
		}
		h.socket, h.reader = tcp, bufio.NewReaderSize(tcp, resp.MaxBulkBytes)
	}
	h.lastUsed = time.Now()
	h.socket.SetDeadline(h.lastUsed.Add(within))
	h.sequence++
	tag := "top" + strconv.Itoa(h.sequence)
	if _, err := h.socket.Write(resp.AppendArray(nil, "top", tag)); err != nil {
		h.closeConnection(endCode(err), nil)
		return admission.Reset, admission.NoReport
	}
	var parts [][]byte
	for {
		var n int
		var err error
		if parts, n, err = readAnswer(h.reader, parts, func() {}); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) && hasInput(h.socket) { // it came while this process stood still
				if err = readArrived(h.socket, h.reader, h.reader.Buffered()+1); err == nil {
					continue
				}
			}
			h.closeConnection(endCode(err), nil)
			switch {
			case errors.Is(err, resp.ErrMalformedArray):
				return admission.Errored, admission.NoReport
			case errors.Is(err, os.ErrDeadlineExceeded):
				return admission.TimedOut, admission.NoReport
			}
			return admission.Reset, admission.NoReport
		}
		if string(parts[0]) != tag {
			h.reader.Discard(n)
			continue
		}
		how, report := admission.Served, admission.NoReport
		if string(parts[1]) == "ill" || string(parts[1]) == "failed" {
			how = admission.Errored
		} else if len(parts) > 2 {
			report = resp.ParseLoadReport(parts[2])
		}
		h.reader.Discard(n)
		return how, report
	}
}
