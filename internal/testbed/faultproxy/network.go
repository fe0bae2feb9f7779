// Package faultproxy relays all messages between the processes of an installation, and cuts, drops, delays, duplicates, reorders,
// corrupts or throttles them, by rules for each direction. All of it is on loopback.
package faultproxy

import (
	"io"
	"math/rand/v2"
	"net/netip"
	"path"
	"slices"
	"sync"
	"time"
)

// Rule is what happens to messages in one direction of a link. Loss, Duplicate and Reorder don't apply to streams, which keep their
// bytes complete and in order.
type Rule struct {
	Cut       bool          // nothing passes; streams stay open, and new ones open, without data
	Refuse    bool          // connections are reset
	Loss      float64       // share of datagrams
	Duplicate float64       // share of datagrams that come twice
	Reorder   float64       // share of datagrams that arrive reorderDelay later, behind others
	Corrupt   float64       // share of datagrams, or of a stream's chunks, in which one bit is flipped
	Delay     time.Duration // of all
	Jitter    time.Duration // how much more, at most
	Rate      int64         // bytes a second; 0: no limit
}

// reorderDelay is how much later a reordered datagram arrives: behind what a gateway sends within several of its ticks.
const reorderDelay = 50 * time.Millisecond

// namedRule is a rule with its name and the patterns of the processes between which it holds.
type namedRule struct {
	name     string
	from, to []string
	rule     Rule
}

// direction is one direction of a link.
type direction struct{ from, to string }

// Network is the network of an installation.
type Network struct {
	mu        sync.Mutex
	rules     []namedRule
	senders   map[netip.AddrPort]string
	random    *rand.Rand
	closers   []io.Closer
	streams   map[*stream]bool
	busyUntil map[direction]time.Time // until when a direction with a rate sends what came before
	changed   chan struct{}           // closed when the rules change
	closed    bool
	counts    Counts
}

// Counts are what has passed so far.
type Counts struct{ Datagrams, Dropped, Duplicated, Corrupted, Bytes int64 }

// New is a network without faults.
func New(seed uint64) *Network {
	return &Network{
		senders:   map[netip.AddrPort]string{},
		random:    rand.New(rand.NewPCG(seed, 5)),
		streams:   map[*stream]bool{},
		busyUntil: map[direction]time.Time{},
		changed:   make(chan struct{}),
	}
}

// SetRule adds a rule, under a name, for messages from some processes to others. from and to are patterns in the form of path.Match.
// A rule that refuses also resets the open streams.
func (n *Network) SetRule(name string, from, to []string, rule Rule) {
	n.mu.Lock()
	n.rules = append(n.rules, namedRule{name, from, to, rule})
	n.notifyChange()
	var broken []*stream
	if rule.Refuse {
		for s := range n.streams {
			if matchesAny(from, s.from) && matchesAny(to, s.to) {
				broken = append(broken, s)
			}
		}
	}
	n.mu.Unlock()
	for _, s := range broken {
		s.reset()
	}
}

// RemoveRule removes the rules of a name, or all rules if the name is empty.
func (n *Network) RemoveRule(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rules = slices.DeleteFunc(n.rules, func(rule namedRule) bool { return name == "" || rule.name == name })
	n.notifyChange()
}

// notifyChange wakes streams that wait for a change of the rules. It is called with the lock held.
func (n *Network) notifyChange() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// Counts are what has passed so far.
func (n *Network) Counts() Counts {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.counts
}

// matchesAny tells whether one of the patterns fits a name.
func matchesAny(patterns []string, name string) bool {
	for _, pattern := range patterns {
		if ok, err := path.Match(pattern, name); err == nil && ok {
			return true
		}
	}
	return false
}

// effectiveRule joins the rules that hold for a direction: the worse of each field counts. It is called with the lock held.
func (n *Network) effectiveRule(d direction) (combined Rule) {
	for _, named := range n.rules {
		if !matchesAny(named.from, d.from) || !matchesAny(named.to, d.to) {
			continue
		}
		rule := &named.rule
		combined.Cut = combined.Cut || rule.Cut
		combined.Refuse = combined.Refuse || rule.Refuse
		combined.Loss = max(combined.Loss, rule.Loss)
		combined.Duplicate = max(combined.Duplicate, rule.Duplicate)
		combined.Reorder = max(combined.Reorder, rule.Reorder)
		combined.Corrupt = max(combined.Corrupt, rule.Corrupt)
		combined.Delay = max(combined.Delay, rule.Delay)
		combined.Jitter = max(combined.Jitter, rule.Jitter)
		if rule.Rate > 0 && (combined.Rate == 0 || rule.Rate < combined.Rate) {
			combined.Rate = rule.Rate
		}
	}
	return combined
}

// delay is how long a message of that many bytes takes by a direction's rule; with a rate it waits for those before it. It is called
// with the lock held.
func (n *Network) delay(rule *Rule, d direction, bytes int) time.Duration {
	delay := rule.Delay
	if rule.Jitter > 0 {
		delay += time.Duration(n.random.Int64N(int64(rule.Jitter)))
	}
	if rule.Rate > 0 {
		now := time.Now()
		if n.busyUntil[d].Before(now) {
			n.busyUntil[d] = now
		}
		n.busyUntil[d] = n.busyUntil[d].Add(time.Duration(int64(bytes) * int64(time.Second) / rule.Rate))
		delay += n.busyUntil[d].Sub(now)
	}
	return delay
}

// maybeCorrupt flips one bit of a message by a direction's rule. It is called with the lock held.
func (n *Network) maybeCorrupt(rule *Rule, message []byte) {
	if rule.Corrupt > 0 && n.random.Float64() < rule.Corrupt && len(message) > 0 {
		message[n.random.IntN(len(message))] ^= 1 << n.random.IntN(8)
		n.counts.Corrupted++
	}
}

// closeWithNetwork has Close close a relay's socket.
func (n *Network) closeWithNetwork(c io.Closer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closers = append(n.closers, c)
}

// Close ends all relays.
func (n *Network) Close() {
	n.mu.Lock()
	n.closed = true
	closers, streams := n.closers, n.streams
	n.closers, n.streams = nil, map[*stream]bool{}
	n.mu.Unlock()
	for _, c := range closers {
		_ = c.Close() // a socket that can't be closed is closed already
	}
	for s := range streams {
		s.reset()
	}
}
