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

// owner holds the gateway's state and calls the admission controller. Only the goroutine that executes run, called the owner's
// goroutine, handles events and uses the fields now, admission, requests, engines, sessions and listings. post, postAttemptEnd
// and the methods in router.go and shutdown.go may be called from other goroutines; they don't use these fields while run
// executes. Other goroutines send events to the owner. The owner reaches them through the sessions' event queues and the
// engines' wake-up channels, and never blocks on either.
type owner struct {
	clock          Clock
	events         *eventqueue.Queue[queuedEvent]
	handle         func(now admission.Time, e event) // handleEvent; tests replace it
	log            *slog.Logger
	network        *config.Network
	deployment     *admission.Deployment
	resourceGroups ResourceGroups    // nil without an operator's policy
	journal        *Journal          // nil if requests are not recorded
	peers          Peers             // nil if the gateway exchanges no messages with others
	capture        *capture.Recorder // nil if requests are not captured
	clients        connectionLimiter
	usage          processUsage
	stopped        atomic.Bool

	// dial connects to an engine. The deployment's connect timeout applies.
	dial func(address string) (net.Conn, error)
	// newEngineClient creates the client of a newly listed engine.
	newEngineClient func(name admission.EngineID, address string) engineClient

	now       admission.Time
	admission *admission.Controller
	requests  map[admission.RequestID]*request // accepted requests without a final answer
	engines   map[admission.EngineID]engineClient
	sessions  map[uint32]*clientSession                 // by connection id
	listings  map[admission.EngineID]admission.Endpoint // used for the journal only
}

// processUsage counts how much of its limited resources the process uses. Any goroutine may read and change the counters.
type processUsage struct {
	statementBytes    atomic.Int64 // bytes allocated for long statements
	maxStatementBytes int64        // 0: no limit

	engineConnections     atomic.Int64 // connections for attempts and health checks
	engineConnectionLimit int64        // at or above this number of connections, attempts share connections

	openConnections atomic.Int64 // connections of all kinds whose end is not logged yet
}

const (
	// reservedDescriptors is the number of descriptors that the process needs besides connections to clients and engines:
	// the standard streams, the network poller, the listener, the discovery connection, files being read, and connections
	// that are closing while their replacements are already open.
	reservedDescriptors = 24
	// engineDescriptorShare is the divisor for the descriptors of connections to engines. Above 1/engineDescriptorShare of
	// all descriptors, attempts share connections.
	engineDescriptorShare = 3
	// statementMemoryShare is the divisor for the memory of long statements: 1/statementMemoryShare of the memory limit.
	statementMemoryShare = 16
)

// newOwner returns the owner of a gateway with the configuration start. It starts no goroutine.
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
		// According to the protocol, clients use at most a third of the descriptors. The limit also includes descriptors that
		// would otherwise be unused, so that the limiter can handle client connections beyond that third.
		o.clients.limit = max(descriptors/3, descriptors-forEngines-reservedDescriptors)
	}
	o.usage.maxStatementBytes = int64(start.MemoryMB) << 20 / statementMemoryShare
	o.admission = admission.New(o.now, start.Seed, start.Deployment, host{o})
	return o
}

// setResourceGroups installs the operator's rules, if there are any. It must be called before the first event is handled.
func (o *owner) setResourceGroups(groups ResourceGroups) {
	if groups == nil {
		return
	}
	o.resourceGroups = groups
	o.admission.SetPolicy(groups)
}

// setJournal installs the journal that records requests, if there is one, and restores the previous process's snapshot. It must
// be called before the first event is handled.
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
