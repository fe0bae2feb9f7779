package router

import (
	"time"

	"magpiebank/internal/config"
)

// The steps of a stop. The protocol lets connections and requests come for lastRequests after the order; they are served as ever.
// What is read later is refused and never sent on, sessions without a request end, and the others once they have their answers.
const (
	drainTime = 700 * time.Millisecond
	// How often a stop looks whether the last session has ended.
	drainPollInterval = 10 * time.Millisecond
)

// shutDown stops taking requests and returns once all that were taken are answered. A new configuration still counts meanwhile:
// it may name the address from which drains are told.
func (o *owner) shutDown(acceptor *acceptor, renewed <-chan *config.Config, renew func(*config.Config)) {
	o.log.Info("stopping")
	wait := func(until <-chan time.Time) {
		for {
			select {
			case next := <-renewed:
				renew(next)
			case <-until:
				return
			}
		}
	}
	wait(time.After(drainTime))
	acceptor.stop() // the address is free for a successor while requests still run here
	o.clients.beginShutdown()
	for !o.clients.isEmpty() {
		wait(time.After(drainPollInterval))
	}
}
