package admission

// Host is what the decisions act on. It is handed over once, at start; every call takes effect at the
// time of the event that is being handled.
type Host interface {
	// HandOff sends a task to an engine; it ends unanswered after patience, and at the cut-off at the latest. From sendBy on
	// (0: no limit) it must not be sent any more: it ends as moot then.
	HandOff(task TaskID, engine EngineID, patience, sendBy Time)
	// Cancel calls off the n-th hand-off of a task.
	Cancel(task TaskID, n int)
	// Nack is a final answer: trying again is harmless, best after comeBack (0: no advice).
	Nack(task TaskID, comeBack Time)
	// WriteOff is a final answer that promises nothing.
	WriteOff(task TaskID)
	// Terms names memory (MB, 0: the engine chooses) and rank (0 to 3) of a task's hand-offs.
	Terms(task TaskID, memory float64, rank int)
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

// Gate is what an operator's classes allow; it is asked only about tasks that have a class.
type Gate interface {
	// Open tells whether one more task of a class, of so many threads, may go out now.
	Open(now Time, class int, threads float64) bool
	// Pool is the number of the class's pool; 0: all engines.
	Pool(class int) int
	// In tells whether an engine belongs to a pool.
	In(pool int, engine *Listing) bool
}
