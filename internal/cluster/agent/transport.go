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
	// maxQueuedDatagrams limits the datagrams that wait for the agent's goroutine. It is enough for all that 500 members send in a
	// second.
	maxQueuedDatagrams = 4096
	// maxReplayWindows limits the number of senders that have a replay window.
	maxReplayWindows = 2048
	// dropLogInterval is the shortest time between two log lines on dropped datagrams.
	dropLogInterval = time.Minute
)

// transport sends and receives datagrams over a UDP socket, and counts them.
type transport struct {
	agent  *Agent
	sealer *sealer
	socket *net.UDPConn
	queued atomic.Int32 // datagrams that wait for the agent's goroutine

	sequence uint64                   // sequence number of the last datagram that was sealed
	sent     int64                    // number of datagrams sent
	received int64                    // number of valid datagrams received
	windows  map[string]*replayWindow // by name of the sender
	dropped  map[error]int            // number of datagrams dropped since the last log line on them, by reason
	loggedAt time.Time                // when dropped datagrams were last checked for a log line
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

// receiveDatagrams reads datagrams until the socket is closed, in a goroutine of its own. It queues each with its time of arrival,
// which may be long before the agent's goroutine handles it. It drops datagrams while the queue is full.
func (a *Agent) receiveDatagrams() {
	for {
		buffer := make([]byte, maxDatagramBytes+1)
		n, err := a.transport.socket.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(tickInterval) // Read returns an error if a peer's machine rejected a datagram that this socket sent
			continue
		}
		if a.transport.queued.Load() >= maxQueuedDatagrams {
			continue
		}
		a.transport.queued.Add(1)
		a.queue.Put(datagramReceived{a.clock.Now(), buffer[:n]})
	}
}

// send sends one datagram with one section and returns its size in bytes. Like a datagram that the network loses, one that can't be
// written is dropped without an error.
func (t *transport) send(to string, kind sectionKind, payload []byte) int {
	address, err := netip.ParseAddrPort(to)
	if err != nil {
		return 0
	}
	t.sequence++
	datagram, err := t.sealer.seal(&envelope{
		sender:      t.agent.name,
		incarnation: t.agent.members.Self().Incarnation,
		sequence:    t.sequence,
		clock:       uint32(t.agent.clock.Now()),
		sections:    []section{{kind, payload}},
	})
	if err != nil {
		return 0
	}
	t.sent++
	_, _ = t.socket.WriteToUDPAddrPort(datagram, address) // an error has the same effect as a loss in the network
	return len(datagram)
}

// open decrypts and decodes a datagram and checks that it isn't a replay.
func (t *transport) open(datagram []byte) (*envelope, error) {
	e, err := t.sealer.open(datagram)
	if err != nil {
		return nil, err
	}
	window := t.windows[e.sender]
	if window == nil {
		if len(t.windows) >= maxReplayWindows {
			clear(t.windows) // drops departed senders; active ones get a new window with their next datagram
		}
		window = &replayWindow{}
		t.windows[e.sender] = window
	}
	// A datagram of an earlier process under the same name isn't dropped, because the membership core has to answer that the
	// process is displaced.
	if !window.accept(e.incarnation, e.sequence) && e.incarnation >= window.incarnation {
		return nil, errReplayed
	}
	return e, nil
}

// logDropped logs the number of dropped datagrams, with at most one line per dropLogInterval.
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

// handleDatagram passes the sections of a datagram to their cores. A datagram with a malformed section counts as dropped, but its
// other sections are still handled.
func (a *Agent) handleDatagram(at admission.Time, datagram []byte) {
	e, err := a.transport.open(datagram)
	a.wake.recordWake(at, a.history)
	if err != nil {
		a.transport.dropped[err]++
		return
	}
	if a.health.accepts(at) {
		a.health.reports.ObserveClock(at, healthreport.Source{Name: e.sender, Incarnation: e.incarnation}, e.clock)
	}
	for _, item := range e.sections {
		if !a.handleSection(at, e, item) {
			err = errMalformed
		}
	}
	if err != nil {
		a.transport.dropped[err]++
		return
	}
	a.transport.received++
}

// handleSection passes one section to its core and reports whether it was well formed. A displaced gateway handles only membership
// messages and health reports. Sections of unknown kinds are ignored.
func (a *Agent) handleSection(at admission.Time, e *envelope, item section) bool {
	displaced := a.members.IsInactive()
	switch item.kind {
	case membershipSection:
		return a.members.HandleMessage(at, item.payload) == nil
	case quotaSection:
		message, err := quota.Decode(item.payload)
		if err != nil || message.Sender != e.sender || message.SenderIncarnation != e.incarnation {
			return false
		}
		if a.quota != nil && !displaced {
			a.quota.handleMessage(at, message)
		}
	case countersSection:
		if a.counters.core != nil && !displaced {
			return a.counters.core.HandleMessage(at, e.sender, e.incarnation, item.payload) == nil
		}
	case policySection:
		if a.policies != nil && !displaced {
			return a.policies.handleFragment(at, e, item.payload) == nil
		}
	case healthReportSection:
		if a.health.accepts(at) {
			return a.health.handleReport(at, e, item.payload) == nil
		}
	}
	return true
}

// livingMembers returns the names of the other members that are alive.
func (a *Agent) livingMembers() (names []string) {
	for _, m := range a.members.Members() {
		if m.State == membership.Alive {
			names = append(names, m.Name)
		}
	}
	return names
}
