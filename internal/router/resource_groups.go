package router

import "magpiebank/internal/admission"

// Desk is what an operator's rules add to a gateway: it puts requests into classes, limits what runs of each, and foresees
// costs. Its calls are the owner's; what a Reader does is its session's. Package operator has the one there is.
type ResourceGroups interface {
	admission.Policy
	HandleEndpoints(now admission.Time, form admission.UpdateKind, list []admission.Endpoint)
	Tick(now admission.Time)
	// Arrived rules on the request that a reader has read. A text in refuse is the client's final answer; crowded: it is
	// nacked, as too many of its class wait, or nobody knows now what holds for it.
	Classify(now admission.Time, r StatementReader) (f admission.Estimate, crowded bool, refuse string)
	// Sent takes in an attempt; Back its end, with the work it took (0: not told) and whether its request waits again. What
	// Sent returns is handed to Back; by, where it is not 0, names the rules that had it go out.
	RecordAttempt(f admission.Estimate, threads float64) (charged float64, by uint64)
	RecordAttemptEnd(f admission.Estimate, threads, charged float64, work admission.Time, waits bool)
	// Left takes in that a waiting request got its final answer.
	RecordDeparture(f admission.Estimate)
	// Pass tells, right before an attempt is written, whether the rules that had it go out are still gone by; Passed follows once it
	// is written. Both are called by the goroutine that writes.
	BeginWrite(by uint64, requestID admission.RequestID) bool
	EndWrite(by uint64, requestID admission.RequestID)
	ClassName(class int) string
	NewStatementReader() StatementReader
}

// Reader reads the statements of one session, one after the other.
type StatementReader interface {
	// Read reads a statement that is to be a request.
	ReadStatement(sql []byte, class, tables int)
	// Answered takes in what the statement read last has cost, and the MB it needed (0: not told).
	RecordCost(work admission.Time, memory float64)
}
