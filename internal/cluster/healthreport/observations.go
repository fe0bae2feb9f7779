package healthreport

import (
	"cmp"

	"magpiebank/internal/admission"
)

// observations are what one gateway observed of one incarnation of an engine. Every part only moves forward in time, so that order,
// duplicates and loss of messages do not matter: of two the later counts.
type observations struct {
	answeredAt, failedAt, reportedAt Time
	failure                          admission.Observation // how the request failed at failedAt
	report                           admission.Report
}

var noObservations = observations{answeredAt: never, failedAt: never, reportedAt: never, failure: admission.Erred, report: admission.NoReport}

// isFailing reports whether the last failure is later than the last answer, and counts still if a fresh one confirms it.
func (o *observations) isFailing(now Time) bool {
	return o.failedAt > o.answeredAt && now-o.failedAt < ConfirmedFailureLifetime
}

// merge returns the later of each part.
func merge(a, b observations) observations {
	a.answeredAt = max(a.answeredAt, b.answeredAt)
	if cmp.Or(cmp.Compare(b.failedAt, a.failedAt), cmp.Compare(b.failure, a.failure)) > 0 {
		a.failedAt, a.failure = b.failedAt, b.failure
	}
	order := cmp.Compare(b.reportedAt, a.reportedAt)
	if order > 0 || order == 0 && isLaterReport(b.report, a.report) {
		a.reportedAt, a.report = b.reportedAt, b.report
	}
	return a
}

// isLaterReport orders reports of the same time, so that all gateways come to the same one.
func isLaterReport(a, b admission.Report) bool {
	return cmp.Or(cmp.Compare(a.InFlight, b.InFlight), cmp.Compare(a.Utilization, b.Utilization), cmp.Compare(a.Memory, b.Memory), cmp.Compare(a.Disks, b.Disks)) > 0
}
