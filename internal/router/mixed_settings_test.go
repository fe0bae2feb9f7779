package router

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	driver "github.com/go-sql-driver/mysql"

	"magpiebank/internal/config"
	"magpiebank/internal/testbed/fake"
)

// Settings of a deployment during a migration, in which gateways with the old and the new settings run at the same time. With
// the old settings a gateway sends health checks and uses the reported utilization. With the new ones it sends no health
// checks, reads the number of queries in flight from the engines' answers, receives notices every 100 ms, and sends requests
// of class report only to engines of kind a.
const (
	commonSettingsFormat = `"zones":["hall"],"skus":["a","b"],"familyInfo":{"dop":[1,2],"kindCores":[4,4]%s},
 "limits":{"cancel":true,"probes":%v,"maxAttempts":3,"multiplex":4,"keepaliveUs":30000000,"connectTimeoutUs":250000,
  "retryAfter":true,"maxRetryAfterUs":1000000},"rules":{},"stats":{"how":%q,"fields":[%s]}`
	oldSettingsFormat = `{"fleetSize":2,"me":0,"classes":[{"name":"look","sloUs":1000000,"worth":1,"effect":"read_like"},
 {"name":"report","sloUs":2000000,"worth":4,"effect":"read_like"}],` + commonSettingsFormat + `}`
	newSettingsFormat = `{"fleetSize":2,"me":1,"classes":[{"name":"look","sloUs":1000000,"worth":1,"effect":"read_like"},
 {"name":"report","sloUs":2000000,"worth":4,"effect":"read_like","servedOn":[0]}],` + commonSettingsFormat + `}`
)

// runQuery sends a query of a class and reads its result to the end.
func runQuery(db *sql.DB, class, id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	rows, err := db.QueryContext(ctx, "/* class="+class+",id="+id+",wait=1900 */ SELECT a FROM t.m")
	if err != nil {
		return err
	}
	defer func() { _ = rows.Close() }()
	for rows.Next() {
	}
	return rows.Err()
}

// servedCounter counts the served requests, by the prefix of their ids and by class. The prefix identifies the gateway.
type servedCounter struct {
	mu    sync.Mutex
	count map[string]int
}

// sendRequests sends a client's requests one after the other. It fails the test if the gateway answers one with neither a
// result nor an error packet.
func (s *servedCounter) sendRequests(t *testing.T, db *sql.DB, prefix string, client int) {
	t.Helper()
	for n := range 40 {
		class := []string{"look", "look", "look", "report"}[n%4]
		id := fmt.Sprintf("%s%02x%011x%d", prefix, client, n, n%4/3) // ids of class report end in 1
		err := runQuery(db, class, id)
		if rejection := (*driver.MySQLError)(nil); err != nil && !errors.As(err, &rejection) {
			t.Errorf("%s: no answer from the gateway: %v", id, err)
		}
		if err == nil {
			s.mu.Lock()
			s.count[prefix+" "+class]++
			s.mu.Unlock()
		}
	}
}

// check fails the test if less than nine tenths of the requests of any prefix and class were served.
func (s *servedCounter) check(t *testing.T) {
	t.Helper()
	for _, key := range []string{"0a look", "0a report", "0b look", "0b report"} {
		sent := 40
		if strings.HasSuffix(key, "look") {
			sent = 120
		}
		if s.count[key] < sent*9/10 {
			t.Errorf("%s: %d of %d requests served", key, s.count[key], sent)
		}
	}
}

// startEngines starts two engines of kind a and one of kind b, each with the execution log of its kind.
func startEngines(t *testing.T, behavior fake.EngineBehavior, logs map[string]*fake.ExecutionLog) (entries []fake.Endpoint) {
	t.Helper()
	for i, kind := range []string{"a", "a", "b"} {
		e, err := fake.StartEngine(fmt.Sprint("e-", i), "127.0.0.1:0", behavior, logs[kind], uint64(i+1))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { e.Close() })
		entries = append(entries, fake.Endpoint{ID: e.Name, Address: e.Address, Zone: "hall", Kind: kind, State: "Ready"})
	}
	return entries
}

