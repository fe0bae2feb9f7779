package installation

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"magpiebank/internal/testbed/fake"
)

// Cluster is how the gateways of an installation know of each other.
type Cluster struct {
	Seeds         int  // how many of them the others know by their addresses from the start
	HealthReports bool // of health reports on engines
	Counts        bool // are shared
	SlowStart     bool // what engines that are warming up may be sent is shared
	Limits        ClusterLimits
	ShareTerm     time.Duration // for which a part of it is held without a word
	Rollout       Rollout
	key           string
	seeds         []string
}

// ClusterLimits is what requests of the class named load may use over the whole fleet; 0: no limit.
type ClusterLimits struct {
	Threads, MaxWaiting int
	Work                time.Duration // a second
	Version             int           // raised with every change
}

// Rollout is how the gateways decide on policies; without voters each goes by its own file.
type Rollout struct {
	Voters        int // the first so many
	Lease, Within time.Duration
}

// Policy is one that is proposed: what loads may use, and what is asked of the change.
type Policy struct {
	ClusterLimits
	Fleet     bool          // they are those of all gateways together
	Refuse    bool          // loads are never sent
	Looks     bool          // look-ups are of a class as well
	Zones     []string      // of the pool that loads go to
	Field     string        // one that no build knows
	Both      time.Duration // for which who hears nothing goes by what both policies allow
	Rehearse  time.Duration
	Guard     float64 // share of requests that may be refused otherwise in the rehearsal; 0: any
	Probation time.Duration
	Bound     float64 // and held under it; 0: any
	Size      int64   // bytes that its text is filled up to
}

// Text is a policy as it is proposed.
func (p *Policy) Text() []byte {
	class := map[string]any{"name": "loads", "when": map[string]any{"lanes": []string{"load"}}}
	if p.limit(class); !p.Fleet {
		delete(class, "fleet") // each gateway's own
	}
	classes, pools := []any{class}, []any{}
	if p.Refuse {
		class["refuse"] = "loads rest"
	}
	if p.Looks {
		classes = append(classes, map[string]any{"name": "looks", "when": map[string]any{"lanes": []string{"look"}}})
	}
	if len(p.Zones) > 0 {
		class["pool"] = "some"
		pools = append(pools, map[string]any{"name": "some", "zones": p.Zones})
	}
	if p.Field != "" {
		class[p.Field] = true
	}
	asked := map[string]any{}
	if p.Both > 0 {
		asked["silent"], asked["both_for"] = "both", p.Both.String()
	}
	if p.Rehearse > 0 {
		r := map[string]any{"length": p.Rehearse.String()}
		if p.Guard > 0 {
			r["refused_above"] = p.Guard
		}
		asked["rehearse"] = r
	}
	if p.Probation > 0 {
		r := map[string]any{"length": p.Probation.String()}
		if p.Bound > 0 {
			r["held_above"] = p.Bound
		}
		asked["probation"] = r
	}
	if p.Size > 0 {
		classes = append(classes, map[string]any{"name": "filled", "when": map[string]any{"lanes": []string{"none"}}, "refuse": strings.Repeat("no ", int(p.Size)/3)})
	}
	text, err := json.Marshal(map[string]any{"statements": map[string]any{"pools": pools, "classes": classes}, "policy": asked})
	if err != nil {
		panic(err) // of texts and figures there is none that can't be written
	}
	return text
}

func (w ClusterLimits) limit(class map[string]any) {
	class["fleet"] = w.Any()
	if w.Threads > 0 {
		class["threads"] = w.Threads
	}
	if w.MaxWaiting > 0 {
		class["waiting"] = w.MaxWaiting
	}
	if w.Work > 0 {
		class["work_per_second"] = w.Work.String()
	}
}

// Voters are the names of the gateways that decide at first.
func (s *Installation) Voters() (out []string) {
	for _, k := range s.Gateways[:min(s.plan.Cluster.Rollout.Voters, s.plan.Gateways)] {
		out = append(out, k.Name)
	}
	return out
}

// Any tells whether there is any limit.
func (w ClusterLimits) Any() bool { return w.Threads > 0 || w.MaxWaiting > 0 || w.Work > 0 }

