// Package agent joins a gateway to the other gateways: one goroutine steps the cores that know who is there (member) and what
// others saw of engines (judgement), and carries their messages over UDP, sealed with one key. The owner of the decisions
// tells it what it saw and is told what was found; neither waits for the other.
package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/counters"
	"magpiebank/internal/cluster/healthreport"
	"magpiebank/internal/cluster/history"
	"magpiebank/internal/cluster/membership"
	"magpiebank/internal/cluster/quota"
	"magpiebank/internal/config"
	"magpiebank/internal/eventqueue"
	"magpiebank/internal/router"
)

// Config is what the operator's file says.
type Config struct {
	Listen         string // address for datagrams
	Advertise      string // by which the others reach it; Listen if empty
	Seeds          []string
	Key            string // file
	BytesPerSecond int64  // most bytes a second that are told of engines
	ControlSocket  string // Unix socket that tells the state; empty: none
	HistoryFile    string // file; empty: none
	ShareHealth    bool   // of judgements on engines; else only who is there
	ShareCounters  bool   // are shared
	Quota          *QuotaConfig
	Policy         *PolicyConfig // nil: each gateway reads its own file
}

// The pace of the fleet's goroutine while there is something to do: reports wait some 100 ms for others, failures this long.
const pace = 20 * time.Millisecond

// mostWaiting bounds the datagrams that wait for the goroutine: a second of all that 500 members say.
const mostWaiting = 4096

// Agent is this gateway's part in it.
type Agent struct {
	plan    Config
	name    string
	log     *slog.Logger
	seal    *seal
	box     *eventqueue.Queue[func()]
	socket  *net.UDPConn
	control net.Listener
	stop    chan struct{}
	ended   chan struct{}
	waiting atomic.Int32
	history *history.Writer
	share   float64

	// Of the fleet's goroutine, once it runs.
	clock    router.Clock
	tell     func(func(admission.Time, *admission.Controller))
	core     *membership.Core
	book     *healthreport.Table
	numbers  map[string]*seen
	number   uint64
	start    uint64  // as it was last looked at
	tokens   float64 // bytes that may be told
	paidAt   admission.Time
	dropped  map[error]int
	lookedAt admission.Time
	wokeAt   int64          // the same, by the clock of histories, where there is one
	deafTo   admission.Time // until when evidence is not taken
	saidAt   time.Time
	listed   map[admission.EngineID]admission.Time // as the history has them
	out      map[admission.EngineID]bool           // by hearsay alone, as the log has it
	sent     int64
	heard    int64
	rights   *quota.Plan
	seat     int
	tip      admission.Time      // after which a cold engine falls over, by the site's rule
	gateways int                 // of the installation
	shares   shares              // of budgets; nil: nothing is shared
	purse    *quota.Synchronized // the same, but in a measurement of the laboratory's
	heir     *succession         // nil: who follows comes with nothing
	settled  bool                // the part is held under this start, and may be used,
	partAt   admission.Time      // under which it was first claimed then
	counts   *counters.Core
	most     int64 // tasks in hand
	readAt   admission.Time
	lanes    []string
	cold     *cold         // nil: what cold engines may be sent is not shared
	longest  time.Duration // that a task waits, and so a use lasts
	rated    map[int]rated // of the owner's goroutine: what the history has of rates
	naming   sync.Mutex
	names    []string // of the budgets, in the core's order
	policies policies
	ruling   atomic.Pointer[ActivePolicy] // nil: the fleet has no charter
	passing  atomic.Int32                 // hand-offs that were looked at and are being written
}

