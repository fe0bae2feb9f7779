package healthreport

import (
	"fmt"
	"testing"

	"magpiebank/internal/admission"
)

// newTestPeers returns a table and three gateways whose observations it accepts.
func newTestPeers(t *testing.T) (*Table, []*testGateway) {
	t.Helper()
	h := newTestTable(12)
	var peers []*testGateway
	for i := range 3 {
		p := newTestGateway(12, fmt.Sprint("g", i))
		p.sendEmptyMessages(testTime, h)
		peers = append(peers, p)
	}
	return h, peers
}

// checkScore compares the failure score of engine e1 with the expected one.
func checkScore(t *testing.T, h *Table, at Time, expected float64) {
	t.Helper()
	if score, _ := h.failureScore(at, 1); score != expected {
		t.Errorf("failure score: %.2f, expected %.2f", score, expected)
	}
}

// testTime is the time at which each hard case begins.
const testTime = 100 * second

func TestFindingsInHardCases(t *testing.T) {
	t.Run("own answer counts against what others saw before it", testOwnAnswerOutweighsEarlierFailures)
	t.Run("a restart ends evidence, and what is under way about the start before it", testRestartRemovesObservations)
	t.Run("a peer whose list has a later start ends what was received of the one before", testPeerWithLaterStartRemovesObservations)
	t.Run("how a request failed is sent", testKindOfFailureIsSent)
	t.Run("a message a minute late counts by its age", testLateMessageCountsByItsAge)
	t.Run("a first message of a process is not believed, as it may be old", testFirstMessageIsIgnored)
	t.Run("a later process under the name takes the place of the one before", testLaterIncarnationReplacesEarlier)
	t.Run("a fresh failure bears out those before it, but not for ever", testFreshFailureConfirmsEarlier)
	t.Run("peers' reports eject a part of the engines at most", testEjectedShareIsLimited)
	t.Run("after this process stood still what comes first is what is oldest", testFirstMessageAfterStallIsOldest)
	t.Run("clocks a twentieth fast and slow", testClocksMayDrift)
	t.Run("what is received is never sent on", testReceivedObservationsAreNotForwarded)
	t.Run("no message beyond what is paid for", testBudgetLimitsMessages)
}

func testOwnAnswerOutweighsEarlierFailures(t *testing.T) {
	const now = testTime
	h, peers := newTestPeers(t)
	for _, p := range peers {
		p.Observe(now, engineName(1), admission.Erred, admission.NoReport, 0)
		p.sendMessages(now, h)
	}
	checkScore(t, h, now, 3)
	h.Observe(now+1, engineName(1), admission.Answered, admission.NoReport, 0)
	checkScore(t, h, now+1, 0)
}

func testRestartRemovesObservations(t *testing.T) {
	const now = testTime
	h, peers := newTestPeers(t)
	peers[0].Observe(now, engineName(1), admission.Erred, admission.NoReport, sufficientBudget)
	old := peers[0].NextMessage(now)
	h.mustHandleMessage(now, peers[0].Source, old)
	for _, since := range []Time{now + 100*millisecond, now + 600*millisecond} { // two restarts within a second
		h.UpdateEngines(admission.PartialUpdate, []admission.Endpoint{{Engine: engineName(1), StartedAt: since}})
		checkScore(t, h, now+second, 0)
		h.mustHandleMessage(now+second, peers[0].Source, old)
		checkScore(t, h, now+second, 0)
	}
}

func testPeerWithLaterStartRemovesObservations(t *testing.T) {
	const now = testTime
	h, peers := newTestPeers(t)
	for _, p := range peers[:2] {
		p.Observe(now, engineName(1), admission.Unreached, admission.NoReport, 0)
		p.sendMessages(now, h)
	}
	checkScore(t, h, now, 2)
	peers[2].UpdateEngines(admission.PartialUpdate, []admission.Endpoint{{Engine: engineName(1), StartedAt: now}})
	peers[2].Observe(now+1, engineName(1), admission.Erred, admission.NoReport, 0)
	peers[2].sendMessages(now+1, h)
	checkScore(t, h, now+1, 0)
	peers[0].UpdateEngines(admission.PartialUpdate, []admission.Endpoint{{Engine: engineName(1), StartedAt: now}})
	h.UpdateEngines(admission.PartialUpdate, []admission.Endpoint{{Engine: engineName(1), StartedAt: now}})
	peers[1].Observe(now+2, engineName(1), admission.Erred, admission.NoReport, 0) // this peer's list still has the earlier start
	peers[1].sendMessages(now+2, h)
	checkScore(t, h, now+2, 0)
}

func testKindOfFailureIsSent(t *testing.T) {
	const now = testTime
	h, peers := newTestPeers(t)
	for i, saw := range []admission.Observation{admission.Erred, admission.Unanswered, admission.Unreached} {
		peers[i].Observe(now, engineName(1), saw, admission.NoReport, 0)
		peers[i].sendMessages(now, h)
	}
	if got := fmt.Sprintf("%v", h.Status(now)[1].PeerFailures); got != "[erred unanswered unreached]" {
		t.Error(got)
	}
}

