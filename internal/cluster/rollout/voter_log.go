package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"magpiebank/internal/cluster/consensus"
)

// voterHost implements consensus.Host for the voters' log.
type voterHost struct {
	core  *Core
	voter *voter
}

func (h voterHost) Send(to uint64, m []byte) {
	if name := h.voter.nameOf(to); name != "" && name != h.core.name {
		h.core.send(name, Message{Log: m})
	}
}

func (h voterHost) SaveRecords(records []consensus.Record, done func(error)) {
	log := h.voter.log
	h.core.host.SaveRecords(records, func(err error) {
		if h.voter.log == log || log == nil { // otherwise this voter has started another log meanwhile
			done(err)
		}
	})
}

func (h voterHost) EntryApplied(_ uint64, entry []byte) { h.voter.entryApplied(h.core, entry) }

func (h voterHost) VotersChanged(_ uint64, context []byte, voters, learners []uint64) {
	v, c := h.voter, h.core
	var added []Voter
	if len(context) > 0 && unmarshal(context, &added) != nil {
		added = nil
	}
	v.learners = append(v.learners, added...)
	v.learners = v.learners[max(0, len(v.learners)-maxLearners):]
	list := nameVoters(voters, slices.Concat(v.table.Voters, added))
	if !slices.Equal(list, v.table.Voters) {
		v.table.Voters = list
		c.host.LogEvent(VotersChanged, "voters", strings.Join(voterNames(list), " "), "learners", len(learners))
	}
}

// nameVoters returns the voters with the given replica IDs, sorted by name. The names come from known, which contains only what the log
// itself provides, so that all voters get the same list.
func nameVoters(replicaIDs []uint64, known []Voter) (list []Voter) {
	for _, id := range replicaIDs {
		if i := slices.IndexFunc(known, func(replica Voter) bool { return replica.ReplicaID == id }); i >= 0 {
			list = append(list, known[i])
		}
	}
	slices.SortFunc(list, func(a, b Voter) int {
		return cmp.Or(strings.Compare(a.Name, b.Name), cmp.Compare(a.ReplicaID, b.ReplicaID))
	})
	return list
}

func (h voterHost) SnapshotInstalled(_ uint64, state []byte) {
	var table Table
	if unmarshal(state, &table) == nil {
		h.voter.table = table
	}
}

func (h voterHost) Snapshot() []byte { return encode(h.voter.table) }

func (h voterHost) LeadershipChanged(term uint64) { h.voter.leadershipChanged(h.core, term) }

func (h voterHost) LeadershipConfirmed(read uint64) { h.voter.leadershipConfirmed(h.core, read) }

func (h voterHost) LogLost() {
	h.core.host.LogEvent(LogLost, "birth", fmt.Sprintf("%016x", h.voter.replicaID))
	h.voter.logLost = true
}