// New makes a gateway's part; nothing is opened yet.
func New(plan Config, start *config.Config, log *slog.Logger) (*Agent, error) {
	if plan.Advertise == "" {
		plan.Advertise = plan.Listen
	}
	if _, err := netip.ParseAddrPort(plan.Advertise); err != nil || !membership.ValidNameAndAddress(start.Name, plan.Advertise) {
		return nil, fmt.Errorf("fleet.advertise: expected an address and port that the others reach, with a name of up to 40 bytes, found %q", plan.Advertise)
	}
	for i, s := range plan.Seeds {
		if _, err := netip.ParseAddrPort(s); err != nil {
			return nil, fmt.Errorf("fleet.seeds[%d]: expected an address and port, found %q", i, s)
		}
	}
	key, err := readKey(plan.Key)
	if err != nil {
		return nil, err
	}
	f := &Agent{plan: plan, name: start.Name, log: log, seal: key, box: eventqueue.New[func()](), stop: make(chan struct{}), ended: make(chan struct{}),
		share: healthreport.MaxEjectedShare(start.Deployment, len(start.Network.Zones)), numbers: map[string]*seen{}, dropped: map[error]int{},
		listed: map[admission.EngineID]admission.Time{}, out: map[admission.EngineID]bool{}, rated: map[int]rated{}, saidAt: time.Now(), seat: start.Deployment.GatewayIndex, gateways: start.Deployment.Gateways}
	if p := plan.Policy; p != nil {
		if plan.ControlSocket == "" {
			return nil, errors.New("fleet.control: expected a socket's path, as policies are proposed there, found nothing")
		}
		if p.Folder == "" && slices.Contains(p.Voters, start.Name) {
			return nil, fmt.Errorf("fleet.policy.folder: expected a folder, as %s votes, found nothing", start.Name)
		}
	}
	if f.longest = slices.Max(start.Network.LongestWaits); f.longest <= 0 {
		f.longest = time.Hour // it isn't told how long clients wait: more than any should
	}
	f.most, f.lanes = int64(start.MaxDescriptors), start.Network.Classes
	if b := plan.Quota; b != nil {
		f.longest = slices.Max(start.Network.LongestWaits)
		if slices.Min(start.Network.LongestWaits) <= 0 {
			return nil, errors.New("fleet.budgets: expected a longest wait (deadlineUs) of every class of the site, as by that a right's use ends, found none of one")
		}
		f.names, f.tip = slices.Clone(b.Names), start.Deployment.ColdOverloadTime
		if b.SlowStart && f.tip <= 0 {
			return nil, errors.New("fleet.budgets.cold: expected a site with a rule for engines that have just started (rules.tipAfterUs), found none")
		}
		f.rights = f.shared(b, start.Deployment.Gateways)
		if f.rights.ShareTerm < 2*f.rights.LeaseTerm {
			return nil, fmt.Errorf("fleet.budgets.term: expected six times the longest wait of a class at least, %v, found %v", 6*f.longest, b.ShareTerm)
		}
	}
	return f, nil
}

func tenths(d time.Duration) admission.Time { return admission.Time(d / (100 * time.Microsecond)) }

// Start opens the socket and begins.
func (f *Agent) Start(clock router.Clock, tell func(func(admission.Time, *admission.Controller))) error {
	address, err := net.ResolveUDPAddr("udp", f.plan.Listen)
	if err != nil {
		return fmt.Errorf("fleet.listen: %w", err)
	}
	if f.socket, err = net.ListenUDP("udp", address); err != nil {
		return fmt.Errorf("fleet.listen: %w", err)
	}
	f.clock, f.tell = clock, tell
	start := uint64(time.Now().Add(born()).UnixNano()) // of two processes under one name the later counts
	if f.plan.HistoryFile != "" {
		if f.history, err = history.Open(f.plan.HistoryFile, f.name, start); err != nil {
			f.socket.Close()
			return err
		}
	}
	if f.plan.ControlSocket != "" {
		if f.control, err = listen(f.plan.ControlSocket); err != nil {
			f.socket.Close()
			return fmt.Errorf("fleet.control: %w", err)
		}
	}
	f.start = start
	now := clock.Now()
	self := membership.Member{Name: f.name, Incarnation: start, Address: f.plan.Advertise}
	f.core = membership.New(now, self, f.plan.Seeds, rand.New(rand.NewPCG(start, 1)), host{f})
	f.book = healthreport.New(1, f.share, healthreport.RetryPhase(f.name))
	if f.history != nil {
		f.book.OnObservation = f.note
	}
	f.history.Write(history.Event{Kind: history.ProcessStarted, Number: int(1000 * f.share), State: f.plan.Advertise})
	if f.plan.ShareCounters {
		f.counts = counters.New(now, f.name, f.gateways, f.most, tenths(f.longest), counter{f})
	}
	if f.rights != nil {
		f.rights.ApplyMutation()
		if err := f.inherit(); err != nil {
			f.socket.Close()
			return err
		}
		if f.shares = f.beside(now); f.shares == nil {
			f.purse = quota.NewSynchronized(f.part(now))
			f.shares = f.purse
		}
		f.cold = f.newCold()
		f.tellTotals(f.plan.Quota)
	}
	if f.plan.Policy != nil {
		if _, err := f.newPolicies(now, start); err != nil {
			f.socket.Close()
			return err
		}
	}
	f.log.Info("fleet", "code", "begun", "address", f.plan.Advertise, "seeds", len(f.plan.Seeds), "start", start)
	go f.read()
	go f.run()
	if f.control != nil {
		go f.answer()
	}
	return nil
}

