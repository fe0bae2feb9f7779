package rollout

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"magpiebank/internal/cluster/consensus"
)

// bootstrapWhenComplete begins the log once all first voters are heard, none of them has a log, and all agree on the length of leases.
// Where another one has a log already, this voter waits for its leader.
func (v *voter) bootstrapWhenComplete(c *Core) {
	if !v.replicaIDSaved {
		return
	}
	var voters []Voter
	if slices.Contains(c.config.Voters, c.name) {
		voters = append(voters, Voter{c.name, v.replicaID})
	}
	for _, name := range c.config.Voters {
		if name == c.name {
			continue
		}
		peer := v.heardPeer(c, name)
		if peer == nil {
			v.noteWaiting(c, "voter "+name+", which is not heard: all must be there for the first start")
			return
		}
		if !peer.WithoutLog {
			v.noteWaiting(c, "the others, which have begun without it")
			v.openLog(c)
			return
		}
		voters = append(voters, Voter{name, peer.ReplicaID})
	}
	for i := range v.peers {
		peer := &v.peers[i]
		isVoter := slices.ContainsFunc(voters, func(k Voter) bool { return k.Name == peer.name })
		if isVoter && peer.Lease != 0 && peer.Lease != c.config.LeaseDuration {
			v.noteWaiting(c, "one mind on leases", "voter", peer.name, "lease", peer.Lease)
			return
		}
	}
	if len(voters) != len(c.config.Voters) {
		return
	}
	v.bootstrap(c, voters, Table{LeaseDuration: c.config.LeaseDuration, WantedVoters: slices.Clone(c.config.Voters)})
}

// noteWaiting logs once what this voter waits for.
func (v *voter) noteWaiting(c *Core, what string, more ...any) {
	if v.lastNotice == what {
		return
	}
	v.lastNotice = what
	c.host.LogEvent(VoterWaiting, append([]any{"for", what}, more...)...)
}

// bootstrap begins the log with its first voters and table.
func (v *voter) bootstrap(c *Core, voters []Voter, table Table) {
	slices.SortFunc(voters, func(a, b Voter) int { return strings.Compare(a.Name, b.Name) })
	table.Voters = voters
	slices.Sort(table.WantedVoters)
	v.openLog(c)
	node, ok := v.log.(*consensus.Node)
	if !ok {
		return
	}
	var ids []uint64
	for _, k := range voters {
		ids = append(ids, k.ReplicaID)
	}
	if err := node.Bootstrap(ids, encode(table)); err != nil {
		c.host.LogEvent(SaveFailed, "error", err.Error())
		return
	}
	c.host.LogEvent(LogStarted, "voters", fmt.Sprint(voterNames(voters)), "lease", table.LeaseDuration)
}

// ErrNoFolder is returned by a process that can't vote, as it has no folder.
var ErrNoFolder = errors.New("this gateway keeps no folder for policies (fleet.policy.folder), so it can't vote")

// ForceNewLog begins a new log with this voter alone and the latest policy that it knows, under a number and an era of its own; the other
// voters named join it one by one. It is for the loss of a majority for good: what the lost voters decided last may be lost. It returns
// ErrNoFolder, or an error about the voters or a policy whose text isn't here.
func (c *Core) ForceNewLog(now Time, voters []string) error {
	c.advanceClock(now)
	v := c.voter
	if v == nil {
		return ErrNoFolder
	}
	if !slices.Contains(voters, c.name) {
		return fmt.Errorf("expected %s among the voters, as it begins", c.name)
	}
	if err := checkVoterCount(voters); err != nil {
		return err
	}
	table, err := c.forcedTable(voters)
	if err != nil {
		return err
	}
	v.resetLog(c)
	v.peers = nil
	c.host.LogEvent(LogForced, "era", table.Era, "number", table.Number, "digest", table.Digest.String(), "voters", strings.Join(voters, " "))
	v.bootstrap(c, []Voter{{c.name, v.replicaID}}, *table)
	return nil
}

// forcedTable is the first table of a forced log.
func (c *Core) forcedTable(voters []string) (*Table, error) {
	f := &c.follower
	table := c.voter.table.clone()
	if table.version().Before(f.current) {
		table.Number, table.Digest, table.Size, table.Era = f.current.Number, f.currentDigest, f.currentSize, f.current.Era
	}
	if table.version().Before(f.decided) && c.policies.isUsable(f.decidedDigest) {
		table.Number, table.Digest, table.Size, table.Era = f.decided.Number, f.decidedDigest, f.currentSize, f.decided.Era
	}
	body := c.host.LoadPolicy(table.Digest)
	if table.Digest != (Digest{}) && !c.policies.isUsable(table.Digest) && DigestOf(body) != table.Digest {
		return nil, fmt.Errorf("the text of number %d, %s, isn't here: force it at another gateway", table.Number, table.Digest)
	}
	latest := table.Number
	table.Era, table.Number = max(table.Era, f.decided.Era)+1, max(table.Number, f.decided.Number)+1
	table.Proposal, table.Probation, table.LastProposal, table.WantedVoters = nil, nil, 0, slices.Clone(voters)
	table.Past = append(table.Past, PastPolicy{table.Number, table.Digest, table.Size, KindChange, c.name, c.host.UnixSeconds(), latest})
	if table.LeaseDuration == 0 {
		table.LeaseDuration = c.config.LeaseDuration
	}
	table.Overlap = max(table.Overlap, second)
	return table, nil
}

// checkVoterCount returns an error for a number of voters that is not 1, 3, 5 or 7.
func checkVoterCount(voters []string) error {
	if n := len(voters); n != 1 && n != 3 && n != 5 && n != 7 {
		return fmt.Errorf("expected 1, 3, 5 or 7 voters, found %d", n)
	}
	return nil
}

func voterNames(voters []Voter) (names []string) {
	for _, v := range voters {
		names = append(names, v.Name)
	}
	return names
}
