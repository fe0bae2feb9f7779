package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"
)

// controlDialTimeout limits how long a client waits for a connection to the control socket.
const controlDialTimeout = 2 * time.Second

// FetchStatus requests a gateway's status over its control socket.
func FetchStatus(path string) (*Status, error) {
	dialer := net.Dialer{Timeout: controlDialTimeout}
	c, err := dialer.DialContext(context.Background(), "unix", path)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(controlTimeout))
	status := &Status{}
	return status, exchange(c, path, &controlRequest{}, status)
}

// SendPolicyRequest sends a policy request to a gateway's control socket and waits for the reply until the context is done.
// The reply to a proposal arrives when the proposal has ended. A rejection is returned as a
// reply, not as an error.
func SendPolicyRequest(ctx context.Context, path string, request *PolicyRequest) (*PolicyReply, error) {
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "unix", path)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	stopWatching := context.AfterFunc(ctx, func() { c.SetDeadline(time.Now()) })
	defer stopWatching()
	reply := &PolicyReply{}
	return reply, exchange(c, path, &controlRequest{request}, reply)
}

// exchange sends a request and decodes the reply into the value that reply points to.
func exchange(c net.Conn, path string, request *controlRequest, reply any) error {
	err := json.NewEncoder(c).Encode(request)
	if err == nil {
		err = json.NewDecoder(c).Decode(reply)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}
