package rollout

import (
	"math/rand/v2"
	"slices"

	"magpiebank/internal/cluster/consensus"
)

const (
	// logTick is the length of the ticks in which package consensus counts.
	logTick = 50 * millisecond
	// A log that has missed ticks for longer than this doesn't make up for them.
	maxTickDelay = second
	// Processes that are to vote and don't yet say hello to the voters so often. One whose hello is older than this is not heard.
	helloInterval = second / 5
	helloLifetime = 10 * helloInterval
	maxPeers      = 2 * maxWaitingProposals
	maxLearners   = 2 * maxWaitingProposals
)

// Log is the voters' log as one voter has it; *consensus.Node is one.
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

// replicaRecord is what a folder says of its voter: the ID that it drew when it was new.
type replicaRecord struct {
	ReplicaID uint64 `cbor:"1,keyasint"`
}

// voter is this process as one that votes, or is to vote.
type voter struct {
	table          Table
	log            Log                  // nil: this voter has none yet
	stored         *consensus.StoredLog // what the folder has of a log that isn't open
	replicaID      uint64
	replicaIDSaved bool
	leadership     *leadership // nil: this voter doesn't lead

	peers       []seenVoter // processes that are to vote, by their hellos
	learners    []Voter     // replicas that the log named and the table doesn't have
	nextTickAt  Time
	nextHelloAt Time
	lastNotice  string // what was logged last about not voting
	logLost     bool   // the folder lacks entries that others were told it has
}

// seenVoter is the latest hello of a process.
type seenVoter struct {
	name string
	VoterHello
	heardAt Time
}

func newVoter(c *Core, stored *StoredState) *voter {
	v := &voter{stored: &stored.log, nextTickAt: c.now}
	if stored.replica != nil {
		v.replicaID, v.replicaIDSaved = stored.replica.ReplicaID, true
	} else {
		v.drawReplicaID(c)
	}
	if !v.stored.IsEmpty() {
		v.openLog(c)
	}
	return v
}

// drawReplicaID draws an ID for a folder that has none. This process says hello once the ID is saved.
func (v *voter) drawReplicaID(c *Core) {
	id := c.random.Uint64() | 1 // as consensus has no replica 0
	v.replicaID, v.replicaIDSaved = id, false
	c.saveRecords([]consensus.Record{{Key: replicaKey, Value: encode(replicaRecord{id})}}, func(err error) {
		v.replicaIDSaved = v.replicaID == id && err == nil
	})
}

// openLog takes up the log in the folder; with an empty one it waits for a leader's messages.
func (v *voter) openLog(c *Core) {
	node, err := consensus.New(v.replicaID, v.stored, rand.New(rand.NewPCG(c.random.Uint64(), 1)), voterHost{c, v})
	if err != nil {
		c.host.LogEvent(SaveFailed, "error", err.Error())
		v.resetLog(c)
		return
	}
	v.log = node
	v.stored = &consensus.StoredLog{}
}

// resetLog has this voter begin anew as another replica, with an empty log: what it had can't be relied on.
func (v *voter) resetLog(c *Core) {
	deletions := v.stored.DeletionRecords()
	if node, ok := v.log.(*consensus.Node); ok {
		deletions = node.DeletionRecords()
	}
	v.log, v.stored, v.leadership, v.table = nil, &consensus.StoredLog{}, nil, Table{}
	c.saveRecords(deletions, func(error) {})
	v.drawReplicaID(c)
}

// isVoter tells whether this replica is among the voters, by the table that it knows.
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
		v.leadership = nil
		if v.lastNotice != "failed" {
			v.lastNotice = "failed"
			c.host.LogEvent(SaveFailed, "error", v.log.Err().Error())
		}
		return
	}
	v.tickLog(c)
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

