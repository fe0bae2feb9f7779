package consensus

import (
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
)

// cluster is some voters in one process and virtual time: ticks, messages that are lost, late and doubled, voters that are killed at
// any time, with disks that have what was saved and any first part of what was not.
type cluster struct {
	t              *testing.T
	random         *rand.Rand
	now            int
	inFlight       []envelope
	voters         []*voter
	loss           float64
	isCut          func(from, to uint64) bool
	decided        [][]byte // by index, as the first to be told has it
	lastValue      uint64   // value to be appended
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
	cluster      *cluster
	id           uint64
	node         *Node
	running      bool
	disk         []Record // what survives
	unsynced     []Record // what is under way
	done         []func(error)
	syncInterval int // one sync in so many ticks
	applied      []byte
	appliedIndex uint64
	logLost      bool
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
	var f StoredLog
	last := map[[16]byte]int{}
	for i, r := range v.disk {
		last[r.Key] = i
	}
	for i, r := range v.disk {
		if last[r.Key] == i || r.Value == nil {
			f.AddRecord(r.Key, r.Value, r.Value == nil)
		}
	}
	v.running, v.applied, v.appliedIndex = true, nil, 0
	node, err := New(v.id, &f, rand.New(rand.NewPCG(v.cluster.random.Uint64(), 2)), v)
	if err != nil {
		v.cluster.t.Fatalf("voter %d: %v", v.id, err)
	}
	v.node = node
}

func (v *voter) kill() {
	v.running = false
	v.disk = append(v.disk, v.unsynced[:v.cluster.random.IntN(len(v.unsynced)+1)]...)
	v.unsynced, v.done = nil, nil
}

func (v *voter) Send(to uint64, m []byte) {
	c := v.cluster
	for range 1 + c.random.IntN(20)/19 {
		if c.random.Float64() >= c.loss && (c.isCut == nil || !c.isCut(v.id, to)) {
			c.inFlight = append(c.inFlight, envelope{c.now + c.random.IntN(3), v.id, to, m})
		}
	}
}

func (v *voter) SaveRecords(records []Record, done func(error)) {
	v.unsynced = append(v.unsynced, records...)
	v.done = append(v.done, done)
}

// Applied takes in a decision: nobody is ever told another one at the same place.
func (v *voter) EntryApplied(index uint64, entry []byte) {
	c := v.cluster
	for uint64(len(c.decided)) <= index {
		c.decided = append(c.decided, nil)
	}
	if c.decided[index] == nil {
		c.decided[index] = entry
	} else if string(c.decided[index]) != string(entry) {
		c.t.Fatalf("at %d: %x was decided, voter %d is told %x", index, c.decided[index], v.id, entry)
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
		v.cluster.t.Fatalf("voter %d: read %d was asked when %d entries were decided, and is confirmed with %d", v.id, read, v.cluster.decidedAtRead[read], v.appliedIndex)
	}
	v.cluster.confirmedReads++
}

// pass plays some ticks.
func (c *cluster) pass(ticks int, each func()) {
	c.t.Helper()
	for range ticks {
		c.now++
		c.deliver()
		for _, v := range c.voters {
			if v.running {
				v.tick()
			}
		}
		each()
	}
}

// deliver hands over the messages that are due; those to voters that are down are lost.
func (c *cluster) deliver() {
	c.t.Helper()
	mail := c.inFlight
	c.inFlight = nil
	for _, l := range mail {
		v := c.voters[l.to-1]
		if l.deliverAt > c.now {
			c.inFlight = append(c.inFlight, l)
		} else if v.running {
			if err := v.node.HandleMessage(l.message); err != nil {
				c.t.Fatal(err)
			}
		}
	}
}

