package agent

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/config"
)

// wallClock is a router.Clock that follows the system clock.
type wallClock struct{ began time.Time }

func (w wallClock) Now() admission.Time { return ticks(time.Since(w.began) + time.Hour) }
func (w wallClock) After(d admission.Time, f func()) func() {
	t := time.AfterFunc(time.Duration(d)*100*time.Microsecond, f)
	return func() { t.Stop() }
}

// fakeOwner is a router.PeerListener that passes the agent's findings to an admission controller, as the router's owner does.
type fakeOwner struct {
	clock      wallClock
	lock       sync.Mutex
	controller *admission.Controller
}

// discardHost is a host of an admission controller that ignores all calls.
type discardHost struct{}

func (discardHost) SendAttempt(admission.RequestID, admission.EngineID, admission.Time, admission.Time) {
}
func (discardHost) CancelAttempt(admission.RequestID, int)              {}
func (discardHost) RejectRequest(admission.RequestID, admission.Time)   {}
func (discardHost) FailRequest(admission.RequestID)                     {}
func (discardHost) SetAttemptOptions(admission.RequestID, float64, int) {}
func (discardHost) ProbeEngine(admission.EngineID)                      {}
func (discardHost) SubscribeEndpoints()                                 {}
func (discardHost) HasSlowStartCapacity(admission.EngineID, float64) (capacity, shared bool) {
	return false, false
}
func (discardHost) ScheduleTick(admission.Time) {}
func (discardHost) LogEvent(string)             {}
func (discardHost) ReportObservation(admission.EngineID, admission.Observation, admission.Report, float64) {
}

func (o *fakeOwner) HandlePeerReport(report *admission.PeerReport) {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.controller.HandlePeerReport(o.clock.Now(), report)
}

func (o *fakeOwner) HandleCapacityChange() {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.controller.HandleCapacityChange(o.clock.Now())
}

func (o *fakeOwner) updateEndpoints(endpoints []admission.Endpoint) {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.controller.UpdateEndpoints(o.clock.Now(), admission.FullUpdate, endpoints)
}

const testGateways = 4

// cluster is a set of agents in one process.
type cluster struct {
	clock  wallClock
	agents []*Agent
}

func startCluster(t *testing.T) *cluster {
	t.Helper()
	folder := t.TempDir()
	writeKey(t, filepath.Join(folder, "key"), ownKey)
	c := &cluster{clock: wallClock{time.Now()}}
	addresses := unusedAddresses(t)
	for i := range addresses {
		c.agents = append(c.agents, c.startAgent(t, folder, addresses, i))
	}
	return c
}

func unusedAddresses(t *testing.T) (addresses []string) {
	t.Helper()
	for range testGateways {
		socket, err := new(net.ListenConfig).ListenPacket(t.Context(), "udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addresses = append(addresses, socket.LocalAddr().String())
		if err := socket.Close(); err != nil {
			t.Fatal(err)
		}
	}
	return addresses
}

func (c *cluster) startAgent(t *testing.T, folder string, addresses []string, index int) *Agent {
	t.Helper()
	deployment := &admission.Deployment{Gateways: testGateways, GatewayIndex: index, PeerMessages: true, Classes: []admission.Class{{Threads: 1, LatencyObjective: 1000}}}
	startConfig := &config.Config{Name: fmt.Sprint("g", index), Deployment: deployment, Network: &config.Network{Zones: []string{"a"}, LongestWaits: []time.Duration{50 * time.Millisecond}}}
	options := Config{
		Listen:         addresses[index],
		Seeds:          addresses[:2],
		Key:            filepath.Join(folder, "key"),
		BytesPerSecond: 1 << 20,
		ControlSocket:  filepath.Join(folder, startConfig.Name+".sock"),
		HistoryFile:    filepath.Join(folder, startConfig.Name+".history"),
		ShareHealth:    true,
		Quota:          &QuotaConfig{Voters: []string{"g0", "g1", "g2"}, ShareTerm: time.Second, Revision: 1, Names: []string{"c"}, Totals: []int64{6}},
	}
	a, err := New(options, startConfig, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	o := &fakeOwner{clock: c.clock, controller: admission.New(c.clock.Now(), 1, deployment, discardHost{})}
	if err := a.Start(c.clock, o); err != nil {
		t.Fatal(err)
	}
	endpoints := []admission.Endpoint{{Engine: "e1"}, {Engine: "e2"}, {Engine: "e3"}, {Engine: "e4"}}
	a.HandleEndpoints(c.clock.Now(), admission.FullUpdate, endpoints)
	o.updateEndpoints(endpoints)
	return a
}

// status requests a gateway's status over its control socket.
func (c *cluster) status(t *testing.T, index int) *Status {
	t.Helper()
	status, err := FetchStatus(c.agents[index].config.ControlSocket)
	if err != nil {
		t.Fatal(err)
	}
	return status
}

// eventually waits until a condition holds, and fails the test if it doesn't within 20 seconds.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	const timeout = 20 * time.Second
	for deadline := time.Now().Add(timeout); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the condition doesn't hold within %v", timeout)
		}
	}
}

