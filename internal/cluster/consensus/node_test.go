package consensus

import (
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
)

// cluster simulates a group of voters in one process and virtual time. Messages may be lost, delayed or duplicated. A voter may be killed at
// any time: its disk then holds the records whose save was complete and an arbitrary prefix of the others.
type cluster struct {
	t              *testing.T
	random         *rand.Rand
	now            int
	inFlight       []envelope
	voters         []*voter
	loss           float64
	isBlocked      func(from, to uint64) bool
	decided        [][]byte // decided entries by index, as reported first by any voter
	lastValue      uint64   // the value of the last entry that a voter tried to append
	decidedAtRead  map[uint64]uint64
	lastRead       uint64
	confirmedReads int
}

type envelope struct {
	deliverAt int
	from, to  uint64
	message   []byte
}

type voter struct {
	cluster       *cluster
	id            uint64
	node          *Node
	running       bool
	disk          []Record // records that survive a crash
	unsynced      []Record // records being saved, which a crash may lose
	saveCallbacks []func(error)
	syncInterval  int // ticks between two syncs
	applied       []byte
	appliedIndex  uint64
	logLost       bool
}

func newCluster(t *testing.T, seed uint64, n int) *cluster {
	t.Helper()
	c := &cluster{t: t, random: rand.New(rand.NewPCG(seed, 1)), decidedAtRead: map[uint64]uint64{}}
	for i := range n {
		c.voters = append(c.voters, &voter{cluster: c, id: uint64(i + 1), syncInterval: 1})
	}
	for _, v := range c.voters {
		v.start()
		var ids []uint64
		for i := range n {
			ids = append(ids, uint64(i+1))
		}
		if err := v.node.Bootstrap(ids, nil); err != nil {
			t.Fatal(err)
		}
	}
	return c
}

func (v *voter) start() {
	var stored StoredLog
	last := map[[16]byte]int{}
	for i, r := range v.disk {
		last[r.Key] = i
	}
	for i, r := range v.disk {
		if last[r.Key] == i || r.Value == nil {
			stored.AddRecord(r.Key, r.Value, r.Value == nil)
		}
	}
	v.running, v.applied, v.appliedIndex = true, nil, 0
	node, err := New(v.id, &stored, rand.New(rand.NewPCG(v.cluster.random.Uint64(), 2)), v)
	if err != nil {
		v.cluster.t.Fatalf("voter %d: %v", v.id, err)
	}
	v.node = node
}

func (v *voter) kill() {
	v.running = false
	v.disk = append(v.disk, v.unsynced[:v.cluster.random.IntN(len(v.unsynced)+1)]...)
	v.unsynced, v.saveCallbacks = nil, nil
}

func (v *voter) Send(to uint64, m []byte) {
	c := v.cluster
	for range 1 + c.random.IntN(20)/19 {
		if c.random.Float64() >= c.loss && (c.isBlocked == nil || !c.isBlocked(v.id, to)) {
			c.inFlight = append(c.inFlight, envelope{c.now + c.random.IntN(3), v.id, to, m})
		}
	}
}

func (v *voter) SaveRecords(records []Record, done func(error)) {
	v.unsynced = append(v.unsynced, records...)
	v.saveCallbacks = append(v.saveCallbacks, done)
}

// EntryApplied checks that all voters report the same entry at each index.
func (v *voter) EntryApplied(index uint64, entry []byte) {
	c := v.cluster
	for uint64(len(c.decided)) <= index {
		c.decided = append(c.decided, nil)
	}
	if c.decided[index] == nil {
		c.decided[index] = entry
	} else if string(c.decided[index]) != string(entry) {
		c.t.Fatalf("index %d: expected the decided entry %x, voter %d reported %x", index, c.decided[index], v.id, entry)
	}
	v.applied, v.appliedIndex = append(v.applied, entry...), index
}

