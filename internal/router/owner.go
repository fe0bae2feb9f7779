package router

import (
	"context"
	"log/slog"
	"math"
	"net"
	"sync/atomic"

	"magpiebank/internal/admission"
	"magpiebank/internal/config"
	"magpiebank/internal/eventqueue"
	"magpiebank/internal/traffic/capture"
)

// owner holds the state of the gateway and calls the admission controller. The goroutine of run handles the events, and
// owns now, admission, requests, engines, sessions and listings. post, postAttemptEnd and the methods in router.go and
// shutdown.go may run on other goroutines, and touch none of these while it runs. Other goroutines reach it through events; it reaches them through
// the queues of sessions and the wake-up channels of engines, and never waits for either.
type owner struct {
	clock          Clock
	events         *eventqueue.Queue[queuedEvent]
	handle         func(now admission.Time, e event) // handleEvent
	log            *slog.Logger
	network        *config.Network
	deployment     *admission.Deployment
	resourceGroups ResourceGroups    // nil if the operator has no classes
	journal        *Journal          // nil if requests are not recorded
	peers          Peers             // nil if this gateway has no peers
	capture        *capture.Recorder // nil if requests are not captured
	clients        connectionLimiter
	usage          processUsage
	stopped        atomic.Bool

	// dial connects to an engine within the deployment's connect timeout.
	dial func(address string) (net.Conn, error)
	// newEngineClient makes the client for a newly listed engine.
	newEngineClient func(name admission.EngineID, address string) engineClient

	now       admission.Time
	admission *admission.Controller
	requests  map[admission.RequestID]*request // accepted and without a final answer
	engines   map[admission.EngineID]engineClient
	sessions  map[uint32]*clientSession                 // by connection id
	listings  map[admission.EngineID]admission.Endpoint // kept for the journal alone
}

// processUsage counts what the process uses of its limited resources. Every goroutine may read and change the counters.
type processUsage struct {
	statementBytes    atomic.Int64 // allocated for long statements
	maxStatementBytes int64        // 0: no limit

	engineConnections     atomic.Int64 // for attempts and health checks
	engineConnectionLimit int64        // from this number on attempts share connections

	openConnections atomic.Int64 // of all kinds, until their end is logged
}

const (
	// reservedDescriptors is the number of descriptors that the process needs besides connections of clients and engines:
	// its streams, the poller's, the listener, the discovery connection, files that are being read, and connections
	// that end while their successors begin.
	reservedDescriptors = 24
	// engineDescriptorShare is the part of the descriptors, one in so many, that connections to engines may hold before
	// attempts share them.
	engineDescriptorShare = 3
	// statementMemoryShare is the part of the memory limit, one in so many, that long statements may hold.
	statementMemoryShare = 16
)

// newOwner returns the owner of a gateway that is configured by start. Nothing runs yet.
func newOwner(start *config.Config, clock Clock, log *slog.Logger) *owner {
	o := &owner{
		clock:      clock,
		events:     eventqueue.New[queuedEvent](),
		log:        log,
		network:    start.Network,
		deployment: start.Deployment,
		now:        clock.Now(),
		sessions:   map[uint32]*clientSession{},
		requests:   map[admission.RequestID]*request{},
		engines:    map[admission.EngineID]engineClient{},
	}
	o.handle = o.handleEvent
	o.dial = func(address string) (net.Conn, error) {
		dialer := net.Dialer{Timeout: o.network.ConnectTimeout}
		return dialer.DialContext(context.Background(), "tcp", address)
	}
	o.newEngineClient = func(name admission.EngineID, address string) engineClient { return newEnginePool(o, name, address) }
	o.usage.engineConnectionLimit = math.MaxInt64
	if descriptors := start.MaxDescriptors; descriptors > 0 {
		forEngines := descriptors / engineDescriptorShare
		o.usage.engineConnectionLimit = int64(forEngines)
		// By the protocol clients hold a third of the descriptors. What remains beyond that lets the limiter meet
		// connections that should not be there.
		o.clients.limit = max(descriptors/3, descriptors-forEngines-reservedDescriptors)
	}
	o.usage.maxStatementBytes = int64(start.MemoryMB) << 20 / statementMemoryShare
	o.admission = admission.New(o.now, start.Seed, start.Deployment, host{o})
	return o
}

// setResourceGroups installs an operator's rules. It must be called before the first event is handled.
func (o *owner) setResourceGroups(groups ResourceGroups) {
	if groups == nil {
		return
	}
	o.resourceGroups = groups
	o.admission.SetPolicy(groups)
}

// setJournal has requests recorded, and restores what the previous process knew. It must be called before the first event
// is handled.
func (o *owner) setJournal(journal *Journal) {
	if journal == nil {
		return
	}
	o.journal = journal
	o.listings = map[admission.EngineID]admission.Endpoint{}
	if journal.Snapshot != nil {
		o.admission.RestoreSnapshot(o.now, journal.Snapshot)
	}
}

// run handles events until stop is closed.
func (o *owner) run(stop <-chan struct{}) {
	dispatch := o.dispatch
	for {
		select {
		case <-o.events.Wake:
			o.events.Drain(dispatch)
		case <-stop:
			return
		}
	}
}
