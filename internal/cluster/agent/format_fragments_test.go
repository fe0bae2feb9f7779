package agent

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"
	"testing"
	"time"

	"magpiebank/internal/cluster/membership"
	"magpiebank/internal/testbed/golden"
)

func TestFragmentsOfEarlierVersionRoundTrip(t *testing.T) {
	key, err := readKey(filepath.Join("testdata", "format", "key"))
	if err != nil {
		t.Fatal(err)
	}
	peer, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = peer.Close() })
	a := &Agent{name: "gateway-a", clock: wallClock{time.Now()}}
	a.members = membership.New(0, membership.Member{Name: a.name}, nil, rand.New(rand.NewPCG(1, 2)), nil)
	a.transport = newTransport(a, key)
	if err := a.transport.listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = a.transport.socket.Close() })

	message := golden.Read(t, "policy-message.form")
	sender := &policyRollout{agent: a, messagesSent: 1<<24 + 6}
	sender.sendFragments(peer.LocalAddr().String(), message)
	receiver := &policyRollout{agent: a}
	for i := range 3 {
		expected := golden.Read(t, fmt.Sprintf("policy-fragment-%d.form", i))
		e := receiveEnvelope(t, key, peer)
		if len(e.sections) != 1 || e.sections[0].kind != policySection || !bytes.Equal(e.sections[0].payload, expected) {
			t.Errorf("fragment %d: expected one section with %x, found %v", i, expected, e.sections)
		}
		if i == 2 {
			break // the last fragment would complete the message, and the receiver has no core to handle it
		}
		if err := receiver.handleFragment(0, e, expected); err != nil {
			t.Fatal(err)
		}
		partial := receiver.fragments.partial[0]
		if content := message[1000*i : 1000*(i+1)]; partial.number != 1<<24+7 || partial.missing != 2-i || !bytes.Equal(partial.fragments[i], content) {
			t.Errorf("fragment %d: expected message %d with %x, found %+v", i, 1<<24+7, content, partial)
		}
	}
}

func receiveEnvelope(t *testing.T, key *sealer, socket *net.UDPConn) *envelope {
	t.Helper()
	if err := socket.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	datagram := make([]byte, maxDatagramBytes)
	n, err := socket.Read(datagram)
	if err != nil {
		t.Fatal(err)
	}
	e, err := key.open(datagram[:n])
	if err != nil {
		t.Fatal(err)
	}
	return e
}
