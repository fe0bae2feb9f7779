package router

import (
	"cmp"
	"log/slog"
	"math"
	"net"
	"slices"
	"sync/atomic"

	"magpiebank/internal/admission"
	"magpiebank/internal/config"
	"magpiebank/internal/eventqueue"
	"magpiebank/internal/storage/requestjournal"
	"magpiebank/internal/traffic/capture"
)

// owner is the one goroutine that calls the module. Sockets reach it through its inbox, and it reaches them
// through the mailboxes of sessions and the wake-up channels of engines; it never waits for either.
type owner struct {
	clock                 Clock
	events                *eventqueue.Queue[func()]
	log                   *slog.Logger
	network               *config.Network
	deployment            *admission.Deployment
	resourceGroups        ResourceGroups    // nil: there are no classes
	journal               *Journal          // nil: nothing of requests is recorded
	peers                 Peers             // nil: this gateway speaks to no other
	capture               *capture.Recorder // nil: nothing is recorded
	clients               connectionLimiter
	statementBytes        atomic.Int64 // bytes set aside for long statements,
	maxStatementBytes     int64        // and how many may be; 0: no limit
	engineConnections     atomic.Int64 // connections to engines, probes' too,
	engineConnectionLimit int64        // and at how many attempts begin to share theirs
	openConnections       atomic.Int64 // whose line is not in the log yet
	stopped               atomic.Bool

	now             admission.Time
	admission       *admission.Controller
	requests        map[admission.RequestID]*request // taken and without a final answer
	engines         map[admission.EngineID]engineClient
	dial            func(address string) (net.Conn, error)                     // connects to an engine, within the time that the site allows
	newEngineClient func(name admission.EngineID, address string) engineClient // makes one for an engine
	sessions        map[uint32]*clientSession                                  // of the MySQL front, by connection id
	listings        map[admission.EngineID]admission.Endpoint                  // where a record is kept
}

// ownDescriptors is what the process holds besides connections of clients and engines: its streams, the poller's,
// the listener, the engine list's connection, files as they are read; and what ends while its successor begins.
const reservedDescriptors = 24

func newOwner(start *config.Config, clock Clock, log *slog.Logger) *owner {
	o := &owner{clock: clock, events: eventqueue.New[func()](), log: log, network: start.Network, deployment: start.Deployment, now: clock.Now(),
		sessions: map[uint32]*clientSession{}, requests: map[admission.RequestID]*request{},
		engines: map[admission.EngineID]engineClient{}}
	o.dial = func(address string) (net.Conn, error) {
		return net.DialTimeout("tcp", address, o.network.ConnectTimeout)
	}
	o.newEngineClient = func(name admission.EngineID, address string) engineClient { return newEnginePool(o, name, address) }
	// Clients have what engines, which get a third, and the process itself leave of the descriptors; by the
	// protocol they hold a third, so what they have more is for those that should not be there.
	if o.engineConnectionLimit = math.MaxInt64; start.MaxDescriptors > 0 {
		o.engineConnectionLimit = int64(start.MaxDescriptors / 3)
		o.clients.limit = max(start.MaxDescriptors/3, start.MaxDescriptors-start.MaxDescriptors/3-reservedDescriptors)
	}
	o.maxStatementBytes = int64(start.MemoryMB) << 20 / 16
	o.admission = admission.New(o.now, start.Seed, start.Deployment, host{o})
	return o
}

// guard has an operator's rules heeded; it is called before anything is told.
func (o *owner) setResourceGroups(d ResourceGroups) {
	if d != nil {
		o.resourceGroups = d
		o.admission.SetPolicyGate(d)
	}
}

// loop makes the calls of the inbox until stop is closed.
func (o *owner) run(stop <-chan struct{}) {
	for {
		select {
		case <-o.events.Wake:
			o.events.Drain(func(call func()) { call() })
		case <-stop:
			return
		}
	}
}

