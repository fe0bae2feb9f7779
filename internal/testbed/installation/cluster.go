package installation

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"magpiebank/internal/testbed/fake"
)

// Cluster configures the gateways of an installation as a cluster.
type Cluster struct {
	SeedCount     int  // number of gateways whose addresses are configured at all gateways
	HealthReports bool // the gateways send each other health reports on engines
	Counts        bool // the gateways send each other the counts of their requests
	SlowStart     bool // the gateways share a quota of what may be sent to each engine that is warming up
	Limits        ClusterLimits
	ShareTerm     time.Duration // time for which a gateway holds its share of a quota without a renewal
	Rollout       Rollout
	keyFile       string
	seedAddresses []string
}

// ClusterLimits limits what requests of the class named load may use in the whole cluster. In each field but Version, 0 means no limit.
type ClusterLimits struct {
	Threads, MaxWaiting int
	Work                time.Duration // work per second
	Version             int           // policy revision, which increases with every change
}

// Rollout configures how the gateways decide on policies. Without voters, each gateway applies the policy in its own operator file.
type Rollout struct {
	Voters              int // number of gateways that vote, counted from the first one
	Lease, DecideWithin time.Duration
}

// addTo adds the limits to the JSON object of a class.
func (l ClusterLimits) addTo(class map[string]any) {
	class["fleet"] = l.Any()
	if l.Threads > 0 {
		class["threads"] = l.Threads
	}
	if l.MaxWaiting > 0 {
		class["waiting"] = l.MaxWaiting
	}
	if l.Work > 0 {
		class["work_per_second"] = l.Work.String()
	}
}

// Any reports whether any limit is set.
func (l ClusterLimits) Any() bool { return l.Threads > 0 || l.MaxWaiting > 0 || l.Work > 0 }

// Voters returns the names of the gateways that vote on policies at the start.
func (s *Installation) Voters() []string {
	return s.firstNames(s.plan.Cluster.Rollout.Voters)
}

// quotaReplicas is the number of gateways that replicate the state of the shared quotas.
const quotaReplicas = 3

// QuotaReplicas returns the names of the gateways that replicate the state of the shared quotas.
func (s *Installation) QuotaReplicas() []string {
	return s.firstNames(quotaReplicas)
}

// firstNames returns the names of the first gateways of the plan, at most maxCount.
func (s *Installation) firstNames(maxCount int) (names []string) {
	for _, gateway := range s.Gateways[:min(maxCount, s.plan.Gateways)] {
		names = append(names, gateway.Name)
	}
	return names
}

// SetLimits writes new limits for the whole cluster into the operator files of some gateways, and has these gateways read them again.
func (s *Installation) SetLimits(limits ClusterLimits, gateways []*Gateway) {
	for _, gateway := range gateways {
		gateway.limits = limits
		gateway.writeOperatorFile()
		gateway.Signal(syscall.SIGHUP)
	}
}

// newGateway creates a gateway with its proxies. It does not start the process.
func (s *Installation) newGateway(name string, index int) (*Gateway, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	g := &Gateway{Name: name, Address: address, installation: s, index: index}
	g.LogFile = filepath.Join(s.Folder, g.Label()+".log")
	if s.plan.Proxies == nil {
		g.discoveryAddress, g.snapshot = s.Discovery.Address, s.Discovery.Snapshot
		return g, nil
	}
	return g, s.addProxies(g)
}

// addProxies opens proxies between the gateway and all engines. It also starts a discovery service for this gateway alone, which lists
// the proxies in place of the engines, and a proxy to this service.
func (s *Installation) addProxies(g *Gateway) error {
	proxies := s.plan.Proxies
	endpoints := slices.Clone(s.endpoints)
	for i := range endpoints {
		address, err := proxies.RelayStream(g.Label(), endpoints[i].ID, func() string { return s.Engines[i].Address })
		if err != nil {
			return err
		}
		g.engineAddresses = append(g.engineAddresses, address)
		endpoints[i].Address = address
	}
	discovery, err := fake.StartDiscovery("127.0.0.1:0", endpoints)
	if err != nil {
		return err
	}
	s.Discoveries = append(s.Discoveries, discovery)
	g.snapshot = discovery.Snapshot
	g.discoveryAddress, err = proxies.RelayStream(g.Label(), "list", func() string { return discovery.Address })
	return err
}

