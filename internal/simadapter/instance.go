package simadapter

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/healthreport"
)

// instance runs one controller and is its admission.Host: it appends the controller's actions to the adapter's reply.
type instance struct {
	adapter    *adapter
	id         int
	classCount int
	controller *admission.Controller // nil after the instance was retired or has panicked
	reports    *healthreport.Table   // health reports exchanged with other instances; nil if instances exchange none
}

// exchangeReports passes other instances' reports to the controller, and broadcasts this instance's own report if one is due.
func (i *instance) exchangeReports(now admission.Time) {
	if i.reports == nil || i.controller == nil {
		return
	}
	i.reports.VisitChangedFindings(now, func(finding *admission.PeerReport) { i.controller.HandlePeerReport(now, finding) })
	if message := i.reports.NextMessage(now); message != nil {
		i.beginAction("broadcast_to").text("all").text(hex.EncodeToString(message)).end()
	}
}

// recoverPanic calls decide. If decide panics, recoverPanic ends the instance and reports the panic to the simulator; the
// process and the other instances continue.
func (i *instance) recoverPanic(decide func()) {
	defer func() {
		if cause := recover(); cause != nil {
			i.controller = nil
			i.beginAction("die").text(strings.Join(strings.Fields(fmt.Sprint(cause)), " ")).end()
		}
	}()
	decide()
}

// actionWriter appends the fields of one action to the reply.
type actionWriter struct{ adapter *adapter }

func (i *instance) beginAction(name string) actionWriter {
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

// The following methods implement admission.Host. Most of them write one action.

// SendAttempt starts an attempt of a request on an engine.
func (i *instance) SendAttempt(request admission.RequestID, engine admission.EngineID, timeout, _ admission.Time) {
	i.beginAction("relay").text(string(request)).text(string(engine)).timestamp(timeout).end()
}

// CancelAttempt cancels an attempt whose answer is no longer needed.
func (i *instance) CancelAttempt(request admission.RequestID, attempt int) {
	i.beginAction("abandon").text(string(request)).number(int64(attempt)).end()
}

// RejectRequest rejects a request; the client may retry after retryAfter.
func (i *instance) RejectRequest(request admission.RequestID, retryAfter admission.Time) {
	i.beginAction("decline").text(string(request)).timestamp(retryAfter).end()
}

// FailRequest ends a request without a result. The request may have run.
func (i *instance) FailRequest(request admission.RequestID) {
	i.beginAction("surrender").text(string(request)).end()
}

// SetAttemptOptions sets the memory grant in megabytes and the priority rank of a request's attempts.
func (i *instance) SetAttemptOptions(request admission.RequestID, memory float64, rank int) {
	i.beginAction("grant_and_rank").text(string(request)).number(int64(memory)).number(int64(rank)).end()
}

// ProbeEngine requests a health check of an engine.
func (i *instance) ProbeEngine(engine admission.EngineID) {
	i.beginAction("health_check").text(string(engine)).end()
}

// SubscribeEndpoints requests the endpoint list and its updates.
func (i *instance) SubscribeEndpoints() { i.beginAction("keep_informed").number(1).end() }

// HasSlowStartCapacity returns false as its second result: instances don't divide the capacity of engines that are warming up
// by messages.
func (i *instance) HasSlowStartCapacity(admission.EngineID, float64) (capacity, shared bool) {
	return false, false
}

// ReportObservation records what the controller observed of an engine, for the report to other instances.
func (i *instance) ReportObservation(engine admission.EngineID, observed admission.Observation, report admission.Report, byteBudget float64) {
	if i.reports != nil {
		i.reports.Observe(i.adapter.now, engine, observed, report, byteBudget)
	}
}

// ScheduleTick requests a timer event at the given time.
func (i *instance) ScheduleTick(at admission.Time) {
	i.beginAction("sleep").text("tick").timestamp(at).end()
}

// LogEvent adds a line to the simulator's log.
func (i *instance) LogEvent(text string) { i.beginAction("emit").text(text).end() }