// tell queues an event that happened now.
func (o *owner) post(event func(now admission.Time)) {
	at := o.clock.Now()
	o.events.Put(func() {
		o.now = max(o.now, at) // events that raced to the queue are told in its order
		event(o.now)
	})
}

// listed takes in an event of the engine list.
func (o *owner) handleEndpoints(now admission.Time, form admission.UpdateKind, list []admission.Endpoint, addresses []string) {
	if form != admission.PartialUpdate {
		for name, e := range o.engines {
			if !slices.ContainsFunc(list, func(l admission.Endpoint) bool { return l.Engine == name }) {
				e.retire()
				delete(o.engines, name)
			}
		}
	}
	for i, l := range list {
		e := o.engines[l.Engine]
		if e != nil && (l.State == admission.Gone || addresses[i] != "" && e.dialAddress() != addresses[i]) {
			e.retire() // what is out there ends by itself
			delete(o.engines, l.Engine)
			e = nil
		}
		if e == nil && l.State != admission.Gone {
			o.engines[l.Engine] = o.newEngineClient(l.Engine, addresses[i])
		}
	}
	if o.resourceGroups != nil {
		o.resourceGroups.HandleEndpoints(now, form, list)
	}
	defer o.withdrawUnwrittenAttempts(now, list)
	if o.journal != nil {
		o.recordListings(form, list)
	}
	if o.peers != nil {
		o.peers.HandleEndpoints(now, form, list)
	}
	o.admission.UpdateEndpoints(now, form, list)
}

// withdrawUnwritten calls off the attempts at engines that take nothing new any more, as far as not a byte of them has gone out:
// they wait for a connection, which may come up only after the time that the site allows for the last ones.
func (o *owner) withdrawUnwrittenAttempts(now admission.Time, list []admission.Endpoint) {
	closed := func(attempt *attempt) bool {
		return o.engines[attempt.engineID] != attempt.client ||
			slices.ContainsFunc(list, func(l admission.Endpoint) bool { return l.Engine == attempt.engineID && l.State != admission.Live })
	}
	var late []*attempt
	for _, request := range o.requests {
		if attempt := request.current; attempt != nil && !attempt.ended && closed(attempt) {
			late = append(late, attempt)
		}
	}
	slices.SortFunc(late, func(a, b *attempt) int { return cmp.Compare(a.requestID, b.requestID) })
	for _, attempt := range late {
		attempt.resent = true // should its connection break now, it isn't sent once more
		if attempt.withdraw() {
			attempt.request.responder.do(attempt.cancel)
			o.handleAttemptEnd(now, attempt, admission.Unreachable)
		}
	}
}

// arrived takes a request in.
func (o *owner) handleRequest(now admission.Time, request *request) {
	if o.requests[request.id] != nil || o.admission.HasRequest(request.id) { // a killed one is known until its attempt ends
		request.responder.refused("the id is in use")
		return
	}
	if o.journal != nil && o.answerFromJournal(request) {
		return
	}
	if o.resourceGroups != nil {
		f, crowded, refuse := o.resourceGroups.Classify(now, request.statementReader)
		switch {
		case refuse != "":
			request.responder.denied(refuse)
			return
		case crowded:
			request.responder.rejected(o.deployment.RetryAfter)
			return
		}
		f.Prior = request.estimate.Prior
		if f.Work == 0 { // what the client says of it stands where nothing was learned
			f.Work, f.Memory = request.estimate.Work, max(f.Memory, request.estimate.Memory)
		}
		request.estimate, request.policyClass = f, f.PolicyClass
	}
	if o.journal != nil && !o.recordRequest(now, request) {
		if request.isLimited() {
			o.resourceGroups.RecordDeparture(request.estimate)
		}
		return
	}
	request.waiting = request.isLimited()
	o.requests[request.id] = request
	o.recordPlacement(request, Placement{Present: true})
	request.priority = 1
	o.admission.HandleRequest(now, admission.Request{ID: request.id, Deadline: request.deadline, Class: request.class, Tenant: request.tenant, Key: request.key, Tables: request.tables, Estimate: request.estimate})
}

