package agent

import (
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/healthreport"
	"magpiebank/internal/cluster/membership"
	"magpiebank/internal/cluster/quota"
)

const (
	// maxQueuedDatagrams bounds the datagrams that wait for the agent's goroutine: a second of all that 500 members send.
	maxQueuedDatagrams = 4096
	// maxReplayWindows bounds the senders that are remembered.
	maxReplayWindows = 2048
	// dropLogInterval is the least time between two log lines on dropped datagrams.
	dropLogInterval = time.Minute
)

// transport is the UDP socket with what is counted of datagrams.
type transport struct {
	agent  *Agent
	sealer *sealer
	socket *net.UDPConn
	queued atomic.Int32 // datagrams that wait for the agent's goroutine

	sequence uint64 // of the datagram that was sent last
	sent     int64
	received int64
	windows  map[string]*replayWindow // by sender
	dropped  map[error]int            // since the last log line, by reason
	loggedAt time.Time
}

func newTransport(a *Agent, key *sealer) transport {
	return transport{agent: a, sealer: key, windows: map[string]*replayWindow{}, dropped: map[error]int{}, loggedAt: time.Now()}
}

func (t *transport) listen(address string) error {
	resolved, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return err
	}
	t.socket, err = net.ListenUDP("udp", resolved)
	return err
}

// receiveDatagrams reads datagrams until the socket is closed. It notes their time, which may be long before the
// agent's goroutine gets to them.
func (a *Agent) receiveDatagrams() {
	for {
		buffer := make([]byte, maxDatagramBytes+1)
		n, err := a.transport.socket.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(tickInterval) // the socket reports a datagram of ours that a peer's machine refused as an error
			continue
		}
		if a.transport.queued.Load() >= maxQueuedDatagrams {
			continue
		}
		a.transport.queued.Add(1)
		a.queue.Put(datagramReceived{a.clock.Now(), buffer[:n]})
	}
}

// send writes one datagram with one section and returns its size in bytes. One that can't be sent counts as lost.
func (t *transport) send(to string, kind sectionKind, payload []byte) int {
	address, err := netip.ParseAddrPort(to)
	if err != nil {
		return 0
	}
	t.sequence++
	datagram, err := t.sealer.seal(&envelope{
		sender:   t.agent.name,
		start:    t.agent.members.Self().Incarnation,
		sequence: t.sequence,
		clock:    uint32(t.agent.clock.Now()),
		sections: []section{{kind, payload}},
	})
	if err != nil {
		return 0
	}
	t.sent++
	_, _ = t.socket.WriteToUDPAddrPort(datagram, address) // as if the network had lost it
	return len(datagram)
}

// open opens a datagram and checks that it isn't a repetition.
func (t *transport) open(datagram []byte) (*envelope, error) {
	e, err := t.sealer.open(datagram)
	if err != nil {
		return nil, err
	}
	window := t.windows[e.sender]
	if window == nil {
		if len(t.windows) >= maxReplayWindows {
			clear(t.windows) // names come and go; those that are there are heard again
		}
		window = &replayWindow{}
		t.windows[e.sender] = window
	}
	// An earlier process under the name isn't dropped: it is told that it is displaced.
	if !window.accept(e.start, e.sequence) && e.start >= window.start {
		return nil, errReplayed
	}
	return e, nil
}

// logDropped logs the datagrams that were dropped, one line a minute at most.
func (t *transport) logDropped() {
	if time.Since(t.loggedAt) < dropLogInterval {
		return
	}
	t.loggedAt = time.Now()
	if len(t.dropped) == 0 {
		return
	}
	t.agent.log.Warn("fleet", "code", "dropped",
		slog.Int("other_version", t.dropped[errOtherVersion]),
		slog.Int("stranger", t.dropped[errWrongKey]),
		slog.Int("broken", t.dropped[errMalformed]),
		slog.Int("replayed", t.dropped[errReplayed]))
	clear(t.dropped)
}

// handleDatagram hands the sections of a datagram to their cores. One with a malformed section counts as dropped.
func (a *Agent) handleDatagram(at admission.Time, datagram []byte) {
	e, err := a.transport.open(datagram)
	a.wake.recordWake(at, a.history)
	if err != nil {
		a.transport.dropped[err]++
		return
	}
	if a.health.accepts(at) {
		a.health.reports.ObserveClock(at, healthreport.Source{Name: e.sender, Incarnation: e.start}, e.clock)
	}
	for _, one := range e.sections {
		if !a.handleSection(at, e, one) {
			err = errMalformed
		}
	}
	if err != nil {
		a.transport.dropped[err]++
		return
	}
	a.transport.received++
}

// handleSection hands one section to its core and returns whether it was well formed. A displaced gateway takes in
// membership and health reports alone.
func (a *Agent) handleSection(at admission.Time, e *envelope, one section) bool {
	displaced := a.members.IsInactive()
	switch one.kind {
	case membershipSection:
		return a.members.HandleMessage(at, one.payload) == nil
	case quotaSection:
		message, err := quota.Decode(one.payload)
		if err != nil || message.Sender != e.sender || message.SenderIncarnation != e.start {
			return false
		}
		if a.quota != nil && !displaced {
			a.quota.handleMessage(at, message)
		}
	case countersSection:
		if a.counters.core != nil && !displaced {
			return a.counters.core.HandleMessage(at, e.sender, e.start, one.payload) == nil
		}
	case policySection:
		if a.policies != nil && !displaced {
			return a.policies.handleFragment(at, e, one.payload) == nil
		}
	case healthReportSection:
		if a.health.accepts(at) {
			return a.health.handleReport(at, e, one.payload) == nil
		}
	}
	return true
}

// livingMembers are the names of the other members that are alive.
func (a *Agent) livingMembers() (names []string) {
	for _, m := range a.members.Members() {
		if m.State == membership.Alive {
			names = append(names, m.Name)
		}
	}
	return names
}