// tick ends a sync, ticks the node, and now and then appends and asks.
func (v *voter) tick() {
	c := v.cluster
	if c.now%v.syncInterval == 0 {
		done := v.done
		v.disk, v.unsynced, v.done = append(v.disk, v.unsynced...), nil, nil
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

// disturb plays a time in which messages are lost, one voter is cut off, disks are slow, and voters are killed and start again.
func (c *cluster) disturb() {
	c.t.Helper()
	c.loss = 0.3 * c.random.Float64()
	lonely := uint64(c.random.IntN(len(c.voters) + 1))
	oneWay := c.random.IntN(2) == 0
	c.isCut = func(from, to uint64) bool { return from == lonely || !oneWay && to == lonely }
	for _, v := range c.voters {
		v.syncInterval = 1 + c.random.IntN(2)*c.random.IntN(8)
	}
	c.pass(60, func() {
		for _, v := range c.voters {
			if v.running && c.random.IntN(300) == 0 {
				v.kill()
			} else if !v.running && c.random.IntN(40) == 0 {
				v.start()
			}
		}
	})
}

// heal ends all disturbances and starts all voters.
func (c *cluster) heal() {
	c.isCut, c.loss = nil, 0
	for _, v := range c.voters {
		v.syncInterval = 1
		if !v.running {
			v.start()
		}
	}
}

// Whatever is lost, late, doubled, cut and killed: one sequence of decisions, and a read that is confirmed has seen all of it.
func TestAllVotersApplyOneLog(t *testing.T) {
	for seed := range uint64(30) {
		c := newCluster(t, seed, 3+2*int(seed%2))
		c.pass(100, func() {})
		for range 12 {
			c.disturb()
		}
		if len(c.decided) < 60 || c.confirmedReads < 40 {
			t.Errorf("seed %d: only %d decisions and %d reads", seed, len(c.decided), c.confirmedReads)
		}
		c.heal()
		c.pass(200, func() {})
		before := len(c.decided)
		c.pass(60, func() {})
		if len(c.decided) == before {
			t.Errorf("seed %d: all hear each other, and nothing is decided", seed)
		}
		for _, v := range c.voters {
			if v.logLost || v.appliedIndex+64 < c.voters[0].appliedIndex {
				t.Errorf("seed %d: voter %d forgot %t, at %d of %d", seed, v.id, v.logLost, v.appliedIndex, len(c.decided))
			}
		}
	}
}

// A voter whose folder is an older one finds that out, and takes no part; a newcomer takes its place, by one change.
func TestLostLogIsReplaced(t *testing.T) {
	c := newCluster(t, 7, 3)
	c.pass(100, func() {})
	follower := slices.IndexFunc(c.voters, func(v *voter) bool { return !v.node.IsLeader() })
	lost := c.voters[follower]
	olderDisk := slices.Clone(lost.disk)
	c.pass(100, func() {})
	lost.kill()
	lost.disk = olderDisk
	lost.start()
	c.pass(60, func() {})
	if !lost.logLost {
		t.Error("an older folder was not found out")
	}
	lost.running = false
	c.voters = append(c.voters, &voter{cluster: c, id: 4, syncInterval: 1})
	c.voters[3].start()
	learned := false
	c.pass(200, func() {
		for _, v := range c.voters {
			switch {
			case !v.running || !v.node.IsLeader():
			case !learned:
				learned = v.node.ChangeVoters(nil, []uint64{4}, nil, nil) == nil
			case v.node.IsCaughtUp(4) && c.now%10 == 0:
				_ = v.node.ChangeVoters([]byte("four for one"), nil, []uint64{4}, []uint64{lost.id}) // it is proposed again until it is decided
			}
		}
	})
	voters, learners := c.voters[3].node.Voters()
	c.voters[(follower+1)%3].kill() // two of the three that are there now decide
	before := len(c.decided)
	c.pass(200, func() {})
	if len(voters) != 3 || slices.Contains(voters, lost.id) || !slices.Contains(voters, 4) || len(learners) > 0 || len(c.decided) == before {
		t.Errorf("voters %v, learners %v; decisions %d, then %d", voters, learners, before, len(c.decided))
	}
}

func TestMalformedMessageIsRejected(t *testing.T) {
	c := newCluster(t, 1, 1)
	if err := c.voters[0].node.HandleMessage([]byte{0xff, 1, 2}); !errors.Is(err, ErrMalformedMessage) {
		t.Errorf("expected ErrMalformedMessage, found %v", err)
	}
	c.pass(50, func() {})
	if len(c.decided) == 0 {
		t.Error("a voter alone decides nothing")
	}
}

func TestRefusalsAreTypedErrors(t *testing.T) {
	c := newCluster(t, 1, 3)
	c.pass(100, func() {})
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