// tellEnded queues the end of an attempt.
func (o *owner) postAttemptEnd(attempt *attempt, how admission.Outcome) {
	o.post(func(now admission.Time) { o.handleAttemptEnd(now, attempt, how) })
}

// ended takes in how an attempt ended; the first end counts, whatever raced with it.
func (o *owner) handleAttemptEnd(now admission.Time, attempt *attempt, how admission.Outcome) {
	if attempt.ended {
		o.finishCancelledAttempt(now, attempt)
		return
	}
	attempt.ended = true
	attempt.stopTimer()
	request := attempt.request
	request.current = nil
	var work admission.Time
	var memory float64
	switch how {
	case admission.Served:
		work, memory = attempt.work, attempt.memoryUsedMB
		if o.requests[request.id] == request {
			o.answerRequest(now, request, requestjournal.Served, attempt.pages, func() { request.responder.served(attempt) })
		}
	case admission.TimedOut, admission.Cancelled:
		unsent := admission.Unreachable
		if request.clientGone {
			unsent = admission.Unsent // which tells nothing of the engine
		}
		if !attempt.handedOver { // its record is still on its way, so not a byte has gone out
			how = unsent
			break
		}
		if request.responder.do(attempt.cancel); !attempt.withdraw() {
			attempt.cancelOutcome = how
			attempt.stopTimer = o.clock.After(o.cancelTimeout(now, request), func() {
				o.post(func(now admission.Time) { o.finishCancelledAttempt(now, attempt) })
			})
			return
		}
		how = unsent
	}
	o.reportAttemptEnd(now, attempt, how, how == admission.Served, work, memory)
}

// again sends an attempt once more that was never written, as its connection broke when it was new: that tells
// nothing of the engine. A second time it is over.
func (o *owner) resendAttempt(now admission.Time, attempt *attempt) {
	if attempt.ended || attempt.resent {
		o.handleAttemptEnd(now, attempt, admission.Unreachable)
		return
	}
	attempt.resent = true
	attempt.state.Store(attemptUnwritten)
	attempt.request.responder.carry(attempt, attempt.client)
}

// undoWithin is how long to wait for an engine's word that an attempt is given up there: a further one that
// overtook the undo on another connection would be a second copy. It is as long as a connection may take to
// come up, and never past the deadline, after which nothing is sent.
func (o *owner) cancelTimeout(now admission.Time, request *request) admission.Time {
	return max(0, min(admission.Time(o.network.ConnectTimeout/timeUnit), request.deadline-now))
}

// givenUp tells the module of an attempt that was called off or timed out, once the engine has heard of it.
func (o *owner) finishCancelledAttempt(now admission.Time, attempt *attempt) {
	if how := attempt.cancelOutcome; how != admission.Served {
		attempt.cancelOutcome = admission.Served
		attempt.stopTimer()
		o.reportAttemptEnd(now, attempt, how, false, 0, 0)
	}
}

// answered forgets a request that is given its final answer.
func (o *owner) removeRequest(request *request) {
	request.answered = true
	delete(o.requests, request.id)
	o.recordPlacement(request, Placement{})
	if request.waiting {
		request.waiting = false
		o.resourceGroups.RecordDeparture(request.estimate)
	}
}

// left ends a request for which nobody waits any more.
func (o *owner) handleClientGone(now admission.Time, request *request) {
	if request.answered { // its answer is on its way
		return
	}
	request.clientGone = true
	o.admission.HandleDisconnect(now, request.id)
	if request.current != nil { // so its time is over
		o.handleAttemptEnd(now, request.current, admission.Cancelled)
	}
	o.answerRequest(now, request, requestjournal.Abandoned, nil, request.responder.left)
}