// QuotaReplicas are the names of the gateways that keep the fleet's budgets.
func (s *Installation) QuotaReplicas() (out []string) {
	for _, k := range s.Gateways[:min(3, s.plan.Gateways)] {
		out = append(out, k.Name)
	}
	return out
}

// SetLimits has other limits of the whole fleet in the files of some gateways, which read them again.
func (s *Installation) SetLimits(whole ClusterLimits, some []*Gateway) {
	for _, g := range some {
		g.whole = whole
		g.operatorFile()
		g.Signal(syscall.SIGHUP)
	}
}

// gateway makes one, not started yet, with its relays.
func (s *Installation) gateway(name string, n int) (*Gateway, error) {
	g := &Gateway{Name: name, site: s, n: n}
	var err error
	if g.Address, err = freeAddress(); err != nil {
		return nil, err
	}
	label := "g" + strconv.Itoa(n) // a second process under one name has files of its own
	g.LogFile = filepath.Join(s.Folder, label+".log")
	net := s.plan.Proxies
	if net == nil {
		g.list, g.known = s.Discovery.Address, s.Discovery.Snapshot
		return g, nil
	}
	entries := make([]fake.Endpoint, len(s.entries))
	for i, e := range s.entries {
		address, err := net.RelayStream(label, e.ID, func() string { return s.Engines[i].Address })
		if err != nil {
			return nil, err
		}
		g.engines = append(g.engines, address)
		entries[i] = e
		entries[i].Address = address
	}
	l, err := fake.StartDiscovery("127.0.0.1:0", entries)
	if err != nil {
		return nil, err
	}
	s.Discoveries = append(s.Discoveries, l)
	g.known = l.Snapshot
	g.list, err = net.RelayStream(label, "list", func() string { return l.Address })
	return g, err
}

// introduce gives all gateways their places in the fleet.
func (s *Installation) introduce() error {
	f := s.plan.Cluster
	f.key = filepath.Join(s.Folder, "fleet.key")
	if err := os.WriteFile(f.key, []byte(fmt.Sprintf("%064x\n", uint64(s.plan.Seed)+0x6d61677069650000)), 0o600); err != nil {
		return err
	}
	for _, g := range s.Gateways {
		if err := s.place(g); err != nil {
			return err
		}
	}
	for _, g := range s.Gateways[:min(max(1, f.Seeds), len(s.Gateways))] {
		f.seeds = append(f.seeds, g.reached)
	}
	return nil
}

func (s *Installation) place(g *Gateway) (err error) {
	g.whole = s.plan.Cluster.Limits
	label := "g" + strconv.Itoa(g.n)
	if g.udp, err = freeAddress(); err != nil {
		return err
	}
	g.reached = g.udp
	g.History, g.Control = filepath.Join(s.Folder, label+".history"), filepath.Join(s.Folder, label+".sock")
	if net := s.plan.Proxies; net != nil {
		if err := net.RegisterSender(g.udp, label); err != nil {
			return err
		}
		g.reached, err = net.RelayDatagrams(label, g.udp)
	}
	return err
}

// operatorFile writes the gateway's file and tells its name.
func (g *Gateway) operatorFile() string {
	f := g.site.plan.Cluster
	path := filepath.Join(g.site.Folder, "g"+strconv.Itoa(g.n)+".operator.jsonnet")
	file := map[string]any{"listen": g.udp, "advertise": g.reached, "seeds": f.seeds, "key": f.key, "control": g.Control, "history": g.History, "judgements": f.HealthReports, "counts": f.Counts}
	whole := map[string]any{"fleet": file}
	if f.SlowStart && !f.Limits.Any() {
		file["budgets"] = map[string]any{"keepers": g.site.QuotaReplicas(), "term": f.ShareTerm.String(), "cold": true}
	}
	if c := f.Rollout; c.Voters > 0 {
		file["policy"] = map[string]any{"voters": g.site.Voters(), "folder": g.PolicyFolder(), "lease": c.Lease.String(), "within": c.Within.String()}
		file["budgets"] = map[string]any{"keepers": g.site.QuotaReplicas(), "term": f.ShareTerm.String(), "cold": f.SlowStart}
		whole["statements"] = map[string]any{}
	} else if f.Limits.Any() {
		w := g.whole
		class := map[string]any{"name": "loads", "when": map[string]any{"lanes": []string{"load"}}}
		w.limit(class)
		file["budgets"] = map[string]any{"keepers": g.site.QuotaReplicas(), "term": f.ShareTerm.String(), "number": max(1, w.Version), "cold": f.SlowStart}
		whole["statements"] = map[string]any{"classes": []any{class}}
	}
	if b, ok := file["budgets"].(map[string]any); ok && g.site.plan.Durable {
		b["folder"] = g.QuotaFolder()
	}
	text, err := json.MarshalIndent(whole, "", " ")
	if err == nil {
		err = os.WriteFile(path, text, 0o600)
	}
	if err != nil {
		return path + " could not be written: " + err.Error() // the gateway says so at its start
	}
	return path
}

