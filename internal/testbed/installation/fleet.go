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

// Fleet is how the gateways of an installation know of each other.
type Fleet struct {
	Seeds   int  // how many of them the others know by their addresses from the start
	Sharing bool // of judgements on engines
	Counts  bool // are shared
	Cold    bool // what cold engines may be sent is shared
	Whole   Whole
	Term    time.Duration // for which a part of it is held without a word
	Charter Charter
	key     string
	seeds   []string
}

// Whole is what tasks of the lane named load may use over the whole fleet; 0: no limit.
type Whole struct {
	Threads, Waiting int
	Work             time.Duration // a second
	Number           int           // raised with every change
}

// Charter is how the gateways decide on policies; without voters each goes by its own file.
type Charter struct {
	Voters        int // the first so many
	Lease, Within time.Duration
}

// Policy is one that is proposed: what loads may use, and what is asked of the change.
type Policy struct {
	Whole
	Fleet     bool          // they are those of all gateways together
	Refuse    bool          // loads are never sent
	Looks     bool          // look-ups are of a class as well
	Zones     []string      // of the pool that loads go to
	Field     string        // one that no build knows
	Both      time.Duration // for which who hears nothing goes by what both policies allow
	Rehearse  time.Duration
	Guard     float64 // share of tasks that may be refused otherwise in the rehearsal; 0: any
	Probation time.Duration
	Bound     float64 // and held under it; 0: any
	Size      int64   // bytes that its text is filled up to
}

