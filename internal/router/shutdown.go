package router

import (
	"time"

	"magpiebank/internal/config"
)

const (
	// drainTime is how long new connections and requests are served as ever after the order to stop, as the protocol demands.
	// Requests that are read later are rejected; sessions without a request end, and the others once they have answers.
	drainTime = 700 * time.Millisecond
	// drainPollInterval is how often a shutdown looks whether the last session has ended.
	drainPollInterval = 10 * time.Millisecond
)

// shutDown stops accepting requests, and returns once all that were accepted are answered. A new configuration is still
// applied meanwhile, because it may name another address of the engine list.
func (o *owner) shutDown(acceptor *acceptor, reloads <-chan *config.Config, reload func(*config.Config)) {
	o.log.Info("stopping")
	wait := func(until <-chan time.Time) {
		for {
			select {
			case next := <-reloads:
				reload(next)
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