// Listed takes in an event of the engine list, from the owner as Saw and Sent.
func (f *Agent) HandleEndpoints(now admission.Time, form admission.UpdateKind, list []admission.Endpoint) {
	f.box.Put(func() {
		f.book.UpdateEngines(form, list)
		if f.history != nil {
			f.noteList(form, list)
		}
	})
}

// Saw takes in what the decisions saw themselves.
func (f *Agent) RecordObservation(now admission.Time, engine admission.EngineID, saw admission.Observation, report admission.Report, room float64) {
	f.box.Put(func() {
		f.book.Observe(now, engine, saw, report, room)
		if f.history != nil && saw != admission.Reported {
			f.history.Write(history.Event{Kind: history.OutcomeObserved, Engine: string(engine), EngineStart: int64(f.listed[engine]), Success: !saw.IsFailure()})
		}
	})
}

// Sent takes in a hand-off.
func (f *Agent) RecordAttempt(now admission.Time, task admission.RequestID, engine admission.EngineID) {
	f.cold.sent(now, engine)
	if asOf := f.HistoryNow(); f.history != nil {
		f.box.Put(func() { // in the order in which the owner told it and the list
			f.history.Write(history.Event{Kind: history.AttemptSent, Engine: string(engine), Request: string(task), ObservedAt: asOf})
		})
	}
}

// Stop says farewell and ends.
func (f *Agent) Stop() {
	close(f.stop)
	<-f.ended
	f.socket.Close()
	if f.control != nil {
		f.control.Close()
	}
	f.history.Write(history.Event{Kind: history.ProcessStopped})
	if err := f.history.Close(); err != nil {
		f.log.Warn("fleet", "code", "history", "error", err)
	}
}

// read takes datagrams in. When they came is told here, not when the goroutine gets to them.
func (f *Agent) read() {
	for {
		b := make([]byte, mostDatagram+1)
		n, err := f.socket.Read(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(pace) // a refused datagram of ours comes back as an error of the socket's
			continue
		}
		if f.waiting.Load() >= mostWaiting {
			continue
		}
		at := f.clock.Now()
		f.waiting.Add(1)
		f.box.Put(func() {
			f.waiting.Add(-1)
			f.take(at, b[:n])
		})
	}
}

// looked notes when the goroutine was at work last. Where it stood still, as the whole process may have, datagrams that lay in the
// socket are read with the time at which it woke: for a moment what they say of engines is not taken, as nobody knows how old it is.
func (f *Agent) looked(at admission.Time) {
	const still, moment = admission.Second / 2, admission.Second / 5 // it looks every 20 ms; a full socket is read within some
	if at-f.lookedAt >= still && f.lookedAt > 0 {
		f.deafTo = at + moment
	}
	f.lookedAt = max(f.lookedAt, at)
	f.noteWake()
}

// noteWake writes down that the goroutine was woken late, by the clock of all histories. It tells a reader of them what the machine was
// too busy for.
func (f *Agent) noteWake() {
	const late = 100 * time.Millisecond // it looks every pace
	if f.history == nil {
		return
	}
	now := history.Now()
	if gap := now - f.wokeAt; f.wokeAt > 0 && gap >= int64(late) {
		f.history.Write(history.Event{Kind: history.LateWake, AgeNanos: gap})
	}
	f.wokeAt = now
}

// run is the fleet's goroutine.
func (f *Agent) run() {
	defer close(f.ended)
	ticker := time.NewTicker(pace)
	defer ticker.Stop()
	for {
		f.looked(f.clock.Now())
		select {
		case <-f.box.Wake:
			f.box.Drain(func(call func()) { call() })
		case <-ticker.C:
			f.box.Drain(func(call func()) { call() })
		case <-f.stop:
			f.box.Drain(func(call func()) { call() })
			f.core.Leave(f.clock.Now())
			if f.purse != nil {
				f.purse.WithCore(func(c *quota.Core) { f.bequeath(c.ReleaseShares(f.clock.Now())) })
			}
			if f.policies.core != nil {
				f.policies.stop(f.clock.Now())
			}
			return
		}
		f.due(f.clock.Now())
	}
}

