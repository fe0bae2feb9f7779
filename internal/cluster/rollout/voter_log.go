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
	c *Core
	v *voter
}

func (h voterHost) Send(to uint64, m []byte) {
	if name := h.v.nameOf(to); name != "" && name != h.c.name {
		h.c.send(name, Message{Log: m})
	}
}

func (h voterHost) SaveRecords(records []consensus.Record, done func(error)) {
	log := h.v.log
	h.c.host.SaveRecords(records, func(err error) {
		if h.v.log == log || log == nil { // otherwise this voter has started another log meanwhile
			done(err)
		}
	})
}

func (h voterHost) EntryApplied(_ uint64, entry []byte) { h.v.entryApplied(h.c, entry) }

func (h voterHost) VotersChanged(_ uint64, context []byte, voters, learners []uint64) {
	v, c := h.v, h.c
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
		if i := slices.IndexFunc(known, func(k Voter) bool { return k.ReplicaID == id }); i >= 0 {
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
		h.v.table = table
	}
}

func (h voterHost) Snapshot() []byte { return encode(h.v.table) }

func (h voterHost) LeadershipChanged(term uint64) { h.v.leadershipChanged(h.c, term) }

func (h voterHost) LeadershipConfirmed(read uint64) { h.v.leadershipConfirmed(h.c, read) }

func (h voterHost) LogLost() {
	h.c.host.LogEvent(LogLost, "birth", fmt.Sprintf("%016x", h.v.replicaID))
	h.v.logLost = true
}
