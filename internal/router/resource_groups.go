package router

import "magpiebank/internal/admission"

// ResourceGroups applies an operator's rules: it puts requests into classes, limits what runs of each class at a time,
// and estimates costs. The owner calls all methods but BeginWrite and EndWrite, which the goroutine that writes an attempt
// calls, and NewStatementReader, which the acceptor calls. Package workload implements it.
type ResourceGroups interface {
	admission.Policy
	// HandleEndpoints takes in an update of the engine list.
	HandleEndpoints(now admission.Time, kind admission.UpdateKind, endpoints []admission.Endpoint)
	// Tick is called by the owner's timer.
	Tick(now admission.Time)
	// Classify estimates the request whose statement reader has read, and puts it into a class. A refusal that isn't empty is
	// the client's final answer. If crowded, the request is rejected, because too many of its class wait, or because it is
	// not known now which rules are in force.
	Classify(now admission.Time, reader StatementReader) (estimate admission.Estimate, crowded bool, refusal string)
	// RecordAttempt charges an attempt that runs on a number of threads. The charge is handed back to RecordAttemptEnd. A
	// policy revision other than 0 names the rules that allowed the attempt.
	RecordAttempt(estimate admission.Estimate, threads float64) (charged float64, policyRevision uint64)
	// RecordAttemptEnd takes in the end of an attempt, the work it took, 0 if that isn't known, and whether its request
	// waits again.
	RecordAttemptEnd(estimate admission.Estimate, threads, charged float64, work admission.Time, waits bool)
	// RecordQueueExit takes in that a waiting request got its final answer.
	RecordQueueExit(estimate admission.Estimate)
	// BeginWrite tells, right before an attempt is written, whether the rules that allowed it are still in force. If they are,
	// EndWrite follows once it is written.
	BeginWrite(policyRevision uint64, request admission.RequestID) bool
	EndWrite(policyRevision uint64, request admission.RequestID)
	// ClassName returns the name of a class of the operator's.
	ClassName(class int) string
	// NewStatementReader returns a reader for one session.
	NewStatementReader() StatementReader
}

// StatementReader reads the statements of one client session, one after the other. It is the session's.
type StatementReader interface {
	// ReadStatement reads the statement of a request that is about to be handed in.
	ReadStatement(sql []byte, class, tables int)
	// RecordCost takes in the work that the statement read last took, and the memory in MB; 0: not known.
	RecordCost(work admission.Time, memoryMB float64)
}
