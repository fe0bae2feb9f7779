package rollout

import "slices"

const (
	// The leader changes the voters at most this often.
	maintainVotersInterval = second / 2
	// A voter that lost its folder comes back under a new replica ID. It takes the place of the old one after that was not heard for so
	// long: a second process under a living voter's name must not.
	voterGoneAfter = 10 * second
)

// maintainVoters changes the voters to those that are wanted, one at a time: a new one learns the log first, then it takes the place of
// one that leaves.
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

// addVoter takes the next step towards a wanted voter, if there is one to take, and tells whether it did. Only a process that isn't among
// the voters says hello.
func (v *voter) addVoter(c *Core, name string) bool {
	peer, old := v.heardPeer(c, name), v.table.voterNamed(name)
	if peer == nil || old != nil && (old.ReplicaID == peer.ReplicaID || !v.isGone(c, old.ReplicaID)) {
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
	if old != nil {
		remove = append(remove, old.ReplicaID)
	} else if surplus := v.surplusVoter(); surplus != nil && surplus.ReplicaID != v.replicaID {
		remove = append(remove, surplus.ReplicaID)
	}
	v.changeVoters(context, nil, []uint64{peer.ReplicaID}, remove)
	return true
}

// removeSurplusVoter removes a voter that is not wanted, once all that are wanted vote. A leader that is not wanted first has another one
// lead, so that the others go on without a pause.
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

// changeVoters proposes other voters. A proposal that the log doesn't take, or loses, is made again at the next turn.
func (v *voter) changeVoters(context []byte, learn, promote, remove []uint64) {
	_ = v.log.ChangeVoters(context, learn, promote, remove)
}

// isGone tells whether a voter was not heard for long enough that another may take its place.
func (v *voter) isGone(c *Core, replicaID uint64) bool {
	leader := v.leadership
	if v.log.IsActive(replicaID) {
		leader.missing = missingVoter{0, c.now}
		return false
	}
	if leader.missing.replicaID != replicaID {
		leader.missing = missingVoter{replicaID, c.now}
		return false
	}
	return c.now-leader.missing.since >= voterGoneAfter
}

// surplusVoter is a voter that is not wanted; nil: there is none. The leader itself comes last.
func (v *voter) surplusVoter() (surplus *Voter) {
	for i := range v.table.Voters {
		k := &v.table.Voters[i]
		if slices.Contains(v.table.WantedVoters, k.Name) {
			continue
		}
		if surplus == nil || k.ReplicaID != v.replicaID {
			surplus = k
		}
	}
	return surplus
}

// replaceVoters has other members vote from then on.
func (v *voter) replaceVoters(c *Core, names []string) {
	names = slices.Clone(names)
	slices.Sort(names)
	if len(names) > 0 && !slices.Equal(names, v.table.WantedVoters) {
		v.appendEntry(c, &logEntry{WantedVoters: names})
	}
}
