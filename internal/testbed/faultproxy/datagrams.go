package faultproxy

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"
)

const (
	maxDatagramBytes  = 2048
	socketBufferBytes = 1 << 20
)

// RegisterSender registers the name of the process that sends datagrams from the address.
func (n *Network) RegisterSender(address, name string) error {
	sender, err := netip.ParseAddrPort(address)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.senders[sender] = name
	return nil
}

// datagramRelay forwards the datagrams that arrive at its socket to one receiver.
type datagramRelay struct {
	network *Network
	socket  *net.UDPConn
	to      string
	target  netip.AddrPort
}

// RelayDatagrams opens a relay to the process named to, which listens at the address target, and returns the address of the relay.
// Senders use it in place of the receiver's address.
func (n *Network) RelayDatagrams(to, target string) (string, error) {
	receiver, err := netip.ParseAddrPort(target)
	if err != nil {
		return "", err
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		return "", fmt.Errorf("relay to %s: %w", to, err)
	}
	_ = socket.SetReadBuffer(socketBufferBytes) // on an error the smaller default buffer stays, which only drops more datagrams at peaks
	n.closeWithNetwork(socket)
	relay := &datagramRelay{network: n, socket: socket, to: to, target: receiver}
	go relay.run()
	return socket.LocalAddr().String(), nil
}

// run forwards datagrams until the socket is closed.
func (r *datagramRelay) run() {
	for {
		buffer := make([]byte, maxDatagramBytes) // a new buffer for each datagram, because delayed datagrams still need theirs
		size, source, err := r.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		r.relay(netip.AddrPortFrom(source.Addr().Unmap(), source.Port()), buffer[:size])
	}
}

// relay applies the rules to a datagram and forwards zero, one or two copies of it.
func (r *datagramRelay) relay(source netip.AddrPort, datagram []byte) {
	for _, delay := range r.network.planDatagram(source, r.to, datagram) {
		if delay == 0 {
			r.send(datagram)
		} else {
			time.AfterFunc(delay, func() { r.send(datagram) })
		}
	}
}

func (r *datagramRelay) send(datagram []byte) {
	_, _ = r.socket.WriteToUDPAddrPort(datagram, r.target) // a datagram that cannot be sent is lost, as on a real network
}

// planDatagram counts a datagram and returns the delay of each copy to be sent. It may flip one bit of the datagram.
func (n *Network) planDatagram(source netip.AddrPort, to string, datagram []byte) (delays []time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := direction{n.senders[source], to}
	rule := n.effectiveRule(d)
	n.counts.Datagrams++
	n.counts.Bytes += int64(len(datagram))
	copies := 1
	if rule.Cut || rule.Loss > 0 && n.random.Float64() < rule.Loss {
		copies = 0
		n.counts.Dropped++
	} else if rule.Duplicate > 0 && n.random.Float64() < rule.Duplicate {
		copies = 2
		n.counts.Duplicated++
	}
	for range copies {
		delay := n.delay(&rule, d, len(datagram))
		if rule.Reorder > 0 && n.random.Float64() < rule.Reorder {
			delay += reorderDelay
		}
		delays = append(delays, delay)
	}
	if copies > 0 {
		n.maybeCorrupt(&rule, datagram)
	}
	return delays
}
