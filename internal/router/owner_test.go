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

// eventStorm handles random events, whatever order they come in.
type eventStorm struct {
	t        *testing.T
	o        *owner
	rng      *rand.Rand
	now      admission.Time
	attempts []*attempt // that have not ended
}

// handleEvent handles one random event.
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

// handleRequest hands in a request on a connection, unless one is in hand there.
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

// trackAttempts takes in the attempts that have started, with a state, and leaves out those that have ended.
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

// checkCopies fails the test if a request has two attempts.
func (e *eventStorm) checkCopies(n int) {
	copies := map[admission.RequestID]int{}
	for _, attempt := range e.attempts {
		copies[attempt.requestID]++
		if copies[attempt.requestID] == 2 {
			e.t.Errorf("event %d: two attempts of request %s are out", n, attempt.requestID)
		}
	}
}

// No order of events brings the owner down, and nothing is kept of what is over.
func TestOwnerTakesEventsInAnyOrder(t *testing.T) {
	s := startFixture(t)
	done := make(chan struct{})
	s.onOwner(func(now admission.Time) {
		defer close(done)
		storm := &eventStorm{t: t, o: s.owner, rng: rand.New(rand.NewSource(1)), now: now}
		for n := range 20000 {
			storm.handleEvent()
			if n%1000 == 0 { // each goes on by itself
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

// A long day: engines with new ids and clients that are always new come and go, and nothing of them is kept.
func TestNothingIsKeptOfWhatIsOver(t *testing.T) {
	e := newFakeEngine(t, "e")
	s := startFixture(t)
	e.fixture = s
	s.awaitLog("serving") // the list of the start is told by then
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
		k := e.receive()
		s.advanceClock(100 * admission.Millisecond)
		e.reply(k, fmt.Sprintf("00000000000000%02x", n), "data", "pages=1,cost=100,need=64", "a\tb\tc\n")
		a.expectAnswer()
		a.socket.Close()
		list(admission.Gone)
	}
	for kept := -1; kept != 0; time.Sleep(time.Millisecond) {
		s.onOwner(func(admission.Time) {
			kept = len(s.owner.sessions) + len(s.owner.requests) + len(s.owner.engines) + int(s.owner.usage.engineConnections.Load())
			s.owner.clients.mu.Lock()
			kept += s.owner.clients.sessions
			s.owner.clients.mu.Unlock()
			s.clock.mu.Lock()
			kept += len(s.clock.timers) - 1 // the module's own
			s.clock.mu.Unlock()
			kept += max(0, runtime.NumGoroutine()-before-8) // those of the stand-ins, as they end
		})
		s.sync()
	}
}
