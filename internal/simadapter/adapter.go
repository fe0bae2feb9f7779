// Package simadapter connects the decisions to the bench's wire: it reads batches of events, hands each
// decoded field to the router it is for, and prints what the routers do.
package simadapter

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"io"
	"strconv"
	"strings"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/healthreport"
	"magpiebank/internal/config"
	"magpiebank/internal/jsonvalue"
)

// tenth is the project's unit of time in the wire's microseconds.
const tenth = 100

// Serve reads batches from in until it ends and answers each on out.
func Serve(in io.Reader, out io.Writer) error {
	w := &wire{in: bufio.NewReaderSize(in, 1<<16), routers: map[int]*instance{}}
	for {
		line, err := w.in.ReadString('\n')
		if err == io.EOF && line == "" {
			return nil
		}
		if err != nil && err != io.EOF {
			return err
		}
		w.line++
		w.message(strings.TrimRight(line, "\r\n"))
		if w.err != nil {
			return w.err
		}
		if w.flushed {
			w.flushed = false
			if _, err := out.Write(w.reply); err != nil {
				return err
			}
			w.reply = w.reply[:0]
		}
	}
}

type wire struct {
	in      *bufio.Reader
	line    int
	name    string // of the message in hand
	rest    string // its fields not read yet
	more    bool
	err     error
	now     admission.Time
	seq     string
	flushed bool
	reply   []byte
	routers map[int]*instance
	lists   [16][]admission.Listing
	pending int // entries still to come for list open
	open    int
}

// instance is the host of one router.
type instance struct {
	w      *wire
	id     int
	lanes  int
	router *admission.Router   // nil once retired or failed
	book   *healthreport.Table // what peers tell of engines; nil: they may not
}

func (w *wire) fail(field, want string) {
	if w.err == nil {
		w.err = fmt.Errorf("line %d: %s: field %s: expected %s", w.line, w.name, field, want)
	}
}

func (w *wire) text(field string) string {
	if !w.more {
		w.fail(field, "a value, found the end of the line")
		return ""
	}
	var v string
	v, w.rest, w.more = strings.Cut(w.rest, "\t")
	if v == "" {
		w.fail(field, "a value")
	}
	return v
}

// opt is text with - for an absent value.
func (w *wire) opt(field string) string {
	if v := w.text(field); v != "-" {
		return v
	}
	return ""
}

func (w *wire) num(field string) int64 {
	v := w.opt(field)
	if v == "" {
		return 0
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		w.fail(field, "a whole number")
	}
	return n
}

