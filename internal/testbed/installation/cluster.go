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

// Cluster is how the gateways of an installation form a cluster.
type Cluster struct {
	SeedCount     int  // how many of them the others know by their addresses from the start
	HealthReports bool // on engines are shared
	Counts        bool // are shared
	SlowStart     bool // what engines that are warming up may be sent is shared
	Limits        ClusterLimits
	ShareTerm     time.Duration // for which a share of a quota is held without a renewal
	Rollout       Rollout
	keyFile       string
	seedAddresses []string
}

// ClusterLimits is what requests of the class named load may use over the whole cluster; 0: no limit.
type ClusterLimits struct {
	Threads, MaxWaiting int
	Work                time.Duration // a second
	Version             int           // raised with every change
}

// Rollout is how the gateways decide on policies; without voters each goes by its own file.
type Rollout struct {
	Voters              int // how many of the gateways, the first ones
	Lease, DecideWithin time.Duration
}

// addTo writes the limits into the JSON of a class.
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

// Any tells whether there is any limit.
func (l ClusterLimits) Any() bool { return l.Threads > 0 || l.MaxWaiting > 0 || l.Work > 0 }

// Voters are the names of the gateways that vote on policies at first.
func (s *Installation) Voters() []string {
	return s.firstNames(s.plan.Cluster.Rollout.Voters)
}

// quotaReplicas is how many gateways replicate the shared quotas.
const quotaReplicas = 3

// QuotaReplicas are the names of the gateways that replicate the shared quotas.
func (s *Installation) QuotaReplicas() []string {
	return s.firstNames(quotaReplicas)
}

// firstNames are the names of the first gateways, at most that many.
func (s *Installation) firstNames(maxCount int) (names []string) {
	for _, gateway := range s.Gateways[:min(maxCount, s.plan.Gateways)] {
		names = append(names, gateway.Name)
	}
	return names
}

// SetLimits writes other limits of the whole cluster into the files of some gateways, which read them again.
func (s *Installation) SetLimits(limits ClusterLimits, gateways []*Gateway) {
	for _, gateway := range gateways {
		gateway.limits = limits
		gateway.writeOperatorFile()
		gateway.Signal(syscall.SIGHUP)
	}
}

// newGateway makes a gateway with its proxies. It is not started yet.
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

// addProxies opens the proxies between a gateway and the engines, and starts a discovery service of its own that lists them.
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

// formCluster writes the cluster's key, and gives all gateways their addresses in it.
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

// writeOperatorFile writes the gateway's operator file and returns its path. If it can't be written, the path tells why, and the
// gateway reports it at its start.
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

// quotaSettings completes the settings of the shared quotas.
func (g *Gateway) quotaSettings(settings map[string]any) map[string]any {
	settings["keepers"] = g.installation.QuotaReplicas()
	settings["term"] = g.installation.plan.Cluster.ShareTerm.String()
	if g.installation.plan.Durable {
		settings["folder"] = g.QuotaFolder()
	}
	return settings
}

// StartTwin starts a second process under a gateway's name, with addresses and files of its own; the first one keeps running.
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
