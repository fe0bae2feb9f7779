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
	clock          Clock
	inbox          *eventqueue.Queue[func()]
	log            *slog.Logger
	network        *config.Network
	site           *admission.Deployment
	desk           ResourceGroups    // nil: there are no classes
	keep           *Journal          // nil: nothing of requests is recorded
	peers          Peers             // nil: this gateway speaks to no other
	tape           *capture.Recorder // nil: nothing is recorded
	clients        connectionLimiter
	statements     atomic.Int64 // bytes set aside for long statements,
	mostStatements int64        // and how many may be; 0: no limit
	engineConns    atomic.Int64 // connections to engines, probes' too,
	engineRoom     int64        // and at how many attempts begin to share theirs
	connections    atomic.Int64 // whose line is not in the log yet
	stopped        atomic.Bool

	now      admission.Time
	module   *admission.Controller
	requests map[admission.RequestID]*request // taken and without a final answer
	engines  map[admission.EngineID]engineClient
	dial     func(address string) (net.Conn, error)                     // connects to an engine, within the time that the site allows
	connect  func(name admission.EngineID, address string) engineClient // makes one for an engine
	sessions map[uint32]*session                                        // of the MySQL front, by connection id
	places   map[admission.EngineID]admission.Endpoint                  // where a record is kept
}

// ownDescriptors is what the process holds besides connections of clients and engines: its streams, the poller's,
// the listener, the engine list's connection, files as they are read; and what ends while its successor begins.
const ownDescriptors = 24

func newOwner(start *config.Config, clock Clock, log *slog.Logger) *owner {
	o := &owner{clock: clock, inbox: eventqueue.New[func()](), log: log, network: start.Network, site: start.Deployment, now: clock.Now(),
		sessions: map[uint32]*session{}, requests: map[admission.RequestID]*request{},
		engines: map[admission.EngineID]engineClient{}}
	o.dial = func(address string) (net.Conn, error) {
		return net.DialTimeout("tcp", address, o.network.ConnectTimeout)
	}
	o.connect = func(name admission.EngineID, address string) engineClient { return newEngine(o, name, address) }
	// Clients have what engines, which get a third, and the process itself leave of the descriptors; by the
	// protocol they hold a third, so what they have more is for those that should not be there.
	if o.engineRoom = math.MaxInt64; start.MaxDescriptors > 0 {
		o.engineRoom = int64(start.MaxDescriptors / 3)
		o.clients.room = max(start.MaxDescriptors/3, start.MaxDescriptors-start.MaxDescriptors/3-ownDescriptors)
	}
	o.mostStatements = int64(start.MemoryMB) << 20 / 16
	o.module = admission.New(o.now, start.Seed, start.Deployment, host{o})
	return o
}

// guard has an operator's rules heeded; it is called before anything is told.
func (o *owner) guard(d ResourceGroups) {
	if d != nil {
		o.desk = d
		o.module.SetPolicyGate(d)
	}
}

// loop makes the calls of the inbox until stop is closed.
func (o *owner) loop(stop <-chan struct{}) {
	for {
		select {
		case <-o.inbox.Wake:
			o.inbox.Drain(func(call func()) { call() })
		case <-stop:
			return
		}
	}
}

// tell queues an event that happened now.
func (o *owner) tell(event func(now admission.Time)) {
	at := o.clock.Now()
	o.inbox.Put(func() {
		o.now = max(o.now, at) // events that raced to the queue are told in its order
		event(o.now)
	})
}

// listed takes in an event of the engine list.
func (o *owner) listed(now admission.Time, form admission.UpdateKind, list []admission.Endpoint, addresses []string) {
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
		if e != nil && (l.State == admission.Gone || addresses[i] != "" && e.where() != addresses[i]) {
			e.retire() // what is out there ends by itself
			delete(o.engines, l.Engine)
			e = nil
		}
		if e == nil && l.State != admission.Gone {
			o.engines[l.Engine] = o.connect(l.Engine, addresses[i])
		}
	}
	if o.desk != nil {
		o.desk.HandleEndpoints(now, form, list)
	}
	defer o.withdrawUnwritten(now, list)
	if o.keep != nil {
		o.placed(form, list)
	}
	if o.peers != nil {
		o.peers.HandleEndpoints(now, form, list)
	}
	o.module.UpdateEndpoints(now, form, list)
}

// withdrawUnwritten calls off the attempts at engines that take nothing new any more, as far as not a byte of them has gone out:
// they wait for a connection, which may come up only after the time that the site allows for the last ones.
func (o *owner) withdrawUnwritten(now admission.Time, list []admission.Endpoint) {
	closed := func(h *attempt) bool {
		return o.engines[h.engine] != h.to ||
			slices.ContainsFunc(list, func(l admission.Endpoint) bool { return l.Engine == h.engine && l.State != admission.Live })
	}
	var late []*attempt
	for _, t := range o.requests {
		if h := t.out; h != nil && !h.over && closed(h) {
			late = append(late, h)
		}
	}
	slices.SortFunc(late, func(a, b *attempt) int { return cmp.Compare(a.request, b.request) })
	for _, h := range late {
		h.again = true // should its connection break now, it isn't sent once more
		if h.withdraw() {
			h.of.by.do(h.undo)
			o.ended(now, h, admission.Unreachable)
		}
	}
}

