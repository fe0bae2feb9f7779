package rollout

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"magpiebank/internal/cluster/consensus"
)

// together begins the log: all voters of the file are there, none of them has one, and all are of one mind on leases. Where another has
// one already, this voter waits to be told.
func (v *voter) bootstrapWhenComplete(c *Core) {
	note := func(s string, more ...any) {
		if v.lastNotice != s {
			v.lastNotice = s
			c.host.LogEvent(VoterWaiting, append([]any{"for", s}, more...)...)
		}
	}
	if !v.replicaIDSaved {
		return
	}
	list := []Voter{}
	if slices.Contains(c.config.Voters, c.name) {
		list = append(list, Voter{c.name, v.replicaID})
	}
	for _, n := range c.config.Voters {
		if n == c.name {
			continue
		}
		i := slices.IndexFunc(v.peers, func(s seenVoter) bool { return s.name == n && c.now-s.heardAt < 10*helloInterval })
		switch {
		case i >= 0 && !v.peers[i].WithoutLog:
			note("the others, which have begun without it")
			v.openLog(c)
			return
		case i < 0:
			note("voter " + n + ", which is not heard: all must be there for the first start")
			return
		}
		list = append(list, Voter{n, v.peers[i].ReplicaID})
	}
	for _, s := range v.peers {
		if slices.ContainsFunc(list, func(k Voter) bool { return k.Name == s.name }) && s.Lease != 0 && s.Lease != c.config.LeaseDuration {
			note("one mind on leases", "voter", s.name, "lease", s.Lease)
			return
		}
	}
	if len(list) != len(c.config.Voters) {
		return
	}
	v.bootstrap(c, list, Table{LeaseDuration: c.config.LeaseDuration, WantedVoters: slices.Clone(c.config.Voters)})
}

// establish begins the log with some voters.
func (v *voter) bootstrap(c *Core, list []Voter, book Table) {
	slices.SortFunc(list, func(a, b Voter) int { return strings.Compare(a.Name, b.Name) })
	book.Voters = list
	slices.Sort(book.WantedVoters)
	v.openLog(c)
	n, ok := v.log.(*consensus.Node)
	if !ok {
		return
	}
	var ids []uint64
	for _, k := range list {
		ids = append(ids, k.ReplicaID)
	}
	if err := n.Bootstrap(ids, encode(book)); err != nil {
		c.host.LogEvent(SaveFailed, "error", err.Error())
		return
	}
	c.host.LogEvent(LogStarted, "voters", fmt.Sprint(voterNames(list)), "lease", book.LeaseDuration)
}

func voterNames(list []Voter) (out []string) {
	for _, k := range list {
		out = append(out, k.Name)
	}
	return out
}

// tend has the voters be those that are wanted: one change at a time, first by learning, then in the place of one that leaves.
func (v *voter) maintainVoters(c *Core) {
	l := v.leadership
	if c.now < l.maintainVotersAt {
		return
	}
	l.maintainVotersAt = c.now + second/2
	_, learners := v.log.Voters()
	for _, n := range v.table.WantedVoters {
		i := slices.IndexFunc(v.peers, func(s seenVoter) bool { return s.name == n && c.now-s.heardAt < 10*helloInterval })
		if i < 0 {
			continue // it votes, or isn't there
		}
		s, old := &v.peers[i], v.table.voterNamed(n)
		if old != nil && (old.ReplicaID == s.ReplicaID || !v.isGone(c, old.ReplicaID)) {
			continue
		}
		if !slices.Contains(learners, s.ReplicaID) {
			v.log.ChangeVoters(encode([]Voter{{n, s.ReplicaID}}), []uint64{s.ReplicaID}, nil, nil)
			return
		}
		if v.log.IsCaughtUp(s.ReplicaID) {
			var remove []uint64
			if old != nil {
				remove = append(remove, old.ReplicaID)
			} else if k := v.surplusVoter(); k != nil && k.ReplicaID != v.replicaID {
				remove = append(remove, k.ReplicaID)
			}
			v.log.ChangeVoters(encode([]Voter{{n, s.ReplicaID}}), nil, []uint64{s.ReplicaID}, remove)
			return
		}
	}
	var next *Voter
	for _, n := range v.table.WantedVoters {
		k := v.table.voterNamed(n)
		if k == nil {
			return
		}
		if k.ReplicaID != v.replicaID && v.log.IsCaughtUp(k.ReplicaID) {
			next = k
		}
	}
	switch k := v.surplusVoter(); {
	case k == nil:
	case k.ReplicaID != v.replicaID:
		v.log.ChangeVoters(nil, nil, nil, []uint64{k.ReplicaID})
	case next != nil: // the others go on without a pause
		v.log.TransferLeadership(next.ReplicaID)
	}
}

