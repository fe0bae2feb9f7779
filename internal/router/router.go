// Package router serves clients on sockets: it joins their sessions, the engines' connections and the engine
// list to the module that decides.
package router

import (
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

// With is what a router has besides; what is nil it hasn't.
type Options struct {
	Capture        *capture.Recorder // records the requests that come
	ResourceGroups ResourceGroups    // an operator's rules
	Journal        *Journal          // the record of requests
	Peers          Peers             // the other gateways
}

// Serve runs a router until stop is closed and all it had taken is answered. What comes by renewed is a new
// configuration.
func Serve(start *config.Config, with Options, log *slog.Logger, stop <-chan struct{}, renewed <-chan *config.Config) error {
	if start.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(start.MemoryMB) << 20 * 3 / 4) // the rest is for stacks and the sockets' buffers
	}
	listener, err := net.Listen("tcp", start.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	o := newOwner(start, newWallClock(), log)
	o.capture = with.Capture
	o.setResourceGroups(with.ResourceGroups)
	if o.journal = with.Journal; o.journal != nil {
		o.listings = map[admission.EngineID]admission.Endpoint{}
		if o.journal.Snapshot != nil {
			o.admission.RestoreSnapshot(o.now, o.journal.Snapshot)
		}
	}
	if with.Peers != nil && start.Deployment.PeerMessages {
		if err := o.joinPeers(with.Peers); err != nil {
			return err
		}
		defer with.Peers.Stop()
	}
	o.serve(start, listener, stop, renewed)
	return nil
}

func (o *owner) serve(start *config.Config, listener net.Listener, stop <-chan struct{},
	renewed <-chan *config.Config) {
	watcher := newWatcher(o, start.DiscoveryAddress)
	watcher.postEvents(start.KnownEndpoints, admission.CachedUpdate)
	o.log.Info("serving", "name", start.Name, "address", listener.Addr().String())
	ended, idle := make(chan struct{}), make(chan struct{})
	go func() {
		o.run(ended)
		close(idle)
	}()
	go watcher.run(ended)
	acceptor := &acceptor{owner: o, listener: listener, done: make(chan struct{})}
	go acceptor.run()
	renew := func(next *config.Config) { o.applyConfiguration(watcher, start, next) }
	for stopping := false; !stopping; {
		select {
		case next := <-renewed:
			renew(next)
		case <-stop:
			stopping = true
		}
	}
	o.shutDown(acceptor, renewed, renew)
	o.stopped.Store(true)
	close(ended)
	<-idle // nothing is decided any more, and what the owner had is this goroutine's
	for _, e := range o.engines {
		e.close()
	}
	for by := time.Now().Add(clientCloseDelay); o.usage.openConnections.Load() > 0 && time.Now().Before(by); {
		time.Sleep(time.Millisecond) // until each has its line
	}
}

// renew goes by a new configuration, as far as one can while serving: the engine list's address and its events.
func (o *owner) applyConfiguration(watcher *watcher, start, next *config.Config) {
	for name, same := range map[string]bool{
		"name": next.Name == start.Name, "limits": next.MemoryMB == start.MemoryMB,
		"settings": reflect.DeepEqual(next.Deployment, start.Deployment) && reflect.DeepEqual(next.Network, start.Network)} {
		if !same {
			o.log.Warn("configuration", "code", "needs_restart", "field", name)
		}
	}
	watcher.reconfigure(next.DiscoveryAddress, next.KnownEndpoints)
	o.log.Info("configuration", "code", "renewed", "engine_list", next.DiscoveryAddress)
}

// run serves a session from its first byte to its last log line. Who knows a connection's id may have its query
// killed, so ids are not to be guessed.
func (s *clientSession) run() {
	o := s.owner
	o.post(sessionOpened{s})
	defer func() {
		fault := recover()
		o.post(sessionClosed{s})
		s.releaseStatementBuffer()
		s.socket.Close()
		o.connectionEnded("client", s.socket.RemoteAddr().String(), s.endReason, 0, fault)
		o.clients.remove(s)
	}()
	s.serve()
}

// connectionEnded writes the one line of a connection that was counted and has ended.
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

// endCode names the reason for which a connection ended.
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
