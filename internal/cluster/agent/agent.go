// Package agent connects a gateway to the other gateways of its installation. One goroutine steps the protocol cores that
// the gateways run together: membership (which gateways are up), healthreport (what the gateways observed of engines), quota
// (what classes may use over all gateways), counters (how many requests there are) and rollout (which policy is in force).
// The agent sends the cores' messages over UDP, encrypted with a key that all gateways share. The router's owner, the
// goroutine that makes the gateway's decisions, passes its observations to the agent, and the agent passes its findings to
// the router's owner. Neither waits for the other.
package agent

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/history"
	"magpiebank/internal/cluster/membership"
	"magpiebank/internal/config"
	"magpiebank/internal/eventqueue"
	"magpiebank/internal/router"
)

// Agent makes this gateway a member of the cluster of gateways. Most exported methods are only for the router's
// owner; TryBeginWrite, EndWrite, ActivePolicy, HistoryNow and ReplaceQuota may be called from any goroutine. Once the agent has
// started, its goroutine owns the fields and calls the unexported methods, unless a comment says otherwise.
type Agent struct {
	config   Config
	name     string // name of the gateway
	gateways int    // number of gateways in the installation
	log      *slog.Logger
	clock    router.Clock
	listener router.PeerListener

	queue      *eventqueue.Queue[event]
	stop       chan struct{}  // closed to end the agent's goroutine
	ended      chan struct{}  // closed when the agent's goroutine has ended
	goroutines sync.WaitGroup // all other goroutines that the agent starts

	transport transport
	control   *controlServer  // nil: no control socket is configured
	history   *history.Writer // nil: no history is written
	wake      wakeMonitor

	members     *membership.Core
	incarnation uint64 // incarnation of this process, as last read from members
	health      healthSharing
	counters    counterSharing
	quota       *quotaSharing // nil: the gateways share no budgets
	slowStart   *slowStart    // used by the router's owner; nil: slow start has no shared budgets

	policyReader PolicyReader                 // set before Start
	policies     *policyRollout               // nil: each gateway applies the policy of its own file
	activePolicy atomic.Pointer[ActivePolicy] // nil: each gateway applies the policy of its own file
	writing      atomic.Int32                 // attempts that were allowed and are being written to an engine
}

// New returns the agent of a gateway. It reads the key file, but opens no sockets or other files; Start does.
func New(options Config, startConfig *config.Config, log *slog.Logger) (*Agent, error) {
	if options.Advertise == "" {
		options.Advertise = options.Listen
	}
	if err := options.validateAddresses(startConfig.Name); err != nil {
		return nil, err
	}
	key, err := readKey(options.Key)
	if err != nil {
		return nil, err
	}
	if err := options.validatePolicy(startConfig.Name); err != nil {
		return nil, err
	}
	a := &Agent{
		config:   options,
		name:     startConfig.Name,
		gateways: startConfig.Deployment.Gateways,
		log:      log,
		queue:    eventqueue.New[event](),
		stop:     make(chan struct{}),
		ended:    make(chan struct{}),
	}
	a.transport = newTransport(a, key)
	a.health = newHealthSharing(a, startConfig)
	longestWait := slices.Max(startConfig.Network.LongestWaits)
	if longestWait <= 0 {
		longestWait = time.Hour // not configured; no client should wait longer
	}
	a.counters = counterSharing{agent: a, classes: startConfig.Network.Classes, maxRequests: int64(startConfig.MaxDescriptors), longestWait: ticks(longestWait)}
	if options.Quota == nil {
		return a, nil
	}
	if err := options.Quota.validateClasses(startConfig); err != nil {
		return nil, err
	}
	a.quota, err = newQuotaSharing(a, startConfig, longestWait)
	if err != nil {
		return nil, err
	}
	return a, nil
}

// Start opens the sockets and files and starts the agent's goroutines. The agent notifies the listener of what the other
// gateways report.
func (a *Agent) Start(clock router.Clock, listener router.PeerListener) error {
	a.clock, a.listener = clock, listener
	if err := a.open(); err != nil {
		a.close()
		return err
	}
	a.log.Info("fleet", "code", "begun", "address", a.config.Advertise, "seeds", len(a.config.Seeds), "start", a.incarnation)
	a.goroutines.Go(a.receiveDatagrams)
	go a.run()
	if a.control != nil {
		a.goroutines.Go(a.control.acceptConnections)
	}
	return nil
}

