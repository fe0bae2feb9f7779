package scenario

import (
	"context"
	"database/sql"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"magpiebank/internal/fault"
	"magpiebank/internal/fleet"
	"magpiebank/internal/history"
	"magpiebank/internal/load/single"
	"magpiebank/internal/site"
	"magpiebank/internal/standin"
)

// The load's lanes. Look-ups may run again, loads may not; an engine has room for some times what the load asks.
const (
	lookService = 20 * time.Millisecond
	loadService = 60 * time.Millisecond
	quoted      = time.Second
	longest     = 4 * time.Second
	lookWorth   = 1.0
	loadWorth   = 5.0
)

// endWithin is how long a gateway without a request may take to end.
const endWithin = 20 * time.Second

// Task is one task of the load as its client saw it.
type Task struct {
	Gateway string        `json:"gateway"`
	At      time.Duration `json:"at"` // from the load's begin
	Took    time.Duration `json:"took"`
	Load    bool          `json:"load"`
	End     string        `json:"end"` // delivered, nacked, written off, or what was wrong
	id      string
}

// Worth is what it earns.
func (t *Task) Worth() float64 {
	if t.End != single.Delivered || t.Took > quoted {
		return 0
	}
	return t.worth()
}

func (t *Task) worth() float64 {
	if t.Load {
		return loadWorth
	}
	return lookWorth
}

// Result is what came of a run.
type Result struct {
	Scenario   *Scenario       `json:"-"`
	Folder     string          `json:"folder"`
	Joined     time.Duration   `json:"joined"`  // until all had found each other at first
	Settled    time.Duration   `json:"settled"` // and again, after the last fault
	Violations []string        `json:"violations"`
	WakeDelay  time.Duration   `json:"wake_delay"` // the longest of the laboratory and of gateways: see Disturbed
	Tasks      []Task          `json:"-"`
	Ends       map[string]int  `json:"ends"`
	Served     float64         `json:"served"` // share of the worth asked for
	Counts     fault.Counts    `json:"counts"`
	Events     []history.Event `json:"-"`
	Zero       int64           `json:"-"` // CLOCK_MONOTONIC of the load's begin
	Processes  []string        `json:"-"`
	Done       []Step          `json:"-"`
	Displaced  int             `json:"displaced"` // processes that found their name taken by a later one
	Played     time.Duration   `json:"played"`    // while datagrams were counted
	Colds      []ColdStart     `json:"colds,omitempty"`
	Runs       []standin.Run   `json:"-"` // loads and look-ups, as the engines have them
	Began      time.Time       `json:"-"` // of the load
	Proposals  []Proposed      `json:"proposals,omitempty"`
	Policies   *PolicyFigures  `json:"policies,omitempty"`
	Voters     []string        `json:"voters,omitempty"` // of policies, at the end
	timely     int             // how many of the violations rest on time
}

// Good tells whether all held.
func (r *Result) Good() bool { return len(r.Violations) == 0 }

type play struct {
	s       *Scenario
	site    *site.Site
	net     *fault.Net
	mu      sync.Mutex
	tasks   []Task
	killed  map[string][]time.Duration // by process: when it was killed or told to leave, from the begin
	down    map[string]bool            // by process: not to be there
	began   time.Time
	dbs     map[string]*sql.DB
	clients sync.WaitGroup
	folder  string
	offers  sync.WaitGroup // proposals that have not ended
	made    []Proposed
	drawn   map[string]uint64 // ids of proposals that have a name
	wrong   []string          // what did not come about in time
}

