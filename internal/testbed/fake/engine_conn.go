package fake

import (
	"bufio"
	"net"
	"time"

	"magpiebank/internal/protocol/resp"
)

const (
	readBufferBytes = 4096
	// writeTimeout limits how long a client that doesn't read can block the owner's goroutine, and thereby all other clients.
	writeTimeout = time.Second
)

func (e *Engine) accept(listener net.Listener) {
	for {
		tcp, err := listener.Accept()
		if err != nil {
			return
		}
		c := &engineConn{tcp: tcp}
		e.send(func() { e.conns[c] = true })
		go e.readMessages(c)
	}
}

// readMessages reads messages until the connection ends. It records when each request arrives, so the recorded time is right even
// while the engine is paused.
func (e *Engine) readMessages(c *engineConn) {
	defer e.send(func() { e.removeConn(c) })
	defer c.tcp.Close()
	reader := bufio.NewReaderSize(c.tcp, readBufferBytes)
	var buffer []byte
	var parts [][]byte
	for {
		var length int
		var err error
		parts, length, err = resp.Parse(buffer, parts[:0])
		if err != nil {
			return
		}
		if length == 0 {
			buffer, err = appendAvailable(buffer, reader)
			if err != nil {
				return
			}
			continue
		}
		arrivedAt := time.Now()
		elements := make([]string, len(parts))
		for i := range parts {
			elements[i] = string(parts[i])
		}
		buffer = buffer[:copy(buffer, buffer[length:])]
		if elements[0] == "do" && len(elements) == 4 {
			e.Log.recordArrival(elements[1], arrivedAt)
		}
		e.send(func() { e.handleMessage(message{c, elements}) })
	}
}

// appendAvailable waits until the reader has at least one byte, and appends all bytes that it has buffered.
func appendAvailable(buffer []byte, reader *bufio.Reader) ([]byte, error) {
	if _, err := reader.Peek(1); err != nil {
		return nil, err
	}
	available, err := reader.Peek(reader.Buffered())
	if err != nil {
		return nil, err
	}
	buffer = append(buffer, available...)
	_, err = reader.Discard(len(available))
	return buffer, err
}

// answer writes a message to a connection. It writes nothing if the engine is silent or the connection was removed.
func (e *Engine) answer(c *engineConn, parts ...string) {
	if e.faults.silent || !e.conns[c] {
		return
	}
	c.tcp.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.tcp.Write(resp.AppendArray(nil, parts...)); err != nil {
		c.tcp.Close()
	}
}

// removeConn removes a connection and abandons its requests. It then starts queued requests on the threads this freed.
func (e *Engine) removeConn(c *engineConn) {
	delete(e.conns, c)
	for key, request := range e.requests {
		if key.conn == c {
			e.abandon(request)
		}
	}
	e.startQueued()
}
