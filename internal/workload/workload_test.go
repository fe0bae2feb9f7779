package workload_test

import (
	"bytes"
	"context"
	"database/sql"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	driver "github.com/go-sql-driver/mysql"

	"magpiebank/internal/config"
	"magpiebank/internal/router"
	"magpiebank/internal/testbed/fake"
	"magpiebank/internal/workload"
	"magpiebank/internal/workload/source"
)

const settings = `{"fleetSize":1,"zones":["norte","sur"],"skus":["std"],
 "classes":[{"name":"look","sloUs":1000000,"deadlineUs":4000000,"worth":1,"effect":"read_like"},
  {"name":"load","sloUs":4000000,"worth":10,"effect":"non_idempotent"}],
 "familyInfo":{"dop":[1,2],"kindCores":[8],"saysCost":true,"loads":[false,true]},
 "limits":{"cancel":true,"maxAttempts":4,"multiplex":2,"keepaliveUs":30000000,"connectTimeoutUs":250000,
  "retryAfter":true,"maxRetryAfterUs":2000000},"rules":{}}`

const operatorFile = `{ statements: { log_every: '1s', snapshot: '%s',
 pools: [{ name: 'n', zones: ['norte'] }],
 classes: [{ name: 'never', when: { full: true, limited: false, tables: [{ name: 'mesas' }] }, refuse: 'ask for one distrito' },
  { name: 'slow', when: { full: true }, pool: 'n', threads: 1, waiting: 1 }] } }`

type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

func (l *logBuffer) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}

// gateway is a gateway with an operator's file, two fake engines, one in each zone, and a client that uses a third-party driver.
type gateway struct {
	t         *testing.T
	log       logBuffer
	manager   *workload.Manager
	address   string
	db        *sql.DB
	engines   [2]*fake.Engine
	endpoints [2]fake.Endpoint
	discovery *fake.Discovery
	shutDown  func()
}

func startGateway(t *testing.T, text string) *gateway {
	t.Helper()
	if err := driver.SetLogger(&driver.NopLogger{}); err != nil {
		t.Fatal(err)
	}
	g := &gateway{t: t}
	g.startEngines()
	start := g.configure()
	logger := slog.New(slog.NewTextHandler(&g.log, nil))
	f, err := source.Parse("operator.jsonnet", text)
	if err != nil {
		t.Fatal(err)
	}
	g.manager, err = workload.NewManager(f.Statements, start, logger)
	if err != nil {
		t.Fatal(err)
	}
	stop, ended := make(chan struct{}), make(chan error)
	go func() { ended <- router.Serve(start, router.Options{ResourceGroups: g.manager}, logger, stop, nil) }()
	g.db, err = sql.Open("mysql", "app@tcp("+g.address+")/reports?timeout=2s")
	if err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(5 * time.Second); g.db.PingContext(t.Context()) != nil; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal(g.db.PingContext(t.Context()))
		}
	}
	g.shutDown = func() {
		if err := g.db.Close(); err != nil {
			t.Error(err)
		}
		close(stop)
		if err := <-ended; err != nil {
			t.Error(err)
		}
		g.manager.SaveSnapshot()
		g.discovery.Close()
		for _, engine := range g.engines {
			engine.Close()
		}
	}
	return g
}

// startEngines starts the engines and a discovery service that lists them.
func (g *gateway) startEngines() {
	g.t.Helper()
	for i, zone := range []string{"norte", "sur"} {
		name := "e-" + zone
		engine, err := fake.StartEngine(name, "127.0.0.1:0", fake.EngineBehavior{Threads: 8, Cores: 8, Works: []fake.Work{
			{Contains: "otra", Service: fake.ServiceTime{Mean: 300 * time.Millisecond}, Rows: 1}, {Service: fake.ServiceTime{Mean: 2 * time.Millisecond}, Rows: 1, MemoryMB: 32}}}, fake.NewExecutionLog(), 1)
		if err != nil {
			g.t.Fatal(err)
		}
		g.engines[i], g.endpoints[i] = engine, fake.Endpoint{ID: name, Address: engine.Address, Zone: zone, Kind: "std", State: "Ready"}
	}
	var err error
	g.discovery, err = fake.StartDiscovery("127.0.0.1:0", g.endpoints[:])
	if err != nil {
		g.t.Fatal(err)
	}
}

