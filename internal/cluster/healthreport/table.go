// Package healthreport keeps what gateways tell each other of engines: evidence, not verdicts. Each tells what it saw itself,
// with its age: the engine's report, when a task last came back from it well, and when one last failed there. It does no I/O;
// what a finding means for the way of a task is decided in package admission. docs/fleet.md has the reasons.
package healthreport

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"

	"magpiebank/internal/admission"
)

// Time is a point on the caller's clock.
type Time = admission.Time

// The ages up to which evidence counts.
const (
	// OutcomeLifetime is for answers and failures. In a fleet of some hundred, where each gateway meets an engine every 25 s, it holds the
	// fleet's last dozens of tries there; an engine that is out gets its next one when the last failures are this old. Each
	// gateway has its own figure between this and twice this, so that one tries it before all do.
	OutcomeLifetime = 10 * admission.Second
	// ConfirmedFailureLifetime is for failures that a fresh one bears out: while anybody's last failure there is in use, those before it count up to
	// this age. So one gateway's try is enough to tell that an engine is still out, and one whose own network fails can't
	// hold it out for longer than this on the word of others.
	ConfirmedFailureLifetime = 3 * OutcomeLifetime
	// ReportLifetime is for reports, as the decisions take them.
	ReportLifetime = 3 * admission.Second
)

// Source is a gateway that tells something; of two starts under a name the later counts.
type Source struct {
	Name        string
	Incarnation uint64
}

// Finding is what is known of one engine from others' evidence.
type Finding = admission.PeerReport

// known is an engine of the own list.
type known struct {
	admission.Endpoint
	hash   uint32
	listed bool
	own    record
	told   record  // what was told last, by times
	wait   Time    // since when there is something to tell; never: nothing
	denies bool    // an answer from there that speaks against what was heard
	again  bool    // news that is told a second time, as the first may be lost
	found  Finding // by what was heard,
	gave   Finding // and as far as not too much is out at a time
}

// record is one gateway's evidence on one start of an engine. Every part of it only moves forward in time, so that order,
// doubling and loss of messages do not matter: of two the later counts.
type record struct {
	goodAt, badAt, reportAt Time
	bad                     admission.Observation // how it failed at badAt
	report                  admission.Report
}

// never is before any time that counts.
const never = Time(math.MinInt64 / 4)

var empty = record{goodAt: never, badAt: never, reportAt: never, bad: admission.Erred, report: admission.NoReport}

// join is what two records tell together.
func join(a, b record) record {
	if a.goodAt = max(a.goodAt, b.goodAt); cmp.Or(cmp.Compare(b.badAt, a.badAt), cmp.Compare(b.bad, a.bad)) > 0 {
		a.badAt, a.bad = b.badAt, b.bad
	}
	if c := cmp.Compare(b.reportAt, a.reportAt); c > 0 || c == 0 && after(b.report, a.report) {
		a.reportAt, a.report = b.reportAt, b.report
	}
	return a
}

// after orders reports of the same instant, so that all come to the same one.
func after(a, b admission.Report) bool {
	return cmp.Or(cmp.Compare(a.InFlight, b.InFlight), cmp.Compare(a.Utilization, b.Utilization), cmp.Compare(a.Memory, b.Memory), cmp.Compare(a.Disks, b.Disks)) > 0
}

type source struct {
	Source
	records []record // by engine's place
	heard   int      // messages, up to trusted
	least   Time     // arrival less sending on the two clocks, of the message that was fastest under way
	heardAt Time
}

// Table is what one gateway knows.
type Table struct {
	peers   int     // that a message goes to
	use     Time    // how long evidence counts here
	share   float64 // of the fleet that hearsay may take out at a time
	engines []known
	byHash  map[uint32]int // of the listed; below 0: two have it, and nothing heard of them can be told apart
	named   map[admission.EngineID]int
	sources []source // by name
	room    float64  // bytes that may be told, to all peers together
	touched []int

	// OnObservation, if set, is told of each outcome taken in, with its age; Use or older where there is none.
	OnObservation func(from Source, engine *admission.Endpoint, goodAge, badAge Time)
}

