// Package router is the gateway on sockets. It connects client sessions, connections to engines and the engine list to the
// admission controller, which decides. One goroutine, the owner, calls the controller; events.go lists what it may be told.
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

// Options are the optional parts of a gateway. It does without those that are nil.
type Options struct {
	Capture        *capture.Recorder // records requests for later replay
	ResourceGroups ResourceGroups    // an operator's rules
	Journal        *Journal          // the durable record of requests
	Peers          Peers             // the other gateways
}

// Serve runs a gateway until stop is closed and all requests that it accepted are answered. A configuration that comes by
// reloads is applied as far as that is possible while serving. Serve returns an error if the gateway can't begin.
func Serve(start *config.Config, options Options, log *slog.Logger, stop <-chan struct{}, reloads <-chan *config.Config) error {
	if start.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(start.MemoryMB) << 20 * 3 / 4) // the rest is for stacks and the sockets' buffers
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

// serve runs the gateway's goroutines until stop is closed and the shutdown is over.
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
	<-ownerEnded // from now on the owner's state is this goroutine's
	for _, client := range o.engines {
		client.close()
	}
	o.awaitConnectionEnds()
}

// awaitConnectionEnds waits until the end of each connection is logged, but not for long.
func (o *owner) awaitConnectionEnds() {
	const pollInterval = time.Millisecond
	deadline := time.Now().Add(clientCloseDelay)
	for o.usage.openConnections.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(pollInterval)
	}
}

// applyConfiguration applies what can change while serving: the address of the engine list and the endpoints known from it.
// It logs which other parts need a restart.
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

// connectionEnded logs the end of a connection, each of which has one line. open is the number of attempts in flight on it,
// fault the value of a panic that ended it.
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

// endCode returns the code with which the log names the reason for the end of a connection.
func endCode(err error) string {
	var wait net.Error
	switch {
	case errors.Is(err, io.EOF):
		return "closed"
	case errors.Is(err, resp.ErrMalformedArray):
		return "bad_answer"
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return "reset"
	case errors.As(err, &wait) && wait.Timeout():
		return "silent"
	case errors.Is(err, net.ErrClosed):
		return "given_up"
	case errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH):
		return "unreachable"
	}
	return "failed"
}
