package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/rollout"
)

const (
	// controlTimeout bounds how long a client takes to send its request, or to read the reply.
	controlTimeout = 5 * time.Second
	// controlStopTimeout is the same while the agent stops.
	controlStopTimeout = 100 * time.Millisecond
	// controlProbeTimeout bounds how long another process may take to answer at the socket.
	controlProbeTimeout = time.Second
	// maxProposalWait is how long a client may wait for a proposal to end.
	maxProposalWait = 10 * time.Minute
)

// errNoPolicyRollout is the reply to a request on policies where each gateway reads its own file.
var errNoPolicyRollout = errors.New("this gateway's file has no fleet.policy")

// controlRequest is what the control socket receives, as one JSON object. An empty one asks for the state.
type controlRequest struct {
	Policy *PolicyRequest `json:"policy,omitempty"`
}

// controlReply is what it answers: one of the two.
type controlReply struct {
	status *Status
	policy *PolicyReply
}

func (r controlReply) encode(to io.Writer) error {
	if r.policy != nil {
		return json.NewEncoder(to).Encode(r.policy)
	}
	return json.NewEncoder(to).Encode(r.status)
}

// controlServer answers requests on the gateway's Unix socket. Closing the listener and ending the agent's goroutine
// ends it.
type controlServer struct {
	agent    *Agent
	listener net.Listener
}

func newControlServer(a *Agent, path string) (*controlServer, error) {
	listener, err := listenControl(path)
	if err != nil {
		return nil, err
	}
	return &controlServer{a, listener}, nil
}

// listenControl opens the control socket. It removes one that a process before this one left behind, but not one that
// is answered.
func listenControl(path string) (net.Listener, error) {
	dialer := net.Dialer{Timeout: controlProbeTimeout}
	c, err := dialer.DialContext(context.Background(), "unix", path)
	if err == nil {
		c.Close()
		return nil, fmt.Errorf("%s: another process answers there", path)
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		_ = os.Remove(path) // where it can't be removed, listening fails
	}
	listener, err := new(net.ListenConfig).Listen(context.Background(), "unix", path)
	if err != nil {
		return nil, err
	}
	if err := os.Chmod(path, 0o600); err != nil { // the state is for those who run the gateway
		listener.Close()
		return nil, err
	}
	return listener, nil
}

// acceptConnections serves connections until the listener is closed.
func (s *controlServer) acceptConnections() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.agent.goroutines.Go(func() {
			defer c.Close()
			if err := s.serve(c); err != nil {
				s.agent.log.Warn("fleet", "code", "control", "error", err)
			}
		})
	}
}

// serve reads one request, has the agent's goroutine answer it, and writes the reply.
func (s *controlServer) serve(c net.Conn) error {
	if err := checkPeer(c); err != nil {
		return err
	}
	request, err := s.readRequest(c)
	if err != nil {
		if s.hasStopped() {
			return nil // the client was cut off
		}
		return err
	}
	replies := make(chan controlReply, 1)
	s.agent.queue.Put(controlRequested{request, replies})
	timer := time.NewTimer(maxProposalWait)
	defer timer.Stop()
	select {
	case reply := <-replies:
		c.SetDeadline(time.Now().Add(controlTimeout))
		return reply.encode(c)
	case <-timer.C:
		return nil
	case <-s.agent.ended:
	}
	select {
	case reply := <-replies: // it came with the last events
		c.SetDeadline(time.Now().Add(controlStopTimeout))
		return reply.encode(c)
	default:
		return nil
	}
}

// hasStopped tells whether the agent's goroutine has ended.
func (s *controlServer) hasStopped() bool {
	select {
	case <-s.agent.ended:
		return true
	default:
		return false
	}
}

// readRequest reads a request. A client that has sent none when the agent stops isn't waited for.
func (s *controlServer) readRequest(c net.Conn) (*controlRequest, error) {
	c.SetDeadline(time.Now().Add(controlTimeout))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.agent.goroutines.Go(func() {
		select {
		case <-s.agent.ended:
			c.SetReadDeadline(time.Now().Add(controlStopTimeout))
		case <-ctx.Done():
		}
	})
	request := &controlRequest{}
	if err := json.NewDecoder(io.LimitReader(c, 2*rollout.MaxPolicyBytes)).Decode(request); err != nil {
		return nil, fmt.Errorf("expected a request, found %w", err)
	}
	return request, nil
}

// handleControlRequest answers a request, in the agent's goroutine. A proposal is answered once it has ended.
func (a *Agent) handleControlRequest(now admission.Time, e *controlRequested) {
	switch {
	case e.request.Policy == nil:
		e.reply <- controlReply{status: a.status(now)}
	case a.policies == nil:
		e.reply <- controlReply{policy: &PolicyReply{Error: errNoPolicyRollout.Error()}}
	default:
		a.policies.handleRequest(now, e.request.Policy, func(reply *PolicyReply) {
			select {
			case e.reply <- controlReply{policy: reply}:
			default: // it was answered before
			}
		})
	}
}

// checkPeer refuses clients of another user than this process's or root.
func checkPeer(c net.Conn) error {
	socket, ok := c.(*net.UnixConn)
	if !ok {
		return errors.New("no Unix socket")
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var peer *unix.Ucred
	var failed error
	err = raw.Control(func(descriptor uintptr) {
		peer, failed = unix.GetsockoptUcred(int(descriptor), unix.SOL_SOCKET, unix.SO_PEERCRED)
	})
	if err != nil {
		return err
	}
	if failed != nil {
		return failed
	}
	if peer.Uid != 0 && int(peer.Uid) != os.Geteuid() {
		return fmt.Errorf("user %d asked, this process is of user %d", peer.Uid, os.Geteuid())
	}
	return nil
}