// New makes a book. peers is how many a message goes to; share is the part of the fleet that hearsay may take out at a time; turn,
// from 0 to 1, sets the gateway apart from others in when it tries again what is out.
func New(peers int, share, turn float64) *Table {
	return &Table{peers: max(1, peers), use: OutcomeLifetime + Time(turn*float64(OutcomeLifetime)), share: share, byHash: map[uint32]int{}, named: map[admission.EngineID]int{}}
}

// SetPeerCount has a message paid for by so many receivers from now on.
func (b *Table) SetPeerCount(n int) { b.peers = max(1, n) }

// MaxEjectedShare is the part of the fleet that may be out at a time by hearsay: what the ration lets go again, as by that the site
// says how many tasks may fail at first; else a zone's, which it must do without when it loses one; else a quarter.
func MaxEjectedShare(d *admission.Deployment, zones int) float64 {
	switch {
	case d.RetryWindow > 0 && d.RetryRatio > 0:
		return min(0.5, d.RetryRatio)
	case zones > 1:
		return min(0.5, 1/float64(zones))
	}
	return 0.25
}

// RetryPhase is a gateway's own by its name.
func RetryPhase(name string) float64 { return float64(hash(admission.EngineID(name))%997) / 997 }

func hash(name admission.EngineID) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}

// UpdateEngines takes in a delivery of the own engine list: of what it doesn't name nothing is used, and what was known of an engine
// ends with its start.
func (b *Table) UpdateEngines(form admission.UpdateKind, list []admission.Endpoint) {
	if form == admission.FailedPoll {
		return
	}
	if form != admission.PartialUpdate {
		for i := range b.engines {
			b.engines[i].listed = false
		}
	}
	for _, l := range list {
		i, ok := b.named[l.Engine]
		if !ok {
			i = b.place(l.Engine)
		}
		e := &b.engines[i]
		began := !ok || e.Since != l.Since
		if e.Endpoint, e.listed = l, l.State != admission.Gone; began {
			b.begin(i)
		}
	}
	clear(b.byHash)
	for i := range b.engines {
		if e := &b.engines[i]; e.listed {
			if _, taken := b.byHash[e.hash]; taken {
				i = -1
			}
			b.byHash[e.hash] = i
		}
	}
}

// place finds room for an engine; that of one which is gone is used again.
func (b *Table) place(name admission.EngineID) int {
	i := slices.IndexFunc(b.engines, func(e known) bool { return !e.listed })
	if i < 0 {
		i = len(b.engines)
		b.engines = append(b.engines, known{})
		for k := range b.sources {
			b.sources[k].records = append(b.sources[k].records, empty)
		}
	} else {
		delete(b.named, b.engines[i].Engine)
	}
	b.engines[i] = known{hash: hash(name)}
	b.named[name] = i
	return i
}

// begin has an engine be one of which nothing is known.
func (b *Table) begin(i int) {
	e := &b.engines[i]
	nothing := Finding{Engine: e.Engine, Since: e.Since, Report: admission.NoReport, ReportAt: never}
	*e = known{Endpoint: e.Endpoint, hash: e.hash, listed: e.listed, own: empty, told: empty, wait: never, found: nothing, gave: nothing}
	b.forget(i)
}

// forget ends all that was heard of an engine.
func (b *Table) forget(i int) {
	for k := range b.sources {
		b.sources[k].records[i] = empty
	}
	b.touch(i)
}

