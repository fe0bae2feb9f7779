package workers

import (
	"encoding/json"
	"time"

	"magpiebank/internal/testbed/load/arrival"
	"magpiebank/internal/testbed/load/client"
)

// registryHost carries out the registry's decisions for the coordinator, whose lock the caller holds. Each connection has a
// goroutine that writes its frames, so that a worker that doesn't read can't delay the others.
type registryHost struct{ coordinator *Coordinator }

// GrantLease implements RegistryHost.
func (h registryHost) GrantLease(worker int, until time.Duration) {
	h.coordinator.send(worker, frameGrant, until)
}

// SendLosses implements RegistryHost.
func (h registryHost) SendLosses(worker int, losses []Loss) {
	h.coordinator.send(worker, frameLosses, append([]Loss{}, losses...))
}

// LogEvent implements RegistryHost.
func (h registryHost) LogEvent(text string) {
	if h.coordinator.Log != nil {
		h.coordinator.Log(text)
	}
}

// send queues a frame for a worker, if the worker is connected. If the queue is full, because the worker has left too many
// frames unread, send closes the connection.
func (c *Coordinator) send(worker int, kind byte, message any) {
	target := c.connections[worker]
	if target == nil {
		return
	}
	payload, err := json.Marshal(message)
	if err != nil {
		return
	}
	select {
	case target.outgoing <- frame{kind, payload}:
	default:
		target.tcp.Close()
	}
}

func (c *Coordinator) acceptConnections() {
	for {
		tcp, err := c.listener.Accept()
		if err != nil {
			return
		}
		go c.serveConnection(newConnection(tcp)) // ends when its connection ends
	}
}

// serveConnection handles a worker's frames until the connection ends or a newer connection of the worker replaces it.
func (c *Coordinator) serveConnection(conn *connection) {
	defer conn.tcp.Close()
	kind, payload, err := conn.read()
	if err != nil || kind != frameHello {
		return
	}
	var greeting hello
	if json.Unmarshal(payload, &greeting) != nil || !c.accepts(&greeting) {
		return
	}
	go conn.writeQueued()
	defer close(conn.outgoing)
	if !c.register(conn, &greeting) {
		return
	}
	for {
		kind, payload, err := conn.read()
		if !c.handleRead(conn, greeting.Worker, frame{kind, payload}, err) {
			return
		}
	}
}

func (c *Coordinator) accepts(greeting *hello) bool {
	return (greeting.Run == c.run.ID || greeting.Run == "") && greeting.Worker >= 0 && greeting.Worker < c.run.Workers
}

// register stores a connection as its worker's, and closes an older connection of that worker. It returns false if the
// coordinator has ended.
func (c *Coordinator) register(conn *connection, greeting *hello) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.killed {
		return false
	}
	worker := greeting.Worker
	if old := c.connections[worker]; old != nil {
		old.tcp.Close()
	}
	c.connections[worker] = conn
	c.send(worker, frameLoad, loadMessage{c.run, c.received[worker]})
	c.registry.HandleJoin(c.now(), worker, greeting.Losses, greeting.Until)
	return true
}

// handleRead handles the result of one read, and reports whether the connection is still open and the worker's current one.
func (c *Coordinator) handleRead(conn *connection, worker int, received frame, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.connections[worker] != conn {
		return false
	}
	if err != nil || c.killed {
		c.connections[worker] = nil
		if !c.killed {
			c.registry.HandleDisconnect(c.now(), worker)
		}
		return false
	}
	c.handleFrame(worker, received.kind, received.payload)
	return true
}

// handleFrame handles a frame from a worker. A frame that can't be decoded is ignored.
func (c *Coordinator) handleFrame(worker int, kind byte, payload []byte) {
	switch kind {
	case frameHeartbeat:
		var received heartbeat
		if json.Unmarshal(payload, &received) == nil {
			c.openSessions[worker] = received.Open
			c.registry.HandleHeartbeat(c.now(), worker, received.Horizon, received.Done)
		}
	case frameTakeovers:
		takeovers := map[int]time.Duration{}
		if json.Unmarshal(payload, &takeovers) == nil {
			for lossIndex, from := range takeovers {
				c.registry.HandleTakeover(worker, lossIndex, from)
			}
		}
	case frameReports:
		for ; len(payload) >= reportSize; payload = payload[reportSize:] {
			c.recordReport(worker, payload)
		}
	}
}

func (c *Coordinator) recordReport(worker int, packed []byte) {
	var report client.Report
	var request arrival.Request
	unpackReport(packed, &report, &request)
	c.received[worker]++
	if request.Class >= len(c.metrics.Classes) {
		return
	}
	if report.Outcome == outcomeSkipped {
		c.skipped[request.Number] = true
		return
	}
	c.metrics.RecordOffered(request.At)
	c.metrics.RecordFinished(&report)
}