// Run plays a scenario. Files go to a folder; program is the gateway's, which must be of the laboratory's build where clocks run
// off or a defect is planted.
func Run(ctx context.Context, s *Scenario, folder, program string) (*Result, error) {
	if s.Planted+s.Dies != "" || len(s.Clocks)+len(s.Disks)+len(s.Defects) > 0 {
		if out, err := exec.Command(program, "version").Output(); err != nil || !strings.Contains(string(out), "laboratory") {
			return nil, fmt.Errorf("scenario %s: clocks that run off, disks that fail and planted defects need a gateway built with -tags lab, %s is none", s.Name, program)
		}
	}
	begun := time.Now()
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, err
	}
	for _, kind := range []string{"*.history", "*.state", "*.policy", "*.seat", "*.older", "died"} { // of a run before: its tasks bear the same ids
		old, _ := filepath.Glob(filepath.Join(folder, kind))
		for _, f := range old {
			os.RemoveAll(f)
		}
	}
	loads := standin.Spread{Kind: "exponential", Mean: loadService}
	if s.Service > 0 {
		loads = standin.Spread{Kind: "constant", Mean: s.Service}
	}
	p := &play{s: s, folder: folder, net: fault.New(s.Seed), killed: map[string][]time.Duration{}, down: map[string]bool{}, dbs: map[string]*sql.DB{}}
	plan := site.Plan{Gateways: s.Gateways, Engines: s.Engines, Zones: s.Zones, Cores: 8, MemoryMB: 96, Sockets: 384, ConnectWithin: connectWithin,
		Idle: 30 * time.Second, Seed: int64(s.Seed), Program: program, Fleet: &site.Fleet{Seeds: 2, Sharing: s.Sharing, Counts: s.Counts, Whole: s.Whole, Term: s.Term, Charter: s.Charter}, Relayed: p.net, State: s.State, Down: s.Down,
		Lanes: []site.Lane{{Name: "look", Quoted: quoted, Longest: s.Longest, Earnings: lookWorth, Effect: "idempotent", Threads: 1},
			{Name: "load", Quoted: quoted, Longest: s.Longest, Earnings: loadWorth, Effect: "unrepeatable", Threads: 1}},
		Env: p.env,
		Manner: standin.Manner{Threads: 16, Cores: 8, Pace: 250 * time.Millisecond, Works: []standin.Work{
			{Lane: "load", Rows: 1, Service: loads},
			{Lane: "look", Rows: 1, Service: standin.Spread{Kind: "exponential", Mean: lookService}}}}}
	for _, g := range s.Down {
		p.down[g] = true
	}
	if s.Warm > 0 { // a third of the speed at first; twice what they can do for a second has them tip over
		plan.Cold = site.Cold{Share: 0.32, Factor: 2, Warm: s.Warm, Tip: time.Second}
		plan.Manner.Cold, plan.Manner.Warm, plan.Fleet.Cold = plan.Cold.Share, s.Warm, s.Cold
	}
	up, err := site.Up(plan, folder)
	if err != nil {
		return nil, err
	}
	p.site = up
	defer up.Down()
	up.Log.Keep()
	r := &Result{Scenario: s, Folder: folder, Ends: map[string]int{}}
	meter := newWakeMeter()
	defer meter.stop()
	var ok bool
	if len(s.Down) > 0 { // whoever is up may know nobody
	} else if r.Joined, ok = p.settle(ctx, s.Settle); !ok {
		r.miss(fmt.Sprintf("eventual: at the start the members did not know each other after %v: %s", s.Settle, p.apart()))
	}
	if s.Charter.Voters > 0 {
		if err := p.first(ctx); err != nil {
			r.miss(err.Error())
		}
	}
	if s.Whole.Any() || s.Cold {
		p.seated(ctx, s.Settle) // keepers confirm nothing for a term and some after they have started
	}
	p.began, r.Zero = time.Now(), history.Now()
	stop, cancel := context.WithCancel(ctx)
	for _, g := range up.Gateways {
		p.client(stop, g)
	}
	err = p.act(ctx)
	cancel()
	p.clients.Wait()
	p.offers.Wait()
	p.net.Clear("")
	if err == nil {
		if r.Settled, ok = p.settle(ctx, s.Settle); !ok {
			r.miss(fmt.Sprintf("eventual: %v after the last fault the members did not know each other: %s", s.Settle, p.apart()))
		}
	}
	if s.Charter.Voters > 0 {
		for _, g := range up.Gateways { // those that vote say so themselves
			if a, err := fleet.AskPolicy(ctx, g.Control, &fleet.PolicyAsk{Do: "status"}); err == nil && a.Status != nil && a.Status.Votes {
				r.Voters = append(r.Voters, g.Name)
			}
		}
	}
	r.Counts, r.Played = p.net.Counts(), time.Since(begun)
	var files []string
	for _, g := range up.Gateways {
		r.Processes = append(r.Processes, g.Label())
		files = append(files, g.History)
		g.Signal(syscall.SIGTERM)
	}
	for by := time.Now().Add(endWithin); time.Now().Before(by) && slices.ContainsFunc(up.Gateways, (*site.Gateway).Up); time.Sleep(10 * time.Millisecond) {
	}
	for _, g := range up.Gateways {
		if g.Up() { // and its history is not whole
			r.miss(fmt.Sprintf("eventual: %s had not ended %v after SIGTERM, with nothing in its hands", g.Label(), endWithin))
		}
	}
	r.WakeDelay = meter.stop()
	if err != nil {
		return nil, err
	}
	if r.Events, err = history.Merge(files...); err != nil {
		return nil, err
	}
	r.WakeDelay = max(r.WakeDelay, s.wakeDelay(r.Events))
	r.Tasks = p.tasks
	r.miss(p.wrong...)
	p.judgeTasks(r)
	r.Runs, r.Began = up.Log.Runs(), p.began
	r.Colds = coldStarts(s, plan.Cold, plan.Manner.Cores, up.Log.Sent(), p.began)
	for _, c := range r.Colds {
		if c.Most > 1 {
			// A stand-in that was late reads what came over a while in one moment.
			r.miss(fmt.Sprintf("rule 4: %s, which started at %v, was sent %.2f times what tips it over", c.Engine, c.At, c.Most))
		}
	}
	lowered := s.Term + s.Term/2
	if s.Charter.Voters > 0 { // all go by the new total at once: what runs by the old one ends with its task
		lowered = s.Longest + s.Longest/4
	}
	limits := readTotals(r.Events, up.Keepers(), lowered)
	r.miss(CheckCounts(r.Events)...)
	broken, late := Check(r.Events)
	r.violate(broken...)
	r.miss(late...)
	r.violate(CheckBudgets(r.Events, limits)...)
	r.violate(CheckEngines(s, r.Runs, r.Began, r.Zero, limits)...)
	for _, e := range r.Events {
		if e.What == history.Member && e.Code == "displaced" {
			r.Displaced++
		}
	}
	if s.Charter.Voters > 0 {
		p.judgePolicies(r)
	}
	r.miss(r.missed()...)
	return r, nil
}

