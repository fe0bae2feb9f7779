package membership

import (
	"math"
	"slices"
)

// suspicion is the suspicion that a member is under, and the time since which it is running. It ends earlier the more members share it.
type suspicion struct {
	name        string
	incarnation uint64
	refutations uint32
	startedAt   Time
	accusers    []string
}

const maxAccusers = 4

// concerns reports whether a suspicion is about the current record of a member. A suspicion that the member has refuted is not.
func (s *suspicion) concerns(m *Member) bool {
	return s.name == m.Name && s.incarnation == m.Incarnation && s.refutations == m.Refutations
}

// suspicionTimeout returns after what time a suspected member is declared dead. The timeout grows with the logarithm of the cluster size,
// like the number of rounds that gossip needs. It is three times as long while no other member shares the suspicion. It also grows with
// the local health, but so little that members in a cut-off part of the cluster, most of whose probes fail, still declare the others dead
// within two minutes.
func (c *Core) suspicionTimeout(s *suspicion) Time {
	minTimeout := float64(ProbeInterval) * (1 + float64(c.localHealth)/4) * 2 * max(1, math.Log2(float64(len(c.members)+2)))
	const maxFactor, sharersForMinimum = 3, 3.0
	reduction := math.Log2(float64(len(s.accusers))) / math.Log2(sharersForMinimum+1)
	return Time(minTimeout * max(1, maxFactor-(maxFactor-1)*reduction))
}

// endSuspicions declares suspects dead whose suspicion has timed out, and removes suspicions that no longer concern a suspect.
func (c *Core) endSuspicions() {
	for i := 0; i < len(c.suspicions); {
		s := &c.suspicions[i]
		k, known := c.indexOf(s.name)
		if !known || c.members[k].State != Suspect || !s.concerns(&c.members[k]) {
			c.suspicions = slices.Delete(c.suspicions, i, i+1)
			continue
		}
		if c.now-s.startedAt < c.suspicionTimeout(s) {
			i++
			continue
		}
		m := c.members[k]
		m.State = Dead
		c.suspicions = slices.Delete(c.suspicions, i, i+1)
		c.applyRecord(m)
	}
}

// addAccuser adds an accuser to the suspicion of a member, and starts the suspicion if there is none. Every accuser after the first makes
// the core spread the member's record.
func (c *Core) addAccuser(m *Member, accuser string) {
	i := slices.IndexFunc(c.suspicions, func(s suspicion) bool { return s.concerns(m) })
	if i < 0 {
		i = len(c.suspicions)
		c.suspicions = append(c.suspicions, suspicion{name: m.Name, incarnation: m.Incarnation, refutations: m.Refutations, startedAt: c.now})
	}
	s := &c.suspicions[i]
	if len(s.accusers) >= maxAccusers || slices.Contains(s.accusers, accuser) {
		return
	}
	s.accusers = append(s.accusers, accuser)
	if len(s.accusers) > 1 {
		c.queueUpdate(m.Name)
	}
}
