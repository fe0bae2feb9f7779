package workload

import (
	"magpiebank/internal/admission"
	"magpiebank/internal/resourcegroup"
	"magpiebank/internal/router"
)

// Classify decides on the request whose statement a reader has read. If rejectText is not empty, it is the client's final answer. If
// overCapacity is set, the request is rejected and may be retried: too many requests of its class are waiting, or it is unknown now
// which policy applies to it. Otherwise the request is admitted with the estimate.
func (m *Manager) Classify(now admission.Time, statement router.StatementReader) (estimate admission.Estimate, overCapacity bool, rejectText string) {
	reader, ok := statement.(*StatementReader)
	if !ok {
		panic("workload: the statement reader is not a *workload.StatementReader")
	}
	m.now = now
	if m.policySource != nil {
		return m.classifyByPolicy(now, reader)
	}
	if plan := m.plan.Load(); plan != reader.plan { // another file was put in force since the statement was read
		reader.classifyByPlan(plan)
	}
	number, verdict, text := m.limiter.Admit(reader.planClass)
	switch verdict {
	case resourcegroup.Denied:
		return admission.Estimate{}, false, rejectionText(reader.plan, reader.planClass, text)
	case resourcegroup.OverCapacity:
		return admission.Estimate{}, true, ""
	}
	estimate = reader.estimate()
	estimate.PolicyClass = number
	return estimate, false, ""
}

// rejectionText returns the error that the client of a denied request gets.
func rejectionText(plan *resourcegroup.Plan, planClass int, text string) string {
	return "class " + className(plan, planClass) + ": " + text
}

// AllowsAttempt reports whether an attempt of a class that uses the given threads may be sent now.
func (m *Manager) AllowsAttempt(now admission.Time, class int, threads float64) bool {
	m.now = now
	if m.policySource != nil && !m.allowsByPolicy(now) {
		return false
	}
	return m.limiter.AllowsAttempt(now, class, threads)
}

// Pool returns the number of a class's pool.
func (m *Manager) Pool(class int) int { return m.limiter.Pool(class) }

// ClassName returns the name of a class.
func (m *Manager) ClassName(class int) string { return m.limiter.ClassName(class) }

// InPool reports whether an engine belongs to a pool.
func (m *Manager) InPool(pool int, engine *admission.Endpoint) bool {
	return m.limiter.InPool(pool, engine)
}

// RecordAttempt records that an attempt was sent. It returns the work in ms that its class was charged, for RecordAttemptEnd, and the
// policy revision that allowed it, for BeginWrite and EndWrite.
func (m *Manager) RecordAttempt(estimate admission.Estimate, threads float64) (charged float64, policyRevision uint64) {
	m.rehearsal.beginAttempt(m.now, &estimate, threads)
	if estimate.PolicyClass == 0 {
		return 0, noPolicyRevision
	}
	return m.limiter.BeginAttempt(estimate.PolicyClass, threads, toMillis(estimate.Work)), m.attemptRevision
}

// RecordAttemptEnd records that an attempt has ended. work is the work that it took, or 0 if unknown. waits reports whether its request
// waits for another attempt.
func (m *Manager) RecordAttemptEnd(estimate admission.Estimate, threads, charged float64, work admission.Time, waits bool) {
	if number := m.rehearsal.classOf(&estimate); number > 0 {
		m.rehearsal.limiter.EndAttempt(number, threads, charged, toMillis(work), waits)
	}
	if estimate.PolicyClass > 0 {
		m.limiter.EndAttempt(estimate.PolicyClass, threads, charged, toMillis(work), waits)
	}
}

// RecordQueueExit records that a waiting request got its final answer, or that its client left.
func (m *Manager) RecordQueueExit(estimate admission.Estimate) {
	if number := m.rehearsal.classOf(&estimate); number > 0 {
		m.rehearsal.limiter.EndWaiting(number)
	}
	if estimate.PolicyClass > 0 {
		m.limiter.EndWaiting(estimate.PolicyClass)
	}
}

// BeginWrite reports whether an attempt that was allowed under a policy revision may still be written to its engine. The goroutine that
// writes the attempt calls it.
func (m *Manager) BeginWrite(policyRevision uint64, request admission.RequestID) bool {
	return m.policySource == nil || m.policySource.TryBeginWrite(policyRevision, request)
}

// EndWrite records that the write which BeginWrite permitted has ended. The goroutine that wrote the attempt calls it.
func (m *Manager) EndWrite(policyRevision uint64, request admission.RequestID) {
	if m.policySource != nil {
		m.policySource.EndWrite(policyRevision, request)
	}
}
