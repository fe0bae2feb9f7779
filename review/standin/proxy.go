//go:build review

package standin

import (
	"io"
	"net"
	"sync"
)

// Proxy stands between clients and a gateway, and can reset the connections that go through it.
type Proxy struct {
	Address string

	mu    sync.Mutex
	conns []net.Conn
}

// StartProxy starts a proxy to an address, which ends with the case.
func StartProxy(c *Case, to string) *Proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.Fatal("%v", err)
	}
	p := &Proxy{Address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.relay(conn, to)
		}
	}()
	c.AtEnd(func() { listener.Close() })
	return p
}

func (p *Proxy) relay(client net.Conn, to string) {
	gateway, err := net.Dial("tcp", to)
	if err != nil {
		client.Close()
		return
	}
	p.mu.Lock()
	p.conns = append(p.conns, client, gateway)
	p.mu.Unlock()
	go func() {
		_, _ = io.Copy(gateway, client)
		gateway.Close()
	}()
	_, _ = io.Copy(client, gateway)
	client.Close()
}

// Reset resets all connections that are open, in both directions.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // so that Close resets it
		}
		conn.Close()
	}
	p.conns = nil
}
