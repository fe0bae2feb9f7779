// Package source reads the operator's own file.
package source

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"path"
	"slices"
	"strings"
	"time"

	"magpiebank/internal/cluster/agent"
	"magpiebank/internal/configfile"
	"magpiebank/internal/query/costmodel"
	"magpiebank/internal/resourcegroup"
	"magpiebank/internal/workload"
)

// The figures where the file names none: a gateway of 48 MB keeps to 8, so what is learned may have two more; a line a
// minute is one among some thousands.
const (
	defaultMemoryBytes = 2 << 20
	defaultLogInterval = time.Minute
)

// Read reads the file.
func Read(file string) (*workload.File, error) {
	_, o, err := configfile.Read(file)
	if err != nil {
		return nil, err
	}
	return decode(o)
}

// Parse reads a text that stands for a file of that name.
func Parse(name, text string) (*workload.File, error) {
	_, o, err := configfile.Parse(name, text)
	if err != nil {
		return nil, err
	}
	return decode(o)
}

func decode(o *configfile.Object) (*workload.File, error) {
	f := &workload.File{}
	if s := o.Object("statements"); s != nil {
		f.Statements = &workload.Statements{MemoryBytes: s.Size("memory", defaultMemoryBytes), LogInterval: s.Duration("log_every", defaultLogInterval)}
		if m := f.Statements.MemoryBytes; m < 64<<10 || m > 1<<30 {
			s.Reject("memory", `a size from "64kB" to "1GB"`)
		}
		if f.Statements.LogInterval < time.Second {
			s.Reject("log_every", `a time from "1s" on`)
		}
		f.Statements.SnapshotFile = s.Text("snapshot", "")
		for _, t := range s.Objects("tables") {
			p := readTablePattern(t)
			f.Statements.Tables = append(f.Statements.Tables, workload.Table{Schema: p.Schema, Name: p.Name,
				Rows: t.Number("rows", 0, 0, 1e15), Keys: t.Texts("keys")})
		}
		f.Statements.Plan = readPlan(s)
	}
	if l := o.Object("fleet"); l != nil {
		f.Fleet = readFleet(l)
		if k := l.Object("budgets"); k != nil {
			b := &agent.QuotaConfig{Voters: k.Texts("keepers"), ShareTerm: k.Duration("term", defaultQuotaTerm), Number: uint64(k.Int("number", 1, 1, 1<<30)), Folder: k.Text("folder", "")}
			if n := len(b.Voters); n != 1 && n != 3 && n != 5 {
				k.Reject("keepers", "the names of 1, 3 or 5 gateways")
			}
			if b.ShareTerm < time.Second || b.ShareTerm > time.Hour {
				k.Reject("term", `a time from "1s" to "1h"`)
			}
			if k.HasField("number") && f.Fleet.Policy != nil {
				k.Reject("number", "none where there is fleet.policy: totals follow the policy's number")
			} else if f.Fleet.Policy != nil {
				b.Number = 0
			}
			if b.SlowStart = k.Bool("cold", false); b.SlowStart {
				b.Names, b.Totals = agent.SlowStartBudgets()
			}
			f.Fleet.Quota = b
		}
	}
	if p := o.Object("policy"); p != nil && (f.Fleet == nil || f.Fleet.Policy == nil) {
		o.RejectError(errors.New("policy: expected fleet.policy in the file, by which it takes hold, found nothing"))
		readRequirements(p)
	} else if p != nil {
		readRequirements(p)
	}
	if s := f.Statements; s != nil && f.Fleet != nil && f.Fleet.Policy != nil {
		f.PolicyProposed = len(s.Plan.Pools)+len(s.Plan.Classes) > 0
		s.Plan = resourcegroup.Plan{} // what is gone by is what the fleet has decided
	}
	if s := f.Statements; s != nil {
		for i, c := range s.Plan.Classes {
			if !c.FleetWide {
				continue
			}
			if f.Fleet == nil || f.Fleet.Quota == nil {
				o.RejectError(fmt.Errorf("statements.classes[%d].fleet: expected fleet.budgets in the file, by which gateways share it, found nothing", i))
				continue
			}
			names, totals := c.BudgetNames()
			for k, total := range totals {
				if total > 0 {
					f.Fleet.Quota.Names = append(f.Fleet.Quota.Names, names[k])
					f.Fleet.Quota.Totals = append(f.Fleet.Quota.Totals, total)
				}
			}
		}
	}
	return f, o.Validate()
}

