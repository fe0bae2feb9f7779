package rollout

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"magpiebank/internal/cluster/consensus"
)

// bootstrapWhenComplete starts the log once all first voters have sent a recent hello, none of them has a log, and all agree on the
// length of leases. If another voter already has a log, this voter opens an empty log and waits for messages of that log's leader.
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
		peer := v.recentPeer(c, name)
		if peer == nil {
			v.logWaiting(c, "voter "+name+", which sends no messages: the first start needs all voters")
			return
		}
		if !peer.WithoutLog {
			v.logWaiting(c, "the leader of the other voters, which already have a log")
			v.openLog(c)
			return
		}
		voters = append(voters, Voter{name, peer.ReplicaID})
	}
	for i := range v.peers {
		peer := &v.peers[i]
		isVoter := slices.ContainsFunc(voters, func(replica Voter) bool { return replica.Name == peer.name })
		if isVoter && peer.Lease != 0 && peer.Lease != c.config.LeaseDuration {
			v.logWaiting(c, "the same lease duration at all voters", "voter", peer.name, "lease", peer.Lease)
			return
		}
	}
	if len(voters) != len(c.config.Voters) {
		return
	}
	v.bootstrap(c, voters, Table{LeaseDuration: c.config.LeaseDuration, WantedVoters: slices.Clone(c.config.Voters)})
}

// logWaiting logs what this voter waits for, unless it logged the same reason last.
func (v *voter) logWaiting(c *Core, reason string, more ...any) {
	if v.lastLoggedReason == reason {
		return
	}
	v.lastLoggedReason = reason
	c.host.LogEvent(VoterWaiting, append([]any{"for", reason}, more...)...)
}

// bootstrap starts the log with its first voters and table.
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
	for _, replica := range voters {
		ids = append(ids, replica.ReplicaID)
	}
	if err := node.Bootstrap(ids, encode(table)); err != nil {
		c.host.LogEvent(SaveFailed, "error", err.Error())
		return
	}
	c.host.LogEvent(LogStarted, "voters", fmt.Sprint(voterNames(voters)), "lease", table.LeaseDuration)
}

// ErrNoFolder is returned by a process that can't vote because it has no folder for its records.
var ErrNoFolder = errors.New("this gateway has no folder for policies (fleet.policy.folder), so it can't vote")

// ForceNewLog starts a new log with this process as its only voter and the latest policy that it knows, under a new number and era. The
// other voters in the list join the log one by one. It is meant for the permanent loss of a majority of the voters; the last decisions
// of the lost voters may be lost. It returns ErrNoFolder, or an error if the list of voters is invalid or the policy's text isn't here.
func (c *Core) ForceNewLog(now Time, voters []string) error {
	c.advanceClock(now)
	v := c.voter
	if v == nil {
		return ErrNoFolder
	}
	if !slices.Contains(voters, c.name) {
		return fmt.Errorf("expected %s among the voters, because it starts the new log", c.name)
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

// forcedTable returns the first table of a forced log.
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
		return nil, fmt.Errorf("this gateway doesn't have the text of number %d, %s: force the log at another gateway", table.Number, table.Digest)
	}
	latest := table.Number
	table.Era, table.Number = max(table.Era, f.decided.Era)+1, max(table.Number, f.decided.Number)+1
	table.Proposal, table.Probation, table.LastProposal, table.WantedVoters = nil, nil, 0, slices.Clone(voters)
	table.PastPolicies = append(table.PastPolicies, PastPolicy{table.Number, table.Digest, table.Size, KindChange, c.name, c.host.UnixSeconds(), latest})
	if table.LeaseDuration == 0 {
		table.LeaseDuration = c.config.LeaseDuration
	}
	table.Overlap = max(table.Overlap, second)
	return table, nil
}

// checkVoterCount returns an error unless there are 1, 3, 5 or 7 voters.
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