// formCluster writes the cluster's key, and assigns each gateway its address in the cluster.
func (s *Installation) formCluster() error {
	cluster := s.plan.Cluster
	cluster.keyFile = filepath.Join(s.Folder, "fleet.key")
	key := fmt.Sprintf("%064x\n", uint64(s.plan.Seed)+0x6d61677069650000)
	if err := os.WriteFile(cluster.keyFile, []byte(key), 0o600); err != nil {
		return err
	}
	for _, gateway := range s.Gateways {
		if err := s.addToCluster(gateway); err != nil {
			return err
		}
	}
	for _, gateway := range s.Gateways[:min(max(1, cluster.SeedCount), len(s.Gateways))] {
		cluster.seedAddresses = append(cluster.seedAddresses, gateway.advertisedAddress)
	}
	return nil
}

func (s *Installation) addToCluster(g *Gateway) error {
	g.limits = s.plan.Cluster.Limits
	address, err := freeAddress()
	if err != nil {
		return err
	}
	g.listenUDP, g.advertisedAddress = address, address
	g.History = filepath.Join(s.Folder, g.Label()+".history")
	g.Control = filepath.Join(s.Folder, g.Label()+".sock")
	proxies := s.plan.Proxies
	if proxies == nil {
		return nil
	}
	if err := proxies.RegisterSender(address, g.Label()); err != nil {
		return err
	}
	g.advertisedAddress, err = proxies.RelayDatagrams(g.Label(), address)
	return err
}

// writeOperatorFile writes the gateway's operator file and returns its path. If the file cannot be written, the returned path contains
// the error, so that the gateway reports it when it starts.
func (g *Gateway) writeOperatorFile() string {
	path := filepath.Join(g.installation.Folder, g.Label()+".operator.jsonnet")
	text, err := json.MarshalIndent(g.operatorSettings(), "", " ")
	if err == nil {
		err = os.WriteFile(path, text, 0o600)
	}
	if err != nil {
		return path + " could not be written: " + err.Error()
	}
	return path
}

func (g *Gateway) operatorSettings() map[string]any {
	cluster := g.installation.plan.Cluster
	settings := map[string]any{"listen": g.listenUDP, "advertise": g.advertisedAddress, "seeds": cluster.seedAddresses, "key": cluster.keyFile, "control": g.Control, "history": g.History,
		"judgements": cluster.HealthReports, "counts": cluster.Counts}
	file := map[string]any{"fleet": settings}
	switch rollout := cluster.Rollout; {
	case rollout.Voters > 0:
		settings["policy"] = map[string]any{"voters": g.installation.Voters(), "folder": g.PolicyFolder(), "lease": rollout.Lease.String(), "within": rollout.DecideWithin.String()}
		settings["budgets"] = g.quotaSettings(map[string]any{"cold": cluster.SlowStart})
		file["statements"] = map[string]any{}
	case cluster.Limits.Any():
		class := map[string]any{"name": "loads", "when": map[string]any{"lanes": []string{"load"}}}
		g.limits.addTo(class)
		settings["budgets"] = g.quotaSettings(map[string]any{"number": max(1, g.limits.Version), "cold": cluster.SlowStart})
		file["statements"] = map[string]any{"classes": []any{class}}
	case cluster.SlowStart:
		settings["budgets"] = g.quotaSettings(map[string]any{"cold": true})
	}
	return file
}

// quotaSettings adds the settings that all configurations of shared quotas have, and returns the map.
func (g *Gateway) quotaSettings(settings map[string]any) map[string]any {
	settings["keepers"] = g.installation.QuotaReplicas()
	settings["term"] = g.installation.plan.Cluster.ShareTerm.String()
	if g.installation.plan.Durable {
		settings["folder"] = g.QuotaFolder()
	}
	return settings
}

// StartTwin starts a second process with the name of an existing gateway, but with its own addresses and files. The first process keeps
// running.
func (s *Installation) StartTwin(index int) (*Gateway, error) {
	g, err := s.newGateway(s.Gateways[index].Name, len(s.Gateways))
	if err != nil {
		return nil, err
	}
	if s.plan.Cluster != nil {
		if err := s.addToCluster(g); err != nil {
			return nil, err
		}
	}
	s.Gateways = append(s.Gateways, g)
	return g, g.Start()
}
