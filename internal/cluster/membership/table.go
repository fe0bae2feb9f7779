package membership

import (
	"cmp"
	"slices"
)

// overrides reports whether a received record replaces the known record of the member.
func overrides(received, current *Member) bool {
	order := cmp.Or(cmp.Compare(received.Refutations, current.Refutations), cmp.Compare(received.State, current.State))
	if ignoreIncarnations {
		return order > 0
	}
	return cmp.Or(cmp.Compare(received.Incarnation, current.Incarnation), order) > 0
}

// applyRecord applies a received record of a member. If the record is new, it is added to the next messages.
func (c *Core) applyRecord(received Member) {
	if received.Name == c.self.Name {
		c.applyOwnRecord(received)
		return
	}
	received.StateSince = c.now
	i, known := c.indexOf(received.Name)
	if !known {
		c.addMember(i, received)
		return
	}
	before := c.members[i]
	if received.State == Suspect && before.State == Suspect && received.sameVersion(&before) {
		c.addAccuser(&c.members[i], received.Accuser)
		return
	}
	if !overrides(&received, &before) {
		return
	}
	c.members[i] = received
	c.queueUpdate(received.Name)
	c.reportChange(before, received)
	if received.State == Suspect {
		c.addAccuser(&c.members[i], received.Accuser)
	}
	c.checkPartition()
}

func (c *Core) addMember(index int, m Member) {
	if len(c.members) >= 2*maxMembers {
		return
	}
	c.members = slices.Insert(c.members, index, m)
	c.newMemberAt = c.now
	c.queueUpdate(m.Name)
	if m.State <= Suspect {
		c.host.MemberChanged(Joined, m)
	}
	if m.State == Suspect {
		c.addAccuser(&c.members[index], m.Accuser)
	}
	c.checkPartition()
}

// reportChange notifies the host of a change in a member's record.
func (c *Core) reportChange(before, now Member) {
	switch {
	case now.Incarnation > before.Incarnation && now.State <= Suspect:
		c.host.MemberChanged(Restarted, now)
	case now.State <= Suspect && before.State >= Dead:
		c.host.MemberChanged(Joined, now)
	case now.State == Alive && before.State == Suspect:
		c.host.MemberChanged(Refuted, now)
	case now.State == Dead && before.State != Dead:
		c.host.MemberChanged(Died, now)
	case now.State == Left && before.State != Left:
		c.host.MemberChanged(Departed, now)
	}
	if now.State == Suspect && before.State != Suspect {
		c.host.MemberChanged(Suspected, now)
	}
}

// applyOwnRecord handles a received record with the name of this process. It refutes a suspicion or a report of death. A higher incarnation
// supersedes this process, unless this process has just started and so must be the later one.
func (c *Core) applyOwnRecord(received Member) {
	switch {
	case received.Incarnation > c.self.Incarnation && c.now-c.startedAt < incarnationRaisePeriod && !c.raisedIncarnation:
		c.raisedIncarnation = true // the clock of this process is behind that of the earlier process
		c.self.Incarnation, c.self.Refutations = received.Incarnation+1, 0
		c.queueUpdate(c.self.Name)
	case received.Incarnation > c.self.Incarnation:
		c.inactive = true
		c.host.MemberChanged(Superseded, received)
	case received.Incarnation == c.self.Incarnation && received.State != Alive && received.Refutations >= c.self.Refutations:
		c.self.Refutations = received.Refutations + 1
		c.changeLocalHealth(1)
		c.queueUpdate(c.self.Name)
	}
}

// checkPartition notifies the host when a large part of the cluster is dead at the same time, and when it no longer is.
func (c *Core) checkPartition() {
	const minDead, divisor = 2, 4
	present := 1 + c.count(func(m *Member) bool { return m.State != Left })
	partitioned := c.CountDead() >= max(minDead, present/divisor)
	if partitioned == c.partitioned {
		return
	}
	c.partitioned = partitioned
	code := Healed
	if partitioned {
		code = Partitioned
	}
	c.host.MemberChanged(code, c.self)
}

// removeOldMembers removes members that died or left at least ForgetAfter ago. While there are still more than maxMembers, it removes more,
// in the order of removedBefore.
func (c *Core) removeOldMembers() {
	c.members = slices.DeleteFunc(c.members, func(m Member) bool { return m.State >= Dead && c.now-m.StateSince >= ForgetAfter })
	for len(c.members) > maxMembers {
		first := 0
		for i := range c.members {
			if removedBefore(&c.members[i], &c.members[first]) {
				first = i
			}
		}
		c.members = slices.Delete(c.members, first, first+1)
	}
}

// removedBefore reports whether a member is removed before another one. Members that are dead or have left come before the others, and
// otherwise members with an older state come first.
func removedBefore(a, b *Member) bool {
	aDead, bDead := a.State >= Dead, b.State >= Dead
	if aDead != bDead {
		return aDead
	}
	return a.StateSince < b.StateSince
}