func (v *voter) VotersChanged(uint64, []byte, []uint64, []uint64) {}
func (v *voter) SnapshotInstalled(index uint64, state []byte) {
	v.applied, v.appliedIndex = slices.Clone(state), index
}
func (v *voter) Snapshot() []byte         { return slices.Clone(v.applied) }
func (v *voter) LeadershipChanged(uint64) {}
func (v *voter) LogLost()                 { v.logLost = true }

func (v *voter) LeadershipConfirmed(read uint64) {
	if v.appliedIndex < v.cluster.decidedAtRead[read] {
		v.cluster.t.Fatalf("voter %d: read %d: expected at least %d applied entries, the number decided when the read started, found %d", v.id, read, v.cluster.decidedAtRead[read], v.appliedIndex)
	}
	v.cluster.confirmedReads++
}

// run advances the simulation by some ticks and calls afterTick after each of them.
func (c *cluster) run(ticks int, afterTick func()) {
	c.t.Helper()
	for range ticks {
		c.now++
		c.deliver()
		for _, v := range c.voters {
			if v.running {
				v.tick()
			}
		}
		afterTick()
	}
}

// deliver delivers the messages that are due. Messages to voters that are not running are lost.
func (c *cluster) deliver() {
	c.t.Helper()
	envelopes := c.inFlight
	c.inFlight = nil
	for _, e := range envelopes {
		v := c.voters[e.to-1]
		if e.deliverAt > c.now {
			c.inFlight = append(c.inFlight, e)
		} else if v.running {
			if err := v.node.HandleMessage(e.message); err != nil {
				c.t.Fatal(err)
			}
		}
	}
}

// tick completes a sync if one is due and ticks the node. At random it also appends an entry or starts a read.
func (v *voter) tick() {
	c := v.cluster
	if c.now%v.syncInterval == 0 {
		done := v.saveCallbacks
		v.disk, v.unsynced, v.saveCallbacks = append(v.disk, v.unsynced...), nil, nil
		for _, d := range done {
			d(nil)
		}
	}
	v.node.Tick()
	if c.random.IntN(4) == 0 {
		c.lastValue++
		_ = v.node.Append(binary.BigEndian.AppendUint64(nil, c.lastValue)) // fails for all but the leader
	}
	if c.random.IntN(4) == 0 {
		c.lastRead++
		c.decidedAtRead[c.lastRead] = uint64(max(0, len(c.decided)-1))
		v.node.ConfirmLeadership(c.lastRead)
	}
}

// injectFaults runs a period in which messages are lost, at most one voter is isolated, disks are slow, and voters are killed and restarted.
func (c *cluster) injectFaults() {
	c.t.Helper()
	c.loss = 0.3 * c.random.Float64()
	isolated := uint64(c.random.IntN(len(c.voters) + 1))
	outgoingOnly := c.random.IntN(2) == 0
	c.isBlocked = func(from, to uint64) bool { return from == isolated || !outgoingOnly && to == isolated }
	for _, v := range c.voters {
		v.syncInterval = 1 + c.random.IntN(2)*c.random.IntN(8)
	}
	c.run(60, func() {
		for _, v := range c.voters {
			if v.running && c.random.IntN(300) == 0 {
				v.kill()
			} else if !v.running && c.random.IntN(40) == 0 {
				v.start()
			}
		}
	})
}

// heal ends all faults and starts the voters that are not running.
func (c *cluster) heal() {
	c.isBlocked, c.loss = nil, 0
	for _, v := range c.voters {
		v.syncInterval = 1
		if !v.running {
			v.start()
		}
	}
}

// All voters must apply the same sequence of entries, and a confirmed read must see all entries decided before it, although messages are
// lost, delayed and duplicated, voters are isolated, and voters are killed and restarted.
func TestAllVotersApplyOneLog(t *testing.T) {
	for seed := range uint64(30) {
		c := newCluster(t, seed, 3+2*int(seed%2))
		c.run(100, func() {})
		for range 12 {
			c.injectFaults()
		}
		if len(c.decided) < 60 || c.confirmedReads < 40 {
			t.Errorf("seed %d: expected at least 60 decisions and 40 confirmed reads, found %d and %d", seed, len(c.decided), c.confirmedReads)
		}
		c.heal()
		c.run(200, func() {})
		before := len(c.decided)
		c.run(60, func() {})
		if len(c.decided) == before {
			t.Errorf("seed %d: no entry was decided although no messages were lost", seed)
		}
		for _, v := range c.voters {
			if v.logLost || v.appliedIndex+64 < c.voters[0].appliedIndex {
				t.Errorf("seed %d: voter %d: log lost %t, applied index %d of %d decided", seed, v.id, v.logLost, v.appliedIndex, len(c.decided))
			}
		}
	}
}

