// Package installation starts one installation on loopback: fakes of engines and of the discovery service, and gateways as
// processes between them and a load.
package installation

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"magpiebank/internal/testbed/fake"
	"magpiebank/internal/testbed/faultproxy"
)

// Class is a class as gateways are told of it.
type Class struct {
	Name             string
	LatencyObjective time.Duration
	MaxWait          time.Duration // that its clients wait
	Weight           float64
	LateShare        float64 // share of the weight that is earned after the latency objective
	Effect           string  // idempotent, deduplicated or unrepeatable
	Threads          int     // of one of its requests on an engine
	Load             bool    // it loads tables, so that others wait for it
	BlockedByLoads   bool    // its requests wait for loads
}

// Plan is what an installation consists of.
type Plan struct {
	Gateways       int
	Engines        int
	Zones          []string // engines stand in them in turn
	Cores          float64  // of an engine
	Classes        []Class
	Behavior       fake.EngineBehavior
	MemoryMB       int // of a gateway
	Sockets        int
	ConnectWithin  time.Duration
	IdleTimeout    time.Duration // after which engines close connections
	Seed           int64
	Program        string   // the gateway's; empty: magpiebank beside this program
	ExtraArguments []string // arguments after serve --config FILE

	Cluster    *Cluster                    // the gateways speak to each other; nil: they don't
	Proxies    *faultproxy.Network         // through which all messages between processes go; nil: they reach each other directly
	Durable    bool                        // each keeps a request journal in a folder of its own
	NotStarted []string                    // gateways that are not started
	SlowStart  SlowStart                   // engines that have just started are slow, and tip over
	Env        func(label string) []string // further environment variables of a process; a twin has a label of its own
}

// SlowStart is how engines start: at a share of their speed, warm after a time. Sent more than Factor times what they can do for the
// time Tip, they are overloaded.
type SlowStart struct {
	Share, OverloadFactor float64
	WarmUp, OverloadAfter time.Duration
}

// effectNames are the platform's words for effects.
var effectNames = map[string]string{"idempotent": "read_like", "deduplicated": "idempotency_key", "unrepeatable": "non_idempotent"}

// Check returns an error for the first field that is wrong.
func (p *Plan) Check() error {
	if p.Gateways < 1 || p.Gateways > 64 || p.Engines < 1 || p.Engines > 1000 || len(p.Zones) == 0 || len(p.Classes) == 0 {
		return errors.New("site: expected 1 to 64 gateways, 1 to 1000 engines, and at least one zone and one lane")
	}
	for i, class := range p.Classes {
		if effectNames[class.Effect] == "" {
			return fmt.Errorf("site.lanes[%d].effect: expected idempotent, deduplicated or unrepeatable, found %q", i, class.Effect)
		}
	}
	return nil
}

// Installation is an installation that is up.
type Installation struct {
	Engines     []*fake.Engine
	Discovery   *fake.Discovery
	Discoveries []*fake.Discovery // with proxies, one for each gateway, as each reaches engines through its own; else the one
	Log         *fake.ExecutionLog
	Gateways    []*Gateway
	Folder      string
	plan        Plan
	endpoints   []fake.Endpoint
}

// readyWithin is how long a gateway may take until it accepts connections.
const readyWithin = 5 * time.Second

// Start starts an installation; files go to a folder. On an error all that was started is stopped.
func Start(p Plan, folder string) (*Installation, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	if err := p.findProgram(); err != nil {
		return nil, err
	}
	s := &Installation{plan: p, Folder: folder, Log: fake.NewExecutionLog()}
	if err := s.start(); err != nil {
		s.Stop()
		return s, err
	}
	return s, nil
}

// findProgram completes the path of the gateway's program, and checks that it is there.
func (p *Plan) findProgram() error {
	if p.Program == "" {
		executable, err := os.Executable()
		if err != nil {
			return err
		}
		p.Program = filepath.Join(filepath.Dir(executable), "magpiebank")
	}
	if _, err := os.Stat(p.Program); err != nil {
		return fmt.Errorf("the gateway's program: %w (build both with: go build -o bin/ ./cmd/...)", err)
	}
	return nil
}

