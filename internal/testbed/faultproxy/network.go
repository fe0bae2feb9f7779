// Package faultproxy relays all messages between the processes of an installation. By rules for each direction it cuts, drops, delays,
// duplicates, reorders, corrupts or throttles them. All sockets are on the loopback interface.
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

// Rule describes the faults of one direction of a link. Loss, Duplicate and Reorder have no effect on streams, whose bytes stay
// complete and in order.
type Rule struct {
	Cut       bool          // no data passes; open streams stay open, and new ones are accepted
	Refuse    bool          // streams that were or are opened in this direction are reset; datagrams are not affected
	Loss      float64       // share of datagrams that are dropped
	Duplicate float64       // share of datagrams that are sent twice
	Reorder   float64       // share of datagrams that are delayed by reorderDelay, so that later ones overtake them
	Corrupt   float64       // share of datagrams, or of a stream's chunks, in which one bit is flipped
	Delay     time.Duration // of every message
	Jitter    time.Duration // upper limit of the random delay that is added to Delay
	Rate      int64         // bytes per second; 0: no limit
}

// reorderDelay is the additional delay of a reordered datagram. It is several ticks of a gateway, so that datagrams of later ticks
// overtake it.
const reorderDelay = 50 * time.Millisecond

// namedRule is a rule with its name. It applies to messages from processes that match a pattern in from to those that match one in to.
type namedRule struct {
	name     string
	from, to []string
	rule     Rule
}

// direction is one direction of a link.
type direction struct{ from, to string }

// Network holds the rules, relays and open streams between the processes of an installation.
type Network struct {
	mu        sync.Mutex
	rules     []namedRule
	senders   map[netip.AddrPort]string
	random    *rand.Rand
	closers   []io.Closer
	streams   map[*stream]bool
	busyUntil map[direction]time.Time // time at which a direction with a rate limit has sent all earlier messages
	changed   chan struct{}           // closed and replaced when the rules change
	closed    bool
	counts    Counts
}

// Counts holds what the relays have counted so far. Datagrams and Bytes count what arrived at the datagram relays, including what was
// then dropped; Corrupted also counts chunks of streams.
type Counts struct{ Datagrams, Dropped, Duplicated, Corrupted, Bytes int64 }

// New returns a network without faults. The seed determines its random choices.
func New(seed uint64) *Network {
	return &Network{
		senders:   map[netip.AddrPort]string{},
		random:    rand.New(rand.NewPCG(seed, 5)),
		streams:   map[*stream]bool{},
		busyUntil: map[direction]time.Time{},
		changed:   make(chan struct{}),
	}
}

// SetRule adds a named rule for messages from the processes that match one of the patterns in from to those that match one in to. The
// patterns have the syntax of path.Match. A rule with Refuse also resets the open streams that were opened in this direction.
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

// RemoveRule removes the rules with the name, or all rules if the name is empty.
func (n *Network) RemoveRule(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rules = slices.DeleteFunc(n.rules, func(rule namedRule) bool { return name == "" || rule.name == name })
	n.notifyChange()
}

// notifyChange wakes the streams that wait for a change of the rules. The caller must hold n.mu.
func (n *Network) notifyChange() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// Counts returns the counts so far.
func (n *Network) Counts() Counts {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.counts
}

// matchesAny reports whether one of the patterns matches the name.
func matchesAny(patterns []string, name string) bool {
	for _, pattern := range patterns {
		if ok, err := path.Match(pattern, name); err == nil && ok {
			return true
		}
	}
	return false
}

// effectiveRule combines the rules for a direction. For each field it takes the most harmful value. The caller must hold n.mu.
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

// delay returns the delay of a message of the given size under the rule of a direction. With a rate limit, the message waits for all
// earlier messages of the direction. The caller must hold n.mu.
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

// maybeCorrupt flips one bit of a message with the probability rule.Corrupt. The caller must hold n.mu.
func (n *Network) maybeCorrupt(rule *Rule, message []byte) {
	if rule.Corrupt > 0 && n.random.Float64() < rule.Corrupt && len(message) > 0 {
		message[n.random.IntN(len(message))] ^= 1 << n.random.IntN(8)
		n.counts.Corrupted++
	}
}

// closeWithNetwork registers a socket of a relay that Close will close.
func (n *Network) closeWithNetwork(c io.Closer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closers = append(n.closers, c)
}

// Close closes the sockets of all relays and resets all streams.
func (n *Network) Close() {
	n.mu.Lock()
	n.closed = true
	closers, streams := n.closers, n.streams
	n.closers, n.streams = nil, map[*stream]bool{}
	n.mu.Unlock()
	for _, c := range closers {
		_ = c.Close() // fails only if the socket is already closed
	}
	for s := range streams {
		s.reset()
	}
}
