// Package faultproxy stands between the processes of an installation: every message of theirs passes a relay here, which cuts,
// loses, delays, doubles, reorders, flips or slows it, in each direction by itself. All of it is on loopback.
package faultproxy

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"path"
	"slices"
	"sync"
	"time"
)

// Rule is what a link meets in one direction. For streams, loss, doubling and reordering say nothing, as they keep order and whole.
type Rule struct {
	Cut       bool          // nothing passes; a stream that is open, or opens, says nothing
	Refuse    bool          // connections are reset
	Loss      float64       // share of datagrams
	Duplicate float64       // share of datagrams that come twice
	Reorder   float64       // share of datagrams that come 50 ms later, behind others
	Corrupt   float64       // share of datagrams, or of a stream's pieces, in which one bit is turned
	Delay     time.Duration // of all
	Jitter    time.Duration // how much more, at most
	Rate      int64         // bytes a second; 0: no limit
}

// late is how much later a reordered datagram comes: behind what is sent within some ticks of a gateway.
const late = 50 * time.Millisecond

type placed struct {
	name     string
	from, to []string
	rule     Rule
}

// Network is the network of an installation.
type Network struct {
	mu      sync.Mutex
	rules   []placed
	senders map[netip.AddrPort]string
	chance  *rand.Rand
	closers []io.Closer
	streams map[*stream]bool
	busy    map[[2]string]time.Time // until when a direction with a rate is taken by what was sent before
	changed chan struct{}
	ended   bool
	counts  Counts
}

// Counts are what has passed so far.
type Counts struct{ Datagrams, Dropped, Duplicated, Corrupted, Bytes int64 }

// New is a network without faults.
func New(seed uint64) *Network {
	return &Network{senders: map[netip.AddrPort]string{}, chance: rand.New(rand.NewPCG(seed, 5)), streams: map[*stream]bool{}, busy: map[[2]string]time.Time{},
		changed: make(chan struct{})}
}

// SetRule has a rule hold, under a name, for what goes from some to others. Names may have * for any letters.
func (n *Network) SetRule(name string, from, to []string, r Rule) {
	n.mu.Lock()
	n.rules = append(n.rules, placed{name, from, to, r})
	n.turn()
	var broken []*stream
	if r.Refuse {
		for s := range n.streams {
			if fits(from, s.from) && fits(to, s.to) {
				broken = append(broken, s)
			}
		}
	}
	n.mu.Unlock()
	for _, s := range broken {
		s.reset()
	}
}

// RemoveRule ends the rules of a name; "" ends all.
func (n *Network) RemoveRule(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rules = slices.DeleteFunc(n.rules, func(p placed) bool { return name == "" || p.name == name })
	n.turn()
}

// turn wakes what waits for a rule to change.
func (n *Network) turn() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// Counts are what has passed so far.
func (n *Network) Counts() Counts {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.counts
}

func fits(patterns []string, name string) bool {
	for _, p := range patterns {
		if ok, _ := path.Match(p, name); ok {
			return true
		}
	}
	return false
}

// of joins the rules that a direction meets; the worse of each counts. It is called with the lock held.
func (n *Network) of(from, to string) (r Rule) {
	for _, p := range n.rules {
		if !fits(p.from, from) || !fits(p.to, to) {
			continue
		}
		r.Cut, r.Refuse = r.Cut || p.rule.Cut, r.Refuse || p.rule.Refuse
		r.Loss, r.Duplicate, r.Reorder, r.Corrupt = max(r.Loss, p.rule.Loss), max(r.Duplicate, p.rule.Duplicate), max(r.Reorder, p.rule.Reorder), max(r.Corrupt, p.rule.Corrupt)
		r.Delay, r.Jitter = max(r.Delay, p.rule.Delay), max(r.Jitter, p.rule.Jitter)
		if p.rule.Rate > 0 && (r.Rate == 0 || p.rule.Rate < r.Rate) {
			r.Rate = p.rule.Rate
		}
	}
	return r
}

// wait is how long so many bytes take on their way, by a direction's rule: those before them first, where it has a rate. It is
// called with the lock held.
func (n *Network) wait(r *Rule, from, to string, bytes int) time.Duration {
	wait := r.Delay
	if r.Jitter > 0 {
		wait += time.Duration(n.chance.Int64N(int64(r.Jitter)))
	}
	if r.Rate > 0 {
		now, k := time.Now(), [2]string{from, to}
		if n.busy[k].Before(now) {
			n.busy[k] = now
		}
		n.busy[k] = n.busy[k].Add(time.Duration(int64(bytes) * int64(time.Second) / r.Rate))
		wait += n.busy[k].Sub(now)
	}
	return wait
}

// RegisterSender tells who sends datagrams from an address.
func (n *Network) RegisterSender(address, name string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.senders[a] = name
	return nil
}

// RelayDatagrams opens a relay to one receiver, and tells its address, which senders use in place of the receiver's.
func (n *Network) RelayDatagrams(to, target string) (string, error) {
	out, err := netip.ParseAddrPort(target)
	if err != nil {
		return "", err
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		return "", fmt.Errorf("relay to %s: %w", to, err)
	}
	socket.SetReadBuffer(1 << 20)
	n.keep(socket)
	go func() {
		for {
			b := make([]byte, 2048)
			size, source, err := socket.ReadFromUDPAddrPort(b)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				continue
			}
			n.datagram(socket, netip.AddrPortFrom(source.Addr().Unmap(), source.Port()), to, out, b[:size])
		}
	}()
	return socket.LocalAddr().String(), nil
}

