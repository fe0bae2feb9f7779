package simadapter

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/healthreport"
)

// instance is the host of one router: it writes the router's actions into the reply.
type instance struct {
	adapter *adapter
	id      int
	classes int
	router  *admission.Router   // nil once retired or failed
	reports *healthreport.Table // health reports exchanged with other instances; nil if the deployment has none
}

// exchangeReports passes what other instances reported to the router, and broadcasts the instance's own report if
// there is one to send.
func (i *instance) exchangeReports(now admission.Time) {
	if i.reports == nil || i.router == nil {
		return
	}
	i.reports.VisitChangedFindings(now, func(finding *admission.Finding) { i.router.Heard(now, finding) })
	if message := i.reports.NextMessage(now); message != nil {
		i.begin("broadcast_to").text("all").text(hex.EncodeToString(message)).end()
	}
}

// recoverPanic calls decide and ends the instance, but not the process, if it panics.
func (i *instance) recoverPanic(decide func()) {
	defer func() {
		if cause := recover(); cause != nil {
			i.router = nil
			i.begin("die").text(strings.Join(strings.Fields(fmt.Sprint(cause)), " ")).end()
		}
	}()
	decide()
}

// actionWriter appends the fields of one action to the reply.
type actionWriter struct{ adapter *adapter }

func (i *instance) begin(name string) actionWriter {
	a := i.adapter
	a.reply = append(append(a.reply, name...), '\t')
	a.reply = strconv.AppendInt(a.reply, int64(i.id), 10)
	return actionWriter{a}
}

func (w actionWriter) text(value string) actionWriter {
	w.adapter.reply = append(append(w.adapter.reply, '\t'), value...)
	return w
}

func (w actionWriter) number(value int64) actionWriter {
	w.adapter.reply = strconv.AppendInt(append(w.adapter.reply, '\t'), value, 10)
	return w
}

func (w actionWriter) timestamp(value admission.Time) actionWriter {
	return w.number(int64(value) * microsPerTick)
}

func (w actionWriter) end() { w.adapter.reply = append(w.adapter.reply, '\n') }

// The methods of admission.Host, each of which writes one action.

// Send starts an attempt of a request on an engine.
func (i *instance) Send(request admission.RequestID, engine admission.EngineID, timeout, _ admission.Time) {
	i.begin("relay").text(string(request)).text(string(engine)).timestamp(timeout).end()
}

// Cancel ends an attempt whose answer is no longer needed.
func (i *instance) Cancel(request admission.RequestID, attempt int) {
	i.begin("abandon").text(string(request)).number(int64(attempt)).end()
}

// Reject turns a request away; the client may retry after retryAfter.
func (i *instance) Reject(request admission.RequestID, retryAfter admission.Time) {
	i.begin("decline").text(string(request)).timestamp(retryAfter).end()
}

// Fail ends a request without an answer.
func (i *instance) Fail(request admission.RequestID) {
	i.begin("surrender").text(string(request)).end()
}

// Terms states the memory grant in megabytes and the priority of the attempt that is sent next.
func (i *instance) Terms(request admission.RequestID, memory float64, rank int) {
	i.begin("grant_and_rank").text(string(request)).number(int64(memory)).number(int64(rank)).end()
}

// Probe asks for a health check of an engine.
func (i *instance) Probe(engine admission.EngineID) {
	i.begin("health_check").text(string(engine)).end()
}

// Subscribe asks for the endpoint list and its updates.
func (i *instance) Subscribe() { i.begin("keep_informed").number(1).end() }

// ColdRoom reports that no quota on warming engines is shared between instances.
func (i *instance) ColdRoom(admission.EngineID, float64) (room, shared bool) { return false, false }

// Tell records what the router observed of an engine, for the reports to other instances.
func (i *instance) Tell(engine admission.EngineID, sight admission.Sight, report admission.Report, capacity float64) {
	if i.reports != nil {
		i.reports.Observe(i.adapter.now, engine, sight, report, capacity)
	}
}

// Wake asks for a timer event.
func (i *instance) Wake(at admission.Time) { i.begin("sleep").text("tick").timestamp(at).end() }

// Say writes a line of the simulator's log.
func (i *instance) Say(text string) { i.begin("emit").text(text).end() }
