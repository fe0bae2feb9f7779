// Package sqlclient sends single requests through an independent implementation of the MySQL protocol and returns the
// outcome of each. It is for runs that check individual answers; package client is for loads of many requests.
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

// Outcomes of a request. Any other outcome is the text of an error that no gateway should return.
const (
	Served         = "delivered"
	Rejected       = "nacked"
	Failed         = "written off"
	ConnectionLost = "broken"            // the connection closed before an answer
	NotConnected   = "not taken"         // no connection was established, so the request was not sent
	TimedOut       = "no answer in time" // no answer within the wait and one more second
)

// Numbers of the errors with which a gateway rejects a request or reports a failed one.
const (
	errorRejected = 1203
	errorFailed   = 1317
)

// silenceDriver discards what the driver logs about lost connections, because runs break connections on purpose.
var silenceDriver = sync.OnceFunc(func() {
	err := driver.SetLogger(&driver.NopLogger{})
	if err != nil {
		panic(err) // SetLogger fails only without a logger
	}
})

// Open returns a database handle for the gateway at an address.
func Open(address string) (*sql.DB, error) {
	silenceDriver()
	return sql.Open("mysql", "app@tcp("+address+")/reports?timeout=1s")
}

// Query sends one request, which may wait for the given time, and returns its outcome. Rows whose first column is not
// the request's id don't count as an answer.
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
	defer func() { _ = conn.Close() }() // an error is ignored, because the outcome is known by then
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

// queryRows runs a query and returns the number of rows whose first column is the request's id.
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