func testLateMessageCountsByItsAge(t *testing.T) {
	const now = testTime
	h, peers := newTestPeers(t)
	peers[0].Observe(now, engineName(1), admission.Erred, admission.NoReport, sufficientBudget)
	old := peers[0].NextMessage(now)
	for at := now; at < now+60*second; at += second {
		h.mustHandleMessage(at, peers[0].Source, newWriter(at).bytes())
	}
	h.mustHandleMessage(now+60*second, peers[0].Source, old)
	checkScore(t, h, now+60*second, 0)
}

func testFirstMessageIsIgnored(t *testing.T) {
	const now = testTime
	h, _ := newTestPeers(t)
	p := newTestGateway(12, "new")
	p.Observe(now, engineName(1), admission.Erred, admission.NoReport, 0)
	p.sendMessages(now, h)
	checkScore(t, h, now, 0)
}

func testLaterIncarnationReplacesEarlier(t *testing.T) {
	const now = testTime
	h, peers := newTestPeers(t)
	peers[0].Observe(now, engineName(1), admission.Erred, admission.NoReport, 0)
	peers[0].sendMessages(now, h)
	next := &testGateway{newTestTable(12), Source{"g0", 2}}
	next.sendEmptyMessages(now, h)
	checkScore(t, h, now, 0)
	peers[0].Observe(now+1, engineName(1), admission.Erred, admission.NoReport, 0)
	peers[0].sendMessages(now+1, h) // the earlier process still sends
	checkScore(t, h, now+1, 0)
}

func testFreshFailureConfirmsEarlier(t *testing.T) {
	const now = testTime
	h, peers := newTestPeers(t)
	for _, p := range peers {
		p.Observe(now, engineName(1), admission.Erred, admission.NoReport, 0)
		p.sendMessages(now, h)
	}
	checkScore(t, h, now+OutcomeLifetime, 0) // no gateway has tried the engine again
	for at := now + OutcomeLifetime; at < now+5*OutcomeLifetime; at += OutcomeLifetime {
		h.peers[0].observations[1].failedAt = at // only g0 observes further failures
		want := 3.0
		if at >= now+ConfirmedFailureLifetime {
			want = 1
		}
		checkScore(t, h, at, want)
	}
}

func testEjectedShareIsLimited(t *testing.T) {
	const now = testTime
	h, _ := newTestPeers(t)
	ejected := 0
	for i := range 40 {
		p := newTestGateway(12, fmt.Sprint("h", i))
		p.sendEmptyMessages(now, h)
		for _, e := range []int{i % 5, (i + 1) % 5} {
			p.Observe(now+1, engineName(e), admission.Erred, admission.NoReport, sufficientBudget)
		}
		p.sendMessages(now+1, h)
		h.VisitChangedFindings(now+1, func(*Finding) {})
	}
	for e := range 12 {
		if h.engines[e].publishedFinding.FailureScore > 0 {
			ejected++
		}
	}
	if ejected != 3 {
		t.Errorf("%d engines of 12 are ejected by peers' reports, expected a quarter", ejected)
	}
}

func testFirstMessageAfterStallIsOldest(t *testing.T) {
	const now = testTime
	h, peers := newTestPeers(t)
	peers[0].Observe(now, engineName(1), admission.Erred, admission.NoReport, sufficientBudget)
	old := peers[0].NextMessage(now + second)
	h.mustHandleMessage(now+21*second, peers[0].Source, old)
	checkScore(t, h, now+21*second, 0)
}

func testClocksMayDrift(t *testing.T) {
	const now = testTime
	for _, rate := range []float64{0.95, 1.05} {
		h := newTestTable(12)
		p := newTestGateway(12, "g")
		at := func(now Time) Time { return Time(float64(now) * rate) }
		for when := now; when < now+100*second; when += second / 2 {
			h.mustHandleMessage(when, p.Source, newWriter(at(when)).bytes())
		}
		when := now + 100*second
		p.Observe(at(when), engineName(1), admission.Erred, admission.NoReport, sufficientBudget)
		h.mustHandleMessage(when, p.Source, p.NextMessage(at(when)))
		checkScore(t, h, when+OutcomeLifetime/2, 1)
		checkScore(t, h, when+OutcomeLifetime, 0)
	}
}

func testReceivedObservationsAreNotForwarded(t *testing.T) {
	const now = testTime
	h, peers := newTestPeers(t)
	for _, p := range peers {
		p.Observe(now, engineName(1), admission.Erred, admission.NoReport, 0)
		p.sendMessages(now, h)
	}
	h.Observe(now, engineName(2), admission.Answered, admission.Report{InFlight: -1, Utilization: 0.3, Memory: -1, Disks: -1}, sufficientBudget)
	m := h.NextMessage(now + second)
	r, err := newReader(m)
	if err != nil {
		t.Fatal(err)
	}
	for e, ok := r.next(); ok; e, ok = r.next() {
		if e.hash == hashName(engineName(1)) {
			t.Error("the gateway sends observations that it received from peers")
		}
	}
}

func testBudgetLimitsMessages(t *testing.T) {
	const now = testTime
	b := New(39, 0.25, 0)
	b.UpdateEngines(admission.FullUpdate, newEndpoints(12))
	b.Observe(now, engineName(1), admission.Erred, admission.NoReport, 39*10)
	if b.NextMessage(now+second) != nil {
		t.Error("a message was sent without budget")
	}
	b.Observe(now, engineName(1), admission.Erred, admission.NoReport, 39*30)
	if b.NextMessage(now+second) == nil {
		t.Error("no message was sent although the budget suffices")
	}
}
