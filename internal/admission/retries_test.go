package admission

import (
	"testing"
)

var retryScripts = map[string]func() *script{
	"effects": func() *script { // a request that may have run goes on only as its class allows
		s := start(deployment(), "e1", "e2")
		s.arrives("idempotent", 0, 0, "")
		s.end("idempotent", Reset)
		s.arrives("unrepeatable", 2, 0, "")
		s.end("unrepeatable", Full)
		s.end("unrepeatable", Reset)
		s.end("idempotent", Errored)
		return s
	},
	"deduplicated": func() *script { // within its group and its window; without the group of all no rejection
		d := deployment()
		d.Classes[3].DedupScope, d.Classes[3].DedupWindow = SameZone, 500*Millisecond
		s := start(d)
		s.list(FullUpdate, Endpoint{Engine: "z0"}, Endpoint{Engine: "z1", Zone: 1})
		s.arrives("a", 3, 0, "k")
		first := s.engineOf("a").Zone
		s.end("a", Errored)
		s.say("same zone: %t", s.engineOf("a").Zone == first)
		s.pass(600 * Millisecond)
		s.end("a", Errored)
		return s
	},
	"retry budget": func() *script { // one free retry and a tenth of the requests taken
		d := deployment()
		d.RetryBurst, d.RetryRatio, d.RetryWindow = 1, 0.1, 5*Second
		s := start(d, "e1", "e2")
		for _, id := range []RequestID{"a", "b"} {
			s.arrives(id, 0, 0, "")
			s.end(id, Full)
		}
		s.pass(6 * Second)
		s.arrives("c", 0, 0, "")
		s.end("c", Full)
		return s
	},
	"most attempts": func() *script {
		s := start(deployment(), "e1", "e2")
		s.arrives("a", 0, 0, "")
		for range 4 {
			s.end("a", Full)
		}
		return s
	},
}

func TestRetryBudgetAllows(t *testing.T) {
	const window = 5 * Second
	tests := []struct {
		name     string
		requests int  // at 0 s
		retries  int  // at 0 s
		at       Time // of the question
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

func TestRetryBudgetAbsentAllowsAll(t *testing.T) {
	b := newRetryBudget(&Deployment{})
	b.countRetry(0)
	b.exhaust(0)
	if !b.allows(0) {
		t.Error("a retry is refused where there is no budget")
	}
}

func TestRetryBudgetExhaustedIsWholeAgainAfterTheWindow(t *testing.T) {
	const window = 5 * Second
	b := newRetryBudget(&Deployment{RetryBurst: 2, RetryRatio: 0.1, RetryWindow: window})
	b.exhaust(Second)
	if b.allows(Second) {
		t.Error("a retry is allowed at once")
	}
	if !b.allows(Second + 2*window) {
		t.Error("no retry is allowed two windows later")
	}
}