// missed tells which expectations did not come about.
func (r *Result) missed() (out []string) {
	for _, x := range r.Scenario.Expect {
		if r.Served < x.Served {
			out = append(out, fmt.Sprintf("expected: %.3f of the worth served, found %.3f", x.Served, r.Served))
		}
		if x.Displaced > 0 && r.Displaced != x.Displaced {
			out = append(out, fmt.Sprintf("expected: %d processes displaced, found %d", x.Displaced, r.Displaced))
		}
		decided, found := 0, x.Ends+x.Why == ""
		for _, k := range r.Proposals {
			decided += btoi(k.End == "decided")
			found = found || (x.Ends == "" || k.End == x.Ends) && strings.Contains(k.Why, x.Why)
		}
		if len(x.Voters) > 0 && !slices.Equal(x.Voters, r.Voters) {
			out = append(out, fmt.Sprintf("expected: voters %v at the end, found %v", x.Voters, r.Voters))
		}
		if decided < x.Decided {
			out = append(out, fmt.Sprintf("expected: %d proposals that take hold, found %d: %v", x.Decided, decided, r.Proposals))
		}
		if !found {
			out = append(out, fmt.Sprintf("expected: a proposal that is %s, with %q; found %v", x.Ends, x.Why, r.Proposals))
		}
		for _, o := range r.Outages() {
			if x.Engine == o.Engine && o.T95 > x.Within {
				out = append(out, fmt.Sprintf("expected: %s, which %s from %v on, is left alone by 95%% of the gateways within %v, found %v", o.Engine, o.Be, o.At, x.Within,
					o.T95.Round(time.Millisecond)))
			}
		}
	}
	return out
}

