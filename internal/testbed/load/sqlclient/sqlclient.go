// Package sqlclient sends requests one by one, by another project's client of the protocol, and returns how each ended. It
// is for runs that check single answers, where package client is for many.
package sqlclient

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"sync"
	"time"

	driver "github.com/go-sql-driver/mysql"
)

// Outcomes of a request. Any other text is an error that no gateway should give.
const (
	Served         = "delivered"
	Rejected       = "nacked"
	Failed         = "written off"
	ConnectionLost = "broken"            // the connection ended without an answer
	NotConnected   = "not taken"         // there was no connection, so no request
	TimedOut       = "no answer in time" // nor a second after
)

// Numbers of errors by which a gateway rejects a request, or reports one as failed.
const (
	errorRejected = 1203
	errorFailed   = 1317
)

// silenceDriver throws away what the driver logs of lost connections, because runs break them on purpose.
var silenceDriver = sync.OnceFunc(func() {
	err := driver.SetLogger(&driver.NopLogger{})
	if err != nil {
		panic(err) // it is given a logger
	}
})

// Open returns a client of the gateway at an address.
func Open(address string) (*sql.DB, error) {
	silenceDriver()
	return sql.Open("mysql", "app@tcp("+address+")/reports?timeout=1s")
}

// Query sends one request, which waits for so long, and returns its outcome. Rows that don't hold its id are no answer.
func Query(db *sql.DB, class, id, statement string, wait time.Duration) string {
	ctx, cancel := context.WithTimeout(context.Background(), wait+time.Second)
	defer cancel()
	conn, err := db.Conn(ctx)
	var serverError *driver.MySQLError
	if errors.As(err, &serverError) {
		return serverError.Error()
	} else if err != nil {
		return NotConnected
	}
	defer func() { _ = conn.Close() }() // the request has its outcome by then
	count, err := queryRows(ctx, conn, id, fmt.Sprintf("/* class=%s,id=%s,wait=%d */ %s", class, id, wait.Milliseconds(), statement))
	switch {
	case err == nil && count > 0:
		return Served
	case errors.As(err, &serverError) && serverError.Number == errorRejected:
		return Rejected
	case errors.As(err, &serverError) && serverError.Number == errorFailed:
		return Failed
	case err == nil || errors.As(err, &serverError):
		return fmt.Sprintf("%d rows, %v", count, err)
	case ctx.Err() != nil:
		return TimedOut
	}
	return ConnectionLost
}

// queryRows runs a query and counts the rows whose first column is the request's id.
func queryRows(ctx context.Context, conn *sql.Conn, id, query string) (count int, err error) {
	rows, err := conn.QueryContext(ctx, query)
	if err != nil {
		return 0, err
	}
	for rows.Next() {
		var first, second, third string
		if rows.Scan(&first, &second, &third) == nil && first == id {
			count++
		}
	}
	return count, errors.Join(rows.Err(), rows.Close())
}
