package router

import "magpiebank/internal/admission"

// ResourceGroups applies an operator's rules: it assigns requests to classes, limits how much of each class runs at the same
// time, and estimates costs. The goroutine that writes an attempt calls BeginWrite and EndWrite, the acceptor calls
// NewStatementReader, and the owner calls all other methods. Package workload implements ResourceGroups.
type ResourceGroups interface {
	admission.Policy
	// HandleEndpoints handles an update of the engine list.
	HandleEndpoints(now admission.Time, kind admission.UpdateKind, endpoints []admission.Endpoint)
	// Tick is called when the owner's timer expires.
	Tick(now admission.Time)
	// Classify estimates the cost of the request whose statement the reader has read last, and assigns the request to a class.
	// A rejectText that isn't empty is the client's final answer. If overCapacity is true, the request is rejected, because
	// too many requests of its class wait, or because it is currently unknown which rules are in force.
	Classify(now admission.Time, reader StatementReader) (estimate admission.Estimate, overCapacity bool, rejectText string)
	// RecordAttempt charges an attempt that runs on the given number of threads. The caller passes the returned charge to
	// RecordAttemptEnd. A policyRevision other than 0 identifies the rules that allowed the attempt.
	RecordAttempt(estimate admission.Estimate, threads float64) (charged float64, policyRevision uint64)
	// RecordAttemptEnd records the end of an attempt. work is the work that the attempt took, 0 if unknown, and waits is true
	// if its request waits again.
	RecordAttemptEnd(estimate admission.Estimate, threads, charged float64, work admission.Time, waits bool)
	// RecordQueueExit records that a waiting request got its final answer.
	RecordQueueExit(estimate admission.Estimate)
	// BeginWrite reports, right before an attempt is written, whether the rules that allowed it are still in force. If they
	// are, the caller calls EndWrite after the write, whether or not it succeeded.
	BeginWrite(policyRevision uint64, request admission.RequestID) bool
	EndWrite(policyRevision uint64, request admission.RequestID)
	// ClassName returns the name of one of the operator's classes.
	ClassName(class int) string
	// NewStatementReader returns a statement reader for one client session.
	NewStatementReader() StatementReader
}

// StatementReader reads the statements of one client session, one after the other. The session's goroutine calls its methods.
type StatementReader interface {
	// ReadStatement reads the statement of a request that is about to be submitted. tables is the index of its table group.
	ReadStatement(sql []byte, class, tables int)
	// RecordCost records the work and the memory in MB that the last read statement took; 0: unknown.
	RecordCost(work admission.Time, memoryMB float64)
}