// env is what a process gets besides.
func (p *play) env(name string) (out []string) {
	if p.s.Planted != "" {
		out = append(out, "MAGPIEBANK_PLANTED="+p.s.Planted)
	}
	if d := p.s.Defects[name]; d != "" {
		out = append(out, "MAGPIEBANK_PLANTED="+p.s.Planted+d)
	}
	if p.s.Dies != "" {
		out = append(out, "MAGPIEBANK_DIE="+p.s.Dies+" "+filepath.Join(p.folder, "died"))
	}
	if c := p.s.Clocks[name]; c != "" {
		out = append(out, "MAGPIEBANK_CLOCK="+c)
	}
	if b := p.s.Born[name]; b != "" {
		out = append(out, "MAGPIEBANK_BORN="+b)
	}
	if d := p.s.Disks[name]; d != "" {
		out = append(out, "MAGPIEBANK_DISK="+d)
	}
	return out
}

// act carries out the steps, each begin and end in its turn.
func (p *play) act(ctx context.Context) error {
	type deed struct {
		at time.Duration
		do func() error
	}
	var deeds []deed
	for i, t := range p.s.Steps {
		name := fmt.Sprint("step", i)
		deeds = append(deeds, deed{t.At, func() error { return p.begin(name, t) }})
		if t.Until > 0 {
			deeds = append(deeds, deed{t.Until, func() error { return p.end(name, t) }})
		}
	}
	slices.SortStableFunc(deeds, func(a, b deed) int { return int(a.at - b.at) })
	deeds = append(deeds, deed{p.s.Length, func() error { return nil }})
	for _, d := range deeds {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(p.began.Add(d.at))):
		}
		if err := d.do(); err != nil {
			return err
		}
	}
	for _, t := range p.s.Steps { // whoever is still stopped goes on
		if t.Do == "stop" && t.Until == 0 {
			p.each(t.Gateways, func(g *site.Gateway) error { g.Signal(syscall.SIGCONT); return nil })
		}
	}
	return nil
}

// each calls f for the gateways that some names fit.
func (p *play) each(names []string, f func(*site.Gateway) error) error {
	for _, g := range slices.Clone(p.site.Gateways) {
		for _, n := range names {
			if ok, _ := path.Match(n, g.Label()); ok {
				if err := f(g); err != nil {
					return err
				}
				break
			}
		}
	}
	return nil
}

func (p *play) engines(names []string, f func(i int, e *standin.Engine) error) error {
	for i, e := range p.site.Engines {
		for _, n := range names {
			if ok, _ := path.Match(n, e.Name); ok {
				if err := f(i, e); err != nil {
					return err
				}
				break
			}
		}
	}
	return nil
}

func (p *play) gone(g *site.Gateway, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.killed[g.Label()] = append(p.killed[g.Label()], time.Since(p.began))
	p.down[g.Label()] = down
}

func (p *play) begin(name string, t Step) error {
	switch t.Do {
	case "link":
		p.net.Set(name, t.From, t.To, t.Rule)
		if t.Both {
			p.net.Set(name, t.To, t.From, t.Rule)
		}
	case "kill":
		return p.each(t.Gateways, func(g *site.Gateway) error {
			if t.Folder == "older" && !g.Kept() {
				g.Keep()
			}
			p.gone(g, true)
			g.Kill()
			return nil
		})
	case "leave":
		return p.each(t.Gateways, func(g *site.Gateway) error { p.gone(g, true); g.Signal(syscall.SIGTERM); return nil })
	case "start":
		return p.each(t.Gateways, p.start)
	case "stop":
		return p.each(t.Gateways, func(g *site.Gateway) error { g.Signal(syscall.SIGSTOP); return nil })
	case "limit":
		var some []*site.Gateway
		p.each(t.Gateways, func(g *site.Gateway) error { some = append(some, g); return nil })
		w := t.Whole
		w.Number = 2
		for _, before := range p.s.Steps { // each change has a number of its own
			if before.Do == "limit" && before.At < t.At {
				w.Number++
			}
		}
		if t.Number > 0 {
			w.Number = t.Number
		}
		p.site.Change(w, some)
	case "twin":
		return p.each(t.Gateways, func(g *site.Gateway) error {
			for i, of := range p.site.Gateways {
				if of == g {
					_, err := p.site.Twin(i)
					return err
				}
			}
			return nil
		})
	case "revive": // whoever is not there, or stands still
		return p.each(t.Gateways, func(g *site.Gateway) error {
			g.Signal(syscall.SIGCONT)
			if g.Up() {
				return nil
			}
			p.gone(g, true)
			return p.start(g)
		})
	case "keep":
		return p.each(t.Gateways, (*site.Gateway).Keep)
	case "propose", "voters", "force":
		p.offer(t)
	case "list":
		for _, l := range p.site.Lists {
			if t.Be == "held" {
				l.Hold()
			} else {
				l.Break()
			}
		}
	case "engine":
		return p.engines(t.Engines, func(i int, e *standin.Engine) error { return p.be(t.Be, i, e) })
	}
	return nil
}

