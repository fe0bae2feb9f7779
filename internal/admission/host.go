package admission

// Host is what the decisions act on. It is handed over once, at start; every call takes effect at the
// time of the event that is being handled.
type Host interface {
	// SendAttempt sends a request to an engine; it ends unanswered after timeout, and at the deadline at the latest. From sendBy on
	// (0: no limit) it must not be sent any more: it ends as moot then.
	SendAttempt(request RequestID, engine EngineID, timeout, sendBy Time)
	// CancelAttempt calls off the n-th attempt of a request.
	CancelAttempt(request RequestID, n int)
	// RejectRequest is a final answer: trying again is harmless, best after retryAfter (0: no advice).
	RejectRequest(request RequestID, retryAfter Time)
	// FailRequest is a final answer that promises nothing.
	FailRequest(request RequestID)
	// SetAttemptTerms names memory (MB, 0: the engine chooses) and rank (0 to 3) of a request's attempts.
	SetAttemptTerms(request RequestID, memory float64, rank int)
	// ProbeEngine asks an engine for its report.
	ProbeEngine(engine EngineID)
	// SubscribeEndpoints asks for the changes of the engine list from now on.
	SubscribeEndpoints()
	// ReportObservation hands on to peers what this router saw of an engine itself, and the bytes that may be told more from now on.
	ReportObservation(engine EngineID, saw Observation, report Report, room float64)
	// HasSlowStartCapacity tells whether a part of what an engine that has just started may be sent in the time after which it tips over is this
	// router's to send next, where all share that by messages.
	HasSlowStartCapacity(engine EngineID, part float64) (room, shared bool)
	// ScheduleTick asks for a call of Due at a time.
	ScheduleTick(at Time)
	// LogEvent adds a line to the router's log.
	LogEvent(text string)
}

// Policy is what an operator's classes allow; it is asked only about requests that have a class.
type Policy interface {
	// AllowsAttempt tells whether one more request of a class, of so many threads, may go out now.
	AllowsAttempt(now Time, class int, threads float64) bool
	// Pool is the number of the class's pool; 0: all engines.
	Pool(class int) int
	// InPool tells whether an engine belongs to a pool.
	InPool(pool int, engine *Endpoint) bool
}
