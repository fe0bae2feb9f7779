package admission

import (
	"testing"
)

var retryScripts = map[string]func() *script{
	"effects": func() *script { // a request that may have run is repeated only if its class allows it
		s := startScript(testDeployment(), "e1", "e2")
		s.sendRequest("idempotent", 0, 0, "")
		s.endAttempt("idempotent", Reset)
		s.sendRequest("unrepeatable", 2, 0, "")
		s.endAttempt("unrepeatable", EngineFull)
		s.endAttempt("unrepeatable", Reset)
		s.endAttempt("idempotent", Errored)
		return s
	},
	"deduplicated": func() *script { // repeats only in the same zone and window; a failure, not a rejection, as other zones may run it again
		d := testDeployment()
		d.Classes[3].DedupScope, d.Classes[3].DedupWindow = SameZone, 500*Millisecond
		s := startScript(d)
		s.updateList(FullUpdate, Endpoint{Engine: "z0"}, Endpoint{Engine: "z1", Zone: 1})
		s.sendRequest("a", 3, 0, "k")
		first := s.engineOf("a").Zone
		s.endAttempt("a", Errored)
		s.record("same zone: %t", s.engineOf("a").Zone == first)
		s.advanceTo(600 * Millisecond)
		s.endAttempt("a", Errored)
		return s
	},
	"retry budget": func() *script { // one retry plus a tenth of the requests received
		d := testDeployment()
		d.RetryBurst, d.RetryRatio, d.RetryWindow = 1, 0.1, 5*Second
		s := startScript(d, "e1", "e2")
		for _, id := range []RequestID{"a", "b"} {
			s.sendRequest(id, 0, 0, "")
			s.endAttempt(id, EngineFull)
		}
		s.advanceTo(6 * Second)
		s.sendRequest("c", 0, 0, "")
		s.endAttempt("c", EngineFull)
		return s
	},
	"most attempts": func() *script {
		s := startScript(testDeployment(), "e1", "e2")
		s.sendRequest("a", 0, 0, "")
		for range 4 {
			s.endAttempt("a", EngineFull)
		}
		return s
	},
}

func TestRetryBudgetAllows(t *testing.T) {
	const window = 5 * Second
	tests := []struct {
		name     string
		requests int  // received at 0 s
		retries  int  // sent at 0 s
		at       Time // when the budget is checked
		want     bool
	}{
		{"the burst without any request", 0, 0, 0, true},
		{"no more than the burst", 0, 2, 0, false},
		{"the share of the requests beside the burst", 10, 2, Second, true},
		{"no more than burst and share", 10, 3, Second, false},
		{"no share of requests that may be outside the window", 10, 2, window, false},
		{"a retry after those before it have left the window", 0, 2, (retrySpans + 1) * (window/retrySpans + 1), true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newRetryBudget(&Deployment{RetryBurst: 2, RetryRatio: 0.1, RetryWindow: window})
			for range test.requests {
				b.countRequest(0)
			}
			for range test.retries {
				b.countRetry(0)
			}
			if got := b.allows(test.at); got != test.want {
				t.Errorf("allows a retry: %t, want %t", got, test.want)
			}
		})
	}
}

func TestNoRetryBudgetAllowsAllRetries(t *testing.T) {
	b := newRetryBudget(&Deployment{})
	b.countRetry(0)
	b.exhaust(0)
	if !b.allows(0) {
		t.Error("a retry was denied although there is no budget")
	}
}

func TestRetryBudgetRecoversAfterExhaustion(t *testing.T) {
	const window = 5 * Second
	b := newRetryBudget(&Deployment{RetryBurst: 2, RetryRatio: 0.1, RetryWindow: window})
	b.exhaust(Second)
	if b.allows(Second) {
		t.Error("an exhausted budget allowed a retry at once")
	}
	if !b.allows(Second + 2*window) {
		t.Error("the budget allowed no retry two windows after it was exhausted")
	}
}