// StateFolder is where it keeps its record of requests.
func (g *Gateway) StateFolder() string {
	return filepath.Join(g.site.Folder, "g"+strconv.Itoa(g.n)+".state")
}

// PolicyFolder is where it keeps policies, and votes by.
func (g *Gateway) PolicyFolder() string {
	return filepath.Join(g.site.Folder, "g"+strconv.Itoa(g.n)+".policy")
}

// QuotaFolder is where it keeps by which its part of the fleet's budgets passes to the process that follows.
func (g *Gateway) QuotaFolder() string {
	return filepath.Join(g.site.Folder, "g"+strconv.Itoa(g.n)+".seat")
}

// folders are those that survive its process.
func (g *Gateway) folders() (out []string) {
	if g.site.plan.Durable {
		out = append(out, g.StateFolder())
		if _, err := os.Stat(g.QuotaFolder()); err == nil {
			out = append(out, g.QuotaFolder())
		}
	}
	if f := g.site.plan.Cluster; f != nil && f.Rollout.Voters > 0 {
		out = append(out, g.PolicyFolder())
	}
	return out
}

// HasStateCopy tells whether there are older copies.
func (g *Gateway) HasStateCopy() bool {
	for _, f := range g.folders() {
		if _, err := os.Stat(f + ".older"); err == nil {
			return true
		}
	}
	return false
}

// CopyState copies the folders as they stand; with BringBack those older copies take their place.
func (g *Gateway) CopyState() error {
	for _, f := range g.folders() {
		os.RemoveAll(f + ".older")
		if err := os.CopyFS(f+".older", os.DirFS(f)); err != nil {
			return err
		}
	}
	return nil
}

// RestoreState puts the older copies in the place of the folders; with none there, nothing is left of them.
func (g *Gateway) RestoreState() error {
	for _, f := range g.folders() {
		if err := os.RemoveAll(f); err != nil {
			return err
		}
		if _, err := os.Stat(f + ".older"); err != nil {
			continue
		}
		if err := os.CopyFS(f, os.DirFS(f+".older")); err != nil {
			return err
		}
	}
	return nil
}

// DeleteState takes the folders away.
func (g *Gateway) DeleteState() (err error) {
	for _, f := range g.folders() {
		err = errors.Join(err, os.RemoveAll(f))
	}
	return err
}

// StartTwin starts a second process under a gateway's name, with addresses and files of its own; the first one lives on.
func (s *Installation) StartTwin(of int) (*Gateway, error) {
	g, err := s.gateway(s.Gateways[of].Name, len(s.Gateways))
	if err != nil {
		return nil, err
	}
	if s.plan.Cluster != nil {
		if err := s.place(g); err != nil {
			return nil, err
		}
	}
	s.Gateways = append(s.Gateways, g)
	return g, g.Start()
}

// Label is what relays and files call it: its own also for a twin.
func (g *Gateway) Label() string { return "g" + strconv.Itoa(g.n) }

// IsRunning tells whether its process lives, stopped or not.
func (g *Gateway) IsRunning() bool {
	g.mu.Lock()
	died := g.died
	g.mu.Unlock()
	if died == nil {
		return false
	}
	select {
	case <-died:
		return false
	default:
		return true
	}
}