func (p *play) start(g *site.Gateway) error {
	if g.Up() { // it is still leaving, or another step has started it
		p.gone(g, true)
		g.Kill()
	}
	p.mu.Lock()
	p.down[g.Label()] = false
	p.mu.Unlock()
	return g.Start()
}

func (p *play) be(what string, i int, e *standin.Engine) error {
	switch what {
	case "silent":
		e.Silent()
	case "errs":
		e.Fail(1)
	case "loses":
		e.Lose(1)
	case "slow":
		e.Slow(0.02)
	case "refuses":
		e.Refuse()
	case "paused":
		e.Pause()
	case "restarts":
		e.Refuse()
		p.site.Tell(i, "Ready")
		return e.Accept()
	case "drains":
		p.site.Tell(i, "Terminating")
	case "gone":
		p.site.Tell(i, "Gone")
	}
	return nil
}

func (p *play) end(name string, t Step) error {
	switch t.Do {
	case "link":
		p.net.Clear(name)
	case "kill":
		return p.each(t.Gateways, func(g *site.Gateway) error {
			var err error
			switch t.Folder {
			case "none":
				err = g.Forget()
			case "older":
				err = g.BringBack()
			}
			if err != nil {
				return err
			}
			return p.start(g)
		})
	case "leave":
		return p.each(t.Gateways, p.start)
	case "stop":
		return p.each(t.Gateways, func(g *site.Gateway) error { g.Signal(syscall.SIGCONT); return nil })
	case "list":
		for _, l := range p.site.Lists {
			l.Mend()
		}
	case "engine":
		return p.engines(t.Engines, func(i int, e *standin.Engine) error {
			switch t.Be {
			case "silent":
				e.Speak()
			case "errs":
				e.Fail(0)
			case "loses":
				e.Lose(0)
			case "slow":
				e.Slow(1)
			case "paused":
				e.Resume()
			case "refuses":
				return e.Accept()
			case "drains", "gone":
				p.site.Tell(i, "Ready")
			}
			return nil
		})
	}
	return nil
}

