package rollout

import (
	"math/rand/v2"
	"slices"

	"magpiebank/internal/cluster/consensus"
)

const (
	// logTick is the interval at which this package calls consensus.Node.Tick.
	logTick = 50 * millisecond
	// Missed ticks of the log are skipped instead of made up for if they are more than maxTickDelay late.
	maxTickDelay = second
	// A process that should vote but doesn't yet sends a hello to the voters at this interval. It counts as reachable for helloLifetime.
	helloInterval = second / 5
	helloLifetime = 10 * helloInterval
	maxPeers      = 2 * maxWaitingProposals
	maxLearners   = 2 * maxWaitingProposals
)

// Log is one voter's replica of the voters' log. *consensus.Node implements it.
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

// replicaRecord is the stored form of the replica ID, which a voter draws at random when its folder has none.
type replicaRecord struct {
	ReplicaID uint64 `cbor:"1,keyasint"`
}

// voter is the state of this process as a voter, or as a process that could become one.
type voter struct {
	table          Table
	log            Log                  // nil: this voter has none yet
	stored         *consensus.StoredLog // the folder's records of a log that isn't open yet
	replicaID      uint64
	replicaIDSaved bool
	leadership     *leadership // nil: this voter doesn't lead

	peers            []peerHello // processes that should vote, with their latest hellos
	learners         []Voter     // names of replicas that were added to the log and may not be in the table's voters yet
	nextTickAt       Time
	nextHelloAt      Time
	lastLoggedReason string // the last logged reason why this process doesn't vote
	logLost          bool   // the folder lacks entries that this voter had acknowledged
}

// peerHello is the latest hello from a process, and when it arrived.
type peerHello struct {
	name string
	VoterHello
	receivedAt Time
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

// drawReplicaID draws a random replica ID and saves it. This process sends hellos only once the ID is saved.
func (v *voter) drawReplicaID(c *Core) {
	id := c.random.Uint64() | 1 // package consensus doesn't allow the ID 0
	v.replicaID, v.replicaIDSaved = id, false
	c.saveRecords([]consensus.Record{{Key: replicaKey, Value: encode(replicaRecord{id})}}, func(err error) {
		v.replicaIDSaved = v.replicaID == id && err == nil
	})
}

// openLog opens the log in the folder. An empty log waits for messages of a leader.
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

// resetLog deletes this voter's log and draws a new replica ID, because the old log can't be relied on.
func (v *voter) resetLog(c *Core) {
	deletions := v.stored.DeletionRecords()
	if node, ok := v.log.(*consensus.Node); ok {
		deletions = node.DeletionRecords()
	}
	v.log, v.stored, v.leadership, v.table = nil, &consensus.StoredLog{}, nil, Table{}
	c.saveRecords(deletions, func(error) {})
	v.drawReplicaID(c)
}

// isVoter reports whether this replica is among the voters in its table.
func (v *voter) isVoter(c *Core) bool {
	listed := v.table.voterNamed(c.name)
	return listed != nil && listed.ReplicaID == v.replicaID
}

func (v *voter) tick(c *Core) {
	if v.logLost {
		v.logLost = false
		v.resetLog(c)
	}
	if v.log != nil && v.log.Err() != nil {
		v.leadership = nil
		if v.lastLoggedReason != "failed" {
			v.lastLoggedReason = "failed"
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

// tickLog runs the ticks of the log that are due.
func (v *voter) tickLog(c *Core) {
	for ; v.log != nil && c.now >= v.nextTickAt; v.nextTickAt += logTick {
		v.log.Tick()
		if c.now-v.nextTickAt > maxTickDelay {
			v.nextTickAt = c.now
		}
	}
}

// announce sends a hello to the voters while this process should vote and doesn't yet. If the process has no log, announce also starts one
// if that is possible.
func (v *voter) announce(c *Core) {
	if v.log != nil && v.isVoter(c) {
		v.lastLoggedReason = ""
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

// otherVoters returns the names of all other members that vote or should vote, as far as this process knows.
func (v *voter) otherVoters(c *Core) (names []string) {
	for _, name := range slices.Concat(c.follower.voters, c.follower.wantedVoters, c.config.Voters) {
		if name != c.name && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// handleHello stores a hello from another process that should vote, or its reply to a hello.
func (v *voter) handleHello(c *Core, m *Message) {
	hello := *m.VoterHello
	i := slices.IndexFunc(v.peers, func(s peerHello) bool { return s.name == m.from })
	if i < 0 {
		if len(v.peers) >= maxPeers || len(m.from) > maxNameBytes {
			return
		}
		i = len(v.peers)
		v.peers = append(v.peers, peerHello{name: m.from})
	}
	v.peers[i].VoterHello, v.peers[i].receivedAt = hello, c.now
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

// recentPeer returns the process with the given name if a hello from it arrived within helloLifetime, otherwise nil.
func (v *voter) recentPeer(c *Core, name string) *peerHello {
	i := slices.IndexFunc(v.peers, func(s peerHello) bool { return s.name == name && c.now-s.receivedAt < helloLifetime })
	if i < 0 {
		return nil
	}
	return &v.peers[i]
}

// checkSuperseded resets the log if an operator has forced a log of a later era at another voter. It reports whether it did.
func (v *voter) checkSuperseded(c *Core, era uint64, by string) bool {
	if v.log == nil || len(v.table.Voters) == 0 || era <= v.table.Era {
		return false
	}
	c.host.LogEvent(LogSuperseded, "era", era, "by", by)
	v.resetLog(c)
	return true
}

// deleteUnusedPolicies deletes the texts from the folder that neither this gateway, the open proposal nor a rollback may need.
func (v *voter) deleteUnusedPolicies(c *Core) {
	if !c.config.Persistent {
		return
	}
	keep := c.follower.neededPolicies()
	for _, past := range v.table.PastPolicies {
		keep = append(keep, past.Digest)
	}
	if v.table.Proposal != nil {
		keep = append(keep, v.table.Proposal.Digest)
	}
	c.policies.deleteExcept(c, keep)
}

// handleLogMessage passes a message of the voters' log to this voter's replica.
func (v *voter) handleLogMessage(c *Core, b []byte) {
	if v.log == nil {
		return
	}
	if err := v.log.HandleMessage(b); err != nil {
		c.host.LogEvent(SaveFailed, "error", err.Error())
	}
}

// leaderName returns the name of the leader that this voter knows, or an empty string.
func (v *voter) leaderName() string {
	if v.log == nil || v.log.Err() != nil {
		return ""
	}
	return v.nameOf(v.log.LeaderID())
}

// nameOf returns the name of the voter with a replica ID, or an empty string if the ID is unknown.
func (v *voter) nameOf(replicaID uint64) string {
	for _, replica := range slices.Concat(v.table.Voters, v.learners) {
		if replica.ReplicaID == replicaID {
			return replica.Name
		}
	}
	for i := range v.peers {
		if v.peers[i].ReplicaID == replicaID {
			return v.peers[i].name
		}
	}
	return ""
}
