package driver

import (
	"net"
	"testing"
	"time"

	"magpiebank/internal/testbed/fake"
	"magpiebank/internal/testbed/load/arrival"
	"magpiebank/internal/testbed/load/client"
	"magpiebank/internal/testbed/load/stats"
)

func startFrontend(t *testing.T, work ...fake.Work) *fake.Frontend {
	t.Helper()
	frontend, err := fake.StartFrontend("127.0.0.1:0", work, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(frontend.Close)
	return frontend
}

func newLoad(frontend *fake.Frontend) Load {
	return Load{Targets: []string{frontend.Address}, Shape: &arrival.Shape{Kind: arrival.Steady, Rate: 400},
		Classes: []arrival.Class{{Name: "look", Share: 1, Statements: []string{"SELECT {literal} FROM actas_{group}.mesas"}, Groups: 3,
			LatencyObjective: time.Second, MaxWait: 3 * time.Second}},
		Behavior: client.Behavior{PooledShare: 1, MaxAttempts: 1}, Seed: 1, Length: time.Second, Loops: 2, CheckRows: true}
}

func runLoad(t *testing.T, load Load) *stats.Metrics {
	t.Helper()
	driver, err := Start(load, time.Now().Add(50*time.Millisecond))
	if err != nil {
		t.Fatal(err)
	}
	metrics := driver.Wait()
	if metrics.Total() != 400 {
		t.Errorf("%d of 400 requests have an outcome", metrics.Total())
	}
	return metrics
}

// Every kind of session, and misbehaving clients among them; each request has one outcome and no rule is broken.
func TestSessions(t *testing.T) {
	for _, behavior := range []client.Behavior{{PooledShare: 1}, {HeldOpenShare: 1, Connections: 300}, {}, {PooledShare: 0.5, HeldOpenShare: 0.3, Connections: 8},
		{PooledShare: 1, SlowShare: 0.02, LeavingShare: 0.1, SilentShare: 0.02}} {
		behavior.MaxAttempts = 1
		load := newLoad(startFrontend(t, fake.Work{Rows: 30, Service: fake.ServiceTime{Mean: 2 * time.Millisecond}}))
		load.Behavior = behavior
		metrics := runLoad(t, load)
		if len(metrics.Violations) > 0 || metrics.Count(client.Served)+metrics.Misbehaving.Offered != 400 {
			t.Errorf("%+v: %d served, %d of misbehaving clients, %v", behavior, metrics.Count(client.Served), metrics.Misbehaving.Offered, metrics.Violations)
		}
	}
}

// The checker on the client's side sees what the frontend does wrong: rows of another request, answers given twice,
// answers dropped with their connection.
func TestFrontendFaultsAreCounted(t *testing.T) {
	for _, fault := range []struct {
		name   string
		inject func(*fake.Frontend)
		want   string
	}{
		{"spoilt", func(f *fake.Frontend) { f.CorruptEvery.Store(40) }, stats.ViolationIncompleteRows},
		{"twice", func(f *fake.Frontend) { f.DuplicateEvery.Store(39) }, stats.ViolationUnexpectedAnswer},
		{"dropped", func(f *fake.Frontend) { f.DropEvery.Store(40) }, stats.ViolationConnectionLost},
	} {
		f := startFrontend(t, fake.Work{Rows: 2, Service: fake.ServiceTime{Mean: 60 * time.Millisecond}})
		fault.inject(f)
		if got := runLoad(t, newLoad(f)); got.Violations[fault.want] != 10 || len(got.Violations) != 1 {
			t.Errorf("%s: %v", fault.name, got.Violations)
		}
	}
}

// A frontend that is paused for a while is offered as much as ever, and its delay shows.
func TestStalledFrontendIsOfferedTheSameLoad(t *testing.T) {
	f := startFrontend(t)
	go func() {
		time.Sleep(250 * time.Millisecond)
		f.Pause()
		time.Sleep(500 * time.Millisecond)
		f.Resume()
	}()
	got := runLoad(t, newLoad(f))
	if got.Seconds[0].Offered != 400 || got.Classes[0].Quantile(client.Served, 0.8) < 200*time.Millisecond {
		t.Errorf("%d offered, p80 %v", got.Seconds[0].Offered, got.Classes[0].Quantile(client.Served, 0.8))
	}
}

// A target that refuses connections, one that accepts them and sends nothing, and one that outlasts the attempt timeout.
func TestUnresponsiveTargets(t *testing.T) {
	f := startFrontend(t)
	l := newLoad(f)
	f.Close()
	if got := runLoad(t, l); got.Count(client.NoConnection) != 400 {
		t.Errorf("nobody listens: %d without a connection", got.Count(client.NoConnection))
	}
	silent, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	l.Targets = []string{silent.Addr().String()}
	l.Classes[0].MaxWait = 200 * time.Millisecond
	if got := runLoad(t, l); got.Count(client.TimedOut) != 400 {
		t.Errorf("nothing is sent: %d timed out", got.Count(client.TimedOut))
	}
	l.Targets = []string{startFrontend(t, fake.Work{Rows: 1, Service: fake.ServiceTime{Mean: time.Second}}).Address}
	if got := runLoad(t, l); got.Count(client.TimedOut) != 400 {
		t.Errorf("slow: %d timed out", got.Count(client.TimedOut))
	}
}
