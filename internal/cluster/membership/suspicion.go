package membership

import (
	"math"
	"slices"
)

// suspicion is one that has begun to run. Members that share it shorten it.
type suspicion struct {
	name        string
	incarnation uint64
	refutations uint32
	began       Time
	accusers    []string
}

const maxAccusers = 4

// concerns reports whether a suspicion is the one that a member is under. One that it has refuted is over.
func (s *suspicion) concerns(m *Member) bool {
	return s.name == m.Name && s.incarnation == m.Incarnation && s.refutations == m.Refutations
}

// suspicionTimeout returns how long a suspicion runs. It grows with the logarithm of the fleet, because gossip takes so
// many rounds, and is three times as long while nobody shares the suspicion. A member that doubts itself waits longer, but
// a part of the fleet that is cut off and whose probes mostly fail still finds out within two minutes.
func (c *Core) suspicionTimeout(s *suspicion) Time {
	least := float64(ProbeInterval) * (1 + float64(c.health)/4) * 2 * max(1, math.Log2(float64(len(c.members)+2)))
	const maxFactor, shared = 3, 3.0
	part := math.Log2(float64(len(s.accusers))) / math.Log2(shared+1)
	return Time(least * max(1, maxFactor-(maxFactor-1)*part))
}

// endSuspicions declares suspects dead whose suspicion has run out, and drops suspicions that are over.
func (c *Core) endSuspicions() {
	for i := 0; i < len(c.suspicions); {
		s := &c.suspicions[i]
		k, known := c.indexOf(s.name)
		if !known || c.members[k].State != Suspect || !s.concerns(&c.members[k]) {
			c.suspicions = slices.Delete(c.suspicions, i, i+1)
			continue
		}
		if c.now-s.began < c.suspicionTimeout(s) {
			i++
			continue
		}
		m := c.members[k]
		m.State = Dead
		c.suspicions = slices.Delete(c.suspicions, i, i+1)
		c.learn(m)
	}
}

// addAccuser notes who shares a suspicion. A further accuser is passed on.
func (c *Core) addAccuser(m *Member, accuser string) {
	i := slices.IndexFunc(c.suspicions, func(s suspicion) bool { return s.concerns(m) })
	if i < 0 {
		i = len(c.suspicions)
		c.suspicions = append(c.suspicions, suspicion{name: m.Name, incarnation: m.Incarnation, refutations: m.Refutations, began: c.now})
	}
	s := &c.suspicions[i]
	if len(s.accusers) >= maxAccusers || slices.Contains(s.accusers, accuser) {
		return
	}
	s.accusers = append(s.accusers, accuser)
	if len(s.accusers) > 1 {
		c.spread(m.Name)
	}
}