// A gateway with the old settings and one with the new settings send to the same engines. Each request must get one answer,
// the new gateway must send reports to engines of kind a only, and neither gateway may starve the other. Once the engine list
// announces that the engine of kind b is terminating, neither gateway may send it more requests.
func TestOldAndNewSettingsSideBySide(t *testing.T) {
	_ = driver.SetLogger(&driver.NopLogger{})
	logOfKindA, logOfKindB := fake.NewExecutionLog(), fake.NewExecutionLog()
	behavior := fake.EngineBehavior{Threads: 4, Cores: 4, MaxHeld: 40, NoticeInterval: 100 * time.Millisecond, Works: []fake.Work{
		{Class: "look", Service: fake.ServiceTime{Mean: 20 * time.Millisecond}},
		{Class: "report", Service: fake.ServiceTime{Mean: 150 * time.Millisecond}}}}
	entries := startEngines(t, behavior, map[string]*fake.ExecutionLog{"a": logOfKindA, "b": logOfKindB})
	list, err := fake.StartDiscovery("127.0.0.1:0", entries)
	if err != nil {
		t.Fatal(err)
	}
	defer list.Close()
	oldSettings := fmt.Sprintf(oldSettingsFormat, "", true, "probe", `"util"`)
	newSettings := fmt.Sprintf(newSettingsFormat, `,"progressPaceUs":100000`, false, "answers", `"inflight"`)
	var goroutines sync.WaitGroup
	served := servedCounter{count: map[string]int{}}
	var drained time.Time
	goroutines.Go(func() {
		time.Sleep(time.Second)
		drained = time.Now()
		draining := entries[2] // a copy, because the engine list refers to the entries themselves
		draining.State = "Terminating"
		list.Publish(draining)
	})
	for _, gateway := range []struct{ prefix, settings string }{{"0a", oldSettings}, {"0b", newSettings}} {
		address, stop := startGateway(t, list, gateway.settings)
		defer stop()
		db, err := sql.Open("mysql", "app@tcp("+address+")/reports?timeout=2s")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = db.Close() }()
		for client := range 4 {
			goroutines.Go(func() { served.sendRequests(t, db, gateway.prefix, client) })
		}
	}
	goroutines.Wait()
	served.check(t)
	const drainNoticeTime = 500 * time.Millisecond // the list answers a waiting poll at once, and the gateway then stops sending
	late, before := 0, 0
	logOfKindB.Each(func(record fake.ExecutionRecord) {
		if strings.HasPrefix(record.ID, "0b") && strings.HasSuffix(record.ID, "1") {
			t.Errorf("%s: an engine of kind b received a report of the gateway with the new settings", record.ID)
		}
		if record.ReceivedAt.After(drained.Add(drainNoticeTime)) {
			late++
		} else if record.ReceivedAt.Before(drained) {
			before++
		}
	})
	if before == 0 {
		t.Error("the engine of kind b received no request before it began to drain, so the test did not exercise the drain")
	}
	if late > 0 {
		t.Errorf("the draining engine received %d requests later than %v after the list announced the drain", late, drainNoticeTime)
	}
}

// startGateway starts a gateway with the given settings that follows an engine list. stop ends it and waits for its end.
func startGateway(t *testing.T, list *fake.Discovery, settings string) (address string, stop func()) {
	t.Helper()
	listener, err := listenTCP("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address = listener.Addr().String()
	listener.Close()
	path := filepath.Join(t.TempDir(), "configuration.json")
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"1","coordinator":%q,"known":%s,"settings":%s}`,
		address, list.Address, list.Snapshot(), settings)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	start, err := config.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	done, ended := make(chan struct{}), make(chan error, 1)
	go func() { ended <- Serve(start, Options{}, slog.New(slog.NewTextHandler(io.Discard, nil)), done, nil) }()
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if c, err := dialTCP(address); err == nil {
			c.Close()
			break
		} else if time.Now().After(deadline) {
			t.Fatal(err)
		}
	}
	return address, func() {
		close(done)
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}
