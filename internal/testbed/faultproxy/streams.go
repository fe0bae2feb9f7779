package faultproxy

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	dialTimeout = time.Second
	chunkBytes  = 16 << 10
	// maxChunks is the number of chunks that one direction of a stream buffers.
	maxChunks = 256
)

// stream is one connection through a relay, made of the client's connection to the relay and the relay's connection to the target.
type stream struct {
	network    *Network
	from, to   string
	clientConn net.Conn // connection to the process that opened the stream
	targetConn net.Conn
	closeOnce  sync.Once
	closed     chan struct{}
}

// chunk is a piece of a stream and the earliest time at which it may be written to the receiver.
type chunk struct {
	bytes []byte
	dueAt time.Time
}

// RelayStream opens a relay for connections between two named processes, and returns the address of the relay. It calls target for each
// connection, which returns the address to connect to.
func (n *Network) RelayStream(from, to string, target func() string) (string, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("relay from %s to %s: %w", from, to, err)
	}
	n.closeWithNetwork(listener)
	go func() {
		for {
			clientConn, err := listener.Accept()
			if err != nil {
				return
			}
			s := &stream{network: n, from: from, to: to, clientConn: clientConn, closed: make(chan struct{})}
			go s.run(target)
		}
	}()
	return listener.Addr().String(), nil
}

// run connects the stream to its target and forwards both directions until both end.
func (s *stream) run(target func() string) {
	forward, backward := direction{s.from, s.to}, direction{s.to, s.from}
	refuse := s.network.addStream(s)
	defer s.network.removeStream(s)
	if refuse {
		s.reset()
		return
	}
	if !s.waitWhileCut(forward) { // a cut link accepts connections, but passes no data
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	targetConn, err := dialer.DialContext(context.Background(), "tcp", target())
	if err != nil {
		s.reset()
		return
	}
	s.targetConn = targetConn
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); s.relay(s.clientConn, targetConn, forward) }()
	go func() { defer both.Done(); s.relay(targetConn, s.clientConn, backward) }()
	both.Wait()
	s.close()
}

// addStream registers a stream, and reports whether it must be refused.
func (n *Network) addStream(s *stream) (refuse bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.streams[s] = true
	return n.effectiveRule(direction{s.from, s.to}).Refuse || n.closed
}

func (n *Network) removeStream(s *stream) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.streams, s)
}

// close closes both connections of the stream. Only the first call has an effect.
func (s *stream) close() {
	s.closeOnce.Do(func() {
		close(s.closed)
		s.clientConn.Close()
		if s.targetConn != nil {
			s.targetConn.Close()
		}
	})
}

// reset closes both connections with a TCP reset instead of an orderly end of stream.
func (s *stream) reset() {
	for _, c := range []net.Conn{s.clientConn, s.targetConn} {
		if tcp, ok := c.(*net.TCPConn); ok && tcp != nil {
			_ = tcp.SetLinger(0) // fails only on a closed connection, which needs no reset
		}
	}
	s.close()
}

// waitWhileCut waits while a direction is cut. It returns false if the stream is closed meanwhile.
func (s *stream) waitWhileCut(d direction) bool {
	for {
		s.network.mu.Lock()
		cut, changed := s.network.effectiveRule(d).Cut, s.network.changed
		s.network.mu.Unlock()
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-s.closed:
			return false
		}
	}
}

// relay forwards one direction in order. It also forwards the end of the stream, after any cut of the direction has ended.
func (s *stream) relay(in, out net.Conn, d direction) {
	chunks := make(chan chunk, maxChunks)
	go s.readChunks(in, d, chunks)
	for c := range chunks {
		if !s.waitUntilDue(c) || !s.waitWhileCut(d) {
			return
		}
		if _, err := out.Write(c.bytes); err != nil {
			s.close()
			return
		}
	}
	if !s.waitWhileCut(d) {
		return
	}
	if tcp, ok := out.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // fails only on a closed connection, whose other side already knows of the end
	}
}

// readChunks reads chunks until the end of the stream or until the stream is closed, and then closes the channel.
func (s *stream) readChunks(in net.Conn, d direction, chunks chan<- chunk) {
	defer close(chunks)
	for {
		buffer := make([]byte, chunkBytes)
		size, err := in.Read(buffer)
		if size > 0 {
			delay := s.network.planChunk(d, buffer[:size])
			select {
			case chunks <- chunk{buffer[:size], time.Now().Add(delay)}:
			case <-s.closed:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// planChunk returns the delay of a chunk. It may flip one bit of the chunk.
func (n *Network) planChunk(d direction, bytes []byte) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	rule := n.effectiveRule(d)
	delay := n.delay(&rule, d, len(bytes))
	n.maybeCorrupt(&rule, bytes)
	return delay
}

// waitUntilDue waits until a chunk may be written. It returns false if the stream is closed meanwhile.
func (s *stream) waitUntilDue(c chunk) bool {
	wait := time.Until(c.dueAt)
	if wait <= 0 {
		return true
	}
	select {
	case <-time.After(wait):
		return true
	case <-s.closed:
		return false
	}
}
