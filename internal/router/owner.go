package router

import (
	"log/slog"
	"math"
	"slices"
	"sync/atomic"

	"magpiebank/internal/admission"
	"magpiebank/internal/capture"
	"magpiebank/internal/deployment"
)

// owner is the one goroutine that calls the module. Sockets reach it through its inbox, and it reaches them
// through the mailboxes of sessions and the bells of engines; it never waits for either.
type owner struct {
	clock          Clock
	inbox          *mailbox
	log            *slog.Logger
	network        *deployment.Network
	site           *admission.Deployment
	desk           Desk             // nil: there are no classes
	tape           *capture.Capture // nil: nothing is recorded
	door           door
	statements     atomic.Int64 // bytes set aside for long statements,
	mostStatements int64        // and how many may be; 0: no limit
	engineLinks    atomic.Int64 // connections to engines, probes' too,
	engineRoom     int64        // and at how many hand-offs begin to share theirs
	connections    atomic.Int64 // whose line is not in the log yet
	stopped        atomic.Bool

	now      admission.Time
	module   *admission.Router
	sessions map[uint32]*session           // by connection id
	tasks    map[admission.TaskID]*session // taken and without a final answer
	engines  map[admission.EngineID]*engine
}

// ownDescriptors is what the process holds besides connections of clients and engines: its streams, the poller's,
// the listener, the engine list's connection, files as they are read; and what ends while its successor begins.
const ownDescriptors = 24

func newOwner(start *deployment.Start, clock Clock, log *slog.Logger) *owner {
	o := &owner{clock: clock, inbox: newMailbox(), log: log, network: start.Network, site: start.Site, now: clock.Now(),
		sessions: map[uint32]*session{}, tasks: map[admission.TaskID]*session{},
		engines: map[admission.EngineID]*engine{}}
	// Clients have what engines, which get a third, and the process itself leave of the descriptors; by the
	// protocol they hold a third, so what they have more is for those that should not be there.
	if o.engineRoom = math.MaxInt64; start.Sockets > 0 {
		o.engineRoom = int64(start.Sockets / 3)
		o.door.room = max(start.Sockets/3, start.Sockets-start.Sockets/3-ownDescriptors)
	}
	o.mostStatements = int64(start.MemoryMB) << 20 / 16
	o.module = admission.New(o.now, start.Seed, start.Site, host{o})
	return o
}

// guard has an operator's rules heeded; it is called before anything is told.
func (o *owner) guard(d Desk) {
	if d != nil {
		o.desk = d
		o.module.Guard(d)
	}
}

// loop makes the calls of the inbox until stop is closed.
func (o *owner) loop(stop <-chan struct{}) {
	for {
		select {
		case <-o.inbox.wake:
			o.inbox.run()
		case <-stop:
			return
		}
	}
}

// tell queues an event that happened now.
func (o *owner) tell(event func(now admission.Time)) {
	at := o.clock.Now()
	o.inbox.put(func() {
		o.now = max(o.now, at) // events that raced to the queue are told in its order
		event(o.now)
	})
}

// listed takes in an event of the engine list.
func (o *owner) listed(now admission.Time, form admission.Form, list []admission.Listing, addresses []string) {
	if form != admission.Changes {
		for name, e := range o.engines {
			if !slices.ContainsFunc(list, func(l admission.Listing) bool { return l.Engine == name }) {
				e.retire()
				delete(o.engines, name)
			}
		}
	}
	for i, l := range list {
		e := o.engines[l.Engine]
		if e != nil && (l.State == admission.Gone || addresses[i] != "" && e.address != addresses[i]) {
			e.retire() // what is out there ends by itself
			delete(o.engines, l.Engine)
			e = nil
		}
		if e == nil && l.State != admission.Gone {
			o.engines[l.Engine] = newEngine(o, l.Engine, addresses[i])
		}
	}
	if o.desk != nil {
		o.desk.Listed(now, form, list)
	}
	o.module.Listed(now, form, list)
}