func (s *Installation) start() error {
	for i := range s.plan.Engines {
		if err := s.startEngine(i); err != nil {
			return err
		}
	}
	if s.plan.Proxies == nil {
		discovery, err := fake.StartDiscovery("127.0.0.1:0", s.endpoints)
		if err != nil {
			return err
		}
		s.Discovery = discovery
		s.Discoveries = []*fake.Discovery{discovery}
	}
	for i := range s.plan.Gateways {
		gateway, err := s.newGateway("g"+strconv.Itoa(i), i)
		if err != nil {
			return err
		}
		s.Gateways = append(s.Gateways, gateway)
	}
	if s.Discovery == nil {
		s.Discovery = s.Discoveries[0]
	}
	if s.plan.Cluster != nil {
		if err := s.formCluster(); err != nil {
			return err
		}
	}
	return s.startGateways()
}

// addressAttempts is how many addresses are tried for an engine, as another process may take a free one first.
const addressAttempts = 3

// startEngine starts an engine on an address to which it returns after it has refused connections for a while.
func (s *Installation) startEngine(i int) error {
	name := fmt.Sprintf("e-%03d", i+1)
	var engine *fake.Engine
	var err error
	for range addressAttempts {
		address, addressErr := freeAddress()
		if addressErr != nil {
			return addressErr
		}
		engine, err = fake.StartEngine(name, address, s.plan.Behavior, s.Log, uint64(s.plan.Seed)+uint64(i))
		if err == nil {
			break
		}
	}
	if err != nil {
		return err
	}
	s.Engines = append(s.Engines, engine)
	s.endpoints = append(s.endpoints, fake.Endpoint{
		ID:      name,
		Address: engine.Address,
		Zone:    s.plan.Zones[i%len(s.plan.Zones)],
		Kind:    "std",
		Cell:    i / 4,
		State:   "Ready",
		Weight:  int(s.plan.Cores),
	})
	return nil
}

// startGateways starts the gateways that the plan has up, and waits until they accept connections.
func (s *Installation) startGateways() error {
	started := slices.DeleteFunc(slices.Clone(s.Gateways), func(g *Gateway) bool { return slices.Contains(s.plan.NotStarted, g.Name) })
	for _, gateway := range started {
		if err := gateway.Start(); err != nil {
			return err
		}
	}
	for _, gateway := range started {
		if err := gateway.waitUntilReady(readyWithin); err != nil {
			return err
		}
	}
	return nil
}

// Targets are the gateways' addresses.
func (s *Installation) Targets() (addresses []string) {
	for _, gateway := range s.Gateways {
		addresses = append(addresses, gateway.Address)
	}
	return addresses
}

// PublishState has the discovery service publish a state of an engine: Ready, Terminating or Gone.
func (s *Installation) PublishState(engine int, state string) {
	endpoint := s.endpoints[engine]
	endpoint.State = state
	if state == "Ready" {
		endpoint.Started = time.Now().UnixMilli()
	}
	for i, discovery := range s.Discoveries {
		published := endpoint
		if s.plan.Proxies != nil {
			published.Address = s.Gateways[i].engineAddresses[engine]
		}
		discovery.Publish(published)
	}
}

// Stop ends all of it.
func (s *Installation) Stop() {
	for _, g := range s.Gateways {
		g.Kill()
	}
	for _, e := range s.Engines {
		e.Close()
	}
	for _, l := range s.Discoveries {
		l.Close()
	}
	if s.plan.Proxies != nil {
		s.plan.Proxies.Close()
	}
}

// Zone is the zone of an engine.
func (s *Installation) Zone(engine int) string { return s.endpoints[engine].Zone }

// portCounter is the number of the next port to try. It begins at one that follows from the process id. All lie below the ephemeral ports,
// so that no connection of the testbed's takes one before its gateway does.
var portCounter atomic.Int32

func init() { portCounter.Store(int32(os.Getpid()) * 331 % 20000) }

// freeAddress is one on loopback that nobody listens on, for streams and datagrams; gateways come back to it after a restart.
func freeAddress() (string, error) {
	for range 20000 {
		address := fmt.Sprintf("127.0.0.1:%d", 10000+portCounter.Add(1)%20000)
		if isFree(address) {
			return address, nil
		}
	}
	return "", errors.New("site: no port between 10000 and 30000 is free")
}

// isFree tells whether nobody listens on an address, neither for streams nor for datagrams.
func isFree(address string) bool {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return false
	}
	listener.Close()
	socket, err := config.ListenPacket(context.Background(), "udp", address)
	if err != nil {
		return false
	}
	return socket.Close() == nil
}