// The agents of four gateways run in one process, so that the race detector sees all of them. Each subtest continues from the state
// in which the previous one ended.
func TestGatewaysJoin(t *testing.T) {
	c := startCluster(t)
	for _, phase := range []struct {
		name      string
		condition func(t *testing.T) func() bool
	}{
		{"all know each other", c.allAreKnown},
		{"three gateways' failures reach the fourth", c.failuresAreReported},
		{"one gateway borrows threads of the others and never uses more than the total", c.threadsAreBorrowed},
		{"the others know that one left", c.lastGatewayHasLeft},
	} {
		if !t.Run(phase.name, func(t *testing.T) { eventually(t, phase.condition(t)) }) {
			break
		}
	}
	for _, a := range c.agents[:testGateways-1] {
		a.Stop()
	}
}

func (c *cluster) allAreKnown(t *testing.T) func() bool {
	t.Helper()
	return func() bool {
		for i := range c.agents {
			if len(c.status(t, i).Members) != testGateways-1 {
				return false
			}
		}
		return true
	}
}

func (c *cluster) failuresAreReported(t *testing.T) func() bool {
	t.Helper()
	return func() bool {
		for _, a := range c.agents[:testGateways-1] {
			a.RecordObservation(c.clock.Now(), "e2", admission.Erred, admission.NoReport, 1e9)
			a.RecordAttempt(c.clock.Now(), "t", "e2")
		}
		return c.status(t, testGateways-1).Engines[1].FailureScore >= 3
	}
}

// threadsAreBorrowed returns a condition that has the last gateway use one more thread each time it is checked, until the gateway has
// borrowed three threads. It fails the test if the gateway uses more threads than the total.
func (c *cluster) threadsAreBorrowed(t *testing.T) func() bool {
	t.Helper()
	const total = 6
	a := c.agents[testGateways-1]
	var lock sync.Mutex
	used, highest := 0, 0
	add := func(threads int) {
		lock.Lock()
		defer lock.Unlock()
		used += threads
		highest = max(highest, used)
	}
	return func() bool {
		now := c.clock.Now()
		a.SetDemand(now, 0, total)
		if a.TryReserve(now, 0, 1) && a.CommitReservation(now, 0, 1) {
			add(1)
			time.AfterFunc(40*time.Millisecond, func() {
				add(-1)
				a.Release(c.clock.Now(), 0, 1)
			})
		}
		lock.Lock()
		defer lock.Unlock()
		if highest > total {
			t.Fatalf("%d threads are used, the total is %d", highest, total)
		}
		return c.status(t, testGateways-1).Budgets[0].Borrowed >= 3
	}
}

func (c *cluster) lastGatewayHasLeft(t *testing.T) func() bool {
	t.Helper()
	c.agents[testGateways-1].Stop()
	return func() bool {
		for _, m := range c.status(t, 0).Members {
			if m.Name == "g3" {
				return m.State == "left"
			}
		}
		return false
	}
}

// Guards against a Stop that waits for a client of the control socket that sends nothing: Stop has to end all goroutines, but closes
// the connection of such a client.
func TestStopDisconnectsSilentClients(t *testing.T) {
	c := startCluster(t)
	client, err := new(net.Dialer).DialContext(t.Context(), "unix", c.agents[0].config.ControlSocket)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	c.status(t, 0) // connections are accepted in order, so the silent one has been accepted too
	began := time.Now()
	for _, a := range c.agents {
		a.Stop()
	}
	if elapsed := time.Since(began); elapsed >= controlTimeout {
		t.Errorf("expected the agents to stop within less than controlTimeout, %v; it took %v", controlTimeout, elapsed)
	}
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("expected the connection to be closed, found %v", err)
	}
}
