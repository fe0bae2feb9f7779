// Package agent joins a gateway to the other gateways of its installation. One goroutine steps the cores that the
// gateways share: who is there (membership), what they saw of engines (healthreport), what classes may use over all of
// them (quota), how many requests there are (counters) and which policy is in force (rollout). It carries the cores'
// messages over UDP, sealed with one key. The router's owner notifies the agent of what it saw, and is notified of what
// was found; neither waits for the other.
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

// Agent is this gateway's part in the cluster of gateways. Most exported methods are for the router's owner;
// TryBeginWrite, EndWrite, ActivePolicy, HistoryNow and ReplaceQuota may be called from any goroutine. Everything else
// belongs to the agent's goroutine, unless a field says otherwise.
type Agent struct {
	config   Config
	name     string // of the gateway
	gateways int    // of the installation
	log      *slog.Logger
	clock    router.Clock
	listener router.PeerListener

	queue      *eventqueue.Queue[event]
	stop       chan struct{}  // closed to end the agent's goroutine
	ended      chan struct{}  // closed once it has ended
	goroutines sync.WaitGroup // all others that the agent starts

	transport transport
	control   *controlServer  // nil: there is none
	history   *history.Writer // nil: there is none
	wake      wakeMonitor

	members   *membership.Core
	start     uint64 // of this process among the members, as it was last looked at
	health    healthSharing
	counters  counterSharing
	quota     *quotaSharing // nil: nothing is shared
	slowStart *slowStart    // of the router's owner; nil: it isn't shared

	policyReader PolicyReader                 // set before Start
	policies     *policyRollout               // nil: each gateway reads its own file
	activePolicy atomic.Pointer[ActivePolicy] // nil: as policies
	writing      atomic.Int32                 // attempts that were allowed and are being written
}

// New returns the agent of a gateway. It opens nothing yet but reads the key file.
func New(options Config, start *config.Config, log *slog.Logger) (*Agent, error) {
	if options.Advertise == "" {
		options.Advertise = options.Listen
	}
	if err := options.validateAddresses(start.Name); err != nil {
		return nil, err
	}
	key, err := readKey(options.Key)
	if err != nil {
		return nil, err
	}
	if err := options.validatePolicy(start.Name); err != nil {
		return nil, err
	}
	a := &Agent{
		config:   options,
		name:     start.Name,
		gateways: start.Deployment.Gateways,
		log:      log,
		queue:    eventqueue.New[event](),
		stop:     make(chan struct{}),
		ended:    make(chan struct{}),
	}
	a.transport = newTransport(a, key)
	a.health = newHealthSharing(a, start)
	longestWait := slices.Max(start.Network.LongestWaits)
	if longestWait <= 0 {
		longestWait = time.Hour // how long clients wait isn't configured: longer than any should
	}
	a.counters = counterSharing{agent: a, classes: start.Network.Classes, maxRequests: int64(start.MaxDescriptors), longestWait: ticks(longestWait)}
	if options.Quota == nil {
		return a, nil
	}
	if err := options.Quota.validateClasses(start); err != nil {
		return nil, err
	}
	a.quota, err = newQuotaSharing(a, start, longestWait)
	if err != nil {
		return nil, err
	}
	return a, nil
}

// Start opens the sockets and files and begins. The listener is told what the other gateways found.
func (a *Agent) Start(clock router.Clock, listener router.PeerListener) error {
	a.clock, a.listener = clock, listener
	if err := a.open(); err != nil {
		a.close()
		return err
	}
	a.log.Info("fleet", "code", "begun", "address", a.config.Advertise, "seeds", len(a.config.Seeds), "start", a.start)
	a.goroutines.Go(a.receiveDatagrams)
	go a.run()
	if a.control != nil {
		a.goroutines.Go(a.control.acceptConnections)
	}
	return nil
}

// open opens what the configuration names and begins the cores.
func (a *Agent) open() error {
	if err := a.transport.listen(a.config.Listen); err != nil {
		return fmt.Errorf("fleet.listen: %w", err)
	}
	// Of two processes under one name the later start counts.
	a.start = uint64(time.Now().Add(mutations.startClockOffset()).UnixNano())
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
	self := membership.Member{Name: a.name, Incarnation: a.start, Address: a.config.Advertise}
	a.members = membership.New(now, self, a.config.Seeds, rand.New(rand.NewPCG(a.start, 1)), membershipHost{a})
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
	writer, err := history.Open(a.config.HistoryFile, a.name, a.start)
	if err != nil {
		return err
	}
	a.history = writer
	return nil
}

// close closes the sockets, which ends the goroutines that read from them.
func (a *Agent) close() {
	if a.transport.socket != nil {
		_ = a.transport.socket.Close() // no data is lost by it
	}
	if a.control != nil {
		a.control.listener.Close()
	}
}

// Stop tells the other gateways that this one leaves, ends the agent's goroutines and waits for them.
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

// HandleEndpoints takes in an update of the endpoint list. The router's owner calls it, as it
// calls RecordObservation and RecordAttempt.
func (a *Agent) HandleEndpoints(_ admission.Time, kind admission.UpdateKind, endpoints []admission.Endpoint) {
	a.queue.Put(endpointsReceived{kind, endpoints})
}

// RecordObservation takes in what the decisions saw of an engine themselves, and the bytes of reports that may be sent
// from now on.
func (a *Agent) RecordObservation(now admission.Time, engine admission.EngineID, observation admission.Observation, report admission.Report, capacity float64) {
	a.queue.Put(outcomeObserved{now, engine, observation, report, capacity})
}

// RecordAttempt takes in that an attempt was sent.
func (a *Agent) RecordAttempt(now admission.Time, request admission.RequestID, engine admission.EngineID) {
	a.slowStart.recordAttempt(now, engine)
	if a.history != nil {
		a.queue.Put(attemptSent{request, engine, a.HistoryNow()})
	}
}

// HistoryNow returns the time by the clock of histories at which something is looked at that is decided by, and 0
// where no history is written.
func (a *Agent) HistoryNow() int64 {
	if a.history == nil {
		return 0
	}
	return history.Now()
}
