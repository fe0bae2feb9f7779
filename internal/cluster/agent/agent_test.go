package agent

import (
	"fmt"
	"log/slog"
	"net"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/config"
)

// wall is a clock for a gateway's owner.
type wall struct{ began time.Time }

func (w wall) Now() admission.Time { return ticks(time.Since(w.began) + time.Hour) }
func (w wall) After(d admission.Time, f func()) func() {
	t := time.AfterFunc(time.Duration(d)*100*time.Microsecond, f)
	return func() { t.Stop() }
}

// owner stands for the decisions: its module hears what was found.
type owner struct {
	mu     sync.Mutex
	module *admission.Controller
}

type nobody struct{}

func (nobody) SendAttempt(admission.RequestID, admission.EngineID, admission.Time, admission.Time) {}
func (nobody) CancelAttempt(admission.RequestID, int)                                              {}
func (nobody) RejectRequest(admission.RequestID, admission.Time)                                   {}
func (nobody) FailRequest(admission.RequestID)                                                     {}
func (nobody) SetAttemptTerms(admission.RequestID, float64, int)                                   {}
func (nobody) ProbeEngine(admission.EngineID)                                                      {}
func (nobody) SubscribeEndpoints()                                                                 {}
func (nobody) HasSlowStartCapacity(admission.EngineID, float64) (room, shared bool) {
	return false, false
}
func (nobody) ScheduleTick(admission.Time) {}
func (nobody) LogEvent(string)             {}
func (nobody) ReportObservation(admission.EngineID, admission.Observation, admission.Report, float64) {
}
func (o *owner) tell(clock wall) func(func(admission.Time, *admission.Controller)) {
	return func(call func(admission.Time, *admission.Controller)) {
		o.mu.Lock()
		defer o.mu.Unlock()
		call(clock.Now(), o.module)
	}
}

// Four gateways in one process, for the race detector: they find each other, tell of an engine, share threads, and one leaves.
func TestTogether(t *testing.T) {
	folder := t.TempDir()
	writeKey(t, filepath.Join(folder, "key"), ours)
	var addresses []string
	for range 4 {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addresses = append(addresses, c.LocalAddr().String())
		c.Close()
	}
	list := []admission.Endpoint{{Engine: "e1"}, {Engine: "e2"}, {Engine: "e3"}, {Engine: "e4"}}
	var all []*Agent
	clock := wall{time.Now()}
	for i, a := range addresses {
		site := &admission.Deployment{Gateways: 4, GatewayIndex: i, PeerMessages: true, Classes: []admission.Class{{Threads: 1, LatencyObjective: 1000}}}
		start := &config.Config{Name: fmt.Sprint("g", i), Deployment: site, Network: &config.Network{Zones: []string{"a"}, LongestWaits: []time.Duration{50 * time.Millisecond}}}
		f, err := New(Config{Listen: a, Seeds: addresses[:2], Key: filepath.Join(folder, "key"), BytesPerSecond: 1 << 20, ControlSocket: filepath.Join(folder, start.Name+".sock"),
			HistoryFile: filepath.Join(folder, start.Name+".history"), ShareHealth: true,
			Quota: &QuotaConfig{Voters: []string{"g0", "g1", "g2"}, ShareTerm: time.Second, Number: 1, Names: []string{"c"}, Totals: []int64{6}}}, start, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		o := &owner{module: admission.New(clock.Now(), 1, site, nobody{})}
		if err := f.Start(clock, o.tell(clock)); err != nil {
			t.Fatal(err)
		}
		f.HandleEndpoints(clock.Now(), admission.FullUpdate, list)
		o.tell(clock)(func(now admission.Time, r *admission.Controller) { r.UpdateEndpoints(now, admission.FullUpdate, list) })
		all = append(all, f)
	}
	until := func(what string, ok func() bool) {
		t.Helper()
		for by := time.Now().Add(20 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(by) {
				t.Fatalf("not within 20 s: %s", what)
			}
		}
	}
	ask := func(i int) *Status {
		s, err := FetchStatus(all[i].config.ControlSocket)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	until("all know each other", func() bool {
		for i := range all {
			if len(ask(i).Members) != 3 {
				return false
			}
		}
		return true
	})
	until("three failures reach the fourth", func() bool {
		for _, f := range all[:3] {
			f.RecordObservation(clock.Now(), "e2", admission.Erred, admission.NoReport, 1e9)
			f.RecordAttempt(clock.Now(), "t", "e2")
		}
		return ask(3).Engines[1].FailureScore >= 3
	})
	var mu sync.Mutex
	used, most := 0, 0
	until("one of them uses all threads of the fleet", func() bool {
		now := clock.Now()
		all[3].SetDemand(now, 0, 6)
		if all[3].TryReserve(now, 0, 1) && all[3].CommitReservation(now, 0, 1) {
			mu.Lock()
			used++
			most = max(most, used)
			mu.Unlock()
			time.AfterFunc(40*time.Millisecond, func() {
				mu.Lock()
				used--
				mu.Unlock()
				all[3].Release(clock.Now(), 0, 1)
			})
		}
		mu.Lock()
		defer mu.Unlock()
		if most > 6 {
			t.Fatalf("%d of 6 are used", most)
		}
		b := ask(3).Budgets[0]
		return b.Borrowed >= 3
	})
	all[3].Stop()
	until("the others know that it left", func() bool {
		for _, m := range ask(0).Members {
			if m.Name == "g3" {
				return m.State == "left"
			}
		}
		return false
	})
	for _, f := range all[:3] {
		f.Stop()
	}
}