// settle waits until all that are there know each other; it tells how long that took.
func (p *play) settle(ctx context.Context, within time.Duration) (time.Duration, bool) {
	began := time.Now()
	for time.Since(began) < within && ctx.Err() == nil {
		if p.apart() == "" {
			return time.Since(began), true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(began), false
}

// seated waits until all that are there hold their part.
func (p *play) seated(ctx context.Context, within time.Duration) {
	if p.s.Planted == "quorum" {
		time.Sleep(p.s.Longest * 3) // its keepers grant nothing before what others granted has ended
		return
	}
	for by := time.Now().Add(p.s.Term + p.s.Term/4 + within); time.Now().Before(by) && ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		all := true
		for _, g := range p.site.Gateways {
			if s, err := fleet.Ask(g.Control); !p.down[g.Label()] && (err != nil || len(s.Budgets) == 0 || s.Budgets[0].Seat < 0) {
				all = false
			}
		}
		if all {
			return
		}
	}
	p.wrong = append(p.wrong, "eventual: not all members hold their part of the budget a term after the start")
}

// apart is the first pair that don't know each other; empty: there is none.
func (p *play) apart() string {
	type one struct {
		label  string
		status *fleet.Status
	}
	var all []one
	for _, g := range p.site.Gateways {
		p.mu.Lock()
		down := p.down[g.Label()]
		p.mu.Unlock()
		if down {
			continue
		}
		s, err := fleet.Ask(g.Control)
		if err != nil {
			return g.Label() + " doesn't answer: " + err.Error()
		}
		if !s.Quiet {
			all = append(all, one{g.Label(), s})
		}
	}
	for _, a := range all {
		for _, b := range all {
			if a.label == b.label {
				continue
			}
			if a.status.Name == b.status.Name {
				return fmt.Sprintf("%s and %s both take part as %s", a.label, b.label, a.status.Name)
			}
			i := slices.IndexFunc(a.status.Members, func(m fleet.MemberStatus) bool { return m.Name == b.status.Name })
			if i < 0 {
				return fmt.Sprintf("%s has not heard of %s", a.label, b.label)
			}
			if m := a.status.Members[i]; m.State != "alive" || m.Start != b.status.Start {
				return fmt.Sprintf("%s takes %s, start %d, for %s under start %d", a.label, b.label, b.status.Start, m.State, m.Start)
			}
		}
	}
	if p.s.Charter.Voters > 0 {
		return p.apartOnPolicy()
	}
	return ""
}

// rate is how many tasks a second come to a gateway at a time.
func (p *play) rate(g *site.Gateway, at time.Duration) float64 {
	rate := p.s.Rate
	for _, t := range p.s.Steps {
		if t.Do == "surge" && at >= t.At && (t.Until == 0 || at < t.Until) {
			for _, n := range t.Gateways {
				if ok, _ := path.Match(n, g.Label()); ok {
					rate += t.Rate
					break
				}
			}
		}
	}
	return rate
}

// client sends a gateway its load: open, each task at its time, whatever became of the others.
func (p *play) client(ctx context.Context, g *site.Gateway) {
	if p.s.Rate == 0 {
		return
	}
	db, err := single.Open(g.Address)
	if err != nil {
		return
	}
	db.SetMaxIdleConns(8)
	chance := rand.New(rand.NewPCG(p.s.Seed, uint64(len(p.dbs))+17))
	p.dbs[g.Label()] = db
	n := len(p.dbs)
	p.clients.Add(1)
	go func() {
		defer p.clients.Done()
		defer db.Close()
		var all sync.WaitGroup
		defer all.Wait()
		at := p.began
		for k := 0; ; k++ {
			const look = 250 * time.Millisecond // a gap this long is drawn anew from there: the rate may have changed
			gap := time.Duration(chance.ExpFloat64() / p.rate(g, at.Sub(p.began)) * float64(time.Second))
			if at = at.Add(min(gap, look)); gap > look {
				continue
			}
			load := chance.Float64() < p.s.Loads
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Until(at)):
			}
			all.Add(1)
			due := at // time counts from when the task was to come
			go func() {
				defer all.Done()
				t := Task{Gateway: g.Label(), At: due.Sub(p.began), Load: load, id: fmt.Sprintf("%d%07x%08x", 2-btoi(load), n, k)}
				t.End = ask(db, &t, k, p.s.Longest)
				t.Took = time.Since(due)
				p.mu.Lock()
				p.tasks = append(p.tasks, t)
				p.mu.Unlock()
			}()
		}
	}()
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// ask sends one task and tells how it ended.
func ask(db *sql.DB, t *Task, k int, wait time.Duration) string {
	lane, statement := "look", fmt.Sprintf("SELECT nota FROM actas_%d.mesas WHERE clave = 'v%d'", k%4+1, k)
	if t.Load {
		lane, statement = "load", fmt.Sprintf("INSERT INTO actas_%d.mesas SELECT * FROM staging.lote_%d", k%4+1, k)
	}
	return single.Ask(db, lane, t.id, statement, wait)
}

