package rollout

import "slices"

const (
	// maintainVotersInterval is the shortest time between two changes of the voters by the leader.
	maintainVotersInterval = second / 2
	// A voter that lost its folder returns with a new replica ID. The new replica may replace the old one once the old one has been inactive
	// for voterReplaceableAfter. Without this wait, a second process with the name of a running voter could replace that voter.
	voterReplaceableAfter = 10 * second
)

// maintainVoters replaces the voters by the wanted ones, one at a time. A new voter first receives the log as a learner, and then replaces
// a voter that is not wanted.
func (v *voter) maintainVoters(c *Core) {
	leader := v.leadership
	if c.now < leader.maintainVotersAt {
		return
	}
	leader.maintainVotersAt = c.now + maintainVotersInterval
	for _, name := range v.table.WantedVoters {
		if v.addVoter(c, name) {
			return
		}
	}
	v.removeSurplusVoter()
}

// addVoter takes the next step to make a wanted member a voter: it adds the member as a learner, or promotes a learner that has caught up.
// It reports whether it took a step. A member that already votes sends no hellos, so recentPeer doesn't find it.
func (v *voter) addVoter(c *Core, name string) bool {
	peer, current := v.recentPeer(c, name), v.table.voterNamed(name)
	if peer == nil || current != nil && (current.ReplicaID == peer.ReplicaID || !v.isReplaceable(c, current.ReplicaID)) {
		return false
	}
	context := encode([]Voter{{name, peer.ReplicaID}})
	_, learners := v.log.Voters()
	if !slices.Contains(learners, peer.ReplicaID) {
		v.changeVoters(context, []uint64{peer.ReplicaID}, nil, nil)
		return true
	}
	if !v.log.IsCaughtUp(peer.ReplicaID) {
		return false
	}
	var remove []uint64
	if current != nil {
		remove = append(remove, current.ReplicaID)
	} else if surplus := v.surplusVoter(); surplus != nil && surplus.ReplicaID != v.replicaID {
		remove = append(remove, surplus.ReplicaID)
	}
	v.changeVoters(context, nil, []uint64{peer.ReplicaID}, remove)
	return true
}

// removeSurplusVoter removes a voter that is not wanted, once all wanted members vote. A leader that is not wanted first transfers its
// leadership to a wanted voter, so that the others continue without a pause.
func (v *voter) removeSurplusVoter() {
	var next *Voter
	for _, name := range v.table.WantedVoters {
		wanted := v.table.voterNamed(name)
		if wanted == nil {
			return
		}
		if wanted.ReplicaID != v.replicaID && v.log.IsCaughtUp(wanted.ReplicaID) {
			next = wanted
		}
	}
	surplus := v.surplusVoter()
	switch {
	case surplus == nil:
	case surplus.ReplicaID != v.replicaID:
		v.changeVoters(nil, nil, nil, []uint64{surplus.ReplicaID})
	case next != nil:
		v.log.TransferLeadership(next.ReplicaID)
	}
}

// changeVoters proposes a change of the voters to the log. It ignores an error, because the next run of maintainVoters repeats a change that
// was rejected or lost.
func (v *voter) changeVoters(context []byte, learn, promote, remove []uint64) {
	_ = v.log.ChangeVoters(context, learn, promote, remove)
}

// isReplaceable reports whether a voter has been inactive for so long that another replica may replace it. It keeps track of one such voter.
func (v *voter) isReplaceable(c *Core, replicaID uint64) bool {
	leader := v.leadership
	if v.log.IsActive(replicaID) {
		leader.missing = missingVoter{0, c.now}
		return false
	}
	if leader.missing.replicaID != replicaID {
		leader.missing = missingVoter{replicaID, c.now}
		return false
	}
	return c.now-leader.missing.since >= voterReplaceableAfter
}

// surplusVoter returns a voter that is not wanted, or nil if there is none. It returns the leader only if no other voter is unwanted.
func (v *voter) surplusVoter() (surplus *Voter) {
	for i := range v.table.Voters {
		candidate := &v.table.Voters[i]
		if slices.Contains(v.table.WantedVoters, candidate.Name) {
			continue
		}
		if surplus == nil || candidate.ReplicaID != v.replicaID {
			surplus = candidate
		}
	}
	return surplus
}

// replaceVoters appends an entry that sets the members that should vote, unless they are the same.
func (v *voter) replaceVoters(c *Core, names []string) {
	names = slices.Clone(names)
	slices.Sort(names)
	if len(names) > 0 && !slices.Equal(names, v.table.WantedVoters) {
		v.appendEntry(c, &logEntry{WantedVoters: names})
	}
}