// A voter whose disk was replaced by an older copy must detect that its log lacks entries, and stop. One change of the voters then replaces
// it by a new voter.
func TestLostLogIsReplaced(t *testing.T) {
	c := newCluster(t, 7, 3)
	c.run(100, func() {})
	follower := slices.IndexFunc(c.voters, func(v *voter) bool { return !v.node.IsLeader() })
	outdated := c.voters[follower]
	olderDisk := slices.Clone(outdated.disk)
	c.run(100, func() {})
	outdated.kill()
	outdated.disk = olderDisk
	outdated.start()
	c.run(60, func() {})
	if !outdated.logLost {
		t.Error("the voter did not detect that its disk is an older copy")
	}
	outdated.running = false
	c.voters = append(c.voters, &voter{cluster: c, id: 4, syncInterval: 1})
	c.voters[3].start()
	learned := false
	c.run(200, func() {
		for _, v := range c.voters {
			switch {
			case !v.running || !v.node.IsLeader():
			case !learned:
				learned = v.node.ChangeVoters(nil, []uint64{4}, nil, nil) == nil
			case v.node.IsCaughtUp(4) && c.now%10 == 0:
				_ = v.node.ChangeVoters([]byte("four for one"), nil, []uint64{4}, []uint64{outdated.id}) // proposed again until it is decided
			}
		}
	})
	voters, learners := c.voters[3].node.Voters()
	c.voters[(follower+1)%3].kill() // the other two of the three current voters can still decide
	before := len(c.decided)
	c.run(200, func() {})
	if len(voters) != 3 || slices.Contains(voters, outdated.id) || !slices.Contains(voters, 4) || len(learners) > 0 || len(c.decided) == before {
		t.Errorf("expected voter 4 in place of the lost one, and further decisions; found voters %v, learners %v, decisions %d before and %d after", voters, learners, before, len(c.decided))
	}
}

func TestMalformedMessageIsRejected(t *testing.T) {
	c := newCluster(t, 1, 1)
	if err := c.voters[0].node.HandleMessage([]byte{0xff, 1, 2}); !errors.Is(err, ErrMalformedMessage) {
		t.Errorf("expected ErrMalformedMessage, found %v", err)
	}
	c.run(50, func() {})
	if len(c.decided) == 0 {
		t.Error("expected a sole voter to decide entries, found none")
	}
}

func TestRefusalsAreTypedErrors(t *testing.T) {
	c := newCluster(t, 1, 3)
	c.run(100, func() {})
	leader := c.voters[slices.IndexFunc(c.voters, func(v *voter) bool { return v.node.IsLeader() })].node
	follower := c.voters[slices.IndexFunc(c.voters, func(v *voter) bool { return !v.node.IsLeader() })].node
	for _, refusal := range []struct {
		name     string
		err      error
		expected error
	}{
		{"entry at a follower", follower.Append([]byte("entry")), ErrNotLeader},
		{"voters at a follower", follower.ChangeVoters(nil, []uint64{4}, nil, nil), ErrNotLeader},
		{"entry that is too long", leader.Append(make([]byte, MaxEntryBytes+1)), ErrEntryTooLong},
		{"log that exists", leader.Bootstrap([]uint64{1, 2, 3}, nil), ErrLogNotEmpty},
	} {
		t.Run(refusal.name, func(t *testing.T) {
			if !errors.Is(refusal.err, refusal.expected) {
				t.Errorf("expected %v, found %v", refusal.expected, refusal.err)
			}
		})
	}
}