// tickLog makes the log's ticks that are due.
func (v *voter) tickLog(c *Core) {
	for ; v.log != nil && c.now >= v.nextTickAt; v.nextTickAt += logTick {
		v.log.Tick()
		if c.now-v.nextTickAt > maxTickDelay {
			v.nextTickAt = c.now
		}
	}
}

// announce says hello to the voters while this replica is to vote and doesn't yet.
func (v *voter) announce(c *Core) {
	if v.log != nil && v.isVoter(c) {
		v.lastNotice = ""
		return
	}
	if !slices.Contains(slices.Concat(c.follower.voters, c.follower.wantedVoters, c.config.Voters), c.name) {
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

// otherVoters are the names of all other processes that vote or are to vote, as far as this one knows.
func (v *voter) otherVoters(c *Core) (names []string) {
	for _, name := range slices.Concat(c.follower.voters, c.follower.wantedVoters, c.config.Voters) {
		if name != c.name && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// handleHello takes in what another process says that is to vote.
func (v *voter) handleHello(c *Core, m *Message) {
	hello := *m.VoterHello
	i := slices.IndexFunc(v.peers, func(s seenVoter) bool { return s.name == m.from })
	if i < 0 {
		if len(v.peers) >= maxPeers || len(m.from) > maxNameBytes {
			return
		}
		i = len(v.peers)
		v.peers = append(v.peers, seenVoter{name: m.from})
	}
	v.peers[i].VoterHello, v.peers[i].heardAt = hello, c.now
	if !hello.Reply && v.replicaIDSaved {
		c.send(m.from, Message{VoterHello: v.hello(c, true)})
	}
	if !hello.WithoutLog {
		v.checkSuperseded(c, hello.Era, m.from)
	}
	if v.log == nil {
		v.bootstrapWhenComplete(c)
	}
}

// heardPeer is the process of a name that said hello lately; nil: there is none.
func (v *voter) heardPeer(c *Core, name string) *seenVoter {
	i := slices.IndexFunc(v.peers, func(s seenVoter) bool { return s.name == name && c.now-s.heardAt < helloLifetime })
	if i < 0 {
		return nil
	}
	return &v.peers[i]
}

// checkSuperseded resets the log if a log of a later era was forced elsewhere, and tells whether it did.
func (v *voter) checkSuperseded(c *Core, era uint64, by string) bool {
	if v.log == nil || len(v.table.Voters) == 0 || era <= v.table.Era {
		return false
	}
	c.host.LogEvent(LogSuperseded, "era", era, "by", by)
	v.resetLog(c)
	return true
}

// deleteUnusedPolicies has the folder lose the texts that neither this gateway needs nor a rollback can need.
func (v *voter) deleteUnusedPolicies(c *Core) {
	if !c.config.Persistent {
		return
	}
	keep := c.follower.neededPolicies()
	for _, past := range v.table.Past {
		keep = append(keep, past.Digest)
	}
	if v.table.Proposal != nil {
		keep = append(keep, v.table.Proposal.Digest)
	}
	c.policies.deleteExcept(c, keep)
}

// handleLogMessage takes in a message of the voters' log.
func (v *voter) handleLogMessage(c *Core, b []byte) {
	if v.log == nil {
		return
	}
	if err := v.log.HandleMessage(b); err != nil {
		c.host.LogEvent(SaveFailed, "error", err.Error())
	}
}

// leaderName is the voter that this one follows; empty: none.
func (v *voter) leaderName() string {
	if v.log == nil || v.log.Err() != nil {
		return ""
	}
	return v.nameOf(v.log.LeaderID())
}

// nameOf is the name of a replica; empty: it isn't known.
func (v *voter) nameOf(replicaID uint64) string {
	for _, k := range slices.Concat(v.table.Voters, v.learners) {
		if k.ReplicaID == replicaID {
			return k.Name
		}
	}
	for i := range v.peers {
		if v.peers[i].ReplicaID == replicaID {
			return v.peers[i].name
		}
	}
	return ""
}
