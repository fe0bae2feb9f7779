package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"magpiebank/internal/cluster/consensus"
)

// voterHost is what the voters' log acts on.
type voterHost struct {
	c *Core
	v *voter
}

func (h voterHost) Send(to uint64, m []byte) {
	if n := h.v.nameOf(to); n != "" && n != h.c.name {
		h.c.send(n, Message{Log: m})
	}
}

func (h voterHost) SaveRecords(records []consensus.Record, done func(error)) {
	log := h.v.log
	h.c.host.SaveRecords(records, func(err error) {
		if h.v.log == log || log == nil { // it is another voter by now
			done(err)
		}
	})
}

func (h voterHost) EntryApplied(_ uint64, e []byte) { h.v.entryApplied(h.c, e) }

func (h voterHost) VotersChanged(_ uint64, context []byte, voters, learners []uint64) {
	v, c := h.v, h.c
	var more []Voter
	if len(context) > 0 && unmarshal(context, &more) != nil {
		more = nil
	}
	v.learners = append(v.learners, more...)
	v.learners = v.learners[max(0, len(v.learners)-2*maxWaitingProposals):]
	var list []Voter
	for _, id := range voters { // by what the log itself says, so that all come to the same
		known := append(slices.Clone(v.table.Voters), more...)
		if i := slices.IndexFunc(known, func(k Voter) bool { return k.ReplicaID == id }); i >= 0 {
			list = append(list, known[i])
		}
	}
	slices.SortFunc(list, func(a, b Voter) int {
		return cmp.Or(strings.Compare(a.Name, b.Name), cmp.Compare(a.ReplicaID, b.ReplicaID))
	})
	if !slices.Equal(list, v.table.Voters) {
		v.table.Voters = list
		c.host.LogEvent(VotersChanged, "voters", strings.Join(voterNames(list), " "), "learners", len(learners))
	}
}

func (h voterHost) SnapshotInstalled(_ uint64, state []byte) {
	var b Table
	if unmarshal(state, &b) == nil {
		h.v.table = b
	}
}

func (h voterHost) Snapshot() []byte { return encode(h.v.table) }

func (h voterHost) LeadershipChanged(term uint64) { h.v.leadershipChanged(h.c, term) }

func (h voterHost) LeadershipConfirmed(read uint64) { h.v.leadershipConfirmed(h.c, read) }

func (h voterHost) LogLost() {
	h.c.host.LogEvent(LogLost, "birth", fmt.Sprintf("%016x", h.v.replicaID))
	h.v.logLost = true
}