// arrived takes a session's query as a task.
func (o *owner) arrived(now admission.Time, s *session, task admission.TaskID, lane int, cutoff admission.Time,
	tables int) {
	if o.tasks[task] != nil || o.module.Knows(task) { // a killed one is known until its hand-off ends
		s.mail.put(func() { s.refuse("the id is in use") })
		return
	}
	var f admission.Foreseen
	if o.desk != nil {
		var crowded bool
		var refuse string
		switch f, crowded, refuse = o.desk.Arrived(s.reader); {
		case refuse != "":
			s.mail.put(func() { s.barred(refuse) })
			return
		case crowded:
			s.mail.put(func() { s.nack(int64(o.site.ComeBack / admission.Millisecond)) })
			return
		}
		s.foreseen, s.laneNumber = f, lane
		s.class, s.held = f.Class, f.Class > 0
	}
	o.tasks[task], s.taken = s, task
	s.cutoff, s.tries, s.out, s.memory, s.rank = cutoff, 0, nil, 0, 1
	o.module.Arrived(now, task, cutoff, lane, 0, "", tables, f)
}

// tellEnded queues the end of a hand-off.
func (o *owner) tellEnded(h *handOff, how admission.Outcome) {
	o.tell(func(now admission.Time) { o.ended(now, h, how) })
}

// ended takes in how a hand-off ended; the first end counts, whatever raced with it.
func (o *owner) ended(now admission.Time, h *handOff, how admission.Outcome) {
	if h.over {
		o.givenUp(now, h)
		return
	}
	h.over = true
	h.stop()
	s := h.session
	s.out = nil
	var work admission.Time
	var memory float64
	switch how {
	case admission.Delivered:
		work, memory = h.work, h.needs
		if o.tasks[h.task] == s {
			o.answer(s, func() {
				s.deliver(h.pages)
				s.learn(h)
			})
		}
	case admission.TimedOut, admission.Cancelled:
		if s.mail.put(h.undo); !h.withdraw() {
			h.doubt = how
			h.stop = o.clock.After(o.undoWithin(now, s), func() {
				o.tell(func(now admission.Time) { o.givenUp(now, h) })
			})
			return
		}
		how = admission.Unreachable // it was never written
	}
	o.back(now, h, how, how == admission.Delivered, work, memory)
}

// again sends a hand-off once more that was never written, as its connection broke when it was new: that tells
// nothing of the engine. A second time it is over.
func (o *owner) again(now admission.Time, h *handOff) {
	if h.over || h.again {
		o.ended(now, h, admission.Unreachable)
		return
	}
	h.again = true
	h.state.Store(fresh)
	h.session.mail.put(func() { h.link.e.send(h) })
}

// undoWithin is how long to wait for an engine's word that a hand-off is given up there: a further one that
// overtook the undo on another connection would be a second copy. It is as long as a connection may take to
// come up, and never past the cut-off, after which nothing is sent.
func (o *owner) undoWithin(now admission.Time, s *session) admission.Time {
	return max(0, min(admission.Time(o.network.ConnectWithin/tenth), s.cutoff-now))
}

// givenUp tells the module of a hand-off that was called off or timed out, once the engine has heard of it.
func (o *owner) givenUp(now admission.Time, h *handOff) {
	if how := h.doubt; how != admission.Delivered {
		h.doubt = admission.Delivered
		h.stop()
		o.back(now, h, how, false, 0, 0)
	}
}

// answer gives a task its final answer.
func (o *owner) answer(s *session, write func()) {
	delete(o.tasks, s.taken)
	s.taken = ""
	if s.held {
		s.held = false
		o.desk.Left(s.class)
	}
	s.mail.put(write)
}

// killed ends the task of the session whose client stopped waiting.
func (o *owner) killed(now admission.Time, connection uint32) {
	s := o.sessions[connection]
	if s == nil || s.taken == "" {
		return
	}
	o.module.ClientGone(now, s.taken)
	if s.out != nil { // nobody waits for it, so its patience is over
		o.ended(now, s.out, admission.Cancelled)
	}
	o.answer(s, s.leave)
}