func (w *wire) real(field string) float64 {
	v := w.opt(field)
	if v == "" {
		return 0
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || f != f {
		w.fail(field, "a number")
	}
	return f
}

// micros reads a time, rounded down.
func (w *wire) micros(field string) admission.Time { return admission.Time(w.num(field) / tenth) }

func (w *wire) id(field string) string {
	v := w.opt(field)
	if v == "" {
		w.fail(field, "an id")
	}
	return strings.Clone(v)
}

func (w *wire) outcome(field string) admission.Outcome {
	n := w.num(field)
	if n == 0 {
		return admission.Served
	}
	if n < 249 || n > 255 {
		w.fail(field, "0 or 249 to 255")
		return admission.Errored
	}
	return [...]admission.Outcome{admission.Moot, admission.Cancelled, admission.Reset, admission.Unreachable,
		admission.TimedOut, admission.Full, admission.Errored}[n-249]
}

func (w *wire) report(field string) admission.Report {
	r, ok := config.Report(w.opt(field), ",")
	if !ok {
		w.fail(field, "name:value pairs set apart by commas")
	}
	return r
}

// instance reads which router a message is for.
func (w *wire) instance() *instance {
	n := int(w.num("routerId"))
	i := w.routers[n]
	if i == nil && w.err == nil {
		w.fail("routerId", "an instance that was booted")
	}
	return i
}

func (w *wire) message(line string) {
	w.name, w.rest, w.more = strings.Cut(line, "\t")
	if w.pending > 0 && w.name != "entry" {
		w.fail("entries", strconv.Itoa(w.pending)+" more entry lines")
		return
	}
	switch w.name {
	case "clock":
		w.now = w.micros("tUs")
		w.seq = w.text("seq")
	case "flush":
		w.reply = append(append(append(w.reply, "ready\t"...), w.seq...), '\n')
		w.flushed = true
	case "directory":
		sheet, count := w.num("sheet"), w.num("membersList")
		if sheet < 0 || sheet > 15 {
			w.fail("sheet", "0 to 15")
		} else if count < 0 {
			w.fail("membersList", "a count")
		} else {
			w.open, w.pending = int(sheet), int(count)
			w.lists[sheet] = nil
		}
	case "entry":
		w.entry()
	case "boot":
		w.boot()
	default:
		w.event()
	}
}

func (w *wire) entry() {
	if w.pending == 0 {
		w.fail("engine", "no entry outside a directory")
		return
	}
	w.pending--
	l := admission.Listing{Engine: admission.EngineID(w.id("engine")), Zone: int(w.num("area")),
		Kind: int(w.num("hw")), Group: int(w.num("group"))}
	switch w.text("health") {
	case "live":
		l.State = admission.Live
	case "quiescing":
		l.State = admission.Draining
	case "dead":
		l.State = admission.Gone
	default:
		w.fail("health", "live, quiescing or dead")
	}
	w.real("capacityHint")
	l.Since = w.micros("onlineSinceUs")
	w.lists[w.open] = append(w.lists[w.open], l)
}

func (w *wire) boot() {
	n, seed := int(w.num("routerId")), w.num("entropy")
	if !w.more {
		w.fail("info", "a JSON object")
	}
	if w.err != nil {
		return
	}
	info, err := jsonvalue.Parse("info", []byte(w.rest))
	var d *admission.Deployment
	if err == nil {
		d, err = config.Read(info)
	}
	if err != nil {
		w.err = fmt.Errorf("line %d: boot: %w", w.line, err)
		return
	}
	i := &instance{w: w, id: n, lanes: len(d.Classes)}
	w.routers[n] = i
	if d.Peers && d.Gateways > 1 {
		i.book = healthreport.New(d.Gateways-1, healthreport.MaxEjectedShare(d, len(info.Texts("zones"))),
			float64(d.Me)/float64(d.Gateways))
	}
	i.guard(func() { i.router = admission.New(w.now, seed, d, i) })
}

// event reads one of the messages that tell a router what happened. All fields are read, and the line
// found well formed, before the router hears of it.
func (w *wire) event() {
	var call func(r *admission.Router)
	now := w.now
	switch w.name {
	case "retire", "members", "arrival", "accepted", "response", "timed_out_client", "due", "health",
		"neighbour_says", "interim":
	default:
		w.fail("name", "a known message")
		return
	}
	i := w.instance()
	switch w.name {
	case "retire":
		call = func(*admission.Router) { i.router = nil }
	case "members":
		form := strings.IndexByte("DFCX", (w.text("form") + " ")[0])
		w.num("rev")
		sheet := w.num("sheet")
		if form < 0 {
			w.fail("form", "D, F, C or X")
		} else if sheet < 0 || sheet > 15 {
			w.fail("sheet", "0 to 15")
		} else {
			list := w.lists[sheet]
			if admission.Form(form) == admission.NoAnswer {
				list = nil
			}
			call = func(r *admission.Router) {
				if i.book != nil {
					i.book.UpdateEngines(admission.Form(form), list)
				}
				r.Listed(now, admission.Form(form), list)
			}
		}
	case "arrival":
		id, cutoff, tables := admission.RequestID(w.id("handle")), w.micros("validUntilUs"), int(w.real("tables"))
		work, lane, tenant := w.micros("estimateUs"), int(w.num("profile")), int(w.num("realm"))
		key := strings.Clone(w.opt("object"))
		options := w.num("options")
		memory := w.real("footprintMb")
		if i != nil && (lane < 0 || lane >= i.lanes) {
			w.fail("profile", "a class of the settings")
		}
		if options&1 == 0 {
			work = 0
		}
		call = func(r *admission.Router) {
			r.Arrived(now, id, cutoff, lane, tenant, key, tables, admission.Foreseen{Work: work, Memory: memory})
		}
	case "accepted":
		// A stream that broke comes back finished, so its start asks for no decision.
		w.text("handle")
		w.num("n")
		w.text("engine")
		w.num("rttUs")
	case "response":
		id, how, cost := admission.RequestID(w.text("handle")), w.outcome("disposition"), w.num("usedUp")
		w.num("rttUs")
		w.num("n")
		over := w.num("finished") != 0
		w.text("engine")
		report := w.report("serverStats")
		work, memory := admission.Time(cost/4096)*admission.Millisecond, float64(cost%4096)*4
		call = func(r *admission.Router) { r.Ended(now, id, how, over, work, memory, report) }
	case "timed_out_client":
		id := admission.RequestID(w.text("handle"))
		call = func(r *admission.Router) { r.ClientGone(now, id) }
	case "due":
		w.text("mark")
		call = func(r *admission.Router) { r.Due(now) }
	case "health":
		engine, how := admission.EngineID(w.text("engine")), w.outcome("disposition")
		w.num("rttUs")
		report := w.report("serverStats")
		call = func(r *admission.Router) { r.Probed(now, engine, how, report) }
	case "neighbour_says":
		from := healthreport.Source{Name: strconv.FormatInt(w.num("src"), 10)}
		payload, err := hex.DecodeString(w.text("payload"))
		if err != nil {
			w.fail("payload", "bytes in hex")
		}
		call = func(*admission.Router) {
			if i.book != nil {
				i.book.HandleMessage(now, from, payload) // what can't be read is another version's, and counts as not heard
			}
		}
	case "interim":
		id, n := admission.RequestID(w.text("handle")), int(w.num("n"))
		w.text("engine")
		what, value := w.num("what"), w.real("value")
		if what < 1 || what > 3 {
			w.fail("what", "1 to 3")
		}
		call = func(r *admission.Router) { r.Noted(now, id, n, admission.News(what-1), value) }
	}
	if w.err == nil && call != nil && i.router != nil {
		i.guard(func() { call(i.router); i.converse(now) })
	}
}

// converse hands what peers told to the router, and tells them what is worth it.
func (i *instance) converse(now admission.Time) {
	if i.book == nil || i.router == nil {
		return
	}
	i.book.VisitChangedFindings(now, func(f *admission.Finding) { i.router.Heard(now, f) })
	if m := i.book.NextMessage(now); m != nil {
		i.act("broadcast_to").text("all").text(hex.EncodeToString(m)).end()
	}
}

// guard turns a panic in a router's decisions into its own end.
func (i *instance) guard(f func()) {
	defer func() {
		if p := recover(); p != nil {
			i.router = nil
			i.act("die").text(strings.Join(strings.Fields(fmt.Sprint(p)), " ")).end()
		}
	}()
	f()
}

// action is a line of the reply in the making.
type action struct{ w *wire }

func (i *instance) act(name string) action {
	i.w.reply = append(append(i.w.reply, name...), '\t')
	i.w.reply = strconv.AppendInt(i.w.reply, int64(i.id), 10)
	return action{i.w}
}

func (a action) text(s string) action {
	a.w.reply = append(append(a.w.reply, '\t'), s...)
	return a
}

func (a action) num(n int64) action {
	a.w.reply = strconv.AppendInt(append(a.w.reply, '\t'), n, 10)
	return a
}

func (a action) end() { a.w.reply = append(a.w.reply, '\n') }

func (i *instance) Send(t admission.RequestID, e admission.EngineID, patience, _ admission.Time) {
	i.act("relay").text(string(t)).text(string(e)).num(int64(patience) * tenth).end()
}
func (i *instance) Cancel(t admission.RequestID, n int) {
	i.act("abandon").text(string(t)).num(int64(n)).end()
}
func (i *instance) Reject(t admission.RequestID, comeBack admission.Time) {
	i.act("decline").text(string(t)).num(int64(comeBack) * tenth).end()
}
func (i *instance) Fail(t admission.RequestID) { i.act("surrender").text(string(t)).end() }
func (i *instance) Terms(t admission.RequestID, memory float64, rank int) {
	i.act("grant_and_rank").text(string(t)).num(int64(memory)).num(int64(rank)).end()
}
func (i *instance) Probe(e admission.EngineID)                               { i.act("health_check").text(string(e)).end() }
func (i *instance) Subscribe()                                               { i.act("keep_informed").num(1).end() }
func (i *instance) ColdRoom(admission.EngineID, float64) (room, shared bool) { return false, false }
func (i *instance) Tell(e admission.EngineID, saw admission.Sight, report admission.Report, room float64) {
	if i.book != nil {
		i.book.Observe(i.w.now, e, saw, report, room)
	}
}
func (i *instance) Wake(at admission.Time) { i.act("sleep").text("tick").num(int64(at) * tenth).end() }
func (i *instance) Say(text string)        { i.act("emit").text(text).end() }