// judgeTasks holds the clients' side against the engines': one answer each, no load begun twice, no answer that is not true.
func (p *play) judgeTasks(r *Result) {
	asked, earned := 0.0, 0.0
	for i := range r.Tasks {
		t := &r.Tasks[i]
		r.Ends[t.End]++
		if t.End != single.NotTaken {
			asked += t.worth()
			earned += t.Worth()
		}
		truth, came := p.site.Log.Of(t.id)
		if t.Load && truth.Began > 1 {
			r.violate(fmt.Sprintf("rule 2: load %s of %s began %d times", t.id, t.Gateway, truth.Began))
		}
		switch t.End {
		case single.Delivered:
			if !came || truth.Runs == 0 {
				r.violate(fmt.Sprintf("rule 1: %s of %s was delivered, and never ran", t.id, t.Gateway))
			}
		case single.Nacked:
			if t.Load && truth.Began > 0 {
				r.violate(fmt.Sprintf("rule 1: load %s of %s was nacked, and ran", t.id, t.Gateway))
			}
		case single.WrittenOff, single.NotTaken:
		default:
			if p.excused(t) {
				continue
			}
			what := fmt.Sprintf("rule 1: %s of %s, sent at %v, ended as %q", t.id, t.Gateway, t.At.Round(time.Millisecond), t.End)
			if t.End == single.Late || t.End == single.Broken { // as for a client that is slow, whose connection is closed
				r.miss(what)
			} else {
				r.violate(what)
			}
		}
	}
	if asked > 0 {
		r.Served = earned / asked
	}
}

// excused tells whether the gateway died, or stood still, while a task was in its hands.
func (p *play) excused(t *Task) bool {
	for _, at := range p.killed[t.Gateway] {
		if at >= t.At-time.Second && at <= t.At+t.Took+time.Second {
			return true
		}
	}
	if died, err := os.Stat(filepath.Join(p.folder, "died")); err == nil && p.s.Dies != "" { // whoever that was, until it was brought back
		revived := p.s.Length
		for _, s := range p.s.Steps {
			if s.Do == "revive" {
				revived = s.At
			}
		}
		if at := died.ModTime().Sub(p.began); at-time.Second <= t.At+t.Took && t.At <= revived+time.Second && slices.Contains(p.site.Voters(), t.Gateway) {
			return true
		}
	}
	for _, s := range p.s.Steps {
		until := s.Until
		if until == 0 {
			until = p.s.Length
		}
		if s.Do == "stop" && s.At <= t.At+t.Took && until >= t.At {
			for _, g := range s.Gateways {
				if ok, _ := path.Match(g, t.Gateway); ok {
					return true
				}
			}
		}
	}
	return false
}

// Text writes a result for people.
func (r *Result) Text(out io.Writer) {
	fmt.Fprintf(out, "%s: %d gateways, %d engines, real processes and sockets on loopback; %d steps in %v\n", r.Scenario.Name, r.Scenario.Gateways, r.Scenario.Engines,
		len(r.Scenario.Steps), r.Scenario.Length)
	fmt.Fprintf(out, "all knew each other after %.1f s, and %.1f s after the last fault; %d processes displaced\n", r.Joined.Seconds(), r.Settled.Seconds(), r.Displaced)
	fmt.Fprintf(out, "%d tasks:", len(r.Tasks))
	for _, end := range sortedKeys(r.Ends) {
		fmt.Fprintf(out, " %d %s", r.Ends[end], end)
	}
	fmt.Fprintf(out, "; %.3f of the worth served within its time\n", r.Served)
	if r.Policies != nil {
		r.Policies.Text(out, r.Proposals)
	}
	for _, c := range r.Colds {
		fmt.Fprintf(out, "%s, cold from %v on, was sent %.2f of what tips it over at most; tasks by second %v\n", c.Engine, c.At, c.Most, c.Tasks)
	}
	fmt.Fprintf(out, "%d datagrams of %d bytes in the mean, %d dropped, %d doubled, %d with a bit turned; %d events of history\n", r.Counts.Datagrams,
		r.Counts.Bytes/max(1, r.Counts.Datagrams), r.Counts.Dropped, r.Counts.Doubled, r.Counts.Flipped, len(r.Events))
	if r.Disturbed() {
		fmt.Fprintf(out, "disturbed: processes were woken up to %v late, so times of this run mean little\n", r.WakeDelay.Round(time.Millisecond))
	}
	if r.Good() {
		fmt.Fprintln(out, "good   nothing was violated")
	}
	for i, v := range r.Violations {
		if i == 12 {
			fmt.Fprintf(out, "BAD    and %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Fprintln(out, "BAD    "+v)
	}
}