// configure chooses the gateway's address and returns its configuration.
func (g *gateway) configure() *config.Config {
	g.t.Helper()
	listener, err := new(net.ListenConfig).Listen(g.t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		g.t.Fatal(err)
	}
	g.address = listener.Addr().String()
	listener.Close()
	path := filepath.Join(g.t.TempDir(), "configuration.json")
	configuration := fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"1","coordinator":%q,"known":%s,"settings":%s}`, g.address,
		g.discovery.Address, g.discovery.Snapshot(), settings)
	if err := os.WriteFile(path, []byte(configuration), 0o600); err != nil {
		g.t.Fatal(err)
	}
	start, err := config.ReadFile(path)
	if err != nil {
		g.t.Fatal(err)
	}
	return start
}

// query sends a statement and returns the number and text of the error, or 0 if there was none.
func (g *gateway) query(id int, class, statement string) (number uint16, text string) {
	rows, err := g.db.QueryContext(context.Background(), fmt.Sprintf("/* class=%s,id=%016x,wait=3900 */ %s", class, id, statement))
	if err == nil {
		for rows.Next() {
		}
		err = errors.Join(rows.Err(), rows.Close())
	}
	var e *driver.MySQLError
	if errors.As(err, &e) {
		return e.Number, e.Message
	}
	if err != nil {
		g.t.Error(err)
	}
	return 0, ""
}

func (g *gateway) waitForLog(text string) {
	for deadline := time.Now().Add(10 * time.Second); !strings.Contains(g.log.text(), text); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			g.t.Fatalf("%q is not in the log\n%s", text, g.log.text())
		}
	}
}

// queryConcurrently sends a statement n times concurrently and counts the results by error number; 0 stands for success.
func (g *gateway) queryConcurrently(from, n int, statement string) map[uint16]int {
	errorCounts := map[uint16]int{}
	var mu sync.Mutex
	var queries sync.WaitGroup
	for i := range n {
		queries.Add(1)
		go func() {
			defer queries.Done()
			number, _ := g.query(from+i, "look", statement)
			mu.Lock()
			errorCounts[number]++
			mu.Unlock()
		}()
	}
	queries.Wait()
	return errorCounts
}

func TestOperatorFileOnAGateway(t *testing.T) {
	snapshotFile := filepath.Join(t.TempDir(), "snapshot")
	g := startGateway(t, fmt.Sprintf(operatorFile, snapshotFile))
	if number, text := g.query(1, "look", "SELECT nota FROM actas_3.mesas"); number != 1104 || text != "class never: ask for one distrito" {
		t.Errorf("statement of the class never: %d %q", number, text)
	}
	for i := range 20 {
		if number, text := g.query(10+i, "look", "SELECT nota FROM actas_3.mesas WHERE clave = 'x'"); number != 0 {
			t.Errorf("look-up: error %d %s", number, text)
		}
	}
	// One request runs on the engine in norte, one waits for it, and the others are rejected at once.
	if errorCounts := g.queryConcurrently(100, 6, "SELECT a FROM actas_3.otra"); errorCounts[0] != 2 || errorCounts[1203] != 4 {
		t.Errorf("6 concurrent statements: %v by error number, want 2 successes and 4 errors 1203", errorCounts)
	}
	if _, maxInFlight := g.engines[0].InFlight(); maxInFlight != 1 {
		t.Errorf("%d requests in flight at a time in norte, want 1", maxInFlight)
	}
	// When the pool's last engine leaves, a request of its class is rejected in time and not sent to sur, which serves other requests.
	g.endpoints[0].State = "Gone"
	g.discovery.Publish(g.endpoints[0])
	time.Sleep(300 * time.Millisecond)
	started := time.Now()
	if number, _ := g.query(200, "look", "SELECT a FROM actas_3.otra"); number != 1203 || time.Since(started) > 2*time.Second {
		t.Errorf("pool without engines: error %d after %v, want 1203 within 2 s", number, time.Since(started))
	}
	if number, _ := g.query(201, "look", "SELECT nota FROM actas_3.mesas WHERE clave = 'x'"); number != 0 {
		t.Errorf("look-up: error %d", number)
	}
	// Another file is put in force completely or not at all.
	f, err := source.Parse("operator.jsonnet", "{ statements: { log_every: '1s', pools: [{ name: 'x', zones: ['este'] }] } }")
	if err != nil {
		t.Fatal(err)
	}
	g.manager.ReplaceFile(f.Statements)
	g.waitForLog(`code=kept error="statements.pools[0].zones: expected some of`)
	g.manager.ReplaceFile(nil)
	g.waitForLog("code=renewed pools=0 classes=0")
	if number, _ := g.query(300, "look", "SELECT nota FROM actas_3.mesas"); number != 0 {
		t.Errorf("statement of the former class never: error %d", number)
	}
	if number, _ := g.query(301, "load", "INSERT INTO actas_3.mesas SELECT * FROM staging.l"); number != 0 {
		t.Errorf("load: error %d", number)
	}
	g.waitForLog("msg=statements seen=")
	g.shutDown()
	g.waitForLog("code=saved")
	snapshot, err := workload.ReadSnapshot(snapshotFile)
	if err != nil {
		t.Fatal(err)
	}
	if shapes, answers := snapshot.CountRecords(); shapes != 4 || answers != 25 {
		t.Errorf("snapshot has %d shapes and %d answers, want 4 and 25", shapes, answers)
	}
	checkRestarts(t, snapshotFile)
}

// checkRestarts checks that a restart recovers the snapshot, and that with a truncated snapshot the cost model starts empty and that is
// logged.
func checkRestarts(t *testing.T, snapshotFile string) {
	t.Helper()
	g := startGateway(t, fmt.Sprintf(operatorFile, snapshotFile))
	g.waitForLog("code=recovered")
	g.shutDown()
	b, err := os.ReadFile(snapshotFile)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(snapshotFile, b[:len(b)/2], 0o600); err != nil {
		t.Fatal(err)
	}
	g = startGateway(t, fmt.Sprintf(operatorFile, snapshotFile))
	g.waitForLog("code=cold error=")
	g.shutDown()
}
