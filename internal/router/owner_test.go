package router

import (
	"fmt"
	"math/rand"
	"runtime"
	"slices"
	"testing"
	"time"

	"magpiebank/internal/admission"
)

// eventStorm passes random events in random order to an owner.
type eventStorm struct {
	t        *testing.T
	o        *owner
	rng      *rand.Rand
	now      admission.Time
	attempts []*attempt // attempts that have not ended, or whose cancellation has not completed
}

// handleEvent has the owner handle one random event.
func (e *eventStorm) handleEvent() {
	name := admission.EngineID(fmt.Sprint("e", e.rng.Intn(5)))
	switch e.rng.Intn(8) {
	case 0, 1:
		l := []admission.Endpoint{{Engine: name, State: admission.EndpointState(e.rng.Intn(3))},
			{Engine: name, State: admission.EndpointState(e.rng.Intn(3))}}
		e.o.handleEndpoints(e.now, admission.UpdateKind(e.rng.Intn(3)), l, []string{"127.0.0.1:1", "127.0.0.1:2"})
	case 2, 3:
		e.handleRequest(uint32(e.rng.Intn(20)))
	case 4:
		e.o.killQuery(e.now, uint32(e.rng.Intn(25)))
	case 5, 6:
		if len(e.attempts) > 0 {
			e.o.handleAttemptEnd(e.now, e.attempts[e.rng.Intn(len(e.attempts))], admission.Outcome(e.rng.Intn(9)))
		}
	default:
		e.o.admission.HandleProbeResult(e.now, name, admission.Outcome(e.rng.Intn(9)), admission.NoReport)
		e.now += admission.Time(e.rng.Intn(50))
	}
}

// handleRequest submits a request on a connection, unless the connection has an outstanding request.
func (e *eventStorm) handleRequest(connectionID uint32) {
	o := e.o
	if o.sessions[connectionID] != nil && o.sessions[connectionID].request != nil {
		return
	}
	session := &clientSession{owner: o, connectionID: connectionID, events: newSessionQueue(func(sessionEvent) {})}
	o.sessions[connectionID] = session
	session.request = &request{id: admission.RequestID(fmt.Sprint(e.rng.Intn(30))), responder: session, class: e.rng.Intn(2), deadline: e.now + admission.Second}
	o.handleRequest(e.now, session.request)
}

// trackAttempts adds newly started attempts to the list, sets their state, and removes attempts that have ended.
func (e *eventStorm) trackAttempts(state int32) {
	for _, session := range e.o.sessions {
		if session.request == nil {
			continue
		}
		if attempt := session.request.current; attempt != nil && !slices.Contains(e.attempts, attempt) {
			attempt.state.Store(state)
			e.attempts = append(e.attempts, attempt)
		}
	}
	e.attempts = slices.DeleteFunc(e.attempts, func(attempt *attempt) bool { return attempt.ended && attempt.cancelOutcome == admission.Served })
}

// checkCopies fails the test if two attempts of a request have not ended.
func (e *eventStorm) checkCopies(n int) {
	copies := map[admission.RequestID]int{}
	for _, attempt := range e.attempts {
		copies[attempt.requestID]++
		if copies[attempt.requestID] == 2 {
			e.t.Errorf("event %d: two attempts of request %s are in flight", n, attempt.requestID)
		}
	}
}

// No order of events makes the owner panic, and no request is retained after its deadline.
func TestOwnerHandlesEventsInAnyOrder(t *testing.T) {
	s := startFixture(t)
	done := make(chan struct{})
	s.onOwner(func(now admission.Time) {
		defer close(done)
		storm := &eventStorm{t: t, o: s.owner, rng: rand.New(rand.NewSource(1)), now: now}
		for n := range 20000 {
			storm.handleEvent()
			if n%1000 == 0 { // the controller normally schedules its ticks itself
				storm.o.admission.Tick(storm.now)
			}
			storm.trackAttempts([]int32{attemptUnwritten, attemptWritten}[n%2])
			storm.checkCopies(n)
		}
	})
	<-done
	s.advanceClock(20 * admission.Second)
	s.onOwner(func(admission.Time) { s.tracef("%d requests in hand", len(s.owner.requests)) })
	s.sync()
	s.compareTrace("any order")
}

// Engines and clients with ever new ids come and go. The gateway must retain no state, timers or goroutines for those that are
// gone.
func TestNothingIsRetainedForFormerClientsAndEngines(t *testing.T) {
	e := newFakeEngine(t, "e")
	s := startFixture(t)
	e.fixture = s
	s.awaitLog("serving") // the initial engine list has been posted by then
	before := runtime.NumGoroutine()
	for n := range 200 {
		name := admission.EngineID(fmt.Sprint("e", n))
		list := func(state admission.EndpointState) {
			s.onOwner(func(now admission.Time) {
				s.owner.handleEndpoints(now, admission.PartialUpdate, []admission.Endpoint{{Engine: name, State: state}},
					[]string{e.listener.Addr().String()})
			})
		}
		list(admission.Live)
		a := s.newClient()
		a.sendRequest(fmt.Sprintf("%02x", n), "look", 5000)
		conn := e.receive()
		s.advanceClock(100 * admission.Millisecond)
		e.reply(conn, fmt.Sprintf("00000000000000%02x", n), "data", "pages=1,cost=100,need=64", "a\tb\tc\n")
		a.expectAnswer()
		a.socket.Close()
		list(admission.Gone)
	}
	for retained := -1; retained != 0; time.Sleep(time.Millisecond) {
		s.onOwner(func(admission.Time) {
			retained = len(s.owner.sessions) + len(s.owner.requests) + len(s.owner.engines) + int(s.owner.usage.engineConnections.Load())
			s.owner.clients.mu.Lock()
			retained += s.owner.clients.sessions
			s.owner.clients.mu.Unlock()
			s.clock.mu.Lock()
			retained += len(s.clock.timers) - 1 // except the admission controller's own timer
			s.clock.mu.Unlock()
			retained += max(0, runtime.NumGoroutine()-before-8) // goroutines of the fake engine and clients may still be ending
		})
		s.sync()
	}
}
