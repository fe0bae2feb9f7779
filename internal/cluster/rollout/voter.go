package rollout

import (
	"math/rand/v2"
	"slices"

	"magpiebank/internal/cluster/consensus"
)

const (
	// The voters' log is stepped so often (consensus counts in it), and voters that are not in it tell their births so often.
	logTick       = 50 * millisecond
	helloInterval = second / 5
	// A voter that lost its folder is another one. It takes the place of the one before it once that was not heard for so long: a second
	// process under a living voter's name must not.
	voterGoneAfter = 10 * second
)

// Log is the voters' log as one voter has it; consensus.Node is one.
type Log interface {
	Append(entry []byte) error
	ConfirmLeadership(read uint64)
	ChangeVoters(context []byte, learn, promote, remove []uint64) error
	HandleMessage(b []byte) error
	Tick()
	IsLeader() bool
	LeaderID() uint64
	TransferLeadership(to uint64)
	IsCaughtUp(id uint64) bool
	IsActive(id uint64) bool
	Voters() (voters, learners []uint64)
	Err() error
}

// birthRecord is what a folder says of a voter: drawn when the folder was new.
type replicaRecord struct {
	ReplicaID uint64 `cbor:"1,keyasint"`
}

// voter is this process's part as one of those that decide.
type voter struct {
	table          Table
	log            Log // nil: it is not begun
	replicaID      uint64
	replicaIDSaved bool // the birth survives
	stored         *consensus.StoredLog
	leadership     *leadership
	peers          []seenVoter // of others that tell it
	nextTickAt     Time
	nextHelloAt    Time
	lastNotice     string  // the last thing said about not voting
	learners       []Voter // of learners, which the book doesn't have
	logLost        bool    // its folder lacks what others were told it has
}

type seenVoter struct {
	name string
	VoterHello
	heardAt Time
}

func newVoter(c *Core, kept *StoredState) *voter {
	v := &voter{stored: &kept.log, nextTickAt: c.now}
	if kept.replica != nil {
		v.replicaID, v.replicaIDSaved = kept.replica.ReplicaID, true
	} else {
		v.drawReplicaID(c)
	}
	if !v.stored.IsEmpty() {
		v.openLog(c)
	}
	return v
}

// draw draws a birth for a folder that has none.
func (v *voter) drawReplicaID(c *Core) {
	v.replicaID, v.replicaIDSaved = c.random.Uint64()|1, false
	birth := v.replicaID
	c.saveRecords([]consensus.Record{{Key: replicaKey, Value: encode(replicaRecord{birth})}}, func(err error) {
		v.replicaIDSaved = v.replicaID == birth && err == nil
	})
}

// begin takes up the log in the folder, or waits for the others' word with an empty one.
func (v *voter) openLog(c *Core) {
	n, err := consensus.New(v.replicaID, v.stored, rand.New(rand.NewPCG(c.random.Uint64(), 1)), voterHost{c, v})
	if err != nil {
		c.host.LogEvent(SaveFailed, "error", err.Error())
		v.resetLog(c)
		return
	}
	v.log = n
	v.stored = &consensus.StoredLog{}
}

// anew has this voter be another one: what it had can't be counted on.
func (v *voter) resetLog(c *Core) {
	drop := v.stored.DeletionRecords()
	if n, ok := v.log.(*consensus.Node); ok {
		drop = n.DeletionRecords()
	}
	v.log, v.stored, v.leadership, v.table = nil, &consensus.StoredLog{}, nil, Table{}
	c.saveRecords(drop, func(error) {})
	v.drawReplicaID(c)
}

// votes tells whether it is among the voters by the book that it knows.
func (v *voter) isVoter(c *Core) bool {
	k := v.table.voterNamed(c.name)
	return k != nil && k.ReplicaID == v.replicaID
}

func (v *voter) tick(c *Core) {
	if v.logLost {
		v.logLost = false
		v.resetLog(c)
	}
	if v.log != nil && v.log.Err() != nil {
		if v.leadership = nil; v.lastNotice != "failed" {
			v.lastNotice = "failed"
			c.host.LogEvent(SaveFailed, "error", v.log.Err().Error())
		}
		return
	}
	for ; v.log != nil && c.now >= v.nextTickAt; v.nextTickAt += logTick {
		if v.log.Tick(); c.now-v.nextTickAt > second {
			v.nextTickAt = c.now // it stood still
		}
	}
	if c.now >= v.nextHelloAt && v.replicaIDSaved {
		v.nextHelloAt = c.now + helloInterval
		v.announce(c)
	}
	if v.leadership != nil {
		v.broadcastIfDue(c)
		v.confirmLeadership(c)
		v.advanceProposal(c)
		v.openWaitingProposals(c)
		v.watchProbation(c)
		v.maintainVoters(c)
	}
}