// due steps the cores, and passes on what was found.
func (f *Agent) due(now admission.Time) {
	if now >= f.core.NextTick() {
		f.core.Tick(now)
	}
	if start := f.core.Self().Incarnation; start != f.start {
		f.start = start
		f.history.Write(history.Event{Kind: history.StartChanged, Of: start})
	}
	if f.counts != nil && !f.core.IsInactive() {
		f.counts.Tick(now)
		f.readings(now)
	}
	if f.shares != nil && !f.core.IsInactive() {
		if f.purse != nil && f.purse.Incarnation() != f.start { // it had to take a later start than it began with: as that it comes with nothing
			f.purse.ReplaceCore(f.part(now))
		}
		f.shares.Tick(now)
		f.settle(now)
	}
	if f.policies.core != nil && !f.core.IsInactive() {
		f.policies.due(now)
	}
	asOf := int64(0)
	if f.history != nil {
		asOf = history.Now() - int64(f.clock.Now()-now)*1e5
	}
	f.book.VisitChangedFindings(now, func(found *admission.PeerReport) {
		finding := *found
		f.history.Write(history.Event{Kind: history.EngineAssessed, Engine: string(finding.Engine), EngineStart: int64(finding.Since), Evidence: finding.FailureScore, Number: finding.Witnesses, Out: finding.Ejects(),
			ObservedAt: asOf, ValidNanos: int64(max(0, finding.ScoreUntil-now)) * 1e5})
		if out := finding.Ejects(); out != f.out[finding.Engine] {
			f.out[finding.Engine] = out
			f.log.Info("fleet", "code", "found", "engine", string(finding.Engine), "out", out, "against", math.Round(100*finding.FailureScore)/100, "witnesses", finding.Witnesses)
		}
		f.tell(func(now admission.Time, r *admission.Controller) { r.HandlePeerReport(now, &finding) })
	})
	f.speak(now)
	if time.Since(f.saidAt) >= time.Minute {
		f.say()
	}
}

// speak tells the others what is worth it, within the bytes that the operator allows.
func (f *Agent) speak(now admission.Time) {
	f.tokens = min(float64(f.plan.BytesPerSecond), f.tokens+float64(f.plan.BytesPerSecond)*float64(now-f.paidAt)/float64(admission.Second))
	f.paidAt = now
	peers := f.core.CountReachable()
	if !f.plan.ShareHealth || peers == 0 || f.core.IsInactive() || f.tokens < float64(peers*healthreport.MaxMessageBytes) && f.tokens < float64(f.plan.BytesPerSecond) {
		return
	}
	f.book.SetPeerCount(peers)
	m := f.book.NextMessage(now)
	if m == nil {
		return
	}
	for _, other := range f.core.Members() {
		if other.State <= membership.Suspect {
			f.tokens -= float64(f.send(other.Address, part{partJudgement, m}))
		}
	}
}

// say counts what was dropped, one line a minute at most.
func (f *Agent) say() {
	f.saidAt = time.Now()
	if len(f.dropped) > 0 {
		f.log.Warn("fleet", "code", "dropped", "other_version", f.dropped[errOther], "stranger", f.dropped[errStranger], "broken", f.dropped[errBroken],
			"replayed", f.dropped[errReplayed])
		clear(f.dropped)
	}
}

