// Package sqlclient sends requests one by one, by another project's client of the protocol, and tells how each ended: for runs whose checks
// are about single answers, where package client is about many.
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

// How a request ended. Any other text is an error that no gateway should give.
const (
	Served         = "delivered"
	Rejected       = "nacked"
	Failed         = "written off"
	ConnectionLost = "broken"            // the connection ended without an answer
	NotConnected   = "not taken"         // there was no connection, so no request
	TimedOut       = "no answer in time" // nor a second after
)

// hush throws away what the driver says of connections that break, as they are meant to.
var hush = sync.OnceFunc(func() { driver.SetLogger(quiet{}) })

type quiet struct{}

func (quiet) Print(...any) {}

// Open is a client of the gateway at an address.
func Open(address string) (*sql.DB, error) {
	hush()
	return sql.Open("mysql", "app@tcp("+address+")/reports?timeout=1s")
}

// Query sends one request, which waits for so long, and tells how it ended. Rows that don't bear its id are no answer.
func Query(db *sql.DB, lane, id, statement string, wait time.Duration) string {
	ctx, cancel := context.WithTimeout(context.Background(), wait+time.Second)
	defer cancel()
	conn, err := db.Conn(ctx)
	var e *driver.MySQLError
	if errors.As(err, &e) {
		return e.Error()
	} else if err != nil {
		return NotConnected
	}
	defer conn.Close()
	rows, err := conn.QueryContext(ctx, fmt.Sprintf("/* class=%s,id=%s,wait=%d */ %s", lane, id, wait.Milliseconds(), statement))
	n := 0
	if err == nil {
		for rows.Next() {
			var a, b, c string
			if rows.Scan(&a, &b, &c) == nil && a == id {
				n++
			}
		}
		err = errors.Join(rows.Err(), rows.Close())
	}
	switch {
	case err == nil && n > 0:
		return Served
	case errors.As(err, &e) && e.Number == 1203:
		return Rejected
	case errors.As(err, &e) && e.Number == 1317:
		return Failed
	case err == nil || errors.As(err, &e):
		return fmt.Sprintf("%d rows, %v", n, err)
	case ctx.Err() != nil:
		return TimedOut
	}
	return ConnectionLost
}