// gone tells whether a voter was not heard for long enough that another may take its place.
func (v *voter) isGone(c *Core, birth uint64) bool {
	l := v.leadership
	if v.log.IsActive(birth) || l.missing.replicaID != birth {
		l.missing.replicaID, l.missing.since = 0, c.now
		if !v.log.IsActive(birth) {
			l.missing.replicaID = birth
		}
		return false
	}
	return c.now-l.missing.since >= voterGoneAfter
}

// unwanted is a voter that is to be none; the leader itself comes last.
func (v *voter) surplusVoter() (out *Voter) {
	for i := range v.table.Voters {
		if k := &v.table.Voters[i]; !slices.Contains(v.table.WantedVoters, k.Name) && (out == nil || k.ReplicaID != v.replicaID) {
			out = k
		}
	}
	return out
}

// want has other members vote from then on.
func (v *voter) replaceVoters(c *Core, list []string) {
	list = slices.Clone(list)
	slices.Sort(list)
	if len(list) > 0 && !slices.Equal(list, v.table.WantedVoters) {
		v.appendEntry(c, &logEntry{WantedVoters: list})
	}
}

// Force begins a new log with this voter alone, and the policy that it knows as the latest, under a number of its own; the others that
// are named join it one by one. It is for the loss of a majority for good: what the lost ones decided last may be lost.
func (c *Core) ForceNewLog(now Time, voters []string) error {
	c.advanceClock(now)
	v, o := c.voter, &c.follower
	if v == nil {
		return errors.New("this gateway keeps no folder for policies (fleet.policy.folder), so it can't vote")
	}
	if !slices.Contains(voters, c.name) {
		return fmt.Errorf("expected %s among the voters, as it begins", c.name)
	}
	if n := len(voters); n != 1 && n != 3 && n != 5 && n != 7 {
		return fmt.Errorf("expected 1, 3, 5 or 7 voters, found %d", n)
	}
	b := v.table.clone()
	if b.version().Before(o.current) {
		b.Number, b.Digest, b.Size, b.Era = o.current.Number, o.currentDigest, o.currentSize, o.current.Era
	}
	if b.version().Before(o.decided) && c.policies.isUsable(o.decidedDigest) {
		b.Number, b.Digest, b.Size, b.Era = o.decided.Number, o.decidedDigest, o.currentSize, o.decided.Era
	}
	if body := c.host.LoadPolicy(b.Digest); b.Digest != (Digest{}) && !c.policies.isUsable(b.Digest) && DigestOf(body) != b.Digest {
		return fmt.Errorf("the text of number %d, %s, isn't here: force it at another gateway", b.Number, b.Digest)
	}
	lost := b.Number
	b.Era, b.Number, b.Proposal, b.Probation, b.LastProposal, b.WantedVoters = max(b.Era, o.decided.Era)+1, max(b.Number, o.decided.Number)+1, nil, nil, 0, slices.Clone(voters)
	b.Past = append(b.Past, PastPolicy{b.Number, b.Digest, b.Size, KindChange, c.name, c.host.UnixSeconds(), lost})
	if b.LeaseDuration == 0 {
		b.LeaseDuration = c.config.LeaseDuration
	}
	b.Overlap = max(b.Overlap, second)
	v.resetLog(c)
	v.peers = nil
	c.host.LogEvent(LogForced, "era", b.Era, "number", b.Number, "digest", b.Digest.String(), "voters", strings.Join(voters, " "))
	v.bootstrap(c, []Voter{{c.name, v.replicaID}}, *b)
	return nil
}