// take takes a datagram in.
func (f *Agent) take(at admission.Time, b []byte) {
	l, err := f.seal.open(b)
	if err == nil {
		n := f.numbers[l.name]
		if n == nil {
			if len(f.numbers) >= 2048 {
				clear(f.numbers) // names come and go; who is there is heard of again
			}
			n = &seen{}
			f.numbers[l.name] = n
		}
		if !n.fresh(l.start, l.number) && l.start >= n.start {
			err = errReplayed // an earlier process of the name may still speak: it is told so
		}
	}
	f.looked(at)
	if err == nil && f.plan.ShareHealth && at >= f.deafTo {
		f.book.ObserveClock(at, healthreport.Source{Name: l.name, Incarnation: l.start}, l.clock)
	}
	for _, p := range parts(l, err) {
		switch p.what {
		case partMembers:
			if f.core.HandleMessage(at, p.bytes) != nil {
				err = errBroken
			}
		case partBudget:
			m, bad := quota.Decode(p.bytes)
			if bad != nil || m.Sender != l.name || m.SenderIncarnation != l.start {
				err = errBroken
			} else if f.shares != nil && !f.core.IsInactive() {
				f.paid(at, m)
			}
		case partTally:
			if f.counts != nil && !f.core.IsInactive() && f.counts.HandleMessage(at, l.name, l.start, p.bytes) != nil {
				err = errBroken
			}
		case partCharter:
			if f.policies.core != nil && !f.core.IsInactive() && f.policies.part(at, l, p.bytes) != nil {
				err = errBroken
			}
		case partJudgement:
			if m, ok := f.core.Find(l.name); f.plan.ShareHealth && at >= f.deafTo && ok && (m.Incarnation <= l.start || ignoresStart) {
				if f.book.HandleMessage(at, healthreport.Source{Name: l.name, Incarnation: l.start}, p.bytes) != nil {
					err = errBroken
				}
			}
		}
	}
	if err != nil {
		f.dropped[err]++
		return
	}
	f.heard++
}

func parts(l *letter, err error) []part {
	if err != nil {
		return nil
	}
	return l.parts
}

// send writes one datagram, and tells its size. One that can't be sent is as one that is lost.
func (f *Agent) send(to string, p part) int {
	address, err := netip.ParseAddrPort(to)
	if err != nil {
		return 0
	}
	f.number++
	b, err := f.seal.close(&letter{name: f.name, start: f.core.Self().Incarnation, number: f.number, clock: uint32(f.clock.Now()), parts: []part{p}})
	if err != nil {
		return 0
	}
	f.sent++
	f.socket.WriteToUDPAddrPort(b, address)
	return len(b)
}

// host is what the members' core acts on.
type host struct{ f *Agent }

func (h host) Send(to string, m []byte) { h.f.send(to, part{partMembers, m}) }

func (h host) MemberChanged(code membership.EventCode, m membership.Member) {
	f := h.f
	if f.counts != nil && m.State == membership.Left {
		f.counts.MarkStopped(m.Name, m.Incarnation)
	}
	f.history.Write(history.Event{Kind: history.MemberChanged, Code: string(code), Member: m.Name, Of: m.Incarnation, State: m.State.String()})
	level := slog.LevelInfo
	if code == membership.Partitioned || code == membership.Superseded {
		level = slog.LevelWarn
	}
	f.log.Log(context.Background(), level, "fleet", "code", string(code), "member", m.Name, "start", m.Incarnation, "address", m.Address, "lost", f.lost())
}

func (f *Agent) lost() int {
	if f.core == nil {
		return 0
	}
	return f.core.CountDead()
}

// note writes evidence that was taken in into the history.
func (f *Agent) note(from healthreport.Source, e *admission.Endpoint, goodAge, badAge admission.Time) {
	for _, outcome := range []struct {
		good bool
		age  admission.Time
	}{{true, goodAge}, {false, badAge}} {
		if outcome.age < healthreport.OutcomeLifetime {
			f.history.Write(history.Event{Kind: history.EvidenceReceived, Member: from.Name, Of: from.Incarnation, Engine: string(e.Engine), EngineStart: int64(e.Since), Success: outcome.good,
				AgeNanos: int64(outcome.age) * 1e5})
		}
	}
}

// noteList writes what the own list says of engines, where it has changed.
func (f *Agent) noteList(form admission.UpdateKind, list []admission.Endpoint) {
	if form == admission.FailedPoll {
		return
	}
	said := map[admission.EngineID]bool{}
	for _, l := range list {
		said[l.Engine] = true
		if since, ok := f.listed[l.Engine]; l.State == admission.Gone {
			delete(f.listed, l.Engine)
		} else if f.listed[l.Engine] = l.Since; ok && since == l.Since {
			continue
		}
		f.history.Write(history.Event{Kind: history.EngineListed, Engine: string(l.Engine), EngineStart: int64(l.Since), State: [...]string{"live", "draining", "gone"}[l.State]})
	}
	if form != admission.PartialUpdate {
		for name := range f.listed {
			if !said[name] {
				delete(f.listed, name)
				f.history.Write(history.Event{Kind: history.EngineListed, Engine: string(name), State: "gone"})
			}
		}
	}
}
