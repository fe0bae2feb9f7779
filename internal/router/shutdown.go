package router

import (
	"time"

	"magpiebank/internal/config"
)

const (
	// drainTime is how long the gateway still accepts new connections and requests after it was told to stop, as the protocol
	// requires. Requests that are read later are rejected. Then idle sessions end, and the other sessions end once their
	// requests are answered.
	drainTime = 700 * time.Millisecond
	// drainPollInterval is how often a shutdown checks whether the last session has ended.
	drainPollInterval = 10 * time.Millisecond
)

// shutDown stops accepting requests after drainTime, and returns once every accepted request is answered and all sessions
// have ended. It still applies new configurations during that time, because they may change the engine list's address.
func (o *owner) shutDown(acceptor *acceptor, reloads <-chan *config.Config, reload func(*config.Config)) {
	o.log.Info("stopping")
	applyReloadsUntil := func(timer <-chan time.Time) {
		for {
			select {
			case next := <-reloads:
				reload(next)
			case <-timer:
				return
			}
		}
	}
	applyReloadsUntil(time.After(drainTime))
	acceptor.stop() // frees the listen address for a successor process while requests still run in this one
	o.clients.beginShutdown()
	for !o.clients.isEmpty() {
		applyReloadsUntil(time.After(drainPollInterval))
	}
}
