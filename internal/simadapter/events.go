package simadapter

import (
	"encoding/hex"
	"strconv"
	"strings"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/healthreport"
)

// controllerCall passes one decoded event to a controller.
type controllerCall func(controller *admission.Controller)

// eventDecoder decodes the fields of an event. The instance is nil if the message names none that was booted. The result is nil
// if the event requires no call of the controller, and is not used if a field is malformed.
type eventDecoder func(a *adapter, i *instance) controllerCall

var eventDecoders = map[string]eventDecoder{
	"retire":           decodeRetire,
	"members":          decodeEndpointUpdate,
	"arrival":          decodeArrival,
	"accepted":         decodeAccepted,
	"response":         decodeResponse,
	"timed_out_client": decodeDisconnect,
	"due":              decodeTimer,
	"health":           decodeHealthCheck,
	"neighbour_says":   decodeHealthReport,
	"interim":          decodeNotice,
}

// handleEvent decodes an event and passes it to its controller. It reads all fields before it calls the controller, so that a
// malformed message has no effect.
func (a *adapter) handleEvent() {
	decode := eventDecoders[a.fields.message]
	if decode == nil {
		a.fields.fail("name", "a known message")
		return
	}
	i := a.readInstance()
	call := decode(a, i)
	if a.fields.err != nil || call == nil || i.controller == nil {
		return
	}
	i.recoverPanic(func() {
		call(i.controller)
		i.exchangeReports(a.now)
	})
}

// readInstance reads the instance that a message is addressed to. It returns nil and records an error if there is none.
func (a *adapter) readInstance() *instance {
	i := a.instances[int(a.fields.integer("routerId"))]
	if i == nil && a.fields.err == nil {
		a.fields.fail("routerId", "an instance that was booted")
	}
	return i
}

func decodeRetire(_ *adapter, i *instance) controllerCall {
	return func(*admission.Controller) { i.controller = nil }
}

// updateKindLetters contains the letter for each kind of update of an endpoint list, in the order of admission.UpdateKind.
const updateKindLetters = "DFCX"

func decodeEndpointUpdate(a *adapter, i *instance) controllerCall {
	f, now := &a.fields, a.now
	letter := (f.text("form") + " ")[0]
	kind := strings.IndexByte(updateKindLetters, letter)
	f.integer("rev")
	number := f.integer("sheet")
	if kind < 0 {
		f.fail("form", "D, F, C or X")
		return nil
	}
	if !validListNumber(number) {
		f.fail("sheet", listNumberRange)
		return nil
	}
	list := a.endpoints.lists[number]
	if admission.UpdateKind(kind) == admission.FailedPoll {
		list = nil
	}
	return func(controller *admission.Controller) {
		if i.reports != nil {
			i.reports.UpdateEngines(admission.UpdateKind(kind), list)
		}
		controller.UpdateEndpoints(now, admission.UpdateKind(kind), list)
	}
}

// workKnownFlag is the bit in the options of an arrival that marks its estimate of work as valid.
const workKnownFlag = 1

func decodeArrival(a *adapter, i *instance) controllerCall {
	f, now := &a.fields, a.now
	id, deadline, tables := admission.RequestID(f.id("handle")), f.timestamp("validUntilUs"), int(f.number("tables"))
	work, class, tenant := f.timestamp("estimateUs"), int(f.integer("profile")), int(f.integer("realm"))
	key := strings.Clone(f.optional("object"))
	options := f.integer("options")
	memory := f.number("footprintMb")
	if i != nil && (class < 0 || class >= i.classCount) {
		f.fail("profile", "a class of the settings")
	}
	if options&workKnownFlag == 0 {
		work = 0
	}
	return func(controller *admission.Controller) {
		controller.HandleRequest(now, admission.Request{ID: id, Deadline: deadline, Class: class, Tenant: tenant, Key: key,
			TableGroup: tables, Estimate: admission.Estimate{Work: work, Memory: memory}})
	}
}

// decodeAccepted skips the fields of a message that an answer has begun. The controller doesn't need it: if the answer breaks
// off, a response event reports it as finished.
func decodeAccepted(a *adapter, _ *instance) controllerCall {
	f := &a.fields
	f.text("handle")
	f.integer("n")
	f.text("engine")
	f.integer("rttUs")
	return nil
}

// The simulator packs what a request has used into one number: milliseconds of work times memoryRange, plus units of memory.
const (
	memoryRange      = 4096
	megabytesPerUnit = 4
)

func decodeResponse(a *adapter, _ *instance) controllerCall {
	f, now := &a.fields, a.now
	id, outcome, used := admission.RequestID(f.text("handle")), f.outcome("disposition"), f.integer("usedUp")
	f.integer("rttUs")
	f.integer("n")
	finished := f.integer("finished") != 0
	f.text("engine")
	report := f.loadReport("serverStats")
	work, memory := admission.Time(used/memoryRange)*admission.Millisecond, float64(used%memoryRange)*megabytesPerUnit
	return func(controller *admission.Controller) {
		controller.HandleAttemptEnd(now, admission.AttemptResult{Request: id, Outcome: outcome, Answered: finished, Work: work,
			Memory: memory, Report: report})
	}
}

func decodeDisconnect(a *adapter, _ *instance) controllerCall {
	now, id := a.now, admission.RequestID(a.fields.text("handle"))
	return func(controller *admission.Controller) { controller.HandleDisconnect(now, id) }
}

func decodeTimer(a *adapter, _ *instance) controllerCall {
	now := a.now
	a.fields.text("mark")
	return func(controller *admission.Controller) { controller.Tick(now) }
}

func decodeHealthCheck(a *adapter, _ *instance) controllerCall {
	f, now := &a.fields, a.now
	engine, outcome := admission.EngineID(f.text("engine")), f.outcome("disposition")
	f.integer("rttUs")
	report := f.loadReport("serverStats")
	return func(controller *admission.Controller) { controller.HandleProbeResult(now, engine, outcome, report) }
}

// decodeHealthReport reads a health report from another instance. A payload that is not a valid report is ignored, because it comes
// from another version.
func decodeHealthReport(a *adapter, i *instance) controllerCall {
	f, now := &a.fields, a.now
	source := healthreport.Source{Name: strconv.FormatInt(f.integer("src"), 10)}
	payload, err := hex.DecodeString(f.text("payload"))
	if err != nil {
		f.fail("payload", "bytes in hex")
	}
	return func(*admission.Controller) {
		if i.reports != nil {
			_ = i.reports.HandleMessage(now, source, payload)
		}
	}
}

// The range of the simulator's codes for kinds of notices, which are in the order of admission.NoticeKind.
const (
	firstNoticeCode = 1
	lastNoticeCode  = 3
)

func decodeNotice(a *adapter, _ *instance) controllerCall {
	f, now := &a.fields, a.now
	id, attempt := admission.RequestID(f.text("handle")), int(f.integer("n"))
	f.text("engine")
	code, value := f.integer("what"), f.number("value")
	if code < firstNoticeCode || code > lastNoticeCode {
		f.fail("what", "1 to 3")
	}
	return func(controller *admission.Controller) {
		controller.HandleNotice(now, id, attempt, admission.NoticeKind(code-firstNoticeCode), value)
	}
}
