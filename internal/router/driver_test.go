package router

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"testing"
	"time"

	driver "github.com/go-sql-driver/mysql"

	"magpiebank/internal/testbed/fake"
)

// countRows sends a query and returns the number of rows in its result. It fails the test if a row differs from what the fake engine
// generates.
func countRows(ctx context.Context, t *testing.T, db *sql.DB, class, id, statement string) (rows int, err error) {
	t.Helper()
	got, err := db.QueryContext(ctx, "/* class="+class+",id="+id+",wait=1900 */ "+statement)
	if err != nil {
		return 0, err
	}
	defer func() { _ = got.Close() }()
	for got.Next() {
		var a, b, c string
		if err := got.Scan(&a, &b, &c); err != nil || a != id || b != fmt.Sprintf("%d/500", rows+1) || c != "acta" {
			t.Fatalf("%v: %q %q %q", err, a, b, c)
		}
		rows++
	}
	return rows, got.Err()
}

// errorNumber returns the number of a MySQL error packet, or 0 for other errors.
func errorNumber(err error) uint16 {
	var e *driver.MySQLError
	errors.As(err, &e)
	if e == nil {
		return 0
	}
	return e.Number
}

// The gateway works with an independent MySQL client: ping, rows, a failed answer, a cancelled context and a rejection.
func TestMySQLDriver(t *testing.T) {
	_ = driver.SetLogger(&driver.NopLogger{})
	e, err := fake.StartEngine("e-1", "127.0.0.1:0", fake.EngineBehavior{Threads: 4, Cores: 8, Works: []fake.Work{
		{Contains: "slow", Service: fake.ServiceTime{Mean: 30 * time.Second}}, {Rows: 500}}}, fake.NewExecutionLog(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	entry := fake.Endpoint{ID: "e-1", Address: e.Address, Zone: "hall", Kind: "std", State: "Ready"}
	list, err := fake.StartDiscovery("127.0.0.1:0", []fake.Endpoint{entry})
	if err != nil {
		t.Fatal(err)
	}
	defer list.Close()
	address, stop := startGateway(t, list, settings)
	db, err := sql.Open("mysql", "app@tcp("+address+")/reports?timeout=2s")
	if err != nil {
		t.Fatal(err)
	}
	for by := time.Now().Add(5 * time.Second); db.PingContext(context.Background()) != nil; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(by) {
			t.Fatal(db.PingContext(context.Background()))
		}
	}
	ctx := context.Background()
	if rows, err := countRows(ctx, t, db, "look", "00000000000000a1", "SELECT a FROM actas_3.m"); rows != 500 || err != nil {
		t.Errorf("rows: %d, %v", rows, err)
	}
	e.FailQueries(1)
	if _, err := countRows(ctx, t, db, "load", "00000000000000a2", "SELECT a FROM actas_3.m"); errorNumber(err) != 1317 {
		t.Errorf("a failed answer: %v", err)
	}
	e.FailQueries(0)
	short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	if _, err := countRows(short, t, db, "look", "00000000000000a3", "SELECT slow FROM actas_3.m"); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("a cancelled context: %v", err)
	}
	entry.State = "Gone"
	list.Publish(entry)
	for by := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) { // until the gateway has received the update
		_, err := countRows(ctx, t, db, "look", fmt.Sprintf("%016x", time.Now().UnixNano()), "SELECT a FROM actas_3.m")
		if errorNumber(err) == 1203 {
			break
		}
		if time.Now().After(by) {
			t.Fatalf("without an engine, the query ended with: %v", err)
		}
	}
	_ = db.Close()
	stop()
}

// Prints the times, in seconds, at which a failure is logged that repeats four times a second, with one success at 250 s.
func Example_logLimiter() {
	var l logLimiter
	from := time.Unix(0, 0)
	for n := range 4 * 300 {
		now := from.Add(time.Duration(n) * 250 * time.Millisecond)
		if l.allow(now, n == 1000) {
			fmt.Print(now.Sub(from).Seconds(), " ")
		}
	}
	// Output: 0 1 3 7 15 31 63 123 183 243 250 250.25 251.25 253.25 257.25 265.25 281.25
}
