package admission

// Host carries out the Controller's decisions. New receives it once; every call takes effect at the time of the event that the
// Controller is handling. A Host must not call the Controller from within these methods.
type Host interface {
	// SendAttempt sends a request to an engine. An attempt without an answer ends after timeout, and at the request's deadline at
	// the latest. If the host can't send it before sendBy (0: no limit), it must not send it at all; the attempt then ends as Unsent.
	SendAttempt(request RequestID, engine EngineID, timeout, sendBy Time)
	// CancelAttempt cancels an attempt of a request; number is the attempt's index within the request, from 0.
	CancelAttempt(request RequestID, number int)
	// RejectRequest gives the client a final answer which states that a retry by the client is harmless, best after retryAfter
	// (0: no advice).
	RejectRequest(request RequestID, retryAfter Time)
	// FailRequest gives the client a final answer that promises nothing: the request may have run.
	FailRequest(request RequestID)
	// SetAttemptOptions sets the memory grant (MB, 0: the engine chooses) and the priority rank (0 to 3) of a request's attempts.
	SetAttemptOptions(request RequestID, memory float64, rank int)
	// ProbeEngine requests an engine's load report. The host passes the report or the failure to HandleProbeResult.
	ProbeEngine(engine EngineID)
	// SubscribeEndpoints requests all changes of the engine list from now on.
	SubscribeEndpoints()
	// ReportObservation passes to peers what this gateway itself observed of an engine. The gateway may send its peers this many
	// more bytes from now on.
	ReportObservation(engine EngineID, observed Observation, report Report, bytes float64)
	// HasSlowStartCapacity reports whether this gateway may send the next request to an engine that is warming up (has). If shared
	// is false, gateways don't divide the engine's budget by messages, and has means nothing. part is the request's share of the
	// budget, 0 to 1.
	HasSlowStartCapacity(engine EngineID, part float64) (has, shared bool)
	// ScheduleTick requests a call of Tick at the given time.
	ScheduleTick(at Time)
	// LogEvent adds a line to the gateway's log.
	LogEvent(text string)
}

// Policy applies the limits of an operator's policy. The Controller calls it only for requests that have a policy class.
type Policy interface {
	// AllowsAttempt reports whether one more request of a class, which takes the given number of threads, may be sent now.
	AllowsAttempt(now Time, class int, threads float64) bool
	// Pool returns the number of the class's pool; 0: all engines.
	Pool(class int) int
	// InPool reports whether an engine belongs to a pool.
	InPool(pool int, engine *Endpoint) bool
}
