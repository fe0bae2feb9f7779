package simadapter

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/healthreport"
)

// instance is the host of one controller: it writes the controller's actions into the reply.
type instance struct {
	adapter    *adapter
	id         int
	classes    int
	controller *admission.Controller // nil once retired or failed
	reports    *healthreport.Table   // health reports exchanged with other instances; nil if the deployment has none
}

// exchangeReports passes what other instances reported to the controller, and broadcasts the instance's own report if
// there is one to send.
func (i *instance) exchangeReports(now admission.Time) {
	if i.reports == nil || i.controller == nil {
		return
	}
	i.reports.VisitChangedFindings(now, func(finding *admission.PeerReport) { i.controller.HandlePeerReport(now, finding) })
	if message := i.reports.NextMessage(now); message != nil {
		i.begin("broadcast_to").text("all").text(hex.EncodeToString(message)).end()
	}
}

// recoverPanic calls decide and ends the instance, but not the process, if it panics.
func (i *instance) recoverPanic(decide func()) {
	defer func() {
		if cause := recover(); cause != nil {
			i.controller = nil
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

// SendAttempt starts an attempt of a request on an engine.
func (i *instance) SendAttempt(request admission.RequestID, engine admission.EngineID, timeout, _ admission.Time) {
	i.begin("relay").text(string(request)).text(string(engine)).timestamp(timeout).end()
}

// CancelAttempt ends an attempt whose answer is no longer needed.
func (i *instance) CancelAttempt(request admission.RequestID, attempt int) {
	i.begin("abandon").text(string(request)).number(int64(attempt)).end()
}

// RejectRequest turns a request away; the client may retry after retryAfter.
func (i *instance) RejectRequest(request admission.RequestID, retryAfter admission.Time) {
	i.begin("decline").text(string(request)).timestamp(retryAfter).end()
}

// FailRequest ends a request without an answer.
func (i *instance) FailRequest(request admission.RequestID) {
	i.begin("surrender").text(string(request)).end()
}

// SetAttemptOptions states the memory grant in megabytes and the priority of the attempt that is sent next.
func (i *instance) SetAttemptOptions(request admission.RequestID, memory float64, rank int) {
	i.begin("grant_and_rank").text(string(request)).number(int64(memory)).number(int64(rank)).end()
}

// ProbeEngine asks for a health check of an engine.
func (i *instance) ProbeEngine(engine admission.EngineID) {
	i.begin("health_check").text(string(engine)).end()
}

// SubscribeEndpoints asks for the endpoint list and its updates.
func (i *instance) SubscribeEndpoints() { i.begin("keep_informed").number(1).end() }

// HasSlowStartCapacity reports that no quota on warming engines is shared between instances.
func (i *instance) HasSlowStartCapacity(admission.EngineID, float64) (capacity, shared bool) {
	return false, false
}

// ReportObservation records what the controller observed of an engine, for the reports to other instances.
func (i *instance) ReportObservation(engine admission.EngineID, sight admission.Observation, report admission.Report, capacity float64) {
	if i.reports != nil {
		i.reports.Observe(i.adapter.now, engine, sight, report, capacity)
	}
}

// ScheduleTick asks for a timer event.
func (i *instance) ScheduleTick(at admission.Time) { i.begin("sleep").text("tick").timestamp(at).end() }

// LogEvent writes a line of the simulator's log.
func (i *instance) LogEvent(text string) { i.begin("emit").text(text).end() }