// arrived takes a request in.
func (o *owner) arrived(now admission.Time, t *request) {
	if o.requests[t.id] != nil || o.module.HasRequest(t.id) { // a killed one is known until its attempt ends
		t.by.refused("the id is in use")
		return
	}
	if o.keep != nil && o.known(t) {
		return
	}
	if o.desk != nil {
		f, crowded, refuse := o.desk.Classify(now, t.reader)
		switch {
		case refuse != "":
			t.by.denied(refuse)
			return
		case crowded:
			t.by.rejected(o.site.RetryAfter)
			return
		}
		f.Prior = t.foreseen.Prior
		if f.Work == 0 { // what the client says of it stands where nothing was learned
			f.Work, f.Memory = t.foreseen.Work, max(f.Memory, t.foreseen.Memory)
		}
		t.foreseen, t.policyClass = f, f.PolicyClass
	}
	if o.keep != nil && !o.take(now, t) {
		if t.seen() {
			o.desk.RecordDeparture(t.foreseen)
		}
		return
	}
	t.held = t.seen()
	o.requests[t.id] = t
	o.moved(t, Placement{Present: true})
	t.rank = 1
	o.module.HandleRequest(now, admission.Request{ID: t.id, Deadline: t.deadline, Class: t.class, Tenant: t.tenant, Key: t.key, Tables: t.tables, Estimate: t.foreseen})
}

// tellEnded queues the end of an attempt.
func (o *owner) tellEnded(h *attempt, how admission.Outcome) {
	o.tell(func(now admission.Time) { o.ended(now, h, how) })
}

// ended takes in how an attempt ended; the first end counts, whatever raced with it.
func (o *owner) ended(now admission.Time, h *attempt, how admission.Outcome) {
	if h.over {
		o.givenUp(now, h)
		return
	}
	h.over = true
	h.stop()
	t := h.of
	t.out = nil
	var work admission.Time
	var memory float64
	switch how {
	case admission.Served:
		work, memory = h.work, h.needs
		if o.requests[t.id] == t {
			o.answer(now, t, requestjournal.Served, h.pages, func() { t.by.served(h) })
		}
	case admission.TimedOut, admission.Cancelled:
		unsent := admission.Unreachable
		if t.left {
			unsent = admission.Unsent // which tells nothing of the engine
		}
		if !h.carried { // its record is still on its way, so not a byte has gone out
			how = unsent
			break
		}
		if t.by.do(h.undo); !h.withdraw() {
			h.doubt = how
			h.stop = o.clock.After(o.undoWithin(now, t), func() {
				o.tell(func(now admission.Time) { o.givenUp(now, h) })
			})
			return
		}
		how = unsent
	}
	o.back(now, h, how, how == admission.Served, work, memory)
}

// again sends an attempt once more that was never written, as its connection broke when it was new: that tells
// nothing of the engine. A second time it is over.
func (o *owner) again(now admission.Time, h *attempt) {
	if h.over || h.again {
		o.ended(now, h, admission.Unreachable)
		return
	}
	h.again = true
	h.state.Store(fresh)
	h.of.by.carry(h, h.to)
}

// undoWithin is how long to wait for an engine's word that an attempt is given up there: a further one that
// overtook the undo on another connection would be a second copy. It is as long as a connection may take to
// come up, and never past the deadline, after which nothing is sent.
func (o *owner) undoWithin(now admission.Time, t *request) admission.Time {
	return max(0, min(admission.Time(o.network.ConnectTimeout/tenth), t.deadline-now))
}

// givenUp tells the module of an attempt that was called off or timed out, once the engine has heard of it.
func (o *owner) givenUp(now admission.Time, h *attempt) {
	if how := h.doubt; how != admission.Served {
		h.doubt = admission.Served
		h.stop()
		o.back(now, h, how, false, 0, 0)
	}
}

// answered forgets a request that is given its final answer.
func (o *owner) answered(t *request) {
	t.over = true
	delete(o.requests, t.id)
	o.moved(t, Placement{})
	if t.held {
		t.held = false
		o.desk.RecordDeparture(t.foreseen)
	}
}

// left ends a request for which nobody waits any more.
func (o *owner) left(now admission.Time, t *request) {
	if t.over { // its answer is on its way
		return
	}
	t.left = true
	o.module.HandleDisconnect(now, t.id)
	if t.out != nil { // so its time is over
		o.ended(now, t.out, admission.Cancelled)
	}
	o.answer(now, t, requestjournal.Abandoned, nil, t.by.left)
}
