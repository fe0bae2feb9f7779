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

func front(t *testing.T, w ...fake.Work) *fake.Frontend {
	f, err := fake.StartFrontend("127.0.0.1:0", w, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

func load(f *fake.Frontend) Load {
	return Load{Targets: []string{f.Address}, Shape: &arrival.Shape{Kind: arrival.Steady, Rate: 400},
		Classes: []arrival.Class{{Name: "look", Share: 1, Statements: []string{"SELECT {literal} FROM actas_{group}.mesas"}, Groups: 3,
			LatencyObjective: time.Second, MaxWait: 3 * time.Second}},
		Behavior: client.Behavior{PooledShare: 1, MaxAttempts: 1}, Seed: 1, Length: time.Second, Loops: 2, CheckRows: true}
}

func play(t *testing.T, l Load) *stats.Metrics {
	t.Helper()
	d, err := Start(l, time.Now().Add(50*time.Millisecond))
	if err != nil {
		t.Fatal(err)
	}
	f := d.Wait()
	if f.Total() != 400 {
		t.Errorf("%d of 400 tasks have an outcome", f.Total())
	}
	return f
}

// Every kind of session, and odd clients among them; each request has one outcome and no rule is broken.
func TestSessions(t *testing.T) {
	for _, m := range []client.Behavior{{PooledShare: 1}, {HeldOpenShare: 1, Connections: 300}, {}, {PooledShare: 0.5, HeldOpenShare: 0.3, Connections: 8},
		{PooledShare: 1, SlowShare: 0.02, LeavingShare: 0.1, SilentShare: 0.02}} {
		m.MaxAttempts = 1
		l := load(front(t, fake.Work{Rows: 30, Service: fake.ServiceTime{Mean: 2 * time.Millisecond}}))
		l.Behavior = m
		f := play(t, l)
		if len(f.Violations) > 0 || f.Count(client.Served)+f.Misbehaving.Offered != 400 {
			t.Errorf("%+v: %d delivered, %d odd, %v", m, f.Count(client.Served), f.Misbehaving.Offered, f.Violations)
		}
	}
}

// The checker on the client's side sees what the front does wrong: rows of another request, answers given twice, answers
// dropped with their connection.
func TestChecker(t *testing.T) {
	for _, c := range []struct {
		name  string
		spoil func(*fake.Frontend)
		want  string
	}{
		{"spoilt", func(f *fake.Frontend) { f.Spoil.Store(40) }, stats.ViolationIncompleteRows},
		{"twice", func(f *fake.Frontend) { f.Double.Store(39) }, stats.ViolationUnexpectedAnswer},
		{"dropped", func(f *fake.Frontend) { f.Drop.Store(40) }, stats.ViolationConnectionLost},
	} {
		f := front(t, fake.Work{Rows: 2, Service: fake.ServiceTime{Mean: 60 * time.Millisecond}})
		c.spoil(f)
		if got := play(t, load(f)); got.Violations[c.want] != 10 || len(got.Violations) != 1 {
			t.Errorf("%s: %v", c.name, got.Violations)
		}
	}
}

// A front that stands still for a while is offered as much as ever, and what it delays shows.
func TestStall(t *testing.T) {
	f := front(t)
	go func() {
		time.Sleep(250 * time.Millisecond)
		f.Pause()
		time.Sleep(500 * time.Millisecond)
		f.Resume()
	}()
	got := play(t, load(f))
	if got.Seconds[0].Offered != 400 || got.Classes[0].Quantile(client.Served, 0.8) < 200*time.Millisecond {
		t.Errorf("%d offered, p80 %v", got.Seconds[0].Offered, got.Classes[0].Quantile(client.Served, 0.8))
	}
}

// Nobody there; somebody who takes connections and says nothing; attempt timeout over while a query is out.
func TestNobody(t *testing.T) {
	f := front(t)
	l := load(f)
	f.Close()
	if got := play(t, l); got.Count(client.NoConnection) != 400 {
		t.Errorf("nobody listens: %d found nobody", got.Count(client.NoConnection))
	}
	dumb, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer dumb.Close()
	l.Targets = []string{dumb.Addr().String()}
	l.Classes[0].MaxWait = 200 * time.Millisecond
	if got := play(t, l); got.Count(client.TimedOut) != 400 {
		t.Errorf("nothing is said: %d gave up", got.Count(client.TimedOut))
	}
	l.Targets = []string{front(t, fake.Work{Rows: 1, Service: fake.ServiceTime{Mean: time.Second}}).Address}
	if got := play(t, l); got.Count(client.TimedOut) != 400 {
		t.Errorf("slow: %d gave up", got.Count(client.TimedOut))
	}
}