func (n *Network) keep(c io.Closer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closers = append(n.closers, c)
}

func (n *Network) datagram(socket *net.UDPConn, source netip.AddrPort, to string, target netip.AddrPort, b []byte) {
	n.mu.Lock()
	from := n.senders[source]
	r := n.of(from, to)
	n.counts.Datagrams++
	n.counts.Bytes += int64(len(b))
	copies := 1
	if r.Cut || r.Loss > 0 && n.chance.Float64() < r.Loss {
		copies = 0
		n.counts.Dropped++
	} else if r.Duplicate > 0 && n.chance.Float64() < r.Duplicate {
		copies = 2
		n.counts.Duplicated++
	}
	var waits [2]time.Duration
	for i := range copies {
		waits[i] = n.wait(&r, from, to, len(b))
		if r.Reorder > 0 && n.chance.Float64() < r.Reorder {
			waits[i] += late
		}
	}
	if copies > 0 && r.Corrupt > 0 && n.chance.Float64() < r.Corrupt && len(b) > 0 {
		b[n.chance.IntN(len(b))] ^= 1 << n.chance.IntN(8)
		n.counts.Corrupted++
	}
	n.mu.Unlock()
	for _, wait := range waits[:copies] {
		if wait == 0 {
			socket.WriteToUDPAddrPort(b, target)
		} else {
			time.AfterFunc(wait, func() { socket.WriteToUDPAddrPort(b, target) })
		}
	}
}

// stream is one connection through a relay.
type stream struct {
	n        *Network
	from, to string
	near     net.Conn // who connected
	far      net.Conn
	once     sync.Once
	gone     chan struct{}
}

// RelayStream opens a relay for connections from one to another, and tells its address.
func (n *Network) RelayStream(from, to string, target func() string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("relay from %s to %s: %w", from, to, err)
	}
	n.keep(l)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go n.connect(c, from, to, target)
		}
	}()
	return l.Addr().String(), nil
}

func (n *Network) connect(near net.Conn, from, to string, target func() string) {
	s := &stream{n: n, from: from, to: to, near: near, gone: make(chan struct{})}
	n.mu.Lock()
	refuse := n.of(from, to).Refuse || n.ended
	n.streams[s] = true
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.streams, s)
		n.mu.Unlock()
	}()
	if refuse {
		s.reset()
		return
	}
	if !s.pass(from, to) { // a cut link accepts and says nothing
		return
	}
	far, err := net.DialTimeout("tcp", target(), time.Second)
	if err != nil {
		s.reset()
		return
	}
	s.far = far
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); s.pump(near, far, from, to) }()
	go func() { defer both.Done(); s.pump(far, near, to, from) }()
	both.Wait()
	s.end()
}

// end closes both sides; reset does so without the farewell of a stream.
func (s *stream) end() {
	s.once.Do(func() {
		close(s.gone)
		s.near.Close()
		if s.far != nil {
			s.far.Close()
		}
	})
}

func (s *stream) reset() {
	for _, c := range []net.Conn{s.near, s.far} {
		if t, ok := c.(*net.TCPConn); ok && t != nil {
			t.SetLinger(0)
		}
	}
	s.end()
}

// pass waits while the direction is cut; false: the stream has ended.
func (s *stream) pass(from, to string) bool {
	for {
		s.n.mu.Lock()
		cut, changed := s.n.of(from, to).Cut, s.n.changed
		s.n.mu.Unlock()
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-s.gone:
			return false
		}
	}
}

// pump carries one direction, piece by piece and in order. What is closed on one side is closed on the other, once it passes.
func (s *stream) pump(in, out net.Conn, from, to string) {
	type piece struct {
		bytes []byte
		at    time.Time
	}
	pieces := make(chan piece, 256)
	go func() {
		defer close(pieces)
		for {
			b := make([]byte, 16<<10)
			k, err := in.Read(b)
			if k > 0 {
				s.n.mu.Lock()
				r := s.n.of(from, to)
				wait := s.n.wait(&r, from, to, k)
				if r.Corrupt > 0 && s.n.chance.Float64() < r.Corrupt {
					b[s.n.chance.IntN(k)] ^= 1 << s.n.chance.IntN(8)
					s.n.counts.Corrupted++
				}
				s.n.mu.Unlock()
				select {
				case pieces <- piece{b[:k], time.Now().Add(wait)}:
				case <-s.gone:
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range pieces {
		if wait := time.Until(p.at); wait > 0 {
			select {
			case <-time.After(wait):
			case <-s.gone:
				return
			}
		}
		if !s.pass(from, to) {
			return
		}
		if _, err := out.Write(p.bytes); err != nil {
			s.end()
			return
		}
	}
	if !s.pass(from, to) {
		return
	}
	if t, ok := out.(*net.TCPConn); ok {
		t.CloseWrite()
	}
}

// Close ends all relays.
func (n *Network) Close() {
	n.mu.Lock()
	n.ended = true
	closers, streams := n.closers, n.streams
	n.closers, n.streams = nil, map[*stream]bool{}
	n.mu.Unlock()
	for _, c := range closers {
		c.Close()
	}
	for s := range streams {
		s.reset()
	}
}