// Observe takes in what this gateway saw itself, and the bytes that it may tell more from now on.
func (b *Table) Observe(now Time, name admission.EngineID, saw admission.Observation, report admission.Report, room float64) {
	b.room = min(b.room+room, float64(4*MaxMessageBytes*b.peers)) // some messages at once; a quiet hour doesn't pay for a flood
	i, ok := b.named[name]
	if !ok {
		return
	}
	e := &b.engines[i]
	switch {
	case saw == admission.Answered:
		e.own.goodAt = now
	case saw.IsFailure():
		e.own.badAt, e.own.bad = now, saw
	}
	if report != admission.NoReport && report != e.own.report {
		e.own.report, e.own.reportAt = report, now
	}
	if e.gave.Witnesses > 0 && saw != admission.Reported {
		e.denies = e.gave.Witnesses > 1 && saw == admission.Answered
		b.touch(i) // what others saw before gives way to an answer, here and at those it is told; a failure bears it out
	}
	if e.wait == never && (b.news(e) || b.worth(now, e)) {
		e.wait = now
	}
}

// news tells whether something turned: a failure after a success, or the reverse after a failure that was told by this gateway
// or another. Successes as such are not told: they are many.
func (b *Table) news(e *known) bool {
	if e.denies {
		return true
	}
	turned := e.own.badAt > e.own.goodAt && e.told.badAt <= e.own.goodAt || e.own.goodAt > e.own.badAt && e.told.badAt > e.told.goodAt
	const afresh = admission.Second // of a failure that goes on: who has come meanwhile hears of it, and its age is known
	return turned && e.own != e.told || e.own.badAt > e.own.goodAt && e.own.badAt-e.told.badAt >= afresh
}

// worth tells whether an own report is newer than any that was heard, by more than one is usually made after another.
func (b *Table) worth(now Time, e *known) bool {
	const apart = 100 * admission.Millisecond // half of the fastest pace of reports, so that every second gateway's is not told
	if e.own.reportAt == e.told.reportAt || now-e.own.reportAt >= ReportLifetime {
		return false
	}
	return e.own.reportAt > e.gave.ReportAt+apart
}

// NextMessage is what is worth telling now, or nil: news of failures at once, reports some together; never more than is paid for.
func (b *Table) NextMessage(now Time) []byte {
	const patient = 100 * admission.Millisecond // some reports share a head
	const several = 6
	waiting, urgent, due := 0, false, false
	for i := range b.engines {
		if e := &b.engines[i]; e.wait != never && e.wait <= now && e.listed && b.byHash[e.hash] == i {
			waiting++
			urgent = urgent || b.news(e)
			due = due || now-e.wait >= patient
		}
	}
	if waiting == 0 || !urgent && !due && waiting < several || b.room < float64(b.peers*(headBytes+entryBytes)) {
		return nil
	}
	w := begin(now)
	for _, first := range []bool{true, false} { // news come first
		for i := range b.engines {
			e := &b.engines[i]
			if e.wait == never || e.wait > now || !e.listed || b.byHash[e.hash] != i || b.news(e) != first {
				continue
			}
			if !first && !e.again && !b.worth(now, e) {
				e.wait = never
				continue
			}
			if float64(b.peers*(len(w.b)+entryBytes)) > b.room || !w.add(now, e.hash, e.Since, b.telling(e)) {
				continue
			}
			e.told, e.wait, e.denies, e.again = e.own, never, false, false
			if first {
				e.again, e.wait = true, now+patient
			}
		}
	}
	if w.count == 0 {
		return nil
	}
	out := w.bytes()
	b.room -= float64(b.peers * len(out))
	return out
}

// telling is what is told of an engine: what this gateway saw itself, and nothing that it heard.
func (b *Table) telling(e *known) record {
	if relaysHearsay { // a defect planted by the laboratory
		r := e.own
		for k := range b.sources {
			r = join(r, b.sources[k].records[b.named[e.Engine]])
		}
		return r
	}
	return e.own
}

// ObserveClock takes in that a gateway said anything at all, and its clock as it did: by that the age of its words is known.
func (b *Table) ObserveClock(now Time, from Source, sent uint32) {
	if s := b.source(now, from); s != nil {
		s.late(now, sent)
		s.heard++
	}
}

