package faultproxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// endpoint is a process's datagram socket, with the address of the relay through which other processes reach it.
type endpoint struct {
	*net.UDPConn
	relay *net.UDPAddr
}

func listen(t *testing.T, n *Network, name string) *endpoint {
	t.Helper()
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := n.RegisterSender(c.LocalAddr().String(), name); err != nil {
		t.Fatal(err)
	}
	relayAddress, err := n.RelayDatagrams(name, c.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	resolved, err := net.ResolveUDPAddr("udp", relayAddress)
	if err != nil {
		t.Fatal(err)
	}
	return &endpoint{c, resolved}
}

// receive sends count datagrams from another endpoint to e and returns what e receives within the given time.
func (e *endpoint) receive(t *testing.T, from *endpoint, count int, within time.Duration) (got []string) {
	t.Helper()
	for i := range count {
		if _, err := from.WriteToUDP(fmt.Appendf(nil, "%03d", i), e.relay); err != nil {
			t.Fatal(err)
		}
	}
	if err := e.SetReadDeadline(time.Now().Add(within)); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 100)
	for {
		n, err := e.Read(buffer)
		if err != nil {
			return got
		}
		got = append(got, string(buffer[:n]))
	}
}

// TestDatagrams checks each fault on datagrams, and that a rule for one direction leaves the other direction unchanged.
func TestDatagrams(t *testing.T) {
	n := New(1)
	defer n.Close()
	a, b := listen(t, n, "a"), listen(t, n, "b")
	const count, wait = 100, 200 * time.Millisecond
	sendBothWays := func() (int, int) { return len(b.receive(t, a, count, wait)), len(a.receive(t, b, count, wait)) }
	if forward, backward := sendBothWays(); forward != count || backward != count {
		t.Errorf("no rule: %d datagrams arrived at b, %d at a", forward, backward)
	}
	for _, c := range []struct {
		name        string
		rule        Rule
		least, most int
	}{
		{"cut", Rule{Cut: true}, 0, 0},
		{"half lost", Rule{Loss: 0.5}, 25, 75},
		{"half doubled", Rule{Duplicate: 0.5}, 125, 175},
		{"300 bytes a second", Rule{Rate: 300}, 10, 30}, // 60 bytes in 200 ms, which are 20 datagrams
		{"later than the look", Rule{Delay: time.Second}, 0, 0},
	} {
		n.SetRule("rule", []string{"a"}, []string{"b*"}, c.rule)
		forward, backward := sendBothWays()
		if forward < c.least || forward > c.most || backward != count {
			t.Errorf("%s: %d datagrams arrived at b, expected %d to %d; %d arrived at a", c.name, forward, c.least, c.most, backward)
		}
		n.RemoveRule("rule")
		time.Sleep(1100 * time.Millisecond) // until all delayed datagrams have arrived
		b.receive(t, a, 0, 10*time.Millisecond)
	}
	n.SetRule("rule", []string{"a"}, []string{"b"}, Rule{Corrupt: 1, Reorder: 0.3})
	got := b.receive(t, a, count, wait)
	corrupted, outOfOrder := 0, 0
	for i, g := range got {
		if g != fmt.Sprintf("%03d", i) {
			corrupted++
		}
		if i > 0 && strings.Compare(g, got[i-1]) < 0 {
			outOfOrder++
		}
	}
	if len(got) != count || corrupted < count/2 || outOfOrder < 5 {
		t.Errorf("corrupted and reordered: %d datagrams arrived, %d differ from what was sent at their position, %d are out of order", len(got), corrupted, outOfOrder)
	}
}

// echoThroughRelay starts an echo server behind a relay from g to e, and returns the relay's address.
func echoThroughRelay(t *testing.T, n *Network) string {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }() // ends when the connection ends
		}
	}()
	address, err := n.RelayStream("g", "e", func() string { return listener.Addr().String() })
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// streamClient sends lines through a relay and reads their echoes.
type streamClient struct {
	net.Conn
	reader *bufio.Reader
}

func dialRelay(t *testing.T, address string) (*streamClient, error) {
	t.Helper()
	conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", address)
	if err != nil {
		return nil, err
	}
	t.Cleanup(func() { conn.Close() })
	return &streamClient{conn, bufio.NewReader(conn)}, nil
}

// echo sends a line and returns its echo. It returns "silent" if no echo arrives in time, and "broken" if the connection ends.
func (c *streamClient) echo(text string, within time.Duration) string {
	fmt.Fprintln(c, text)
	c.SetReadDeadline(time.Now().Add(within))
	line, err := c.reader.ReadString('\n')
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return "silent"
	}
	if err != nil {
		return "broken"
	}
	return strings.TrimSpace(line)
}

func expect(t *testing.T, name, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("%s: %q, expected %q", name, got, want)
	}
}

// TestStreams checks that a cut stream stays open without data and delivers the delayed data after the cut, and that a refused stream
// is reset.
func TestStreams(t *testing.T) {
	n := New(1)
	defer n.Close()
	address := echoThroughRelay(t, n)
	dial := func() *streamClient {
		c, err := dialRelay(t, address)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	c := dial()
	expect(t, "no rule", c.echo("one", time.Second), "one")
	for _, pair := range [][2]string{{"g", "e"}, {"e", "g"}} {
		n.SetRule("cut", pair[:1], pair[1:], Rule{Cut: true})
		expect(t, "cut "+pair[0], c.echo("two", 100*time.Millisecond), "silent")
		openedWhileCut := dial() // the relay accepts the connection, but passes no data
		expect(t, "new while cut "+pair[0], openedWhileCut.echo("three", 100*time.Millisecond), "silent")
		n.RemoveRule("cut")
		c.SetReadDeadline(time.Now().Add(time.Second))
		line, _ := c.reader.ReadString('\n')
		expect(t, "what was held", strings.TrimSpace(line), "two")
	}
	n.SetRule("slow", []string{"g"}, []string{"e"}, Rule{Rate: 1000})
	sentAt := time.Now()
	expect(t, "at a rate", c.echo(strings.Repeat("x", 300), 2*time.Second), strings.Repeat("x", 300))
	if took := time.Since(sentAt); took < 250*time.Millisecond {
		t.Errorf("300 bytes at 1,000 bytes per second took %v, expected at least 250 ms", took)
	}
	n.RemoveRule("slow")
	n.SetRule("refuse", []string{"g"}, []string{"e"}, Rule{Refuse: true})
	expect(t, "refused", c.echo("four", time.Second), "broken")
	// If the reset arrives while the client is still dialing, the dial fails; otherwise the first exchange fails.
	refused, err := dialRelay(t, address)
	if errors.Is(err, syscall.ECONNRESET) {
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	expect(t, "new while refused", refused.echo("five", time.Second), "broken")
}
