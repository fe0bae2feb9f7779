package admission

// Host is what the decisions act on. It is handed over once, at start; every call takes effect at the
// time of the event that is being handled. A Host must not call the Controller from within these calls.
type Host interface {
	// SendAttempt sends a request to an engine. The attempt ends unanswered after timeout, and at the deadline at the latest.
	// From sendBy on (0: no limit) it must not be sent any more: it ends as Unsent then.
	SendAttempt(request RequestID, engine EngineID, timeout, sendBy Time)
	// CancelAttempt cancels an attempt of a request; number counts its attempts from 0.
	CancelAttempt(request RequestID, number int)
	// RejectRequest gives a final answer: another try by the client is harmless, best after retryAfter (0: no advice).
	RejectRequest(request RequestID, retryAfter Time)
	// FailRequest gives a final answer that promises nothing: the request may have run.
	FailRequest(request RequestID)
	// SetAttemptOptions sets the memory grant (MB, 0: the engine chooses) and the rank (0 to 3) of a request's attempts.
	SetAttemptOptions(request RequestID, memory float64, rank int)
	// ProbeEngine asks an engine for its report; HandleProbeResult is called once it came or failed.
	ProbeEngine(engine EngineID)
	// SubscribeEndpoints asks for the changes of the engine list from now on.
	SubscribeEndpoints()
	// ReportObservation hands on to peers what this gateway saw of an engine itself, and how many bytes more may be sent to
	// them from now on.
	ReportObservation(engine EngineID, saw Observation, report Report, bytes float64)
	// HasSlowStartCapacity tells whether this gateway may send the next request to an engine that is warming up, where gateways
	// share what it may be sent by messages (shared); part is the request's share of that, 0 to 1.
	HasSlowStartCapacity(engine EngineID, part float64) (has, shared bool)
	// ScheduleTick asks for a call of Tick at a time.
	ScheduleTick(at Time)
	// LogEvent adds a line to the gateway's log.
	LogEvent(text string)
}

// Policy is what an operator's policy classes allow; it is asked only about requests that have a class.
type Policy interface {
	// AllowsAttempt tells whether one more request of a class, which takes so many threads, may be sent now.
	AllowsAttempt(now Time, class int, threads float64) bool
	// Pool is the number of the class's pool; 0: all engines.
	Pool(class int) int
	// InPool tells whether an engine belongs to a pool.
	InPool(pool int, engine *Endpoint) bool
}
