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
	// controlTimeout limits the time in which a client sends its request, and the time in which it reads the reply.
	controlTimeout = 5 * time.Second
	// controlStopTimeout takes the place of controlTimeout when the agent has stopped.
	controlStopTimeout = 100 * time.Millisecond
	// controlProbeTimeout limits the attempt to connect to a process that already serves the socket.
	controlProbeTimeout = time.Second
	// maxProposalWait limits how long a client waits for the end of a proposal.
	maxProposalWait = 10 * time.Minute
)

// errNoPolicyRollout is the reply to a policy request if each gateway applies the policy of its own file.
var errNoPolicyRollout = errors.New("this gateway's file has no fleet.policy")

// controlRequest is a request to the control socket, sent as one JSON object. An empty object requests the gateway's status.
type controlRequest struct {
	Policy *PolicyRequest `json:"policy,omitempty"`
}

// controlReply is the reply to a controlRequest. Exactly one of its fields is set.
type controlReply struct {
	status *Status
	policy *PolicyReply
}

func (r controlReply) encode(out io.Writer) error {
	if r.policy != nil {
		return json.NewEncoder(out).Encode(r.policy)
	}
	return json.NewEncoder(out).Encode(r.status)
}

// controlServer serves requests on the gateway's Unix socket. Its goroutines end once the listener is closed and the agent's
// goroutine has ended.
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

// listenControl opens the control socket. It removes a socket that an earlier process left behind, but not one on which
// another process still listens.
func listenControl(path string) (net.Listener, error) {
	dialer := net.Dialer{Timeout: controlProbeTimeout}
	c, err := dialer.DialContext(context.Background(), "unix", path)
	if err == nil {
		c.Close()
		return nil, fmt.Errorf("%s: another process already listens on this socket", path)
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		_ = os.Remove(path) // if it can't be removed, Listen reports the error
	}
	listener, err := new(net.ListenConfig).Listen(context.Background(), "unix", path)
	if err != nil {
		return nil, err
	}
	if err := os.Chmod(path, 0o600); err != nil { // only the user that runs the gateway may read its state
		listener.Close()
		return nil, err
	}
	return listener, nil
}

// acceptConnections accepts connections until the listener is closed, and serves each in a goroutine of its own.
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

// serve reads one request, passes it to the agent's goroutine, and writes the reply.
func (s *controlServer) serve(c net.Conn) error {
	if err := checkPeer(c); err != nil {
		return err
	}
	request, err := s.readRequest(c)
	if err != nil {
		if s.hasStopped() {
			return nil // expected: readRequest stopped waiting for the client
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
	case reply := <-replies: // the agent's goroutine replied before it ended
		c.SetDeadline(time.Now().Add(controlStopTimeout))
		return reply.encode(c)
	default:
		return nil
	}
}

// hasStopped reports whether the agent's goroutine has ended.
func (s *controlServer) hasStopped() bool {
	select {
	case <-s.agent.ended:
		return true
	default:
		return false
	}
}

// readRequest reads a request. When the agent stops, it soon gives up on a client that hasn't sent its request yet, so that
// Stop doesn't wait for silent clients.
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

// handleControlRequest handles a request, in the agent's goroutine. The reply to a proposal follows when the proposal has ended.
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
			default: // a reply was sent before; the channel holds one
			}
		})
	}
}

// checkPeer returns an error for a client whose user is neither root nor the user of this process.
func checkPeer(c net.Conn) error {
	socket, ok := c.(*net.UnixConn)
	if !ok {
		return errors.New("not a Unix socket connection")
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var peer *unix.Ucred
	var optionErr error
	err = raw.Control(func(descriptor uintptr) {
		peer, optionErr = unix.GetsockoptUcred(int(descriptor), unix.SOL_SOCKET, unix.SO_PEERCRED)
	})
	if err != nil {
		return err
	}
	if optionErr != nil {
		return optionErr
	}
	if peer.Uid != 0 && int(peer.Uid) != os.Geteuid() {
		return fmt.Errorf("the client runs as user %d, this process as user %d", peer.Uid, os.Geteuid())
	}
	return nil
}