// Text is a policy as it is proposed.
func (p *Policy) Text() []byte {
	class := map[string]any{"name": "loads", "when": map[string]any{"lanes": []string{"load"}}}
	if p.Whole.limit(class); !p.Fleet {
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

func (w Whole) limit(class map[string]any) {
	class["fleet"] = w.Any()
	if w.Threads > 0 {
		class["threads"] = w.Threads
	}
	if w.Waiting > 0 {
		class["waiting"] = w.Waiting
	}
	if w.Work > 0 {
		class["work_per_second"] = w.Work.String()
	}
}

// Voters are the names of the gateways that decide at first.
func (s *Site) Voters() (out []string) {
	for _, k := range s.Gateways[:min(s.plan.Fleet.Charter.Voters, s.plan.Gateways)] {
		out = append(out, k.Name)
	}
	return out
}

// Any tells whether there is any limit.
func (w Whole) Any() bool { return w.Threads > 0 || w.Waiting > 0 || w.Work > 0 }

// Keepers are the names of the gateways that keep the fleet's budgets.
func (s *Site) Keepers() (out []string) {
	for _, k := range s.Gateways[:min(3, s.plan.Gateways)] {
		out = append(out, k.Name)
	}
	return out
}

// Change has other limits of the whole fleet in the files of some gateways, which read them again.
func (s *Site) Change(whole Whole, some []*Gateway) {
	for _, g := range some {
		g.whole = whole
		g.operatorFile()
		g.Signal(syscall.SIGHUP)
	}
}

// gateway makes one, not started yet, with its relays.
func (s *Site) gateway(name string, n int) (*Gateway, error) {
	g := &Gateway{Name: name, site: s, n: n}
	var err error
	if g.Address, err = freeAddress(); err != nil {
		return nil, err
	}
	label := "g" + strconv.Itoa(n) // a second process under one name has files of its own
	g.LogFile = filepath.Join(s.Folder, label+".log")
	net := s.plan.Relayed
	if net == nil {
		g.list, g.known = s.List.Address, s.List.Known
		return g, nil
	}
	entries := make([]fake.Entry, len(s.entries))
	for i, e := range s.entries {
		address, err := net.Stream(label, e.ID, func() string { return s.Engines[i].Address })
		if err != nil {
			return nil, err
		}
		g.engines = append(g.engines, address)
		entries[i] = e
		entries[i].Address = address
	}
	l, err := fake.StartList("127.0.0.1:0", entries)
	if err != nil {
		return nil, err
	}
	s.Lists = append(s.Lists, l)
	g.known = l.Known
	g.list, err = net.Stream(label, "list", func() string { return l.Address })
	return g, err
}

// introduce gives all gateways their places in the fleet.
func (s *Site) introduce() error {
	f := s.plan.Fleet
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

func (s *Site) place(g *Gateway) (err error) {
	g.whole = s.plan.Fleet.Whole
	label := "g" + strconv.Itoa(g.n)
	if g.udp, err = freeAddress(); err != nil {
		return err
	}
	g.reached = g.udp
	g.History, g.Control = filepath.Join(s.Folder, label+".history"), filepath.Join(s.Folder, label+".sock")
	if net := s.plan.Relayed; net != nil {
		if err := net.Sender(g.udp, label); err != nil {
			return err
		}
		g.reached, err = net.Datagrams(label, g.udp)
	}
	return err
}

// operatorFile writes the gateway's file and tells its name.
func (g *Gateway) operatorFile() string {
	f := g.site.plan.Fleet
	path := filepath.Join(g.site.Folder, "g"+strconv.Itoa(g.n)+".operator.jsonnet")
	file := map[string]any{"listen": g.udp, "advertise": g.reached, "seeds": f.seeds, "key": f.key, "control": g.Control, "history": g.History, "judgements": f.Sharing, "counts": f.Counts}
	whole := map[string]any{"fleet": file}
	if f.Cold && !f.Whole.Any() {
		file["budgets"] = map[string]any{"keepers": g.site.Keepers(), "term": f.Term.String(), "cold": true}
	}
	if c := f.Charter; c.Voters > 0 {
		file["policy"] = map[string]any{"voters": g.site.Voters(), "folder": g.PolicyFolder(), "lease": c.Lease.String(), "within": c.Within.String()}
		file["budgets"] = map[string]any{"keepers": g.site.Keepers(), "term": f.Term.String(), "cold": f.Cold}
		whole["statements"] = map[string]any{}
	} else if f.Whole.Any() {
		w := g.whole
		class := map[string]any{"name": "loads", "when": map[string]any{"lanes": []string{"load"}}}
		w.limit(class)
		file["budgets"] = map[string]any{"keepers": g.site.Keepers(), "term": f.Term.String(), "number": max(1, w.Number), "cold": f.Cold}
		whole["statements"] = map[string]any{"classes": []any{class}}
	}
	if b, ok := file["budgets"].(map[string]any); ok && g.site.plan.State {
		b["folder"] = g.SeatFolder()
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

// StateFolder is where it keeps its record of tasks.
func (g *Gateway) StateFolder() string {
	return filepath.Join(g.site.Folder, "g"+strconv.Itoa(g.n)+".state")
}

// PolicyFolder is where it keeps policies, and votes by.
func (g *Gateway) PolicyFolder() string {
	return filepath.Join(g.site.Folder, "g"+strconv.Itoa(g.n)+".policy")
}

// SeatFolder is where it keeps by which its part of the fleet's budgets passes to the process that follows.
func (g *Gateway) SeatFolder() string {
	return filepath.Join(g.site.Folder, "g"+strconv.Itoa(g.n)+".seat")
}

// folders are those that survive its process.
func (g *Gateway) folders() (out []string) {
	if g.site.plan.State {
		out = append(out, g.StateFolder())
		if _, err := os.Stat(g.SeatFolder()); err == nil {
			out = append(out, g.SeatFolder())
		}
	}
	if f := g.site.plan.Fleet; f != nil && f.Charter.Voters > 0 {
		out = append(out, g.PolicyFolder())
	}
	return out
}

// Kept tells whether there are older copies.
func (g *Gateway) Kept() bool {
	for _, f := range g.folders() {
		if _, err := os.Stat(f + ".older"); err == nil {
			return true
		}
	}
	return false
}

// Keep copies the folders as they stand; with BringBack those older copies take their place.
func (g *Gateway) Keep() error {
	for _, f := range g.folders() {
		os.RemoveAll(f + ".older")
		if err := os.CopyFS(f+".older", os.DirFS(f)); err != nil {
			return err
		}
	}
	return nil
}

// BringBack puts the older copies in the place of the folders; with none there, nothing is left of them.
func (g *Gateway) BringBack() error {
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

// Forget takes the folders away.
func (g *Gateway) Forget() (err error) {
	for _, f := range g.folders() {
		err = errors.Join(err, os.RemoveAll(f))
	}
	return err
}

// Twin starts a second process under a gateway's name, with addresses and files of its own; the first one lives on.
func (s *Site) Twin(of int) (*Gateway, error) {
	g, err := s.gateway(s.Gateways[of].Name, len(s.Gateways))
	if err != nil {
		return nil, err
	}
	if s.plan.Fleet != nil {
		if err := s.place(g); err != nil {
			return nil, err
		}
	}
	s.Gateways = append(s.Gateways, g)
	return g, g.Start()
}

// Label is what relays and files call it: its own also for a twin.
func (g *Gateway) Label() string { return "g" + strconv.Itoa(g.n) }

// Up tells whether its process lives, stopped or not.
func (g *Gateway) Up() bool {
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
