package healthreport

import (
	"cmp"

	"magpiebank/internal/admission"
)

// observations holds what one gateway observed of one incarnation of an engine. Of two observations of the same kind, the later one is
// stored. So the order of messages and duplicates do not matter, and a later message makes up for a lost one.
type observations struct {
	answeredAt, failedAt, reportedAt Time
	failure                          admission.Observation // how the request failed at failedAt
	report                           admission.Report
}

var noObservations = observations{answeredAt: never, failedAt: never, reportedAt: never, failure: admission.Erred, report: admission.NoReport}

// isFailing reports whether the last failure is later than the last answer and not older than ConfirmedFailureLifetime.
func (o *observations) isFailing(now Time) bool {
	return o.failedAt > o.answeredAt && now-o.failedAt < ConfirmedFailureLifetime
}

// merge returns the later of each kind of observation: answer, failure and load report.
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

// isLaterReport defines an order of load reports of the same time, so that all gateways choose the same one.
func isLaterReport(a, b admission.Report) bool {
	return cmp.Or(cmp.Compare(a.InFlight, b.InFlight), cmp.Compare(a.Utilization, b.Utilization), cmp.Compare(a.Memory, b.Memory), cmp.Compare(a.Disks, b.Disks)) > 0
}
