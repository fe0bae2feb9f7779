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

// No order of events brings the owner down, and nothing is kept of what is over.
func TestOwnerTakesEventsInAnyOrder(t *testing.T) {
	s := startFixture(t)
	done := make(chan struct{})
	s.onOwner(func(now admission.Time) {
		defer close(done)
		o, rng := s.o, rand.New(rand.NewSource(1))
		var out []*attempt
		for n := range 20000 {
			name := admission.EngineID(fmt.Sprint("e", rng.Intn(5)))
			switch rng.Intn(8) {
			case 0, 1:
				l := []admission.Endpoint{{Engine: name, State: admission.EndpointState(rng.Intn(3))},
					{Engine: name, State: admission.EndpointState(rng.Intn(3))}}
				o.handleEndpoints(now, admission.UpdateKind(rng.Intn(3)), l, []string{"127.0.0.1:1", "127.0.0.1:2"})
			case 2, 3:
				c := uint32(rng.Intn(20))
				if o.sessions[c] == nil || o.sessions[c].request == nil {
					k := &clientSession{owner: o, connectionID: c, events: newSessionQueue(func(sessionEvent) {})}
					o.sessions[c] = k
					k.request = &request{id: admission.RequestID(fmt.Sprint(rng.Intn(30))), responder: k, class: rng.Intn(2), deadline: now + admission.Second}
					o.handleRequest(now, k.request)
				}
			case 4:
				o.killQuery(now, uint32(rng.Intn(25)))
			case 5, 6:
				if len(out) > 0 {
					o.handleAttemptEnd(now, out[rng.Intn(len(out))], admission.Outcome(rng.Intn(9)))
				}
			default:
				o.admission.HandleProbeResult(now, name, admission.Outcome(rng.Intn(9)), admission.NoReport)
				now += admission.Time(rng.Intn(50))
			}
			if n%1000 == 0 { // each goes on by itself
				o.admission.Tick(now)
			}
			for _, c := range o.sessions {
				if c.request == nil {
					continue
				}
				if attempt := c.request.current; attempt != nil && !slices.Contains(out, attempt) {
					attempt.state.Store([]int32{attemptUnwritten, attemptWritten}[n%2])
					out = append(out, attempt)
				}
			}
			out = slices.DeleteFunc(out, func(attempt *attempt) bool { return attempt.ended && attempt.cancelOutcome == admission.Served })
			copies := map[admission.RequestID]int{}
			for _, attempt := range out {
				if copies[attempt.requestID]++; copies[attempt.requestID] == 2 {
					t.Errorf("event %d: two attempts of request %s are out", n, attempt.requestID)
				}
			}
		}
	})
	<-done
	s.advanceClock(20 * admission.Second)
	s.onOwner(func(admission.Time) { s.tracef("%d requests in hand", len(s.o.requests)) })
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
				s.o.handleEndpoints(now, admission.PartialUpdate, []admission.Endpoint{{Engine: name, State: state}},
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
			kept = len(s.o.sessions) + len(s.o.requests) + len(s.o.engines) + int(s.o.usage.engineConnections.Load())
			s.o.clients.mu.Lock()
			kept += s.o.clients.sessions
			s.o.clients.mu.Unlock()
			s.clock.mu.Lock()
			kept += len(s.clock.timers) - 1 // the module's own
			s.clock.mu.Unlock()
			kept += max(0, runtime.NumGoroutine()-before-8) // those of the stand-ins, as they end
		})
		s.sync()
	}
}