// HandleMessage takes in a gateway's message; Findings then tells what came of it.
func (b *Table) HandleMessage(now Time, from Source, message []byte) error {
	r, err := read(message)
	if err != nil {
		return err
	}
	s := b.source(now, from)
	if s == nil {
		return nil
	}
	late := s.late(now, r.sent)
	const trusted = 3 // messages, after which one that was long under way is told from the others
	if s.heard++; s.heard < trusted {
		return nil
	}
	accuses := false
	for {
		entry, ok := r.next()
		if !ok {
			break
		}
		i, ok := b.byHash[entry.hash]
		if !ok || i < 0 {
			continue
		}
		e := &b.engines[i]
		if since := start(e.Since); since != entry.start {
			if entry.start-since&startMask < startMask/2 { // it has started again, as far as a peer's list tells: what is said of it is over
				b.forget(i)
			}
			continue
		}
		told := entry.at(now, late)
		s.records[i] = join(s.records[i], told)
		if b.OnObservation != nil {
			b.OnObservation(from, &e.Endpoint, now-told.goodAt, now-told.badAt)
		}
		b.touch(i)
		accuses = accuses || entry.bad >= 0
	}
	if accuses { // its voice is split anew over all that it accuses
		for i := range b.engines {
			if r := &s.records[i]; r.badAt > r.goodAt && now-r.badAt < ConfirmedFailureLifetime {
				b.touch(i)
			}
		}
	}
	return nil
}

func (b *Table) touch(i int) {
	if !slices.Contains(b.touched, i) {
		b.touched = append(b.touched, i)
	}
}

// mostSources bounds what is kept: 512 gateways on 80 engines take 2.6 MB.
const mostSources = 512

// source finds or makes a gateway's place; nil: it is one before the process that is known, or there are too many.
func (b *Table) source(now Time, from Source) *source {
	k, ok := slices.BinarySearchFunc(b.sources, from.Name, func(s source, name string) int { return cmp.Compare(s.Name, name) })
	if !ok {
		if len(b.sources) >= mostSources {
			b.sources = slices.DeleteFunc(b.sources, func(s source) bool { return now-s.heardAt > b.use })
			if len(b.sources) >= mostSources {
				return nil
			}
			k, _ = slices.BinarySearchFunc(b.sources, from.Name, func(s source, name string) int { return cmp.Compare(s.Name, name) })
		}
		b.sources = slices.Insert(b.sources, k, source{Source: from, records: slices.Repeat([]record{empty}, len(b.engines))})
	}
	s := &b.sources[k]
	switch {
	case s.Incarnation > from.Incarnation:
		return nil
	case s.Incarnation < from.Incarnation: // another process: its clock is another's, and what the one before saw it didn't
		s.Incarnation, s.heard = from.Incarnation, 0
		for i := range s.records {
			s.records[i] = empty
		}
	}
	return s
}

// late is how much longer than the fastest a message of this gateway was under way. The two clocks may run a twentieth off, each
// its way, so what was fastest counts for a tenth of the time since then less: no more, as after a stop of this process or of
// the network's what comes first is what is oldest.
func (s *source) late(now Time, sent uint32) Time {
	const drift = 10
	apart := Time(int32(uint32(now) - sent)) // both clocks are cut to 32 bits; what counts is how it changes
	if s.least = min(apart, s.least+max(0, now-s.heardAt)/drift); s.heard == 0 {
		s.least = apart
	}
	s.heardAt = max(s.heardAt, now)
	if agesNothing { // a defect planted by the laboratory
		return 0
	}
	return apart - s.least
}

// VisitChangedFindings calls f for each engine of which what was heard has changed what is found; what f is handed is the book's. What no
// longer counts is told first, so that at no time more is out by hearsay than may be.
func (b *Table) VisitChangedFindings(now Time, f func(*Finding)) {
	if len(b.touched) == 0 {
		return
	}
	for _, i := range b.touched {
		b.engines[i].found = b.find(now, i)
	}
	b.touched = b.touched[:0]
	for _, less := range []bool{true, false} {
		for i := range b.engines {
			e := &b.engines[i]
			found := e.found
			if found.FailureScore > 0 && (now >= found.ScoreUntil || !b.mayOut(now, i)) {
				found.FailureScore, found.ScoreUntil = 0, 0
			}
			if e.listed && found != e.gave && (found.FailureScore < e.gave.FailureScore) == less {
				e.gave = found
				f(&e.gave)
			}
		}
	}
}

