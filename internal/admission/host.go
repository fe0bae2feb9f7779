package admission

// Host is what the decisions act on. It is handed over once, at start; every call takes effect at the
// time of the event that is being handled.
type Host interface {
	// Send sends a request to an engine; it ends unanswered after timeout, and at the deadline at the latest. From sendBy on
	// (0: no limit) it must not be sent any more: it ends as moot then.
	Send(request RequestID, engine EngineID, timeout, sendBy Time)
	// Cancel calls off the n-th attempt of a request.
	Cancel(request RequestID, n int)
	// Reject is a final answer: trying again is harmless, best after retryAfter (0: no advice).
	Reject(request RequestID, retryAfter Time)
	// Fail is a final answer that promises nothing.
	Fail(request RequestID)
	// Terms names memory (MB, 0: the engine chooses) and rank (0 to 3) of a request's attempts.
	Terms(request RequestID, memory float64, rank int)
	// Probe asks an engine for its report.
	Probe(engine EngineID)
	// Subscribe asks for the changes of the engine list from now on.
	Subscribe()
	// Tell hands on to peers what this router saw of an engine itself, and the bytes that may be told more from now on.
	Tell(engine EngineID, saw Sight, report Report, room float64)
	// ColdRoom tells whether a part of what an engine that has just started may be sent in the time after which it tips over is this
	// router's to send next, where all share that by messages.
	ColdRoom(engine EngineID, part float64) (room, shared bool)
	// Wake asks for a call of Due at a time.
	Wake(at Time)
	// Say adds a line to the router's log.
	Say(text string)
}

// Gate is what an operator's classes allow; it is asked only about requests that have a class.
type Gate interface {
	// Open tells whether one more request of a class, of so many threads, may go out now.
	Open(now Time, class int, threads float64) bool
	// Pool is the number of the class's pool; 0: all engines.
	Pool(class int) int
	// In tells whether an engine belongs to a pool.
	In(pool int, engine *Listing) bool
}