// open opens the sockets and files that the configuration names and creates the cores.
func (a *Agent) open() error {
	if err := a.transport.listen(a.config.Listen); err != nil {
		return fmt.Errorf("fleet.listen: %w", err)
	}
	// If two processes have the same name, the one with the higher incarnation keeps it. The start time serves as incarnation,
	// so that the later process has the higher one.
	a.incarnation = uint64(time.Now().Add(mutations.startClockOffset()).UnixNano())
	if err := a.openHistory(); err != nil {
		return err
	}
	if a.config.ControlSocket != "" {
		control, err := newControlServer(a, a.config.ControlSocket)
		if err != nil {
			return fmt.Errorf("fleet.control: %w", err)
		}
		a.control = control
	}
	now := a.clock.Now()
	self := membership.Member{Name: a.name, Incarnation: a.incarnation, Address: a.config.Advertise}
	a.members = membership.New(now, self, a.config.Seeds, rand.New(rand.NewPCG(a.incarnation, 1)), membershipHost{a})
	a.health.begin()
	a.history.Write(history.Event{Kind: history.ProcessStarted, Number: int(1000 * a.health.ejectionShare), State: a.config.Advertise})
	if a.config.ShareCounters {
		a.counters.begin(now)
	}
	if a.quota != nil {
		if err := a.quota.begin(now); err != nil {
			return err
		}
		a.slowStart = newSlowStart(a)
		a.quota.recordTotals(a.config.Quota)
	}
	if a.config.Policy == nil {
		return nil
	}
	policies, err := newPolicyRollout(a, now)
	if err != nil {
		return err
	}
	a.policies = policies
	return nil
}

func (a *Agent) openHistory() error {
	if a.config.HistoryFile == "" {
		return nil
	}
	writer, err := history.Open(a.config.HistoryFile, a.name, a.incarnation)
	if err != nil {
		return err
	}
	a.history = writer
	return nil
}

// close closes the sockets, for Start and Stop. That ends the goroutines that read from them.
func (a *Agent) close() {
	if a.transport.socket != nil {
		_ = a.transport.socket.Close() // closing a UDP socket loses no data
	}
	if a.control != nil {
		a.control.listener.Close()
	}
}

// Stop notifies the other gateways that this one leaves, ends the agent's goroutines and waits until they have ended.
func (a *Agent) Stop() {
	close(a.stop)
	<-a.ended
	a.close()
	a.goroutines.Wait()
	a.history.Write(history.Event{Kind: history.ProcessStopped})
	if err := a.history.Close(); err != nil {
		a.log.Warn("fleet", "code", "history", "error", err)
	}
}

// HandleEndpoints queues an update of the gateway's endpoint list for the agent's goroutine. The router's owner calls
// HandleEndpoints, RecordObservation and RecordAttempt.
func (a *Agent) HandleEndpoints(_ admission.Time, kind admission.UpdateKind, endpoints []admission.Endpoint) {
	a.queue.Put(endpointsReceived{kind, endpoints})
}

// RecordObservation queues an observation that this gateway made of an engine itself. capacity is the number of bytes of
// health reports that may be sent in addition from now on.
func (a *Agent) RecordObservation(now admission.Time, engine admission.EngineID, observation admission.Observation, report admission.Report, capacity float64) {
	a.queue.Put(outcomeObserved{now, engine, observation, report, capacity})
}

// RecordAttempt records that an attempt was sent to an engine.
func (a *Agent) RecordAttempt(now admission.Time, request admission.RequestID, engine admission.EngineID) {
	a.slowStart.recordAttempt(now, engine)
	if a.history != nil {
		a.queue.Put(attemptSent{request, engine, a.HistoryNow()})
	}
}

// HistoryNow returns the current time on the clock of histories, or 0 if no history is written. A caller that is about to make
// a decision passes it on as the time at which it read the state that the decision rests on.
func (a *Agent) HistoryNow() int64 {
	if a.history == nil {
		return 0
	}
	return history.Now()
}
