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

// mouth is one process's socket for datagrams, and the relay by which others reach it.
type mouth struct {
	*net.UDPConn
	reached *net.UDPAddr
}

func listen(t *testing.T, n *Network, name string) *mouth {
	t.Helper()
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := n.RegisterSender(c.LocalAddr().String(), name); err != nil {
		t.Fatal(err)
	}
	at, err := n.RelayDatagrams(name, c.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	a, err := net.ResolveUDPAddr("udp", at)
	if err != nil {
		t.Fatal(err)
	}
	return &mouth{c, a}
}

// hears counts what comes within a time after some were sent to it.
func (m *mouth) hears(from *mouth, sent int, within time.Duration) (got []string) {
	for i := range sent {
		from.WriteToUDP([]byte(fmt.Sprintf("%03d", i)), m.reached)
	}
	b := make([]byte, 100)
	m.SetReadDeadline(time.Now().Add(within))
	for {
		n, err := m.Read(b)
		if err != nil {
			return got
		}
		got = append(got, string(b[:n]))
	}
}

// Each direction by itself: what a rule says of one says nothing of the other.
func TestDatagrams(t *testing.T) {
	n := New(1)
	defer n.Close()
	a, b := listen(t, n, "a"), listen(t, n, "b")
	const some, wait = 100, 200 * time.Millisecond
	both := func() (int, int) { return len(b.hears(a, some, wait)), len(a.hears(b, some, wait)) }
	if there, back := both(); there != some || back != some {
		t.Errorf("no rule: %d there, %d back", there, back)
	}
	for _, c := range []struct {
		what        string
		rule        Rule
		least, most int
	}{
		{"cut", Rule{Cut: true}, 0, 0},
		{"half lost", Rule{Loss: 0.5}, 25, 75},
		{"half doubled", Rule{Duplicate: 0.5}, 125, 175},
		{"300 bytes a second", Rule{Rate: 300}, 10, 30}, // 60 in the time, 20 datagrams
		{"later than the look", Rule{Delay: time.Second}, 0, 0},
	} {
		n.SetRule("rule", []string{"a"}, []string{"b*"}, c.rule)
		there, back := both()
		if there < c.least || there > c.most || back != some {
			t.Errorf("%s: %d there, of %d to %d, and %d back", c.what, there, c.least, c.most, back)
		}
		n.RemoveRule("rule")
		time.Sleep(1100 * time.Millisecond) // what is late has come
		b.hears(a, 0, 10*time.Millisecond)
	}
	n.SetRule("rule", []string{"a"}, []string{"b"}, Rule{Corrupt: 1, Reorder: 0.3})
	got := b.hears(a, some, wait)
	turned, order := 0, 0
	for i, g := range got {
		if g != fmt.Sprintf("%03d", i) {
			turned++
		}
		if i > 0 && strings.Compare(g, got[i-1]) < 0 {
			order++
		}
	}
	if len(got) != some || turned < some/2 || order < 5 {
		t.Errorf("flipped and reordered: %d came, %d not as sent, %d out of order", len(got), turned, order)
	}
}

// A cut stream stays open and says nothing, and goes on when the cut ends; a refused one breaks.
func TestStreams(t *testing.T) {
	n := New(1)
	defer n.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() { // an echo
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go io.Copy(c, c)
		}
	}()
	at, err := n.RelayStream("g", "e", func() string { return l.Addr().String() })
	if err != nil {
		t.Fatal(err)
	}
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", at)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c, bufio.NewReader(c)
	}
	say := func(c net.Conn, r *bufio.Reader, text string, within time.Duration) string {
		fmt.Fprintln(c, text)
		c.SetReadDeadline(time.Now().Add(within))
		line, err := r.ReadString('\n')
		var e net.Error
		if errors.As(err, &e) && e.Timeout() {
			return "silent"
		} else if err != nil {
			return "broken"
		}
		return strings.TrimSpace(line)
	}
	want := func(what, got, want string) {
		t.Helper()
		if got != want {
			t.Errorf("%s: %q, expected %q", what, got, want)
		}
	}
	c, r := dial()
	want("no rule", say(c, r, "one", time.Second), "one")
	for _, way := range [][2]string{{"g", "e"}, {"e", "g"}} {
		n.SetRule("cut", way[:1], way[1:], Rule{Cut: true})
		want("cut "+way[0], say(c, r, "two", 100*time.Millisecond), "silent")
		half, hr := dial() // accepts, and says nothing
		want("new while cut "+way[0], say(half, hr, "three", 100*time.Millisecond), "silent")
		n.RemoveRule("cut")
		c.SetReadDeadline(time.Now().Add(time.Second))
		line, _ := r.ReadString('\n')
		want("what was held", strings.TrimSpace(line), "two")
	}
	n.SetRule("slow", []string{"g"}, []string{"e"}, Rule{Rate: 1000})
	began := time.Now()
	want("at a rate", say(c, r, strings.Repeat("x", 300), 2*time.Second), strings.Repeat("x", 300))
	if took := time.Since(began); took < 250*time.Millisecond {
		t.Errorf("300 bytes at 1,000 a second took %v", took)
	}
	n.RemoveRule("slow")
	n.SetRule("refuse", []string{"g"}, []string{"e"}, Rule{Refuse: true})
	want("refused", say(c, r, "four", time.Second), "broken")
	// The reset may reach this side while it still dials, which then fails by it; else the first exchange does.
	refused, err := net.Dial("tcp", at)
	if errors.Is(err, syscall.ECONNRESET) {
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { refused.Close() })
	want("new while refused", say(refused, bufio.NewReader(refused), "five", time.Second), "broken")
}
