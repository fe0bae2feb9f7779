// Package installation starts an installation on the loopback interface: fake engines, a fake discovery service, and real gateway
// processes between a load and the engines.
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

// Class is a class of requests in the configuration of the gateways.
type Class struct {
	Name             string
	LatencyObjective time.Duration
	MaxWait          time.Duration // deadline of its clients
	Weight           float64
	LateShare        float64 // share of the weight that a request earns if it is served after the latency objective
	Effect           string  // idempotent, deduplicated or unrepeatable
	Threads          int     // threads that one of its requests uses on an engine
	Load             bool    // its requests load tables, and classes with BlockedByLoads wait for them
	BlockedByLoads   bool    // its requests wait while loads run
}

// Plan describes an installation that Start can start.
type Plan struct {
	Gateways       int
	Engines        int
	Zones          []string // the engines are assigned to the zones in turn
	Cores          float64  // cores of an engine
	Classes        []Class
	Behavior       fake.EngineBehavior
	MemoryMB       int // memory limit of a gateway
	Sockets        int
	ConnectWithin  time.Duration
	IdleTimeout    time.Duration // time after which engines close idle connections
	Seed           int64
	Program        string   // path of the gateway's program; empty: magpiebank in the folder of the running program
	ExtraArguments []string // arguments of the gateways after "serve --config FILE"

	Cluster    *Cluster                    // nil: the gateways exchange no messages
	Proxies    *faultproxy.Network         // relays all messages between the processes; nil: the processes connect directly
	Durable    bool                        // each gateway has a request journal in its own folder
	NotStarted []string                    // names of gateways that Start does not start
	SlowStart  SlowStart                   // how slow engines are after a start, and how they become overloaded
	Env        func(label string) []string // returns additional environment variables for the gateway with the label
}

// SlowStart describes engines that start at a share of their speed and reach full speed after WarmUp. They become overloaded if, for the
// time OverloadAfter, they are sent more than OverloadFactor times the work that they can do.
type SlowStart struct {
	Share, OverloadFactor float64
	WarmUp, OverloadAfter time.Duration
}

// effectNames maps the values of Class.Effect to their names in the gateways' configuration.
var effectNames = map[string]string{"idempotent": "read_like", "deduplicated": "idempotency_key", "unrepeatable": "non_idempotent"}

// Check returns an error if a field of the plan is invalid.
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

// Installation is an installation that has been started.
type Installation struct {
	Engines     []*fake.Engine
	Discovery   *fake.Discovery
	Discoveries []*fake.Discovery // with proxies, one per gateway, because each gateway has its own proxies to the engines; otherwise only Discovery
	Log         *fake.ExecutionLog
	Gateways    []*Gateway
	Folder      string
	plan        Plan
	endpoints   []fake.Endpoint
}

// readyWithin is the time within which a started gateway must accept connections.
const readyWithin = 5 * time.Second

// Start starts an installation, which writes its files to the folder. If it returns an error, it has stopped what it had started.
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

// findProgram sets the path of the gateway's program if it is empty, and checks that the program exists.
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

// addressAttempts is the number of addresses that are tried for an engine, because another process may take a free address first.
const addressAttempts = 3

// startEngine starts an engine at a free address. The engine uses the same address again after it has refused connections for a while.
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

// startGateways starts all gateways except those in plan.NotStarted, and waits until they accept connections.
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

// Targets returns the addresses of the gateways.
func (s *Installation) Targets() (addresses []string) {
	for _, gateway := range s.Gateways {
		addresses = append(addresses, gateway.Address)
	}
	return addresses
}

// PublishState has all discovery services publish the state of an engine: Ready, Terminating or Gone. With Ready, the engine's start is
// the current time.
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

// Stop stops all gateways, engines, discovery services and proxies.
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

// Zone returns the zone of an engine.
func (s *Installation) Zone(engine int) string { return s.endpoints[engine].Zone }

// portCounter determines the next port to try, which is 10000 plus the counter modulo 20000. It starts at a value that depends on the
// process id. All these ports are below the ephemeral ports, so that no outgoing connection of the testbed takes a port that was chosen
// for a gateway.
var portCounter atomic.Int32

func init() { portCounter.Store(int32(os.Getpid()) * 331 % 20000) }

// freeAddress returns a loopback address whose port is free for both TCP and UDP. Gateways use it again after a restart.
func freeAddress() (string, error) {
	for range 20000 {
		address := fmt.Sprintf("127.0.0.1:%d", 10000+portCounter.Add(1)%20000)
		if isFree(address) {
			return address, nil
		}
	}
	return "", errors.New("site: no port between 10000 and 30000 is free")
}

// isFree reports whether an address is free for both TCP and UDP.
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
