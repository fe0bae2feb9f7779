package source

import (
	"net/netip"
	"slices"
	"time"

	"magpiebank/internal/cluster/agent"
	"magpiebank/internal/configfile"
)

const (
	// defaultBytesPerSecond limits what a gateway sends to the other gateways. It is enough for a hundred bytes on each of five hundred
	// engines, four times a second.
	defaultBytesPerSecond = 200 << 10
	minBytesPerSecond     = 1 << 10
	maxBytesPerSecond     = 1 << 30

	// defaultLease is the time for which a gateway applies its policy without contact to the leader. It is longer than the two seconds
	// within which a failed leader is replaced.
	defaultLease = 3 * time.Second
	// defaultProposalTimeout is the time for which a proposal waits for a gateway that doesn't confirm it. Gateways normally confirm
	// within some tenths of a second.
	defaultProposalTimeout = 5 * time.Second
	// defaultQuotaTerm is the time for which a gateway without contact to the voters uses its share of a quota. It is longer than a restart
	// of network devices.
	defaultQuotaTerm = time.Minute
)

// readCluster reads the field "fleet": how the gateways of the cluster communicate.
func readCluster(object *configfile.Object) *agent.Config {
	cluster := &agent.Config{
		Listen:         object.RequiredText("listen"),
		Advertise:      object.Text("advertise", ""),
		Seeds:          object.Texts("seeds"),
		Key:            object.RequiredText("key"),
		BytesPerSecond: object.Size("bytes_per_second", defaultBytesPerSecond),
		ControlSocket:  object.Text("control", ""),
		HistoryFile:    object.Text("history", ""),
		ShareHealth:    object.Bool("judgements", true),
		ShareCounters:  object.Bool("counts", false),
	}
	checkAddresses(object, cluster)
	if policy := object.Object("policy"); policy != nil {
		cluster.Policy = readClusterPolicy(policy)
	}
	if cluster.BytesPerSecond < minBytesPerSecond || cluster.BytesPerSecond > maxBytesPerSecond {
		object.Reject("bytes_per_second", `a size from "1kB" to "1GB"`)
	}
	if budgets := object.Object("budgets"); budgets != nil {
		cluster.Quota = readQuota(budgets, cluster.Policy != nil)
	}
	return cluster
}

func checkAddresses(object *configfile.Object, cluster *agent.Config) {
	listen, err := netip.ParseAddrPort(cluster.Listen)
	if cluster.Listen != "" && err != nil {
		object.Reject("listen", `an address and port, as in "10.0.0.3:7100"`)
	}
	if object.HasField("advertise") {
		if _, err := netip.ParseAddrPort(cluster.Advertise); err != nil {
			object.Reject("advertise", `an address and port that the others reach, as in "10.0.0.3:7100"`)
		}
	} else if err == nil && listen.Addr().IsUnspecified() {
		object.Reject("listen", "an address of this machine, or advertise with the one that the others reach")
	}
	for _, seed := range cluster.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			object.Reject("seeds", "addresses and ports, of which "+seed+" is none")
		}
	}
}

func readClusterPolicy(object *configfile.Object) *agent.PolicyConfig {
	policy := &agent.PolicyConfig{
		Voters:          object.Texts("voters"),
		Folder:          object.Text("folder", ""),
		LeaseDuration:   object.Duration("lease", defaultLease),
		ProposalTimeout: object.Duration("within", defaultProposalTimeout),
	}
	if !slices.Contains([]int{1, 3, 5, 7}, len(policy.Voters)) {
		object.Reject("voters", "the names of 3, 5 or 7 gateways, or of one")
	}
	if policy.LeaseDuration < time.Second || policy.LeaseDuration > time.Minute {
		object.Reject("lease", `a time from "1s" to "1m"`)
	}
	if policy.ProposalTimeout < time.Second || policy.ProposalTimeout > time.Minute {
		object.Reject("within", `a time from "1s" to "1m"`)
	}
	return policy
}

// readQuota reads how gateways share budgets. If the cluster decides on policies, the revision of the totals follows the policy's number
// and the file must not set one.
func readQuota(object *configfile.Object, hasClusterPolicy bool) *agent.QuotaConfig {
	quota := &agent.QuotaConfig{
		Voters:    object.Texts("keepers"),
		ShareTerm: object.Duration("term", defaultQuotaTerm),
		Revision:  uint64(object.Int("number", 1, 1, 1<<30)),
		Folder:    object.Text("folder", ""),
	}
	if !slices.Contains([]int{1, 3, 5}, len(quota.Voters)) {
		object.Reject("keepers", "the names of 1, 3 or 5 gateways")
	}
	if quota.ShareTerm < time.Second || quota.ShareTerm > time.Hour {
		object.Reject("term", `a time from "1s" to "1h"`)
	}
	if object.HasField("number") && hasClusterPolicy {
		object.Reject("number", "none where there is fleet.policy: totals follow the policy's number")
	} else if hasClusterPolicy {
		quota.Revision = 0
	}
	quota.SlowStart = object.Bool("cold", false)
	if quota.SlowStart {
		quota.Names, quota.Totals = agent.SlowStartBudgets()
	}
	return quota
}
