// Package router runs the gateway on network sockets. It connects client sessions, engine connections and the watcher of the
// engine list to the admission controller, which decides which request runs where and when. Only one goroutine, the owner,
// calls the controller. The other goroutines send the owner the events that are defined in events.go.
package router

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/config"
	"magpiebank/internal/protocol/resp"
	"magpiebank/internal/traffic/capture"
)

// Options holds the optional parts of a gateway. A nil field disables its part.
type Options struct {
	Capture        *capture.Recorder // records requests for later replay
	ResourceGroups ResourceGroups    // applies the operator's rules
	Journal        *Journal          // records requests durably
	Peers          Peers             // exchanges messages with the other gateways
}

// Serve runs a gateway until stop is closed and every accepted request is answered. When a configuration arrives on reloads,
// Serve applies the settings that can change while the gateway runs. It returns an error if the gateway can't start.
func Serve(start *config.Config, options Options, log *slog.Logger, stop <-chan struct{}, reloads <-chan *config.Config) error {
	if start.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(start.MemoryMB) << 20 * 3 / 4) // a quarter is left for memory beyond Go's limit, such as socket buffers
	}
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(context.Background(), "tcp", start.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	o := newOwner(start, newWallClock(), log)
	o.capture = options.Capture
	o.setResourceGroups(options.ResourceGroups)
	o.setJournal(options.Journal)
	if options.Peers != nil && start.Deployment.PeerMessages {
		if err := o.joinPeers(options.Peers); err != nil {
			return err
		}
		defer options.Peers.Stop()
	}
	o.serve(start, listener, stop, reloads)
	return nil
}

// serve starts the gateway's goroutines, and returns once stop is closed and the shutdown is complete.
func (o *owner) serve(start *config.Config, listener net.Listener, stop <-chan struct{}, reloads <-chan *config.Config) {
	watcher := newWatcher(o, start.DiscoveryAddress)
	watcher.postEvents(start.KnownEndpoints, admission.CachedUpdate)
	o.log.Info("serving", "name", start.Name, "address", listener.Addr().String())
	ended, ownerEnded := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ownerEnded)
		o.run(ended)
	}()
	go watcher.run(ended)
	acceptor := &acceptor{owner: o, listener: listener, done: make(chan struct{})}
	go acceptor.run()
	reload := func(next *config.Config) { o.applyConfiguration(watcher, start, next) }
	for stopping := false; !stopping; {
		select {
		case next := <-reloads:
			reload(next)
		case <-stop:
			stopping = true
		}
	}
	o.shutDown(acceptor, reloads, reload)
	o.stopped.Store(true)
	close(ended)
	<-ownerEnded // the owner's goroutine has ended, so this goroutine may access its state
	for _, client := range o.engines {
		client.close()
	}
	o.awaitConnectionEnds()
}

// awaitConnectionEnds waits until the end of every connection is logged, for clientCloseDelay at most.
func (o *owner) awaitConnectionEnds() {
	const pollInterval = time.Millisecond
	deadline := time.Now().Add(clientCloseDelay)
	for o.usage.openConnections.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(pollInterval)
	}
}

// applyConfiguration applies the settings that can change while the gateway runs: the address of the engine list, and the
// endpoints that the configuration contains. It logs a warning if the name, the memory limit or the settings have changed,
// because these need a restart.
func (o *owner) applyConfiguration(watcher *watcher, start, next *config.Config) {
	needsRestart := func(field string, changed bool) {
		if changed {
			o.log.Warn("configuration", "code", "needs_restart", "field", field)
		}
	}
	needsRestart("name", next.Name != start.Name)
	needsRestart("limits", next.MemoryMB != start.MemoryMB)
	needsRestart("settings", !reflect.DeepEqual(next.Deployment, start.Deployment) || !reflect.DeepEqual(next.Network, start.Network))
	watcher.reconfigure(next.DiscoveryAddress, next.KnownEndpoints)
	o.log.Info("configuration", "code", "renewed", "engine_list", next.DiscoveryAddress)
}

// connectionEnded logs the end of a connection in one line and no longer counts it as open. open is the number of attempts
// that were in flight on the connection. fault is the value of the panic that ended it, or nil.
func (o *owner) connectionEnded(side, peer, code string, open int, fault any) {
	defer o.usage.openConnections.Add(-1)
	if o.stopped.Load() {
		code = "stopped"
	}
	if fault != nil {
		o.log.Error("connection", "side", side, "peer", peer, "code", "panic", "fault", fault,
			"stack", string(debug.Stack()))
		return
	}
	o.log.Info("connection", "side", side, "peer", peer, "code", code, "open", open)
}

// endCode returns the code by which the log reports why a connection ended.
func endCode(err error) string {
	var netErr net.Error
	switch {
	case errors.Is(err, io.EOF):
		return "closed"
	case errors.Is(err, resp.ErrMalformedArray):
		return "bad_answer"
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return "reset"
	case errors.As(err, &netErr) && netErr.Timeout():
		return "silent"
	case errors.Is(err, net.ErrClosed):
		return "given_up"
	case errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH):
		return "unreachable"
	}
	return "failed"
}