// find weighs what is known of an engine. A failure counts while nobody, this gateway included, has had an answer from there
// since, and it counts once for each gateway that tells of it, however many it saw.
func (b *Table) find(now Time, i int) Finding {
	e := &b.engines[i]
	out := Finding{Engine: e.Engine, Since: e.Since, Report: admission.NoReport, ReportAt: never}
	good, bad := e.own.goodAt, never
	for k := range b.sources {
		r := &b.sources[k].records[i]
		good, bad = max(good, r.goodAt), max(bad, r.badAt)
		if r.reportAt > out.ReportAt && now-r.reportAt < ReportLifetime {
			out.Report, out.ReportAt = r.report, min(now, r.reportAt)
		}
	}
	for k := range b.sources {
		r := &b.sources[k].records[i]
		if r.badAt > good && now-r.badAt < ConfirmedFailureLifetime && now-bad < b.use {
			out.FailureScore += 1 / float64(b.accuses(now, func(i int) *record { return &b.sources[k].records[i] }))
			out.Witnesses++
			out.ScoreUntil = bad + b.use
		}
	}
	if own := &e.own; out.Witnesses > 0 && own.badAt > good && now-own.badAt < ConfirmedFailureLifetime { // beside others' word its own counts as much
		out.FailureScore += 1 / float64(b.accuses(now, func(i int) *record { return &b.engines[i].own }))
		out.Witnesses++
	}
	return out
}

// accuses is how many engines a gateway has found failing and not well since: its one voice is split over them, since one that
// accuses many is likelier itself at fault, or its network.
func (b *Table) accuses(now Time, of func(i int) *record) (n int) {
	for i := range b.engines {
		if r := of(i); b.engines[i].listed && r.badAt > r.goodAt && now-r.badAt < ConfirmedFailureLifetime {
			n++
		}
	}
	return max(1, n)
}

// mayOut tells whether an engine is among the few against which most is said: hearsay takes out a part of the fleet at most.
func (b *Table) mayOut(now Time, i int) bool {
	listed, before, own := 0, 0, b.engines[i].found.FailureScore
	for k := range b.engines {
		if e := &b.engines[k]; e.listed {
			listed++
			if a := e.found.FailureScore; k != i && now < e.found.ScoreUntil && (a > own || a == own && k < i) {
				before++
			}
		}
	}
	return before < max(1, int(b.share*float64(listed)))
}

// EngineStatus is one line of a status: what is known of an engine.
type EngineStatus struct {
	Engine                admission.EngineID
	AnswerAge, FailureAge Time // ages of what this gateway saw itself; below 0: not lately
	LastFailure           admission.Observation
	Finding               Finding
	ReportAge             Time
	PeerFailures          []admission.Observation // how it last failed for those that say so
}

// Status is what is known of all engines of the own list, by name.
func (b *Table) Status(now Time) (out []EngineStatus) {
	age := func(at Time) Time {
		if now-at > 10*OutcomeLifetime {
			return -1
		}
		return now - at
	}
	for i := range b.engines {
		if e := &b.engines[i]; e.listed {
			f := e.gave
			if now >= f.ScoreUntil {
				f.FailureScore, f.Witnesses = 0, 0
			}
			l := EngineStatus{Engine: e.Engine, AnswerAge: age(e.own.goodAt), FailureAge: age(e.own.badAt), LastFailure: e.own.bad, Finding: f, ReportAge: age(f.ReportAt)}
			for k := range b.sources {
				if r := &b.sources[k].records[i]; now-r.badAt < ConfirmedFailureLifetime && r.badAt > r.goodAt {
					l.PeerFailures = append(l.PeerFailures, r.bad)
				}
			}
			out = append(out, l)
		}
	}
	slices.SortFunc(out, func(a, b EngineStatus) int { return cmp.Compare(a.Engine, b.Engine) })
	return out
}