// usualRate bounds what a gateway tells of engines: a hundred bytes to each of five hundred, four times a second.
const defaultBytesPerSecond = 200 << 10

// A gateway that hears nothing goes on by its policy for three seconds: a leader that dies is followed within two. A proposal is taken
// within some tenths of a second; who needs five is in trouble, and the change goes on without it.
const (
	defaultLease           = 3 * time.Second
	defaultProposalTimeout = 5 * time.Second
)

// usualTerm is how long a gateway that hears nothing goes on with its part: a restart of the network's gear, and not for good.
const defaultQuotaTerm = time.Minute

// members reads how the gateways of a fleet reach each other.
func readFleet(l *configfile.Object) *agent.Config {
	p := &agent.Config{Listen: l.RequiredText("listen"), Advertise: l.Text("advertise", ""), Seeds: l.Texts("seeds"), Key: l.RequiredText("key"),
		BytesPerSecond: l.Size("bytes_per_second", defaultBytesPerSecond), ControlSocket: l.Text("control", ""), HistoryFile: l.Text("history", ""),
		ShareHealth: l.Bool("judgements", true), ShareCounters: l.Bool("counts", false)}
	if _, err := netip.ParseAddrPort(p.Listen); p.Listen != "" && err != nil {
		l.Reject("listen", `an address and port, as in "10.0.0.3:7100"`)
	}
	if l.HasField("advertise") {
		if _, err := netip.ParseAddrPort(p.Advertise); err != nil {
			l.Reject("advertise", `an address and port that the others reach, as in "10.0.0.3:7100"`)
		}
	} else if a, err := netip.ParseAddrPort(p.Listen); err == nil && a.Addr().IsUnspecified() {
		l.Reject("listen", "an address of this machine, or advertise with the one that the others reach")
	}
	for _, s := range p.Seeds {
		if _, err := netip.ParseAddrPort(s); err != nil {
			l.Reject("seeds", "addresses and ports, of which "+s+" is none")
		}
	}
	if k := l.Object("policy"); k != nil {
		p.Policy = &agent.PolicyConfig{Voters: k.Texts("voters"), Folder: k.Text("folder", ""), LeaseDuration: k.Duration("lease", defaultLease), ProposalTimeout: k.Duration("within", defaultProposalTimeout)}
		if n := len(p.Policy.Voters); n != 1 && n != 3 && n != 5 && n != 7 {
			k.Reject("voters", "the names of 3, 5 or 7 gateways, or of one")
		}
		if d := p.Policy.LeaseDuration; d < time.Second || d > time.Minute {
			k.Reject("lease", `a time from "1s" to "1m"`)
		}
		if d := p.Policy.ProposalTimeout; d < time.Second || d > time.Minute {
			k.Reject("within", `a time from "1s" to "1m"`)
		}
	}
	if p.BytesPerSecond < 1<<10 || p.BytesPerSecond > 1<<30 {
		l.Reject("bytes_per_second", `a size from "1kB" to "1GB"`)
	}
	return p
}

// pattern reads a pattern of tables' names.
func readTablePattern(t *configfile.Object) resourcegroup.TablePattern {
	p := resourcegroup.TablePattern{Schema: t.Text("schema", "*"), Name: t.RequiredText("name")}
	for _, f := range []struct{ field, text string }{{"schema", p.Schema}, {"name", p.Name}} {
		if _, err := path.Match(f.text, ""); err != nil {
			t.Reject(f.field, "a name, with * for any letters")
		}
	}
	return p
}