// tell has the other voters know as whom this one votes, while it doesn't yet.
func (v *voter) announce(c *Core) {
	if v.log != nil && v.isVoter(c) {
		v.lastNotice = ""
		return
	}
	if !slices.Contains(c.follower.voters, c.name) && !slices.Contains(c.follower.wantedVoters, c.name) && !slices.Contains(c.config.Voters, c.name) {
		return
	}
	for _, to := range v.otherVoters(c) {
		c.send(to, Message{VoterHello: v.hello(c, false)})
	}
	if v.log == nil {
		v.bootstrapWhenComplete(c)
	}
}

func (v *voter) hello(c *Core, reply bool) *VoterHello {
	lease := v.table.LeaseDuration
	if v.log == nil {
		lease = c.config.LeaseDuration
	}
	return &VoterHello{ReplicaID: v.replicaID, Lease: lease, Era: v.table.Era, WithoutLog: v.log == nil, Reply: reply}
}

func (v *voter) otherVoters(c *Core) (out []string) {
	for _, list := range [][]string{c.follower.voters, c.follower.wantedVoters, c.config.Voters} {
		for _, n := range list {
			if n != c.name && !slices.Contains(out, n) {
				out = append(out, n)
			}
		}
	}
	return out
}

// born takes in what another voter tells of itself.
func (v *voter) handleHello(c *Core, m *Message) {
	b := *m.VoterHello
	i := slices.IndexFunc(v.peers, func(s seenVoter) bool { return s.name == m.from })
	if i < 0 {
		if len(v.peers) >= 2*maxWaitingProposals || len(m.from) > maxNameBytes {
			return
		}
		i = len(v.peers)
		v.peers = append(v.peers, seenVoter{name: m.from})
	}
	v.peers[i].VoterHello, v.peers[i].heardAt = b, c.now
	if !b.Reply && v.replicaIDSaved {
		c.send(m.from, Message{VoterHello: v.hello(c, true)})
	}
	if !b.WithoutLog {
		v.checkSuperseded(c, b.Era, m.from)
	}
	if v.log == nil {
		v.bootstrapWhenComplete(c)
	}
}

// overruled has a voter whose group another was forced in the place of be none of it any more.
func (v *voter) checkSuperseded(c *Core, era uint64, by string) bool {
	if v.log == nil || len(v.table.Voters) == 0 || era <= v.table.Era {
		return false
	}
	c.host.LogEvent(LogSuperseded, "era", era, "by", by)
	v.resetLog(c)
	return true
}

// tidy has the folder lose texts that nothing leads back to.
func (v *voter) deleteUnusedPolicies(c *Core) {
	if !c.config.Persistent {
		return
	}
	keep := c.follower.neededPolicies()
	for _, a := range v.table.Past {
		keep = append(keep, a.Digest)
	}
	if v.table.Proposal != nil {
		keep = append(keep, v.table.Proposal.Digest)
	}
	c.policies.deleteExcept(c, keep)
}

// heardLog takes in a message of the voters' log.
func (v *voter) handleLogMessage(c *Core, b []byte) {
	if v.log == nil {
		return
	}
	if err := v.log.HandleMessage(b); err != nil {
		c.host.LogEvent(SaveFailed, "error", err.Error())
	}
}

// leader is whom this voter follows, by name; empty: nobody.
func (v *voter) leaderName() string {
	if v.log == nil || v.log.Err() != nil {
		return ""
	}
	return v.nameOf(v.log.LeaderID())
}

func (v *voter) nameOf(id uint64) string {
	for _, list := range [][]Voter{v.table.Voters, v.learners} {
		for _, k := range list {
			if k.ReplicaID == id {
				return k.Name
			}
		}
	}
	for _, s := range v.peers {
		if s.ReplicaID == id {
			return s.name
		}
	}
	return ""
}