// plan reads pools and classes. A class that follows one for all statements would never be reached.
func readPlan(s *configfile.Object) (p resourcegroup.Plan) {
	pools, classes := map[string]bool{"": true}, map[string]bool{}
	for _, o := range s.Objects("pools") {
		pool := resourcegroup.Pool{Name: o.RequiredText("name"), Zones: o.Texts("zones"), Kinds: o.Texts("kinds")}
		if pools[pool.Name] && pool.Name != "" {
			o.Reject("name", "a name that no other pool has")
		}
		pools[pool.Name] = true
		p.Pools = append(p.Pools, pool)
	}
	all := ""
	for _, o := range s.Objects("classes") {
		c := resourcegroup.Class{Name: o.RequiredText("name"), Pool: o.Text("pool", ""), MaxThreads: o.Number("threads", 0, 0.1, 1e6),
			MaxWaiting: o.Int("waiting", 0, 1, 1e6), WorkMillisPerSecond: float64(o.Duration("work_per_second", 0)) / 1e6, RejectText: o.Text("refuse", ""), FleetWide: o.Bool("fleet", false)}
		if c.FleetWide && c.MaxThreads != math.Trunc(c.MaxThreads) {
			o.Reject("threads", "a whole number of threads, where they are the fleet's")
		} else if c.FleetWide && c.MaxThreads == 0 && c.MaxWaiting == 0 && c.WorkMillisPerSecond < 1 {
			o.Reject("fleet", "threads, waiting or work_per_second, which it has the fleet share")
		}
		if o.HasField("work_per_second") && c.WorkMillisPerSecond == 0 {
			o.Reject("work_per_second", "a time of work above 0, as in \"4s\"")
		}
		if o.HasField("refuse") && c.RejectText == "" {
			o.Reject("refuse", "the text of the error that clients get")
		}
		if classes[c.Name] && c.Name != "" {
			o.Reject("name", "a name that no other class has")
		}
		classes[c.Name] = true
		if !pools[c.Pool] {
			o.Reject("pool", "the name of one of the pools")
		}
		if all != "" {
			o.Reject("name", "no further class, as "+all+" before it takes all statements")
		}
		if w := o.Object("when"); w != nil {
			c.Conditions = readConditions(w)
		} else {
			all = c.Name
		}
		p.Classes = append(p.Classes, c)
	}
	if len(p.Classes) > resourcegroup.MaxClasses {
		s.Reject("classes", fmt.Sprintf("at most %d", resourcegroup.MaxClasses))
	}
	return p
}

func readConditions(w *configfile.Object) (f resourcegroup.Conditions) {
	flag := func(name string) *bool {
		if !w.HasField(name) {
			return nil
		}
		v := w.Bool(name, false)
		return &v
	}
	ms := func(name string) float64 { return float64(w.Duration(name, 0)) / 1e6 }
	f = resourcegroup.Conditions{RequestClasses: w.Texts("lanes"), Verbs: w.Texts("verbs"), FullScan: flag("full"), HasLimit: flag("limited"), Uncertain: flag("doubt"),
		MinWorkMillis: ms("work_from"), MinUpperMillis: ms("upper_from"), MinMemoryMB: float64(w.Size("memory_from", 0)) / (1 << 20),
		MinBadShare: w.Fraction("bad_from", 0), MinJoins: w.Int("joins_from", 0, 0, 1e6), MinLooseTables: w.Int("loose_from", 0, 0, 1e6)}
	for _, v := range f.Verbs {
		if !slices.Contains(costmodel.VerbNames(), v) {
			w.Reject("verbs", "some of "+strings.Join(costmodel.VerbNames(), ", "))
		}
	}
	for _, t := range w.Objects("tables") {
		f.Tables = append(f.Tables, readTablePattern(t))
	}
	return f
}
